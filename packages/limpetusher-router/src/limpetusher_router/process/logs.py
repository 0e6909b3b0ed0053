"""Structured logs: one JSON object a line on standard error."""

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
LINES_PER_SECOND = 600
"""About 3% of a core at 50 us a line."""
ROUTINE_LINES_PER_SECOND = 400
LINE_BYTES = select.PIPE_BUF
RESERVED_FIELDS = frozenset({"time", "level", "router", "event", "message"})


class JsonFormatter(logging.Formatter):
    """Formats a record, with the number and the fields of a log event where it is one.

    Parameters
    ----------
    host_id
        Name of this router, written in each line.
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


class BoundedOutput(logging.Handler):
    """Writes lines to a descriptor without ever waiting, and a bounded number of them in a second.

    Lines of a request that went well are dropped first; what was dropped is counted and told in a line.

    Parameters
    ----------
    descriptor
        Open descriptor, such as that of standard output.
    clock
        Source of time.
    """

    def __init__(self, descriptor: int, *, clock: Clock):
        super().__init__()
        self.descriptor = descriptor
        self.clock = clock
        self.poll = select.poll()
        self.poll.register(descriptor, select.POLLOUT)
        self.second = 0
        self.written = 0
        self.dropped = 0
        self.dropped_total = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or count it as dropped."""
        second = int(self.clock.monotonic())
        if second != self.second:
            self.second, self.written = second, 0
            if self.dropped:
                self.tell_dropped()
        routine = getattr(record, "event", None) in ROUTINE_EVENTS
        limit = ROUTINE_LINES_PER_SECOND if routine else LINES_PER_SECOND
        if self.written >= limit or not self.write(self.format(record)):
            self.dropped += 1
            self.dropped_total += 1

    def write(self, line: str) -> bool:
        """Write a line if there is room; a pipe that is ready takes a line of this length at once."""
        data = line.encode()[: LINE_BYTES - 1] + b"\n"
        if not self.poll.poll(0):
            return False
        try:
            os.write(self.descriptor, data)
        except OSError:
            # The reader has gone; there is nowhere to tell it, so the lines are only counted.
            return False
        self.written += 1
        return True

    def tell_dropped(self) -> None:
        """Write how many lines were dropped."""
        event = Event.LOG_LINES_DROPPED
        record = logging.LogRecord("limpetusher", event.level, __file__, 0, event.text, None, None)
        record.event = event
        record.fields = {"lines": self.dropped, "total": self.dropped_total}
        if self.write(self.format(record)):
            self.dropped = 0


def set_up_bounded_logging(settings: ConnectionSettings, *, clock: Clock) -> None:
    """Write log lines of at least the set level to standard output, without ever waiting for its reader."""
    output = BoundedOutput(sys.stdout.fileno(), clock=clock)
    output.setFormatter(JsonFormatter(settings.host_id))
    logging.basicConfig(level=settings.log_level.upper(), handlers=[output], force=True)


def set_up_logging(settings: ConnectionSettings) -> None:
    """Write log lines of at least the set level to standard error."""
    output = logging.StreamHandler(sys.stderr)
    output.setFormatter(JsonFormatter(settings.host_id))
    logging.basicConfig(level=settings.log_level.upper(), handlers=[output], force=True)


def log_event(event: Event, **fields: object) -> None:
    """Write a numbered log event with its fields."""
    EVENT_LOGGER.log(event.level, event.text, extra={"event": event, "fields": fields})
