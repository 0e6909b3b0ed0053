"""Load shedding at the port for callers: asks for the decision, and records and logs what was shed."""

from collections import Counter
from collections.abc import Callable
from dataclasses import replace

from limpetusher.clock import Clock
from limpetusher.events import Event
from limpetusher.fleet.process.load_shedding import LoadShedder, ShedCounts, Verdict
from limpetusher.fleet.process.stated_waits import StatedWaits
from limpetusher_router.connection.framing import RequestHead
from limpetusher_router.platform.shedding import decode_shedding_fields
from limpetusher_router.process.logs import log_event

LOG_INTERVAL_SECONDS = 1.0
LOGGED_CUSTOMERS = 3
"""Customers with the most shed requests that a log line names."""


class CallerShedding:
    """Decides by the head of a request whether it is shed.

    Parameters
    ----------
    shedder
        Decision.
    clock
        Source of time.
    find_customer
        Returns the customer of an API key, an empty name for an unknown key. All unknown keys count as one
        customer, so that nobody gets a larger share by making up keys.
    """

    def __init__(self, shedder: LoadShedder, *, clock: Clock, find_customer: Callable[[str], str]):
        self.shedder = shedder
        self.clock = clock
        self.find_customer = find_customer
        self.waits = StatedWaits(clock.monotonic())
        self.shed_by_customer: Counter[str] = Counter()
        """Requests shed since the last log line."""
        self.logged_at = self.read_began_at = clock.monotonic()
        self.logged_counts = ShedCounts()
        self.was_logged = False
        """Whether the end of shedding has still to be logged."""

    @property
    def is_active(self) -> bool:
        """Return whether requests may be shed now."""
        return self.shedder.is_shedding

    def retry_after_seconds(self, head: RequestHead) -> float | None:
        """Return after which time the caller of a refused request may retry, None if it is admitted.

        A stream that is taken up again counts as a further try.
        """
        fields = decode_shedding_fields(head)
        customer = self.find_customer(fields.api_key)
        now = self.clock.monotonic()
        is_return = self.waits.is_return((customer, *fields.kind), fields.seconds_left, now)
        verdict = self.shedder.decide(customer, is_return or fields.is_continued_stream, now)
        if verdict is Verdict.ADMITTED:
            return None
        self.shed_by_customer[customer] += 1
        settings = self.shedder.settings
        is_shed = verdict is Verdict.SHED
        return settings.retry_after_seconds if is_shed else settings.refused_retry_after_seconds

    def is_round_full(self, began_at: float) -> bool:
        """Return whether the round that began at a time has to read no further requests."""
        round_seconds = self.shedder.settings.round_seconds
        return self.is_active and self.clock.monotonic() - began_at > round_seconds

    def begin_read(self) -> None:
        """Record that a connection is read, whose requests may be shed."""
        if self.is_active:
            self.read_began_at = self.clock.monotonic()

    def end_refusal(self) -> None:
        """Record the time that a refusal has taken; that of another one on the connection begins."""
        now = self.clock.monotonic()
        self.shedder.record_refusal(now - self.read_began_at)
        self.read_began_at = now

    def record_unread(self, seconds: float) -> None:
        """Record how long the oldest unread connection has waited."""
        self.shedder.record_unread(seconds)

    def record_round(self, busy_seconds: float, read_seconds: float, now: float) -> None:
        """Record a round of the event loop, and log once a second while the host is overloaded."""
        self.shedder.record_round(busy_seconds, now, read_seconds=read_seconds)
        if (self.shedder.is_shedding or self.was_logged) and now >= self.logged_at + LOG_INTERVAL_SECONDS:
            self.log(now)

    def log(self, now: float) -> None:
        """Log what was shed since the last line, and why."""
        shedder = self.shedder
        counts, before = shedder.counts, self.logged_counts
        log_event(
            Event.REQUESTS_SHED if shedder.is_shedding else Event.SHEDDING_ENDED,
            admitted=counts.admitted - before.admitted,
            shed=counts.shed - before.shed,
            refused=counts.refused - before.refused,
            kept=counts.kept - before.kept,
            customers=dict(self.shed_by_customer.most_common(LOGGED_CUSTOMERS)),
            round=round(shedder.last_round_seconds, 3),
            unread=round(shedder.unread_seconds, 3),
            request_seconds=round(shedder.request_seconds, 5),
            spare=round(shedder.budgets.spare_rate, 3),
        )
        self.logged_at = now
        self.logged_counts = replace(counts)
        self.shed_by_customer.clear()
        self.was_logged = shedder.is_shedding
