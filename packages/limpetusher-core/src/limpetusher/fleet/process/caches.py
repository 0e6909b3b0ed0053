"""Which prompt parts engines have probably kept, by what this router has sent to them."""

from collections import OrderedDict

from limpetusher.fleet.model import PromptPart

PARTS_PER_ENGINE = 2_000


class PromptCaches:
    """Recently sent prompt parts by engine."""

    def __init__(self):
        self.parts: dict[str, OrderedDict[str, None]] = {}

    def sent(self, target_id: str, parts: tuple[PromptPart, ...]) -> None:
        """Note the shared parts of a request; the last one is its own."""
        known = self.parts.setdefault(target_id, OrderedDict())
        for part in parts[:-1]:
            known[part.part_id] = None
            known.move_to_end(part.part_id)
        while len(known) > PARTS_PER_ENGINE:
            known.popitem(last=False)

    def unread_tokens(self, target_id: str, parts: tuple[PromptPart, ...], prompt_tokens: int) -> int:
        """Return how many prompt tokens the engine has to read; a part counts only with all before it."""
        known = self.parts.get(target_id, {})
        cached = 0
        for part in parts[:-1]:
            if part.part_id not in known:
                break
            cached += part.tokens
        return max(prompt_tokens - cached, 1)

    def forget(self, target_id: str) -> None:
        """Forget a target that is gone or has restarted."""
        self.parts.pop(target_id, None)
