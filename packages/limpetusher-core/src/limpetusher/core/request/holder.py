"""Holder of attempts for idempotency keys: registers them, reports their states and keeps their answers.

The holder of an attempt is the router that received its request.
"""

import heapq
import itertools
import random
from collections.abc import Callable

from limpetusher.core.inputs import RequestArrived
from limpetusher.core.refusals import Ran
from limpetusher.core.request import refusals
from limpetusher.core.request.key_records import ABANDONED, FINISHED, RUNNING, UNKNOWN
from limpetusher.core.request.registration import RECORDED, Attempt, KeptAnswer, Phase
from limpetusher.core.request.replays import KnownAttempt, Replays, most_recorded_attempt
from limpetusher.core.request.witness_results import AttemptAdmitted, KeyProtocolResult, SendKeyMessage
from limpetusher.core.settings import PolicySettings
from limpetusher.wire.messages import AnswerCopy, AnswerRequest, KeyRecord, RegistrationAnswer

MAXIMUM_ATTEMPTS = 10_000
OUTCOME_REPEATS = 3
OUTCOME_REPEAT_SECONDS = 0.5
RENEWAL_RETRY_SECONDS = 2.0
RUNNING_REPORTS_PER_WINDOW = 4
STATE_BY_RAN = {Ran.YES: FINISHED, Ran.UNKNOWN: UNKNOWN, Ran.NO: ABANDONED}

WitnessesOf = Callable[[bytes], tuple[str, ...]]


class Holder:
    """Attempts that this router holds.

    Parameters
    ----------
    settings
        Policy settings.
    own_id
        Host identifier of this router.
    rng
        Source of attempt identifiers.
    """

    def __init__(self, settings: PolicySettings, own_id: str, rng: random.Random):
        self.settings = settings
        self.own_id = own_id
        self.rng = rng
        self.by_request: dict[str, Attempt] = {}
        self.by_attempt: dict[str, Attempt] = {}
        self.by_key: dict[bytes, dict[str, Attempt]] = {}
        self.replays = Replays(settings, own_id)
        self.schedule: list[tuple[float, int, str]] = []
        self.tie_breaker = itertools.count()

    @property
    def promise_seconds(self) -> float:
        """Return how long after its registration an attempt may be sent.

        This is half of the window for which witnesses keep records, so that an attempt is still recorded
        when a slow clock sends it late.
        """
        return self.settings.idempotency_window_seconds / 2

    def start_attempt_span(
        self, request: RequestArrived, key: bytes, witnesses: tuple[str, ...], digest: bytes, now: float
    ) -> list[KeyProtocolResult]:
        """Register an attempt with the witnesses, unless this router already holds one for the key."""
        held = [attempt for attempt in self.by_key.get(key, {}).values() if attempt.is_live]
        if held:
            known = [self._known(attempt) for attempt in held]
            return self._answer_repeat(request, key, known, now)
        if not witnesses or len(self.by_attempt) >= MAXIMUM_ATTEMPTS:
            return [refusals.no_quorum(request.request_id)]
        attempt_id = f"{self.own_id}:{self.rng.getrandbits(64):016x}"
        attempt = Attempt(request, key, attempt_id, now)
        self.by_request[request.request_id] = attempt
        self.by_attempt[attempt_id] = attempt
        self.by_key.setdefault(key, {})[attempt_id] = attempt
        return self._start_round(attempt, witnesses, digest, now)

    def handle_registration(
        self, sender: str, answer: RegistrationAnswer, now: float
    ) -> list[KeyProtocolResult]:
        """Handle a witness's answer to a registration."""
        results = self._correct_stale_witness(sender, answer)
        attempt = self.by_attempt.get(answer.attempt_id)
        if attempt is None or attempt.phase in (Phase.SENT, Phase.ENDED):
            return results
        if now >= attempt.round_started_at + self.settings.register_timeout_seconds:
            return results
        attempt.record_answer(sender, answer)
        return results + self._evaluate_round(attempt, now)

    def send_before(self, request_id: str) -> float | None:
        """Return the time before which an admitted request may be sent, None if it is not admitted."""
        attempt = self.by_request.get(request_id)
        if attempt is None or attempt.phase not in (Phase.ADMITTED, Phase.SENT):
            return None
        return attempt.promise_started_at + self.promise_seconds

    def mark_sent(self, request_id: str, now: float) -> None:
        """Record that an admitted request is being sent."""
        attempt = self.by_request.get(request_id)
        if attempt is not None and attempt.phase is Phase.ADMITTED:
            attempt.phase = Phase.SENT
            self._set_due(attempt, now + self._report_interval)

    def mark_not_sent(self, request_id: str, now: float) -> None:
        """Record that no byte was sent, so that the request may wait for another target."""
        attempt = self.by_request.get(request_id)
        if attempt is not None and attempt.phase is Phase.SENT:
            attempt.phase = Phase.ADMITTED
            self._set_due(attempt, now)

    def end_attempt(
        self, request_id: str, ran: Ran, answer: KeptAnswer | None, now: float
    ) -> list[KeyProtocolResult]:
        """Record how a request ended; it will not be sent again."""
        attempt = self.by_request.get(request_id)
        if attempt is None:
            self.replays.cancel(request_id)
            return []
        return self._end(attempt, STATE_BY_RAN[ran], answer, now)

    def hosts_changed(self, witnesses_of: WitnessesOf, digest: bytes, now: float) -> list[KeyProtocolResult]:
        """Register the attempts that have no majority yet again, under the new host list."""
        results: list[KeyProtocolResult] = []
        for attempt in list(self.by_request.values()):
            if attempt.phase is Phase.REGISTERING:
                results += self._start_round(attempt, witnesses_of(attempt.key), digest, now)
        return results

    def send_answer_copy(self, sender: str, request: AnswerRequest) -> list[KeyProtocolResult]:
        """Send a copy of a kept answer to another router."""
        attempt = self.by_attempt.get(request.attempt_id)
        copy = AnswerCopy(request.key, request.attempt_id, available=False)
        if attempt is not None and attempt.key == request.key and self.replays.has_body(attempt.answer):
            answer = attempt.answer
            copy = AnswerCopy(
                request.key,
                request.attempt_id,
                available=True,
                http_status=answer.http_status,
                content_type=answer.content_type,
                body=answer.body,
            )
        return [SendKeyMessage(sender, copy)]

    def handle_answer_copy(self, sender: str, copy: AnswerCopy) -> list[KeyProtocolResult]:
        """Answer the callers that wait for this copy."""
        return self.replays.handle_copy(sender, copy)

    def records_for(self, peer: str, wanted: Callable[[bytes], bool], now: float) -> list[KeyRecord]:
        """Return the attempts that a synchronising witness needs, and report their later states to it."""
        chosen = [
            attempt
            for key, attempts in self.by_key.items()
            if wanted(key)
            for attempt in attempts.values()
            if attempt.phase is not Phase.REGISTERING
        ]
        for attempt in chosen:
            attempt.informed_peers.add(peer)
        return [attempt.record(self.own_id, now) for attempt in chosen]

    def run_due(self, witnesses_of: WitnessesOf, digest: bytes, now: float) -> list[KeyProtocolResult]:
        """Repeat messages, renew registrations, and end attempts that have timed out."""
        results = self.replays.time_out(now)
        while self.schedule and self.schedule[0][0] <= now:
            due_at, _, attempt_id = heapq.heappop(self.schedule)
            attempt = self.by_attempt.get(attempt_id)
            if attempt is not None and attempt.due_at == due_at:
                results += self._process_due_attempt(attempt, witnesses_of, digest, now)
        return results

    def next_due(self) -> float:
        """Return when `run_due` has something to do, infinity if never."""
        first = self.schedule[0][0] if self.schedule else float("inf")
        return min(first, self.replays.next_due())

    @property
    def _report_interval(self) -> float:
        return self.settings.idempotency_window_seconds / RUNNING_REPORTS_PER_WINDOW

    def _process_due_attempt(
        self, attempt: Attempt, witnesses_of: WitnessesOf, digest: bytes, now: float
    ) -> list[KeyProtocolResult]:
        match attempt.phase:
            case Phase.REGISTERING:
                return self._continue_round(attempt, now)
            case Phase.ADMITTED:
                return self._renew(attempt, witnesses_of(attempt.key), digest, now)
            case Phase.SENT:
                attempt.changed_at = now
                attempt.informed_peers.update(witnesses_of(attempt.key))
                self._set_due(attempt, now + self._report_interval)
                return self._report_state(attempt)
        if attempt.outcome_repeats > 0:
            attempt.outcome_repeats -= 1
            self._set_due(attempt, now + OUTCOME_REPEAT_SECONDS)
            return self._report_state(attempt)
        forget_at = attempt.changed_at + self.settings.idempotency_window_seconds
        if now >= forget_at:
            self._forget(attempt)
        else:
            self._set_due(attempt, forget_at)
        return []

    def _start_round(
        self, attempt: Attempt, witnesses: tuple[str, ...], digest: bytes, now: float
    ) -> list[KeyProtocolResult]:
        attempt.start_round(witnesses, digest, now)
        if attempt.phase is Phase.REGISTERING:
            self._set_due(attempt, now + self.settings.register_timeout_seconds / 2)
        message = attempt.register_message()
        return [SendKeyMessage(witness, message) for witness in witnesses]

    def _continue_round(self, attempt: Attempt, now: float) -> list[KeyProtocolResult]:
        times_out_at = attempt.round_started_at + self.settings.register_timeout_seconds
        if now >= times_out_at:
            return self._abandon(attempt, now)
        self._set_due(attempt, times_out_at)
        message = attempt.register_message()
        return [SendKeyMessage(witness, message) for witness in attempt.unanswered_witnesses]

    def _renew(
        self, attempt: Attempt, witnesses: tuple[str, ...], digest: bytes, now: float
    ) -> list[KeyProtocolResult]:
        ends_at = attempt.promise_started_at + self.promise_seconds
        if now >= ends_at:
            return self._abandon(attempt, now)
        renew_at = attempt.promise_started_at + self.promise_seconds / 2
        if now < renew_at:
            self._set_due(attempt, renew_at)
            return []
        self._set_due(attempt, min(ends_at, now + RENEWAL_RETRY_SECONDS))
        return self._start_round(attempt, witnesses, digest, now)

    def _evaluate_round(self, attempt: Attempt, now: float) -> list[KeyProtocolResult]:
        if attempt.phase is Phase.REGISTERING and attempt.has_failed:
            return self._abandon(attempt, now)
        if attempt.other_attempt_ended:
            return self._abandon(attempt, now)
        if not attempt.has_majority:
            return []
        attempt.promise_started_at = attempt.round_started_at
        attempt.changed_at = now
        self._set_due(attempt, attempt.promise_started_at + self.promise_seconds / 2)
        if attempt.phase is not Phase.REGISTERING:
            return []
        attempt.phase = Phase.ADMITTED
        send_before = attempt.promise_started_at + self.promise_seconds
        return [AttemptAdmitted(attempt.request.request_id, attempt.attempt_id, send_before)]

    def _abandon(self, attempt: Attempt, now: float) -> list[KeyProtocolResult]:
        known = [
            KnownAttempt(
                answer.existing_attempt,
                answer.existing_holder,
                answer.existing_digest,
                answer.existing_state,
                answer.existing_http_status,
            )
            for answer in attempt.existing.values()
        ]
        results = self._end(attempt, ABANDONED, None, now)
        return results + self._answer_repeat(attempt.request, attempt.key, known, now)

    def _end(
        self, attempt: Attempt, state: str, answer: KeptAnswer | None, now: float
    ) -> list[KeyProtocolResult]:
        attempt.phase, attempt.state, attempt.changed_at = Phase.ENDED, state, now
        attempt.answer = answer
        attempt.forget_round()
        if answer is not None:
            self.replays.keep(answer)
        self.by_request.pop(attempt.request.request_id, None)
        attempt.outcome_repeats = OUTCOME_REPEATS
        self._set_due(attempt, now + OUTCOME_REPEAT_SECONDS)
        return self._report_state(attempt)

    def _report_state(self, attempt: Attempt) -> list[KeyProtocolResult]:
        message = attempt.outcome_message()
        return [SendKeyMessage(peer, message) for peer in sorted(attempt.informed_peers)]

    def _answer_repeat(
        self, request: RequestArrived, key: bytes, known: list[KnownAttempt], now: float
    ) -> list[KeyProtocolResult]:
        best = most_recorded_attempt(known)
        if best is None:
            return [refusals.no_quorum(request.request_id)]
        if best.body_digest and best.body_digest != request.body_digest:
            return [refusals.key_reused(request.request_id)]
        if best.state not in (RUNNING, FINISHED):
            return [refusals.key_in_use(request.request_id)]
        own = self.by_attempt.get(best.attempt_id)
        return self.replays.replay(request.request_id, key, best, own.answer if own else None, now)

    def _correct_stale_witness(self, sender: str, answer: RegistrationAnswer) -> list[KeyProtocolResult]:
        # A witness that missed the message that an attempt was abandoned would refuse the key until the
        # record of the attempt expires.
        attempt_ids = (answer.attempt_id, answer.existing_attempt)
        stale = [self.by_attempt[known] for known in attempt_ids if known in self.by_attempt]
        return [
            SendKeyMessage(sender, attempt.outcome_message())
            for attempt in stale
            if attempt.state == ABANDONED and (answer.status == RECORDED or answer.existing_state == RUNNING)
        ]

    def _known(self, attempt: Attempt) -> KnownAttempt:
        return KnownAttempt(
            attempt.attempt_id,
            self.own_id,
            attempt.request.body_digest,
            attempt.state,
            attempt.http_status,
        )

    def _set_due(self, attempt: Attempt, due_at: float) -> None:
        attempt.due_at = due_at
        heapq.heappush(self.schedule, (due_at, next(self.tie_breaker), attempt.attempt_id))

    def _forget(self, attempt: Attempt) -> None:
        del self.by_attempt[attempt.attempt_id]
        attempts = self.by_key[attempt.key]
        del attempts[attempt.attempt_id]
        if not attempts:
            del self.by_key[attempt.key]
        self.replays.forget(attempt.answer)
