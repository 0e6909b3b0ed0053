"""A machine that was frozen for two seconds never again gets its model requests to a replica."""

import asyncio
import signal
import sys
import time
from collections import defaultdict
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from standins import (  # noqa: E402 - the path is set above
    SEAL,
    Deployment,
    Message,
    Replica,
    ask,
    configuration,
    request,
    route,
    run_case,
)

ZONES = ["lalit", "lalit", "bhakt", "bhakt", "kirti", "thimi"]
FROZEN = 1
"""Index of the machine that is frozen. It is not the one that schedules the model replicas."""
FREEZE_AT, FREEZE_SECONDS = 5.0, 2.0
STABLE_SECONDS = 3.0
"""`stableWindowMs`."""
CALM_SECONDS = 6
PER_SECOND = 12
"""Model requests a second at each machine."""
AIM_SECONDS = 1.0
PARTS = 1_150
"""Parts of a prompt: about 15,000 bytes of `X-Prompt-Prefix`."""
KEYS = {True: "key-one", False: "key-two"}
TOKENS = PARTS + 100 + 10 * 20
"""Tokens of a request: tokens in + 10 x tokens out."""


class Tally:
    """Requests of the two tenants by second: asked, begun, and refused or late."""

    def __init__(self):
        self.asked: dict[tuple[bool, int], int] = defaultdict(int)
        self.begun: dict[tuple[bool, int], int] = defaultdict(int)
        self.pressed: dict[tuple[bool, int], int] = defaultdict(int)


async def stream(_replica: Replica, message: Message, writer: asyncio.StreamWriter) -> None:
    """Answer with a short stream of events."""
    lines = ["HTTP/1.1 200 OK", f"X-Request-Id: {message.request_id}", f"X-Server-Seal: {SEAL}"]
    lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked", "", ""]
    writer.write("\r\n".join(lines).encode())
    for number in range(1, 5):
        await asyncio.sleep(0.02)
        event = f"id: {number}\ndata: token {number}\n\n".encode()
        writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        await writer.drain()
    writer.write(b"0\r\n\r\n")


def prompt(own: str) -> str:
    """Return a long prompt: a long session's shared parts, and one part of the request's own."""
    return ",".join([*(f"{0x5C1E0000 + part:08x}:1" for part in range(PARTS)), f"{own}:100"])


async def play(deployment: Deployment) -> bool:
    """Send model requests at a steady rate to all machines, and freeze one for a while."""
    record = deployment.record
    digest = route("digest", "streaming", "lm-pool", timeoutMs=3_000, goalMs=1_000, priority=1)
    digest |= {"sticky": True, "resumable": False, "gapAimMs": 400}
    tenants = [
        {"name": "hule930", "apiKeys": [KEYS[True]], "priority": 1},
        {"name": "wixo114", "apiKeys": [KEYS[False]], "priority": 1},
    ]
    await deployment.store.put("op/config", configuration(3, [digest], tenants=tenants))
    for zone in dict.fromkeys(ZONES):
        await deployment.add_replica(f"i-{zone}", "lm-pool", stream, zone=zone, slots=128)
    routers = await deployment.start_routers(ZONES)
    await asyncio.sleep(2)
    tally = Tally()
    started_at = time.monotonic()
    calm_from = FREEZE_AT + FREEZE_SECONDS + STABLE_SECONDS
    end = calm_from + CALM_SECONDS + 1

    async def send(index: int, number: int) -> None:
        sent_at = time.monotonic() - started_at
        is_first = index == FROZEN
        tally.asked[is_first, int(sent_at)] += 1
        request_id = f"m{index}-{number}"
        data = request(
            "/digest/1",
            request_id,
            method="POST",
            body=b"p" * 500,
            X_Credential=KEYS[is_first],
            X_Deadline_Ms="3000",
            X_Model="m",
            X_Token_Usage=f"{PARTS + 100},20",
            X_Prompt_Prefix=prompt(f"{index:02x}{number:06x}"),
        )
        answer = await ask(routers[index].caller, data, 6)
        waited = time.monotonic() - started_at - sent_at
        status = answer.status if answer is not None else 0
        record.add(f"machine {index}: {request_id} sent at {sent_at:.2f} s, status {status}, {waited:.2f} s")
        if status == 200:
            tally.begun[is_first, int(sent_at + waited)] += 1
        if status != 200 or waited > AIM_SECONDS:
            for second in range(int(sent_at), int(sent_at + waited) + 1):
                tally.pressed[is_first, second] += 1

    async def requesters(index: int) -> None:
        sends = []
        number = 0
        while time.monotonic() - started_at < end:
            sends.append(asyncio.create_task(send(index, number)))
            number += 1
            await asyncio.sleep(max(0.0, started_at + number / PER_SECOND - time.monotonic()))
        await asyncio.gather(*sends)

    async def trouble() -> None:
        await asyncio.sleep(FREEZE_AT)
        if deployment.has_trouble:
            routers[FROZEN].signal(signal.SIGSTOP)
            record.add(f"machine {FROZEN} stands still")
            await asyncio.sleep(FREEZE_SECONDS)
            routers[FROZEN].signal(signal.SIGCONT)
            record.add(f"machine {FROZEN} goes on")

    await asyncio.gather(trouble(), *(requesters(index) for index in range(len(routers))))
    is_ready = await asyncio.to_thread(routers[FROZEN].is_ready)
    record.add(f"machine {FROZEN} says that it is ready: {is_ready}")
    return is_starved(deployment, tally, int(calm_from))


def is_starved(deployment: Deployment, tally: Tally, first: int) -> bool:
    """Return whether the tenant at the frozen machine got less than FAIR allows in six calm seconds."""
    seconds = range(first, first + CALM_SECONDS)
    owed = got = 0
    for second in seconds:
        asked, begun = tally.asked[True, second], tally.begun[True, second]
        best = max(begun, tally.begun[False, second])
        pressed = tally.pressed[True, second]
        owed += min(asked, best) * TOKENS
        got += begun * TOKENS
        deployment.record.add(
            f"second {second}: the tenant asked {asked}, began {begun}, refused or late {pressed}; "
            f"best served tenant began {best}"
        )
    deployment.record.add(f"in {CALM_SECONDS} calm seconds: {got} tokens begun, half of {owed} owed")
    return all(tally.pressed[True, second] for second in seconds) and got < owed / 2 - 3 * TOKENS


if __name__ == "__main__":
    sys.exit(run_case(CASE, play))
