"""State of the connection to each peer: sequence numbers, echoes, reachability and incarnation."""

from array import array
from collections import deque
from collections.abc import Container
from dataclasses import dataclass, field

from limpetusher.core.settings import PolicySettings

RECENT_SEQUENCES = 256
"""Sequence numbers per peer whose send times are kept; older echoes are treated as unknown."""
MAXIMUM_RETIRED_INCARNATIONS = 8
"""Earlier incarnations per peer whose late messages are recognised."""


@dataclass(frozen=True, slots=True)
class PeerChange:
    """What a heartbeat changed.

    `outdated` is set if a newer heartbeat, or one of a later incarnation, has arrived before; the content
    must then be ignored. `restarted` is set if the peer has a new incarnation.
    """

    outdated: bool = False
    restarted: bool = False
    became_reachable: bool = False


@dataclass(slots=True)
class PeerState:
    """Sequence numbers, incarnation and last heartbeat of one peer."""

    first_sequence: int
    last_sequence: int
    sent_times: array = field(default_factory=lambda: array("d", bytes(8 * RECENT_SEQUENCES)))
    incarnation: int | None = None
    retired_incarnations: deque[int] = field(
        default_factory=lambda: deque(maxlen=MAXIMUM_RETIRED_INCARNATIONS)
    )
    received_sequence: int = 0
    echoed_sequence: int = 0
    last_heartbeat_at: float | None = None
    leaving: bool = False


class Peers:
    """Sequence numbers and reachability of the other routers.

    Parameters
    ----------
    settings
        Policy settings.
    first_sequence
        Sequence numbers start above this value. It has to differ between incarnations, because otherwise a
        late echo of an earlier incarnation's sequence number would lengthen a lease.
    """

    def __init__(self, settings: PolicySettings, *, first_sequence: int = 0):
        self.settings = settings
        self.first_sequence = first_sequence
        self.states: dict[str, PeerState] = {}

    def state(self, peer: str) -> PeerState:
        """Return the state of `peer`, creating it when needed."""
        state = self.states.get(peer)
        if state is None:
            state = PeerState(first_sequence=self.first_sequence, last_sequence=self.first_sequence)
            self.states[peer] = state
        return state

    def next_sequence(self, peer: str, now: float) -> int:
        """Return the sequence number for a heartbeat or demand sent to `peer` now."""
        state = self.state(peer)
        state.last_sequence += 1
        state.sent_times[state.last_sequence % RECENT_SEQUENCES] = now
        return state.last_sequence

    def sent_at(self, peer: str, sequence: int) -> float | None:
        """Return when `sequence` was sent to `peer`, None when unknown or too long ago."""
        state = self.states.get(peer)
        if state is None or not state.first_sequence < sequence <= state.last_sequence:
            return None
        if sequence <= state.last_sequence - RECENT_SEQUENCES:
            return None
        return state.sent_times[sequence % RECENT_SEQUENCES]

    def record_heartbeat(
        self, peer: str, incarnation: int, sequence: int, echo: int, now: float, leaving: bool
    ) -> PeerChange:
        """Record a heartbeat from `peer`. Demands are not recorded here: a grant echoes the demand itself."""
        state = self.state(peer)
        if incarnation in state.retired_incarnations:
            return PeerChange(outdated=True)
        restarted = state.incarnation is not None and incarnation != state.incarnation
        if restarted:
            state.retired_incarnations.append(state.incarnation)
            state.received_sequence = 0
            state.echoed_sequence = 0
            state.last_heartbeat_at = None
        elif state.incarnation is not None and sequence <= state.received_sequence:
            return PeerChange(outdated=True)
        became_reachable = not self.is_reachable(peer, now)
        state.incarnation = incarnation
        state.received_sequence = sequence
        if state.first_sequence < echo <= state.last_sequence:
            state.echoed_sequence = max(state.echoed_sequence, echo)
        state.last_heartbeat_at = now
        state.leaving = leaving
        return PeerChange(restarted=restarted, became_reachable=became_reachable)

    def echo_for(self, peer: str) -> int:
        """Return the sequence number to echo to `peer`, 0 if no heartbeat has arrived from it."""
        state = self.states.get(peer)
        return 0 if state is None else state.received_sequence

    def echoed_by(self, peer: str) -> int:
        """Return the highest of this router's sequence numbers that `peer` has echoed, 0 if none."""
        state = self.states.get(peer)
        return 0 if state is None else state.echoed_sequence

    def last_heartbeat_at(self, peer: str) -> float | None:
        """Return when the last heartbeat of `peer` arrived."""
        state = self.states.get(peer)
        return None if state is None else state.last_heartbeat_at

    def is_reachable(self, peer: str, now: float) -> bool:
        """Return whether a heartbeat of `peer` arrived within the timeout."""
        last_heartbeat_at = self.last_heartbeat_at(peer)
        return last_heartbeat_at is not None and now - last_heartbeat_at <= self.settings.peer_timeout_seconds

    def is_leaving(self, peer: str) -> bool:
        """Return whether `peer` announced in its last heartbeat that it is stopping."""
        state = self.states.get(peer)
        return state is not None and state.leaving

    def incarnation(self, peer: str) -> int | None:
        """Return the present incarnation of `peer`, None if no heartbeat has arrived from it."""
        state = self.states.get(peer)
        return None if state is None else state.incarnation

    def peers_to_forget(self, now: float) -> tuple[str, ...]:
        """Return the peers that have been silent for so long that their service history may be dropped."""
        limit = self.settings.peer_forget_seconds
        return tuple(
            peer
            for peer, state in self.states.items()
            if state.last_heartbeat_at is not None and now - state.last_heartbeat_at >= limit
        )

    def forget_unlisted(self, host_ids: Container[str]) -> tuple[str, ...]:
        """Drop the state of the peers that are not in `host_ids` and return their identifiers."""
        forgotten = tuple(peer for peer in self.states if peer not in host_ids)
        for peer in forgotten:
            # A peer that is listed again must not receive a sequence number a second time.
            self.first_sequence = max(self.first_sequence, self.states.pop(peer).last_sequence)
        return forgotten
