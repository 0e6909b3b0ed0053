"""Estimated prompt caches of engines, derived from the requests sent to them."""

from collections import OrderedDict

from limpetusher.fleet.model import PromptPart


class EngineCache:
    """Prompt parts cached by one engine, with least-recently-used eviction."""

    def __init__(self):
        self.parts: OrderedDict[str, int] = OrderedDict()
        """Tokens by part, least recently used first."""
        self.tokens = 0

    def record_use(self, part: PromptPart) -> None:
        """Record that a part is prefilled or reused."""
        self.tokens += part.tokens - self.parts.pop(part.part_id, 0)
        self.parts[part.part_id] = part.tokens

    def evict(self, capacity: float) -> list[str]:
        """Evict parts beyond a capacity in tokens; return their identifiers."""
        evicted = []
        while self.tokens > capacity and self.parts:
            part_id, tokens = self.parts.popitem(last=False)
            self.tokens -= tokens
            evicted.append(part_id)
        return evicted


class PromptCaches:
    """Cached prompt parts by engine."""

    def __init__(self):
        self.by_engine: dict[str, EngineCache] = {}
        self.holders: dict[str, set[str]] = {}
        """Engines that cache a part, by part."""

    def record_use(self, target_id: str, shared: tuple[PromptPart, ...], capacity: float) -> None:
        """Record that an engine with a cache of `capacity` tokens prefills or reuses shared parts.

        These parts are not evicted, as the request that uses them holds them.
        """
        cache = self.by_engine.setdefault(target_id, EngineCache())
        for part in shared:
            cache.record_use(part)
            self.holders.setdefault(part.part_id, set()).add(target_id)
        used_tokens = sum(part.tokens for part in shared)
        for part_id in cache.evict(max(capacity, used_tokens)):
            self.remove_holder(target_id, part_id)

    def prefill_tokens(self, target_id: str, parts: tuple[PromptPart, ...], prompt_tokens: int) -> int:
        """Return the prompt tokens to prefill; a part only counts as cached if all parts before it are."""
        cache = self.by_engine.get(target_id)
        if cache is None:
            return max(prompt_tokens, 1)
        cached = 0
        for part in parts[:-1]:
            if part.part_id not in cache.parts:
                break
            cached += part.tokens
        return max(prompt_tokens - cached, 1)

    def forget(self, target_id: str) -> None:
        """Remove the state of an engine that was removed or has restarted."""
        cache = self.by_engine.pop(target_id, None)
        if cache is not None:
            for part_id in cache.parts:
                self.remove_holder(target_id, part_id)

    def remove_holder(self, target_id: str, part_id: str) -> None:
        """Remove an engine from the holders of a part."""
        holders = self.holders[part_id]
        holders.discard(target_id)
        if not holders:
            del self.holders[part_id]

    def longest_holders(self, parts: tuple[PromptPart, ...]) -> set[str]:
        """Return the engines that cache the last shared part of a prompt that any engine caches."""
        for part in reversed(parts[:-1]):
            holders = self.holders.get(part.part_id)
            if holders:
                return holders
        return set()
