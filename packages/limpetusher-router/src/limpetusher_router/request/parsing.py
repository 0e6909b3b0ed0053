"""Parsing of callers' HTTP requests into the properties that the decision core uses."""

import hashlib
import re
from dataclasses import dataclass

import msgspec

from limpetusher.configuration.compiled import Configuration, Customer, Route, Service, TargetKind
from limpetusher.core.refusals import RefusalCode
from limpetusher.core.settings import PolicySettings
from limpetusher_router.connection.framing import RequestHead
from limpetusher_router.errors import RequestError

COMPLETIONS_PATH = "/v1/chat/completions"
APPLICATIONS_PREFIX = "/apps/"
CHARACTERS_PER_TOKEN = 4
PREFIX_BYTES = 1024
PREFIX_MESSAGES = 2
PREFIX_DIGEST_BYTES = 8
BODY_DIGEST_BYTES = 16
IDEMPOTENCY_KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,200}")
DOT_SEGMENTS = frozenset({".", "..", "%2e", "%2e%2e", ".%2e", "%2e."})


class CompletionsBody(msgspec.Struct):
    """The fields of a chat-completions body that the router uses; others are forwarded unchanged."""

    model: str
    messages: list[msgspec.Raw]
    stream: bool | None = None
    max_tokens: int | None = None


COMPLETIONS_DECODER = msgspec.json.Decoder(CompletionsBody)


@dataclass(frozen=True, slots=True)
class ServiceRequest:
    """A request for a service. `target_path` is the path and query at the target.

    `prompt_cost` and `cost_hint` are in cost units; the hint covers prompt and generation. `prefix` is a
    digest of the start of the prompt.
    """

    service: Service
    method: str
    target_path: str
    idempotent: bool
    stream: bool
    prompt_cost: float
    cost_hint: float | None
    prefix: bytes | None
    idempotency_key: str | None
    body_digest: bytes

    @property
    def is_engine(self) -> bool:
        """Return whether the request is for a model."""
        return self.service.kind is TargetKind.ENGINE


def not_found(message: str) -> RequestError:
    """Return the error for a path, model or service that the customer has no access to."""
    return RequestError(404, RefusalCode.UNKNOWN_SERVICE, message)


def parse_service_request(
    head: RequestHead,
    body: bytes,
    *,
    customer: Customer,
    configuration: Configuration,
    policy: PolicySettings,
) -> ServiceRequest:
    """Return the parsed request of a customer.

    Raises
    ------
    RequestError
        If the path, the model, the service or the body is not acceptable.
    """
    if head.path == COMPLETIONS_PATH:
        return parse_completions_request(
            head, body, customer=customer, configuration=configuration, policy=policy
        )
    if head.path.startswith(APPLICATIONS_PREFIX):
        return parse_application_request(head, body, customer=customer, configuration=configuration)
    raise not_found(
        f"there is no path {head.path!r}; allowed: {COMPLETIONS_PATH} and {APPLICATIONS_PREFIX}..."
    )


def find_service(name: str, kind: TargetKind, customer: Customer, configuration: Configuration) -> Service:
    """Return a service that the customer may use.

    The error is the same for a service of other customers and for one that does not exist.
    """
    service = configuration.services.get(name)
    if service is None or service.kind is not kind or name not in customer.services:
        raise not_found(f"there is no {'model' if kind is TargetKind.ENGINE else 'service'} {name!r}")
    return service


def parse_completions_request(
    head: RequestHead,
    body: bytes,
    *,
    customer: Customer,
    configuration: Configuration,
    policy: PolicySettings,
) -> ServiceRequest:
    """Return the parsed request for a model."""
    if head.method != "POST":
        raise RequestError(
            400, RefusalCode.BAD_REQUEST, f"the method is {head.method} at {COMPLETIONS_PATH}; allowed: POST"
        )
    try:
        fields = COMPLETIONS_DECODER.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise RequestError(400, RefusalCode.BAD_REQUEST, f"the body is not acceptable: {error}") from error
    if not fields.messages:
        raise RequestError(400, RefusalCode.BAD_REQUEST, "messages is empty; allowed: at least one message")
    if fields.max_tokens is not None and fields.max_tokens < 1:
        raise RequestError(
            400, RefusalCode.BAD_REQUEST, f"max_tokens is {fields.max_tokens}; allowed: at least 1"
        )
    service = find_service(fields.model, TargetKind.ENGINE, customer, configuration)
    prompt_tokens = sum(len(bytes(message)) for message in fields.messages) / CHARACTERS_PER_TOKEN
    prompt_cost = prompt_tokens * policy.prompt_token_cost
    return ServiceRequest(
        service=service,
        method="POST",
        target_path=COMPLETIONS_PATH,
        idempotent=True,
        stream=bool(fields.stream),
        prompt_cost=prompt_cost,
        cost_hint=prompt_cost + fields.max_tokens if fields.max_tokens is not None else None,
        prefix=prefix_digest(fields),
        idempotency_key=None,
        body_digest=b"",
    )


def prefix_digest(fields: CompletionsBody) -> bytes:
    """Return a digest of the start of the prompt, used to prefer targets that have this prefix cached.

    Only the first messages are included, so that the digest is stable while a conversation grows.
    """
    prompt_start = b"".join(bytes(message) for message in fields.messages[:PREFIX_MESSAGES])[:PREFIX_BYTES]
    digest = hashlib.blake2b(fields.model.encode(), digest_size=PREFIX_DIGEST_BYTES)
    digest.update(prompt_start)
    return digest.digest()


def parse_application_request(
    head: RequestHead, body: bytes, *, customer: Customer, configuration: Configuration
) -> ServiceRequest:
    """Return the parsed request for an application service."""
    name, separator, rest = head.path.removeprefix(APPLICATIONS_PREFIX).partition("/")
    path = separator + rest
    if any(segment.lower() in DOT_SEGMENTS for segment in path.split("/")):
        raise RequestError(400, RefusalCode.BAD_REQUEST, "the path has a segment `.` or `..`")
    service = find_service(name, TargetKind.APPLICATION, customer, configuration)
    route = find_route(service, head.method, path)
    if route is None:
        raise not_found(f"service {name!r} has no route {head.method} {path or '/'}")
    key = head.headers.get("idempotency-key")
    if key is not None and not IDEMPOTENCY_KEY_PATTERN.fullmatch(key):
        allowed = "1 to 200 visible ASCII characters"
        raise RequestError(400, RefusalCode.BAD_REQUEST, f"idempotency-key is {key!r}; allowed: {allowed}")
    target_path = path or "/"
    if head.query:
        target_path += f"?{head.query}"
    digest = hashlib.blake2b(f"{head.method} {name} {target_path}\n".encode(), digest_size=BODY_DIGEST_BYTES)
    digest.update(body)
    return ServiceRequest(
        service=service,
        method=head.method,
        target_path=target_path,
        idempotent=route.idempotent,
        stream=False,
        prompt_cost=0.0,
        cost_hint=None,
        prefix=None,
        idempotency_key=key,
        body_digest=digest.digest(),
    )


def find_route(service: Service, method: str, path: str) -> Route | None:
    """Return the matching route with the longest path prefix; prefixes match whole path segments."""
    matching = [
        route
        for route in service.routes
        if route.method == method and is_path_within(path or "/", route.path_prefix.rstrip("/"))
    ]
    return max(matching, key=lambda route: len(route.path_prefix), default=None)


def is_path_within(path: str, prefix: str) -> bool:
    """Return whether `path` equals `prefix` or is a path below it."""
    return path == prefix or path.startswith(f"{prefix}/")
