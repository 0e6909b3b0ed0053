"""Reading the load of the targets that this router owns."""

import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import msgspec
from circuits.core import handler

from limpetusher.clock import Clock
from limpetusher.core.inputs import LoadReported, LoadReportFailed
from limpetusher_router.connection.fetching import Fetched, Fetcher
from limpetusher_router.events import CORE, LOADS, CoreInput, Due
from limpetusher_router.process.deadlines import Deadlines
from limpetusher_router.settings import RouterSettings

IDLE_SECONDS = 1.0
UNKNOWN_AGE_SECONDS = 3600.0

logger = logging.getLogger(__name__)


class LoadDocument(msgspec.Struct):
    """Load report of a target. `measured_at` is a sequence number that grows with each measurement."""

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
class LoadPoll:
    """Polls of one target; times are readings of the monotonic clock.

    `older_sent_at` is when the last poll was sent that was still answered with an older measurement.
    """

    sent_at: float
    measurement: tuple[str, int] | None = None
    measurement_sent_at: float = 0.0
    older_sent_at: float | None = None


class LoadReader(Fetcher):
    """Reads the load of each owned target at a fixed interval.

    Parameters
    ----------
    settings
        Settings of the router.
    clock
        Source of time.
    deadlines
        Heap of deadlines.
    owned_targets
        Returns the addresses of the targets that this router owns by target id.
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
        self.polls: dict[str, LoadPoll] = {}
        deadlines.schedule_in(0.0, Due(), LOADS)

    @handler("Due")
    def on_due(self, _subject: object) -> None:
        """Poll the owned targets whose last poll has been answered."""
        self.deadlines.schedule_in(self.settings.load_poll_seconds, Due(), LOADS)
        owned = self.owned_targets()
        for target_id in self.polls.keys() - owned.keys():
            del self.polls[target_id]
            self.abandon((target_id,))
        for target_id, address in owned.items():
            if (target_id,) in self.fetches:
                continue
            poll = self.polls.setdefault(target_id, LoadPoll(0.0))
            poll.sent_at = self.clock.monotonic()
            self.fetch((target_id,), address, "/load", idle_seconds=IDLE_SECONDS)

    def fetched(self, key: tuple, answer: Fetched) -> None:
        """Hand a report to the core."""
        target_id = key[0]
        poll = self.polls.get(target_id)
        if poll is None:
            return
        if answer.error or answer.status != 200:
            self.failed(target_id, answer.error or f"status {answer.status}")
            return
        try:
            report = LOAD_DECODER.decode(bytes(answer.body))
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            self.failed(target_id, str(error))
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

    def failed(self, target_id: str, reason: str) -> None:
        """Tell the core that a report could not be read."""
        logger.debug("load of %s not read: %s", target_id, reason)
        self.fire(CoreInput(LoadReportFailed(target_id)), CORE)

    def report_age(self, poll: LoadPoll, report: LoadDocument) -> float:
        """Return how old a report is at most.

        A target that tells the age of its report is believed, and the time of the poll is added. Otherwise
        the measurement was made after the last poll that was still answered with an older one was sent.
        """
        now = self.clock.monotonic()
        measurement = (report.boot_id, report.measured_at)
        if measurement != poll.measurement:
            poll.older_sent_at = poll.measurement_sent_at if poll.measurement is not None else None
            poll.measurement = measurement
        poll.measurement_sent_at = poll.sent_at
        if report.report_age_seconds is not None and report.report_age_seconds >= 0:
            return report.report_age_seconds + now - poll.sent_at
        if poll.older_sent_at is None:
            return UNKNOWN_AGE_SECONDS
        return now - poll.older_sent_at
