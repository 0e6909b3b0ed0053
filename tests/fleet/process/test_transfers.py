"""Tests of transfers of cached prompt parts between engines."""

import pytest

from builders_fleet import MEMORY_TOKENS, SLOTS, make_placement, make_request, make_service, make_target
from limpetusher.fleet.model import Engine
from limpetusher.fleet.process.target_loads import TargetLoad
from limpetusher.fleet.process.transfers import SETUP_SECONDS, TransferSource, prefill_tokens_with_transfer

PREFILL_RATE = 30_000.0
FAST_LINK_ENGINE = Engine(SLOTS, MEMORY_TOKENS, transfer_rate=250_000.0)
MANY_FAILURES = 20
SLOW_LINK_ENGINE = Engine(SLOTS, MEMORY_TOKENS, transfer_rate=50_000.0)


@pytest.mark.parametrize(
    ("engine", "data_centre", "expected"),
    [
        (FAST_LINK_ENGINE, "north", 3_000 + int((SETUP_SECONDS + 6_000 / 250_000) * PREFILL_RATE)),
        (FAST_LINK_ENGINE, "south", 3_000 + int(2 * (SETUP_SECONDS + 6_000 / 250_000) * PREFILL_RATE)),
        (SLOW_LINK_ENGINE, "north", 9_000),
    ],
)
def test_transfer_load_in_prefill_tokens(engine, data_centre, expected):
    """Guards against transfers slower than prefill, and against treating transfers as free."""
    source = TransferSource(make_target("e1", data_centre=data_centre), 3_000)
    assert prefill_tokens_with_transfer(source, make_target("e2"), 9_000, PREFILL_RATE, engine) == expected


def test_no_transfer_without_a_gain():
    """Guards against a transfer from the engine to itself, and of a part too small for the setup time."""
    assert (
        prefill_tokens_with_transfer(
            TransferSource(make_target("e1"), 3_000), make_target("e1"), 9_000, PREFILL_RATE, FAST_LINK_ENGINE
        )
        == 9_000
    )
    assert (
        prefill_tokens_with_transfer(
            TransferSource(make_target("e1"), 8_900), make_target("e2"), 9_000, PREFILL_RATE, FAST_LINK_ENGINE
        )
        == 9_000
    )


def make_busy_cached_placement(engine: Engine, **target: object):
    """Return a placement, and the engine that has cached the session and is busy with another burst."""
    placement = make_placement(3, service=make_service(engine=engine))
    request = make_request()
    choice = placement.choose(request, 0.0)
    placement.record_start(request, choice, 0.0)
    cached_engine = choice.target.target_id
    placement.record_end(cached_engine, choice.load, 0.0)
    placement.take_over(cached_engine, TargetLoad(1, 12_000, 9_000), 0.1)
    if target:
        placement.put_target(make_target(cached_engine, revision=2, **target))
    return placement, cached_engine


def test_session_is_transferred_from_the_engine_that_cached_it():
    """Guards against prefilling shared parts again although another engine has cached them."""
    placement, cached_engine = make_busy_cached_placement(FAST_LINK_ENGINE)
    choice = placement.choose(make_request("w2", at=0.3), 0.3)
    assert choice.target.target_id != cached_engine
    assert choice.source_id == cached_engine
    assert 3_000 < choice.load.prefill_tokens < 6_000


@pytest.mark.parametrize(
    ("engine", "target"),
    [
        (Engine(SLOTS, MEMORY_TOKENS), {}),
        (FAST_LINK_ENGINE, {"is_draining": True}),
        (FAST_LINK_ENGINE, {"started_at_milliseconds": 1}),
    ],
)
def test_no_transfer(engine, target):
    """Guards against unsupported transfers, and transfers from a draining or restarted engine."""
    placement, _cached_engine = make_busy_cached_placement(engine, **target)
    check_full_prefill(placement.choose(make_request("w2", at=0.3), 0.3))


def test_no_transfer_from_an_engine_that_fails():
    """Guards against a transfer from an engine that has failed the request or has a high error rate."""
    placement, cached_engine = make_busy_cached_placement(FAST_LINK_ENGINE)
    check_full_prefill(placement.choose(make_request("w2", at=0.3, excluded={cached_engine}), 0.3))
    for _ in range(MANY_FAILURES):
        placement.health_of(cached_engine).record_answer(is_error=True)
    check_full_prefill(placement.choose(make_request("w3", at=0.3), 0.3))


def check_full_prefill(choice) -> None:
    """Check that an engine prefills the whole prompt without a transfer."""
    assert choice.source_id == ""
    assert choice.load.prefill_tokens == 9_300
