"""Which prompt parts engines have probably kept, by what has been sent to them."""

from collections import OrderedDict

from limpetusher.fleet.model import PromptPart


class KeptParts:
    """Prompt parts that one engine keeps; the least recently used ones yield."""

    def __init__(self):
        self.parts: OrderedDict[str, int] = OrderedDict()
        """Tokens by part, the least recently used one first."""
        self.tokens = 0

    def use(self, part: PromptPart) -> None:
        """Note that a part is read or used."""
        self.tokens += part.tokens - self.parts.pop(part.part_id, 0)
        self.parts[part.part_id] = part.tokens

    def shrink(self, capacity: float) -> list[str]:
        """Drop what does not fit, and return the names of the dropped parts."""
        dropped = []
        while self.tokens > capacity and self.parts:
            part_id, tokens = self.parts.popitem(last=False)
            self.tokens -= tokens
            dropped.append(part_id)
        return dropped


class PromptCaches:
    """Kept prompt parts by engine."""

    def __init__(self):
        self.kept: dict[str, KeptParts] = {}
        self.holders: dict[str, set[str]] = {}
        """Engines that keep a part, by part."""

    def use(self, target_id: str, shared: tuple[PromptPart, ...], capacity: float) -> None:
        """Note shared parts that an engine reads or uses, and has room for `capacity` tokens."""
        kept = self.kept.setdefault(target_id, KeptParts())
        for part in shared:
            kept.use(part)
            self.holders.setdefault(part.part_id, set()).add(target_id)
        for part_id in kept.shrink(capacity):
            self.drop(target_id, part_id)

    def unread_tokens(self, target_id: str, parts: tuple[PromptPart, ...], prompt_tokens: int) -> int:
        """Return how many prompt tokens the engine has to read; a part counts only with all before it."""
        kept = self.kept.get(target_id)
        cached = 0
        for part in parts[:-1]:
            if kept is None or part.part_id not in kept.parts:
                break
            cached += part.tokens
        return max(prompt_tokens - cached, 1)

    def forget(self, target_id: str) -> None:
        """Forget a target that is gone or has restarted."""
        kept = self.kept.pop(target_id, None)
        if kept is not None:
            for part_id in kept.parts:
                self.drop(target_id, part_id)

    def drop(self, target_id: str, part_id: str) -> None:
        """Forget that an engine keeps a part."""
        holders = self.holders[part_id]
        holders.discard(target_id)
        if not holders:
            del self.holders[part_id]

    def longest_holders(self, parts: tuple[PromptPart, ...]) -> set[str]:
        """Return the engines that keep the last shared part of a prompt that any engine keeps."""
        for part in reversed(parts[:-1]):
            holders = self.holders.get(part.part_id)
            if holders:
                return holders
        return set()
