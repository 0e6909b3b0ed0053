"""Tests of the detection of slow spells, against engines that prefill one prompt after the other."""

import random
from collections.abc import Callable

import pytest

from builders_fleet import ENGINES, make_placement, make_request, make_target
from limpetusher.fleet.process.placement import Placement
from limpetusher.fleet.process.target_loads import TargetLoad
from limpetusher.fleet.process.uneven_engine_settings import UnevenEngineSettings
from limpetusher.fleet.settings import FleetSettings

RATE = 91_800.0
LATENCY_SECONDS = 0.03
JITTER_SECONDS = 0.004
SLOWDOWN = 2.5
PROMPT_TOKENS = 3_000
BURST_PROMPTS = 4
BURST_INTERVAL_SECONDS = 0.2
AVOIDING = FleetSettings(uneven_engines=UnevenEngineSettings(avoids_spells=True))
TARGET_IDS = ("e1", "e2", "e3", "e4")


class EngineModel:
    """Engines that prefill in order, with the rate `rate(now)`, and outputs that arrive with some jitter."""

    def __init__(self, placement: Placement, rates: dict[str, Callable[[float], float]]):
        self.placement = placement
        self.rates = rates
        self.free_at = dict.fromkeys(rates, 0.0)
        self.outputs: list[tuple[float, str, int]] = []
        self.rng = random.Random(1)
        self.sends_to = set(rates)

    def send(self, target_id: str, tokens: int, now: float) -> None:
        """Send a prompt; its prefill advances in steps of a millisecond."""
        at, left = max(now, self.free_at[target_id]), float(tokens)
        while left > 0:
            left -= self.rates[target_id](at) * 0.001
            at += 0.001
        self.free_at[target_id] = at
        self.placement.add_load(target_id, TargetLoad(1, tokens, tokens), now)
        self.outputs.append((at + LATENCY_SECONDS + self.rng.uniform(0, JITTER_SECONDS), target_id, tokens))

    def run(self, begin: float, end: float, check: Callable[[float], None] = lambda now: None) -> None:
        """Send bursts to the engines until a time, and report the outputs that are due."""
        steps = round((end - begin) / 0.005)
        for step in range(steps):
            now = begin + 0.005 * step
            due = sorted(output for output in self.outputs if output[0] <= now)
            self.outputs = [output for output in self.outputs if output[0] > now]
            for at, target_id, tokens in due:
                self.placement.end_prefill(target_id, tokens, at)
                self.placement.record_end(target_id, TargetLoad(1, 0, tokens), at)
            if step % round(BURST_INTERVAL_SECONDS / 0.005) == 0:
                for target_id in sorted(self.sends_to):
                    for _ in range(BURST_PROMPTS):
                        self.send(target_id, PROMPT_TOKENS, now)
            check(now)


def make_model(spell: Callable[[float], bool], *, slowdown: float = SLOWDOWN) -> EngineModel:
    placement = make_placement(len(TARGET_IDS), settings=AVOIDING)
    rates = {target_id: lambda _now: RATE for target_id in TARGET_IDS}
    rates["e1"] = lambda now: RATE / slowdown if spell(now) else RATE
    model = EngineModel(placement, rates)
    model.run(0.0, 4.0)
    return model


def within(begin: float, end: float) -> Callable[[float], bool]:
    return lambda now: begin <= now < end


def test_steady_engines_are_in_no_spell():
    """Guards against requests that avoid engines because outputs vary by some milliseconds."""
    model = make_model(lambda now: False)
    model.run(4.0, 14.0, lambda now: [model.placement.spells.is_slow(engine, now) for engine in TARGET_IDS])
    assert model.placement.spells.begun == 0


def test_spell_is_found_while_it_lasts_and_ends_with_it():
    """Guards against prompts for an engine that is slower by a factor of 2.5 for 0.6 s."""
    model = make_model(within(5.0, 5.6))
    spells = model.placement.spells
    slow_at = []

    def check(now: float) -> None:
        if spells.expected_delay("e1", now) > 0:
            slow_at.append(now)
        assert not any(spells.is_slow(target_id, now) for target_id in TARGET_IDS[1:])

    model.run(4.0, 8.0, check)
    assert 5.0 < slow_at[0] < 5.25
    assert max(slow_at) < 6.3
    changes = spells.take_changes(8.0)
    assert [change.is_slow for change in changes] == [True, False]
    assert changes[0].slowdown == pytest.approx(SLOWDOWN, rel=0.5)


def test_spell_of_an_engine_without_idle_time_is_found(monkeypatch):
    """Guards against spells that are missed under overload, when prompts are sent before the last outputs."""
    monkeypatch.setitem(globals(), "PROMPT_TOKENS", 9_000)
    monkeypatch.setitem(globals(), "BURST_PROMPTS", 2)
    model = make_model(within(5.0, 5.6))
    model.run(4.0, 5.0)
    assert model.placement.spells.begun == 0
    model.run(5.0, 5.6)
    assert model.placement.spells.slow == {"e1"}


def test_engine_in_a_spell_that_gets_no_prompts_is_tried_again():
    """Guards against an engine that stays unused because no output can show that its spell has ended."""
    model = make_model(within(5.0, 5.6))
    spells = model.placement.spells

    def avoid(now: float) -> None:
        if spells.is_slow("e1", now):
            model.sends_to.discard("e1")

    model.run(4.0, 5.6, avoid)
    assert "e1" not in model.sends_to
    model.run(5.6, 6.6)
    assert spells.expected_delay("e1", 6.6) == 0.0
    assert spells.take_changes(6.6)[-1].reason == "no late output since"


def test_samples_of_a_spell_do_not_change_the_rate():
    """Guards against sessions and bursts that follow a rate measured in slow spells."""
    model = make_model(lambda now: now > 4.0 and now % 3.0 < 0.6)
    model.run(4.0, 20.0)
    assert model.placement.rates.rate("engines", "e1") == pytest.approx(RATE, rel=0.1)


def test_engine_that_stays_slower_gets_a_lower_rate():
    """Guards against an engine that is avoided for ever at its former rate, which is wrong for it now."""
    model = make_model(lambda now: now >= 5.0, slowdown=1.6)
    model.run(4.0, 20.0)
    assert model.placement.rates.rate("engines", "e1") == pytest.approx(RATE / 1.6, rel=0.1)
    assert not model.placement.spells.is_slow("e1", 20.0)


def test_outputs_late_at_most_engines_avoid_none():
    """Guards against a busy router that is taken for slow engines, as it reports all outputs late."""
    model = make_model(lambda now: False)
    for target_id in TARGET_IDS:
        model.rates[target_id] = lambda now: RATE / SLOWDOWN if now >= 5.0 else RATE
    spells = model.placement.spells
    model.run(4.0, 5.4)
    assert len(spells.slow) == len(TARGET_IDS)
    assert all(spells.expected_delay(target_id, 5.4) == 0.0 for target_id in TARGET_IDS)


def test_request_goes_to_another_engine_during_a_spell():
    """Guards against a session that waits for its engine while that is slow and another one is free."""
    model = make_model(within(5.0, 5.6))
    placement = model.placement
    session = next(
        session
        for session in map(str, range(100))
        if placement.ranking(make_request(session=session))[0] == "e1"
    )

    def costs(now: float) -> dict[str, float]:
        request = make_request(session=session, at=now)
        view = placement.view(ENGINES, now)
        scored = placement.score_engines(request, view, placement.session_engines(request, view))
        return {engine.state.target.target_id: cost for cost, _rank, engine in scored}

    model.run(4.0, 4.995)
    before = costs(4.995)
    assert before["e1"] == pytest.approx(min(before.values()))
    model.run(4.995, 5.1)
    model.sends_to.clear()
    model.run(5.1, 5.45)
    assert not any(placement.loads.total(target_id).prefill_tokens for target_id in TARGET_IDS)
    during = costs(5.45)
    assert during["e1"] > 0.1 + max(cost for target_id, cost in during.items() if target_id != "e1")


@pytest.mark.parametrize("how", ["restart", "removal"])
def test_engine_that_restarts_or_is_lost_has_no_spell(how):
    """Guards against avoiding a restarted engine for the spell of the process before it."""
    model = make_model(within(5.0, 5.6))
    placement = model.placement
    model.run(4.0, 5.3)
    assert placement.spells.is_slow("e1", 5.3)
    if how == "restart":
        placement.put_target(make_target("e1", started_at_milliseconds=5, revision=2))
    else:
        placement.remove_target("e1")
    assert placement.spells.expected_delay("e1", 5.3) == 0.0
    assert "e1" not in placement.spells.slow
    model.run(5.3, 7.0)


def test_output_that_arrives_after_its_prompt_was_cancelled_is_not_judged():
    """Guards against spells from late or repeated reports of prompts that are no longer counted."""
    model = make_model(lambda now: False)
    placement = model.placement
    model.sends_to.clear()
    model.run(4.0, 5.0)
    for _ in range(3):
        placement.add_load("e1", TargetLoad(1, PROMPT_TOKENS, PROMPT_TOKENS), 5.0)
    placement.record_end("e1", TargetLoad(1, PROMPT_TOKENS, PROMPT_TOKENS), 5.1)
    assert not placement.spells.is_slow("e1", 7.0)
    placement.end_prefill("e1", PROMPT_TOKENS, 7.0)
    placement.end_prefill("e1", PROMPT_TOKENS, 7.0)
    placement.end_prefill("e1", PROMPT_TOKENS, 7.0)
    assert placement.spells.begun == 0


def test_new_scheduler_starts_without_spells():
    """Guards against spells from the prompts that a scheduler takes over, whose times it does not know."""
    placement = make_placement(2, settings=AVOIDING)
    placement.take_over("e1", TargetLoad(1, 50_000, 50_000), 0.0)
    placement.end_prefill("e1", 50_000, 9.0)
    assert placement.spells.expected_delay("e1", 9.0) == 0.0
