"""Loopback ports for the processes of a fleet, kept apart from those of other fleets on the machine."""

import fcntl
import socket
import tempfile
from pathlib import Path

FIRST_PORT = 12_000
BLOCK_PORTS = 500
BLOCKS = 40
"""The blocks end below 32768, where Linux takes the ports of outgoing connections by default."""


class PortBlock:
    """A block of ports that is locked against other processes until it is closed.

    A restarted process needs its old port again, so ports that the system may give to others are not used.
    """

    def __init__(self):
        folder = Path(tempfile.gettempdir()) / "limpetusher-ports"
        folder.mkdir(exist_ok=True)
        for block in range(BLOCKS):
            lock = (folder / f"block-{block}.lock").open("w")
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:
                lock.close()
                continue
            self.lock = lock
            self.next_port = FIRST_PORT + block * BLOCK_PORTS
            self.end = self.next_port + BLOCK_PORTS
            return
        raise RuntimeError(f"all {BLOCKS} blocks of ports are in use")

    def take(self) -> str:
        """Return a free loopback address."""
        while self.next_port < self.end:
            port, self.next_port = self.next_port, self.next_port + 1
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind(("127.0.0.1", port))
                except OSError:
                    continue
            return f"127.0.0.1:{port}"
        raise RuntimeError(f"all {BLOCK_PORTS} ports of the block are taken")

    def close(self) -> None:
        """Release the block."""
        self.lock.close()
