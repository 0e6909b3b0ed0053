"""Messages between routers, as msgspec structs. The codec adds protocol version and authentication tag."""

import msgspec

from limpetusher.configuration.compiled import HostList


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True, omit_defaults=False):
    """Base class of all messages between routers."""


class HeldGrant(msgspec.Struct, frozen=True, array_like=True):
    """Grant whose request is running at a target. `progress_cost` is the cost of the request so far."""

    grant_id: str
    target_id: str
    customer: str
    service: str
    progress_cost: float


class Heartbeat(Message, frozen=True, tag="hb"):
    """State of the sender, sent to each peer every exchange interval.

    `echo` is the highest sequence number received from the addressee, 0 if none. `lent_targets` names the
    targets whose slots are lent to the addressee. `held` lists the sender's running requests at targets of
    the addressee. `cumulative_charges` holds the cumulative charges of the customers whose charge has
    changed since the last heartbeat that the addressee echoed. `free_slots` is the number of free slots of
    each target that the sender owns. `fencing_number` is the highest fencing number that the sender knows.
    """

    sequence: int
    echo: int
    ready: bool
    leaving: bool
    configuration_version: int
    configuration_digest: bytes
    host_list_version: int
    lent_targets: tuple[str, ...] = ()
    held: tuple[HeldGrant, ...] = ()
    cumulative_charges: dict[str, float] = {}
    waiting_customers: tuple[str, ...] = ()
    free_slots: dict[str, int] = {}
    fencing_number: int = 0


class DemandEntry(msgspec.Struct, frozen=True, array_like=True):
    """Waiting requests of one customer for one service.

    `preferred` lists the targets that have a prefix cached. `prompt_cost` and `cost_hint` are those of the
    oldest request.
    """

    service: str
    customer: str
    waiting: int
    oldest_wait_seconds: float
    preferred: tuple[str, ...] = ()
    prompt_cost: float = 0.0
    cost_hint: float | None = None


class Demand(Message, frozen=True, tag="dm"):
    """Waiting requests of the sender that the addressee may grant.

    A demand replaces the sender's previous one. If it is `partial`, it replaces only the entries that it
    contains. An entry without waiting requests removes the previous entry.

    `sequence` uses the same numbering as heartbeats. `last_grant_number` is the number of the last grant
    received from the addressee, so that grants still in transit are not counted twice.
    """

    sequence: int
    last_grant_number: int
    entries: tuple[DemandEntry, ...]
    partial: bool = False


class Grant(Message, frozen=True, tag="gr"):
    """Permission to send one request of `customer` for `service` to the target.

    `number` counts the grants from this owner to the addressee. The grant is valid for `valid_seconds` from
    the time at which the addressee sent the message with the sequence number `echo`.
    """

    grant_id: str
    number: int
    target_id: str
    service: str
    customer: str
    echo: int
    valid_seconds: float


class GrantReturn(Message, frozen=True, tag="gx"):
    """Returns an unused grant. `target_failed` is set if the target could not be reached."""

    grant_id: str
    target_id: str
    target_failed: bool = False


class GrantRelease(Message, frozen=True, tag="rl"):
    """Reports that the request under a grant has ended. `cost` is its final cost, None if unknown.

    `target_failed` is set if the connection to the target broke.
    """

    grant_id: str
    target_id: str
    cost: float | None
    complete: bool
    target_failed: bool = False


class VirtualTimesRequest(Message, frozen=True, tag="vq"):
    """Asks for the addressee's virtual times. Sent by a router that has just started."""


class VirtualTimes(Message, frozen=True, tag="vw"):
    """Virtual time of each customer, and the cumulative charges of each router that it includes."""

    virtual: dict[str, float]
    included_charges: dict[str, dict[str, float]]


class ConfigurationRequest(Message, frozen=True, tag="cq"):
    """Asks for the addressee's configuration document."""


class ConfigurationDocument(Message, frozen=True, tag="cd"):
    """Configuration document as published by the platform."""

    version: int
    document: bytes


class HostListRequest(Message, frozen=True, tag="hq"):
    """Asks for the addressee's host list."""


class HostListDocument(Message, frozen=True, tag="hd"):
    """Newest host list that the sender has received."""

    host_list: HostList


class RegistrationRequest(Message, frozen=True, tag="kr"):
    """Asks a witness to record an attempt for an idempotency key.

    `round` counts the registrations of the attempt: a waiting request registers again before its
    registration expires.
    """

    key: bytes
    attempt_id: str
    body_digest: bytes
    host_list_digest: bytes
    round: int = 0


class RegistrationAnswer(Message, frozen=True, tag="ka"):
    """Answer of a witness to a `RegistrationRequest`.

    `status` is one of `recorded`, `existing`, `not_ready` and `other_hosts`. For `existing`, the fields
    `existing_*` describe the attempt that is already recorded.
    """

    key: bytes
    attempt_id: str
    status: str
    existing_attempt: str = ""
    existing_state: str = ""
    existing_digest: bytes = b""
    existing_holder: str = ""
    existing_http_status: int = 0
    round: int = 0


class AttemptStateReport(Message, frozen=True, tag="ko"):
    """Reports the state of an attempt to a witness. Sent by the holder of the key.

    `state` is one of `running`, `finished`, `unknown` and `abandoned`. `running` is sent repeatedly while the
    attempt runs, so that its records do not expire.
    """

    key: bytes
    attempt_id: str
    state: str
    http_status: int = 0


class KeySyncRequest(Message, frozen=True, tag="sq"):
    """Asks for the records of the keys that the sender is a witness of under the given host list.

    `number` is repeated in the answer.
    """

    host_list_digest: bytes
    number: int = 0


class KeyRecord(msgspec.Struct, frozen=True, array_like=True):
    """Recorded attempt. `age_seconds` is the time since its last change."""

    key: bytes
    attempt_id: str
    holder: str
    body_digest: bytes
    state: str
    http_status: int
    age_seconds: float


class EarlierHostList(msgspec.Struct, frozen=True, array_like=True):
    """Routers (identifier and data centre) of a host list that the sender used until `age_seconds` ago."""

    digest: bytes
    routers: tuple[tuple[str, str], ...]
    age_seconds: float


class KeySync(Message, frozen=True, tag="sy"):
    """Answer to a `KeySyncRequest`, split into `parts` messages.

    `host_list_digest` identifies the host list that the sender uses. `records_complete` is set if the sender
    has lost no record within the idempotency window, `ready_for_all_keys` if it also has the records of all
    earlier host lists. If the host lists of the two routers differ, `records` is empty and `earlier_lists`
    includes the list that the sender uses.
    """

    host_list_digest: bytes
    records: tuple[KeyRecord, ...]
    number: int = 0
    part: int = 0
    parts: int = 1
    records_complete: bool = False
    ready_for_all_keys: bool = False
    earlier_lists: tuple[EarlierHostList, ...] = ()


class AnswerRequest(Message, frozen=True, tag="aq"):
    """Asks the holder of a key for a copy of the answer."""

    key: bytes
    attempt_id: str


class AnswerCopy(Message, frozen=True, tag="ac"):
    """Copy of an answer. `available` is False if the sender does not keep the answer."""

    key: bytes
    attempt_id: str
    available: bool
    http_status: int = 0
    content_type: str = ""
    body: bytes = b""


PeerPayload = (
    Heartbeat
    | Demand
    | Grant
    | GrantReturn
    | GrantRelease
    | VirtualTimesRequest
    | VirtualTimes
    | ConfigurationRequest
    | ConfigurationDocument
    | HostListRequest
    | HostListDocument
    | RegistrationRequest
    | RegistrationAnswer
    | AttemptStateReport
    | KeySyncRequest
    | KeySync
    | AnswerRequest
    | AnswerCopy
)
