"""Evidence of which requests, or which parts of their prompts, crash targets."""

from collections.abc import Callable
from dataclasses import dataclass, field

SUSPECT_STRIKES = 2
"""Number of crashes with different requests after which a part is suspect."""
QUARANTINE_STRIKES = 3
"""Number of crashes with different requests after which a part is quarantined, if nearly all of its
requests were cut with little or no output."""
LATE_QUARANTINE_STRIKES = 4
"""Number of crashes with different requests after which a part is quarantined whose requests had output."""
HIGH_BLAME = 0.5
"""Crashes for each request with a part from which the part is suspect. A deadly request crashes an engine by
itself, whereas a part that most prompts have occurs many times at each crash."""
SOUND_REQUEST_WEIGHT = 3
"""Number of requests cut with little or no output that one request with lasting output outweighs."""
EXPLAINED_SHARE = 0.5
"""Share of the crashes since its first strike that a part has to explain to be quarantined."""
REPORT_DELAY_SECONDS = 0.1
"""Delay between the routers' reports of what a target does at one time."""
SAME_CRASH_SECONDS = 0.03
"""Crashes within this time count as one, as connections of several targets may be reset at once."""
SURVIVAL_SECONDS = 0.2
"""Time for which a target has to go on after an output or an answer, for it not to count as the cause of a
crash. Covers the delay between an answer and the crash that it causes."""

PartKey = tuple[str, str]
"""Service and identifier of a prompt part. The key of a whole request is an empty service and its digest."""
RequestKey = tuple[str, str]
"""Router and identifier of a request."""


@dataclass(frozen=True, slots=True)
class BrokenConnection:
    """Connection of a request that its target has broken, or had just finished with when it crashed.

    `parts` are the prompt parts that other requests may share, and the key of the whole request. `output_at`
    is the time of the first output, None without any.
    """

    target_id: str
    request: RequestKey
    parts: frozenset[PartKey]
    broken_at: float
    output_at: float | None = None
    service: str = ""
    customer: str = ""

    @property
    def is_early(self) -> bool:
        """Return whether the connection was broken before the output had lasted."""
        return self.output_at is None or self.broken_at <= self.output_at + SURVIVAL_SECONDS


@dataclass(frozen=True, slots=True)
class Survival:
    """Output or complete answer of a target at a time; it counts if the target does not crash then."""

    target_id: str
    request: RequestKey
    parts: frozenset[PartKey]
    at: float
    is_answer: bool


@dataclass(frozen=True, slots=True)
class Crash:
    """Crash of a target; several targets whose connections are broken together have one number."""

    target_id: str
    at: float
    number: int

    def includes(self, connection: BrokenConnection) -> bool:
        """Return whether the crash has broken a connection."""
        is_same_target = self.target_id == connection.target_id
        tolerance = REPORT_DELAY_SECONDS if is_same_target else SAME_CRASH_SECONDS
        return abs(self.at - connection.broken_at) <= tolerance


@dataclass(slots=True)
class StruckPart:
    """Broken connections of requests with a part, by request and by the number of the crash."""

    strikes: dict[RequestKey, dict[int, BrokenConnection]] = field(default_factory=dict)
    """All repeats of a request count as one."""
    sound: set[RequestKey] = field(default_factory=set)
    """Requests with output that lasted, or whose target was alive after another one had crashed."""

    def key_of(self, connection: BrokenConnection) -> RequestKey:
        """Return the key under which a strike is counted."""
        return repeat_key(connection.request, connection.parts)

    def add(self, connection: BrokenConnection, crash: int) -> None:
        """Add a strike for the crash with a number."""
        self.strikes.setdefault(self.key_of(connection), {})[crash] = connection

    @property
    def crashes(self) -> set[int]:
        """Return the numbers of the crashes."""
        return {crash for connections in self.strikes.values() for crash in connections}

    @property
    def blame(self) -> float:
        """Return the number of crashes for each request with the part."""
        return len(self.crashes) / len(self.sound | self.strikes.keys())

    @property
    def evidence(self) -> int:
        """Return the number of requests cut with little or no output, less those that speak for the part."""
        early = sum(
            any(connection.is_early for connection in connections.values())
            for connections in self.strikes.values()
        )
        others = len(self.sound | self.strikes.keys()) - early
        return max(0, early - SOUND_REQUEST_WEIGHT * others)

    @property
    def is_suspect(self) -> bool:
        """Return whether only one request with the part may be open."""
        return self.count >= SUSPECT_STRIKES and self.blame >= HIGH_BLAME and self.evidence > 0

    @property
    def is_blamed(self) -> bool:
        """Return whether enough requests with the part were cut by crashes for it to be quarantined."""
        if self.evidence >= QUARANTINE_STRIKES:
            return self.count >= QUARANTINE_STRIKES
        return self.count >= LATE_QUARANTINE_STRIKES

    @property
    def count(self) -> int:
        """Return the number of crashes with different requests."""
        return min(len(self.strikes), len(self.crashes))

    def explains(self, crash_count: int, repeated: set[int]) -> bool:
        """Return whether the part occurred at most of the crashes since its first strike.

        Crashes in `repeated` do not count; they are due to repeats of requests.
        """
        first = min(self.crashes)
        since = crash_count - first + 1 - sum(crash >= first for crash in repeated)
        return len(self.crashes) >= EXPLAINED_SHARE * since

    def discard(self, matches: Callable[[int, BrokenConnection], bool]) -> None:
        """Remove the strikes for which `matches`, called with crash and connection, returns True."""
        for request, connections in list(self.strikes.items()):
            for crash, connection in list(connections.items()):
                if matches(crash, connection):
                    del connections[crash]
            if not connections:
                del self.strikes[request]


def discard_strikes(
    struck: dict[PartKey, StruckPart], matches: Callable[[int, BrokenConnection], bool]
) -> None:
    """Remove the strikes for which `matches`, called with crash and connection, returns True."""
    for key, part in list(struck.items()):
        part.discard(matches)
        if not part.strikes:
            del struck[key]


def request_part(digest: str) -> PartKey:
    """Return the key of a whole request."""
    return "", digest


def is_request(part: PartKey) -> bool:
    """Return whether a key is that of a whole request."""
    return not part[0]


def repeat_key(request: RequestKey, parts: frozenset[PartKey]) -> RequestKey:
    """Return a key that all repeats of a request have in common, its own key if it has no digest."""
    return next(filter(is_request, parts), request)


def is_caused_by(survival: Survival, target_id: str, crashed_at: float) -> bool:
    """Return whether a crash of a target may be due to one of its outputs or answers."""
    return (
        survival.target_id == target_id
        and survival.at - REPORT_DELAY_SECONDS <= crashed_at <= survival.at + SURVIVAL_SECONDS
    )
