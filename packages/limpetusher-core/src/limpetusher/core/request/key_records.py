"""Records of attempts for idempotency keys, as a witness keeps them (design, 4.6)."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from limpetusher.wire.messages import KeyRecord

RUNNING = "running"
UNKNOWN = "unknown"
FINISHED = "finished"
ABANDONED = "abandoned"
STATE_ORDER = {RUNNING: 0, UNKNOWN: 1, FINISHED: 2, ABANDONED: 3}
MAXIMUM_RECORDS = 20_000


class RecordsFullError(Exception):
    """No further attempt can be recorded until an older one expires."""


@dataclass(slots=True)
class RecordedAttempt:
    """A recorded attempt. `body_digest` is empty if only a report of its state has arrived."""

    attempt_id: str
    holder: str
    body_digest: bytes
    state: str
    http_status: int
    changed_at: float


class KeyRecords:
    """Attempts by key, each kept for at least a window after its last change.

    A key can have several attempts: a witness that synchronises may receive one that got no majority and
    one that got it, and cannot distinguish them.

    Parameters
    ----------
    window_seconds
        How long a record lasts after its last change.
    maximum_records
        How many attempts are kept at most; further ones are not recorded.
    """

    def __init__(self, window_seconds: float, *, maximum_records: int = MAXIMUM_RECORDS):
        self.window_seconds = window_seconds
        self.maximum_records = maximum_records
        self.by_key: OrderedDict[bytes, dict[str, RecordedAttempt]] = OrderedDict()
        self.count = 0

    def register(
        self, key: bytes, attempt_id: str, holder: str, body_digest: bytes, now: float
    ) -> RecordedAttempt | None:
        """Record an attempt, or return the recorded attempt that prevents it.

        Raises
        ------
        RecordsFullError
            If the attempt is new and there is no room for it.
        """
        self.expire(now)
        self._expire_key(key, now)
        entries = self.by_key.get(key, {})
        others = [entry for entry in entries.values() if entry.attempt_id != attempt_id]
        blocking = [entry for entry in others if entry.state != ABANDONED]
        if blocking:
            return max(blocking, key=lambda entry: STATE_ORDER[entry.state])
        own = entries.get(attempt_id)
        if own is None:
            self._add(key, RecordedAttempt(attempt_id, holder, body_digest, RUNNING, 0, now))
            return None
        if own.state != RUNNING:
            return own
        own.changed_at = now
        self.by_key.move_to_end(key)
        return None

    def record_outcome(
        self, key: bytes, attempt_id: str, holder: str, state: str, http_status: int, now: float
    ) -> None:
        """Record the state that the holder of an attempt reports.

        An attempt that is not recorded yet is added: a reported run prevents a second one, and an
        abandoned attempt must not be recorded by a registration that arrives late.
        """
        if state not in STATE_ORDER:
            return
        self.expire(now)
        entry = self.by_key.get(key, {}).get(attempt_id)
        if entry is None:
            if self.count < self.maximum_records:
                self._add(key, RecordedAttempt(attempt_id, holder, b"", state, http_status, now))
            return
        if entry.holder != holder or STATE_ORDER[state] < STATE_ORDER[entry.state]:
            return
        entry.state, entry.http_status, entry.changed_at = state, http_status, now
        self.by_key.move_to_end(key)

    def merge(self, record: KeyRecord, now: float) -> bool:
        """Merge a record from another router; return False if there is no room for it."""
        changed_at = now - max(record.age_seconds, 0.0)
        if changed_at + self.window_seconds <= now or record.state not in STATE_ORDER:
            return True
        entry = self.by_key.get(record.key, {}).get(record.attempt_id)
        if entry is None:
            if self.count >= self.maximum_records:
                return False
            self._add(
                record.key,
                RecordedAttempt(
                    record.attempt_id,
                    record.holder,
                    record.body_digest,
                    record.state,
                    record.http_status,
                    changed_at,
                ),
            )
            return True
        if STATE_ORDER[record.state] > STATE_ORDER[entry.state]:
            entry.state, entry.http_status = record.state, record.http_status
        entry.body_digest = entry.body_digest or record.body_digest
        entry.changed_at = max(entry.changed_at, changed_at)
        return True

    def select(self, wanted: Callable[[bytes], bool], now: float) -> list[KeyRecord]:
        """Return the records of the keys that `wanted` accepts."""
        self.expire(now)
        return [
            KeyRecord(
                key=key,
                attempt_id=entry.attempt_id,
                holder=entry.holder,
                body_digest=entry.body_digest,
                state=entry.state,
                http_status=entry.http_status,
                age_seconds=now - entry.changed_at,
            )
            for key, entries in self.by_key.items()
            if wanted(key)
            for entry in entries.values()
        ]

    def expire(self, now: float) -> None:
        """Remove the attempts whose last change is a window ago."""
        while self.by_key:
            key = next(iter(self.by_key))
            self._expire_key(key, now)
            if key in self.by_key:
                return

    def _expire_key(self, key: bytes, now: float) -> None:
        entries = self.by_key.get(key, {})
        limit = now - self.window_seconds
        for attempt_id in [name for name, entry in entries.items() if entry.changed_at <= limit]:
            del entries[attempt_id]
            self.count -= 1
        if not entries:
            self.by_key.pop(key, None)

    def _add(self, key: bytes, entry: RecordedAttempt) -> None:
        if self.count >= self.maximum_records:
            raise RecordsFullError
        self.by_key.setdefault(key, {})[entry.attempt_id] = entry
        self.by_key.move_to_end(key)
        self.count += 1
