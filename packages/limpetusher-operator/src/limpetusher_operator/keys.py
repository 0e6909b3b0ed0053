"""New API keys."""

import hashlib
import secrets
from dataclasses import dataclass

from limpetusher.configuration.document import ApiKeyModel

SALT_BYTES = 16
SECRET_BYTES = 32
KEY_ID_BYTES = 4
KEY_ID_NAME_LENGTH = 40


@dataclass(frozen=True, slots=True)
class NewApiKey:
    """A generated key. `token` is what the caller sends; it is shown once and kept nowhere."""

    entry: ApiKeyModel
    token: str


def generate_api_key(customer_id: str) -> NewApiKey:
    """Return a new random key for a customer."""
    name = "".join(letter if letter.isalnum() else "-" for letter in customer_id)[:KEY_ID_NAME_LENGTH]
    key_id = f"{name}-{secrets.token_hex(KEY_ID_BYTES)}"
    salt = secrets.token_bytes(SALT_BYTES)
    secret = secrets.token_urlsafe(SECRET_BYTES)
    digest = hashlib.sha256(salt + secret.encode()).hexdigest()
    return NewApiKey(ApiKeyModel(key_id=key_id, salt=salt.hex(), digest=digest), f"{key_id}.{secret}")
