"""Tests of the placement of requests."""

import cProfile
import pstats

from builders_fleet import make_placement, make_request, make_service, make_target
from limpetusher.fleet.model import Pool
from limpetusher.fleet.process.target_loads import TargetLoad


def choose_and_start(placement, request, now=0.0):
    choice = placement.choose(request, now)
    if choice is not None:
        placement.record_start(request, choice, now)
    return choice


def test_session_stays_at_its_engine():
    """Guards against prefilling shared prompt parts at each engine."""
    chosen = set()
    placement = make_placement(5)
    for number in range(5):
        choice = choose_and_start(placement, make_request(f"w{number}"), now=float(number))
        placement.record_end(choice.target.target_id, choice.load, number + 0.5)
        chosen.add(choice.target.target_id)
    assert len(chosen) == 1
    assert choice.load.prefill_tokens == 3_000


def count_calls_for_targets(count: int) -> int:
    """Return the number of function calls to add a number of targets and change each of them once."""
    profile = cProfile.Profile()
    placement = make_placement(0)
    with profile:
        for revision in (1, 2):
            for number in range(count):
                placement.put_target(make_target(f"t{number}", revision=revision))
    return pstats.Stats(profile).total_calls


def test_time_to_add_targets_is_linear():
    """Guards against a slow start with thousands of targets, because each one rebuilds the list."""
    assert count_calls_for_targets(1_000) < 12 * count_calls_for_targets(100)


def test_target_that_changes_its_service_belongs_to_one_only():
    placement = make_placement(1)
    [target] = placement.targets.values()
    placement.put_target(make_target(target.target_id, service="other", revision=9))
    assert placement.targets_of(Pool(target.service)) == []
    assert [found.target_id for found in placement.targets_of(Pool("other"))] == [target.target_id]
    placement.remove_target(target.target_id)
    assert placement.targets_of(Pool("other")) == []


def test_all_schedulers_choose_the_same_engine_for_a_session():
    first, second = make_placement(5), make_placement(5)
    for target in reversed(list(second.targets.values())):
        second.remove_target(target.target_id)
        second.put_target(target)
    for number in range(20):
        request = make_request(session=f"s{number}")
        assert first.choose(request, 0.0).target == second.choose(request, 0.0).target


def make_session_engine_busy(placement):
    """Place a session and make its engine busy; return that engine and the others."""
    first = choose_and_start(placement, make_request())
    session_engine = first.target.target_id
    placement.record_end(session_engine, first.load, 0.0)
    placement.take_over(session_engine, TargetLoad(1, 12_000, 9_000), 0.1)
    return session_engine, [target_id for target_id in placement.targets if target_id != session_engine]


def test_request_waits_for_the_engine_that_cached_its_session():
    """Guards against moving to an engine between two bursts, which has to prefill the session again."""
    placement = make_placement(3)
    _session_engine, others = make_session_engine_busy(placement)
    for target_id in others:
        placement.bursts.update_pending_tokens(target_id, 9_000, 0.0)
        placement.bursts.update_pending_tokens(target_id, 0, 0.3)
    now = 0.3 + placement.settings.idle_seconds
    assert placement.choose(make_request("w2", at=0.3), now - 0.001) is None
    assert placement.choose(make_request("w2", at=0.3), now + 0.001).target.target_id in others


def test_request_moves_to_an_idle_engine():
    """Guards against a queue at the engine that caches a common part while other engines are idle."""
    placement = make_placement(3)
    session_engine, _others = make_session_engine_busy(placement)
    assert placement.choose(make_request("w2", at=0.3), 0.3).target.target_id != session_engine


def test_load_taken_over_counts_against_the_slots():
    """Guards against a new scheduler that exceeds the slots of a target."""
    service = make_service(name="desk", engine=None, cold_per_second=0.0)
    placement = make_placement(0, service=service)
    placement.put_target(make_target("d1", service="desk", slots=6))
    placement.take_over("d1", TargetLoad(6), 0.0)
    request = make_request(pool=Pool("desk"), parts=())
    assert placement.choose(request, 0.0) is None
    placement.record_end("d1", TargetLoad(1), 0.0)
    assert placement.choose(request, 0.0).target.target_id == "d1"


def test_draining_evacuated_suspended_and_excluded_targets_get_nothing():
    placement = make_placement(0)
    placement.put_target(make_target("draining", is_draining=True))
    placement.put_target(make_target("evacuated", data_centre="south"))
    placement.put_target(make_target("suspended"))
    placement.put_target(make_target("excluded"))
    placement.evacuate("south", True)
    placement.health_of("suspended").record_unreachable(placement.settings, 0.0)
    assert placement.choose(make_request(excluded={"excluded"}), 0.0) is None
    assert placement.choose(make_request(), 0.0).target.target_id == "excluded"


def test_cold_engine_is_rate_limited():
    placement = make_placement(0)
    placement.put_target(make_target("cold", cold_until=10.0))
    assert choose_and_start(placement, make_request("w1", unshared_tokens=10), 0.0).is_cold
    assert choose_and_start(placement, make_request("w2", unshared_tokens=10), 0.05) is None


def test_target_that_answers_again_after_failures_is_treated_as_cold():
    """Guards against full load on a restarted target whose cold state the platform has not announced yet."""
    placement = make_placement(1)
    health = placement.health_of("e1")
    health.record_unreachable(placement.settings, 0.0)
    health.record_unreachable(placement.settings, 1.0)
    health.record_reached(placement.settings, 2.0)
    assert placement.is_cold(placement.targets["e1"], 2.1)
    placement.put_target(make_target("e1", revision=2))
    assert not placement.is_cold(placement.targets["e1"], 2.2)


def test_restart_under_the_same_name_clears_the_cache():
    placement = make_placement(1)
    request = make_request()
    choose_and_start(placement, request)
    assert placement.caches.prefill_tokens("e1", request.parts, request.prompt_tokens) == 3_000
    placement.put_target(make_target("e1", started_at_milliseconds=5, revision=2))
    assert (
        placement.caches.prefill_tokens("e1", request.parts, request.prompt_tokens) == request.prompt_tokens
    )


def test_leaving_and_overloaded_targets_get_nothing_until_they_are_back():
    """Guards against requests to a target that has announced that it is leaving or overloaded."""
    placement = make_placement(2)
    assert placement.mark_leaving("e1")
    assert not placement.mark_leaving("e1")
    placement.set_backoff("e2", 3.0)
    assert placement.choose(make_request(), 2.9) is None
    assert placement.choose(make_request(), 3.0).target.target_id == "e2"
    placement.put_target(make_target("e1", revision=2))
    placement.set_backoff("e2", 9.0)
    assert placement.choose(make_request(), 4.0) is None
    placement.put_target(make_target("e1", started_at_milliseconds=5, revision=3))
    assert placement.choose(make_request(), 4.0).target.target_id == "e1"
