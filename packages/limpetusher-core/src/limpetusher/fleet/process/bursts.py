"""Bursts of prompts at an engine, with pauses for the streams that run there.

An engine interleaves chunks of prompts with the tokens of running streams. While prompts wait, each step
takes as long as a whole chunk and streams miss their pause goal. The fleet therefore sends prompts in bursts
that are read within a part of that goal, and lets the engine finish each burst before the next one.

The first output of a prompt comes some time after it was read. An engine that got its next burst only after
the last output of the one before would read nothing for that time, a quarter of it on fast engines. The end
of a burst is therefore estimated from the engine's pace.
"""

import math
from dataclasses import dataclass

from limpetusher.fleet.process.rests import Rests
from limpetusher.fleet.settings import FleetSettings

UNREPORTED_FACTOR = 1.5
"""Prompt tokens whose first outputs may be on their way when the next burst begins, in units of what the
engine reads in its latency. More means that it reads slower than estimated."""


@dataclass(frozen=True, slots=True)
class EnginePace:
    """How fast an engine reads, in prompt tokens a second, and the seconds from there to the first output."""

    rate: float = 0.0
    latency: float = 0.0


UNKNOWN_PACE = EnginePace()


@dataclass(frozen=True, slots=True)
class SentBurst:
    """Prompt tokens of a burst that was sent, and when its first prompt was."""

    tokens: int
    began_at: float


@dataclass(slots=True)
class Burst:
    """The present burst at one engine; times are readings of the monotonic clock."""

    unread: int = 0
    """Prompt tokens that wait at the engine."""
    sent: int = 0
    """Prompt tokens sent in the present burst."""
    ended_at: float = -math.inf
    """When the engine had read the last burst."""
    next_at: float = 0.0
    """When the next burst may begin."""
    began_at: float = 0.0
    """When the first prompt of the burst was sent."""
    is_spoilt: bool = False
    """Whether some of the burst was not read, or was sent at an unknown time, so that it measures nothing."""
    earlier: SentBurst | None = None
    """The burst before, while its last outputs have not come."""


@dataclass(frozen=True, slots=True)
class FinishedBurst:
    """Prompt tokens that an engine has read without a pause, and the seconds which that took."""

    tokens: int
    seconds: float


class ReadingBursts:
    """Bursts by engine.

    Parameters
    ----------
    settings
        Constants of the policy.
    """

    def __init__(self, settings: FleetSettings):
        self.settings = settings
        self.rests = Rests()
        self.bursts: dict[str, Burst] = {}

    def observe(
        self, target_id: str, unread: int, now: float, pace: EnginePace = UNKNOWN_PACE
    ) -> FinishedBurst | None:
        """Note how many prompt tokens wait at an engine; return the burst that ends with that."""
        finished = None
        burst = self.bursts.setdefault(target_id, Burst())
        if unread > burst.unread:
            if burst.unread == 0:
                burst.began_at = now
            elif self.is_probably_read(target_id, burst, pace, now):
                # Outputs come in the order of the prompts, so that the end of the earlier burst can be seen.
                is_measurable = burst.earlier is None
                burst.earlier = SentBurst(burst.sent, burst.began_at) if is_measurable else None
                burst.began_at = now
                burst.sent = 0
            burst.sent += unread - burst.unread
        elif burst.earlier is not None and unread <= burst.sent:
            finished = FinishedBurst(burst.earlier.tokens, now - burst.earlier.began_at)
            burst.earlier = None
        if unread == 0 and burst.unread:
            read_at = now
            if not burst.is_spoilt:
                finished = FinishedBurst(burst.sent, now - burst.began_at)
                if not self.rests.part(target_id):
                    read_at = max(burst.began_at, now - pace.latency)
            burst.next_at = read_at + self.pause(target_id, read_at - burst.began_at)
            burst.is_spoilt = False
            burst.earlier = None
            burst.sent = 0
            burst.ended_at = now
        burst.unread = unread
        return finished

    def pause(self, target_id: str, reading_seconds: float) -> float:
        """Return how long an engine reads nothing after a burst that took it some time."""
        return max(self.settings.burst_pause_seconds, self.rests.part(target_id) * reading_seconds)

    def is_probably_read(self, target_id: str, burst: Burst, pace: EnginePace, now: float) -> bool:
        """Return whether an engine has probably read a burst and paused, though not all outputs have come.

        An engine that has to rest for its streams, or may still read what was given up, gets no burst before
        all outputs of the last one.
        """
        if burst.is_spoilt or self.rests.part(target_id) or pace.rate <= 0:
            return False
        if burst.unread > UNREPORTED_FACTOR * pace.rate * pace.latency:
            return False
        return now >= burst.began_at + burst.sent / pace.rate + self.settings.burst_pause_seconds

    def spoil(self, target_id: str) -> None:
        """Note that the present burst does not tell how fast the engine reads."""
        burst = self.bursts.setdefault(target_id, Burst())
        burst.is_spoilt = True
        burst.earlier = None

    def admits(
        self,
        target_id: str,
        tokens: int,
        window: float,
        now: float,
        *,
        pace: EnginePace = UNKNOWN_PACE,
        share_used: float = 0.0,
        is_scarce: bool = False,
    ) -> bool:
        """Return whether a prompt may be sent now; one larger than a whole burst is sent alone.

        A customer below its share (`share_used` under 1) may extend a burst that others have filled if
        capacity is scarce.
        """
        burst = self.bursts.get(target_id)
        if burst is None:
            return True
        if now < burst.next_at:
            return False
        if is_scarce:
            window *= 1.0 + self.settings.burst_excess_part * max(0.0, 1.0 - share_used)
        if burst.unread == 0 or burst.sent + tokens <= window:
            return True
        return self.is_probably_read(target_id, burst, pace, now)

    def is_idle(self, target_id: str, now: float) -> bool:
        """Return whether an engine has had nothing to read for a while."""
        burst = self.bursts.get(target_id)
        if burst is None:
            return True
        return burst.unread == 0 and now >= burst.ended_at + self.settings.idle_seconds

    def forget(self, target_id: str) -> None:
        """Forget an engine that is gone."""
        self.bursts.pop(target_id, None)
        self.rests.forget(target_id)

    def duty(self, target_id: str, burst_seconds: float) -> float:
        """Return the part of its time for which an engine reads prompts while enough of them wait."""
        return burst_seconds / (burst_seconds + self.pause(target_id, burst_seconds))
