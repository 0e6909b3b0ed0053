"""Sockets for messages between routers."""

import logging
import math

import pynng
from circuits.core import BaseComponent, handler
from circuits.core.pollers import EPoll

from limpetusher.core.actions import SendToPeer
from limpetusher.core.inputs import PeerMessage
from limpetusher.errors import CodecError
from limpetusher.events import Event
from limpetusher.wire.codec import MAXIMUM_MESSAGE_BYTES, Codec
from limpetusher_router.errors import RouterError
from limpetusher_router.events import CORE, PEERS, CoreInput, DeadlineReached
from limpetusher_router.process.deadlines import Deadlines
from limpetusher_router.process.logs import log_event
from limpetusher_router.process.metrics import Metrics
from limpetusher_router.settings import RouterSettings

SEND_BUFFER_MESSAGES = 64
RECEIVE_BUFFER_MESSAGES = 256
RECONNECT_MINIMUM_MILLISECONDS = 50
RECONNECT_MAXIMUM_MILLISECONDS = 500
RECEIVES_PER_EVENT = 256
UNUSED_SOCKET_SECONDS = 30.0
LOG_INTERVAL_SECONDS = 1.0

logger = logging.getLogger(__name__)


class OutgoingPeer:
    """Push socket to one address. `last_used_at` is the time of its last message, on the monotonic clock."""

    __slots__ = ("last_used_at", "socket")

    def __init__(self, address: str):
        self.last_used_at = 0.0
        self.socket = pynng.Push0(
            send_buffer_size=SEND_BUFFER_MESSAGES,
            reconnect_time_min=RECONNECT_MINIMUM_MILLISECONDS,
            reconnect_time_max=RECONNECT_MAXIMUM_MILLISECONDS,
        )
        self.socket.dial(f"tcp://{address}", block=False)


class PeerSockets(BaseComponent):
    """Sends messages to other routers and receives theirs, without blocking.

    A message is dropped and counted when the send buffer of its socket is full.
    """

    channel = PEERS

    def __init__(
        self,
        settings: RouterSettings,
        *,
        key: bytes,
        incarnation: int,
        deadlines: Deadlines,
        poller: EPoll,
        metrics: Metrics,
    ):
        super().__init__()
        self.settings = settings
        self.incarnation = incarnation
        self.codec = Codec(key)
        self.deadlines = deadlines
        self.metrics = metrics
        self.drop_logged_at = -math.inf
        self.outgoing: dict[str, OutgoingPeer] = {}
        self.listener = pynng.Pull0(
            recv_buffer_size=RECEIVE_BUFFER_MESSAGES, recv_max_size=MAXIMUM_MESSAGE_BYTES
        )
        try:
            self.listener.listen(f"tcp://{settings.peer_address}")
        except pynng.NNGException as error:
            raise RouterError(f"can't listen on peer address {settings.peer_address}: {error}") from error
        poller.addReader(self, self.listener.recv_fd)
        deadlines.schedule_in(UNUSED_SOCKET_SECONDS, DeadlineReached(), PEERS)

    @handler("_read")
    def on_readable(self, _descriptor: int) -> None:
        """Receive queued messages; the limit for each call lets other components run in between."""
        for _ in range(RECEIVES_PER_EVENT):
            try:
                frame = self.listener.recv(block=False)
            except pynng.TryAgain:
                return
            except pynng.NNGException as error:
                logger.warning("receiving peer messages failed: %s", error)
                return
            except RuntimeError:
                # pynng raises this for an empty message, after it has removed the message from the queue.
                frame = b""
            self.handle_frame(frame)

    def handle_frame(self, frame: bytes) -> None:
        """Decode and authenticate a message and pass it to the core."""
        self.metrics.count_received_peer_message(len(frame))
        try:
            envelope = self.codec.decode(frame)
        except CodecError as error:
            self.count_dropped("received", error.reason)
            return
        message = PeerMessage(envelope.sender, envelope.incarnation, envelope.payload)
        self.fire(CoreInput(message), CORE)

    @handler("CoreAction")
    def on_send_to_peer(self, action: SendToPeer) -> None:
        """Send a message to a peer."""
        try:
            frame = self.codec.encode(
                action.payload, sender=self.settings.host_id, incarnation=self.incarnation
            )
        except CodecError as error:
            self.count_dropped("sent", error.reason)
            return
        address = self.settings.mapped_address(action.address)
        try:
            peer = self.outgoing.get(address)
            if peer is None:
                peer = self.outgoing[address] = OutgoingPeer(address)
            peer.last_used_at = self.deadlines.clock.monotonic()
            peer.socket.send(frame, block=False)
        except pynng.NNGException as error:
            self.count_dropped("sent", type(error).__name__)
            return
        self.metrics.count_sent_peer_message(len(frame))

    def count_dropped(self, direction: str, reason: str) -> None:
        """Count a dropped message and log it at a limited rate."""
        self.metrics.count_dropped_peer_message(direction, reason)
        # An unreachable router or an unauthenticated sender causes drops continuously.
        now = self.deadlines.clock.monotonic()
        if now >= self.drop_logged_at + LOG_INTERVAL_SECONDS:
            self.drop_logged_at = now
            log_event(Event.PEER_MESSAGE_DROPPED, direction=direction, reason=reason)

    @handler("DeadlineReached")
    def on_due(self, _subject: object) -> None:
        """Close the sockets to peers to which nothing was sent for a while."""
        oldest = self.deadlines.clock.monotonic() - UNUSED_SOCKET_SECONDS
        for address, peer in list(self.outgoing.items()):
            if peer.last_used_at < oldest:
                peer.socket.close()
                del self.outgoing[address]
        self.deadlines.schedule_in(UNUSED_SOCKET_SECONDS, DeadlineReached(), PEERS)

    def close(self) -> None:
        """Close all sockets at the end of the process."""
        for peer in self.outgoing.values():
            peer.socket.close()
        self.listener.close()
