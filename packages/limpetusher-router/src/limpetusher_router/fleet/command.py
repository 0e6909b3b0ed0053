"""Entry point of the router on a platform host; an environment variable names the settings file."""

import signal
import sys

from limpetusher.clock import SystemClock
from limpetusher.errors import ConfigurationError
from limpetusher_router.errors import RouterError

FAILURE_STATUS = 1
USAGE_ERROR_STATUS = 2


def main() -> int:
    """Run the router and return the exit status."""
    # SIGHUP ends a process by default. The settings are read again once it is handled.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from limpetusher_router.fleet.process import router_settings, run_fleet_router
    from limpetusher_router.platform.settings_file import read_settings, settings_path
    from limpetusher_router.process.logs import set_up_nonblocking_logging

    try:
        path = settings_path()
        host = read_settings(path)
        set_up_nonblocking_logging(router_settings(host), clock=SystemClock())
        return run_fleet_router(path, host)
    except ConfigurationError as error:
        return report_startup_error(str(error), USAGE_ERROR_STATUS)
    except RouterError as error:
        return report_startup_error(str(error), FAILURE_STATUS)


def report_startup_error(line: str, status: int) -> int:
    """Print why the router can't start and return the exit status."""
    print(f"limpetusher-router: {line}", file=sys.stderr)  # noqa: T201 - logging may not be set up yet
    return status
