"""Tests of the parsing of message heads and of the body reader."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limpetusher_router.connection.framing import (
    BodyReader,
    find_head_length,
    parse_answer_head,
    parse_request_head,
    parse_single_request,
)
from limpetusher_router.errors import FramingError


def head(*lines: str, start: str = "POST /x HTTP/1.1") -> bytes:
    return "\r\n".join([start, "host: a", *lines, "", ""]).encode("latin-1")


@pytest.mark.parametrize(
    "data",
    [
        head("content-length: +5"),
        head("content-length: 1_0"),
        head("content-length: 5", "content-length: 6"),
        head("content-length: 5", "transfer-encoding: chunked"),
        head("transfer-encoding: gzip, chunked"),
        head("transfer-encoding : chunked"),
        head("x: a\nb: c"),
        head("x: a", " folded"),
        head("x\0: a"),
        head(start="GET /x HTTP/2.0"),
        head(start="get /x HTTP/1.1"),
        head(start="GET /a b HTTP/1.1"),
        head(start="GET //[ HTTP/1.1"),
        b"GET / HTTP/1.1\r\n\r\n",
    ],
)
def test_ambiguous_heads_are_refused(data):
    """Guards against request smuggling by heads that two parsers may frame differently."""
    with pytest.raises(FramingError) as caught:
        parse_request_head(data)
    assert caught.value.status == 400


def test_backslash_in_header_is_not_a_line_end():
    r"""Guards against a parser that decodes escapes, which turns the text `\r\n` into a line end."""
    parsed = parse_request_head(head(r"x: a\r\nforged: 1\x41", "content-length: 3"))
    assert parsed.headers["x"] == r"a\r\nforged: 1\x41"
    assert "forged" not in parsed.headers
    assert parsed.content_length == 3


@pytest.mark.parametrize(
    "status", ["000", "099", "600", "999", "20", "2000", "-200", "+20", "0x2", "2OO", " 200", "200,200", ""]
)
def test_answer_heads_with_an_invalid_status(status):
    """Guards against statuses outside 100 to 599 and malformed ones, wherever an answer is read."""
    with pytest.raises(FramingError):
        parse_answer_head(f"HTTP/1.1 {status} OK\r\ncontent-length: 1\r\n\r\n".encode())


def test_answer_heads_with_any_reason():
    """Guards against rejecting unusual reason phrases such as "I'm a teapot", and missing ones."""
    for line in ("HTTP/1.1 418 I'm a teapot", "HTTP/1.1 418", "HTTP/1.1 418 "):
        assert parse_answer_head(f"{line}\r\ncontent-length: 1\r\n\r\n".encode()).status == 418


@pytest.mark.parametrize("method", ["PURGE", "CONNECT", "PRI", "X"])
def test_methods_are_not_restricted(method):
    """Guards against rejecting methods that httptools does not know, or that change the protocol."""
    lines = ("upgrade: x", "connection: upgrade", "Content-Length: 3", "Accept: a", "accept:\t b ")
    parsed = parse_request_head(head(*lines, start=f"{method} /x?y=%31 HTTP/1.1"))
    assert (parsed.method, parsed.path, parsed.query) == (method, "/x", "y=%31")
    assert (parsed.content_length, parsed.headers["accept"]) == (3, "a, b")


HEADER_FIELDS = st.one_of(
    st.binary(max_size=30),
    st.sampled_from(
        [
            b"content-length: 7",
            b"content-length: 99999999999999999999",
            b"transfer-encoding: chunked",
            b"transfer-encoding: chunked, chunked",
            b"connection: close, upgrade",
            b"upgrade: h2c",
            b"http2-settings: x",
            b"expect: 100-continue",
            b"x: \xff\x80",
        ]
    ),
)


@settings(max_examples=2_000)
@given(
    st.sampled_from([b"GET /x HTTP/1.1", b"CONNECT a:1 HTTP/1.0", b"HTTP/1.1 200 OK", b"HTTP/1.0 304"]),
    st.lists(HEADER_FIELDS, max_size=6),
)
def test_any_head_is_parsed_or_refused(start, lines):
    """Guards against heads from a caller or a target that raise an unexpected exception."""
    data = b"\r\n".join([start, b"host: a", *lines, b"", b""])
    parse = parse_answer_head if start.startswith(b"HTTP") else parse_request_head
    try:
        parsed = parse(data)
    except FramingError:
        return
    assert not (parsed.chunked and "content-length" in parsed.headers)
    assert parsed.headers["host"].startswith("a")


def test_head_limit():
    """Guards against unbounded heads: a head above the limit is refused, whether complete or not."""
    data = bytearray(head("x: " + "a" * 100))
    assert find_head_length(data, len(data)) == len(data)
    for part in (data, data[:-4]):
        with pytest.raises(FramingError) as caught:
            find_head_length(part, len(part) - 1)
        assert caught.value.status == 431


@given(st.lists(st.binary(min_size=1, max_size=40), max_size=5), st.data())
def test_chunked_body_at_any_split(chunks, data):
    """Guards against wrong bodies when chunks are split anywhere, and against lost bytes after them."""
    encoded = b"".join(b"%x;e=1\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks) + b"0\r\nt: 1\r\n\r\n"
    stream = encoded + b"NEXT"
    reader = BodyReader(length=None, chunked=True)
    body, rest, position = b"", b"", 0
    while position < len(stream):
        size = data.draw(st.integers(1, len(stream) - position))
        part, after = reader.feed(stream[position : position + size])
        body, rest, position = body + part, rest + after, position + size
    assert (body, rest, reader.complete) == (b"".join(chunks), b"NEXT", True)


@pytest.mark.parametrize("data", [b"-5\r\n", b"0x5\r\n", b"1_0\r\n", b"\r\n", b"2\r\nabc\r\n", b"f" * 300])
def test_malformed_chunks_are_refused(data):
    """Guards against chunk sizes that int() accepts but HTTP does not, and against wrong chunk ends."""
    with pytest.raises(FramingError):
        BodyReader(length=None, chunked=True).feed(data)


def test_body_limit():
    """Guards against unbounded bodies, whether announced, chunked or ending with the connection."""
    with pytest.raises(FramingError):
        BodyReader(length=11, limit=10)
    with pytest.raises(FramingError):
        BodyReader(length=None, chunked=True, limit=10).feed(b"b\r\n")
    with pytest.raises(FramingError):
        BodyReader(length=None, limit=10).feed(b"a" * 11)


def test_length_body_leaves_later_bytes():
    """Guards against bytes of a pipelined request being taken into the body."""
    reader = BodyReader(length=3)
    assert reader.feed(b"ab") == (b"ab", b"")
    assert reader.feed(b"cGET /") == (b"c", b"GET /")
    assert reader.complete


SINGLE_REQUEST = (
    b"POST /a/b?c=d HTTP/1.1\r\nHost: x\r\nConnection: close\r\nX-Id:  7 \r\nContent-Length: 3\r\n\r\nabc"
)


def test_head_of_a_single_request_is_that_of_the_thorough_parser():
    """Guards against requests that are shed for another customer or kind than their own."""
    head, _, _ = SINGLE_REQUEST.partition(b"abc")
    assert parse_single_request(SINGLE_REQUEST, 1000) == parse_request_head(head)


@pytest.mark.parametrize(
    ("before", "after"),
    [
        (b"close", b"keep-alive"),
        (b"abc", b"ab"),
        (b"abc", b"abcGET / HTTP/1.1"),
        (b"Length: 3", b"Length: x"),
        (b"X-Id", b"Transfer-Encoding"),
        (b"X-Id", b"Host"),
        (b"Host", b"Hos"),
        (b"X-Id:", b"X Id:"),
        (b"POST /", b"POST  /"),
        (b"HTTP/1.1", b"HTTP/2.0"),
    ],
)
def test_request_that_is_not_the_only_one_or_malformed_is_left_to_the_thorough_parser(before, after):
    """Guards against an answer to a part of a request, and against a connection closed with unread bytes."""
    assert parse_single_request(SINGLE_REQUEST.replace(before, after, 1), 1000) is None


def test_single_request_above_the_limit_is_left_to_the_thorough_parser():
    """Guards against heads above the limit."""
    assert parse_single_request(SINGLE_REQUEST, 40) is None
