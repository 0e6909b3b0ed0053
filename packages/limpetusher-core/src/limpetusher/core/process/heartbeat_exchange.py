"""Periodic heartbeats to and from peers, with reachability, leases and the state of a started router."""

import math

from limpetusher.core.actions import WatchConfiguration
from limpetusher.core.context import Context
from limpetusher.core.process.backlog import Backlog
from limpetusher.core.process.dispatcher import Dispatcher
from limpetusher.core.process.offers import Offers
from limpetusher.core.process.routes import Routes
from limpetusher.core.request.lifecycle import RequestLifecycle
from limpetusher.core.request.queue import RequestQueue
from limpetusher.events import Event
from limpetusher.wire.messages import (
    ConfigurationRequest,
    Heartbeat,
    HeldGrant,
    VirtualTimes,
    VirtualTimesRequest,
)

STATE_REQUEST_INTERVAL_SECONDS = 0.5
VIRTUAL_TIMES_TIMEOUT_SECONDS = 5.0
ORDER_INTERVAL_SECONDS = 1.0


class HeartbeatExchange:
    """Sends and receives heartbeats, and updates the state that depends on the reachability of peers.

    Parameters
    ----------
    context
        Components and state of the router.
    queue, routes, backlog, offers, dispatcher, lifecycle
        Components for requests, which heartbeats update or read.
    started_at
        Monotonic time at which the process started.
    wall_offset_seconds
        Wall-clock time minus monotonic time.
    """

    def __init__(
        self,
        context: Context,
        *,
        queue: RequestQueue,
        routes: Routes,
        backlog: Backlog,
        offers: Offers,
        dispatcher: Dispatcher,
        lifecycle: RequestLifecycle,
        started_at: float,
        wall_offset_seconds: float,
    ):
        self.context = context
        self.queue = queue
        self.routes = routes
        self.demand_book = dispatcher.demand_book
        self.backlog = backlog
        self.offers = offers
        self.dispatcher = dispatcher
        self.lifecycle = lifecycle
        self.wall_offset_seconds = wall_offset_seconds
        self.next_tick = started_at
        self.next_orders_at = started_at
        self.reachable: dict[str, bool] = {}
        self.forget_peer_at: dict[str, float] = {}
        self.virtual_times_wanted_until = started_at + VIRTUAL_TIMES_TIMEOUT_SECONDS
        self.virtual_times_requested_at = -math.inf
        self.configuration_requested_at = -math.inf
        self.owners_outdated = False
        self.owners_rebuilt_at = -math.inf
        self.watching: bool | None = None

    # Periodic work

    def tick(self) -> None:
        """Do the work of one exchange interval."""
        context, now = self.context, self.context.now
        self.next_tick = now + context.settings.exchange_interval_seconds
        self.check_reachability()
        context.ledger.expire_silent_holders(now)
        # Needed even if nothing is granted here, as a customer that has become idle must not keep its credit.
        self.dispatcher.update_backlogged_customers()
        lent = context.slot_leases.lend_slots(now)
        self.send_heartbeats(lent)
        self.request_state()
        self.update_watch()
        if now >= self.next_orders_at:
            self.next_orders_at = now + ORDER_INTERVAL_SECONDS
            self.send_orders()
        self.lifecycle.refuse_unmeetable_deadlines()
        self.offers.sender.schedule_full_updates()
        self.mark_owned_targets_dirty()

    def mark_owned_targets_dirty(self) -> None:
        """Mark all owned targets to be checked for free slots, if any request waits for one."""
        if self.demand_book.open_lines:
            self.context.dirty_targets.update(dict.fromkeys(self.routes.owned_targets))

    def peers(self) -> list[str]:
        """Return the other listed routers."""
        return [router for router in self.context.membership.routers() if router != self.context.own_id]

    def check_reachability(self) -> None:
        """Detect peers that have become silent; peers that return are detected by their heartbeats."""
        context, now = self.context, self.context.now
        changed = self.update_leaving() or self.owners_outdated
        for peer in self.peers():
            reachable = context.peers.is_reachable(peer, now)
            if self.reachable.get(peer, False) and not reachable:
                changed = True
                self.mark_unreachable(peer)
            elif not reachable and now >= self.forget_peer_at.get(peer, math.inf):
                context.fairness.forget_peer(peer)
                del self.forget_peer_at[peer]
        if changed:
            self.owners_changed()

    def mark_unreachable(self, peer: str) -> None:
        """Remove the demand of a peer that has become silent."""
        context = self.context
        self.reachable[peer] = False
        self.forget_peer_at[peer] = context.now + context.settings.peer_forget_seconds
        self.dispatcher.drop_demand(peer)
        self.backlog.drop(peer)
        self.offers.sender.forget_owner(peer)
        context.log(Event.PEER_UNREACHABLE, peer=peer)

    def update_leaving(self) -> bool:
        """Leave ownership while stopping if another router can take over; return whether this has changed.

        The last router of a data centre keeps its targets, so that its waiting requests finish.
        """
        context = self.context
        if not context.stopping:
            return False
        leaving = any(
            context.peers.is_reachable(peer, context.now) and not context.membership.is_leaving(peer)
            for peer in context.membership.routers_in(context.data_centre)
            if peer != context.own_id
        )
        if leaving == context.membership.self_is_leaving:
            return False
        context.membership.self_is_leaving = leaving
        return True

    def rebuild_owners_or_defer(self) -> None:
        """Rebuild the state that depends on owners, at most once in an exchange interval.

        This limits the work when many peers become reachable at about the same time.
        """
        if self.context.now >= self.owners_rebuilt_at + self.context.settings.exchange_interval_seconds:
            self.owners_changed()
        else:
            self.owners_outdated = True

    def owners_changed(self) -> None:
        """Rebuild the state that depends on the owners of targets."""
        context = self.context
        self.owners_outdated = False
        self.owners_rebuilt_at = context.now
        before = self.routes.owned_targets
        self.routes.rebuild(context.now)
        for target_id in self.routes.owned_targets:
            if target_id not in before:
                context.log(Event.OWNERSHIP_GAINED, target=target_id)
        for target_id in before:
            if target_id not in self.routes.owned_targets:
                context.log(Event.OWNERSHIP_LOST, target=target_id)
        self.offers.owners_changed()
        self.mark_owned_targets_dirty()

    def send_heartbeats(self, lent: dict[str, tuple[str, ...]]) -> None:
        """Send a heartbeat to every peer, and apply the grants that this router holds to its own ledger."""
        context, now = self.context, self.context.now
        held: dict[str, list[HeldGrant]] = {}
        for owner, entry in self.lifecycle.held():
            held.setdefault(owner, []).append(entry)
        own = held.pop(context.own_id, [])
        context.charge(context.ledger.apply_held_grants(context.own_id, own, now, sent_after=now))
        waiting = tuple(self.queue.customers())
        free = self.dispatcher.all_free_slots()
        for peer in self.peers():
            self.send_heartbeat(peer, lent.get(peer, ()), tuple(held.get(peer, ())), waiting, free)

    def send_heartbeat(
        self,
        peer: str,
        lent: tuple[str, ...],
        held: tuple[HeldGrant, ...],
        waiting: tuple[str, ...],
        free: dict[str, int],
    ) -> None:
        """Send a heartbeat to one peer."""
        context = self.context
        sequence = context.peers.next_sequence(peer, context.now)
        echoed = context.peers.echoed_by(peer)
        version, digest = context.rollout.order
        context.send(
            peer,
            Heartbeat(
                sequence=sequence,
                echo=context.peers.echo_for(peer),
                ready=context.ready,
                leaving=context.stopping,
                configuration_version=version,
                configuration_digest=digest,
                host_list_version=context.rollout.host_list_version,
                lent_targets=lent,
                held=held,
                cumulative_charges=context.fairness.changes_for(peer, echoed, sequence=sequence),
                waiting_customers=waiting,
                free_slots=free,
                fencing_number=context.orders.highest_fencing_number,
            ),
        )

    def request_state(self) -> None:
        """Request virtual times from a peer after the start, and a configuration while there is none."""
        context, now = self.context, self.context.now
        nearest = self.nearest_peer()
        if nearest is None:
            return
        if (
            now < self.virtual_times_wanted_until
            and now >= self.virtual_times_requested_at + STATE_REQUEST_INTERVAL_SECONDS
        ):
            self.virtual_times_requested_at = now
            context.send(nearest, VirtualTimesRequest())
        missing = context.rollout.configuration is None
        if missing and now >= self.configuration_requested_at + STATE_REQUEST_INTERVAL_SECONDS:
            self.configuration_requested_at = now
            context.send(nearest, ConfigurationRequest())

    def nearest_peer(self) -> str | None:
        """Return a reachable peer, in this data centre if possible."""
        local_routers = self.context.membership.routers_in(self.context.data_centre)
        reachable = [peer for peer, up in self.reachable.items() if up]
        return min(reachable, key=lambda peer: (peer not in local_routers, peer), default=None)

    def update_watch(self) -> None:
        """Start or stop watching the configuration service."""
        watching = self.context.rollout.should_watch(self.context.now)
        if watching != self.watching:
            self.watching = watching
            self.context.actions.append(WatchConfiguration(watching))

    def send_orders(self) -> None:
        """Send due orders to engines."""
        context = self.context
        configuration = context.rollout.configuration
        if configuration is None or not configuration.placements or context.stopping:
            return
        wall_milliseconds = int((context.now + self.wall_offset_seconds) * 1000)
        for order in context.orders.due_orders(
            configuration,
            context.reports,
            context.slot_leases,
            wall_milliseconds,
            context.now,
            membership=context.membership,
        ):
            context.actions.append(order)
            context.log(Event.ORDER_SENT, target=order.target_id, fencing_number=order.fencing_number)

    # Messages

    def accept_heartbeat(self, sender: str, incarnation: int, message: Heartbeat) -> None:
        """Apply a peer's heartbeat."""
        context, now = self.context, self.context.now
        was_leaving = context.peers.is_leaving(sender)
        change = context.peers.record_heartbeat(
            sender, incarnation, message.sequence, message.echo, now, message.leaving
        )
        if change.outdated:
            return
        if change.restarted:
            self.dispatcher.drop_demand(sender)
            self.offers.sender.forget_owner(sender)
            context.fairness.reset_sent_changes(sender)
        self.mark_reachable(sender)
        context.slot_leases.accept_leases(
            sender, message.echo, message.lent_targets, now, host_list_version=message.host_list_version
        )
        # Grants that the peer no longer lists are dropped, which frees slots.
        context.dirty_targets.update(
            (entry.target_id, None) for entry in context.ledger.entries_of_holder(sender)
        )
        sent_after = context.peers.sent_at(sender, message.echo)
        context.charge(context.ledger.apply_held_grants(sender, message.held, now, sent_after=sent_after))
        context.fairness.apply_peer_charges(sender, incarnation, message.cumulative_charges)
        self.backlog.replace(sender, message.waiting_customers)
        self.dispatcher.drop_stale_demand(sender, message)
        self.offers.free_slots.update(message.free_slots)
        context.orders.record_fencing_number(message.fencing_number)
        self.request_newer_versions(sender, message)
        if change.became_reachable or change.restarted or was_leaving != message.leaving:
            self.rebuild_owners_or_defer()
        context.dirty_targets.update(dict.fromkeys(message.lent_targets))

    def request_newer_versions(self, sender: str, message: Heartbeat) -> None:
        """Request a peer's configuration or host list if it is newer than that of this router."""
        context, now = self.context, self.context.now
        version, digest = message.configuration_version, message.configuration_digest
        requests = (
            context.rollout.record_peer_version(sender, version, digest, now),
            context.rollout.record_peer_host_list(sender, message.host_list_version, now),
        )
        for request in requests:
            if request is not None:
                context.send(request.peer, request.payload)

    def mark_reachable(self, peer: str) -> None:
        """Record that a peer is reachable."""
        self.forget_peer_at.pop(peer, None)
        if not self.reachable.get(peer, False):
            self.reachable[peer] = True
            self.context.log(Event.PEER_REACHABLE, peer=peer)

    def accept_virtual_times(self, message: VirtualTimes) -> None:
        """Adopt the virtual times that were requested after the start."""
        if self.context.now < self.virtual_times_wanted_until:
            self.virtual_times_wanted_until = -math.inf
            self.context.fairness.adopt_snapshot(message)

    def hosts_changed(self) -> None:
        """Remove the state of peers that are no longer listed."""
        context = self.context
        listed = set(context.membership.routers())
        for peer in context.peers.forget_unlisted(listed):
            context.fairness.forget_peer(peer)
        for peer in [peer for peer in self.reachable if peer not in listed]:
            if self.reachable.pop(peer):
                self.mark_unreachable(peer)
                del self.reachable[peer]
            self.forget_peer_at.pop(peer, None)
            self.dispatcher.drop_demand(peer)
            self.backlog.drop(peer)
            self.offers.sender.forget_owner(peer)
