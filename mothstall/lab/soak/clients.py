"""Clients of the soak: steady, uploading (some uploads malformed), resting and idle ones."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable

from mothstall.lab.soak.backend import CutResponseError, read_response
from mothstall.lab.soak.observations import ClientRequest, Observations

CLASSES = ("search", "pay", "order")
UPLOAD_BYTES = (70_000, 150_000, 300_000)
REMAINING_TIMES_S = (0.3, 0.6, 0.9)  # values of X-Remaining
CUT_STATUS = 0  # recorded for a response that was cut off
CLIENT_TIMEOUT_S = 2.5  # a response in time takes less: X-Remaining plus slack
MALFORMED_INPUTS = (b"zz\r\n", b"5\r\nabcdeXX", b"F" * 18 + b"\r\n", b"0\r\n\x00nonsense\r\n\r\n")


class SoakClient:
    """A client that sends small requests over kept connections; subclasses behave otherwise.

    Attributes:
        is_paused: Whether it sends nothing and closes its connection.
    """

    def __init__(
        self,
        name: str,
        rng: random.Random,
        observations: Observations,
        now: Callable[[], float],
        address: tuple[str, int],
    ) -> None:
        """Prepare a client of the proxy at `address`; `now` returns seconds since the begin."""
        self.is_paused = False
        self._name = name
        self._rng = rng
        self._observations = observations
        self._now = now
        self._address = address
        self._count = 0

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            if self.is_paused:
                await asyncio.sleep(0.02)
                continue
            try:
                reader, writer = await asyncio.open_connection(*self._address)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            try:
                await self._use(reader, writer)
            except (OSError, ValueError, asyncio.IncompleteReadError, CutResponseError):
                pass
            finally:
                writer.transport.abort()
            await asyncio.sleep(0.01)

    async def _use(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send requests on one connection until the client pauses or the connection ends."""
        while not self.is_paused:
            await self._request(reader, writer, *self._next_request())
            await asyncio.sleep(self._rng.uniform(0.0, 0.06))

    def _next_request(self) -> tuple[ClientRequest, list[bytes]]:
        """Return a small request and the pieces of its encoding."""
        class_name = self._rng.choice(CLASSES)
        request = self._new_request(class_name)
        body = b"" if class_name == "search" else b"b" * self._rng.choice((0, 20, 3_000))
        return request, [self._head(request, len(body)) + body]

    def _new_request(self, class_name: str) -> ClientRequest:
        self._count += 1
        request_id = f"{self._name}-{self._count}"
        return ClientRequest(request_id, class_name, 0.0, self._rng.choice(REMAINING_TIMES_S))

    def _head(self, request: ClientRequest, length: int | None) -> bytes:
        method = "GET" if request.class_name == "search" else "POST"
        rows = [
            f"{method} /{request.class_name} HTTP/1.1",
            "Host: soak",
            f"X-Txn: {request.request_id}",
            f"X-Lane: {request.class_name}",
            f"X-Remaining: {round(request.remaining_s * 1000)}m",
        ]
        if method == "POST":
            rows.append(f"Idempotency-Key: {request.request_id:0>32}")
            rows.append(
                "Transfer-Encoding: chunked" if length is None else f"Content-Length: {length}"
            )
        return "\r\n".join(rows).encode() + b"\r\n\r\n"

    async def _request(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: ClientRequest,
        pieces: list[bytes],
    ) -> None:
        """Send a complete request, and wait for its final response."""
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
        request.sent_at_s = self._now()
        self._observations.requests.append(request)
        try:
            async with asyncio.timeout(CLIENT_TIMEOUT_S):
                request.statuses.append(await read_response(reader))
            request.answered_at_s = self._now()
        except CutResponseError:
            request.statuses.append(CUT_STATUS)
            request.answered_at_s = self._now()
            raise
        except (OSError, ValueError, asyncio.IncompleteReadError):
            request.closed_at_s = self._now()
            raise


class UploadClient(SoakClient):
    """Sends long bodies; half of its uploads are malformed, with noise or an early end."""

    def _next_request(self) -> tuple[ClientRequest, list[bytes]]:
        request = self._new_request(self._rng.choice(("pay", "order")))
        size = self._rng.choice(UPLOAD_BYTES)
        if self._rng.random() < 0.5:
            return request, [self._head(request, size), b"u" * size]
        part = size // 5
        chunks = [b"%x\r\n%b\r\n" % (part, b"u" * part) for _ in range(5)]
        return request, [self._head(request, None), *chunks, b"0\r\n\r\n"]

    async def _use(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while not self.is_paused:
            if self._rng.random() < 0.5:
                await self._request(reader, writer, *self._next_request())
            else:
                await self._send_malformed_upload(reader, writer)
                return
            await asyncio.sleep(self._rng.uniform(0.0, 0.05))

    async def _send_malformed_upload(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Send a part of an upload and then malformed input; record all responses to it."""
        request = self._new_request("order")
        writer.write(self._head(request, None))
        for _ in range(self._rng.randint(0, 5)):
            writer.write(b"%x\r\n%b\r\n" % (40_000, b"u" * 40_000))
            await writer.drain()
            await asyncio.sleep(self._rng.choice((0.0, 0.01)))
        writer.write(self._rng.choice(MALFORMED_INPUTS))
        if self._rng.random() < 0.3:
            return  # leaves with a reset
        if self._rng.random() < 0.3 and writer.can_write_eof():
            writer.write_eof()
        received = b""
        with contextlib.suppress(TimeoutError, OSError):
            async with asyncio.timeout(1.5):
                while data := await reader.read(65536):
                    received += data
        request.sent_at_s = request.answered_at_s = self._now()
        request.statuses = [int(part[:3]) for part in received.split(b"HTTP/1.1 ")[1:]]
        self._observations.requests.append(request)


class RestingClient(SoakClient):
    """Keeps its connection idle until the proxy closes it, and sends a request at that moment."""

    async def _use(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self._request(reader, writer, *self._next_request())
        while not self.is_paused and not reader.at_eof():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.05):
                    if not await reader.read(1):
                        break
        if not self.is_paused:
            await self._request(reader, writer, *self._next_request())


class IdleClient(SoakClient):
    """One of a crowd: holds an idle connection open."""

    async def _use(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while not self.is_paused and await self._is_open(reader):
            pass
        await asyncio.sleep(self._rng.uniform(0.0, 0.3))

    async def _is_open(self, reader: asyncio.StreamReader) -> bool:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.2):
                return bool(await reader.read(100))
        return True
