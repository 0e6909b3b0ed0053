"""Bursts of prompts at an engine, with pauses for the streams that run there.

An engine interleaves chunks of prompts with the tokens of running streams. While prompts wait, each step
takes as long as a whole chunk and streams miss their pause goal. The fleet therefore sends prompts in bursts
that are read within a part of that goal, and lets the engine finish each burst before the next one.
"""

import random
from dataclasses import dataclass

from limpetusher.fleet.settings import FleetSettings


@dataclass(slots=True)
class Burst:
    """The present burst at one engine; times are readings of the monotonic clock."""

    unread: int = 0
    """Prompt tokens that wait at the engine by the newest reports."""
    sent: int = 0
    """Prompt tokens sent since the engine last had none waiting."""
    next_at: float = 0.0
    """When the next burst may begin."""


class ReadingBursts:
    """Bursts by engine.

    Each router waits a random time before it begins a burst, so that the reports of the first one reach the
    others before they begin as well.

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
        elif unread == 0 and burst.unread:
            burst.sent = 0
            spread = min(
                self.settings.burst_spread_seconds * (routers - 1), self.settings.burst_spread_maximum
            )
            burst.next_at = now + self.settings.burst_pause_seconds + spread * self.rng.random()
        burst.unread = unread

    def admits(
        self, target_id: str, tokens: int, window: float, now: float, *, served_part: float = 0.0
    ) -> bool:
        """Return whether a prompt may be sent now; one larger than a whole burst is sent alone.

        `served_part` is the service of the customer relative to the most served one, from 0 to 1. The routers
        don't share a queue, so those with the least served customers begin a burst first.
        """
        burst = self.bursts.get(target_id)
        if burst is None:
            return True
        if now < burst.next_at + served_part * self.settings.burst_turn_seconds:
            return False
        return burst.unread == 0 or burst.sent + tokens <= window

    def forget(self, target_id: str) -> None:
        """Forget an engine that is gone."""
        self.bursts.pop(target_id, None)
