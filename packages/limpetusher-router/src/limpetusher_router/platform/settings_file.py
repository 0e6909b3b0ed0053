"""Settings file of a router host. `deploy/settings.json.template` writes it under the names used here."""

import os
from pathlib import Path

import msgspec

from limpetusher.errors import ConfigurationError

FILE_VARIABLE = "LIMPETUSHER_NODE_FILE"
METRICS_PORT = 9464
"""Port of the metrics page that `deploy/system.toml` names."""


class Bounds(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds of the deployment. `retry_extra` is a number of requests, times are in the unit of the name."""

    retry_ratio: float
    retry_extra: float
    retry_window_seconds: float
    stop_grace_seconds: float


class HostSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one router host. Addresses are `ip:port`.

    `internal_ports` are the first and the last port that are free for messages between routers. `seeds` are
    addresses of some routers of the fleet, with a port that is not used between routers. The host has
    `processor_share` of a core that is `processor_speed` times as fast as others.
    """

    host_id: str
    data_centre: str
    ip: str
    caller_address: str
    ready_address: str
    internal_ports: tuple[int, int]
    seeds: tuple[str, ...]
    store_address: str
    maximum_descriptors: int
    bounds: Bounds
    processor_share: float = 1.0
    processor_speed: float = 1.0
    metrics_port: int = METRICS_PORT

    @property
    def datagram_port(self) -> int:
        """Return the UDP port for datagrams between routers."""
        return self.internal_ports[0]

    @property
    def processor_cores(self) -> float:
        """Return the processor time that the router may use, in seconds a second."""
        return self.processor_share * self.processor_speed

    @property
    def copy_port(self) -> int:
        """Return the TCP port on which a router hands out its copy of the store."""
        return self.internal_ports[0] + 1


def settings_path() -> Path:
    """Return the path of the settings file.

    Raises
    ------
    ConfigurationError
        If the environment does not name it.
    """
    path = os.environ.get(FILE_VARIABLE)
    if not path:
        raise ConfigurationError([f"environment variable {FILE_VARIABLE} is not set; a path is required"])
    return Path(path)


def read_settings(path: Path) -> HostSettings:
    """Return the settings in a file.

    Raises
    ------
    ConfigurationError
        If the file can't be read or does not hold the settings.
    """
    try:
        return msgspec.json.decode(path.read_bytes(), type=HostSettings)
    except OSError as error:
        raise ConfigurationError([f"settings file {path} can't be read: {error.strerror}"]) from error
    except msgspec.DecodeError as error:
        raise ConfigurationError([f"settings file {path}: {error}"]) from error
