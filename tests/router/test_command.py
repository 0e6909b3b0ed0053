"""Tests of the command line and of the settings."""

import socket
import subprocess
import sys

import pytest

from builders_router import environment, free_addresses
from limpetusher.core.settings import PolicySettings
from limpetusher.errors import ConfigurationError
from limpetusher_router.settings import RouterSettings

REQUIRED = {"host_id": "r1", "data_centre": "north", "peer_key": "k" * 16}
ADDRESSES = ("caller_address", "peer_address", "admin_address")


def run(*flags: str, **settings: object) -> subprocess.CompletedProcess:
    command = [sys.executable, "-m", "limpetusher_router", *flags]
    return subprocess.run(command, env=environment(settings), capture_output=True, text=True, timeout=30)


@pytest.mark.parametrize(
    ("settings", "parts"),
    [
        ({"host_id": "a b"}, ["--host-id", "'a b'", "allowed"]),
        ({"caller_address": "localhost"}, ["--caller-address", "'localhost'", "ip:port"]),
        ({"max_body_bytes": "-1"}, ["--max-body-bytes", "'-1'", "greater than 0"]),
        ({"max_body_bytes": "many"}, ["MAX_BODY_BYTES", "many"]),
        ({"idle_timeout_seconds": "nan"}, ["--idle-timeout-seconds", "'nan'"]),
        ({"share_lease_seconds": "0"}, ["--share-lease-seconds", "'0.0'", "greater than 0"]),
        ({"log_level": "loud"}, ["loud", "debug"]),
        ({"address_map": "127.0.0.1:1=x"}, ["--address-map", "127.0.0.1:1=x"]),
        ({"platform_urls": "https://a"}, ["--platform-urls", "https://a", "http://"]),
        ({"peer_key": "short"}, ["--peer-key", "5 bytes", "16 to 64"]),
        ({"peer_key_file": "/nonexistent"}, ["--peer-key-file", "/nonexistent", "readable file"]),
        ({"fresh_fleet": "maybe"}, ["FRESH_FLEET", "maybe"]),
    ],
)
def test_invalid_setting_is_reported_in_one_line(settings, parts):
    """Guards against starting with an invalid setting, and against error messages that do not name it."""
    result = run(**{**REQUIRED, **settings})
    assert result.returncode == 2
    assert len(result.stderr.splitlines()) == 1, result.stderr
    assert all(part in result.stderr for part in parts), result.stderr


def test_missing_setting_is_reported():
    """Guards against starting without a required setting."""
    result = run()
    assert result.returncode == 2
    assert "LIMPETUSHER_HOST_ID" in result.stderr


def test_version_and_help():
    """Guards against requiring settings for `--version` and `--help`."""
    assert run("--version").stdout.strip() == "0.1.0"
    help_text = run("--help").stdout
    assert "LIMPETUSHER_ADDRESS_MAP" in help_text.replace("\n", " ")
    assert "--install-completion" in help_text


def test_address_in_use_is_reported():
    """Guards against a traceback when another process uses the address."""
    with socket.create_server(("127.0.0.1", 0)) as occupied:
        address = f"127.0.0.1:{occupied.getsockname()[1]}"
        for setting in ADDRESSES:
            result = run(
                **REQUIRED, **{**dict(zip(ADDRESSES, free_addresses(3), strict=True)), setting: address}
            )
            assert result.returncode == 1
            assert address in result.stderr
            assert "Traceback" not in result.stderr


def test_all_problems_are_reported_at_once():
    """Guards against error messages that report only the first invalid setting."""
    with pytest.raises(ConfigurationError) as caught:
        RouterSettings(host_id="", data_centre="", policy=PolicySettings(maximum_attempts=0))
    assert len(caught.value.problems) == 3


def test_address_map():
    """Guards against a map that is not applied, or that changes other addresses."""
    settings = RouterSettings(host_id="a", data_centre="b", address_map=("127.0.0.1:1=127.0.0.1:2",))
    assert settings.mapped_address("127.0.0.1:1") == "127.0.0.1:2"
    assert settings.mapped_address("127.0.0.1:3") == "127.0.0.1:3"
