"""Benchmark of start-up: CPU time from exec to ready, by phase and by size of the first list.

The program is started as the deploy file's `run` starts it (`-O -B`, bytecode compiled before). The
endpoint list comes from discovery, which responds at once, or from `known`, while discovery refuses
connections. Another checkout may be started in turn with this one, so that both are measured under
the same load of the machine. Each figure is the median of all repeats; slopes over sizes are
Theil-Sen estimates. On a fraction of a core, a start takes its CPU time divided by that fraction.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import platform
import re
import statistics
import sys
import tempfile
import time
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from mothstall import interface as io
from mothstall.interface import Health
from mothstall.lab import bench, scenario, wire
from mothstall.lab.bench import TREE
from mothstall.lab.directory import Word
from mothstall.lab.ledger import Unfinished
from mothstall.lab.process import ROOT

SIZES = (200, 2_000, 20_000)  # backends in the first list
REPEATS = 9
WAYS = ("asked", "known")  # list from discovery's first response, or from the file
READY_S = 60.0
LOOK_S = 0.004  # interval between readiness checks
# Phases of the start, each with the interpreter's audit event that ends it and a prefix of the
# event's first argument. A phase ends at the first such event after the previous phase; the last
# phase, not listed, ends at readiness.
PIECES = (
    ("interpreter", "import", "mothstall"),
    ("asyncio, command line", "import", "mothstall.config"),
    ("configuration, settings", "import", "mothstall.net"),
    ("own modules before aiohttp", "import", "aiohttp"),
    ("aiohttp", "import", "mothstall."),
    ("other modules, the proxy made", "socket.bind", ""),
)
LAST_PIECE = "sockets, first list"
# Runs the program, and writes a line with the process's CPU time (ns) at the end of each phase.
_TELL = """
import os, runpy, sys, time
ends = iter({ends!r})
due = next(ends)
def hook(event, args):
    global due
    if due is not None and event == due[0] and str(args[0]).startswith(due[1]):
        os.write(2, b"piece %d\\n" % time.process_time_ns())
        due = next(ends, None)
sys.addaudithook(hook)
sys.path[0] = ""
runpy.run_module("mothstall", run_name="__main__", alter_sys=True)
"""
_PORT = re.compile(rb"event=listening .*port=(\d+)")
_PIECE = re.compile(rb"piece (\d+)$")


def _environment(cache: Path) -> dict[str, str]:
    """Environment with a bytecode cache of the benchmark's own, filled by a first start."""
    env = {key: value for key, value in os.environ.items() if not key.startswith(("LB_", "PYTHON"))}
    return {**env, "PYTHONPYCACHEPREFIX": str(cache)}


def _cpu_ms(pid: int) -> float:
    """CPU time of a running process, all of its threads included."""
    total = 0
    for path in Path(f"/proc/{pid}/task").iterdir():
        with contextlib.suppress(OSError, IndexError, ValueError):
            total += int((path / "schedstat").read_text().split()[0])
    return total / 1e6


async def _ready(port: int) -> bool:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(b"GET /ready HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n")
        return b" 200 " in await reader.readline()
    finally:
        writer.close()


@dataclass(slots=True)
class Start:
    """One start, in ms: CPU time and wall-clock time from exec to ready, and CPU time by phase."""

    cpu: float
    clock: float
    pieces: list[float]


async def _start(root: Path, config: Path, env: dict[str, str], pieces: bool) -> Start:
    """Starts once; `pieces` also times the phases, at a small cost. Raises Unfinished."""
    words = (
        ("-c", _TELL.format(ends=tuple(end[1:] for end in PIECES)))
        if pieces
        else ("-m", "mothstall")
    )
    began = time.monotonic()
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-O",
        "-B",
        *words,
        cwd=root,
        env={**env, "LB_CONFIG": str(config)},
        stdin=asyncio.subprocess.DEVNULL,
        stdout=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.PIPE,
    )
    assert process.stderr
    ends = [0.0]
    try:
        async with asyncio.timeout(READY_S):
            found = None
            while not found:
                line = await process.stderr.readline()
                if not line:
                    raise Unfinished(f"the program of {root} ended before it was ready")
                found = _PORT.search(line)
                if piece := _PIECE.match(line):
                    ends.append(int(piece[1]) / 1e6)
            while not await _ready(int(found[1])):
                await asyncio.sleep(LOOK_S)
        ends.append(_cpu_ms(process.pid))
        took = time.monotonic() - began
    except (TimeoutError, OSError) as why:
        raise Unfinished(f"the program of {root} was not ready: {why!r}") from why
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()
    if pieces and len(ends) != len(PIECES) + 2:
        raise Unfinished(
            f"the program of {root} reported {len(ends) - 2} phases of its start, not {len(PIECES)}"
        )
    return Start(ends[-1], 1000 * took, [b - a for a, b in itertools.pairwise(ends)])


def _files(folder: Path, sizes: Sequence[int], port: int) -> Iterator[tuple[str, int, Path, Word]]:
    """Writes a configuration for each source and size; yields it with discovery's list."""
    for way, size in itertools.product(WAYS, sizes):
        entries = tuple(io.Endpoint(1 + i, 0, 0, 0, Health.READY, 1.0, 0) for i in range(size))
        word = Word(1, True, entries)
        tree = {
            "name": "start",
            "listen": "127.0.0.1:0",
            # Nothing listens on port 1: a connection is refused at once.
            "discovery": f"127.0.0.1:{port if way == 'asked' else 1}",
            "seed": "1",
            "settings": scenario.settings_tree(TREE, 0),
        }
        if way == "known":
            tree["known"] = wire.listing(word, TREE.zones, dict.fromkeys(range(1, size + 1), 9))
        path = folder / f"{way}-{size}.json"
        path.write_text(json.dumps(tree), encoding="utf-8")
        yield way, size, path, word


class _Once(asyncio.Protocol):
    """Discovery: responds to a first call with a pre-encoded list, and to a waiting call never."""

    answer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        if b"timeout_ms" not in data or b"timeout_ms=1 " in data:
            self.transport.write(type(self).answer)


async def measure(
    roots: dict[str, Path], sizes: Sequence[int], repeats: int, say: Callable[[str], object]
) -> dict[str, Any]:
    """Measures the named checkouts of `roots` in turn. Raises Unfinished."""
    starts: dict[tuple[str, str, int], list[Start]] = {}
    pieces: dict[str, list[Start]] = {name: [] for name in roots}
    with tempfile.TemporaryDirectory(prefix="mothstall-start-") as text:
        folder = Path(text)
        env = {name: _environment(folder / f"cache-{name}") for name in roots}
        server = await asyncio.get_running_loop().create_server(_Once, "127.0.0.1", 0)
        cases = list(_files(folder, sizes, server.sockets[0].getsockname()[1]))
        try:
            for name, root in roots.items():
                await _compile(root, cases[-1][2], env[name])
            for turn in range(repeats):
                say(f"turn {turn + 1} of {repeats}")
                order = list(roots.items())[:: 1 if turn % 2 else -1]
                for at, (way, size, path, word) in enumerate(cases):
                    ports = dict.fromkeys(range(1, size + 1), 9)
                    _Once.answer = wire.answer(
                        200, json.dumps(wire.listing(word, TREE.zones, ports)).encode()
                    )
                    for name, root in order:
                        if at == 0:
                            pieces[name].append(await _start(root, path, env[name], True))
                        took = await _start(root, path, env[name], False)
                        starts.setdefault((name, way, size), []).append(took)
        finally:
            server.close()
    names = [*(piece for piece, _, _ in PIECES), LAST_PIECE]
    return {
        name: {
            "pieces_ms": {
                piece: _median([start.pieces[at] for start in pieces[name]])
                for at, piece in enumerate(names)
            },
            "starts": [
                {
                    "way": way,
                    "backends": size,
                    "cpu_ms": _median([start.cpu for start in taken]),
                    "cpu_ms_all": [round(start.cpu, 1) for start in taken],
                    "clock_ms": _median([start.clock for start in taken]),
                }
                for (whose, way, size), taken in starts.items()
                if whose == name
            ],
            "us_a_backend": {way: _slope_us(starts, name, way) for way in WAYS},
        }
        for name in roots
    }


async def _compile(root: Path, config: Path, env: dict[str, str]) -> None:
    """Fills the bytecode cache by a first start, as the deploy's build does."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-O",
        "-m",
        "mothstall",
        cwd=root,
        env={**env, "LB_CONFIG": str(config)},
        stdin=asyncio.subprocess.DEVNULL,
        stdout=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.PIPE,
    )
    assert process.stderr
    try:
        async with asyncio.timeout(READY_S):
            while not _PORT.search(line := await process.stderr.readline()):
                if not line:
                    raise Unfinished(f"the program of {root} ended before it listened")
    except TimeoutError as why:
        raise Unfinished(f"the program of {root} did not listen") from why
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()


def _median(taken: Sequence[float]) -> float:
    return round(statistics.median(taken), 1)


def _slope_us(starts: dict[tuple[str, str, int], list[Start]], name: str, way: str) -> float | None:
    """Microseconds per additional backend: the median slope over all pairs of sizes."""
    at = {
        size: statistics.median(start.cpu for start in taken)
        for (whose, how, size), taken in starts.items()
        if (whose, how) == (name, way)
    }
    found = [1000 * (at[b] - at[a]) / (b - a) for a, b in itertools.combinations(sorted(at), 2)]
    return round(statistics.median(found), 2) if found else None


def run(
    sizes: Sequence[int], repeats: int, beside: Path | None, say: Callable[[str], object]
) -> dict[str, Any]:
    """Runs the whole benchmark; returns its figures with their revisions. Raises Unfinished."""
    roots = {"this": ROOT, **({"beside": beside} if beside else {})}
    found = asyncio.run(measure(roots, sizes, repeats, say))
    return {
        "at": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
        "revision": bench.revision(),
        "beside": bench.revision(beside) if beside else None,
        "python": platform.python_version(),
        "cores": os.cpu_count(),
        "repeats": repeats,
        "start": found,
    }


def text(tree: dict[str, Any]) -> str:
    """Formats the figures as a table."""
    names = list(tree["start"])
    about = f"{tree['revision']}, Python {tree['python']}, {tree['cores']} cores, medians of {tree['repeats']}"
    rows = [about + (f"; beside: {tree['beside']}" if tree["beside"] else ""), ""]
    rows.append(f"{'ms of CPU':<32}" + "".join(f"{name:>10}" for name in names))

    def add(label: str, figure: Callable[[dict[str, Any]], float | None]) -> None:
        cells = (figure(tree["start"][name]) for name in names)
        rows.append(
            f"{label:<32}" + "".join(f"{'' if cell is None else cell:>10}" for cell in cells)
        )

    for piece in tree["start"][names[0]]["pieces_ms"]:
        add(piece, lambda of, piece=piece: of["pieces_ms"][piece])  # type: ignore[misc]
    for at, row in enumerate(tree["start"][names[0]]["starts"]):
        label = f"exec to ready, {row['way']}, {row['backends']}"
        add(label, lambda of, at=at: of["starts"][at]["cpu_ms"])  # type: ignore[misc]
    for way in WAYS:
        add(f"us a backend, {way}", lambda of, way=way: of["us_a_backend"][way])  # type: ignore[misc]
    return "\n".join(rows)
