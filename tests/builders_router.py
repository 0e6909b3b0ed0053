"""Builders for tests of the router process."""

import hashlib
import json

from limpetusher.core.actions import (
    CancelDispatch,
    Dispatch,
    Ran,
    RefusalCode,
    Refuse,
    Stopped,
    WatchConfiguration,
)
from limpetusher.core.inputs import (
    CallerGone,
    ConfigurationReceived,
    HostListReceived,
    Outcome,
    RequestArrived,
    ResponseEnded,
    StopRequested,
    TimerDue,
)

SECRET = "correct-horse"
SALT = "ab" * 16
KEY_ID = "key-one"
AUTHORIZATION = f"Bearer {KEY_ID}.{SECRET}"


class DirectCore:
    """Core that sends each request at once to the first target, for tests of the process around the core."""

    def __init__(self, settings, **_options):
        self.now = 0.0
        self.configuration = None
        self.hosts = None
        self.running = {}
        self.inputs = []
        self.started = False
        self.stopping = False

    @property
    def is_ready(self) -> bool:
        return self.configuration is not None and self.hosts is not None and not self.stopping

    def next_wakeup(self) -> float:
        return float("inf")

    def status(self) -> dict:
        return {"running": len(self.running)}

    def explain(self, request_id: str):
        return None

    def owned_targets(self) -> dict[str, str]:
        return {}

    def handle(self, message, now: float) -> list:
        self.inputs.append(message)
        match message:
            case TimerDue():
                return [WatchConfiguration(True)]
            case ConfigurationReceived(configuration):
                self.configuration = configuration
            case HostListReceived(host_list):
                self.hosts = host_list
            case RequestArrived(request_id=request_id):
                if self.stopping:
                    return [Refuse(request_id, 503, RefusalCode.STOPPING, "stopping", Ran.NO, 1.0)]
                target = next(host for host in self.hosts.hosts if host.role == "target")
                self.running[request_id] = 1
                return [Dispatch(request_id, 1, target.host_id, target.address, now + 1.0)]
            case CallerGone(request_id):
                return [CancelDispatch(request_id, 1)]
            case ResponseEnded(request_id=request_id, outcome=outcome):
                self.running.pop(request_id, None)
                actions = [] if outcome is Outcome.COMPLETE else [self.refuse(request_id, outcome)]
                return actions + self.stopped()
            case StopRequested():
                self.stopping = True
                return self.stopped()
        return []

    def stopped(self) -> list:
        return [Stopped()] if self.stopping and not self.running else []

    def refuse(self, request_id: str, outcome: Outcome) -> Refuse:
        ran = Ran.NO if outcome in (Outcome.NOT_SENT, Outcome.REJECTED_NOT_RUN) else Ran.UNKNOWN
        return Refuse(request_id, 502, RefusalCode.ANSWER_CUT, outcome.value, ran)


def configuration_document(version: int = 1) -> dict:
    """Return a small configuration document with one customer."""
    digest = hashlib.sha256(bytes.fromhex(SALT) + SECRET.encode()).hexdigest()
    routes = [
        {"method": "POST", "path_prefix": "/dispatch", "idempotent": False},
        {"method": "GET", "path_prefix": "/status", "idempotent": True},
    ]
    return {
        "version": version,
        "customers": [
            {
                "customer_id": "acme",
                "share": 1.0,
                "api_keys": [{"key_id": KEY_ID, "salt": SALT, "digest": digest}],
                "services": ["chatter", "crew"],
            }
        ],
        "services": [
            {"name": "chatter", "kind": "engine", "default_cost": 100.0, "routes": []},
            {"name": "crew", "kind": "application", "default_cost": 10.0, "routes": routes},
        ],
        "target_classes": [
            {"name": "any", "kind": "engine", "services": ["chatter"], "slots": 4, "cold_slots": 2}
        ],
        "data_centres": [{"name": "north", "state": "in"}],
    }


def host_list(target_address: str, router_address: str = "127.0.0.1:1") -> dict:
    """Return a host list with one router and one target."""
    return {
        "version": 1,
        "hosts": [
            {
                "host_id": "r1",
                "role": "router",
                "data_centre": "north",
                "address": router_address,
                "state": "live",
            },
            {
                "host_id": "t1",
                "role": "target",
                "data_centre": "north",
                "address": target_address,
                "state": "live",
                "target_class": "any",
            },
        ],
    }


def as_json(value: dict) -> bytes:
    """Return a document as JSON."""
    return json.dumps(value).encode()
