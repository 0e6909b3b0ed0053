"""Tests of what engines have probably kept."""

from builders_fleet import make_work
from limpetusher.fleet.model import PromptPart
from limpetusher.fleet.process.caches import PromptCaches

ROOM = 11_000.0
"""Room for the common part and two sessions."""


def test_least_recently_used_parts_yield():
    """Guards against counting on parts that the engine has dropped for others."""
    caches = PromptCaches()
    first, second, third = (make_work(session=f"s{number}") for number in range(3))
    caches.use("e1", first.parts[:-1], ROOM)
    caches.use("e1", second.parts[:-1], ROOM)
    caches.use("e1", third.parts[:-1], ROOM)
    assert caches.unread_tokens("e1", third.parts, third.prompt_tokens) == 3_000
    assert caches.unread_tokens("e1", second.parts, second.prompt_tokens) == 3_000
    assert caches.unread_tokens("e1", first.parts, first.prompt_tokens) == 3_800 + 3_000


def test_part_counts_only_with_all_before_it():
    """Guards against counting a session's part as kept when the part before it has gone."""
    caches = PromptCaches()
    parts = (PromptPart("a", 100), PromptPart("b", 200), PromptPart("own", 50))
    caches.use("e1", parts[1:2], ROOM)
    assert caches.unread_tokens("e1", parts, 350) == 350
    caches.use("e1", parts[:1], ROOM)
    assert caches.unread_tokens("e1", parts, 350) == 50


def test_restarted_engine_keeps_nothing():
    caches = PromptCaches()
    work = make_work()
    caches.use("e1", work.parts[:-1], ROOM)
    caches.forget("e1")
    assert caches.unread_tokens("e1", work.parts, work.prompt_tokens) == work.prompt_tokens


def test_holders_of_a_prompt():
    """Guards against a transfer from an engine that has dropped the part or restarted."""
    caches = PromptCaches()
    first, second, third = (make_work(session=f"s{number}") for number in range(3))
    caches.use("e1", first.parts[:-1], ROOM)
    caches.use("e2", second.parts[:-1], ROOM)
    assert caches.longest_holders(first.parts) == {"e1"}
    assert caches.longest_holders(third.parts) == {"e1", "e2"}
    caches.use("e1", second.parts[:-1], ROOM)
    caches.use("e1", third.parts[:-1], ROOM)
    assert caches.longest_holders(first.parts) == {"e1", "e2"}
    caches.forget("e1")
    assert caches.longest_holders(third.parts) == {"e2"}
    caches.forget("e2")
    assert caches.holders == {}
