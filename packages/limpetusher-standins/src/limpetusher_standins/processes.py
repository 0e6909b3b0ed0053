"""Child processes of a fleet: started in their own sessions, logged to files, ended by their ids."""

import ctypes
import os
import signal
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path

import limpetusher
import limpetusher_standins

STOP_TIMEOUT_SECONDS = 10.0
PARENT_DEATH_SIGNAL_OPTION = 1
"""PR_SET_PDEATHSIG of prctl(2)."""
LIBC = ctypes.CDLL(None)


def set_parent_death_signal() -> None:
    """Have the kernel kill this process when the thread that started it ends.

    Without it, a test run that is killed leaves the processes of its fleet behind.
    """
    if sys.platform == "linux":
        LIBC.prctl(PARENT_DEATH_SIGNAL_OPTION, signal.SIGKILL)


def package_paths() -> list[str]:
    """Return the source folders of the workspace's packages, found from the location of this module.

    The processes must run the code of this worktree even where another one is installed.
    """
    own_source = Path(limpetusher_standins.__file__).resolve().parents[1]
    siblings = sorted(own_source.parents[1].glob("limpetusher-*/src"))
    if own_source in siblings:
        return [str(path) for path in siblings]
    return [str(own_source), str(Path(limpetusher.__file__).resolve().parents[1])]


@dataclass(slots=True)
class ManagedProcess:
    """A process that can be paused, killed and started again with the same arguments."""

    name: str
    arguments: list[str]
    log_path: Path
    environment: dict[str, str] = field(default_factory=dict)
    working_folder: Path | None = None
    """Working folder."""
    process: subprocess.Popen | None = None
    paused: bool = False

    def start(self) -> None:
        """Start the process unless it is running."""
        if self.is_running:
            return
        environment = {
            **{name: value for name, value in os.environ.items() if not name.startswith("LIMPETUSHER_")},
            "PYTHONPATH": os.pathsep.join(package_paths()),
            "PYTHONUNBUFFERED": "1",
            **self.environment,
        }
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", *self.arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env=environment,
                cwd=self.working_folder,
                start_new_session=True,
                preexec_fn=set_parent_death_signal,
            )
        self.paused = False

    @property
    def is_running(self) -> bool:
        """Return whether the process has been started and has not ended."""
        return self.process is not None and self.process.poll() is None

    @property
    def exit_status(self) -> int | None:
        """Return the exit status, or None while the process runs."""
        return None if self.process is None else self.process.poll()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process runs."""
        if self.is_running:
            self.process.send_signal(number)

    def pause(self) -> None:
        """Pause the process with SIGSTOP."""
        self.send_signal(signal.SIGSTOP)
        self.paused = True

    def resume(self) -> None:
        """Continue a paused process with SIGCONT."""
        self.send_signal(signal.SIGCONT)
        self.paused = False

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait(STOP_TIMEOUT_SECONDS)

    def terminate(self, *, wait_seconds: float | None = STOP_TIMEOUT_SECONDS) -> int | None:
        """Send SIGTERM; return the exit status, or None while the process still runs."""
        self.send_signal(signal.SIGTERM)
        if self.process is None or wait_seconds is None:
            return None
        try:
            return self.process.wait(wait_seconds)
        except subprocess.TimeoutExpired:
            return None

    def log_tail(self, lines: int = 20) -> str:
        """Return the last lines of the log."""
        if not self.log_path.exists():
            return ""
        return "\n".join(self.log_path.read_text(errors="replace").splitlines()[-lines:])


def stop_all(processes: list[ManagedProcess]) -> None:
    """End all processes with SIGTERM; kill those that do not end in time."""
    for process in processes:
        if process.paused:
            process.resume()
        process.send_signal(signal.SIGTERM)
    for process in processes:
        if process.process is None:
            continue
        try:
            process.process.wait(STOP_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            process.kill()
