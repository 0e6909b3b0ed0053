"""The copy of the platform's store that one router hands to another."""

import msgspec

from limpetusher.errors import CodecError
from limpetusher.fleet.version.mirror import StoreMirror


class CopiedItem(msgspec.Struct, frozen=True, array_like=True):
    """An item in a copy."""

    key: str
    value: bytes
    revision: int


class StoreCopy(msgspec.Struct, frozen=True, array_like=True):
    """Everything that a router knows of the store as of a revision."""

    items: list[CopiedItem]
    revision: int


class EncodedCopy:
    """A router's copy as bytes, the same ones for all peers while nothing changes.

    Parameters
    ----------
    mirror
        The copy that is encoded.
    """

    def __init__(self, mirror: StoreMirror):
        self.mirror = mirror
        self.revision: int | None = None
        """Revision of `encoded`, None where the copy has changed since."""
        self.encoded = b""

    def forget(self) -> None:
        """Note that the copy has changed."""
        self.revision = None

    def data(self) -> bytes:
        """Return the copy as bytes."""
        if self.revision != self.mirror.revision:
            items = [CopiedItem(item.key, item.value, item.revision) for item in self.mirror.items.values()]
            self.encoded = msgspec.msgpack.encode(StoreCopy(items, self.mirror.revision))
            self.revision = self.mirror.revision
        return self.encoded


def decode_copy(data: bytes) -> StoreCopy:
    """Return the copy of a peer.

    Raises
    ------
    CodecError
        If the copy is malformed.
    """
    try:
        return msgspec.msgpack.decode(data, type=StoreCopy)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise CodecError("malformed copy") from error
