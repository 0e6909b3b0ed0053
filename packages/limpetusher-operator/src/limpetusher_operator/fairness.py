"""Fairness of service between customers, from the log lines of the routers.

In each window of six seconds a customer is due, second by second, the lesser of what it asked for and what
the best served customer got. Its ratio is what it got relative to that; both are in tokens (`tokens` of the
log lines, see docs/OPERATIONS.md). Only customers count that had a refused or overdue request in each second.

A router that logs many lines drops those about sent requests first. A request without such a line counts as
service at its first event, which the line about its end states.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime

import msgspec

from limpetusher.events import Event

WINDOW_SECONDS = 6
LARGEST_REQUESTS = 3
"""Number of the largest requests by which a customer may be behind."""
FAIR_RATIO = 0.5
"""Ratio below which service is unfair."""
AIMED_RATIO = 0.8
"""Ratio that the fleet aims at."""
OUTCOMES = frozenset({Event.REQUEST_REFUSED.number, Event.REQUEST_FAILED.number, Event.CALLER_GONE.number})
"""Events that end a request without a complete answer."""
ENDS = OUTCOMES | {Event.REQUEST_FINISHED.number}
"""Events that end a request."""


class RequestLine(msgspec.Struct):
    """Log line about a request of a customer. Durations are seconds."""

    time: datetime
    event: int
    request: str = ""
    customer: str = ""
    tokens: float = 0.0
    may_have_run: bool = True
    seconds: float = 0.0
    waited: float = 0.0
    goal: float = 0.0
    first_event: float | None = None
    """Time from the arrival to the first event of the answer, None without any."""

    reason: str = "caller disconnected"
    lines: int = 0
    """Number of lines that the router has dropped."""


@dataclass(slots=True)
class CustomerRecord:
    """Requests of one customer by second."""

    asked: Counter[int] = field(default_factory=Counter)
    """Tokens of the requests that arrived."""
    got: Counter[int] = field(default_factory=Counter)
    """Tokens of the requests, at the time of the first send that may have run."""
    unmet: set[int] = field(default_factory=set)
    """Seconds with a request that was refused or waited longer than its goal."""
    reasons: defaultdict[int, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    """Reasons of the requests that ended without being sent."""


@dataclass(frozen=True, slots=True)
class FairnessWindow:
    """Service of one customer in one window; tokens are sums over the window."""

    ratio: float
    start: int
    """Unix time of the first second."""
    customer: str
    asked: float
    got: float
    best_customer: str
    best_got: float
    reasons: Counter[str]


class FairnessReport:
    """Requests of all customers, and the windows in which customers had unmet requests.

    Parameters
    ----------
    lines
        Log lines of all routers, those of one router in their order; lines about something else are skipped.
        Text before the JSON object of a line, such as a prefix of a log collector, is ignored.
    """

    def __init__(self, lines: Iterable[str]):
        self.customers: defaultdict[str, CustomerRecord] = defaultdict(CustomerRecord)
        self.sends: dict[str, tuple[int, RequestLine]] = {}
        """Second and line of the first send of each request that may have run."""
        self.asked_requests: set[str] = set()
        self.largest_tokens = 0.0
        self.dropped_lines = 0
        """Number of lines that routers have dropped because they logged too many."""
        decoder = msgspec.json.Decoder(RequestLine)
        for line in lines:
            start = line.find("{")
            if start >= 0:
                try:
                    self.record(decoder.decode(line[start:]))
                except msgspec.MsgspecError:
                    continue

    def record(self, line: RequestLine) -> None:
        """Record a log line."""
        now = line.time.timestamp()
        if line.event == Event.ATTEMPT_FAILED.number and not line.may_have_run:
            self.retract_send(line, now)
            return
        if line.event == Event.LOG_LINES_DROPPED.number:
            self.dropped_lines += line.lines
        if not line.customer:
            return
        customer = self.customers[line.customer]
        self.largest_tokens = max(self.largest_tokens, line.tokens)
        if line.event in ENDS and line.first_event is not None and line.request not in self.sends:
            arrived_at = now - line.seconds
            self.record_asked(line, arrived_at)
            self.record_got(line, arrived_at + line.first_event)
        if line.event == Event.REQUEST_SENT.number:
            self.record_asked(line, now - line.waited)
            if line.request not in self.sends:
                self.record_got(line, now)
                if line.waited > line.goal:
                    customer.unmet.add(int(now))
        elif line.event in OUTCOMES and line.request not in self.sends:
            self.record_asked(line, now - line.seconds)
            customer.unmet |= {int(now - line.seconds), int(now)}
            customer.reasons[int(now)][line.reason] += 1

    def record_got(self, line: RequestLine, begun_at: float) -> None:
        """Record the tokens of a request as service of its customer."""
        self.sends[line.request] = int(begun_at), line
        self.customers[line.customer].got[int(begun_at)] += line.tokens

    def record_asked(self, line: RequestLine, arrived_at: float) -> None:
        """Record the arrival of a request."""
        if line.request not in self.asked_requests:
            self.asked_requests.add(line.request)
            self.customers[line.customer].asked[int(arrived_at)] += line.tokens

    def retract_send(self, line: RequestLine, now: float) -> None:
        """Retract the send of a request that has not reached its target."""
        if line.request in self.sends:
            second, sent = self.sends.pop(line.request)
            customer = self.customers[sent.customer]
            customer.got[second] -= sent.tokens
            customer.unmet.add(int(now))

    def windows(self) -> list[FairnessWindow]:
        """Return the windows of all customers with unmet requests in each second, the lowest ratio first."""
        seconds = {second for record in self.customers.values() for second in record.asked}
        found: list[FairnessWindow] = []
        if seconds:
            for start in range(min(seconds), max(seconds) - WINDOW_SECONDS + 2):
                found += self.window(range(start, start + WINDOW_SECONDS))
        return sorted(found, key=lambda window: window.ratio)

    def window(self, seconds: range) -> list[FairnessWindow]:
        """Return the customers with unmet requests in each second of one window."""
        got = {name: sum(record.got[second] for second in seconds) for name, record in self.customers.items()}
        best = max(got, key=got.get)
        best_by_second = self.customers[best].got
        slack = LARGEST_REQUESTS * self.largest_tokens
        found = []
        for name, record in self.customers.items():
            if not record.unmet.issuperset(seconds):
                continue
            due = sum(min(record.asked[second], best_by_second[second]) for second in seconds) - slack
            if due > 0:
                reasons = sum((record.reasons[second] for second in seconds), Counter())
                asked = sum(record.asked[second] for second in seconds)
                found.append(
                    FairnessWindow(
                        got[name] / due, seconds.start, name, asked, got[name], best, got[best], reasons
                    )
                )
        return found


def format_report(report: FairnessReport, count: int) -> str:
    """Format the number of windows below the two bounds, and the windows with the lowest ratios.

    Parameters
    ----------
    report
        Requests of all customers.
    count
        Maximum number of windows to list.
    """
    windows = report.windows()
    unfair, low = (sum(window.ratio < bound for window in windows) for bound in (FAIR_RATIO, AIMED_RATIO))
    lines = [f"{len(windows)} windows, {unfair} below {FAIR_RATIO}, {low} below {AIMED_RATIO}"]
    if report.dropped_lines:
        lines.append(
            f"{report.dropped_lines} log lines were dropped; customers of those routers may have got more"
        )
    for window in windows[:count]:
        start = datetime.fromtimestamp(window.start).astimezone().isoformat()
        reasons = ", ".join(f"{number} {reason}" for reason, number in window.reasons.most_common())
        lines.append(
            f"{window.ratio:.2f}  {start}  {window.customer} asked {window.asked:.0f} got {window.got:.0f}, "
            f"{window.best_customer} got {window.best_got:.0f}; {reasons or 'none refused'}"
        )
    return "\n".join(lines)
