"""Streams that are taken up after all routers were killed, when the store has dropped its history."""

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
COMPACT = os.environ.get("COMPACT", "1") != "0"
STREAMS = 24
EVENTS = 40
INTERVAL_S = 0.3
BUDGET_S = 15.0
SIDE_BY_SIDE_S = 24.0
"""Time for which both versions serve before the first stream, longer than the history of the store."""
RELEASE_GAP_S = 1.0
STEP_S = 1.0
RETRY_S = 0.5


def play(record: Record) -> int:
    """Play the case and return the exit status."""
    deployment = Deployment(record, ["heredia-a", "alajuela-b", "cartago-c"])
    stream = StreamRun(EVENTS, INTERVAL_S)
    engine = {"service": "limpet-llm", "slots": 128}
    try:
        routes = [stream_route("r-chat", "/chat/", "limpet-llm")]
        services = [service_document("limpet-llm", engine=ENGINE)]
        deployment.store.put("op/config", configuration(7, routes, services))
        for number, router in enumerate(deployment.routers):
            for version in ("v1", "v2"):
                deployment.add_server(
                    f"i-{version}-{number}", stream, zone=router.zone, version=version, **engine
                )
        deployment.start_all(bootstrap=True)
        if not deployment.wait_ready():
            record.write("the routers were not ready in time")
            return 2
        time.sleep(SIDE_BY_SIDE_S)
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
        time.sleep(STEP_S)
        for number in range(len(deployment.routers)):
            deployment.servers[f"i-v1-{number}"].write_entry(state="draining")
            time.sleep(RELEASE_GAP_S)
        time.sleep(STEP_S)
        if TROUBLE and COMPACT:
            deployment.store.compact()
        time.sleep(STEP_S)
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
