"""Requests to cold servers after a loss of power, while the machines that the seeds name are still down."""

import os
import sys
import threading
import time
import uuid
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins_2 import (
    BOUNDS,
    ENGINE,
    Call,
    Deployment,
    Record,
    Router,
    Server,
    StreamRun,
    ask,
    configuration,
    service_document,
    stream_route,
)

FOLDER = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ("lalit", "lalit", "bhakt", "bhakt", "kirti", "thimi")
COLD_PER_S = 22.0
COLD_S = 3.0
LIMIT = COLD_PER_S * BOUNDS["coldOver"] + BOUNDS["coldSlack"]
RESTART_S = 0.6
DARK_S = 4.5
SEED_LAG_S = 3.0
"""Time after which the settings name machines that run; `seedLagS` of the sheet."""
SERVERS_BACK_S = 1.6
CALLERS_PER_ROUTER = 20
CALL_INTERVAL_S = 0.3
TRAFFIC_S = 9.0


class CountingRun:
    """Runs short streams, and counts the requests that arrive."""

    def __init__(self):
        self.arrivals: list[tuple[float, str]] = []
        self.stream = StreamRun(3, 0.02)

    def __call__(self, server: Server, call: Call) -> None:
        """Run one request."""
        self.arrivals.append((time.monotonic(), server.server_id))
        self.stream(server, call)


def call_often(router: Router, until: float, number: int, record: Record) -> None:
    """Send requests to one router until a time."""
    while time.monotonic() < until:
        began_at = time.monotonic()
        part = uuid.uuid4().int >> 96
        answer = ask(
            router.front,
            f"/ask/{number}",
            X_Request_Id=uuid.uuid4().hex[:16],
            X_Model="m",
            X_Token_Usage="40,9",
            X_Prompt_Prefix=f"{part:x}:40",
            X_Deadline_Ms="3000",
            X_Credential=f"key-{number % 4 + 1}",
        )
        record.write(f"caller {number} at {router.name}: status {answer.status}")
        time.sleep(max(0.0, began_at + CALL_INTERVAL_S - time.monotonic()))


def main() -> int:
    """Play the case and return the exit status."""
    record = Record(FOLDER / "record.txt")
    deployment = Deployment(record, ZONES)
    run = CountingRun()
    entry = {"service": "lm-pool", "slots": 128}
    routes = [stream_route("r-ask", "/ask/", "lm-pool", timeoutMs=3_000, goalMs=1_000)]
    services = [service_document("lm-pool", engine=ENGINE, coldS=COLD_S, coldPerS=COLD_PER_S)]
    try:
        deployment.store.put("op/config", configuration(7, routes, services))
        first = [
            deployment.add_server(f"i-first-{zone}", run, zone=zone, **entry) for zone in ("lalit", "kirti")
        ]
        deployment.start_all(bootstrap=True)
        if not deployment.wait_ready():
            record.write("the routers were not ready in time")
            return 2
        time.sleep(1.5)
        lost_at = time.monotonic()
        early, late = deployment.routers[3:], deployment.routers[:3]
        until = lost_at + TRAFFIC_S
        if TROUBLE:
            for router in deployment.routers:
                router.kill()
        for server in first:
            server.close()
        threads = [
            threading.Thread(target=call_often, args=(router, until, number, record), daemon=True)
            for router in early
            for number in range(CALLERS_PER_ROUTER)
        ]
        for thread in threads:
            thread.start()
        steps = [(SERVERS_BACK_S, "servers"), (RESTART_S, "early"), (SEED_LAG_S, "seeds"), (DARK_S, "late")]
        seeds = [router.control for router in late]
        cold: list[tuple[str, float]] = []
        for at, step in sorted(steps):
            time.sleep(max(0.0, lost_at + at - time.monotonic()))
            if step == "servers":
                for server in first:
                    deployment.store.delete(f"servers/{server.server_id}")
                for zone in ("lalit", "kirti"):
                    changes = {"coldLeftMs": int(COLD_S * 1_000), "zone": zone, **entry}
                    cold.append((f"i-cold-{zone}", time.monotonic() + COLD_S))
                    deployment.add_server(f"i-cold-{zone}", run, **changes)
            elif step == "seeds":
                seeds = [router.control for router in early]
                for router in early:
                    router.write_settings(seeds, bootstrap=False)
            elif TROUBLE:
                for router in early if step == "early" else late:
                    router.write_settings(seeds, bootstrap=False)
                    router.start()
        for thread in threads:
            thread.join(TRAFFIC_S + 5.0)
        return judge(run, cold, record)
    finally:
        deployment.close()


def judge(run: CountingRun, cold: list[tuple[str, float]], record: Record) -> int:
    """Return 1 if a cold server got more requests in one second than the rule allows."""
    worst = 0
    for server_id, until in cold:
        times = sorted(at for at, name in run.arrivals if name == server_id and at < until)
        busiest = max((sum(at <= other < at + 1.0 for other in times) for at in times), default=0)
        record.write(f"{server_id}: {len(times)} requests while cold, at most {busiest} in one second")
        worst = max(worst, busiest)
    record.write(f"at most {worst} requests in one second; the rule allows {LIMIT:g}")
    if not worst:
        return 2
    return 1 if worst > LIMIT else 0


if __name__ == "__main__":
    sys.exit(main())
