"""State of one caller's request and of its current attempt."""

import math
from dataclasses import dataclass, field

from limpetusher.fleet.messages import TargetGrant
from limpetusher.fleet.model import Route, Target
from limpetusher.fleet.process.served_tokens import throughput_cost
from limpetusher.fleet.request.scheduler_client import TargetRequest
from limpetusher_router.connection.framing import AnswerHead, RequestHead
from limpetusher_router.fleet.event_relay import EventRelay
from limpetusher_router.platform.requests import RequestFields
from limpetusher_router.process.deadlines import Deadline

EVENT_STREAM = "text/event-stream"


def is_event_stream(head: AnswerHead) -> bool:
    """Return whether an answer is a stream of events."""
    return head.status == 200 and head.content_type == EVENT_STREAM


@dataclass(slots=True)
class TargetAttempt:
    """One attempt to run a request on a target; times are readings of the monotonic clock."""

    number: int
    target: Target
    grant: TargetGrant
    started_at: float
    last_received_at: float
    """When the target last sent data that counts as activity; initially the start of the attempt."""
    head: AnswerHead | None = None
    has_output: bool = False
    buffer: bytearray = field(default_factory=bytearray)
    unused_bytes: int = 0
    """Size of the part of the body that was discarded, as it can't reach the caller."""


@dataclass(slots=True)
class Exchange:
    """A caller's request, its current attempt and the progress of its answer."""

    request_id: str
    head: RequestHead
    body: bytes | memoryview
    fields: RequestFields
    route: Route
    target_request: TargetRequest
    """The fields of the request that its scheduler needs."""
    customer: str | None
    arrived_at: float
    relay: EventRelay
    attempt: TargetAttempt | None = None
    replacement: TargetRequest | None = None
    """Request for another target, while the one of the current attempt is silent."""
    replacement_count: int = 0
    replacement_due_at: float = 0.0
    """Time from which another target may be requested again."""
    silent_target_ids: set[str] = field(default_factory=set)
    """Targets replaced while they were silent; they get the request again if no other takes it."""
    repeat_due_at: float = math.inf
    """Time at which a stream that was refused a target asks for one again."""
    attempt_count: int = 0
    possible_runs: int = 0
    """Number of attempts that are not known not to have run."""
    is_head_sent: bool = False
    is_caller_blocked: bool = False
    """Whether the caller is too slow to take the answer, which is not read from its target meanwhile."""
    deadline: Deadline | None = None
    first_event_at: float | None = None
    last_event_at: float | None = None
    longest_pause_seconds: float = 0.0
    progress_checked_at: float = 0.0
    """When the rate of the stream was last measured."""
    progress_event_count: int = 0
    """Number of events forwarded by then."""

    def record_event(self, now: float) -> None:
        """Record the time at which events were forwarded."""
        if self.first_event_at is None:
            self.first_event_at = now
        else:
            self.longest_pause_seconds = max(self.longest_pause_seconds, now - self.last_event_at)
        self.last_event_at = now

    @property
    def first_event_seconds(self) -> float | None:
        """Return the time from the arrival of the request to its first event, None before that event."""
        if self.first_event_at is None:
            return None
        return round(self.first_event_at - self.arrived_at, 3)

    @property
    def throughput_cost(self) -> float:
        """Return the throughput that the request costs its customer, in tokens."""
        return throughput_cost(self.target_request.prompt_tokens, self.target_request.output_tokens)

    @property
    def is_stream(self) -> bool:
        """Return whether the current answer is a stream of events."""
        return is_event_stream(self.attempt.head)

    @property
    def last_event_id(self) -> str | None:
        """Return the identifier of the event after which the next attempt resumes."""
        return self.relay.last_event_id
