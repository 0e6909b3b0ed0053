"""Answers of the model engine, derived from the request so that a caller can verify them."""

import hashlib
import json

CHARACTERS_PER_TOKEN = 4
DEFAULT_MAXIMUM_TOKENS = 64
DIGEST_CHARACTERS = 10


def request_digest(body: dict) -> bytes:
    """Return a digest of the parts of a chat-completions request that determine its answer."""
    parts = [body.get("model"), body.get("messages"), body.get("max_tokens"), body.get("user")]
    return hashlib.blake2b(json.dumps(parts, sort_keys=True).encode(), digest_size=16).digest()


def prompt_text(body: dict) -> str:
    """Return the text of all messages."""
    return "\n".join(f"{message['role']}: {message['content']}" for message in body["messages"])


def prompt_tokens(body: dict) -> int:
    """Return the number of prompt tokens."""
    return max(1, len(prompt_text(body)) // CHARACTERS_PER_TOKEN)


def answer_length(body: dict) -> int:
    """Return the number of generated tokens.

    It is `max_tokens` when `ignore_eos` is set. Otherwise it lies between half of `max_tokens` and all of it,
    since an engine knows the length of an answer only at its end.
    """
    maximum = int(body.get("max_tokens") or DEFAULT_MAXIMUM_TOKENS)
    if maximum < 1:
        raise ValueError(f"max_tokens is {maximum}, allowed: at least 1")
    if body.get("ignore_eos"):
        return maximum
    least = (maximum + 1) // 2
    return least + int.from_bytes(request_digest(body)[:4]) % (maximum - least + 1)


def answer_tokens(body: dict) -> list[str]:
    """Return the generated tokens. Each contains the digest of the request and its position."""
    digest = request_digest(body).hex()[:DIGEST_CHARACTERS]
    return [f"{digest}.{position} " for position in range(answer_length(body))]


def answer_text(body: dict) -> str:
    """Return the complete text of the answer."""
    return "".join(answer_tokens(body))
