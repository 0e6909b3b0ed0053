"""Small asyncio HTTP/1.1 server shared by the stand-ins."""

import asyncio
import contextlib
import http.client
import io
import json
import urllib.parse
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from http import HTTPStatus

MAXIMUM_HEADER_BYTES = 65_536
MAXIMUM_BODY_BYTES = 8 * 1024 * 1024


class AbortConnection(Exception):  # noqa: N818 - control flow, not an error
    """Raised by a handler to close the caller's connection without completing the answer."""


@dataclass(slots=True)
class HttpRequest:
    """A parsed request. Header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @property
    def is_caller_disconnected(self) -> bool:
        """Return whether the caller has closed its side of the connection."""
        return self.reader.at_eof() or self.writer.transport.is_closing()

    def json(self) -> dict:
        """Return the body as a JSON object; an empty body is an empty object."""
        return json.loads(self.body) if self.body else {}


@dataclass(slots=True)
class HttpResponse:
    """An answer with either a complete body or a stream of chunks."""

    status: int = 200
    body: bytes = b""
    content_type: str = "application/json"
    headers: dict[str, str] = field(default_factory=dict)
    chunks: AsyncIterator[bytes] | None = None


def json_response(value: object, *, status: int = 200, headers: dict[str, str] | None = None) -> HttpResponse:
    """Return an answer with a JSON body."""
    return HttpResponse(status, json.dumps(value).encode(), headers=headers or {})


def error_response(status: int, message: str, headers: dict[str, str] | None = None) -> HttpResponse:
    """Return an answer that describes an error."""
    return json_response({"error": {"message": message}}, status=status, headers=headers)


RequestHandler = Callable[[HttpRequest], Awaitable[HttpResponse]]


class HttpServer:
    """Listener that passes each request to one handler; requests of a connection run one after another.

    Parameters
    ----------
    handler
        Coroutine function that answers a request.
    """

    def __init__(self, handler: RequestHandler):
        self.handler = handler
        self.connections: dict[asyncio.StreamWriter, str] = {}
        self.server: asyncio.Server | None = None

    async def start(self, address: str) -> str:
        """Listen on `address` (`ip:port`) and return the bound address."""
        host, port = address.rsplit(":", 1)
        self.server = await asyncio.start_server(
            self.serve_connection, host, int(port), limit=MAXIMUM_HEADER_BYTES, backlog=1024
        )
        bound = self.server.sockets[0].getsockname()
        return f"{bound[0]}:{bound[1]}"

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self.server is not None:
            self.server.close()
        self.abort_connections()
        await asyncio.sleep(0)

    def abort_connections(self, *, except_paths: tuple[str, ...] = ()) -> None:
        """Abort all connections but those that serve a path with a prefix in `except_paths`."""
        for writer, path in list(self.connections.items()):
            if not (except_paths and path.startswith(except_paths)):
                writer.transport.abort()

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection until it closes."""
        self.connections[writer] = ""
        try:
            while await self.serve_request(reader, writer):
                pass
        except (AbortConnection, ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            writer.transport.abort()
        finally:
            del self.connections[writer]
            writer.close()
            with contextlib.suppress(ConnectionError, OSError):
                await writer.wait_closed()

    async def serve_request(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Answer one request; return whether the connection stays open."""
        request = await read_request(reader, writer)
        if request is None:
            return False
        self.connections[writer] = request.path
        try:
            response = await self.handler(request)
        except (ValueError, KeyError, TypeError) as error:
            response = error_response(400, f"invalid request: {error!r}")
        await write_response(writer, response)
        self.connections[writer] = ""
        return request.headers.get("connection", "").lower() != "close"


async def read_request(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> HttpRequest | None:
    """Read one request; return None when the connection closes before one starts."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    request_line, _, header_block = head.partition(b"\r\n")
    method, target, _ = request_line.decode("latin-1").split(" ", 2)
    headers = {
        name.lower(): value for name, value in http.client.parse_headers(io.BytesIO(header_block)).items()
    }
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b"".join([chunk async for chunk in read_chunks(reader)])
    else:
        length = int(headers.get("content-length", "0"))
        if length > MAXIMUM_BODY_BYTES:
            raise AbortConnection
        body = await reader.readexactly(length)
    split = urllib.parse.urlsplit(target)
    query = dict(urllib.parse.parse_qsl(split.query))
    return HttpRequest(method, split.path, query, headers, body, reader, writer)


async def read_chunks(reader: asyncio.StreamReader) -> AsyncIterator[bytes]:
    """Yield the chunks of a body with chunked transfer coding."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        chunk = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield chunk[:-2]


async def write_response(writer: asyncio.StreamWriter, response: HttpResponse) -> None:
    """Write an answer, with chunked transfer coding when it has a stream of chunks."""
    headers = dict(response.headers)
    if response.status != HTTPStatus.NO_CONTENT:
        headers["content-type"] = response.content_type
    if response.chunks is None and response.status != HTTPStatus.NO_CONTENT:
        headers["content-length"] = str(len(response.body))
    elif response.chunks is not None:
        headers["transfer-encoding"] = "chunked"
    lines = [f"HTTP/1.1 {response.status} {HTTPStatus(response.status).phrase}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + response.body)
    await writer.drain()
    if response.chunks is None:
        return
    async with contextlib.aclosing(response.chunks) as chunks:
        async for chunk in chunks:
            writer.write(b"%x\r\n%b\r\n" % (len(chunk), chunk))
            await writer.drain()
    writer.write(b"0\r\n\r\n")
    await writer.drain()
