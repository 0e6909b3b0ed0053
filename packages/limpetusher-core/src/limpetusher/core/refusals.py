"""Reasons for refusals, and whether a refused request ran, as reported to callers."""

import enum


class Ran(enum.StrEnum):
    """What is known about whether a refused request ran at a target."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class RefusalCode(enum.StrEnum):
    """Machine-readable reasons in error answers."""

    BAD_REQUEST = "bad_request"
    UNKNOWN_KEY = "unknown_key"
    UNKNOWN_SERVICE = "unknown_service"
    REQUEST_TIMEOUT = "request_timeout"
    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    QUEUE_FULL = "queue_full"
    DEADLINE = "deadline"
    NO_CAPACITY = "no_capacity"
    NOT_READY = "not_ready"
    STOPPING = "stopping"
    ANSWER_CUT = "answer_cut"
    TARGET_FAILED = "target_failed"
    KEY_IN_USE = "key_in_use"
    KEY_REUSED = "key_reused"
    NO_QUORUM = "no_quorum"
    ALREADY_RUN = "already_run"
