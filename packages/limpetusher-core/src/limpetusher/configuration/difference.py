"""Comparison of two configuration documents, with the path of each difference in the document."""

import enum
import hashlib
import json
from collections.abc import Iterator
from dataclasses import dataclass

from limpetusher.configuration.document import ConfigurationModel

IDENTITY_FIELDS = ("customer_id", "key_id", "target_id", "name")
ROUTE_FIELDS = ("method", "path_prefix")
DESTINATION_FIELD = "service"
HIDDEN_FIELDS = frozenset({"salt", "digest"})
SHOWN_HASH_DIGITS = 8


class ChangeKind(enum.StrEnum):
    """How a value differs."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(frozen=True, slots=True)
class Difference:
    """Value that differs. `old` is None for an added value, `new` for a removed one."""

    kind: ChangeKind
    path: str
    old: object = None
    new: object = None

    def __str__(self) -> str:
        """Return a one-line description."""
        if self.kind is ChangeKind.CHANGED:
            return f"{self.path}: {self.old} -> {self.new}"
        return f"{self.path}: {self.kind.value}"


def compare_documents(old: ConfigurationModel, new: ConfigurationModel) -> list[Difference]:
    """Return the differences between two documents, ignoring the order of list entries."""
    return compare_values(old.model_dump(mode="json"), new.model_dump(mode="json"))


def compare_values(
    old: object, new: object, *, secret_lists: frozenset[str] = frozenset()
) -> list[Difference]:
    """Return the differences between two documents of JSON values, ignoring the order of list entries.

    Parameters
    ----------
    old, new
        The documents.
    secret_lists
        Names of fields that are lists of secrets, whose entries are shown as the first digits of a hash.
    """
    return list(_compare_values("", old, new, secret_lists))


def _compare_values(
    path: str, old: object, new: object, secret_lists: frozenset[str]
) -> Iterator[Difference]:
    if old == new:
        return
    if isinstance(old, list) and isinstance(new, list):
        is_secret = path.rpartition(".")[2] in secret_lists
        old, new = _index_by_identity(old, is_secret), _index_by_identity(new, is_secret)
    if isinstance(old, dict) and isinstance(new, dict):
        for name in sorted(old.keys() | new.keys()):
            child_path = path + name if not path or name.startswith("[") else f"{path}.{name}"
            if name not in new:
                yield Difference(ChangeKind.REMOVED, child_path, old=old[name])
            elif name not in old:
                yield Difference(ChangeKind.ADDED, child_path, new=new[name])
            else:
                yield from _compare_values(child_path, old[name], new[name], secret_lists)
    else:
        if path.rpartition(".")[2] in HIDDEN_FIELDS:
            old = new = "(not shown)"
        yield Difference(ChangeKind.CHANGED, path, old, new)


def _index_by_identity(entries: list, is_secret: bool) -> dict[str, object]:
    if is_secret:
        return {f"[{_short_hash(entry)}]": "(not shown)" for entry in entries}
    return {_identity(entry): entry for entry in entries}


def _short_hash(entry: object) -> str:
    return hashlib.sha256(str(entry).encode(errors="surrogatepass")).hexdigest()[:SHOWN_HASH_DIGITS]


def _identity(entry: object) -> str:
    if not isinstance(entry, dict):
        return f"[{entry}]"
    for field in IDENTITY_FIELDS:
        if field in entry:
            return f"[{entry[field]}]"
    if all(field in entry for field in ROUTE_FIELDS):
        return "[" + " ".join(str(entry[field]) for field in ROUTE_FIELDS) + "]"
    return f"[{entry.get(DESTINATION_FIELD, json.dumps(entry, sort_keys=True))}]"
