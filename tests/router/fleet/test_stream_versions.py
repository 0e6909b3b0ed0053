"""Tests of real router processes with streams of targets that have two software versions."""

import itertools
import math
import time

import pytest

from builders_versions_of_targets import (
    CHANGES,
    LAST_EVENT,
    NEW,
    OLD,
    ROUTE_SECONDS,
    StreamCaller,
    VersionedFleet,
    drain_old,
    is_unlisted,
    remove_old,
    restart_as_new,
    take_over_address,
)
from limpetusher.events import Event
from limpetusher.fleet.process.caller_waits import MIN_CALLERS
from limpetusher.fleet.process.version_binding import MAX_VIEW_LAG_SECONDS
from limpetusher_router.fleet.store_reader import WATCHER_COUNT

pytestmark = pytest.mark.integration

STREAM_COUNT = 8
"""Number of streams that are broken off in each case."""
REFUSAL_SECONDS = 0.3
"""Time in which a stream that can't go on is refused, or ended."""
REPLICATION_SECONDS = 0.5
"""Time after which the loss of a scheduler must not cost the versions of the streams that have begun."""
HISTORY_MARGIN_SECONDS = 0.5
"""How much older than the store's history the targets are when routers that start know what has changed."""
LONG_HISTORY_SECONDS = 12.0
"""History of the store where streams have to go on, longer than routers take to start beside much load."""
LONG_WAIT_SECONDS = 12.0
"""Time for which callers wait that wait for longer than the time-out of their route."""
LATE_SECONDS = 4.0
"""Time for which the watches of a store bring no changes. It discards them before the routers start anew."""
SLOW_READ_SECONDS = 0.2
"""Time in which a slow store reads a page, less than that after which a peer's copy is fetched."""
CHANGES_WITHOUT_OLD = ("old-drains", "old-has-left")
"""Changes after which no target of the old version is in service."""


class TakeUps:
    """Streams that broke off and were taken up again, by the change of the targets meanwhile."""

    def __init__(self, fleet: VersionedFleet, place: str):
        self.place = place
        if place == "after-restart-of-all":
            wait_until_old(fleet)
        scheduler, first, other, remote = fleet.routers
        streams = {change: fleet.begin_held(change, STREAM_COUNT, router=first) for change in CHANGES}
        self.begun_versions = {
            change: {stream.version for stream in begun} for change, begun in streams.items()
        }
        takes_up = {
            "same-router": first,
            "scheduler": scheduler,
            "other-router": other,
            "other-data-centre": remote,
            "after-kill-of-router": other,
            "after-kill-of-router-and-scheduler": other,
            "after-quick-kill-of-router-and-scheduler": other,
            "after-restart-of-all": other,
        }[place]
        if place != "after-quick-kill-of-router-and-scheduler":
            time.sleep(REPLICATION_SECONDS)
        if place == "after-kill-of-router":
            fleet.kill(first)
        elif place.endswith("kill-of-router-and-scheduler"):
            fleet.kill(first, scheduler)
        elif place == "after-restart-of-all":
            fleet.kill(*fleet.routers)
        for begun in streams.values():
            for stream in begun:
                stream.close()
        for change, apply in CHANGES.items():
            apply(fleet, change)
        if place == "after-restart-of-all":
            fleet.restart_routers()
            takes_up = fleet.routers[2]
        self.taken_up = {
            change: [fleet.take_up(stream, router=takes_up) for stream in by_version(begun)]
            for change, begun in streams.items()
        }
        for taken_up in self.taken_up.values():
            for stream in taken_up:
                stream.wait()


PLACES = [
    "same-router",
    "scheduler",
    "other-router",
    "other-data-centre",
    "after-kill-of-router",
    "after-kill-of-router-and-scheduler",
    "after-quick-kill-of-router-and-scheduler",
    "after-restart-of-all",
]


LOSES_STREAMS = ("after-quick-kill-of-router-and-scheduler", "after-restart-of-all")
"""Places where no router may know which version began a stream."""


@pytest.fixture(scope="module", params=PLACES)
def take_ups(request, tmp_path_factory):
    """Return streams that were taken up again at a certain router."""
    fleet = VersionedFleet(tmp_path_factory.mktemp(request.param), CHANGES)
    try:
        yield TakeUps(fleet, request.param)
    finally:
        fleet.close()


@pytest.fixture
def start_fleet(tmp_path):
    """Return a function that starts a fleet, which is closed at the end."""
    fleets = []

    def start(*services: str, **options: object) -> VersionedFleet:
        fleets.append(VersionedFleet(tmp_path, services or ("desk",), **options))
        return fleets[-1]

    yield start
    for fleet in fleets:
        fleet.close()


def by_version(streams: list[StreamCaller]) -> list[StreamCaller]:
    """Return streams in an order that no order of the targets fits by chance."""
    return sorted(streams, key=lambda stream: stream.version)


def describe(streams: list[StreamCaller]) -> str:
    return "\n".join(stream.describe() for stream in streams)


def assert_gone_on(streams: list[StreamCaller]) -> None:
    assert all(stream.has_gone_on for stream in streams), describe(streams)


def assert_refused(streams: list[StreamCaller]) -> None:
    assert all(stream.is_refused_unrun for stream in streams), describe(streams)


def assert_refused_at_once(streams: list[StreamCaller]) -> None:
    assert_refused(streams)
    assert all(stream.seconds < REFUSAL_SECONDS for stream in streams), describe(streams)


def assert_not_joined(streams: list[StreamCaller]) -> None:
    assert not [stream.describe() for stream in streams if stream.is_joined]


def assert_most_gone_on(streams: list[StreamCaller], begun: int) -> None:
    """Check that at least half as many streams go on as new ones begin, as the platform requires."""
    assert 2 * sum(stream.has_gone_on for stream in streams) >= begun, describe(streams)


@pytest.mark.parametrize("change", CHANGES)
def test_stream_that_is_taken_up_is_not_joined_from_two_versions(take_ups, change):
    """Guards against text of two versions in one stream over the tries of its caller."""
    assert_not_joined(take_ups.taken_up[change])


@pytest.mark.parametrize("change", CHANGES)
def test_stream_that_is_taken_up_goes_on_or_is_refused(take_ups, change):
    """Guards against a caller that waits for a version that has left, or gets no text though it serves."""
    streams = take_ups.taken_up[change]
    refusable = [stream for stream in streams if stream.version == OLD and change in CHANGES_WITHOUT_OLD]
    others = [stream for stream in streams if stream not in refusable]
    if take_ups.place in LOSES_STREAMS:
        assert_refused(refusable)
        assert_refused([stream for stream in others if not stream.has_gone_on])
    else:
        assert_gone_on(others)
        if take_ups.place.startswith("after-kill"):
            assert_refused(refusable)
        else:
            assert_refused_at_once(refusable)


@pytest.mark.parametrize("change", CHANGES)
def test_new_streams_begin_at_either_version(take_ups, change):
    """Guards against a version that gets no new streams while both are in service."""
    assert take_ups.begun_versions[change] == {OLD, NEW}


@pytest.mark.parametrize("change", CHANGES)
def test_stream_that_a_target_breaks_off_goes_on_at_its_version_only(start_fleet, change):
    """Guards against text of two versions in one answer, and against an end that looks complete."""
    fleet = start_fleet(change, routers=())
    streams = fleet.begin_held(change, 2 * STREAM_COUNT, router=fleet.scheduler)
    one_of_each_version = fleet.targets[change][:2]
    broken = {call.headers["x-request-id"] for target in one_of_each_version for call in target.calls}
    streams = [stream for stream in streams if stream.request_id in broken]
    assert {stream.version for stream in streams} == {OLD, NEW}
    CHANGES[change](fleet, change)
    cut_at = time.monotonic()
    for target in one_of_each_version:
        target.cut.set()
    for stream in streams:
        stream.wait()
    assert_not_joined(streams)
    ended = [stream for stream in streams if stream.version == OLD and change in CHANGES_WITHOUT_OLD]
    assert_gone_on([stream for stream in streams if stream not in ended])
    assert not [stream.describe() for stream in ended if stream.has_gone_on]
    assert all(stream.ended_at - cut_at < REFUSAL_SECONDS for stream in ended), describe(ended)


@pytest.mark.parametrize("is_left", [False, True])
def test_stream_that_is_taken_up_several_times_goes_on_at_its_version(start_fleet, is_left):
    """Guards against a router that binds a stream to the try before and not to the first one."""
    fleet = start_fleet(routers=("north", "south"))
    streams = [fleet.begin("desk", "1,2,3,4", router=fleet.routers[1]) for _ in range(STREAM_COUNT)]
    for number in range(1, 5):
        for stream in streams:
            wait_for_events(stream, number, fleet)
            stream.close()
        if number == 3 and is_left:
            remove_old(fleet, "desk")
            streams = [stream for stream in streams if stream.version == NEW]
        router = fleet.routers[number % 3]
        streams = [fleet.take_up(stream, router=router) for stream in by_version(streams)]
    for stream in streams:
        stream.wait()
    assert streams
    assert_gone_on(streams)


def wait_for_events(stream: StreamCaller, count: int, fleet: VersionedFleet) -> None:
    """Wait until a stream has brought events up to a number, or has ended."""
    deadline = time.monotonic() + 5.0
    while len(stream.events) < count and stream.ended_at is None:
        assert time.monotonic() < deadline, fleet.scheduler.log.read_text()[-3000:]
        time.sleep(0.01)


@pytest.mark.parametrize("broken_by", ["caller", "target", "kill-of-router"])
def test_stream_that_breaks_again_after_it_was_taken_up_goes_on_at_its_version(start_fleet, broken_by):
    """Guards against a version that is forgotten when a stream that was taken up breaks again."""
    fleet = start_fleet()
    first, second, third = fleet.routers[1:]
    begun = [fleet.begin("desk", "2,4", router=first) for _ in range(STREAM_COUNT)]
    for stream in begun:
        wait_for_events(stream, 2, fleet)
        stream.close()
    streams = [fleet.take_up(stream, router=second) for stream in by_version(begun)]
    for stream in streams:
        wait_for_events(stream, 4, fleet)
    if broken_by == "target":
        for target in fleet.targets["desk"]:
            target.cut.set()
    elif broken_by == "kill-of-router":
        fleet.kill(second)
    if broken_by != "target":
        for stream in streams:
            stream.close()
        streams = [fleet.take_up(stream, router=third) for stream in by_version(streams)]
    for stream in streams:
        stream.wait()
    assert_not_joined(streams)
    assert_gone_on(streams)


@pytest.mark.parametrize("resumes", ["", "unknown"])
@pytest.mark.parametrize("is_left", [False, True])
def test_stream_of_unknown_version_is_refused_at_once(start_fleet, is_left, resumes):
    """Guards against a guess of the version where the caller does not name what began the stream."""
    fleet = start_fleet(routers=("north",))
    streams = fleet.begin_held("desk", STREAM_COUNT, router=fleet.scheduler)
    for stream in streams:
        stream.close()
    if is_left:
        remove_old(fleet, "desk")
    taken_up = [
        fleet.take_up(stream, router=router, resumes=resumes)
        for stream, router in zip(by_version(streams), 4 * fleet.routers, strict=True)
    ]
    for stream in taken_up:
        stream.wait()
    assert_not_joined(taken_up)
    assert_refused_at_once(taken_up)


@pytest.mark.parametrize("seconds", [0.6, 1.9])
@pytest.mark.parametrize("resumes", ["", "unknown"])
def test_stream_goes_on_while_there_was_only_one_version(start_fleet, resumes, seconds):
    """Guards against refusals for want of the version where no other one has ever been in service."""
    fleet = start_fleet(versions=(OLD, OLD), route_seconds=2.0, routers=("north",))
    streams = fleet.begin_held("desk", 4, router=fleet.scheduler, seconds=2.0)
    for stream in streams:
        stream.close()
    time.sleep(1.0)
    taken_up = [
        fleet.take_up(stream, router=router, resumes=resumes, seconds=seconds)
        for stream, router in zip(streams, 2 * fleet.routers, strict=True)
    ]
    for stream in taken_up:
        stream.wait()
    assert_gone_on(taken_up)


@pytest.mark.parametrize(("router", "are_engines"), [(1, False), (2, False), (3, False), (2, True)])
def test_as_many_streams_go_on_as_new_ones_begin(start_fleet, router, are_engines):
    """Guards against take-ups that are refused while targets of their version serve new streams."""
    fleet = start_fleet(are_engines=are_engines)
    broken = fleet.begin_held("desk", 20, router=fleet.routers[1])
    for stream in broken:
        stream.close()
    new = [fleet.begin("desk", router=fleet.routers[router]) for _ in range(20)]
    taken_up = [fleet.take_up(stream, router=fleet.routers[router]) for stream in by_version(broken)]
    for stream in [*new, *taken_up]:
        stream.wait()
    assert {stream.version for stream in new} == {OLD, NEW}
    assert_gone_on(new)
    assert_gone_on(taken_up)


def test_streams_go_on_after_a_restart_of_all_routers(start_fleet):
    """Guards against losing the version of streams with the routers while both versions serve all along."""
    fleet = start_fleet(history_seconds=LONG_HISTORY_SECONDS)
    wait_until_old(fleet)
    streams = fleet.begin_held("desk", 20, router=fleet.routers[1])
    fleet.restart_routers()
    for stream in streams:
        stream.close()
    new = [fleet.begin("desk", router=fleet.routers[2]) for _ in range(20)]
    taken_up = [fleet.take_up(stream, router=fleet.routers[2]) for stream in by_version(streams)]
    for stream in [*new, *taken_up]:
        stream.wait()
    assert_not_joined(taken_up)
    assert_most_gone_on(taken_up, sum(stream.has_gone_on for stream in new))


@pytest.mark.parametrize("change", ["both-serve", "old-has-left"])
def test_streams_go_on_after_their_scheduler_has_returned(start_fleet, change):
    """Guards against a restarted scheduler that the others do not tell which versions began streams."""
    fleet = start_fleet()
    streams = fleet.begin_held("desk", 20, router=fleet.routers[1])
    time.sleep(REPLICATION_SECONDS)
    fleet.kill(fleet.scheduler)
    CHANGES[change](fleet, "desk")
    fleet.restart_scheduler()
    for stream in streams:
        stream.close()
    remaining = [stream for stream in streams if change == "both-serve" or stream.version == NEW]
    taken_up = [fleet.take_up(stream, router=fleet.routers[2]) for stream in by_version(remaining)]
    for stream in taken_up:
        stream.wait()
    assert_not_joined(taken_up)
    assert_most_gone_on(taken_up, len(remaining))


def test_streams_that_began_after_the_old_version_has_left_go_on_after_kills(start_fleet):
    """Guards against doubts about streams that only the version in service can have begun."""
    fleet = start_fleet(versions=(OLD, NEW, OLD, NEW, OLD, OLD))
    time.sleep(1.0)
    remove_old(fleet, "desk")
    time.sleep(1.0)
    streams = fleet.begin_held("desk", 20, router=fleet.routers[1], seconds=ROUTE_SECONDS / 2)
    time.sleep(REPLICATION_SECONDS)
    fleet.kill(fleet.scheduler, fleet.routers[1])
    for stream in streams:
        stream.close()
    taken_up = [fleet.take_up(stream, router=fleet.routers[2]) for stream in streams]
    for stream in taken_up:
        stream.wait()
    assert_most_gone_on(taken_up, len(streams))


def remove_old_and_list_new_again(fleet: VersionedFleet, service: str) -> None:
    """Let the old version leave, and the entries of the new one expire and come back."""
    remove_old(fleet, service)
    for target in fleet.targets[service]:
        if target.version == NEW:
            fleet.remove_target(target)
            fleet.list_target(target)


def remove_old_and_discard_history(fleet: VersionedFleet, service: str) -> None:
    """Let the old version leave, and let the store discard its history sooner than usual."""
    remove_old(fleet, service)
    fleet.add_target(service, NEW)
    fleet.store.compacted_revision = fleet.store.revision
    fleet.store.put("op/other", {})


@pytest.mark.parametrize(
    "change", [remove_old_and_list_new_again, remove_old_and_discard_history, restart_as_new]
)
def test_stream_is_not_joined_after_changes_that_no_router_has_seen(start_fleet, change):
    """Guards against a version named by what a restarted router knows of the targets' past by mistake."""
    fleet = start_fleet()
    wait_until_old(fleet)
    streams = fleet.begin_held("desk", 4 * STREAM_COUNT, router=fleet.routers[1])
    fleet.kill(*fleet.routers)
    change(fleet, "desk")
    assert_not_joined(take_up_after_restart(fleet, streams))


@pytest.mark.parametrize("lost", ["registration", "removal"])
def test_stream_is_not_joined_after_a_restore_of_the_store(start_fleet, lost):
    """Guards against taking the history of a restored store for whole, though it lacks changes."""
    fleet = start_fleet()
    wait_until_old(fleet)
    copy = fleet.store.copy()
    if lost == "registration":
        target = fleet.add_target("desk", NEW)
        fleet.wait_seen(lambda entries: target.target_id in entries)
    else:
        target = fleet.old_targets("desk")[0]
        fleet.remove_target(target)
        fleet.wait_seen(lambda entries: is_unlisted(entries, target.target_id))
    streams = fleet.begin_held("desk", 4 * STREAM_COUNT, router=fleet.routers[1])
    fleet.kill(*fleet.routers)
    fleet.store.restore(copy)
    taken_up = take_up_after_restart(fleet, streams, callers=MIN_CALLERS)
    if lost == "registration":
        fleet.list_target(target)
    else:
        fleet.remove_target(target)
    assert_not_joined(taken_up + take_up(fleet, streams))


def test_stream_whose_caller_waits_longer_than_its_route_is_not_joined_after_a_kill_of_all(start_fleet):
    """Guards against bounding the age of a stream by its route, which callers may exceed (review/6)."""
    fleet = start_fleet(versions=(OLD, OLD), route_seconds=4.0)
    wait_until_old(fleet)
    router = fleet.routers[1]
    streams = fleet.begin_held("desk", STREAM_COUNT, router=router, seconds=LONG_WAIT_SECONDS)
    for _ in range(2):
        fleet.add_target("desk", NEW)
    drain_old(fleet, "desk")
    assert_not_joined(take_up_after_restart(fleet, streams))


def test_stream_is_not_joined_after_its_route_has_moved_away_and_back(start_fleet):
    """Guards against a record whose version is replaced by events of another service (review/7)."""
    fleet = start_fleet("desk", "annex")
    streams = [fleet.begin("desk", "2,4", router=fleet.routers[1]) for _ in range(2 * STREAM_COUNT)]
    for service, count, router in (("annex", 4, fleet.routers[2]), ("desk", LAST_EVENT, fleet.routers[3])):
        for stream in streams:
            wait_for_events(stream, count - 2, fleet)
        fleet.reconfigure({"desk": service, "annex": "annex"})
        # From now on, the identifiers of some streams name another version than that which began them.
        added = [fleet.add_target("desk", NEW).target_id for _ in range(2)]
        fleet.wait_seen(lambda entries, added=added: entries.keys() >= set(added))
        for stream in streams:
            stream.close()
        streams = [fleet.take_up(stream, router=router) for stream in by_version(streams)]
    for stream in streams:
        stream.wait()
    at_desk = [(stream.events[:2] + stream.events[4:]) for stream in streams]
    assert not [events for events in at_desk if len({version for _number, version in events}) > 1]
    assert sum(stream.is_complete for stream in streams) >= STREAM_COUNT, describe(streams)


def test_stream_of_targets_that_drain_is_not_joined_after_an_early_loss_of_the_history(start_fleet):
    """Guards against a history of the store that was cut short and is taken for whole (review/8)."""
    fleet = start_fleet()
    wait_until_old(fleet)
    streams = fleet.begin_held("desk", 4 * STREAM_COUNT, router=fleet.routers[1])
    drain_old(fleet, "desk")
    fleet.store.compacted_revision = fleet.store.revision
    fleet.kill(*fleet.routers)
    assert_not_joined(take_up_after_restart(fleet, streams, callers=MIN_CALLERS))


def test_streams_go_on_after_a_restart_of_all_routers_long_after_a_restore_of_the_store(start_fleet):
    """Guards against routers that read no history of a store once it was restored (review/10)."""
    fleet = start_fleet(
        versions=(OLD, OLD), target_heartbeat_seconds=0.1, history_seconds=LONG_HISTORY_SECONDS
    )
    fleet.store.restore(fleet.store.copy())
    wait_until_old(fleet, restored_at=time.monotonic())
    streams = fleet.begin_held("desk", STREAM_COUNT, router=fleet.routers[1])
    taken_up = take_up_after_restart(fleet, streams, callers=MIN_CALLERS)
    assert_most_gone_on(taken_up[-STREAM_COUNT:], STREAM_COUNT)


def test_stream_that_begins_while_changes_of_the_store_are_late_is_not_joined(start_fleet):
    """Guards against streams that begin by a list of targets which lags by more than others assume."""
    fleet = start_fleet()
    fleet.store.withholds_changes = True
    changed_at = time.monotonic()
    for target in fleet.old_targets("desk"):
        fleet.remove_target(target)
    fleet.add_target("desk", NEW)
    streams = fleet.begin_held("desk", STREAM_COUNT, router=fleet.routers[1])
    for seconds in (MAX_VIEW_LAG_SECONDS, LATE_SECONDS):
        time.sleep(changed_at + seconds - time.monotonic())
        later = [fleet.begin_held("desk", STREAM_COUNT, router=router) for router in fleet.routers[1:]]
        streams += itertools.chain(*later)
        assert {stream.version for stream in itertools.chain(*later)} == {NEW}
    fleet.kill(*fleet.routers)
    fleet.store.withholds_changes = False
    fleet.store.compacted_revision = fleet.store.revision
    assert_not_joined(take_up_after_restart(fleet, streams, callers=MIN_CALLERS))


def test_quiet_fleet_asks_the_store_for_its_revision_at_most_four_times_a_second(start_fleet):
    """Guards against calls to the store, which are charged, of each router instead of one."""
    fleet = start_fleet()
    time.sleep(1.0)
    store = fleet.store
    before = (store.revision_calls, store.watch_calls, store.read_calls)
    time.sleep(3.0)
    calls = (store.revision_calls, store.watch_calls, store.read_calls)
    revisions, watches, reads = (after - earlier for earlier, after in zip(before, calls, strict=True))
    assert 6 <= revisions <= 13
    assert watches <= 4 * WATCHER_COUNT
    assert reads == 0


def test_stream_is_not_joined_by_a_router_that_hears_of_a_change_before_it_has_read_the_store(start_fleet):
    """Guards against a first read of the store that counts as a later one, so that its history is empty."""
    fleet = start_fleet()
    wait_until_old(fleet)
    streams = fleet.begin_held("desk", 4 * STREAM_COUNT, router=fleet.routers[1])
    fleet.kill(*fleet.routers)
    take_over_address(fleet, "desk")
    fleet.store.generation = 0
    others = [fleet.start_router(number) for number in range(1, len(fleet.routers))]
    for router in others:
        router.wait_ready()
    fleet.store.read_seconds = SLOW_READ_SECONDS
    fleet.routers = [fleet.start_router(0), *others]
    while not fleet.log_entries(fleet.scheduler, Event.STORE_READ, Event.STORE_COPY_TAKEN):
        fleet.store.put("op/other", {})
        time.sleep(0.02)
    fleet.store.read_seconds = 0.0
    fleet.wait_joined(fleet.scheduler)
    assert_not_joined(take_up(fleet, streams))


def wait_until_old(fleet: VersionedFleet, *, restored_at: float = -math.inf) -> None:
    """Wait until routers that start can know what has changed since a stream has begun."""
    since = max(fleet.started_at, restored_at)
    known_at = since + fleet.history_seconds + HISTORY_MARGIN_SECONDS
    time.sleep(max(0.0, known_at - time.monotonic()))


def take_up_after_restart(
    fleet: VersionedFleet, streams: list[StreamCaller], *, callers: int = 0
) -> list[StreamCaller]:
    """Start all routers anew and take streams up again, for some time, as callers do after a refusal.

    Before that, a number of callers begin new streams, by whose waits the others' age is bounded.
    """
    fleet.restart_routers()
    for caller in [fleet.begin("desk", router=fleet.routers[1]) for _ in range(callers)]:
        caller.wait()
    return take_up(fleet, streams)


def take_up(fleet: VersionedFleet, streams: list[StreamCaller]) -> list[StreamCaller]:
    """Take streams up again at all routers, for some time, as callers do after a refusal."""
    for stream in streams:
        stream.close()
    taken_up = []
    for _ in range(3):
        pairs = zip(by_version(streams), itertools.cycle(fleet.routers), strict=False)
        taken_up += [fleet.take_up(stream, router=router) for stream, router in pairs]
        time.sleep(0.3)
    return [stream.wait() for stream in taken_up]
