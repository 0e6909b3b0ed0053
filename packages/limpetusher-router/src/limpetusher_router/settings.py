"""Settings of the router process: one validated object, filled from flags and environment variables."""

import enum
import ipaddress
import os
import re
from dataclasses import dataclass, field, fields
from pathlib import Path
from typing import Annotated
from urllib.parse import urlsplit

from cyclopts import Parameter

from limpetusher.core.settings import PolicySettings
from limpetusher.errors import ConfigurationError

ENVIRONMENT_PREFIX = "LIMPETUSHER_"
PEER_KEY_VARIABLE = ENVIRONMENT_PREFIX + "PEER_KEY"
PEER_KEY_MINIMUM_BYTES = 16
PEER_KEY_MAXIMUM_BYTES = 64
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
ZERO_ALLOWED = frozenset({"retry_ratio", "retry_burst", "kept_answer_bytes", "demand_spread_seconds"})
LEAST_HEADER_BYTES = 256


class LogLevel(enum.StrEnum):
    """Least level of the log lines that are written."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


def split_variable(type_: object, value: str, *, delimiter: str | None = None) -> list[str]:
    """Split the value of an environment variable that holds several entries."""
    return [entry for entry in re.split(r"[,\s]+", value) if entry]


Entries = Annotated[tuple[str, ...], Parameter(env_var_split=split_variable, negative="")]


@Parameter(name="*")
@dataclass(frozen=True, slots=True, kw_only=True)
class RouterSettings:
    """Settings of one router process. Addresses are `ip:port`; times are seconds, sizes bytes.

    Parameters
    ----------
    host_id
        Name of this router in the host list.
    data_centre
        Name of this router's data centre.
    caller_address
        Address on which callers' requests are accepted.
    peer_address
        Address on which messages of other routers are received.
    admin_address
        Address of the admin server.
    platform_urls
        Base URLs of the platform's configuration service and host list, tried in order.
    peer_key_file
        File with the key that authenticates messages between routers; LIMPETUSHER_PEER_KEY holds the key
        itself.
    address_map
        Entries `from=to` that replace the address of a peer, target or platform service.
    max_header_bytes
        Largest request head accepted from a caller, and answer head accepted from a target.
    max_body_bytes
        Largest request body accepted from a caller.
    header_timeout_seconds
        Time that a caller has to send a request head.
    idle_timeout_seconds
        Time that a caller's connection may be idle between requests or within a body.
    caller_buffer_bytes
        Bytes of an answer that are kept for a slow caller before reading from the target stops.
    max_caller_connections
        Largest number of open caller connections; above it, idle connections are closed first.
    connect_timeout_seconds
        Time for connecting to a target or to the platform.
    target_idle_timeout_seconds
        Time that a target may be silent while it answers. A plain answer is silent until it is whole. Hosts
        that have gone are noticed earlier, by TCP keep-alive.
    watch_wait_seconds
        Time that the platform holds a configuration watch open.
    host_poll_seconds
        Time between two reads of the host list.
    load_poll_seconds
        Time between two reads of the load of an owned target.
    trace_output
        Whether spans are written to the log.
    log_level
        Least level of the log lines that are written.
    policy
        Constants of the decision policy.
    """

    host_id: str
    data_centre: str
    caller_address: str = "127.0.0.1:8080"
    peer_address: str = "127.0.0.1:8081"
    admin_address: str = "127.0.0.1:8082"
    platform_urls: Entries = ("http://127.0.0.1:8090",)
    peer_key_file: Path | None = None
    address_map: Entries = ()
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_seconds: float = 10.0
    idle_timeout_seconds: float = 60.0
    caller_buffer_bytes: int = 262_144
    max_caller_connections: int = 4_000
    connect_timeout_seconds: float = 1.0
    target_idle_timeout_seconds: float = 600.0
    watch_wait_seconds: float = 10.0
    host_poll_seconds: float = 1.0
    load_poll_seconds: float = 0.25
    trace_output: bool = False
    log_level: LogLevel = LogLevel.INFO
    policy: Annotated[PolicySettings, Parameter(name="*")] = field(default_factory=PolicySettings)

    def __post_init__(self):
        problems = [*self.name_problems(), *self.address_problems(), *self.number_problems()]
        if problems:
            raise ConfigurationError(problems)

    def name_problems(self) -> list[str]:
        """Return the problems of the settings that are names."""
        allowed = "a letter or digit, then up to 62 letters, digits, dots, dashes or underscores"
        return [
            problem(name, getattr(self, name), allowed)
            for name in ("host_id", "data_centre")
            if not NAME_PATTERN.fullmatch(getattr(self, name))
        ]

    def address_problems(self) -> list[str]:
        """Return the problems of addresses and URLs."""
        problems = [
            problem(name, getattr(self, name), "an address `ip:port` with a port from 1 to 65535")
            for name in ("caller_address", "peer_address", "admin_address")
            if not is_address(getattr(self, name))
        ]
        if not self.platform_urls:
            problems.append(problem("platform_urls", "", "at least one URL http://ip:port"))
        for url in self.platform_urls:
            parts = urlsplit(url)
            if parts.scheme != "http" or not is_address(parts.netloc) or parts.path not in ("", "/"):
                problems.append(problem("platform_urls", url, "URLs http://ip:port"))
        for entry in self.address_map:
            origin, _, replacement = entry.partition("=")
            if not (is_address(origin) and is_address(replacement)):
                problems.append(problem("address_map", entry, "entries ip:port=ip:port"))
        return problems

    def number_problems(self) -> list[str]:
        """Return the problems of sizes, times and policy constants."""
        problems = []
        for holder in (self, self.policy):
            for name in (entry.name for entry in fields(holder)):
                value = getattr(holder, name)
                if isinstance(value, bool) or not isinstance(value, (int, float)):
                    continue
                if name in ZERO_ALLOWED and not 0 <= value < float("inf"):
                    problems.append(problem(name, value, "a number of at least 0"))
                elif name not in ZERO_ALLOWED and not 0 < value < float("inf"):
                    problems.append(problem(name, value, "a number greater than 0"))
        if 0 < self.max_header_bytes < LEAST_HEADER_BYTES:
            problems.append(
                problem("max_header_bytes", self.max_header_bytes, f"{LEAST_HEADER_BYTES} or more")
            )
        return problems

    @property
    def replaced_addresses(self) -> dict[str, str]:
        """Return the address map as a dictionary."""
        return dict(entry.split("=", 1) for entry in self.address_map)

    def reach(self, address: str) -> str:
        """Return the address to connect to in order to reach `address`."""
        return self.replaced_addresses.get(address, address)

    def read_peer_key(self) -> bytes:
        """Return the key that authenticates messages between routers.

        Raises
        ------
        ConfigurationError
            If there is no key, or the key can't be read or has the wrong length.
        """
        if self.peer_key_file is None:
            source, key = "peer_key", os.environ.get(PEER_KEY_VARIABLE, "").encode()
        else:
            source = "peer_key_file"
            try:
                key = self.peer_key_file.read_bytes().strip()
            except OSError as error:
                reason = f"a readable file ({error.strerror})"
                raise ConfigurationError([problem(source, self.peer_key_file, reason)]) from error
        if not PEER_KEY_MINIMUM_BYTES <= len(key) <= PEER_KEY_MAXIMUM_BYTES:
            allowed = f"{PEER_KEY_MINIMUM_BYTES} to {PEER_KEY_MAXIMUM_BYTES} bytes"
            raise ConfigurationError([problem(source, f"{len(key)} bytes", allowed)])
        return key


def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and the port of `ip:port`."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def is_address(address: str) -> bool:
    """Return whether `address` is an IPv4 address with a port."""
    host, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return port.isascii() and port.isdigit() and 0 < int(port) < 65_536


def problem(name: str, value: object, allowed: str) -> str:
    """Return one line that names a setting, its value and what is allowed."""
    flag = "--" + name.replace("_", "-")
    return f"setting {flag} ({ENVIRONMENT_PREFIX}{name.upper()}) is {str(value)!r}; allowed: {allowed}"
