"""A part of a prompt that crashes replicas is never found if they write the first event before they crash."""

import asyncio
import contextlib
import random
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from standins import (  # noqa: E402 - the path is set above
    CHANNELS,
    SEAL,
    STREAM_LIMIT_BYTES,
    Deployment,
    Message,
    configuration,
    connect,
    encode,
    free_port,
    read_head,
    read_message,
    request,
    reset,
    route,
    run_case,
)

ZONES = ["heredia-a", "alajuela-b", "cartago-c", "sanjose-d"]
REPLICAS = 5
DOWN_SECONDS = 4.0
"""How long a replica is away after a crash."""
LAPSE_SECONDS = 3.6
"""Three heartbeats, after which the entry of a silent replica is removed."""
CRASHING_FROM, END = 8.0, 40.0
CRASHING_GAP_SECONDS = 0.4
SOUND_PER_SECOND = 15
STABLE_SECONDS = 3.0
"""`stableWindowMs`."""
LAST_EVENT = 10
SHARED, CRASHING = "5c1e07a2", "91bd3f06"
SESSIONS = 8
MIN_REQUESTS = 20


@dataclass
class Observations:
    """What the stand-ins have seen. Times are seconds since the start of traffic."""

    started_at: float = 0.0
    crashes: list[float] = field(default_factory=list)
    crashing_arrivals: list[float] = field(default_factory=list)
    """When requests with the crashing part reached replicas."""
    sound: dict[str, float] = field(default_factory=dict)
    """When sound requests were sent."""
    begun: set[str] = field(default_factory=set)
    """Sound requests of which a replica has written the first event."""

    @property
    def now(self) -> float:
        """Return the time since the start of traffic."""
        return time.monotonic() - self.started_at


class Engine:
    """A model replica that crashes when it has begun to write an answer on the crashing part."""

    def __init__(self, deployment: Deployment, seen: Observations, number: int):
        self.deployment = deployment
        self.seen = seen
        self.number = number
        self.zone = ZONES[number % len(ZONES)]
        self.boot = 0
        self.port = free_port("127.0.0.1")
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task] = set()

    @property
    def name(self) -> str:
        """Return the id of the present start; each start has a new one."""
        return f"i-{self.number}-{self.boot}"

    async def start(self) -> None:
        """Listen, and write the entry."""
        self.boot += 1
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, limit=STREAM_LIMIT_BYTES)
        entry = {
            "service": "lm-pool",
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 128,
            "state": "ready",
            "coldLeftMs": 0,
            "born": int(time.time() * 1000),
            "seq": 1,
        }
        await self.deployment.store.put(f"servers/{self.name}", entry)

    async def crash(self) -> None:
        """Reset all channels and be away for a while."""
        if self.server is None:
            return
        self.seen.crashes.append(self.seen.now)
        self.deployment.record.add(f"replica {self.name}: crashes, for the {len(self.seen.crashes)}. time")
        self.server.close()
        self.server = None
        for writer in self.writers:
            reset(writer)
        self.writers.clear()
        task = asyncio.create_task(self.come_back(self.name))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def come_back(self, name: str) -> None:
        """Let the entry lapse and start again."""
        await asyncio.sleep(LAPSE_SECONDS)
        await self.deployment.store.delete(f"servers/{name}")
        await asyncio.sleep(DOWN_SECONDS - LAPSE_SECONDS)
        await self.start()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests of one channel."""
        self.writers.add(writer)
        CHANNELS.add(writer)
        with contextlib.suppress(OSError):
            while (message := await read_message(reader)) is not None:
                if message.headers.get("x-target-instance") != self.name:
                    headers = {"X-Instance-Id": self.name, "X-Request-Id": message.request_id}
                    writer.write(encode("HTTP/1.1 421 X", headers))
                    continue
                await self.answer(message, writer)
        self.writers.discard(writer)

    async def answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """Run a request."""
        is_crashing = f"{CRASHING}:" in message.headers["x-prompt-prefix"]
        if is_crashing:
            self.seen.crashing_arrivals.append(self.seen.now)
            self.deployment.record.add(
                f"replica {self.name}: runs {message.request_id} with the crashing part"
            )
        await asyncio.sleep(0.08)
        lines = ["HTTP/1.1 200 OK", f"X-Request-Id: {message.request_id}", f"X-Server-Seal: {SEAL}"]
        lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked", "", ""]
        writer.write("\r\n".join(lines).encode())
        for number in range(int(message.headers.get("last-event-id", "0")) + 1, LAST_EVENT + 1):
            event = f"id: {number}\ndata: token {number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            if is_crashing:
                await asyncio.sleep(0.01)
                await self.crash()
                raise ConnectionAbortedError
            self.seen.begun.add(message.request_id)
            await asyncio.sleep(0.03)
        writer.write(b"0\r\n\r\n")


async def play(deployment: Deployment) -> bool:
    """Send sound requests, and later also some with the crashing part."""
    record = deployment.record
    seen = Observations()
    assess = route("assess", "streaming", "lm-pool", timeoutMs=5_000, goalMs=500, attempts=2)
    assess |= {"sticky": True, "resumable": True, "gapAimMs": 400}
    await deployment.store.put("op/config", configuration(3, [assess]))
    for number in range(REPLICAS):
        await Engine(deployment, seen, number).start()
    routers = await deployment.start_routers(ZONES)
    await asyncio.sleep(2)
    seen.started_at = time.monotonic()
    chance = random.Random(1)

    async def send(request_id: str, number: int, crashing: str) -> None:
        parts = f"{SHARED}:100,aa{number % SESSIONS:06x}:100,{crashing}{0x40000000 + number:08x}:200"
        headers = {
            "X_Model": "m",
            "X_Token_Usage": "400,50",
            "X_Prompt_Prefix": parts,
            "X_Deadline_Ms": "5000",
        }
        data = request("/assess/1", request_id, method="POST", body=b"p" * 500, **headers)
        sent_at, status = seen.now, "no answer"
        if not crashing:
            seen.sound[request_id] = sent_at
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            reader, writer = await connect(chance.choice(routers).caller)
            writer.write(data)
            head = await asyncio.wait_for(read_head(reader), 7)
            status = head.status if head is not None else status
            await asyncio.wait_for(reader.readuntil(b"\r\n0\r\n\r\n"), 7)
            writer.close()
        begun = ", begun" if request_id in seen.begun else ""
        record.add(f"requester: {request_id} sent at {sent_at:.2f} s, status {status}{begun}")

    async def send_all(name: str, first: float, gap: float, crashing: str) -> None:
        await asyncio.sleep(first)
        sends = []
        while seen.now < END:
            number = len(sends)
            sends.append(asyncio.create_task(send(f"{name}{number}", number, crashing)))
            await asyncio.sleep(max(0.0, first + len(sends) * gap - seen.now))
        await asyncio.gather(*sends)

    traffic = [send_all("sound-", 0.0, 1 / SOUND_PER_SECOND, "")]
    if deployment.has_trouble:
        traffic.append(send_all("crashing-", CRASHING_FROM, CRASHING_GAP_SECONDS, f"{CRASHING}:100,"))
    await asyncio.gather(*traffic)
    return is_service_lost(deployment, seen)


def is_service_lost(deployment: Deployment, seen: Observations) -> bool:
    """Return whether sound requests begin less than half as often as before, from when LOST counts."""
    record = deployment.record
    before = [name for name, sent_at in seen.sound.items() if sent_at < CRASHING_FROM]
    share_before = sum(name in seen.begun for name in before) / len(before)
    record.add(f"before: {share_before:.2f} of {len(before)} sound requests began")
    record.add(f"{len(seen.crashes)} crashes")
    if not seen.crashes:
        return False
    reference = seen.crashes[:5][-1]
    late = (
        sum(at > reference + STABLE_SECONDS for at in seen.crashing_arrivals) if len(seen.crashes) > 4 else 0
    )
    record.add(f"BUDGET: {late} requests with the part reached replicas later than that; 3 are allowed")
    after = [name for name, sent_at in seen.sound.items() if sent_at > reference + 2 * STABLE_SECONDS]
    share = sum(name in seen.begun for name in after) / len(after)
    record.add(f"LOST: {share:.2f} of {len(after)} sound requests began from {reference + 6:.1f} s on")
    return min(len(before), len(after)) >= MIN_REQUESTS and share < share_before / 2


if __name__ == "__main__":
    sys.exit(run_case(CASE, play))
