"""Framing of HTTP/1.1 messages: limits and checks that run before httptools' parser, and body readers."""

import re
from dataclasses import dataclass
from urllib.parse import urlsplit

import httptools

from limpetusher.core.refusals import RefusalCode
from limpetusher_router.errors import FramingError

HEAD_END = b"\r\n\r\n"
FIELD_PATTERN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t\x20-\x7e\x80-\xff]*")
REQUEST_LINE_PATTERN = re.compile(rb"([A-Z]{1,20}) ([\x21-\x7e]+) HTTP/1\.([01])")
STATUS_LINE_PATTERN = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9]{2})(?: [\t\x20-\x7e\x80-\xff]*)?")
SIMPLE_HEAD_PATTERN = re.compile(
    rb"([A-Z]{1,20}) ([\x21-\x7e]+) HTTP/1\.([01])\r\n"
    rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t\x20-\x7e\x80-\xff]*"
    rb"(?:\r\n[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t\x20-\x7e\x80-\xff]*)*)\r\n\r\n"
)
"""Head of a request with at least one header field; its groups are method, target, version and fields."""
PLACEHOLDER_START_LINE = b"GET / HTTP/1.1"
"""Start line that replaces the actual one, because httptools rejects methods that it does not know."""
LENGTH_PATTERN = re.compile(r"[0-9]{1,15}")
CHUNK_LINE_PATTERN = re.compile(rb"([0-9A-Fa-f]{1,12})[ \t]*(?:;[\t\x20-\x7e\x80-\xff]*)?")
KEEP_ALIVE_TIMEOUT_PATTERN = re.compile(r"\btimeout=([0-9]{1,6})")
CHUNK_LINE_LIMIT_BYTES = 256
TRAILER_LIMIT_BYTES = 8_192


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Head of a request. Header names are in lower case; `target` is the request target as it was sent."""

    method: str
    path: str
    query: str
    version: tuple[int, int]
    headers: dict[str, str]
    content_length: int
    chunked: bool
    keep_alive: bool
    target: str = ""
    arrived_at: float | None = None
    """Monotonic time at which the first bytes arrived at this host, None if it is not known."""

    @property
    def expects_continue(self) -> bool:
        """Return whether the caller waits for an interim answer before it sends the body."""
        return self.headers.get("expect", "").lower() == "100-continue" and self.version == (1, 1)


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Head of an answer. `content_length` is None where the head gives no length."""

    status: int
    headers: dict[str, str]
    content_length: int | None
    chunked: bool
    keep_alive: bool

    @property
    def keep_alive_seconds(self) -> float | None:
        """Return how long the sender keeps an idle connection open, None if it does not announce it."""
        match = KEEP_ALIVE_TIMEOUT_PATTERN.search(self.headers.get("keep-alive", ""))
        return float(match[1]) if match is not None else None

    @property
    def content_type(self) -> str:
        """Return the media type without parameters."""
        return self.headers.get("content-type", "").partition(";")[0].strip().lower()


def bad_request(message: str) -> FramingError:
    """Return the error for a malformed message."""
    return FramingError(400, RefusalCode.BAD_REQUEST, message)


def find_head_length(buffer: bytearray, limit: int) -> int | None:
    """Return the length of the head at the start of `buffer`, None when it is not complete.

    Raises
    ------
    FramingError
        If the head is longer than `limit` bytes.
    """
    end = buffer.find(HEAD_END, 0, limit)
    if end >= 0:
        return end + len(HEAD_END)
    if len(buffer) >= limit:
        message = f"the header fields are longer than {limit} bytes"
        raise FramingError(431, RefusalCode.HEADERS_TOO_LARGE, message)
    return None


def parse_request_head(data: bytes, arrived_at: float | None = None) -> RequestHead:
    """Return the parsed head of a request whose first bytes arrived at a monotonic time.

    Raises
    ------
    FramingError
        If the head is malformed or its body length is ambiguous.
    """
    line, _, rest = data.partition(b"\r\n")
    match = REQUEST_LINE_PATTERN.fullmatch(line)
    if match is None:
        raise bad_request("the request line is not of the form `METHOD PATH HTTP/1.1`")
    target = match[2].decode("ascii")
    try:
        url = urlsplit(target)
    except ValueError as error:
        raise bad_request("the request target can't be parsed") from error
    version = (1, int(match[3]))
    headers = parse_fields(rest)
    if version == (1, 1) and "host" not in headers:
        raise bad_request("the header field host is missing")
    length, chunked = parse_body_framing(headers)
    return RequestHead(
        method=match[1].decode("ascii"),
        path=url.path,
        query=url.query,
        version=version,
        headers=headers,
        content_length=length or 0,
        chunked=chunked,
        keep_alive=is_persistent(headers, version),
        target=target,
        arrived_at=arrived_at,
    )


def parse_answer_head(data: bytes) -> AnswerHead:
    """Return the parsed head of an answer.

    Raises
    ------
    FramingError
        If the head is malformed or its body length is ambiguous.
    """
    line, _, rest = data.partition(b"\r\n")
    match = STATUS_LINE_PATTERN.fullmatch(line)
    if match is None:
        raise bad_request("the status line is not of the form `HTTP/1.1 STATUS REASON`")
    headers = parse_fields(rest)
    length, chunked = parse_body_framing(headers)
    return AnswerHead(
        status=int(match[2]),
        headers=headers,
        content_length=length,
        chunked=chunked,
        keep_alive=is_persistent(headers, (1, int(match[1]))),
    )


def parse_single_request(data: bytes, limit: int) -> RequestHead | None:
    """Return the head of a request that is complete in `data`, None if it is not the only one or malformed.

    Only a request after which its caller sends no other one counts. The head is not checked as thoroughly as
    by `parse_request_head`, which takes twice the time, so the request must not be forwarded by this head.
    """
    match = SIMPLE_HEAD_PATTERN.match(data, 0, limit)
    if match is None:
        return None
    lines = match[4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip(" \t")
    length = headers.get("content-length", "0")
    version = (1, int(match[3]))
    if (
        len(headers) < len(lines)
        or "transfer-encoding" in headers
        or "host" not in headers
        or not LENGTH_PATTERN.fullmatch(length)
        or len(data) != match.end() + int(length)
        or is_persistent(headers, version)
    ):
        return None
    target = match[2].decode("ascii")
    path, _, query = target.partition("?")
    return RequestHead(
        method=match[1].decode("ascii"),
        path=path,
        query=query,
        version=version,
        headers=headers,
        content_length=int(length),
        chunked=False,
        keep_alive=False,
        target=target,
    )


class HeaderFieldCollector:
    """Collects header fields by name in lower case; repeated ones are joined by commas."""

    def __init__(self):
        self.fields: dict[str, str] = {}
        self.is_complete = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header field; called by the parser."""
        key = name.decode("latin-1").lower()
        text = value.strip(b" \t").decode("latin-1")
        self.fields[key] = f"{self.fields[key]}, {text}" if key in self.fields else text

    def on_headers_complete(self) -> None:
        """Record that the head is complete; called by the parser."""
        self.is_complete = True


def parse_fields(data: bytes) -> dict[str, str]:
    """Return the header fields of a head whose start line is left out."""
    for line in data[: -len(HEAD_END)].split(b"\r\n"):
        if line and not FIELD_PATTERN.fullmatch(line):
            raise bad_request("a header field is not of the form `name: value`")
    reader = HeaderFieldCollector()
    try:
        httptools.HttpRequestParser(reader).feed_data(b"%b\r\n%b" % (PLACEHOLDER_START_LINE, data))
    except httptools.HttpParserUpgrade:
        # Raised after a complete head that offers a protocol upgrade; the offer is ignored.
        pass
    except httptools.HttpParserError as error:
        raise bad_request("the head can't be parsed") from error
    if not reader.is_complete:
        raise bad_request("the head can't be parsed")
    return reader.fields


def parse_body_framing(headers: dict[str, str]) -> tuple[int | None, bool]:
    """Return the value of Content-Length, None when it is absent, and whether the body is chunked.

    Raises
    ------
    FramingError
        If Content-Length is not one number or contradicts Transfer-Encoding.
    """
    length = headers.get("content-length")
    coding = headers.get("transfer-encoding")
    if coding is not None:
        if length is not None:
            raise bad_request("content-length and transfer-encoding exclude each other")
        if coding.strip().lower() != "chunked":
            raise bad_request("the transfer-encoding is not chunked")
        return None, True
    if length is None:
        return None, False
    if not LENGTH_PATTERN.fullmatch(length):
        raise bad_request("content-length is not one number of up to 15 digits")
    return int(length), False


def is_persistent(headers: dict[str, str], version: tuple[int, int]) -> bool:
    """Return whether the connection stays open after the message."""
    options = {option.strip().lower() for option in headers.get("connection", "").split(",")}
    if "close" in options:
        return False
    return version == (1, 1) or "keep-alive" in options


class BodyReader:
    """Splits incoming bytes into those of one body and those that follow it.

    Parameters
    ----------
    length
        Value of Content-Length; None when the body is chunked or ends with the connection.
    chunked
        Whether the body uses chunked transfer encoding.
    limit
        Maximum number of body bytes, None for no limit.
    """

    def __init__(self, *, length: int | None, chunked: bool = False, limit: int | None = None):
        self.chunked = chunked
        self.limit = limit
        self.remaining = length
        self.received_bytes = 0
        self.complete = not chunked and length == 0
        self.buffer = b""
        self.in_trailers = False
        self.trailer_bytes = 0
        if limit is not None and length is not None and length > limit:
            raise self.too_large()

    def too_large(self) -> FramingError:
        """Return the error for a body above the limit."""
        return FramingError(413, RefusalCode.BODY_TOO_LARGE, f"the body is longer than {self.limit} bytes")

    def count_received(self, count: int) -> None:
        """Count bytes of a body with a length that were read elsewhere, at most those that remain."""
        self.received_bytes += count
        self.remaining -= count
        self.complete = self.remaining == 0

    def feed(self, data: bytes) -> tuple[bytes, bytes]:
        """Return the body bytes in `data` and the bytes after the end of the body.

        Raises
        ------
        FramingError
            If a chunk is malformed or the body is too large.
        """
        if self.complete:
            return b"", data
        if self.chunked:
            body, rest = self.feed_chunks(data)
        elif self.remaining is None:
            body, rest = data, b""
        else:
            body, rest = data[: self.remaining], data[self.remaining :]
            self.remaining -= len(body)
            self.complete = self.remaining == 0
        self.received_bytes += len(body)
        if self.limit is not None and self.received_bytes > self.limit:
            raise self.too_large()
        return body, rest

    def feed_chunks(self, data: bytes) -> tuple[bytes, bytes]:
        """Decode chunks; `remaining` counts the unread bytes of the current chunk, including its line end."""
        data = self.buffer + data
        self.buffer = b""
        parts = []
        position = 0
        while position < len(data) and not self.complete:
            if self.in_trailers:
                position = self.skip_trailers(data, position)
            elif self.remaining:
                position = self.read_chunk_data(data, position, parts)
            else:
                position = self.read_chunk_size(data, position)
            if position < 0:
                return b"".join(parts), b""
        return b"".join(parts), data[position:]

    def read_chunk_size(self, data: bytes, position: int) -> int:
        """Parse a chunk size line and return the position after it, -1 when it is not complete."""
        end = data.find(b"\r\n", position, position + CHUNK_LINE_LIMIT_BYTES)
        if end < 0:
            if len(data) - position >= CHUNK_LINE_LIMIT_BYTES:
                raise bad_request("a chunk size line is too long")
            self.buffer = data[position:]
            return -1
        match = CHUNK_LINE_PATTERN.fullmatch(data, position, end)
        if match is None:
            raise bad_request("a chunk size is not a hexadecimal number of up to 12 digits")
        size = int(match[1], 16)
        if size == 0:
            self.in_trailers = True
        else:
            self.remaining = size + 2
            if self.limit is not None and self.received_bytes + size > self.limit:
                raise self.too_large()
        return end + 2

    def read_chunk_data(self, data: bytes, position: int, parts: list[bytes]) -> int:
        """Append bytes of the current chunk to `parts` and return the position after them."""
        taken = data[position : position + self.remaining]
        payload_length = max(0, self.remaining - 2)
        line_end = taken[payload_length:]
        expected = b"\r\n" if self.remaining >= 2 else b"\n"
        if line_end != expected[: len(line_end)]:
            raise bad_request("a chunk does not end with a line end")
        parts.append(taken[:payload_length])
        self.remaining -= len(taken)
        return position + len(taken)

    def skip_trailers(self, data: bytes, position: int) -> int:
        """Skip one line of the trailers and return the position after it, -1 when it is not complete."""
        end = data.find(b"\r\n", position)
        if end < 0 or end - position > TRAILER_LIMIT_BYTES:
            if len(data) - position > TRAILER_LIMIT_BYTES:
                raise bad_request("a trailer field is too long")
            self.buffer = data[position:]
            return -1
        self.complete = end == position
        self.trailer_bytes += end + 2 - position
        if self.trailer_bytes > TRAILER_LIMIT_BYTES:
            raise bad_request("the trailer fields are too long")
        return end + 2
