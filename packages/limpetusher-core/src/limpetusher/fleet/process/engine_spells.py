"""Detection of slow spells of engines, from first outputs that are late given the engine's prefill rate.

The first output of a prompt is due once the engine has prefilled the prompts before it and its own, plus the
usual latency. An output is late if it is overdue by several times the usual deviation. A single prompt of a
slow engine is often overdue by little, so lateness is carried on to the next prompt, and a part of it is
dropped each time, as rates are not exact.

An engine that stays slow is no longer in a spell after a while: its rate then has to adapt. Outputs that are
late at most engines at once are delayed by routers, not by engines.
"""

import math
from collections import deque
from dataclasses import dataclass, field

from limpetusher.fleet.process.prefill_rates import MIN_SAMPLE_TOKENS
from limpetusher.fleet.process.uneven_engine_settings import UnevenEngineSettings

LATENESS_DROPPED = 0.25
"""Part of the lateness of an output that is not carried on to the next one, so that an error of the rate of a
tenth adds up to less than half of a prompt's prefill time."""
LATENCY_WEIGHT = 1 / 8
SPREAD_WEIGHT = 1 / 4
"""Weights of a sample in the moving averages of latency and deviation, as in RFC 6298."""
LOWER_LATENCY_WEIGHT = 1 / 2
"""Weight of a sample below the known latency, which includes less time that was spent on something else."""
BUNCHED_FRACTION = 0.5
"""Part of its prefill time below which an output has arrived together with the one before, and shows no
speed."""
MAX_SLOWDOWN = 10.0
MAX_SLOW_FRACTION = 0.5
"""Part of the engines in a spell above which routers are the cause."""

IN_TIME = "output in time"
NO_LATE_OUTPUT = "no late output since"
LASTING = "lasting"
FORGOTTEN = "restarted or removed"


@dataclass(slots=True)
class SentPrompt:
    """Prompt at an engine without a first output."""

    sent_at: float
    tokens: int


@dataclass(slots=True)
class EngineProgress:
    """Prompts at one engine and the usual delay of their first outputs. Times are monotonic."""

    pending_tokens: int
    untracked_tokens: int
    """Prompt tokens ahead of `prompts` whose first outputs are not judged."""
    rate: float | None = None
    """Prefill rate in tokens per second, None if it was not measured well enough."""
    prompts: deque[SentPrompt] = field(default_factory=deque)
    free_at: float = -math.inf
    """Estimated time at which the engine has finished the prompts with a first output."""
    last_output_at: float = -math.inf
    latency: float | None = None
    """Usual time from the end of a prefill to its first output, None before the first sample."""
    spread: float = 0.0
    """Mean deviation of the outputs from their due times, in seconds."""
    samples: int = 0
    slow_since: float | None = None
    """Time of the first late output since the last one in time."""
    late_at: float = -math.inf
    """Time at which the last output was late."""
    slowdown: float = 1.0
    is_lasting: bool = False
    """Whether the engine has been slow for longer than a spell."""

    def untrack(self) -> None:
        """Do not judge the first outputs of the prompts at the engine."""
        self.untracked_tokens = self.pending_tokens
        self.prompts.clear()


@dataclass(frozen=True, slots=True)
class SpellChange:
    """Begin or end of a slow spell; `seconds` is the time since its first late output."""

    target_id: str
    is_slow: bool
    slowdown: float
    seconds: float
    reason: str


class EngineSpells:
    """Slow spells of engines, as far as a scheduler knows from the requests that it has placed.

    Parameters
    ----------
    settings
        Conditions of a spell.
    """

    def __init__(self, settings: UnevenEngineSettings):
        self.settings = settings
        self.engines: dict[str, EngineProgress] = {}
        self.slow: set[str] = set()
        """Engines in a slow spell."""
        self.begun = 0
        """Number of spells since the start."""
        self.changes: list[SpellChange] = []
        """Changes that were not logged yet."""

    def update_pending_tokens(
        self, target_id: str, pending_tokens: int, now: float, rate: float | None
    ) -> None:
        """Update the prompt tokens without a first output, and the measured rate of an engine if known."""
        engine = self.engines.get(target_id)
        if engine is None:
            if rate is not None:
                self.engines[target_id] = EngineProgress(pending_tokens, pending_tokens, rate)
            return
        change = pending_tokens - engine.pending_tokens
        engine.pending_tokens, engine.rate = pending_tokens, rate
        if rate is None:
            engine.untrack()
        elif change > 0:
            self.check_overdue(target_id, engine, now)
            engine.prompts.append(SentPrompt(now, change))
        elif change < 0:
            self.record_output(target_id, engine, -change, now)
        if pending_tokens == 0:
            engine.untrack()

    def record_output(self, target_id: str, engine: EngineProgress, tokens: int, now: float) -> None:
        """Record the first output of a prompt, or of several; they arrive in the order of the prompts."""
        untracked = min(tokens, engine.untracked_tokens)
        engine.untracked_tokens -= untracked
        tokens -= untracked
        judged_tokens, sent_at = 0, 0.0
        while tokens and engine.prompts:
            prompt = engine.prompts[0]
            if tokens < prompt.tokens:
                prompt.tokens -= tokens
                judged_tokens = 0
                break
            sent_at = sent_at if judged_tokens else prompt.sent_at
            judged_tokens += prompt.tokens
            tokens -= prompt.tokens
            engine.prompts.popleft()
        if judged_tokens and not untracked:
            self.judge(target_id, engine, SentPrompt(sent_at, judged_tokens), now)
        else:
            engine.free_at = now - (engine.latency or 0.0)
        engine.last_output_at = now

    def judge(self, target_id: str, engine: EngineProgress, prompt: SentPrompt, now: float) -> None:
        """Compare the time of an output with the time at which it was due."""
        latency = engine.latency or 0.0
        work = prompt.tokens / engine.rate
        due = max(prompt.sent_at, engine.free_at) + work + latency
        lateness = now - due
        own_seconds = now - max(prompt.sent_at + latency, engine.last_output_at)
        own_lateness = own_seconds - work
        threshold = self.threshold(engine, work)
        is_in_time = own_lateness <= max((self.settings.spell_slowdown - 1.0) * work, engine.spread)
        engine.free_at = due - latency + (lateness if lateness < 0 else LATENESS_DROPPED * lateness)
        if self.is_judged(engine, prompt) and lateness > threshold and not is_in_time:
            self.record_late(target_id, engine, own_seconds / work, now)
        elif engine.slow_since is not None and is_in_time and self.shows_speed(prompt, own_seconds, work):
            engine.free_at = now - latency
            self.end(target_id, engine, now, IN_TIME)
            engine.slow_since, engine.is_lasting = None, False
        if target_id not in self.slow and own_seconds >= BUNCHED_FRACTION * work:
            self.learn(engine, prompt, min(max(own_lateness, -threshold), threshold), now)

    def shows_speed(self, prompt: SentPrompt, own_seconds: float, work: float) -> bool:
        """Return whether the time of an output depends on the speed of the engine."""
        return prompt.tokens >= MIN_SAMPLE_TOKENS and own_seconds >= BUNCHED_FRACTION * work

    def learn(self, engine: EngineProgress, prompt: SentPrompt, lateness: float, now: float) -> None:
        """Add an output to the usual latency and deviation."""
        engine.samples += 1
        if prompt.sent_at < engine.last_output_at:
            engine.spread += SPREAD_WEIGHT * (abs(lateness) - engine.spread)
        elif engine.latency is None:
            engine.latency = max(0.0, now - prompt.sent_at - prompt.tokens / engine.rate)
            engine.spread = max(engine.spread, engine.latency / 2)
        else:
            weight = LATENCY_WEIGHT if lateness > 0 else LOWER_LATENCY_WEIGHT
            engine.latency = max(0.0, engine.latency + weight * lateness)
            engine.spread += SPREAD_WEIGHT * (abs(lateness) - engine.spread)

    def is_judged(self, engine: EngineProgress, prompt: SentPrompt) -> bool:
        """Return whether enough is known of an engine to call the output of a prompt late.

        The latency matters only for a prompt without others before it. It is not known at an engine that gets
        its prompts before the last outputs have arrived.
        """
        if engine.latency is None and prompt.sent_at >= engine.last_output_at:
            return False
        return engine.samples >= self.settings.min_rate_samples

    def threshold(self, engine: EngineProgress, work: float) -> float:
        """Return by how much an output that takes `work` seconds of prefill has to be overdue to be late."""
        settings = self.settings
        return max(
            settings.min_overdue_seconds,
            settings.spell_spreads * engine.spread,
            (settings.spell_slowdown - 1.0) * work,
        )

    def check_overdue(self, target_id: str, engine: EngineProgress, now: float) -> None:
        """Record that the next output is late, although it has not arrived yet."""
        if not engine.prompts or engine.untracked_tokens:
            return
        prompt = engine.prompts[0]
        if not self.is_judged(engine, prompt):
            return
        work = prompt.tokens / engine.rate
        begin = max(prompt.sent_at, engine.free_at) + (engine.latency or 0.0)
        if now - begin - work > self.threshold(engine, work):
            self.record_late(target_id, engine, (now - begin) / work, now)

    def record_late(self, target_id: str, engine: EngineProgress, slowdown: float, now: float) -> None:
        """Record a late output, which begins a spell or makes it longer."""
        settings = self.settings
        if engine.slow_since is None or now > engine.late_at + settings.max_spell_seconds:
            engine.slow_since, engine.is_lasting = now, False
        engine.late_at = now
        engine.slowdown = min(max(slowdown, settings.spell_slowdown), MAX_SLOWDOWN)
        if engine.is_lasting:
            return
        if now >= engine.slow_since + settings.max_spell_seconds:
            engine.is_lasting = True
            self.end(target_id, engine, now, LASTING)
        elif target_id not in self.slow:
            self.slow.add(target_id)
            self.begun += 1
            self.add_change(target_id, engine, now, "output late")

    def end(self, target_id: str, engine: EngineProgress, now: float, reason: str) -> None:
        """End the spell of an engine, if it is in one."""
        if target_id in self.slow:
            self.slow.discard(target_id)
            self.add_change(target_id, engine, now, reason)

    def add_change(self, target_id: str, engine: EngineProgress, now: float, reason: str) -> None:
        """Keep a change for the log."""
        seconds = now - engine.slow_since
        change = SpellChange(target_id, target_id in self.slow, engine.slowdown, seconds, reason)
        self.changes.append(change)

    def is_slow(self, target_id: str, now: float) -> bool:
        """Return whether an engine is in a slow spell."""
        engine = self.engines.get(target_id)
        if engine is None:
            return False
        self.check_overdue(target_id, engine, now)
        if target_id in self.slow and now >= engine.late_at + self.settings.spell_remaining_seconds:
            self.end(target_id, engine, now, NO_LATE_OUTPUT)
        return target_id in self.slow

    def expected_delay(self, target_id: str, now: float) -> float:
        """Return the time in seconds that an engine loses by its slow spell from now on, 0 without one."""
        if not self.settings.avoids_spells or not self.is_slow(target_id, now):
            return 0.0
        if len(self.slow) > MAX_SLOW_FRACTION * len(self.engines):
            return 0.0
        engine = self.engines[target_id]
        remaining = engine.late_at + self.settings.spell_remaining_seconds - now
        return remaining * (1.0 - 1.0 / engine.slowdown)

    def affects_sample(self, target_id: str, since: float) -> bool:
        """Return whether an engine was in a spell at any time since `since`."""
        engine = self.engines.get(target_id) if self.settings.avoids_spells else None
        return engine is not None and not engine.is_lasting and engine.late_at >= since

    def take_changes(self, now: float) -> list[SpellChange]:
        """Return the begins and ends of spells since the last call."""
        for target_id in list(self.slow):
            self.is_slow(target_id, now)
        changes, self.changes = self.changes, []
        return changes

    def discard(self, target_id: str) -> None:
        """Do not judge the prompts at an engine, as one was cancelled or its time of sending is unknown."""
        engine = self.engines.get(target_id)
        if engine is not None:
            engine.untrack()

    def forget(self, target_id: str) -> None:
        """Remove the state of an engine that has restarted or was removed."""
        engine = self.engines.pop(target_id, None)
        if engine is not None:
            self.end(target_id, engine, engine.late_at, FORGOTTEN)
