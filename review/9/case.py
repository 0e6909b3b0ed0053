"""Streams that begin at a machine which is cut off during a release, and are taken up at another one."""

import os
import sys
import threading
import time
import uuid
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins_2 import (
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
STREAMS = 24
EVENTS = 30
INTERVAL_S = 0.3
BUDGET_S = 15.0
CUT_S = 5.5
RETRY_S = 0.3
RESET_SHARE = 0.78
MAX_ATTEMPTS = 8
ALLOWED = 2
"""The rule is broken by more than two such streams."""


class Caller(threading.Thread):
    """A caller that takes its stream up again after each broken channel, within its time budget."""

    def __init__(self, number: int, channels: list[Channel], record: Record):
        super().__init__(daemon=True)
        self.number = number
        self.channels = channels
        self.record = record
        self.events: list[tuple[int, str]] = []
        self.statuses: list[int] = []

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
            # The first attempt reaches the last machine, later ones the others in turn.
            others = self.channels[:-1]
            channel = self.channels[-1] if attempt == 1 else others[(self.number + attempt) % len(others)]
            answer = ask(channel.address, f"/chat/{self.number}", **headers)
            if answer.status == 200 and answer.events and not first_id:
                first_id = request_id
            self.events += answer.events if answer.status == 200 else []
            self.statuses.append(answer.status)
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
        gateway.is_cut = TROUBLE
        cut_at = time.monotonic()
        record.write(f"{alone.name} is cut off from the store: {TROUBLE}")
        for number, router in enumerate(routers[:3]):
            deployment.add_server(f"i-new-{number}", stream, zone=router.zone, version="v2", **engine)
        time.sleep(0.5)
        for number in range(3):
            deployment.store.delete(f"servers/i-old-{number}")
        time.sleep(2.0)
        callers = [Caller(number, channels, record) for number in range(STREAMS)]
        for caller in callers:
            caller.start()
        time.sleep(1.0)
        if TROUBLE:
            count = channels[-1].reset(RESET_SHARE)
            record.write(f"{count} channels to {alone.name} are reset")
        time.sleep(max(0.0, cut_at + CUT_S - time.monotonic()))
        gateway.is_cut = False
        alone.write_settings([router.control for router in routers[:3]], bootstrap=True)
        for caller in callers:
            caller.join(BUDGET_S + 2.0)
        return judge(callers, record)
    finally:
        deployment.close()


def judge(callers: list[Caller], record: Record) -> int:
    """Return 1 if more streams than allowed hold events of two versions."""
    mixed = 0
    for caller in callers:
        writers = sorted({data.rsplit(" ", 1)[0] for _number, data in caller.events})
        numbers = [number for number, _data in caller.events]
        if len(writers) > 1:
            mixed += 1
        record.write(
            f"caller {caller.number}: {len(numbers)} events from {writers}, statuses {caller.statuses}"
        )
    if not all(caller.events for caller in callers):
        record.write("not all streams have begun")
        return 2
    record.write(f"streams with events from two software versions of one service: {mixed} of {len(callers)}")
    return 1 if mixed > ALLOWED else 0


if __name__ == "__main__":
    sys.exit(main())
