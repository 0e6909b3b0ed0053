"""Authentication of callers by API key."""

import hashlib
import hmac

from limpetusher.configuration.compiled import ApiKey, Configuration, Customer
from limpetusher.core.refusals import RefusalCode
from limpetusher_router.errors import RequestError

SCHEME = "bearer"
PLACEHOLDER_KEY = ApiKey(key_id="", salt="00" * 16, digest="")


class Authenticator:
    """Authenticates API keys and returns their customers.

    Parameters
    ----------
    configuration
        Configuration whose keys are accepted.
    """

    def __init__(self, configuration: Configuration):
        self.keys = {
            key.key_id: (customer, key)
            for customer in configuration.customers.values()
            for key in customer.api_keys
        }

    def authenticate(self, authorization: str | None) -> Customer:
        """Return the customer that a header field `Bearer KEY_ID.SECRET` authenticates.

        An unknown key id is checked against a placeholder, so that the time taken does not reveal which ids
        exist.

        Raises
        ------
        RequestError
            If the field is missing or the key is not accepted.
        """
        scheme, _, token = (authorization or "").strip().partition(" ")
        key_id, _, secret = token.strip().partition(".")
        customer, key = self.keys.get(key_id, (None, PLACEHOLDER_KEY))
        digest = hashlib.sha256(bytes.fromhex(key.salt) + secret.encode("latin-1", "replace")).hexdigest()
        accepted = hmac.compare_digest(digest, key.digest)
        if scheme.lower() != SCHEME or customer is None or not accepted:
            raise RequestError(
                401, RefusalCode.UNKNOWN_KEY, "the API key is not known; allowed: Bearer KEY_ID.SECRET"
            )
        return customer
