"""Builders of small fleets, callers in the background, and faults, for tests with real processes."""

import asyncio
import contextlib
import dataclasses
import threading
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator

from builders_standins import chat
from limpetusher_standins.blocking_http import call
from limpetusher_standins.caller import Caller, CallResult, Outcome
from limpetusher_standins.deployment import CREW_ROUTES, DeploymentPlan
from limpetusher_standins.fleet import PLATFORM, PROXY, Fleet, FleetError
from limpetusher_standins.proxy import LinkMode

ANSWER_TIMEOUT_SECONDS = 30.0
RETRY_DELAY_SECONDS = 0.05
LEASE_AND_GRANT_SECONDS = 3.0
"""Lease of a slot share plus validity of a grant; another router may own a target after it (design, 4.2)."""
PEER_TIMEOUT_SECONDS = 1.0
TAKEOVER_SECONDS = PEER_TIMEOUT_SECONDS + 2 * LEASE_AND_GRANT_SECONDS
"""Time within which another router uses the slots of a target whose owner is unreachable."""
DRAIN_LIMIT_SECONDS = 5.0
CONFIGURATION_LIMIT_SECONDS = 19.0

SMALL_PLAN = DeploymentPlan(
    name="integration",
    data_centres=("north", "east"),
    routers=4,
    engines=2,
    applications=2,
    customers=2,
    models=("assessor",),
    application_service="crew",
    application_routes=CREW_ROUTES,
    slots=6,
    cold_slots=2,
    cold_seconds=1.0,
    patience_seconds=20.0,
    engine_options={"token_seconds": 0.01},
    with_proxy=True,
)

RequestFactory = Callable[[Caller, str], Awaitable[CallResult]]


def small_plan(**changes: object) -> DeploymentPlan:
    """Return the plan of a small fleet behind the proxy."""
    return dataclasses.replace(SMALL_PLAN, **changes)


def caller_of(fleet: Fleet, router: str, customer: int = 0) -> Caller:
    """Return a caller of a router."""
    plan = fleet.customers[customer]
    return Caller(fleet.routers[router].caller_address, plan.customer_id, plan.authorization)


def make_chat(caller: Caller, name: str, *, tokens: int = 10) -> Awaitable[CallResult]:
    """Return a request to an engine; every other one is streamed."""
    return caller.complete_chat(chat(f"Request {name}", max_tokens=tokens, stream=name[-1] in "02468"))


def make_dispatch(caller: Caller, name: str) -> Awaitable[CallResult]:
    """Return a call that dispatches a crew, with an idempotency key of its own."""
    return caller.call_application("crew", "POST", "/dispatch", name, idempotency_key=f"key/{name}")


def make_mixed(caller: Caller, name: str) -> Awaitable[CallResult]:
    """Return a request to an engine, or a call of the application service for every fifth name."""
    return make_dispatch(caller, name) if name[-1] in "37" else make_chat(caller, name)


async def gather_results(*requests: Awaitable[CallResult]) -> list[CallResult]:
    """Return the results of requests sent concurrently."""
    return await asyncio.gather(*requests)


def run_requests(*requests: Awaitable[CallResult]) -> list[CallResult]:
    """Send requests concurrently and wait for their results."""
    return asyncio.run(gather_results(*requests))


class BackgroundCallers:
    """Callers that send one request after the other, in a thread, until the end of the `with` block.

    Parameters
    ----------
    fleet
        Fleet that they call.
    workers
        Open requests at each router.
    routers
        Routers that they call; all if None.
    customer
        Position of their customer.
    make_request
        Returns a request, given a caller and a unique name.
    label
        Prefix of the names.
    finish_open_requests
        Whether open requests are finished at the end; otherwise the callers disconnect.
    """

    def __init__(
        self,
        fleet: Fleet,
        *,
        workers: int = 4,
        routers: list[str] | None = None,
        customer: int = 0,
        make_request: RequestFactory = make_chat,
        label: str = "load",
        finish_open_requests: bool = True,
    ):
        self.finish_open_requests = finish_open_requests
        self.make_request = make_request
        self.label = label
        names = list(fleet.routers) if routers is None else routers
        self.callers = [caller_of(fleet, router, customer) for router in names for _ in range(workers)]
        self.results: list[CallResult] = []
        self.stop_event = threading.Event()
        self.thread = threading.Thread(target=lambda: asyncio.run(self.run()), daemon=True)

    def __enter__(self) -> "BackgroundCallers":
        self.thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.stop_event.set()
        self.thread.join()

    async def run(self) -> None:
        """Run all callers."""
        work = [asyncio.create_task(self.send_requests(*each)) for each in enumerate(self.callers)]
        if not self.finish_open_requests:
            await asyncio.to_thread(self.stop_event.wait)
            for task in work:
                task.cancel()
        await asyncio.gather(*work, return_exceptions=not self.finish_open_requests)

    async def send_requests(self, number: int, caller: Caller) -> None:
        """Send one request after the other."""
        count = 0
        while not self.stop_event.is_set():
            count += 1
            request = self.make_request(caller, f"{self.label}/{number}/{count}")
            try:
                result = await asyncio.wait_for(request, ANSWER_TIMEOUT_SECONDS)
            except TimeoutError:
                result = CallResult(caller.customer, "", detail="no answer in time")
            self.results.append(result)
            if result.outcome in (Outcome.REFUSED, Outcome.NO_CONNECTION):
                await asyncio.sleep(RETRY_DELAY_SECONDS)

    def complete_answers_since(self, wall_time: float) -> int:
        """Return how many requests that began after a wall-clock time had a complete answer."""
        return sum(
            result.outcome == Outcome.WHOLE and result.started_wall > wall_time for result in self.results
        )

    def outcomes(self) -> dict[str, int]:
        """Count the results by outcome; failures also by code, `ran` and detail."""
        return dict(
            Counter(
                result.outcome.value
                if result.outcome == Outcome.WHOLE
                else f"{result.outcome.value} {result.code} ran={result.ran} {result.detail}"
                for result in self.results
            )
        )


def router_status(fleet: Fleet, router: str) -> dict:
    """Return the state of a router from its admin port."""
    return call(fleet.routers[router].admin_address, "GET", "/status").json()


def owned_target(fleet: Fleet, router: str, target: str) -> dict | None:
    """Return the state of a target as reported by a router, or None if the router does not own it."""
    targets = router_status(fleet, router)["targets"]
    return next((entry for entry in targets if entry["target_id"] == target), None)


def wait_for_owner(fleet: Fleet, target: str, routers: list[str] | None = None) -> str:
    """Wait until the routers are connected and agree on the owner of the target, and return it."""
    names = list(fleet.routers) if routers is None else routers
    found: list[str] = []

    def is_owned() -> bool:
        states = {router: router_status(fleet, router) for router in names}
        found[:] = [
            router
            for router, state in states.items()
            if any(entry["target_id"] == target for entry in state["targets"])
        ]
        connected = all(set(names) <= {router, *state["reachable_peers"]} for router, state in states.items())
        return connected and len(found) == 1

    fleet.wait_until(is_owned, f"{target} has one owner", TAKEOVER_SECONDS)
    return found[0]


def start_times(fleet: Fleet, target: str) -> list[float]:
    """Return the wall-clock times at which a target received work."""
    record = fleet.fetch_record(target)
    return [entry["started"] for entry in record.get("requests") or record.get("calls") or []]


def call_run_counts(fleet: Fleet) -> Counter:
    """Return how often each call that is not idempotent ran, summed over all replicas."""
    calls = [entry for record in fleet.fetch_records("application").values() for entry in record["calls"]]
    return Counter(entry["call_id"] for entry in calls if entry["method"] != "GET")


@contextlib.contextmanager
def paused_processes(fleet: Fleet, *names: str) -> Iterator[None]:
    """Pause processes with SIGSTOP and continue them at the end."""
    for name in names:
        fleet.processes[name].pause()
    try:
        yield
    finally:
        for name in names:
            fleet.processes[name].resume()


@contextlib.contextmanager
def broken_links(
    fleet: Fleet, names: list[str], mode: LinkMode = LinkMode.CUT, **options: object
) -> Iterator[None]:
    """Break links and restore them at the end."""
    if not names:
        raise FleetError("no such links")
    fleet.set_links(names, mode, **options)
    try:
        yield
    finally:
        fleet.set_links(names, LinkMode.FORWARD)


def wait_for_wall_time(fleet: Fleet, wall_time: float) -> None:
    """Wait until a wall-clock time has passed."""
    seconds = wall_time - time.time()
    fleet.wait_until(lambda: time.time() > wall_time, "the time has passed", max(0.0, seconds) + 5.0)


def check_processes(fleet: Fleet) -> None:
    """Raise FleetError if a process has ended without being told to."""
    for name, process in fleet.processes.items():
        if name not in (PLATFORM, PROXY):
            fleet.check_running(process)
