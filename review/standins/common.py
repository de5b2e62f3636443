"""What the cases share: a record, the proxy's process, discovery, and HTTP in small.

Only the standard library is used. Everything listens on loopback, on ports that the system assigns.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NoReturn

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
MS = 1_000_000  # nanoseconds
READY_S = 30.0  # a proxy takes clients within this time of its start
LONGEST_RUN_S = 100.0
STATUS_OK = 200
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
# What a stand-in meets when the other side, or the run, has ended.
CONNECTION_ENDED = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)


class CaseNotRunError(Exception):
    """The case could not be run: nothing is known about the rule."""


def has_trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file `record.txt` of a case: one line for each thing sent, answered or run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the run began."""
        return time.monotonic() - self._began

    def write(self, text: str) -> None:
        """Write one line with the time."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def settings(**changes: Any) -> dict[str, Any]:
    """Return the settings of a small deployment with the figures of the site `tender-portal`."""
    tree: dict[str, Any] = {
        "classes": [
            _class("search", "pure", 250, 600),
            _class("documents", "pure", 250, 750),
            _class("intent", "token", 500, 2500) | {"group": "all", "window-ns": 1500 * MS},
        ],
        "customers": [],
        "clients": {"marks-retry": False},
        "contract": {
            "answer-slack-ns": 20 * MS,
            "ask-within-ns": 10_000 * MS,
            "cold-from": 0.12,
            "cold-ns": 24_000 * MS,
            "fall-multiple": 2.5,
            "fall-ns": 2000 * MS,
            "stop-sending-within-ns": 500 * MS,
        },
        "discovery": "ask",
        "fees": {"cross-zone": 0.03, "probe": 0.03},
        "limits": {
            "cancelling": True,
            "connect-timeout-ns": 120 * MS,
            "keepalive-ns": 60_000 * MS,
            "max-attempts": 4,
            "max-retry-after-ns": 1200 * MS,
            "parallel-tries": True,
            "probes": False,
            "retry-after": True,
        },
        "kinds": ["std-3core"],
        "telemetry": {"names": [], "source": "none"},
        "zones": ["hartford"],
        "zone": 0,
        "position": 0,
        "replicas-of-me": 1,
        "round-ns": 5 * MS,
    }
    return tree | changes


def _class(name: str, effect: str, aim_ms: int, deadline_ms: int) -> dict[str, Any]:
    return {
        "name": name,
        "effect": effect,
        "aim-ns": aim_ms * MS,
        "deadline-ns": deadline_ms * MS,
        "worth": 1.0,
        "late-value": 0.3,
        "streaming": False,
    }


def free_port() -> int:
    """Return a port that nobody listens on."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        port: int = sock.getsockname()[1]
        return port


def lines_of(path: Path) -> list[str]:
    """Return the lines of a file that the backends have written."""
    return path.read_text(encoding="utf-8").splitlines()


# Messages


@dataclass
class Message:
    """A request or a response.

    Attributes:
        start: The first line.
        headers: The headers by lower-case name.
        body: The body.
    """

    start: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.start.split(" ", 2)[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read the head of the next message."""
    raw = await reader.readuntil(b"\r\n\r\n")
    start, *lines = raw.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return Message(start, {name.strip().lower(): value.strip() for name, _, value in pairs})


async def read_body(reader: asyncio.StreamReader, message: Message) -> None:
    """Read the body that belongs to a head; with no framing there is none."""
    if message.headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int((await reader.readline()).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        while (await reader.readline()).strip():
            pass
        message.body = b"".join(parts)
    else:
        message.body = await reader.readexactly(int(message.headers.get("content-length", "0")))


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one whole message."""
    message = await read_head(reader)
    await read_body(reader, message)
    return message


def request_bytes(
    lane: str, ident: str, remaining_ms: int, *, path: str = "", key: str = "", body: bytes = b""
) -> bytes:
    """Return a client's request."""
    method = "POST" if key else "GET"
    lines = [
        f"{method} /{lane}{path} HTTP/1.1",
        "Host: service.internal",
        f"X-Txn: {ident}",
        f"X-Lane: {lane}",
        f"X-Remaining: {remaining_ms}m",
    ]
    if key:
        lines += [f"Idempotency-Key: {key}", f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


# Discovery


class Discovery:
    """Discovery: a list with a revision, given whole or, to a watch, as what changed."""

    def __init__(self, members: list[dict[str, Any]]) -> None:
        self.members = {str(row["id"]): row for row in members}
        self.port = 0
        self._revision = 1
        self._changes: list[tuple[int, dict[str, Any]]] = []
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a port that the system assigns."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def tree(self) -> dict[str, Any]:
        """Return the whole list."""
        rows = list(self.members.values())
        return {"revision": self._revision, "complete": True, "members": rows}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(*CONNECTION_ENDED):
            while True:
                message = await read_message(reader)
                tree = await self._answer(message.start.split(" ")[1])
                body = json.dumps(tree).encode()
                head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                await writer.drain()
        writer.close()

    async def _answer(self, target: str) -> dict[str, Any]:
        _, _, query = target.partition("?")
        values = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
        since = int(values.get("since", "0"))
        if not since:
            return self.tree()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(values.get("timeout_ms", "0")) / 1000), self._changed:
                await self._changed.wait_for(lambda: self._revision > since)
        rows = [row for revision, row in self._changes if revision > since]
        return {"revision": self._revision, "complete": False, "members": rows}


def member(ident: str, port: int, zone: str = "hartford") -> dict[str, Any]:
    """Return the row of a warm backend in discovery's list."""
    return {
        "id": ident,
        "host_port": f"{HOST}:{port}",
        "locality": zone,
        "flavor": "std-3core",
        "cell": 0,
        "phase": "SERVING",
        "size": 1.0,
        "up_since_ms": 0,
    }


# Processes


class Child:
    """A process of its own, which the case ends by its id."""

    def __init__(self, process: subprocess.Popen[bytes]) -> None:
        self._process = process

    @property
    def pid(self) -> int:
        """The id of the process."""
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal."""
        if self.is_running:
            self._process.send_signal(number)

    def end(self) -> None:
        """Kill the process, stopped or not, and wait for its end."""
        if self.is_running:
            self._process.kill()
        self._process.wait()


def start_standin(module: str, *arguments: str) -> Child:
    """Start a stand-in of this folder as a process of its own."""
    command = [sys.executable, "-B", str(Path(__file__).with_name(module)), *arguments]
    return Child(subprocess.Popen(command, stdin=subprocess.DEVNULL, stdout=subprocess.DEVNULL))


def start_proxy(folder: Path, config: dict[str, Any]) -> Child:
    """Start one proxy by the line `run` of the deploy file; its log goes to `proxy.log`."""
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
    path = folder / "config.json"
    path.write_text(json.dumps(config), encoding="utf-8")
    env = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
    env |= {
        "LB_NAME": str(config["name"]),
        "LB_LISTEN": str(config["listen"]),
        "LB_DISCOVERY": str(config["discovery"]),
        "LB_CONFIG": str(path),
        "TMPDIR": str(folder),
    }
    with (folder / "proxy.log").open("wb") as log:
        process = subprocess.Popen(
            ["/bin/sh", "-c", run],
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
    return Child(process)


async def wait_until_listening(port: int, child: Child) -> None:
    """Wait until something listens on a port; raises CaseNotRunError if the process ends."""
    for _ in range(int(READY_S / 0.02)):
        if not child.is_running:
            raise CaseNotRunError("a process ended at its start")
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(HOST, port)
            writer.close()
            return
        await asyncio.sleep(0.02)
    raise CaseNotRunError("a process does not listen")


async def wait_until_ready(port: int, child: Child) -> None:
    """Wait until `GET /ready` says yes."""
    await wait_until_listening(port, child)
    for _ in range(int(READY_S / 0.05)):
        if (await get(port, "/ready")).status == 200:
            return
        await asyncio.sleep(0.05)
    raise CaseNotRunError("the proxy is not ready")


async def get(port: int, path: str) -> Message:
    """Get a page of the proxy's own."""
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: case\r\nConnection: close\r\n\r\n".encode())
        return await read_message(reader)
    finally:
        writer.close()


class Case:
    """One run of a case: its folder, its record and its processes.

    Attributes:
        folder: An empty temporary folder.
        record: What was sent, answered and run.
    """

    def __init__(self, folder: Path, record: Record) -> None:
        self.folder = folder
        self.record = record
        self._children: list[Child] = []
        self._proxy: Child | None = None

    @property
    def proxy(self) -> Child:
        """The process of the proxy, once it was started."""
        if self._proxy is None:
            raise CaseNotRunError("the proxy was not started")
        return self._proxy

    def own(self, child: Child) -> Child:
        """End this process at the end of the run."""
        self._children.append(child)
        return child

    async def start_proxy(
        self, discovery: Discovery, tree: dict[str, Any], memory_mb: int = 192
    ) -> int:
        """Start a proxy, wait until it is ready, and return the port for clients."""
        port = free_port()
        config = {
            "name": "n1",
            "listen": f"{HOST}:{port}",
            "discovery": f"{HOST}:{discovery.port}",
            "seed": "1",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024},
            "known": discovery.tree(),
            "settings": tree,
        }
        self._proxy = self.own(start_proxy(self.folder, config))
        await wait_until_ready(port, self._proxy)
        self.record.write("the proxy is ready")
        return port

    async def record_counters(self, port: int) -> None:
        """Write the proxy's counters that are not 0 into the record."""
        for line in (await get(port, "/counters")).body.decode().splitlines():
            if not line.endswith(" 0"):
                self.record.write(f"counter: {line}")

    def end(self) -> None:
        """End all processes, stopped or not."""
        for child in self._children:
            child.end()


def run(record_path: Path, play: Callable[[Case], Awaitable[bool]]) -> NoReturn:
    """Play a case and exit: `play` returns whether the rule held."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_NOT_RUN))
    record = Record(record_path)
    record.write(f"the disruption is {'played' if has_trouble() else 'left out'}")
    with tempfile.TemporaryDirectory() as name:
        case = Case(Path(name), record)
        try:
            held = asyncio.run(_in_time(play(case)))
            code = EXIT_HELD if held else EXIT_BROKEN
        except (CaseNotRunError, OSError, TimeoutError) as error:
            record.write(f"the case could not run: {type(error).__name__}: {error}")
            code = EXIT_NOT_RUN
        finally:
            case.end()
    record.write(f"exit {code}")
    record.close()
    sys.exit(code)


async def _in_time(play: Awaitable[bool]) -> bool:
    async with asyncio.timeout(LONGEST_RUN_S):
        return await play
