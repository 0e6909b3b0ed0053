"""Constants for engines of unequal prefill rates and for slow spells."""

from dataclasses import dataclass

from limpetusher.errors import InvalidInputError
from limpetusher.fleet.setting_bounds import find_out_of_bounds

BOUNDS = {
    "weighs_sessions": (False, True),
    "avoids_spells": (False, True),
    "rate_step": (1.05, 4.0),
    "step_change_threshold": (0.5, 1.0),
    "step_hold_seconds": (0.0, 60.0),
    "min_rate_samples": (1, 1_000),
    "spell_slowdown": (1.1, 10.0),
    "spell_spreads": (1.0, 20.0),
    "min_overdue_seconds": (0.005, 1.0),
    "spell_remaining_seconds": (0.05, 5.0),
    "max_spell_seconds": (0.1, 30.0),
}
"""Inclusive range of each setting."""


@dataclass(frozen=True, slots=True, kw_only=True)
class UnevenEngineSettings:
    """Constants for engines of unequal prefill rates and for slow spells. Times are seconds.

    Parameters
    ----------
    weighs_sessions
        Whether sessions are spread by the rates of engines, or evenly.
    avoids_spells
        Whether the delay of a slow spell counts in the cost of an engine, and its samples are kept from the
        rate of the engine. Off by default: with even engines at overload, some delays are taken for spells,
        and a customer falls short of its share. Spells are detected and logged in any case.
    rate_step
        Ratio between two adjacent weights of engines in the ranking of sessions.
    step_change_threshold
        Distance of a rate from the centre of its step, in steps, from which on the step may change. Above
        0.5, so that a rate near a boundary does not change its step back and forth.
    step_hold_seconds
        Time for which a rate must be away from its step before the step changes. Longer than a slow spell.
    min_rate_samples
        Number of samples from which on the measured rate of an engine is used for weights and spells.
    spell_slowdown
        Prefill time relative to the expected one from which on an output is late.
    spell_spreads
        Number of mean deviations by which an output has to be late as well.
    min_overdue_seconds
        Minimum time by which an output has to be late; covers a busy round of the event loop of its router.
    spell_remaining_seconds
        Time after the last late output for which a spell is assumed to go on. The next prompt then shows
        whether it does.
    max_spell_seconds
        Time after which a slow engine counts as permanently slower instead, so that its rate adapts.

    Raises
    ------
    InvalidInputError
        If a value is out of its range.
    """

    weighs_sessions: bool = True
    avoids_spells: bool = False
    rate_step: float = 1.25
    step_change_threshold: float = 0.7
    step_hold_seconds: float = 2.0
    min_rate_samples: int = 10
    spell_slowdown: float = 1.5
    spell_spreads: float = 4.0
    min_overdue_seconds: float = 0.05
    spell_remaining_seconds: float = 0.5
    max_spell_seconds: float = 2.0

    def __post_init__(self):
        problems = find_out_of_bounds(self, BOUNDS)
        if problems:
            raise InvalidInputError("; ".join(problems))
