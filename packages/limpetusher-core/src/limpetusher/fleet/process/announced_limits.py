"""Request rates that targets name in their answers as the limit for all routers together.

A router that learns of a limit tells the scheduler of the target. The scheduler applies it to the requests of
the whole fleet, and tells all routers, since any of them may become the scheduler.
"""

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AnnouncedLimit:
    """Limit of one target in requests per second, infinite for none, and when this router learned of it."""

    per_second: float
    learned_at: float


class AnnouncedLimits:
    """Limits of targets as this router knows them, and which of them others have to be told."""

    def __init__(self):
        self.limits: dict[str, AnnouncedLimit] = {}
        """Limit of each target that has ever named one, infinite if it names none any more."""
        self.reported: dict[str, tuple[str, float]] = {}
        """Scheduler that was last told the limit of a target, and the limit."""
        self.announced: dict[str, float] = {}
        """Limits that all routers have been told by a scheduler."""
        self.unannounced: set[str] = set()
        """Targets whose limit this router has to announce as their scheduler."""

    def per_second(self, target_id: str) -> float:
        """Return the limit of a target, infinite for none."""
        limit = self.limits.get(target_id)
        return limit.per_second if limit is not None else math.inf

    def learn(self, target_id: str, per_second: float, now: float) -> bool:
        """Record the limit of a target; return whether it has changed."""
        if per_second == self.per_second(target_id):
            return False
        self.limits[target_id] = AnnouncedLimit(per_second, now)
        return True

    def learn_from_answer(self, target_id: str, per_second: float, *, sent_at: float, now: float) -> bool:
        """Record the limit named in the answer to a request; return whether it has changed.

        An answer to a request that was sent before the last change may be older than that change.
        """
        known = self.limits.get(target_id)
        if known is not None and sent_at <= known.learned_at:
            return False
        return self.learn(target_id, per_second, now)

    def needs_report(self, target_id: str, scheduler: str) -> bool:
        """Return whether a scheduler has to be told the limit of a target, and record that it is told."""
        reported_to, reported = self.reported.get(target_id, (scheduler, math.inf))
        per_second = self.per_second(target_id)
        if (reported_to, reported) == (scheduler, per_second):
            return False
        self.reported[target_id] = scheduler, per_second
        return True

    def record_report(self, target_id: str, per_second: float, now: float) -> bool:
        """Record what a router has told this scheduler; return whether the limit has changed."""
        if self.announced.get(target_id, math.inf) != per_second:
            self.announced[target_id] = per_second
            self.unannounced.add(target_id)
        return self.learn(target_id, per_second, now)

    def record_announcement(self, scheduler: str, target_id: str, per_second: float, now: float) -> bool:
        """Record what a scheduler has told all routers; return whether the limit has changed."""
        self.announced[target_id] = per_second
        self.reported[target_id] = scheduler, per_second
        return self.learn(target_id, per_second, now)

    def take_unannounced(self) -> tuple[tuple[str, float], ...]:
        """Return the limits that this router has to announce as a scheduler, by target."""
        entries = tuple((target_id, self.per_second(target_id)) for target_id in sorted(self.unannounced))
        self.unannounced.clear()
        return entries

    def known_limits(self) -> tuple[tuple[str, float], ...]:
        """Return the limits in force by target, for a router that knows none."""
        return tuple(
            (target_id, limit.per_second)
            for target_id, limit in self.limits.items()
            if limit.per_second < math.inf
        )

    def forget(self, target_id: str) -> None:
        """Remove the state of a target that has stopped or restarted."""
        self.limits.pop(target_id, None)
        self.reported.pop(target_id, None)
        self.announced.pop(target_id, None)
        self.unannounced.discard(target_id)
