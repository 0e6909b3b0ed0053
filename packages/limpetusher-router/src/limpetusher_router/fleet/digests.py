"""Digests by which repeats of a request are recognised."""

import hashlib

from limpetusher_router.connection.framing import RequestHead

DIGEST_BYTES = 8


def request_digest(head: RequestHead, body: bytes, customer: str) -> str:
    """Return a digest of what a request asks for, the same at all routers and in all of its repeats.

    Method, host, request target, customer and body count. Headers do not, as they differ between repeats.
    """
    fields = (head.method, head.headers.get("host", "").lower(), head.target, customer)
    digest = hashlib.blake2b("\0".join(fields).encode("utf-8", "surrogateescape"), digest_size=DIGEST_BYTES)
    digest.update(b"\0")
    digest.update(body)
    return digest.hexdigest()
