"""Tests of the weighing of cached prompt parts against the wait."""

import pytest

from builders_fleet import MEMORY_TOKENS, SLOTS, make_placement, make_request, make_service, make_target
from limpetusher.errors import ConfigurationError
from limpetusher.fleet.model import Engine, EngineBasis
from limpetusher.fleet.process.engine_costs import (
    MIN_WEIGHING_INTERVAL_SECONDS,
    WEIGHING_INTERVAL_SECONDS,
    next_weighing,
)
from limpetusher.fleet.process.target_loads import TargetLoad
from limpetusher.fleet.settings import FleetSettings

ENGINE = Engine(SLOTS, MEMORY_TOKENS, transfer_rate=250_000.0)
MAX_WAIT_SECONDS = 0.4


def make_weighing_placement(engines: int = 3, **settings):
    return make_placement(
        engines, service=make_service(engine=ENGINE), settings=FleetSettings(**settings) if settings else None
    )


def start(placement, name: str, now: float = 0.0, **changes):
    request = make_request(name, at=now, **changes)
    request.latest_start_at = now + MAX_WAIT_SECONDS
    choice = placement.choose(request, now)
    if choice is not None:
        placement.record_start(request, choice, now)
    return request, choice


def cache_session(placement, session: str = "s1") -> str:
    """Run one request of a session to its end; return the engine that holds the session then."""
    _request, choice = start(placement, f"first-{session}", session=session)
    placement.record_end(choice.target.target_id, choice.load, 0.0)
    return choice.target.target_id


def send_prompt(placement, target_id: str, tokens: int, now: float) -> None:
    """Send a prompt of another session that an engine has to prefill."""
    placement.add_load(target_id, TargetLoad(1, tokens, tokens), now)


def fill_others(placement, holder: str, tokens: int, now: float) -> None:
    for target_id in placement.targets:
        if target_id != holder:
            send_prompt(placement, target_id, tokens, now)


def test_session_stays_at_its_engine_while_the_wait_is_shorter_than_what_the_cache_saves():
    """Guards against copies of a session at all engines while nothing is scarce."""
    placement = make_weighing_placement()
    holder = cache_session(placement)
    send_prompt(placement, holder, 200, 1.0)
    assert start(placement, "w2", 1.0)[1].target.target_id == holder


def test_session_leaves_its_engine_when_the_work_there_takes_longer_than_its_cache_saves():
    """Guards against a queue behind one long prompt while the other engines are idle."""
    placement = make_weighing_placement()
    holder = cache_session(placement)
    send_prompt(placement, holder, 12_000, 1.0)
    _request, choice = start(placement, "w2", 1.0)
    assert choice.target.target_id != holder
    assert choice.source_id == holder


def test_request_waits_for_its_engine_while_all_are_busy():
    """Guards against repeated prefill in a flood, which takes time from the requests of all customers."""
    placement = make_weighing_placement()
    holder = cache_session(placement)
    send_prompt(placement, holder, 14_000, 1.0)
    fill_others(placement, holder, 8_000, 1.0)
    request, choice = start(placement, "w2", 1.2)
    assert choice is None
    assert request.awaited_id == holder
    assert 1.2 < request.weighed_until < request.latest_start_at


def test_request_does_not_wait_for_an_engine_that_it_can_not_start_at_in_time():
    """Guards against requests refused after their maximum wait while another engine could take them."""
    placement = make_weighing_placement()
    holder = cache_session(placement)
    send_prompt(placement, holder, 30_000, 1.0)
    fill_others(placement, holder, 3_000, 1.0)
    assert start(placement, "w2", 1.0)[1].target.target_id != holder


def test_customer_with_too_little_service_does_not_wait():
    """Guards against preferring caches to fairness between customers."""
    placement = make_weighing_placement()
    holder = cache_session(placement)
    send_prompt(placement, holder, 14_000, 1.0)
    fill_others(placement, holder, 9_000, 1.0)
    request = make_request("w2", at=1.3)
    request.latest_start_at, request.patience = 1.3 + MAX_WAIT_SECONDS, 0.0
    placement.bursts.forget(next(iter(set(placement.targets) - {holder})))
    assert placement.choose(request, 1.3) is not None


def test_holder_outside_of_the_session_order_takes_a_request_that_would_have_to_wait():
    """Guards against repeated prefill while an engine that is not among the session's five is idle."""
    placement = make_weighing_placement(9)
    ranking = placement.ranking(make_request())
    holder = ranking[7]
    shared = make_request().parts[:-1]
    placement.caches.record_use(holder, shared, MEMORY_TOKENS)
    for target_id in ranking[:5]:
        send_prompt(placement, target_id, 14_000, 1.0)
    assert start(placement, "w2", 1.1)[1].target.target_id == holder


def test_idle_engine_of_the_session_is_taken_before_a_holder_outside_of_its_order():
    """Guards against another choice than before where nothing is scarce."""
    placement = make_weighing_placement(9)
    ranking = placement.ranking(make_request())
    placement.caches.record_use(ranking[7], make_request().parts[:-1], MEMORY_TOKENS)
    assert start(placement, "w2", 1.0)[1].target.target_id == ranking[0]


@pytest.mark.parametrize("engine", [ENGINE, Engine(SLOTS, MEMORY_TOKENS)])
def test_choice_at_idle_engines_is_the_same_with_and_without_weighing(engine):
    """Guards against sessions that move because an update has changed the policy."""
    choices = []
    for weighs in (False, True):
        service = make_service(engine=engine)
        placement = make_placement(7, service=service, settings=FleetSettings(weighs_waits=weighs))
        for number in range(7):
            placement.rates.from_intervals.update("engines", f"e{number + 1}", 20_000.0 + 5_000 * number)
        chosen = []
        for number in range(40):
            _request, choice = start(placement, f"w{number}", float(number), session=f"s{number % 9}")
            placement.record_end(choice.target.target_id, choice.load, number + 0.2)
            chosen.append(choice.target.target_id)
        choices.append(chosen)
    assert choices[0] == choices[1]


def test_overdue_burst_is_expected_to_take_as_long_again():
    """Guards against waiting without end for an engine that is much slower than its rate."""
    placement = make_weighing_placement(1)
    send_prompt(placement, "e1", 9_000, 0.0)
    speed = placement.rates.speed("engines", "e1")
    placement.exclude_prefill("e1")
    waits = [placement.bursts.progress("e1", now, speed)[1] for now in (0.1, 0.3, 0.6, 0.9)]
    assert waits[0] > waits[1] > 0
    assert waits[3] > waits[2] > waits[1]


def test_time_of_the_next_weighing_is_bounded():
    """Guards against weighing a request in every run, and against weighing it only after its latest start."""
    request = make_request()
    request.latest_start_at = 0.3
    assert next_weighing(request, 0.0, 0.1) == 0.1 + WEIGHING_INTERVAL_SECONDS
    assert next_weighing(request, 5.0, 0.1) < 0.3
    assert next_weighing(request, 5.0, 0.4) == 0.4 + MIN_WEIGHING_INTERVAL_SECONDS


def test_restricted_request_gets_no_excluded_holder():
    """Guards against a repeat at the engine that has failed the request, because it holds the prefix."""
    placement = make_weighing_placement(9)
    ranking = placement.ranking(make_request())
    placement.caches.record_use(ranking[7], make_request().parts[:-1], MEMORY_TOKENS)
    for target_id in ranking[:5]:
        send_prompt(placement, target_id, 14_000, 1.0)
    placement.put_target(make_target(ranking[7], revision=2))
    _request, choice = start(placement, "w2", 1.1, excluded={ranking[7]})
    assert choice is None or choice.target.target_id != ranking[7]


def test_choice_tells_how_the_engine_gets_the_shared_parts():
    """Guards against logs that do not show why a request went to its engine."""
    placement = make_weighing_placement()
    request, choice = start(placement, "w1")
    assert (choice.basis, choice.saved_tokens, choice.session_rank) == (EngineBasis.PREFILLED, 0, 1)
    placement.record_end(choice.target.target_id, choice.load, 0.0)
    choice = start(placement, "w2", 1.0)[1]
    assert (choice.basis, choice.saved_tokens, choice.session_rank) == (EngineBasis.CACHED, 6_300, 1)
    send_prompt(placement, choice.target.target_id, 12_000, 1.0)
    choice = start(placement, "w3", 1.0)[1]
    assert choice.basis is EngineBasis.TRANSFERRED
    assert choice.session_rank > 1
    assert placement.ranking(request)[choice.session_rank - 1] == choice.target.target_id


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("avoidable_token_cost", -1.0),
        ("avoidable_token_cost", float("nan")),
        ("max_further_candidates", 17),
        ("max_engine_demand_fraction", 0.0),
        ("demand_seconds", 0.0),
        ("max_overtaken_goal_fraction", 1.1),
    ],
)
def test_settings_out_of_range_are_refused_with_their_name_and_range(field, value):
    """Guards against a division by zero or endless waits because of a wrong setting."""
    with pytest.raises(ConfigurationError, match=f"{field} is .*must be between"):
        FleetSettings(**{field: value})
