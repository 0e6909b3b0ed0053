"""Idempotency keys: this router as a witness of attempts and as the holder of its own attempts.

`KeyProtocol` returns typed results; the decision core sends the messages and answers the callers.
"""

from __future__ import annotations

import hashlib
import random
from functools import singledispatchmethod
from typing import TYPE_CHECKING

from limpetusher.configuration.compiled import HostList
from limpetusher.core.inputs import RequestArrived
from limpetusher.core.refusals import Ran
from limpetusher.core.request.holder import Holder
from limpetusher.core.request.key_records import KeyRecords, RecordsFullError
from limpetusher.core.request.registration import EXISTING, NOT_READY, OTHER_HOSTS, RECORDED, KeptAnswer
from limpetusher.core.request.witness_readiness import WitnessReadiness
from limpetusher.core.request.witness_results import (
    AttemptAdmitted,
    AttemptRejected,
    KeyProtocolResult,
    SendKeyMessage,
    WitnessReady,
)
from limpetusher.core.request.witness_sets import RouterList
from limpetusher.core.settings import PolicySettings
from limpetusher.wire.messages import (
    AnswerCopy,
    AnswerRequest,
    AttemptStateReport,
    KeyRecord,
    KeySync,
    KeySyncRequest,
    PeerPayload,
    RegistrationAnswer,
    RegistrationRequest,
)

if TYPE_CHECKING:
    from limpetusher.core.process.membership import Membership

__all__ = [
    "AttemptAdmitted",
    "AttemptRejected",
    "KeyProtocol",
    "KeyProtocolResult",
    "SendKeyMessage",
    "WitnessReady",
]

RECORDS_PER_MESSAGE = 5000
KEY_BYTES = 16


def key_of(request: RequestArrived) -> bytes:
    """Return the fleet-wide identifier of a customer's idempotency key.

    Raises
    ------
    ValueError
        If the request has no key.
    """
    if request.idempotency_key is None:
        raise ValueError(f"request {request.request_id} has no idempotency key")
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    for part in (request.customer, request.idempotency_key):
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(4, "big") + encoded)
    return digest.digest()


class KeyProtocol:
    """Implements the key protocol at one router, as witness and as holder.

    `register` asks the key's witnesses to record an attempt. The result is an `AttemptAdmitted`,
    `AttemptRejected` or `Replay`, returned at once or by a later call. An admitted request may be sent
    before `send_before`; `mark_sent`, `mark_not_sent` and `end_attempt` record its further course.
    A request that is admitted and then rejected must not be sent any more.

    Parameters
    ----------
    settings
        Policy settings.
    own_id
        Host identifier of this router.
    membership
        Ranks host identifiers for a key by rendezvous hashing.
    rng
        Source of attempt identifiers and request numbers.
    started_at
        Monotonic time of the start.
    """

    def __init__(
        self,
        settings: PolicySettings,
        own_id: str,
        membership: Membership,
        rng: random.Random,
        started_at: float,
    ):
        self.settings = settings
        self.own_id = own_id
        self.readiness = WitnessReadiness(settings, own_id, membership.rank, rng, started_at)
        self.holder = Holder(settings, own_id, rng)
        self.records = KeyRecords(settings.idempotency_window_seconds)
        self.reported_ready = False

    @property
    def digest(self) -> bytes:
        """Return the digest of the router list that registrations are computed from."""
        return self.readiness.digest

    def hosts_changed(self, host_list: HostList, now: float) -> list[KeyProtocolResult]:
        """Put a host list in force."""
        router_list = RouterList.from_host_list(host_list)
        if router_list.digest == self.digest:
            return []
        self.readiness.adopt_router_list(router_list, now)
        self.holder.replays.routers = router_list.ids
        results = self.holder.hosts_changed(self.readiness.witnesses, self.digest, now)
        return self._deliver_to_self(results, now) + self.run_due(now)

    def register(self, request: RequestArrived, now: float) -> list[KeyProtocolResult]:
        """Register an attempt for a request that has an idempotency key."""
        key = key_of(request)
        results = self.holder.start_attempt_span(
            request, key, self.readiness.witnesses(key), self.digest, now
        )
        return self._deliver_to_self(results, now)

    def handle(self, sender: str, payload: PeerPayload, now: float) -> list[KeyProtocolResult]:
        """Handle a message of the key protocol from another router."""
        return self._deliver_to_self(
            self._handle_payload(payload, sender, now), now
        ) + self._report_readiness_change(now)

    def send_before(self, request_id: str) -> float | None:
        """Return the time before which an admitted request may be sent, None if it is not admitted."""
        return self.holder.send_before(request_id)

    def mark_sent(self, request_id: str, now: float) -> None:
        """Record that an admitted request is being sent to a target."""
        self.holder.mark_sent(request_id, now)

    def mark_not_sent(self, request_id: str, now: float) -> None:
        """Record that no byte of the request was sent, and that it waits again."""
        self.holder.mark_not_sent(request_id, now)

    def end_attempt(
        self,
        request_id: str,
        ran: Ran,
        now: float,
        *,
        http_status: int = 0,
        content_type: str = "",
        body: bytes | None = None,
    ) -> list[KeyProtocolResult]:
        """Record that a request ended and will not be sent again.

        Parameters
        ----------
        request_id
            A request that was given to `register`; others are ignored.
        ran
            `Ran.YES` with the whole answer, `Ran.NO` if no byte reached a target that could run it (also
            when the caller went away while it waited), else `Ran.UNKNOWN`.
        now
            Monotonic time in seconds.
        http_status, content_type, body
            The answer, for replay; `body` is None if it is too long to keep.
        """
        answer = KeptAnswer(http_status, content_type, body) if ran is Ran.YES else None
        return self._deliver_to_self(self.holder.end_attempt(request_id, ran, answer, now), now)

    def run_due(self, now: float) -> list[KeyProtocolResult]:
        """Send due requests for records, run due timers of attempts and expire records."""
        self.records.expire(now)
        results: list[KeyProtocolResult] = [
            SendKeyMessage(peer, request) for peer, request in self.readiness.due_sync_requests(now)
        ]
        results += self.holder.run_due(self.readiness.witnesses, self.digest, now)
        return self._deliver_to_self(results, now) + self._report_readiness_change(now)

    def next_due(self, now: float) -> float:
        """Return when `run_due` should be called next, infinity if never."""
        return min(self.holder.next_due(), self.readiness.next_due(now))

    def _deliver_to_self(self, results: list[KeyProtocolResult], now: float) -> list[KeyProtocolResult]:
        """Handle the messages that are addressed to this router and return the other results."""
        delivered: list[KeyProtocolResult] = []
        for result in results:
            if isinstance(result, SendKeyMessage) and result.peer == self.own_id:
                delivered += self._deliver_to_self(
                    self._handle_payload(result.payload, self.own_id, now), now
                )
            else:
                delivered.append(result)
        return delivered

    def _report_readiness_change(self, now: float) -> list[KeyProtocolResult]:
        ready = self.readiness.is_ready_for_all_keys(now)
        changed, self.reported_ready = ready and not self.reported_ready, ready
        return [WitnessReady()] if changed else []

    @singledispatchmethod
    def _handle_payload(self, payload: object, sender: str, now: float) -> list[KeyProtocolResult]:
        return []

    @_handle_payload.register
    def _handle_registration_request(
        self, message: RegistrationRequest, sender: str, now: float
    ) -> list[KeyProtocolResult]:
        return [SendKeyMessage(sender, self._record_registration(message, sender, now))]

    @_handle_payload.register
    def _handle_registration_answer(
        self, message: RegistrationAnswer, sender: str, now: float
    ) -> list[KeyProtocolResult]:
        return self.holder.handle_registration(sender, message, now)

    @_handle_payload.register
    def _handle_attempt_state_report(
        self, message: AttemptStateReport, sender: str, now: float
    ) -> list[KeyProtocolResult]:
        self.records.record_outcome(
            message.key, message.attempt_id, sender, message.state, message.http_status, now
        )
        return []

    @_handle_payload.register
    def _handle_answer_request(
        self, message: AnswerRequest, sender: str, now: float
    ) -> list[KeyProtocolResult]:
        return self.holder.send_answer_copy(sender, message)

    @_handle_payload.register
    def _handle_answer_copy(self, message: AnswerCopy, sender: str, now: float) -> list[KeyProtocolResult]:
        return self.holder.handle_answer_copy(sender, message)

    @_handle_payload.register
    def _handle_key_sync_request(
        self, message: KeySyncRequest, sender: str, now: float
    ) -> list[KeyProtocolResult]:
        same_list = message.host_list_digest == self.digest
        records = self._records_for(sender, now) if same_list else []
        records_complete, ready_for_all_keys = (
            self.readiness.records_complete,
            self.readiness.is_ready_for_all_keys(now),
        )
        parts = max(1, -(-len(records) // RECORDS_PER_MESSAGE))
        lists = self.readiness.earlier_lists(now, with_current=not same_list)
        return [
            SendKeyMessage(
                sender,
                KeySync(
                    host_list_digest=self.digest,
                    records=tuple(records[part * RECORDS_PER_MESSAGE : (part + 1) * RECORDS_PER_MESSAGE]),
                    number=message.number,
                    part=part,
                    parts=parts,
                    records_complete=records_complete,
                    ready_for_all_keys=ready_for_all_keys,
                    earlier_lists=lists if part == 0 else (),
                ),
            )
            for part in range(parts)
        ]

    @_handle_payload.register
    def _handle_key_sync(self, message: KeySync, sender: str, now: float) -> list[KeyProtocolResult]:
        merged = [self.records.merge(record, now) for record in message.records]
        # An answer counts only if there was room for all of its records.
        if all(merged):
            self.readiness.record_sync_answer(sender, message, now)
        return []

    def _record_registration(
        self, message: RegistrationRequest, sender: str, now: float
    ) -> RegistrationAnswer:
        if message.host_list_digest != self.digest:
            return self._answer_registration(message, OTHER_HOSTS)
        if not self.readiness.is_ready_for_key(message.key, now):
            return self._answer_registration(message, NOT_READY)
        try:
            entry = self.records.register(message.key, message.attempt_id, sender, message.body_digest, now)
        except RecordsFullError:
            return self._answer_registration(message, NOT_READY)
        if entry is None:
            return self._answer_registration(message, RECORDED)
        return RegistrationAnswer(
            key=message.key,
            attempt_id=message.attempt_id,
            status=EXISTING,
            existing_attempt=entry.attempt_id,
            existing_state=entry.state,
            existing_digest=entry.body_digest,
            existing_holder=entry.holder,
            existing_http_status=entry.http_status,
            round=message.round,
        )

    def _answer_registration(self, message: RegistrationRequest, status: str) -> RegistrationAnswer:
        return RegistrationAnswer(message.key, message.attempt_id, status, round=message.round)

    def _records_for(self, peer: str, now: float) -> list[KeyRecord]:
        def wanted(key: bytes) -> bool:
            return peer in self.readiness.witnesses(key)

        return self.records.select(wanted, now) + self.holder.records_for(peer, wanted, now)
