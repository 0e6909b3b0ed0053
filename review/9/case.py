"""Streams that are taken up again twice after their route was moved to another service."""

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
    Channel,
    Deployment,
    Record,
    StreamRun,
    ask,
    configuration,
    service_document,
    stream_route,
)

FOLDER = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STREAMS = 96
NEW_STREAMS = 24
EVENTS = 40
INTERVAL_S = 0.3
BUDGET_S = 15.0
CONFIG_S = 2.5
"""Time from a configuration to the next step, longer than `configMs`."""
RETRY_S = 0.4
RESET_SHARE = 0.78
"""Share of the channels of one router that are reset at a time."""
RESET_GAP_S = 0.2
IN_TOUCH_S = BOUNDS["stableWindowMs"] / 1_000
MAX_ATTEMPTS = 8
MINIMUM_TAKEUPS = 12


class Caller(threading.Thread):
    """A caller that takes its stream up again after each broken channel, within its time budget."""

    def __init__(self, number: int, channels: list[Channel], record: Record):
        super().__init__(daemon=True)
        self.number = number
        self.channels = channels
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
            index = (self.number + attempt) % len(self.channels)
            sent_at = record.now
            answer = ask(self.channels[index].address, f"/chat/{self.number}", **headers)
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
    services = [service_document(name, engine=ENGINE) for name in ("llm-one", "llm-two")]

    def send_configuration(version: int, service: str) -> None:
        routes = [stream_route("r-chat", "/chat/", service)]
        deployment.store.put("op/config", configuration(version, routes, services))

    try:
        send_configuration(7, "llm-one")
        for number, router in enumerate(deployment.routers):
            for service in ("llm-one", "llm-two"):
                deployment.add_server(f"i-{service}-{number}", stream, service=service, zone=router.zone)
        deployment.start_all(bootstrap=True)
        if not deployment.wait_ready():
            record.write("the routers were not ready in time")
            return 2
        time.sleep(1.5)
        channels = [Channel(deployment.new_address(), router.front) for router in deployment.routers]
        callers = [Caller(number, channels, record) for number in range(STREAMS)]
        for caller in callers:
            caller.start()
        time.sleep(1.0)
        send_configuration(9, "llm-two")
        time.sleep(CONFIG_S)
        resets = [[-IN_TOUCH_S] for _channel in channels]

        def reset(index: int) -> None:
            if TROUBLE:
                resets[index].append(record.now)
                count = channels[index].reset(RESET_SHARE)
                record.write(f"{count} channels to {channels[index].destination} are reset")

        for index in range(len(channels)):
            reset(index)
            time.sleep(RESET_GAP_S)
        # From now on a router counts as in touch again, except for the one that is reset once more.
        time.sleep(IN_TOUCH_S + 0.3)
        reset(0)
        new = [Caller(STREAMS + number, channels, record) for number in range(NEW_STREAMS)]
        for caller in new:
            caller.start()
        for caller in callers + new:
            caller.join(BUDGET_S + 2.0)
        return judge(callers, new, resets, record)
    finally:
        deployment.close()


def judge(callers: list[Caller], new: list[Caller], resets: list[list[float]], record: Record) -> int:
    """Return 1 if streams that are taken up again go on less than half as often as new ones begin."""

    def in_touch(attempt: tuple[float, int, bool, bool]) -> bool:
        return not any(at <= attempt[0] <= at + IN_TOUCH_S for at in resets[attempt[1]])

    went_on = []
    for caller in callers:
        takeups = [attempt for attempt in caller.attempts if attempt[2] and in_touch(attempt)]
        if takeups:
            went_on.append(any(attempt[3] for attempt in takeups))
            record.write(f"caller {caller.number}: taken up at routers in touch {takeups}")
    first = [caller.attempts[0] for caller in new if caller.attempts and in_touch(caller.attempts[0])]
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
