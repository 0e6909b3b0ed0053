"""Steady model requests of two tenants, and the check of FAIR for the one that uses a single machine."""

import asyncio
import time
from collections import defaultdict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from standins import (
    SEAL,
    Deployment,
    Message,
    Replica,
    Router,
    ask,
    configuration,
    request,
    route,
)

ZONES = ["lalit", "lalit", "bhakt", "bhakt", "kirti", "thimi"]
CHOSEN = 1
"""Index of the machine of the first tenant's requesters; another one schedules the model replicas."""
KEYS = {True: "key-one", False: "key-two"}
"""Keys of the first tenant and of the second one, whose requesters use the other machines."""
THIRD_KEY = "key-three"
"""Key of a tenant that sends nothing of its own accord."""
TROUBLE_AT = 5.0
STABLE_SECONDS = 3.0
"""`stableWindowMs`."""
CALM_SECONDS = 6
PER_SECOND = 12
"""Model requests a second at each machine."""
AIM_SECONDS = 1.0
OUTPUT_TOKENS = 20
OWN_TOKENS = 100


@dataclass
class Tally:
    """Requests by tenant and second: asked, begun, and refused or waiting past their aim."""

    asked: dict[tuple[bool, int], int] = field(default_factory=lambda: defaultdict(int))
    begun: dict[tuple[bool, int], int] = field(default_factory=lambda: defaultdict(int))
    pressed: dict[tuple[bool, int], int] = field(default_factory=lambda: defaultdict(int))


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


def prompt(parts: int, own: str) -> str:
    """Return a prompt: the shared parts of a long session, and one part of the request's own."""
    shared = (f"{0x5C1E0000 + part:08x}:1" for part in range(parts))
    return ",".join([*shared, f"{own}:{OWN_TOKENS}"])


def model_request(request_id: str, *, parts: int, own: str, key: str, usage: str = "") -> bytes:
    """Return a model request."""
    return request(
        "/digest/1",
        request_id,
        method="POST",
        body=b"p" * 500,
        X_Credential=key,
        X_Deadline_Ms="3000",
        X_Model="m",
        X_Token_Usage=usage or f"{parts + OWN_TOKENS},{OUTPUT_TOKENS}",
        X_Prompt_Prefix=prompt(parts, own),
    )


async def play_tenants(
    deployment: Deployment,
    trouble: Callable[[Router], Awaitable[None]],
    *,
    parts: int,
    trouble_seconds: float,
) -> bool:
    """Send model requests at a steady rate to all machines; return whether FAIR was broken afterwards.

    `trouble` brings about the disruption at the chosen machine; it takes `trouble_seconds`.
    """
    record = deployment.record
    digest = route("digest", "streaming", "lm-pool", timeoutMs=3_000, goalMs=1_000, priority=1)
    digest |= {"sticky": True, "resumable": False, "gapAimMs": 400}
    tenants = [
        {"name": "hule930", "apiKeys": [KEYS[True]], "priority": 1},
        {"name": "wixo114", "apiKeys": [KEYS[False]], "priority": 1},
        {"name": "puho331", "apiKeys": [THIRD_KEY], "priority": 1},
    ]
    await deployment.store.put("op/config", configuration(3, [digest], tenants=tenants))
    for zone in dict.fromkeys(ZONES):
        await deployment.add_replica(f"i-{zone}", "lm-pool", stream, zone=zone, slots=128)
    routers = await deployment.start_routers(ZONES)
    await asyncio.sleep(2)
    tally = Tally()
    started_at = time.monotonic()
    calm_from = int(TROUBLE_AT + trouble_seconds + STABLE_SECONDS)

    async def send(index: int, number: int) -> None:
        is_first = index == CHOSEN
        sent_at = time.monotonic() - started_at
        tally.asked[is_first, int(sent_at)] += 1
        request_id = f"m{index}-{number}"
        own = f"{index:02x}{number:06x}"
        data = model_request(request_id, parts=parts, own=own, key=KEYS[is_first])
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
        while time.monotonic() - started_at < calm_from + CALM_SECONDS + 1:
            sends.append(asyncio.create_task(send(index, number)))
            number += 1
            await asyncio.sleep(max(0.0, started_at + number / PER_SECOND - time.monotonic()))
        await asyncio.gather(*sends)

    async def disrupt() -> None:
        await asyncio.sleep(TROUBLE_AT)
        if deployment.has_trouble:
            await trouble(routers[CHOSEN])

    await asyncio.gather(disrupt(), *(requesters(index) for index in range(len(routers))))
    is_ready = await asyncio.to_thread(routers[CHOSEN].is_ready)
    record.add(f"machine {CHOSEN} says that it is ready: {is_ready}")
    return is_starved(deployment, tally, calm_from, parts + OWN_TOKENS + 10 * OUTPUT_TOKENS)


def is_starved(deployment: Deployment, tally: Tally, first: int, tokens: int) -> bool:
    """Return whether the first tenant got less than FAIR allows in six calm seconds.

    All requests have the same size, `tokens` (tokens in + 10 x tokens out).
    """
    seconds = range(first, first + CALM_SECONDS)
    owed = got = 0
    for second in seconds:
        asked, begun = tally.asked[True, second], tally.begun[True, second]
        best = max(begun, tally.begun[False, second])
        owed += min(asked, best) * tokens
        got += begun * tokens
        deployment.record.add(
            f"second {second}: the tenant asked {asked}, began {begun}, refused or past their aim "
            f"{tally.pressed[True, second]}; the best served tenant began {best}"
        )
    deployment.record.add(
        f"in {CALM_SECONDS} calm seconds: {got} tokens begun; FAIR counts from half of {owed}"
    )
    return all(tally.pressed[True, second] for second in seconds) and got < owed / 2 - 3 * tokens
