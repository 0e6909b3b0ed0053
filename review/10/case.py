"""Streams that are taken up again after all routers were killed, with a store that was once restored."""

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
    Deployment,
    Record,
    Router,
    StreamRun,
    ask,
    configuration,
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


class Caller(threading.Thread):
    """A caller that takes its stream up again after each broken channel, within its time budget."""

    def __init__(self, number: int, routers: list[Router], record: Record):
        super().__init__(daemon=True)
        self.number = number
        self.routers = routers
        self.record = record
        self.events: list[tuple[int, str]] = []
        self.attempts: list[tuple[float, int, bool, bool]] = []
        """Time, router, whether the stream was taken up again, and whether it went on, of each attempt."""

    def run(self) -> None:
        """Ask until the stream is complete or the time is over."""
        record = self.record
        began_at = time.monotonic()
        first_id = ""
        attempt = 0
        while attempt < MAX_ATTEMPTS and (left := began_at + BUDGET_S - time.monotonic()) > 0.5:
            attempt += 1
            request_id = uuid.uuid4().hex[:16]
            part = self.number * 16
            headers = {
                "X_Request_Id": request_id,
                "X_Model": "m",
                "X_Token_Usage": "400,120",
                "X_Prompt_Prefix": f"{part:x}:200,{part + 1:x}:200",
                "X_Deadline_Ms": str(int(left * 1_000)),
                "X_Credential": f"key-{self.number % 4 + 1}",
            }
            if self.events:
                headers |= {"Last_Event_Id": str(self.events[-1][0]), "Resumes": first_id}
            index = (self.number + attempt) % len(self.routers)
            sent_at = record.now
            answer = ask(self.routers[index].front, f"/chat/{self.number}", **headers)
            goes_on = answer.status == 200 and bool(answer.events)
            self.attempts.append((sent_at, index, bool(self.events), goes_on))
            if answer.status == 200 and answer.events and not first_id:
                first_id = request_id
            self.events += answer.events if answer.status == 200 else []
            parts = answer.events if answer.status == 200 else answer.body[:120]
            span = f"events {parts[0]} to {parts[-1]}" if answer.status == 200 and parts else parts
            record.write(
                f"caller {self.number} attempt {attempt}: status {answer.status}, "
                f"complete {answer.is_complete}, {span}"
            )
            if answer.status == 200 and answer.is_complete:
                return
            time.sleep(RETRY_S)


def main() -> int:
    """Play the case and return the exit status."""
    record = Record(FOLDER / "record.txt")
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
        callers = [Caller(number, routers, record) for number in range(STREAMS)]
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
        new = [Caller(STREAMS + number, routers, record) for number in range(NEW_STREAMS)]
        for caller in new:
            caller.start()
        for caller in callers + new:
            caller.join(BUDGET_S + 2.0)
        return judge(callers, new, in_touch_from, record)
    finally:
        deployment.close()


def judge(callers: list[Caller], new: list[Caller], in_touch_from: float, record: Record) -> int:
    """Return 1 if streams that are taken up again go on less than half as often as new ones begin."""
    went_on = []
    for caller in callers:
        takeups = [attempt for attempt in caller.attempts if attempt[2] and attempt[0] >= in_touch_from]
        if takeups:
            went_on.append(any(attempt[3] for attempt in takeups))
            record.write(f"caller {caller.number}: taken up at routers in touch {takeups}")
    first = [caller.attempts[0] for caller in new if caller.attempts]
    begun = sum(attempt[3] for attempt in first)
    record.write(f"new streams at routers in touch: {begun} of {len(first)} begin")
    record.write(f"streams taken up at routers in touch: {sum(went_on)} of {len(went_on)} go on")
    if not first or not begun:
        return 2
    if len(went_on) < MINIMUM_TAKEUPS:
        return 0
    return 1 if sum(went_on) / len(went_on) < begun / len(first) / 2 else 0


if __name__ == "__main__":
    sys.exit(main())
