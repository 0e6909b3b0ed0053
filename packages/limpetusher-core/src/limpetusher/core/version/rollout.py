"""Adoption and relay of the newest configuration and host list, and drains (design, 4.7 and 4.8)."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from limpetusher.configuration.compiled import Configuration, DataCentreState, HostList, HostRole, HostState
from limpetusher.core.settings import PolicySettings
from limpetusher.errors import InvalidInputError
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
WATCHER_TIMEOUT_SECONDS = 5.0
REQUEST_REPEAT_SECONDS = 1.0
CONFIRMATION_WAIT_SECONDS = 2.0
MAXIMUM_CONFIRMATION_WAIT_SECONDS = 5.0
HOST_LIST_REQUEST_DELAY_SECONDS = 2.0
"""Time after which a newer host list is requested from a peer; the platform delivers it within about 1 s."""
WATCH_RANK_KEY = b"configuration-watch"
NO_VERSION = (0, b"")


@dataclass(frozen=True, slots=True)
class RolloutChange:
    """Result of offering a configuration for adoption.

    `adopted` is set if it is now in force, `older` if it is older than the one in force. Neither is set for
    the configuration that is in force already.
    """

    adopted: bool
    older: bool = False
    previous: Configuration | None = None


@dataclass(frozen=True, slots=True)
class DocumentRequest:
    """A request to `peer` for its configuration document or host list."""

    peer: str
    payload: ConfigurationRequest | HostListRequest


class Rollout:
    """Holds the newest configuration and host list that this router has received, and never reverts either.

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
        self.ranked_routers: tuple[str, ...] = ()
        """Routers of the own data centre, ranked by their precedence as watchers of the configuration."""
        self.watchers: tuple[str, ...] = ()
        """The first routers of `ranked_routers` other than this one."""
        self.requested_order = NO_VERSION
        self.requested_at = float("-inf")
        self.host_list_behind_since: float | None = None
        self.host_list_requested_at = float("-inf")
        self.watcher_heard_at: float | None = None
        self.peer_version_received = False
        self.highest_peer_order = NO_VERSION
        self.first_adopted_at: float | None = None
        self.was_confirmed = False

    @property
    def order(self) -> tuple[int, bytes]:
        """Return version and digest of the configuration in force, `(0, b"")` without one."""
        return self.configuration.order if self.configuration else NO_VERSION

    @property
    def host_list_version(self) -> int:
        """Return the version of the host list in force, 0 without one."""
        return self.host_list.version if self.host_list else 0

    def adopt_configuration(self, configuration: Configuration, now: float) -> RolloutChange:
        """Put a validated configuration in force if it is newer than the present one."""
        if configuration.order <= self.order:
            return RolloutChange(adopted=False, older=configuration.order < self.order)
        if self.first_adopted_at is None:
            self.first_adopted_at = now
        previous, self.configuration = self.configuration, configuration
        return RolloutChange(adopted=True, previous=previous)

    def adopt_host_list(self, host_list: HostList, now: float) -> bool:
        """Put a host list in force, also in `membership`; return False for one that is not newer."""
        if host_list.version <= self.host_list_version:
            return False
        self.host_list = host_list
        self.host_list_behind_since = None
        self.membership.update(host_list, now)
        self.ranked_routers = self._rank_routers()
        others = [router for router in self.ranked_routers if router != self.own_id]
        self.watchers = tuple(others[:WATCHERS_PER_DATA_CENTRE])
        return True

    def is_confirmed(self, now: float) -> bool:
        """Return whether the configuration in force is confirmed to be as new as that of the peers.

        A router that restarts may read an old version from a stale replica of the platform. It is not
        ready before a peer's heartbeat has confirmed the version, or 2 s have passed without any heartbeat.
        A peer that announces a newer version but does not deliver it delays readiness by 5 s at most. Once
        confirmed, the router continues to serve while a newer version is being fetched.
        """
        if not self.was_confirmed:
            self.was_confirmed = self.may_confirm(now)
        return self.was_confirmed

    def may_confirm(self, now: float) -> bool:
        """Return whether a router that has just started may treat its configuration as confirmed."""
        if self.configuration is None or self.first_adopted_at is None:
            return False
        waited = now - self.first_adopted_at
        if self.peer_version_received:
            return self.order >= self.highest_peer_order or waited >= MAXIMUM_CONFIRMATION_WAIT_SECONDS
        others = [router for router in self.membership.routers() if router != self.own_id]
        return waited >= CONFIRMATION_WAIT_SECONDS or (self.host_list is not None and not others)

    def is_drained(self, target_id: str) -> bool:
        """Return whether the target must receive no new work.

        A target is drained when it is not listed or leaving, or when its data centre is out of service.
        """
        if self.configuration is None:
            return True
        try:
            host = self.membership.target(target_id)
        except InvalidInputError:
            return True
        state = self.configuration.data_centres.get(host.data_centre, DataCentreState.IN_SERVICE)
        return host.state is HostState.LEAVING or state is DataCentreState.OUT_OF_SERVICE

    def record_peer_version(
        self, peer: str, version: int, digest: bytes, now: float
    ) -> DocumentRequest | None:
        """Record the version of a peer's configuration, and request the document if it is newer.

        A document is not requested again from any peer for 1 s, unless an even newer version is announced.
        """
        if peer in self.watchers:
            self.watcher_heard_at = now
        order = (version, digest)
        self.peer_version_received = True
        self.highest_peer_order = max(self.highest_peer_order, order)
        if order <= self.order:
            return None
        if order <= self.requested_order and now < self.requested_at + REQUEST_REPEAT_SECONDS:
            return None
        self.requested_order, self.requested_at = order, now
        return DocumentRequest(peer, ConfigurationRequest())

    def record_peer_host_list(self, peer: str, version: int, now: float) -> DocumentRequest | None:
        """Record the version of a peer's host list, and request the list if this router's list stays older.

        Routers that can't reach the platform learn of leaving hosts in this way.
        """
        if version <= self.host_list_version:
            return None
        if self.host_list_behind_since is None:
            self.host_list_behind_since = now
        recently_requested = now < self.host_list_requested_at + REQUEST_REPEAT_SECONDS
        if recently_requested or now < self.host_list_behind_since + HOST_LIST_REQUEST_DELAY_SECONDS:
            return None
        self.host_list_requested_at = now
        return DocumentRequest(peer, HostListRequest())

    def host_list_document(self) -> HostListDocument | None:
        """Return the message that relays the host list in force, None without one."""
        return HostListDocument(self.host_list) if self.host_list else None

    def configuration_document(self) -> ConfigurationDocument | None:
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
        return heard_at is None or now >= heard_at + WATCHER_TIMEOUT_SECONDS

    def _rank_routers(self) -> tuple[str, ...]:
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
            router
            for router in self.ranked_routers
            if router == self.own_id or self.peers.is_reachable(router, now)
        ]
        return tuple(reachable[:WATCHERS_PER_DATA_CENTRE])
