"""What routers tell each other: membership, scheduling of requests, and news of the platform's store.

All messages are arrays in msgpack; their tags and `PROTOCOL_VERSION` tell incompatible releases apart.
"""

import enum
import math

import msgspec

PROTOCOL_VERSION = 3
MOST_TOKENS = 10**9
"""Greater counts of tokens are not believed."""


class Outcome(enum.IntEnum):
    """How an attempt ended, as far as its scheduler has to know."""

    ANSWERED = 0
    """The target has answered."""
    FAILED = 1
    """The target has sent an error, or broke its answer off."""
    UNREACHABLE = 2
    """The target could not be reached, or did not answer at all."""
    WITHDRAWN = 3
    """The request was not sent, or its caller has left; nothing is known of the target."""


class Ask(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A router asks for a target of a pool. Times are seconds before or after the message."""

    request_id: str
    attempt: int
    service: str
    data_centre: str
    """Data centre of the pool, empty for one with the targets of all data centres."""
    customer: str
    goal_seconds: float
    waited_seconds: float
    left_seconds: float
    prompt_tokens: int
    output_tokens: int
    parts: tuple[tuple[str, int], ...]
    """Names and sizes of the prompt's parts."""
    excluded: tuple[str, ...]
    """Targets that can't have the request."""
    caller_data_centre: str
    is_repeat: bool
    """Whether a target has got the request before."""

    @property
    def is_sound(self) -> bool:
        """Return whether all numbers are possible ones; others would spoil each later decision."""
        times = (self.goal_seconds, self.waited_seconds, self.left_seconds)
        counts = (self.prompt_tokens, self.output_tokens, *(tokens for _name, tokens in self.parts))
        return all(math.isfinite(time) for time in times) and all(
            0 <= count <= MOST_TOKENS for count in counts
        )


class Granted(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """A scheduler lets a request go to a target."""

    request_id: str
    attempt: int
    target_id: str
    unread_tokens: int
    unread_ahead: int
    """Prompt tokens that wait at the target, those of the request included."""
    memory_tokens: int
    rate: float
    """Prompt tokens that the target reads in a second."""
    is_cold: bool
    served_part: float
    """Service of the customer relative to the most served one."""
    may_repeat: bool
    """Whether there is a budget for repeated sends."""
    source_id: str = ""
    """Engine from which the target takes kept parts of the prompt, empty for none."""


class Refused(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """A scheduler refuses a request, which has not run."""

    request_id: str
    attempt: int
    reason: str
    retry_after_seconds: float
    backlog_seconds: float
    served_part: float
    without_budget: bool = False
    """Whether it is refused since there is no budget for repeated sends."""


class Reading(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The first output of a request has come, so its prompt has been read."""

    request_id: str
    attempt: int


class Ended(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """A request no longer waits for the scheduler, or is no longer open at its target."""

    request_id: str
    attempt: int
    outcome: int


class Opened(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """A request is open at a target that another scheduler has chosen."""

    request_id: str
    attempt: int
    service: str
    data_centre: str
    target_id: str
    unread_tokens: int
    memory_tokens: int

    @property
    def is_sound(self) -> bool:
        """Return whether all numbers are possible ones."""
        return 0 <= self.unread_tokens <= MOST_TOKENS and 0 <= self.memory_tokens <= MOST_TOKENS


class Progress(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """How many times as fast a stream has to come as it did lately, to end within its caller's time."""

    request_id: str
    attempt: int
    needed_speedup: float

    @property
    def is_sound(self) -> bool:
        """Return whether the number is a possible one."""
        return math.isfinite(self.needed_speedup) and self.needed_speedup >= 0


class TargetNotice(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """What a target has said of itself in an answer."""

    target_id: str
    is_leaving: bool
    rest_seconds: float
    """How long it wants no requests."""


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Asks for an acknowledgement only."""


class ServedNews(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Decaying sums of the tokens that customers were served by a scheduler."""

    served: dict[str, int]


Message = Ask | Granted | Refused | Reading | Progress | Ended | Opened | TargetNotice | Ping | ServedNews


class Packet(msgspec.Struct, frozen=True, array_like=True, tag=21):
    """A datagram of a link: messages in order, and the acknowledgement of those received.

    `incarnation` names the sender's process and `epoch` its present stream of messages, of which the first
    one here has the number `first`. `acknowledged` messages of the receiver's stream `acknowledged_epoch`
    have arrived.
    """

    version: int
    incarnation: int
    epoch: int
    first: int
    messages: tuple[Message, ...]
    acknowledged_incarnation: int
    acknowledged_epoch: int
    acknowledged: int


class MemberEntry(msgspec.Struct, frozen=True, array_like=True):
    """What is told of one router. `capacity` is in cores, `heartbeat` counts its rounds of gossip."""

    address: str
    data_centre: str
    capacity: float
    incarnation: int
    heartbeat: int
    is_leaving: bool = False

    @property
    def age_key(self) -> tuple[int, int, bool]:
        """Return what grows with each newer entry of the same router."""
        return self.incarnation, self.heartbeat, self.is_leaving


class Gossip(msgspec.Struct, frozen=True, array_like=True, tag=22):
    """Some of the routers that the sender knows, itself first, and the revision of its copy of the store."""

    version: int
    entries: tuple[MemberEntry, ...]
    revision: int


class StoreNews(msgspec.Struct, frozen=True, array_like=True, tag=23):
    """The newest changes of the store, from a router that watches it.

    `items` (key, value, revision) and `removed` (key, revision) are all changes after the revision `since` up
    to `revision`.
    """

    version: int
    is_connected: bool
    trouble_seconds: float
    """How long ago the store last failed a call of the sender."""
    since: int
    revision: int
    items: tuple[tuple[str, bytes, int], ...]
    removed: tuple[tuple[str, int], ...]


Datagram = Packet | Gossip | StoreNews
