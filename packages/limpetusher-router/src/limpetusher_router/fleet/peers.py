"""Messages between this router and its peers: membership, scheduling and updates of the store."""

import logging
import math
from collections import Counter, deque
from collections.abc import Iterable
from functools import singledispatchmethod

from circuits.core import BaseComponent, handler

from limpetusher.clock import Clock
from limpetusher.errors import InvalidInputError, UnsendableMessageError
from limpetusher.events import Event
from limpetusher.fleet.connection.link import Link
from limpetusher.fleet.messages import (
    PROTOCOL_VERSION,
    Datagram,
    Gossip,
    MemberEntry,
    Message,
    Packet,
    Ping,
    RateLimitUpdate,
    StoreUpdate,
    TargetGrant,
    TargetQuery,
    TargetRefusal,
)
from limpetusher.fleet.model import Pool
from limpetusher.fleet.process.members import GOSSIP_INTERVAL_SECONDS
from limpetusher.fleet.process.prompt_quarantine import Quarantine
from limpetusher.fleet.process.strikes import is_request
from limpetusher_router.events import (
    PEER_EXCHANGE,
    REQUESTS,
    STORE,
    ConfirmStoreCopy,
    DeadlineReached,
    SchedulerAnswerReceived,
    TransmitPeerMessages,
)
from limpetusher_router.fleet.datagrams import DatagramSocket
from limpetusher_router.fleet.placement_runs import PlacementRuns
from limpetusher_router.fleet.state import FleetState
from limpetusher_router.fleet.store_reader import RELAYS_PER_DATA_CENTRE, StoreReader
from limpetusher_router.process.deadlines import Deadline, Deadlines
from limpetusher_router.process.logs import log_event
from limpetusher_router.process.metrics import Metrics

RESEND_TICK_SECONDS = 0.05
"""Tick interval while messages are unacknowledged."""
BUSY_TICK_SECONDS = 0.1
"""Tick interval while requests are open here or scheduled by this router."""
LATE_TICK_SECONDS = 0.1
"""Delay of a tick from which this process counts as stalled, so that the silence of peers is ignored."""
SCHEDULER_SILENCE_SECONDS = 0.3
"""Time without an acknowledgement after which a router is no longer chosen as a scheduler; shorter than the
tightest goals."""
MAXIMUM_SCHEDULER_SILENCE_SECONDS = 0.9
"""The same for a router whose acknowledgements have been late lately because it is busy. Another scheduler
would know neither the load of the targets nor what customers were served, so a late answer is better."""
WAITING_REQUESTS_PING_SECONDS = 0.1
"""Time without a message after which a scheduler that has to answer requests of this router is pinged."""
OPEN_REQUESTS_PING_SECONDS = 0.4
"""The same for a scheduler that has only granted requests, which it drops after the time below."""
SUCCESSOR_PING_SECONDS = 0.05
"""Time without an acknowledgement after which the routers are pinged to which the requests of a scheduler may
move, unless its acknowledgements usually take longer."""
CLIENT_SILENCE_SECONDS = 1.0
"""Time without a message after which a scheduler drops the requests of a router, which pings more often."""
SERVED_TOKENS_INTERVAL_SECONDS = 0.25
"""Time between two messages to the other schedulers of a service on how much each customer was served."""
MINIMUM_CORRECTION_INTERVAL_SECONDS = 0.2
"""Minimum time between two corrections sent to a router that asks the wrong scheduler."""
MAXIMUM_LIMITS_PER_UPDATE = 20
"""Maximum number of limits of targets in one message; six messages of about 500 bytes share a datagram."""
PLACEMENT_RUN = "place"
"""Subject of the deadline of a placement run."""

logger = logging.getLogger(__name__)


def invalid_query_refusal(query: TargetQuery) -> TargetRefusal:
    """Return the refusal of a request that no scheduler can handle."""
    return TargetRefusal(
        query.request_id,
        query.attempt,
        "the prompt has too many parts or its numbers are out of range",
        retry_after_seconds=query.goal_seconds,
        backlog_seconds=0.0,
        served_part=0.0,
    )


class PeerMessaging(BaseComponent):
    """Carries the messages between the scheduling components of this router and of its peers.

    Parameters
    ----------
    state
        State of the fleet, and the schedulers of this router.
    sock
        Socket for datagrams.
    store
        Reader of the platform's store.
    clock
        Source of time.
    deadlines
        Heap of deadlines.
    metrics
        Metrics of the process.
    """

    channel = PEER_EXCHANGE

    def __init__(
        self,
        state: FleetState,
        *,
        sock: DatagramSocket,
        store: StoreReader,
        clock: Clock,
        deadlines: Deadlines,
        metrics: Metrics,
    ):
        super().__init__()
        self.state = state
        self.sock = sock
        self.store = store
        self.clock = clock
        self.deadlines = deadlines
        self.links: dict[str, Link] = {}
        self.pending_addresses: set[str] = set()
        """Addresses of links that may have something to send."""
        self.local_messages: deque[Message] = deque()
        """Messages from this router to itself."""
        self.is_transmit_scheduled = False
        self.next_tick: Deadline | None = None
        """Deadline of the next tick, which checks the links, schedulers and clients."""
        self.last_gossip_at = 0.0
        self.last_served_tokens_at = 0.0
        self.last_correction_at: dict[str, float] = {}
        """When each router was last told that it asked the wrong scheduler."""
        self.placement_runs = PlacementRuns(state, clock=clock, metrics=metrics)
        self.next_placement: Deadline | None = None
        """Deadline of the next placement run."""

    @property
    def own_address(self) -> str:
        """Return the address of this router."""
        return self.state.members.own.address

    def link_to(self, address: str) -> Link:
        """Return the link to a router, which is created if needed."""
        link = self.links.get(address)
        if link is None:
            link = Link(self.state.members.own.incarnation, self.clock.monotonic())
            self.links[address] = link
        return link

    def send(self, address: str, message: Message) -> None:
        """Queue a message to a router, which may be this one; queued messages are sent together."""
        if address == self.own_address:
            self.local_messages.append(message)
        else:
            try:
                self.link_to(address).send(message, self.clock.monotonic())
            except UnsendableMessageError as error:
                logger.warning("can't send a message to %s: %s", address, error)
                if isinstance(message, TargetQuery):
                    self.fire(SchedulerAnswerReceived(address, invalid_query_refusal(message)), REQUESTS)
                return
            self.pending_addresses.add(address)
        self.schedule_transmit()

    def schedule_transmit(self) -> None:
        """Schedule a transmission after the events that are already queued."""
        if not self.is_transmit_scheduled:
            self.is_transmit_scheduled = True
            self.fire(TransmitPeerMessages(), PEER_EXCHANGE)

    @handler("TransmitPeerMessages")
    def on_transmit(self) -> None:
        """Handle the messages to this router itself, run the placement and send the messages to peers."""
        self.is_transmit_scheduled = False
        now = self.clock.monotonic()
        while self.local_messages:
            self.try_message(self.own_address, self.local_messages.popleft(), now)
        self.place_waiting_requests(now)
        self.transmit(now)

    def transmit(self, now: float) -> None:
        """Send the packets that are due on the links."""
        pending, self.pending_addresses = self.pending_addresses, set()
        is_unacknowledged = False
        for address in sorted(pending):
            link = self.links[address]
            for packet in link.packets(now):
                self.sock.send(packet, [address])
            is_unacknowledged = is_unacknowledged or bool(link.outbox)
        if is_unacknowledged:
            self.schedule_tick_by(now + RESEND_TICK_SECONDS)
        elif self.is_busy:
            self.schedule_tick_by(now + BUSY_TICK_SECONDS)

    @property
    def is_busy(self) -> bool:
        """Return whether this router has open requests, scheduled requests or held targets."""
        return bool(
            self.state.scheduler_client.target_requests
            or self.state.scheduler.is_active
            or self.state.held_until
            or self.state.withheld
        )

    @property
    def tick_interval_seconds(self) -> float:
        """Return the time until the next tick; an idle router ticks only to gossip."""
        if any(link.outbox for link in self.links.values()):
            return RESEND_TICK_SECONDS
        return BUSY_TICK_SECONDS if self.is_busy else GOSSIP_INTERVAL_SECONDS

    def schedule_tick_by(self, when: float) -> None:
        """Bring the next tick forward if it is later than `when`."""
        if self.next_tick is not None and self.next_tick.when > when:
            self.next_tick.cancel()
            self.next_tick = self.deadlines.schedule(when, DeadlineReached(), PEER_EXCHANGE)

    def place_waiting_requests(self, now: float) -> None:
        """Run the placement, now or once the minimum interval since the last run is over."""
        scheduler = self.state.scheduler
        confirmed_from = scheduler.binding.confirmation_needed_at
        if confirmed_from is not None:
            self.fire(ConfirmStoreCopy(confirmed_from), STORE)
        if not scheduler.has_waiting:
            return
        runs = self.placement_runs
        if now < runs.earliest_at:
            self.schedule_placement_by(runs.earliest_at)
            return
        for address, answer in runs.run(now):
            self.send(address, answer)
        if scheduler.has_waiting:
            self.schedule_placement_by(runs.next_poll_at)

    @handler("StoreCopyConfirmed")
    def on_copy_confirmed(self, until: float) -> None:
        """Accept the requests that waited until the list of targets was known to be complete."""
        now = self.clock.monotonic()
        self.state.scheduler.confirm_targets(until, now)
        self.place_waiting_requests(now)
        self.transmit(now)

    def schedule_placement_by(self, when: float) -> None:
        """Schedule a placement run at `when` unless an earlier one is scheduled."""
        if self.next_placement is not None:
            if self.next_placement.when <= when:
                return
            self.next_placement.cancel()
        self.next_placement = self.deadlines.schedule(when, DeadlineReached(PLACEMENT_RUN), PEER_EXCHANGE)

    @handler("DatagramsReceived")
    def on_datagrams(self, received: list[tuple[str, Datagram]]) -> None:
        """Handle datagrams of peers."""
        now = self.clock.monotonic()
        for address, datagram in received:
            if address != self.own_address:
                self.state.members.record_message(address, now)
                try:
                    self.handle_datagram(datagram, address, now)
                except Exception:
                    # A datagram that can't be handled must not affect the others of the batch.
                    logger.exception("failed to handle a datagram from %s", address)
        self.place_waiting_requests(now)
        self.transmit(now)

    @singledispatchmethod
    def handle_datagram(self, datagram: Datagram, address: str, now: float) -> None:
        """Handle one datagram."""
        raise TypeError(f"unexpected datagram: {datagram!r}")

    @handle_datagram.register
    def handle_packet(self, packet: Packet, address: str, now: float) -> None:
        """Handle a packet of a link and the messages that it completes."""
        if packet.acknowledged_incarnation > self.state.members.own.incarnation:
            self.raise_incarnation(packet.acknowledged_incarnation, now)
        received = self.link_to(address).receive(packet, now)
        self.pending_addresses.add(address)
        if received.has_restarted:
            self.state.scheduler.remove_client(address, now)
            self.state.scheduler_client.register_again(address, now)
            self.send_shared_state(address, now)
        for message in received.messages:
            self.try_message(address, message, now)

    def raise_incarnation(self, incarnation: int, now: float) -> None:
        """Raise the incarnation above that of an earlier process at this address, whose clock was ahead."""
        self.state.members.supersede_incarnation(incarnation)
        for link in self.links.values():
            link.incarnation = self.state.members.own.incarnation
            link.reset(now)
        for address in self.links:
            self.state.scheduler.remove_client(address, now)
            self.state.scheduler_client.register_again(address, now)

    @handle_datagram.register
    def handle_gossip(self, gossip: Gossip, address: str, now: float) -> None:
        """Merge the membership entries of a peer."""
        own_incarnation = self.state.members.own.incarnation
        changed_peers = self.state.members.merge(gossip.entries, now)
        for peer in changed_peers:
            log_event(Event.PEER_REACHABLE, peer=peer, told_by=address)
        if address in changed_peers or self.state.members.is_sender_behind(gossip.entries, now):
            self.send_gossip(self.state.members.join_entries(now), [address])
            self.send_shared_state(address, now)
        if self.state.members.own.incarnation != own_incarnation:
            self.raise_incarnation(self.state.members.own.incarnation, now)
        if gossip.wall_seconds and math.isfinite(gossip.wall_seconds):
            self.state.versions.clocks.record(address, gossip.wall_seconds, now)
        if math.isfinite(gossip.longest_wait_seconds):
            self.state.scheduler.binding.waits.record_told(gossip.longest_wait_seconds)
        self.store.note_peer_revision(address, gossip.revision)
        self.store.note_peer_configuration(address, gossip.configuration_version)

    def send_gossip(self, entries: tuple[MemberEntry, ...], addresses: list[str]) -> None:
        """Send membership entries and the state of the own store copy to routers."""
        gossip = Gossip(
            PROTOCOL_VERSION,
            entries,
            self.store.mirror.revision,
            self.state.configuration_in_force.version,
            self.clock.wall(),
            self.state.scheduler.binding.waits.longest_of_all,
        )
        self.sock.send(gossip, addresses)

    @handle_datagram.register
    def handle_store_update(self, update: StoreUpdate, address: str, now: float) -> None:
        """Handle an update of the store."""
        peer = self.state.members.peers.get(address)
        is_from_other_data_centre = (
            peer is not None and peer.entry.data_centre != self.state.members.own.data_centre
        )
        self.store.handle_update(address, update, is_from_other_data_centre=is_from_other_data_centre)

    def try_message(self, address: str, message: Message, now: float) -> None:
        """Handle one message of a router; a failure does not affect the messages behind it."""
        try:
            self.handle_message(address, message, now)
        except InvalidInputError as error:
            logger.warning("invalid message from %s: %s", address, error)
            if isinstance(message, TargetQuery):
                self.send(address, invalid_query_refusal(message))
        except Exception:
            logger.exception("failed to handle a message from %s", address)

    def handle_message(self, address: str, message: Message, now: float) -> None:
        """Handle one message of a router."""
        if isinstance(message, (TargetGrant, TargetRefusal)):
            self.fire(SchedulerAnswerReceived(address, message), REQUESTS)
        elif not isinstance(message, Ping):
            if isinstance(message, TargetQuery):
                self.send_correction(address, message, now)
            self.state.scheduler.receive(address, message, now)

    def send_correction(self, address: str, ask: TargetQuery, now: float) -> None:
        """Send a router that asks the wrong scheduler the membership entry of the right one."""
        members = self.state.members
        scheduler = self.state.pools.scheduler(Pool(ask.service, ask.data_centre), now)
        if scheduler in (self.own_address, None, address):
            return
        if now >= self.last_correction_at.get(address, -math.inf) + MINIMUM_CORRECTION_INTERVAL_SECONDS:
            self.last_correction_at[address] = now
            self.send_gossip((members.own, members.peers[scheduler].entry), [address])

    @handler("DeadlineReached")
    def on_due(self, subject: object) -> None:
        """Run the placement, or do a tick: check schedulers and clients, and send what is due."""
        now = self.clock.monotonic()
        if subject == PLACEMENT_RUN:
            self.next_placement = None
            self.place_waiting_requests(now)
            self.transmit(now)
            return
        was_stalled = self.next_tick is not None and now - self.next_tick.when > LATE_TICK_SECONDS
        self.next_tick = self.deadlines.schedule(
            now + self.tick_interval_seconds, DeadlineReached(), PEER_EXCHANGE
        )
        if was_stalled:
            # Messages that arrived during the stall may not have been read yet.
            for link in self.links.values():
                link.heard_at = now
        else:
            self.check_schedulers(now)
            self.check_clients(now)
        self.state.drop_expired_targets()
        self.state.apply_withheld_changes()
        self.state.scheduler_client.on_tick(now)
        self.state.scheduler.on_tick(now)
        self.announce_quarantines(now)
        self.announce_limits(now)
        self.announce_streams(now)
        if now >= self.last_gossip_at + GOSSIP_INTERVAL_SECONDS:
            self.last_gossip_at = now
            self.run_gossip_round(now)
        if now >= self.last_served_tokens_at + SERVED_TOKENS_INTERVAL_SECONDS:
            self.last_served_tokens_at = now
            self.send_served_tokens(now)
        self.placement_runs.log_summary(now)
        self.pending_addresses.update(
            address for address, link in self.links.items() if link.resend_at <= now
        )
        self.place_waiting_requests(now)
        self.transmit(now)

    def announce_quarantines(self, now: float) -> None:
        """Tell all routers which prompt parts and requests they have to refuse, and which ones no longer.

        The other schedulers are told which requests were open at crashes, as repeats may come to their pools.
        """
        quarantine = self.state.scheduler.quarantine
        for strike in quarantine.take_strikes(now):
            for address in self.other_schedulers(now):
                self.send(address, strike)
        changed = quarantine.changed
        update = quarantine.take_changes(now)
        if update.is_empty:
            return
        for entry in changed:
            log_quarantine(entry, now)
        cleared_parts = [part_id for service, part_id in update.cleared if service]
        if cleared_parts:
            log_event(Event.PROMPT_CLEARED, parts=cleared_parts)
        for _service, digest in filter(is_request, update.cleared):
            log_event(Event.REQUEST_CLEARED, digest=digest)
        self.send_to_all(update, now)

    def other_schedulers(self, now: float) -> list[str]:
        """Return the other routers that schedule a pool, which may get the repeats of a request."""
        pools = self.state.pools
        found = {
            pools.scheduler(pool, now)
            for service in self.state.placement.by_service
            for pool in pools.for_service(service)
        }
        return sorted(found - {self.own_address, None})

    def announce_limits(self, now: float) -> None:
        """Send new limits of request rates to all routers, as each of them may become a scheduler."""
        limits = self.state.placement.limits.take_unannounced()
        for update in rate_limit_updates(limits, is_change=True):
            self.send_to_all(update, now)

    def announce_streams(self, now: float) -> None:
        """Tell the routers that may schedule a pool next which versions began its streams.

        Nothing is sent while there is only one version.
        """
        scheduler = self.state.scheduler
        services = [service for service in self.state.placement.by_service if self.has_versions(service, now)]
        if not services or not scheduler.streams.unannounced:
            return
        addresses = self.deputies_for(services, now)
        for message in scheduler.streams.take_unannounced(now):
            for address in addresses:
                self.send(address, message)

    def announce_silences(self, now: float) -> None:
        """Tell routers that may schedule a pool which others are out of contact since they started.

        Only routers that may schedule one themselves do so, as all of them notice a silence.
        """
        silences = self.state.members.unannounced_silences(now)
        if not silences:
            return
        deputies = self.possible_schedulers_of(self.state.placement.by_service, now)
        for message, receivers in silences if self.own_address in deputies else ():
            for address in deputies.intersection(receivers):
                self.send(address, message)

    def deputies_for(self, services: Iterable[str], now: float) -> list[str]:
        """Return the other routers that may schedule a pool of some services next."""
        return sorted(self.possible_schedulers_of(services, now) - {self.own_address})

    def possible_schedulers_of(self, services: Iterable[str], now: float) -> set[str]:
        """Return the routers that schedule a pool of some services or may do so next."""
        pools = [pool for service in services for pool in self.state.pools.for_service(service)]
        return {address for pool in pools for address in self.state.pools.deputies(pool, now)}

    def has_versions(self, service: str, now: float) -> bool:
        """Return whether targets of a service have or lately had several software versions."""
        return len(self.state.versions.recent_versions(service, now)) > 1

    def send_to_all(self, message: Message, now: float) -> None:
        """Send a message to all other live routers."""
        for member in self.state.members.live(now):
            if member.address != self.own_address:
                self.send(member.address, message)

    def send_shared_state(self, address: str, now: float) -> None:
        """Send the quarantines and the limits of targets to a router that may not know them."""
        quarantine = self.state.scheduler.quarantine
        if quarantine.quarantines:
            self.send(address, quarantine.update(quarantine.quarantines, now))
        limits = self.state.placement.limits.known_limits()
        for update in rate_limit_updates(limits, is_change=False):
            self.send(address, update)
        if self.state.versions.is_informed(now) and self.store.is_current():
            self.send(address, self.state.versions.update(self.state.placement.by_service, now))
        for message in self.state.members.silences(now):
            self.send(address, message)
        if any(self.has_versions(service, now) for service in self.state.placement.by_service):
            for message in self.state.scheduler.streams.known(now):
                self.send(address, message)

    def check_schedulers(self, now: float) -> None:
        """Suspect schedulers that acknowledge nothing, and ping those that have sent nothing lately."""
        for address, is_waiting in self.state.scheduler_client.schedulers().items():
            if address == self.own_address:
                continue
            ping_seconds = WAITING_REQUESTS_PING_SECONDS if is_waiting else OPEN_REQUESTS_PING_SECONDS
            link = self.link_to(address)
            self.suspect_if_silent(address, now)
            if not link.outbox and now - link.heard_at > ping_seconds:
                self.send(address, Ping())
            elif link.silent_seconds(now) > max(SUCCESSOR_PING_SECONDS, link.expected_delay_seconds):
                self.check_successors(address, now)

    def check_successors(self, scheduler: str, now: float) -> None:
        """Suspect or ping the routers to which the requests of a late scheduler may move.

        Those that fail with it must not be found silent one after another by the requests that move to them.
        """
        silent_since = now - self.link_to(scheduler).silent_seconds(now)
        services = self.state.scheduler_client.services_of(scheduler)
        for address in self.deputies_for(services, now):
            if address == scheduler:
                continue
            self.suspect_if_silent(address, now)
            is_heard = self.state.members.peers[address].last_message_at >= silent_since
            if not is_heard and not self.link_to(address).outbox:
                self.send(address, Ping())

    def suspect_if_silent(self, address: str, now: float) -> None:
        """Suspect a router that has acknowledged nothing for too long."""
        link = self.link_to(address)
        silent_seconds = link.silent_seconds(now)
        if silent_seconds > silence_limit(link) and self.state.members.suspect(address, now):
            log_event(Event.PEER_UNREACHABLE, peer=address, silent=round(silent_seconds, 3))

    def check_clients(self, now: float) -> None:
        """Drop the requests of silent routers; a router that is still alive sends its requests again."""
        for address in list(self.state.scheduler.by_client):
            if address == self.own_address:
                continue
            link = self.link_to(address)
            if now - link.heard_at > CLIENT_SILENCE_SECONDS:
                self.state.scheduler.remove_client(address, now)
                link.reset(now)

    def run_gossip_round(self, now: float) -> None:
        """Send membership entries to some routers, and drop the state of forgotten ones."""
        self.state.members.set_load(self.state.own_load(now))
        self.state.record_own_clock()
        entries, addresses = self.state.members.gossip(now)
        self.send_gossip(entries, addresses)
        self.announce_silences(now)
        for address in self.state.members.forget(now):
            self.links.pop(address, None)
            self.state.versions.clocks.forget(address)
            self.last_correction_at.pop(address, None)
            self.pending_addresses.discard(address)
        for address, link in self.links.items():
            if link.outbox and not self.state.members.is_live(address, now):
                link.reset(now)

    def send_served_tokens(self, now: float) -> None:
        """Send the other schedulers of a service how much each customer was served by this one."""
        scheduler = self.state.scheduler
        if not scheduler.served.own:
            return
        services = {pool.service for pool in scheduler.budgets}
        pools = [pool for service in services for pool in self.state.pools.for_service(service)]
        addresses = {self.state.pools.scheduler(pool, now) for pool in pools} - {self.own_address, None}
        for address in sorted(addresses):
            self.send(address, scheduler.served_tokens_update(now))

    def announce_departure(self) -> None:
        """Announce to all routers that this one is about to stop, so that they choose other schedulers."""
        now = self.clock.monotonic()
        members = self.state.members
        addresses = [entry.address for entry in members.live(now) if entry.address != self.own_address]
        members.leave()
        self.state.pools.invalidate_schedulers(now)
        self.send_gossip((members.own,), addresses)

    @handler("SendStoreUpdate")
    def on_store_update(self, update: StoreUpdate) -> None:
        """Send an update of the store within the data centre, as a watcher also to relays elsewhere."""
        members = self.state.members
        entries = members.interleaved_members(self.clock.monotonic())
        ranks = Counter()
        addresses = []
        for entry in entries:
            is_relay = ranks[entry.data_centre] < RELAYS_PER_DATA_CENTRE and self.store.is_watching
            ranks[entry.data_centre] += 1
            if entry.address != self.own_address and (
                is_relay or entry.data_centre == members.own.data_centre
            ):
                addresses.append(entry.address)
        self.sock.send(update, addresses)


def log_quarantine(quarantine: Quarantine, now: float) -> None:
    """Log that prompt parts or a request are quarantined."""
    seconds = round(max(0.0, quarantine.until - now), 3)
    part_ids = sorted(part_id for _service, part_id in quarantine.parts)
    if not quarantine.is_request:
        log_event(Event.PROMPT_QUARANTINED, parts=part_ids, seconds=seconds)
        return
    log_event(
        Event.REQUEST_QUARANTINED,
        digest=part_ids[0],
        service=quarantine.service,
        customer=quarantine.customer,
        crashes=quarantine.crashes,
        seconds=seconds,
    )


def rate_limit_updates(limits: tuple[tuple[str, float], ...], *, is_change: bool) -> list[RateLimitUpdate]:
    """Return the messages that tell limits of targets, several of which fit into a datagram."""
    return [
        RateLimitUpdate(is_change, limits[first : first + MAXIMUM_LIMITS_PER_UPDATE])
        for first in range(0, len(limits), MAXIMUM_LIMITS_PER_UPDATE)
    ]


def silence_limit(link: Link) -> float:
    """Return the time without an acknowledgement after which a scheduler counts as unreachable."""
    return min(max(SCHEDULER_SILENCE_SECONDS, link.expected_delay_seconds), MAXIMUM_SCHEDULER_SILENCE_SECONDS)
