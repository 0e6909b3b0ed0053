"""Choice of a target for a request."""

from dataclasses import dataclass

from limpetusher.fleet.model import Engine, Service, Target, Work
from limpetusher.fleet.process.budgets import ColdLimit
from limpetusher.fleet.process.caches import PromptCaches
from limpetusher.fleet.process.health import TargetHealth
from limpetusher.fleet.process.loads import Loads, OpenWork
from limpetusher.fleet.process.rates import ReadingRates
from limpetusher.fleet.settings import FleetSettings
from limpetusher.fleet.version.routing import stable_hash

REMOTE_COST = 0.5
"""Cost of a target in another data centre, in open requests: only ties are decided by the place."""
UNTRUSTED_COST = 1_000.0
"""Cost of a target with many failed answers: it is chosen when no other can take the request."""


@dataclass(frozen=True, slots=True)
class Placed:
    """A target for a request, and the work that it means there."""

    target: Target
    work: OpenWork
    unread_ahead: int
    """Prompt tokens that wait at the target, those of the request included."""
    is_cold: bool


class Placement:
    """Chooses targets from what the fleet has open at each of them.

    Parameters
    ----------
    settings
        Constants of the policy.
    own_id
        Name of this router.
    data_centre
        Data centre of this router.
    """

    def __init__(self, settings: FleetSettings, *, own_id: str, data_centre: str):
        self.settings = settings
        self.own_id = own_id
        self.data_centre = data_centre
        self.services: dict[str, Service] = {}
        self.goals: dict[str, float] = {}
        """Tightest goal of each service's routes, in seconds."""
        self.targets: dict[str, Target] = {}
        self.by_service: dict[str, list[Target]] = {}
        self.evacuated: set[str] = set()
        self.routers: list[str] = [own_id]
        self.health: dict[str, TargetHealth] = {}
        self.loads = Loads()
        self.rates = ReadingRates(settings)
        self.caches = PromptCaches()
        self.cold_limit = ColdLimit()

    def put_target(self, target: Target) -> None:
        """Take the newest state of a target."""
        known = self.targets.get(target.target_id)
        if known is not None and known.started_at_milliseconds != target.started_at_milliseconds:
            self.caches.forget(target.target_id)
        self.targets[target.target_id] = target
        if known is None or known.revision != target.revision:
            self.health_of(target.target_id).announced()
        self.index()

    def remove_target(self, target_id: str) -> None:
        """Forget a target."""
        if self.targets.pop(target_id, None) is not None:
            self.health.pop(target_id, None)
            self.rates.forget(target_id)
            self.caches.forget(target_id)
            self.index()

    def index(self) -> None:
        """Group the targets by service."""
        self.by_service = {}
        for target in self.targets.values():
            self.by_service.setdefault(target.service, []).append(target)

    def health_of(self, target_id: str) -> TargetHealth:
        """Return what was experienced with a target."""
        return self.health.setdefault(target_id, TargetHealth())

    def is_listed(self, target: Target) -> bool:
        """Return whether a target may get new work at all."""
        return not target.is_draining and target.data_centre not in self.evacuated

    def usable(self, service: str, now: float) -> list[Target]:
        """Return the targets of a service that may get new work."""
        return [
            target
            for target in self.by_service.get(service, ())
            if self.is_listed(target) and not self.health_of(target.target_id).is_suspended(now)
        ]

    def total_rate(self, service: str, now: float) -> float:
        """Return the prompt tokens that all usable engines of a service read in a second."""
        return sum(self.rates.rate(service, target.target_id) for target in self.usable(service, now))

    def choose(self, work: Work, now: float) -> Placed | None:
        """Return a target that can take the request now, None when it has to wait."""
        service = self.services.get(work.service)
        if service is None:
            return None
        targets = [
            target for target in self.usable(work.service, now) if target.target_id not in work.excluded
        ]
        if service.engine is None or work.session is None:
            return self.choose_least_busy(work, service, targets, now)
        return self.choose_engine(work, service, service.engine, targets, now)

    def choose_least_busy(
        self, work: Work, service: Service, targets: list[Target], now: float
    ) -> Placed | None:
        """Return the target with the fewest open requests that has a free slot."""
        best: tuple[float, Target, OpenWork, bool] | None = None
        for target in targets:
            total = self.loads.total(target.target_id)
            if total.requests >= target.slots:
                continue
            is_cold = self.is_cold(target, now)
            if is_cold and not self.bears(target, service, now):
                continue
            cost = total.requests + REMOTE_COST * (target.data_centre != self.data_centre)
            cost += self.distrust(target)
            if best is None or cost < best[0]:
                best = (cost, target, total, is_cold)
        if best is None:
            return None
        _cost, target, total, is_cold = best
        load = OpenWork(1, work.prompt_tokens, work.memory_tokens)
        return Placed(target, load, total.unread_tokens + work.prompt_tokens, is_cold)

    def ranked(self, session: str, targets: list[Target]) -> list[Target]:
        """Return the engines in the session's order."""
        return sorted(targets, key=lambda target: stable_hash(session, target.target_id))

    def choose_engine(
        self, work: Work, service: Service, engine: Engine, targets: list[Target], now: float
    ) -> Placed | None:
        """Return the engine at which the request is read soonest, counting what would be read again."""
        best: tuple[float, Placed] | None = None
        for rank, target in enumerate(self.ranked(work.session, targets)[: self.settings.candidates]):
            placed = self.weigh(work, service, engine, target, rank, now)
            if placed is not None and (best is None or placed[0] < best[0]):
                best = placed
        return best[1] if best is not None else None

    def weigh(
        self, work: Work, service: Service, engine: Engine, target: Target, rank: int, now: float
    ) -> tuple[float, Placed] | None:
        """Return the cost of one engine, None when it has no room."""
        target_id = target.target_id
        total = self.loads.total(target_id)
        if total.requests >= min(target.slots, engine.slots):
            return None
        memory = self.settings.memory_part * engine.memory_tokens
        if total.requests and total.memory_tokens + work.memory_tokens > memory:
            return None
        unread = self.caches.unread_tokens(target_id, work.parts, work.prompt_tokens)
        if rank == 0:
            # Other routers send the session to the same engine, so its shared parts are expected there.
            unread = min(unread, work.parts[-1].tokens if len(work.parts) > 1 else unread)
        rate = self.rates.rate(service.name, target_id)
        if total.unread_tokens and total.unread_tokens + unread > self.window(service.name) * rate:
            return None
        is_cold = self.is_cold(target, now)
        if is_cold and not self.bears(target, service, now):
            return None
        cost = (total.unread_tokens + self.settings.reread_weight * unread) / rate + self.distrust(target)
        load = OpenWork(1, unread, work.memory_tokens)
        return cost, Placed(target, load, total.unread_tokens + unread, is_cold)

    def window(self, service: str) -> float:
        """Return how many seconds of reading may wait at one engine."""
        goal = self.goals.get(service, 1.0)
        return max(self.settings.least_window_seconds, self.settings.unread_window_part * goal)

    def distrust(self, target: Target) -> float:
        """Return the extra cost of a target that fails many requests."""
        return 0.0 if self.health_of(target.target_id).is_trusted else UNTRUSTED_COST

    def is_cold(self, target: Target, now: float) -> bool:
        """Return whether a target bears only little work."""
        return now < target.cold_until or self.health_of(target.target_id).is_unconfirmed(now)

    def bears(self, target: Target, service: Service, now: float) -> bool:
        """Return whether this router may send to a cold target now."""
        if service.cold_per_second <= 0:
            return True
        return self.cold_limit.allows(
            target.target_id, service.cold_per_second, self.own_id, self.routers, now
        )

    def start(self, work: Work, placed: Placed, now: float) -> None:
        """Count a request that is sent."""
        target_id = placed.target.target_id
        self.loads.start(target_id, placed.work)
        self.caches.sent(target_id, work.parts)
        service = self.services[work.service]
        if placed.is_cold and service.cold_per_second > 0:
            self.cold_limit.sent(target_id, service.cold_per_second, len(self.routers), now)
