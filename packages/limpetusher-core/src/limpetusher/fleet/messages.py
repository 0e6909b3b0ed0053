"""Messages between routers: membership, request scheduling, and updates of the platform's store.

All messages are msgpack arrays; their tags and `PROTOCOL_VERSION` identify incompatible releases.
"""

import enum
import math

import msgspec

PROTOCOL_VERSION = 11
UNNAMED_STREAM = 1
"""Identifier of a stream whose caller does not name the request that began it."""
UNKNOWN_LOAD = -1
"""Load of a host that does not state it."""
MAX_TOKENS = 10**9
"""Upper bound of valid token counts."""


class Outcome(enum.IntEnum):
    """How an attempt ended, as reported to its scheduler."""

    ANSWERED = 0
    """The target has answered."""
    FAILED = 1
    """The target has sent an error or an invalid answer, or was silent for too long."""
    UNREACHABLE = 2
    """The target could not be reached or has sent no answer."""
    WITHDRAWN = 3
    """The request was not sent or its caller has disconnected; the target's health is unknown."""
    CUT = 4
    """The target has broken the connection before the first output."""
    BROKEN_OFF = 5
    """The target has broken the connection after the first output, or after the head of a plain answer."""
    REJECTED = 6
    """The target has rejected the request, which has not run, and asked for a back-off."""


class TargetQuery(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Request for a target of a pool. Times are in seconds relative to the sending of the message."""

    request_id: str
    attempt: int
    service: str
    data_centre: str
    """Data centre of the pool, empty for a pool that spans all data centres."""
    customer: str
    goal_seconds: float
    waited_seconds: float
    remaining_seconds: float
    prompt_tokens: int
    output_tokens: int
    parts: tuple[tuple[str, int], ...]
    """Identifiers of the prompt parts and their tokens."""
    excluded: tuple[str, ...]
    """Targets that must not get the request."""
    caller_data_centre: str
    is_retry: bool
    """Whether a target has received the request before."""
    digest: str = ""
    """Digest that all repeats of the request have in common."""
    stream: int = 0
    """Identifier by which callers take the stream of the request up again, 0 if they can't."""
    resumes: int = 0
    """Identifier of the stream that the request takes up again, 0 for none."""
    caller_seconds: float = 0.0
    """Time for which the caller waits for the whole stream, or has left for one that it takes up again."""
    version: str | None = None
    """Software version that has to go on with the stream, None if the router knows of none."""
    source_id: str = ""
    """Engine of a pool that has refused the request which holds most of its prompt, empty for none."""
    source_tokens: int = 0
    """Prompt tokens that this engine holds."""

    @property
    def has_valid_numbers(self) -> bool:
        """Return whether all numbers are valid; invalid ones would corrupt the scheduler's sums."""
        times = (self.goal_seconds, self.waited_seconds, self.remaining_seconds, self.caller_seconds)
        counts = (
            self.prompt_tokens,
            self.output_tokens,
            self.source_tokens,
            *(tokens for _name, tokens in self.parts),
        )
        return all(math.isfinite(time) for time in times) and all(
            0 <= count <= MAX_TOKENS for count in counts
        )


class TargetGrant(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Permission of a scheduler to send a request to a target."""

    request_id: str
    attempt: int
    target_id: str
    prefill_tokens: int
    unread_ahead: int
    """Prompt tokens to prefill at the target, including those of the request."""
    memory_tokens: int
    rate: float
    """Prefill rate of the target in tokens per second."""
    is_cold: bool
    served_part: float
    """Tokens served to the customer relative to the most served one."""
    may_repeat: bool
    """Whether the retry budget allows a retry."""
    source_id: str = ""
    """Engine from which cached prompt parts are transferred, empty for no transfer."""
    version: str | None = None
    """Software version that has to go on with the stream, None if any may run the request."""
    version_basis: str = ""
    """How the version of the target was determined, empty if any may run the request."""
    backlog_seconds: float = 0.0
    """Time to prefill the prompts that wait for the pool."""
    engine_basis: int = 0
    """How the engine gets the shared prompt parts, as in `EngineBasis`."""
    saved_tokens: int = 0
    """Prompt tokens that take no prefill time; a transfer counts as what could be prefilled meanwhile."""
    session_rank: int = 0
    """Position among the usable engines in the session's order from 1 on, 0 for one outside of them."""


class TargetRefusal(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Refusal of a request by a scheduler; the request has not run."""

    request_id: str
    attempt: int
    reason: str
    retry_after_seconds: float
    backlog_seconds: float
    served_part: float
    is_retry_budget_spent: bool = False
    """Whether the request is refused because the retry budget is spent."""
    closed_seconds: float = 0.0
    """Time for which requests of the customer with the same or a shorter goal would be refused as well."""
    may_crash_targets: bool = False
    """Whether the request is refused because it may crash targets, for which other pools must not get it."""
    lacks_version: bool = False
    """Whether the request is refused because the version that began its stream is unknown, or has no target
    in the pool."""
    version: str | None = None
    """Software version that has to go on with the stream, None if any may or if it is unknown."""
    pool_backlogs: tuple[tuple[str, float], ...] = ()
    """Known backlogs of the service's pools in seconds, by data centre."""
    source_id: str = ""
    """Engine of the pool that holds most of the prompt, empty for none, for a transfer to another pool."""
    source_tokens: int = 0
    """Prompt tokens that this engine holds."""

    @property
    def has_valid_source(self) -> bool:
        """Return whether the refusal names a source with a valid number of tokens."""
        return bool(self.source_id) and 0 < self.source_tokens <= MAX_TOKENS


class PrefillFinished(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The first output of a request has arrived, so its prefill has ended."""

    request_id: str
    attempt: int


class SendDelayed(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """The router could not yet open a connection to send a granted request on."""

    request_id: str
    attempt: int


class AttemptFinished(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """An attempt no longer waits for the scheduler, or is no longer open at its target."""

    request_id: str
    attempt: int
    outcome: int
    may_have_run: bool = True
    """Whether the target may have run the request."""


class AttemptOpened(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Registers an attempt that is open at a target chosen by another scheduler."""

    request_id: str
    attempt: int
    service: str
    data_centre: str
    target_id: str
    prefill_tokens: int
    memory_tokens: int
    part_ids: tuple[str, ...] = ()
    """Identifiers of the prompt parts that other requests may share."""
    output_age_seconds: float | None = None
    """Time since the first output, None without any."""
    digest: str = ""
    """Digest that all repeats of the request have in common."""
    streams: tuple[int, ...] = ()
    """Identifiers by which callers take the stream of the request up again."""
    version: str = ""
    """Software version of the target."""

    @property
    def has_valid_numbers(self) -> bool:
        """Return whether all numbers are valid."""
        age = self.output_age_seconds or 0.0
        return (
            0 <= self.prefill_tokens <= MAX_TOKENS
            and 0 <= self.memory_tokens <= MAX_TOKENS
            and math.isfinite(age)
            and age >= 0
        )


class StreamProgress(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Ratio of the speed that a stream needs to end before its caller's deadline to its recent speed."""

    request_id: str
    attempt: int
    needed_speedup: float

    @property
    def has_valid_numbers(self) -> bool:
        """Return whether the number is valid."""
        return math.isfinite(self.needed_speedup) and self.needed_speedup >= 0


class TargetNotice(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """What a target has announced about itself in an answer."""

    target_id: str
    is_leaving: bool
    backoff_seconds: float
    """Time for which the target has asked for no requests."""


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Requests an acknowledgement."""


class ServedTokensUpdate(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Decaying sums of the tokens served by a scheduler, by customer, and the backlogs of its pools."""

    served: dict[str, int]
    backlogs: tuple[tuple[str, str, float], ...] = ()
    """Service, data centre, and the time in seconds to prefill the waiting prompts, of each pool."""

    @property
    def has_valid_numbers(self) -> bool:
        """Return whether the backlogs are valid."""
        return all(math.isfinite(seconds) and seconds >= 0 for *_pool, seconds in self.backlogs)


class QuarantineEntry(msgspec.Struct, frozen=True, array_like=True):
    """Prompt parts, each with its service, of which one crashes engines, or a request that crashes targets.

    The request is an empty service and its digest.
    """

    parts: tuple[tuple[str, str], ...]
    seconds: float
    """Time for which requests with all of the parts are refused."""


class QuarantineUpdate(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Quarantined prompt parts that a router announces."""

    entries: tuple[QuarantineEntry, ...]
    cleared: tuple[tuple[str, str], ...] = ()
    """Prompt parts, each with its service, or requests that are known not to crash targets."""

    @property
    def is_empty(self) -> bool:
        """Return whether there is nothing to announce."""
        return not self.entries and not self.cleared

    @property
    def has_valid_numbers(self) -> bool:
        """Return whether all numbers are valid."""
        return all(math.isfinite(entry.seconds) and entry.seconds >= 0 for entry in self.entries)


class BrokenAttempt(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """Attempt whose connection a target broke before the scheduler knew of it, or in another pool."""

    request_id: str
    service: str
    target_id: str
    part_ids: tuple[str, ...]
    """Identifiers of the prompt parts that other requests may share."""
    age_seconds: float
    """Time since the connection was broken."""
    output_seconds: float | None
    """Time from the first output to the break, None without output."""
    digest: str = ""
    """Digest that all repeats of the request have in common."""
    customer: str = ""

    @property
    def has_valid_numbers(self) -> bool:
        """Return whether the numbers are valid."""
        times = (self.age_seconds, self.output_seconds or 0.0)
        return all(math.isfinite(time) and time >= 0 for time in times)


class RateLimitNotice(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """Tells a scheduler which request rate a target has named, infinite if it names none any more."""

    target_id: str
    per_second: float

    @property
    def has_valid_numbers(self) -> bool:
        """Return whether the number is valid."""
        return self.per_second >= 0


class RateLimitUpdate(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """Request rates of targets that a router tells others.

    A scheduler tells all routers of changes. A router that joins is told the limits in force.
    """

    is_change: bool
    limits: tuple[tuple[str, float], ...]
    """Targets and their requests per second, infinite without a limit."""

    @property
    def has_valid_numbers(self) -> bool:
        """Return whether all numbers are valid."""
        return all(per_second >= 0 for _target_id, per_second in self.limits)


class StreamOrigins(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """Streams with events of the same services and software versions, told to possible later schedulers."""

    origins: tuple[tuple[str, str | None], ...]
    """Service and version of all events, each service once; None if they may be of several versions."""
    is_whole: bool
    """Whether the origins go back to the begin of the streams."""
    streams: tuple[int, ...]


class MemberEntry(msgspec.Struct, frozen=True, array_like=True):
    """Gossip entry of one router. `capacity` is in cores; the router itself increments `heartbeat`.

    `load` is the time in percent that its event loop is busy, -1 if it does not state that.
    """

    address: str
    data_centre: str
    capacity: float
    incarnation: int
    heartbeat: int
    is_leaving: bool = False
    load: int = UNKNOWN_LOAD

    @property
    def freshness_key(self) -> tuple[int, int, bool]:
        """Return a sort key by which a newer entry of the same router is greater."""
        return self.incarnation, self.heartbeat, self.is_leaving


class MemberSilences(msgspec.Struct, frozen=True, array_like=True, tag=18):
    """Routers that are or were out of contact with the sender, told to a router that starts."""

    silences: tuple[tuple[MemberEntry, float, float], ...]
    """Last known entry of each, and how many seconds ago its silence began and ended; 0 if it goes on."""

    @property
    def has_valid_numbers(self) -> bool:
        """Return whether all numbers are valid."""
        return all(math.isfinite(since) and 0 <= until <= since for _entry, since, until in self.silences)


class VersionUpdate(msgspec.Struct, frozen=True, array_like=True, tag=17):
    """Software versions that were lately in service, told to a router that starts."""

    known_seconds: float
    """Time for which the sender knows all of them."""
    versions: tuple[tuple[str, tuple[str, ...]], ...]
    """Versions of each service."""

    @property
    def has_valid_numbers(self) -> bool:
        """Return whether the number is valid."""
        return math.isfinite(self.known_seconds) and self.known_seconds >= 0


Message = (
    TargetQuery
    | TargetGrant
    | TargetRefusal
    | PrefillFinished
    | SendDelayed
    | StreamProgress
    | AttemptFinished
    | AttemptOpened
    | TargetNotice
    | Ping
    | ServedTokensUpdate
    | QuarantineUpdate
    | BrokenAttempt
    | RateLimitNotice
    | RateLimitUpdate
    | StreamOrigins
    | VersionUpdate
    | MemberSilences
)


class Packet(msgspec.Struct, frozen=True, array_like=True, tag=21):
    """Datagram of a link: consecutive messages and a cumulative acknowledgement.

    `incarnation` identifies the sender's process and `epoch` its current message stream; `first` is the
    sequence number of the first message. `acknowledged` is the number of messages received in order on the
    receiver's stream, which `acknowledged_incarnation` and `acknowledged_epoch` identify.
    """

    version: int
    incarnation: int
    epoch: int
    first: int
    messages: tuple[Message, ...]
    acknowledged_incarnation: int
    acknowledged_epoch: int
    acknowledged: int


class Gossip(msgspec.Struct, frozen=True, array_like=True, tag=22):
    """Entries of the sender and of some routers that it knows, and the state of its copy of the store."""

    version: int
    entries: tuple[MemberEntry, ...]
    revision: int
    configuration_version: int = 0
    """Version of the configuration in force at the sender, 0 for none."""
    wall_seconds: float = 0.0
    """Time of day of the sender in seconds since the Unix epoch, 0 if it does not state that."""
    longest_wait_seconds: float = 0.0
    """Longest time for which callers wait that the sender knows of, 0 if it does not state that."""


class StoreUpdate(msgspec.Struct, frozen=True, array_like=True, tag=23):
    """Latest changes of the store, sent by a router that watches it.

    `items` (key, value, revision) and `removed` (key, revision) are all changes after revision `since` up to
    `revision`.
    """

    version: int
    is_connected: bool
    trouble_seconds: float
    """Time since a store call of the sender last failed."""
    since: int
    revision: int
    items: tuple[tuple[str, bytes, int], ...]
    removed: tuple[tuple[str, int], ...]


Datagram = Packet | Gossip | StoreUpdate
