"""Structured logs: one JSON object a line on standard error."""

import logging
import sys
from datetime import UTC, datetime

import msgspec

from limpetusher.events import Event
from limpetusher_router.settings import RouterSettings

EVENT_LOGGER = logging.getLogger("limpetusher")
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


def set_up_logging(settings: RouterSettings) -> None:
    """Write log lines of at least the set level to standard error."""
    output = logging.StreamHandler(sys.stderr)
    output.setFormatter(JsonFormatter(settings.host_id))
    logging.basicConfig(level=settings.log_level.upper(), handlers=[output], force=True)


def log_event(event: Event, **fields: object) -> None:
    """Write a numbered log event with its fields."""
    EVENT_LOGGER.log(event.level, event.text, extra={"event": event, "fields": fields})
