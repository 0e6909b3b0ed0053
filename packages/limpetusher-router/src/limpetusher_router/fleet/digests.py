"""Digests by which repeats of a request are recognised."""

import hashlib

from limpetusher.fleet.model import PromptPart
from limpetusher.fleet.version.routing import stable_hash
from limpetusher_router.connection.framing import RequestHead

DIGEST_BYTES = 8


def stream_identifier(customer: str, caller_request_id: str) -> int:
    """Return the identifier of a stream that begins in the answer to a request, the same at all routers."""
    return stable_hash(customer, caller_request_id)


def request_digest(
    head: RequestHead, body: bytes | memoryview, customer: str, parts: tuple[PromptPart, ...] = ()
) -> str:
    """Return a digest of what a request asks for, the same at all routers and in all of its repeats.

    Method, host, request target, customer, prompt parts and body count. Other headers do not, as they differ
    between repeats.
    """
    fields = (head.method, head.headers.get("host", "").lower(), head.target, customer)
    part_ids = (part.part_id for part in parts)
    text = "\0".join((*fields, *part_ids))
    digest = hashlib.blake2b(text.encode("utf-8", "surrogateescape"), digest_size=DIGEST_BYTES)
    digest.update(b"\0")
    digest.update(body)
    return digest.hexdigest()
