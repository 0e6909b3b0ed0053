"""Tests of transfers from engines of a pool that has refused the request, and of queued transfers."""

import random

import pytest

from builders_fleet import MEMORY_TOKENS, SLOTS, make_placement, make_request, make_service, make_target
from limpetusher.fleet.messages import MAX_TOKENS, MemberEntry, TargetQuery
from limpetusher.fleet.model import Engine, Pool
from limpetusher.fleet.process.members import Members
from limpetusher.fleet.process.pools import Pools
from limpetusher.fleet.process.scheduler import Scheduler
from limpetusher.fleet.process.target_loads import TargetLoad
from limpetusher.fleet.process.transfers import SETUP_SECONDS, TransferQueues

ENGINE = Engine(SLOTS, MEMORY_TOKENS, transfer_rate=250_000.0)
NORTH, SOUTH = Pool("engines", "north"), Pool("engines", "south")
SHARED_TOKENS = 6_300


def make_two_pools(engine: Engine = ENGINE):
    placement = make_placement(0, service=make_service(engine=engine))
    for data_centre in ("north", "south"):
        for number in range(5):
            placement.put_target(make_target(f"{data_centre}{number}", data_centre=data_centre))
    return placement


def make_query(**changes) -> TargetQuery:
    request = make_request()
    values = {
        "request_id": "r1",
        "attempt": 1,
        "service": "engines",
        "data_centre": "north",
        "customer": "acme",
        "goal_seconds": 1.0,
        "waited_seconds": 0.0,
        "remaining_seconds": 8.0,
        "prompt_tokens": request.prompt_tokens,
        "output_tokens": 50,
        "parts": tuple((part.part_id, part.tokens) for part in request.parts),
        "excluded": (),
        "caller_data_centre": "north",
        "is_retry": False,
    }
    return TargetQuery(**{**values, **changes})


def make_scheduler(placement) -> Scheduler:
    members = Members(MemberEntry("10.0.0.1", "north", 1.0, 1, 1), rng=random.Random(1))
    return Scheduler(placement.settings, placement, Pools(placement, members))


def refuse(placement):
    """Let a scheduler refuse a request that no engine of the northern pool can take; return the refusal."""
    scheduler = make_scheduler(placement)
    for number in range(5):
        placement.add_load(f"north{number}", TargetLoad(SLOTS), 0.0)
    scheduler.receive("10.0.0.9", make_query(), 0.0)
    assert scheduler.decide(0.0) == []
    [(_address, refusal)] = scheduler.decide(0.9)
    return refusal


def test_refusal_names_the_engine_that_holds_the_longest_prefix():
    """Guards against repeated prefill when a request goes to another pool."""
    placement = make_two_pools()
    placement.caches.record_use("north3", make_request().parts[:-1], MEMORY_TOKENS)
    refusal = refuse(placement)
    assert (refusal.source_id, refusal.source_tokens) == ("north3", SHARED_TOKENS)


@pytest.mark.parametrize("is_leaving", [False, True])
def test_refusal_names_no_engine_that_is_leaving_or_without_transfers(is_leaving):
    """Guards against transfers from engines that can't answer."""
    placement = make_two_pools(ENGINE if is_leaving else Engine(SLOTS, MEMORY_TOKENS))
    placement.caches.record_use("north3", make_request().parts[:-1], MEMORY_TOKENS)
    if is_leaving:
        placement.mark_leaving("north3")
    assert refuse(placement).source_id == ""


def choose_in_south(placement, **changes):
    values = {"source_id": "north3", "source_tokens": SHARED_TOKENS, **changes}
    return placement.choose(make_request(pool=SOUTH, **values), 0.0)


def test_named_source_is_used_by_the_next_pool():
    """Guards against repeated prefill at a pool that does not know the caches of the others."""
    placement = make_two_pools()
    choice = choose_in_south(placement)
    assert choice.source_id == "north3"
    transfer_tokens = int(2 * (SETUP_SECONDS + SHARED_TOKENS / 250_000) * 30_000)
    assert choice.load.prefill_tokens == make_request().prompt_tokens - SHARED_TOKENS + transfer_tokens
    placement.record_start(make_request(pool=SOUTH, source_id="north3", source_tokens=6_300), choice, 0.0)
    assert placement.transfers.queued_seconds("north3", 0.0) > 0.02


@pytest.mark.parametrize("source_tokens", [SHARED_TOKENS, MAX_TOKENS])
def test_no_more_than_the_shared_parts_is_expected_from_a_source(source_tokens):
    """Guards against a malformed message that lets a prompt count as nothing to prefill."""
    choice = choose_in_south(make_two_pools(), source_tokens=source_tokens)
    assert choice.load.prefill_tokens >= make_request().prompt_tokens - SHARED_TOKENS


@pytest.mark.parametrize("fault", ["removed", "draining", "suspended", "excluded", "unknown"])
def test_request_is_sent_without_a_transfer_if_its_source_is_gone(fault):
    """Guards against requests that fail or wait because the engine that held their prefix is gone."""
    placement = make_two_pools()
    changes = {}
    if fault == "removed":
        placement.remove_target("north3")
    elif fault == "draining":
        placement.put_target(make_target("north3", data_centre="north", is_draining=True, revision=2))
    elif fault == "suspended":
        placement.health_of("north3").record_unreachable(placement.settings, 0.0)
    elif fault == "excluded":
        changes = {"excluded": {"north3"}}
    else:
        changes = {"source_id": "x" * 10_000}
    choice = choose_in_south(placement, **changes)
    assert choice.source_id == ""
    assert choice.load.prefill_tokens == make_request().prompt_tokens


@pytest.mark.parametrize("source_tokens", [-1, MAX_TOKENS + 1])
def test_query_with_an_invalid_number_of_tokens_is_invalid(source_tokens):
    """Guards against sums that a malformed message corrupts."""
    assert not make_query(source_id="north3", source_tokens=source_tokens).has_valid_numbers


def test_transfers_of_one_source_are_queued():
    """Guards against many requests at once that all count on the whole link of one engine."""
    queues = TransferQueues()
    queues.record("e1", 0.03, 1.0)
    queues.record("e1", 0.02, 1.01)
    assert queues.queued_seconds("e1", 1.01) == pytest.approx(0.04)
    assert queues.queued_seconds("e1", 2.0) == queues.queued_seconds("e2", 1.0) == 0.0


def test_prefill_is_repeated_if_the_source_has_too_many_transfers_to_send():
    """Guards against requests that wait for a transfer for longer than their prefill takes."""
    placement = make_two_pools()
    placement.transfers.record("north3", 0.5, 0.0)
    assert choose_in_south(placement).source_id == ""
