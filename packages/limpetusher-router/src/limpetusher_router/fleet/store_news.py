"""Reports of the newest changes of the store, for the routers that do not watch it."""

from collections import deque

from limpetusher.fleet.messages import PROTOCOL_VERSION, StoreNews
from limpetusher.fleet.version.mirror import Change

NEWS_REPEATED_SECONDS = 0.6
"""How long a change is repeated in the regular reports, of which two come in it, as datagrams get lost."""
NEWS_BYTES = 20_000
"""Bytes of changes in a report; a router that misses more fetches the whole copy."""
LONGEST_TROUBLE_SECONDS = 60.0


class RecentChanges:
    """Newest changes with their time and revision."""

    def __init__(self):
        self.changes: deque[tuple[float, int, Change]] = deque()
        self.since = 0
        """Revision after which `changes` has all of them."""
        self.reported_revision = 0
        """Revision up to which changes were reported."""

    def begin(self, revision: int) -> None:
        """Report only changes after a revision, the first one that the copy has."""
        self.changes.clear()
        self.since = revision

    def add(self, changes: list[Change], revision: int, now: float) -> None:
        """Take changes of the copy, which now is that of a revision."""
        self.changes.extend((now, change_revision(change, revision), change) for change in changes)

    def drop_old(self, now: float) -> None:
        """Drop what has been repeated long enough, or makes the report too large."""
        size = sum(change_size(change) for _at, _revision, change in self.changes)
        while self.changes and (now - self.changes[0][0] > NEWS_REPEATED_SECONDS or size > NEWS_BYTES):
            _at, revision, change = self.changes.popleft()
            size -= change_size(change)
            self.since = max(self.since, revision)

    def report(
        self, revision: int, now: float, *, is_connected: bool, trouble_seconds: float, is_regular: bool
    ) -> StoreNews:
        """Return the report of a copy as of a revision; one between the regular ones has new changes only."""
        self.drop_old(now)
        since = self.since if self.changes else revision
        if not is_regular:
            since = max(since, self.reported_revision)
        self.reported_revision = revision
        items, removed = [], []
        for _at, changed, change in self.changes:
            if changed <= since:
                continue
            if change.item is None:
                removed.append((change.key, changed))
            else:
                items.append((change.key, change.item.value, changed))
        return StoreNews(
            version=PROTOCOL_VERSION,
            is_connected=is_connected,
            trouble_seconds=min(trouble_seconds, LONGEST_TROUBLE_SECONDS),
            since=since,
            revision=revision,
            items=tuple(items),
            removed=tuple(removed),
        )


def change_revision(change: Change, present: int) -> int:
    """Return the revision of a change; for a removed key, that of the copy which no longer has it."""
    return change.item.revision if change.item is not None else present


def change_size(change: Change) -> int:
    """Return about how many bytes a change takes in a message."""
    return len(change.key) + (len(change.item.value) if change.item is not None else 0)
