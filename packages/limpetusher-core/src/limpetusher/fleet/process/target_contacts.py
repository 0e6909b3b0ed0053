"""Targets that have been in contact without a break, so that they can't have restarted meanwhile.

A target may restart under its identifier with another software version. A router that is cut off does not
learn of it, and its list goes on to name the version of before.
"""

from collections.abc import Iterable
from dataclasses import dataclass

MAX_GAP_SECONDS = 0.5
"""Time without an open request after which a target may have restarted with another version."""
MAX_STREAMS = 20_000
"""Maximum number of streams of which the process is known that sent their last events."""


@dataclass(slots=True, eq=False)
class ContactSpell:
    """Time in which one process of a target has sent output, without a break."""

    target_id: str
    since: float
    last_at: float
    """When the last request with output ended, if none is open."""
    open_count: int = 0
    """Number of open requests with output."""

    def holds(self, now: float) -> bool:
        """Return whether the target can't have restarted since the spell began."""
        return self.open_count > 0 or now <= self.last_at + MAX_GAP_SECONDS


class TargetContacts:
    """Spells of contact with targets, and in which of them streams got their last events."""

    def __init__(self):
        self.spells: dict[str, ContactSpell] = {}
        self.streams: dict[int, ContactSpell] = {}

    def begin(self, target_id: str, streams: Iterable[int], now: float) -> None:
        """Record that a target has sent the first output of a request, which is open from then on."""
        spell = self.spells.get(target_id)
        if spell is None or not spell.holds(now):
            spell = self.spells[target_id] = ContactSpell(target_id, now, now)
        spell.open_count += 1
        for stream in streams:
            self.streams.pop(stream, None)
            self.streams[stream] = spell
        while len(self.streams) > MAX_STREAMS:
            del self.streams[next(iter(self.streams))]

    def end(self, target_id: str, now: float) -> None:
        """Record that a request with output is open no longer."""
        spell = self.spells.get(target_id)
        if spell is not None and spell.open_count:
            spell.open_count -= 1
            spell.last_at = now

    def break_off(self, target_id: str) -> None:
        """Record that a target has broken a connection, as one does that restarts."""
        self.spells.pop(target_id, None)

    def drop_old(self, now: float) -> None:
        """Drop the spells that are over."""
        self.spells = {target_id: spell for target_id, spell in self.spells.items() if spell.holds(now)}

    def is_proven(self, target_id: str, streams: Iterable[int], listed_until: float, now: float) -> bool:
        """Return whether a target runs the version that has sent the last events of a stream.

        Either the same process has sent them, or both processes have been in contact since the list of
        targets was up to date.

        Parameters
        ----------
        target_id
            A target that has the version by the list.
        streams
            Identifiers of the stream.
        listed_until
            Latest time at which the list was up to date.
        now
            The present time.
        """
        spell = self.spells.get(target_id)
        if spell is None or not spell.holds(now):
            return False
        origin = next((self.streams[stream] for stream in streams if stream in self.streams), None)
        if origin is spell:
            return True
        return spell.since <= listed_until and (origin is None or origin.since <= listed_until)
