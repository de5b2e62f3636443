"""Scripted backends, scripted discovery and a test client, all on 127.0.0.1 and port 0."""

from __future__ import annotations

import asyncio
import itertools
import json
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

from mothstall import config
from mothstall.interface import AttemptResult
from mothstall.net import protocol
from mothstall.net.backend_side import messages as backend_messages
from mothstall.net.backend_side.backend import Backend
from mothstall.net.backend_side.pool import REUSE_DELAY_S, ConnectionPool
from mothstall.net.clock import Clock
from mothstall.net.counters import Counters
from mothstall.net.metrics import RequestMetrics
from mothstall.net.proxy import Proxy

MS = 1_000_000


@dataclass
class ReceivedRequest:
    """A request as a stand-in backend received it."""

    line: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    connection: int

    def header(self, name: bytes) -> bytes | None:
        return next((v for n, v in self.headers if n.lower() == name.lower()), None)


Behaviour = Callable[[ReceivedRequest, asyncio.StreamWriter], Awaitable[None]]


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[bytes, list[tuple[bytes, bytes]], bytes]:
    head = (await reader.readuntil(b"\r\n\r\n"))[:-4].split(b"\r\n")
    headers = []
    for row in head[1:]:
        name, _, value = row.partition(b":")
        headers.append((name, value.strip()))
    size = next((int(v) for n, v in headers if n.lower() == b"content-length"), 0)
    return head[0], headers, await reader.readexactly(size) if size else b""


def response_bytes(body: bytes = b"ok", status: int = 200, **headers: str) -> bytes:
    rows = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    rows += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(rows).encode() + b"\r\n\r\n" + body


async def respond_ok(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(response_bytes(b"served " + (request.header(b"X-Txn") or b"")))


def respond_with(raw: bytes, then_close: bool = False) -> Behaviour:
    async def behave(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(raw)
        if then_close:
            await writer.drain()
            writer.close()

    return behave


def respond_ok_after(go: asyncio.Event) -> Behaviour:
    """Responds to each request only after `go` is set."""

    async def behave(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        await go.wait()
        await respond_ok(request, writer)

    return behave


async def never_respond(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    pass


async def abort_connection(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.transport.abort()


class StandInBackend:
    """A stand-in backend; a test may replace `behave` while the backend runs."""

    def __init__(self, behave: Behaviour = respond_ok, ident: str = "s-0") -> None:
        self.behave, self.ident = behave, ident
        self.requests: list[ReceivedRequest] = []
        self.opened_count = self.closed_count = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened_count += 1
        number = self.opened_count
        self.writers.add(writer)
        try:
            while True:
                request = ReceivedRequest(*await read_message(reader), number)
                self.requests.append(request)
                await self.behave(request, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.closed_count += 1
            self.writers.discard(writer)
            writer.close()

    async def stop(self) -> None:
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def row(self, phase: str = "SERVING", started: int = 0) -> dict[str, Any]:
        return {
            "id": self.ident,
            "host_port": f"127.0.0.1:{self.port}",
            "locality": "east",
            "flavor": "std",
            "cell": 1,
            "phase": phase,
            "size": 1.0,
            "up_since_ms": started,
        }


class StandInDiscovery:
    """A stand-in for discovery: serves a list with a revision, to list calls and to watches."""

    def __init__(self, members: list[dict[str, Any]]) -> None:
        self.revision, self.members = 1, members
        self.changes: dict[int, list[dict[str, Any]]] = {}
        self.calls: list[str] = []
        self.raw_response: bytes | None = None  # sent as the response instead of a list
        self.indent: int | None = None
        self.always_complete = False  # watches also receive complete lists
        self.write_size = 0  # bytes per write; 0: the response in one write
        self.hangs = False
        self.respond_when: asyncio.Event | None = None  # responses wait until it is set
        self.published = asyncio.Event()
        self.port = 0
        self.bound_socket: socket.socket | None = None
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        if self.bound_socket is None:
            self.bound_socket = self._bind_socket()
        bound_socket, self.bound_socket = self.bound_socket, None
        self.server = await asyncio.start_server(self._serve, sock=bound_socket)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Refuses further connections. The port stays bound, so no other socket can take it."""
        if self.server:
            self.server.close()
            self.server, self.bound_socket = None, self._bind_socket()

    def _bind_socket(self) -> socket.socket:
        bound_socket = socket.socket()
        bound_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound_socket.bind(("127.0.0.1", self.port))
        return bound_socket

    def abort_connections(self) -> None:
        """Aborts all open connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    def publish(self, *rows: dict[str, Any]) -> None:
        self.revision += 1
        self.changes[self.revision] = list(rows)
        published, self.published = self.published, asyncio.Event()
        published.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                line, _, _ = await read_message(reader)
                target = line.split()[1].decode()
                self.calls.append(target)
                raw = await self._reply(target)
                for at in range(0, len(raw), self.write_size or len(raw) or 1):
                    writer.write(raw[at : at + (self.write_size or len(raw))])
                    await asyncio.sleep(0)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _reply(self, target: str) -> bytes:
        if self.hangs:
            await asyncio.sleep(30)
        if self.respond_when is not None:
            await self.respond_when.wait()
        if self.raw_response is not None:
            return self.raw_response
        query = dict(pair.split("=") for pair in target.partition("?")[2].split("&") if pair)
        if "since" not in query:
            return self._list(True, self.members)
        since = int(query["since"])
        if since >= self.revision:
            try:
                await asyncio.wait_for(self.published.wait(), int(query["timeout_ms"]) / 1000)
            except TimeoutError:
                return self._list(False, [])
        if self.always_complete:
            return self._list(True, self.members)
        rows = [
            row
            for version in sorted(self.changes)
            if version > since
            for row in self.changes[version]
        ]
        return self._list(False, rows)

    def _list(self, full: bool, rows: list[dict[str, Any]]) -> bytes:
        tree = {"revision": self.revision, "complete": full, "members": rows}
        return response_bytes(json.dumps(tree, indent=self.indent).encode())


def settings(**changes: Any) -> dict[str, Any]:
    """Nested settings for three classes: safe, keyed and unsafe."""

    def cls(name: str, effect: str, **more: Any) -> dict[str, Any]:
        row = {"name": name, "effect": effect, "aim-ns": 200 * MS, "deadline-ns": 1000 * MS}
        return {**row, "worth": 1.0, "late-value": 0.3, "streaming": False, **more}

    tree: dict[str, Any] = {
        "classes": [
            cls("search", "pure"),
            cls("pay", "token", group="all", **{"window-ns": 900 * MS}),
            cls("order", "side_effect"),
        ],
        "customers": [],
        "contract": {
            "answer-slack-ns": 20 * MS,
            "ask-within-ns": 4000 * MS,
            "cold-from": 0.2,
            "cold-ns": 10_000 * MS,
            "fall-multiple": 2.5,
            "fall-ns": 2000 * MS,
            "stop-sending-within-ns": 500 * MS,
        },
        "discovery": "ask",
        "fees": {"cross-zone": 0.0},
        "limits": {
            "cancelling": True,
            "connect-timeout-ns": 120 * MS,
            "keepalive-ns": 60_000 * MS,
            "max-attempts": 4,
            "max-retry-after-ns": 1200 * MS,
            "parallel-tries": True,
            "probes": True,
            "retry-after": True,
        },
        "kinds": ["std"],
        "zones": ["east", "west"],
        "position": 0,
        "replicas-of-me": 1,
        "round-ns": 5 * MS,
        "telemetry": {"names": ["util", "queue"], "source": "answers"},
        "zone": 0,
    }
    for path, value in changes.items():
        keys = path.replace("_", "-").split("--")
        inner = tree
        for key in keys[:-1]:
            inner = inner[key]
        inner[keys[-1]] = value
    return tree


def make_config_tree(
    stand_in: StandInDiscovery, members: list[dict[str, Any]], **changes: Any
) -> dict[str, Any]:
    admin_addr = changes.pop("admin_addr", None)
    label = changes.pop("cost_label", None)
    usual = {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "body_mb": 40}
    limits = {name: changes.pop(name, value) for name, value in usual.items()}
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "admin_addr": admin_addr,
        "cost_label": label,
        "discovery": f"127.0.0.1:{stand_in.port}",
        "seed": "5",
        "limits": limits,
        "known": {"revision": stand_in.revision, "complete": True, "members": members},
        "settings": settings(**changes),
    }


@dataclass
class Rig:
    proxy: Proxy
    backends: list[StandInBackend]
    discovery: StandInDiscovery
    _ids: itertools.count[int] = field(default_factory=lambda: itertools.count(1))

    def count(self, name: str) -> int:
        return self.proxy.counters.values[name]

    async def client(self) -> Client:
        return Client(*await asyncio.open_connection("127.0.0.1", self.proxy.port))

    async def request(self, lane: str = "search", **more: Any) -> Reply:
        client = await self.client()
        try:
            return await client.request(lane, **more)
        finally:
            client.close()

    async def admin_call(self, path: str, method: str | None = None) -> Reply:
        """Calls the admin interface of the proxy."""
        return await admin_call(self.proxy.admin_port, path, method)

    async def telemetry(self) -> dict[str, int]:
        return parse_telemetry((await self.admin_call("/api/telemetry")).body)

    async def until(self, condition: Callable[[], bool], seconds: float = 3.0) -> None:
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.005)


@dataclass
class Reply:
    status: int
    headers: dict[str, str]
    body: bytes


_txn = itertools.count(1)


def request_bytes(
    lane: str = "search",
    *,
    target: str | None = None,
    method: str | None = None,
    remaining: str | None = "800m",
    body: bytes = b"",
    omit: tuple[str, ...] = (),
    **extra: str,
) -> bytes:
    method = method or ("GET" if lane == "search" else "POST")
    headers = {
        "Host": "service.internal",
        "X-Txn": f"{next(_txn):016x}",
        "X-Lane": lane,
        "X-Org": "acme",
    }
    if remaining is not None:
        headers["X-Remaining"] = remaining
    if method == "POST":
        headers["Idempotency-Key"] = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
        headers["Content-Length"] = str(len(body))
    headers.update({name.replace("_", "-"): value for name, value in extra.items()})
    rows = [f"{method} {target or '/' + lane} HTTP/1.1"]
    rows += [f"{name}: {value}" for name, value in headers.items() if name not in omit]
    return "\r\n".join(rows).encode() + b"\r\n\r\n" + body


async def admin_call(port: int, path: str, method: str | None = None) -> Reply:
    """Sends one request to the admin interface of a proxy on this machine."""
    method = method or ("POST" if path in ("/api/evacuate", "/api/rejoin") else "GET")
    client = Client(*await asyncio.open_connection("127.0.0.1", port))
    try:
        client.writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n".encode()
        )
        return await client.read()
    finally:
        client.close()


def parse_telemetry(text: bytes) -> dict[str, int]:
    rows = (row.partition(":") for row in text.decode().splitlines())
    return {name.removeprefix("app."): int(value.partition("|")[0]) for name, _, value in rows}


class Client:
    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def request(self, lane: str = "search", **more: Any) -> Reply:
        self.writer.write(request_bytes(lane, **more))
        return await self.read()

    async def read(self, seconds: float = 5.0) -> Reply:
        line, headers, body = await asyncio.wait_for(read_message(self.reader), seconds)
        return Reply(
            int(line.split()[1]), {n.decode().lower(): v.decode() for n, v in headers}, body
        )

    async def closed(self, seconds: float = 3.0) -> bool:
        try:
            return await asyncio.wait_for(self.reader.read(1), seconds) == b""
        except ConnectionError:
            return True
        except TimeoutError:
            return False

    def close(self) -> None:
        self.writer.close()


@asynccontextmanager
async def rig(
    *behaviours: Behaviour,
    listed: bool = True,
    respond_when: asyncio.Event | None = None,
    **changes: Any,
) -> AsyncIterator[Rig]:
    """Runs a proxy in this process, with one stand-in backend for each behaviour.

    Discovery responds to nothing until `respond_when` is set, if it is given.
    """
    backends = [StandInBackend(behave, f"s-{i}") for i, behave in enumerate(behaviours)]
    for backend in backends:
        await backend.start()
    rows = [backend.row() for backend in backends] if listed else []
    discovery = StandInDiscovery(rows)
    discovery.respond_when = respond_when
    await discovery.start()
    proxy = Proxy(config.from_tree(make_config_tree(discovery, rows, **changes)))
    await proxy.start()
    try:
        yield Rig(proxy, backends, discovery)
    finally:
        await proxy.stop(0.0)
        await discovery.stop()
        for backend in backends:
            await backend.stop()


class BackendRig:
    """A single backend actor of the proxy without the proxy; collects its reports in order."""

    def __init__(
        self,
        address: config.Address,
        max_connections: int = 20,
        idle_s: float = 30.0,
        pool: ConnectionPool | None = None,
        connect_ms: int = 150,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.clock, self.counters = Clock(), Counters()
        self.reports: list[Any] = []
        self.pool = pool or ConnectionPool(idle_s, max_connections, self.counters, self.loop)
        self.last_request_id = 0
        self.actor = Backend(
            7,
            "s-0",
            address,
            0,
            loop=self.loop,
            counters=self.counters,
            clock=self.clock,
            pool=self.pool,
            connect_timeout_ns=connect_ms * MS,
            load_names=("util", "queue"),
            metrics=RequestMetrics(("a",), self.counters),
            report=self.reports.append,
        )

    def send(self, method: str = "GET", within_ms: int = 400, body: bytes = b"") -> int:
        self.last_request_id += 1
        tree = [
            (b"X-Txn", b"%d" % self.last_request_id),
            (b"X-Lane", b"a"),
            (b"X-Remaining", b"500m"),
        ]
        inbound = protocol.parse_request(method, "/a", tree, body, config.Names(("a",), (), (), ()))
        self.actor.tell(
            backend_messages.SendAttempt(
                self.last_request_id, 0, inbound, self.clock.now() + within_ms * 1_000_000
            )
        )
        return self.last_request_id

    async def wait_for_results(self, count: int = 1) -> list[AttemptResult]:
        async with asyncio.timeout(3):
            while len(self.reports) < count:
                await asyncio.sleep(0.002)
        return [r.result for r in self.reports]


async def start_backend_rig(behave: Behaviour, **more: Any) -> tuple[StandInBackend, BackendRig]:
    stand_in = StandInBackend(behave)
    await stand_in.start()
    return stand_in, BackendRig(config.Address("127.0.0.1", stand_in.port), **more)


async def until_reusable() -> None:
    """Wait until a connection to a backend that has just become idle may be reused."""
    await asyncio.sleep(1.5 * REUSE_DELAY_S)


class ConnectGate:
    """Delays connects to chosen backends until `open` is set; they then run or raise `error`."""

    def __init__(self, loop: asyncio.AbstractEventLoop, monkeypatch: Any) -> None:
        self.open, self.waiting, self.ports = asyncio.Event(), 0, set[int]()
        self.error: OSError | None = None
        unpatched_connect = loop.sock_connect

        async def gated_connect(sock: socket.socket, address: Any) -> None:
            if address[1] in self.ports:
                self.waiting += 1
                try:
                    await self.open.wait()
                finally:
                    self.waiting -= 1
                if self.error is not None:
                    raise self.error
            await unpatched_connect(sock, address)

        monkeypatch.setattr(loop, "sock_connect", gated_connect)

    def hold(self, *backends: StandInBackend) -> None:
        self.ports |= {backend.port for backend in backends}


def raw_client(port: int) -> socket.socket:
    """A non-blocking client socket, on which the test itself makes every system call."""
    sock = socket.create_connection(("127.0.0.1", port), timeout=5)
    sock.setblocking(False)
    return sock


def reset(sock: socket.socket) -> None:
    """Closes the connection with a TCP reset (linger time 0)."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()
