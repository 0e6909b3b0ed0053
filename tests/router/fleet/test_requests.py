"""Tests of what a router does with the answers of schedulers, with a manual clock."""

import random

from circuits.core import BaseComponent, handler

from builders_fleet import make_route, make_target
from builders_platform import make_host_settings
from limpetusher.clock import ManualClock
from limpetusher.fleet.messages import AttemptFinished, Outcome, TargetGrant
from limpetusher.fleet.request.scheduler_client import TargetRequest
from limpetusher.fleet.settings import FleetSettings
from limpetusher_router.connection.framing import RequestHead
from limpetusher_router.events import CALLERS, TARGETS
from limpetusher_router.fleet.event_relay import EventRelay
from limpetusher_router.fleet.exchange import Exchange
from limpetusher_router.fleet.refusals import UNAVAILABLE
from limpetusher_router.fleet.requests import FleetRequests
from limpetusher_router.fleet.state import FleetState
from limpetusher_router.platform.requests import decode_request
from limpetusher_router.process.deadlines import Deadlines
from limpetusher_router.process.metrics import Metrics

SERVICE = "engines"
TIMEOUT_SECONDS = 2.0


class EventRecorder(BaseComponent):
    """Records the statuses of answers to callers and the attempts at targets."""

    def __init__(self):
        super().__init__()
        self.statuses: list[int] = []
        self.attempts: list[object] = []

    @handler("SendAnswer", channel=CALLERS)
    def on_answer(self, _request_id: str, status: int, *_: object) -> None:
        self.statuses.append(status)

    @handler("StartAttempt", channel=TARGETS)
    def on_attempt(self, attempt: object) -> None:
        self.attempts.append(attempt)


def test_grant_read_after_the_deadline_of_its_request_is_not_sent():
    """Guards against requests that a router which was held up sends although their callers have given up."""
    clock = ManualClock()
    state = FleetState(make_host_settings(), FleetSettings(), clock=clock, rng=random.Random(1))
    state.placement.put_target(make_target("e1"))
    sent = []
    state.send_message = lambda _address, message: sent.append(message)
    recorder = EventRecorder()
    requests = FleetRequests(state, clock=clock, deadlines=Deadlines(clock), metrics=Metrics())
    requests.register(recorder)
    recorder.flush()
    head = RequestHead("GET", "/safe/1", "", (1, 1), {"x-request-id": "req-1"}, 0, False, True)
    target_request = TargetRequest(
        "r1", SERVICE, "s1", "acme", 1.0, clock.monotonic(), clock.monotonic() + TIMEOUT_SECONDS, 30, 5, ()
    )
    fields = decode_request(head)
    exchange = Exchange(
        "r1", head, b"", fields, make_route(), target_request, "acme", clock.monotonic(), EventRelay()
    )
    requests.exchanges["r1"] = exchange
    state.scheduler_client.request_target(target_request, clock.monotonic())
    clock.advance(TIMEOUT_SECONDS)
    grant = TargetGrant("r1", 1, "e1", 30, 30, 35, 30_000.0, False, 0.0, True)
    requests.handle_grant(grant, target_request.scheduler)
    while len(recorder):
        recorder.flush()
    assert recorder.attempts == []
    assert recorder.statuses == [UNAVAILABLE]
    assert sent[-1] == AttemptFinished("r1", 1, int(Outcome.WITHDRAWN), may_have_run=False)
