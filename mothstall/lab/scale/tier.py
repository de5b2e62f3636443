"""Observers beside the keepers of a play: started, measured, one of them lost."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import time
from collections.abc import Collection, Iterable, Sequence
from functools import partial
from typing import Any

from mothstall.fleet.agent import single_requests
from mothstall.fleet.errors import KeeperUnavailableError
from mothstall.fleet.operator_file import parse_operator_file
from mothstall.lab.fleetbench import Keepers
from mothstall.lab.fleetplay import as_toml
from mothstall.lab.ledger import Unfinished
from mothstall.lab.links import Mesh
from mothstall.lab.process import ObserverProcess
from mothstall.lab.scale.hollow import Crew, rss_kb, zone_of
from mothstall.store.protocol.keeper_messages import AdminVerb

REGIONS = 4
SETTLE_S = 20.0  # until the proxies of a lost observer are members again


class Observers:
    """`each` of them a zone, direct connections to the keepers. `tree` is the hollows' operator file.

    `cut_keepers`: the keepers' rows by which those of `cut_zones` reach them instead; `mesh`: where those of
    `mortal` zones are reached, so that others of their names can listen elsewhere.
    """

    def __init__(
        self,
        keepers: Keepers,
        zones: int,
        each: int,
        cut_zones: Collection[int] = (),
        cut_keepers: Sequence[dict[str, Any]] = (),
        mesh: Mesh | None = None,
        mortal: Collection[int] = (),
    ) -> None:
        self.keepers = keepers
        self._rows: list[dict[str, str]] = [
            {
                "name": f"o{i}",
                "zone": zone_of(i, zones),
                "region": f"region-{i % zones % REGIONS}",
                "address": "127.0.0.1:1",
                "listen": "127.0.0.1:0",
            }
            for i in range(zones * each)
        ]
        self.processes = {
            row["name"]: ObserverProcess(row["name"], keepers.folder) for row in self._rows
        }
        self.tree: dict[str, Any] = keepers.tree
        self._operator = keepers.operator
        cut = {zone_of(zone, zones) for zone in cut_zones}
        self.cut = [row["name"] for row in self._rows if row["zone"] in cut]
        self._cut_keepers = list(cut_keepers)
        self._mesh = mesh
        through = {zone_of(zone, zones) for zone in mortal}
        self._through = [row["name"] for row in self._rows if row["zone"] in through]

    async def __aenter__(self) -> Observers:
        """Where each listens is known once it does: no port is drawn before it is used."""
        try:
            await self.again(row["name"] for row in self._rows)
            if self._rows:
                await self._seated()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def _begin(self, name: str) -> None:
        tree = {**self.keepers.tree, "observers": self._rows}
        if name in self.cut:
            tree["keepers"] = self._cut_keepers
        path = self.keepers.folder / f"{name}.toml"
        path.write_text(as_toml(tree), encoding="utf-8")
        await self.processes[name].begin(path)

    async def _seated(self) -> None:
        """Until each has its lease. Raises Unfinished."""
        rows = [
            {**row, "address": f"127.0.0.1:{await self._port(row['name'])}"} for row in self._rows
        ]
        self.tree = {**self.keepers.tree, "observers": rows}
        self._operator = parse_operator_file(self.tree)
        end = time.monotonic() + SETTLE_S
        while len([row for row in (await self.status()).values() if row["token"]]) < len(rows):
            if time.monotonic() > end:
                raise Unfinished("an observer took no lease")
            await asyncio.sleep(0.05)

    async def __aexit__(self, *_: object) -> None:
        await asyncio.gather(*(process.stop() for process in self.processes.values()))

    def pids(self) -> list[int]:
        return [process._process.pid for process in self.processes.values() if process._process]

    async def _port(self, name: str) -> int:
        process = self.processes[name]
        if self._mesh is None or name not in self._through:
            return process.port
        return (await self._mesh.add("proxies", name, partial(getattr, process, "port"))).port

    def in_zone(self, zone: str) -> list[str]:
        return [row["name"] for row in self._rows if row["zone"] == zone]

    async def kill(self, names: Iterable[str]) -> None:
        processes = [self.processes[name] for name in names]
        for process in processes:
            process.signal(signal.SIGKILL)
        await asyncio.gather(*(process.stop() for process in processes))

    async def again(self, names: Iterable[str]) -> None:
        """Processes of these names, each on a port that the system gives."""
        await asyncio.gather(*(self._begin(name) for name in names))

    async def status(self) -> dict[str, dict[str, Any]]:
        """By observer, of those that answer."""
        found: dict[str, dict[str, Any]] = {}
        for row in self._operator.observers:
            with contextlib.suppress(KeeperUnavailableError):
                said = await single_requests.send_observer_command(
                    self._operator, row, AdminVerb.STATUS, 2.0
                )
                found[row.name] = json.loads(said.body)
        return found

    def cpu(self) -> dict[str, float]:
        for process in self.processes.values():
            process.note_cpu()
        return {name: process.cpu_s for name, process in self.processes.items()}

    def memory_mb(self) -> float:
        return max((rss_kb(pid) / 1024 for pid in self.pids()), default=0.0)

    async def lose_one(self, crew: Crew) -> dict[str, tuple[float, str]]:
        """One is killed: until all proxies are members again, and what its proxies did meanwhile."""
        began = time.monotonic()
        await self.kill([next(iter(self.processes))])
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
        for name, row in after.items()
        if name in before
    ]
