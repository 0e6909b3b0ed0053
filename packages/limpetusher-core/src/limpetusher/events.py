"""Numbered log events. `docs/log-events.md` explains each; a test compares the two."""

import enum
import logging


class Event(enum.Enum):
    """A log event: number, level and text."""

    ROUTER_STARTED = (1001, logging.INFO, "router started")
    ROUTER_READY = (1002, logging.INFO, "router ready")
    ROUTER_STOPPING = (1003, logging.INFO, "router stopping")
    ROUTER_STOPPED = (1004, logging.INFO, "router stopped")
    CONFIGURATION_IN_FORCE = (1101, logging.INFO, "configuration in force")
    CONFIGURATION_REFUSED = (1102, logging.ERROR, "configuration refused, the one in force stays")
    CONFIGURATION_SERVICE_UNREACHABLE = (1103, logging.WARNING, "configuration service unreachable")
    CONFIGURATION_OLDER_IGNORED = (1104, logging.WARNING, "older configuration ignored")
    HOST_LIST_IN_FORCE = (1111, logging.INFO, "host list in force")
    PEER_REACHABLE = (1201, logging.INFO, "peer reachable")
    PEER_UNREACHABLE = (1202, logging.WARNING, "peer unreachable")
    PEER_MESSAGE_DROPPED = (1203, logging.WARNING, "peer message dropped")
    OWNERSHIP_GAINED = (1301, logging.INFO, "target ownership gained")
    OWNERSHIP_LOST = (1302, logging.INFO, "target ownership lost")
    TARGET_COLD = (1311, logging.WARNING, "target is cold")
    TARGET_WARM = (1312, logging.INFO, "target is warm")
    ORDER_SENT = (1321, logging.INFO, "order sent to target")
    ORDER_REFUSED = (1322, logging.WARNING, "order refused by target")
    REQUEST_REFUSED = (1401, logging.INFO, "request refused")
    REQUEST_FINISHED = (1402, logging.INFO, "request finished")
    REQUEST_RETRIED = (1403, logging.INFO, "request retried")
    ANSWER_CUT = (1404, logging.WARNING, "answer cut off by target")
    WITNESS_READY = (1501, logging.INFO, "idempotency witness ready")

    def __init__(self, number: int, level: int, text: str):
        self.number = number
        self.level = level
        self.text = text
