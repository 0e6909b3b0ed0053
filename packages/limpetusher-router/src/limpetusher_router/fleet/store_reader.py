"""Keeps this router's copy of the platform's store up to date.

A few routers, the watchers, watch the store and send updates with its changes to two relays in each data
centre, which forward the updates to the other routers there. So the number of calls to the store does not
grow with the fleet. A router that gets no updates watches the store itself.
"""

import enum
import math
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from circuits.core import BaseComponent, handler

from limpetusher.errors import CodecError
from limpetusher.events import Event
from limpetusher.fleet.messages import StoreUpdate
from limpetusher.fleet.version.copy_requests import CopyRequests
from limpetusher.fleet.version.mirror import (
    Change,
    StoredItem,
    StoreMirror,
    describe_revision,
    generation_of,
    number_of,
)
from limpetusher_router.connection.framing import AnswerHead
from limpetusher_router.events import (
    PEER_EXCHANGE,
    REQUESTS,
    STORE,
    TARGETS,
    Attempt,
    AttemptEnded,
    AttemptResult,
    CancelAttempt,
    DeadlineReached,
    SendStoreUpdate,
    StartAttempt,
    StoreChanged,
    StoreChangesMissed,
    StoreCopyConfirmed,
    StoreHistoryRead,
)
from limpetusher_router.fleet.recent_changes import RecentChanges
from limpetusher_router.fleet.store_copy import (
    ConfigurationInForce,
    StoreCopyEncoder,
    configuration_change,
    decode_copy,
)
from limpetusher_router.platform import store
from limpetusher_router.platform.settings_file import HostSettings
from limpetusher_router.process.deadlines import Deadlines
from limpetusher_router.process.logs import log_event

WATCH_WAIT_SECONDS = 1.0
"""How long the store may hold a watch call that finds no changes. It is short because a store that compacts
its history may withhold a change from a pending call."""
MINIMUM_WATCH_INTERVAL_SECONDS = 0.05
"""Minimum time between two watch calls: each ends with the first change, and the store counts each one."""
WATCHER_COUNT = 3
"""Number of routers that watch the store, in different data centres if there are enough."""
RELAYS_PER_DATA_CENTRE = 2
"""Number of routers of each data centre that relay updates to the others there; two, so that one may fail."""
UPDATE_INTERVAL_SECONDS = 0.25
"""Interval of the regular updates of a watcher. Each repeats recent changes, as datagrams may be lost."""
MINIMUM_UPDATE_INTERVAL_SECONDS = 0.1
"""Minimum time between two updates that a watcher sends or a relay passes on. Changes in quick succession, as
when many targets start, are sent together."""
RELAY_REPEAT_SECONDS = 0.2
"""Minimum time between two relayed updates without new changes, from whichever watcher they come."""
UPDATE_TIMEOUT_SECONDS = 0.8
"""Time without an update after which a router watches the store itself."""
UPDATE_TIMEOUT_SECONDS_PER_RANK = 0.05
MAXIMUM_TIMEOUT_RANKS = 10
"""Number of preceding routers of the data centre up to which each adds to the timeout, so that not all
routers start to watch at once."""
ANSWER_TIMEOUT_SECONDS = 1.0
"""Timeout of an answer of the store, added to the wait of a watch; it normally takes a few milliseconds."""
RETRY_DELAY_SECONDS = 0.15
MAXIMUM_RETRY_DELAY_SECONDS = 0.6
COPY_TIMEOUT_SECONDS = 0.8
REVISION_TIMEOUT_SECONDS = 0.4
"""Timeout of a call for the revision of the store, and time for which its revision is awaited in the copy."""
MINIMUM_REVISION_INTERVAL_SECONDS = 0.05
"""Minimum time between two calls for the revision, as many streams may be taken up at once."""
LATE_WATCH_SECONDS = 0.08
"""Time for which changes that the store's revision tells of are awaited from the pending watch, added to the
time that the store took to answer. The watch may have ended just before, and the next one then waits."""
MAXIMUM_CONFIRMATIONS = 16
"""Maximum number of revisions that the copy has not reached yet."""
MAXIMUM_LAG_SECONDS = 0.6
"""How long the own copy may lag behind that of a peer before the peer's copy is fetched; two regular updates
come in that time."""
MAXIMUM_UNREADY_SECONDS = 3.0
"""How long a router that starts waits for the newer configuration of a peer before it becomes ready."""
PAGE_TIMEOUT_SECONDS = 0.3
"""Time to wait for a page of the store before a peer's copy is fetched as well. Without this wait, a starting
fleet would fetch hundreds of copies from the first routers that have read the store."""
COPY_PATH = "/copy"
MAXIMUM_ANSWER_BYTES = 16 << 20
"""Maximum size of an answer. The largest copy has two configurations of 1 MB and some hundred targets; the
answer to a watch has all versions since the last one, encoded in base64."""
OK_STATUS = 200
REGULAR_UPDATE = "news"
"""Subject of the deadline of the next regular update."""
EARLY_UPDATE = "changed"
"""Subject of the deadline of an update with new changes, sent before the next regular one."""


MAXIMUM_HISTORY_CALLS = 24
"""Maximum number of calls by which the history of the store is read when a router starts, enough for a store
with 2 ** 23 changes. It takes as many as the revision has bits."""


UNSEEN_TARGET_SECONDS = 3.0
"""Time without changes of the store after which a target may have come and gone unseen. The entry of a target
that crashes lapses after three heartbeats of 1.2 s, and one that is stopped drains for longer."""


class StoreCall(enum.Enum):
    """Purpose of a call to the store or to a peer."""

    READ = "read"
    WATCH = "watch"
    COPY = "copy"
    HISTORY = "history"
    REVISION = "revision"


@dataclass(frozen=True, slots=True)
class Confirmation:
    """Revision that the store had when it was asked or later, by which the own copy is checked."""

    asked_at: float
    revision: int


@dataclass(frozen=True, slots=True)
class AwaitedChanges:
    """Changes up to a revision that the store has told, which the pending watch has not brought yet."""

    revision: int
    told_at: float
    seconds: float
    """Time for which a watch may take to bring them."""


@dataclass(slots=True)
class HistorySearch:
    """Search for the earliest revision of which the store still has all later changes, by bisection."""

    earliest: int
    """Earliest revision found of which it has all later changes, at first that of the own copy."""
    items: list[store.HistoryItem] = field(default_factory=list)
    """Those changes up to the own copy, which is kept up to date from there."""
    discarded: int = -1
    """Latest revision found of which the store has discarded a later change."""
    calls: int = 0

    @property
    def next_revision(self) -> int:
        """Return the revision after which the changes are requested next, at first after none."""
        return 0 if self.discarded < 0 else (self.discarded + self.earliest) // 2

    @property
    def is_whole(self) -> bool:
        """Return whether all changes that the store still has were found."""
        return self.earliest <= self.discarded + 1


class StoreReader(BaseComponent):
    """Reads and watches the platform's store, or takes its changes from the updates and copies of peers.

    Parameters
    ----------
    settings
        Settings of the host.
    mirror
        Copy of the store that is kept up to date.
    deadlines
        Heap of deadlines.
    watch_rank
        Returns how many responsive routers of the data centre precede this one in an order common to all.
    is_watcher
        Returns whether this router is one of a number of routers that watch the store for the fleet.
    configuration
        Returns the configuration in force, which a restored store may have lost.
    """

    channel = STORE

    def __init__(
        self,
        settings: HostSettings,
        *,
        mirror: StoreMirror,
        deadlines: Deadlines,
        watch_rank: Callable[[], int],
        is_watcher: Callable[[int], bool],
        configuration: Callable[[], ConfigurationInForce] = ConfigurationInForce,
    ):
        super().__init__()
        self.settings = settings
        self.mirror = mirror
        self.deadlines = deadlines
        self.watch_rank = watch_rank
        self.is_watcher = is_watcher
        self.page_items: list[StoredItem] = []
        """Items of the pages that were read so far."""
        self.first_page_revision: int | None = None
        """Revision of the first page of the current read."""
        self.partial_answers: dict[tuple[StoreCall, int], tuple[AnswerHead, bytearray]] = {}
        self.last_call_number = 0
        self.calls_in_progress: dict[StoreCall, int] = {}
        """Number of the call in progress for each purpose."""
        self.failures = 0
        self.is_connected = False
        self.last_failure_at = float("-inf")
        """When a call to the store last failed."""
        self.is_read_needed = True
        """Whether all items have to be read before the store can be watched."""
        self.is_watching = False
        """Whether this router watches the store; also true between two calls."""
        self.last_watch_at = float("-inf")
        """When the last watch call started."""
        self.page_requested_at = float("-inf")
        """When a page was last requested from the store."""
        self.configuration = configuration
        self.copy_requests = CopyRequests()
        self.copy_encoder = StoreCopyEncoder(mirror, configuration)
        self.behind_revision = 0
        """Revision of a peer by which the own copy was first found to lag; reached once it has caught up."""
        self.behind_since = 0.0
        """When that lag was found."""
        self.has_heard_peer = False
        """Whether any peer has told which configuration it has in force."""
        self.newer_configuration_version = 0
        """Version in force at a peer by which the own one was first found to be older."""
        self.newer_configuration_found_at = 0.0
        """When it was found."""
        self.current_at = float("-inf")
        """When the own copy was last known to have all changes of the store, as far as that tells them."""
        self.last_update_received_at = float("-inf")
        """When the last update of a watcher that reaches the store arrived."""
        self.history: HistorySearch | None = None
        self.confirmations: deque[Confirmation] = deque(maxlen=MAXIMUM_CONFIRMATIONS)
        """Revisions of the store that the own copy has not reached yet, the most recent ones."""
        self.revision_asked_at = float("-inf")
        self.next_revision_call_at = float("-inf")
        self.recent_changes = RecentChanges()
        self.last_update_sent_at = float("-inf")
        """When this router last sent an update."""
        self.is_update_scheduled = False
        self.relayed_revision = 0
        """Highest revision of a relayed update."""
        self.last_relayed_at = float("-inf")
        """When an update from another data centre was last relayed."""

    def failure_age(self) -> float:
        """Return how many seconds ago a call to the store last failed, 0 until the next one succeeds."""
        if not self.is_connected:
            return 0.0
        return self.deadlines.clock.monotonic() - self.last_failure_at

    def should_watch(self) -> bool:
        """Return whether this router has to watch the store, as a watcher or since it gets no updates."""
        if self.is_watcher(WATCHER_COUNT):
            return True
        silent_seconds = self.deadlines.clock.monotonic() - self.last_update_received_at
        ranks = min(self.watch_rank(), MAXIMUM_TIMEOUT_RANKS)
        return silent_seconds > UPDATE_TIMEOUT_SECONDS + UPDATE_TIMEOUT_SECONDS_PER_RANK * ranks

    @handler("DeadlineReached")
    def on_due(self, subject: object) -> None:
        """Send an update, or make the next call to the store."""
        if subject == REGULAR_UPDATE:
            self.deadlines.schedule_in(UPDATE_INTERVAL_SECONDS, DeadlineReached(REGULAR_UPDATE), STORE)
            self.send_update(is_regular=True)
            self.check_watch()
        elif isinstance(subject, AwaitedChanges):
            self.renew_late_watch(subject)
        elif subject == EARLY_UPDATE:
            self.is_update_scheduled = False
            self.send_update()
        elif self.is_read_needed:
            # A read resumes at the page that failed; the watch returns all changes since the first page.
            self.request_page(self.page_items[-1].key if self.page_items else None)
        else:
            self.start_watch()

    def start_call(self, call: StoreCall, address: str, request: bytes, seconds: float) -> None:
        """Start a call and cancel an earlier one of the same purpose."""
        self.cancel_call(call)
        self.last_call_number += 1
        self.calls_in_progress[call] = self.last_call_number
        attempt = Attempt(
            key=(call, self.last_call_number),
            channel=STORE,
            address=address,
            request=request,
            idle_timeout_seconds=seconds,
            is_control=True,
        )
        self.fire(StartAttempt(attempt), TARGETS)

    def cancel_call(self, call: StoreCall) -> None:
        """Cancel the call in progress for a purpose, if there is one."""
        number = self.calls_in_progress.pop(call, None)
        if number is not None:
            self.partial_answers.pop((call, number), None)
            self.fire(CancelAttempt((call, number), STORE), TARGETS)

    def request_page(self, after: str | None) -> None:
        """Request the page of items after a key, the first page for None."""
        if after is None:
            self.page_items, self.first_page_revision = [], None
        self.page_requested_at = self.deadlines.clock.monotonic()
        request = store.range_request(self.settings.store_address, after=after)
        self.start_call(StoreCall.READ, self.settings.store_address, request, ANSWER_TIMEOUT_SECONDS)

    def schedule_watch(self) -> None:
        """Start the next watch after the minimum interval, so that one call returns several changes."""
        waited_seconds = self.deadlines.clock.monotonic() - self.last_watch_at
        if waited_seconds >= MINIMUM_WATCH_INTERVAL_SECONDS:
            self.start_watch()
        else:
            self.deadlines.schedule_in(
                MINIMUM_WATCH_INTERVAL_SECONDS - waited_seconds, DeadlineReached(), STORE
            )

    def start_watch(self) -> None:
        """Start a watch call if this router has to watch the store, otherwise check again later."""
        self.is_watching = self.should_watch()
        if not self.is_watching:
            self.cancel_call(StoreCall.WATCH)
            self.deadlines.schedule_in(UPDATE_INTERVAL_SECONDS, DeadlineReached(), STORE)
            return
        self.last_watch_at = self.deadlines.clock.monotonic()
        request = store.watch_request(
            self.settings.store_address, after=self.mirror.revision, wait_seconds=WATCH_WAIT_SECONDS
        )
        self.start_call(
            StoreCall.WATCH, self.settings.store_address, request, WATCH_WAIT_SECONDS + ANSWER_TIMEOUT_SECONDS
        )

    def check_watch(self) -> None:
        """Ask the store for its revision, as its pending watch may withhold changes.

        Only the first of the watchers asks, so that the number of calls does not grow with the fleet.
        """
        if StoreCall.WATCH in self.calls_in_progress and self.is_watcher(1):
            self.on_confirm(-math.inf)

    def await_changes(self, awaited: AwaitedChanges) -> None:
        """Check after a moment whether the watch has brought some changes."""
        self.deadlines.schedule_in(awaited.seconds, DeadlineReached(awaited), STORE)

    def renew_late_watch(self, awaited: AwaitedChanges) -> None:
        """Replace a watch that withholds changes; read all entries if a later watch withholds them as well.

        That watch stays pending during the read, so that a store that is slow is not asked in vain.
        """
        is_pending = StoreCall.WATCH in self.calls_in_progress
        if awaited.revision <= self.mirror.revision or not is_pending:
            return
        if self.last_watch_at < awaited.told_at:
            self.start_watch()
            self.await_changes(awaited)
        elif StoreCall.READ not in self.calls_in_progress:
            self.request_page(None)

    @handler("AnswerHeadReceived")
    def on_answer_started(self, key: tuple[StoreCall, int], head: AnswerHead) -> None:
        """Record the head of an answer."""
        if self.calls_in_progress.get(key[0]) == key[1]:
            self.partial_answers[key] = (head, bytearray())

    @handler("AnswerPartReceived")
    def on_answer_part(self, key: tuple[StoreCall, int], data: bytes) -> None:
        """Add a part of an answer."""
        if key not in self.partial_answers:
            return
        body = self.partial_answers[key][1]
        body.extend(data)
        if len(body) > MAXIMUM_ANSWER_BYTES:
            self.fire(CancelAttempt(key, STORE), TARGETS)
            detail = f"the answer is longer than {MAXIMUM_ANSWER_BYTES} bytes"
            self.fire(AttemptEnded(key, AttemptResult.CUT, detail), STORE)

    @handler("AttemptEnded")
    def on_answer_ended(self, key: tuple[StoreCall, int], end: AttemptResult, detail: str = "") -> None:
        """Handle a complete answer, or the failure of its call."""
        call, number = key
        if self.calls_in_progress.get(call) != number:
            return
        del self.calls_in_progress[call]
        head, body = self.partial_answers.pop(key, (None, bytearray()))
        is_complete = head is not None and end in (AttemptResult.COMPLETE, AttemptResult.CLOSED)
        try:
            if not is_complete:
                raise CodecError(detail or end.value)
            self.handle_answer(call, head.status, bytes(body), store.decode_generation(head))
            if call is StoreCall.COPY:
                self.copy_requests.end(self.deadlines.clock.monotonic(), has_failed=False)
        except CodecError as error:
            if call in (StoreCall.READ, StoreCall.WATCH):
                self.handle_failure(call, error.reason)
            elif call is StoreCall.REVISION:
                self.next_revision_call_at = self.deadlines.clock.monotonic() + RETRY_DELAY_SECONDS
            elif call is StoreCall.COPY:
                log_event(Event.STORE_COPY_FAILED, peer=self.copy_requests.address, reason=error.reason)
                self.copy_requests.end(self.deadlines.clock.monotonic(), has_failed=True)

    def handle_answer(self, call: StoreCall, status: int, body: bytes, generation: int = 0) -> None:
        """Handle a complete answer of a generation of the store.

        Raises
        ------
        CodecError
            If the call was refused or its answer is malformed.
        """
        if call is StoreCall.HISTORY:
            # The history of a store that is restored meanwhile lacks changes that were in force.
            if generation == generation_of(self.mirror.revision):
                self.handle_history(status, body)
            return
        if call is StoreCall.WATCH and status == store.COMPACTED_STATUS:
            log_event(Event.STORE_HISTORY_LOST, revision=describe_revision(self.mirror.revision))
            self.restart_read()
            return
        if status != OK_STATUS:
            raise CodecError(f"status {status}")
        if call is StoreCall.COPY:
            self.handle_copy(body)
            return
        if generation < generation_of(self.mirror.revision):
            raise CodecError(f"generation {generation}, which is older than the own copy")
        if call is StoreCall.REVISION:
            revision = store.decode_range(body, generation).revision
            self.confirmations.append(Confirmation(self.revision_asked_at, revision))
            self.check_confirmations()
            if revision > self.mirror.revision:
                now = self.deadlines.clock.monotonic()
                self.await_changes(
                    AwaitedChanges(revision, now, LATE_WATCH_SECONDS + now - self.revision_asked_at)
                )
            return
        if not self.is_connected:
            self.is_connected = True
            log_event(Event.STORE_REGAINED, failures=self.failures)
        self.failures = 0
        if call is StoreCall.READ:
            self.handle_page(store.decode_range(body, generation))
        elif generation > generation_of(self.mirror.revision):
            # The number that the watch started from belongs to another state of the store.
            self.restart_read()
        else:
            self.handle_watched_changes(store.decode_watch(body, generation))

    def restart_read(self) -> None:
        """Read all entries again, as the changes since the own copy can't be watched."""
        self.is_watching = False
        self.is_read_needed = True
        self.page_items = []
        self.fire(DeadlineReached(), STORE)

    def handle_page(self, page: store.RangePage) -> None:
        """Add a page; after the last one, watch from the revision of the first one."""
        if self.first_page_revision is None:
            self.first_page_revision = page.revision
        elif generation_of(page.revision) != generation_of(self.first_page_revision):
            self.request_page(None)
            return
        self.page_items += page.items
        if page.has_more and page.items:
            self.request_page(page.items[-1].key)
            return
        log_event(
            Event.STORE_READ,
            revision=describe_revision(self.first_page_revision),
            before=describe_revision(self.mirror.revision),
        )
        self.replace_copy(self.page_items, self.first_page_revision)
        self.page_items = []
        self.is_read_needed = False
        self.schedule_watch()

    @handler("ReadStoreHistory")
    def on_read_history(self) -> None:
        """Look for the earliest revision of which the store still has all later changes."""
        self.history = HistorySearch(number_of(self.mirror.revision))
        self.request_history()

    def request_history(self) -> None:
        """Request the changes after the next revision of the search."""
        self.history.calls += 1
        request = store.watch_request(
            self.settings.store_address, after=self.history.next_revision, wait_seconds=0.0
        )
        self.start_call(StoreCall.HISTORY, self.settings.store_address, request, ANSWER_TIMEOUT_SECONDS)

    def handle_history(self, status: int, body: bytes) -> None:
        """Continue the search, or pass on the changes that the store still has.

        Raises
        ------
        CodecError
            If the answer is malformed.
        """
        search = self.history
        if status == OK_STATUS:
            search.items, search.earliest = store.decode_history(body), search.next_revision
        elif status == store.COMPACTED_STATUS:
            search.discarded = search.next_revision
        else:
            return
        if search.is_whole:
            self.fire(StoreHistoryRead(search.items, search.earliest), REQUESTS)
        elif search.calls < MAXIMUM_HISTORY_CALLS:
            self.request_history()

    @handler("ConfirmStoreCopy")
    def on_confirm(self, since: float = math.inf) -> None:
        """Ask the store for its revision, unless it was asked just before or one since a time is awaited."""
        now = self.deadlines.clock.monotonic()
        is_asked = any(
            confirmation.asked_at >= since and now < confirmation.asked_at + REVISION_TIMEOUT_SECONDS
            for confirmation in self.confirmations
        )
        is_in_progress = (
            StoreCall.REVISION in self.calls_in_progress
            and now < self.revision_asked_at + REVISION_TIMEOUT_SECONDS
        )
        if is_asked or is_in_progress or now < self.next_revision_call_at:
            return
        self.revision_asked_at = now
        self.next_revision_call_at = now + MINIMUM_REVISION_INTERVAL_SECONDS
        request = store.revision_request(self.settings.store_address)
        self.start_call(StoreCall.REVISION, self.settings.store_address, request, REVISION_TIMEOUT_SECONDS)

    def check_confirmations(self) -> None:
        """Announce that the own copy has reached a revision that the store had when it was asked.

        The revisions of a store that was restored meanwhile confirm nothing.
        """
        present = self.mirror.revision
        reached = [
            confirmation.asked_at
            for confirmation in self.confirmations
            if confirmation.revision <= present
            and generation_of(confirmation.revision) == generation_of(present)
        ]
        pending = [confirmation for confirmation in self.confirmations if confirmation.revision > present]
        self.confirmations = deque(pending, maxlen=MAXIMUM_CONFIRMATIONS)
        if reached:
            self.current_at = max(self.current_at, *reached)
            self.fire(StoreCopyConfirmed(max(reached)), PEER_EXCHANGE)

    def handle_watched_changes(self, changes: store.StoreChanges) -> None:
        """Apply watched changes and schedule the next watch.

        The answer may have waited here unread for any time, so it tells only of the time of the call, and
        nothing if it lacks changes of which the store's revision has told.
        """
        if not any(confirmation.revision > changes.revision for confirmation in self.confirmations):
            self.current_at = max(self.current_at, self.last_watch_at)
        self.apply_changes(changes.items, changes.removed, changes.revision)
        self.schedule_watch()

    def apply_changes(
        self, items: Iterable[StoredItem], removed: Iterable[tuple[str, int]], revision: int
    ) -> None:
        """Apply changes up to a revision to the own copy, and announce those that are new to it."""
        applied = [self.mirror.put(item) for item in items]
        applied += [self.mirror.remove(key, changed) for key, changed in removed]
        self.mirror.advance(revision)
        self.announce_changes([change for change in applied if change is not None])
        self.check_confirmations()

    def replace_copy(self, items: list[StoredItem], revision: int) -> None:
        """Replace the own copy.

        The first one and that of a restored store cause no update: all routers read the store at their start
        and when they learn of a restore.
        """
        now = self.deadlines.clock.monotonic()
        if self.mirror.revision and not self.is_current():
            self.fire(StoreChangesMissed(), REQUESTS)
        self.current_at = now
        is_read_by_all = self.mirror.revision == 0 or self.has_newer_generation(revision)
        changes = self.mirror.replace(items, revision)
        if is_read_by_all:
            self.copy_encoder.invalidate()
            self.recent_changes.reset(revision)
            self.fire(StoreChanged(changes), REQUESTS)
        else:
            self.announce_changes(changes)
        self.check_confirmations()

    def announce_changes(self, changes: list[Change]) -> None:
        """Pass changes to the other components, and schedule an update to the other routers."""
        if not changes:
            return
        self.copy_encoder.invalidate()
        self.fire(StoreChanged(changes), REQUESTS)
        self.recent_changes.add(changes, self.mirror.revision, self.deadlines.clock.monotonic())
        self.schedule_update()

    def schedule_update(self) -> None:
        """Send an update at once, or when the minimum interval since the last one is over."""
        now = self.deadlines.clock.monotonic()
        if now >= self.last_update_sent_at + MINIMUM_UPDATE_INTERVAL_SECONDS:
            self.send_update()
        elif not self.is_update_scheduled:
            self.is_update_scheduled = True
            self.deadlines.schedule(
                self.last_update_sent_at + MINIMUM_UPDATE_INTERVAL_SECONDS,
                DeadlineReached(EARLY_UPDATE),
                STORE,
            )

    def send_update(self, *, is_regular: bool = False) -> None:
        """Send an update with recent changes if this router watches the store."""
        if not (self.is_watching and self.should_watch()):
            return
        self.last_update_sent_at = self.deadlines.clock.monotonic()
        update = self.recent_changes.make_update(
            self.mirror.revision,
            self.deadlines.clock.monotonic(),
            is_connected=self.is_connected,
            trouble_seconds=self.failure_age(),
            is_regular=is_regular,
        )
        self.fire(SendStoreUpdate(update), PEER_EXCHANGE)

    def handle_update(self, address: str, update: StoreUpdate, *, is_from_other_data_centre: bool) -> None:
        """Apply an update of another router; fetch its copy if earlier changes stay missing.

        An update from another data centre is relayed to the routers of this one. Before the first copy of the
        store none is applied: a part of the store would be taken for its first read.
        """
        now = self.deadlines.clock.monotonic()
        self.last_failure_at = max(self.last_failure_at, now - update.trouble_seconds)
        if update.is_connected:
            self.last_update_received_at = now
            if not self.is_watching:
                self.is_connected = True
                if is_from_other_data_centre:
                    self.relay_update(update, now)
        if not self.mirror.revision or self.has_newer_generation(update.revision):
            self.note_peer_revision(address, update.revision)
            return
        # The next regular update may contain the missing changes, so the own revision does not advance yet.
        is_missing = update.since > self.mirror.revision
        revision = self.mirror.revision if is_missing else update.revision
        self.apply_changes((StoredItem(*item) for item in update.items), update.removed, revision)
        if is_missing:
            self.note_peer_revision(address, update.revision)
        elif update.is_connected:
            self.note_update(now)

    def note_update(self, now: float) -> None:
        """Record that an update has left no changes missing.

        After a time without any it may be an old one that was not read before, so the store is asked.
        """
        if self.is_current():
            self.current_at = now
        else:
            self.on_confirm(-math.inf)

    def relay_update(self, update: StoreUpdate, now: float) -> None:
        """Relay an update to the routers of the data centre, unless one was relayed just before."""
        minimum_interval = (
            MINIMUM_UPDATE_INTERVAL_SECONDS
            if update.revision > self.relayed_revision
            else RELAY_REPEAT_SECONDS
        )
        if now >= self.last_relayed_at + minimum_interval and self.watch_rank() < RELAYS_PER_DATA_CENTRE:
            self.relayed_revision = max(self.relayed_revision, update.revision)
            self.last_relayed_at = now
            self.fire(SendStoreUpdate(update), PEER_EXCHANGE)

    def handle_failure(self, call: StoreCall, reason: str) -> None:
        """Record a failed call to the store and schedule the next one."""
        self.last_failure_at = self.deadlines.clock.monotonic()
        self.is_watching = False
        self.failures += 1
        if self.is_connected or self.failures == 1:
            revision = describe_revision(self.mirror.revision)
            log_event(Event.STORE_LOST, call=call.value, reason=reason, revision=revision)
        self.is_connected = False
        seconds = min(RETRY_DELAY_SECONDS * self.failures, MAXIMUM_RETRY_DELAY_SECONDS)
        self.deadlines.schedule_in(seconds, DeadlineReached(), STORE)

    def note_peer_revision(self, address: str, revision: int) -> None:
        """Fetch the copy of a peer if the own copy has lagged behind for too long.

        When the store was restored, it is read again by each router that reaches it.
        """
        now = self.deadlines.clock.monotonic()
        if revision <= self.mirror.revision:
            return
        if self.has_newer_generation(revision) and self.is_connected:
            self.is_read_needed = True
            return
        if self.behind_revision <= self.mirror.revision:
            self.behind_revision, self.behind_since = revision, now
        maximum_lag = MAXIMUM_LAG_SECONDS if self.is_connected and self.mirror.revision else 0.0
        if now - self.behind_since >= maximum_lag:
            self.fetch_copy(address)

    @property
    def lacks_known_configuration(self) -> bool:
        """Return whether a peer was lately found to have a newer configuration that is not in force here."""
        waited_seconds = self.deadlines.clock.monotonic() - self.newer_configuration_found_at
        is_older = self.configuration().version < self.newer_configuration_version
        return is_older and waited_seconds < MAXIMUM_UNREADY_SECONDS

    def note_peer_configuration(self, address: str, version: int) -> None:
        """Fetch the copy of a peer if it has had a newer configuration in force for too long."""
        self.has_heard_peer = True
        own_version = self.configuration().version
        if version <= own_version:
            return
        now = self.deadlines.clock.monotonic()
        if self.newer_configuration_version <= own_version:
            self.newer_configuration_version, self.newer_configuration_found_at = version, now
        if now - self.newer_configuration_found_at >= MAXIMUM_LAG_SECONDS:
            self.fetch_copy(address)

    def has_newer_generation(self, revision: int) -> bool:
        """Return whether a peer's revision shows that the store was restored since the own copy was read."""
        return self.mirror.revision > 0 and generation_of(revision) > generation_of(self.mirror.revision)

    def fetch_copy(self, address: str) -> None:
        """Request a peer's copy unless that of another is awaited or a page of the store is expected soon."""
        now = self.deadlines.clock.monotonic()
        is_reading = (
            StoreCall.READ in self.calls_in_progress and now < self.page_requested_at + PAGE_TIMEOUT_SECONDS
        )
        if not is_reading and self.copy_requests.may_request(address, now):
            self.copy_requests.begin(address, now)
            peer = f"{address}:{self.settings.store_copy_port}"
            self.start_call(StoreCall.COPY, peer, store.get_request(peer, COPY_PATH), COPY_TIMEOUT_SECONDS)

    def handle_copy(self, body: bytes) -> None:
        """Replace the own copy by that of a peer.

        Raises
        ------
        CodecError
            If the copy is malformed, or the peer has started anew and has none yet.
        """
        copy = decode_copy(body)
        if not copy.revision:
            raise CodecError("the peer has not read the store")
        items = [
            StoredItem(item.key, item.value, item.revision, item.created_revision) for item in copy.items
        ]
        log_event(
            Event.STORE_COPY_TAKEN,
            revision=describe_revision(copy.revision),
            before=describe_revision(self.mirror.revision),
        )
        self.replace_copy(items, copy.revision)
        if copy.configuration:
            self.fire(StoreChanged([configuration_change(copy)]), REQUESTS)
        self.is_read_needed = False
        if self.is_watching and self.is_connected:
            # The watch in progress has missed changes, so its connection may be dead.
            self.start_watch()

    def is_current(self) -> bool:
        """Return whether the own copy was up to date lately, so that no target has come and gone unseen."""
        return self.deadlines.clock.monotonic() <= self.current_at + UNSEEN_TARGET_SECONDS

    def encoded_copy(self) -> bytes:
        """Return the own copy, encoded for a peer."""
        return self.copy_encoder.encode()
