"""Newest configuration and host list, their relay between routers, and drains (design, 4.7 and 4.8)."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from limpetusher.configuration.compiled import Configuration, DataCentreState, HostList, HostRole, HostState
from limpetusher.core.settings import PolicySettings
from limpetusher.errors import PolicyError
from limpetusher.wire.messages import (
    ConfigurationDocument,
    ConfigurationRequest,
    HostListDocument,
    HostListRequest,
)

if TYPE_CHECKING:
    from limpetusher.core.connection.peers import Peers
    from limpetusher.core.process.membership import Membership

WATCHERS_PER_DATA_CENTRE = 2
WATCHER_SILENCE_SECONDS = 5.0
REQUEST_REPEAT_SECONDS = 1.0
CONFIRM_SECONDS = 2.0
CONFIRM_AT_MOST_SECONDS = 5.0
HOST_LIST_WAIT_SECONDS = 2.0
"""A router reads a new host list from the platform within about 1 s; only then it asks a peer."""
WATCH_RANK_KEY = b"configuration-watch"
NO_VERSION = (0, b"")


@dataclass(frozen=True, slots=True)
class RolloutChange:
    """What an offered configuration changed.

    `adopted` tells that it is now in force. `older` tells that it is older than the one in force; a
    configuration that is offered again is neither.
    """

    adopted: bool
    older: bool = False
    previous: Configuration | None = None


@dataclass(frozen=True, slots=True)
class Ask:
    """Ask `peer` for its configuration document or host list."""

    peer: str
    payload: ConfigurationRequest | HostListRequest


class Rollout:
    """Holds the newest configuration and host list that this router has seen; neither ever goes back.

    Parameters
    ----------
    settings
        Policy settings.
    own_id
        Host identifier of this router.
    membership
        Listed routers and targets.
    peers
        State of the other routers.
    """

    def __init__(self, settings: PolicySettings, own_id: str, membership: Membership, peers: Peers):
        self.settings = settings
        self.own_id = own_id
        self.membership = membership
        self.peers = peers
        self.configuration: Configuration | None = None
        self.host_list: HostList | None = None
        self.ranked: tuple[str, ...] = ()
        """Routers of the own data centre in the order in which they watch the configuration service."""
        self.watchers: tuple[str, ...] = ()
        """The first other routers of `ranked`."""
        self.asked_order = NO_VERSION
        self.asked_at = float("-inf")
        self.host_list_behind_since: float | None = None
        self.host_list_asked_at = float("-inf")
        self.watcher_heard_at: float | None = None
        self.peer_heard = False
        self.highest_peer_order = NO_VERSION
        self.first_offer_at: float | None = None
        self.was_confirmed = False

    @property
    def order(self) -> tuple[int, bytes]:
        """Return version and digest of the configuration in force, `(0, b"")` without one."""
        return self.configuration.order if self.configuration else NO_VERSION

    @property
    def host_list_version(self) -> int:
        """Return the version of the host list in force, 0 without one."""
        return self.host_list.version if self.host_list else 0

    def offer(self, configuration: Configuration, now: float) -> RolloutChange:
        """Put a validated configuration in force if it is newer than the present one."""
        if configuration.order <= self.order:
            return RolloutChange(adopted=False, older=configuration.order < self.order)
        if self.first_offer_at is None:
            self.first_offer_at = now
        previous, self.configuration = self.configuration, configuration
        return RolloutChange(adopted=True, previous=previous)

    def hosts(self, host_list: HostList, now: float) -> bool:
        """Put a host list in force, also in `membership`; return False for one that is not newer."""
        if host_list.version <= self.host_list_version:
            return False
        self.host_list = host_list
        self.host_list_behind_since = None
        self.membership.update(host_list, now)
        self.ranked = self._rank()
        others = [router for router in self.ranked if router != self.own_id]
        self.watchers = tuple(others[:WATCHERS_PER_DATA_CENTRE])
        return True

    def is_confirmed(self, now: float) -> bool:
        """Return whether the configuration in force is as new as what peers have.

        A router that restarts may read an old version from a stale replica of the platform. It is not
        ready before a peer's heartbeat has confirmed the version, or 2 s have passed without any heartbeat.
        A peer that names a newer version but does not deliver it delays readiness by 5 s at most. Once
        confirmed, the router goes on serving while a newer version is on its way.
        """
        if not self.was_confirmed:
            self.was_confirmed = self.confirms(now)
        return self.was_confirmed

    def confirms(self, now: float) -> bool:
        """Return whether a router that has just started may use its configuration."""
        if self.configuration is None or self.first_offer_at is None:
            return False
        waited = now - self.first_offer_at
        if self.peer_heard:
            return self.order >= self.highest_peer_order or waited >= CONFIRM_AT_MOST_SECONDS
        others = [router for router in self.membership.routers() if router != self.own_id]
        return waited >= CONFIRM_SECONDS or (self.host_list is not None and not others)

    def is_drained(self, target_id: str) -> bool:
        """Return whether the target must receive no new work.

        That is so when it is not listed, when it is leaving, or when its data centre is out of service.
        """
        if self.configuration is None:
            return True
        try:
            host = self.membership.target(target_id)
        except PolicyError:
            return True
        state = self.configuration.data_centres.get(host.data_centre, DataCentreState.IN_SERVICE)
        return host.state is HostState.LEAVING or state is DataCentreState.OUT_OF_SERVICE

    def peer_version(self, peer: str, version: int, digest: bytes, now: float) -> Ask | None:
        """Take note of a peer's configuration, and ask for the document if it is newer.

        A document that was asked for is not asked for again from any peer for 1 s, unless a still newer
        one is seen.
        """
        if peer in self.watchers:
            self.watcher_heard_at = now
        order = (version, digest)
        self.peer_heard = True
        self.highest_peer_order = max(self.highest_peer_order, order)
        if order <= self.order:
            return None
        if order <= self.asked_order and now < self.asked_at + REQUEST_REPEAT_SECONDS:
            return None
        self.asked_order, self.asked_at = order, now
        return Ask(peer, ConfigurationRequest())

    def peer_host_list(self, peer: str, version: int, now: float) -> Ask | None:
        """Take note of the version of a peer's host list, and ask for it if the own one stays behind.

        Routers that can't read the platform learn of leaving hosts in this way.
        """
        if version <= self.host_list_version:
            return None
        if self.host_list_behind_since is None:
            self.host_list_behind_since = now
        asked_lately = now < self.host_list_asked_at + REQUEST_REPEAT_SECONDS
        if asked_lately or now < self.host_list_behind_since + HOST_LIST_WAIT_SECONDS:
            return None
        self.host_list_asked_at = now
        return Ask(peer, HostListRequest())

    def hosts_document(self) -> HostListDocument | None:
        """Return the message that relays the host list in force, None without one."""
        return HostListDocument(self.host_list) if self.host_list else None

    def document(self) -> ConfigurationDocument | None:
        """Return the message that relays the configuration in force, None without one."""
        if self.configuration is None:
            return None
        return ConfigurationDocument(self.configuration.version, self.configuration.document)

    def should_watch(self, now: float) -> bool:
        """Return whether this router should watch the configuration service itself."""
        if self.configuration is None or self.host_list is None:
            return True
        if self.own_id in self._reachable_watchers(now):
            return True
        heard_at = self.watcher_heard_at
        return heard_at is None or now >= heard_at + WATCHER_SILENCE_SECONDS

    def _rank(self) -> tuple[str, ...]:
        hosts = self.host_list.hosts if self.host_list else ()
        own_data_centre = next((host.data_centre for host in hosts if host.host_id == self.own_id), None)
        routers = [
            host.host_id
            for host in hosts
            if host.role is HostRole.ROUTER and host.data_centre == own_data_centre
        ]
        return tuple(self.membership.rank(WATCH_RANK_KEY, routers))

    def _reachable_watchers(self, now: float) -> tuple[str, ...]:
        reachable = [
            router for router in self.ranked if router == self.own_id or self.peers.is_reachable(router, now)
        ]
        return tuple(reachable[:WATCHERS_PER_DATA_CENTRE])
