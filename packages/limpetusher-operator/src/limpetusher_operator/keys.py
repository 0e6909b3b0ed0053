"""Generation of API keys."""

import hashlib
import secrets
from dataclasses import dataclass

from limpetusher.configuration.document import ApiKeyModel

SALT_BYTES = 16
SECRET_BYTES = 32
KEY_ID_BYTES = 4
KEY_ID_PREFIX_LENGTH = 40


@dataclass(frozen=True, slots=True)
class NewApiKey:
    """Generated API key. `token` is what callers send; it is shown once and not stored."""

    entry: ApiKeyModel
    token: str


def generate_api_key(customer_id: str) -> NewApiKey:
    """Generate a random API key for a customer."""
    prefix = "".join(character if character.isalnum() else "-" for character in customer_id)[
        :KEY_ID_PREFIX_LENGTH
    ]
    key_id = f"{prefix}-{secrets.token_hex(KEY_ID_BYTES)}"
    salt = secrets.token_bytes(SALT_BYTES)
    secret = secrets.token_urlsafe(SECRET_BYTES)
    digest = hashlib.sha256(salt + secret.encode()).hexdigest()
    return NewApiKey(ApiKeyModel(key_id=key_id, salt=salt.hex(), digest=digest), f"{key_id}.{secret}")
