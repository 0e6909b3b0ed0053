"""Dispatching by the owner of targets: matches the routers' demand with free slots and issues grants."""

from collections.abc import Callable, Container, Iterable
from dataclasses import dataclass

from limpetusher.core.context import Context
from limpetusher.core.inputs import LoadReported
from limpetusher.core.process.backlog import Backlog
from limpetusher.core.process.demand_book import DemandBook, DemandLine
from limpetusher.core.process.routes import Routes
from limpetusher.core.request.record import Bucket, UsedGrant
from limpetusher.events import Event
from limpetusher.wire.messages import Demand, Grant, GrantRelease, GrantReturn, Heartbeat

INITIAL_BACKOFF_SECONDS = 0.25
MAXIMUM_BACKOFF_SECONDS = 4.0


@dataclass(slots=True)
class TargetBackoff:
    """Backoff of a target after failed connections: it gets no grants before `until`."""

    until: float
    duration_seconds: float
    failed_at: float


class Dispatcher:
    """Issues grants for the targets that this router owns.

    Parameters
    ----------
    context
        Components and state of the router.
    routes
        Targets by service and owner.
    demand_book
        Demand of all routers.
    backlog
        Customers with waiting requests at any router.
    """

    def __init__(self, context: Context, routes: Routes, demand_book: DemandBook, backlog: Backlog):
        self.context = context
        self.routes = routes
        self.demand_book = demand_book
        self.backlog = backlog
        self.use_grant: Callable[[Bucket, UsedGrant], bool] = lambda bucket, grant: False
        """Uses a grant to this router and returns whether a request took it; set by `RequestLifecycle`."""
        self.backoffs: dict[str, TargetBackoff] = {}
        self.issued_grants = 0

    def accept_demand(self, sender: str, message: Demand) -> None:
        """Replace or update a router's demand with its newest message."""
        services = self.demand_book.apply_demand(sender, message, self.context.now)
        self.context.demanded_services.update(dict.fromkeys(services))
        self.backlog.replace(demand_source_name(sender), self.demand_book.holder_customers(sender))

    def drop_stale_demand(self, sender: str, message: Heartbeat) -> None:
        """Drop the demand of customers that a router's heartbeat no longer lists as waiting."""
        if self.demand_book.drop_stale_lines(sender, message.sequence, message.waiting_customers):
            self.backlog.replace(demand_source_name(sender), self.demand_book.holder_customers(sender))

    def drop_demand(self, sender: str) -> None:
        """Remove the demand of a router that is unreachable, unlisted or has restarted."""
        self.demand_book.remove_router(sender)
        self.backlog.drop(demand_source_name(sender))

    def accept_release(self, message: GrantRelease) -> None:
        """Free the slot of a finished request and correct its charge."""
        context, now = self.context, self.context.now
        change = context.ledger.release(message.grant_id, message.cost, message.complete, now)
        if change is not None:
            context.charge([change])
            if message.complete and message.cost is not None:
                context.fairness.observe_cost(change.customer, change.service, message.cost)
        if message.target_failed:
            self.record_connection_failure(message.target_id)
        elif message.complete:
            self.backoffs.pop(message.target_id, None)
        context.dirty_targets[message.target_id] = None

    def accept_return(self, message: GrantReturn) -> None:
        """Free the slot of an unused grant and take back its charge."""
        context, now = self.context, self.context.now
        change = context.ledger.return_grant(message.grant_id, message.target_failed, now)
        if change is not None:
            context.charge([change])
        if message.target_failed:
            self.record_connection_failure(message.target_id)
        context.dirty_targets[message.target_id] = None

    def record_connection_failure(self, target_id: str, *, back_off: bool = True) -> None:
        """Treat a target as cold after a connection to it failed or broke."""
        context = self.context
        if target_id not in context.ledger.targets:
            return
        if context.ledger.is_warm(target_id):
            context.log(Event.TARGET_COLD, target=target_id, reason="connection failed")
        context.ledger.record_connection_failure(target_id, context.now)
        if back_off:
            self.start_backoff(target_id)

    def apply_load_report(self, report: LoadReported) -> None:
        """Apply a target's load report."""
        context, target_id = self.context, report.target_id
        if target_id not in context.ledger.targets:
            return
        context.reports[target_id] = report
        was_warm = context.ledger.is_warm(target_id)
        context.ledger.apply_load_report(report, context.now)
        is_warm = context.ledger.is_warm(target_id)
        if was_warm and not is_warm:
            context.log(Event.TARGET_COLD, target=target_id, reason="load report")
        elif is_warm and not was_warm:
            context.log(Event.TARGET_WARM, target=target_id)
        backoff = self.backoffs.get(target_id)
        if backoff is not None and context.now - report.report_age_seconds > backoff.failed_at:
            del self.backoffs[target_id]
        context.dirty_targets[target_id] = None

    def start_backoff(self, target_id: str) -> None:
        """Start or extend the backoff of a target.

        A target that refuses connections always appears to have free slots. Without a backoff it would
        attract all requests.
        """
        now = self.context.now
        backoff = self.backoffs.get(target_id)
        if backoff is None:
            self.backoffs[target_id] = TargetBackoff(
                now + INITIAL_BACKOFF_SECONDS, INITIAL_BACKOFF_SECONDS, now
            )
            return
        backoff.failed_at = now
        if now >= backoff.until:
            backoff.duration_seconds = min(2 * backoff.duration_seconds, MAXIMUM_BACKOFF_SECONDS)
            backoff.until = now + backoff.duration_seconds

    def keep_targets(self, targets: Container[str]) -> None:
        """Remove the state of all targets except `targets`, which are listed and have a known class."""
        reports = self.context.reports
        self.backoffs = {
            target_id: backoff for target_id, backoff in self.backoffs.items() if target_id in targets
        }
        self.context.reports = {name: report for name, report in reports.items() if name in targets}

    def retry_backed_off_targets(self) -> None:
        """Mark targets whose backoff has ended for another attempt."""
        for target_id, backoff in self.backoffs.items():
            if backoff.until <= self.context.now:
                self.context.dirty_targets[target_id] = None

    def next_due(self) -> float:
        """Return when the next backoff ends of a target that has waiting requests."""
        now = self.context.now
        due = float("inf")
        for target_id, backoff in self.backoffs.items():
            if backoff.until > now and self.demand_book.has_open_requests(
                self.routes.owned_targets.get(target_id, ())
            ):
                due = min(due, backoff.until)
        return due

    def free_slots(self, target_id: str) -> int:
        """Return how many more requests the target can accept now; 0 if this router does not own it."""
        if target_id not in self.routes.owned_targets:
            return 0
        backoff = self.backoffs.get(target_id)
        if backoff is not None and self.context.now < backoff.until:
            return 0
        return max(0, self.context.ledger.usable_slots(target_id, self.context.slot_leases, self.context.now))

    def all_free_slots(self) -> dict[str, int]:
        """Return the free slots of all owned targets, for heartbeats."""
        return {target_id: self.free_slots(target_id) for target_id in self.routes.owned_targets}

    def grant_free_slots(self) -> None:
        """Issue grants for slots that the current input has freed or that its new demand can use."""
        context = self.context
        candidates = dict.fromkeys(t for t in context.dirty_targets if t in self.routes.owned_targets)
        for service in context.demanded_services:
            candidates.update(dict.fromkeys(self.routes.owned_targets_for(service)))
        context.dirty_targets.clear()
        context.demanded_services.clear()
        free = self.free_slots_with_demand(candidates)
        while free:
            services = dict.fromkeys(s for target_id in free for s in self.routes.owned_targets[target_id])
            customers = self.demand_book.customers(services)
            if not customers:
                return
            self.update_backlogged_customers()
            line, target_id = self.choose_request(context.fairness.choose_customer(customers), services, free)
            if not self.issue_grant(line, target_id):
                return
            free[target_id] -= 1
            if free[target_id] <= 0:
                del free[target_id]

    def update_backlogged_customers(self) -> None:
        """Pass the customers with waiting requests at any router to `Fairness` if they have changed."""
        if self.backlog.changed:
            self.context.fairness.set_backlogged(self.backlog.customers())

    def free_slots_with_demand(self, target_ids: Iterable[str]) -> dict[str, int]:
        """Return the free slots of the targets that have some and for which requests wait."""
        free = {}
        for target_id in target_ids:
            if self.demand_book.has_open_requests(self.routes.owned_targets[target_id]):
                slots = self.free_slots(target_id)
                if slots > 0:
                    free[target_id] = slots
        return free

    def choose_request(
        self, customer: str, services: Iterable[str], free: dict[str, int]
    ) -> tuple[DemandLine, str]:
        """Choose one of the customer's waiting requests and a target for it.

        A request that prefers a free target comes first, then one of a router in this data centre, then the
        oldest.
        """

        def key(line: DemandLine) -> tuple:
            prefers = any(target_id in free for target_id in line.preferred)
            host = self.context.membership.hosts.get(line.holder)
            same_data_centre = host is not None and host.data_centre == self.context.data_centre
            return (not prefers, not same_data_centre, line.oldest_at, line.holder)

        line = min(self.demand_book.lines(customer, services), key=key)
        service = line.bucket.service
        for target_id in line.preferred:
            if target_id in free and service in self.routes.owned_targets[target_id]:
                return line, target_id
        capable_targets = [target_id for target_id in free if service in self.routes.owned_targets[target_id]]
        return line, max(capable_targets, key=lambda target_id: free[target_id])

    def issue_grant(self, line: DemandLine, target_id: str) -> bool:
        """Issue one grant; return False if it was for this router itself and no request could use it."""
        context, now = self.context, self.context.now
        customer, service = line.bucket.customer, line.bucket.service
        self.issued_grants += 1
        grant_id = f"{context.own_id}.{context.incarnation:x}.{self.issued_grants}"
        estimate = context.fairness.estimate(customer, service, line.prompt_cost, line.cost_hint)
        context.ledger.add_grant(grant_id, target_id, line.holder, customer, service, estimate, now)
        context.fairness.charge(customer, estimate)
        valid = context.settings.grant_valid_seconds
        if line.holder == context.own_id:
            if self.use_grant(line.bucket, UsedGrant(grant_id, target_id, context.own_id, now + valid)):
                return True
            self.accept_return(GrantReturn(grant_id, target_id))
            return False
        number = self.demand_book.record_grant(line, now)
        echo = max(self.demand_book.demand_of(line.holder).sequence, context.peers.echo_for(line.holder))
        context.send(line.holder, Grant(grant_id, number, target_id, service, customer, echo, valid))
        return True


def demand_source_name(router: str) -> str:
    """Return the name of a router's demand as a source of the backlog."""
    return f"demand of {router}"
