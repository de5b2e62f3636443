"""Stand-ins for the cases of the second review: discovery, backends, clients, and process starts.

They follow the operators' protocol page. Everything listens on 127.0.0.1, on ports from 0.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
RULE_HELD, RULE_BROKEN, COULD_NOT_RUN = 0, 1, 2


class CaseError(Exception):
    """The case could not be run."""


def has_trouble() -> bool:
    """Return whether the disruption is played: it is, unless TROUBLE=0."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        port: int = sock.getsockname()[1]
        return port


class Record:
    """The record of one run: the file `record.txt` beside the case."""

    def __init__(self, path: Path) -> None:
        self._began = time.monotonic()
        self._path = path
        self._lines: list[str] = []
        self.left_out = ""  # the run's temporary folder, which differs from run to run

    @property
    def now_s(self) -> float:
        """Seconds since the run began."""
        return time.monotonic() - self._began

    def add(self, text: str) -> None:
        """Add a line with the time since the run began."""
        self._lines.append(f"{self.now_s:9.3f}  {text}")

    def save(self) -> None:
        """Write the file."""
        text = "\n".join(self._lines) + "\n"
        self._path.write_text(text.replace(self.left_out, "") if self.left_out else text)


# Messages


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers by lower-case name; None at the connection's end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return a body with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", "0")))
    parts = []
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)
        if not size:
            return b"".join(parts)


def answer(status: int, body: bytes, head: str = "") -> bytes:
    """Return a complete answer."""
    lines = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{head}\r\n"
    return lines.encode() + body


# Discovery


class Discovery:
    """The endpoint list: whole, or as a watch that waits for changes."""

    def __init__(self, record: Record) -> None:
        self.port = 0
        self._record = record
        self._rows: dict[str, tuple[int, dict[str, Any]]] = {}  # with the revision of the change
        self._revision = 1
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Listen."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    def put(self, ident: str, port: int, phase: str = "SERVING", zone: str = "east") -> None:
        """Add or change a backend."""
        self._revision += 1
        row = {"id": ident, "host_port": f"{HOST}:{port}", "locality": zone, "flavor": "std"}
        row |= {"cell": 0, "phase": phase, "size": 1.0, "up_since_ms": 0}
        self._rows[ident] = (self._revision, row)
        self._record.add(f"discovery: {ident} is {phase} (revision {self._revision})")
        self._changed.set()
        self._changed = asyncio.Event()

    def listing(self, since: int = 0) -> dict[str, Any]:
        """Return the whole list, or what changed since a revision."""
        rows = [row for revision, row in self._rows.values() if revision > since]
        if not since:
            rows = [row for row in rows if row["phase"] != "DELETED"]
        return {"revision": self._revision, "complete": not since, "members": rows}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                target = head[0].split(" ")[1]
                query = dict(
                    pair.split("=") for pair in target.partition("?")[2].split("&") if pair
                )
                since = int(query.get("since", "0"))
                if since and self._revision <= since:
                    wait_s = int(query.get("timeout_ms", "0")) / 1000
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(wait_s):
                            await self._changed.wait()
                writer.write(answer(200, json.dumps(self.listing(since)).encode()))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()


# Backends


@dataclass
class Arrival:
    """One request as a backend received it, complete with its last byte."""

    at_s: float
    backend: str
    ident: str
    key: str
    path: str


Serve = Callable[[Arrival, asyncio.StreamWriter], Awaitable[None]]


class Backend:
    """A server that runs each request it receives, and answers with the request's own id."""

    def __init__(self, name: str, record: Record, serve: Serve | None = None) -> None:
        self.name = name
        self.port = 0
        self.arrivals: list[Arrival] = []
        self.connections = 0
        self._record = record
        self._respond = serve or self._respond_at_once

    async def start(self) -> None:
        """Listen."""
        server = await asyncio.start_server(self._serve, HOST, 0, limit=1 << 20)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                path = line.split(" ")[1]
                if path in ("/health", "/status/load"):
                    writer.write(answer(200, b"util=0.1,queue=0"))
                    continue
                await read_body(reader, headers)
                arrival = Arrival(
                    self._record.now_s,
                    self.name,
                    headers.get("x-txn", ""),
                    headers.get("idempotency-key", ""),
                    path,
                )
                self.arrivals.append(arrival)
                self._record.add(f"{self.name} runs {arrival.ident} {path} key={arrival.key}")
                await self._respond(arrival, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _respond_at_once(self, arrival: Arrival, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.01)
        writer.write(answer(200, f"{arrival.ident} of {self.name}".encode()))
        await writer.drain()


# Clients


def request_bytes(
    ident: str, lane: str, remaining_ms: int, *, key: str = "", body: bytes = b"", path: str = ""
) -> bytes:
    """Return a request in the form of the protocol page."""
    method = "POST" if key or body else "GET"
    head = (
        f"{method} {path or '/' + lane} HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {ident}\r\n"
        f"X-Lane: {lane}\r\nX-Remaining: {remaining_ms}m\r\n"
    )
    if key:
        head += f"Idempotency-Key: {key}\r\n"
    if method == "POST":
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


@dataclass
class Reply:
    """What a client got for one request; status 0: the connection ended with no whole answer."""

    status: int = 0
    body: bytes = b""
    took_s: float = 0.0
    headers: dict[str, str] = field(default_factory=dict)


async def call(port: int, raw: bytes, timeout_s: float = 10.0) -> Reply:
    """Send one request on a new connection, and return its answer."""
    began = time.monotonic()
    reply = Reply()
    with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(HOST, port)
            try:
                writer.write(raw)
                head = await read_head(reader)
                if head is not None:
                    reply.headers = head[1]
                    reply.body = await read_body(reader, head[1])
                    reply.status = int(head[0].split(" ")[1])
            finally:
                writer.close()
    reply.took_s = time.monotonic() - began
    return reply


async def load(port: int, prefix: str, count: int, record: Record) -> list[Reply]:
    """Send requests, six at a time, each on a new connection; return their answers in order."""
    gate = asyncio.Semaphore(6)

    async def one(number: int) -> Reply:
        async with gate:
            ident = f"{prefix}{number}"
            record.add(f"{ident} is sent")
            reply = await call(port, request_bytes(ident, "search", 600))
            record.add(f"{ident} is answered: {reply.status or 'connection ended'} {reply.body!r}")
            return reply

    return await asyncio.gather(*(one(number) for number in range(count)))


# Processes

SETTINGS: dict[str, Any] = {
    "classes": [
        {"name": "search", "aim-ns": 250_000_000, "deadline-ns": 600_000_000, "worth": 1.0}
        | {"effect": "pure"},
        {"name": "documents", "aim-ns": 250_000_000, "deadline-ns": 750_000_000, "worth": 1.0}
        | {"effect": "pure"},
        {"name": "intent", "aim-ns": 500_000_000, "deadline-ns": 2_500_000_000, "worth": 1.0}
        | {"effect": "token", "group": "all", "window-ns": 1_500_000_000},
    ],
    "contract": {
        "answer-slack-ns": 50_000_000,
        "ask-within-ns": 10_000_000_000,
        "stop-sending-within-ns": 500_000_000,
        "cold-from": 0.12,
        "cold-ns": 24_000_000_000,
        "fall-multiple": 2.5,
        "fall-ns": 2_000_000_000,
    },
    "limits": {
        "max-attempts": 4,
        "parallel-tries": True,
        "cancelling": True,
        "probes": False,
        "retry-after": True,
        "max-retry-after-ns": 1_200_000_000,
        "connect-timeout-ns": 120_000_000,
        "keepalive-ns": 60_000_000_000,
    },
    "discovery": "ask",
    "zones": ["east"],
    "kinds": ["std"],
    "zone": 0,
    "position": 0,
    "replicas-of-me": 1,
    "round-ns": 5_000_000,
}


class Processes:
    """The processes of a run, with a folder of their own; all end with the run."""

    def __init__(self, record: Record) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="mothstall-review-"))
        self._record = record
        record.left_out = f"{self.folder}/"
        self._started: list[asyncio.subprocess.Process] = []
        self._logs: list[tuple[str, Path]] = []
        self._run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]

    async def start(
        self, name: str, words: str = "", env: dict[str, str] | None = None, **options: Any
    ) -> asyncio.subprocess.Process:
        """Start the deploy file's `run`, followed by the words of a command."""
        path = self.folder / f"{name}.{len(self._logs)}.log"
        self._logs.append((name, path))
        with path.open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                f"{self._run} {words}".strip(),
                cwd=ROOT,
                env={**os.environ, "TMPDIR": str(self.folder), **(env or {})},
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                **options,
            )
        self._started.append(process)
        self._record.add(f"started {name}: mothstall {words}")
        return process

    def write_json(self, name: str, tree: dict[str, Any]) -> Path:
        """Write a file in the folder of the run."""
        path = self.folder / name
        path.write_text(json.dumps(tree))
        return path

    async def stop(self) -> None:
        """End all processes that were started, add their logs to the record, remove the folder."""
        for process in self._started:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                await process.wait()
        for name, path in self._logs:
            lines = path.read_text(errors="replace").splitlines()
            for line in lines[-12:]:
                self._record.add(f"log of {name}: {line[:300]}")
        shutil.rmtree(self.folder, ignore_errors=True)


def proxy_config(listen: int, discovery: int, **more: Any) -> dict[str, Any]:
    """Return a configuration of one proxy."""
    return {
        "name": "n1",
        "listen": f"{HOST}:{listen}",
        "discovery": f"{HOST}:{discovery}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": SETTINGS,
        **more,
    }


async def wait_ready(port: int, within_s: float = 15.0, path: str = "/ready") -> None:
    """Wait until a proxy says yes.

    Raises:
        CaseError: It does not in time.
    """
    until = time.monotonic() + within_s
    raw = f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode()
    while time.monotonic() < until:
        if (await call(port, raw, 1.0)).status == 200:
            return
        await asyncio.sleep(0.02)
    raise CaseError(f"not ready within {within_s:.0f} s")


def run_case(path: Path, play: Callable[[Record, Processes], Awaitable[list[str]]]) -> int:
    """Play a case, which returns what broke the rule; return the exit code of its script.

    The record goes to `path`.
    """

    async def run() -> int:
        record = Record(path)
        processes = Processes(record)
        record.add(f"trouble: {has_trouble()}")
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            async with asyncio.timeout(110.0):
                broken = await play(record, processes)
            for line in broken:
                record.add(f"BROKEN: {line}")
            code = RULE_BROKEN if broken else RULE_HELD
        except (Exception, asyncio.CancelledError) as error:  # noqa: BLE001
            # Whatever stops the case itself says nothing of the rule.
            record.add(f"could not run: {type(error).__name__} {error}")
            code = COULD_NOT_RUN
        finally:
            await processes.stop()
            record.add("end")
            record.save()
        return code

    code = asyncio.run(run())
    print({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code])
    return code
