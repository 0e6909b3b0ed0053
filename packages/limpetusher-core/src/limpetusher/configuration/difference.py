"""Differences between two configuration documents, in the terms of the documents."""

import enum
from collections.abc import Iterator
from dataclasses import dataclass

from limpetusher.configuration.document import ConfigurationModel

IDENTITY_FIELDS = ("customer_id", "key_id", "target_id", "name")
ROUTE_FIELDS = ("method", "path_prefix")
HIDDEN_FIELDS = frozenset({"salt", "digest"})


class ChangeKind(enum.StrEnum):
    """What happened to a value."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(frozen=True, slots=True)
class Difference:
    """One value that differs; `old` and `new` are None where there is none."""

    kind: ChangeKind
    place: str
    old: object = None
    new: object = None

    def __str__(self) -> str:
        """Return one line for people."""
        if self.kind is ChangeKind.CHANGED:
            return f"{self.place}: {self.old} -> {self.new}"
        return f"{self.place}: {self.kind.value}"


def differences(old: ConfigurationModel, new: ConfigurationModel) -> list[Difference]:
    """Return what differs between two documents; the order of entries does not matter."""
    return list(_compare("", old.model_dump(mode="json"), new.model_dump(mode="json")))


def _compare(place: str, old: object, new: object) -> Iterator[Difference]:
    if isinstance(old, list) and isinstance(new, list):
        old, new = _by_identity(old), _by_identity(new)
    if isinstance(old, dict) and isinstance(new, dict):
        for name in sorted(old.keys() | new.keys()):
            inner = place + name if not place or name.startswith("[") else f"{place}.{name}"
            if name not in new:
                yield Difference(ChangeKind.REMOVED, inner, old=old[name])
            elif name not in old:
                yield Difference(ChangeKind.ADDED, inner, new=new[name])
            else:
                yield from _compare(inner, old[name], new[name])
    elif old != new:
        if place.rpartition(".")[2] in HIDDEN_FIELDS:
            old = new = "(not shown)"
        yield Difference(ChangeKind.CHANGED, place, old, new)


def _by_identity(entries: list) -> dict[str, object]:
    return {_identity(entry): entry for entry in entries}


def _identity(entry: object) -> str:
    if not isinstance(entry, dict):
        return f"[{entry}]"
    for field in IDENTITY_FIELDS:
        if field in entry:
            return f"[{entry[field]}]"
    return "[" + " ".join(str(entry[field]) for field in ROUTE_FIELDS) + "]"
