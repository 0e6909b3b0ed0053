"""Decoding of the few header fields by which requests are shed, and encoding of the answer to a shed one."""

from dataclasses import dataclass

from limpetusher.core.refusals import Ran
from limpetusher_router.connection.framing import RequestHead
from limpetusher_router.platform import names
from limpetusher_router.platform.requests import decode_seconds
from limpetusher_router.request.answers import ErrorBody, ErrorDocument, encode_error

SHED_CODE = "overloaded"
SHED_MESSAGE = "this host has more requests than it can handle"


@dataclass(frozen=True, slots=True)
class SheddingFields:
    """Header fields that decide whether a request is shed.

    `kind` stands for the route, which is not looked up: host and first segment of the path.
    """

    api_key: str
    kind: tuple[str, str]
    seconds_left: float | None
    is_continued_stream: bool


def decode_shedding_fields(head: RequestHead) -> SheddingFields:
    """Decode the fields of a request head."""
    headers = head.headers
    return SheddingFields(
        api_key=headers.get(names.API_KEY, ""),
        kind=(headers.get("host", ""), head.path[1:].partition("/")[0]),
        seconds_left=decode_seconds(headers.get(names.DEADLINE)),
        is_continued_stream=names.LAST_EVENT_ID in headers,
    )


def encode_shed_answer(head: RequestHead, retry_after_seconds: float, *, closes: bool) -> bytes:
    """Encode the answer to a request that was shed, which has not run."""
    request_id = head.headers.get(names.REQUEST_ID, "")
    body = encode_error(ErrorDocument(ErrorBody(SHED_CODE, SHED_MESSAGE, request_id, Ran.NO)))
    lines = ["HTTP/1.1 503 Service Unavailable", "content-type: application/json"]
    if request_id:
        lines.append(f"{names.REQUEST_ID}: {request_id}")
    lines += [f"{names.RETRY_AFTER}: {retry_after_seconds:.3f}", f"content-length: {len(body)}"]
    if closes:
        lines.append("connection: close")
    elif head.version == (1, 0):
        lines.append("connection: keep-alive")
    answer = "\r\n".join([*lines, "", ""]).encode("latin-1")
    return answer if head.method == "HEAD" else answer + body
