"""A replica runs a request and fails it with 503; the requester gets a 503 that promises it has not run."""

import asyncio
import sys
from collections import Counter
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from standins import (  # noqa: E402 - the path is set above
    Deployment,
    Message,
    Replica,
    ask,
    configuration,
    encode,
    request,
    route,
    run_case,
    sealed,
)

ZONES = ["lalit", "bhakt"]
GREY = "i-0"
REQUESTS = 40
GREY_EVERY = 3
"""One in so many requests of the grey replica fails, 0.33 (`srv_grey`: 0.45 at most)."""
PROMISES = (408, 421, 429, 503)
"""Statuses by which a requester is told that its request has not run and never will."""


async def play(deployment: Deployment) -> bool:
    """Send unsafe requests while one replica fails some after it has run them."""
    record = deployment.record
    dispatch = route("dispatch", "unsafe", "desk")
    count = 0

    async def work(replica: Replica, message: Message, writer: asyncio.StreamWriter) -> None:
        nonlocal count
        await asyncio.sleep(0.05)
        if replica.name == GREY and deployment.has_trouble:
            count += 1
            if count % GREY_EVERY == 0:
                record.add(f"replica {replica.name}: {message.request_id} has run, then fails with 503")
                headers = {"X-Request-Id": message.request_id, "Content-Type": "text/plain"}
                writer.write(encode("HTTP/1.1 503 Service Unavailable", headers, b"overloaded"))
                return
        writer.write(sealed(message, b"x" * 800))

    await deployment.store.put("op/config", configuration(3, [dispatch]))
    for number in range(4):
        await deployment.add_replica(f"i-{number}", "desk", work, slots=6)
    routers = await deployment.start_routers(ZONES)
    await asyncio.sleep(1)
    broken = []
    for number in range(REQUESTS):
        request_id = f"d{number}"
        data = request("/dispatch/1", request_id, method="POST", body=b"crew")
        answer = await ask(routers[number % 2].caller, data)
        runs = Counter(run.request_id for replica in deployment.replicas.values() for run in replica.runs)
        status = answer.status if answer is not None else 0
        record.add(f"requester: {request_id}: status {status}, run {runs[request_id]} times")
        if status in PROMISES and runs[request_id]:
            broken.append(request_id)
    record.add(f"requests that have run and were answered with a promise that they had not: {broken}")
    return bool(broken)


if __name__ == "__main__":
    sys.exit(run_case(CASE, play))
