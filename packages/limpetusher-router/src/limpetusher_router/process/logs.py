"""Structured logs with one JSON object per line."""

import logging
import os
import select
import sys
from datetime import UTC, datetime

import msgspec

from limpetusher.clock import Clock
from limpetusher.events import Event
from limpetusher_router.connection.settings import ConnectionSettings

EVENT_LOGGER = logging.getLogger("limpetusher")
ROUTINE_EVENTS = frozenset({Event.REQUEST_SENT, Event.REQUEST_FINISHED})
MAXIMUM_LINES_PER_SECOND = 600
"""Takes about 3% of a core at 50 us per line."""
MAXIMUM_ROUTINE_LINES_PER_SECOND = 400
ESSENTIAL_EVENTS = frozenset({Event.CONFIGURATION_IN_FORCE, Event.CONFIGURATION_REFUSED})
"""Rare events by which operators follow a change of the whole fleet."""
RESERVED_LINES_PER_SECOND = 20
"""Lines about these events above the limit for all lines, so that a flood does not suppress them."""
MAXIMUM_LINE_BYTES = select.PIPE_BUF
RESERVED_FIELDS = frozenset({"time", "level", "router", "event", "message"})


class JsonFormatter(logging.Formatter):
    """Formats a record as JSON, with the event number and the fields if it is a log event.

    Parameters
    ----------
    host_id
        Name of this router, part of each line.
    """

    def __init__(self, host_id: str):
        super().__init__()
        self.host_id = host_id

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as one line of JSON."""
        line = {
            "time": datetime.fromtimestamp(record.created, UTC).isoformat(timespec="milliseconds"),
            "level": record.levelname.lower(),
            "router": self.host_id,
            "message": record.getMessage(),
        }
        event = getattr(record, "event", None)
        if event is not None:
            line["event"] = event.number
            for name, value in record.fields.items():
                line[name if name not in RESERVED_FIELDS else f"{name}_"] = value
        else:
            line["logger"] = record.name
        if record.exc_info:
            line["traceback"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line, enc_hook=str).decode()


def maximum_lines_per_second(event: Event | None) -> int:
    """Return the number of lines in a second from which on further ones about an event are dropped."""
    if event in ROUTINE_EVENTS:
        return MAXIMUM_ROUTINE_LINES_PER_SECOND
    if event in ESSENTIAL_EVENTS:
        return MAXIMUM_LINES_PER_SECOND + RESERVED_LINES_PER_SECOND
    return MAXIMUM_LINES_PER_SECOND


class NonBlockingHandler(logging.Handler):
    """Writes lines to a file descriptor without blocking, and limits their number per second.

    Lines about successful requests have a lower limit, so they are dropped first. The number of dropped lines
    is logged.

    Parameters
    ----------
    descriptor
        Open file descriptor, such as that of standard output.
    clock
        Source of time.
    """

    def __init__(self, descriptor: int, *, clock: Clock):
        super().__init__()
        self.descriptor = descriptor
        self.clock = clock
        self.poller = select.poll()
        self.poller.register(descriptor, select.POLLOUT)
        self.second = 0
        self.written_this_second = 0
        self.dropped_since_report = 0
        self.dropped_total = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or count it as dropped."""
        second = int(self.clock.monotonic())
        if second != self.second:
            self.second, self.written_this_second = second, 0
            if self.dropped_since_report:
                self.write_dropped_count()
        limit = maximum_lines_per_second(getattr(record, "event", None))
        if self.written_this_second >= limit or not self.write_line(self.format(record)):
            self.dropped_since_report += 1
            self.dropped_total += 1

    def write_line(self, line: str) -> bool:
        """Write a line unless that would block, and return whether it was written.

        A pipe that is ready for writing accepts up to PIPE_BUF bytes without blocking.
        """
        data = line.encode()[: MAXIMUM_LINE_BYTES - 1] + b"\n"
        if not self.poller.poll(0):
            return False
        try:
            os.write(self.descriptor, data)
        except OSError:
            # The reader closed the pipe. The error can not be logged anywhere, so the lines are only counted.
            return False
        self.written_this_second += 1
        return True

    def write_dropped_count(self) -> None:
        """Write the number of dropped lines."""
        event = Event.LOG_LINES_DROPPED
        record = logging.LogRecord("limpetusher", event.level, __file__, 0, event.text, None, None)
        record.event = event
        record.fields = {"lines": self.dropped_since_report, "total": self.dropped_total}
        if self.write_line(self.format(record)):
            self.dropped_since_report = 0


def set_up_nonblocking_logging(settings: ConnectionSettings, *, clock: Clock) -> None:
    """Write log lines of the configured level and above to standard output, without blocking."""
    output = NonBlockingHandler(sys.stdout.fileno(), clock=clock)
    output.setFormatter(JsonFormatter(settings.host_id))
    logging.basicConfig(level=settings.log_level.upper(), handlers=[output], force=True)


def set_up_logging(settings: ConnectionSettings) -> None:
    """Write log lines of the configured level and above to standard error."""
    output = logging.StreamHandler(sys.stderr)
    output.setFormatter(JsonFormatter(settings.host_id))
    logging.basicConfig(level=settings.log_level.upper(), handlers=[output], force=True)


def log_event(event: Event, **fields: object) -> None:
    """Write a numbered log event with its fields."""
    EVENT_LOGGER.log(event.level, event.text, extra={"event": event, "fields": fields})
