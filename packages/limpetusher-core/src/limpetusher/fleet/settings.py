"""Constants of the placement policy."""

from dataclasses import dataclass, field

from limpetusher.fleet.process.budgets import RetryBudgetSettings


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetSettings:
    """Constants of the placement policy. Times are seconds.

    Parameters
    ----------
    candidates
        Engines that are considered for a session, in the order of its hash; bounds the time of a choice.
        Data centres with as many engines each are scheduled apart.
    reread_weight
        Cost of reading a prompt token that another engine has kept, relative to one that waits ahead. Above 1
        because the reading also delays the requests that come after, and makes the engine drop other parts.
    burst_goal_part
        Part of the tightest goal of a service for which an engine may read prompts without a pause.
    burst_pause_part
        Part of the tightest pause goal of a service for which an engine may read prompts without a pause; the
        rest covers the last chunk and the way to the caller.
    least_burst_seconds
        Least length of a burst.
    burst_pause_seconds
        Time between two bursts, enough for the tokens of one event of each stream.
    burst_excess_part
        Part of a burst by which a customer without any service may extend one that is full, while capacity is
        scarce. Without it, a goal that is shorter than two bursts is missed whenever a flood fills a burst.
    idle_seconds
        Time without prompts after which an engine may read a session again that another engine keeps. Longer
        than the pause before a burst, so that its own sessions come first.
    memory_part
        Part of an engine's memory that open requests may take; the rest holds cached prompt parts.
    cache_part
        Part of an engine's memory that is taken to hold kept prompt parts; the rest holds running requests.
        With this part, a replay of a heavy day reads shared parts again about as often as its engines did.
    first_output_seconds
        Time that an idle engine takes to the first output of a short prompt.
    stay_part
        Part of its waiting time for which a request waits for the engine that costs least.
    least_wait_part
        Part of a request's goal that it may always wait for a target before it is refused.
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

    candidates: int = 5
    reread_weight: float = 4.0
    burst_goal_part: float = 0.5
    burst_pause_part: float = 0.6
    least_burst_seconds: float = 0.1
    burst_pause_seconds: float = 0.03
    burst_excess_part: float = 0.5
    idle_seconds: float = 0.06
    memory_part: float = 0.8
    cache_part: float = 0.35
    first_output_seconds: float = 0.1
    stay_part: float = 0.7
    least_wait_part: float = 0.2
    suspend_seconds: float = 0.25
    suspend_maximum_seconds: float = 2.0
    unconfirmed_seconds: float = 3.0
    prior_reading_rate: float = 30_000.0
    retry_budget: RetryBudgetSettings = field(default_factory=RetryBudgetSettings)
