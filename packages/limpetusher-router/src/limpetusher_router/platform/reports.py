"""Reports of engines about themselves."""

import msgspec

from limpetusher_router.platform.documents import MALFORMED
from limpetusher_router.platform.store import get_request

REPORT_PATH = "/report"


class _Report(msgspec.Struct, frozen=True):
    born: int = 0


_decoder = msgspec.json.Decoder(_Report)


def report_request(address: str) -> bytes:
    """Return the request for the report of an engine."""
    return get_request(address, REPORT_PATH)


def decode_start_time(body: bytes) -> int:
    """Return when an engine started, in milliseconds of the wall clock, 0 if its report does not tell."""
    try:
        return _decoder.decode(body).born
    except MALFORMED:
        return 0
