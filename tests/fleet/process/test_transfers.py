"""Tests of transfers of kept prompt parts between engines."""

import pytest

from builders_fleet import MEMORY_TOKENS, SLOTS, make_placement, make_service, make_target, make_work
from limpetusher.fleet.model import Engine
from limpetusher.fleet.process.loads import OpenWork
from limpetusher.fleet.process.transfers import SETUP_SECONDS, Source, transferred_tokens

RATE = 30_000.0
FAST = Engine(SLOTS, MEMORY_TOKENS, transfer_rate=250_000.0)
MANY_FAILURES = 20
SLOW = Engine(SLOTS, MEMORY_TOKENS, transfer_rate=50_000.0)


@pytest.mark.parametrize(
    ("engine", "data_centre", "expected"),
    [
        (FAST, "north", 3_000 + int((SETUP_SECONDS + 6_000 / 250_000) * RATE)),
        (FAST, "south", 3_000 + int(2 * (SETUP_SECONDS + 6_000 / 250_000) * RATE)),
        (SLOW, "north", 9_000),
    ],
)
def test_load_of_a_transfer(engine, data_centre, expected):
    """Guards against transfers that take longer than reading, and against counting them as free."""
    source = Source(make_target("e1", data_centre=data_centre), 3_000)
    assert transferred_tokens(source, make_target("e2"), 9_000, RATE, engine) == expected


def test_nothing_to_transfer():
    """Guards against a transfer from the engine itself, and of a part that is smaller than the setup."""
    assert transferred_tokens(Source(make_target("e1"), 3_000), make_target("e1"), 9_000, RATE, FAST) == 9_000
    assert transferred_tokens(Source(make_target("e1"), 8_900), make_target("e2"), 9_000, RATE, FAST) == 9_000


def open_at_home(engine: Engine, **target: object):
    """Return a placement whose first engine keeps a session and reads another burst, and that engine."""
    placement = make_placement(3, service=make_service(engine=engine))
    work = make_work()
    placed = placement.choose(work, 0.0)
    placement.start(work, placed, 0.0)
    home = placed.target.target_id
    placement.end(home, placed.work, 0.0)
    placement.take_over(home, OpenWork(1, 12_000, 9_000), 0.1)
    if target:
        placement.put_target(make_target(home, revision=2, **target))
    return placement, home


def test_engine_takes_a_session_from_the_one_that_keeps_it():
    """Guards against shared parts that are read again though another engine has them."""
    placement, home = open_at_home(FAST)
    placed = placement.choose(make_work("w2", at=0.3), 0.3)
    assert placed.target.target_id != home
    assert placed.source_id == home
    assert 3_000 < placed.work.unread_tokens < 6_000


@pytest.mark.parametrize(
    ("engine", "target"),
    [
        (Engine(SLOTS, MEMORY_TOKENS), {}),
        (FAST, {"is_draining": True}),
        (FAST, {"started_at_milliseconds": 1}),
    ],
)
def test_no_transfer(engine, target):
    """Guards against transfers that the engines can't do, or from an engine that leaves or keeps nothing."""
    placement, _home = open_at_home(engine, **target)
    check_read_again(placement.choose(make_work("w2", at=0.3), 0.3))


def test_no_transfer_from_an_engine_that_fails():
    """Guards against a request that waits again for the engine that has failed it, or fails many others."""
    placement, home = open_at_home(FAST)
    check_read_again(placement.choose(make_work("w2", at=0.3, excluded={home}), 0.3))
    for _ in range(MANY_FAILURES):
        placement.health_of(home).answered(is_error=True)
    check_read_again(placement.choose(make_work("w3", at=0.3), 0.3))


def check_read_again(placed) -> None:
    """Check that an engine reads a whole prompt by itself."""
    assert placed.source_id == ""
    assert placed.work.unread_tokens == 9_300
