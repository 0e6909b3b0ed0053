"""Encoding of the copy of the platform's store that one router fetches from another."""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from limpetusher.errors import CodecError
from limpetusher.fleet.version.mirror import Change, StoredItem, StoreMirror
from limpetusher_router.platform import names


@dataclass(frozen=True, slots=True)
class ConfigurationInForce:
    """Version of the configuration in force, 0 for none, and its document."""

    version: int = 0
    document: bytes = b""


class CopiedItem(msgspec.Struct, frozen=True, array_like=True):
    """An item of the store with its revision."""

    key: str
    value: bytes
    revision: int
    created_revision: int = 0


class StoreCopy(msgspec.Struct, frozen=True, array_like=True):
    """All items of the store as of a revision, and the configuration in force at the router.

    After a restore, the configuration in force is newer than that of the items until it is written again.
    """

    items: list[CopiedItem]
    revision: int
    configuration: bytes = b""


class StoreCopyEncoder:
    """Encodes a router's copy of the store, and keeps the result until the copy changes.

    Parameters
    ----------
    mirror
        Copy to encode.
    configuration
        Returns the configuration in force.
    """

    def __init__(
        self, mirror: StoreMirror, configuration: Callable[[], ConfigurationInForce] = ConfigurationInForce
    ):
        self.mirror = mirror
        self.configuration = configuration
        self.encoded_state: tuple[int, int] | None = None
        """Revision and version of the configuration in `encoded`, None if the copy has changed."""
        self.encoded = b""

    def invalidate(self) -> None:
        """Discard the result, as the copy has changed."""
        self.encoded_state = None

    def encode(self) -> bytes:
        """Return the encoded copy."""
        configuration = self.configuration()
        state = self.mirror.revision, configuration.version
        if self.encoded_state != state:
            items = [
                CopiedItem(item.key, item.value, item.revision, item.created_revision)
                for item in self.mirror.items.values()
            ]
            copy = StoreCopy(items, self.mirror.revision, configuration.document)
            self.encoded = msgspec.msgpack.encode(copy)
            self.encoded_state = state
        return self.encoded


def configuration_change(copy: StoreCopy) -> Change:
    """Return the configuration in force at the router that has sent a copy, as a change of the store."""
    key = names.CONFIGURATION_KEY
    return Change(key, StoredItem(key, copy.configuration, copy.revision))


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
