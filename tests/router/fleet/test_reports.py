"""Tests of the reports of engines."""

import pytest

from limpetusher_router.platform.reports import decode_start_time


@pytest.mark.parametrize(
    ("body", "start_time"),
    [
        (b'{"stage":"both","born":1764000000123}', 1_764_000_000_123),
        (b'{"stage":"both"}', 0),
        (b'{"born":"soon"}', 0),
        (b"[]", 0),
        (b"<html>", 0),
        (b"\xff", 0),
    ],
)
def test_start_time_is_read_from_reports_that_tell_it(body, start_time):
    """Guards against errors of the router, or a wrong start time, after a report of an unexpected form."""
    assert decode_start_time(body) == start_time
