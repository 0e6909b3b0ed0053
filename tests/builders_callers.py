"""Callers that connect anew for each request and retry once at another router, in a process of their own."""

import asyncio
import contextlib
import multiprocessing
import random
import time
from dataclasses import dataclass

from builders_platform import request_text

DEADLINE_SECONDS = 1.5
ABANDON_FRACTION = 1 / 3
"""Part of its remaining time that a caller waits at most before it sends a refused request again."""


@dataclass(frozen=True, slots=True)
class CallCounts:
    """Callers by what became of them; `refused` and `failed` after a second try."""

    served: int = 0
    refused: int = 0
    failed: int = 0


async def call_once(address: str, seconds: float) -> tuple[int, float]:
    """Send a request and return the status, 0 without an answer, and the seconds of Retry-After."""
    host, port = address.split(":")
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(request_text(x_deadline_ms=str(int(seconds * 1000))).encode())
            answer = await reader.read()
    except (OSError, TimeoutError):
        return 0, 0.0
    finally:
        if writer is not None:
            writer.close()
    head = answer.partition(b"\r\n\r\n")[0].decode()
    fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:])
    return int(head.split()[1]) if head else 0, float(fields.get("retry-after", 0.0))


async def call(addresses: list[str], first: str) -> str:
    """Call a router, then another one if it refuses; return what became of the caller."""
    end = time.monotonic() + DEADLINE_SECONDS
    status, pause = await call_once(first, DEADLINE_SECONDS)
    if status == 503:
        await asyncio.sleep(min(pause, ABANDON_FRACTION * (end - time.monotonic())))
        others = [address for address in addresses if address != first]
        status, _ = await call_once(random.choice(others), end - time.monotonic())
    return {200: "served", 503: "refused"}.get(status, "failed")


async def call_at_rate(
    addresses: list[str], firsts: list[str], rate: float, lead: float, seconds: float
) -> list[str]:
    """Start calls at a rate, their first tries at some of the routers in turn.

    Those of the first `lead` seconds are left out of the result.
    """
    began_at = time.monotonic()
    tasks = []
    while (elapsed := time.monotonic() - began_at) < lead + seconds:
        while len(tasks) < elapsed * rate:
            tasks.append(asyncio.create_task(call(addresses, firsts[len(tasks) % len(firsts)])))
        await asyncio.sleep(0.005)
    outcomes = await asyncio.gather(*tasks)
    return outcomes[int(lead * rate) :]


def run_callers(addresses, firsts, rate, lead, seconds, results) -> None:
    """Run callers and report what became of them."""
    outcomes = asyncio.run(call_at_rate(addresses, firsts, rate, lead, seconds))
    results.put(CallCounts(*(outcomes.count(name) for name in ("served", "refused", "failed"))))


def count_calls(
    addresses: list[str], firsts: list[str], *, rate: float, seconds: float, lead: float = 0.0
) -> CallCounts:
    """Return what becomes of callers that start at a rate within some time after a lead."""
    context = multiprocessing.get_context("spawn")
    results = context.Queue()
    process = context.Process(
        target=run_callers, args=(addresses, firsts, rate, lead, seconds, results), daemon=True
    )
    process.start()
    with contextlib.closing(results):
        counts = results.get(timeout=60)
    process.join(30)
    return counts
