"""Tests of the catalogue of log events."""

import logging
import re
from pathlib import Path

from limpetusher.events import Event

CATALOGUE = Path(__file__).parent.parent / "docs" / "log-events.md"
ROW = re.compile(r"^\| (\d+) \| (\w+) \| (.+?) \| (.+) \|$", re.MULTILINE)


def test_catalogue_lists_exactly_the_events():
    """Guards against undocumented events and against documentation of removed events."""
    listed = [row[:3] for row in ROW.findall(CATALOGUE.read_text(encoding="utf-8"))]
    expected = [(str(event.number), logging.getLevelName(event.level), event.text) for event in Event]
    assert listed == expected


def test_event_numbers_are_unique():
    """Guards against two events with the same number."""
    numbers = [event.number for event in Event]
    assert len(set(numbers)) == len(numbers)
