"""Recent changes of the store, which are sent as updates to the routers that do not watch it."""

from collections import deque

from limpetusher.fleet.messages import PROTOCOL_VERSION, StoreUpdate
from limpetusher.fleet.version.mirror import Change

CHANGE_REPEAT_SECONDS = 0.6
"""How long a change is repeated in regular updates; two are sent in that time, as datagrams may be lost."""
MAXIMUM_UPDATE_BYTES = 20_000
"""Maximum size of the changes in an update; a router that misses more fetches the whole copy."""
MAXIMUM_FAILURE_AGE_SECONDS = 60.0
"""Upper limit of the time since the last store failure that an update states."""


class RecentChanges:
    """Recent changes of the store, from which updates are made."""

    def __init__(self):
        self.changes: deque[tuple[float, int, Change]] = deque()
        """Time, revision and content of each change."""
        self.complete_since = 0
        """Revision after which `changes` is complete."""
        self.last_update_revision = 0
        """Revision of the last update."""

    def reset(self, revision: int) -> None:
        """Clear the changes, and collect those after a revision, which is that of the first copy."""
        self.changes.clear()
        self.complete_since = revision

    def add(self, changes: list[Change], revision: int, now: float) -> None:
        """Add changes that have brought the copy to a revision."""
        self.changes.extend((now, change_revision(change, revision), change) for change in changes)

    def drop_old(self, now: float) -> None:
        """Drop changes that were repeated long enough, and the oldest while an update would be too large."""
        size = sum(change_size(change) for _at, _revision, change in self.changes)
        while self.changes and (
            now - self.changes[0][0] > CHANGE_REPEAT_SECONDS or size > MAXIMUM_UPDATE_BYTES
        ):
            _at, revision, change = self.changes.popleft()
            size -= change_size(change)
            self.complete_since = max(self.complete_since, revision)

    def make_update(
        self, revision: int, now: float, *, is_connected: bool, trouble_seconds: float, is_regular: bool
    ) -> StoreUpdate:
        """Return an update up to a revision; unless it is regular, it omits changes already sent."""
        self.drop_old(now)
        since = self.complete_since if self.changes else revision
        if not is_regular:
            since = max(since, self.last_update_revision)
        self.last_update_revision = revision
        items, removed = [], []
        for _at, changed, change in self.changes:
            if changed <= since:
                continue
            if change.item is None:
                removed.append((change.key, changed))
            else:
                items.append((change.key, change.item.value, changed))
        return StoreUpdate(
            version=PROTOCOL_VERSION,
            is_connected=is_connected,
            trouble_seconds=min(trouble_seconds, MAXIMUM_FAILURE_AGE_SECONDS),
            since=since,
            revision=revision,
            items=tuple(items),
            removed=tuple(removed),
        )


def change_revision(change: Change, present: int) -> int:
    """Return the revision of a change; for a removed key, that of the first copy without it."""
    return change.item.revision if change.item is not None else present


def change_size(change: Change) -> int:
    """Return the approximate size of a change in a message, in bytes."""
    return len(change.key) + (len(change.item.value) if change.item is not None else 0)
