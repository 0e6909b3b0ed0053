"""Decoding and encoding of the platform's headers in requests of callers and answers of targets."""

import math
import re
from dataclasses import dataclass

from limpetusher.fleet.model import PromptPart, Target, session_of
from limpetusher_router.connection.framing import AnswerHead, RequestHead
from limpetusher_router.platform import names

COUNT_PATTERN = re.compile("[0-9]{1,18}")
TOKENS_PATTERN = re.compile(r"\s*([0-9]{1,20})\s*,\s*([0-9]{1,20})\s*")
"""Numbers that are too large for messages are kept, as such requests are refused."""
MILLISECONDS_PER_SECOND = 1_000.0
MAXIMUM_BACKOFF_SECONDS = 60.0
"""Upper limit of a target's retry-after; a target that stops for good announces that it leaves."""
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers that apply to a single connection, or that the sender of a message sets itself."""


@dataclass(frozen=True, slots=True)
class RequestFields:
    """Header fields of a caller's request.

    `caller_request_id` identifies this attempt of the caller. `seconds_left` is how long the caller waits for
    the answer, None if the header is missing.
    """

    caller_request_id: str
    host: str
    path: str
    api_key: str | None
    seconds_left: float | None
    last_event_id: str | None
    resumed_request_id: str
    """Identifier of the request that brought the first event of the stream, empty if it is not named."""
    prompt_tokens: int
    output_tokens: int
    """Maximum number of generated tokens."""
    expected_output_tokens: int
    """Number of generated tokens that the caller expects. The estimate is often far off."""
    parts: tuple[PromptPart, ...]

    @property
    def session(self) -> str | None:
        """Return the id of the prompt part that identifies the session, None if the prompt has no parts."""
        return session_of(self.parts)


def decode_request(head: RequestHead) -> RequestFields:
    """Decode the header fields of a request; malformed hints are ignored."""
    headers = head.headers
    prompt_tokens, output_tokens = decode_tokens(headers.get(names.TOKENS, ""))
    return RequestFields(
        caller_request_id=headers.get(names.REQUEST_ID, ""),
        host=headers.get("host", "").partition(":")[0],
        path=head.target.partition("?")[0],
        api_key=headers.get(names.API_KEY),
        seconds_left=decode_seconds(headers.get(names.DEADLINE)),
        last_event_id=headers.get(names.LAST_EVENT_ID),
        resumed_request_id=headers.get(names.RESUMED_REQUEST_ID, ""),
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        expected_output_tokens=decode_count(headers.get(names.LENGTH_HINT), output_tokens),
        parts=decode_parts(headers.get(names.PROMPT_PARTS, "")),
    )


def decode_seconds(text: str | None) -> float | None:
    """Convert a header value in milliseconds to seconds, None if it is missing or not a number."""
    try:
        return max(0.0, float(text) / MILLISECONDS_PER_SECOND) if text is not None else None
    except ValueError:
        return None


def decode_tokens(text: str) -> tuple[int, int]:
    """Return the prompt tokens and the maximum output tokens, both 0 if they are missing or malformed."""
    match = TOKENS_PATTERN.fullmatch(text)
    return (int(match[1]), int(match[2])) if match is not None else (0, 0)


def decode_count(text: str | None, default: int) -> int:
    """Return a token count, or the default if it is missing or malformed."""
    return int(text) if text is not None and COUNT_PATTERN.fullmatch(text) else default


def decode_parts(text: str) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt in order, an empty tuple if any is malformed."""
    parts = []
    for entry in text.split(","):
        part_id, _, tokens = entry.strip().partition(":")
        if not COUNT_PATTERN.fullmatch(tokens):
            return ()
        parts.append(PromptPart(part_id, int(tokens)))
    return tuple(parts)


def end_to_end_headers(headers: dict[str, str]) -> dict[str, str]:
    """Return the headers of a message without its hop-by-hop headers."""
    connection_headers = {name.strip().lower() for name in headers.get("connection", "").split(",")}
    return {
        name: value
        for name, value in headers.items()
        if name not in HOP_BY_HOP_HEADERS and name not in connection_headers
    }


def encode_target_head(
    head: RequestHead,
    body_bytes: int,
    *,
    target: Target,
    customer: str | None,
    seconds_left: float,
    last_event_id: str | None,
    source: Target | None = None,
) -> bytes:
    """Encode the head of a request for a target, which may fetch cached prompt parts from `source`."""
    headers = {
        name: value
        for name, value in end_to_end_headers(head.headers).items()
        if name not in names.ROUTER_ONLY_HEADERS
    }
    headers[names.TARGET_ID] = target.target_id
    headers[names.DEADLINE] = str(max(1, int(seconds_left * MILLISECONDS_PER_SECOND)))
    if customer is not None:
        headers[names.CUSTOMER] = customer
    if last_event_id is not None:
        headers[names.LAST_EVENT_ID] = last_event_id
    if source is not None:
        headers[names.TRANSFER_SOURCE] = source.address
    if body_bytes or head.content_length or head.chunked or "content-length" in head.headers:
        headers["content-length"] = str(body_bytes)
    lines = [f"{head.method} {head.target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


def states_not_run(head: AnswerHead) -> bool:
    """Return whether the answer of a target states that the request did not run there."""
    return names.NOT_RUN in head.headers or head.status == names.MISDIRECTED_STATUS


def would_deny_run(head: AnswerHead) -> bool:
    """Return whether callers would take an answer for "not run" although its target does not state that."""
    return head.status in names.NOT_RUN_STATUSES and not states_not_run(head)


def announces_leaving(head: AnswerHead) -> bool:
    """Return whether a target announces that it is about to stop."""
    return head.headers.get(names.LEAVING, "0").strip() not in ("", "0")


def requested_backoff_seconds(head: AnswerHead) -> float:
    """Return for how many seconds a target that is not available asks to receive no requests."""
    if head.status != names.UNAVAILABLE_STATUS:
        return 0.0
    try:
        seconds = float(head.headers.get(names.RETRY_AFTER, "0"))
    except ValueError:
        return 0.0
    return min(seconds, MAXIMUM_BACKOFF_SECONDS) if seconds > 0 else 0.0


def announced_rate_limit(head: AnswerHead) -> float:
    """Return the requests per second that a target takes from all routers, infinite without a limit.

    Values that are not a number of at least 0 state no limit.
    """
    try:
        per_second = float(head.headers.get(names.REQUEST_RATE_LIMIT, "inf"))
    except ValueError:
        return math.inf
    return per_second if per_second >= 0 else math.inf


def has_seal(head: AnswerHead) -> bool:
    """Return whether an answer has the seal header that targets set."""
    return names.SEAL in head.headers


def error_headers(caller_request_id: str, retry_after_seconds: float | None) -> dict[str, str]:
    """Return the headers of an error answer of the router itself."""
    headers = {"content-type": "application/json"}
    if caller_request_id:
        headers[names.REQUEST_ID] = caller_request_id
    if retry_after_seconds is not None:
        headers[names.RETRY_AFTER] = f"{retry_after_seconds:.3f}"
    return headers
