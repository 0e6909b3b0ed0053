"""Tests of a real router process whose callers and targets need nearly all of its file descriptors."""

import contextlib
import json
import socket
import threading
from collections.abc import Iterator
from pathlib import Path

import pytest

from builders_platform import (
    FleetRun,
    TargetCall,
    fleet_run,
    request_text,
    split_answer,
    target_document,
    wait_for,
)
from builders_router import read_all
from limpetusher.events import Event

pytestmark = [pytest.mark.integration, pytest.mark.timeout(60)]
FEW_OTHERS = """
import resource
resource.setrlimit(resource.RLIMIT_NOFILE, ({descriptors}, {descriptors}))
import limpetusher_router.connection.callers as callers
import limpetusher_router.fleet.process as process
callers.OTHER_DESCRIPTORS = 60
process.RESERVED_DESCRIPTORS = 70
"""
"""Statements that let callers leave few descriptors, as the limit of a host is too large for a test."""


def connect(run: FleetRun, stack: contextlib.ExitStack) -> socket.socket:
    host, port = run.router.caller.split(":")
    return stack.enter_context(socket.create_connection((host, int(port)), timeout=20.0))


class HeldTargets:
    """Script of targets that answer all requests once they are released."""

    def __init__(self):
        self.released = threading.Event()

    def __call__(self, call: TargetCall, _number: int) -> None:
        self.released.wait(20.0)
        call.answer(b"done")


@contextlib.contextmanager
def run_of_held_requests(
    folder: Path, *, descriptors: int, idle: int, requests: int
) -> Iterator[tuple[FleetRun, HeldTargets, list[socket.socket]]]:
    """Run a router with idle connections of callers and with others whose requests the targets hold."""
    held = HeldTargets()
    options = {"maximum_descriptors": descriptors, "preamble": FEW_OTHERS.format(descriptors=descriptors)}
    with fleet_run(folder, held, **options) as run, contextlib.ExitStack() as stack:
        stack.callback(held.released.set)
        for name, target in run.targets.items():
            entry = target_document(target.address, slots=requests)
            run.put(f"servers/{name}", entry, Event.TARGET_LISTED)
        for _ in range(idle):
            connect(run, stack)
        callers = [connect(run, stack) for _ in range(requests)]
        for caller in callers:
            caller.sendall(request_text(x_deadline_ms="20000").encode())
        yield run, held, callers


def test_requests_reach_their_targets_beside_callers_that_keep_connections_open(tmp_path):
    """Guards against idle callers that take the descriptors which connections to targets need."""
    with run_of_held_requests(tmp_path, descriptors=240, idle=160, requests=70) as (run, held, callers):
        wait_for(lambda: len(run.calls) == len(callers), run.router.log)
        assert run.router.page()[0] == 200
        held.released.set()
        assert {split_answer(read_all(caller))[0] for caller in callers} == {200}


def test_lack_of_descriptors_is_no_failure_of_a_target(tmp_path):
    """Guards against targets that are suspended, as this process could open no socket for a request."""
    with run_of_held_requests(tmp_path, descriptors=130, idle=0, requests=60) as (run, held, callers):
        wait_for(lambda: run.logged_count(Event.ATTEMPT_FAILED), run.router.log)
        held.released.set()
        answers = [split_answer(read_all(caller)) for caller in callers]
        assert all(
            status == 200 or (status == 503 and json.loads(body)["error"]["ran"] == "no")
            for status, body in answers
        )
        assert not run.logged_count(Event.TARGET_SUSPENDED)
