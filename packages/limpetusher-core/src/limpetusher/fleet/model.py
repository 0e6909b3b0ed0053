"""Data model of the fleet: configuration, targets and requests."""

import enum
import math
from dataclasses import dataclass, field


class RequestKind(enum.Enum):
    """Kind of a route's requests: whether they may be repeated, and whether answers are streamed."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


@dataclass(frozen=True, slots=True)
class Engine:
    """Capacity of one model engine of a service."""

    slots: int
    memory_tokens: int
    event_tokens: int = 1
    """Generated tokens in one event of a stream."""
    transfer_rate: float = 0.0
    """Rate at which one engine sends cached prompt tokens to another, in tokens per second; 0 without
    transfers."""


@dataclass(frozen=True, slots=True)
class Service:
    """Group of interchangeable targets; `cold_per_second` is the maximum request rate of a cold one."""

    name: str
    cold_per_second: float
    engine: Engine | None = None
    cold_seconds: float = 0.0
    """Time after its start for which a target is cold."""


@dataclass(frozen=True, slots=True)
class Destination:
    """A service of a route, and its weight in the split of the route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Rule for the requests to one host below one path prefix."""

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_seconds: float
    goal_seconds: float
    destinations: tuple[Destination, ...]
    attempts: int
    priority: int = 0
    is_public: bool = False
    is_resumable: bool = False
    token_gap_goal_seconds: float | None = None

    @property
    def is_idempotent(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is RequestKind.SAFE or (self.kind is RequestKind.STREAMING and self.is_resumable)


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Size limits and timeouts for callers."""

    header_bytes: int
    body_bytes: int
    header_seconds: float
    idle_seconds: float


@dataclass(frozen=True, slots=True)
class FleetConfiguration:
    """One version of the operator's configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits
    customers_by_key: dict[str, str]
    has_customers: bool


@dataclass(frozen=True, slots=True)
class Target:
    """One announced target.

    `cold_until` is a reading of the router's monotonic clock. `revision` is the store's revision of the
    entry.
    """

    target_id: str
    service: str
    address: str
    data_centre: str
    slots: int
    is_draining: bool = False
    cold_until: float = 0.0
    revision: int = 0
    started_at_milliseconds: int = 0
    """Wall-clock start time; a different value means that the target has restarted and its cache is empty."""
    version: str = ""
    """Version of its software. Only targets of the version that began a stream may go on with it."""


@dataclass(frozen=True, slots=True)
class PromptPart:
    """Part of a prompt that other requests may share."""

    part_id: str
    tokens: int


@dataclass(frozen=True, slots=True, order=True)
class Pool:
    """Targets of a service that are managed by one scheduler.

    `data_centre` is empty if the pool spans all data centres.
    """

    service: str
    data_centre: str = ""

    def __str__(self) -> str:
        return f"{self.service}/{self.data_centre or '*'}"


class EngineBasis(enum.IntEnum):
    """How an engine that was chosen for a request gets the shared parts of its prompt."""

    UNKNOWN = 0
    """The request has no shared parts, or another release of the scheduler has placed it."""
    CACHED = 1
    """The engine has cached at least the first one."""
    TRANSFERRED = 2
    """Another engine sends them."""
    PREFILLED = 3
    """The engine prefills them."""


LOW_PATIENCE = 0.5
"""Patience below which a request does not wait for an engine that has been idle."""


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A caller's request in the queue of its scheduler. Compared by identity."""

    request_id: str
    client: str
    """Address of the router that carries the request."""
    customer: str
    pool: Pool
    goal_seconds: float
    queued_at: float
    """Time at which the current attempt was queued."""
    give_up_at: float
    """Time at which the caller's deadline or the route's timeout ends the request."""
    latest_start_at: float = 0.0
    """Latest start of the current attempt; set when the request is queued."""
    caller_data_centre: str = ""
    """Data centre of the router that the caller is connected to."""
    served_part: float = 0.0
    """Tokens served to the customer relative to the most served one, at the last decision about the
    request."""
    share_used: float = 0.0
    """Tokens served to the customer relative to the fair level of the next burst, at the last decision about
    the request. From 1 on, requests of less served customers fill the whole burst."""
    patience: float = 1.0
    """Share of the usual time for which the request waits for its best engine, at the last decision about it.
    Below 1, others get more service than its customer, which does not get what it asks for."""
    is_queued: bool = False
    awaited_id: str = ""
    """Engine that was the best one for the request but could not accept it, empty for none."""
    awaited_tokens: int = 0
    """Prompt tokens of the request to prefill at that engine."""
    weighed_until: float = -math.inf
    """Time until which the request waits for that engine before its candidates are weighed again."""
    memory_short_since: float | None = None
    """Time since which no engine had memory for the request, None if that was not so."""
    considered_at: float = -math.inf
    """Time at which a target was last looked for."""
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()
    digest: str = ""
    """Digest that all repeats of the request have in common."""
    excluded: set[str] = field(default_factory=set)
    """Targets that have failed this request."""
    source_id: str = ""
    """Engine of a pool that has refused the request which holds most of its prompt, empty for none."""
    source_tokens: int = 0
    """Prompt tokens that this engine holds."""
    version: str | None = None
    """Software version that has to go on with a stream, None if any may run the request."""
    version_basis: str = ""
    """How that version is known, empty if any may run the request."""
    stream: int = 0
    """Identifier by which callers take the stream of the request up again, 0 if they can't."""
    resumes: int = 0
    """Identifier of the stream that the request takes up again, 0 for none."""
    begins_stream: bool = False
    """Whether the request begins a stream that callers can take up again, so that nothing of it was sent."""

    session: str | None = field(init=False)
    """Identifier by which the request is assigned to an engine, None without prompt parts."""
    memory_tokens: int = field(init=False)
    """Engine memory that the request may take."""

    @property
    def key(self) -> tuple[str, str]:
        """Return the router and the identifier of the request."""
        return self.client, self.request_id

    @property
    def is_restricted(self) -> bool:
        """Return whether some targets of the service must not get the request."""
        return bool(self.excluded) or self.version is not None

    def accepts(self, target: Target) -> bool:
        """Return whether a target may get the request."""
        return target.target_id not in self.excluded and self.version in (None, target.version)

    @property
    def takes_busy_engines(self) -> bool:
        """Return whether the request may take another engine than its best one between two bursts of that."""
        return self.patience < LOW_PATIENCE

    def __post_init__(self):
        self.session = session_of(self.parts)
        self.memory_tokens = self.prompt_tokens + self.output_tokens


def session_of(parts: tuple[PromptPart, ...]) -> str | None:
    """Return the identifier of the last shared prompt part, None without any parts.

    Requests with the same session prefer the same engine. If there are several parts, the last one is unique
    to the request.
    """
    if not parts:
        return None
    return parts[-2 if len(parts) > 1 else -1].part_id
