"""Reliable ordered messages between two routers over datagrams that may be lost, duplicated or reordered."""

import itertools
import math
from collections import deque
from dataclasses import dataclass

import msgspec

from limpetusher.errors import UnsendableMessageError
from limpetusher.fleet.messages import PROTOCOL_VERSION, Message, Packet

RESEND_SECONDS = 0.03
"""Initial retransmission timeout, several round trips."""
DELAY_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATION_FACTOR = 4.0
"""Weights of the smoothed delay and of its deviation in the expected delay, as in RFC 6298."""
RESEND_BACKOFF_FACTOR = 1.2
"""Backoff factor of the retransmission timeout; allows five retransmissions before a router counts as
silent."""
MAX_RESEND_SECONDS = 0.25
MESSAGES_PER_PACKET = 6
"""Maximum number of messages per datagram. Each `TargetQuery` usually takes about 200 bytes."""
BYTES_PER_PACKET = 1_300
"""Size from which a datagram takes no more messages, so that it fits one network packet. A larger message, as
the query of a prompt with many parts, has a datagram of its own."""
MAX_MESSAGE_BYTES = 50_000
"""Maximum size of one message; datagrams of up to 60,000 bytes are received."""
MAX_UNACKNOWLEDGED_MESSAGES = 600
"""Maximum number of unacknowledged messages; more than a router sends before it suspects a silent peer."""
MAX_RESENT_PACKETS = 3
"""Maximum number of datagrams in one retransmission. The peer buffers messages that arrive out of order, so
mostly the first datagram is missing; retransmitting all would congest links that already lose datagrams."""


ENCODER = msgspec.msgpack.Encoder()


def encoded_size(message: Message) -> int:
    """Return the size of a message in bytes.

    Raises
    ------
    UnsendableMessageError
        If the message can't be encoded or is too large for a datagram.
    """
    try:
        size = len(ENCODER.encode(message))
    except (OverflowError, TypeError, ValueError) as error:
        raise UnsendableMessageError(f"{type(message).__name__} can't be encoded: {error}") from error
    if size > MAX_MESSAGE_BYTES:
        raise UnsendableMessageError(f"{type(message).__name__} of {size} bytes is too large for a datagram")
    return size


@dataclass(frozen=True, slots=True)
class ReceivedMessages:
    """Messages of a packet. `has_restarted` tells that the peer has lost the state of earlier ones."""

    messages: tuple[Message, ...]
    has_restarted: bool


class Link:
    """Message streams to and from one peer.

    A peer that starts a new stream has dropped its state; messages of its old stream are no longer accepted.

    Parameters
    ----------
    incarnation
        Number of this process, greater than that of any earlier process at the same address.
    now
        Reading of the monotonic clock.
    """

    def __init__(self, incarnation: int, now: float):
        self.incarnation = incarnation
        self.epoch = 0
        self.outbox: deque[Message] = deque()
        """Unacknowledged messages."""
        self.queued_at: deque[float] = deque()
        """Times at which the messages in `outbox` were queued."""
        self.sizes: deque[int] = deque()
        """Encoded sizes of the messages in `outbox`, in bytes."""
        self.delay_seconds: float | None = None
        """Smoothed time from queuing a message to its acknowledgement, None before the first one."""
        self.delay_deviation_seconds = 0.0
        self.first = 0
        """Sequence number of the first message in `outbox`."""
        self.sent_count = 0
        """Number of messages in `outbox` that were sent at least once."""
        self.peer_stream: tuple[int, int] = (-1, -1)
        """Incarnation and epoch of the peer's stream."""
        self.next_expected = 0
        """Sequence number of the next message expected from the peer."""
        self.out_of_order: dict[int, Message] = {}
        """Messages received out of order, by sequence number."""
        self.is_acknowledgement_due = False
        self.heard_at = now
        self.unacknowledged_since = math.inf
        """Time since which messages are unacknowledged, infinite if there are none."""
        self.resend_at = math.inf
        self.resend_seconds = RESEND_SECONDS

    def send(self, message: Message, now: float) -> None:
        """Queue a message; `packets` returns it for sending.

        Raises
        ------
        UnsendableMessageError
            If the message can't be encoded or is too large; it is not queued then.
        """
        size = encoded_size(message)
        if not self.outbox:
            self.unacknowledged_since = now
        self.outbox.append(message)
        self.queued_at.append(now)
        self.sizes.append(size)

    def reset(self, now: float) -> None:
        """Start a new stream; the peer drops the state that it has from the old one."""
        self.epoch += 1
        self.outbox.clear()
        self.queued_at.clear()
        self.sizes.clear()
        self.first = self.sent_count = 0
        self.unacknowledged_since = self.resend_at = math.inf
        self.resend_seconds = RESEND_SECONDS
        self.delay_seconds = None
        self.heard_at = now

    def silent_seconds(self, now: float) -> float:
        """Return the time for which the peer has sent nothing while messages are unacknowledged."""
        return max(0.0, now - max(self.heard_at, self.unacknowledged_since))

    def receive(self, packet: Packet, now: float) -> ReceivedMessages:
        """Process a packet and return the messages that are next in sequence."""
        stream = (packet.incarnation, packet.epoch)
        if stream < self.peer_stream:
            # The acknowledgement tells a peer whose clock went back which incarnation it has to exceed.
            self.is_acknowledgement_due = True
            return ReceivedMessages((), False)
        self.heard_at = now
        has_restarted = False
        if stream > self.peer_stream:
            has_restarted = self.peer_stream != (-1, -1)
            is_new_process = has_restarted and packet.incarnation > self.peer_stream[0]
            self.peer_stream = stream
            self.next_expected = 0
            self.out_of_order.clear()
            if is_new_process:
                self.reset(now)
        if (packet.acknowledged_incarnation, packet.acknowledged_epoch) == (self.incarnation, self.epoch):
            self.apply_acknowledgement(packet.acknowledged, now)
        for number, message in enumerate(packet.messages, packet.first):
            if self.next_expected <= number < self.next_expected + MAX_UNACKNOWLEDGED_MESSAGES:
                self.out_of_order[number] = message
        in_order = []
        while self.next_expected in self.out_of_order:
            in_order.append(self.out_of_order.pop(self.next_expected))
            self.next_expected += 1
        self.is_acknowledgement_due = self.is_acknowledgement_due or bool(packet.messages)
        return ReceivedMessages(tuple(in_order), has_restarted)

    def apply_acknowledgement(self, acknowledged: int, now: float) -> None:
        """Remove the acknowledged messages from the outbox."""
        count = min(acknowledged - self.first, len(self.outbox))
        if count <= 0:
            return
        self.add_delay(now - self.queued_at[0])
        for _ in range(count):
            self.outbox.popleft()
            self.queued_at.popleft()
            self.sizes.popleft()
        self.first += count
        self.sent_count = max(0, self.sent_count - count)
        self.resend_seconds = RESEND_SECONDS
        self.unacknowledged_since = now if self.outbox else math.inf
        self.resend_at = now + self.resend_seconds if self.sent_count else math.inf

    def add_delay(self, seconds: float) -> None:
        """Update the smoothed delay and its deviation with the delay of an acknowledgement."""
        if self.delay_seconds is None:
            self.delay_seconds, self.delay_deviation_seconds = seconds, seconds / 2
            return
        error = seconds - self.delay_seconds
        self.delay_deviation_seconds += DEVIATION_WEIGHT * (abs(error) - self.delay_deviation_seconds)
        self.delay_seconds += DELAY_WEIGHT * error

    @property
    def expected_delay_seconds(self) -> float:
        """Return the time within which an acknowledgement is expected, 0 before the first one."""
        if self.delay_seconds is None:
            return 0.0
        return self.delay_seconds + DEVIATION_FACTOR * self.delay_deviation_seconds

    def packets(self, now: float) -> list[Packet]:
        """Return the packets to send now: retransmissions, new messages, or an acknowledgement alone."""
        packets = []
        if now >= self.resend_at:
            packets = self.make_packets(0, self.sent_count, MAX_RESENT_PACKETS)
            self.resend_seconds = min(RESEND_BACKOFF_FACTOR * self.resend_seconds, MAX_RESEND_SECONDS)
        limit = min(len(self.outbox), MAX_UNACKNOWLEDGED_MESSAGES)
        packets += self.make_packets(self.sent_count, limit)
        self.sent_count = max(self.sent_count, limit)
        if packets:
            self.resend_at = now + self.resend_seconds
        elif self.is_acknowledgement_due:
            packets.append(self.make_packet(self.first, ()))
        self.is_acknowledgement_due = False
        return packets

    def make_packets(self, start: int, end: int, max_packets: float = math.inf) -> list[Packet]:
        """Return packets with the outbox messages from index `start` up to `end`, or the first of them."""
        packets: list[Packet] = []
        while start < end and len(packets) < max_packets:
            batch_end = self.batch_end(start, end)
            messages = tuple(itertools.islice(self.outbox, start, batch_end))
            packets.append(self.make_packet(self.first + start, messages))
            start = batch_end
        return packets

    def batch_end(self, start: int, end: int) -> int:
        """Return the index after the messages that share a packet with the one at index `start`."""
        size = 0
        for index in range(start, min(start + MESSAGES_PER_PACKET, end)):
            size += self.sizes[index]
            if size > BYTES_PER_PACKET and index > start:
                return index
        return min(start + MESSAGES_PER_PACKET, end)

    def make_packet(self, first: int, messages: tuple[Message, ...]) -> Packet:
        """Return a packet with the current acknowledgement."""
        return Packet(
            version=PROTOCOL_VERSION,
            incarnation=self.incarnation,
            epoch=self.epoch,
            first=first,
            messages=messages,
            acknowledged_incarnation=self.peer_stream[0],
            acknowledged_epoch=self.peer_stream[1],
            acknowledged=self.next_expected,
        )
