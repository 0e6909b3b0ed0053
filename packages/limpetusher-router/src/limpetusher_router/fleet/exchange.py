"""State of one caller's request."""

from dataclasses import dataclass, field

from limpetusher.fleet.messages import Granted
from limpetusher.fleet.model import Route, Target
from limpetusher.fleet.request.asking import Asked
from limpetusher_router.connection.framing import AnswerHead, RequestHead
from limpetusher_router.fleet.relay import EventRelay
from limpetusher_router.platform.requests import RequestFields
from limpetusher_router.process.deadlines import Deadline

EVENT_STREAM = "text/event-stream"


@dataclass(slots=True)
class TargetAttempt:
    """One attempt at a target; times are readings of the monotonic clock."""

    number: int
    target: Target
    granted: Granted
    started_at: float
    heard_at: float
    """When the target last sent something; at first when the attempt started."""
    head: AnswerHead | None = None
    has_output: bool = False
    held: bytearray = field(default_factory=bytearray)


@dataclass(slots=True)
class Exchange:
    """A caller's request and its attempts."""

    request_id: str
    head: RequestHead
    body: bytes
    fields: RequestFields
    route: Route
    asked: Asked
    """What the schedulers know of the request."""
    customer: str | None
    arrived_at: float
    relay: EventRelay = field(default_factory=EventRelay)
    attempt: TargetAttempt | None = None
    sends: int = 0
    possible_runs: int = 0
    """Attempts of which it is not known that they did not run."""
    answer_begun: bool = False
    deadline: Deadline | None = None
    first_event_at: float | None = None
    last_event_at: float | None = None
    longest_pause: float = 0.0
    progress_at: float = 0.0
    """When the progress of the stream was last looked at."""
    progress_events: int = 0
    """Events of the stream at that time."""

    def note_event(self, now: float) -> None:
        """Note that events were passed on."""
        if self.first_event_at is None:
            self.first_event_at = now
        else:
            self.longest_pause = max(self.longest_pause, now - self.last_event_at)
        self.last_event_at = now

    @property
    def first_event_seconds(self) -> float | None:
        """Return the time from the request to its first event, None where there is none yet."""
        if self.first_event_at is None:
            return None
        return round(self.first_event_at - self.arrived_at, 3)

    @property
    def is_stream(self) -> bool:
        """Return whether the present answer is a stream of events."""
        head = self.attempt.head
        return head.status == 200 and head.content_type == EVENT_STREAM

    @property
    def last_event_id(self) -> str | None:
        """Return the event after which the next attempt goes on."""
        return self.relay.last_event_id or self.fields.last_event_id
