"""Benchmark of one proxy with instant backends: CPU per request, maximum rate, latency by rate.

Backends and clients run in processes of their own, so that the proxy has a core to itself. Latency
counts from the time when a request was due (open arrivals); the maximum rate comes from connections
that send the next request right after each response. `time_steps` times the steps of a request one
by one, in this process.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import multiprocessing
import os
import platform
import pstats
import random
import subprocess
import tempfile
import time
from collections.abc import Callable, Sequence
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any

import aiohttp
from hdrh.histogram import HdrHistogram

from mothstall import interface as io
from mothstall.interface import NS, AttemptResult, Health, UpdateScope
from mothstall.lab import scenario, wire
from mothstall.lab.directory import ListUpdate
from mothstall.lab.judge import MAX_LATENCY_US
from mothstall.lab.ledger import Unfinished
from mothstall.lab.process import ROOT, ServeProcess
from mothstall.net import protocol
from mothstall.policy import Balancer

BACKENDS = 4
WORKERS = 2  # client processes
CONNECTIONS = 48  # connections of all client processes that send without a pause
RATES = (500, 1500, 3000)
WARM_UP_S = 1.0
SYSTEM_CALLS = ("'poll'", "'send'", "'recv'", "'accept'", "_socket.socket")
ANSWER = wire.answer(200, b"x" * 200, "util=0.30,queue=0.00")
TREE = scenario.from_tree(
    {
        "tries": "One proxy and instant boxes.",
        "zones": ["here"],
        "proxies": {"count": 1},
        "boxes": [{"count": BACKENDS, "cores": 64}],
        "tenants": [],
        "clients": {"rate": 1000.0},
    },
    "bench",
)


# Backends and clients, each in a process of its own


class _InstantBackend(asyncio.Protocol):
    """Responds to each request at once; requests have no body."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport, self.rest = transport, b""

    def data_received(self, data: bytes) -> None:
        data = self.rest + data
        whole = data.count(b"\r\n\r\n")
        self.rest = data[data.rfind(b"\r\n\r\n") + 4 :] if whole else data
        if whole:
            self.transport.write(ANSWER * whole)


def serve_backends(pipe: Connection) -> None:
    async def main() -> None:
        loop = asyncio.get_running_loop()
        servers = [
            await loop.create_server(_InstantBackend, "127.0.0.1", 0) for _ in range(BACKENDS)
        ]
        pipe.send([server.sockets[0].getsockname()[1] for server in servers])
        await loop.run_in_executor(None, _wait_for_parent, pipe)

    asyncio.run(main())


def _wait_for_parent(pipe: Connection) -> None:
    with contextlib.suppress(EOFError):  # the parent process has ended
        pipe.recv()


class Client(asyncio.Protocol):
    """One connection of a client: one request at a time."""

    def __init__(self, done: Callable[[Client, bool], object]) -> None:
        self.done, self.due_s, self.data = done, 0.0, b""  # `due_s` 0: no request is open

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def send(self, number: int, due_s: float) -> None:
        self.due_s = due_s
        head = b"GET /search HTTP/1.1\r\nHost: service.internal\r\nX-Txn: %016x\r\n" % number
        self.transport.write(head + b"X-Lane: search\r\nX-Remaining: 1400m\r\n\r\n")

    def data_received(self, data: bytes) -> None:
        self.data += data
        end = self.data.find(b"\r\n\r\n")
        if end < 0:
            return
        at = self.data.lower().find(b"content-length:", 0, end)
        length = int(self.data[at + 15 : self.data.find(b"\r\n", at)]) if at >= 0 else 0
        if len(self.data) >= end + 4 + length:
            good = self.data.startswith(b"HTTP/1.1 200")
            self.data = self.data[end + 4 + length :]
            self.done(self, good)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.due_s:
            self.done(self, False)


def _run_client(
    pipe: Connection, worker: int, port: int, seconds: float, rate: float, connections: int
) -> None:
    """One client process: open arrivals at `rate` or, if that is 0, `connections` busy ones."""

    async def main() -> dict[str, Any]:
        loop, rng = asyncio.get_running_loop(), random.Random(worker)
        histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
        numbers = iter(range(1 + worker * 10_000_000_000, 1 << 62))
        idle: list[Client] = []
        counts = {"good": 0, "bad": 0, "late_us": 0}
        begin = loop.time() + WARM_UP_S
        end = begin + seconds

        def done(client: Client, good: bool) -> None:
            now, due_s, client.due_s = loop.time(), client.due_s, 0.0
            if begin <= now < end:
                counts["good" if good else "bad"] += 1
                histogram.record_value(max(1, min(MAX_LATENCY_US, int((now - due_s) * 1e6))))
            if client.transport.is_closing():
                return
            if rate:
                idle.append(client)
            elif now < end:
                client.send(next(numbers), now)

        async def connect() -> Client:
            _, made = await loop.create_connection(lambda: Client(done), "127.0.0.1", port)
            return made

        clients = [await connect() for _ in range(connections)]
        if not rate:
            for client in clients:
                client.send(next(numbers), loop.time())
            await asyncio.sleep(end - loop.time() + 0.2)
        else:
            idle += clients
            due = loop.time()
            while due < end:
                due += rng.expovariate(rate)
                if (wait := due - loop.time()) > 0:
                    await asyncio.sleep(wait)
                counts["late_us"] = max(counts["late_us"], int((loop.time() - due) * 1e6))
                client = idle.pop() if idle else await connect()
                client.send(next(numbers), due)
            await asyncio.sleep(0.3)
        return {**counts, "histogram": histogram.encode()}

    pipe.send(asyncio.run(main()))


# The runs


class _Discovery(asyncio.Protocol):
    """Discovery for one proxy, with an endpoint list that never changes."""

    def __init__(self, update: ListUpdate, ports: dict[int, int]) -> None:
        self.update, self.ports, self.reader = update, ports, wire.Reader()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        for message in self.reader.feed(data):
            fresh = b"since=0" in message.line or b"since" not in message.line
            update = self.update if fresh else ListUpdate(self.update.version, False, ())
            body = json.dumps(wire.listing(update, TREE.zones, self.ports)).encode()
            wait = 0.0 if fresh or b"timeout_ms=1 " in message.line else 5.0
            asyncio.get_running_loop().call_later(wait, self._write, wire.answer(200, body))

    def _write(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(data)


async def measure(
    seconds: float,
    rates: Sequence[int],
    report: Callable[[str], object],
    profile: Path | None = None,
    *,
    extra_args: tuple[str, ...] = (),
    with_max_rate: bool = True,
) -> list[dict[str, Any]]:
    """Measures a proxy at each rate and, with `with_max_rate`, at its maximum."""
    loop = asyncio.get_running_loop()
    context = multiprocessing.get_context("spawn")
    parent_pipe, child_pipe = context.Pipe()
    backends = context.Process(target=serve_backends, args=(child_pipe,), daemon=True)
    backends.start()
    rows = []
    with tempfile.TemporaryDirectory(prefix="mothstall-bench-") as folder:
        proxy = ServeProcess("proxy", Path(folder), profile, extra_args)
        try:
            backend_ports: list[int] = await loop.run_in_executor(None, parent_pipe.recv)
            entries = tuple(
                io.Endpoint(1 + i, 0, 0, 0, Health.READY, 1.0, 0) for i in range(BACKENDS)
            )
            update, ports = ListUpdate(1, True, entries), dict(enumerate(backend_ports, 1))
            listing = await loop.create_server(lambda: _Discovery(update, ports), "127.0.0.1", 0)
            await proxy.start(
                {
                    "name": "bench",
                    "listen": "127.0.0.1:0",
                    "discovery": f"127.0.0.1:{listing.sockets[0].getsockname()[1]}",
                    "seed": "1",
                    "known": wire.listing(update, TREE.zones, ports),
                    "settings": scenario.settings_tree(TREE, 0),
                }
            )
            for rate in (*rates, 0) if with_max_rate else rates:
                report(f"{rate} a second" if rate else f"maximum rate of {CONNECTIONS} connections")
                rows.append(await _measure_load(context, proxy, seconds, rate))
            listing.close()
        finally:
            await proxy.stop(10.0 if profile else 0.0)
            parent_pipe.close()
            backends.terminate()
            backends.join(2.0)
    return rows


async def _measure_load(
    context: Any, proxy: ServeProcess, seconds: float, rate: int
) -> dict[str, Any]:
    """Measures one load: the responses, their latency, and the proxy's CPU time."""
    loop = asyncio.get_running_loop()
    pipes, workers = [], []
    for worker in range(WORKERS):
        parent_pipe, child_pipe = context.Pipe()
        args = (child_pipe, worker, proxy.port, seconds, rate / WORKERS, CONNECTIONS // WORKERS)
        workers.append(context.Process(target=_run_client, args=args, daemon=True))
        workers[-1].start()
        pipes.append(parent_pipe)
    # CPU per request is measured over an interval in the middle of the load.
    await asyncio.sleep(WARM_UP_S + 0.25 * seconds)
    proxy.note_cpu()
    cpu, began = proxy.cpu_s, time.monotonic()
    await asyncio.sleep(0.6 * seconds)
    proxy.note_cpu()
    used, span = proxy.cpu_s - cpu, time.monotonic() - began
    histogram, good, bad, late = HdrHistogram(1, MAX_LATENCY_US, 3), 0, 0, 0
    for pipe, process in zip(pipes, workers, strict=True):
        try:
            result = await asyncio.wait_for(loop.run_in_executor(None, pipe.recv), seconds + 30)
        except (EOFError, TimeoutError) as why:
            raise Unfinished("a client process of the benchmark ended without a result") from why
        histogram.decode_and_add(result["histogram"])
        good, bad, late = good + result["good"], bad + result["bad"], max(late, result["late_us"])
        process.join(5.0)
    answered = (good + bad) / seconds
    return {
        "asked_per_s": rate or None,
        "answered_per_s": round(answered, 1),
        "bad": bad,
        "cpu_part": round(used / span, 3),
        "cpu_us_per_request": round(1e6 * used / (answered * span), 1) if answered else None,
        "p50_ms": histogram.get_value_at_percentile(50) / 1000,
        "p99_ms": histogram.get_value_at_percentile(99) / 1000,
        "p99.9_ms": histogram.get_value_at_percentile(99.9) / 1000,
        "clients_late_ms": late / 1000,
    }


# Steps of a request


def time_steps(repeats: int = 5) -> dict[str, float]:
    """Microseconds of CPU for each step, the median of `repeats` samples."""
    steps = {
        "decisions": _decisions,
        "read request": _read_request,
        "parse head (aiohttp)": _parse,
    }
    return {
        name: round(sorted(_timed(make()) for _ in range(repeats))[repeats // 2], 1)
        for name, make in steps.items()
    }


def _timed(call: Callable[[], object], count: int = 3000) -> float:
    for _ in range(count // 10):
        call()
    began = time.process_time()
    for _ in range(count):
        call()
    return (time.process_time() - began) / count * 1e6


def _decisions() -> Callable[[], object]:
    """One request through the policy: arrival, attempt, response, and the timers due meanwhile."""
    balancer = Balancer(scenario.settings(TREE, 0), 1)
    entries = [io.Endpoint(1 + i, 0, 0, 0, Health.READY, 1.0, 0) for i in range(BACKENDS)]
    state = {"now": 1000 * NS, "id": 0}
    balancer.handle(state["now"], [io.EndpointUpdate(UpdateScope.FULL, 1, entries)])

    def call() -> None:
        state["now"] += 300_000
        state["id"] += 1
        request, now = state["id"], state["now"]
        for action in balancer.handle(now, [io.RequestArrived(request, 0, 0, 0, NS, 0, False)]):
            if isinstance(action, io.SendAttempt):
                ended = io.AttemptEnded(
                    request, 0, action.backend, AttemptResult.OK, 200_000, True, (0.3, 0.0)
                )
                balancer.handle(now + 200_000, [ended])

    return call


def _read_request() -> Callable[[], object]:
    from mothstall.config import Names
    from mothstall.interface import Effect

    names = Names(("search",), (), ("here",), ("box",), (Effect.IDEMPOTENT,), (1500 * 1_000_000,))
    headers = [
        (b"Host", b"service.internal"),
        (b"X-Txn", b"%016x" % 77),
        (b"X-Lane", b"search"),
        (b"X-Remaining", b"1400m"),
    ]
    return lambda: protocol.parse_request("GET", "/search", headers, b"", names)


def _parse() -> Callable[[], object]:
    loop = asyncio.new_event_loop()
    base = aiohttp.base_protocol.BaseProtocol(loop=loop)
    head = b"GET /search HTTP/1.1\r\nHost: service.internal\r\nX-Txn: 4d\r\nX-Lane: search\r\n\r\n"
    parser = aiohttp.http_parser.HttpRequestParser(base, loop, 2**16)
    return lambda: parser.feed_data(head)


def cpu_by_place(profile: Path, requests: int) -> dict[str, float]:
    """Microseconds per request by file or component, from a profile of the whole process.

    Time in built-in functions counts for the file that calls them, except system calls, which are
    listed apart. Profiling slows the process down: shares mean more than absolute times.
    """
    stats: dict[Any, Any] = pstats.Stats(str(profile)).stats  # type: ignore[attr-defined]
    sums: dict[str, float] = {}
    for (file, _, name), (_, _, own, _, callers) in stats.items():
        if file != "~" or any(word in name for word in SYSTEM_CALLS):
            rows = [(_place_of(file, name), own)]
        else:
            rows = [(_place_of(by[0], by[2]), row[2]) for by, row in callers.items()]
        for place, seconds in rows:
            sums[place] = sums.get(place, 0.0) + seconds
    return {
        place: round(seconds / max(1, requests) * 1e6, 1)
        for place, seconds in sorted(sums.items(), key=lambda row: -row[1])
        if place
    }


def _place_of(file: str, name: str) -> str:
    """The file or component of a function; empty for code that only runs at start-up."""
    if file == "~":
        if "poll" in name:
            return "waiting (poll)"
        return "system calls" if any(word in name for word in SYSTEM_CALLS) else ""
    path = Path(file)
    if "mothstall" in path.parts:
        return f"mothstall/{'net/' if path.parent.name == 'net' else ''}{path.name}"
    for place in ("asyncio", "aiohttp"):
        if place in path.parts:
            return place
    return ""


# The command


def profile(seconds: float, report: Callable[[str], object]) -> dict[str, Any]:
    """Profiles a saturated proxy: time per request by file. Raises Unfinished."""
    with tempfile.TemporaryDirectory(prefix="mothstall-profile-") as folder:
        path = Path(folder) / "serve.profile"
        rows = asyncio.run(measure(seconds, (), report, path))
        # All answered requests, those of the warm-up included.
        count = round(rows[-1]["answered_per_s"] * (seconds + WARM_UP_S))
        return {
            "revision": revision(),
            "seconds": seconds,
            "loads": rows,
            "spent_us": cpu_by_place(path, count),
        }


def run(seconds: float, rates: Sequence[int], report: Callable[[str], object]) -> dict[str, Any]:
    """Runs the whole benchmark; returns its figures with their revision. Raises Unfinished."""
    rows = asyncio.run(measure(seconds, rates, report))
    report("the steps of a request")
    return {
        "at": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
        "revision": revision(),
        "python": platform.python_version(),
        "cores": os.cpu_count(),
        "seconds": seconds,
        "loads": rows,
        "parts_us": time_steps(),
    }


def revision(root: Path = ROOT) -> str:
    """The commit of a checkout; "+changes" marks uncommitted edits under mothstall/."""

    def git(*words: str) -> str:
        completed = subprocess.run(
            ["git", "-C", str(root), *words],
            capture_output=True,
            text=True,
            check=False,
            timeout=30,
        )
        return completed.stdout.strip() if completed.returncode == 0 else ""

    commit = git("rev-parse", "--short=10", "HEAD") or "unknown"
    return commit + ("+changes" if git("status", "--porcelain", "--", "mothstall") else "")


def last(folder: Path) -> dict[str, Any] | None:
    """The latest benchmark result in a folder."""
    for path in sorted(folder.glob("*.json"), reverse=True):
        try:
            tree = json.loads(path.read_text(encoding="utf-8"))
        except (OSError, ValueError):
            continue
        if isinstance(tree, dict) and "loads" in tree:
            return tree
    return None


def keep(tree: dict[str, Any], folder: Path) -> Path:
    """Writes the figures to a file named by their time and revision. Raises OSError."""
    folder.mkdir(parents=True, exist_ok=True)
    stamp = tree["at"].replace("-", "").replace(":", "")
    path = folder / f"{stamp}-{tree['revision'].replace('+', '-')}.json"
    path.write_text(json.dumps(tree, indent=1) + "\n", encoding="utf-8")
    return path


def text(tree: dict[str, Any], before: dict[str, Any] | None) -> str:
    """Formats the figures as a table, with the differences from an earlier result if given."""
    rows = [
        f"{tree['revision']}, Python {tree['python']}, {tree['cores']} cores, {tree['seconds']:g} s a load",
        "",
    ]
    rows.append("asked/s  answered/s   bad  CPU part  us/request    p50 ms   p99 ms  p99.9 ms")
    for row in tree["loads"]:
        rate = row["asked_per_s"] or "all"
        cost = row["cpu_us_per_request"] or 0.0
        rows.append(
            f"{rate!s:>7}  {row['answered_per_s']:10.0f}  {row['bad']:4d}  {row['cpu_part']:8.2f}"
            f"  {cost:10.1f}  {row['p50_ms']:8.2f} {row['p99_ms']:8.2f}  {row['p99.9_ms']:8.2f}"
        )
    rows += [
        "",
        "us of CPU by itself: " + ", ".join(f"{k} {v:g}" for k, v in tree["parts_us"].items()),
    ]
    if before:
        rows.append(f"\nagainst {before['revision']} of {before['at']}:")
        earlier = {row["asked_per_s"]: row for row in before["loads"]}
        for row in tree["loads"]:
            old = earlier.get(row["asked_per_s"])
            if old and old["cpu_us_per_request"] and row["cpu_us_per_request"]:
                part = row["cpu_us_per_request"] / old["cpu_us_per_request"] - 1
                rows.append(
                    f"{row['asked_per_s'] or 'all'!s:>7}  us/request {part:+.1%}, "
                    f"answered/s {row['answered_per_s'] / old['answered_per_s'] - 1:+.1%}"
                )
    return "\n".join(rows)
