"""Tests of exceptions within handlers: the request is answered truthfully and the process goes on."""

from types import SimpleNamespace

import pytest
from circuits.core import BaseComponent, handler

from builders_router import AUTHORIZATION, completions_body, configuration
from limpetusher.clock import ManualClock
from limpetusher.core.actions import Dispatch
from limpetusher.core.inputs import CallerGone, RequestArrived
from limpetusher_router.connection.framing import parse_request_head
from limpetusher_router.events import (
    CORE,
    REQUESTS,
    AnswerPart,
    AttemptSent,
    ConfigurationInForce,
    CoreAction,
    CoreInput,
    FailRequest,
    RequestReceived,
)
from limpetusher_router.process.adapter import CoreAdapter
from limpetusher_router.process.deadlines import Deadlines
from limpetusher_router.process.failures import request_id_of
from limpetusher_router.process.metrics import Metrics
from limpetusher_router.process.tracing import Tracing
from limpetusher_router.request.exchanges import Exchanges
from limpetusher_router.settings import RouterSettings


class Recorder(BaseComponent):
    """Root that keeps the messages to callers and to the core, and answers exceptions as the process does."""

    channel = "process"

    def __init__(self):
        super().__init__()
        self.to_callers, self.to_core = [], []

    @handler("SendAnswer", "SendPart", "AbortAnswer", channel="callers")
    def on_caller_message(self, event, *arguments) -> None:
        self.to_callers.append((event.name, *arguments))

    @handler("CoreInput", channel=CORE)
    def on_core_input(self, message) -> None:
        self.to_core.append(message)

    @handler("exception", channel="*")
    def on_exception(self, error_type, error, traceback, handler=None, fevent=None) -> None:
        request_id = request_id_of(fevent)
        assert request_id is not None
        self.fire(FailRequest(request_id), REQUESTS)

    def settle(self) -> None:
        while len(self):
            self.flush()


class BrokenCore:
    """Core that fails at each request."""

    context = SimpleNamespace(rollout=SimpleNamespace(configuration=None))

    def handle(self, message, now) -> list:
        if isinstance(message, RequestArrived):
            raise ZeroDivisionError
        return []

    def next_wakeup(self) -> float:
        return float("inf")


@pytest.fixture
def bench():
    recorder = Recorder()
    settings = RouterSettings(host_id="r1", data_centre="north")
    tracing = Tracing("r1", output=False)
    recorder.clock = ManualClock()
    recorder.exchanges = Exchanges(settings, clock=recorder.clock, metrics=Metrics(), tracing=tracing)
    recorder.exchanges.register(recorder)
    recorder.fire(ConfigurationInForce(configuration()), REQUESTS)
    recorder.settle()
    return recorder


def arrive(bench: Recorder) -> None:
    lines = ["POST /v1/chat/completions HTTP/1.1", "host: a", f"authorization: {AUTHORIZATION}", "", ""]
    head = parse_request_head("\r\n".join(lines).encode())
    bench.fire(RequestReceived("r1-1", head, completions_body()), REQUESTS)
    bench.settle()


def answer(bench: Recorder) -> tuple[int, bytes]:
    [(name, request_id, status, _headers, body)] = bench.to_callers
    assert (name, request_id) == ("SendAnswer", "r1-1")
    assert bench.exchanges.exchanges == {}
    return status, body


def test_core_that_fails(bench):
    """Guards against callers that wait for ever when the core raises an exception."""
    adapter = CoreAdapter(
        BrokenCore(), clock=bench.clock, deadlines=Deadlines(bench.clock), metrics=Metrics()
    )
    adapter.register(bench)
    arrive(bench)
    status, body = answer(bench)
    assert status == 500
    assert b'"ran":"no"' in body


@pytest.mark.parametrize(("sent", "ran"), [(False, b'"ran":"no"'), (True, b'"ran":"unknown"')])
def test_handler_that_fails(bench, sent, ran):
    """Guards against a false "not run" after a byte was sent, and against leaking the exception's text."""
    arrive(bench)
    dispatch = Dispatch("r1-1", 1, "t1", "127.0.0.1:1", 1.0)
    bench.fire(CoreAction(dispatch), REQUESTS)
    if sent:
        bench.fire(AttemptSent(("r1-1", 1)), REQUESTS)
    bench.settle()
    bench.fire(AnswerPart(("r1-1", 1), b"a part before any head"), REQUESTS)
    bench.settle()
    status, body = answer(bench)
    assert status == 500
    assert ran in body
    assert b"NoneType" not in body


def test_core_hears_of_a_request_that_failed(bench):
    """Guards against requests that stay in the core after the process has answered them with an error."""
    arrive(bench)
    bench.fire(FailRequest("r1-1"), REQUESTS)
    bench.settle()
    assert CallerGone("r1-1") in bench.to_core


def test_events_without_a_request():
    """Guards against taking another event's argument for a request."""
    assert request_id_of(CoreInput(RequestArrived("r1-1", "a", "s", True, 1.0, 1.0))) is None
    assert request_id_of(None) is None
