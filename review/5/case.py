"""When the operator removes the last tenant, requests with any key or none are run."""

import asyncio
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from standins import (  # noqa: E402 - the path is set above
    KEY,
    Deployment,
    Message,
    Replica,
    ask,
    configuration,
    request,
    route,
    run_case,
    sealed,
)

ZONES = ["lalit", "bhakt"]
CONFIG_SECONDS = 2.0
"""`configMs`."""
MARGIN_SECONDS = 1.0
NEVER_HELD = "never-held"
KEYS = {"withdrawn": KEY, NEVER_HELD: "nobody-has-this", "missing": ""}
"""Keys of the requests. Only those with the second one are judged; the others are recorded."""
REQUESTS = 4
"""Requests with each key to each machine."""


async def work(_replica: Replica, message: Message, writer: asyncio.StreamWriter) -> None:
    """Run a request."""
    await asyncio.sleep(0.05)
    writer.write(sealed(message, b"x" * 800))


async def play(deployment: Deployment) -> bool:
    """Remove all tenants by a new version, and send requests later than `configMs` after its ack."""
    record = deployment.record
    dispatch = route("dispatch", "unsafe", "desk")
    await deployment.store.put("op/config", configuration(3, [dispatch]))
    for number in range(4):
        await deployment.add_replica(f"i-{number}", "desk", work, slots=6)
    routers = await deployment.start_routers(ZONES)
    await asyncio.sleep(1)
    for router in routers:
        answer = await ask(router.caller, request("/dispatch/1", f"first-{router.ip}", method="POST"))
        record.add(f"requester: with the tenant's key at {router.ip}: {answer.status if answer else None}")
    if deployment.has_trouble:
        await deployment.store.put("op/config", configuration(7, [dispatch], tenants=[]))
        record.add("operator: version 7 has no tenants and no keys")
    await asyncio.sleep(CONFIG_SECONDS + MARGIN_SECONDS)
    broken = []
    for router in routers:
        for name, key in KEYS.items():
            for number in range(REQUESTS):
                request_id = f"{name}-{router.ip}-{number}"
                data = request("/dispatch/1", request_id, method="POST", body=b"crew", X_Credential=key)
                answer = await ask(router.caller, data)
                runs = [
                    run
                    for replica in deployment.replicas.values()
                    for run in replica.runs
                    if run.request_id == request_id
                ]
                status = answer.status if answer is not None else "no answer"
                record.add(f"requester: {request_id}, key {key!r}: {status}, run {len(runs)} times")
                if runs and name == NEVER_HELD:
                    broken.append(request_id)
    record.add(f"{len(broken)} requests have run whose key no configuration ever held")
    return bool(broken)


if __name__ == "__main__":
    sys.exit(run_case(CASE, play))
