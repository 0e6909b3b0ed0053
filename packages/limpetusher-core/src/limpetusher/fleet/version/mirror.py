"""Local copy of the platform's store, built from reads, watches and copies of peers.

A revision here consists of the generation of the store, which rises each time the store is restored from an
older copy, and of the number that the store gives out, which is then given out again. So revisions only grow.
"""

from dataclasses import dataclass

REVISION_NUMBER_BITS = 40
MAX_REMOVED_KEYS = 4_096
"""Maximum number of removed keys that are kept, the most recent ones."""


def make_revision(generation: int, number: int) -> int:
    """Return the revision with a number that the store has given out in a generation."""
    return generation << REVISION_NUMBER_BITS | number


def generation_of(revision: int) -> int:
    """Return the generation of the store in a revision."""
    return revision >> REVISION_NUMBER_BITS


def number_of(revision: int) -> int:
    """Return the number that the store has given out for a revision."""
    return revision & ((1 << REVISION_NUMBER_BITS) - 1)


def describe_revision(revision: int) -> str:
    """Return the generation and the number of a revision, for the log."""
    return f"{generation_of(revision)}:{number_of(revision)}"


@dataclass(frozen=True, slots=True)
class StoredItem:
    """A value and the store revision of its last change."""

    key: str
    value: bytes
    revision: int
    created_revision: int = 0
    """Number that the store gave out for the first value since the key was last removed, 0 if unknown."""


@dataclass(frozen=True, slots=True)
class Change:
    """One change of the copy; `item` is None if the key was removed."""

    key: str
    item: StoredItem | None
    is_outdated: bool = False
    """Whether the change may be older than what was known, as it comes from a store that was restored."""


class StoreMirror:
    """Latest known value of each key. Revisions only grow, so sources may be merged in any order.

    Attributes
    ----------
    revision
        Revision up to which the copy contains every change.
    """

    def __init__(self):
        self.items: dict[str, StoredItem] = {}
        self.removed: dict[str, int] = {}
        """Revision at which a key was removed, so that an older copy can't bring it back."""
        self.revision = 0

    def put(self, item: StoredItem) -> Change | None:
        """Store a value unless a newer one is known; return the change, None if there is none.

        If its key is missing, a value with a revision up to `revision` has been removed since and is ignored.
        """
        if item.key not in self.items and item.revision <= self.revision:
            return None
        return self.put_newer(item)

    def put_newer(self, item: StoredItem) -> Change | None:
        """Store a value unless a newer value or removal of its key is known."""
        known = self.items.get(item.key)
        if known is not None and known.revision >= item.revision:
            return None
        if self.removed.get(item.key, -1) >= item.revision:
            return None
        self.items[item.key] = item
        self.removed.pop(item.key, None)
        return Change(item.key, item)

    def remove(self, key: str, revision: int) -> Change | None:
        """Remove a key unless a newer value is known."""
        known = self.items.get(key)
        if known is not None and known.revision >= revision:
            return None
        if self.removed.get(key, -1) < revision:
            self.removed[key] = revision
            if len(self.removed) > MAX_REMOVED_KEYS:
                del self.removed[next(iter(self.removed))]
        if known is None:
            return None
        del self.items[key]
        return Change(key, None)

    def advance(self, revision: int) -> None:
        """Record that the copy contains every change up to `revision`."""
        self.revision = max(self.revision, revision)

    def replace(self, items: list[StoredItem], revision: int) -> list[Change]:
        """Merge a complete copy as of `revision`; return the changes.

        Keys missing from the copy are removed unless they are newer than it. An older copy removes nothing.
        """
        if self.revision and generation_of(revision) > generation_of(self.revision):
            return self.replace_restored(items, revision)
        put = self.put_newer if revision >= self.revision else self.put
        changes = [change for item in items if (change := put(item)) is not None]
        if revision >= self.revision:
            present = {item.key for item in items}
            missing = [key for key in self.items if key not in present]
            changes += [change for key in missing if (change := self.remove(key, revision)) is not None]
        self.advance(revision)
        return changes

    def replace_restored(self, items: list[StoredItem], revision: int) -> list[Change]:
        """Take over the items of a store that was restored from an older copy; return what has changed.

        A number that is at most the last one known of a key does not tell whether its value was in the older
        copy or was written after the restore; such changes are marked as outdated, as are missing keys.
        """
        changes = []
        for item in items:
            known = self.items.get(item.key)
            if known is None or known.value != item.value:
                last = known.revision if known is not None else self.removed.get(item.key, -1)
                is_outdated = last >= 0 and number_of(item.revision) <= number_of(last)
                changes.append(Change(item.key, item, is_outdated))
        present = {item.key: item for item in items}
        changes += [Change(key, None, is_outdated=True) for key in self.items if key not in present]
        self.items = present
        self.advance(revision)
        return changes
