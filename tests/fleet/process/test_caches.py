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
    caches.sent("e1", first.parts, ROOM)
    caches.sent("e1", second.parts, ROOM)
    caches.sent("e1", third.parts, ROOM)
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


def test_sent_parts_are_reported_twice():
    """Guards against a lost datagram that leaves the peers without the news."""
    caches = PromptCaches()
    work = make_work()
    caches.sent("e1", work.parts, ROOM)
    news = ("e1", work.parts[:-1])
    assert caches.take_sent() == [news]
    caches.sent("e2", work.parts, ROOM)
    assert caches.take_sent() == [news, ("e2", work.parts[:-1])]
    assert caches.take_sent() == [("e2", work.parts[:-1])]
    assert caches.take_sent() == []


def test_restarted_engine_keeps_nothing():
    caches = PromptCaches()
    work = make_work()
    caches.sent("e1", work.parts, ROOM)
    caches.forget("e1")
    assert caches.unread_tokens("e1", work.parts, work.prompt_tokens) == work.prompt_tokens
