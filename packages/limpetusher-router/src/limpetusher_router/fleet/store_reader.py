"""Keeps the copy of the platform's store up to date: by its own watch, and by the copies of peers."""

import enum
from collections.abc import Callable

import msgspec
from circuits.core import BaseComponent, handler

from limpetusher.errors import CodecError
from limpetusher.events import Event
from limpetusher.fleet.version.mirror import Change, StoredItem, StoreMirror
from limpetusher_router.connection.framing import AnswerHead
from limpetusher_router.events import (
    REQUESTS,
    STORE,
    TARGETS,
    Attempt,
    AttemptEnd,
    Due,
    StartAttempt,
    StopAttempt,
    StoreRead,
)
from limpetusher_router.platform import store
from limpetusher_router.platform.settings_file import HostSettings
from limpetusher_router.process.deadlines import Deadlines
from limpetusher_router.process.logs import log_event

CLOSE_WATCH_SECONDS = 1.0
"""Wait of a watch whose silence must be noticed: a compacting store may keep a change from its watches."""
WIDE_WATCH_SECONDS = 8.0
"""Wait of a watch beside others; a newer revision in a peer's report shows what it misses."""
CLOSE_WATCHERS = 3
ANSWER_SECONDS = 1.0
"""Time for the store's answer beyond a watch's wait; it answers in a few milliseconds."""
RETRY_SECONDS = 0.15
RETRY_MAXIMUM_SECONDS = 0.6
COPY_SECONDS = 0.8
BEHIND_SECONDS = 0.25
"""How long a peer may know more than the own watch before its copy is fetched."""
COPY_PATH = "/copy"
OK_STATUS = 200


class Call(enum.Enum):
    """What a call is for."""

    READ = "read"
    WATCH = "watch"
    COPY = "copy"


class CopiedItem(msgspec.Struct, frozen=True, array_like=True):
    """An item in a copy that one router hands to another."""

    key: str
    value: bytes
    revision: int


class StoreCopy(msgspec.Struct, frozen=True, array_like=True):
    """Everything that a router knows of the store as of a revision."""

    items: list[CopiedItem]
    revision: int


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
        Returns how many reachable routers come before this one in an order common to all.
    """

    channel = STORE

    def __init__(
        self,
        settings: HostSettings,
        *,
        mirror: StoreMirror,
        deadlines: Deadlines,
        watch_rank: Callable[[], int],
    ):
        super().__init__()
        self.settings = settings
        self.mirror = mirror
        self.deadlines = deadlines
        self.watch_rank = watch_rank
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
        self.behind_revision = 0
        """First revision of a peer that the own copy lacked; older than the own copy once it has caught
        up."""
        self.behind_since = 0.0
        self.copy_from: str | None = None

    def trouble_age(self) -> float:
        """Return how many seconds ago the store last failed a call, 0 while it fails."""
        if not self.is_connected:
            return 0.0
        return self.deadlines.clock.monotonic() - self.troubled_at

    @handler("Due")
    def on_due(self, _subject: object) -> None:
        """Make the next call to the store."""
        if self.read_again:
            self.read_page(None)
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
        request = store.range_request(self.settings.store_address, after=after)
        self.call(Call.READ, self.settings.store_address, request, ANSWER_SECONDS)

    def watch(self) -> None:
        """Wait for the next changes."""
        seconds = CLOSE_WATCH_SECONDS if self.watch_rank() < CLOSE_WATCHERS else WIDE_WATCH_SECONDS
        request = store.watch_request(
            self.settings.store_address, after=self.mirror.revision, wait_seconds=seconds
        )
        self.call(Call.WATCH, self.settings.store_address, request, seconds + ANSWER_SECONDS)

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
            self.read_again = True
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
        changes = self.mirror.replace(self.pages, self.first_revision)
        self.pages = []
        self.read_again = False
        self.tell(changes)
        self.watch()

    def take_changes(self, changes: store.WatchedChanges) -> None:
        """Apply watched changes and watch on."""
        taken = [self.mirror.put(item) for item in changes.items]
        taken += [self.mirror.remove(key, revision) for key, revision in changes.removed]
        self.mirror.advance(changes.revision)
        self.tell([change for change in taken if change is not None])
        self.watch()

    def tell(self, changes: list[Change]) -> None:
        """Tell the other components what changed."""
        self.fire(StoreRead(changes), REQUESTS)

    def fail(self, call: Call, reason: str) -> None:
        """Try again after a pause."""
        self.troubled_at = self.deadlines.clock.monotonic()
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
        patience = BEHIND_SECONDS if self.is_connected else 0.0
        if now - self.behind_since >= patience and Call.COPY not in self.current:
            peer = f"{address}:{self.settings.copy_port}"
            self.call(Call.COPY, peer, store.get_request(peer, COPY_PATH), COPY_SECONDS)

    def take_copy(self, body: bytes) -> None:
        """Take a peer's copy.

        Raises
        ------
        CodecError
            If the copy is malformed.
        """
        try:
            copy = msgspec.msgpack.decode(body, type=StoreCopy)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise CodecError("malformed copy") from error
        items = [StoredItem(item.key, item.value, item.revision) for item in copy.items]
        log_event(Event.STORE_COPY_TAKEN, revision=copy.revision, before=self.mirror.revision)
        self.tell(self.mirror.replace(items, copy.revision))
        self.read_again = False
        if self.is_connected:
            # The watch in progress has missed something, so its connection may be dead.
            self.watch()

    def copy(self) -> bytes:
        """Return the own copy for a peer."""
        items = [CopiedItem(item.key, item.value, item.revision) for item in self.mirror.items.values()]
        return msgspec.msgpack.encode(StoreCopy(items, self.mirror.revision))
