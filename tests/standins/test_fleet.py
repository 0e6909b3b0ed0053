"""Tests of the fleet runner with stand-ins only."""

import dataclasses
import os
import subprocess
import sys
import time
from pathlib import Path

import pytest

from builders_standins import chat
from limpetusher_standins.blocking_http import call, get_status
from limpetusher_standins.deployment import SMALL
from limpetusher_standins.fleet import PLATFORM, Fleet, FleetError
from limpetusher_standins.ports import PortBlock
from limpetusher_standins.processes import ManagedProcess, package_paths

pytestmark = pytest.mark.integration
PLAN_WITHOUT_ROUTERS = dataclasses.replace(SMALL, routers=0)


def process_ids(fleet: Fleet) -> list[int]:
    return [process.process.pid for process in fleet.processes.values()]


def is_alive(process_id: int) -> bool:
    try:
        os.kill(process_id, 0)
    except ProcessLookupError:
        return False
    return True


def test_processes_are_paused_killed_and_restarted_by_id():
    """Guards against a fault that affects the wrong process, or a restart on another address."""
    with Fleet(PLAN_WITHOUT_ROUTERS) as fleet:
        address = fleet.targets["engine-1"].address
        assert call(address, "POST", "/v1/chat/completions", chat()).status == 200
        fleet.processes["engine-1"].pause()
        with pytest.raises(TimeoutError):
            call(address, "GET", "/load", timeout_seconds=0.3)
        fleet.processes["engine-1"].resume()
        assert get_status(address, "/load") == 200
        fleet.processes["engine-1"].kill()
        assert get_status(address, "/load") is None
        assert get_status(fleet.targets["engine-2"].address, "/load") == 200
        fleet.processes["engine-1"].start()
        fleet.wait_until(lambda: get_status(address, "/load") == 200, "the engine is back")
        assert fleet.fetch_record("engine-1")["requests"] == []
        assert fleet.processes[PLATFORM].terminate() == 0


def test_all_processes_end_when_the_start_fails():
    """Guards against processes that a failed test leaves behind."""
    fleet = Fleet(dataclasses.replace(PLAN_WITHOUT_ROUTERS, engine_options={"no_such_option": 1}))
    with pytest.raises(FleetError, match="engine-1"), fleet:
        pass
    assert not any(process.is_running for process in fleet.processes.values())


def test_all_processes_end_when_the_runner_is_killed(tmp_path):
    """Guards against processes that outlive a killed test run, and against using another fleet's ports."""
    program = (
        "import dataclasses, pathlib, sys, time\n"
        "from limpetusher_standins.deployment import SMALL\n"
        "from limpetusher_standins.fleet import Fleet\n"
        "with Fleet(dataclasses.replace(SMALL, routers=0), pathlib.Path(sys.argv[1])) as fleet:\n"
        "    print(fleet.platform_address.rpartition(':')[2])\n"
        "    print(*[p.process.pid for p in fleet.processes.values()], flush=True)\n"
        "    time.sleep(60)\n"
    )
    environment = {**os.environ, "PYTHONPATH": os.pathsep.join(package_paths())}
    other = PortBlock()
    other_ports = range(other.next_port, other.end_port)
    runner = subprocess.Popen(
        [sys.executable, "-c", program, str(tmp_path)], stdout=subprocess.PIPE, env=environment
    )
    port = int(runner.stdout.readline())
    started = [int(number) for number in runner.stdout.readline().split()]
    runner.kill()
    runner.wait()
    runner.stdout.close()
    other.close()
    deadline = time.monotonic() + 5.0
    while any(is_alive(number) for number in started):
        assert time.monotonic() < deadline
        time.sleep(0.05)
    assert len(started) == 5
    assert port not in other_ports


def test_process_runs_the_code_of_this_worktree(tmp_path):
    """Guards against tests that start an installed version instead of the one under test."""
    module = tmp_path / "show_path.py"
    module.write_text("import limpetusher_router; print(limpetusher_router.__file__)")
    process = ManagedProcess("show", ["show_path"], tmp_path / "log", working_folder=tmp_path)
    process.start()
    assert process.process.wait(10) == 0
    assert process.log_tail().startswith(str(Path(__file__).parents[2]))
