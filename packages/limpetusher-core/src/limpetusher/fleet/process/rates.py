"""How fast engines read prompts, measured from bursts that they read without a pause."""

import math
from collections import Counter

from limpetusher.fleet.process.bursts import EnginePace
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
    """Prompt tokens a second by engine; an engine without measurements has its service's rate."""

    def __init__(self, settings: FleetSettings):
        self.settings = settings
        self.by_service: dict[str, float] = {}
        self.by_target: dict[str, float] = {}
        self.samples: Counter[str] = Counter()
        """Samples by service and by target; the first ones count more than the prior."""
        self.base_seconds: dict[str, float] = {}
        """Time to the first output of a short prompt at an idle engine, by service."""

    def rate(self, service: str, target_id: str) -> float:
        """Return prompt tokens a second."""
        known = self.by_target.get(target_id) or self.by_service.get(service)
        return known or self.settings.prior_reading_rate

    def pace(self, service: str, target_id: str) -> EnginePace:
        """Return how an engine reads."""
        return EnginePace(self.rate(service, target_id), self.base_seconds.get(service, 0.0))

    def sample(self, service: str, target_id: str, tokens: int, seconds: float) -> None:
        """Take the time in which an engine has read a burst of prompts."""
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
            known = rates.get(key, first)
            self.samples[key] += 1
            weight = max(SAMPLE_WEIGHT, 1.0 / self.samples[key])
            rates[key] = known + weight * (measured - known)

    def forget(self, target_id: str) -> None:
        """Forget a target that is gone."""
        self.by_target.pop(target_id, None)
        self.samples.pop(target_id, None)
