"""Messages between the components of the router process.

Messages are circuits events. Each component owns its sockets and its state, and handles the messages that are
fired on its channel.
"""

from __future__ import annotations

import enum
from collections.abc import Hashable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from circuits.core import Event, Value

from limpetusher_router.connection.framing import AnswerHead, RequestHead

if TYPE_CHECKING:
    # The platform router does not load the lease-based decision core, so these are imported for types only.
    from limpetusher.configuration.compiled import Configuration
    from limpetusher.core.inputs import Input

CALLERS = "callers"
TARGETS = "targets"
PEERS = "peers"
REQUESTS = "requests"
ANSWERS = "answers"
CORE = "core"
STORE = "store"
DATAGRAMS = "datagrams"
PEER_EXCHANGE = "exchange"
READINESS = "readiness"
PAGES = "pages"
METRICS = "metrics"
CONFIGURATION = "configuration"
HOSTS = "hosts"
LOADS = "loads"
ORDERS = "orders"
PROCESS = "process"


class AttemptResult(enum.Enum):
    """How an HTTP exchange with a target or the platform ended."""

    COMPLETE = "complete"
    """The whole answer arrived, as its content length or its last chunk shows."""
    CLOSED = "closed"
    """The answer had no content length and ended when the connection was closed."""
    EXPIRED = "expired"
    """No byte was sent because `Attempt.send_before` had passed."""
    NOT_STARTED = "not started"
    """No byte was sent because this process could not open a socket; it says nothing of the target."""
    UNREACHABLE = "unreachable"
    """No byte was sent because no connection could be opened."""
    CUT = "cut"
    """The connection failed, or the answer was malformed, after at least one byte was sent."""


@dataclass(frozen=True, slots=True)
class Attempt:
    """One HTTP exchange with a target or the platform.

    Messages about the exchange carry `key` and are fired on `channel`. After `send_before`, a reading of the
    monotonic clock, the request is not sent. A `repeatable` exchange may use an idle keep-alive connection,
    and is sent once more if the target had already closed that connection.
    """

    key: Hashable
    channel: str
    address: str
    request: bytes
    """The request, or its head if the body is separate."""
    body: bytes | memoryview = b""
    """Body that is sent after `request`, separate so that it need not be copied."""
    send_before: float | None = None
    repeatable: bool = True
    answer_has_no_body: bool = False
    idle_timeout_seconds: float | None = None
    is_control: bool = False
    """Whether the answer comes from the store or a router. It is read before others, in larger parts."""
    maximum_reuse_idle_seconds: float | None = None
    """Longest idle time of a keep-alive connection that may be reused for the exchange. With None, a
    repeatable exchange reuses any connection, and one that is not repeatable opens a new connection."""
    expected_answer_header: tuple[str, str] | None = None
    """Name and value of the header by which a target identifies the request that it answers, if it sends
    one."""
    confirms_close: bool = False
    """Whether the close of a connection ends an answer without a length only if its target still accepts
    connections. The kernel closes the connections of a process that was killed in the same way."""


class Message(Event):
    """Base class of the messages. The name of the circuits event is the name of the class.

    circuits' `Value` of an event refers to the event. Without that reference, which only notifications of
    changed values need, a message and the bodies in it are freed at once, not by the garbage collector.
    """

    @property
    def value(self) -> Value | None:
        """Return the result of the handlers."""
        return self._value

    @value.setter
    def value(self, value: Value | None) -> None:
        if value is not None:
            value.event = None
        self._value = value


class RequestReceived(Message):
    """A whole request was received from a caller: (request id, head, body).

    A large body is a view of the memory into which it was received.
    """

    def __init__(self, request_id: str, head: RequestHead, body: bytes | memoryview):
        super().__init__(request_id, head, body)


class BodyRefused(Message):
    """A request has to be refused as not run, as there is no memory for its body: (request id, head)."""

    def __init__(self, request_id: str, head: RequestHead):
        super().__init__(request_id, head)


class CallerDisconnected(Message):
    """The connection to the caller ended before the answer was complete: (request id)."""

    def __init__(self, request_id: str):
        super().__init__(request_id)


class CallerBufferFull(Message):
    """The output buffer of a caller is full, so the answer must be paused: (request id)."""

    def __init__(self, request_id: str):
        super().__init__(request_id)


class CallerBufferAvailable(Message):
    """The output buffer of a caller has free space again: (request id)."""

    def __init__(self, request_id: str):
        super().__init__(request_id)


class SendAnswer(Message):
    """Send a complete answer to the caller: (request id, status, headers, body)."""

    def __init__(self, request_id: str, status: int, headers: dict[str, str], body: bytes):
        super().__init__(request_id, status, headers, body)


class SendHead(Message):
    """Send the head of an answer: (request id, status, headers, body length or None if it is unknown)."""

    def __init__(self, request_id: str, status: int, headers: dict[str, str], length: int | None):
        super().__init__(request_id, status, headers, length)


class SendPart(Message):
    """Send a part of the body of an answer: (request id, data)."""

    def __init__(self, request_id: str, data: bytes):
        super().__init__(request_id, data)


class SendEnd(Message):
    """End the body of an answer: (request id)."""

    def __init__(self, request_id: str):
        super().__init__(request_id)


class AbortAnswer(Message):
    """Reset the connection to the caller, so that a truncated answer does not look complete: (request id)."""

    def __init__(self, request_id: str):
        super().__init__(request_id)


class SettingsChanged(Message):
    """The settings file was reloaded: (settings)."""

    def __init__(self, settings: object):
        super().__init__(settings)


class CloseAfterAnswers(Message):
    """Close each connection to a caller after its next answer."""


class CloseIdleConnections(Message):
    """Close the connections to callers on which no request is in progress."""


class StopAccepting(Message):
    """Accept no more connections; requests on open connections are still answered."""


class StartAttempt(Message):
    """Start an HTTP exchange: (attempt)."""

    def __init__(self, attempt: Attempt):
        super().__init__(attempt)


class CancelAttempt(Message):
    """Cancel an exchange and close its connection; no messages about it follow: (key, channel)."""

    def __init__(self, key: Hashable, channel: str):
        super().__init__(key, channel)


class PauseAttempt(Message):
    """Stop reading the answer of an exchange: (key, channel)."""

    def __init__(self, key: Hashable, channel: str):
        super().__init__(key, channel)


class ResumeAttempt(Message):
    """Resume reading the answer of an exchange: (key, channel)."""

    def __init__(self, key: Hashable, channel: str):
        super().__init__(key, channel)


class AttemptSendStarted(Message):
    """The first byte of a request that has a `send_before` was sent: (key)."""

    def __init__(self, key: Hashable):
        super().__init__(key)


class AttemptSendDelayed(Message):
    """No connection for an exchange could be opened yet: (key)."""

    def __init__(self, key: Hashable):
        super().__init__(key)


class AnswerHeadReceived(Message):
    """The head of an answer was received: (key, head)."""

    def __init__(self, key: Hashable, head: AnswerHead):
        super().__init__(key, head)


class AnswerPartReceived(Message):
    """A part of the body of an answer was received: (key, data)."""

    def __init__(self, key: Hashable, data: bytes):
        super().__init__(key, data)


class AttemptEnded(Message):
    """An exchange ended: (key, end, detail). No messages with this key follow."""

    def __init__(self, key: Hashable, end: AttemptResult, detail: str = ""):
        super().__init__(key, end, detail)


class CoreInput(Message):
    """Pass an input to the decision core: (input)."""

    def __init__(self, message: Input):
        super().__init__(message)


class CoreAction(Message):
    """Execute an action of the decision core; fired on the channel of the responsible component: (action)."""

    def __init__(self, action: object):
        super().__init__(action)


class DeadlineReached(Message):
    """A deadline that a component set for itself has passed: (subject that the component chose)."""

    def __init__(self, subject: object = None):
        super().__init__(subject)


class StoreChanged(Message):
    """The local copy of the platform's store has changed: (changes)."""

    def __init__(self, changes: list):
        super().__init__(changes)


class StoreHistoryRead(Message):
    """Changes of the platform's store before the start were read: (items, revision after which they are)."""

    def __init__(self, items: list, after: int):
        super().__init__(items, after)


class ReadStoreHistory(Message):
    """Read the changes before the start that the platform's store still has."""


class ConfirmStoreCopy(Message):
    """Ask the store whether the local copy has all changes up to a time: (reading of the monotonic clock)."""

    def __init__(self, since: float):
        super().__init__(since)


class StoreCopyConfirmed(Message):
    """The local copy of the platform's store had all changes at a time: (reading of the monotonic clock)."""

    def __init__(self, until: float):
        super().__init__(until)


class StoreChangesMissed(Message):
    """The local copy of the platform's store was replaced after a time whose changes were not all seen."""


class DatagramsReceived(Message):
    """Datagrams from other routers were received: (pairs of address and datagram)."""

    def __init__(self, received: list):
        super().__init__(received)


class TransmitPeerMessages(Message):
    """Messages to other routers are queued and can be sent in one batch."""


class SchedulerAnswerReceived(Message):
    """A scheduler answered a request for a slot: (address of the scheduler, answer)."""

    def __init__(self, scheduler: str, answer: object):
        super().__init__(scheduler, answer)


class SendStoreUpdate(Message):
    """Send a change of the store to other routers: (news)."""

    def __init__(self, news: object):
        super().__init__(news)


class StopProcess(Message):
    """All requests are finished and the process may exit."""


class ConfigurationChanged(Message):
    """A new configuration is in force: (configuration)."""

    def __init__(self, configuration: Configuration):
        super().__init__(configuration)


class FailRequest(Message):
    """Answer a request whose handler raised an exception: (request id)."""

    def __init__(self, request_id: str):
        super().__init__(request_id)
