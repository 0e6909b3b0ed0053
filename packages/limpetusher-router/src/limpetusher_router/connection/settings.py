"""Settings of the ports and connections that all kinds of router process share."""

import enum
import ipaddress
import re
from dataclasses import dataclass, fields

from limpetusher.errors import ConfigurationError

ENVIRONMENT_PREFIX = "LIMPETUSHER_"
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
MINIMUM_HEADER_BYTES = 256


class LogLevel(enum.StrEnum):
    """Minimum level of the log lines that are written."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionSettings:
    """Settings of ports and connections. Addresses are `ip:port`, times are in seconds, sizes in bytes.

    Parameters
    ----------
    host_id
        Name of this router in the host list.
    data_centre
        Name of this router's data centre.
    caller_address
        Address on which callers' requests are accepted.
    address_map
        Entries `from=to` that replace the address of a peer, target or platform service when connecting.
    max_header_bytes
        Largest request head accepted from a caller, and answer head accepted from a target.
    max_body_bytes
        Largest request body accepted from a caller.
    max_held_body_bytes
        Bytes of request bodies that the process holds at a time, over all connections. Large bodies may fill
        three quarters of it.
    header_timeout_seconds
        Time that a caller has to send a request head.
    idle_timeout_seconds
        Time that a caller's connection may be idle between requests or while it sends a body.
    caller_buffer_bytes
        Bytes of an answer that are buffered for a slow caller before reading from the target stops.
    max_caller_connections
        Maximum number of open caller connections; idle ones are closed to accept further callers.
    max_descriptors
        Limit of the open file descriptors of the process, of which callers get those that are left by the
        connections to targets. None if it is not known.
    connect_timeout_seconds
        Time for connecting to a target or to the platform.
    target_idle_timeout_seconds
        Time that a target may send nothing during an exchange. A plain answer may arrive only when complete,
        so this has to cover its run time. TCP keep-alive detects lost hosts earlier.
    log_level
        Minimum level of the log lines that are written.
    """

    host_id: str
    data_centre: str
    caller_address: str = "127.0.0.1:8080"
    address_map: tuple[str, ...] = ()
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    max_held_body_bytes: int = 67_108_864
    header_timeout_seconds: float = 10.0
    idle_timeout_seconds: float = 60.0
    caller_buffer_bytes: int = 262_144
    max_caller_connections: int = 4_000
    max_descriptors: int | None = None
    connect_timeout_seconds: float = 1.0
    target_idle_timeout_seconds: float = 600.0
    log_level: LogLevel = LogLevel.INFO

    def __post_init__(self):
        problems = [*self.name_problems(), *self.address_problems(), *self.number_problems()]
        if problems:
            raise ConfigurationError(problems)

    def name_problems(self) -> list[str]:
        """Return the problems of the names."""
        allowed = "a letter or digit, then up to 62 letters, digits, dots, dashes or underscores"
        return [
            setting_problem(name, getattr(self, name), allowed)
            for name in ("host_id", "data_centre")
            if not NAME_PATTERN.fullmatch(getattr(self, name))
        ]

    def address_problems(self) -> list[str]:
        """Return the problems of the addresses."""
        problems = listener_problems(self, ("caller_address",))
        for entry in self.address_map:
            origin, _, replacement = entry.partition("=")
            if not (is_address(origin) and is_address(replacement)):
                problems.append(setting_problem("address_map", entry, "entries ip:port=ip:port"))
        return problems

    def number_problems(self) -> list[str]:
        """Return the problems of the sizes and times."""
        problems = range_problems(self)
        if 0 < self.max_header_bytes < MINIMUM_HEADER_BYTES:
            problems.append(
                setting_problem("max_header_bytes", self.max_header_bytes, f"{MINIMUM_HEADER_BYTES} or more")
            )
        return problems

    @property
    def replaced_addresses(self) -> dict[str, str]:
        """Return the address map as a dictionary."""
        return dict(entry.split("=", 1) for entry in self.address_map)

    def mapped_address(self, address: str) -> str:
        """Return the address to connect to for `address`, as given by the address map."""
        return self.replaced_addresses.get(address, address)


def listener_problems(settings: object, names: tuple[str, ...]) -> list[str]:
    """Return the problems of addresses on which a process listens."""
    return [
        setting_problem(name, getattr(settings, name), "an address `ip:port` with a port from 1 to 65535")
        for name in names
        if not is_address(getattr(settings, name))
    ]


def range_problems(settings: object, *, zero_allowed: frozenset[str] = frozenset()) -> list[str]:
    """Return the problems of the numeric fields of a settings object.

    Numbers have to be positive and finite; those in `zero_allowed` may also be 0.
    """
    problems = []
    for name in (entry.name for entry in fields(settings)):
        value = getattr(settings, name)
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            continue
        if name in zero_allowed and not 0 <= value < float("inf"):
            problems.append(setting_problem(name, value, "a number of at least 0"))
        elif name not in zero_allowed and not 0 < value < float("inf"):
            problems.append(setting_problem(name, value, "a number greater than 0"))
    return problems


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


def setting_problem(name: str, value: object, allowed: str) -> str:
    """Return a message that names a setting, its value and the allowed values."""
    flag = "--" + name.replace("_", "-")
    return f"setting {flag} ({ENVIRONMENT_PREFIX}{name.upper()}) is {str(value)!r}; allowed: {allowed}"
