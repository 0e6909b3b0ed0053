"""Replay of the answers of finished attempts, from this router or as a copy from another one."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from limpetusher.core.actions import Replay
from limpetusher.core.request import refusals
from limpetusher.core.request.key_records import RUNNING, STATE_ORDER
from limpetusher.core.request.registration import KeptAnswer
from limpetusher.core.request.witness_results import AttemptRejected, KeyProtocolResult, SendKeyMessage
from limpetusher.core.settings import PolicySettings
from limpetusher.wire.messages import AnswerCopy, AnswerRequest

MAXIMUM_KEPT_ANSWER_BYTES = 4_194_304
MAXIMUM_WAITING_REPLAYS = 1000


@dataclass(frozen=True, slots=True)
class KnownAttempt:
    """Another attempt for the same key, as a witness or this router recorded it."""

    attempt_id: str
    holder: str
    body_digest: bytes
    state: str
    http_status: int


@dataclass(frozen=True, slots=True)
class WaitingReplay:
    """A caller that waits for a copy of an answer from its holder."""

    request_id: str
    key: bytes
    attempt_id: str
    holder: str
    times_out_at: float
    refusal: AttemptRejected
    """Answer to the caller if the holder has no copy or does not answer."""


def most_recorded_attempt(known: Iterable[KnownAttempt]) -> KnownAttempt | None:
    """Return the attempt that most witnesses have recorded; among equals, the one with the latest state."""
    attempts = list(known)
    votes = Counter(attempt.attempt_id for attempt in attempts)
    return max(
        attempts,
        key=lambda attempt: (votes[attempt.attempt_id], STATE_ORDER.get(attempt.state, 0)),
        default=None,
    )


class Replays:
    """Answers kept for replay, and callers that wait for a copy from another router.

    Parameters
    ----------
    settings
        Policy settings.
    own_id
        Host identifier of this router.
    """

    def __init__(self, settings: PolicySettings, own_id: str):
        self.settings = settings
        self.own_id = own_id
        self.routers: frozenset[str] = frozenset()
        """Identifiers of the listed routers; others can't be asked for a copy."""
        self.kept: dict[int, KeptAnswer] = {}
        self.kept_bytes = 0
        self.waiting: dict[str, WaitingReplay] = {}

    def keep(self, answer: KeptAnswer) -> None:
        """Keep an answer if it is small enough, and drop the oldest ones above the memory limit."""
        if answer.body is None:
            return
        if len(answer.body) > self.settings.kept_answer_bytes:
            answer.body = None
            return
        self.kept[id(answer)] = answer
        self.kept_bytes += len(answer.body)
        while self.kept_bytes > MAXIMUM_KEPT_ANSWER_BYTES:
            self.forget(next(iter(self.kept.values())))

    def forget(self, answer: KeptAnswer | None) -> None:
        """Drop the body of an answer."""
        if answer is not None and self.kept.pop(id(answer), None) is not None:
            self.kept_bytes -= len(answer.body or b"")
            answer.body = None

    def has_body(self, answer: KeptAnswer | None) -> bool:
        """Return whether the answer can be replayed."""
        return answer is not None and answer.body is not None

    def replay(
        self, request_id: str, key: bytes, known: KnownAttempt, own: KeptAnswer | None, now: float
    ) -> list[KeyProtocolResult]:
        """Replay a kept answer of this router, or request a copy from the holder of the attempt.

        The holder decides also when witnesses have recorded the attempt as running, as its caller may have
        the whole answer before they learn that the attempt has finished.
        """
        if self.has_body(own):
            return [Replay(request_id, own.http_status, own.content_type, own.body)]
        refusal = (
            refusals.key_in_use(request_id) if known.state == RUNNING else refusals.already_run(request_id)
        )
        has_other_holder = known.holder != self.own_id and known.holder in self.routers
        if not has_other_holder or len(self.waiting) >= MAXIMUM_WAITING_REPLAYS:
            return [refusal]
        times_out_at = now + self.settings.register_timeout_seconds
        self.waiting[request_id] = WaitingReplay(
            request_id, key, known.attempt_id, known.holder, times_out_at, refusal
        )
        return [SendKeyMessage(known.holder, AnswerRequest(key, known.attempt_id))]

    def handle_copy(self, sender: str, copy: AnswerCopy) -> list[KeyProtocolResult]:
        """Answer the callers that wait for this copy."""
        matching = [
            waiting
            for waiting in self.waiting.values()
            if (waiting.holder, waiting.key, waiting.attempt_id) == (sender, copy.key, copy.attempt_id)
        ]
        results: list[KeyProtocolResult] = []
        for waiting in matching:
            del self.waiting[waiting.request_id]
            if copy.available:
                results.append(Replay(waiting.request_id, copy.http_status, copy.content_type, copy.body))
            else:
                results.append(waiting.refusal)
        return results

    def cancel(self, request_id: str) -> None:
        """Drop the waiting replay of a caller that closed its connection."""
        self.waiting.pop(request_id, None)

    def time_out(self, now: float) -> list[KeyProtocolResult]:
        """Refuse the callers whose copy did not arrive in time."""
        late = [waiting for waiting in self.waiting.values() if waiting.times_out_at <= now]
        for waiting in late:
            del self.waiting[waiting.request_id]
        return [waiting.refusal for waiting in late]

    def next_due(self) -> float:
        """Return when the first waiting replay times out, infinity if none waits."""
        return min((waiting.times_out_at for waiting in self.waiting.values()), default=float("inf"))
