"""Settings file of a router host. `deploy/settings.json.template` uses the same field names."""

import os
from pathlib import Path
from typing import Annotated

import msgspec

from limpetusher.errors import ConfigurationError
from limpetusher.fleet.process.load_shedding import LoadSheddingSettings

SETTINGS_FILE_VARIABLE = "LIMPETUSHER_NODE_FILE"
METRICS_PORT = 9464
"""Port of the metrics page, as in `deploy/system.toml`."""


class Bounds(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of the deployment. `retry_extra` is a number of requests."""

    retry_ratio: float
    retry_extra: float
    retry_window_seconds: float
    stop_grace_seconds: float


class HostSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one router host. Addresses are `ip:port`.

    `internal_ports` are the first and the last port of the range for messages between routers. `seeds` are
    addresses of some routers of the fleet; their port is not used for messages between routers. The router
    may use `processor_share` of a core, which is `processor_speed` times as fast as a standard core. Targets
    renew their entries in the store every `target_heartbeat_milliseconds`. A process that takes more than
    `memory_megabytes` is killed by the platform. `is_first_start` tells that the whole fleet starts for the
    first time, so that no request was sent before. The store knows its changes of the last
    `store_history_seconds`.
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
    target_heartbeat_milliseconds: float = 1_200.0
    processor_share: float = 1.0
    processor_speed: float = 1.0
    metrics_port: int = METRICS_PORT
    memory_megabytes: Annotated[float, msgspec.Meta(gt=0)] = 150.0
    is_first_start: bool = False
    store_history_seconds: float = 20.0
    load_shedding: LoadSheddingSettings = LoadSheddingSettings()

    @property
    def datagram_port(self) -> int:
        """Return the UDP port for datagrams between routers."""
        return self.internal_ports[0]

    @property
    def processor_cores(self) -> float:
        """Return the processor time available to the router, in seconds of a standard core per second."""
        return self.processor_share * self.processor_speed

    @property
    def store_copy_port(self) -> int:
        """Return the TCP port on which a router serves its copy of the store."""
        return self.internal_ports[0] + 1


def settings_path() -> Path:
    """Return the path of the settings file.

    Raises
    ------
    ConfigurationError
        If the environment variable is not set.
    """
    path = os.environ.get(SETTINGS_FILE_VARIABLE)
    if not path:
        raise ConfigurationError(
            [f"environment variable {SETTINGS_FILE_VARIABLE} is not set; a path is required"]
        )
    return Path(path)


def read_settings(path: Path) -> HostSettings:
    """Read the settings from a file.

    Raises
    ------
    ConfigurationError
        If the file can't be read or is malformed.
    """
    try:
        return msgspec.json.decode(path.read_bytes(), type=HostSettings)
    except OSError as error:
        raise ConfigurationError([f"settings file {path} can't be read: {error.strerror}"]) from error
    except msgspec.DecodeError as error:
        raise ConfigurationError([f"settings file {path}: {error}"]) from error
