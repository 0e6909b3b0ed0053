"""The owner's side: demand in, grants out, and the choice of customer and target for a free slot."""

from collections.abc import Callable, Container, Iterable
from dataclasses import dataclass

from limpetusher.core.context import Context
from limpetusher.core.inputs import LoadReported
from limpetusher.core.process.backlog import Backlog
from limpetusher.core.process.demand_book import DemandBook, DemandLine
from limpetusher.core.process.routes import Routes
from limpetusher.core.request.record import Bucket, UsedGrant
from limpetusher.events import Event
from limpetusher.wire.messages import Demand, Grant, GrantReturned, Heartbeat, Release

BLOCK_SECONDS = 0.25
MAXIMUM_BLOCK_SECONDS = 4.0


@dataclass(slots=True)
class Block:
    """A target that gets no grants until a time, because connections to it failed."""

    until: float
    seconds: float
    failed_at: float


class Dispatcher:
    """Issues grants for the targets that this router owns.

    Parameters
    ----------
    context
        The router's parts.
    routes
        Targets by service and owner.
    book
        Demand of all routers.
    backlog
        Customers with waiting work anywhere.
    """

    def __init__(self, context: Context, routes: Routes, book: DemandBook, backlog: Backlog):
        self.context = context
        self.routes = routes
        self.book = book
        self.backlog = backlog
        self.use_grant: Callable[[Bucket, UsedGrant], bool] = lambda bucket, grant: False
        """Uses a grant to this router itself and returns whether it could; set by the life cycle."""
        self.blocks: dict[str, Block] = {}
        self.grants = 0

    def demand(self, sender: str, message: Demand) -> None:
        """Take a router's demand."""
        services = self.book.replace(sender, message, self.context.now)
        self.context.wanted_services.update(dict.fromkeys(services))
        self.backlog.replace(demand_source(sender), self.book.holder_customers(sender))

    def confirm_demand(self, sender: str, message: Heartbeat) -> None:
        """Drop what a router asked for earlier and no longer waits for, according to its heartbeat."""
        if self.book.confirm(sender, message.sequence, message.waiting_customers):
            self.backlog.replace(demand_source(sender), self.book.holder_customers(sender))

    def drop_demand(self, sender: str) -> None:
        """Forget the demand of a router that is unreachable, unlisted or restarted."""
        self.book.drop(sender)
        self.backlog.drop(demand_source(sender))

    def released(self, message: Release) -> None:
        """Free the slot of a request that has ended."""
        context, now = self.context, self.context.now
        change = context.ledger.release(message.grant_id, message.cost, message.complete, now)
        if change is not None:
            context.charge([change])
            if message.complete and message.cost is not None:
                context.fairness.observe_cost(change.customer, change.service, message.cost)
        if message.target_failed:
            self.connection_failed(message.target_id)
        elif message.complete:
            self.blocks.pop(message.target_id, None)
        context.dirty_targets[message.target_id] = None

    def returned(self, message: GrantReturned) -> None:
        """Free the slot of a grant that was not used."""
        context, now = self.context, self.context.now
        change = context.ledger.returned(message.grant_id, message.target_failed, now)
        if change is not None:
            context.charge([change])
        if message.target_failed:
            self.connection_failed(message.target_id)
        context.dirty_targets[message.target_id] = None

    def connection_failed(self, target_id: str, *, block: bool = True) -> None:
        """Count a target as cold after a connection to it failed or broke."""
        context = self.context
        if target_id not in context.ledger.targets:
            return
        if context.ledger.is_warm(target_id):
            context.log(Event.TARGET_COLD, target=target_id, reason="connection failed")
        context.ledger.connection_failed(target_id, context.now)
        if block:
            self.block(target_id)

    def load_reported(self, report: LoadReported) -> None:
        """Take a target's load report."""
        context, target_id = self.context, report.target_id
        if target_id not in context.ledger.targets:
            return
        context.reports[target_id] = report
        was_warm = context.ledger.is_warm(target_id)
        context.ledger.load_reported(report, context.now)
        is_warm = context.ledger.is_warm(target_id)
        if was_warm and not is_warm:
            context.log(Event.TARGET_COLD, target=target_id, reason="load report")
        elif is_warm and not was_warm:
            context.log(Event.TARGET_WARM, target=target_id)
        block = self.blocks.get(target_id)
        if block is not None and context.now - report.report_age_seconds > block.failed_at:
            del self.blocks[target_id]
        context.dirty_targets[target_id] = None

    def block(self, target_id: str) -> None:
        """Give no grants for a target for a while.

        A target that refuses connections always looks free. Without the pause, it would draw all requests.
        """
        now = self.context.now
        block = self.blocks.get(target_id)
        if block is None:
            self.blocks[target_id] = Block(now + BLOCK_SECONDS, BLOCK_SECONDS, now)
            return
        block.failed_at = now
        if now >= block.until:
            block.seconds = min(2 * block.seconds, MAXIMUM_BLOCK_SECONDS)
            block.until = now + block.seconds

    def keep_targets(self, targets: Container[str]) -> None:
        """Forget targets that are no longer listed or have no known class."""
        reports = self.context.reports
        self.blocks = {target_id: block for target_id, block in self.blocks.items() if target_id in targets}
        self.context.reports = {name: report for name, report in reports.items() if name in targets}

    def unblock_due(self) -> None:
        """Try blocked targets again whose pause is over."""
        for target_id, block in self.blocks.items():
            if block.until <= self.context.now:
                self.context.dirty_targets[target_id] = None

    def next_due(self) -> float:
        """Return when the next pause of a target ends for which somebody waits."""
        now = self.context.now
        due = float("inf")
        for target_id, block in self.blocks.items():
            if block.until > now and self.book.has_open(self.routes.owned.get(target_id, ())):
                due = min(due, block.until)
        return due

    def free_slots(self, target_id: str) -> int:
        """Return how many requests the target can take now."""
        if target_id not in self.routes.owned:
            return 0
        block = self.blocks.get(target_id)
        if block is not None and self.context.now < block.until:
            return 0
        return max(0, self.context.ledger.usable(target_id, self.context.shares, self.context.now))

    def all_free_slots(self) -> dict[str, int]:
        """Return the free slots of all owned targets, for heartbeats."""
        return {target_id: self.free_slots(target_id) for target_id in self.routes.owned}

    def fill(self) -> None:
        """Grant the free slots that the present input has made available or wanted."""
        context = self.context
        candidates = dict.fromkeys(t for t in context.dirty_targets if t in self.routes.owned)
        for service in context.wanted_services:
            candidates.update(dict.fromkeys(self.routes.owned_for(service)))
        context.dirty_targets.clear()
        context.wanted_services.clear()
        free = self.free_among(candidates)
        while free:
            services = dict.fromkeys(s for target_id in free for s in self.routes.owned[target_id])
            customers = self.book.customers(services)
            if not customers:
                return
            self.update_backlogged()
            line, target_id = self.choose(context.fairness.choose(customers), services, free)
            if not self.grant(line, target_id):
                return
            free[target_id] -= 1
            if free[target_id] <= 0:
                del free[target_id]

    def update_backlogged(self) -> None:
        """Tell the fairness part which customers have work waiting anywhere."""
        if self.backlog.changed:
            self.context.fairness.set_backlogged(self.backlog.customers())

    def free_among(self, target_ids: Iterable[str]) -> dict[str, int]:
        """Return the free slots of those targets that have any and for which somebody waits."""
        free = {}
        for target_id in target_ids:
            if self.book.has_open(self.routes.owned[target_id]):
                slots = self.free_slots(target_id)
                if slots > 0:
                    free[target_id] = slots
        return free

    def choose(self, customer: str, services: Iterable[str], free: dict[str, int]) -> tuple[DemandLine, str]:
        """Choose among a customer's waiting requests, and the target for it.

        A request that prefers a free target comes first, then one of the own data centre, then the oldest.
        """

        def key(line: DemandLine) -> tuple:
            prefers = any(target_id in free for target_id in line.preferred)
            host = self.context.membership.hosts.get(line.holder)
            near = host is not None and host.data_centre == self.context.data_centre
            return (not prefers, not near, line.oldest_at, line.holder)

        line = min(self.book.lines(customer, services), key=key)
        service = line.bucket.service
        for target_id in line.preferred:
            if target_id in free and service in self.routes.owned[target_id]:
                return line, target_id
        able = [target_id for target_id in free if service in self.routes.owned[target_id]]
        return line, max(able, key=lambda target_id: free[target_id])

    def grant(self, line: DemandLine, target_id: str) -> bool:
        """Issue one grant; return False when this router's own request could not use it."""
        context, now = self.context, self.context.now
        customer, service = line.bucket.customer, line.bucket.service
        self.grants += 1
        grant_id = f"{context.own_id}.{context.incarnation:x}.{self.grants}"
        estimate = context.fairness.estimate(customer, service, line.prompt_cost, line.cost_hint)
        context.ledger.grant(grant_id, target_id, line.holder, customer, service, estimate, now)
        context.fairness.charge(customer, estimate)
        valid = context.settings.grant_valid_seconds
        if line.holder == context.own_id:
            if self.use_grant(line.bucket, UsedGrant(grant_id, target_id, context.own_id, now + valid)):
                return True
            self.returned(GrantReturned(grant_id, target_id))
            return False
        number = self.book.granted(line, now)
        echo = max(self.book.holder(line.holder).sequence, context.peers.echo_for(line.holder))
        context.send(line.holder, Grant(grant_id, number, target_id, service, customer, echo, valid))
        return True


def demand_source(router: str) -> str:
    """Return the name under which the customers in a router's demand are entered in the backlog."""
    return f"demand of {router}"
