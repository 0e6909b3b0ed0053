"""Demand for shared prompt parts, from which follows how many engines should hold them."""

import math

from limpetusher.fleet.model import QueuedRequest
from limpetusher.fleet.settings import FleetSettings

MAX_SESSIONS = 4_000
"""Maximum number of sessions whose demand is known, which bounds the memory."""


class PartDemand:
    """Uncached prompt tokens that are requested for each session, as a decaying rate.

    Parameters
    ----------
    settings
        Constants of the placement policy.
    """

    def __init__(self, settings: FleetSettings):
        self.settings = settings
        self.by_session: dict[str, tuple[float, float]] = {}
        """Decaying sum of tokens, and the time to which it applies, by session."""

    def record(self, request: QueuedRequest, now: float) -> None:
        """Record the arrival of a request."""
        if request.session is None:
            return
        tokens = self.sum(request.session, now) + request.parts[-1].tokens
        if request.session not in self.by_session and len(self.by_session) >= MAX_SESSIONS:
            self.drop_lowest(now)
        self.by_session[request.session] = (tokens, now)

    def sum(self, session: str, now: float) -> float:
        """Return the decaying sum of a session's tokens."""
        tokens, at = self.by_session.get(session, (0.0, now))
        return tokens * math.exp(-max(0.0, now - at) / self.settings.demand_seconds)

    def drop_lowest(self, now: float) -> None:
        """Drop the half of the sessions with the lowest demand."""
        ranked = sorted(self.by_session, key=lambda session: self.sum(session, now))
        for session in ranked[: MAX_SESSIONS // 2]:
            del self.by_session[session]

    def engines(self, session: str, engine_rate: float, now: float) -> int:
        """Return the number of engines that a session needs, at least 1.

        Parameters
        ----------
        session
            The session.
        engine_rate
            Prompt tokens per second that one engine prefills.
        now
            Reading of the monotonic clock.
        """
        tokens_of_one = self.settings.max_engine_demand_fraction * engine_rate * self.settings.demand_seconds
        known = self.by_session.get(session)
        if known is None or known[0] < tokens_of_one:
            return 1
        return min(1 + int(self.sum(session, now) / tokens_of_one), self.settings.max_candidates)
