"""Checks whether the process at the address of an engine is still the one that the store lists.

An engine may restart under its identifier with another software version. A router whose copy of the store is
not up to date does not learn of that, and the engine would go on with a stream that it has not begun.
"""

from dataclasses import dataclass, field

from circuits.core import BaseComponent, handler

from limpetusher.events import Event
from limpetusher.fleet.model import Target
from limpetusher_router.connection.framing import AnswerHead
from limpetusher_router.events import (
    CHECKS,
    REQUESTS,
    TARGETS,
    Attempt,
    AttemptResult,
    CancelAttempt,
    StartAttempt,
    TargetChecked,
)
from limpetusher_router.platform.reports import decode_start_time, report_request
from limpetusher_router.process.logs import log_event

MAX_CHECK_SECONDS = 0.5
"""Time within which an engine has to report; it does so without a free slot."""
MAX_REPORT_BYTES = 262_144
OK_STATUS = 200

CheckKey = tuple[str, int]
"""Identifier of a request and number of its attempt at the scheduler."""


@dataclass(slots=True)
class Check:
    """Report of an engine that is awaited."""

    target: Target
    head: AnswerHead | None = None
    body: bytearray = field(default_factory=bytearray)


class TargetChecks(BaseComponent):
    """Asks engines when they have started, and announces whether that is what the store lists."""

    channel = CHECKS

    def __init__(self):
        super().__init__()
        self.checks: dict[CheckKey, Check] = {}

    @handler("CheckTarget")
    def on_check(self, key: CheckKey, target: Target) -> None:
        """Ask an engine for its report."""
        self.checks[key] = Check(target)
        attempt = Attempt(
            key=key,
            channel=CHECKS,
            address=target.address,
            request=report_request(target.address),
            idle_timeout_seconds=MAX_CHECK_SECONDS,
        )
        self.fire(StartAttempt(attempt), TARGETS)

    @handler("AnswerHeadReceived")
    def on_answer_started(self, key: CheckKey, head: AnswerHead) -> None:
        """Record the head of a report."""
        if key in self.checks:
            self.checks[key].head = head

    @handler("AnswerPartReceived")
    def on_answer_part(self, key: CheckKey, data: bytes) -> None:
        """Add a part of a report; one that is too long is given up."""
        check = self.checks.get(key)
        if check is None:
            return
        check.body += data
        if len(check.body) > MAX_REPORT_BYTES:
            self.fire(CancelAttempt(key, CHECKS), TARGETS)
            self.finish(key, "too long")

    @handler("AttemptEnded")
    def on_answer_ended(self, key: CheckKey, end: AttemptResult, detail: str = "") -> None:
        """Compare the report with the entry of the engine."""
        check = self.checks.get(key)
        if check is None:
            return
        if end not in (AttemptResult.COMPLETE, AttemptResult.CLOSED) or check.head.status != OK_STATUS:
            self.finish(key, detail or end.value)
        elif decode_start_time(bytes(check.body)) != check.target.started_at_milliseconds:
            self.finish(key, "another start")
        else:
            self.finish(key)

    def finish(self, key: CheckKey, reason: str = "") -> None:
        """Announce the result of a check, which has failed for a reason if there is one."""
        target = self.checks.pop(key).target
        if reason:
            log_event(Event.TARGET_NOT_IDENTIFIED, target=target.target_id, reason=reason)
        self.fire(TargetChecked(*key, target.target_id, is_listed_process=not reason), REQUESTS)
