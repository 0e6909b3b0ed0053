"""Waiting requests: order, deadlines and estimates of the waiting time."""

import pytest

from builders_decision import MODEL, make_request, make_settings
from limpetusher.core.request.queue import HEAP_SLACK_ENTRIES, RequestQueue
from limpetusher.core.request.record import Bucket, RequestRecord

BUCKET = Bucket("alpha", MODEL)


def make_record(request_id, *, arrived_at=0.0, deadline=100.0, preferred=(), **changes):
    record = RequestRecord(make_request(request_id, **changes), arrived_at, deadline)
    record.preferred = preferred
    return record


def make_queue(*records, now=0.0):
    queue = RequestQueue(make_settings())
    for record in records:
        queue.add(record, now)
    return queue


def test_request_that_prefers_the_target_comes_before_the_oldest():
    """Guards against recomputing a prompt although a target has its prefix in its cache."""
    queue = make_queue(make_record("old"), make_record("cached", preferred=("e1",)))
    assert queue.next_for(BUCKET, "e1").request_id == "cached"
    assert queue.next_for(BUCKET, "e2").request_id == "old"
    queue.remove("cached")
    assert queue.next_for(BUCKET, "e1").request_id == "old"


def test_request_that_waits_again_keeps_its_place():
    """Guards against a retried request that is queued behind all others."""
    queue = make_queue(make_record("r1"), make_record("r2"))
    record = queue.remove("r1")
    queue.add(record, 1.0, at_front=True)
    assert queue.next_for(BUCKET, "e1").request_id == "r1"


def test_expiry_ignores_requests_that_have_left():
    """Guards against a second answer to a request that was granted before its deadline."""
    queue = make_queue(make_record("r1", deadline=5.0), make_record("r2", deadline=6.0))
    queue.take_granted("r1", 1.0)
    assert queue.next_deadline() == 6.0
    assert queue.remove_expired(5.9) == []
    assert [record.request_id for record in queue.remove_expired(6.0)] == ["r2"]
    assert queue.next_deadline() == float("inf")


def test_deadlines_of_granted_requests_are_dropped():
    """Guards against memory that grows with the requests of patient callers that were served long ago."""
    queue = make_queue()
    for number in range(10_000):
        queue.add(make_record(f"r{number}", deadline=1e6), 0.0)
        queue.take_granted(f"r{number}", 0.0)
    assert len(queue.deadlines) <= HEAP_SLACK_ENTRIES
    assert (queue.buckets, queue.by_service, queue.customer_counts) == ({}, {}, {})


def test_wait_is_estimated_from_the_present_backlog_only():
    """Guards against refusals because of rates that were measured while nothing waited."""
    queue = make_queue()
    for number in range(20):
        queue.add(make_record(f"idle{number}"), number * 10.0)
        queue.take_granted(f"idle{number}", number * 10.0)
    for number in range(20):
        queue.add(make_record(f"r{number}"), 200.0)
    assert queue.estimated_wait(BUCKET, 200.0) is None
    for number in range(10):
        queue.take_granted(f"r{number}", 200.5 + number * 0.5)
    assert queue.estimated_wait(BUCKET, 205.0) == pytest.approx(10 * 0.5)
    assert queue.retry_after(BUCKET, 205.0) == pytest.approx(5.0)
