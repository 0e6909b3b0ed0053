"""Load reports between routers, as datagrams: only the newest one counts, so none is sent again."""

import dataclasses
import logging
import socket

import msgspec
from circuits.core import BaseComponent, handler
from circuits.core.pollers import EPoll

from limpetusher.fleet.process.loads import OpenWork, PeerLoad
from limpetusher.fleet.process.shares import WaitingWork
from limpetusher_router.errors import RouterError
from limpetusher_router.events import REPORTS, REQUESTS, PeerReported

PROTOCOL_VERSION = 2
MAXIMUM_DATAGRAM_BYTES = 60_000
RECEIVES_PER_EVENT = 256

logger = logging.getLogger(__name__)


class Usage(msgspec.Struct, frozen=True, array_like=True):
    """The slower part of a report.

    `served` are decayed served tokens by customer, `waiting` the throughput tokens and reading tokens that
    wait by service and customer, `rates` measured reading rates by target and by service in tokens a second,
    `peers` the IP addresses of the routers that the sender hears.
    """

    served: dict[str, int]
    waiting: dict[str, dict[str, tuple[int, int]]]
    rates: dict[str, int]
    peers: list[str]


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """What one router tells the others.

    `revision` is that of the sender's copy of the store, `work` has open requests, unread tokens and memory
    tokens by target, `sent` the shared prompt parts (name and tokens) of the newest requests by target.
    `usage` comes with some reports only.
    """

    version: int
    revision: int
    work: dict[str, tuple[int, int, int]]
    sent: list[tuple[str, list[tuple[str, int]]]]
    usage: Usage | None = None

    def load(self, now: float, before: PeerLoad | None) -> PeerLoad:
        """Return the report as the decisions see it; what it leaves out stays as before."""
        work = {target_id: OpenWork(*counts) for target_id, counts in self.work.items()}
        if self.usage is not None:
            waiting = {
                service: {customer: WaitingWork(*tokens) for customer, tokens in customers.items()}
                for service, customers in self.usage.waiting.items()
            }
            return PeerLoad(now, work, self.usage.served, waiting, self.usage.rates)
        if before is not None:
            return dataclasses.replace(before, received_at=now, work=work)
        return PeerLoad(now, work)


class ReportSocket(BaseComponent):
    """Sends and receives load reports. Peers are named by IP address; all use the same port.

    Parameters
    ----------
    ip
        Own address.
    port
        Port of all routers.
    poller
        Poller of the process.
    """

    channel = REPORTS

    def __init__(self, ip: str, port: int, *, poller: EPoll):
        super().__init__()
        self.port = port
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder = msgspec.msgpack.Decoder(LoadReport)
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        try:
            self.sock.bind((ip, port))
        except OSError as error:
            raise RouterError(f"can't listen for reports on {ip}:{port}: {error.strerror}") from error
        poller.addReader(self, self.sock)

    @handler("_read")
    def on_readable(self, _sock: socket.socket) -> None:
        """Receive what waits."""
        for _ in range(RECEIVES_PER_EVENT):
            try:
                data, (ip, _port) = self.sock.recvfrom(MAXIMUM_DATAGRAM_BYTES)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                # An ICMP answer to an earlier datagram; the peer is noticed by its silence.
                logger.debug("receiving a report failed: %s", error)
                return
            try:
                report = self.decoder.decode(data)
            except (msgspec.DecodeError, UnicodeDecodeError):
                logger.warning("a malformed report of %d bytes from %s", len(data), ip)
                continue
            if report.version == PROTOCOL_VERSION:
                self.fire(PeerReported(ip, report), REQUESTS)

    def send(self, report: LoadReport, addresses: list[str]) -> None:
        """Send a report to peers; one that can't be sent is replaced by the next."""
        data = self.encoder.encode(report)
        for ip in addresses:
            try:
                self.sock.sendto(data, (ip, self.port))
            except OSError as error:
                logger.debug("sending a report to %s failed: %s", ip, error)

    def close(self) -> None:
        """Close the socket."""
        self.sock.close()
