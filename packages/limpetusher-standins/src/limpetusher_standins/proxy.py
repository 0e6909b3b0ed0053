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
QUEUED_CHUNKS = 64
"""Chunks between reading and writing of one direction: bounds its buffer to 1 MiB."""
RESET_LINGER = struct.pack("ii", 1, 0)

logger = logging.getLogger(__name__)


class Mode(enum.StrEnum):
    """What a link does."""

    FORWARD = "forward"
    CUT = "cut"
    """Refuses new connections and drops the open ones."""
    BLACK_HOLE = "black_hole"
    """Keeps connections open and delivers nothing; after a restore the held bytes go on."""
    DELAY = "delay"
    """Delivers every chunk `delay_seconds` late, in both directions."""
    TRUNCATE = "truncate"
    """Closes a connection after `bytes` more bytes towards the client."""
    RESET = "reset"
    """Resets the open connections and every new one."""


@dataclass(slots=True, eq=False)
class Connection:
    """The two sides of a forwarded connection."""

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
    mode: Mode = Mode.FORWARD
    delay_seconds: float = 0.0
    truncate_bytes: int = 0
    connections: set[Connection] = field(default_factory=set)
    server: asyncio.Server | None = None
    open_gate: asyncio.Event = field(default_factory=asyncio.Event)
    accepted: int = 0
    forwarded_bytes: int = 0

    async def open(self) -> None:
        """Listen."""
        host, port = self.listen.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, host, int(port), limit=CHUNK_BYTES, backlog=1024)
        self.open_gate.set()

    async def set_mode(self, mode: Mode, *, delay_seconds: float = 0.0, truncate_bytes: int = 0) -> None:
        """Change what the link does, for open and for new connections."""
        self.mode, self.delay_seconds, self.truncate_bytes = mode, delay_seconds, truncate_bytes
        for connection in self.connections:
            connection.bytes_left = truncate_bytes if mode == Mode.TRUNCATE else None
        if mode == Mode.BLACK_HOLE:
            self.open_gate.clear()
        else:
            self.open_gate.set()
        if mode == Mode.CUT and self.server is not None:
            self.server.close()
            self.server = None
        elif mode != Mode.CUT and self.server is None:
            await self.open()
        if mode in (Mode.CUT, Mode.RESET):
            for connection in list(self.connections):
                connection.abort(reset=mode == Mode.RESET)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward one connection until both directions have ended."""
        connection = Connection(
            writer, bytes_left=self.truncate_bytes if self.mode == Mode.TRUNCATE else None
        )
        self.accepted += 1
        if self.mode in (Mode.RESET, Mode.CUT):
            connection.abort(reset=True)
            return
        self.connections.add(connection)
        try:
            await self.open_gate.wait()
            host, port = self.target.rsplit(":", 1)
            target_reader, connection.target = await asyncio.open_connection(
                host, int(port), limit=CHUNK_BYTES
            )
            await asyncio.gather(
                self.forward(reader, connection.target),
                self.forward(target_reader, writer, counted=connection),
            )
        except (ConnectionError, OSError):
            connection.abort(reset=True)
        finally:
            self.connections.discard(connection)
            for side in (writer, connection.target):
                if side is not None:
                    side.close()

    async def forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        counted: Connection | None = None,
    ) -> None:
        """Forward one direction. `counted` is given for the direction that can be truncated."""
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(QUEUED_CHUNKS)
        reading = asyncio.create_task(self.read_chunks(reader, queue))
        loop = asyncio.get_running_loop()
        try:
            while True:
                due, chunk = await queue.get()
                await asyncio.sleep(max(0.0, due - loop.time()))
                await self.open_gate.wait()
                if not chunk:
                    await reading
                    if writer.can_write_eof():
                        writer.write_eof()
                    return
                if counted is not None and counted.bytes_left is not None:
                    chunk = chunk[: counted.bytes_left]
                    counted.bytes_left -= len(chunk)
                writer.write(chunk)
                self.forwarded_bytes += len(chunk)
                await writer.drain()
                if counted is not None and counted.bytes_left == 0:
                    counted.abort(reset=False)
                    return
        finally:
            reading.cancel()

    async def read_chunks(self, reader: asyncio.StreamReader, queue: asyncio.Queue) -> None:
        """Queue the chunks of one direction with the times at which they are due; the last one is empty."""
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
            await link.open()
        logger.info("proxy of %d links listens on %s", len(self.links), await self.server.start(address))
        await asyncio.get_running_loop().create_future()

    async def stop(self) -> None:
        """Close all links and the control endpoint."""
        for link in self.links.values():
            await link.set_mode(Mode.CUT)
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

    async def set_modes(self, order: dict) -> HttpResponse:
        """Set the mode of the named links."""
        unknown = [name for name in order["links"] if name not in self.links]
        if unknown:
            return error_response(404, f"no such links: {unknown}")
        changes: list[Awaitable[None]] = [
            self.links[name].set_mode(
                Mode(order["mode"]),
                delay_seconds=float(order.get("delay_seconds", 0.0)),
                truncate_bytes=int(order.get("bytes", 0)),
            )
            for name in order["links"]
        ]
        await asyncio.gather(*changes)
        return json_response({"changed": len(changes)})
