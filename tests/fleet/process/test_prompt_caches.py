"""Tests of the estimated prompt caches."""

from builders_fleet import make_request
from limpetusher.fleet.model import PromptPart
from limpetusher.fleet.process.prompt_caches import PromptCaches

CACHE_TOKENS = 11_000.0
"""Capacity in tokens for the common part and two sessions."""


def test_least_recently_used_parts_are_evicted():
    """Guards against relying on parts that the engine has evicted."""
    caches = PromptCaches()
    first, second, third = (make_request(session=f"s{number}") for number in range(3))
    caches.record_use("e1", first.parts[:-1], CACHE_TOKENS)
    caches.record_use("e1", second.parts[:-1], CACHE_TOKENS)
    caches.record_use("e1", third.parts[:-1], CACHE_TOKENS)
    assert caches.prefill_tokens("e1", third.parts, third.prompt_tokens) == 3_000
    assert caches.prefill_tokens("e1", second.parts, second.prompt_tokens) == 3_000
    assert caches.prefill_tokens("e1", first.parts, first.prompt_tokens) == 3_800 + 3_000


def test_part_counts_only_with_all_before_it():
    """Guards against counting a part as cached when the part before it was evicted."""
    caches = PromptCaches()
    parts = (PromptPart("a", 100), PromptPart("b", 200), PromptPart("own", 50))
    caches.record_use("e1", parts[1:2], CACHE_TOKENS)
    assert caches.prefill_tokens("e1", parts, 350) == 350
    caches.record_use("e1", parts[:1], CACHE_TOKENS)
    assert caches.prefill_tokens("e1", parts, 350) == 50


def test_restarted_engine_has_an_empty_cache():
    caches = PromptCaches()
    request = make_request()
    caches.record_use("e1", request.parts[:-1], CACHE_TOKENS)
    caches.forget("e1")
    assert caches.prefill_tokens("e1", request.parts, request.prompt_tokens) == request.prompt_tokens


def test_holders_of_a_prompt():
    """Guards against a transfer from an engine that has evicted the part or has restarted."""
    caches = PromptCaches()
    first, second, third = (make_request(session=f"s{number}") for number in range(3))
    caches.record_use("e1", first.parts[:-1], CACHE_TOKENS)
    caches.record_use("e2", second.parts[:-1], CACHE_TOKENS)
    assert caches.longest_holders(first.parts) == {"e1"}
    assert caches.longest_holders(third.parts) == {"e1", "e2"}
    caches.record_use("e1", second.parts[:-1], CACHE_TOKENS)
    caches.record_use("e1", third.parts[:-1], CACHE_TOKENS)
    assert caches.longest_holders(first.parts) == {"e1", "e2"}
    caches.forget("e1")
    assert caches.longest_holders(third.parts) == {"e2"}
    caches.forget("e2")
    assert caches.holders == {}
