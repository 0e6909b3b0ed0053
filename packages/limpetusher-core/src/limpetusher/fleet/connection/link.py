"""Ordered messages between two routers over datagrams that may be lost, repeated or reordered."""

import math
from collections import deque
from dataclasses import dataclass

from limpetusher.fleet.messages import PROTOCOL_VERSION, Message, Packet

RESEND_SECONDS = 0.03
"""Time without an acknowledgement after which messages are sent again, several round trips."""
RESEND_GROWTH = 1.2
"""Factor on the time for each further try; five tries come before a router counts as silent."""
RESEND_MAXIMUM_SECONDS = 0.25
MESSAGES_PER_PACKET = 6
"""Messages in one datagram, so that it fits into one packet of the network: an Ask takes about 200 bytes."""
WINDOW_MESSAGES = 600
"""Messages that may be unacknowledged before later ones have to wait; more than a router sends in the time
after which it suspects a peer."""
RESENT_PACKETS = 3
"""Datagrams that are sent again at a time. The peer keeps those that came out of order, so that mostly the
first one is missing; sending all again would fill the links just when datagrams get lost."""


@dataclass(frozen=True, slots=True)
class Received:
    """What a packet brought. `has_restarted` tells that the peer knows nothing of the messages before."""

    messages: tuple[Message, ...]
    has_restarted: bool


class Link:
    """Streams of messages to and from one peer.

    A peer that begins a new stream has dropped its state, and this side gets nothing more of its old one.

    Parameters
    ----------
    incarnation
        Number of this process, greater than those before it on the same address.
    now
        Reading of the monotonic clock.
    """

    def __init__(self, incarnation: int, now: float):
        self.incarnation = incarnation
        self.epoch = 0
        self.outbox: deque[Message] = deque()
        """Messages that are not acknowledged."""
        self.first = 0
        """Number of the first message of `outbox`."""
        self.sent = 0
        """How many messages of `outbox` were sent at least once."""
        self.peer: tuple[int, int] = (-1, -1)
        """Incarnation and epoch of the peer's stream."""
        self.expected = 0
        """Number of the peer's next message."""
        self.early: dict[int, Message] = {}
        """Messages that came before their turn, by number."""
        self.owes_acknowledgement = False
        self.heard_at = now
        self.waits_since = math.inf
        """Since when messages are unacknowledged without anything heard."""
        self.resend_at = math.inf
        self.resend_seconds = RESEND_SECONDS

    def send(self, message: Message, now: float) -> None:
        """Add a message; `packets` returns it."""
        if not self.outbox:
            self.waits_since = now
        self.outbox.append(message)

    def reset(self, now: float) -> None:
        """Begin a new stream: the peer forgets what the old one has told it."""
        self.epoch += 1
        self.outbox.clear()
        self.first = self.sent = 0
        self.waits_since = self.resend_at = math.inf
        self.resend_seconds = RESEND_SECONDS
        self.heard_at = now

    def silent_seconds(self, now: float) -> float:
        """Return for how long the peer has left messages unacknowledged without sending anything."""
        return max(0.0, now - max(self.heard_at, self.waits_since))

    def receive(self, packet: Packet, now: float) -> Received:
        """Take a packet and return the messages that are next in order."""
        stream = (packet.incarnation, packet.epoch)
        if stream < self.peer:
            # The acknowledgement tells a peer whose clock went back which incarnation it has to outlive.
            self.owes_acknowledgement = True
            return Received((), False)
        self.heard_at = now
        has_restarted = False
        if stream > self.peer:
            has_restarted = self.peer != (-1, -1)
            is_new_process = has_restarted and packet.incarnation > self.peer[0]
            self.peer = stream
            self.expected = 0
            self.early.clear()
            if is_new_process:
                self.reset(now)
        if (packet.acknowledged_incarnation, packet.acknowledged_epoch) == (self.incarnation, self.epoch):
            self.take_acknowledgement(packet.acknowledged, now)
        for number, message in enumerate(packet.messages, packet.first):
            if self.expected <= number < self.expected + WINDOW_MESSAGES:
                self.early[number] = message
        taken = []
        while self.expected in self.early:
            taken.append(self.early.pop(self.expected))
            self.expected += 1
        self.owes_acknowledgement = self.owes_acknowledgement or bool(packet.messages)
        return Received(tuple(taken), has_restarted)

    def take_acknowledgement(self, acknowledged: int, now: float) -> None:
        """Forget the messages that have arrived."""
        count = min(acknowledged - self.first, len(self.outbox))
        if count <= 0:
            return
        for _ in range(count):
            self.outbox.popleft()
        self.first += count
        self.sent = max(0, self.sent - count)
        self.resend_seconds = RESEND_SECONDS
        self.waits_since = now if self.outbox else math.inf
        self.resend_at = now + self.resend_seconds if self.sent else math.inf

    def packets(self, now: float) -> list[Packet]:
        """Return what has to be sent now: new messages, unacknowledged ones again, an acknowledgement."""
        packets = []
        if now >= self.resend_at:
            packets = self.cut(0, min(self.sent, RESENT_PACKETS * MESSAGES_PER_PACKET))
            self.resend_seconds = min(RESEND_GROWTH * self.resend_seconds, RESEND_MAXIMUM_SECONDS)
        limit = min(len(self.outbox), WINDOW_MESSAGES)
        packets += self.cut(self.sent, limit)
        self.sent = max(self.sent, limit)
        if packets:
            self.resend_at = now + self.resend_seconds
        elif self.owes_acknowledgement:
            packets.append(self.packet(self.first, ()))
        self.owes_acknowledgement = False
        return packets

    def cut(self, start: int, end: int) -> list[Packet]:
        """Return packets with a range of the outbox."""
        packets = []
        for at in range(start, end, MESSAGES_PER_PACKET):
            stop = min(at + MESSAGES_PER_PACKET, end)
            messages = tuple(self.outbox[index] for index in range(at, stop))
            packets.append(self.packet(self.first + at, messages))
        return packets

    def packet(self, first: int, messages: tuple[Message, ...]) -> Packet:
        """Return a packet with the present acknowledgement."""
        return Packet(
            version=PROTOCOL_VERSION,
            incarnation=self.incarnation,
            epoch=self.epoch,
            first=first,
            messages=messages,
            acknowledged_incarnation=self.peer[0],
            acknowledged_epoch=self.peer[1],
            acknowledged=self.expected,
        )
