"""Figures computed from the engines' records: service over time, fairness gap, utilisation."""

from collections import defaultdict
from dataclasses import dataclass

from limpetusher.core.settings import PolicySettings
from limpetusher_standins.deployment import CustomerPlan
from limpetusher_standins.load_generator import PROMPT_TOKEN_COST, LoadRun

SAMPLE_INTERVAL_SECONDS = 0.1
EXCHANGE_INTERVAL_SECONDS = PolicySettings().exchange_interval_seconds


@dataclass(frozen=True, slots=True)
class ServiceInterval:
    """A request at an engine; times are wall-clock seconds."""

    customer: str
    engine: str
    started: float
    ended: float
    cost: float

    def served_fraction(self, time: float) -> float:
        """Return the fraction of the request that had been served at a time."""
        if time >= self.ended:
            return 1.0
        return max(0.0, (time - self.started) / (self.ended - self.started))


def service_intervals(records: dict[str, dict], end: float) -> list[ServiceInterval]:
    """Return the requests that engines admitted; those that still run count as running until `end`."""
    found = []
    for engine, record in records.items():
        for entry in record["requests"]:
            if entry["admitted"] is None:
                continue
            cost = entry["generated_tokens"] + PROMPT_TOKEN_COST * entry["prompt_tokens"]
            ended = max(entry["ended"] or end, entry["admitted"] + 1e-6)
            found.append(ServiceInterval(entry["customer"], engine, entry["admitted"], ended, cost))
    return found


def sample_times(begin: float, end: float) -> list[float]:
    """Return the times at which the service of customers and the slots in use are sampled."""
    return [
        begin + index * SAMPLE_INTERVAL_SECONDS
        for index in range(int((end - begin) / SAMPLE_INTERVAL_SECONDS) + 1)
    ]


def fairness_gap(
    work: list[ServiceInterval], customers: list[CustomerPlan], begin: float, end: float
) -> float:
    """Return the largest difference in service per unit of share between customers since `begin`.

    All customers must be backlogged from `begin` to `end`. Service is spread evenly over a request's time.
    """
    series = [service_per_share(work, customer, begin, end) for customer in customers]
    return max(max(served) - min(served) for served in zip(*series, strict=True))


def service_per_share(
    work: list[ServiceInterval], customer: CustomerPlan, begin: float, end: float
) -> list[float]:
    """Return the service of a customer since `begin`, per unit of share, at each sample time."""
    own = [i for i in work if i.customer == customer.customer_id and i.ended > begin and i.started < end]
    return [
        sum(i.cost * (i.served_fraction(time) - i.served_fraction(begin)) for i in own) / customer.share
        for time in sample_times(begin, end)
    ]


def waiting_spans(run: LoadRun, records: dict[str, dict]) -> list[tuple[float, float]]:
    """Return from when to when each request of a run waited for a slot, in wall-clock seconds.

    A request that no engine admitted waited until its caller had an answer or disconnected.
    """
    admitted = {
        entry["request_id"]: entry["admitted"] for record in records.values() for entry in record["requests"]
    }
    return [
        (result.started_wall, admitted.get(result.request_id) or result.started_wall + result.seconds)
        for result in [*run.results, *run.abandoned]
    ]


def utilisation(work: list[ServiceInterval], engines: int, slots: int, begin: float, end: float) -> float:
    """Return the mean fraction of the engines' slots that were in use; requests beyond them don't count."""
    times, used = sample_times(begin, end), 0
    for time in times:
        running = defaultdict(int)
        for interval in work:
            if interval.started <= time < interval.ended:
                running[interval.engine] += 1
        used += sum(min(slots, count) for count in running.values())
    return used / (len(times) * engines * slots)


def idle_while_waiting(
    work: list[ServiceInterval],
    waiting: list[tuple[float, float]],
    *,
    engines: int,
    slots: int,
    begin: float,
    end: float,
) -> float:
    """Return the slot-seconds that slots were idle for longer than an exchange interval while work waited.

    `waiting` holds the span in which each request waited for a slot; any engine must suit any request.
    An idle span counts in full when it is longer than the interval, and not at all otherwise.
    """
    waited = merge_spans([(max(begin, start), min(end, stop)) for start, stop in waiting])
    by_engine = defaultdict(list)
    for interval in work:
        by_engine[interval.engine].append((interval.started, interval.ended))
    spans = [part for runs in by_engine.values() for part in idle_spans(runs, slots, begin, end)]
    spans += [(begin, end)] * slots * (engines - len(by_engine))
    parts = (
        min(stop, waited_stop) - max(start, waited_start)
        for start, stop in spans
        for waited_start, waited_stop in waited
    )
    return sum(part for part in parts if part > EXCHANGE_INTERVAL_SECONDS)


def merge_spans(spans: list[tuple[float, float]]) -> list[tuple[float, float]]:
    """Return the union of spans of time, in order."""
    merged: list[tuple[float, float]] = []
    for start, stop in sorted(span for span in spans if span[0] < span[1]):
        if merged and start <= merged[-1][1]:
            merged[-1] = (merged[-1][0], max(stop, merged[-1][1]))
        else:
            merged.append((start, stop))
    return merged


def idle_spans(
    runs: list[tuple[float, float]], slots: int, begin: float, end: float
) -> list[tuple[float, float]]:
    """Return the spans in which each slot of an engine was idle; slot k is idle while fewer than k run."""
    changes = [(start, 1) for start, _ in runs] + [(stop, -1) for _, stop in runs]
    idle_since: list[float | None] = [begin] * slots
    spans, running = [], 0
    for time, step in sorted(changes):
        if time >= end:
            break
        time, running = max(time, begin), running + step
        if step > 0 and running <= slots:
            spans.append((idle_since[running - 1], time))
            idle_since[running - 1] = None
        elif step < 0 and running < slots:
            idle_since[running] = time
    spans += [(since, end) for since in idle_since if since is not None]
    return [span for span in spans if span[0] < span[1]]


def fairness_bound(
    *,
    exchange_seconds: float,
    delay_seconds: float,
    tokens_per_second: float,
    slots: int,
    owners: int,
    largest_cost: float,
    smallest_share: float,
) -> float:
    """Return the derived bound of the fairness gap (section 6 of the design page)."""
    unreported_service = (exchange_seconds + delay_seconds) * tokens_per_second
    return (unreported_service + (slots + owners) * largest_cost) / smallest_share
