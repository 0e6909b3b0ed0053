"""Prefill rates of engines, measured from prompts that they process without a pause.

A rate that includes the latency of routers lowers itself: it makes bursts smaller, and the latency is a
larger part of the duration of a smaller burst. Intervals between outputs do not include the latency. Whole
bursts do, so they only count while a service has no intervals, and afterwards as a lower bound, which lets a
rate rise again that has become too low for bursts of several prompts.
"""

import math
from collections import Counter
from dataclasses import dataclass

from limpetusher.fleet.process.prefill_bursts import PrefillSpeed
from limpetusher.fleet.process.prefill_intervals import PrefillInterval
from limpetusher.fleet.settings import FleetSettings

SAMPLE_WEIGHT = 0.1
MIN_SAMPLE_TOKENS = 1_000
"""The time for a shorter prompt is dominated by the step time of the engine instead of the prefill."""
BASE_RISE_FRACTION = 0.01
"""Fraction of a short prompt's time by which the base latency may rise, so that it adapts to a slower
service."""
MIN_SAMPLE_SECONDS = 0.005
MIN_INTERVAL_SECONDS = 0.03
"""Minimum duration of an interval; a shorter one is dominated by the step time and by jitter."""
SUM_DECAY = 0.05
"""Part of the sums that is dropped with each interval; they cover about 20 of them."""
MIN_FRACTION_OF_PRIOR = 0.05
MAX_MULTIPLE_OF_PRIOR = 10.0


class AverageRates:
    """Moving averages of the rates of services and of their engines; the first samples outweigh the prior.

    Parameters
    ----------
    prior
        Assumed rate before the first sample, in tokens per second.
    """

    def __init__(self, prior: float):
        self.prior = prior
        self.by_service: dict[str, float] = {}
        self.by_target: dict[str, float] = {}
        self.samples: Counter[str] = Counter()
        """Number of samples by service and by target."""

    def rate(self, service: str, target_id: str) -> float | None:
        """Return the rate of an engine, that of its service without samples, None without any."""
        return self.by_target.get(target_id) or self.by_service.get(service)

    def update(self, service: str, target_id: str, measured: float) -> None:
        """Add a sample."""
        prior = self.prior
        measured = min(max(measured, prior * MIN_FRACTION_OF_PRIOR), prior * MAX_MULTIPLE_OF_PRIOR)
        for rates, key, first in (
            (self.by_service, service, prior),
            (self.by_target, target_id, self.by_service.get(service, prior)),
        ):
            known = rates.get(key, first)
            self.samples[key] += 1
            weight = max(SAMPLE_WEIGHT, 1.0 / self.samples[key])
            rates[key] = known + weight * (measured - known)

    def forget(self, target_id: str) -> None:
        """Remove the state of a target."""
        self.by_target.pop(target_id, None)
        self.samples.pop(target_id, None)


@dataclass(slots=True)
class IntervalSums:
    """Decaying sums over the intervals of one engine.

    Their ratio varies less than an average of rates, in which short intervals with an error count most.
    """

    tokens: float = 0.0
    seconds: float = 0.0
    samples: int = 0

    def add(self, interval: PrefillInterval) -> None:
        """Add an interval."""
        self.tokens += interval.tokens - SUM_DECAY * self.tokens
        self.seconds += interval.seconds - SUM_DECAY * self.seconds
        self.samples += 1


class PrefillRates:
    """Prefill rate by engine in tokens per second; without samples, that of the service."""

    def __init__(self, settings: FleetSettings):
        self.settings = settings
        self.from_intervals = AverageRates(settings.prior_prefill_rate)
        self.from_bursts = AverageRates(settings.prior_prefill_rate)
        self.sums: dict[str, IntervalSums] = {}
        """Sums of the intervals of each engine, for the comparison of engines with each other."""
        self.base_latency_seconds: dict[str, float] = {}
        """Time to first output of a short prompt at an idle engine, by service."""

    @property
    def measured_range(self) -> tuple[float, float]:
        """Return the lowest and the highest measured rate of an engine, zeros without any."""
        rates = {**self.from_bursts.by_target, **self.from_intervals.by_target}.values()
        return min(rates, default=0.0), max(rates, default=0.0)

    def rate(self, service: str, target_id: str) -> float:
        """Return the prefill rate in tokens per second."""
        known = self.from_intervals.rate(service, target_id) or self.from_bursts.rate(service, target_id)
        return known or self.settings.prior_prefill_rate

    def measured(self, target_id: str) -> float | None:
        """Return the rate of an engine from enough samples of its own, None without them.

        Whole bursts do not count, as they include latencies that differ between requests.
        """
        sums = self.sums.get(target_id)
        if sums is None or sums.samples < self.settings.uneven_engines.min_rate_samples:
            return None
        return sums.tokens / sums.seconds

    def speed(self, service: str, target_id: str) -> PrefillSpeed:
        """Return the prefill rate and the output latency of an engine."""
        return PrefillSpeed(self.rate(service, target_id), self.base_latency_seconds.get(service, 0.0))

    def add_interval(self, service: str, target_id: str, interval: PrefillInterval) -> None:
        """Add an interval as a sample."""
        if interval.tokens >= MIN_SAMPLE_TOKENS and interval.seconds >= MIN_INTERVAL_SECONDS:
            self.from_intervals.update(service, target_id, interval.tokens / interval.seconds)
            self.sums.setdefault(target_id, IntervalSums()).add(interval)

    def add_sample(self, service: str, target_id: str, tokens: int, seconds: float) -> None:
        """Add the duration of a burst of prompts as a sample."""
        base = self.base_latency_seconds.get(service, math.inf)
        if tokens < MIN_SAMPLE_TOKENS:
            self.base_latency_seconds[service] = min(seconds, base + BASE_RISE_FRACTION * seconds)
            return
        known = self.from_intervals.rate(service, target_id)
        if known is None:
            prefill_seconds = seconds - base if math.isfinite(base) else seconds
            self.from_bursts.update(service, target_id, tokens / max(prefill_seconds, MIN_SAMPLE_SECONDS))
        elif tokens / max(seconds, MIN_SAMPLE_SECONDS) > known:
            self.from_intervals.update(service, target_id, tokens / max(seconds, MIN_SAMPLE_SECONDS))

    def forget(self, target_id: str) -> None:
        """Remove the state of a target."""
        self.sums.pop(target_id, None)
        self.from_intervals.forget(target_id)
        self.from_bursts.forget(target_id)
