"""Fault-injecting TCP proxy: many links in one process, each forwarding one port to one address."""

import asyncio
import contextlib
import enum
import logging
import socket
import struct
from collections.abc import Awaitable
from dataclasses import dataclass, field

from limpetusher_standins.http_server import (
    HttpRequest,
    HttpResponse,
    HttpServer,
    error_response,
    json_response,
)

CHUNK_BYTES = 16_384
MAXIMUM_QUEUED_CHUNKS = 64
"""Chunks buffered in one direction; limits the buffer to 1 MiB."""
RESET_LINGER = struct.pack("ii", 1, 0)
"""Value of `SO_LINGER` (on, 0 s) with which closing a socket sends a reset."""

logger = logging.getLogger(__name__)


class LinkMode(enum.StrEnum):
    """What a link does with the traffic of its connections."""

    FORWARD = "forward"
    CUT = "cut"
    """Refuses new connections and drops the open ones."""
    BLACK_HOLE = "black_hole"
    """Keeps connections open and delivers nothing; the buffered bytes follow when the mode changes."""
    DELAY = "delay"
    """Delivers every chunk `delay_seconds` late, in both directions."""
    TRUNCATE = "truncate"
    """Closes a connection after `bytes` more bytes towards the client."""
    RESET = "reset"
    """Resets the open connections and every new one."""


@dataclass(slots=True, eq=False)
class Connection:
    """A forwarded connection: the client's side and the target's."""

    client: asyncio.StreamWriter
    target: asyncio.StreamWriter | None = None
    bytes_left: int | None = None

    def abort(self, *, reset: bool) -> None:
        """Close both sides, the client's with a reset if asked for."""
        if reset:
            with contextlib.suppress(OSError):
                client_socket = self.client.get_extra_info("socket")
                client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
            self.client.transport.abort()
        else:
            self.client.close()
        if self.target is not None:
            self.target.transport.abort()


@dataclass(slots=True, eq=False)
class Link:
    """One listening port that forwards to one address."""

    name: str
    listen: str
    target: str
    mode: LinkMode = LinkMode.FORWARD
    delay_seconds: float = 0.0
    truncate_bytes: int = 0
    connections: set[Connection] = field(default_factory=set)
    server: asyncio.Server | None = None
    delivery_enabled: asyncio.Event = field(default_factory=asyncio.Event)
    accepted: int = 0
    forwarded_bytes: int = 0

    async def start_listening(self) -> None:
        """Listen on the link's address."""
        host, port = self.listen.rsplit(":", 1)
        self.server = await asyncio.start_server(
            self.serve_connection, host, int(port), limit=CHUNK_BYTES, backlog=1024
        )
        self.delivery_enabled.set()

    async def set_mode(self, mode: LinkMode, *, delay_seconds: float = 0.0, truncate_bytes: int = 0) -> None:
        """Change what the link does, for open and for new connections."""
        self.mode, self.delay_seconds, self.truncate_bytes = mode, delay_seconds, truncate_bytes
        for connection in self.connections:
            connection.bytes_left = truncate_bytes if mode == LinkMode.TRUNCATE else None
        if mode == LinkMode.BLACK_HOLE:
            self.delivery_enabled.clear()
        else:
            self.delivery_enabled.set()
        if mode == LinkMode.CUT and self.server is not None:
            self.server.close()
            self.server = None
        elif mode != LinkMode.CUT and self.server is None:
            await self.start_listening()
        if mode in (LinkMode.CUT, LinkMode.RESET):
            for connection in list(self.connections):
                connection.abort(reset=mode == LinkMode.RESET)

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward one connection until both directions have ended."""
        connection = Connection(
            writer, bytes_left=self.truncate_bytes if self.mode == LinkMode.TRUNCATE else None
        )
        self.accepted += 1
        if self.mode in (LinkMode.RESET, LinkMode.CUT):
            connection.abort(reset=True)
            return
        self.connections.add(connection)
        try:
            await self.delivery_enabled.wait()
            host, port = self.target.rsplit(":", 1)
            target_reader, connection.target = await asyncio.open_connection(
                host, int(port), limit=CHUNK_BYTES
            )
            await asyncio.gather(
                self.forward_direction(reader, connection.target),
                self.forward_direction(target_reader, writer, truncatable=connection),
            )
        except (ConnectionError, OSError):
            connection.abort(reset=True)
        finally:
            self.connections.discard(connection)
            for side in (writer, connection.target):
                if side is not None:
                    side.close()

    async def forward_direction(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        truncatable: Connection | None = None,
    ) -> None:
        """Forward one direction; `truncatable` is the connection if this direction can be truncated."""
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(MAXIMUM_QUEUED_CHUNKS)
        reading = asyncio.create_task(self.queue_chunks(reader, queue))
        loop = asyncio.get_running_loop()
        try:
            while True:
                delivery_time, chunk = await queue.get()
                await asyncio.sleep(max(0.0, delivery_time - loop.time()))
                await self.delivery_enabled.wait()
                if not chunk:
                    await reading
                    if writer.can_write_eof():
                        writer.write_eof()
                    return
                if truncatable is not None and truncatable.bytes_left is not None:
                    chunk = chunk[: truncatable.bytes_left]
                    truncatable.bytes_left -= len(chunk)
                writer.write(chunk)
                self.forwarded_bytes += len(chunk)
                await writer.drain()
                if truncatable is not None and truncatable.bytes_left == 0:
                    truncatable.abort(reset=False)
                    return
        finally:
            reading.cancel()

    async def queue_chunks(self, reader: asyncio.StreamReader, queue: asyncio.Queue) -> None:
        """Queue the chunks of one direction with their delivery times; an empty chunk marks the end."""
        loop = asyncio.get_running_loop()
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                await queue.put((loop.time() + self.delay_seconds, chunk))
        finally:
            with contextlib.suppress(asyncio.QueueFull):
                queue.put_nowait((loop.time() + self.delay_seconds, b""))


class Proxy:
    """All links, and the control endpoint.

    Parameters
    ----------
    links
        Documents of the links: `name`, `listen`, `target`.
    """

    def __init__(self, links: list[dict]):
        self.links = {link["name"]: Link(link["name"], link["listen"], link["target"]) for link in links}
        self.server = HttpServer(self.handle)

    async def run(self, address: str) -> None:
        """Forward until cancelled; `address` is that of the control endpoint."""
        for link in self.links.values():
            await link.start_listening()
        logger.info("proxy of %d links listens on %s", len(self.links), await self.server.start(address))
        await asyncio.get_running_loop().create_future()

    async def stop(self) -> None:
        """Close all links and the control endpoint."""
        for link in self.links.values():
            await link.set_mode(LinkMode.CUT)
        await self.server.stop()

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one control request."""
        match (request.method, request.path):
            case ("GET", "/links"):
                return json_response(
                    [
                        {
                            "name": link.name,
                            "mode": link.mode,
                            "connections": len(link.connections),
                            "accepted": link.accepted,
                            "forwarded_bytes": link.forwarded_bytes,
                        }
                        for link in self.links.values()
                    ]
                )
            case ("POST", "/mode"):
                return await self.set_modes(request.json())
        return error_response(404, f"no such route: {request.method} {request.path}")

    async def set_modes(self, document: dict) -> HttpResponse:
        """Set the mode of the named links."""
        unknown = [name for name in document["links"] if name not in self.links]
        if unknown:
            return error_response(404, f"no such links: {unknown}")
        changes: list[Awaitable[None]] = [
            self.links[name].set_mode(
                LinkMode(document["mode"]),
                delay_seconds=float(document.get("delay_seconds", 0.0)),
                truncate_bytes=int(document.get("bytes", 0)),
            )
            for name in document["links"]
        ]
        await asyncio.gather(*changes)
        return json_response({"changed": len(changes)})
