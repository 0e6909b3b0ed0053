"""Encoding of messages between routers: msgpack with a protocol version and a keyed BLAKE2 tag.

A frame consists of the magic bytes, one byte of protocol version, the authentication tag and the msgpack
body. The tag covers the whole frame except itself. A frame is authenticated before its body is parsed.
"""

import hashlib
import hmac
from dataclasses import dataclass

import msgspec

from limpetusher.errors import CodecError
from limpetusher.wire.messages import PeerPayload

PROTOCOL_VERSION = 1
MAXIMUM_MESSAGE_BYTES = 1_500_000
MINIMUM_KEY_BYTES = 16
MAGIC = b"LTR"
TAG_BYTES = 32
TAG_PERSONALISATION = b"limpetusher-peer"
HEADER_BYTES = len(MAGIC) + 1 + TAG_BYTES


class _Body(msgspec.Struct, frozen=True, array_like=True):
    sender: str
    incarnation: int
    payload: PeerPayload


@dataclass(frozen=True, slots=True)
class Envelope:
    """Authenticated message with the identifier and the incarnation of its sender."""

    sender: str
    incarnation: int
    payload: PeerPayload


class Codec:
    """Encodes and decodes messages between routers.

    Parameters
    ----------
    key
        Secret shared by the routers of the fleet, at least 16 bytes.
    protocol_version
        Version written to frames, and the only one accepted, 0 to 255.
    maximum_bytes
        Size of the largest frame written or accepted.

    Raises
    ------
    ValueError
        If the key is too short or the protocol version is out of range.
    """

    def __init__(
        self,
        key: bytes,
        *,
        protocol_version: int = PROTOCOL_VERSION,
        maximum_bytes: int = MAXIMUM_MESSAGE_BYTES,
    ):
        if len(key) < MINIMUM_KEY_BYTES:
            raise ValueError(f"peer key has {len(key)} bytes, at least {MINIMUM_KEY_BYTES} are required")
        if not 0 <= protocol_version <= 255:
            raise ValueError(f"protocol version {protocol_version} is not between 0 and 255")
        # BLAKE2b takes keys of up to 64 bytes, so longer ones are hashed first.
        self.key = key if len(key) <= hashlib.blake2b.MAX_KEY_SIZE else hashlib.blake2b(key).digest()
        self.prefix = MAGIC + bytes([protocol_version])
        self.maximum_bytes = maximum_bytes
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder = msgspec.msgpack.Decoder(_Body)

    def encode(self, payload: PeerPayload, *, sender: str, incarnation: int) -> bytes:
        """Encode a message as a frame.

        Raises
        ------
        CodecError
            With reason `oversized` if the frame exceeds the size limit.
        """
        body = self.encoder.encode(_Body(sender, incarnation, payload))
        if HEADER_BYTES + len(body) > self.maximum_bytes:
            raise CodecError("oversized")
        return self.prefix + self._compute_tag(body) + body

    def decode(self, frame: bytes) -> Envelope:
        """Authenticate a frame and decode its message.

        Raises
        ------
        CodecError
            With reason `oversized`, `foreign` (not a frame of this protocol), `version`,
            `unauthenticated` or `malformed`.
        """
        self._check_header(frame)
        tag = frame[len(self.prefix) : HEADER_BYTES]
        body = frame[HEADER_BYTES:]
        if not hmac.compare_digest(tag, self._compute_tag(body)):
            raise CodecError("unauthenticated")
        try:
            decoded = self.decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            raise CodecError("malformed") from None
        return Envelope(decoded.sender, decoded.incarnation, decoded.payload)

    def _check_header(self, frame: bytes) -> None:
        if len(frame) > self.maximum_bytes:
            raise CodecError("oversized")
        if len(frame) < HEADER_BYTES or not frame.startswith(MAGIC):
            raise CodecError("foreign")
        if not frame.startswith(self.prefix):
            raise CodecError("version")

    def _compute_tag(self, body: bytes) -> bytes:
        digest = hashlib.blake2b(self.prefix, key=self.key, digest_size=TAG_BYTES, person=TAG_PERSONALISATION)
        digest.update(body)
        return digest.digest()
