"""Making the decision core, and reading from it what the process needs to know."""

import random
from typing import TYPE_CHECKING

from limpetusher.clock import Clock
from limpetusher_router.settings import RouterSettings

if TYPE_CHECKING:
    from limpetusher.core.decision import DecisionCore


def make_core(
    settings: RouterSettings, *, incarnation: int, rng: random.Random, clock: Clock
) -> "DecisionCore":
    """Return the decision core of this router."""
    from limpetusher.core.decision import DecisionCore

    return DecisionCore(
        settings.policy,
        own_id=settings.host_id,
        data_centre=settings.data_centre,
        incarnation=incarnation,
        rng=rng,
        now=clock.monotonic(),
    )


def owned_addresses(core: "DecisionCore") -> dict[str, str]:
    """Return the addresses of the targets that this router owns by target id."""
    return core.owned_targets()
