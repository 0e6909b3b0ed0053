"""Tests of the load tool."""

import asyncio

import pytest

from limpetusher_standins.caller import Caller, CallResult, Outcome
from limpetusher_standins.deployment import CONSORTIUM
from limpetusher_standins.load_generator import (
    CustomerLoad,
    LoadRun,
    LoadSettings,
    percentiles,
    run_load,
    summarise,
)


class RecordingCaller:
    """Caller that records its requests and sends nothing."""

    def __init__(self):
        self.requests = []

    async def complete_chat(self, body: dict) -> CallResult:
        self.requests.append(body)

    async def call_application(self, *arguments: object, **options: object) -> CallResult:
        self.requests.append((arguments, options))


def drawn_requests(seed: int) -> list:
    caller = RecordingCaller()
    customer = CONSORTIUM.customer_plans()[0]
    load = CustomerLoad(CONSORTIUM, customer, ["a", "b"], LoadSettings(seed=seed), LoadRun())
    for load.request_count in range(50):
        asyncio.run(load.draw_request(caller))
    return caller.requests


def test_same_seed_draws_the_same_requests():
    """Guards against a load that is not reproducible."""
    assert drawn_requests(1) == drawn_requests(1)
    assert drawn_requests(1) != drawn_requests(2)


def test_every_writing_call_has_its_own_key():
    """Guards against calls that are refused because their key was used before."""
    keys = [request[1]["idempotency_key"] for request in drawn_requests(1) if isinstance(request, tuple)]
    writing = [key for key in keys if key is not None]
    assert len(writing) == len(set(writing)) > 0


@pytest.mark.parametrize("rate", [0.0, 50.0])
def test_load_is_bounded(monkeypatch, rate: float):
    """Guards against a load that never ends when nothing answers."""

    async def complete(self: Caller, body: dict) -> CallResult:
        return CallResult(self.customer, body["model"], Outcome.NO_CONNECTION)

    monkeypatch.setattr(Caller, "complete_chat", complete)
    settings = LoadSettings(
        seconds=5.0, maximum_requests=40, open_loop_rate=rate, application_fraction=0.0, workers=1
    )
    customers = CONSORTIUM.customer_plans()
    run = asyncio.run(run_load(CONSORTIUM, customers, ["127.0.0.1:1"], settings))
    assert 40 <= len(run.results) <= 40 + 2 * len(customers)
    assert summarise(run, customers)["outcomes"] == {"no_connection": len(run.results)}


def test_percentiles():
    """Guards against percentiles of the wrong rank."""
    values = percentiles([float(value) for value in range(101)])
    assert (values["p50"], values["p99"], values["maximum"]) == (50.0, 99.0, 100.0)
    assert percentiles([]) == {}


def test_open_requests_are_abandoned_at_the_end():
    """Guards against waiting requests that outlast the load and disturb the next phase of a measurement."""

    async def run() -> LoadRun:
        async def never_answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read()
            closed.append(True)
            writer.close()

        closed: list[bool] = []
        server = await asyncio.start_server(never_answer, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        settings = LoadSettings(seconds=0.2, workers=2, flood_factor=1.0, abandon_open=True)
        found = await asyncio.wait_for(
            run_load(CONSORTIUM, CONSORTIUM.customer_plans()[:3], [address], settings), 5
        )
        while len(closed) < 6:
            await asyncio.sleep(0.01)
        server.close()
        return found

    found = asyncio.run(asyncio.wait_for(run(), 10))
    assert (len(found.abandoned), found.results, found.open_requests) == (6, [], 0)
    assert all(0.1 < result.seconds < 2.0 for result in found.abandoned)
