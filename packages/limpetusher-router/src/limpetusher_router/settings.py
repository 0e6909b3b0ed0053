"""Settings of the router process, read from flags and environment variables and validated together."""

import os
import re
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated
from urllib.parse import urlsplit

from cyclopts import Parameter

from limpetusher.core.settings import PolicySettings
from limpetusher.errors import ConfigurationError
from limpetusher_router.connection.settings import (
    ENVIRONMENT_PREFIX,
    ConnectionSettings,
    is_address,
    listener_problems,
    range_problems,
    setting_problem,
)

PEER_KEY_VARIABLE = ENVIRONMENT_PREFIX + "PEER_KEY"
PEER_KEY_MINIMUM_BYTES = 16
PEER_KEY_MAXIMUM_BYTES = 64
ZERO_ALLOWED_SETTINGS = frozenset(
    {"retry_ratio", "retry_burst", "kept_answer_bytes", "demand_spread_seconds"}
)


def split_list_value(type_: object, value: str, *, delimiter: str | None = None) -> list[str]:
    """Split the value of an environment variable at commas and white space."""
    return [entry for entry in re.split(r"[,\s]+", value) if entry]


StringList = Annotated[tuple[str, ...], Parameter(env_var_split=split_list_value, negative="")]


@Parameter(name="*")
@dataclass(frozen=True, slots=True, kw_only=True)
class RouterSettings(ConnectionSettings):
    """Settings of one router process, in addition to the connection settings.

    Parameters
    ----------
    peer_address
        Address on which the router receives messages from other routers.
    admin_address
        Address of the admin server.
    platform_urls
        Base URLs of the platform's configuration service and host list, tried in order.
    peer_key_file
        File with the key that authenticates messages between routers. Without a file, the key is read from
        the environment variable LIMPETUSHER_PEER_KEY.
    watch_wait_seconds
        Longest time for which the platform may hold a configuration long poll open.
    host_poll_seconds
        Interval between reads of the host list.
    load_poll_seconds
        Interval between reads of the load report of an owned target.
    trace_output
        Whether trace spans are written to the log.
    policy
        Constants of the decision policy.
    """

    peer_address: str = "127.0.0.1:8081"
    admin_address: str = "127.0.0.1:8082"
    platform_urls: StringList = ("http://127.0.0.1:8090",)
    peer_key_file: Path | None = None
    address_map: StringList = ()
    watch_wait_seconds: float = 10.0
    host_poll_seconds: float = 1.0
    load_poll_seconds: float = 0.25
    trace_output: bool = False
    policy: Annotated[PolicySettings, Parameter(name="*")] = field(default_factory=PolicySettings)

    def address_problems(self) -> list[str]:
        """Return the validation errors of addresses and URLs."""
        problems = ConnectionSettings.address_problems(self)
        problems += listener_problems(self, ("peer_address", "admin_address"))
        if not self.platform_urls:
            problems.append(setting_problem("platform_urls", "", "at least one URL http://ip:port"))
        for url in self.platform_urls:
            parts = urlsplit(url)
            if parts.scheme != "http" or not is_address(parts.netloc) or parts.path not in ("", "/"):
                problems.append(setting_problem("platform_urls", url, "URLs http://ip:port"))
        return problems

    def number_problems(self) -> list[str]:
        """Return the validation errors of sizes, times and policy constants."""
        problems = ConnectionSettings.number_problems(self)
        return problems + range_problems(self.policy, zero_allowed=ZERO_ALLOWED_SETTINGS)

    def read_peer_key(self) -> bytes:
        """Return the key that authenticates messages between routers.

        Raises
        ------
        ConfigurationError
            If the key is missing, can't be read or has an invalid length.
        """
        if self.peer_key_file is None:
            source, key = "peer_key", os.environ.get(PEER_KEY_VARIABLE, "").encode()
        else:
            source = "peer_key_file"
            try:
                key = self.peer_key_file.read_bytes().strip()
            except OSError as error:
                reason = f"a readable file ({error.strerror})"
                raise ConfigurationError([setting_problem(source, self.peer_key_file, reason)]) from error
        if not PEER_KEY_MINIMUM_BYTES <= len(key) <= PEER_KEY_MAXIMUM_BYTES:
            allowed = f"{PEER_KEY_MINIMUM_BYTES} to {PEER_KEY_MAXIMUM_BYTES} bytes"
            raise ConfigurationError([setting_problem(source, f"{len(key)} bytes", allowed)])
        return key
