"""Builders of stand-ins that run within the test's event loop, and of requests to them."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator

from limpetusher.clock import Clock
from limpetusher_standins import http_client
from limpetusher_standins.application import Application
from limpetusher_standins.engine import Engine
from limpetusher_standins.engine_batch import EngineSettings
from limpetusher_standins.http_client import Answer
from limpetusher_standins.platform_service import Platform, PlatformSettings
from limpetusher_standins.proxy import Proxy

ANY_PORT = "127.0.0.1:0"


def engine_settings(**changes: object) -> EngineSettings:
    """Return settings of a fast engine that is warm from the start and loses no cache event."""
    values = {
        "token_seconds": 0.002,
        "cold_seconds": 0.0,
        "cache_event_loss": 0.0,
        "report_interval_seconds": 0.01,
        "report_lag_seconds": 0.0,
    }
    return EngineSettings(**{**values, **changes})


@contextlib.asynccontextmanager
async def running_engine(**changes: object) -> AsyncIterator[tuple[Engine, str]]:
    """Run an engine; yield it and its address."""
    engine = Engine(engine_settings(**changes))
    address = await engine.server.start(ANY_PORT)
    tasks = [asyncio.create_task(work) for work in (engine.step_forever(), engine.report_forever())]
    try:
        yield engine, address
    finally:
        for task in tasks:
            task.cancel()
        await engine.server.stop()


@contextlib.asynccontextmanager
async def running_application(*, delay_seconds: float = 0.0) -> AsyncIterator[tuple[Application, str]]:
    """Run an application service; yield it and its address."""
    application = Application("replica", delay_seconds)
    address = await application.server.start(ANY_PORT)
    try:
        yield application, address
    finally:
        await application.server.stop()


@contextlib.asynccontextmanager
async def running_platform(
    *, clock: Clock | None = None, **changes: object
) -> AsyncIterator[tuple[Platform, str]]:
    """Run a platform; yield it and its address."""
    platform = Platform(PlatformSettings(**changes), clock)
    address = await platform.server.start(ANY_PORT)
    try:
        yield platform, address
    finally:
        await platform.server.stop()


@contextlib.asynccontextmanager
async def running_proxy(target: str, listen: str) -> AsyncIterator[Proxy]:
    """Run a proxy with one link, named `link`, from `listen` to `target`."""
    proxy = Proxy([{"name": "link", "listen": listen, "target": target}])
    await proxy.links["link"].start_listening()
    try:
        yield proxy
    finally:
        await proxy.stop()


def chat(content: str = "Hello", **changes: object) -> dict:
    """Return the body of a chat-completions request."""
    messages = [{"role": "user", "content": content}]
    return {"model": "assessor", "messages": messages, "max_tokens": 5, "ignore_eos": True, **changes}


async def post(address: str, path: str, body: dict, **headers: str) -> Answer:
    """Send a JSON body; underscores in the names of headers become dashes."""
    sent = {name.replace("_", "-"): value for name, value in headers.items()}
    return await http_client.request(address, "POST", path, body=json.dumps(body).encode(), headers=sent)


async def get(address: str, path: str) -> Answer:
    """Send a GET request."""
    return await http_client.request(address, "GET", path)
