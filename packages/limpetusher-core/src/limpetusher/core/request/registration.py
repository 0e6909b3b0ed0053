"""State of one attempt for an idempotency key, as its holder keeps it (design, 4.6)."""

import enum
from dataclasses import dataclass, field

from limpetusher.core.inputs import RequestArrived
from limpetusher.core.request.key_records import ABANDONED, RUNNING
from limpetusher.core.request.witness_sets import majority
from limpetusher.wire.messages import AttemptStateReport, KeyRecord, RegistrationAnswer, RegistrationRequest

RECORDED = "recorded"
EXISTING = "existing"
NOT_READY = "not_ready"
OTHER_HOSTS = "other_hosts"


class Phase(enum.Enum):
    """Stages of an attempt."""

    REGISTERING = enum.auto()
    ADMITTED = enum.auto()
    SENT = enum.auto()
    ENDED = enum.auto()


@dataclass(slots=True)
class KeptAnswer:
    """The answer of a finished attempt; `body` is None when it is not kept."""

    http_status: int
    content_type: str = ""
    body: bytes | None = None


@dataclass(slots=True)
class Attempt:
    """An attempt to run the request of one key, and the answers of its witnesses in the present round.

    `promise_started_at` is when the registrations that form the majority were sent. `informed_peers` are the
    routers that may have a record of the attempt. `due_at` is when the holder processes the attempt next.
    """

    request: RequestArrived
    key: bytes
    attempt_id: str
    changed_at: float
    phase: Phase = Phase.REGISTERING
    state: str = RUNNING
    round: int = 0
    round_started_at: float = 0.0
    repeated: bool = False
    host_list_digest: bytes = b""
    witnesses: tuple[str, ...] = ()
    recorded: set[str] | frozenset[str] = field(default_factory=set)
    refused: set[str] | frozenset[str] = field(default_factory=set)
    existing: dict[str, RegistrationAnswer] = field(default_factory=dict)
    promise_started_at: float = 0.0
    informed_peers: set[str] = field(default_factory=set)
    outcome_repeats: int = 0
    due_at: float = 0.0
    answer: KeptAnswer | None = None

    def start_round(self, witnesses: tuple[str, ...], digest: bytes, now: float) -> None:
        """Start a registration round with the given witnesses."""
        self.round += 1
        self.round_started_at = now
        self.repeated = False
        self.host_list_digest = digest
        self.witnesses = witnesses
        self.informed_peers.update(witnesses)
        self.recorded.clear()
        self.refused.clear()
        self.existing.clear()

    def forget_round(self) -> None:
        """Drop the answers of the witnesses, to save memory while the ended attempt is kept."""
        self.recorded = self.refused = frozenset()
        self.existing = {}

    def register_message(self) -> RegistrationRequest:
        """Return the message that registers the attempt with its witnesses."""
        return RegistrationRequest(
            self.key, self.attempt_id, self.request.body_digest, self.host_list_digest, self.round
        )

    def outcome_message(self) -> AttemptStateReport:
        """Return the message that reports the present state to the witnesses."""
        return AttemptStateReport(self.key, self.attempt_id, self.state, self.http_status)

    def record(self, holder: str, now: float) -> KeyRecord:
        """Return the attempt as a witness would record it."""
        return KeyRecord(
            key=self.key,
            attempt_id=self.attempt_id,
            holder=holder,
            body_digest=self.request.body_digest,
            state=self.state,
            http_status=self.http_status,
            age_seconds=now - self.changed_at,
        )

    def record_answer(self, witness: str, answer: RegistrationAnswer) -> None:
        """Record a witness's answer, if it belongs to the present round."""
        if witness not in self.witnesses or answer.round != self.round:
            return
        if answer.status == RECORDED:
            self.recorded.add(witness)
        elif answer.status == EXISTING and answer.existing_attempt != self.attempt_id:
            self.existing[witness] = answer
        else:
            self.refused.add(witness)

    @property
    def http_status(self) -> int:
        """Return the status of the answer, 0 without one."""
        return self.answer.http_status if self.answer else 0

    @property
    def has_majority(self) -> bool:
        """Return whether a majority has recorded the attempt in this round."""
        return bool(self.witnesses) and len(self.recorded) >= majority(len(self.witnesses))

    @property
    def other_attempt_ended(self) -> bool:
        """Return whether a witness has recorded another attempt that ran or may have run."""
        return any(answer.existing_state != RUNNING for answer in self.existing.values())

    @property
    def has_failed(self) -> bool:
        """Return whether this round can no longer get a majority, or another attempt ran or may have run."""
        lost = len(self.existing.keys() | self.refused)
        return self.other_attempt_ended or len(self.witnesses) - lost < majority(len(self.witnesses))

    @property
    def unanswered_witnesses(self) -> list[str]:
        """Return the witnesses that have not answered in this round."""
        answered = self.recorded | self.refused | self.existing.keys()
        return [witness for witness in self.witnesses if witness not in answered]

    @property
    def is_live(self) -> bool:
        """Return whether the attempt has not been abandoned."""
        return self.state != ABANDONED
