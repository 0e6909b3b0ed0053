"""Intervals between the first outputs of prompts that an engine prefills one after the other.

Prompts that are sent at the same time are prefilled without a pause. The time from the first output of the
first one to that of the last one is independent of the latency of sending prompts and of receiving outputs.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PrefillInterval:
    """Prompt tokens that an engine has prefilled without a pause within a time."""

    tokens: int
    seconds: float


@dataclass(slots=True)
class PromptGroup:
    """Prompts sent to one engine at the same time."""

    sent_at: float
    tokens_ahead: int
    """Prompt tokens without a first output that were sent to the engine before."""
    tokens: int = 0
    finished_tokens: int = 0
    """Prompt tokens with a first output since the group was sent, including those ahead."""
    first_output_at: float | None = None
    first_tokens: int = 0
    """Tokens of the prompt with the first output of the group."""

    def record_output(self, tokens: int, now: float) -> None:
        """Record the first output of a prompt."""
        self.finished_tokens += tokens
        if self.first_output_at is None and self.finished_tokens > self.tokens_ahead:
            self.first_output_at = now
            self.first_tokens = self.finished_tokens - self.tokens_ahead

    @property
    def is_finished(self) -> bool:
        """Return whether all prompts of the group have a first output."""
        return self.finished_tokens >= self.tokens_ahead + self.tokens


class PrefillIntervals:
    """Measured prefill intervals by engine."""

    def __init__(self):
        self.groups: dict[str, PromptGroup] = {}
        self.pending_tokens: dict[str, int] = {}

    def update_pending_tokens(
        self, target_id: str, pending_tokens: int, now: float
    ) -> PrefillInterval | None:
        """Update the prompt tokens without a first output; return the interval that has ended, if any."""
        previous = self.pending_tokens.get(target_id, 0)
        self.pending_tokens[target_id] = pending_tokens
        group = self.groups.get(target_id)
        if pending_tokens > previous:
            if group is None:
                group = self.groups[target_id] = PromptGroup(now, previous)
            if now == group.sent_at:
                group.tokens += pending_tokens - previous
            return None
        if group is None or pending_tokens == previous:
            return None
        group.record_output(previous - pending_tokens, now)
        if not group.is_finished:
            return None
        del self.groups[target_id]
        return PrefillInterval(group.tokens - group.first_tokens, now - group.first_output_at)

    def discard(self, target_id: str) -> None:
        """Discard the current interval of an engine, as the prefill of a prompt was cancelled."""
        self.groups.pop(target_id, None)

    def forget(self, target_id: str) -> None:
        """Remove the state of an engine."""
        self.groups.pop(target_id, None)
        self.pending_tokens.pop(target_id, None)
