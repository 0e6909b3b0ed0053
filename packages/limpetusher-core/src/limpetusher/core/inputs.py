"""Inputs of the decision core. Every input is handled at a given monotonic time, in seconds."""

import enum
from dataclasses import dataclass

from limpetusher.configuration.compiled import Configuration, HostList
from limpetusher.wire.messages import PeerPayload


class Outcome(enum.StrEnum):
    """How one attempt at a target ended."""

    COMPLETE = "complete"
    """The whole answer arrived."""
    NOT_SENT = "not_sent"
    """No byte of the request was written to the target."""
    REJECTED_NOT_RUN = "rejected_not_run"
    """The target answered that it did not run the request."""
    CUT_BEFORE_OUTPUT = "cut_before_output"
    """The connection broke after sending; nothing was passed on to the caller."""
    CUT_AFTER_OUTPUT = "cut_after_output"
    """The connection broke after part of the answer was passed on to the caller."""
    CANCELLED = "cancelled"
    """The caller closed its connection and the attempt was cancelled."""


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A caller's request that has been parsed and authenticated, and that its customer may make."""

    request_id: str
    customer: str
    service: str
    idempotent: bool
    patience_seconds: float
    prompt_cost: float
    cost_hint: float | None = None
    prefix: bytes | None = None
    idempotency_key: str | None = None
    body_digest: bytes = b""


@dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller closed its connection before the answer ended."""

    request_id: str


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """The first byte of the answer was passed on to the caller."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class ResponseProgress:
    """A streamed answer has progressed; `generated_cost` is the total cost generated so far."""

    request_id: str
    attempt: int
    generated_cost: float


@dataclass(frozen=True, slots=True)
class ResponseEnded:
    """An attempt ended. `cost` is its final cost (prompt and generation), None when unknown.

    `body` is the answer to a request with an idempotency key if it arrived completely and is short enough to
    be kept for replay, else None.
    """

    request_id: str
    attempt: int
    outcome: Outcome
    cost: float | None = None
    status: int | None = None
    content_type: str = ""
    body: bytes | None = None


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """An authenticated message from another router."""

    sender: str
    incarnation: int
    payload: PeerPayload


@dataclass(frozen=True, slots=True)
class ConfigurationReceived:
    """A validated configuration, from the platform or from a peer."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class HostListReceived:
    """A host list from the platform."""

    host_list: HostList


@dataclass(frozen=True, slots=True)
class LoadReported:
    """A target's load report. `report_age_seconds` is the maximum age of its figures.

    `loaded_models` has entries `MODEL@VERSION`, with `+ADAPTER` at the end for an adapter. `role` is None
    when the target does not report it.
    """

    target_id: str
    running: int
    warm: bool
    boot_id: str
    report_age_seconds: float
    highest_fencing_number: int = 0
    loaded_models: tuple[str, ...] = ()
    role: str | None = None


@dataclass(frozen=True, slots=True)
class LoadReportFailed:
    """A load report could not be read."""

    target_id: str


@dataclass(frozen=True, slots=True)
class OrderAnswered:
    """A target accepted or refused an order."""

    target_id: str
    fencing_number: int
    accepted: bool


@dataclass(frozen=True, slots=True)
class TimerDue:
    """The wake-up time that the core requested has been reached."""


@dataclass(frozen=True, slots=True)
class StopRequested:
    """The process was asked to stop."""


Input = (
    RequestArrived
    | CallerGone
    | ResponseStarted
    | ResponseProgress
    | ResponseEnded
    | PeerMessage
    | ConfigurationReceived
    | HostListReceived
    | LoadReported
    | LoadReportFailed
    | OrderAnswered
    | TimerDue
    | StopRequested
)
