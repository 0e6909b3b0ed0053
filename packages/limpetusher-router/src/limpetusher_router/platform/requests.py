"""Callers' requests and targets' answers as the platform spells them."""

from dataclasses import dataclass

from limpetusher.fleet.model import PromptPart, Target, session_of
from limpetusher_router.connection.framing import AnswerHead, RequestHead
from limpetusher_router.platform import names

MILLISECONDS = 1_000.0
LONGEST_REST_SECONDS = 60.0
"""Longer times are not believed; a target that wants to stop for good leaves."""
CONNECTION_HEADERS = frozenset(
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
"""Headers that concern one connection only, or that the sender of a message sets itself."""


@dataclass(frozen=True, slots=True)
class RequestFields:
    """What a caller says about its request.

    `caller_request_id` names this attempt of the caller. `seconds_left` is how long it waits, None if it does
    not say.
    """

    caller_request_id: str
    host: str
    path: str
    api_key: str | None
    seconds_left: float | None
    last_event_id: str | None
    prompt_tokens: int
    output_tokens: int
    """Most generated tokens."""
    expected_output: int
    """Generated tokens that the caller expects; often far off."""
    parts: tuple[PromptPart, ...]

    @property
    def session(self) -> str | None:
        """Return the part that decides where the request is at home, None if the prompt has no parts."""
        return session_of(self.parts)


def decode_request(head: RequestHead) -> RequestFields:
    """Return what a request says about itself; hints that can't be read are left out."""
    headers = head.headers
    prompt_tokens, output_tokens = decode_tokens(headers.get(names.TOKENS, ""))
    return RequestFields(
        caller_request_id=headers.get(names.REQUEST_ID, ""),
        host=headers.get("host", "").partition(":")[0],
        path=head.target.partition("?")[0],
        api_key=headers.get(names.API_KEY),
        seconds_left=decode_seconds(headers.get(names.DEADLINE)),
        last_event_id=headers.get(names.LAST_EVENT_ID),
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        expected_output=decode_count(headers.get(names.LENGTH_HINT), output_tokens),
        parts=decode_parts(headers.get(names.PROMPT_PARTS, "")),
    )


def decode_seconds(text: str | None) -> float | None:
    """Return a time in milliseconds as seconds, None where it is no time."""
    try:
        return max(0.0, float(text) / MILLISECONDS) if text is not None else None
    except ValueError:
        return None


def decode_tokens(text: str) -> tuple[int, int]:
    """Return prompt tokens and the most output tokens; 0 where they are not given."""
    prompt, _, output = text.partition(",")
    try:
        return int(prompt), int(output)
    except ValueError:
        return 0, 0


def decode_count(text: str | None, default: int) -> int:
    """Return a count of tokens, the default where it is missing or can't be read."""
    return int(text) if text is not None and text.isdigit() else default


def decode_parts(text: str) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt in order; none where they can't be read."""
    parts = []
    for entry in text.split(","):
        part_id, _, tokens = entry.strip().partition(":")
        if not tokens.isdigit():
            return ()
        parts.append(PromptPart(part_id, int(tokens)))
    return tuple(parts)


def passed_headers(headers: dict[str, str]) -> dict[str, str]:
    """Return the headers of a message that are passed on."""
    named = {name.strip().lower() for name in headers.get("connection", "").split(",")}
    return {
        name: value for name, value in headers.items() if name not in CONNECTION_HEADERS and name not in named
    }


def encode_target_request(
    head: RequestHead,
    body: bytes,
    *,
    target: Target,
    customer: str | None,
    seconds_left: float,
    last_event_id: str | None,
    source: Target | None = None,
) -> bytes:
    """Return the request as it is sent to a target, which may take kept parts of the prompt from a source."""
    headers = {
        name: value
        for name, value in passed_headers(head.headers).items()
        if name not in names.SET_BY_ROUTER_ONLY
    }
    headers[names.TARGET_ID] = target.target_id
    headers[names.DEADLINE] = str(max(1, int(seconds_left * MILLISECONDS)))
    if customer is not None:
        headers[names.CUSTOMER] = customer
    if last_event_id is not None:
        headers[names.LAST_EVENT_ID] = last_event_id
    if source is not None:
        headers[names.TRANSFER_SOURCE] = source.address
    if body or head.content_length or head.chunked or "content-length" in head.headers:
        headers["content-length"] = str(len(body))
    lines = [f"{head.method} {head.target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def says_not_run(head: AnswerHead) -> bool:
    """Return whether a target's answer says that the request did not run there."""
    return names.NOT_RUN in head.headers or head.status == names.MISDIRECTED_STATUS


def is_leaving(head: AnswerHead) -> bool:
    """Return whether a target says that it is about to stop."""
    return head.headers.get(names.LEAVING, "0").strip() not in ("", "0")


def announced_rest(head: AnswerHead) -> float:
    """Return for how many seconds a target that has turned a request away wants no more of them."""
    if head.status != names.UNAVAILABLE_STATUS or not says_not_run(head):
        return 0.0
    try:
        seconds = float(head.headers.get(names.RETRY_AFTER, "0"))
    except ValueError:
        return 0.0
    return min(seconds, LONGEST_REST_SECONDS) if seconds > 0 else 0.0


def is_sealed(head: AnswerHead) -> bool:
    """Return whether an answer bears its target's seal."""
    return names.SEAL in head.headers


def error_headers(caller_request_id: str, retry_after_seconds: float | None) -> dict[str, str]:
    """Return the headers of the router's own error answer."""
    headers = {"content-type": "application/json"}
    if caller_request_id:
        headers[names.REQUEST_ID] = caller_request_id
    if retry_after_seconds is not None:
        headers[names.RETRY_AFTER] = f"{retry_after_seconds:.3f}"
    return headers
