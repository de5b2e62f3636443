"""Stand-in backends that check fencing tokens, discovery service and clients, all on loopback."""

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

MAX_RECORDS = 500_000
CORES = 2
# Duration of the warm-up after a start, and the fraction of its capacity that a backend has at first.
WARM_UP_S, INITIAL_WARMTH = 5.0, 0.2
MAX_QUEUE_WAIT_S = 1.0  # a backend rejects requests that would wait longer
OVERLOADED_RESPONSE = b"HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"


@dataclass(slots=True, frozen=True)
class EffectRecord:
    """An effect under a lease (a probe with a fencing token), as recorded by its receiver."""

    at: float  # seconds since the begin of the run
    receiver: str
    sender: str  # the process whose link it arrived on
    lease: str
    token: int
    rejected_reason: str  # empty: accepted


@dataclass(slots=True, frozen=True)
class BackendRequestRecord:
    """A client's request, as recorded by a backend."""

    at: float
    backend: str
    proxy: str


@dataclass(slots=True, frozen=True)
class ClientRequestRecord:
    """A client's request, as recorded by the client. `status` 0: no response."""

    at: float
    proxy: str
    status: int
    took_s: float


@dataclass(slots=True)
class Observations:
    """Everything recorded at backends and clients; the checks use no other account of the processes."""

    effects: list[EffectRecord] = field(default_factory=list)
    backend_requests: list[BackendRequestRecord] = field(default_factory=list)
    client_requests: list[ClientRequestRecord] = field(default_factory=list)


def warmth(started: float | None, now: float) -> float:
    """The fraction of its warm capacity that a backend has at `now`."""
    if started is None or now >= started + WARM_UP_S:
        return 1.0
    return INITIAL_WARMTH + (1.0 - INITIAL_WARMTH) * max(0.0, now - started) / WARM_UP_S


class StandInBackend:
    """An HTTP backend that tracks the highest fencing token of each lease. One listener for each proxy.

    `capacity`: requests a second, served two at a time from a queue; 0: unlimited, without delay.
    `fenced` False: effects with an older token are accepted.
    """

    def __init__(
        self,
        name: str,
        observed: Observations,
        now: Callable[[], float],
        *,
        fenced: bool = True,
        capacity: float = 0.0,
    ) -> None:
        self.name, self.observed, self._now = name, observed, now
        self._service_time_s = CORES / capacity if capacity else 0.0
        self._core_free_at = [0.0] * CORES  # when each core finishes its assigned requests
        self._rng = random.Random(name)
        self.slow_s, self.slow_fraction = 0.0, 0.0
        self.started: float | None = None  # time of the last restart, cold; None: long ago
        self.fencing_tokens = FencingTokens(is_enforced=fenced)
        self.ports: dict[str, int] = {}
        self.is_failing = False  # answers probes and requests with status 500
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
                    response, wait_s = self._respond(proxy, message), 0.0
                    if b"x-fence" not in message.headers:
                        wait_s = self._schedule_response()
                    if wait_s > MAX_QUEUE_WAIT_S:
                        response = OVERLOADED_RESPONSE
                    elif wait_s:
                        await asyncio.sleep(wait_s)
                    writer.write(response)
                await writer.drain()
        except (wire.Malformed, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def _schedule_response(self) -> float:
        """Seconds until a request that arrives now is answered. Reserves a core unless the wait is too long."""
        now = self._now()
        added_s = self.slow_s if self._rng.random() < self.slow_fraction else 0.0
        if not self._service_time_s:
            return added_s
        core = self._core_free_at.index(min(self._core_free_at))
        done_at = max(now, self._core_free_at[core]) + self._service_time_s / warmth(
            self.started, now
        )
        if done_at - now <= MAX_QUEUE_WAIT_S:
            self._core_free_at[core] = done_at
        return done_at - now + added_s

    def _respond(self, proxy: str, message: wire.Message) -> bytes:
        fence_header = message.headers.get(b"x-fence")
        if fence_header is not None:
            name, _, token = fence_header.decode("ascii", "replace").partition(";")
            if not token.isdigit():
                raise wire.Malformed("fencing token is not a number")
            rejected_reason = self.fencing_tokens.admit(name, int(token))
            if len(self.observed.effects) < MAX_RECORDS:
                self.observed.effects.append(
                    EffectRecord(self._now(), self.name, proxy, name, int(token), rejected_reason)
                )
            if rejected_reason:
                return wire.answer(412, rejected_reason.encode() + b"\n")
            return wire.answer(500 if self.is_failing else 200, b"fine\n")
        if message.line.split(b" ")[1:2] == [b"/health"]:
            return wire.answer(500 if self.is_failing else 200, b"fine\n")
        if len(self.observed.backend_requests) < MAX_RECORDS:
            self.observed.backend_requests.append(
                BackendRequestRecord(self._now(), self.name, proxy)
            )
        if self.is_failing:
            return wire.answer(500, b"ill\n")
        return wire.answer(200, wire.served(wire.txn(message)))

    async def close(self) -> None:
        for server in self._servers:
            server.close()


class StandInDiscovery:
    """The discovery service of one proxy. `publish` raises the revision and wakes waiting calls."""

    def __init__(self, members: Callable[[], list[dict[str, object]]]) -> None:
        self._members = members
        self.port = 0
        self._revision = 1
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._connections = 0  # accepted so far
        self._silent_up_to = 0  # connections up to this number get no further response
        # By connection number: when its waiting call ends, by the event loop's clock.
        self._wait_ends: dict[int, float] = {}

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def silence(self) -> float:
        """Stop responding on the open connections, which stay open.

        Returns:
            Seconds until the last wait on these connections would have timed out.
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
                    parameters = dict(pair.partition("=")[::2] for pair in query.split("&"))
                    known_revision = int(parameters.get("since") or 0)
                    changed = self._changed
                    if known_revision >= self._revision:
                        wait_s = min(60.0, int(parameters.get("timeout_ms") or 0) / 1000)
                        self._wait_ends[number] = asyncio.get_running_loop().time() + wait_s
                        with contextlib.suppress(TimeoutError):
                            await asyncio.wait_for(changed.wait(), wait_s)
                        self._wait_ends.pop(number, None)
                    has_changed = known_revision < self._revision
                    members = self._members() if has_changed else []
                    body = {"revision": self._revision, "complete": has_changed, "members": members}
                    if number > self._silent_up_to:
                        writer.write(wire.answer(200, json.dumps(body).encode()))
                await writer.drain()
        except (wire.Malformed, OSError, ValueError, IndexError, asyncio.CancelledError):
            pass
        finally:
            self._wait_ends.pop(number, None)
            writer.close()

    def publish(self) -> None:
        self._revision += 1
        self._changed.set()
        self._changed = asyncio.Event()

    def close(self) -> None:
        if self._server:
            self._server.close()


class StandInClients:
    """Clients of one proxy: requests at a constant rate over reused connections."""

    def __init__(
        self,
        proxy: str,
        rate: float,
        observed: Observations,
        now: Callable[[], float],
        port: Callable[[], int],
    ) -> None:
        self.proxy, self.rate, self.observed, self._now, self._port = (
            proxy,
            rate,
            observed,
            now,
            port,
        )
        self._request_count = 0
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        due = self._now()
        while True:
            due = max(due + 1.0 / self.rate, self._now() - 0.2)
            await asyncio.sleep(max(0.0, due - self._now()))
            if len(self._tasks) < 200:
                task = asyncio.get_running_loop().create_task(self._send_request())
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _send_request(self) -> None:
        self._request_count += 1
        transaction_id = (zlib.crc32(self.proxy.encode()) & 0xFFFF) << 32 | self._request_count
        began, status = self._now(), 0
        try:
            async with asyncio.timeout(2.0):
                if self._idle:
                    reader, writer = self._idle.pop()
                else:
                    reader, writer = await asyncio.open_connection("127.0.0.1", self._port())
                writer.write(
                    f"GET /ask HTTP/1.1\r\nHost: lab\r\nX-Txn: {transaction_id:016x}\r\nX-Lane: ask\r\n"
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
        if len(self.observed.client_requests) < MAX_RECORDS:
            self.observed.client_requests.append(
                ClientRequestRecord(began, self.proxy, status, self._now() - began)
            )

    def close_idle_connections(self) -> None:
        """Close the idle connections; used when the proxy is restarted."""
        for _, writer in self._idle:
            writer.close()
        self._idle.clear()

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        self.close_idle_connections()
