"""What a decision core tells about its state to the admin server and to tests."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TargetStatus:
    """An owned target. `free` is how many more requests this router may send there now."""

    target_id: str
    limit: int
    granted: int
    free: int
    warm: bool
    drained: bool


@dataclass(frozen=True, slots=True)
class CustomerStatus:
    """A customer in this router's view. `virtual` is its service per share, in cost units."""

    customer: str
    waiting: int
    virtual: float
    backlogged: bool


@dataclass(frozen=True, slots=True)
class CoreStatus:
    """State of one router's decision core."""

    own_id: str
    data_centre: str
    ready: bool
    stopping: bool
    configuration_version: int
    host_list_version: int
    waiting: int
    running: int
    reachable_peers: tuple[str, ...]
    targets: tuple[TargetStatus, ...]
    customers: tuple[CustomerStatus, ...]
    dropped_messages: int
