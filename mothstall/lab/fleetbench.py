"""Benchmarks of keepers and agents: commits, catch-up, memory, many agents, cost for the request path.

Keepers are separate processes; callers and agents run in this one. The figures depend on this machine, its
loopback and disk. `lab fleet run` measures the time to replace an owner.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import statistics
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from mothstall.fleet.agent.agent import Agent
from mothstall.fleet.agent.keeper_client import KeeperClient
from mothstall.fleet.errors import KeeperUnavailableError
from mothstall.fleet.leases.names import MEMBER_LEASE_PREFIX
from mothstall.fleet.operator_config import OperatorConfig
from mothstall.fleet.operator_file import parse_operator_file
from mothstall.lab import bench, planbench
from mothstall.lab.ledger import Unfinished
from mothstall.lab.process import KeeperProcess
from mothstall.store.protocol.frames import PeerRole
from mothstall.store.protocol.keeper_messages import AdminVerb
from mothstall.store.state.changes import AcquireLease, PutDrain, PutValue, ReleaseLease
from mothstall.store.state.rows import Drain, DrainKind

CONCURRENT_CALLERS = 16
TIMEOUT_S = 60.0
ProgressLog = Callable[[str], object]


def _free_ports(count: int) -> list[int]:
    socks = [socket.socket() for _ in range(count)]
    try:
        for sock in socks:
            sock.bind(("127.0.0.1", 0))
        return [sock.getsockname()[1] for sock in socks]
    finally:
        for sock in socks:
            sock.close()


class Keepers:
    """Three keeper processes in a folder, connected directly, without links that inject faults."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.processes = {f"k{i}": KeeperProcess(f"k{i}", folder) for i in (1, 2, 3)}
        ports = _free_ports(3)
        rows = [
            {"name": name, "address": f"127.0.0.1:{port}", "data": str(folder / name)}
            for name, port in zip(self.processes, ports, strict=True)
        ]
        self.tree: dict[str, Any] = {"cluster": "bench", "keepers": rows}
        self.operator: OperatorConfig = parse_operator_file(self.tree)
        self.path = folder / "operator.toml"
        lines = ['cluster = "bench"']
        for row in rows:
            lines += ["[[keepers]]", *(f'{key} = "{value}"' for key, value in row.items())]
        self.path.write_text("\n".join(lines) + "\n", encoding="utf-8")

    async def start(self, name: str) -> None:
        await self.processes[name].begin(self.path, self.folder / f"{name}.switch")

    async def __aenter__(self) -> Keepers:
        await asyncio.gather(*(self.start(name) for name in self.processes))
        await self.wait_until(lambda rows: any(row["role"] == "leader" for row in rows.values()))
        return self

    async def __aexit__(self, *_: object) -> None:
        await asyncio.gather(*(process.stop() for process in self.processes.values()))

    async def status(self) -> dict[str, dict[str, Any]]:
        rows = {}
        for name in self.processes:
            client = KeeperClient(
                self.operator,
                "bench",
                PeerRole.TOOL,
                loop=asyncio.get_running_loop(),
                only_keeper=name,
            )
            try:
                rows[name] = json.loads(
                    (await client.send_admin_command(AdminVerb.STATUS, "", 1.0)).body
                )
            except KeeperUnavailableError:
                pass
            finally:
                await client.close()
        return rows

    async def wait_until(self, condition: Callable[[dict[str, dict[str, Any]]], bool]) -> float:
        """Seconds until the status of the keepers meets `condition`. Raises Unfinished."""
        began = time.monotonic()
        while time.monotonic() - began < TIMEOUT_S:
            if condition(await self.status()):
                return time.monotonic() - began
            await asyncio.sleep(0.05)
        raise Unfinished("the keepers did not reach the expected state")

    def rss_mb(self) -> dict[str, float]:
        found = {}
        for name, process in self.processes.items():
            pid = process._process.pid if process._process else 0
            for line in Path(f"/proc/{pid}/status").read_text().splitlines():
                if line.startswith("VmRSS"):
                    found[name] = round(int(line.split()[1]) / 1024, 1)
        return found

    def cpu_s(self) -> float:
        """CPU seconds that all keepers have used."""
        for process in self.processes.values():
            process.note_cpu()
        return sum(process.cpu_s for process in self.processes.values())


async def _make_changes(
    keepers: Keepers, count: int, callers: int = CONCURRENT_CALLERS
) -> list[float]:
    """Makes `count` changes from `callers` concurrent callers; the latency of each in ms."""
    loop = asyncio.get_running_loop()
    stores = [
        KeeperClient(keepers.operator, f"c{i}", PeerRole.TOOL, loop=loop) for i in range(callers)
    ]
    latencies_ms: list[float] = []

    async def make_changes(store: KeeperClient, number: int) -> None:
        lease = f"bench/{number}"
        token = (await store.propose(AcquireLease(lease, "bench", 3_600_000), 10.0)).token
        for i in range(count // callers):
            began = loop.time()
            row = PutValue(lease, token, f"bench/{number}/{i % 8}", i.to_bytes(8, "big"))
            if reason := (await store.propose(row, 10.0)).rejected_reason:
                raise Unfinished(reason)
            latencies_ms.append((loop.time() - began) * 1000)
        await store.propose(ReleaseLease(lease, token), 10.0)

    try:
        await asyncio.gather(*(make_changes(store, i) for i, store in enumerate(stores)))
    finally:
        await asyncio.gather(*(store.close() for store in stores))
    return latencies_ms


async def commits(folder: Path, log_progress: ProgressLog) -> dict[str, float]:
    """Throughput and latency of changes, from 16 callers and from one."""
    async with Keepers(folder) as keepers:
        await _make_changes(keepers, 320)
        log_progress("commits, 16 callers")
        began = time.monotonic()
        latencies_ms = await _make_changes(keepers, 4000)
        span = time.monotonic() - began
        log_progress("commits, one caller")
        single = await _make_changes(keepers, 400, 1)
    return {
        "per_s": round(len(latencies_ms) / span, 1),
        "median_ms": round(statistics.median(latencies_ms), 2),
        "p99_ms": round(sorted(latencies_ms)[int(0.99 * len(latencies_ms))], 2),
        "alone_median_ms": round(statistics.median(single), 2),
        "alone_p99_ms": round(sorted(single)[int(0.99 * len(single))], 2),
    }


async def growth(folder: Path, log_progress: ProgressLog, changes: int) -> dict[str, Any]:
    """Memory while many changes are made, and the time in which a keeper catches up on 10,000 changes."""
    async with Keepers(folder) as keepers:
        rss_by_changes: dict[str, float] = {}
        for step in range(1, 6):
            log_progress(f"memory, {step * changes // 5} changes")
            await _make_changes(keepers, changes // 5)
            rss_by_changes[str(step * changes // 5)] = max(keepers.rss_mb().values())
        log_progress("catching up on 10,000 changes")
        rows = await keepers.status()
        lagging = next(name for name, row in rows.items() if row["role"] != "leader")
        await keepers.processes[lagging].stop()
        await _make_changes(keepers, 10_000)
        target_index = max(row["commit"] for row in (await keepers.status()).values())
        began = time.monotonic()
        await keepers.start(lagging)
        start_s = time.monotonic() - began
        catch_up_s = await keepers.wait_until(
            lambda rows: rows.get(lagging, {}).get("applied", 0) >= target_index
        )
        size = sum(file.stat().st_size for file in (folder / lagging).iterdir()) / 1e6
    return {
        "rss_mb": rss_by_changes,
        "start_s": round(start_s, 2),
        "caught_up_s": round(catch_up_s, 2),
        "disk_mb": round(size, 1),
    }


async def crowd(
    folder: Path, log_progress: ProgressLog, agents: int, seconds: float = 10.0
) -> dict[str, Any]:
    """Many agents with member leases on three keepers: CPU, bytes, and time until all have a change."""
    loop = asyncio.get_running_loop()
    async with Keepers(folder) as keepers:
        log_progress(f"{agents} agents connect at the same time")
        began = time.monotonic()
        members = [
            Agent(keepers.operator, f"p{i}", loop=loop, on_change=_ignore_change, may_probe=False)
            for i in range(agents)
        ]
        await asyncio.gather(*(agent.start() for agent in members))
        while not all(agent.lease_holder.held for agent in members):
            await asyncio.sleep(0.05)
            if time.monotonic() - began > TIMEOUT_S:
                raise Unfinished("not all agents became members")
        joined_s = time.monotonic() - began
        log_progress("steady state")
        await asyncio.sleep(2.0)
        cpu, own_cpu_before, loopback_before = (
            keepers.cpu_s(),
            time.process_time(),
            _loopback_bytes(),
        )
        await asyncio.sleep(seconds)
        keepers_cpu, own_cpu, loopback_bytes = (
            keepers.cpu_s() - cpu,
            time.process_time() - own_cpu_before,
            _loopback_bytes() - loopback_before,
        )
        log_progress("a change that every agent gets")
        tool = KeeperClient(keepers.operator, "bench", PeerRole.TOOL, loop=loop)
        change_latencies_s = []
        for i in range(5):
            began = time.monotonic()
            done = await tool.propose(
                PutDrain(Drain(DrainKind.BACKEND, f"b{i}", "bench", "", "")), 10.0
            )
            while not all(agent.snapshot.version >= done.version for agent in members):
                await asyncio.sleep(0.005)
            change_latencies_s.append(time.monotonic() - began)
        log_progress("a keeper is killed: its agents reconnect")
        name = next(n for n, row in (await keepers.status()).items() if row["role"] != "leader")
        process = keepers.processes[name]
        process.signal(signal.SIGKILL)
        await process.stop()
        began = time.monotonic()
        await asyncio.sleep(0.2)
        while not all(agent.client and agent.client.peer_name for agent in members):
            await asyncio.sleep(0.02)
        reconnected_s = time.monotonic() - began
        lost = sum(agent.counters.leases_lost for agent in members)
        await tool.close()
        await asyncio.gather(*(agent.stop() for agent in members))
    return {
        "agents": agents,
        "all_members_s": round(joined_s, 2),
        "keepers_cpu_part": round(keepers_cpu / seconds, 3),
        "agent_cpu_part": round(own_cpu / seconds / agents, 5),
        "bytes_per_s": round(loopback_bytes / seconds),
        "change_at_all_s": round(statistics.median(change_latencies_s), 3),
        "all_back_s": round(reconnected_s, 2),
        "leases_lost": lost,
    }


def _ignore_change() -> None:
    pass


def _loopback_bytes() -> int:
    """Bytes sent over loopback by the whole machine, so nothing else may use it meanwhile."""
    for line in Path("/proc/net/dev").read_text().splitlines():
        if line.strip().startswith("lo:"):
            return int(line.split(":")[1].split()[8])
    return 0


async def beside(
    folder: Path, log_progress: ProgressLog, seconds: float = 5.0, rate: int = 1000, pairs: int = 3
) -> dict[str, Any]:
    """Request latency and CPU of a proxy with and without an agent, alternating, at 50 changes a second."""
    loop = asyncio.get_running_loop()
    rows: dict[str, list[dict[str, Any]]] = {"off": [], "on": []}
    async with Keepers(folder) as keepers:
        writer = loop.create_task(_write_steadily(keepers, 50.0))
        reader = KeeperClient(keepers.operator, "looker", PeerRole.TOOL, loop=loop)
        for _ in range(pairs):
            for variant in rows:
                log_progress(f"{rate} requests a second, agent {variant}")
                extra_arguments = ("--operator", str(keepers.path)) if variant == "on" else ()
                rows[variant].append(
                    (
                        await bench.measure(
                            seconds,
                            (rate,),
                            _ignore_progress,
                            extra_args=extra_arguments,
                            with_max_rate=False,
                        )
                    )[0]
                )
            # Guards against figures of an agent that never became a member.
            if MEMBER_LEASE_PREFIX + "bench" not in (await reader.read_state(5.0)).leases:
                raise Unfinished("the proxy with an agent never became a member")
        await reader.close()
        writer.cancel()
        await asyncio.gather(writer, return_exceptions=True)
    found: dict[str, Any] = {"rate": rate, "pairs": pairs}
    for key in ("p50_ms", "p99_ms", "cpu_us_per_request"):
        found[key] = {variant: [row[key] for row in rows[variant]] for variant in rows}
        ratios = [a[key] / b[key] for a, b in zip(rows["on"], rows["off"], strict=True)]
        found[f"{key}_ratio"] = round(statistics.median(ratios), 3)
    return found


def _ignore_progress(_: str) -> None:
    pass


async def _write_steadily(keepers: Keepers, rate: float) -> None:
    loop = asyncio.get_running_loop()
    store = KeeperClient(keepers.operator, "steady", PeerRole.TOOL, loop=loop)
    token, number = (
        (await store.propose(AcquireLease("steady", "bench", 3_600_000), 10.0)).token,
        0,
    )
    try:
        while True:
            began = loop.time()
            number += 1
            await store.propose(
                PutValue("steady", token, f"s/{number % 50}", number.to_bytes(8, "big")), 10.0
            )
            await asyncio.sleep(max(0.0, 1.0 / rate - (loop.time() - began)))
    finally:
        await store.close()


def run(log_progress: ProgressLog, changes: int, agents: int, only: str | None) -> dict[str, Any]:
    """Runs all benchmarks, or `only` one, each with its own keepers. Raises Unfinished."""
    benchmarks: dict[str, Callable[[Path], Any]] = {
        "commits": lambda folder: commits(folder, log_progress),
        "growth": lambda folder: growth(folder, log_progress, changes),
        "crowd": lambda folder: crowd(folder, log_progress, agents),
        "beside": lambda folder: beside(folder, log_progress),
    }

    async def measure_plans(_: Path) -> dict[str, Any]:
        return planbench.figures(agents, 12)

    benchmarks["plans"] = measure_plans
    report: dict[str, Any] = {"revision": bench.revision(), "cores": os.cpu_count()}
    for name, benchmark in benchmarks.items():
        if only in (None, name):
            with tempfile.TemporaryDirectory(prefix="mothstall-keepers-") as folder:
                report[name] = asyncio.run(benchmark(Path(folder)))
    return report
