"""Actions that the decision core returns and that its process carries out in order."""

from dataclasses import dataclass

from limpetusher.core.refusals import Ran, RefusalCode
from limpetusher.events import Event
from limpetusher.wire.messages import PeerPayload


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Send the request to the target if its first byte can be written before `send_before`.

    `send_before` is a reading of the monotonic clock. When it has passed, the process answers with
    `ResponseEnded(outcome=NOT_SENT)`.
    """

    request_id: str
    attempt: int
    target_id: str
    address: str
    send_before: float


@dataclass(frozen=True, slots=True)
class CancelDispatch:
    """Cancel an attempt at its target and close the connection."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer the caller with an error, or end a stream that has begun by an error event."""

    request_id: str
    status: int
    code: RefusalCode
    message: str
    ran: Ran
    retry_after_seconds: float | None = None


@dataclass(frozen=True, slots=True)
class Replay:
    """Answer the caller with the kept answer of an earlier attempt for the same idempotency key."""

    request_id: str
    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """Send a message to another router; it may be lost."""

    peer: str
    address: str
    payload: PeerPayload


@dataclass(frozen=True, slots=True)
class WatchConfiguration:
    """Start or stop watching the configuration service."""

    active: bool


@dataclass(frozen=True, slots=True)
class OrderTarget:
    """Order an engine to load a model, adapter and version or to change its role."""

    target_id: str
    address: str
    fencing_number: int
    model: str
    version: str
    adapter: str | None
    role: str


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Write a numbered log event with its fields."""

    event: Event
    fields: dict[str, object]


@dataclass(frozen=True, slots=True)
class Stopped:
    """All work is finished; the process may exit."""


Action = (
    Dispatch
    | CancelDispatch
    | Refuse
    | Replay
    | SendToPeer
    | WatchConfiguration
    | OrderTarget
    | LogEvent
    | Stopped
)
