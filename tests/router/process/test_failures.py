"""Tests of exceptions in handlers: the answer says whether the request ran, and the process continues."""

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
    AnswerPartReceived,
    AttemptSendStarted,
    ConfigurationChanged,
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
from limpetusher_router.request.forwarding import RequestForwarder
from limpetusher_router.settings import RouterSettings


class MessageRecorder(BaseComponent):
    """Component tree root that records messages to callers and the core, and handles exceptions."""

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

    def flush_all(self) -> None:
        while len(self):
            self.flush()


class FailingCore:
    """Core that raises an exception for each request."""

    context = SimpleNamespace(rollout=SimpleNamespace(configuration=None))

    def handle(self, message, now) -> list:
        if isinstance(message, RequestArrived):
            raise ZeroDivisionError
        return []

    def next_wakeup(self) -> float:
        return float("inf")


@pytest.fixture
def root():
    recorder = MessageRecorder()
    settings = RouterSettings(host_id="r1", data_centre="north")
    tracing = Tracing("r1", write_spans=False)
    recorder.clock = ManualClock()
    recorder.requests = RequestForwarder(settings, clock=recorder.clock, metrics=Metrics(), tracing=tracing)
    recorder.requests.register(recorder)
    recorder.fire(ConfigurationChanged(configuration()), REQUESTS)
    recorder.flush_all()
    return recorder


def receive_request(root: MessageRecorder) -> None:
    lines = ["POST /v1/chat/completions HTTP/1.1", "host: a", f"authorization: {AUTHORIZATION}", "", ""]
    head = parse_request_head("\r\n".join(lines).encode())
    root.fire(RequestReceived("r1-1", head, completions_body()), REQUESTS)
    root.flush_all()


def sent_answer(root: MessageRecorder) -> tuple[int, bytes]:
    [(name, request_id, status, _headers, body)] = root.to_callers
    assert (name, request_id) == ("SendAnswer", "r1-1")
    assert root.requests.requests == {}
    return status, body


def test_core_failure_is_answered_as_not_run(root):
    """Guards against callers that never get an answer when the core raises an exception."""
    adapter = CoreAdapter(FailingCore(), clock=root.clock, deadlines=Deadlines(root.clock), metrics=Metrics())
    adapter.register(root)
    receive_request(root)
    status, body = sent_answer(root)
    assert status == 500
    assert b'"ran":"no"' in body


@pytest.mark.parametrize(("sent", "ran"), [(False, b'"ran":"no"'), (True, b'"ran":"unknown"')])
def test_handler_failure_reports_whether_the_request_ran(root, sent, ran):
    """Guards against answering "not run" after a byte was sent, and against leaking the exception text."""
    receive_request(root)
    dispatch = Dispatch("r1-1", 1, "t1", "127.0.0.1:1", 1.0)
    root.fire(CoreAction(dispatch), REQUESTS)
    if sent:
        root.fire(AttemptSendStarted(("r1-1", 1)), REQUESTS)
    root.flush_all()
    root.fire(AnswerPartReceived(("r1-1", 1), b"a part before any head"), REQUESTS)
    root.flush_all()
    status, body = sent_answer(root)
    assert status == 500
    assert ran in body
    assert b"NoneType" not in body


def test_core_is_told_of_a_failed_request(root):
    """Guards against requests that stay in the core after the process has answered them with an error."""
    receive_request(root)
    root.fire(FailRequest("r1-1"), REQUESTS)
    root.flush_all()
    assert CallerGone("r1-1") in root.to_core


def test_event_without_a_request_has_no_request_id():
    """Guards against treating the argument of an unrelated event as a request id."""
    assert request_id_of(CoreInput(RequestArrived("r1-1", "a", "s", True, 1.0, 1.0))) is None
    assert request_id_of(None) is None
