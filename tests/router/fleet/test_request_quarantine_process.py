"""Tests of router processes that get a request again and again which crashes the targets that run it."""

import itertools
import threading
import time

import pytest

from builders_platform import CrashingTarget, FleetRun, exchange, request_text, split_answer

pytestmark = pytest.mark.integration

DOWN_SECONDS = 1.5
"""Longer than the time in which output of a target shows that it has not crashed."""
DEADLY_BODY = "deadly"
MAX_DEADLY_RUNS = 6
"""Three crashes, and three sends afterwards."""


class CrashingRun(FleetRun):
    """A store, three targets that crash of a deadly body, and two routers."""

    def __init__(self, folder):
        super().__init__(folder, lambda call, _number: call.answer(b"done"))
        for name in self.targets:
            self.targets[name].close()
        self.targets = {
            f"t{number}": CrashingTarget(DEADLY_BODY.encode(), down_seconds=DOWN_SECONDS)
            for number in range(1, 4)
        }
        self.numbers = itertools.count(1)
        for name, target in self.targets.items():
            self.list_target(name, target)
        other = self.start_router(ip="127.0.0.2", ports=self.router.ports, seeds=("127.0.0.1:1",))
        other.wait_ready()
        time.sleep(1.5)

    def list_target(self, name: str, target: CrashingTarget) -> None:
        self.store.put(f"servers/{name}", target.document())

    def send(self, body: str, *, router: int = 0, path: str = "/safe/1", method: str = "POST") -> int:
        """Send one request to a router and return the status of its answer."""
        text = request_text(path, method=method, body=body, x_request_id=f"req-{next(self.numbers)}")
        return split_answer(exchange(self.routers[router].caller, text))[0]

    @property
    def deadly_runs(self) -> int:
        return sum(target.crash_count for target in self.targets.values())


@pytest.mark.parametrize("path", ["/safe/1", "/unsafe/1"])
def test_request_that_crashes_targets_is_refused_by_all_routers(tmp_path, path):
    """Guards against targets that crash one after the other of one request that comes to any router."""
    run = CrashingRun(tmp_path)
    try:
        statuses = []
        for number in range(24):
            statuses.append(run.send(DEADLY_BODY, router=number % 2, path=path))
            time.sleep(0.5)
        assert run.deadly_runs <= MAX_DEADLY_RUNS
        assert set(statuses[-6:]) == {503}
        sound = [run.send(f"sound {number}", router=number % 2, path=path) for number in range(6)]
        assert sound == [200] * 6
    finally:
        run.close()


def test_identical_requests_that_are_answered_stay_allowed_when_their_target_crashes(tmp_path):
    """Guards against refusing a caller that asks the same again and again beside a deadly request."""
    run = CrashingRun(tmp_path)
    try:
        statuses: list[int] = []
        ends = time.monotonic() + 5.0

        def poll() -> None:
            while time.monotonic() < ends:
                statuses.append(run.send("poll", router=1))
                time.sleep(0.05)

        thread = threading.Thread(target=poll)
        thread.start()
        while time.monotonic() < ends:
            run.send(DEADLY_BODY)
            time.sleep(0.5)
        thread.join()
        assert statuses.count(200) >= 0.9 * len(statuses)
        assert set(statuses[-5:]) == {200}
        assert run.deadly_runs <= MAX_DEADLY_RUNS
    finally:
        run.close()
