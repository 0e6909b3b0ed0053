"""Tests of a router whose list of targets stands still while targets of a new software version join."""

import contextlib
import signal
import time

import pytest

from builders_platform import FleetRouterProcess, wait_for
from builders_versions_of_targets import NEW, OLD, StreamCaller, VersionedFleet
from limpetusher.events import Event
from limpetusher.fleet.process.caller_waits import MIN_CALLERS

pytestmark = pytest.mark.integration

STREAM_COUNT = 8
TAKE_UP_ROUNDS = 4
"""Number of times that each stream is taken up, from the moment on at which the router is back in step."""
REFUSAL_SECONDS = 1.0
"""Time in which a stream is refused whose version can't be known."""


class RouterOutOfStep:
    """A router out of step, in a fleet with one software version.

    Parameters
    ----------
    fleet
        The fleet.
    trouble
        What puts the router out of step.
    """

    def __init__(self, fleet: VersionedFleet, trouble: str):
        self.fleet = fleet
        self.trouble = trouble
        is_alone = trouble in ("cut-off", "late-changes", "late-watch")
        self.router = fleet.start_lone_router() if is_alone else fleet.scheduler

    def begin(self) -> None:
        """Put the router out of step."""
        if self.trouble == "cut-off":
            self.fleet.gateway.is_cut = True
        elif self.trouble in ("late-changes", "late-watch"):
            self.fleet.gateway.withholds_changes = True
            self.fleet.gateway.refuses_reads = self.trouble == "late-changes"
        else:
            self.router.process.send_signal(signal.SIGSTOP)

    @property
    def others(self) -> list[FleetRouterProcess]:
        """Return the routers in step."""
        return [router for router in self.fleet.routers if router is not self.router]

    def end(self) -> None:
        """Let the router catch up."""
        if self.fleet.gateway is not None:
            self.fleet.gateway.is_cut = self.fleet.gateway.withholds_changes = False
            self.fleet.gateway.refuses_reads = False
        self.router.process.send_signal(signal.SIGCONT)

    @property
    def is_running(self) -> bool:
        """Return whether the router takes requests."""
        return self.trouble != "paused"


@pytest.fixture(params=["cut-off", "late-changes", "late-watch", "paused"])
def out_of_step(request, tmp_path):
    """Return a router that is to be put out of step, of a fleet with the old version."""
    with contextlib.closing(VersionedFleet(tmp_path, ["desk"], versions=(OLD, OLD))) as fleet:
        yield RouterOutOfStep(fleet, request.param)


def begin_at_new_version(out_of_step: RouterOutOfStep) -> list[StreamCaller]:
    """Let a new version join, and begin streams at it through routers in step, which break off."""
    fleet = out_of_step.fleet
    for _ in range(3):
        fleet.add_target("desk", NEW)
    # One of the routers in step schedules, and it need not be one through which the streams begin.
    for router in out_of_step.others:
        wait_for(lambda router=router: len(listed(fleet, router)) == 5, router.log)
    streams = fleet.begin_held("desk", STREAM_COUNT, router=fleet.routers[1])
    streams += fleet.begin_held("desk", STREAM_COUNT, router=fleet.routers[2])
    for stream in streams:
        stream.close()
    streams = [stream for stream in streams if stream.version == NEW]
    assert streams
    return streams


def listed(fleet: VersionedFleet, router: FleetRouterProcess) -> set[str]:
    """Return the targets that a router has listed."""
    return {entry["target"] for entry in fleet.log_entries(router, Event.TARGET_LISTED)}


def describe(streams: list[StreamCaller]) -> str:
    return "\n".join(stream.describe() for stream in streams)


@pytest.mark.parametrize("out_of_step", ["cut-off", "late-changes", "late-watch"], indirect=True)
def test_stream_that_began_at_an_unseen_version_is_refused_at_a_router_out_of_step(out_of_step):
    """Guards against a list of targets that stands still and is taken for complete.

    If only the watch is late, the router is in step after a moment, and refuses the streams for good.
    """
    fleet, router = out_of_step.fleet, out_of_step.router
    out_of_step.begin()
    time.sleep(1.0)
    taken_up = [fleet.take_up(stream, router=router) for stream in begin_at_new_version(out_of_step)]
    taken_up = [stream.wait() for stream in taken_up]
    assert not any(stream.is_joined for stream in taken_up), describe(taken_up)
    assert all(stream.status == 503 for stream in taken_up), describe(taken_up)
    assert max(stream.seconds for stream in taken_up) < REFUSAL_SECONDS, describe(taken_up)
    if out_of_step.trouble == "late-watch":
        assert all(stream.is_refused_unrun for stream in taken_up), describe(taken_up)
    else:
        assert all("\r\nretry-after:" in stream.head for stream in taken_up), describe(taken_up)


def test_stream_that_began_at_an_unseen_version_is_not_joined_at_a_router_that_is_back(out_of_step):
    """Guards against a router that takes itself for the only scheduler while it was cut off."""
    fleet, router = out_of_step.fleet, out_of_step.router
    out_of_step.begin()
    time.sleep(1.0)
    streams = begin_at_new_version(out_of_step)
    if out_of_step.is_running:
        # From its first request on, the router schedules by itself.
        fleet.begin_held("desk", 1, router=router)
    out_of_step.end()
    taken_up = []
    for _ in range(TAKE_UP_ROUNDS):
        taken_up += [fleet.take_up(stream, router=router) for stream in streams]
        time.sleep(0.1)
    taken_up = [stream.wait() for stream in taken_up]
    assert not any(stream.is_joined for stream in taken_up), describe(taken_up)
    assert all(stream.has_gone_on or stream.status == 503 for stream in taken_up), describe(taken_up)


def test_stream_that_began_at_a_router_out_of_step_goes_on_there(out_of_step):
    """Guards against refusals of streams whose version the router knows itself, although it is cut off."""
    fleet, router = out_of_step.fleet, out_of_step.router
    out_of_step.begin()
    time.sleep(2.0)
    if not out_of_step.is_running:
        out_of_step.end()
    streams = fleet.begin_held("desk", STREAM_COUNT, router=router)
    for stream in streams:
        stream.close()
    taken_up = [fleet.take_up(stream, router=router) for stream in streams]
    taken_up = [stream.wait() for stream in taken_up]
    assert all(stream.has_gone_on for stream in taken_up), describe(taken_up)


@pytest.mark.parametrize("resumes", ["", "unknown"])
def test_stream_of_the_only_version_goes_on_as_soon_as_the_store_confirms_the_list(out_of_step, resumes):
    """Guards against a router that is back in step and still refuses streams of the only version."""
    fleet, router = out_of_step.fleet, out_of_step.router
    streams = fleet.begin_held("desk", STREAM_COUNT, router=fleet.routers[1])
    for stream in streams:
        stream.close()
    out_of_step.begin()
    time.sleep(2.0)
    out_of_step.end()
    time.sleep(0.5)
    taken_up = [fleet.take_up(stream, router=router, resumes=resumes) for stream in streams]
    taken_up = [stream.wait() for stream in taken_up]
    assert all(stream.has_gone_on for stream in taken_up), describe(taken_up)


@pytest.mark.parametrize("callers", [0, MIN_CALLERS])
def test_stream_that_began_by_an_old_list_is_not_joined_at_routers_in_step(tmp_path, callers):
    """Guards against streams that a router out of step begins at targets which have left (review/9).

    Callers of new streams let the others know how old a stream can be, and so that none in step began it.
    """
    with contextlib.closing(
        VersionedFleet(tmp_path, ["desk"], versions=(OLD, OLD), route_seconds=2.0)
    ) as fleet:
        router = fleet.start_lone_router()
        fleet.gateway.is_cut = True
        for _ in range(2):
            fleet.add_target("desk", NEW)
        for target in fleet.old_targets("desk"):
            fleet.remove_target(target)
        time.sleep(3.0)
        for caller in [fleet.begin("desk", router=fleet.routers[1], seconds=2.0) for _ in range(callers)]:
            caller.wait()
        streams = fleet.begin_held("desk", STREAM_COUNT, router=router, seconds=2.0)
        for stream in streams:
            stream.close()
        taken_up = [fleet.take_up(stream, router=fleet.routers[1]) for stream in streams]
        taken_up = [stream.wait() for stream in taken_up]
        assert not any(stream.is_joined for stream in taken_up), describe(taken_up)


def test_stream_whose_caller_waited_for_a_paused_router_is_not_joined(tmp_path):
    """Guards against the age of a stream by a time that its caller has sent long before it is read."""
    with contextlib.closing(
        VersionedFleet(tmp_path, ["desk"], versions=(OLD, OLD), route_seconds=6.0)
    ) as fleet:
        # No router of the fleet has a record of the streams, as after the loss of those that had.
        streams = fleet.begin_held("desk", STREAM_COUNT, router=fleet.start_lone_router(), seconds=6.0)
        for stream in streams:
            stream.close()
        paused = fleet.routers[1]
        paused.process.send_signal(signal.SIGSTOP)
        taken_up = [fleet.take_up(stream, router=paused) for stream in streams]
        for _ in range(2):
            fleet.add_target("desk", NEW)
        for target in fleet.old_targets("desk"):
            fleet.remove_target(target)
        time.sleep(3.0)
        paused.process.send_signal(signal.SIGCONT)
        taken_up = [stream.wait() for stream in taken_up]
        assert not any(stream.is_joined for stream in taken_up), describe(taken_up)
        assert all(stream.status == 503 for stream in taken_up), describe(taken_up)


def test_stream_is_not_joined_at_a_target_that_has_restarted_with_another_version(tmp_path):
    """Guards against a list that names the version which a target had before it restarted."""
    with contextlib.closing(VersionedFleet(tmp_path, ["desk"], versions=(OLD, OLD))) as fleet:
        router = fleet.start_lone_router()
        streams = fleet.begin_held("desk", STREAM_COUNT, router=router)
        for stream in streams:
            stream.close()
        fleet.gateway.is_cut = True
        for target in fleet.old_targets("desk"):
            target.become(target.target_id, NEW)
            fleet.list_target(target)
        time.sleep(1.0)
        taken_up = [fleet.take_up(stream, router=router) for stream in streams]
        taken_up = [stream.wait() for stream in taken_up]
        assert not any(stream.is_joined for stream in taken_up), describe(taken_up)
