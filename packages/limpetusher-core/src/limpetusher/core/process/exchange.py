"""The regular exchange with peers: heartbeats out and in, reachability, leases and relayed state."""

import math

from limpetusher.core.actions import WatchConfiguration
from limpetusher.core.context import Context
from limpetusher.core.process.backlog import Backlog
from limpetusher.core.process.dispatch import Dispatcher
from limpetusher.core.process.offers import Offers
from limpetusher.core.process.routes import Routes
from limpetusher.core.request.lifecycle import Lifecycle
from limpetusher.core.request.queue import RequestQueue
from limpetusher.events import Event
from limpetusher.wire.messages import ConfigurationRequest, Heartbeat, HeldGrant, View, ViewRequest

VIEW_REPEAT_SECONDS = 0.5
VIEW_GIVE_UP_SECONDS = 5.0
ORDER_INTERVAL_SECONDS = 1.0


class Exchange:
    """Sends and receives heartbeats and keeps what depends on the reachability of peers up to date.

    Parameters
    ----------
    context
        The router's parts.
    queue, routes, backlog, offers, dispatcher, lifecycle
        Parts of the request side that peers' heartbeats concern.
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
        lifecycle: Lifecycle,
        started_at: float,
        wall_offset_seconds: float,
    ):
        self.context = context
        self.queue = queue
        self.routes = routes
        self.book = dispatcher.book
        self.backlog = backlog
        self.offers = offers
        self.dispatcher = dispatcher
        self.lifecycle = lifecycle
        self.wall_offset_seconds = wall_offset_seconds
        self.next_tick = started_at
        self.next_orders = started_at
        self.reachable: dict[str, bool] = {}
        self.unheard_since: dict[str, float] = {}
        self.view_wanted_until = started_at + VIEW_GIVE_UP_SECONDS
        self.view_asked_at = -math.inf
        self.configuration_asked_at = -math.inf
        self.owners_outdated = False
        self.owners_rebuilt_at = -math.inf
        self.watching: bool | None = None

    # Regular work

    def tick(self) -> None:
        """Do what is done once in an exchange interval."""
        context, now = self.context, self.context.now
        self.next_tick = now + context.settings.exchange_interval_seconds
        self.check_reachability()
        context.ledger.expire(now)
        # Also while nothing is granted here, as a customer that has become idle must not keep its credit.
        self.dispatcher.update_backlogged()
        lent = context.shares.lend(now)
        self.send_heartbeats(lent)
        self.ask_for_state()
        self.watch()
        if now >= self.next_orders:
            self.next_orders = now + ORDER_INTERVAL_SECONDS
            self.order()
        self.lifecycle.refuse_unmeetable()
        self.offers.sender.repeat()
        self.wake_targets()

    def wake_targets(self) -> None:
        """Look at all owned targets again for which somebody may wait."""
        if self.book.open_lines:
            self.context.dirty_targets.update(dict.fromkeys(self.routes.owned))

    def peers(self) -> list[str]:
        """Return the other listed routers."""
        return [router for router in self.context.membership.routers() if router != self.context.own_id]

    def check_reachability(self) -> None:
        """Notice peers that have become silent; those that are heard again are noticed by their heartbeat."""
        context, now = self.context, self.context.now
        changed = self.update_leaving() or self.owners_outdated
        for peer in self.peers():
            reachable = context.peers.is_reachable(peer, now)
            if self.reachable.get(peer, False) and not reachable:
                changed = True
                self.lost(peer)
            elif not reachable and now >= self.unheard_since.get(peer, math.inf):
                context.fairness.forget_peer(peer)
                del self.unheard_since[peer]
        if changed:
            self.owners_changed()

    def lost(self, peer: str) -> None:
        """Drop what a peer that has become silent had asked for."""
        context = self.context
        self.reachable[peer] = False
        self.unheard_since[peer] = context.now + context.settings.peer_forget_seconds
        self.dispatcher.drop_demand(peer)
        self.backlog.drop(peer)
        self.offers.sender.forget(peer)
        context.log(Event.PEER_UNREACHABLE, peer=peer)

    def update_leaving(self) -> bool:
        """Give up ownership while stopping, if another router can take over; return whether that changed.

        The last router of a data centre goes on using its targets, so that its waiting requests finish.
        """
        context = self.context
        if not context.stopping:
            return False
        leaving = any(
            context.peers.is_reachable(peer, context.now) and not context.membership.is_leaving(peer)
            for peer in context.membership.routers_in(context.data_centre)
            if peer != context.own_id
        )
        if leaving == context.membership.leaving_self:
            return False
        context.membership.leaving_self = leaving
        return True

    def owners_may_change(self) -> None:
        """Rebuild what depends on owners, but only once in an exchange interval when many peers appear."""
        if self.context.now >= self.owners_rebuilt_at + self.context.settings.exchange_interval_seconds:
            self.owners_changed()
        else:
            self.owners_outdated = True

    def owners_changed(self) -> None:
        """Rebuild what depends on which router owns which target."""
        context = self.context
        self.owners_outdated = False
        self.owners_rebuilt_at = context.now
        before = self.routes.owned
        self.routes.rebuild(context.now)
        for target_id in self.routes.owned:
            if target_id not in before:
                context.log(Event.OWNERSHIP_GAINED, target=target_id)
        for target_id in before:
            if target_id not in self.routes.owned:
                context.log(Event.OWNERSHIP_LOST, target=target_id)
        self.offers.owners_changed()
        self.wake_targets()

    def send_heartbeats(self, lent: dict[str, tuple[str, ...]]) -> None:
        """Send a heartbeat to every peer, and take the own requests into the own ledger."""
        context, now = self.context, self.context.now
        held: dict[str, list[HeldGrant]] = {}
        for owner, entry in self.lifecycle.held():
            held.setdefault(owner, []).append(entry)
        own = held.pop(context.own_id, [])
        context.charge(context.ledger.held(context.own_id, own, now, sent_after=now))
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
        """Send one heartbeat."""
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
                charged=context.fairness.changes_for(peer, echoed, sequence=sequence),
                waiting_customers=waiting,
                free_slots=free,
                fencing=context.orders.highest_fencing_number,
            ),
        )

    def ask_for_state(self) -> None:
        """Ask a peer for virtual times after a start, and for a configuration while there is none."""
        context, now = self.context, self.context.now
        nearest = self.nearest_peer()
        if nearest is None:
            return
        if now < self.view_wanted_until and now >= self.view_asked_at + VIEW_REPEAT_SECONDS:
            self.view_asked_at = now
            context.send(nearest, ViewRequest())
        missing = context.rollout.configuration is None
        if missing and now >= self.configuration_asked_at + VIEW_REPEAT_SECONDS:
            self.configuration_asked_at = now
            context.send(nearest, ConfigurationRequest())

    def nearest_peer(self) -> str | None:
        """Return a reachable peer, of the own data centre if possible."""
        near = self.context.membership.routers_in(self.context.data_centre)
        reachable = [peer for peer, up in self.reachable.items() if up]
        return min(reachable, key=lambda peer: (peer not in near, peer), default=None)

    def watch(self) -> None:
        """Start or stop watching the configuration service."""
        watching = self.context.rollout.should_watch(self.context.now)
        if watching != self.watching:
            self.watching = watching
            self.context.actions.append(WatchConfiguration(watching))

    def order(self) -> None:
        """Send due orders to engines."""
        context = self.context
        configuration = context.rollout.configuration
        if configuration is None or not configuration.placements or context.stopping:
            return
        wall_milliseconds = int((context.now + self.wall_offset_seconds) * 1000)
        for order in context.orders.decide(
            configuration,
            context.reports,
            context.shares,
            wall_milliseconds,
            context.now,
            membership=context.membership,
        ):
            context.actions.append(order)
            context.log(Event.ORDER_SENT, target=order.target_id, fencing_number=order.fencing_number)

    # Messages

    def heartbeat(self, sender: str, incarnation: int, message: Heartbeat) -> None:
        """Take a peer's heartbeat."""
        context, now = self.context, self.context.now
        was_leaving = context.peers.is_leaving(sender)
        change = context.peers.received(
            sender, incarnation, message.sequence, message.echo, now, message.leaving
        )
        if change.outdated:
            return
        if change.restarted:
            self.dispatcher.drop_demand(sender)
            self.offers.sender.forget(sender)
            context.fairness.peer_restarted(sender)
        self.found(sender)
        context.shares.accept(
            sender, message.echo, message.lent_targets, now, host_list_version=message.host_list_version
        )
        # Grants that the peer no longer lists are dropped, which frees slots.
        context.dirty_targets.update((entry.target_id, None) for entry in context.ledger.entries_of(sender))
        sent_after = context.peers.sent_at(sender, message.echo)
        context.charge(context.ledger.held(sender, message.held, now, sent_after=sent_after))
        context.fairness.peer_charged(sender, incarnation, message.charged)
        self.backlog.replace(sender, message.waiting_customers)
        self.dispatcher.confirm_demand(sender, message)
        self.offers.free_slots.update(message.free_slots)
        context.orders.heard(message.fencing)
        self.ask_for_newer(sender, message)
        if change.became_reachable or change.restarted or was_leaving != message.leaving:
            self.owners_may_change()
        context.dirty_targets.update(dict.fromkeys(message.lent_targets))

    def ask_for_newer(self, sender: str, message: Heartbeat) -> None:
        """Ask a peer for its configuration or host list when it is newer than the own one."""
        context, now = self.context, self.context.now
        version, digest = message.configuration_version, message.configuration_digest
        asks = (
            context.rollout.peer_version(sender, version, digest, now),
            context.rollout.peer_host_list(sender, message.host_list_version, now),
        )
        for ask in asks:
            if ask is not None:
                context.send(ask.peer, ask.payload)

    def found(self, peer: str) -> None:
        """Note that a peer is reachable."""
        self.unheard_since.pop(peer, None)
        if not self.reachable.get(peer, False):
            self.reachable[peer] = True
            self.context.log(Event.PEER_REACHABLE, peer=peer)

    def view(self, message: View) -> None:
        """Take over the virtual times that were asked for after the start."""
        if self.context.now < self.view_wanted_until:
            self.view_wanted_until = -math.inf
            self.context.fairness.adopt(message)

    def hosts_changed(self) -> None:
        """Forget peers that are no longer listed."""
        context = self.context
        listed = set(context.membership.routers())
        for peer in context.peers.forget_unlisted(listed):
            context.fairness.forget_peer(peer)
        for peer in [peer for peer in self.reachable if peer not in listed]:
            if self.reachable.pop(peer):
                self.lost(peer)
                del self.reachable[peer]
            self.unheard_since.pop(peer, None)
            self.dispatcher.drop_demand(peer)
            self.backlog.drop(peer)
            self.offers.sender.forget(peer)
