"""Typed results of `KeyProtocol`, which the decision core turns into actions."""

from dataclasses import dataclass

from limpetusher.core.actions import Replay
from limpetusher.core.refusals import Ran, RefusalCode
from limpetusher.wire.messages import PeerPayload


@dataclass(frozen=True, slots=True)
class SendKeyMessage:
    """Send a message to another router; it may be lost."""

    peer: str
    payload: PeerPayload


@dataclass(frozen=True, slots=True)
class AttemptAdmitted:
    """A majority has recorded the attempt, which may be sent before the monotonic time `send_before`.

    `KeyProtocol.send_before` returns the present limit, which is extended while the request waits.
    """

    request_id: str
    attempt_id: str
    send_before: float


@dataclass(frozen=True, slots=True)
class AttemptRejected:
    """The request must not be sent; answer the caller with this error."""

    request_id: str
    status: int
    code: RefusalCode
    message: str
    ran: Ran
    retry_after_seconds: float | None = None


@dataclass(frozen=True, slots=True)
class WitnessReady:
    """The router may now act as a witness of every key."""


KeyProtocolResult = SendKeyMessage | AttemptAdmitted | AttemptRejected | Replay | WitnessReady
