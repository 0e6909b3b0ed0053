"""Tests of the fault-injecting proxy."""

import asyncio
import time

import pytest

from builders_standins import get, running_application, running_proxy
from limpetusher_standins import http_client
from limpetusher_standins.http_client import IncompleteAnswerError
from limpetusher_standins.ports import PortBlock
from limpetusher_standins.proxy import LinkMode

STALL_DEADLINE_SECONDS = 20.0
"""Time within which the sender must stop; filling the system's buffers takes long on a busy machine."""
CONNECTION_ERRORS = (IncompleteAnswerError, ConnectionError)


@pytest.fixture
def listen():
    """Return a free address for the link."""
    ports = PortBlock()
    yield ports.allocate_address()
    ports.close()


@pytest.mark.parametrize("mode", [LinkMode.CUT, LinkMode.RESET])
def test_cut_and_reset_break_open_and_new_connections(listen: str, mode: LinkMode):
    """Guards against a fault that leaves existing connections open or can't be undone."""

    async def run() -> None:
        async with (
            running_application(delay_seconds=0.5) as (_, target),
            running_proxy(target, listen) as proxy,
        ):
            pending = asyncio.create_task(get(listen, "/status"))
            await asyncio.sleep(0.1)
            await proxy.links["link"].set_mode(mode)
            for request in (pending, get(listen, "/status")):
                with pytest.raises(CONNECTION_ERRORS):
                    await request
            await proxy.links["link"].set_mode(LinkMode.FORWARD)
            assert (await get(listen, "/status")).status == 200

    asyncio.run(run())


def test_black_hole_keeps_the_connection_and_delivers_after_a_restore(listen: str):
    """Guards against a black hole that closes connections, so that a router notices it at once."""

    async def run() -> None:
        async with running_application() as (application, target), running_proxy(target, listen) as proxy:
            await proxy.links["link"].set_mode(LinkMode.BLACK_HOLE)
            pending = asyncio.create_task(get(listen, "/status"))
            await asyncio.sleep(0.2)
            assert not pending.done()
            assert application.received_calls == 0
            await proxy.links["link"].set_mode(LinkMode.FORWARD)
            assert (await pending).status == 200

    asyncio.run(run())


def test_delay_applies_to_both_directions(listen: str):
    """Guards against a delay that is not applied to both directions."""

    async def run() -> None:
        async with running_application() as (_, target), running_proxy(target, listen) as proxy:
            await proxy.links["link"].set_mode(LinkMode.DELAY, delay_seconds=0.1)
            began = time.monotonic()
            assert (await get(listen, "/status")).status == 200
            assert time.monotonic() - began >= 0.2

    asyncio.run(run())


def test_truncate_ends_the_answer_after_the_bytes(listen: str):
    """Guards against an answer that passes a truncating link completely."""

    async def run() -> None:
        async with running_application() as (application, target), running_proxy(target, listen) as proxy:
            await proxy.links["link"].set_mode(LinkMode.TRUNCATE, truncate_bytes=150)
            with pytest.raises(CONNECTION_ERRORS):
                await http_client.request(listen, "GET", "/status")
            assert application.received_calls == 1

    asyncio.run(run())


def test_slow_reader_stops_the_sender(listen: str):
    """Guards against a proxy that buffers without limit."""
    sent = 0

    async def run() -> None:
        nonlocal sent

        async def flood(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal sent
            while True:
                writer.write(b"x" * 65_536)
                await writer.drain()
                sent += 65_536

        server = await asyncio.start_server(flood, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        async with running_proxy(f"{host}:{port}", listen):
            _, writer = await asyncio.open_connection(*listen.rsplit(":", 1), limit=1024)
            deadline, before = time.monotonic() + STALL_DEADLINE_SECONDS, -1
            while sent == 0 or sent != before:
                assert time.monotonic() < deadline
                before = sent
                await asyncio.sleep(0.5)
            writer.close()
        server.close()

    asyncio.run(run())
