"""Tests of the engine's HTTP interface."""

import asyncio
import json

import pytest

from builders_standins import chat, get, post, running_engine, running_platform
from limpetusher_standins import http_client
from limpetusher_standins.engine_answers import answer_text
from limpetusher_standins.http_client import IncompleteAnswerError

START_SECONDS = 40.0
"""Time limit of any step of a test, for a busy machine."""
COMPLETIONS = "/v1/chat/completions"


def events_of(body: bytes) -> list[str]:
    return [block.removeprefix("data: ") for block in body.decode().split("\n\n") if block]


def test_plain_and_streamed_answers_are_the_requests_own():
    """Guards against answers that can't be told apart from answers to other requests."""

    async def run() -> None:
        async with running_engine() as (_, address):
            plain = await post(address, COMPLETIONS, chat("one"), x_request_id="id-1")
            assert plain.headers["x-request-id"] == "id-1"
            assert plain.json()["choices"][0]["message"]["content"] == answer_text(chat("one"))
            assert plain.json()["usage"]["completion_tokens"] == 5
            streamed = events_of((await post(address, COMPLETIONS, chat("two", stream=True))).body)
            deltas = [json.loads(event)["choices"][0]["delta"] for event in streamed[:-2]]
            assert "".join(delta.get("content", "") for delta in deltas) == answer_text(chat("two"))
            assert json.loads(streamed[-2])["usage"]["completion_tokens"] == 5
            assert streamed[-1] == "[DONE]"
            assert answer_text(chat("one")) != answer_text(chat("two"))

    asyncio.run(run())


def test_resumed_stream_continues_at_the_event():
    """Guards against a resumed stream with a gap or a repeated part."""

    async def run() -> None:
        async with running_engine() as (_, address):
            whole = events_of((await post(address, COMPLETIONS, chat(stream=True), x_request_id="s")).body)
            for position in range(len(whole) + 1):
                rest = (await get(address, f"/streams/s?from={position}")).body
                assert events_of(rest) == whole[position:]

    asyncio.run(run())


def test_cancelled_stream_frees_its_slot():
    """Guards against cancelled streams that go on using the engine."""

    async def run() -> None:
        async with running_engine(slots=1) as (engine, address):
            body = chat(stream=True, max_tokens=100_000)
            running = asyncio.create_task(post(address, COMPLETIONS, body, x_request_id="long"))
            while "long" not in engine.streams:
                await asyncio.sleep(0.001)
            assert (await post(address, "/streams/long/cancel", {})).json()["state"] == "cancelled"
            with pytest.raises(IncompleteAnswerError):
                await running
            assert (await post(address, COMPLETIONS, chat())).status == 200
            states = [entry["state"] for entry in (await get(address, "/record")).json()["requests"]]
            assert states == ["cancelled", "complete"]

    asyncio.run(run())


def test_plain_request_of_a_caller_that_left_is_cancelled():
    """Guards against an engine that goes on generating after its caller disconnected."""

    async def run() -> None:
        async with running_engine() as (engine, address):
            request = asyncio.create_task(post(address, COMPLETIONS, chat(max_tokens=100_000)))
            while not engine.batch.stream_count:
                await asyncio.sleep(0.001)
            request.cancel()
            for _ in range(100):
                await asyncio.sleep(0.01)
                if not engine.batch.stream_count:
                    return
            pytest.fail("the request still runs one second after its caller left")

    asyncio.run(run())


def test_overload_in_cold_start_breaks_connections():
    """Guards against an overload that is missing from the record or invisible to callers."""

    async def run() -> None:
        async with running_engine(cold_seconds=60.0, cold_slots=1) as (engine, address):
            boot_id = (await get(address, "/load")).json()["boot_id"]
            running = asyncio.create_task(post(address, COMPLETIONS, chat(max_tokens=100_000)))
            while not engine.batch.stream_count:
                await asyncio.sleep(0.001)
            for request in (post(address, COMPLETIONS, chat()), running):
                with pytest.raises((IncompleteAnswerError, ConnectionError)):
                    await request
            assert len((await get(address, "/record")).json()["overloads"]) == 1
            assert (await get(address, "/load")).json()["boot_id"] != boot_id

    asyncio.run(run())


def test_load_report_lags():
    """Guards against load reports that are fresher than those of real engines."""

    async def run() -> None:
        clock = asyncio.get_running_loop().time
        async with running_engine(report_lag_seconds=0.3) as (engine, address):
            begun_at = clock()
            await asyncio.sleep(0.35)
            submitted_at = clock()
            stream = engine.batch.submit("direct", "", chat(max_tokens=100_000), submitted_at)
            assert stream in engine.batch.running
            report, asked_at = (await get(address, "/load")).json(), clock()
            assert report["warm"]
            assert 0.3 <= report["report_age_seconds"] <= asked_at - begun_at
            if asked_at < submitted_at + 0.3:
                assert report["running"] == 0
            # The event loop may stall on a busy machine; later reports are again as fresh as the lag allows.
            while report["running"] == 0 or report["report_age_seconds"] >= 1.0:
                assert clock() < submitted_at + START_SECONDS
                await asyncio.sleep(0.02)
                report = (await get(address, "/load")).json()
                assert report["report_age_seconds"] >= 0.3
            assert report["running"] == 1
            assert clock() >= submitted_at + 0.3

    asyncio.run(run())


@pytest.mark.parametrize(("checks", "status"), [(True, 409), (False, 200)])
def test_order_with_old_fencing_number(checks: bool, status: int):
    """Guards against a stand-in that rejects old orders where real engines accept them, or the reverse."""

    async def run() -> None:
        async with running_engine(checks_fencing_number=checks) as (_, address):
            order = {"fencing_number": 7, "model": "assessor", "version": "2"}
            assert (await post(address, "/orders", order)).status == 200
            late = await post(address, "/orders", {**order, "fencing_number": 6})
            assert late.status == status
            assert late.json()["highest_fencing_number"] == 7

    asyncio.run(run())


def test_ordered_model_is_fetched_served_and_reported():
    """Guards against orders that are accepted without effect."""

    async def run() -> None:
        async with (
            running_platform(weight_seconds=0.0) as (platform, store),
            running_engine(models=("assessor@1",), weight_store=store) as (engine, address),
        ):
            assert (await post(address, COMPLETIONS, chat(model="chatter"))).status == 404
            order = {
                "fencing_number": 1,
                "model": "chatter",
                "version": "2",
                "adapter": "a",
                "role": "decode",
            }
            assert (await post(address, "/orders", order)).json()["accepted"]
            while len(engine.loaded_models) == 1:
                await asyncio.sleep(0.01)
            assert (await post(address, COMPLETIONS, chat(model="chatter"))).status == 200
            engine.add_load_report()
            report = (await get(address, "/load")).json()
            assert report["loaded_models"] == ["assessor@1", "chatter@2+a"]
            assert report["role"] == "decode"
            assert [load["model"] for load in platform.weight_load_record] == ["chatter"]

    asyncio.run(run())


def test_turning_cold_without_a_restart_keeps_work_and_old_reports():
    """Guards against load reports that announce the cold state before the report lag is over."""

    async def run() -> None:
        async with running_engine(cold_seconds=0.0, report_lag_seconds=5.0) as (engine, address):
            boot_id = (await post(address, "/control/cold", {"restart": False})).json()["boot_id"]
            assert boot_id == engine.batch.boot_id
            assert (await get(address, "/load")).json()["warm"]
            restarted = (await post(address, "/control/cold", {})).json()["boot_id"]
            assert restarted != boot_id

    asyncio.run(run())


def test_client_notices_a_cut_answer():
    """Guards against a client that accepts a truncated body as complete."""

    async def run() -> None:
        async def cut(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf")
            writer.close()

        server = await asyncio.start_server(cut, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        with pytest.raises(IncompleteAnswerError):
            await http_client.request(f"{host}:{port}", "GET", "/")
        server.close()

    asyncio.run(run())
