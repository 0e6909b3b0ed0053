"""Tests of the settings file and its template."""

import json
import re
from pathlib import Path

import pytest

from limpetusher.errors import ConfigurationError
from limpetusher_router.platform.settings_file import HostSettings, read_settings, settings_path

TEMPLATE = Path(__file__).parents[3] / "deploy" / "settings.json.template"
VALUES = {
    "node": "front-1",
    "zone": "north",
    "ip": "10.1.0.33",
    "listen.front": "10.1.0.33:8783",
    "listen.ready": "10.1.0.33:8780",
    "portRange": [7400, 7415],
    "seeds": ["10.1.0.33:8785"],
    "provider.address": "10.200.1.7:8781",
    "provider.historyS": 25,
    "bootstrap": True,
    "heartbeatMs": 1500,
    "limits.maxFds": 4100,
    "limits.memoryMb": 150,
    "limits.cpuShare": 0.537,
    "limits.cores": 2,
    "bounds.budgetRatio": 0.2,
    "bounds.budgetExtra": 52,
    "bounds.budgetWindowS": 10,
    "bounds.graceS": 8,
}


def filled_template() -> str:
    return re.sub(r"{{([^|}]+)\|json}}", lambda match: json.dumps(VALUES[match[1]]), TEMPLATE.read_text())


def test_template_matches_the_settings_type(tmp_path):
    """Guards against a template that does not match the settings type."""
    path = tmp_path / "settings.json"
    path.write_text(filled_template())
    settings = read_settings(path)
    assert isinstance(settings, HostSettings)
    assert settings.datagram_port == 7400
    assert settings.store_copy_port == 7401
    assert settings.processor_cores == pytest.approx(1.074)
    assert settings.bounds.stop_grace_seconds == 8.0
    assert settings.memory_megabytes == 150
    assert settings.target_heartbeat_milliseconds == 1500
    assert settings.store_history_seconds == 25
    assert settings.is_first_start


@pytest.mark.parametrize(
    ("before", "after"),
    [
        ('"front-1"', "7"),
        ('"host_id"', '"host"'),
        ("{", ""),
        ('megabytes": 150', 'megabytes": 0'),
        ('"bounds"', '"load_shedding": {"busy_fraction": 2}, "bounds"'),
    ],
)
def test_error_for_invalid_settings_names_the_file(tmp_path, before, after):
    path = tmp_path / "settings.json"
    path.write_text(filled_template().replace(before, after, 1))
    with pytest.raises(ConfigurationError, match=re.escape(str(path))):
        read_settings(path)


def test_error_for_a_missing_file_or_variable_names_it(tmp_path, monkeypatch):
    with pytest.raises(ConfigurationError, match="can't be read"):
        read_settings(tmp_path / "none")
    monkeypatch.delenv("LIMPETUSHER_NODE_FILE", raising=False)
    with pytest.raises(ConfigurationError, match="LIMPETUSHER_NODE_FILE"):
        settings_path()
