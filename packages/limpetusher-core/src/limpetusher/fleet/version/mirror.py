"""Local copy of the platform's store, built from reads, watches and copies of peers."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StoredItem:
    """A value and the store revision of its last change."""

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Change:
    """One change of the copy; `item` is None if the key was removed."""

    key: str
    item: StoredItem | None


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
        put = self.put_newer if revision >= self.revision else self.put
        changes = [change for item in items if (change := put(item)) is not None]
        if revision >= self.revision:
            present = {item.key for item in items}
            missing = [key for key in self.items if key not in present]
            changes += [change for key in missing if (change := self.remove(key, revision)) is not None]
            self.removed = {key: at for key, at in self.removed.items() if at >= revision}
        self.advance(revision)
        return changes
