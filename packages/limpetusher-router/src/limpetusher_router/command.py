"""Command line of the router process."""

import sys
from importlib.metadata import version

from cyclopts import App, CycloptsError, MissingArgumentError
from cyclopts.config import Env

from limpetusher.errors import ConfigurationError
from limpetusher_router.connection.settings import ENVIRONMENT_PREFIX
from limpetusher_router.errors import RouterError
from limpetusher_router.settings import RouterSettings

FAILURE_STATUS = 1
USAGE_ERROR_STATUS = 2

app = App(
    name="limpetusher-router",
    help="Router of a limpetusher fleet. Every flag can also be set by an environment variable.",
    version=lambda: version("limpetusher-router"),
    config=Env(ENVIRONMENT_PREFIX, command=False),
)
app.register_install_completion_command()


@app.default
def run(settings: RouterSettings) -> int:
    """Run a router until SIGTERM or SIGINT stops it."""
    from limpetusher_router.process.router import run_router

    return run_router(settings)


def describe_parse_error(error: CycloptsError) -> str:
    """Return one line with the setting, its value and the allowed values."""
    if isinstance(error, MissingArgumentError) and error.argument is not None:
        flag = error.argument.name
        variable = ENVIRONMENT_PREFIX + flag.removeprefix("--").replace("-", "_").upper()
        return f"setting {flag} ({variable}) has no value; it is required"
    return " ".join(str(error).split())


def report_startup_error(line: str, status: int = USAGE_ERROR_STATUS) -> int:
    """Write the reason why the router can not start to standard error and return the exit status."""
    print(f"limpetusher-router: {line}", file=sys.stderr)  # noqa: T201 - logging is not configured yet
    return status


def main(arguments: list[str] | None = None) -> int:
    """Run the command line and return the exit status."""
    try:
        status = app(arguments, exit_on_error=False, print_error=False, result_action="return_value")
    except ConfigurationError as error:
        return report_startup_error(str(error))
    except RouterError as error:
        return report_startup_error(str(error), FAILURE_STATUS)
    except CycloptsError as error:
        return report_startup_error(describe_parse_error(error))
    return status if isinstance(status, int) else 0
