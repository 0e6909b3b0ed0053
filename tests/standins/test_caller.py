"""Tests of the caller that checks its answers."""

import asyncio
import json

import pytest

from builders_standins import chat, running_application, running_engine
from limpetusher_standins.caller import Caller, Outcome
from limpetusher_standins.engine_answers import answer_tokens

ERROR = {"error": {"code": "answer_cut", "message": "cut", "request_id": "r", "ran": "yes"}}


def event(document: dict) -> bytes:
    return b"data: %b\n\n" % json.dumps(document).encode()


def stream_of(tokens: list[str]) -> bytes:
    events = [event({"choices": [{"delta": {"content": token}}]}) for token in tokens]
    usage = {"prompt_tokens": 1, "completion_tokens": len(tokens)}
    return b"".join([*events, event({"choices": [], "usage": usage}), b"data: [DONE]\n\n"])


BODY = chat(stream=True)
TOKENS = answer_tokens(BODY)


@pytest.mark.parametrize(
    ("status", "content", "outcome"),
    [
        (200, stream_of(TOKENS), Outcome.WHOLE),
        (200, stream_of(TOKENS[:-1]), Outcome.WRONG),
        (200, stream_of([*TOKENS, TOKENS[-1]]), Outcome.WRONG),
        (200, stream_of(answer_tokens(chat("another request"))), Outcome.WRONG),
        (200, stream_of(TOKENS).removesuffix(b"data: [DONE]\n\n"), Outcome.CUT),
        (200, b"event: error\n" + event(ERROR), Outcome.CUT),
        (503, json.dumps(ERROR).encode(), Outcome.REFUSED),
    ],
)
def test_outcome_of_each_kind_of_answer(status: int, content: bytes, outcome: Outcome):
    """Guards against a check that accepts a truncated, repeated or foreign answer."""

    async def run() -> None:
        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            head = f"HTTP/1.1 {status} X\r\ncontent-length: {len(content)}\r\n\r\n"
            writer.write(head.encode() + content)
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        result = await Caller(f"{host}:{port}", "customer", "Bearer x").complete_chat(BODY)
        server.close()
        assert result.outcome == outcome, result.detail
        if outcome != Outcome.WHOLE and (status != 200 or b"error" in content):
            assert (result.code, result.ran) == ("answer_cut", "yes")

    asyncio.run(run())


def test_stand_ins_satisfy_the_checks():
    """Guards against stand-ins whose answers the check rejects."""

    async def run() -> None:
        async with running_engine() as (_, engine), running_application() as (_, application):
            for stream in (True, False):
                result = await Caller(engine, "c", "Bearer x").complete_chat(chat(stream=stream))
                assert result.outcome == Outcome.WHOLE, result.detail
            for method in ("GET", "POST"):
                caller = Caller(application, "c", "Bearer x")
                result = await caller.call_application("crew", method, "/dispatch", "id with / and space")
                assert result.outcome == Outcome.WHOLE, result.detail

    asyncio.run(run())
