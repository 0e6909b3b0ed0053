"""Tests of who comes next and who is refused, by loads played against engines in memory."""

import random
from collections import Counter

from builders_fleet import ENGINES, make_placement, make_waiting, make_work
from limpetusher.fleet.process.loads import OpenWork
from limpetusher.fleet.request.waiting import Refusal, Start
from limpetusher.fleet.settings import FleetSettings

READING_RATE = 30_000.0
STEP_SECONDS = 0.005


class EnginesInMemory:
    """Reads prompts one after the other at each engine and tells the placement when one is read."""

    def __init__(self, placement):
        self.placement = placement
        self.free_at: dict[str, float] = {}
        self.reading: list[tuple[float, Start]] = []
        self.output_at: dict[str, float] = {}

    def send(self, start: Start, now: float) -> None:
        target_id = start.placed.target.target_id
        begin = max(now, self.free_at.get(target_id, 0.0))
        end = begin + start.placed.work.unread_tokens / READING_RATE
        self.free_at[target_id] = end
        self.reading.append((end, start))

    def advance(self, now: float) -> None:
        for entry in [entry for entry in self.reading if entry[0] <= now]:
            self.reading.remove(entry)
            end, start = entry
            self.output_at[start.work.request_id] = end
            target_id = start.placed.target.target_id
            self.placement.end(target_id, start.placed.work, now)


def play(arrivals, *, seconds: float, engines: int = 3):
    """Play requests by their arrival and return the engines and what was decided."""
    placement = make_placement(engines)
    waiting = make_waiting(placement)
    played = EnginesInMemory(placement)
    decisions: list[tuple[float, Start | Refusal]] = []
    arrivals = sorted(arrivals, key=lambda work: work.queued_at)
    for step in range(int(seconds / STEP_SECONDS)):
        now = step * STEP_SECONDS
        played.advance(now)
        while arrivals and arrivals[0].queued_at <= now:
            waiting.add(arrivals.pop(0))
        for decision in waiting.decide(now):
            decisions.append((now, decision))
            if isinstance(decision, Start):
                played.send(decision, now)
    played.advance(seconds)
    return played, decisions


def test_flood_of_one_customer_leaves_the_others_their_share():
    """Load: one customer sends ten times the capacity, four others a twelfth of it each."""
    rng = random.Random(3)
    arrivals = []
    for number in range(2_000):
        arrivals.append(
            make_work(f"flood-{number}", at=rng.uniform(0, 8), session=f"f{number % 40}", customer="flood")
        )
    for customer in ("a", "b", "c", "d"):
        for number in range(20):
            work_id = f"{customer}-{number}"
            arrivals.append(
                make_work(work_id, at=rng.uniform(1, 8), session=f"{customer}{number % 3}", customer=customer)
            )
    _played, decisions = play(arrivals, seconds=10.0)
    started = Counter(decision.work.customer for _now, decision in decisions if isinstance(decision, Start))
    for customer in ("a", "b", "c", "d"):
        assert started[customer] >= 16, started
    assert started["flood"] > 50


def test_started_requests_reach_their_goal_under_overload():
    """Load: three times the capacity. What is started gets its first output within its goal of 1 s."""
    rng = random.Random(4)
    arrivals = [
        make_work(f"w{number}", at=rng.uniform(0, 6), session=f"s{number % 30}", customer=f"c{number % 8}")
        for number in range(540)
    ]
    by_id = {work.request_id: work for work in arrivals}
    played, _decisions = play(arrivals, seconds=8.0)
    late = [
        request_id
        for request_id, at in played.output_at.items()
        if at - by_id[request_id].queued_at > by_id[request_id].goal_seconds
    ]
    assert len(played.output_at) > 100
    assert len(late) <= 0.05 * len(played.output_at)


def test_engines_are_kept_busy_under_overload():
    """Load: three times the capacity with short gaps between the bursts. Engines read most of the time."""
    rng = random.Random(5)
    arrivals = [
        make_work(f"w{number}", at=rng.uniform(0, 6), session=f"s{number % 30}", customer=f"c{number % 8}")
        for number in range(540)
    ]
    _played, decisions = play(arrivals, seconds=6.0)
    read = sum(
        decision.placed.work.unread_tokens for _now, decision in decisions if isinstance(decision, Start)
    )
    assert read >= 0.7 * 3 * READING_RATE * 6.0


def test_customer_at_a_single_router_gets_as_much_as_one_at_all_routers():
    """Guards against a share by router instead of by customer.

    Load: one customer sends five times the capacity to one of six routers, another one twice the capacity to
    all six, four small ones a twentieth each to all.
    """
    rng = random.Random(6)
    arrivals = []
    for number in range(1_400):
        arrivals.append(
            make_work(f"flood-{number}", at=rng.uniform(0, 8), session=f"f{number % 40}", customer="flood")
        )
    for number in range(560):
        arrivals.append(
            make_work(
                f"big-{number}",
                at=rng.uniform(0, 8),
                session=f"b{number % 40}",
                customer="big",
                client=f"10.0.0.{number % 6}",
            )
        )
    for number in range(60):
        arrivals.append(
            make_work(
                f"small-{number}",
                at=rng.uniform(0, 8),
                session=f"s{number % 4}",
                customer=f"small-{number % 4}",
                client=f"10.0.0.{number % 6}",
            )
        )
    _played, decisions = play(arrivals, seconds=8.0, engines=4)
    started = Counter(
        decision.work.customer for now, decision in decisions if isinstance(decision, Start) and now >= 2.0
    )
    assert started["flood"] >= 0.8 * started["big"], started
    assert sum(started[f"small-{number}"] for number in range(4)) >= 36, started


def test_long_queue_of_a_customer_does_not_count_as_service():
    """Guards against a customer that comes last because many of its requests wait for a busy engine."""
    placement = make_placement(2, settings=FleetSettings(candidates=1))
    sessions = {"e1": [], "e2": []}
    for number in range(400):
        work = make_work(session=f"s{number}")
        sessions[placement.ranking(work)[0]].append(f"s{number}")
    placement.take_over("e1", OpenWork(1, 50_000, 0), 0.0)
    waiting = make_waiting(placement)
    waiting.served.serve("other", 100_000.0)
    for number in range(50):
        waiting.add(make_work(f"a{number}", session=sessions["e1"][number]))
    waiting.add(make_work("a-free", at=0.001, session=sessions["e2"][0]))
    waiting.add(make_work("other", session=sessions["e2"][1], customer="other"))
    first = next(decision for decision in waiting.decide(0.01) if isinstance(decision, Start))
    assert first.work.request_id == "a-free"


def test_urgent_requests_of_a_customer_come_first():
    """Guards against requests with a short goal being refused behind patient ones."""
    waiting = make_waiting()
    patient = make_work("patient", goal_seconds=5.0)
    urgent = make_work("urgent", at=0.01, goal_seconds=0.5)
    for target_id in waiting.placement.targets:
        waiting.placement.caches.use(target_id, urgent.parts[:-1], 1e6)
    waiting.add(patient)
    waiting.add(urgent)
    queue = waiting.by_customer(ENGINES)["acme"]
    assert [work.request_id for work in queue] == ["urgent", "patient"]
    starts = [decision.work.request_id for decision in waiting.decide(0.02)]
    assert starts == ["urgent", "patient"]


def test_request_that_can_not_start_in_time_is_refused_at_once():
    """Guards against holding a request until its time is over although the backlog already tells that."""
    placement = make_placement(1)
    placement.take_over("e1", OpenWork(1, 50_000, 0), 0.0)
    waiting = make_waiting(placement)
    for number in range(3):
        waiting.add(make_work(f"other-{number}", customer="other", own_tokens=8_000, goal_seconds=2.0))
    waiting.served.serve("acme", 2_000_000.0)
    work = make_work()
    waiting.add(work)
    (refusal,) = waiting.decide(0.0)
    assert isinstance(refusal, Refusal)
    assert refusal.work is work
    assert refusal.retry_after_seconds > 0
    assert work not in waiting.by_pool[ENGINES]


def test_request_without_any_target_is_refused_when_its_waiting_time_ends():
    waiting = make_waiting(make_placement(0))
    work = make_work()
    waiting.add(work)
    assert waiting.decide(work.start_before - 0.01) == []
    (refusal,) = waiting.decide(work.start_before)
    assert isinstance(refusal, Refusal)
    assert refusal.work is work
