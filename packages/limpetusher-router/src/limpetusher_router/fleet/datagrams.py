"""UDP socket for datagrams between routers."""

import logging
import socket

import msgspec
from circuits.core import BaseComponent, handler
from circuits.core.pollers import EPoll

from limpetusher.fleet.messages import PROTOCOL_VERSION, Datagram
from limpetusher_router.errors import RouterError
from limpetusher_router.events import DATAGRAMS, PEER_EXCHANGE, DatagramsReceived

MAXIMUM_DATAGRAM_BYTES = 60_000
MAXIMUM_RECEIVES_PER_EVENT = 256
RECEIVE_BUFFER_BYTES = 1 << 20
"""Enough for the datagrams that arrive while the process is stalled for some tenths of a second."""

logger = logging.getLogger(__name__)


class DatagramSocket(BaseComponent):
    """Sends and receives datagrams. A router is addressed by its IP address; all use the same port.

    Parameters
    ----------
    ip
        IP address of this router.
    port
        Port of all routers.
    poller
        Poller that reports when the socket is readable.
    """

    channel = DATAGRAMS

    def __init__(self, ip: str, port: int, *, poller: EPoll):
        super().__init__()
        self.port = port
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder = msgspec.msgpack.Decoder(Datagram)
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        try:
            self.sock.bind((ip, port))
        except OSError as error:
            raise RouterError(f"can't listen for datagrams on {ip}:{port}: {error.strerror}") from error
        poller.addReader(self, self.sock)

    @handler("_read")
    def on_readable(self, _sock: socket.socket) -> None:
        """Receive the pending datagrams and fire them as one event."""
        received = []
        for _ in range(MAXIMUM_RECEIVES_PER_EVENT):
            try:
                data, (ip, _port) = self.sock.recvfrom(MAXIMUM_DATAGRAM_BYTES)
            except (BlockingIOError, InterruptedError):
                break
            except OSError as error:
                # An ICMP error for an earlier datagram; an unreachable peer is detected by its silence.
                logger.debug("receiving a datagram failed: %s", error)
                break
            try:
                datagram = self.decoder.decode(data)
            except (msgspec.DecodeError, UnicodeDecodeError):
                logger.warning("malformed datagram of %d bytes from %s", len(data), ip)
                continue
            if datagram.version == PROTOCOL_VERSION:
                received.append((ip, datagram))
        if received:
            self.fire(DatagramsReceived(received), PEER_EXCHANGE)

    def send(self, datagram: Datagram, addresses: list[str]) -> None:
        """Send a datagram to routers.

        Errors are only logged: lost packets are resent and lost updates are replaced by later ones.
        """
        data = self.encoder.encode(datagram)
        for ip in addresses:
            try:
                self.sock.sendto(data, (ip, self.port))
            except OSError as error:
                logger.debug("sending a datagram to %s failed: %s", ip, error)

    def close(self) -> None:
        """Close the socket."""
        self.sock.close()
