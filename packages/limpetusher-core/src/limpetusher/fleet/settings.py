"""Constants of the placement policy."""

from dataclasses import dataclass, field

from limpetusher.errors import ConfigurationError
from limpetusher.fleet.process.rate_limits import RetryBudgetSettings
from limpetusher.fleet.process.uneven_engine_settings import UnevenEngineSettings
from limpetusher.fleet.setting_bounds import find_out_of_bounds

BOUNDS = {
    "max_further_candidates": (0, 16),
    "avoidable_token_cost": (0.0, 1_000.0),
    "max_engine_demand_fraction": (0.05, 1_000.0),
    "demand_seconds": (0.05, 60.0),
    "max_overtaken_goal_fraction": (0.0, 1.0),
    "kind_tolerance": (0.0, 1.0),
}
"""Lowest and highest valid values of settings."""


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetSettings:
    """Constants of the placement policy. Times are seconds.

    Parameters
    ----------
    max_candidates
        Maximum number of engines considered for a session, in rendezvous-hash order; bounds the time of a
        decision. Engines are partitioned into pools by data centre if the average data centre has at least as
        many.
    uncached_token_cost
        Cost of prefilling an uncached prompt token, relative to a token that waits ahead. Above 1 because the
        prefill also delays later requests and evicts other parts from the cache.
    burst_goal_fraction
        Maximum duration of a burst, as a fraction of the shortest first-output goal of the service.
    burst_token_gap_fraction
        Maximum duration of a burst, as a fraction of the shortest token-gap goal of the service; the
        remainder covers the last chunk and the network.
    min_burst_seconds
        Lower bound of the maximum duration of a burst.
    burst_pause_seconds
        Minimum pause between two bursts, enough for each stream to generate the tokens of one event.
    burst_extension_fraction
        Fraction of a burst by which a customer that was served nothing may extend a full one while capacity
        is scarce. Without it, a goal shorter than two bursts is missed whenever a flood fills a burst.
    idle_seconds
        Time without prefill work after which an engine may take a session that is cached at another one.
        Longer than the pause between bursts, so that the engine's own sessions come first.
    memory_fraction
        Fraction of an engine's memory that open requests may take; the remainder holds cached prompt parts.
    cache_fraction
        Fraction of an engine's memory assumed to hold cached prompt parts where engines transfer none; the
        remainder holds running requests. With 0.35, a replay of a day with heavy load has about as many cache
        misses as its engines had.
    max_overtaken_goal_fraction
        Fraction of its goal for which requests that take less memory may overtake one that finds none.
    first_output_seconds
        Time to first output of a short prompt at an idle engine.
    best_engine_wait_fraction
        Fraction of its maximum wait for which a request only waits for the engine with the lowest cost, where
        engines transfer no cached parts.
    weighs_waits
        Whether the wait for an engine is weighed against what its cache saves, where engines can transfer
        cached parts.
    avoidable_token_cost
        Additional cost of prefilling a prompt token that another engine has cached, relative to the prefill
        itself, where waits are weighed and all bursts are full; less if they are not. A request then waits
        for an engine that holds its prefix if it can start there in time.
    max_engine_demand_fraction
        Fraction of the prefill rate of one engine that the requests of a session may ask for before the next
        engine in the session's order may hold its parts without a charge. Below 1, as pauses between bursts
        take time as well and the second engine is wanted before the first one runs short.
    demand_seconds
        Time constant over which the demand of a session is averaged. Much shorter than the floods of one
        customer, which last for seconds.
    max_further_candidates
        Maximum number of engines considered besides `max_candidates`, because they hold the longest prefix of
        a prompt.
    min_wait_fraction
        Fraction of its goal for which a request may always wait for a target before it is refused.
    resumed_stream_wait_seconds
        Time for which a stream that its caller takes up again may at least wait for a target. The first event
        has been in time, and callers abandon a stream after 2 s at the earliest.
    initial_suspension_seconds
        Initial suspension of an unreachable target; doubles up to `max_suspension_seconds`.
    max_suspension_seconds
        Maximum suspension of an unreachable target.
    assumed_cold_seconds
        Time for which a target is treated as cold after it answers again following repeated failures. Covers
        the delay until the platform lists a restarted target: one heartbeat of 1.2 s and one slow watch.
    prior_prefill_rate
        Assumed prefill rate of an engine in tokens per second, until the first sample.
    retry_budget
        Bound on retries.
    uneven_engines
        Constants for engines of unequal prefill rates and for slow spells.
    kind_tolerance
        Difference of the served fractions of a customer's kinds of requests up to which they are ordered by
        urgency alone, from 0 to 1; 1 turns the order by kind off. Off by default, as 0.3 costs other
        customers service (`docs/design/order-and-refusals.md`).

    Raises
    ------
    ConfigurationError
        If a value is out of its range.
    """

    max_candidates: int = 5
    uncached_token_cost: float = 4.0
    burst_goal_fraction: float = 0.5
    burst_token_gap_fraction: float = 0.6
    min_burst_seconds: float = 0.1
    burst_pause_seconds: float = 0.03
    burst_extension_fraction: float = 0.5
    idle_seconds: float = 0.06
    memory_fraction: float = 0.8
    cache_fraction: float = 0.35
    max_overtaken_goal_fraction: float = 0.1
    first_output_seconds: float = 0.1
    best_engine_wait_fraction: float = 0.7
    weighs_waits: bool = True
    max_further_candidates: int = 3
    avoidable_token_cost: float = 40.0
    max_engine_demand_fraction: float = 0.6
    demand_seconds: float = 0.5
    min_wait_fraction: float = 0.2
    resumed_stream_wait_seconds: float = 1.5
    initial_suspension_seconds: float = 0.25
    max_suspension_seconds: float = 2.0
    assumed_cold_seconds: float = 3.0
    prior_prefill_rate: float = 30_000.0
    retry_budget: RetryBudgetSettings = field(default_factory=RetryBudgetSettings)
    kind_tolerance: float = 1.0
    uneven_engines: UnevenEngineSettings = field(default_factory=UnevenEngineSettings)

    def __post_init__(self):
        problems = find_out_of_bounds(self, BOUNDS)
        if problems:
            raise ConfigurationError(problems)
