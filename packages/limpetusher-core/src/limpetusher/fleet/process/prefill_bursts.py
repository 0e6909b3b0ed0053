"""Batching of prefill work into bursts, with pauses for the running streams of an engine.

An engine interleaves prefill chunks with decode steps. While prompts wait for prefill, each step takes as
long as a whole chunk, and streams exceed their goal for the gap between tokens. Prompts are therefore sent in
bursts that take a fraction of that goal to prefill, and the engine finishes one burst before it gets the
next.

The first output of a prompt arrives some time after its prefill has ended. Waiting for the last first output
of a burst would leave a fast engine without prefill work for a quarter of the time. The end of a burst is
therefore estimated from the prefill rate of the engine.
"""

import math
from dataclasses import dataclass

from limpetusher.fleet.process.prefill_cooldowns import PrefillCooldowns
from limpetusher.fleet.settings import FleetSettings

MAX_UNREPORTED_FACTOR = 1.5
"""Maximum number of tokens without a first output when the next burst begins, as a multiple of the tokens
that the engine prefills during its output latency. A higher number shows that the engine is slower than
estimated."""

MIN_WAIT_SECONDS = 0.01
"""Minimum expected wait for an engine that admits no prompt now."""


@dataclass(frozen=True, slots=True)
class PrefillSpeed:
    """Prefill rate in tokens per second, and latency from prefill to first output in seconds."""

    rate: float = 0.0
    latency: float = 0.0


UNKNOWN_SPEED = PrefillSpeed()


@dataclass(frozen=True, slots=True)
class SentBurst:
    """Prompt tokens of a sent burst, and the time at which its first prompt was sent."""

    tokens: int
    started_at: float


@dataclass(slots=True)
class Burst:
    """Current burst at one engine. Times are monotonic."""

    pending_tokens: int = 0
    """Prompt tokens at the engine without a first output."""
    sent_tokens: int = 0
    """Prompt tokens sent in the current burst."""
    ended_at: float = -math.inf
    """Time at which the engine finished the last burst."""
    next_burst_at: float = 0.0
    """Earliest start of the next burst."""
    started_at: float = 0.0
    """Time at which the first prompt of the burst was sent."""
    is_excluded_from_samples: bool = False
    """Whether the burst can't be used as a rate sample, because part of it was cancelled or sent at an
    unknown time."""
    previous: SentBurst | None = None
    """Preceding burst, while first outputs of it are outstanding."""


@dataclass(frozen=True, slots=True)
class FinishedBurst:
    """Prompt tokens that an engine has prefilled without a pause, and the duration."""

    tokens: int
    seconds: float


class PrefillBursts:
    """Prefill bursts by engine.

    Parameters
    ----------
    settings
        Constants of the placement policy.
    """

    def __init__(self, settings: FleetSettings):
        self.settings = settings
        self.cooldowns = PrefillCooldowns()
        self.bursts: dict[str, Burst] = {}

    def update_pending_tokens(
        self, target_id: str, pending_tokens: int, now: float, speed: PrefillSpeed = UNKNOWN_SPEED
    ) -> FinishedBurst | None:
        """Update the pending prompt tokens of an engine; return the burst that has ended, if any."""
        finished = None
        burst = self.bursts.setdefault(target_id, Burst())
        if pending_tokens > burst.pending_tokens:
            if burst.pending_tokens == 0:
                burst.started_at = now
            elif self.is_probably_finished(target_id, burst, speed, now):
                # First outputs arrive in prompt order, so the end of the previous burst is observable.
                is_measurable = burst.previous is None
                burst.previous = SentBurst(burst.sent_tokens, burst.started_at) if is_measurable else None
                burst.started_at = now
                burst.sent_tokens = 0
            burst.sent_tokens += pending_tokens - burst.pending_tokens
        elif burst.previous is not None and pending_tokens <= burst.sent_tokens:
            finished = FinishedBurst(burst.previous.tokens, now - burst.previous.started_at)
            burst.previous = None
        if pending_tokens == 0 and burst.pending_tokens:
            finished_at = now
            if not burst.is_excluded_from_samples:
                finished = FinishedBurst(burst.sent_tokens, now - burst.started_at)
                if not self.cooldowns.ratio(target_id):
                    finished_at = max(burst.started_at, now - speed.latency)
            burst.next_burst_at = finished_at + self.pause_seconds(target_id, finished_at - burst.started_at)
            burst.is_excluded_from_samples = False
            burst.previous = None
            burst.sent_tokens = 0
            burst.ended_at = now
        burst.pending_tokens = pending_tokens
        return finished

    def pause_seconds(self, target_id: str, prefill_seconds: float) -> float:
        """Return the pause without prefill work after a burst that took `prefill_seconds`."""
        return max(self.settings.burst_pause_seconds, self.cooldowns.ratio(target_id) * prefill_seconds)

    def is_probably_finished(self, target_id: str, burst: Burst, speed: PrefillSpeed, now: float) -> bool:
        """Return whether the burst and its pause have probably ended, although first outputs are outstanding.

        An engine in cooldown, or one that may still prefill a cancelled request, gets no burst before all
        first outputs of the last one have arrived.
        """
        if burst.is_excluded_from_samples or self.cooldowns.ratio(target_id) or speed.rate <= 0:
            return False
        if burst.pending_tokens > MAX_UNREPORTED_FACTOR * speed.rate * speed.latency:
            return False
        return now >= burst.started_at + burst.sent_tokens / speed.rate + self.settings.burst_pause_seconds

    def exclude_from_samples(self, target_id: str) -> None:
        """Exclude the current burst from the rate samples."""
        burst = self.bursts.setdefault(target_id, Burst())
        burst.is_excluded_from_samples = True
        burst.previous = None

    def admits(
        self,
        target_id: str,
        tokens: int,
        window: float,
        now: float,
        *,
        speed: PrefillSpeed = UNKNOWN_SPEED,
        share_used: float = 0.0,
        is_scarce: bool = False,
    ) -> bool:
        """Return whether a prompt may be sent now; one larger than a whole burst is sent alone.

        If capacity is scarce, a customer below its fair share (`share_used` under 1) may extend a full burst.
        """
        burst = self.bursts.get(target_id)
        if burst is None:
            return True
        if now < burst.next_burst_at:
            return False
        if is_scarce:
            window *= 1.0 + self.settings.burst_extension_fraction * max(0.0, 1.0 - share_used)
        if burst.pending_tokens == 0 or burst.sent_tokens + tokens <= window:
            return True
        return self.is_probably_finished(target_id, burst, speed, now)

    def progress(self, target_id: str, now: float, speed: PrefillSpeed) -> tuple[int, float]:
        """Return the tokens sent in the current burst of an engine, and the expected time until the next one.

        Both are 0 if a new burst may begin now. A burst that is overdue is expected to take as long again.
        """
        burst = self.bursts.get(target_id)
        if burst is None:
            return 0, 0.0
        if burst.pending_tokens == 0 or self.is_probably_finished(target_id, burst, speed, now):
            return 0, max(0.0, burst.next_burst_at - now)
        expected_at = self.expected_next_burst(target_id, burst, speed)
        wait = expected_at - now if now < expected_at else max(now - expected_at, MIN_WAIT_SECONDS)
        return burst.sent_tokens, wait

    def expected_next_burst(self, target_id: str, burst: Burst, speed: PrefillSpeed) -> float:
        """Return the time at which an engine is expected to admit prompts after its current burst."""
        prefill_seconds = burst.sent_tokens / speed.rate
        started_at = burst.started_at
        if burst.is_excluded_from_samples or self.cooldowns.ratio(target_id):
            started_at += speed.latency
        return started_at + prefill_seconds + self.pause_seconds(target_id, prefill_seconds)

    def is_idle(self, target_id: str, now: float) -> bool:
        """Return whether an engine has had no prefill work for `idle_seconds`."""
        burst = self.bursts.get(target_id)
        if burst is None:
            return True
        return burst.pending_tokens == 0 and now >= burst.ended_at + self.settings.idle_seconds

    def forget(self, target_id: str) -> None:
        """Remove the state of an engine."""
        self.bursts.pop(target_id, None)
        self.cooldowns.forget(target_id)

    def duty_cycle(self, target_id: str, burst_seconds: float) -> float:
        """Return the fraction of time that an engine spends on prefill under saturation."""
        return burst_seconds / (burst_seconds + self.pause_seconds(target_id, burst_seconds))
