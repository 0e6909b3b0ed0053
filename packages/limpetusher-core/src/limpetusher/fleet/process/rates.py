"""How fast engines read prompts, measured from the time to the first output."""

import math
import statistics
from collections.abc import Mapping

from limpetusher.fleet.process.loads import PeerLoad
from limpetusher.fleet.settings import FleetSettings

SAMPLE_WEIGHT = 0.1
LEAST_SAMPLE_TOKENS = 1_000
"""Shorter prompts measure the engine's step time and not its reading."""
BASE_RISE = 0.01
"""Part of each short prompt's time by which the base may rise, so that it follows a slower service."""
LEAST_SAMPLE_SECONDS = 0.005
SLOWEST_PART_OF_PRIOR = 0.05
FASTEST_PART_OF_PRIOR = 10.0


class ReadingRates:
    """Prompt tokens a second by engine; an engine without measurements has its service's rate.

    All routers use the median of what they have measured. With a rate of its own, a router that believes an
    engine to be slow sees each burst as full that another router goes on filling.
    """

    def __init__(self, settings: FleetSettings):
        self.settings = settings
        self.by_service: dict[str, float] = {}
        """Own measurements by service."""
        self.by_target: dict[str, float] = {}
        """Own measurements by target."""
        self.shared: dict[str, float] = {}
        """Medians over the fleet by target, and by service."""
        self.base_seconds: dict[str, float] = {}
        """Time to the first output of a short prompt at an idle engine, by service."""

    def rate(self, service: str, target_id: str) -> float:
        """Return prompt tokens a second."""
        known = self.shared.get(target_id) or self.by_target.get(target_id)
        if known is None:
            known = self.shared.get(service) or self.by_service.get(service)
        return known or self.settings.prior_reading_rate

    def sum_up(self, loads: Mapping[str, PeerLoad]) -> None:
        """Take the medians over the routers."""
        measured: dict[str, list[float]] = {}
        for rates in (self.by_service, self.by_target, *(load.rates for load in loads.values())):
            for name, rate in rates.items():
                measured.setdefault(name, []).append(rate)
        self.shared = {name: statistics.median(rates) for name, rates in measured.items()}

    def own(self) -> dict[str, float]:
        """Return the own measurements by target and by service, for the report to the peers."""
        return self.by_service | self.by_target

    def sample(self, service: str, target_id: str, tokens: int, seconds: float) -> None:
        """Take the time in which an engine came to the end of the unread prompts in front of it."""
        base = self.base_seconds.get(service, math.inf)
        if tokens < LEAST_SAMPLE_TOKENS:
            self.base_seconds[service] = min(seconds, base + BASE_RISE * seconds)
            return
        prior = self.settings.prior_reading_rate
        reading = seconds - base if math.isfinite(base) else seconds
        measured = tokens / max(reading, LEAST_SAMPLE_SECONDS)
        measured = min(max(measured, prior * SLOWEST_PART_OF_PRIOR), prior * FASTEST_PART_OF_PRIOR)
        for rates, key, first in (
            (self.by_service, service, prior),
            (self.by_target, target_id, self.by_service.get(service, prior)),
        ):
            rates[key] = rates.get(key, first) + SAMPLE_WEIGHT * (measured - rates.get(key, first))

    def forget(self, target_id: str) -> None:
        """Forget a target that is gone."""
        self.by_target.pop(target_id, None)
        self.shared.pop(target_id, None)
