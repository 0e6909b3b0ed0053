"""Caller of a router that checks that every answer is complete and belongs to its request."""

import enum
import hashlib
import json
import time
import urllib.parse
from dataclasses import dataclass, field

from limpetusher_standins import http_client
from limpetusher_standins.engine_answers import answer_text
from limpetusher_standins.http_client import IncompleteAnswerError, OpenAnswer

ROUTER_HEADER = "x-limpetusher-router"
TARGET_HEADER = "x-limpetusher-target"


class Outcome(enum.StrEnum):
    """Outcome of a request for its caller."""

    WHOLE = "whole"
    REFUSED = "refused"
    """An error answer that says whether the request ran."""
    CUT = "cut"
    """The answer ended early in a way that the caller can detect."""
    WRONG = "wrong"
    """The answer looked complete but was not the expected answer to the request."""
    NO_CONNECTION = "no_connection"


@dataclass(slots=True)
class CallResult:
    """Result of one request; times in seconds."""

    customer: str
    service: str
    outcome: Outcome = Outcome.CUT
    status: int | None = None
    code: str | None = None
    ran: str | None = None
    retry_after: float | None = None
    router: str = ""
    target: str = ""
    request_id: str = ""
    detail: str = ""
    started: float = field(default_factory=time.monotonic)
    started_wall: float = field(default_factory=time.time)
    first_byte_seconds: float | None = None
    seconds: float = 0.0
    prompt_tokens: int = 0
    generated_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Caller:
    """Sends requests of one customer to one router."""

    address: str
    customer: str
    authorization: str

    async def complete_chat(self, body: dict, *, headers: dict[str, str] | None = None) -> CallResult:
        """Send a chat-completions request, streamed if the body says so."""
        result = CallResult(self.customer, body["model"])
        check = check_stream if body.get("stream") else check_completion
        content = json.dumps(body).encode()
        await self.send_request(
            result, "POST", "/v1/chat/completions", content, headers, lambda data: check(data, body, result)
        )
        return result

    async def call_application(
        self,
        service: str,
        method: str,
        path: str,
        call_id: str,
        *,
        idempotency_key: str | None = None,
        headers: dict[str, str] | None = None,
    ) -> CallResult:
        """Send a call to an application service."""
        result = CallResult(self.customer, service)
        content = b"" if method == "GET" else json.dumps({"call_id": call_id}).encode()
        target = f"/apps/{service}{path}"
        if method == "GET":
            target += "?" + urllib.parse.urlencode({"call_id": call_id})
        extra = dict(headers or {})
        if idempotency_key is not None:
            extra["idempotency-key"] = idempotency_key

        def check(data: bytes) -> str:
            return check_application(data, call_id, method, path, content)

        await self.send_request(result, method, target, content, extra, check)
        return result

    async def send_request(self, result: CallResult, method, path, content, headers, check) -> None:
        """Send a request and fill in its result; `check` returns what is wrong with the answer, or ''."""
        all_headers = {
            "authorization": self.authorization,
            "content-type": "application/json",
            **(headers or {}),
        }
        try:
            async with http_client.open_request(
                self.address, method, path, body=content, headers=all_headers
            ) as answer:
                await self.read_answer(result, answer, check)
        except IncompleteAnswerError as error:
            result.outcome, result.detail = Outcome.CUT, str(error)
        except OSError as error:
            result.outcome, result.detail = Outcome.NO_CONNECTION, repr(error)
        result.seconds = time.monotonic() - result.started

    async def read_answer(self, result: CallResult, answer: OpenAnswer, check) -> None:
        """Read an answer and set the outcome."""
        result.status = answer.status
        result.router = answer.headers.get(ROUTER_HEADER, "")
        result.target = answer.headers.get(TARGET_HEADER, "")
        result.request_id = answer.headers.get("x-request-id", "")
        if "retry-after" in answer.headers:
            result.retry_after = float(answer.headers["retry-after"])
        data = bytearray()
        async for chunk in answer.chunks():
            if result.first_byte_seconds is None:
                result.first_byte_seconds = time.monotonic() - result.started
            data += chunk
        if answer.status != 200:
            parse_refusal(result, bytes(data))
            return
        try:
            problem = check(bytes(data))
        except StreamEndedEarlyError as error:
            result.outcome, result.detail = Outcome.CUT, str(error)
            result.code, result.ran = error.code, error.ran
            return
        except (ValueError, KeyError, IndexError, TypeError) as error:
            problem = f"malformed answer: {error!r}"
        result.outcome = Outcome.WRONG if problem else Outcome.WHOLE
        result.detail = problem


class StreamEndedEarlyError(Exception):
    """A stream ended without `[DONE]`, by an error event or without one."""

    def __init__(self, message: str, code: str | None = None, ran: str | None = None):
        super().__init__(message)
        self.code, self.ran = code, ran


def parse_refusal(result: CallResult, data: bytes) -> None:
    """Fill in a result from an error answer."""
    result.outcome = Outcome.REFUSED
    try:
        error = json.loads(data)["error"]
        result.code, result.ran, result.detail = error["code"], error["ran"], error["message"]
    except (ValueError, KeyError, TypeError):
        result.detail = f"error answer in an unknown form: {data[:200]!r}"


def check_completion(data: bytes, body: dict, result: CallResult) -> str:
    """Return what is wrong with an answer that is not streamed, or ''."""
    answer = json.loads(data)
    record_usage(result, answer["usage"])
    return describe_difference(answer["choices"][0]["message"]["content"], body)


def check_stream(data: bytes, body: dict, result: CallResult) -> str:
    """Return what is wrong with a streamed answer, or ''."""
    text, usage, done = [], None, False
    for block in data.decode().split("\n\n"):
        for line in block.splitlines():
            if not line.startswith("data:"):
                continue
            if done:
                return "events after [DONE]"
            payload = line.removeprefix("data:").strip()
            if payload == "[DONE]":
                done = True
                continue
            event = json.loads(payload)
            if "error" in event:
                error = event["error"]
                raise StreamEndedEarlyError(error.get("message", ""), error.get("code"), error.get("ran"))
            usage = event.get("usage") or usage
            text += [choice["delta"].get("content", "") for choice in event["choices"]]
    if not done:
        raise StreamEndedEarlyError("stream ended without [DONE] and without an error event")
    if usage is None:
        return "no usage"
    record_usage(result, usage)
    return describe_difference("".join(text), body)


def record_usage(result: CallResult, usage: dict) -> None:
    """Fill in the token counts of a result."""
    result.prompt_tokens = usage["prompt_tokens"]
    result.generated_tokens = usage["completion_tokens"]


def describe_difference(text: str, body: dict) -> str:
    """Return how a text differs from the answer to `body`, or ''."""
    expected = answer_text(body)
    return "" if text == expected else f"answer {text[:60]!r}, expected {expected[:60]!r}"


def check_application(data: bytes, call_id: str, method: str, path: str, content: bytes) -> str:
    """Return what is wrong with the answer of an application service, or ''."""
    answer = json.loads(data)
    expected = {
        "call_id": call_id,
        "method": method,
        "body_digest": hashlib.sha256(content).hexdigest(),
    }
    wrong = {name: answer.get(name) for name, value in expected.items() if answer.get(name) != value}
    if not answer["path"].endswith(path):
        wrong["path"] = answer["path"]
    return f"wrong fields {wrong}, expected {expected}" if wrong else ""
