"""Targets that probably have a request's prefix in their prefix cache."""

from collections import OrderedDict
from collections.abc import Collection

MAXIMUM_PREFIXES = 4096


class PrefixTargets:
    """Remembers on which target each prefix was last answered.

    This is derived from the dispatches of this router, because cache events of engines arrive late and
    incompletely.
    """

    def __init__(self) -> None:
        self.targets: OrderedDict[bytes, str] = OrderedDict()

    def record_answer(self, prefix: bytes | None, target_id: str) -> None:
        """Record that the target answered a request with this prefix."""
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
