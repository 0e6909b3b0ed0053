"""Route lookup, and choice of a service for a request."""

import hashlib

from limpetusher.fleet.model import FleetConfiguration, Route

HASH_BYTES = 8


def stable_hash(*parts: str) -> int:
    """Return a hash of the given strings that is the same in all processes."""
    digest = hashlib.blake2b("\x00".join(parts).encode("utf-8", "surrogateescape"), digest_size=HASH_BYTES)
    return int.from_bytes(digest.digest(), "big")


class RouteTable:
    """Routes of one configuration by host, longest prefix first.

    Parameters
    ----------
    configuration
        Configuration whose routes are looked up.
    """

    def __init__(self, configuration: FleetConfiguration):
        self.by_host: dict[str, list[Route]] = {}
        for route in configuration.routes:
            self.by_host.setdefault(route.host.lower(), []).append(route)
        for routes in self.by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of `path`, None if no route matches."""
        for route in self.by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None


def choose_service(route: Route, key: str) -> str:
    """Return one of the route's services by weight; equal keys get the same service."""
    destinations = route.destinations
    if len(destinations) == 1:
        return destinations[0].service
    total = sum(destination.weight for destination in destinations)
    point = stable_hash(route.name, key) / 2 ** (8 * HASH_BYTES) * total
    for destination in destinations:
        point -= destination.weight
        if point < 0:
            return destination.service
    return destinations[-1].service
