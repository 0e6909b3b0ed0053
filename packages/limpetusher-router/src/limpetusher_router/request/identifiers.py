"""Request identifiers that name the router."""

import itertools


class RequestIdentifiers:
    """Generates identifiers that are unique in the fleet and name the router that answers `explain`.

    Parameters
    ----------
    host_id
        Name of this router.
    incarnation
        Random number that differs at each start of the router.
    """

    def __init__(self, host_id: str, incarnation: int):
        self.prefix = f"{host_id}-{incarnation & 0xFFFFFFFF:08x}-"
        self.numbers = itertools.count(1)

    def next(self) -> str:
        """Return a new identifier."""
        return f"{self.prefix}{next(self.numbers)}"
