"""Random sequences of input, resets, timeouts, drains and handovers leave nothing open.

Each seed runs several clients against one proxy whose backends send early, late, long, partial or
no responses. Some seeds drain the proxy, stop it, or hand it over to a second one in the middle.
Afterwards nothing may be open: no id and no request in the decider, no attempt, no buffer grant, no
client, no busy connection to a backend, and no more descriptors than at the start.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

import pytest

from mothstall import config
from mothstall.net.backend_side import connection as backend_connection
from mothstall.net.client_side import connection_states, deadlines, request_body, response_relay
from mothstall.net.client_side.connection_states import ConnectionState
from mothstall.net.proxy import Proxy
from tests.peers import (
    StandInBackend,
    StandInDiscovery,
    make_config_tree,
    request_bytes,
    reset,
    response_bytes,
)

SEEDS = range(40)
CLIENTS = 12
REQUESTS = 4  # of one client at most
BACKENDS = 2
SETTLE_S = 6.0  # by then all that a client left open has timed out, with the timeouts below
LONG_BYTES = 300_000
MALFORMED = (b"zz\r\n", b"5\r\nabcdeXX", b"F" * 18 + b"\r\n", b"0\r\n\x00nonsense\r\n\r\n")


class RandomBackend(StandInBackend):
    """Reads requests by their framing, and answers each in a random way."""

    def __init__(self, rng: random.Random, ident: str) -> None:
        super().__init__(ident=ident)
        self._rng = rng

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if self._rng.random() < 0.25:
                    await self._answer(writer)  # before the body is complete
                await self._read_body(reader, head)
                await self._answer(writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _read_body(self, reader: asyncio.StreamReader, head: bytes) -> None:
        if b"chunked" in head:
            while size := int(await reader.readline(), 16):
                await reader.readexactly(size + 2)
            await reader.readexactly(2)
        elif b"content-length: " in head.lower():
            length = head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0]
            await reader.readexactly(int(length))

    async def _answer(self, writer: asyncio.StreamWriter) -> None:
        long_head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LONG_BYTES
        kind = self._rng.choice(
            [
                "short",
                "short",
                "long",
                "chunked",
                "until close",
                "cut",
                "reset",
                "hang",
                "busy",
                "bad",
            ]
        )
        if kind == "hang":
            await asyncio.sleep(3.0)
        elif kind == "reset":
            writer.transport.abort()
        elif kind == "bad":
            writer.write(b"no response at all\r\n\r\n")
        elif kind == "busy":
            writer.write(response_bytes(b"busy", 503))
        elif kind == "short":
            writer.write(response_bytes(b"short"))
        elif kind == "chunked":
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            writer.write(b"%x\r\n%b\r\n0\r\n\r\n" % (LONG_BYTES, b"c" * LONG_BYTES))
        elif kind == "until close":
            writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + b"e" * LONG_BYTES)
            writer.close()
        else:
            size = LONG_BYTES if kind == "long" else LONG_BYTES // 2
            for _ in range(size // 30_000):
                writer.write((long_head + b"l" * 30_000) if _ == 0 else b"l" * 30_000)
                await asyncio.sleep(0.005)
            if kind == "cut":
                writer.transport.abort()
        await writer.drain()


@dataclass
class Setup:
    """The discovery, backends, listener and folder of one seed."""

    discovery: StandInDiscovery
    backends: list[RandomBackend]
    listener: socket.socket
    folder: Path

    def proxy(self) -> Proxy:
        rows = [backend.row() for backend in self.backends]
        tree = make_config_tree(self.discovery, rows)
        return Proxy(config.from_tree(tree, self.listener.fileno(), str(self.folder)))

    def connect(self) -> socket.socket:
        sock = socket.socket()
        sock.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            sock.connect(self.listener.getsockname())
        return sock


class RandomClient:
    """Sends requests, some malformed, and ends in one of several ways."""

    def __init__(self, rng: random.Random, sock: socket.socket) -> None:
        self._rng = rng
        self._sock = sock
        self._loop = asyncio.get_running_loop()
        self.received = 0

    async def play(self) -> None:
        reading = asyncio.create_task(self._read())
        try:
            async with asyncio.timeout(2.0):
                for _ in range(self._rng.randint(1, REQUESTS)):
                    for piece in self._request():
                        await self._loop.sock_sendall(self._sock, piece)
                        await asyncio.sleep(self._rng.choice((0.0, 0.0, 0.002, 0.03)))
                    await asyncio.sleep(self._rng.choice((0.0, 0.05, 0.3)))
        except (TimeoutError, OSError):
            pass
        await self._end(reading)

    async def _read(self) -> None:
        with contextlib.suppress(OSError):
            while data := await self._loop.sock_recv(self._sock, 50_000):
                self.received += len(data)
                await asyncio.sleep(self._rng.choice((0.0, 0.0, 0.01)))

    async def _end(self, reading: asyncio.Task[None]) -> None:
        """Leave by a close, a reset or a half-close, or stay until the proxy closes."""
        kind = self._rng.choice(["close", "reset", "half", "stay", "stay unread"])
        if kind == "stay unread":
            reading.cancel()
            await asyncio.sleep(2.5)
        elif kind == "half":
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_WR)
        if kind in ("half", "stay"):
            await asyncio.wait([reading], timeout=2.5)
        reading.cancel()
        await asyncio.wait([reading])
        if kind == "reset":
            reset(self._sock)
        else:
            self._sock.close()

    def _request(self) -> list[bytes]:
        """Return the pieces of one request, which may be malformed or incomplete."""
        rng = self._rng
        size = rng.choice((0, 10, 5_000, 70_000, 150_000, 400_000))
        lane = rng.choice(("search", "pay", "order"))
        remaining = rng.choice(("300m", "900m"))
        if lane == "search":
            return [request_bytes(lane, remaining=remaining)]
        omit = ("Content-Length",)
        if rng.random() < 0.5:
            head = request_bytes(lane, omit=omit, Transfer_Encoding="chunked", remaining=remaining)
            part = max(1, size // 5)
            body = b"".join(b"%x\r\n%b\r\n" % (part, b"u" * part) for _ in range(5))
            if rng.random() < 0.4:
                body += rng.choice(MALFORMED)
            else:
                body += b"0\r\n\r\n"
        else:
            head = request_bytes(lane, omit=omit, Content_length=str(size), remaining=remaining)
            body = b"u" * size
        if rng.random() < 0.15:
            body = body[: len(body) // 2]  # the rest never comes
        if rng.random() < 0.15:
            body += rng.choice((b"\x00nonsense\r\n\r\n", b"u" * 50_000, request_bytes("search")))
        cut = rng.randint(0, len(body))
        return [head, body[:cut], body[cut:]]


async def run_undisturbed(setup: Setup, proxy: Proxy) -> Proxy:
    return proxy


async def drain_and_rejoin(setup: Setup, proxy: Proxy) -> Proxy:
    proxy.handle_admin_call("/api/evacuate")
    await asyncio.sleep(0.4)
    proxy.handle_admin_call("/api/rejoin")
    return proxy


async def hand_over(setup: Setup, proxy: Proxy) -> Proxy:
    """Start a second proxy, and stop the first one as an upgrade does."""
    successor = setup.proxy()
    await successor.start()
    await proxy.stop(0.0)
    assert_nothing_open(proxy)
    return successor


async def stop_and_restart(setup: Setup, proxy: Proxy) -> Proxy:
    """Stop the proxy in the middle: incomplete requests are rejected, others answered."""
    await proxy.stop(0.0)
    assert_nothing_open(proxy)
    successor = setup.proxy()
    await successor.start()
    return successor


Disturbance = Callable[[Setup, Proxy], Awaitable[Proxy]]
DISTURBANCES: list[Disturbance] = [run_undisturbed, drain_and_rejoin, hand_over, stop_and_restart]


def open_resources(proxy: Proxy) -> dict[str, int]:
    """Count the resources that requests and clients may hold, by name, without zeros."""
    balancer = proxy._decider._balancer
    frontend = proxy._frontend
    pool = proxy._pool
    counts = {
        "ids": len(frontend._open_ids),
        "accepted": frontend.connection_count,
        "requests": len(proxy._decider._pending),
        "requests of the balancer": len(balancer.requests.open),
        "queued": balancer.queue.count,
        "in flight": balancer.limits.in_flight,
        "attempts": sum(a.in_flight for a in proxy._decider._backends.values()),
        "uploads": len(frontend.grants._holders) + len(frontend.grants._waiting),
        "responses": len(pool.buffer_grants._holders) + len(pool.buffer_grants._waiting),
        "places in the pool": pool.open_count - len(pool.connections),
        "busy connections": len([c for c in pool.connections if c not in pool._idle]),
        "taken over": len(proxy._stream_takeovers),
        "broken invariants": proxy.counters.values["checks_broken"],
        "faults": proxy.counters.values["faults"],
    }
    states = {f"clients {state}": count for state, count in frontend.open_by_state().items()}
    return {name: count for name, count in (counts | states).items() if count}


def assert_nothing_open(proxy: Proxy) -> None:
    assert open_resources(proxy) == {}


@pytest.fixture
def short_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shorten every timeout to fit into a test."""
    monkeypatch.setattr(backend_connection, "STALL_S", 0.6)
    monkeypatch.setattr(response_relay, "STALL_S", 0.6)
    monkeypatch.setattr(request_body, "UPLOAD_PROGRESS_TIMEOUT_S", 0.4)
    monkeypatch.setattr(deadlines, "UNREAD_RESPONSE_TIMEOUT_S", 0.8)
    monkeypatch.setattr(deadlines, "PENALTY_S", 0.1)
    for state, timeout_s in connection_states.STATE_TIMEOUT_S.items():
        short_s = 0.3 if state is not ConnectionState.IDLE else 1.0
        monkeypatch.setitem(connection_states.STATE_TIMEOUT_S, state, min(timeout_s, short_s))


async def play(seed: int, folder: Path) -> None:
    rng = random.Random(seed)
    backends = [RandomBackend(random.Random(f"{seed}.{i}"), f"s-{i}") for i in range(BACKENDS)]
    for backend in backends:
        await backend.start()
    discovery = StandInDiscovery([backend.row() for backend in backends])
    await discovery.start()
    listener = socket.create_server(("127.0.0.1", 0), backlog=64)
    setup = Setup(discovery, backends, listener, folder)
    descriptors = Path("/proc/self/fd")
    before = len(os.listdir(descriptors))
    proxy = setup.proxy()
    await proxy.start()
    clients = [RandomClient(random.Random(f"{seed}-{i}"), setup.connect()) for i in range(CLIENTS)]
    playing = asyncio.gather(*(client.play() for client in clients))
    await asyncio.sleep(rng.uniform(0.05, 0.8))
    proxy = await rng.choice(DISTURBANCES)(setup, proxy)
    await playing
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(SETTLE_S):
            while open_resources(proxy):
                await asyncio.sleep(0.02)
    assert_nothing_open(proxy)
    await proxy.stop(0.0)
    await discovery.stop()
    for backend in backends:
        await backend.stop()
    listener.close()
    await asyncio.sleep(0.05)
    assert len(os.listdir(descriptors)) <= before


@pytest.mark.parametrize("seed", SEEDS)
def test_nothing_stays_open(seed: int, tmp_path: Path, short_timeouts: None) -> None:
    asyncio.run(play(seed, tmp_path))
