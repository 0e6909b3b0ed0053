"""Tests of batching, cold start and prefix cache of the engine."""

import pytest

from builders_standins import chat, engine_settings
from limpetusher_standins.engine_batch import Batch, EngineOverloadedError, StreamState


def submit(batch: Batch, count: int, now: float, **changes: object):
    return [batch.submit(f"request-{number}", "", chat(**changes), now) for number in range(count)]


def test_slots_limit_running_requests():
    """Guards against an engine that runs more requests at once than it has slots."""
    batch = Batch(engine_settings(slots=2), 0.0)
    streams = submit(batch, 3, 0.0)
    assert streams[:2] == batch.running
    batch.advance(10.0)
    assert [stream.state for stream in streams] == [StreamState.COMPLETE] * 3
    assert streams[2].admitted_at >= streams[0].ended_at


def test_larger_batch_slows_each_stream():
    """Guards against an engine whose capacity grows without limit with the number of requests."""
    seconds = []
    for count in (1, 8):
        batch = Batch(engine_settings(slots=8, batch_slowdown=0.1), 0.0)
        streams = submit(batch, count, 0.0)
        batch.advance(10.0)
        seconds.append(streams[0].ended_at)
    assert seconds[1] == pytest.approx(seconds[0] * 1.7, rel=0.2)


def test_overload_in_cold_start_cuts_all_work_and_changes_boot_id():
    """Guards against an engine that hides an overload in cold start from the tests."""
    batch = Batch(engine_settings(cold_seconds=3.0, cold_slots=2), 0.0)
    streams, boot_id = submit(batch, 2, 0.0), batch.boot_id
    with pytest.raises(EngineOverloadedError):
        batch.submit("one too many", "", chat(), 0.1)
    assert [stream.state for stream in streams] == [StreamState.CUT] * 2
    assert batch.boot_id != boot_id
    assert batch.overloads == [{"running": 3, "cold_slots": 2}]
    assert not batch.is_warm(3.0)
    assert batch.is_warm(3.2)


def test_cached_prefix_shortens_the_prompt():
    """Guards against a prefix cache without effect, or one that grows beyond its limit."""
    batch = Batch(engine_settings(cache_blocks=20, prompt_tokens_per_second=100), 0.0)
    first, second = submit(batch, 2, 0.0, content="word " * 200)
    assert (first.cached_tokens, second.cached_tokens) == (0, 15 * 16)
    assert second.prompt_done_at < first.prompt_done_at
    submit(batch, 1, 0.0, content="other " * 300)
    assert len(batch.cache.blocks) == 20


def test_cache_events_come_late_and_with_gaps():
    """Guards against cache events that are earlier or more complete than those of real engines."""
    batch = Batch(engine_settings(cache_event_lag_seconds=1.0, cache_event_loss=0.3), 0.0)
    submit(batch, 1, 0.0, content="word " * 1000)
    assert batch.cache.events_after(0, 0.9) == []
    events = batch.cache.events_after(0, 1.0)
    assert 0 < len(events) < batch.cache.sequence
