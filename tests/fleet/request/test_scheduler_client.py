"""Tests of a router's requests to schedulers."""

import math
import random

import msgspec
import pytest

from builders_fleet import make_placement, make_target
from limpetusher.fleet.messages import (
    AttemptFinished,
    AttemptOpened,
    BrokenAttempt,
    MemberEntry,
    Outcome,
    TargetGrant,
    TargetQuery,
    TargetRefusal,
)
from limpetusher.fleet.model import Pool, PromptPart
from limpetusher.fleet.process.members import Members
from limpetusher.fleet.process.pool_backlogs import MAX_AGE_SECONDS
from limpetusher.fleet.process.pools import Pools
from limpetusher.fleet.request.scheduler_client import (
    MAX_TRIED_POOLS,
    ClosedPool,
    SchedulerClient,
    TargetRequest,
)
from limpetusher.fleet.request.waiting_requests import TARGETS_UNCONFIRMED

OWN, OTHER = "10.0.0.1", "10.0.0.2"


class ClientHarness:
    """Scheduling client of one router that records the messages it sends."""

    def __init__(self, engines: int, *, data_centres: tuple[str, ...] = ("north", "south")):
        placement = make_placement(0)
        for number in range(engines):
            data_centre = data_centres[number % len(data_centres)]
            placement.put_target(make_target(f"e{number}", data_centre=data_centre))
        members = Members(MemberEntry(OWN, "north", 1.0, 1, 1), rng=random.Random(1))
        members.merge((MemberEntry(OTHER, "south", 2.0, 1, 1),), 0.0)
        self.members = members
        self.sent: list[tuple[str, object]] = []
        self.scheduler_client = SchedulerClient(
            Pools(placement, members),
            send=lambda address, message: self.sent.append((address, message)),
            unusable=lambda _service, _now: {"e9"},
        )

    def request_target(self, request_id: str = "r1", session: str = "s1") -> TargetRequest:
        parts = (PromptPart("a", 10), PromptPart(session, 10), PromptPart(request_id, 10))
        target_request = TargetRequest(
            request_id, "engines", session, "acme", 1.0, 0.0, 8.0, 30, 5, parts, f"digest-{request_id}"
        )
        self.scheduler_client.request_target(target_request, 0.0)
        return target_request

    def grant(self, target_request: TargetRequest) -> TargetGrant:
        answer = TargetGrant(
            target_request.request_id, target_request.attempt, "e1", 30, 30, 35, 30_000.0, False, 0.0, True
        )
        assert self.scheduler_client.accept_grant(answer, target_request.scheduler) is target_request
        return answer


@pytest.fixture
def harness():
    return ClientHarness(4)


def make_refusal(target_request: TargetRequest, **changes) -> TargetRefusal:
    return TargetRefusal(
        target_request.request_id, target_request.attempt, "the backlog is too long", 0.5, 1.0, 0.5, **changes
    )


def test_end_of_a_request_without_a_grant_is_reported_as_not_run(harness):
    """Guards against charging a customer for a grant that reaches its router after the request has ended."""
    harness.request_target()
    harness.scheduler_client.end("r1", Outcome.WITHDRAWN, 0.1)
    assert harness.sent[-1][1] == AttemptFinished("r1", 1, int(Outcome.WITHDRAWN), may_have_run=False)
    harness.grant(harness.request_target())
    harness.scheduler_client.end("r1", Outcome.WITHDRAWN, 0.2)
    assert harness.sent[-1][1].may_have_run


def test_request_goes_to_the_scheduler_and_excludes_unusable_targets(harness):
    target_request = harness.request_target()
    ((address, message),) = harness.sent
    assert address == target_request.scheduler == OTHER
    assert isinstance(message, TargetQuery)
    assert message.excluded == ("e9",)


def test_answers_to_earlier_attempts_or_of_earlier_schedulers_are_ignored(harness):
    """Guards against a request that is sent twice because of two grants."""
    target_request = harness.request_target()
    harness.scheduler_client.end("r1", Outcome.FAILED, 0.1)
    harness.scheduler_client.request_target(target_request, 0.1)
    old = TargetGrant("r1", 1, "e1", 30, 30, 35, 30_000.0, False, 0.0, True)
    assert harness.scheduler_client.accept_grant(old, OTHER) is None
    present = TargetGrant("r1", 2, "e1", 30, 30, 35, 30_000.0, False, 0.0, True)
    assert harness.scheduler_client.accept_grant(present, OWN) is None
    assert harness.scheduler_client.accept_grant(present, OTHER) is target_request
    assert harness.scheduler_client.accept_grant(present, OTHER) is None


def test_open_and_waiting_requests_move_with_the_scheduler(harness):
    """Guards against a new scheduler that ignores open requests, and against requests that wait forever."""
    opened, waiting = harness.request_target("r1"), harness.request_target("r2")
    harness.grant(opened)
    harness.members.suspect(OTHER, 1.0)
    harness.sent.clear()
    harness.scheduler_client.on_tick(1.0)
    assert {opened.scheduler, waiting.scheduler} == {OWN}
    messages_to_old = [message for address, message in harness.sent if address == OTHER]
    messages_to_new = [message for address, message in harness.sent if address == OWN]
    assert {type(message) for message in messages_to_old} == {AttemptFinished}
    assert [type(message) for message in messages_to_new] == [AttemptOpened, TargetQuery]


def broken_attempt(harness: ClientHarness, request_id: str, *, output_at: float | None = None) -> None:
    """Let the target of a request break its connection at 1.0 s."""
    harness.grant(harness.request_target(request_id))
    if output_at is not None:
        harness.scheduler_client.report_first_output(request_id, output_at)
    harness.scheduler_client.end(request_id, Outcome.BROKEN_OFF if output_at else Outcome.CUT, 1.0)


def reported_breaks(harness: ClientHarness) -> list[tuple[str, BrokenAttempt]]:
    return [(address, message) for address, message in harness.sent if isinstance(message, BrokenAttempt)]


def test_broken_attempts_are_reported_to_the_next_scheduler(harness):
    """Guards against deadly requests that a new scheduler places as often as the one before."""
    broken_attempt(harness, "r1", output_at=0.75)
    broken_attempt(harness, "r2")
    harness.scheduler_client.on_tick(1.5)
    assert not reported_breaks(harness)
    harness.members.suspect(OTHER, 2.0)
    harness.scheduler_client.on_tick(2.0)
    harness.scheduler_client.on_tick(2.1)
    assert reported_breaks(harness) == [
        (OWN, BrokenAttempt("r1", "engines", "e1", ("a", "s1"), 1.0, 0.25, "digest-r1", "acme")),
        (OWN, BrokenAttempt("r2", "engines", "e1", ("a", "s1"), 1.0, None, "digest-r2", "acme")),
    ]


def test_broken_attempts_are_reported_to_a_restarted_scheduler(harness):
    """Guards against deadly requests that a restarted scheduler places as often as before its restart."""
    broken_attempt(harness, "r1")
    harness.scheduler_client.register_again(OTHER, 1.5)
    expected = BrokenAttempt("r1", "engines", "e1", ("a", "s1"), 0.5, None, "digest-r1", "acme")
    assert reported_breaks(harness) == [(OTHER, expected)]


def test_answered_parts_are_not_reported_as_broken(harness):
    """Guards against a new scheduler that blames the parts of sound requests."""
    broken_attempt(harness, "r1")
    harness.grant(harness.request_target("r2", "s2"))
    harness.scheduler_client.end("r2", Outcome.ANSWERED, 9.0)
    harness.scheduler_client.register_again(OTHER, 9.5)
    ((_address, message),) = reported_breaks(harness)
    assert message.part_ids == ("s1",)


def test_answered_request_is_not_reported_as_broken(harness):
    """Guards against a new scheduler that blames a request whose repeat was answered."""
    broken_attempt(harness, "r1")
    harness.grant(harness.request_target("r1"))
    harness.scheduler_client.end("r1", Outcome.ANSWERED, 9.0)
    harness.scheduler_client.register_again(OTHER, 9.5)
    assert reported_breaks(harness) == []


def test_open_request_moves_with_its_digest(harness):
    """Guards against a new scheduler that can't count the crash of a request which another one has placed."""
    harness.grant(harness.request_target("r1"))
    harness.members.suspect(OTHER, 1.0)
    harness.scheduler_client.on_tick(1.0)
    (opened,) = [message for _address, message in harness.sent if isinstance(message, AttemptOpened)]
    assert opened.digest == "digest-r1"


def test_request_that_may_crash_targets_goes_to_no_other_pool():
    """Guards against sending a request to another data centre that was refused for the crashes of targets."""
    harness = ClientHarness(12)
    target_request = harness.request_target()
    harness.sent.clear()
    refusal = make_refusal(target_request, may_crash_targets=True)
    scheduler = target_request.scheduler
    assert harness.scheduler_client.accept_refusal(refusal, scheduler, 0.1) is target_request
    assert harness.sent == []


@pytest.mark.parametrize(("output_at", "is_reported"), [(1.05, True), (1.5, False), (5.0, True)])
def test_breaks_of_a_running_target_are_not_reported(harness, output_at, is_reported):
    """Guards against a new scheduler that takes lost connections for crashes."""
    broken_attempt(harness, "r1")
    harness.grant(harness.request_target("r2", "s2"))
    harness.scheduler_client.report_first_output("r2", output_at)
    harness.scheduler_client.register_again(OTHER, 6.0)
    assert bool(reported_breaks(harness)) is is_reported


def test_old_breaks_are_not_reported(harness):
    """Guards against parts that are refused because of crashes of long ago."""
    broken_attempt(harness, "r1")
    harness.scheduler_client.on_tick(62.0)
    harness.scheduler_client.register_again(OTHER, 62.0)
    assert not reported_breaks(harness)


def test_long_part_names_are_not_reported(harness):
    """Guards against a burst of traffic when requests with long prompts move to another scheduler."""
    long_name = "s" * 5_000
    harness.grant(harness.request_target("r1", long_name))
    harness.scheduler_client.register_again(OTHER, 1.5)
    assert harness.sent[-1][1].part_ids == ()
    harness.scheduler_client.end("r1", Outcome.CUT, 2.0)
    harness.scheduler_client.register_again(OTHER, 2.5)
    ((_address, message),) = reported_breaks(harness)
    assert message.part_ids == ()
    assert message.digest == "digest-r1"


def test_open_request_moves_with_its_parts_and_the_age_of_its_output(harness):
    """Guards against a new scheduler that ignores the crash of a request that it did not place."""
    harness.grant(harness.request_target("r1"))
    harness.scheduler_client.report_first_output("r1", 1.0)
    harness.scheduler_client.register_again(OTHER, 1.5)
    opened = harness.sent[-1][1]
    assert isinstance(opened, AttemptOpened)
    assert opened.part_ids == ("a", "s1")
    assert opened.output_age_seconds == 0.5


def test_one_other_pool_is_tried_after_a_refusal():
    """Guards against refusals while the engines of another data centre are idle."""
    harness = ClientHarness(14)
    target_request = harness.request_target()
    first = target_request.pool
    assert (
        harness.scheduler_client.accept_refusal(make_refusal(target_request), target_request.scheduler, 0.1)
        is None
    )
    assert target_request.pool not in (first, Pool("engines"))
    assert (
        harness.scheduler_client.accept_refusal(make_refusal(target_request), target_request.scheduler, 0.2)
        is target_request
    )
    assert harness.scheduler_client.target_requests == {}


def test_pool_with_the_shortest_backlog_is_tried_after_a_refusal():
    """Guards against refusals by two full pools while a third one has nothing to do."""
    harness = ClientHarness(21, data_centres=("north", "south", "west"))
    client = harness.scheduler_client
    for number in range(12):
        target_request = harness.request_target(f"r{number}", session=f"s{number}")
        first, *others = harness.scheduler_client.pools.rank_by_session("engines", f"s{number}")
        assert target_request.pool == first
        spare = others[number % 2]
        backlogs = tuple((pool.data_centre, 0.04 if pool == spare else 0.6) for pool in (first, *others))
        refusal = make_refusal(target_request, pool_backlogs=backlogs)
        assert client.accept_refusal(refusal, target_request.scheduler, 0.1) is None
        assert target_request.pool == spare
    assert client.second_pools == {"session": 6, "backlog": 6}


@pytest.mark.parametrize("backlogs", [(), (("south", math.nan), ("west", -1.0)), (("west", math.inf),)])
def test_order_of_the_session_decides_without_valid_backlogs(backlogs):
    """Guards against malformed backlogs, and against late ones that no longer hold."""
    harness = ClientHarness(21, data_centres=("north", "south", "west"))
    client = harness.scheduler_client
    target_request = harness.request_target()
    _first, second, _third = client.pools.rank_by_session("engines", "s1")
    client.backlogs.record(second, 0.9, -MAX_AGE_SECONDS)
    refusal = make_refusal(target_request, pool_backlogs=backlogs)
    assert client.accept_refusal(refusal, target_request.scheduler, 0.1) is None
    assert target_request.pool == second
    assert client.backlogs.ignored == len(backlogs)


def test_pool_that_is_closed_to_the_customer_is_not_tried_second():
    """Guards against a refusal without a question to the only pool that would take the request."""
    harness = ClientHarness(21, data_centres=("north", "south", "west"))
    client = harness.scheduler_client
    _first, second, third = client.pools.rank_by_session("engines", "s1")
    target_request = harness.request_target()
    client.closed[second, "acme"] = ClosedPool(1.0, 1.0, make_refusal(target_request))
    client.backlogs.record(third, 0.5, 0.0)
    assert client.accept_refusal(make_refusal(target_request), target_request.scheduler, 0.1) is None
    assert target_request.pool == third


def test_spent_retry_budget_is_final_and_remembered():
    harness = ClientHarness(14)
    target_request = harness.request_target()
    pool = target_request.pool
    assert (
        harness.scheduler_client.accept_refusal(
            make_refusal(target_request, is_retry_budget_spent=True), target_request.scheduler, 0.1
        )
        is target_request
    )
    assert harness.scheduler_client.may_repeat[pool] is False


def test_requests_behind_a_long_backlog_are_refused_without_a_message(harness):
    """Guards against a flood whose refused requests take the processor of the scheduler."""
    target_request = harness.request_target()
    refusal = make_refusal(target_request, closed_seconds=0.1)
    assert harness.scheduler_client.accept_refusal(refusal, OTHER, 0.0) is target_request
    harness.sent.clear()
    second = harness.request_target("r2", "s2")
    ((address, answer),) = harness.sent
    assert address == OWN
    assert isinstance(answer, TargetRefusal)
    assert harness.scheduler_client.accept_refusal(answer, OWN, 0.05) is second


def test_refusals_of_the_scheduler_in_the_same_router_apply_to_later_requests(harness):
    """Guards against customers that get more because their router is the scheduler."""
    target_request = harness.request_target()
    target_request.scheduler = OWN
    refusal = make_refusal(target_request, closed_seconds=0.1)
    assert harness.scheduler_client.accept_refusal(refusal, OWN, 0.0) is target_request
    harness.sent.clear()
    harness.request_target("r2", "s2")
    ((_address, answer),) = harness.sent
    assert isinstance(answer, TargetRefusal)


def test_refusals_without_a_message_do_not_keep_a_pool_closed(harness):
    """Guards against a flood whose requests are refused for good after one long backlog."""
    target_request = harness.request_target()
    harness.scheduler_client.accept_refusal(make_refusal(target_request, closed_seconds=0.1), OTHER, 0.0)
    harness.sent.clear()
    for number, now in enumerate([0.05, 0.11]):
        request = TargetRequest(f"r{number}", "engines", "s1", "acme", 1.0, now, now + 8.0, 30, 5, ())
        harness.scheduler_client.request_target(request, now)
        if number == 0:
            harness.scheduler_client.accept_refusal(harness.sent[-1][1], OWN, now)
    (_own, refused), (address, message) = harness.sent
    assert isinstance(refused, TargetRefusal)
    assert address == OTHER
    assert isinstance(message, TargetQuery)


@pytest.mark.parametrize(
    ("customer", "goal_seconds", "now"), [("other", 1.0, 0.05), ("acme", 2.0, 0.05), ("acme", 1.0, 0.11)]
)
def test_refusal_applies_to_no_other_customer_goal_or_time(harness, customer, goal_seconds, now):
    """Guards against requests that are refused although their scheduler would queue them."""
    target_request = harness.request_target()
    refusal = make_refusal(target_request, closed_seconds=0.1)
    harness.scheduler_client.accept_refusal(refusal, OTHER, 0.0)
    harness.sent.clear()
    request = TargetRequest("r2", "engines", "s1", customer, goal_seconds, now, now + 8.0, 30, 5, ())
    harness.scheduler_client.request_target(request, now)
    ((address, message),) = harness.sent
    assert address == OTHER
    assert isinstance(message, TargetQuery)


def test_unconfirmed_lists_of_many_pools_do_not_add_up():
    """Guards against callers that wait for the store once for each data centre before they are refused."""
    harness = ClientHarness(0)
    placement = harness.scheduler_client.pools.placement
    for number in range(30):
        placement.put_target(make_target(f"e{number}", data_centre=f"dc{number % 5}"))
    target_request = harness.request_target()
    refusals = 0
    while refusals < 5:
        refusals += 1
        answer = make_refusal(target_request, lacks_version=True)
        answer = msgspec.structs.replace(answer, reason=TARGETS_UNCONFIRMED)
        if harness.scheduler_client.accept_refusal(answer, target_request.scheduler, 0.0) is not None:
            break
    assert refusals <= MAX_TRIED_POOLS


def queries_for_a_refusal(harness, **changes) -> list[TargetQuery]:
    """Let the first pool refuse a request; return the queries to other pools."""
    target_request = harness.request_target()
    harness.sent.clear()
    answer = make_refusal(target_request, **changes)
    harness.scheduler_client.accept_refusal(answer, target_request.scheduler, 0.1)
    return [message for _address, message in harness.sent]


def test_source_that_a_refusal_names_is_passed_on_to_the_next_pool():
    """Guards against repeated prefill when a request goes to another pool."""
    [query] = queries_for_a_refusal(ClientHarness(20), source_id="e3", source_tokens=20)
    assert (query.source_id, query.source_tokens) == ("e3", 20)


@pytest.mark.parametrize(("source_id", "tokens"), [("unknown", 20), ("e3", 0), ("e3", -5), ("e3", 2 * 10**9)])
def test_invalid_source_is_not_passed_on(source_id, tokens):
    """Guards against a malformed refusal that makes the next query invalid or too long to send."""
    [query] = queries_for_a_refusal(ClientHarness(20), source_id=source_id, source_tokens=tokens)
    assert (query.source_id, query.source_tokens) == ("", 0)


def test_source_of_an_earlier_attempt_is_not_named_again():
    """Guards against transfers from an engine that may have evicted the parts since."""
    harness = ClientHarness(20)
    target_request = harness.request_target()
    target_request.source_id, target_request.source_tokens = "e3", 20
    harness.scheduler_client.request_target(target_request, 0.5)
    assert harness.sent[-1][1].source_id == ""
