"""Encoding of the copy of the platform's store that one router fetches from another."""

import msgspec

from limpetusher.errors import CodecError
from limpetusher.fleet.version.mirror import StoreMirror


class CopiedItem(msgspec.Struct, frozen=True, array_like=True):
    """An item of the store with its revision."""

    key: str
    value: bytes
    revision: int


class StoreCopy(msgspec.Struct, frozen=True, array_like=True):
    """All items of the store as of a revision."""

    items: list[CopiedItem]
    revision: int


class StoreCopyEncoder:
    """Encodes a router's copy of the store, and keeps the result until the copy changes.

    Parameters
    ----------
    mirror
        Copy to encode.
    """

    def __init__(self, mirror: StoreMirror):
        self.mirror = mirror
        self.revision: int | None = None
        """Revision of `encoded`, None if the copy has changed since."""
        self.encoded = b""

    def invalidate(self) -> None:
        """Discard the result, as the copy has changed."""
        self.revision = None

    def encode(self) -> bytes:
        """Return the encoded copy."""
        if self.revision != self.mirror.revision:
            items = [CopiedItem(item.key, item.value, item.revision) for item in self.mirror.items.values()]
            self.encoded = msgspec.msgpack.encode(StoreCopy(items, self.mirror.revision))
            self.revision = self.mirror.revision
        return self.encoded


def decode_copy(data: bytes) -> StoreCopy:
    """Return the decoded copy of a peer.

    Raises
    ------
    CodecError
        If the copy is malformed.
    """
    try:
        return msgspec.msgpack.decode(data, type=StoreCopy)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise CodecError("malformed copy") from error
