"""Figures computed from the engines' records: service over time, fairness gap, utilisation."""

from collections import defaultdict
from dataclasses import dataclass

from limpetusher_standins.deployment import CustomerPlan
from limpetusher_standins.load import PROMPT_TOKEN_COST

SAMPLE_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class Interval:
    """A request at an engine; times are wall-clock seconds."""

    customer: str
    engine: str
    started: float
    ended: float
    cost: float

    def share_before(self, time: float) -> float:
        """Return the part of the request that had been served at a time."""
        if time >= self.ended:
            return 1.0
        return max(0.0, (time - self.started) / (self.ended - self.started))


def intervals(records: dict[str, dict], end: float) -> list[Interval]:
    """Return the requests that engines admitted; those that still run count as running until `end`."""
    found = []
    for engine, record in records.items():
        for entry in record["requests"]:
            if entry["admitted"] is None:
                continue
            cost = entry["generated_tokens"] + PROMPT_TOKEN_COST * entry["prompt_tokens"]
            ended = max(entry["ended"] or end, entry["admitted"] + 1e-6)
            found.append(Interval(entry["customer"], engine, entry["admitted"], ended, cost))
    return found


def sample_times(begin: float, end: float) -> list[float]:
    """Return the times at which figures are taken."""
    return [begin + index * SAMPLE_SECONDS for index in range(int((end - begin) / SAMPLE_SECONDS) + 1)]


def fairness_gap(work: list[Interval], customers: list[CustomerPlan], begin: float, end: float) -> float:
    """Return the largest difference of service by share between two customers since `begin`.

    All customers must be backlogged from `begin` to `end`. A request counts as served evenly over its time.
    """
    by_customer = defaultdict(list)
    for interval in work:
        if interval.ended > begin and interval.started < end:
            by_customer[interval.customer].append(interval)
    largest = 0.0
    for time in sample_times(begin, end):
        served = [
            sum(i.cost * (i.share_before(time) - i.share_before(begin)) for i in by_customer[c.customer_id])
            / c.share
            for c in customers
        ]
        largest = max(largest, max(served) - min(served))
    return largest


def utilisation(work: list[Interval], engines: int, slots: int, begin: float, end: float) -> float:
    """Return the mean fraction of the engines' slots that were in use; requests beyond them don't count."""
    times, used = sample_times(begin, end), 0
    for time in times:
        running = defaultdict(int)
        for interval in work:
            if interval.started <= time < interval.ended:
                running[interval.engine] += 1
        used += sum(min(slots, count) for count in running.values())
    return used / (len(times) * engines * slots)


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
    unseen = (exchange_seconds + delay_seconds) * tokens_per_second
    return (unseen + (slots + owners) * largest_cost) / smallest_share
