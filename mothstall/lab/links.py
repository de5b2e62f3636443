"""Fault-injecting TCP relays on loopback: one for each ordered pair of processes, used as the peer's address.

A link can delay with jitter, pause or drop the bytes of one direction or both, throttle, and reset. Paused bytes
arrive late, when the fault ends; after dropped bytes the stream is broken, so its connections are reset when the fault ends.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

MAX_QUEUED_BYTES = 1024 * 1024  # in each direction of a connection; beyond it the sender waits
READ_SIZE = 64 * 1024


@dataclass(slots=True)
class Direction:
    """The faults applied to one direction of a link."""

    delay_s: float = 0.0
    jitter_s: float = 0.0
    is_paused: bool = False  # bytes are queued until the fault ends
    is_lossy: bool = False  # bytes are dropped
    bytes_per_s: float = 0.0  # 0: unlimited


class _HalfConnection:
    """One direction of one connection."""

    def __init__(
        self,
        link: Link,
        direction: Direction,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.link, self.direction, self.reader, self.writer = link, direction, reader, writer
        self.queue: deque[tuple[float, bytes]] = deque()
        self.queued_bytes = 0
        self.has_lost_bytes = False
        self.queue_changed = asyncio.Event()

    async def read(self) -> None:
        loop, last_due_at = asyncio.get_running_loop(), 0.0
        while True:
            while self.queued_bytes > MAX_QUEUED_BYTES:
                self.queue_changed.clear()
                await self.queue_changed.wait()
            data = await self.reader.read(READ_SIZE)
            direction = self.direction
            due_at = loop.time() + direction.delay_s + direction.jitter_s * self.link.rng.random()
            last_due_at = max(last_due_at, due_at)
            if direction.is_lossy and data:
                self.has_lost_bytes = True
            elif not self.has_lost_bytes or not data:
                self.queue.append((last_due_at, data))
                self.queued_bytes += len(data)
                self.queue_changed.set()
            if not data:
                return

    async def write(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            if not self.queue:
                self.queue_changed.clear()
                await self.queue_changed.wait()
                continue
            due_at, data = self.queue[0]
            if (wait := due_at - loop.time()) > 0:
                await asyncio.sleep(min(wait, 0.05))
                continue
            if self.direction.is_paused or self.direction.is_lossy:
                await asyncio.sleep(0.005)
                continue
            if self.has_lost_bytes:
                return
            self.queue.popleft()
            self.queued_bytes -= len(data)
            self.queue_changed.set()
            if not data:
                with contextlib.suppress(OSError):
                    self.writer.write_eof()
                return
            if self.direction.bytes_per_s:
                await asyncio.sleep(len(data) / self.direction.bytes_per_s)
            self.writer.write(data)
            await self.writer.drain()
            self.link.bytes_carried += len(data)


class Link:
    """A relay from one process to another, reached on `port`. `target` returns the peer's current port."""

    def __init__(self, name: tuple[str, str], seed: int, target: Callable[[], int]) -> None:
        self.name, self.rng, self._target = name, random.Random(f"{name} {seed}"), target
        self.forward, self.backward = Direction(), Direction()
        self.port = 0
        self.bytes_carried = 0
        self.opened_at: deque[float] = deque(maxlen=10_000)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened_at.append(asyncio.get_running_loop().time())
        task = asyncio.get_running_loop().create_task(self._relay_connection(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _relay_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        target_writer: asyncio.StreamWriter | None = None
        try:
            early_data = await self._wait_until_reachable(reader)
            if early_data is None:
                return
            target_reader, target_writer = await asyncio.open_connection(
                "127.0.0.1", self._target()
            )
            self._writers.add(target_writer)
            halves = (
                _HalfConnection(self, self.forward, reader, target_writer),
                _HalfConnection(self, self.backward, target_reader, writer),
            )
            if early_data:
                halves[0].queue.append((0.0, early_data))
                halves[0].queued_bytes = len(early_data)
            async with asyncio.TaskGroup() as group:
                for half in halves:
                    group.create_task(self._relay_half(half))
        except (OSError, ExceptionGroup, asyncio.CancelledError):
            pass
        finally:
            for stream in (writer, target_writer):
                if stream:
                    self._writers.discard(stream)
                    stream.transport.abort()

    async def _wait_until_reachable(self, reader: asyncio.StreamReader) -> bytes | None:
        """Holds a new connection while the forward direction is cut, as if its handshake were retransmitted.

        Returns the bytes received meanwhile; None if the caller gave up, and the target is never dialled.
        """
        early_data = b""
        while self.forward.is_paused or self.forward.is_lossy:
            with contextlib.suppress(TimeoutError):
                data = await asyncio.wait_for(reader.read(READ_SIZE), 0.02)
                if not data or len(early_data) > MAX_QUEUED_BYTES:
                    return None
                early_data += data
        return early_data

    async def _relay_half(self, half: _HalfConnection) -> None:
        reading = asyncio.create_task(half.read())
        try:
            await half.write()
        finally:
            reading.cancel()
            with contextlib.suppress(asyncio.CancelledError, OSError):
                await reading
        if half.has_lost_bytes:
            raise ConnectionResetError("bytes were dropped in transit")

    def reset(self) -> None:
        """Aborts all connections on both sides."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def close(self) -> None:
        if self._server:
            self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


class Mesh:
    """The links of one run, by sender and receiver."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.links: dict[tuple[str, str], Link] = {}

    async def add(self, sender: str, to: str, target: Callable[[], int]) -> Link:
        link = self.links[(sender, to)] = Link((sender, to), self.seed, target)
        await link.start()
        return link

    def between(self, senders: list[str], receivers: list[str]) -> list[tuple[Link, bool]]:
        """The links between two groups; True if the process in `senders` dials."""
        rows = [
            (self.links[(a, b)], True) for a in senders for b in receivers if (a, b) in self.links
        ]
        return rows + [
            (self.links[(b, a)], False) for a in senders for b in receivers if (b, a) in self.links
        ]

    async def close(self) -> None:
        await asyncio.gather(*(link.close() for link in self.links.values()))
