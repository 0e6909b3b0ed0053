"""Timing of a scheduler's placement runs, which assign waiting requests to targets."""

from limpetusher.clock import Clock
from limpetusher.events import Event
from limpetusher.fleet.messages import TargetGrant, TargetRefusal
from limpetusher.fleet.process.placement_summary import PlacementSummary
from limpetusher_router.fleet.state import FleetState
from limpetusher_router.process.logs import log_event
from limpetusher_router.process.metrics import Metrics

MINIMUM_INTERVAL_SECONDS = 0.004
"""Minimum time between two runs."""
COST_FACTOR = 2.0
"""Minimum time between two runs as a multiple of the duration of the last one, so that most of the processor
is left to other events."""
POLL_SECONDS = 0.01
"""Time between two runs while requests wait, as cooldowns of engines end without an event."""
SUMMARY_INTERVAL_SECONDS = 1.0


class PlacementRuns:
    """Runs the placement of a router's scheduler at intervals that leave time to other events.

    Parameters
    ----------
    state
        State of the fleet, and the schedulers of this router.
    clock
        Source of time.
    metrics
        Metrics of the process.
    """

    def __init__(self, state: FleetState, *, clock: Clock, metrics: Metrics):
        self.state = state
        self.clock = clock
        self.metrics = metrics
        metrics.placement = state.placement
        metrics.scheduler_client = state.scheduler_client
        self.last_run_at = 0.0
        """End of the last run."""
        self.interval_seconds = MINIMUM_INTERVAL_SECONDS
        self.summary = PlacementSummary()
        self.last_summary_at = 0.0

    @property
    def earliest_at(self) -> float:
        """Return the earliest time of the next run."""
        return self.last_run_at + self.interval_seconds

    @property
    def next_poll_at(self) -> float:
        """Return the time of the next run if nothing happens until then."""
        return self.last_run_at + max(self.interval_seconds, POLL_SECONDS)

    def run(self, now: float) -> list[tuple[str, TargetGrant | TargetRefusal]]:
        """Run the placement; return the answers with the addresses of their routers."""
        scheduler = self.state.scheduler
        waiting = scheduler.waiting.count
        answers = scheduler.decide(now)
        self.last_run_at = self.clock.monotonic()
        seconds = self.last_run_at - now
        self.interval_seconds = max(MINIMUM_INTERVAL_SECONDS, COST_FACTOR * seconds)
        self.summary.record_run(seconds, waiting, answers)
        self.metrics.placement_runs += 1
        self.metrics.placement_seconds += seconds
        return answers

    def log_summary(self, now: float) -> None:
        """Log the runs since the last summary once a second, if there were any."""
        if now < self.last_summary_at + SUMMARY_INTERVAL_SECONDS:
            return
        self.last_summary_at = now
        self.log_engine_changes(now)
        summary, self.summary = self.summary, PlacementSummary()
        if not summary.runs:
            return
        placement = self.state.placement
        lowest_rate, highest_rate = placement.rates.measured_range
        waiting = self.state.scheduler.waiting
        customer, share = waiting.least_met() or ("", 1.0)
        kinds_customer, kinds = waiting.kinds.widest_gap(now)
        log_event(
            Event.PLACEMENT_SUMMARY,
            runs=summary.runs,
            run_seconds=round(summary.run_seconds, 4),
            longest_run=round(summary.longest_run_seconds, 4),
            waiting=summary.max_waiting,
            started=summary.started,
            refused=summary.refused,
            lowest_rate=round(lowest_rate),
            highest_rate=round(highest_rate),
            least_met=customer,
            met_share=round(share, 3),
            kinds_customer=kinds_customer,
            kinds={str(goal): round(fraction, 3) for goal, fraction in sorted(kinds.items())},
            cooldown=round(placement.bursts.cooldowns.max_ratio, 3),
            targets={str(pool): dict(placement.view(pool, now).availability()) for pool in waiting.by_pool},
        )

    def log_engine_changes(self, now: float) -> None:
        """Log which engines have got another part of the sessions, and which slow spells began or ended."""
        placement = self.state.placement
        for change in placement.rate_steps.take_changes():
            log_event(
                Event.ENGINE_WEIGHT_CHANGED,
                target=change.target_id,
                weight=round(change.weight, 3),
                previous=round(change.previous_weight, 3),
                rate=round(change.rate),
                median_rate=round(change.median_rate),
            )
        for spell in placement.spells.take_changes(now):
            log_event(
                Event.ENGINE_SLOW if spell.is_slow else Event.ENGINE_SLOW_ENDED,
                target=spell.target_id,
                reason=spell.reason,
                slowdown=round(spell.slowdown, 2),
                seconds=round(spell.seconds, 3),
            )
