"""Messages between the components of the router process.

Each component owns its sockets and state and handles the messages on its own channel.
"""

from __future__ import annotations

import enum
from collections.abc import Hashable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from circuits.core import Event

from limpetusher_router.connection.framing import AnswerHead, RequestHead

if TYPE_CHECKING:
    # The routers of platform hosts do not load the decision core with leases.
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
EXCHANGE = "exchange"
READINESS = "readiness"
PAGES = "pages"
METRICS = "metrics"
CONFIGURATION = "configuration"
HOSTS = "hosts"
LOADS = "loads"
ORDERS = "orders"
PROCESS = "process"


class AttemptEnd(enum.Enum):
    """How an HTTP exchange with a target or the platform ended."""

    COMPLETE = "complete"
    """The whole answer arrived, by its own length or chunks."""
    CLOSED = "closed"
    """The connection was closed at the end of an answer that announced no length."""
    EXPIRED = "expired"
    """No byte was sent because the time to send had passed."""
    UNREACHABLE = "unreachable"
    """No byte was sent because there was no connection."""
    CUT = "cut"
    """The connection broke, or the answer was malformed, after at least one byte was sent."""


@dataclass(frozen=True, slots=True)
class Attempt:
    """One HTTP exchange with a target or the platform.

    Messages about it are fired on `channel` with `key`. When `send_before`, a reading of the monotonic clock,
    has passed, no byte is sent. `repeatable` exchanges may use a kept connection, and are sent once more when
    that connection turns out to have been closed.
    """

    key: Hashable
    channel: str
    address: str
    request: bytes
    send_before: float | None = None
    repeatable: bool = True
    without_body: bool = False
    idle_seconds: float | None = None
    reuse_idle_seconds: float | None = None
    """Longest idle time of a kept connection that may carry the exchange; None for any time where the
    exchange
    is repeatable, and for no kept connection where it is not."""
    answer_id: tuple[str, str] | None = None
    """Header name and value that mark the answer as belonging to this exchange, where targets echo one."""


class Message(Event):
    """Base of the messages; the circuits name of each is its class name."""


class RequestReceived(Message):
    """A caller sent a whole request: (request id, head, body)."""

    def __init__(self, request_id: str, head: RequestHead, body: bytes):
        super().__init__(request_id, head, body)


class CallerLost(Message):
    """The caller's connection ended before its answer did: (request id)."""

    def __init__(self, request_id: str):
        super().__init__(request_id)


class CallerBlocked(Message):
    """The buffer for a slow caller is full: (request id)."""

    def __init__(self, request_id: str):
        super().__init__(request_id)


class CallerUnblocked(Message):
    """The buffer for a slow caller has room again: (request id)."""

    def __init__(self, request_id: str):
        super().__init__(request_id)


class SendAnswer(Message):
    """Send a whole answer to the caller: (request id, status, headers, body)."""

    def __init__(self, request_id: str, status: int, headers: dict[str, str], body: bytes):
        super().__init__(request_id, status, headers, body)


class SendHead(Message):
    """Begin an answer: (request id, status, headers, body length or None when it is not known)."""

    def __init__(self, request_id: str, status: int, headers: dict[str, str], length: int | None):
        super().__init__(request_id, status, headers, length)


class SendPart(Message):
    """Send a part of an answer that has begun: (request id, data)."""

    def __init__(self, request_id: str, data: bytes):
        super().__init__(request_id, data)


class SendEnd(Message):
    """Finish an answer that has begun: (request id)."""

    def __init__(self, request_id: str):
        super().__init__(request_id)


class AbortAnswer(Message):
    """Reset the caller's connection, so that a truncated answer does not look whole: (request id)."""

    def __init__(self, request_id: str):
        super().__init__(request_id)


class SettingsChanged(Message):
    """Use other settings from now on: (settings)."""

    def __init__(self, settings: object):
        super().__init__(settings)


class CloseAfterAnswers(Message):
    """Close each caller's connection after its next answer."""


class CloseIdle(Message):
    """Close the connections on which no request has begun."""


class StopAccepting(Message):
    """Accept no more connections; requests that still arrive on open ones are answered."""


class StartAttempt(Message):
    """Begin an HTTP exchange: (attempt)."""

    def __init__(self, attempt: Attempt):
        super().__init__(attempt)


class StopAttempt(Message):
    """Abandon an exchange and close its connection; no further messages follow: (key, channel)."""

    def __init__(self, key: Hashable, channel: str):
        super().__init__(key, channel)


class PauseAttempt(Message):
    """Stop reading the answer of an exchange: (key, channel)."""

    def __init__(self, key: Hashable, channel: str):
        super().__init__(key, channel)


class ContinueAttempt(Message):
    """Go on reading the answer of an exchange: (key, channel)."""

    def __init__(self, key: Hashable, channel: str):
        super().__init__(key, channel)


class AttemptSent(Message):
    """The first byte of a request with a `send_before` was sent: (key)."""

    def __init__(self, key: Hashable):
        super().__init__(key)


class AnswerStarted(Message):
    """The head of the answer arrived: (key, head)."""

    def __init__(self, key: Hashable, head: AnswerHead):
        super().__init__(key, head)


class AnswerPart(Message):
    """Body bytes of the answer arrived: (key, data)."""

    def __init__(self, key: Hashable, data: bytes):
        super().__init__(key, data)


class AnswerEnded(Message):
    """An exchange ended: (key, end, detail). No further messages with this key follow."""

    def __init__(self, key: Hashable, end: AttemptEnd, detail: str = ""):
        super().__init__(key, end, detail)


class CoreInput(Message):
    """An input for the decision core: (input)."""

    def __init__(self, message: Input):
        super().__init__(message)


class CoreAction(Message):
    """An action of the decision core, fired on the channel of the component that carries it out: (action)."""

    def __init__(self, action: object):
        super().__init__(action)


class Due(Message):
    """A deadline of the component itself has come: (what it is for)."""

    def __init__(self, subject: object = None):
        super().__init__(subject)


class StoreRead(Message):
    """The copy of the platform's store has changed: (changes)."""

    def __init__(self, changes: list):
        super().__init__(changes)


class DatagramsReceived(Message):
    """Datagrams from other routers have arrived: (pairs of address and datagram)."""

    def __init__(self, received: list):
        super().__init__(received)


class TransmitDue(Message):
    """Messages to other routers wait to be sent together."""


class AnswerReceived(Message):
    """A scheduler has answered about a request: (address of the scheduler, answer)."""

    def __init__(self, scheduler: str, answer: object):
        super().__init__(scheduler, answer)


class NewsDue(Message):
    """The routers of the data centre have to hear of the store: (news)."""

    def __init__(self, news: object):
        super().__init__(news)


class StopProcess(Message):
    """All work is finished and the process may exit."""


class ConfigurationInForce(Message):
    """A configuration is in force from now on: (configuration)."""

    def __init__(self, configuration: Configuration):
        super().__init__(configuration)


class FailRequest(Message):
    """A handler raised an exception for a request, which must still be answered: (request id)."""

    def __init__(self, request_id: str):
        super().__init__(request_id)
