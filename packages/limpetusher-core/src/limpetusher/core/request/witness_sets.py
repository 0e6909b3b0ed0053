"""Router lists, and the choice of the witnesses of an idempotency key from a list (design, 4.6)."""

import hashlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import cached_property

from limpetusher.configuration.compiled import HostList, HostRole

Rank = Callable[[bytes, Iterable[str]], Iterable[str]]
DIGEST_BYTES = 16


@dataclass(frozen=True)
class RouterList:
    """The routers of a host list with their data centres, sorted by identifier."""

    digest: bytes
    routers: tuple[tuple[str, str], ...]

    @classmethod
    def from_host_list(cls, host_list: HostList) -> "RouterList":
        """Return the routers of a host list.

        States and addresses are left out: they do not change which routers are witnesses.
        """
        routers = sorted(
            (host.host_id, host.data_centre) for host in host_list.hosts if host.role is HostRole.ROUTER
        )
        digest = hashlib.blake2b(repr(routers).encode(), digest_size=DIGEST_BYTES).digest()
        return cls(digest, tuple(routers))

    @cached_property
    def ids(self) -> frozenset[str]:
        """Return the identifiers of the routers."""
        return frozenset(router for router, _ in self.routers)


def majority(count: int) -> int:
    """Return how many of `count` witnesses are a majority."""
    return count // 2 + 1


def witnesses(router_list: RouterList, key: bytes, count: int, rank: Rank) -> tuple[str, ...]:
    """Return the witnesses of a key: the first ranked, from different data centres if possible."""
    data_centres = dict(router_list.routers)
    ranked = list(rank(key, list(data_centres)))
    first_of_data_centre: dict[str, str] = {}
    for router in ranked:
        first_of_data_centre.setdefault(data_centres[router], router)
    chosen = list(first_of_data_centre.values())[:count]
    chosen += [router for router in ranked if router not in chosen][: count - len(chosen)]
    return tuple(chosen)


def most_witnesses_within(router_list: RouterList, subset: Iterable[str], count: int) -> int:
    """Return an upper bound of how many witnesses of any one key are in `subset`."""
    data_centres = dict(router_list.routers)
    members = [router for router in subset if router in data_centres]
    if len(set(data_centres.values())) >= count:
        return min(count, len({data_centres[router] for router in members}))
    return min(count, len(members))
