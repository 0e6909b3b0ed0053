"""Behaviour of a model engine: continuous batching, prefix cache, cold start. Callers pass in the time."""

import enum
import hashlib
import random
from collections import OrderedDict, deque
from dataclasses import dataclass, field

from limpetusher_standins.engine_answers import (
    CHARACTERS_PER_TOKEN,
    answer_tokens,
    prompt_text,
    prompt_tokens,
)

BLOCK_TOKENS = 16
"""Prompt tokens in one block of the prefix cache."""
MAXIMUM_CACHE_EVENTS = 1000


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineSettings:
    """Properties of one engine; times in seconds."""

    slots: int = 8
    cold_slots: int = 2
    cold_seconds: float = 3.0
    restart_seconds: float = 0.2
    token_seconds: float = 0.02
    """Time for one token of each stream when one stream runs."""
    batch_slowdown: float = 0.06
    """Growth of `token_seconds` for each further stream, as a fraction."""
    prompt_tokens_per_second: float = 20_000.0
    cache_blocks: int = 4096
    cache_event_lag_seconds: float = 0.5
    cache_event_loss: float = 0.02
    report_interval_seconds: float = 0.1
    report_lag_seconds: float = 0.25
    resume_seconds: float = 2.0
    """Time after which a stream without a reader is cancelled."""
    checks_fencing_number: bool = True
    models: tuple[str, ...] = ()
    """Loaded models as `MODEL@VERSION` or `MODEL@VERSION+ADAPTER`; empty: every model."""
    weight_store: str | None = None
    seed: int = 1


class StreamState(enum.StrEnum):
    """State of a request in the engine."""

    RUNNING = "running"
    COMPLETE = "complete"
    CANCELLED = "cancelled"
    CUT = "cut"


@dataclass(slots=True, eq=False)
class Stream:
    """One request in the engine. `generated_tokens` counts its tokens so far."""

    stream_id: str
    customer: str
    body: dict
    tokens: list[str]
    prompt_tokens: int
    submitted_at: float
    cached_tokens: int = 0
    prompt_done_at: float = 0.0
    admitted_at: float | None = None
    generated_tokens: int = 0
    state: StreamState = StreamState.RUNNING
    ended_at: float | None = None


class EngineOverloadedError(Exception):
    """A cold engine received more requests than its `cold_slots`."""


@dataclass(slots=True)
class PrefixCache:
    """LRU cache of prompt prefixes in blocks; its events are published late and some of them are lost."""

    settings: EngineSettings
    rng: random.Random
    blocks: OrderedDict[str, None] = field(default_factory=OrderedDict)
    events: deque[tuple[float, dict]] = field(default_factory=lambda: deque(maxlen=MAXIMUM_CACHE_EVENTS))
    sequence: int = 0

    def lookup_and_store(self, text: str, now: float) -> int:
        """Return the number of cached prompt tokens of `text` and store its blocks."""
        cached_blocks, missed = 0, False
        for block in block_digests(text):
            if block in self.blocks:
                self.blocks.move_to_end(block)
                cached_blocks += not missed
                continue
            missed = True
            self.blocks[block] = None
            self.record_event("stored", block, now)
            if len(self.blocks) > self.settings.cache_blocks:
                self.record_event("removed", self.blocks.popitem(last=False)[0], now)
        return cached_blocks * BLOCK_TOKENS

    def record_event(self, kind: str, block: str, now: float) -> None:
        """Add an event; a lost one leaves a gap in the sequence numbers."""
        self.sequence += 1
        if self.rng.random() >= self.settings.cache_event_loss:
            self.events.append((now, {"sequence": self.sequence, "kind": kind, "block": block}))

    def events_after(self, sequence: int, now: float) -> list[dict]:
        """Return the events after number `sequence` that are old enough to be published."""
        published = now - self.settings.cache_event_lag_seconds
        return [event for at, event in self.events if at <= published and event["sequence"] > sequence]


def block_digests(text: str) -> list[str]:
    """Return chained digests of the whole blocks of `text`."""
    size = BLOCK_TOKENS * CHARACTERS_PER_TOKEN
    chain, digests = hashlib.blake2b(digest_size=8), []
    for start in range(0, len(text) - size + 1, size):
        chain.update(text[start : start + size].encode())
        digests.append(chain.hexdigest())
    return digests


class Batch:
    """The requests of an engine: at most `slots` run at once, the others wait in order of arrival.

    Parameters
    ----------
    settings
        Properties of the engine.
    now
        Monotonic time of the start, in seconds.
    """

    def __init__(self, settings: EngineSettings, now: float):
        self.settings = settings
        self.rng = random.Random(settings.seed)
        self.running: list[Stream] = []
        self.waiting: deque[Stream] = deque()
        self.maximum_running = 0
        self.overloads: list[dict] = []
        self.restart(now)

    def restart(self, now: float) -> list[Stream]:
        """Drop all work and start cold with a new boot id; return the dropped streams."""
        cut = [*self.running, *self.waiting]
        for stream in cut:
            self.end_stream(stream, StreamState.CUT, now)
        self.cache = PrefixCache(self.settings, self.rng)
        self.boot_id = f"{self.rng.getrandbits(64):016x}"
        self.refuses_until = now + self.settings.restart_seconds if cut else now
        self.last_step_at = now
        self.turn_cold(now)
        return cut

    def turn_cold(self, now: float) -> None:
        """Accept at most `cold_slots` requests for `cold_seconds`; work in progress continues."""
        self.warm_at = now + self.settings.cold_seconds

    def is_warm(self, now: float) -> bool:
        """Return whether the engine accepts its full load."""
        return now >= self.warm_at

    @property
    def stream_count(self) -> int:
        """Return the number of running and waiting requests."""
        return len(self.running) + len(self.waiting)

    def submit(self, stream_id: str, customer: str, body: dict, now: float) -> Stream:
        """Accept a request.

        Raises
        ------
        EngineOverloadedError
            If the engine is cold and already has `cold_slots` requests. It has restarted by then.
        """
        stream = Stream(stream_id, customer, body, answer_tokens(body), prompt_tokens(body), now)
        if not self.is_warm(now) and self.stream_count >= self.settings.cold_slots:
            self.overloads.append({"running": self.stream_count + 1, "cold_slots": self.settings.cold_slots})
            self.restart(now)
            raise EngineOverloadedError
        self.waiting.append(stream)
        self.admit_waiting(now)
        self.maximum_running = max(self.maximum_running, self.stream_count)
        return stream

    def admit_waiting(self, now: float) -> None:
        """Move waiting requests into free slots, in order of arrival."""
        if not self.running:
            self.last_step_at = now
        while self.waiting and len(self.running) < self.settings.slots:
            stream = self.waiting.popleft()
            stream.admitted_at = now
            stream.cached_tokens = min(
                self.cache.lookup_and_store(prompt_text(stream.body), now), stream.prompt_tokens - 1
            )
            uncached = stream.prompt_tokens - stream.cached_tokens
            stream.prompt_done_at = now + uncached / self.settings.prompt_tokens_per_second
            self.running.append(stream)

    def end_stream(self, stream: Stream, state: StreamState, now: float) -> None:
        """End a request and free its slot."""
        if stream.state != StreamState.RUNNING:
            return
        stream.state, stream.ended_at = state, now
        if stream in self.running:
            self.running.remove(stream)
        else:
            self.waiting.remove(stream)

    def step_seconds(self) -> float:
        """Return the time of one step, in which each running stream generates one token."""
        return self.settings.token_seconds * (
            1 + self.settings.batch_slowdown * max(0, len(self.running) - 1)
        )

    def advance(self, now: float) -> bool:
        """Generate the tokens that are due and return whether there were any.

        A late call generates all tokens that are due, so that a busy machine does not slow the engine down.
        """
        stepped = False
        while self.running and now >= self.last_step_at + self.step_seconds():
            stepped = True
            self.last_step_at += self.step_seconds()
            for stream in list(self.running):
                if stream.prompt_done_at <= self.last_step_at:
                    stream.generated_tokens += 1
                    if stream.generated_tokens >= len(stream.tokens):
                        self.end_stream(stream, StreamState.COMPLETE, self.last_step_at)
            self.admit_waiting(self.last_step_at)
        return stepped
