"""Generation of request identifiers."""

import itertools


class RequestIdGenerator:
    """Generates request identifiers that are unique in the fleet.

    They begin with the name of the router, which is the one that answers `explain` for the request.

    Parameters
    ----------
    host_id
        Name of this router.
    incarnation
        Number that differs for each start of the router.
    """

    def __init__(self, host_id: str, incarnation: int):
        self.prefix = f"{host_id}-{incarnation & 0xFFFFFFFF:08x}-"
        self.counter = itertools.count(1)

    def next_id(self) -> str:
        """Return a new identifier."""
        return f"{self.prefix}{next(self.counter)}"
