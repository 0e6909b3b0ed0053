"""Bounded log of the decisions about recent requests, shown to operators by `explain`."""

import enum
from collections import OrderedDict
from dataclasses import dataclass, field

from limpetusher.core.inputs import RequestArrived
from limpetusher.core.settings import PolicySettings

MAXIMUM_STEPS = 40


class Step(enum.StrEnum):
    """Kinds of decisions about a request."""

    ARRIVED = "arrived"
    REGISTERED = "registered"
    QUEUED = "queued"
    OFFERED = "offered"
    SPREAD = "spread"
    GRANTED = "granted"
    GRANT_RETURNED = "grant_returned"
    DISPATCHED = "dispatched"
    STARTED = "started"
    ENDED = "ended"
    RETRIED = "retried"
    REFUSED = "refused"
    REPLAYED = "replayed"
    CALLER_GONE = "caller_gone"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class ExplanationStep:
    """One decision. `place` is the target or router that it concerns; `reason` says why."""

    at: float
    step: Step
    place: str = ""
    reason: str = ""


@dataclass(slots=True)
class Explanation:
    """The decisions about one request, in order."""

    request_id: str
    customer: str
    service: str
    idempotent: bool
    steps: list[ExplanationStep] = field(default_factory=list)


class Explanations:
    """The explanations of the last `explanation_records` requests."""

    def __init__(self, settings: PolicySettings):
        self.settings = settings
        self.records: OrderedDict[str, Explanation] = OrderedDict()

    def begin(self, request: RequestArrived, now: float) -> None:
        """Start the explanation of a request and drop the oldest one when there are too many."""
        self.records[request.request_id] = Explanation(
            request.request_id, request.customer, request.service, request.idempotent
        )
        while len(self.records) > self.settings.explanation_records:
            self.records.popitem(last=False)
        self.add(request.request_id, now, Step.ARRIVED)

    def add(self, request_id: str, now: float, step: Step, place: str = "", reason: str = "") -> None:
        """Append a step. In a full record it replaces the last one, to keep the end of the request."""
        record = self.records.get(request_id)
        if record is None:
            return
        entry = ExplanationStep(now, step, place, reason)
        if len(record.steps) < MAXIMUM_STEPS:
            record.steps.append(entry)
        else:
            record.steps[-1] = entry

    def get(self, request_id: str) -> Explanation | None:
        """Return the explanation of a request, None when it is not kept."""
        return self.records.get(request_id)
