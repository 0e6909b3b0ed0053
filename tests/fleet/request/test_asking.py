"""Tests of a router's questions to schedulers."""

import random

import pytest

from builders_fleet import make_placement, make_target
from limpetusher.fleet.messages import Ask, Ended, Granted, MemberEntry, Opened, Outcome, Refused
from limpetusher.fleet.model import Pool, PromptPart
from limpetusher.fleet.process.members import Members
from limpetusher.fleet.process.pools import Pools
from limpetusher.fleet.request.asking import Asked, Asking

OWN, OTHER = "10.0.0.1", "10.0.0.2"


class Desk:
    """Questions of one router, with the messages that it has sent."""

    def __init__(self, engines: int):
        placement = make_placement(0)
        for number in range(engines):
            place = ("north", "south")[number % 2]
            placement.put_target(make_target(f"e{number}", data_centre=place))
        members = Members(MemberEntry(OWN, "north", 1.0, 1, 1), rng=random.Random(1))
        members.merge((MemberEntry(OTHER, "south", 2.0, 1, 1),), 0.0)
        self.members = members
        self.sent: list[tuple[str, object]] = []
        self.asking = Asking(
            Pools(placement, members),
            send=lambda address, message: self.sent.append((address, message)),
            unusable=lambda _service, _now: {"e9"},
        )

    def ask(self, request_id: str = "r1", session: str = "s1") -> Asked:
        parts = (PromptPart("a", 10), PromptPart(session, 10), PromptPart(request_id, 10))
        asked = Asked(request_id, "engines", session, "acme", 1.0, 0.0, 8.0, 30, 5, parts)
        self.asking.ask(asked, 0.0)
        return asked

    def grant(self, asked: Asked) -> Granted:
        answer = Granted(asked.request_id, asked.attempt, "e1", 30, 30, 35, 30_000.0, False, 0.0, True)
        assert self.asking.take_grant(answer, asked.scheduler) is asked
        return answer


@pytest.fixture
def desk():
    return Desk(4)


def refusal(asked: Asked, **changes) -> Refused:
    return Refused(asked.request_id, asked.attempt, "the backlog is too long", 0.5, 1.0, 0.5, **changes)


def test_question_goes_to_the_scheduler_and_names_unusable_targets(desk):
    asked = desk.ask()
    ((address, message),) = desk.sent
    assert address == asked.scheduler == OTHER
    assert isinstance(message, Ask)
    assert message.excluded == ("e9",)


def test_answers_to_earlier_attempts_or_of_earlier_schedulers_are_ignored(desk):
    """Guards against a request that two grants send twice."""
    asked = desk.ask()
    desk.asking.end("r1", Outcome.FAILED)
    desk.asking.ask(asked, 0.1)
    old = Granted("r1", 1, "e1", 30, 30, 35, 30_000.0, False, 0.0, True)
    assert desk.asking.take_grant(old, OTHER) is None
    present = Granted("r1", 2, "e1", 30, 30, 35, 30_000.0, False, 0.0, True)
    assert desk.asking.take_grant(present, OWN) is None
    assert desk.asking.take_grant(present, OTHER) is asked
    assert desk.asking.take_grant(present, OTHER) is None


def test_open_and_waiting_requests_move_with_the_scheduler(desk):
    """Guards against a new scheduler that does not know what is open, and requests that wait for ever."""
    opened, waiting = desk.ask("r1"), desk.ask("r2")
    desk.grant(opened)
    desk.members.suspect(OTHER, 1.0)
    desk.sent.clear()
    desk.asking.review(1.0)
    assert {opened.scheduler, waiting.scheduler} == {OWN}
    to_old = [message for address, message in desk.sent if address == OTHER]
    to_new = [message for address, message in desk.sent if address == OWN]
    assert {type(message) for message in to_old} == {Ended}
    assert [type(message) for message in to_new] == [Opened, Ask]


def test_pool_that_refuses_is_followed_by_one_other():
    """Guards against refusals while the engines of another data centre are idle."""
    desk = Desk(14)
    asked = desk.ask()
    first = asked.pool
    assert desk.asking.take_refusal(refusal(asked), asked.scheduler, 0.1) is None
    assert asked.pool not in (first, Pool("engines"))
    assert desk.asking.take_refusal(refusal(asked), asked.scheduler, 0.2) is asked
    assert desk.asking.asked == {}


def test_missing_budget_is_remembered_and_final():
    desk = Desk(14)
    asked = desk.ask()
    pool = asked.pool
    assert desk.asking.take_refusal(refusal(asked, without_budget=True), asked.scheduler, 0.1) is asked
    assert desk.asking.may_repeat[pool] is False
