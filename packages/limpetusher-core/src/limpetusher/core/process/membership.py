"""Listed and reachable routers and targets, and their rendezvous ranking."""

import hashlib
from collections import OrderedDict
from collections.abc import Iterable

from limpetusher.configuration.compiled import Host, HostList, HostRole, HostState
from limpetusher.core.connection.peers import Peers
from limpetusher.core.settings import PolicySettings
from limpetusher.errors import InvalidInputError

REMEMBERED_VERSIONS = 32
"""Host list versions whose routers are kept, to compare carriers with those of peers at other versions."""


class Membership:
    """The host list as this router sees it.

    Parameters
    ----------
    settings
        Constants of the policy.
    own_id
        Host id of this router.
    peers
        Reachability of the other routers.
    """

    def __init__(self, settings: PolicySettings, own_id: str, peers: Peers):
        self.settings = settings
        self.own_id = own_id
        self.peers = peers
        self.version: int | None = None
        self.digest = b""
        self.self_is_leaving = False
        self.hosts: dict[str, Host] = {}
        self.routers_by_version: OrderedDict[int, dict[str, tuple[str, ...]]] = OrderedDict()
        self.all_routers: tuple[str, ...] = ()
        self.routers_by_data_centre: dict[str, tuple[str, ...]] = {}
        self.all_targets: tuple[Host, ...] = ()
        self.carrier_cache: dict[str, tuple[str, ...]] = {}

    def update(self, host_list: HostList, now: float) -> bool:
        """Apply `host_list` if it is newer than the current one; return whether it was."""
        if self.version is not None and host_list.version <= self.version:
            return False
        self.version = host_list.version
        self.hosts = {host.host_id: host for host in host_list.hosts}
        routers = [host for host in host_list.hosts if host.role is HostRole.ROUTER]
        self.all_routers = tuple(sorted(host.host_id for host in routers))
        groups: dict[str, list[str]] = {}
        for host in routers:
            groups.setdefault(host.data_centre, []).append(host.host_id)
        previous = self.routers_by_data_centre
        self.routers_by_data_centre = {name: tuple(sorted(ids)) for name, ids in groups.items()}
        if previous != self.routers_by_data_centre:
            self.carrier_cache.clear()
        self.routers_by_version[host_list.version] = self.routers_by_data_centre
        while len(self.routers_by_version) > REMEMBERED_VERSIONS:
            self.routers_by_version.popitem(last=False)
        targets = [host for host in host_list.hosts if host.role is HostRole.TARGET]
        self.all_targets = tuple(sorted(targets, key=lambda host: host.host_id))
        self.digest = digest_of_routers(routers)
        return True

    def routers(self) -> tuple[str, ...]:
        """Return the ids of all listed routers, sorted."""
        return self.all_routers

    def routers_in(self, data_centre: str) -> tuple[str, ...]:
        """Return the ids of the listed routers of `data_centre`, sorted."""
        return self.routers_by_data_centre.get(data_centre, ())

    def targets(self) -> tuple[Host, ...]:
        """Return all listed targets, sorted by id."""
        return self.all_targets

    def target(self, target_id: str) -> Host:
        """Return the listed target `target_id`.

        Raises
        ------
        InvalidInputError
            When there is no such target in the host list.
        """
        host = self.hosts.get(target_id)
        if host is None or host.role is not HostRole.TARGET:
            raise InvalidInputError(f"target {target_id!r} is not in host list version {self.version}")
        return host

    def address(self, peer: str) -> str:
        """Return the peer socket's address of router `peer`.

        Raises
        ------
        InvalidInputError
            When there is no such router in the host list.
        """
        host = self.hosts.get(peer)
        if host is None or host.role is not HostRole.ROUTER:
            raise InvalidInputError(f"router {peer!r} is not in host list version {self.version}")
        return host.address

    def carriers(self, target_id: str) -> tuple[str, ...]:
        """Return the routers that carry slots of the target, in rendezvous order."""
        carriers = self.carrier_cache.get(target_id)
        if carriers is None:
            host = self.hosts.get(target_id)
            if host is None or host.role is not HostRole.TARGET:
                return ()
            candidates = self.routers_in(host.data_centre) or self.all_routers
            carriers = self.rank(target_id.encode(), candidates)
            self.carrier_cache[target_id] = carriers
        return carriers

    def same_carriers(self, target_id: str, version: int) -> bool:
        """Return whether host list `version` is known and gives the target the same carriers."""
        routers = self.routers_by_version.get(version)
        host = self.hosts.get(target_id)
        if routers is None or host is None:
            return False
        return routers_or_all(routers, host.data_centre) == routers_or_all(
            self.routers_by_data_centre, host.data_centre
        )

    def owner(self, target_id: str, now: float) -> str | None:
        """Return the first reachable router in the target's order that is not leaving."""
        for router in self.carriers(target_id):
            if not self.is_leaving(router) and (
                router == self.own_id or self.peers.is_reachable(router, now)
            ):
                return router
        return None

    def owned_targets(self, now: float) -> tuple[str, ...]:
        """Return the ids of the targets that this router regards as its own."""
        return tuple(
            host.host_id for host in self.all_targets if self.owner(host.host_id, now) == self.own_id
        )

    def is_leaving(self, router: str) -> bool:
        """Return whether a router is stopping, by its heartbeat or by the host list."""
        host = self.hosts.get(router)
        if host is None or host.state is HostState.LEAVING:
            return True
        return self.self_is_leaving if router == self.own_id else self.peers.is_leaving(router)

    def rank(self, key: bytes, host_ids: Iterable[str]) -> tuple[str, ...]:
        """Return `host_ids` in rendezvous order for `key`, highest weight first."""
        hash_key = hashlib.blake2b(key, digest_size=32).digest()

        def weight(host_id: str) -> tuple[bytes, str]:
            return hashlib.blake2b(host_id.encode(), key=hash_key, digest_size=8).digest(), host_id

        return tuple(sorted(host_ids, key=weight, reverse=True))


def routers_or_all(routers: dict[str, tuple[str, ...]], data_centre: str) -> tuple[str, ...]:
    """Return the routers of `data_centre`, or all routers, sorted, when there are none in it."""
    return routers.get(data_centre) or tuple(sorted(name for group in routers.values() for name in group))


def digest_of_routers(routers: Iterable[Host]) -> bytes:
    """Return a digest of the routers' ids, data centres and addresses, but not of their states."""
    digest = hashlib.blake2b(digest_size=16)
    for host in sorted(routers, key=lambda host: host.host_id):
        for value in (host.host_id, host.data_centre, host.address):
            encoded = value.encode()
            digest.update(len(encoded).to_bytes(4, "big") + encoded)
    return digest.digest()
