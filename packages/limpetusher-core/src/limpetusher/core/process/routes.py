"""Index of the targets that may serve each service, and of their current owners."""

from dataclasses import dataclass, field

from limpetusher.configuration.compiled import Configuration, TargetClass
from limpetusher.core.process.membership import Membership
from limpetusher.core.version.rollout import Rollout


@dataclass(slots=True)
class ServiceRoutes:
    """Targets of one service that may receive new work, in total and by owner."""

    targets: tuple[str, ...] = ()
    target_set: frozenset[str] = frozenset()
    owners: dict[str, tuple[str, ...]] = field(default_factory=dict)


class Routes:
    """Targets by service and owner, rebuilt only when configuration, hosts or reachability have changed.

    Parameters
    ----------
    own_id, data_centre
        Identify this router; targets in its data centre, and their owners, are listed first.
    membership
        Host list and ownership.
    rollout
        Configuration, and targets that are drained.
    """

    def __init__(self, own_id: str, data_centre: str, membership: Membership, rollout: Rollout):
        self.own_id = own_id
        self.data_centre = data_centre
        self.membership = membership
        self.rollout = rollout
        self.services: dict[str, ServiceRoutes] = {}
        self.services_of: dict[str, list[str]] = {}
        """Services that each owner has targets for."""
        self.local_targets: frozenset[str] = frozenset()
        """Targets in the data centre of this router."""
        self.owner_of: dict[str, str] = {}
        self.owned_targets: dict[str, tuple[str, ...]] = {}
        """Services of each target that this router owns and that may receive new work."""

    def rebuild(self, now: float) -> None:
        """Rebuild the index from the current configuration, host list and reachability."""
        configuration = self.rollout.configuration
        self.services, self.services_of, self.owner_of, self.owned_targets = {}, {}, {}, {}
        if configuration is None:
            return
        targets: dict[str, list[str]] = {}
        owners: dict[str, dict[str, list[str]]] = {}
        hosts = self.membership.targets()
        self.local_targets = frozenset(host.host_id for host in hosts if host.data_centre == self.data_centre)
        for host in sorted(hosts, key=lambda host: host.data_centre != self.data_centre):
            target_id = host.host_id
            owner = self.membership.owner(target_id, now)
            if owner is not None:
                self.owner_of[target_id] = owner
            target_class = find_target_class(configuration, host.target_class)
            if target_class is None or self.rollout.is_drained(target_id):
                continue
            if owner == self.own_id:
                self.owned_targets[target_id] = target_class.services
            for service in target_class.services:
                targets.setdefault(service, []).append(target_id)
                if owner is not None:
                    owners.setdefault(service, {}).setdefault(owner, []).append(target_id)
        for service, target_ids in targets.items():
            by_owner = {owner: tuple(ids) for owner, ids in owners.get(service, {}).items()}
            for owner in by_owner:
                self.services_of.setdefault(owner, []).append(service)
            self.services[service] = ServiceRoutes(tuple(target_ids), frozenset(target_ids), by_owner)

    def targets(self, service: str) -> tuple[str, ...]:
        """Return the targets that may receive new work for the service."""
        routes = self.services.get(service)
        return routes.targets if routes is not None else ()

    def owners(self, service: str) -> dict[str, tuple[str, ...]]:
        """Return the targets of the service by owner."""
        routes = self.services.get(service)
        return routes.owners if routes is not None else {}

    def owned_targets_for(self, service: str) -> tuple[str, ...]:
        """Return the targets of the service that this router owns."""
        return self.owners(service).get(self.own_id, ())

    def serves(self, target_id: str, service: str) -> bool:
        """Return whether the target may receive new work for the service."""
        routes = self.services.get(service)
        return routes is not None and target_id in routes.target_set


def find_target_class(configuration: Configuration, name: str | None) -> TargetClass | None:
    """Return the target class with this name, None when there is none."""
    return configuration.target_classes.get(name) if name is not None else None
