"""Tests of a scheduler: what it answers to routers, and what it keeps of their requests."""

import random

import pytest

from builders_fleet import make_placement, make_service, make_target
from limpetusher.fleet.messages import (
    Ask,
    Ended,
    Granted,
    MemberEntry,
    Opened,
    Outcome,
    Progress,
    Reading,
    ServedNews,
    TargetNotice,
)
from limpetusher.fleet.process.members import Members
from limpetusher.fleet.process.pools import Pools
from limpetusher.fleet.process.rests import REVIEW_SECONDS
from limpetusher.fleet.process.scheduler import Scheduler

ONE, TWO = "10.0.0.1", "10.0.0.2"


def make_ask(request_id: str = "r1", *, attempt: int = 1, **changes) -> Ask:
    values = {
        "request_id": request_id,
        "attempt": attempt,
        "service": "engines",
        "data_centre": "",
        "customer": "acme",
        "goal_seconds": 1.0,
        "waited_seconds": 0.0,
        "left_seconds": 8.0,
        "prompt_tokens": 3_000,
        "output_tokens": 50,
        "parts": (("common", 1_000), ("s1", 1_000), (request_id, 1_000)),
        "excluded": (),
        "caller_data_centre": "north",
        "is_repeat": False,
    }
    return Ask(**{**values, **changes})


@pytest.fixture
def scheduler():
    return make_scheduler(make_placement(3))


def make_scheduler(placement) -> Scheduler:
    members = Members(MemberEntry(ONE, "north", 1.0, 1, 1), rng=random.Random(1))
    members.merge((MemberEntry(TWO, "north", 1.0, 1, 1),), 0.0)
    return Scheduler(placement.settings, placement, Pools(placement, members))


def granted(scheduler, now: float = 0.0) -> dict[str, Granted]:
    return {
        answer.request_id: answer for _client, answer in scheduler.decide(now) if isinstance(answer, Granted)
    }


def test_request_counts_from_its_start_to_its_end(scheduler):
    """Guards against slots that are never free again, and against reading that is counted for too long."""
    scheduler.receive(ONE, make_ask(), 0.0)
    answer = granted(scheduler)["r1"]
    loads = scheduler.placement.loads
    assert loads.total(answer.target_id).unread_tokens == answer.unread_tokens > 0
    scheduler.receive(ONE, Reading("r1", 1), 0.2)
    assert loads.total(answer.target_id).unread_tokens == 0
    assert loads.total(answer.target_id).requests == 1
    scheduler.receive(ONE, Ended("r1", 1, Outcome.ANSWERED), 1.0)
    assert loads.work == {}
    assert not scheduler.is_active


def test_messages_about_an_earlier_attempt_change_nothing(scheduler):
    """Guards against the end of a failed attempt that ends the next one as well."""
    scheduler.receive(ONE, make_ask(), 0.0)
    granted(scheduler)
    scheduler.receive(ONE, make_ask(attempt=2), 0.1)
    scheduler.receive(ONE, Ended("r1", 1, Outcome.FAILED), 0.1)
    scheduler.receive(ONE, Reading("r1", 1), 0.1)
    assert granted(scheduler, 0.2)["r1"].attempt == 2


def test_question_that_is_told_again_takes_one_slot(scheduler):
    """Guards against two slots for one request whose router has moved it here twice."""
    scheduler.receive(ONE, make_ask(), 0.0)
    answer = granted(scheduler)["r1"]
    opened = Opened("r1", 1, "engines", "", answer.target_id, 0, 3_050)
    scheduler.receive(ONE, opened, 0.1)
    scheduler.receive(ONE, opened, 0.1)
    assert scheduler.placement.loads.total(answer.target_id).requests == 1


def test_requests_of_a_stopped_router_leave_nothing_behind(scheduler):
    scheduler.receive(ONE, make_ask("r1"), 0.0)
    granted(scheduler)
    scheduler.receive(ONE, make_ask("r2"), 0.0)
    scheduler.receive(TWO, make_ask("r1"), 0.0)
    scheduler.drop_client(ONE, 0.1)
    assert list(scheduler.jobs) == [(TWO, "r1")]
    assert scheduler.placement.loads.work == {}


def test_single_router_that_can_not_reach_a_target_suspends_it_for_nobody_else(scheduler):
    """Guards against a router that is cut off and takes all targets away from the others."""
    for now, client, is_suspended in ((0.0, ONE, False), (0.2, ONE, False), (0.4, TWO, True)):
        scheduler.receive(client, make_ask("r1"), now)
        target_id = granted(scheduler, now)["r1"].target_id
        scheduler.receive(client, Ended("r1", 1, Outcome.UNREACHABLE), now)
        assert scheduler.placement.health_of(target_id).is_suspended(now) is is_suspended


def test_repeated_sends_are_refused_without_a_budget(scheduler):
    """Guards against retries that amplify an overload."""
    budget = scheduler.settings.retry_budget
    allowed = 0
    for number in range(200):
        scheduler.receive(ONE, make_ask(f"r{number}", is_repeat=True, waited_seconds=0.0), 0.0)
        answers = scheduler.decide(0.0)
        refused = [answer for _client, answer in answers if not isinstance(answer, Granted)]
        without = [answer for answer in refused if answer.without_budget]
        if not without:
            allowed += 1
        scheduler.drop(ONE, f"r{number}", 0.0)
    assert 0 < allowed <= budget.extra


def test_notice_of_one_router_keeps_all_others_away(scheduler):
    scheduler.receive(ONE, TargetNotice("e1", True, 0.0), 0.0)
    scheduler.receive(ONE, TargetNotice("e2", False, 2.0), 0.0)
    for number in range(4):
        scheduler.receive(TWO, make_ask(f"r{number}", parts=(("a", 10),), prompt_tokens=10), 0.0)
    assert {answer.target_id for answer in granted(scheduler).values()} == {"e3"}


def test_slow_streams_make_their_engine_rest(scheduler):
    scheduler.receive(ONE, make_ask(), 0.0)
    target_id = granted(scheduler)["r1"].target_id
    scheduler.receive(ONE, Reading("r1", 1), 0.2)
    scheduler.receive(ONE, Progress("r1", 1, 2.0), 0.7)
    scheduler.review(0.7 + REVIEW_SECONDS)
    assert scheduler.placement.bursts.rests.part(target_id) > 0


def test_service_at_other_schedulers_counts(scheduler):
    """Guards against a customer that gets its whole share at each pool."""
    scheduler.receive(TWO, ServedNews({"big": 500_000}), 0.0)
    scheduler.placement.put_target(make_target("e9", service="one", slots=1))
    scheduler.placement.services["one"] = make_service(name="one", engine=None, cold_per_second=0.0)
    scheduler.receive(ONE, make_ask("big", service="one", customer="big"), 0.0)
    scheduler.receive(ONE, make_ask("small", service="one", customer="small"), 0.001)
    assert list(granted(scheduler, 0.01)) == ["small"]
    assert scheduler.served_news().served["small"] > 0
