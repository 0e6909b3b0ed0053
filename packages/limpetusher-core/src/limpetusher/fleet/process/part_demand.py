"""Demand for shared prompt parts, from which follows how many engines should hold them."""

from limpetusher.fleet.model import QueuedRequest
from limpetusher.fleet.process.decaying_sum import DecayingSum
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
        self.by_session: dict[str, DecayingSum] = {}
        """Tokens requested for each session."""

    def record(self, request: QueuedRequest, now: float) -> None:
        """Record the arrival of a request."""
        if request.session is None:
            return
        tokens = self.by_session.get(request.session)
        if tokens is None:
            if len(self.by_session) >= MAX_SESSIONS:
                self.drop_lowest(now)
            tokens = self.by_session[request.session] = DecayingSum(self.settings.demand_seconds, now)
        tokens.add(request.parts[-1].tokens, now)

    def sum(self, session: str, now: float) -> float:
        """Return the decaying sum of a session's tokens."""
        tokens = self.by_session.get(session)
        return tokens.value(now) if tokens is not None else 0.0

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
        if known is None or known.total < tokens_of_one:
            return 1
        return min(1 + int(known.value(now) / tokens_of_one), self.settings.max_candidates)
