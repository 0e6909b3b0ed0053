"""Messages between this router and the others: membership, scheduling and news of the store."""

import logging
import math
from collections import Counter, deque
from functools import singledispatchmethod

from circuits.core import BaseComponent, handler

from limpetusher.clock import Clock
from limpetusher.events import Event
from limpetusher.fleet.connection.link import Link
from limpetusher.fleet.messages import (
    PROTOCOL_VERSION,
    Ask,
    Datagram,
    Gossip,
    Granted,
    MemberEntry,
    Message,
    Packet,
    Ping,
    Refused,
    StoreNews,
)
from limpetusher.fleet.model import Pool
from limpetusher.fleet.process.members import GOSSIP_SECONDS
from limpetusher_router.events import EXCHANGE, REQUESTS, AnswerReceived, Due, TransmitDue
from limpetusher_router.fleet.datagrams import DatagramSocket
from limpetusher_router.fleet.state import FleetState
from limpetusher_router.fleet.store_reader import RELAYS, StoreReader
from limpetusher_router.process.deadlines import Deadline, Deadlines
from limpetusher_router.process.logs import log_event

RESEND_TICK_SECONDS = 0.05
"""Time between two looks at the links while messages wait for an acknowledgement."""
BUSY_TICK_SECONDS = 0.1
"""Time between two looks at schedulers and clients while requests are open."""
LATE_TICK_SECONDS = 0.1
"""Delay of a look after which this router itself was stopped, so that the silence of others means nothing."""
SILENT_SECONDS = 0.3
"""Time without an answer after which a router is not chosen as a scheduler; several times the delay of a busy
router, and shorter than the tightest goals."""
PING_SECONDS = 0.1
"""Time after which a scheduler that this router waits for is asked for a sign of life."""
OPEN_PING_SECONDS = 0.4
"""The same for a scheduler under which requests are only open; it drops them after the time below."""
CLIENT_SILENT_SECONDS = 1.0
"""Time after which a scheduler drops the requests of a router that should have asked for a sign of life."""
SERVED_SECONDS = 0.25
"""Time between two reports of what customers were served, to the other schedulers of a service."""
CORRECTION_SECONDS = 0.2
"""Least time between two hints to a router that it asks the wrong scheduler."""
PLACING_GAP_SECONDS = 0.004
"""Least time between two looks at the waiting requests."""
PLACING_COST_FACTOR = 4.0
"""Least time between two looks at the waiting requests in units of what the last one took, so that they leave
most of the processor to other events."""
WAITING_POLL_SECONDS = 0.01
"""Time between two looks at the waiting requests, as pauses of engines end without an event."""

PLACE = "place"

logger = logging.getLogger(__name__)


class Peers(BaseComponent):
    """Carries the messages between the parts that decide, here and at the other routers.

    Parameters
    ----------
    state
        What the router knows and decides.
    sock
        Socket for datagrams.
    store
        Reader of the platform's store.
    clock
        Source of time.
    deadlines
        Heap of deadlines.
    """

    channel = EXCHANGE

    def __init__(
        self,
        state: FleetState,
        *,
        sock: DatagramSocket,
        store: StoreReader,
        clock: Clock,
        deadlines: Deadlines,
    ):
        super().__init__()
        self.state = state
        self.sock = sock
        self.store = store
        self.clock = clock
        self.deadlines = deadlines
        self.links: dict[str, Link] = {}
        self.dirty: set[str] = set()
        """Addresses for which something may have to be sent."""
        self.local: deque[Message] = deque()
        """Messages from this router to itself."""
        self.is_transmit_due = False
        self.next_tick: Deadline | None = None
        """The next look after the other routers."""
        self.gossip_at = 0.0
        self.served_at = 0.0
        self.placed_at = 0.0
        self.corrected_at: dict[str, float] = {}
        """When routers were last told of a scheduler."""
        self.placing_gap = PLACING_GAP_SECONDS
        self.wakeup: Deadline | None = None

    @property
    def own(self) -> str:
        """Return the address of this router."""
        return self.state.members.own.address

    def link(self, address: str) -> Link:
        """Return the link to a router."""
        link = self.links.get(address)
        if link is None:
            link = Link(self.state.members.own.incarnation, self.clock.monotonic())
            self.links[address] = link
        return link

    def send(self, address: str, message: Message) -> None:
        """Send a message to a router, which may be this one, together with others of the same moment."""
        if address == self.own:
            self.local.append(message)
        else:
            self.link(address).send(message, self.clock.monotonic())
            self.dirty.add(address)
        self.transmit_soon()

    def transmit_soon(self) -> None:
        """Transmit after the events that wait now."""
        if not self.is_transmit_due:
            self.is_transmit_due = True
            self.fire(TransmitDue(), EXCHANGE)

    @handler("TransmitDue")
    def on_transmit(self) -> None:
        """Take the messages to this router itself and send the others."""
        self.is_transmit_due = False
        now = self.clock.monotonic()
        while self.local:
            self.take(self.own, self.local.popleft(), now)
        self.place(now)
        self.transmit(now)

    def transmit(self, now: float) -> None:
        """Send what is due on the links."""
        dirty, self.dirty = self.dirty, set()
        is_unacknowledged = False
        for address in dirty:
            link = self.links[address]
            for packet in link.packets(now):
                self.sock.send(packet, [address])
            is_unacknowledged = is_unacknowledged or bool(link.outbox)
        if is_unacknowledged:
            self.tick_before(now + RESEND_TICK_SECONDS)
        elif self.is_busy:
            self.tick_before(now + BUSY_TICK_SECONDS)

    @property
    def is_busy(self) -> bool:
        """Return whether anything but gossip is to be looked after."""
        return bool(self.state.asking.asked or self.state.scheduler.is_active or self.state.held)

    @property
    def tick_seconds(self) -> float:
        """Return the time until the next look after the other routers; an idle router only gossips."""
        if any(link.outbox for link in self.links.values()):
            return RESEND_TICK_SECONDS
        return BUSY_TICK_SECONDS if self.is_busy else GOSSIP_SECONDS

    def tick_before(self, when: float) -> None:
        """Look after the other routers at `when` or before."""
        if self.next_tick is not None and self.next_tick.when > when:
            self.next_tick.cancel()
            self.next_tick = self.deadlines.schedule(when, Due(), EXCHANGE)

    def place(self, now: float) -> None:
        """Look at the waiting requests, now or soon after the last time."""
        scheduler = self.state.scheduler
        if not scheduler.has_waiting:
            return
        if now < self.placed_at + self.placing_gap:
            self.wake(self.placed_at + self.placing_gap)
            return
        answers = scheduler.decide(now)
        self.placed_at = self.clock.monotonic()
        self.placing_gap = max(PLACING_GAP_SECONDS, PLACING_COST_FACTOR * (self.placed_at - now))
        for address, answer in answers:
            self.send(address, answer)
        if scheduler.has_waiting:
            self.wake(self.placed_at + max(self.placing_gap, WAITING_POLL_SECONDS))

    def wake(self, when: float) -> None:
        """Look at the waiting requests again at `when` or before."""
        if self.wakeup is not None:
            if self.wakeup.when <= when:
                return
            self.wakeup.cancel()
        self.wakeup = self.deadlines.schedule(when, Due(PLACE), EXCHANGE)

    @handler("DatagramsReceived")
    def on_datagrams(self, received: list[tuple[str, Datagram]]) -> None:
        """Take datagrams from other routers."""
        now = self.clock.monotonic()
        for address, datagram in received:
            if address != self.own:
                self.state.members.heard(address, now)
                try:
                    self.receive(datagram, address, now)
                except Exception:
                    # One message that can't be handled must not cost those that came with it.
                    logger.exception("a datagram from %s failed", address)
        self.place(now)
        self.transmit(now)

    @singledispatchmethod
    def receive(self, datagram: Datagram, address: str, now: float) -> None:
        """Take one datagram."""
        raise TypeError(f"no such datagram: {datagram!r}")

    @receive.register
    def receive_packet(self, packet: Packet, address: str, now: float) -> None:
        """Take the messages of a link."""
        if packet.acknowledged_incarnation > self.state.members.own.incarnation:
            self.outlive(packet.acknowledged_incarnation, now)
        received = self.link(address).receive(packet, now)
        self.dirty.add(address)
        if received.has_restarted:
            self.state.scheduler.drop_client(address, now)
            self.state.asking.tell_again(address, now)
        for message in received.messages:
            try:
                self.take(address, message, now)
            except Exception:
                logger.exception("a message from %s failed", address)

    def outlive(self, incarnation: int, now: float) -> None:
        """Take a greater incarnation than an earlier process here, whose clock was ahead of this one's."""
        self.state.members.outlive(incarnation)
        for link in self.links.values():
            link.incarnation = self.state.members.own.incarnation
            link.reset(now)
        for address in self.links:
            self.state.scheduler.drop_client(address, now)
            self.state.asking.tell_again(address, now)

    @receive.register
    def receive_gossip(self, gossip: Gossip, address: str, now: float) -> None:
        """Take what another router knows of the fleet."""
        own = self.state.members.own.incarnation
        news = self.state.members.merge(gossip.entries, now)
        for peer in news:
            log_event(Event.PEER_REACHABLE, peer=peer, told_by=address)
        if address in news or self.state.members.is_ahead_of(gossip.entries, now):
            self.send_gossip(self.state.members.welcome(now), [address])
        if self.state.members.own.incarnation != own:
            self.outlive(self.state.members.own.incarnation, now)
        self.store.peer_knows(address, gossip.revision)

    def send_gossip(self, entries: tuple[MemberEntry, ...], addresses: list[str]) -> None:
        """Tell some routers about others, and which revision of the store is known here."""
        self.sock.send(Gossip(PROTOCOL_VERSION, entries, self.store.mirror.revision), addresses)

    @receive.register
    def receive_store_news(self, news: StoreNews, address: str, now: float) -> None:
        """Take the newest changes of the store."""
        peer = self.state.members.peers.get(address)
        is_from_outside = peer is not None and peer.entry.data_centre != self.state.members.own.data_centre
        self.store.take_news(address, news, is_from_outside=is_from_outside)

    def take(self, address: str, message: Message, now: float) -> None:
        """Take one message of a router."""
        if isinstance(message, (Granted, Refused)):
            self.fire(AnswerReceived(address, message), REQUESTS)
        elif not isinstance(message, Ping):
            if isinstance(message, Ask):
                self.correct(address, message, now)
            self.state.scheduler.receive(address, message, now)

    def correct(self, address: str, ask: Ask, now: float) -> None:
        """Tell a router that asks here of the scheduler that it does not know yet."""
        members = self.state.members
        scheduler = self.state.pools.scheduler(Pool(ask.service, ask.data_centre), now)
        if scheduler in (self.own, None, address):
            return
        if now >= self.corrected_at.get(address, -math.inf) + CORRECTION_SECONDS:
            self.corrected_at[address] = now
            self.send_gossip((members.own, members.peers[scheduler].entry), [address])

    @handler("Due")
    def on_due(self, subject: object) -> None:
        """Look after the other routers, or after the waiting requests."""
        now = self.clock.monotonic()
        if subject == PLACE:
            self.wakeup = None
            self.place(now)
            self.transmit(now)
            return
        was_stopped = self.next_tick is not None and now - self.next_tick.when > LATE_TICK_SECONDS
        self.next_tick = self.deadlines.schedule(now + self.tick_seconds, Due(), EXCHANGE)
        if was_stopped:
            # Answers may have arrived meanwhile that are not read yet.
            for link in self.links.values():
                link.heard_at = now
        else:
            self.look_after_schedulers(now)
            self.look_after_clients(now)
        self.state.drop_held()
        self.state.asking.review(now)
        self.state.scheduler.review(now)
        if now >= self.gossip_at + GOSSIP_SECONDS:
            self.gossip_at = now
            self.gossip(now)
        if now >= self.served_at + SERVED_SECONDS:
            self.served_at = now
            self.tell_served(now)
        self.dirty.update(address for address, link in self.links.items() if link.resend_at <= now)
        self.place(now)
        self.transmit(now)

    def look_after_schedulers(self, now: float) -> None:
        """Suspect schedulers that do not answer, and ask quiet ones for a sign of life."""
        for address, is_waiting in self.state.asking.schedulers().items():
            if address == self.own:
                continue
            ping_seconds = PING_SECONDS if is_waiting else OPEN_PING_SECONDS
            link = self.link(address)
            silent = link.silent_seconds(now)
            if silent > SILENT_SECONDS:
                if self.state.members.suspect(address, now):
                    log_event(Event.PEER_UNREACHABLE, peer=address, silent=round(silent, 3))
            elif not link.outbox and now - link.heard_at > ping_seconds:
                self.send(address, Ping())

    def look_after_clients(self, now: float) -> None:
        """Drop the requests of routers that have stopped; one that lives after all tells them anew."""
        for address in list(self.state.scheduler.by_client):
            if address == self.own:
                continue
            link = self.link(address)
            if now - link.heard_at > CLIENT_SILENT_SECONDS:
                self.state.scheduler.drop_client(address, now)
                link.reset(now)

    def gossip(self, now: float) -> None:
        """Tell some routers about others."""
        entries, addresses = self.state.members.gossip(now)
        self.send_gossip(entries, addresses)
        for address in self.state.members.forget(now):
            self.links.pop(address, None)
            self.corrected_at.pop(address, None)
            self.dirty.discard(address)
        for address, link in self.links.items():
            if link.outbox and not self.state.members.is_live(address, now):
                link.reset(now)

    def tell_served(self, now: float) -> None:
        """Tell the other schedulers of a service what customers were served here."""
        scheduler = self.state.scheduler
        if not scheduler.served.own:
            return
        services = {pool.service for pool in scheduler.budgets}
        pools = [pool for service in services for pool in self.state.pools.of(service)]
        addresses = {self.state.pools.scheduler(pool, now) for pool in pools} - {self.own, None}
        for address in sorted(addresses):
            self.send(address, scheduler.served_news())

    def leave(self) -> None:
        """Tell all routers that this one is about to stop, so that they choose other schedulers."""
        now = self.clock.monotonic()
        members = self.state.members
        addresses = [entry.address for entry in members.live(now) if entry.address != self.own]
        members.leave()
        self.send_gossip((members.own,), addresses)

    @handler("NewsDue")
    def on_news(self, news: StoreNews) -> None:
        """Send changes of the store to the own data centre, and a watcher's also to the relays of others."""
        members = self.state.members
        entries = members.first_in_each(self.clock.monotonic())
        ranks = Counter()
        addresses = []
        for entry in entries:
            is_relay = ranks[entry.data_centre] < RELAYS and self.store.is_watching
            ranks[entry.data_centre] += 1
            if entry.address != self.own and (is_relay or entry.data_centre == members.own.data_centre):
                addresses.append(entry.address)
        self.sock.send(news, addresses)
