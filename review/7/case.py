"""Streams that are taken up again while their route is moved to another service and back."""

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
STREAMS = 48
EVENTS = 44
INTERVAL_S = 0.3
BUDGET_S = 15.0
CONFIG_S = 2.5
"""Time from a configuration to the next step, longer than `configMs`."""
RELEASE_GAP_S = 1.0
RETRY_S = 0.4
RESET_SHARE = 0.78
"""Share of the channels of one router that are reset at a time."""
RESET_GAP_S = 0.5


def play(record: Record) -> int:
    """Play the case and return the exit status."""
    deployment = Deployment(record, ["heredia-a", "alajuela-b", "cartago-c"])
    stream = StreamRun(EVENTS, INTERVAL_S)
    services = [service_document(name, engine=ENGINE) for name in ("llm-one", "llm-two")]

    def send_configuration(version: int, service: str) -> None:
        routes = [stream_route("r-chat", "/chat/", service)]
        deployment.store.put("op/config", configuration(version, routes, services))

    try:
        send_configuration(7, "llm-one")
        for number, router in enumerate(deployment.routers):
            for version in ("v1", "v2"):
                server_id = f"i-one-{version}-{number}"
                deployment.add_server(server_id, stream, service="llm-one", zone=router.zone, version=version)
            deployment.add_server(f"i-two-{number}", stream, service="llm-two", zone=router.zone)
        deployment.start_all(bootstrap=True)
        if not deployment.wait_ready():
            record.write("the routers were not ready in time")
            return 2
        time.sleep(1.5)
        channels = [Channel(deployment.new_address(), router.front) for router in deployment.routers]
        callers = [
            StreamCaller(
                number,
                lambda caller, attempt: channels[(caller + attempt) % len(channels)].address,
                record,
                retry_s=RETRY_S,
                budget_s=BUDGET_S,
            )
            for number in range(STREAMS)
        ]
        for caller in callers:
            caller.start()
        time.sleep(1.0)
        for version, service in ((9, "llm-two"), (12, "llm-one")):
            send_configuration(version, service)
            if service == "llm-one":
                # The release goes on: two of the three servers of the older version leave.
                for number in (0, 1):
                    deployment.servers[f"i-one-v1-{number}"].write_entry(state="draining")
                    time.sleep(RELEASE_GAP_S)
            time.sleep(CONFIG_S)
            for channel in channels:
                if TROUBLE:
                    count = channel.reset(RESET_SHARE)
                    record.write(f"{count} channels to {channel.destination} are reset")
                time.sleep(RESET_GAP_S)
        for caller in callers:
            caller.join(BUDGET_S + 2.0)
        return judge_order(callers, record)
    finally:
        deployment.close()


if __name__ == "__main__":
    run_case(play, FOLDER)
