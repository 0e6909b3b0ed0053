"""Which prompt parts engines have probably kept, by what all routers have sent to them."""

from collections import OrderedDict, deque

from limpetusher.fleet.model import PromptPart

REPORTED_TWICE = 2
"""Reports in which a sent part is named, so that the loss of one datagram does not matter."""

SentParts = tuple[str, tuple[PromptPart, ...]]
"""An engine, and the shared parts of a request that was sent to it."""


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

    def shrink(self, capacity: float) -> None:
        """Drop what does not fit."""
        while self.tokens > capacity and self.parts:
            _part, tokens = self.parts.popitem(last=False)
            self.tokens -= tokens


class PromptCaches:
    """Kept prompt parts by engine, from the sends of this router and those that its peers report."""

    def __init__(self):
        self.kept: dict[str, KeptParts] = {}
        self.unreported: list[SentParts] = []
        self.reported: deque[list[SentParts]] = deque(maxlen=REPORTED_TWICE - 1)

    def sent(self, target_id: str, parts: tuple[PromptPart, ...], capacity: float) -> None:
        """Note the shared parts of a request that this router sends; the last part is its own."""
        shared = parts[:-1]
        if shared:
            self.unreported.append((target_id, shared))
            self.use(target_id, shared, capacity)

    def use(self, target_id: str, shared: tuple[PromptPart, ...], capacity: float) -> None:
        """Note shared parts that an engine reads or uses, and has room for `capacity` tokens."""
        kept = self.kept.setdefault(target_id, KeptParts())
        for part in shared:
            kept.use(part)
        kept.shrink(capacity)

    def take_sent(self) -> list[SentParts]:
        """Return what was sent since the report before the last one, for the next report."""
        news = [entry for entries in self.reported for entry in entries] + self.unreported
        self.reported.append(self.unreported)
        self.unreported = []
        return news

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
        self.kept.pop(target_id, None)
