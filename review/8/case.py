"""Streams that are taken up after all routers were killed, when the store has dropped its history."""

import os
import sys
import threading
import time
import uuid
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins_2 import (
    ENGINE,
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
COMPACT = os.environ.get("COMPACT", "1") != "0"
STREAMS = 24
EVENTS = 40
INTERVAL_S = 0.3
BUDGET_S = 15.0
SIDE_BY_SIDE_S = 24.0
"""Time for which both versions serve before the first stream, longer than the history of the store."""
STEP_S = 1.5
RETRY_S = 0.5
MAX_ATTEMPTS = 8
ALLOWED = 2
"""The rule is broken by more than two such streams."""


class Caller(threading.Thread):
    """A caller that takes its stream up again after each broken channel, within its time budget."""

    def __init__(self, number: int, deployment: Deployment):
        super().__init__(daemon=True)
        self.number = number
        self.deployment = deployment
        self.events: list[tuple[int, str]] = []
        self.statuses: list[int] = []

    def run(self) -> None:
        """Ask until the stream is complete or the time is over."""
        record = self.deployment.record
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
            router = self.deployment.routers[(self.number + attempt) % len(self.deployment.routers)]
            answer = ask(router.front, f"/chat/{self.number}", **headers)
            if answer.status == 200 and answer.events and not first_id:
                first_id = request_id
            self.events += answer.events if answer.status == 200 else []
            self.statuses.append(answer.status)
            parts = answer.events if answer.status == 200 else answer.body[:120]
            span = f"events {parts[0]} to {parts[-1]}" if answer.status == 200 and parts else parts
            record.write(
                f"caller {self.number} attempt {attempt} at {router.name}: status {answer.status}, "
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
        callers = [Caller(number, deployment) for number in range(STREAMS)]
        for caller in callers:
            caller.start()
        time.sleep(STEP_S)
        for number in range(len(deployment.routers)):
            deployment.servers[f"i-v1-{number}"].write_entry(state="draining")
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
    record.write(f"streams with events from two software versions: {mixed} of {len(callers)}")
    return 1 if mixed > ALLOWED else 0


if __name__ == "__main__":
    sys.exit(main())
