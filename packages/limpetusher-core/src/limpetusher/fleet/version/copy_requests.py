"""Choice of the peer from which a router fetches a copy of the store."""

import math

COPY_SECONDS = 1.0
"""Time after which a copy that has not arrived is requested from another peer. With the time until a lag is
noticed, a configuration stays within its 3 s when the first peer is slow."""
MAXIMUM_COPY_SECONDS = 8.0
"""Longest time that a peer has; after it, the same peer may be asked again as well."""
FAILURE_PAUSE_SECONDS = 0.5
"""Time for which a peer whose copy has failed is not asked again. Updates of the others come in it."""


class CopyRequests:
    """Decides when a copy is requested from a peer that is known to have a newer one.

    Each time that a slow peer is replaced, the next one gets twice the time, so that the copy arrives as well
    if all peers or the own host are slow.
    """

    def __init__(self):
        self.address = ""
        """Peer whose copy was requested, empty if no request is in progress."""
        self.requested_at = -math.inf
        self.seconds = COPY_SECONDS
        """Time that the peer has."""
        self.failed_address = ""
        self.failed_at = -math.inf

    def may_request(self, address: str, now: float) -> bool:
        """Return whether the copy of a peer is to be requested now."""
        if self.address:
            seconds = self.seconds if address != self.address else MAXIMUM_COPY_SECONDS
            return now >= self.requested_at + seconds
        return address != self.failed_address or now >= self.failed_at + FAILURE_PAUSE_SECONDS

    def begin(self, address: str, now: float) -> None:
        """Record a request, which replaces the one in progress."""
        self.seconds = min(2 * self.seconds, MAXIMUM_COPY_SECONDS) if self.address else COPY_SECONDS
        self.address, self.requested_at = address, now

    def end(self, now: float, *, has_failed: bool) -> None:
        """Record the end of the request."""
        self.failed_address = self.address if has_failed else ""
        self.failed_at = now
        self.address = ""
