"""Bursts of prompts at an engine, with pauses for the streams that run there.

An engine interleaves chunks of prompts with the tokens of running streams. While prompts wait, each step
takes as long as a whole chunk and streams miss their pause goal. The fleet therefore sends prompts in bursts
that are read within a part of that goal, and lets the engine finish each burst before the next one.
"""

import math
import random
from dataclasses import dataclass

from limpetusher.fleet.settings import FleetSettings

MOST_TURNS = 2.0
"""Bound on the turns that a prompt gives way, so that engines aren't left idle for long."""


@dataclass(slots=True)
class Burst:
    """The present burst at one engine; times are readings of the monotonic clock."""

    unread: int = 0
    """Prompt tokens that wait at the engine by the newest reports."""
    sent: int = 0
    """Prompt tokens sent since the engine last had none waiting."""
    grown_at: float = 0.0
    """When the newest prompt was noticed."""
    ended_at: float = -math.inf
    """When the engine had read the last burst."""
    next_at: float = 0.0
    """When the next burst may begin."""


class ReadingBursts:
    """Bursts by engine.

    Each router waits a random time before it begins a burst, so that the reports of the first one reach the
    others before they begin as well. Requests of customers with more service wait longer (see `admits`).

    Parameters
    ----------
    settings
        Constants of the policy.
    rng
        Source of the random times.
    """

    def __init__(self, settings: FleetSettings, rng: random.Random):
        self.settings = settings
        self.rng = rng
        self.bursts: dict[str, Burst] = {}

    def observe(self, target_id: str, unread: int, routers: int, now: float) -> None:
        """Note how many prompt tokens wait at an engine."""
        burst = self.bursts.setdefault(target_id, Burst())
        if unread > burst.unread:
            burst.sent += unread - burst.unread
            burst.grown_at = now
        elif unread == 0 and burst.unread:
            burst.sent = 0
            burst.ended_at = now
            spread = min(
                self.settings.burst_spread_seconds * (routers - 1), self.settings.burst_spread_maximum
            )
            burst.next_at = now + self.settings.burst_pause_seconds + spread * self.rng.random()
        burst.unread = unread

    def admits(
        self,
        target_id: str,
        tokens: int,
        window: float,
        now: float,
        *,
        share_used: float = 0.0,
        is_scarce: bool = False,
    ) -> bool:
        """Return whether a prompt may be sent now; one larger than a whole burst is sent alone.

        The routers don't share a queue, so those with the least served customers begin a burst first. A
        customer that has used its share (`share_used` of 1 and more) gets what the others leave of a burst.
        One below its share may extend a burst that others have filled if capacity is scarce.
        """
        burst = self.bursts.get(target_id)
        if burst is None:
            return True
        turn = self.settings.burst_turn_seconds * min(share_used, MOST_TURNS)
        earliest = burst.next_at if share_used < 1.0 else max(burst.next_at, burst.grown_at)
        if is_scarce:
            window *= 1.0 + self.settings.burst_excess_part * max(0.0, 1.0 - share_used)
        if now < earliest + turn:
            return False
        return burst.unread == 0 or burst.sent + tokens <= window

    def is_idle(self, target_id: str, now: float) -> bool:
        """Return whether an engine has had nothing to read for a while."""
        burst = self.bursts.get(target_id)
        if burst is None:
            return True
        return burst.unread == 0 and now >= burst.ended_at + self.settings.idle_seconds

    def forget(self, target_id: str) -> None:
        """Forget an engine that is gone."""
        self.bursts.pop(target_id, None)
