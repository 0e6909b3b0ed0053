"""A planned stop drops requests that the process has already read behind others on the same channel."""

import asyncio
import signal
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from standins import (  # noqa: E402 - the path is set above
    Deployment,
    Message,
    Replica,
    configuration,
    connect,
    read_message,
    request,
    route,
    run_case,
    sealed,
)

ZONES = ["lalit", "bhakt"]
CHANNELS = 8
WORK_SECONDS = 0.25
"""Time that a replica works on a request; the sheet says 90 ms on average, up to 450 ms."""
STOP_AFTER_SECONDS = 0.1
SLACK_SECONDS = 0.2
"""`lostSlackMs`."""


async def work(_replica: Replica, message: Message, writer: asyncio.StreamWriter) -> None:
    """Run a request."""
    await asyncio.sleep(WORK_SECONDS)
    writer.write(sealed(message, b"x" * 800))


async def play(deployment: Deployment) -> bool:
    """Send two requests at once on each of some kept channels, and stop the machine while the first runs."""
    record = deployment.record
    lookup = route("lookup", "safe", "desk")
    await deployment.store.put("op/config", configuration(3, [lookup]))
    for number in range(4):
        await deployment.add_replica(f"i-{number}", "desk", work, slots=6)
    machine, _other = await deployment.start_routers(ZONES)
    await asyncio.sleep(1)
    lost: list[str] = []

    async def requester(channel: int) -> None:
        reader, writer = await connect(machine.caller)
        writer.write(request("/lookup/0", f"c{channel}-0"))
        answer = await read_message(reader)
        record.add(f"requester: c{channel}-0 got {answer.status if answer is not None else 'no answer'}")
        names = [f"c{channel}-1", f"c{channel}-2"]
        # Both requests go out in one segment, so a process that has read the first one has read both.
        writer.write(b"".join(request("/lookup/1", name) for name in names))
        sent_at = time.monotonic()
        record.add(f"requester: sent {names[0]} and {names[1]}")
        for name in names:
            answer = await read_message(reader)
            waited = time.monotonic() - sent_at
            if answer is not None:
                record.add(f"requester: {name} got {answer.status} after {waited:.2f} s")
                continue
            record.add(
                f"requester: the channel ended {waited:.2f} s after {name} was sent, without an answer"
            )
            if waited > SLACK_SECONDS:
                lost.append(name)
            break
        writer.close()

    async def stop() -> None:
        await asyncio.sleep(2 * STOP_AFTER_SECONDS + WORK_SECONDS)
        if deployment.has_trouble:
            machine.signal(signal.SIGTERM)
            record.add("platform: SIGTERM")

    await asyncio.gather(stop(), *(requester(channel) for channel in range(CHANNELS)))
    record.add(f"{len(lost)} requests were read and ended without an answer: {lost}")
    if deployment.has_trouble:
        status = await asyncio.to_thread(machine.process.wait, 12)
        record.add(f"platform: the process ended with {status}")
    return bool(lost)


if __name__ == "__main__":
    sys.exit(run_case(CASE, play))
