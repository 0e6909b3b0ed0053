"""Tests of real router processes that lose the router that schedules their requests, and its successors."""

import contextlib
import signal
import time

import pytest

from builders_versions_of_targets import StreamCaller, VersionedFleet
from limpetusher.events import Event

pytestmark = pytest.mark.integration

STREAM_COUNT = 8
REPLICATION_SECONDS = 0.5
"""Time after which all routers that may become the scheduler know the versions of the streams."""
SUCCESSOR_SPEEDS = (1.8, 1.6, 1.0)
"""Speeds that make the routers succeed each other in their order."""
WAIT_SECONDS = 0.6
"""Time within which a request gets its target: that in which two schedulers in turn count as unreachable."""
LOSSES = {"killed": signal.SIGKILL, "paused": signal.SIGSTOP}


@pytest.fixture
def fleet(tmp_path):
    """Return a fleet of four routers, of which the last one schedules a pool once the others are lost."""
    with contextlib.closing(VersionedFleet(tmp_path, ["desk"], speeds=SUCCESSOR_SPEEDS)) as fleet:
        yield fleet


def seconds_to_target(fleet: VersionedFleet, streams: list[StreamCaller]) -> dict[str, float]:
    """Return how long the last router waited for the first target of each stream."""
    sent = fleet.log_entries(fleet.routers[-1], Event.REQUEST_SENT)
    waited = {entry["request"]: entry["waited"] for entry in sent if entry["attempt"] == 1}
    return {stream.request_id: waited[stream.request_id] for stream in streams}


@pytest.mark.parametrize("lost_count", [1, 2, 3])
@pytest.mark.parametrize("loss", LOSSES)
def test_request_does_not_wait_for_one_silent_scheduler_after_another(fleet, loss, lost_count):
    """Guards against requests whose wait grows with the number of routers that are silent at once."""
    last = fleet.routers[-1]
    streams = fleet.begin_held("desk", STREAM_COUNT, router=last)
    for stream in streams:
        stream.close()
    time.sleep(REPLICATION_SECONDS)
    for router in fleet.routers[:lost_count]:
        router.process.send_signal(LOSSES[loss])
    taken_up = [fleet.take_up(stream, router=last) for stream in streams]
    begun = [fleet.begin("desk", router=last) for _ in range(STREAM_COUNT)]
    answered = [stream.wait() for stream in (*taken_up, *begun)]
    assert all(stream.has_gone_on for stream in answered), [stream.describe() for stream in answered]
    waits = seconds_to_target(fleet, answered)
    assert max(waits.values()) < WAIT_SECONDS, waits
