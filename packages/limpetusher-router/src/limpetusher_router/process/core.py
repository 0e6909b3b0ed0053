"""Creation of the decision core, and access to its state."""

import random

from limpetusher.clock import Clock
from limpetusher.configuration.compiled import Configuration
from limpetusher.core.decision import DecisionCore
from limpetusher_router.settings import RouterSettings


def make_core(
    settings: RouterSettings, *, incarnation: int, rng: random.Random, clock: Clock
) -> DecisionCore:
    """Create the decision core of this router."""
    now = clock.monotonic()
    return DecisionCore(
        settings=settings.policy,
        own_id=settings.host_id,
        data_centre=settings.data_centre,
        incarnation=incarnation,
        rng=rng,
        started_at=now,
        wall_offset_seconds=clock.wall() - now,
    )


def owned_target_addresses(core: DecisionCore) -> dict[str, str]:
    """Return the addresses of the targets that this router owns, by target id."""
    membership = core.context.membership
    return {target_id: membership.target(target_id).address for target_id in core.owned_targets}


def configuration_in_force(core: DecisionCore) -> Configuration | None:
    """Return the configuration in force, or None if there is none yet."""
    return core.context.rollout.configuration
