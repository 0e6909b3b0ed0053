"""Requests to the platform's store, and decoding of its answers."""

import base64
import binascii
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlencode

import msgspec

from limpetusher.errors import CodecError
from limpetusher.fleet.version.mirror import StoredItem, make_revision, number_of
from limpetusher_router.connection.framing import AnswerHead
from limpetusher_router.platform import names

ALL_KEYS_PREFIX = ""
"""Key prefix that matches all keys."""
COMPACTED_STATUS = 410


class _Item(msgspec.Struct, frozen=True):
    key: str
    rev: int
    value: str | None = None
    deleted: bool = False
    create_revision: int = msgspec.field(default=0, name="createRevision")


class _Range(msgspec.Struct, frozen=True, rename="camel"):
    items: list[_Item]
    current_rev: int
    has_more: bool = False


class _Watch(msgspec.Struct, frozen=True, rename="camel"):
    events: list[_Item]
    current_rev: int


@dataclass(frozen=True, slots=True)
class RangePage:
    """One page of a range read. `revision` is the revision of the store at the time of the read."""

    items: list[StoredItem]
    revision: int
    has_more: bool


@dataclass(frozen=True, slots=True)
class StoreChanges:
    """Changes after the revision in the watch request. `removed` are deleted keys with their revisions."""

    items: list[StoredItem]
    removed: list[tuple[str, int]]
    revision: int


@dataclass(frozen=True, slots=True)
class HistoryItem:
    """One earlier change of a key; `value` is None if the key was removed.

    Revisions are the numbers that the store has given out. `created_revision` is that of the first value
    since the key was last removed.
    """

    key: str
    revision: int
    created_revision: int
    value: bytes | None


_range_decoder = msgspec.json.Decoder(_Range)
_watch_decoder = msgspec.json.Decoder(_Watch)


def get_request(address: str, path: str, **query: object) -> bytes:
    """Encode a GET request."""
    text = urlencode(query)
    return f"GET {path}{'?' if text else ''}{text} HTTP/1.1\r\nhost: {address}\r\n\r\n".encode("latin-1")


def range_request(address: str, *, after: str | None) -> bytes:
    """Return a range request for the items that follow the key `after`, or for the first items."""
    query = {"prefix": ALL_KEYS_PREFIX}
    if after is not None:
        query["after"] = after
    return get_request(address, "/kv-range", **query)


def revision_request(address: str) -> bytes:
    """Return a request for the revision of the store, which the answer to a read of a few items tells."""
    return get_request(address, "/kv-range", prefix=names.EVACUATION_PREFIX)


def watch_request(address: str, *, after: int, wait_seconds: float) -> bytes:
    """Return a watch request for all changes after a revision."""
    return get_request(
        address, "/kv-watch", prefix=ALL_KEYS_PREFIX, after=number_of(after), waitMs=int(wait_seconds * 1_000)
    )


def decode_history(body: bytes) -> list[HistoryItem]:
    """Decode earlier changes in their order, returned by a watch.

    Raises
    ------
    CodecError
        If the answer is malformed.
    """
    watch = _decode(_watch_decoder, body, "watch")
    items = []
    for event in sorted(watch.events, key=lambda event: event.rev):
        value = None if event.deleted else _decode_item(event, 0).value
        items.append(HistoryItem(event.key, event.rev, event.create_revision, value))
    return items


def decode_generation(head: AnswerHead) -> int:
    """Return the generation of the store, which rises each time it is restored from an older copy.

    Raises
    ------
    CodecError
        If the generation is not a whole number.
    """
    text = head.headers.get(names.STORE_GENERATION, "0").strip()
    if not (text.isascii() and text.isdigit()):
        raise CodecError(f"generation {text!r} of the store")
    return int(text)


def _decode(decoder: msgspec.json.Decoder, body: bytes, name: str) -> Any:
    try:
        return decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise CodecError(f"malformed {name}") from error


def _decode_item(item: _Item, generation: int) -> StoredItem:
    revision = make_revision(generation, item.rev)
    try:
        value = base64.b64decode(item.value or "", validate=True)
        return StoredItem(item.key, value, revision, item.create_revision)
    except (binascii.Error, ValueError):
        # The value is unusable, but the key and its revision are valid.
        return StoredItem(item.key, b"", revision)


def decode_range(body: bytes, generation: int = 0) -> RangePage:
    """Decode a page of a range read from a generation of the store.

    Raises
    ------
    CodecError
        If the answer is malformed.
    """
    page = _decode(_range_decoder, body, "range")
    items = [_decode_item(item, generation) for item in page.items]
    return RangePage(items, make_revision(generation, page.current_rev), page.has_more)


def decode_watch(body: bytes, generation: int = 0) -> StoreChanges:
    """Decode the changes returned by a watch of a generation of the store.

    Raises
    ------
    CodecError
        If the answer is malformed.
    """
    watch = _decode(_watch_decoder, body, "watch")
    items = [_decode_item(event, generation) for event in watch.events if not event.deleted]
    removed = [(event.key, make_revision(generation, event.rev)) for event in watch.events if event.deleted]
    return StoreChanges(items, removed, make_revision(generation, watch.current_rev))
