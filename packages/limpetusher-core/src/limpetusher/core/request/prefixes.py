"""Targets whose prefix cache probably holds a request's prefix."""

from collections import OrderedDict
from collections.abc import Collection

MAXIMUM_PREFIXES = 4096


class Prefixes:
    """Remembers on which target each prefix was last answered.

    Cache events of engines come late and with gaps, so the own dispatches are taken as the evidence.
    """

    def __init__(self) -> None:
        self.targets: OrderedDict[bytes, str] = OrderedDict()

    def used(self, prefix: bytes | None, target_id: str) -> None:
        """Note that a request with this prefix was answered by the target."""
        if prefix is None:
            return
        self.targets[prefix] = target_id
        self.targets.move_to_end(prefix)
        if len(self.targets) > MAXIMUM_PREFIXES:
            self.targets.popitem(last=False)

    def preferred(self, prefix: bytes | None, targets: Collection[str]) -> tuple[str, ...]:
        """Return the preferred targets among those that may be used."""
        target_id = self.targets.get(prefix) if prefix is not None else None
        return (target_id,) if target_id in targets else ()
