"""Observers beside the keepers of a play: started, measured, one of them lost."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import time
from typing import Any

from mothstall.fleet import attach
from mothstall.fleet.client import NoContact
from mothstall.fleet.operator import from_tree
from mothstall.lab.fleetbench import Keepers
from mothstall.lab.ledger import Unfinished
from mothstall.lab.process import ObserverProcess
from mothstall.lab.scale.hollow import Crew, rss_kb, zone_of

REGIONS = 4
SETTLE_S = 20.0  # until the proxies of a lost observer are members again


class Observers:
    """`each` of them a zone, direct connections to the keepers. `tree` is the hollows' operator file."""

    def __init__(self, keepers: Keepers, zones: int, each: int) -> None:
        self.keepers = keepers
        self._rows: list[dict[str, str]] = [
            {
                "name": f"o{i}", "zone": zone_of(i, zones), "region": f"region-{i % zones % REGIONS}",
                "address": "127.0.0.1:1", "listen": "127.0.0.1:0",
            }
            for i in range(zones * each)
        ]  # fmt: skip
        self.processes = {row["name"]: ObserverProcess(row["name"], keepers.folder) for row in self._rows}
        self.tree: dict[str, Any] = keepers.tree
        self._operator = keepers.operator

    async def __aenter__(self) -> Observers:
        """Where each listens is known once it does: no port is drawn before it is used."""
        path = self.keepers.folder / "observers.toml"
        lines = [self.keepers.path.read_text(encoding="utf-8")]
        for row in self._rows:
            lines += ["[[observers]]", *(f'{key} = "{value}"' for key, value in row.items())]
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")
        await asyncio.gather(*(process.begin(path) for process in self.processes.values()))
        if not self._rows:
            return self
        rows = [
            {**row, "address": f"127.0.0.1:{self.processes[row['name']].port}"} for row in self._rows
        ]
        self.tree = {**self.keepers.tree, "observers": rows}
        self._operator = from_tree(self.tree)
        end = time.monotonic() + SETTLE_S
        while not all(row["token"] for row in (await self.status()).values()):
            if time.monotonic() > end:
                raise Unfinished("an observer took no lease")
            await asyncio.sleep(0.05)
        return self

    async def __aexit__(self, *_: object) -> None:
        await asyncio.gather(*(process.stop() for process in self.processes.values()))

    def pids(self) -> list[int]:
        return [process._process.pid for process in self.processes.values() if process._process]

    async def status(self) -> dict[str, dict[str, Any]]:
        """By observer, of those that answer."""
        found: dict[str, dict[str, Any]] = {}
        for row in self._operator.observers:
            with contextlib.suppress(NoContact):
                said = await attach.order(self._operator, row, "status", 2.0)
                found[row.name] = json.loads(said.text)
        return found

    def cpu(self) -> dict[str, float]:
        for process in self.processes.values():
            process.note_cpu()
        return {name: process.cpu_s for name, process in self.processes.items()}

    def memory_mb(self) -> float:
        return max((rss_kb(pid) / 1024 for pid in self.pids()), default=0.0)

    async def lose_one(self, crew: Crew) -> dict[str, tuple[float, str]]:
        """One is killed: until all proxies are members again, and what its proxies did meanwhile."""
        name = next(iter(self.processes))
        process = self.processes[name]
        process.signal(signal.SIGKILL)
        began = time.monotonic()
        await process.stop()
        while sum(row["members"] for row in await crew.all("joined")) < crew.proxies:
            if time.monotonic() - began > SETTLE_S:
                return {"observer_kill_gave_up": (SETTLE_S, "s")}
            await asyncio.sleep(0.02)
        return {"observer_kill_last": (time.monotonic() - began, "s")}


def per_second(
    before: dict[str, dict[str, Any]], after: dict[str, dict[str, Any]], key: str, span_s: float
) -> list[float]:
    """What a count grew by, by observer."""
    return [
        (row["counts"][key] - before[name]["counts"][key]) / span_s
        for name, row in after.items() if name in before
    ]  # fmt: skip
