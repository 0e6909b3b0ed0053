"""Small asyncio HTTP/1.1 client shared by the developer's tools. One connection for each request."""

import asyncio
import contextlib
import http.client
import io
import json
from collections.abc import AsyncIterator
from dataclasses import dataclass

from limpetusher_standins.http_server import MAXIMUM_HEADER_BYTES, read_chunks


class IncompleteAnswerError(Exception):
    """The connection closed before the answer was complete."""


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete answer. Header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> dict:
        """Return the body as JSON."""
        return json.loads(self.body)


@dataclass(slots=True)
class OpenAnswer:
    """An answer whose body is still to be read."""

    status: int
    headers: dict[str, str]
    reader: asyncio.StreamReader

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        Raises
        ------
        IncompleteAnswerError
            If the connection closes before the body is complete.
        """
        try:
            if self.headers.get("transfer-encoding", "").lower() == "chunked":
                async for chunk in read_chunks(self.reader):
                    yield chunk
            elif "content-length" in self.headers:
                yield await self.reader.readexactly(int(self.headers["content-length"]))
            elif self.status not in (204, 304):
                while chunk := await self.reader.read(65_536):
                    yield chunk
        except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
            raise IncompleteAnswerError(f"body is incomplete: {error!r}") from error


@contextlib.asynccontextmanager
async def open_request(
    address: str, method: str, path: str, *, body: bytes = b"", headers: dict[str, str] | None = None
) -> AsyncIterator[OpenAnswer]:
    """Send a request on a new connection and yield its answer once the header has arrived."""
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port), limit=MAXIMUM_HEADER_BYTES)
    try:
        lines = [f"{method} {path} HTTP/1.1", f"host: {address}", "connection: close"]
        if body or method in ("POST", "PUT"):
            lines.append(f"content-length: {len(body)}")
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
        await writer.drain()
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            raise IncompleteAnswerError(f"no answer: {error!r}") from error
        status_line, _, header_block = head.partition(b"\r\n")
        parsed = http.client.parse_headers(io.BytesIO(header_block))
        answer_headers = {name.lower(): value for name, value in parsed.items()}
        yield OpenAnswer(int(status_line.split()[1]), answer_headers, reader)
    finally:
        writer.close()
        with contextlib.suppress(ConnectionError, OSError):
            await writer.wait_closed()


async def request(
    address: str, method: str, path: str, *, body: bytes = b"", headers: dict[str, str] | None = None
) -> Answer:
    """Send a request and return its complete answer."""
    async with open_request(address, method, path, body=body, headers=headers) as opened:
        content = b"".join([chunk async for chunk in opened.chunks()])
        return Answer(opened.status, opened.headers, content)
