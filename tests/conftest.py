"""Pytest configuration: the tests listed in KNOWN-RED.txt are deselected and printed."""

from pathlib import Path

import pytest
from hypothesis import settings

# Examples are the same in every run. Without a deadline, a slow machine fails no test that checks no timing.
settings.register_profile("reproducible", derandomize=True, deadline=None)
settings.load_profile("reproducible")

KNOWN_RED_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"


def read_known_red() -> list[str]:
    """Return the node ids of the known failing tests."""
    lines = KNOWN_RED_FILE.read_text(encoding="utf-8").splitlines()
    entries = [line for line in lines if line.strip() and not line.startswith("#")]
    return [entry.split("|")[0].strip() for entry in entries]


@pytest.hookimpl(trylast=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Deselect the known failing tests, and no others."""
    known_red = set(read_known_red())
    deselected = [item for item in items if item.nodeid in known_red]
    if deselected:
        config.hook.pytest_deselected(items=deselected)
        items[:] = [item for item in items if item.nodeid not in known_red]


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the known failing tests, so that a passing run does not hide them."""
    for node_id in read_known_red():
        terminalreporter.write_line(f"known red, not run: {node_id}")
