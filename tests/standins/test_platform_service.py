"""Tests of the platform."""

import asyncio
import json

import pytest

from builders_standins import get, post, running_platform
from limpetusher.clock import ManualClock
from limpetusher_standins import http_client
from limpetusher_standins.http_client import IncompleteAnswerError


async def put(address: str, path: str, document: dict) -> int:
    body = json.dumps(document).encode()
    return (await http_client.request(address, "PUT", f"/control/{path}", body=body)).status


def test_watch_ends_when_a_newer_version_is_published():
    """Guards against watches that miss a version or return the version that the reader already has."""

    async def run() -> None:
        async with running_platform() as (_, address):
            assert await put(address, "configuration", {"version": 1}) == 200
            assert (await get(address, "/configuration?after=1&wait=0")).status == 204
            watch = asyncio.create_task(get(address, "/configuration?after=1&wait=10"))
            await asyncio.sleep(0.05)
            assert await put(address, "configuration", {"version": 2}) == 200
            assert (await watch).json() == {"version": 2}
            assert await put(address, "configuration", {"version": 2}) == 409

    asyncio.run(run())


def test_readers_cannot_publish_and_have_a_call_limit():
    """Guards against routers that write to the platform or call it without limit."""

    async def run() -> None:
        clock = ManualClock()
        async with running_platform(calls_per_second=3, clock=clock) as (_, address):
            assert (await http_client.request(address, "PUT", "/configuration", body=b"{}")).status == 404
            statuses = [(await get(address, "/configuration?after=0")).status for _ in range(5)]
            assert statuses == [204, 204, 204, 429, 429]
            clock.advance(0.999)
            assert (await get(address, "/configuration?after=0")).status == 429
            clock.advance(0.001)
            assert (await get(address, "/configuration?after=0")).status == 204

    asyncio.run(run())


def test_switches_down_and_stale():
    """Guards against switches without effect: a service that stays reachable or up to date."""

    async def run() -> None:
        async with running_platform() as (_, address):
            await put(address, "configuration", {"version": 1})
            await post(address, "/control/switches", {"stale": True})
            await put(address, "configuration", {"version": 2})
            assert (await get(address, "/configuration?after=0")).json() == {"version": 1}
            await post(address, "/control/switches", {"stale": False, "down": True})
            with pytest.raises((IncompleteAnswerError, ConnectionError)):
                await get(address, "/configuration?after=0")
            await post(address, "/control/switches", {"down": False})
            assert (await get(address, "/configuration?after=0")).json() == {"version": 2}

    asyncio.run(run())


def test_host_list_lags():
    """Guards against a host list that shows changes at once."""

    async def run() -> None:
        clock = ManualClock()
        async with running_platform(host_lag_seconds=0.3, clock=clock) as (_, address):
            await put(address, "hosts", {"version": 1, "hosts": []})
            clock.advance(0.35)
            await put(address, "hosts", {"version": 2, "hosts": []})
            assert (await get(address, "/hosts")).json()["version"] == 1
            clock.advance(0.299)
            assert (await get(address, "/hosts")).json()["version"] == 1
            clock.advance(0.001)
            assert (await get(address, "/hosts")).json()["version"] == 2

    asyncio.run(run())


def test_weight_store_has_a_rate_limit():
    """Guards against a weight store that allows any number of loads."""

    async def run() -> None:
        async with running_platform(weight_loads_per_minute=2, weight_seconds=0.0) as (_, address):
            assert [(await get(address, "/weights/m/1")).status for _ in range(3)] == [200, 200, 429]

    asyncio.run(run())
