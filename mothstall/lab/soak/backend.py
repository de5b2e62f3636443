"""A backend of the soak; its responses may be late, long, cut off, refused or missing."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from mothstall.lab.soak.observations import BackendRequest, Observations

LONG_BYTES = 150_000
LONG_CHUNK_BYTES = 30_000
EARLY_PROBABILITY = 0.05  # of a response before the request's body is read
FINAL_STATUS = 200  # responses below this status are interim
HANG_S = 5.0  # longer than any request waits


class SoakBackend:
    """One backend on loopback; a seeded rng chooses its behaviour for each request.

    Attributes:
        name: Id in the endpoint list.
        port: Port that it listens on.
        is_draining: Whether the endpoint list shows it as draining.
    """

    def __init__(
        self, name: str, rng: random.Random, observations: Observations, now: Callable[[], float]
    ) -> None:
        """Prepare; `now` returns seconds since the run's begin."""
        self.name = name
        self.port = 0
        self.is_draining = False
        self._rng = rng
        self._observations = observations
        self._now = now
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a port that the system assigns."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening, and reset open connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def row(self) -> dict[str, object]:
        """Return the backend's row of the endpoint list."""
        return {
            "id": self.name,
            "host_port": f"127.0.0.1:{self.port}",
            "locality": "east",
            "flavor": "std",
            "cell": 1,
            "phase": "DRAINING" if self.is_draining else "SERVING",
            "size": 1.0,
            "up_since_ms": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                await self._serve_one(reader, writer)
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        began_at_s = self._now()
        request_id = header(head, b"x-txn").decode()
        is_complete = False
        responds_early = self._rng.random() < EARLY_PROBABILITY
        try:
            if responds_early:
                await self._send_response(writer)  # before the body is read
            await read_body(reader, head)
            is_complete = True
        finally:
            if request_id:
                row = BackendRequest(request_id, self.name, began_at_s, is_complete)
                self._observations.received.append(row)
        if not responds_early:
            await self._send_response(writer)

    async def _send_response(self, writer: asyncio.StreamWriter) -> None:
        draw = self._rng.random()
        if draw < 0.80:
            await asyncio.sleep(self._rng.uniform(0.001, 0.02))
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved")
        elif draw < 0.86:
            await asyncio.sleep(self._rng.uniform(0.1, 0.6))
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
        elif draw < 0.92:
            await self._send_long_response(writer, LONG_BYTES)
        elif draw < 0.94:
            await self._send_long_response(writer, LONG_BYTES // 2)
            writer.transport.abort()
        elif draw < 0.96:
            writer.transport.abort()
        elif draw < 0.98:
            writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
        else:
            await asyncio.sleep(HANG_S)
        await writer.drain()

    async def _send_long_response(self, writer: asyncio.StreamWriter, size: int) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LONG_BYTES)
        for _ in range(size // LONG_CHUNK_BYTES):
            writer.write(b"l" * LONG_CHUNK_BYTES)
            await writer.drain()
            await asyncio.sleep(0.005)


def header(head: bytes, name: bytes) -> bytes:
    """Return the value of a header by its lower-case name; empty if it is missing."""
    for row in head.split(b"\r\n")[1:]:
        key, _, value = row.partition(b":")
        if key.strip().lower() == name:
            return value.strip()
    return b""


class CutResponseError(Exception):
    """A response ended before its framing says it is complete."""


async def read_response(reader: asyncio.StreamReader) -> int:
    """Read the next final response to its end; return its status.

    Raises:
        asyncio.IncompleteReadError: The connection ended before the response began.
        OSError: The connection was reset before the response began.
        ValueError: The input is not a response.
        CutResponseError: The response was cut off within its body.
    """
    while True:
        head = await reader.readuntil(b"\r\n\r\n")
        status = int(head.split(b" ", 2)[1])
        if status >= FINAL_STATUS:
            break
    try:
        await read_body(reader, head)
    except (OSError, asyncio.IncompleteReadError) as error:
        raise CutResponseError(str(error)) from error
    return status


async def read_body(reader: asyncio.StreamReader, head: bytes) -> None:
    """Read the body that follows a head to its end, by its framing."""
    if header(head, b"transfer-encoding"):
        while size := int(await reader.readline(), 16):
            await reader.readexactly(size + 2)
        await reader.readexactly(2)
    else:
        await reader.readexactly(int(header(head, b"content-length") or b"0"))
