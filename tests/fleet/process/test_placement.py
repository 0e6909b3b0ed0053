"""Tests of the choice of a target."""

import cProfile
import pstats

from builders_fleet import make_placement, make_service, make_target, make_work
from limpetusher.fleet.model import Pool
from limpetusher.fleet.process.loads import OpenWork


def place(placement, work, now=0.0):
    placed = placement.choose(work, now)
    if placed is not None:
        placement.start(work, placed, now)
    return placed


def test_session_stays_at_its_engine():
    """Guards against shared prompt parts that are read again at each engine."""
    chosen = set()
    placement = make_placement(5)
    for number in range(5):
        placed = place(placement, make_work(f"w{number}"), now=float(number))
        placement.end(placed.target.target_id, placed.work, number + 0.5)
        chosen.add(placed.target.target_id)
    assert len(chosen) == 1
    assert placed.work.unread_tokens == 3_000


def calls_for_targets(count: int) -> int:
    """Return how many calls it takes to list a number of targets, each of which changes once."""
    profile = cProfile.Profile()
    placement = make_placement(0)
    with profile:
        for revision in (1, 2):
            for number in range(count):
                placement.put_target(make_target(f"t{number}", revision=revision))
    return pstats.Stats(profile).total_calls


def test_time_to_list_targets_grows_with_their_number_only():
    """Guards against a start that takes seconds with thousands of targets that each have all listed anew."""
    assert calls_for_targets(1_000) < 12 * calls_for_targets(100)


def test_target_that_changes_its_service_belongs_to_one_only():
    placement = make_placement(1)
    [target] = placement.targets.values()
    placement.put_target(make_target(target.target_id, service="other", revision=9))
    assert placement.members(Pool(target.service)) == []
    assert [found.target_id for found in placement.members(Pool("other"))] == [target.target_id]
    placement.remove_target(target.target_id)
    assert placement.members(Pool("other")) == []


def test_all_schedulers_choose_the_same_engine_for_a_session():
    first, second = make_placement(5), make_placement(5)
    for target in reversed(list(second.targets.values())):
        second.remove_target(target.target_id)
        second.put_target(target)
    for number in range(20):
        work = make_work(session=f"s{number}")
        assert first.choose(work, 0.0).target == second.choose(work, 0.0).target


def open_elsewhere(placement):
    """Let one request place a session and fill its engine; return that engine and the others."""
    first = place(placement, make_work())
    home = first.target.target_id
    placement.end(home, first.work, 0.0)
    placement.take_over(home, OpenWork(1, 12_000, 9_000), 0.1)
    return home, [target_id for target_id in placement.targets if target_id != home]


def test_request_waits_for_the_engine_that_keeps_its_session():
    """Guards against spilling to an engine between two bursts that has to read the session again."""
    placement = make_placement(3)
    _home, others = open_elsewhere(placement)
    for target_id in others:
        placement.bursts.observe(target_id, 9_000, 0.0)
        placement.bursts.observe(target_id, 0, 0.3)
    now = 0.3 + placement.settings.idle_seconds
    assert placement.choose(make_work("w2", at=0.3), now - 0.001) is None
    assert placement.choose(make_work("w2", at=0.3), now + 0.001).target.target_id in others


def test_request_moves_to_an_idle_engine():
    """Guards against a queue at the one engine that keeps a common part while others have nothing to read."""
    placement = make_placement(3)
    home, _others = open_elsewhere(placement)
    assert placement.choose(make_work("w2", at=0.3), 0.3).target.target_id != home


def test_work_that_was_taken_over_counts_against_the_slots():
    """Guards against a new scheduler that sends more than a target takes."""
    service = make_service(name="desk", engine=None, cold_per_second=0.0)
    placement = make_placement(0, service=service)
    placement.put_target(make_target("d1", service="desk", slots=6))
    placement.take_over("d1", OpenWork(6), 0.0)
    work = make_work(pool=Pool("desk"), parts=())
    assert placement.choose(work, 0.0) is None
    placement.end("d1", OpenWork(1), 0.0)
    assert placement.choose(work, 0.0).target.target_id == "d1"


def test_draining_evacuated_suspended_and_excluded_targets_get_nothing():
    placement = make_placement(0)
    placement.put_target(make_target("draining", is_draining=True))
    placement.put_target(make_target("evacuated", data_centre="south"))
    placement.put_target(make_target("suspended"))
    placement.put_target(make_target("excluded"))
    placement.evacuate("south", True)
    placement.health_of("suspended").unreachable(placement.settings, 0.0)
    assert placement.choose(make_work(excluded={"excluded"}), 0.0) is None
    assert placement.choose(make_work(), 0.0).target.target_id == "excluded"


def test_cold_engine_gets_its_rate_only():
    placement = make_placement(0)
    placement.put_target(make_target("cold", cold_until=10.0))
    assert place(placement, make_work("w1", own_tokens=10), 0.0).is_cold
    assert place(placement, make_work("w2", own_tokens=10), 0.05) is None


def test_target_that_answers_again_after_failures_is_treated_as_cold():
    """Guards against full load on a restarted target whose cold state the platform has not announced yet."""
    placement = make_placement(1)
    health = placement.health_of("e1")
    health.unreachable(placement.settings, 0.0)
    health.unreachable(placement.settings, 1.0)
    health.reached(placement.settings, 2.0)
    assert placement.is_cold(placement.targets["e1"], 2.1)
    placement.put_target(make_target("e1", revision=2))
    assert not placement.is_cold(placement.targets["e1"], 2.2)


def test_restart_under_the_same_name_forgets_the_cache():
    placement = make_placement(1)
    work = make_work()
    place(placement, work)
    assert placement.caches.unread_tokens("e1", work.parts, work.prompt_tokens) == 3_000
    placement.put_target(make_target("e1", started_at_milliseconds=5, revision=2))
    assert placement.caches.unread_tokens("e1", work.parts, work.prompt_tokens) == work.prompt_tokens


def test_leaving_and_resting_targets_get_nothing_until_they_are_back():
    """Guards against requests to a target that has said in an answer that it leaves, or is too busy."""
    placement = make_placement(2)
    assert placement.note_leaving("e1")
    assert not placement.note_leaving("e1")
    placement.note_resting("e2", 3.0)
    assert placement.choose(make_work(), 2.9) is None
    assert placement.choose(make_work(), 3.0).target.target_id == "e2"
    placement.put_target(make_target("e1", revision=2))
    placement.note_resting("e2", 9.0)
    assert placement.choose(make_work(), 4.0) is None
    placement.put_target(make_target("e1", started_at_milliseconds=5, revision=3))
    assert placement.choose(make_work(), 4.0).target.target_id == "e1"
