"""Messages between routers. All are msgspec structs; the codec adds version and authentication."""

import msgspec

from limpetusher.configuration.compiled import HostList


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True, omit_defaults=False):
    """Base of all messages between routers."""


class HeldGrant(msgspec.Struct, frozen=True, array_like=True):
    """A request that runs at a target under a grant. `progress_cost` is the cost seen so far."""

    grant_id: str
    target_id: str
    customer: str
    service: str
    progress_cost: float


class Heartbeat(Message, frozen=True, tag="hb"):
    """Sent to each peer every exchange interval.

    `echo` is the highest sequence number received from the addressee, 0 if none. `lent_targets` names the
    targets whose slots are lent to the addressee. `charged` holds cumulative charges of customers that
    changed since the last heartbeat that the addressee echoed. `free_slots` is per owned target.
    `fencing` is the highest known fencing number.
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
    charged: dict[str, float] = {}
    waiting_customers: tuple[str, ...] = ()
    free_slots: dict[str, int] = {}
    fencing: int = 0


class DemandEntry(msgspec.Struct, frozen=True, array_like=True):
    """Waiting requests of one customer for one service. `preferred` are targets with a cached prefix.

    `prompt_cost` and `cost_hint` are those of the oldest request.
    """

    service: str
    customer: str
    waiting: int
    oldest_wait_seconds: float
    preferred: tuple[str, ...] = ()
    prompt_cost: float = 0.0
    cost_hint: float | None = None


class Demand(Message, frozen=True, tag="dm"):
    """Replaces the sender's earlier demand at the addressee; a partial one only in the entries that it has.

    An entry without waiting requests withdraws the earlier one.

    `sequence` is shared with heartbeats; `last_grant` is the number of the last grant received from the
    addressee, so that grants on their way are not counted twice.
    """

    sequence: int
    last_grant: int
    entries: tuple[DemandEntry, ...]
    partial: bool = False


class Grant(Message, frozen=True, tag="gr"):
    """Permission to send one request of `customer` for `service` to the target.

    `number` counts the grants from this owner to the addressee. The grant is valid for
    `valid_seconds` from when the addressee sent the sequence number `echo`.
    """

    grant_id: str
    number: int
    target_id: str
    service: str
    customer: str
    echo: int
    valid_seconds: float


class GrantReturned(Message, frozen=True, tag="gx"):
    """The grant was not used. `target_failed` tells that the target could not be reached."""

    grant_id: str
    target_id: str
    target_failed: bool = False


class Release(Message, frozen=True, tag="rl"):
    """The request under the grant ended. `cost` is its final cost, None when unknown.

    `target_failed` tells that the connection to the target broke.
    """

    grant_id: str
    target_id: str
    cost: float | None
    complete: bool
    target_failed: bool = False


class ViewRequest(Message, frozen=True, tag="vq"):
    """A router that has just started asks for the addressee's virtual times."""


class View(Message, frozen=True, tag="vw"):
    """Virtual times by customer and the cumulative charges by router that they include."""

    virtual: dict[str, float]
    seen: dict[str, dict[str, float]]


class ConfigurationRequest(Message, frozen=True, tag="cq"):
    """Asks for the addressee's configuration document."""


class ConfigurationDocument(Message, frozen=True, tag="cd"):
    """A configuration document as published by the platform."""

    version: int
    document: bytes


class HostListRequest(Message, frozen=True, tag="hq"):
    """Asks for the addressee's host list."""


class HostListDocument(Message, frozen=True, tag="hd"):
    """The newest host list that the sender has seen."""

    host_list: HostList


class Register(Message, frozen=True, tag="kr"):
    """Asks a witness to record an attempt for an idempotency key.

    `round` counts the times that the attempt was registered; a waiting request registers again before
    its registration runs out.
    """

    key: bytes
    attempt_id: str
    body_digest: bytes
    host_list_digest: bytes
    round: int = 0


class Registered(Message, frozen=True, tag="ka"):
    """A witness's answer.

    `status` is one of `recorded`, `existing`, `not_ready`, `other_hosts`. For `existing`, the other
    fields describe the recorded attempt.
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


class KeyOutcome(Message, frozen=True, tag="ko"):
    """The holder of a key reports the state of its attempt.

    `state` is one of `running` (repeated while the attempt runs, so that its records last), `finished`,
    `unknown` and `abandoned`.
    """

    key: bytes
    attempt_id: str
    state: str
    http_status: int = 0


class KeySyncRequest(Message, frozen=True, tag="sq"):
    """A witness asks for the records of keys that it is a witness of, under the given host list.

    `number` is echoed in the answer.
    """

    host_list_digest: bytes
    number: int = 0


class KeyRecord(msgspec.Struct, frozen=True, array_like=True):
    """A recorded attempt. `age_seconds` is the time since its last change."""

    key: bytes
    attempt_id: str
    holder: str
    body_digest: bytes
    state: str
    http_status: int
    age_seconds: float


class EarlierList(msgspec.Struct, frozen=True, array_like=True):
    """Routers (identifier and data centre) of a host list in force `age_seconds` ago at the sender."""

    digest: bytes
    routers: tuple[tuple[str, str], ...]
    age_seconds: float


class KeySync(Message, frozen=True, tag="sy"):
    """Answer to a `KeySyncRequest`, in `parts` messages; `host_list_digest` is the one the sender uses.

    `intact` tells that the sender has forgotten no record within the window. `settled` tells that it also
    has the records of all earlier host lists. When the lists differ, there are no records, and
    `earlier_lists` includes the list that the sender uses.
    """

    host_list_digest: bytes
    records: tuple[KeyRecord, ...]
    number: int = 0
    part: int = 0
    parts: int = 1
    intact: bool = False
    settled: bool = False
    earlier_lists: tuple[EarlierList, ...] = ()


class AnswerRequest(Message, frozen=True, tag="aq"):
    """Asks the holder of a key for a copy of the answer."""

    key: bytes
    attempt_id: str


class AnswerCopy(Message, frozen=True, tag="ac"):
    """A copy of the answer, or `available` False when it is not kept."""

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
    | GrantReturned
    | Release
    | ViewRequest
    | View
    | ConfigurationRequest
    | ConfigurationDocument
    | HostListRequest
    | HostListDocument
    | Register
    | Registered
    | KeyOutcome
    | KeySyncRequest
    | KeySync
    | AnswerRequest
    | AnswerCopy
)
