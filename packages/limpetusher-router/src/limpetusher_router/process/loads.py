"""Reads the load reports of the targets that this router owns."""

import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import msgspec
from circuits.core import handler

from limpetusher.clock import Clock
from limpetusher.core.inputs import LoadReported, LoadReportFailed
from limpetusher_router.connection.fetching import DocumentFetcher, FetchedDocument
from limpetusher_router.events import CORE, LOADS, CoreInput, DeadlineReached
from limpetusher_router.process.deadlines import Deadlines
from limpetusher_router.settings import RouterSettings

IDLE_TIMEOUT_SECONDS = 1.0
DEFAULT_REPORT_AGE_SECONDS = 3600.0

logger = logging.getLogger(__name__)


class LoadDocument(msgspec.Struct):
    """Load report of a target. `measured_at` is a sequence number that increases with each measurement."""

    running: int
    warm: bool
    boot_id: str
    highest_fencing_number: int = 0
    measured_at: int = 0
    loaded_models: tuple[str, ...] = ()
    role: str | None = None
    report_age_seconds: float | None = None


LOAD_DECODER = msgspec.json.Decoder(LoadDocument)


@dataclass(slots=True)
class TargetPollState:
    """State of the polls of one target. Times are readings of the monotonic clock.

    `previous_measurement_sent_at` is when the last poll that returned the previous measurement was sent.
    """

    sent_at: float
    measurement: tuple[str, int] | None = None
    measurement_sent_at: float = 0.0
    previous_measurement_sent_at: float | None = None


class LoadReportReader(DocumentFetcher):
    """Reads the load report of each owned target at a fixed interval.

    Parameters
    ----------
    settings
        Settings of the router.
    clock
        Source of time.
    deadlines
        Heap of deadlines.
    owned_targets
        Returns the addresses of the targets that this router owns, by target id.
    """

    channel = LOADS

    def __init__(
        self,
        settings: RouterSettings,
        *,
        clock: Clock,
        deadlines: Deadlines,
        owned_targets: Callable[[], Mapping[str, str]],
    ):
        super().__init__()
        self.settings = settings
        self.clock = clock
        self.deadlines = deadlines
        self.owned_targets = owned_targets
        self.poll_states: dict[str, TargetPollState] = {}
        deadlines.schedule_in(0.0, DeadlineReached(), LOADS)

    @handler("DeadlineReached")
    def on_due(self, _subject: object) -> None:
        """Poll the owned targets that have no poll in progress."""
        self.deadlines.schedule_in(self.settings.load_poll_seconds, DeadlineReached(), LOADS)
        owned = self.owned_targets()
        for target_id in self.poll_states.keys() - owned.keys():
            del self.poll_states[target_id]
            self.cancel_fetch((target_id,))
        for target_id, address in owned.items():
            if (target_id,) in self.pending_fetches:
                continue
            poll = self.poll_states.setdefault(target_id, TargetPollState(0.0))
            poll.sent_at = self.clock.monotonic()
            self.fetch((target_id,), address, "/load", idle_timeout_seconds=IDLE_TIMEOUT_SECONDS)

    def on_fetched(self, key: tuple, answer: FetchedDocument) -> None:
        """Pass a report to the core."""
        target_id = key[0]
        poll = self.poll_states.get(target_id)
        if poll is None:
            return
        if answer.error or answer.status != 200:
            self.report_read_failure(target_id, answer.error or f"status {answer.status}")
            return
        try:
            report = LOAD_DECODER.decode(bytes(answer.body))
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            self.report_read_failure(target_id, str(error))
            return
        reported = LoadReported(
            target_id=target_id,
            running=report.running,
            warm=report.warm,
            boot_id=report.boot_id,
            report_age_seconds=self.report_age(poll, report),
            highest_fencing_number=report.highest_fencing_number,
            loaded_models=report.loaded_models,
            role=report.role,
        )
        self.fire(CoreInput(reported), CORE)

    def report_read_failure(self, target_id: str, reason: str) -> None:
        """Inform the core that a report could not be read."""
        logger.debug("failed to read the load report of %s: %s", target_id, reason)
        self.fire(CoreInput(LoadReportFailed(target_id)), CORE)

    def report_age(self, poll: TargetPollState, report: LoadDocument) -> float:
        """Return an upper bound of the age of a report.

        If the target states the age of its report, the duration of the poll is added to it. Otherwise, the
        measurement was made after the last poll that returned the previous measurement was sent.
        """
        now = self.clock.monotonic()
        measurement = (report.boot_id, report.measured_at)
        if measurement != poll.measurement:
            poll.previous_measurement_sent_at = (
                poll.measurement_sent_at if poll.measurement is not None else None
            )
            poll.measurement = measurement
        poll.measurement_sent_at = poll.sent_at
        if report.report_age_seconds is not None and report.report_age_seconds >= 0:
            return report.report_age_seconds + now - poll.sent_at
        if poll.previous_measurement_sent_at is None:
            return DEFAULT_REPORT_AGE_SECONDS
        return now - poll.previous_measurement_sent_at
