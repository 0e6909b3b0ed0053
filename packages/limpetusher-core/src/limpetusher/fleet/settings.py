"""Constants of the placement policy."""

from dataclasses import dataclass, field

from limpetusher.fleet.process.budgets import RetryBudgetSettings


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetSettings:
    """Constants of the placement policy. Times are seconds.

    Parameters
    ----------
    candidates
        Engines that are considered for a session, in the order of its hash. More of them spread
        load better and
        read shared prompt parts more often.
    reread_weight
        Cost of reading a prompt token that another engine has cached, relative to one that waits
        ahead. Above 1
        because the reading also delays the requests that come after.
    unread_window_part
        Part of the tightest goal of a service that may wait at one engine as unread prompt.
    least_window_seconds
        Least unread prompt at one engine, so that it never runs dry between two load reports.
    memory_part
        Part of an engine's memory that open requests may take; the rest holds cached prompt parts.
    wait_part
        Part of a request's goal that it may wait for a target before it is refused.
    suspend_seconds
        First time without requests for a target that can't be reached; doubles up to
        `suspend_maximum_seconds`.
    suspend_maximum_seconds
        Longest time without requests for a target that can't be reached.
    unconfirmed_seconds
        How long a target that could not be reached is treated as cold after it answers again. Covers the time
        until the platform lists the restarted target, one heartbeat of 1.2 s and one slow watch.
    prior_reading_rate
        Prompt tokens that an engine reads in a second, until the first measurement.
    retry_budget
        Bound on repeated sends.
    """

    candidates: int = 3
    reread_weight: float = 2.0
    unread_window_part: float = 0.4
    least_window_seconds: float = 0.15
    memory_part: float = 0.8
    wait_part: float = 0.4
    suspend_seconds: float = 0.25
    suspend_maximum_seconds: float = 2.0
    unconfirmed_seconds: float = 3.0
    prior_reading_rate: float = 30_000.0
    retry_budget: RetryBudgetSettings = field(default_factory=RetryBudgetSettings)
