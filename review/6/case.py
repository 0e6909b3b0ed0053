"""Streams that are taken up after all routers were killed, during a release of another software version."""

import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins_2 import (
    ENGINE,
    Deployment,
    Record,
    StreamCaller,
    StreamRun,
    configuration,
    judge_order,
    run_case,
    service_document,
    stream_route,
)

FOLDER = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STREAMS = 12
EVENTS = 40
INTERVAL_S = 0.3
TIMEOUT_MS = 8_000
BUDGET_S = 15.0
"""Time for which a caller waits for its stream, which is longer than the route's `timeoutMs`."""
RELEASE_GAP_S = 1.0
RETRY_S = 0.5


def play(record: Record) -> int:
    """Play the case and return the exit status."""
    deployment = Deployment(record, ["heredia-a", "alajuela-b", "cartago-c"])
    stream = StreamRun(EVENTS, INTERVAL_S)
    engine = {"service": "limpet-llm", "slots": 128}
    try:
        routes = [stream_route("r-chat", "/chat/", "limpet-llm", timeoutMs=TIMEOUT_MS)]
        services = [service_document("limpet-llm", engine=ENGINE)]
        deployment.store.put("op/config", configuration(7, routes, services))
        old = [
            deployment.add_server(f"i-old-{number}", stream, zone=router.zone, **engine)
            for number, router in enumerate(deployment.routers)
        ]
        deployment.start_all(bootstrap=True)
        if not deployment.wait_ready():
            record.write("the routers were not ready in time")
            return 2
        time.sleep(1.5)
        routers = deployment.routers
        callers = [
            StreamCaller(
                number,
                lambda caller, attempt: routers[(caller + attempt) % len(routers)].front,
                record,
                retry_s=RETRY_S,
                budget_s=BUDGET_S,
            )
            for number in range(STREAMS)
        ]
        for caller in callers:
            caller.start()
        time.sleep(1.0)
        for number, server in enumerate(old):
            zone = server.entry["zone"]
            deployment.add_server(f"i-new-{number}", stream, zone=zone, version="v2", **engine)
            time.sleep(RELEASE_GAP_S / 2)
            server.write_entry(state="draining")
            time.sleep(RELEASE_GAP_S / 2)
        time.sleep(1.5)
        if TROUBLE:
            for router in deployment.routers:
                router.kill()
            time.sleep(0.5)
            deployment.start_all(bootstrap=False)
        for caller in callers:
            caller.join(BUDGET_S + 2.0)
        return judge_order(callers, record)
    finally:
        deployment.close()


if __name__ == "__main__":
    run_case(play, FOLDER)
