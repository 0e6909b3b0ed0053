"""Loopback ports for the processes of a fleet, kept apart from those of other fleets on the machine."""

import fcntl
import socket
import tempfile
from pathlib import Path

FIRST_PORT = 12_000
PORTS_PER_BLOCK = 500
BLOCK_COUNT = 40
"""The blocks end below 32768, where the ephemeral ports of Linux begin by default."""


class PortBlock:
    """A block of ports that is locked against other processes until it is closed.

    A restarted process needs the same port again, so the blocks lie outside the system's ephemeral ports.
    """

    def __init__(self):
        folder = Path(tempfile.gettempdir()) / "limpetusher-ports"
        folder.mkdir(exist_ok=True)
        for block in range(BLOCK_COUNT):
            lock = (folder / f"block-{block}.lock").open("w")
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:
                lock.close()
                continue
            self.lock = lock
            self.next_port = FIRST_PORT + block * PORTS_PER_BLOCK
            self.end_port = self.next_port + PORTS_PER_BLOCK
            return
        raise RuntimeError(f"all {BLOCK_COUNT} blocks of ports are in use")

    def allocate_address(self) -> str:
        """Return a free loopback address."""
        while self.next_port < self.end_port:
            port, self.next_port = self.next_port, self.next_port + 1
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind(("127.0.0.1", port))
                except OSError:
                    continue
            return f"127.0.0.1:{port}"
        raise RuntimeError(f"all {PORTS_PER_BLOCK} ports of the block are taken")

    def close(self) -> None:
        """Release the block."""
        self.lock.close()
