"""Streams that begin at a machine which is cut off during a release, and are taken up at another one."""

import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins_2 import (
    ENGINE,
    Channel,
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
STREAMS = 24
EVENTS = 30
INTERVAL_S = 0.3
BUDGET_S = 15.0
CUT_S = 5.5
RELEASE_GAP_S = 1.0
RETRY_S = 0.3
RESET_SHARE = 0.78
"""Share of the channels of the machine that are reset."""


def play(record: Record) -> int:
    """Play the case and return the exit status."""
    deployment = Deployment(record, ["heredia-a", "alajuela-b", "cartago-c", "alajuela-b"])
    stream = StreamRun(EVENTS, INTERVAL_S)
    engine = {"service": "limpet-llm", "slots": 128}
    try:
        routes = [stream_route("r-chat", "/chat/", "limpet-llm")]
        services = [service_document("limpet-llm", engine=ENGINE)]
        deployment.store.put("op/config", configuration(7, routes, services))
        routers = deployment.routers
        for number, router in enumerate(routers[:3]):
            deployment.add_server(f"i-old-{number}", stream, zone=router.zone, **engine)
        gateway = Channel(deployment.new_address(), deployment.store.address)
        alone = routers[-1]
        alone.store_address = gateway.address
        deployment.start_all(bootstrap=True, alone=[alone] if TROUBLE else [])
        if not deployment.wait_ready():
            record.write("the routers were not ready in time")
            return 2
        time.sleep(1.5)
        channels = [Channel(deployment.new_address(), router.front) for router in routers]

        def address_of(caller: int, attempt: int) -> str:
            """Return the address of the last machine for the first attempt, those of others in turn later."""
            others = channels[:-1]
            return (others[(caller + attempt) % len(others)] if attempt else channels[-1]).address

        gateway.is_cut = TROUBLE
        cut_at = time.monotonic()
        record.write(f"{alone.name} is cut off from the store: {TROUBLE}")
        for number, router in enumerate(routers[:3]):
            deployment.add_server(f"i-new-{number}", stream, zone=router.zone, version="v2", **engine)
            time.sleep(RELEASE_GAP_S / 2)
            deployment.store.delete(f"servers/i-old-{number}")
            time.sleep(RELEASE_GAP_S / 2)
        time.sleep(0.7)
        callers = [
            StreamCaller(number, address_of, record, retry_s=RETRY_S, budget_s=BUDGET_S)
            for number in range(STREAMS)
        ]
        for caller in callers:
            caller.start()
        time.sleep(0.8)
        if TROUBLE:
            count = channels[-1].reset(RESET_SHARE)
            record.write(f"{count} channels to {alone.name} are reset")
        time.sleep(max(0.0, cut_at + CUT_S - time.monotonic()))
        gateway.is_cut = False
        alone.write_settings([router.control for router in routers[:3]], bootstrap=True)
        for caller in callers:
            caller.join(BUDGET_S + 2.0)
        return judge_order(callers, record)
    finally:
        deployment.close()


if __name__ == "__main__":
    run_case(play, FOLDER)
