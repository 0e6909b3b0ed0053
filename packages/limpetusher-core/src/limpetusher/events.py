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
    CONFIGURATION_REFUSED = (1102, logging.ERROR, "configuration refused, current configuration kept")
    CONFIGURATION_SERVICE_UNREACHABLE = (1103, logging.WARNING, "configuration service unreachable")
    CONFIGURATION_OLDER_IGNORED = (1104, logging.WARNING, "older configuration ignored")
    STORE_LOST = (1105, logging.WARNING, "connection to platform store lost")
    STORE_REGAINED = (1106, logging.INFO, "connection to platform store restored")
    STORE_COPY_TAKEN = (1107, logging.INFO, "store entries copied from a peer")
    STORE_ENTRY_UNUSABLE = (1108, logging.WARNING, "store entry is unusable")
    SETTINGS_RELOADED = (1109, logging.INFO, "settings file reloaded")
    STORE_HISTORY_LOST = (1110, logging.INFO, "store history compacted, reading all entries again")
    HOST_LIST_IN_FORCE = (1111, logging.INFO, "host list in force")
    SETTINGS_REFUSED = (1112, logging.ERROR, "settings file refused, current settings kept")
    STORE_READ = (1113, logging.INFO, "store entries read")
    STORE_ENTRY_WITHHELD = (1114, logging.INFO, "older entry of a restored store is not applied for now")
    STORE_HISTORY_READ = (1115, logging.INFO, "earlier changes of the store read")
    STORE_COPY_FAILED = (1116, logging.WARNING, "copy of the store from a peer failed")
    PEER_REACHABLE = (1201, logging.INFO, "peer reachable")
    PEER_UNREACHABLE = (1202, logging.WARNING, "peer unreachable")
    PEER_MESSAGE_DROPPED = (1203, logging.WARNING, "peer message dropped")
    OWNERSHIP_GAINED = (1301, logging.INFO, "target ownership gained")
    OWNERSHIP_LOST = (1302, logging.INFO, "target ownership lost")
    TARGET_COLD = (1311, logging.WARNING, "target is cold")
    TARGET_WARM = (1312, logging.INFO, "target is warm")
    TARGET_LISTED = (1313, logging.INFO, "target listed or changed")
    TARGET_UNLISTED = (1314, logging.INFO, "target no longer listed")
    TARGET_SUSPENDED = (1315, logging.WARNING, "target suspended after a failure")
    DATA_CENTRE_EVACUATED = (1316, logging.INFO, "data centre evacuated")
    DATA_CENTRE_RETURNED = (1317, logging.INFO, "data centre returned")
    TARGET_HELD = (1318, logging.INFO, "target entry removed during a store outage, target kept for now")
    TARGET_NOTICE = (1319, logging.INFO, "target announced that it is leaving or overloaded")
    PLACEMENT_SUMMARY = (1320, logging.INFO, "placement runs of the last second")
    ORDER_SENT = (1321, logging.INFO, "order sent to target")
    ORDER_REFUSED = (1322, logging.WARNING, "order refused by target")
    PROMPT_QUARANTINED = (1323, logging.WARNING, "parts of prompts quarantined after crashes of engines")
    TARGET_RATE_LIMITED = (1324, logging.INFO, "target announced a limit of its request rate, or its end")
    PROMPT_CLEARED = (1325, logging.INFO, "parts of prompts no longer quarantined")
    REQUEST_QUARANTINED = (1326, logging.WARNING, "request quarantined after crashes of targets")
    REQUEST_CLEARED = (1327, logging.INFO, "request no longer quarantined")
    ENGINE_WEIGHT_CHANGED = (1331, logging.INFO, "engine gets another part of the sessions")
    ENGINE_SLOW = (1332, logging.INFO, "engine is in a slow spell")
    ENGINE_SLOW_ENDED = (1333, logging.INFO, "slow spell of an engine ended")
    REQUEST_REFUSED = (1401, logging.INFO, "request refused")
    REQUEST_FINISHED = (1402, logging.INFO, "request finished")
    REQUEST_RETRIED = (1403, logging.INFO, "request retried")
    ANSWER_CUT = (1404, logging.WARNING, "answer cut off by target")
    REQUEST_SENT = (1405, logging.INFO, "request sent to target")
    ATTEMPT_FAILED = (1406, logging.INFO, "attempt failed")
    REQUEST_FAILED = (1407, logging.WARNING, "request failed")
    CALLER_GONE = (1408, logging.INFO, "caller disconnected before the answer was complete")
    WITNESS_READY = (1501, logging.INFO, "idempotency witness ready")
    LOG_LINES_DROPPED = (1601, logging.WARNING, "log lines dropped")
    BODY_MEMORY_FULL = (1602, logging.WARNING, "request bodies refused for lack of memory")
    CALLER_PORT_BUSY = (1603, logging.WARNING, "port for callers is busy")
    REQUESTS_SHED = (1604, logging.WARNING, "host is overloaded, new requests are shed")
    SHEDDING_ENDED = (1605, logging.INFO, "host is no longer overloaded")
    CLOCK_DIFFERS = (1606, logging.WARNING, "time of day differs from that of other hosts")

    def __init__(self, number: int, level: int, text: str):
        self.number = number
        self.level = level
        self.text = text
