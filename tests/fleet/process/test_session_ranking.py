"""Tests of the ranking of engines for sessions."""

import random
from collections import Counter

import pytest

from builders_fleet import ENGINES, make_placement, make_request
from limpetusher.errors import InvalidInputError
from limpetusher.fleet.process.prefill_intervals import PrefillInterval
from limpetusher.fleet.process.session_ranking import RateSteps, arrival_time, rank
from limpetusher.fleet.process.uneven_engine_settings import UnevenEngineSettings
from limpetusher.fleet.version.routing import HASH_BYTES, stable_hash

TARGET_IDS = [f"e{number}" for number in range(15)]
SESSIONS = [f"s{number}" for number in range(3_000)]
SPEEDS = (0.6, 1.0, 1.6)
RATE = 91_800.0
SPELL_SECONDS = 0.6


def uneven_rates() -> dict[str, float]:
    return {target_id: RATE * SPEEDS[index % 3] for index, target_id in enumerate(TARGET_IDS)}


def settle(steps: RateSteps, rates: dict[str, float], begin: float, seconds: float) -> list:
    """Update the steps twice a second for some time; return the changes."""
    for tick in range(int(seconds / 0.5) + 1):
        steps.update(ENGINES, rates, begin + 0.5 * tick, engines=len(rates))
    return steps.take_changes()


@pytest.mark.parametrize("weights", [{}, dict.fromkeys(TARGET_IDS, 1.5625)])
def test_engines_of_equal_rate_keep_the_order_of_their_hashes(weights):
    """Guards against moving the sessions of deployments with even engines."""
    for session in SESSIONS[:300]:
        expected = sorted(TARGET_IDS, key=lambda target_id: stable_hash(session, target_id))
        assert rank(session, TARGET_IDS, weights) == expected


def test_sessions_are_spread_by_rate():
    """Guards against queues at the slow engines of a pool with speeds 0.6, 1.0 and 1.6 in rotation."""
    steps = RateSteps(UnevenEngineSettings())
    settle(steps, uneven_rates(), 0.0, 3.0)
    counts = Counter(rank(session, TARGET_IDS, steps.weights)[0] for session in SESSIONS)
    total_speed = 5 * sum(SPEEDS)
    for index, speed in enumerate(SPEEDS):
        share = sum(counts[target_id] for target_id in TARGET_IDS[index::3]) / len(SESSIONS)
        assert share == pytest.approx(5 * speed / total_speed, rel=0.12)


def test_change_of_one_weight_moves_sessions_of_that_engine_only():
    """Guards against prefilling the prompts of all sessions again when one engine becomes slower."""
    weights = {"e0": 1.5625, "e1": 0.8}
    before = {session: rank(session, TARGET_IDS, weights) for session in SESSIONS}
    changed = {**weights, "e0": 1.0}
    for session, ranking in before.items():
        after = rank(session, TARGET_IDS, changed)
        assert [target_id for target_id in after if target_id != "e0"] == [
            target_id for target_id in ranking if target_id != "e0"
        ]
        assert after.index("e0") >= ranking.index("e0")


def test_measured_rates_that_vary_by_a_tenth_move_no_session():
    """Guards against sessions that move because measurements of even engines differ."""
    steps = RateSteps(UnevenEngineSettings())
    for second in range(60):
        rates = {
            target_id: RATE * (1.0 + 0.1 * ((index * 7 + second) % 5 - 2) / 2)
            for index, target_id in enumerate(TARGET_IDS)
        }
        steps.update(ENGINES, rates, float(second), engines=len(rates))
    assert steps.take_changes() == []
    assert steps.weights == {}


def test_rate_that_is_lower_during_a_slow_spell_moves_no_session():
    """Guards against sessions that move away and back within each slow spell of 0.6 s."""
    steps = RateSteps(UnevenEngineSettings())
    even = dict.fromkeys(TARGET_IDS, RATE)
    settle(steps, even, 0.0, 2.0)
    assert settle(steps, {**even, "e3": RATE / 2.5}, 2.5, SPELL_SECONDS) == []
    assert settle(steps, even, 3.5, 5.0) == []
    (change,) = settle(steps, {**even, "e3": RATE / 2.5}, 9.0, 5.0)
    assert (change.target_id, change.previous_weight) == ("e3", 1.0)
    assert change.weight == pytest.approx(1 / 2.5, rel=0.12)


def test_rate_at_the_boundary_of_two_steps_changes_its_step_at_most_once():
    """Guards against sessions that move back and forth between two engines."""
    settings = UnevenEngineSettings(step_hold_seconds=0.0)
    steps = RateSteps(settings)
    even = dict.fromkeys(TARGET_IDS, RATE)
    boundary = RATE * settings.rate_step**0.5
    for tick in range(100):
        rates = {**even, "e3": boundary * (1.03 if tick % 2 else 0.97)}
        steps.update(ENGINES, rates, 0.5 * tick, engines=len(rates))
    assert len(steps.take_changes()) <= 1


def test_sessions_are_spread_evenly_if_the_setting_says_so():
    """Guards against a setting without effect."""
    steps = RateSteps(UnevenEngineSettings(weighs_sessions=False))
    settle(steps, uneven_rates(), 0.0, 5.0)
    assert steps.weights == {}


def test_few_measured_engines_change_no_weight():
    """Guards against weights relative to the median of two engines that are both slower than the others."""
    steps = RateSteps(UnevenEngineSettings())
    for tick in range(20):
        steps.update(ENGINES, {"e0": RATE, "e3": 0.6 * RATE}, 0.5 * tick, engines=len(TARGET_IDS))
    assert steps.weights == {}


def test_measured_rates_of_even_engines_differ_little():
    """Guards against weights for even engines, as reports of first outputs are late by some milliseconds."""
    rng = random.Random(1)
    placement = make_placement(15)
    for _ in range(400):
        for target_id in placement.targets:
            interval = PrefillInterval(2_890, 2_890 / RATE + rng.uniform(0.0, 0.01) - rng.uniform(0.0, 0.01))
            placement.rates.add_interval("engines", target_id, interval)
        rates = [placement.rates.measured(target_id) for target_id in placement.targets]
        assert None in rates or max(rates) < 1.16 * sorted(rates)[7]


def test_greatest_hash_is_ranked_last():
    """Guards against the logarithm of 0 for a hash that is rounded up."""
    assert arrival_time(2 ** (8 * HASH_BYTES) - 1, 1.0) > arrival_time(2 ** (8 * HASH_BYTES - 1), 1.0)


def test_placement_ranks_by_measured_rates_once_there_are_enough_samples():
    """Guards against ranking by the first sample of an engine, and against rankings that are kept."""
    placement = make_placement(3)
    samples = placement.settings.uneven_engines.min_rate_samples

    def shares(now: float) -> Counter:
        for tick in range(7):
            placement.view(ENGINES, now + 0.5 * tick)
        return Counter(placement.ranking(make_request(session=session))[0] for session in SESSIONS)

    def add_samples(count: int) -> None:
        for target_id, speed in zip(("e1", "e2", "e3"), SPEEDS, strict=True):
            for _ in range(count):
                placement.rates.add_interval(
                    "engines", target_id, PrefillInterval(9_000, 9_000 / (RATE * speed))
                )

    even = shares(0.0)
    add_samples(samples - 1)
    assert shares(10.0) == even
    add_samples(1)
    uneven = shares(20.0)
    assert uneven["e3"] > 2.0 * uneven["e1"]
    placement.remove_target("e3")
    assert "e3" not in placement.rate_steps.weights


@pytest.mark.parametrize(("field", "value"), [("rate_step", 1.0), ("max_spell_seconds", float("nan"))])
def test_setting_out_of_range_is_refused_with_its_range(field, value):
    with pytest.raises(InvalidInputError, match=f"{field} is .* between"):
        UnevenEngineSettings(**{field: value})
