"""Stand-ins on loopback for runs of a fleet: boxes that keep fences, the list, clients."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field

from mothstall.fleet.leases.fencing import FencingTokens
from mothstall.lab import wire

MAX_SEEN = 500_000
CORES = 2
COLD_S, COLD_FROM = (
    5.0,
    0.2,
)  # how long a box is cold after its start, and the part that it bears at first
QUEUE_S = 1.0  # a box turns away what would wait longer
FULL = b"HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"


@dataclass(slots=True, frozen=True)
class Effect:
    """An act under a lease as its receiver saw it."""

    at: float  # seconds since the run's begin
    receiver: str
    sender: str  # whose link it came by
    lease: str
    token: int
    refused: str  # the reason; empty: it was taken


@dataclass(slots=True, frozen=True)
class Served:
    """A client's request as a box saw it."""

    at: float
    box: str
    proxy: str


@dataclass(slots=True, frozen=True)
class Asked:
    """A client's request as the client saw it. `status` 0: no answer came."""

    at: float
    proxy: str
    status: int
    took_s: float


@dataclass(slots=True)
class Seen:
    """All that receivers saw; the judge reads nothing else of what proxies and keepers do."""

    effects: list[Effect] = field(default_factory=list)
    served: list[Served] = field(default_factory=list)
    asked: list[Asked] = field(default_factory=list)


def warmth(started: float | None, now: float) -> float:
    """The part of what it bears warm that a box bears now."""
    if started is None or now >= started + COLD_S:
        return 1.0
    return COLD_FROM + (1.0 - COLD_FROM) * max(0.0, now - started) / COLD_S


class BoxStandIn:
    """A web box that keeps the highest token of each lease. One listener for each proxy.

    `bears`: requests a second that it works off, two at a time, the others in a queue; 0: all, at once.
    """

    def __init__(
        self,
        name: str,
        seen: Seen,
        now: Callable[[], float],
        *,
        keeps_tokens: bool = True,
        bears: float = 0.0,
    ) -> None:
        self.name, self.seen, self._now = name, seen, now
        self._work_s = CORES / bears if bears else 0.0
        self._free = [0.0] * CORES  # when each core is done with what it has
        self._rng = random.Random(name)
        self.slow_s, self.slow_part = 0.0, 0.0
        self.started: float | None = None  # when it began anew, cold; None: long ago
        self.fence = FencingTokens(is_enforced=keeps_tokens)
        self.ports: dict[str, int] = {}
        self.ill = False  # fails its probes and its requests
        self._servers: list[asyncio.Server] = []

    async def listen(self, proxy: str) -> None:
        server = await asyncio.start_server(
            lambda r, w: self._serve(proxy, r, w), "127.0.0.1", 0, backlog=512
        )
        self._servers.append(server)
        self.ports[proxy] = server.sockets[0].getsockname()[1]

    async def _serve(
        self, proxy: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        messages = wire.Reader()
        try:
            while data := await reader.read(65536):
                for message in messages.feed(data):
                    answer, wait_s = self._answer(proxy, message), 0.0
                    if b"x-fence" not in message.headers:
                        wait_s = self._takes()
                    if wait_s > QUEUE_S:
                        answer = FULL
                    elif wait_s:
                        await asyncio.sleep(wait_s)
                    writer.write(answer)
                await writer.drain()
        except (wire.Malformed, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def _takes(self) -> float:
        """Seconds until a request that comes now is answered; what would wait too long is turned away."""
        now = self._now()
        more = self.slow_s if self._rng.random() < self.slow_part else 0.0
        if not self._work_s:
            return more
        core = self._free.index(min(self._free))
        ends = max(now, self._free[core]) + self._work_s / warmth(self.started, now)
        if ends - now <= QUEUE_S:
            self._free[core] = ends
        return ends - now + more

    def _answer(self, proxy: str, message: wire.Message) -> bytes:
        fence = message.headers.get(b"x-fence")
        if fence is not None:
            name, _, token = fence.decode("ascii", "replace").partition(";")
            if not token.isdigit():
                raise wire.Malformed("a token that is no number")
            refused = self.fence.admit(name, int(token))
            if len(self.seen.effects) < MAX_SEEN:
                self.seen.effects.append(
                    Effect(self._now(), self.name, proxy, name, int(token), refused)
                )
            if refused:
                return wire.answer(412, refused.encode() + b"\n")
            return wire.answer(500 if self.ill else 200, b"fine\n")
        if message.line.split(b" ")[1:2] == [b"/health"]:
            return wire.answer(500 if self.ill else 200, b"fine\n")
        if len(self.seen.served) < MAX_SEEN:
            self.seen.served.append(Served(self._now(), self.name, proxy))
        if self.ill:
            return wire.answer(500, b"ill\n")
        return wire.answer(200, wire.served(wire.txn(message)))

    async def close(self) -> None:
        for server in self._servers:
            server.close()


class ListStandIn:
    """The service that lists boxes, for one proxy. `tell` makes its next list known to who waits."""

    def __init__(self, members: Callable[[], list[dict[str, object]]]) -> None:
        self._members = members
        self.port = 0
        self._revision = 1
        self._told = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._connections = 0  # so far
        self._silent_up_to = 0  # connections up to this one get no answer any more
        self._wait_ends: dict[int, float] = {}  # of the calls that wait, on the loop's clock

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def silence(self) -> float:
        """Let the open connections fall silent: they stay open, and no answer comes on them.

        Returns:
            Seconds until the last of the waits that are silent now would have been over.
        """
        self._silent_up_to = self._connections
        now = asyncio.get_running_loop().time()
        return max((end - now for end in self._wait_ends.values()), default=0.0)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        messages = wire.Reader()
        self._connections += 1
        number = self._connections
        try:
            while data := await reader.read(65536):
                for message in messages.feed(data):
                    query = message.line.split(b" ")[1].partition(b"?")[2].decode()
                    words = dict(pair.partition("=")[::2] for pair in query.split("&"))
                    since = int(words.get("since") or 0)
                    told = self._told
                    if since >= self._revision:
                        wait_s = min(60.0, int(words.get("timeout_ms") or 0) / 1000)
                        self._wait_ends[number] = asyncio.get_running_loop().time() + wait_s
                        with contextlib.suppress(TimeoutError):
                            await asyncio.wait_for(told.wait(), wait_s)
                        self._wait_ends.pop(number, None)
                    news = since < self._revision
                    members = self._members() if news else []
                    tree = {"revision": self._revision, "complete": news, "members": members}
                    if number > self._silent_up_to:
                        writer.write(wire.answer(200, json.dumps(tree).encode()))
                await writer.drain()
        except (wire.Malformed, OSError, ValueError, IndexError, asyncio.CancelledError):
            pass
        finally:
            self._wait_ends.pop(number, None)
            writer.close()

    def tell(self) -> None:
        self._revision += 1
        self._told.set()
        self._told = asyncio.Event()

    def close(self) -> None:
        if self._server:
            self._server.close()


class ClientStandIn:
    """Clients of one proxy: a steady rate of requests, each on a connection kept while it lasts."""

    def __init__(
        self, proxy: str, rate: float, seen: Seen, now: Callable[[], float], port: Callable[[], int]
    ) -> None:
        self.proxy, self.rate, self.seen, self._now, self._port = proxy, rate, seen, now, port
        self._number = 0
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        due = self._now()
        while True:
            due = max(due + 1.0 / self.rate, self._now() - 0.2)
            await asyncio.sleep(max(0.0, due - self._now()))
            if len(self._tasks) < 200:
                task = asyncio.get_running_loop().create_task(self._ask())
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _ask(self) -> None:
        self._number += 1
        number = (zlib.crc32(self.proxy.encode()) & 0xFFFF) << 32 | self._number
        began, status = self._now(), 0
        try:
            async with asyncio.timeout(2.0):
                if self._idle:
                    reader, writer = self._idle.pop()
                else:
                    reader, writer = await asyncio.open_connection("127.0.0.1", self._port())
                writer.write(
                    f"GET /ask HTTP/1.1\r\nHost: lab\r\nX-Txn: {number:016x}\r\nX-Lane: ask\r\n"
                    "X-Remaining: 1500m\r\n\r\n".encode()
                )
                messages = wire.Reader()
                while not status:
                    data = await reader.read(65536)
                    if not data:
                        break
                    for message in messages.feed(data):
                        status = int(message.line.split(b" ")[1])
                if status and len(self._idle) < 64:
                    self._idle.append((reader, writer))
                else:
                    writer.close()
        except (OSError, TimeoutError, wire.Malformed, ValueError):
            pass
        if len(self.seen.asked) < MAX_SEEN:
            self.seen.asked.append(Asked(began, self.proxy, status, self._now() - began))

    def forget(self) -> None:
        """Its proxy is another process now."""
        for _, writer in self._idle:
            writer.close()
        self._idle.clear()

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        self.forget()
