"""Command line of the developer's tools: `python -m limpetusher_standins`."""

import asyncio
import contextlib
import json
import logging
import signal
import sys
from collections.abc import Coroutine
from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter

from limpetusher_standins.engine_batch import EngineSettings
from limpetusher_standins.fleet import FleetError
from limpetusher_standins.load_generator import LoadSettings
from limpetusher_standins.platform_service import PlatformSettings

EngineFlags = Annotated[EngineSettings, Parameter(name="*")]
LoadFlags = Annotated[LoadSettings, Parameter(name="*")]
PlatformFlags = Annotated[PlatformSettings, Parameter(name="*")]

app = App(name="limpetusher_standins", help="Stand-ins and developer's tools of limpetusher.")


def run_until_signal(work: Coroutine) -> int:
    """Run a server until SIGTERM or SIGINT."""
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s %(message)s")

    async def run() -> None:
        task = asyncio.ensure_future(work)
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        with contextlib.suppress(asyncio.CancelledError):
            await task

    asyncio.run(run())
    return 0


@app.command
def engine(*, listen: str, settings: EngineFlags = EngineSettings()) -> int:  # noqa: B008 - frozen
    """Run a model engine."""
    from limpetusher_standins.engine import Engine

    async def run() -> None:
        await Engine(settings).run(listen)

    return run_until_signal(run())


@app.command
def application(*, listen: str, name: str = "application", delay_seconds: float = 0.005) -> int:
    """Run an application service."""
    from limpetusher_standins.application import Application

    async def run() -> None:
        await Application(name, delay_seconds).run(listen)

    return run_until_signal(run())


@app.command(name="platform")
def run_platform(*, listen: str, settings: PlatformFlags = PlatformSettings()) -> int:  # noqa: B008 - frozen
    """Run the platform."""
    from limpetusher_standins.platform_service import Platform

    async def run() -> None:
        await Platform(settings).run(listen)

    return run_until_signal(run())


@app.command
def baseline(
    *,
    host_id: str,
    caller_address: str,
    admin_address: str,
    platform_urls: str,
    policy: str = "first-come",
    data_centre: str = "",
    peer_address: str = "",
    fresh_fleet: bool = False,
) -> int:
    """Run a router with a baseline policy; it ignores settings for messages between routers."""
    from limpetusher_standins.baseline_router import BaselinePolicy, BaselineRouter

    async def run() -> None:
        router = BaselineRouter(host_id, platform_urls.removeprefix("http://"), BaselinePolicy(policy))
        await router.run(caller_address, admin_address)

    return run_until_signal(run())


@app.command
def proxy(*, listen: str, links: Path) -> int:
    """Run the fault-injecting proxy; `links` is a JSON file of names, listening and target addresses."""
    from limpetusher_standins.proxy import Proxy

    async def run() -> None:
        await Proxy(json.loads(links.read_text())).run(listen)

    return run_until_signal(run())


@app.command(name="run")
def run_fleet(*, deployment: str = "consortium", with_proxy: bool = False, logs: Path | None = None) -> int:
    """Run a deployment (consortium, caloredes or small) until Ctrl-C."""
    from limpetusher_standins.runner import run_deployment

    return run_deployment(deployment, with_proxy=with_proxy, logs=logs)


@app.command
def demo() -> int:
    """Start the Consortium's deployment, send requests to it, and check every answer."""
    from limpetusher_standins.demo import run_demo

    return run_demo()


@app.command
def load(
    *,
    deployment: str = "consortium",
    fleet: Path | None = None,
    logs: Path | None = None,
    settings: LoadFlags = LoadSettings(),  # noqa: B008 - frozen
) -> int:
    """Send load to a running deployment, given by its fleet.json, or to one that is started for it."""
    from limpetusher_standins.runner import load_test_deployment

    return load_test_deployment(deployment, fleet, settings, logs=logs)


@app.command
def measure(*, quick: bool = False) -> int:
    """Measure the chosen policy and two baselines; the figures are also written to measurements/."""
    from limpetusher_standins.measure import run_measure

    return run_measure(quick=quick)


def main() -> int:
    """Run the command line and return the exit status."""
    # SIGTERM is handled like Ctrl-C, so that the processes of a fleet are ended in both cases. SIGINT is set
    # too, because a shell starts background jobs with SIGINT ignored.
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, signal.default_int_handler)
    try:
        status = app(result_action="return_value")
    except FleetError as error:
        print(error, file=sys.stderr)
        return 1
    return status if isinstance(status, int) else 0
