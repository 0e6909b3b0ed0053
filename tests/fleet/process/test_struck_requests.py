"""Tests of the quarantine of requests that come again and crash the targets that run them."""

import itertools

import pytest

from limpetusher.fleet.messages import BrokenAttempt
from limpetusher.fleet.process.prompt_quarantine import PromptQuarantine, part_keys
from limpetusher.fleet.process.strikes import BrokenConnection
from limpetusher.fleet.process.struck_requests import MAX_ANNOUNCED

DEADLY = "deadly"
NUMBERS = itertools.count()


def keys(digest: str, *part_ids: str) -> frozenset[tuple[str, str]]:
    return part_keys("engines", part_ids, digest)


def crash(
    quarantine: PromptQuarantine,
    at: float,
    *requests: frozenset[tuple[str, str]],
    target_id: str = "",
    output_seconds: float | None = None,
) -> None:
    """Let a target crash at which requests were open, each a new repeat."""
    target_id = target_id or f"e{next(NUMBERS)}"
    output_at = None if output_seconds is None else at - output_seconds
    for parts in requests:
        key = ("10.0.0.1", f"r{next(NUMBERS)}")
        quarantine.record_broken(
            target_id, key, parts, at, output_at=output_at, service="engines", customer="acme"
        )
    quarantine.confirm(at + 0.2, lambda _target_id, _at: True)


def answer(quarantine: PromptQuarantine, at: float, parts: frozenset[tuple[str, str]]) -> None:
    """Let a target answer a request completely and go on."""
    quarantine.record_answer("e", ("10.0.0.1", f"r{next(NUMBERS)}"), parts, at)
    quarantine.confirm(at + 0.5, lambda _target_id, _at: None)


def quarantined(quarantine: PromptQuarantine) -> set[frozenset[tuple[str, str]]]:
    return {entry.parts for entry in quarantine.quarantines}


def test_request_is_quarantined_in_its_third_crash():
    """Guards against a request that crashes more targets than it takes to blame it."""
    quarantine = PromptQuarantine()
    for number in range(1, 4):
        assert not quarantined(quarantine)
        crash(quarantine, 10.0 * number, keys(DEADLY))
    assert quarantined(quarantine) == {keys(DEADLY)}
    (entry,) = quarantine.quarantines
    assert (entry.service, entry.customer, entry.crashes) == ("engines", "acme", 3)
    assert quarantine.remaining_seconds(keys(DEADLY, "common"), 31.0) > 290.0
    assert quarantine.remaining_seconds(keys("other"), 31.0) == 0.0


def test_strikes_of_rare_repeats_add_up():
    """Guards against a request that crashes a target every two minutes and is forgotten in between."""
    quarantine = PromptQuarantine()
    for number in range(1, 4):
        crash(quarantine, 120.0 * number, keys(DEADLY))
        quarantine.confirm(120.0 * number + 100.0, lambda _target_id, _at: True)
    assert quarantined(quarantine) == {keys(DEADLY)}


def test_answer_clears_a_request():
    """Guards against refusing a sound request that was open at crashes of other causes."""
    quarantine = PromptQuarantine()
    for number in range(1, 8):
        crash(quarantine, 10.0 * number, keys("poll"))
        answer(quarantine, 10.0 * number + 1.0, keys("poll"))
    assert not quarantined(quarantine)
    assert quarantine.is_idle


def test_crashes_of_a_quarantined_request_do_not_speak_against_others():
    """Guards against refusing requests that were open at the targets which another one has crashed."""
    quarantine = PromptQuarantine()
    for number in range(1, 4):
        poll = [keys("poll", "common")] * 3
        crash(quarantine, 10.0 * number, keys(DEADLY, "common"), *poll, keys(f"sound {number}", "common"))
    assert quarantined(quarantine) == {keys(DEADLY)}
    assert not quarantine.requests.struck
    (struck,) = quarantine.struck.values()
    assert struck.count == 1
    crash(quarantine, 40.0, keys(DEADLY, "common"), keys("poll", "common"))
    assert not quarantine.requests.struck


def test_repeats_of_a_request_are_one_request_of_its_parts():
    """Guards against quarantined parts of a prompt that only one request makes look deadly."""
    quarantine = PromptQuarantine()
    for number in range(1, 3):
        crash(quarantine, 10.0 * number, keys(DEADLY, "session"))
    assert quarantine.struck["engines", "session"].count == 1
    assert quarantine.suspects(keys("other", "session")) == set()


def test_part_of_repeated_requests_is_quarantined_as_well():
    """Guards against a deadly part that stays unknown because callers repeat each of its requests."""
    quarantine = PromptQuarantine()
    numbers = itertools.count(1)
    for request in range(3):
        for _ in range(3):
            if quarantine.remaining_seconds(keys(f"r{request}", "part"), 200.0) == 0:
                crash(quarantine, 10.0 * next(numbers), keys(f"r{request}", "part"))
    assert frozenset({("engines", "part")}) in quarantined(quarantine)
    assert next(numbers) <= 9


def test_targets_that_crash_together_do_not_quarantine_a_request():
    """Guards against refusing a caller that asks the same again and again after a rack has failed."""
    quarantine = PromptQuarantine()
    for number in range(5):
        crash(quarantine, 10.0 + 0.04 * number, keys("poll"))
    assert not quarantined(quarantine)
    crash(quarantine, 12.0, keys("poll"))
    assert quarantined(quarantine)


def test_requests_with_lasting_output_take_one_more_crash():
    """Guards against refusing a long stream that was open at three crashes of other causes."""
    quarantine = PromptQuarantine()
    for number in range(1, 4):
        crash(quarantine, 10.0 * number, keys("stream"), output_seconds=2.0)
    assert not quarantined(quarantine)
    crash(quarantine, 40.0, keys("stream"), output_seconds=2.0)
    assert quarantined(quarantine)


def test_one_repeat_is_open_at_a_time_after_a_crash():
    """Guards against repeats that crash several targets while the first crash is counted."""
    quarantine = PromptQuarantine()
    crash(quarantine, 10.0, keys(DEADLY))
    first, second = ("10.0.0.1", "r1"), ("10.0.0.2", "r2")
    assert quarantine.may_start(first, keys(DEADLY))
    quarantine.record_start(first, keys(DEADLY))
    assert not quarantine.may_start(second, keys(DEADLY))
    quarantine.record_end(first, keys(DEADLY))
    assert quarantine.may_start(second, keys(DEADLY))


@pytest.mark.parametrize("is_confirmed", [False, True])
def test_request_is_sent_again_after_one_crash_only(is_confirmed):
    """Guards against resending a request after two crashes, and against not resending sound ones."""
    quarantine = PromptQuarantine()
    for number in range(2):
        at = 10.0 + 0.1 * number
        quarantine.record_broken(f"e{number}", ("10.0.0.1", "r1"), keys(DEADLY), at)
        if is_confirmed:
            quarantine.confirm(at + 0.2, lambda _target_id, _at: True)
        assert quarantine.may_repeat(keys(DEADLY)) == (number == 0)


def test_connections_that_a_target_breaks_at_one_time_are_one_crash():
    """Guards against not resending requests that are alike and were open at one target."""
    quarantine = PromptQuarantine()
    for number in range(4):
        quarantine.record_broken("e1", ("10.0.0.1", f"r{number}"), keys("poll"), 10.0 + 0.001 * number)
    assert quarantine.may_repeat(keys("poll"))


def test_request_starts_once_after_its_quarantine():
    """Guards against a request that stays refused for good, and against one that crashes targets again."""
    quarantine = PromptQuarantine()
    for number in range(1, 4):
        crash(quarantine, 10.0 * number, keys(DEADLY))
    (entry,) = quarantine.quarantines
    later = entry.until + 1.0
    assert quarantine.find(keys(DEADLY), later) is None
    quarantine.record_start(("10.0.0.1", "probe"), keys(DEADLY))
    assert not quarantine.may_start(("10.0.0.1", "other"), keys(DEADLY))
    crash(quarantine, later, keys(DEADLY))
    assert entry.until >= later + 600.0
    answer(quarantine, later + 700.0, keys(DEADLY))
    assert not quarantined(quarantine)
    assert quarantine.take_changes(later + 701.0).cleared == (("", DEADLY),)


def test_strikes_are_told_to_other_schedulers_unless_the_request_is_answered():
    """Guards against crashes that other pools do not know, and against reports of all sound requests."""
    quarantine, other = PromptQuarantine(), PromptQuarantine()
    crash(quarantine, 10.0, keys(DEADLY), keys("sound"), target_id="e1")
    answer(quarantine, 10.3, keys("sound"))
    assert not quarantine.take_strikes(10.4)
    (strike,) = quarantine.take_strikes(11.0)
    assert strike.digest == DEADLY
    assert strike.customer == "acme"
    assert not quarantine.take_strikes(12.0)
    other.record_earlier_break(as_connection(strike, 11.0))
    other.record_earlier_break(as_connection(strike, 11.05))
    assert other.requests.crash_count(("", DEADLY)) == 1
    assert not other.take_strikes(20.0)


def test_few_strikes_are_told_after_a_crash_with_many_requests():
    """Guards against a burst of messages after a crash, and against leaving out the deadly request."""
    quarantine = PromptQuarantine()
    crash(quarantine, 10.0, keys(DEADLY))
    crash(quarantine, 20.0, *(keys(f"sound {number}") for number in range(200)), keys(DEADLY))
    crash(quarantine, 20.1, *(keys(f"stream {number}") for number in range(9)), output_seconds=1.0)
    strikes = quarantine.take_strikes(21.0)
    assert len(strikes) == MAX_ANNOUNCED
    assert strikes[0].digest == DEADLY
    assert not any(strike.digest.startswith("stream") for strike in strikes)


def as_connection(message: BrokenAttempt, now: float) -> BrokenConnection:
    broken_at = now - message.age_seconds
    return BrokenConnection(
        message.target_id, ("10.0.0.2", message.request_id), keys(message.digest), broken_at
    )


def test_quarantined_requests_are_known_to_other_routers():
    """Guards against routers that send a request which the scheduler has found to crash targets."""
    quarantine, other = PromptQuarantine(), PromptQuarantine()
    for number in range(1, 4):
        crash(quarantine, 10.0 * number, keys(DEADLY, "common"))
    other.apply(quarantine.take_changes(30.2), 30.2)
    assert quarantined(other) == {keys(DEADLY)}
    assert other.take_changes(31.0).is_empty
    late = PromptQuarantine()
    late.apply(other.update(other.quarantines, 40.0), 40.0)
    assert late.find(keys(DEADLY), 100.0).is_request
