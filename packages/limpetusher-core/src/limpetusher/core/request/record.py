"""State of one caller's request from its arrival to its end."""

import enum
from dataclasses import dataclass, field
from typing import NamedTuple

from limpetusher.core.inputs import RequestArrived


class RequestState(enum.Enum):
    """Stages of a request."""

    REGISTERING = "registering"
    """Its idempotency key is being registered with witnesses."""
    WAITING = "waiting"
    """It waits in the queue for a grant."""
    RUNNING = "running"
    """It was handed to the process for dispatch and has not ended."""


class Bucket(NamedTuple):
    """Customer and service: the unit in which waiting requests are queued and offered."""

    customer: str
    service: str


@dataclass(frozen=True, slots=True)
class UsedGrant:
    """The grant under which a request runs. `owner` is the router that issued it."""

    grant_id: str
    target_id: str
    owner: str
    send_before: float


@dataclass(slots=True)
class RequestRecord:
    """A caller's request and its state.

    `attempt` counts the dispatches so far, `sent_attempts` those in which a byte may have reached a target.
    `may_have_run` stays set even if a later attempt did not run.
    """

    request: RequestArrived
    arrived_at: float
    deadline: float
    state: RequestState = RequestState.WAITING
    preferred: tuple[str, ...] = ()
    attempt: int = 0
    sent_attempts: int = 0
    offered_to: str | None = None
    grant: UsedGrant | None = None
    progress_cost: float = 0.0
    output_started: bool = False
    may_have_run: bool = False
    caller_gone: bool = False
    bucket: Bucket = field(init=False)

    def __post_init__(self) -> None:
        self.bucket = Bucket(self.request.customer, self.request.service)

    @property
    def request_id(self) -> str:
        """Return the request's identifier."""
        return self.request.request_id

    @property
    def requires_registration(self) -> bool:
        """Return whether the request's key is registered with witnesses before it is sent."""
        return not self.request.idempotent and self.request.idempotency_key is not None
