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
from mothstall.lab.directory import ListUpdate
from mothstall.lab.ledger import Unfinished
from mothstall.lab.process import ROOT

SIZES = (200, 2_000, 20_000)  # backends in the first list
REPEATS = 9
LIST_SOURCES = ("asked", "known")  # list from discovery's first response, or from the file
READY_S = 60.0
READY_POLL_S = 0.004  # interval between readiness checks
# Phases of the start, each with the interpreter's audit event that ends it and a prefix of the
# event's first argument. A phase ends at the first such event after the previous phase; the last
# phase, not listed, ends at readiness.
PHASES = (
    ("interpreter", "import", "mothstall"),
    ("asyncio, command line", "import", "mothstall.config"),
    ("configuration, settings", "import", "mothstall.net"),
    ("own modules before aiohttp", "import", "aiohttp"),
    ("aiohttp", "import", "mothstall."),
    ("other modules, the proxy made", "socket.bind", ""),
)
LAST_PHASE = "sockets, first list"
# Runs the program, and writes a line with the process's CPU time (ns) at the end of each phase.
_PHASE_PROGRAM = """
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
_PHASE_END = re.compile(rb"piece (\d+)$")


def _environment_with_cache(cache: Path) -> dict[str, str]:
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
class StartTimes:
    """One start, in ms: CPU time and wall-clock time from exec to ready, and CPU time by phase."""

    cpu_ms: float
    clock_ms: float
    phases: list[float]


async def _start(root: Path, config: Path, env: dict[str, str], with_phases: bool) -> StartTimes:
    """Starts once; `with_phases` also times the phases, at a small cost. Raises Unfinished."""
    args = (
        ("-c", _PHASE_PROGRAM.format(ends=tuple(end[1:] for end in PHASES)))
        if with_phases
        else ("-m", "mothstall")
    )
    began = time.monotonic()
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-O",
        "-B",
        *args,
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
            listening = None
            while not listening:
                line = await process.stderr.readline()
                if not line:
                    raise Unfinished(f"the program of {root} ended before it was ready")
                listening = _PORT.search(line)
                if phase := _PHASE_END.match(line):
                    ends.append(int(phase[1]) / 1e6)
            while not await _ready(int(listening[1])):
                await asyncio.sleep(READY_POLL_S)
        ends.append(_cpu_ms(process.pid))
        elapsed_s = time.monotonic() - began
    except (TimeoutError, OSError) as why:
        raise Unfinished(f"the program of {root} was not ready: {why!r}") from why
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()
    if with_phases and len(ends) != len(PHASES) + 2:
        raise Unfinished(
            f"the program of {root} reported {len(ends) - 2} phases of its start, not {len(PHASES)}"
        )
    return StartTimes(ends[-1], 1000 * elapsed_s, [b - a for a, b in itertools.pairwise(ends)])


def _configurations(
    folder: Path, sizes: Sequence[int], port: int
) -> Iterator[tuple[str, int, Path, ListUpdate]]:
    """Writes a configuration for each source and size; yields it with discovery's list."""
    for source, size in itertools.product(LIST_SOURCES, sizes):
        entries = tuple(io.Endpoint(1 + i, 0, 0, 0, Health.READY, 1.0, 0) for i in range(size))
        update = ListUpdate(1, True, entries)
        tree = {
            "name": "start",
            "listen": "127.0.0.1:0",
            # Nothing listens on port 1: a connection is refused at once.
            "discovery": f"127.0.0.1:{port if source == 'asked' else 1}",
            "seed": "1",
            "settings": scenario.settings_tree(TREE, 0),
        }
        if source == "known":
            tree["known"] = wire.listing(update, TREE.zones, dict.fromkeys(range(1, size + 1), 9))
        path = folder / f"{source}-{size}.json"
        path.write_text(json.dumps(tree), encoding="utf-8")
        yield source, size, path, update


class _FirstCallDiscovery(asyncio.Protocol):
    """Discovery: responds to a first call with a pre-encoded list, and to a waiting call never."""

    answer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        if b"timeout_ms" not in data or b"timeout_ms=1 " in data:
            self.transport.write(type(self).answer)


async def measure(
    roots: dict[str, Path], sizes: Sequence[int], repeats: int, report: Callable[[str], object]
) -> dict[str, Any]:
    """Measures the named checkouts of `roots` in turn. Raises Unfinished."""
    starts: dict[tuple[str, str, int], list[StartTimes]] = {}
    phases: dict[str, list[StartTimes]] = {name: [] for name in roots}
    with tempfile.TemporaryDirectory(prefix="mothstall-start-") as folder_name:
        folder = Path(folder_name)
        env = {name: _environment_with_cache(folder / f"cache-{name}") for name in roots}
        server = await asyncio.get_running_loop().create_server(_FirstCallDiscovery, "127.0.0.1", 0)
        cases = list(_configurations(folder, sizes, server.sockets[0].getsockname()[1]))
        try:
            for name, root in roots.items():
                await _fill_bytecode_cache(root, cases[-1][2], env[name])
            for repeat in range(repeats):
                report(f"repeat {repeat + 1} of {repeats}")
                order = list(roots.items())[:: 1 if repeat % 2 else -1]
                for index, (source, size, path, update) in enumerate(cases):
                    ports = dict.fromkeys(range(1, size + 1), 9)
                    _FirstCallDiscovery.answer = wire.answer(
                        200, json.dumps(wire.listing(update, TREE.zones, ports)).encode()
                    )
                    for name, root in order:
                        if index == 0:
                            phases[name].append(await _start(root, path, env[name], True))
                        sample = await _start(root, path, env[name], False)
                        starts.setdefault((name, source, size), []).append(sample)
        finally:
            server.close()
    names = [*(phase for phase, _, _ in PHASES), LAST_PHASE]
    return {
        name: {
            "pieces_ms": {
                phase: _median([start.phases[index] for start in phases[name]])
                for index, phase in enumerate(names)
            },
            "starts": [
                {
                    "way": source,
                    "backends": size,
                    "cpu_ms": _median([start.cpu_ms for start in samples]),
                    "cpu_ms_all": [round(start.cpu_ms, 1) for start in samples],
                    "clock_ms": _median([start.clock_ms for start in samples]),
                }
                for (checkout, source, size), samples in starts.items()
                if checkout == name
            ],
            "us_a_backend": {
                source: _us_per_backend(starts, name, source) for source in LIST_SOURCES
            },
        }
        for name in roots
    }


async def _fill_bytecode_cache(root: Path, config: Path, env: dict[str, str]) -> None:
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


def _median(samples: Sequence[float]) -> float:
    return round(statistics.median(samples), 1)


def _us_per_backend(
    starts: dict[tuple[str, str, int], list[StartTimes]], name: str, source: str
) -> float | None:
    """Microseconds per additional backend: the median slope over all pairs of sizes."""
    median_ms = {
        size: statistics.median(start.cpu_ms for start in samples)
        for (checkout, list_source, size), samples in starts.items()
        if (checkout, list_source) == (name, source)
    }
    slopes = [
        1000 * (median_ms[b] - median_ms[a]) / (b - a)
        for a, b in itertools.combinations(sorted(median_ms), 2)
    ]
    return round(statistics.median(slopes), 2) if slopes else None


def run(
    sizes: Sequence[int], repeats: int, beside: Path | None, report: Callable[[str], object]
) -> dict[str, Any]:
    """Runs the whole benchmark; returns its figures with their revisions. Raises Unfinished."""
    roots = {"this": ROOT, **({"beside": beside} if beside else {})}
    results = asyncio.run(measure(roots, sizes, repeats, report))
    return {
        "at": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
        "revision": bench.revision(),
        "beside": bench.revision(beside) if beside else None,
        "python": platform.python_version(),
        "cores": os.cpu_count(),
        "repeats": repeats,
        "start": results,
    }


def text(tree: dict[str, Any]) -> str:
    """Formats the figures as a table."""
    names = list(tree["start"])
    about = f"{tree['revision']}, Python {tree['python']}, {tree['cores']} cores, medians of {tree['repeats']}"
    rows = [about + (f"; beside: {tree['beside']}" if tree["beside"] else ""), ""]
    rows.append(f"{'ms of CPU':<32}" + "".join(f"{name:>10}" for name in names))

    def add(label: str, value_of: Callable[[dict[str, Any]], float | None]) -> None:
        cells = (value_of(tree["start"][name]) for name in names)
        rows.append(
            f"{label:<32}" + "".join(f"{'' if cell is None else cell:>10}" for cell in cells)
        )

    for phase in tree["start"][names[0]]["pieces_ms"]:
        add(phase, lambda result, phase=phase: result["pieces_ms"][phase])  # type: ignore[misc]
    for index, row in enumerate(tree["start"][names[0]]["starts"]):
        label = f"exec to ready, {row['way']}, {row['backends']}"
        add(label, lambda result, index=index: result["starts"][index]["cpu_ms"])  # type: ignore[misc]
    for source in LIST_SOURCES:
        add(f"us a backend, {source}", lambda result, source=source: result["us_a_backend"][source])  # type: ignore[misc]
    return "\n".join(rows)
