"""Streams that are taken up again after all routers were killed, with a store that was once restored."""

import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins_2 import (
    BOUNDS,
    COULD_NOT_RUN,
    ENGINE,
    Deployment,
    Record,
    StreamCaller,
    StreamRun,
    configuration,
    run_case,
    service_document,
    stream_route,
)

FOLDER = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DRILL = os.environ.get("DRILL", "1") != "0"
STREAMS = 24
NEW_STREAMS = 24
EVENTS = 45
INTERVAL_S = 0.3
BUDGET_S = 15.0
RETRY_S = 1.5
MAX_ATTEMPTS = 6
DRILL_AGE_S = 24.0
"""Time from the drill to the first stream, longer than the history of the store."""
KILL_S = 2.5
IN_TOUCH_S = BOUNDS["stableWindowMs"] / 1_000 + 0.2
MINIMUM_TAKEUPS = 12
"""The rule speaks of 12 or more streams that are taken up."""


def play(record: Record) -> int:
    """Play the case and return the exit status."""
    deployment = Deployment(record, ["heredia-a", "alajuela-b", "cartago-c"])
    stream = StreamRun(EVENTS, INTERVAL_S)
    try:
        routes = [stream_route("r-chat", "/chat/", "limpet-llm")]
        services = [service_document("limpet-llm", engine=ENGINE)]
        deployment.store.put("op/config", configuration(7, routes, services))
        for number, router in enumerate(deployment.routers):
            deployment.add_server(f"i-{number}", stream, service="limpet-llm", zone=router.zone)
        deployment.start_all(bootstrap=True)
        if not deployment.wait_ready():
            record.write("the routers were not ready in time")
            return 2
        if DRILL:
            deployment.store.restore()
        time.sleep(DRILL_AGE_S)
        routers = deployment.routers

        def make_caller(number: int) -> StreamCaller:
            return StreamCaller(
                number,
                lambda caller, attempt: routers[(caller + attempt) % len(routers)].front,
                record,
                retry_s=RETRY_S,
                max_attempts=MAX_ATTEMPTS,
                budget_s=BUDGET_S,
            )

        callers = [make_caller(number) for number in range(STREAMS)]
        for caller in callers:
            caller.start()
        time.sleep(KILL_S)
        if TROUBLE:
            for router in routers:
                router.kill()
            time.sleep(0.5)
            deployment.start_all(bootstrap=False)
        in_touch_from = record.now + IN_TOUCH_S if TROUBLE else 0.0
        time.sleep(IN_TOUCH_S + 0.5)
        new = [make_caller(STREAMS + number) for number in range(NEW_STREAMS)]
        for caller in new:
            caller.start()
        for caller in callers + new:
            caller.join(BUDGET_S + 2.0)
        return judge(callers, new, in_touch_from, record)
    finally:
        deployment.close()


def judge(callers: list[StreamCaller], new: list[StreamCaller], in_touch_from: float, record: Record) -> int:
    """Return 1 if streams that are taken up again go on less than half as often as new ones begin."""
    went_on = []
    for caller in callers:
        takeups = [
            attempt for attempt in caller.attempts if attempt.is_takeup and attempt.sent_at >= in_touch_from
        ]
        if takeups:
            went_on.append(any(attempt.goes_on for attempt in takeups))
    begun = sum(caller.attempts[0].goes_on for caller in new)
    record.write(f"new streams: {begun} of {len(new)} begin")
    record.write(f"streams taken up at routers in touch: {sum(went_on)} of {len(went_on)} go on")
    if not begun:
        return COULD_NOT_RUN
    if len(went_on) < MINIMUM_TAKEUPS:
        return 0
    return 1 if sum(went_on) / len(went_on) < begun / len(new) / 2 else 0


if __name__ == "__main__":
    run_case(play, FOLDER)
