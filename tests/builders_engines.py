"""A small model of engines with prefill rates, prompt caches and transfers, driven by placement runs."""

import random
from collections import OrderedDict
from dataclasses import dataclass, field

from builders_fleet import make_placement, make_service, make_target, make_waiting
from limpetusher.fleet.model import Engine, PromptPart, QueuedRequest
from limpetusher.fleet.request.waiting_requests import StartDecision
from limpetusher.fleet.settings import FleetSettings

STEP_SECONDS = 0.005
RATE = 91_800.0
"""Prefill rate of an engine of relative speed 1, in tokens per second."""
LATENCY_SECONDS = 0.02
TRANSFER_RATE = 714_000.0
TRANSFER_SETUP_SECONDS = 0.0027


@dataclass(slots=True)
class ModelEngine:
    """Engine that prefills one prompt after the other; its cache has the memory that open requests leave."""

    rate: float
    memory_tokens: int
    free_at: float = 0.0
    parts: OrderedDict[str, int] = field(default_factory=OrderedDict)
    open_tokens: int = 0
    max_open_tokens: int = 0

    def holds(self, parts: tuple[PromptPart, ...]) -> int:
        """Return the tokens of the longest cached prefix."""
        held = 0
        for part in parts[:-1]:
            if part.part_id not in self.parts:
                break
            held += part.tokens
        return held

    def use(self, request: QueuedRequest) -> None:
        """Add the memory of a request and the parts of its prompt, and evict what does not fit any more."""
        self.open_tokens += request.memory_tokens
        self.max_open_tokens = max(self.max_open_tokens, self.open_tokens)
        for part in request.parts[:-1]:
            self.parts.pop(part.part_id, None)
            self.parts[part.part_id] = part.tokens
        while self.parts and sum(self.parts.values()) > self.memory_tokens - self.open_tokens:
            self.parts.popitem(last=False)


@dataclass(slots=True)
class Result:
    """Sums over one simulation."""

    in_time: int = 0
    prefilled: int = 0
    arrived: int = 0
    repeated: int = 0
    """Prefilled tokens of shared parts that some engine had prefilled before."""
    starts: list[tuple[float, StartDecision]] = field(default_factory=list)
    outputs: list[tuple[float, StartDecision]] = field(default_factory=list)
    engines: dict[str, ModelEngine] = field(default_factory=dict)

    def record_prefill(self, request: QueuedRequest, held: int, seen: set[str]) -> None:
        """Count the prefill of a request of which an engine holds a prefix."""
        self.prefilled += request.prompt_tokens - held
        for part in request.parts[:-1]:
            if held <= 0 and part.part_id in seen:
                self.repeated += part.tokens
            held -= part.tokens
            seen.add(part.part_id)


def simulate(
    arrivals: list[QueuedRequest],
    *,
    seconds: float,
    engines: int,
    settings: FleetSettings,
    engine: Engine,
    stream_seconds: float = 0.3,
) -> Result:
    """Run requests on engines of relative speeds 0.6, 1.0 and 1.6; return what was prefilled and in time."""
    placement = make_placement(0, settings=settings, service=make_service(engine=engine, cold_per_second=0.0))
    placement.goals = {"engines": min(request.goal_seconds for request in arrivals)}
    result = Result()
    for number in range(engines):
        target_id = f"e{number}"
        placement.put_target(make_target(target_id, slots=engine.slots))
        rate = RATE * (0.6, 1.0, 1.6)[number % 3]
        result.engines[target_id] = ModelEngine(rate, engine.memory_tokens)
        placement.rates.from_intervals.update("engines", target_id, rate)
    waiting = make_waiting(placement)
    arrivals = sorted(arrivals, key=lambda request: request.queued_at, reverse=True)
    events: list[tuple[float, str, StartDecision]] = []
    seen: set[str] = set()
    for step in range(int(seconds / STEP_SECONDS)):
        now = step * STEP_SECONDS
        due = sorted((event for event in events if event[0] <= now), key=lambda event: event[0])
        events = [event for event in events if event[0] > now]
        for at, kind, start in due:
            request, target_id = start.request, start.choice.target.target_id
            if kind == "output":
                placement.end_prefill(target_id, start.choice.load.prefill_tokens, at)
                start.choice.load.prefill_tokens = 0
                result.in_time += at <= request.queued_at + request.goal_seconds
                result.outputs.append((at, start))
                events.append((at + stream_seconds, "end", start))
            else:
                placement.record_end(target_id, start.choice.load, at)
                result.engines[target_id].open_tokens -= request.memory_tokens
        while arrivals and arrivals[-1].queued_at <= now:
            request = arrivals.pop()
            result.arrived += 1
            placement.demand.record(request, now)
            if waiting.refuse_on_arrival(request, now) is None:
                waiting.add(request)
        for decision in waiting.decide(now):
            if isinstance(decision, StartDecision):
                result.starts.append((now, decision))
                at = send(decision, now, result, seen)
                events.append((at + LATENCY_SECONDS, "output", decision))
    return result


def send(start: StartDecision, now: float, result: Result, seen: set[str]) -> float:
    """Send a request to its engine; return the time at which its prefill ends."""
    request, choice = start.request, start.choice
    engine = result.engines[choice.target.target_id]
    held = engine.holds(request.parts)
    ready_at = now
    if choice.source_id:
        source_held = result.engines[choice.source_id].holds(request.parts)
        if source_held > held:
            ready_at += TRANSFER_SETUP_SECONDS + (source_held - held) / TRANSFER_RATE
            held = source_held
    result.record_prefill(request, held, seen)
    engine.use(request)
    engine.free_at = max(engine.free_at, ready_at) + (request.prompt_tokens - held) / engine.rate
    return engine.free_at


def draw_requests(
    make_request,
    *,
    seed: int,
    per_second: float,
    seconds: float,
    sessions: int,
    customers: int = 10,
    hot_part: float = 0.0,
) -> list[QueuedRequest]:
    """Return drafts, short prompts and chats of customers whose first one sends a third of them.

    A part `hot_part` of the requests are drafts of one session.
    """
    rng = random.Random(seed)
    requests: list[QueuedRequest] = []
    at = 0.0
    while (at := at + rng.expovariate(per_second)) < seconds:
        shared, own, output, goal = rng.choices(
            [(6_300, 2_890, 60, 0.4), (568, 1_800, 20, 0.8), (172, 543, 35, 1.0)], [5, 3, 2]
        )[0]
        customer = 0 if rng.random() < 0.33 else rng.randrange(customers)
        session = f"{shared}-{customer}-{int(rng.paretovariate(0.8)) % max(sessions // customers, 1)}"
        if hot_part and rng.random() < hot_part:
            shared, own, output, goal, session = 6_300, 2_890, 60, 0.4, "hot"
        name = f"r{len(requests)}"
        parts = (PromptPart(session, shared), PromptPart(name, own))
        requests.append(
            make_request(
                name,
                at=at,
                customer=f"c{customer}",
                goal_seconds=goal,
                give_up_at=at + 4.0,
                parts=parts,
                prompt_tokens=shared + own,
                output_tokens=output,
            )
        )
    return requests
