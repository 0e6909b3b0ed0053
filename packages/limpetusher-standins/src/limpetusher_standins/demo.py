"""Command `demo`: the Consortium's deployment, with requests of two customers in every data centre."""

import asyncio
import time
from dataclasses import dataclass

from rich.console import Console
from rich.table import Table

from limpetusher_standins.audit import fill_in_hosts
from limpetusher_standins.caller import Caller, CallResult, Outcome
from limpetusher_standins.deployment import CONSORTIUM, CustomerPlan
from limpetusher_standins.fleet import Fleet

REQUEST_TIMEOUT_SECONDS = 30.0
TABLE_WIDTH_CHARACTERS = 150


@dataclass(frozen=True, slots=True)
class DemoResult:
    """One request of the demo and its result."""

    data_centre: str
    kind: str
    result: CallResult


def run_demo() -> int:
    """Run the demo; return 0 only if every answer is complete and belongs to its request."""
    began = time.monotonic()
    with Fleet(CONSORTIUM) as fleet:
        print(f"{len(fleet.processes)} processes ready after {time.monotonic() - began:.1f} s")
        calls = asyncio.run(send_requests(fleet))
        fill_in_hosts(fleet, [call.result for call in calls])
        print_table(calls)
    whole = sum(call.result.outcome == Outcome.WHOLE for call in calls)
    print(f"{whole} of {len(calls)} answers whole and the caller's own, {time.monotonic() - began:.1f} s")
    return 0 if whole == len(calls) else 1


async def send_requests(fleet: Fleet) -> list[DemoResult]:
    """Send the requests of both customers to one router of every data centre."""
    work = []
    for data_centre in fleet.plan.data_centres:
        router = next(host for host in fleet.routers.values() if host.data_centre == data_centre)
        for customer in (fleet.customers[0], fleet.customers[-1]):
            work.append(send_customer_requests(fleet, data_centre, router.caller_address, customer))
    return [call for calls in await asyncio.gather(*work) for call in calls]


async def send_customer_requests(
    fleet: Fleet, data_centre: str, address: str, customer: CustomerPlan
) -> list[DemoResult]:
    """Send the four requests of one customer to one router."""
    caller = Caller(address, customer.customer_id, customer.authorization)
    label = f"{customer.customer_id} in {data_centre}"
    messages = [{"role": "user", "content": f"Draft a ticket for {label}."}]
    body = {"messages": messages, "max_tokens": 40}
    models, service = fleet.plan.models, fleet.plan.application_service
    requests = {
        "streamed model": caller.complete_chat({**body, "model": models[0], "stream": True}),
        "plain model": caller.complete_chat({**body, "model": models[-1]}),
        "idempotent call": caller.call_application(service, "GET", "/status", f"status of {label}"),
        "non-idempotent call": caller.call_application(
            service,
            "POST",
            "/dispatch",
            f"dispatch of {label}",
            idempotency_key=f"demo/{label}".replace(" ", "-"),
        ),
    }
    results = await asyncio.gather(*(with_timeout(request, customer) for request in requests.values()))
    return [DemoResult(data_centre, kind, result) for kind, result in zip(requests, results, strict=True)]


async def with_timeout(request, customer: CustomerPlan) -> CallResult:
    """Wait for a request's result, at most REQUEST_TIMEOUT_SECONDS."""
    try:
        return await asyncio.wait_for(request, REQUEST_TIMEOUT_SECONDS)
    except TimeoutError:
        return CallResult(customer.customer_id, "", detail=f"no answer within {REQUEST_TIMEOUT_SECONDS} s")


def print_table(calls: list[DemoResult]) -> None:
    """Print each request's outcome, with the router and the target that served it."""
    columns = ("data centre", "customer", "request", "status", "answer", "router", "target", "ms", "detail")
    table = Table(*columns)
    for call in calls:
        result = call.result
        values = (call.data_centre, result.customer, call.kind, result.status or "", result.outcome)
        values += (result.router, result.target, f"{result.seconds * 1000:.0f}", result.detail)
        table.add_row(*(str(value) for value in values))
    Console(width=TABLE_WIDTH_CHARACTERS).print(table)
