"""Keeps the copy of the platform's store up to date.

A few routers watch the store and tell its changes to two routers of each data centre, which tell the others,
so that the calls to the store do not grow with the fleet. A router that hears nothing watches by itself.
"""

import enum
from collections.abc import Callable, Iterable

from circuits.core import BaseComponent, handler

from limpetusher.errors import CodecError
from limpetusher.events import Event
from limpetusher.fleet.messages import StoreNews
from limpetusher.fleet.version.mirror import Change, StoredItem, StoreMirror
from limpetusher_router.connection.framing import AnswerHead
from limpetusher_router.events import (
    EXCHANGE,
    REQUESTS,
    STORE,
    TARGETS,
    Attempt,
    AttemptEnd,
    Due,
    NewsDue,
    StartAttempt,
    StopAttempt,
    StoreRead,
)
from limpetusher_router.fleet.store_copy import EncodedCopy, decode_copy
from limpetusher_router.fleet.store_news import RecentChanges
from limpetusher_router.platform import store
from limpetusher_router.platform.settings_file import HostSettings
from limpetusher_router.process.deadlines import Deadlines
from limpetusher_router.process.logs import log_event

WATCH_SECONDS = 1.0
"""Wait of a watch; its silence must be noticed, as a compacting store may keep a change from its watches."""
WATCH_GAP_SECONDS = 0.05
"""Least time between two watches; a call ends with the first change, and each one is counted by the store."""
WATCHERS = 3
"""Routers that watch the store, in different data centres where there are as many."""
RELAYS = 2
"""Routers of each data centre that pass reports on to the others there; one may fail at any moment."""
NEWS_SECONDS = 0.25
"""Time between two reports of a watcher. Each repeats the last changes, as datagrams get lost."""
REPORT_GAP_SECONDS = 0.1
"""Least time between two reports of a watcher, or two that a relay passes on; changes in quick succession, as
when many targets start, are told together."""
RELAY_SECONDS = 0.2
"""Time in which news without new changes is passed on once, whichever watcher it comes from."""
UNINFORMED_SECONDS = 0.8
"""Time without a report after which a router watches the store by itself."""
UNINFORMED_SECONDS_PER_RANK = 0.05
UNINFORMED_RANKS = 10
"""Additional time for each router of the data centre that comes before, up to so many, so that not all begin
at once."""
ANSWER_SECONDS = 1.0
"""Time for the store's answer beyond a watch's wait; it answers in a few milliseconds."""
RETRY_SECONDS = 0.15
RETRY_MAXIMUM_SECONDS = 0.6
COPY_SECONDS = 0.8
BEHIND_SECONDS = 0.6
"""How long a peer may know more than the own copy before its copy is fetched; reports come twice in it."""
READ_PATIENCE_SECONDS = 0.3
"""Time without a page of the store after which a reading router takes a peer's copy as well. A fleet that
starts would otherwise fetch hundreds of copies from the first routers that have read the store."""
COPY_PATH = "/copy"
OK_STATUS = 200
NEWS = "news"
CHANGED = "changed"


class Call(enum.Enum):
    """What a call is for."""

    READ = "read"
    WATCH = "watch"
    COPY = "copy"


class StoreReader(BaseComponent):
    """Reads and watches the platform's store, and asks peers while it can't.

    Parameters
    ----------
    settings
        Settings of the host.
    mirror
        Copy of the store that is kept up to date.
    deadlines
        Heap of deadlines.
    watch_rank
        Returns how many sound routers of the data centre come before this one in an order common to all.
    is_watcher
        Returns whether this router is one of a number of routers that watch the store for all.
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
    ):
        super().__init__()
        self.settings = settings
        self.mirror = mirror
        self.deadlines = deadlines
        self.watch_rank = watch_rank
        self.is_watcher = is_watcher
        self.pages: list[StoredItem] = []
        self.first_revision: int | None = None
        self.answers: dict[tuple[Call, int], tuple[AnswerHead, bytearray]] = {}
        self.number = 0
        self.current: dict[Call, int] = {}
        self.failures = 0
        self.is_connected = False
        self.troubled_at = float("-inf")
        """When a call to the store last failed."""
        self.read_again = True
        self.is_watching = False
        """Whether this router watches the store, also between two calls."""
        self.watched_at = float("-inf")
        """When the last watch began."""
        self.page_asked_at = float("-inf")
        """When the store was last asked for a page."""
        self.encoded = EncodedCopy(mirror)
        self.behind_revision = 0
        """First revision of a peer that the own copy lacked; older than the own copy once it has caught
        up."""
        self.behind_since = 0.0
        self.informed_at = float("-inf")
        """When a connected watcher last reported."""
        self.recent = RecentChanges()
        self.reported_at = float("-inf")
        """When this router last reported changes to others."""
        self.is_report_due = False
        self.relayed_revision = 0
        self.relayed_at = float("-inf")
        """When news of another data centre was last passed on."""

    def trouble_age(self) -> float:
        """Return how many seconds ago the store last failed a call, 0 while it fails."""
        if not self.is_connected:
            return 0.0
        return self.deadlines.clock.monotonic() - self.troubled_at

    def should_watch(self) -> bool:
        """Return whether this router has to watch the store, for others or since nobody informs it."""
        if self.is_watcher(WATCHERS):
            return True
        silent = self.deadlines.clock.monotonic() - self.informed_at
        ranks = min(self.watch_rank(), UNINFORMED_RANKS)
        return silent > UNINFORMED_SECONDS + UNINFORMED_SECONDS_PER_RANK * ranks

    @handler("Due")
    def on_due(self, subject: object) -> None:
        """Make the next call to the store, or report to the routers of the data centre."""
        if subject == NEWS:
            self.deadlines.schedule_in(NEWS_SECONDS, Due(NEWS), STORE)
            self.publish(is_regular=True)
        elif subject == CHANGED:
            self.is_report_due = False
            self.publish()
        elif self.read_again:
            # The read goes on after a failed call; the watch brings what has changed since its first page.
            self.read_page(self.pages[-1].key if self.pages else None)
        else:
            self.watch()

    def call(self, call: Call, address: str, request: bytes, seconds: float) -> None:
        """Start a call; an earlier one of the same purpose is abandoned."""
        self.abandon(call)
        self.number += 1
        self.current[call] = self.number
        attempt = Attempt(
            key=(call, self.number), channel=STORE, address=address, request=request, idle_seconds=seconds
        )
        self.fire(StartAttempt(attempt), TARGETS)

    def abandon(self, call: Call) -> None:
        """Forget the call in progress."""
        number = self.current.pop(call, None)
        if number is not None:
            self.answers.pop((call, number), None)
            self.fire(StopAttempt((call, number), STORE), TARGETS)

    def read_page(self, after: str | None) -> None:
        """Read a page of all items."""
        if after is None:
            self.pages, self.first_revision = [], None
        self.page_asked_at = self.deadlines.clock.monotonic()
        request = store.range_request(self.settings.store_address, after=after)
        self.call(Call.READ, self.settings.store_address, request, ANSWER_SECONDS)

    def watch_again(self) -> None:
        """Wait for the next changes soon, so that many in quick succession come with one call."""
        waited = self.deadlines.clock.monotonic() - self.watched_at
        if waited >= WATCH_GAP_SECONDS:
            self.watch()
        else:
            self.deadlines.schedule_in(WATCH_GAP_SECONDS - waited, Due(), STORE)

    def watch(self) -> None:
        """Wait for the next changes, if this router has to."""
        self.is_watching = self.should_watch()
        if not self.is_watching:
            self.abandon(Call.WATCH)
            self.deadlines.schedule_in(NEWS_SECONDS, Due(), STORE)
            return
        self.watched_at = self.deadlines.clock.monotonic()
        request = store.watch_request(
            self.settings.store_address, after=self.mirror.revision, wait_seconds=WATCH_SECONDS
        )
        self.call(Call.WATCH, self.settings.store_address, request, WATCH_SECONDS + ANSWER_SECONDS)

    @handler("AnswerStarted")
    def on_started(self, key: tuple[Call, int], head: AnswerHead) -> None:
        """Begin to collect an answer."""
        if self.current.get(key[0]) == key[1]:
            self.answers[key] = (head, bytearray())

    @handler("AnswerPart")
    def on_part(self, key: tuple[Call, int], data: bytes) -> None:
        """Collect a part of an answer."""
        if key in self.answers:
            self.answers[key][1].extend(data)

    @handler("AnswerEnded")
    def on_ended(self, key: tuple[Call, int], end: AttemptEnd, detail: str = "") -> None:
        """Use an answer, or try again."""
        call, number = key
        if self.current.get(call) != number:
            return
        del self.current[call]
        head, body = self.answers.pop(key, (None, bytearray()))
        complete = head is not None and end in (AttemptEnd.COMPLETE, AttemptEnd.CLOSED)
        try:
            if not complete:
                raise CodecError(detail or end.value)
            self.use(call, head.status, bytes(body))
        except CodecError as error:
            if call is not Call.COPY:
                self.fail(call, error.reason)

    def use(self, call: Call, status: int, body: bytes) -> None:
        """Take the content of an answer.

        Raises
        ------
        CodecError
            If the call was refused or its answer is malformed.
        """
        if call is Call.WATCH and status == store.COMPACTED_STATUS:
            log_event(Event.STORE_HISTORY_LOST, revision=self.mirror.revision)
            self.is_watching = False
            self.read_again = True
            self.pages = []
            self.fire(Due(), STORE)
            return
        if status != OK_STATUS:
            raise CodecError(f"status {status}")
        if call is Call.COPY:
            self.take_copy(body)
            return
        if not self.is_connected:
            self.is_connected = True
            log_event(Event.STORE_REGAINED, failures=self.failures)
        self.failures = 0
        if call is Call.READ:
            self.take_page(store.decode_range(body))
        else:
            self.take_changes(store.decode_watch(body))

    def take_page(self, page: store.RangePage) -> None:
        """Take a page; the watch goes on from the revision of the first one."""
        if self.first_revision is None:
            self.first_revision = page.revision
        self.pages += page.items
        if page.has_more and page.items:
            self.read_page(page.items[-1].key)
            return
        self.replace(self.pages, self.first_revision)
        self.pages = []
        self.read_again = False
        self.watch()

    def take_changes(self, changes: store.WatchedChanges) -> None:
        """Apply watched changes and watch on."""
        self.apply(changes.items, changes.removed, changes.revision)
        self.watch_again()

    def apply(self, items: Iterable[StoredItem], removed: Iterable[tuple[str, int]], revision: int) -> None:
        """Apply changes up to a revision to the own copy."""
        taken = [self.mirror.put(item) for item in items]
        taken += [self.mirror.remove(key, changed) for key, changed in removed]
        self.mirror.advance(revision)
        self.tell([change for change in taken if change is not None])

    def replace(self, items: list[StoredItem], revision: int) -> None:
        """Take a complete copy; the first one is no news, since all routers read the store as they start."""
        is_first = self.mirror.revision == 0
        changes = self.mirror.replace(items, revision)
        if is_first:
            self.encoded.forget()
            self.recent.begin(revision)
            self.fire(StoreRead(changes), REQUESTS)
        else:
            self.tell(changes)

    def tell(self, changes: list[Change]) -> None:
        """Tell the other components, and the routers of the data centre, what changed."""
        if not changes:
            return
        self.encoded.forget()
        self.fire(StoreRead(changes), REQUESTS)
        self.recent.add(changes, self.mirror.revision, self.deadlines.clock.monotonic())
        self.publish_soon()

    def publish_soon(self) -> None:
        """Report changes at once, or together with others that follow."""
        now = self.deadlines.clock.monotonic()
        if now >= self.reported_at + REPORT_GAP_SECONDS:
            self.publish()
        elif not self.is_report_due:
            self.is_report_due = True
            self.deadlines.schedule(self.reported_at + REPORT_GAP_SECONDS, Due(CHANGED), STORE)

    def publish(self, *, is_regular: bool = False) -> None:
        """Report the newest changes to other routers, if this router watches the store for them."""
        if not (self.is_watching and self.should_watch()):
            return
        self.reported_at = self.deadlines.clock.monotonic()
        news = self.recent.report(
            self.mirror.revision,
            self.deadlines.clock.monotonic(),
            is_connected=self.is_connected,
            trouble_seconds=self.trouble_age(),
            is_regular=is_regular,
        )
        self.fire(NewsDue(news), EXCHANGE)

    def take_news(self, address: str, news: StoreNews, *, is_from_outside: bool) -> None:
        """Take the changes that another router reports; fetch its copy if some stay missing.

        A report from another data centre is passed on to the routers of this one.
        """
        now = self.deadlines.clock.monotonic()
        self.troubled_at = max(self.troubled_at, now - news.trouble_seconds)
        if news.is_connected:
            self.informed_at = now
            if not self.is_watching:
                self.is_connected = True
                if is_from_outside:
                    self.relay(news, now)
        # What is missing may come with the next regular report, so the own revision stays until then.
        is_missing = news.since > self.mirror.revision
        revision = self.mirror.revision if is_missing else news.revision
        self.apply((StoredItem(*item) for item in news.items), news.removed, revision)
        if is_missing:
            self.peer_knows(address, news.revision)

    def relay(self, news: StoreNews, now: float) -> None:
        """Pass news on to the routers of the data centre, unless another watcher's was just passed on."""
        gap = REPORT_GAP_SECONDS if news.revision > self.relayed_revision else RELAY_SECONDS
        if now >= self.relayed_at + gap and self.watch_rank() < RELAYS:
            self.relayed_revision = max(self.relayed_revision, news.revision)
            self.relayed_at = now
            self.fire(NewsDue(news), EXCHANGE)

    def fail(self, call: Call, reason: str) -> None:
        """Try again after a pause."""
        self.troubled_at = self.deadlines.clock.monotonic()
        self.is_watching = False
        self.failures += 1
        if self.is_connected or self.failures == 1:
            log_event(Event.STORE_LOST, call=call.value, reason=reason, revision=self.mirror.revision)
        self.is_connected = False
        seconds = min(RETRY_SECONDS * self.failures, RETRY_MAXIMUM_SECONDS)
        self.deadlines.schedule_in(seconds, Due(), STORE)

    def peer_knows(self, address: str, revision: int) -> None:
        """Fetch a peer's copy when the own watch has fallen behind it for a while."""
        now = self.deadlines.clock.monotonic()
        if revision <= self.mirror.revision:
            return
        if self.behind_revision <= self.mirror.revision:
            self.behind_revision, self.behind_since = revision, now
        patience = BEHIND_SECONDS if self.is_connected and self.mirror.revision else 0.0
        if now - self.behind_since >= patience:
            self.fetch_copy(address)

    def fetch_copy(self, address: str) -> None:
        """Ask a peer for its copy unless one is on its way, or the store itself answers."""
        is_reading = (
            Call.READ in self.current
            and self.deadlines.clock.monotonic() < self.page_asked_at + READ_PATIENCE_SECONDS
        )
        if Call.COPY not in self.current and not is_reading:
            peer = f"{address}:{self.settings.copy_port}"
            self.call(Call.COPY, peer, store.get_request(peer, COPY_PATH), COPY_SECONDS)

    def take_copy(self, body: bytes) -> None:
        """Take a peer's copy.

        Raises
        ------
        CodecError
            If the copy is malformed.
        """
        copy = decode_copy(body)
        items = [StoredItem(item.key, item.value, item.revision) for item in copy.items]
        log_event(Event.STORE_COPY_TAKEN, revision=copy.revision, before=self.mirror.revision)
        self.replace(items, copy.revision)
        self.read_again = False
        if self.is_watching and self.is_connected:
            # The watch in progress has missed something, so its connection may be dead.
            self.watch()

    def copy(self) -> bytes:
        """Return the own copy for a peer."""
        return self.encoded.data()
