"""Faults among hundreds of hollows: what is lost at once, comes back at once, is cut off; what has to hold.

One kind of loss after the other, each until it is settled: the members in the store are those that live,
each holds its lease, all have the last change. Judged besides, by what hollows did and the store has: no
lease with two owners, no two owners of plans at one instant, no drain that was said and is gone. Raises
Unfinished.
"""

from __future__ import annotations

import asyncio
import signal
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from mothstall.fleet.agent.keeper_client import KeeperClient
from mothstall.fleet.errors import KeeperUnavailableError
from mothstall.fleet.leases.names import MEMBER_LEASE_PREFIX
from mothstall.lab.fleetbench import Keepers
from mothstall.lab.ledger import Unfinished
from mothstall.lab.links import Mesh
from mothstall.lab.scale.control import Fleet, Say, Values
from mothstall.lab.scale.hollow import Crew, files_for_many
from mothstall.store.protocol.frames import PeerRole
from mothstall.store.state.changes import PutDrain
from mothstall.store.state.rows import Drain, DrainKind, StateDelta

ZONES, REGION = (
    11,
    (0, 4, 8),
)  # the first of four regions: capacity.placement deals zones out in turn
LIMIT_S = 40.0  # until one fault is settled
CUT_S = 6.0  # three terms
RACK = 50  # one of so many proxies stands in the rack that is lost
PACE = 2.2  # restarts a second: ten times those of the shipped target
ROLLING_S = 8.0


def overlaps(terms: Sequence[tuple[float, float]]) -> int:
    """Pairs of terms that share more than an instant, in order of their begin."""
    found, until = 0, float("-inf")
    for since, end in sorted((since, end) for since, end in terms):
        found += since < until
        until = max(until, end)
    return found


class Trial:
    """One fleet under faults; what is wrong is collected, times are values."""

    def __init__(self, keepers: Keepers, crew: Crew, say: Say) -> None:
        self.keepers, self.crew, self.say = keepers, crew, say
        self.values: Values = {}
        self.wrong: list[str] = []
        self.drains = 0
        self.others: list[str] = []  # members that are no hollows

    def members(self, told: StateDelta) -> list[str]:
        """Who is a member by the store."""
        return [
            name[len(MEMBER_LEASE_PREFIX) :]
            for name in told.leases
            if name.startswith(MEMBER_LEASE_PREFIX)
        ]

    async def agree(self, told: StateDelta) -> bool:
        """Whether all are members by the store and by their own word, and have every change."""
        found = await self.crew.figures()
        names, there = self.members(told), sum(count >= self.drains for count in found["drains"])
        same = sorted(names) == sorted([*found["names"], *self.others])
        return bool(same and len(found["names"]) == there == self.crew.proxies)

    async def settled(self, key: str) -> None:
        """Until store and proxies agree on who is there, and all of these have a change said just now."""
        began = time.monotonic()
        tool = KeeperClient(
            self.keepers.operator, f"settle-{key}", PeerRole.TOOL, loop=asyncio.get_running_loop()
        )
        try:
            said = False
            while time.monotonic() - began < LIMIT_S:
                try:
                    if not said:
                        drain = Drain(DrainKind.BACKEND, f"fault-{key}", "bench", "", "")
                        said = not (await tool.propose(PutDrain(drain), 2.0)).rejected_reason
                        self.drains += said
                        continue
                    told = await tool.read_state(2.0)
                except KeeperUnavailableError:
                    continue
                if await self.agree(told):
                    self.values[key] = (time.monotonic() - began, "s")
                    if self.doubled(told):
                        self.wrong.append(f"{key}: two members of one owner, or of one token")
                    return
                await asyncio.sleep(0.1)
            self.wrong.append(f"{key}: not settled within {LIMIT_S:g} s")
        finally:
            await tool.close()

    def doubled(self, told: StateDelta) -> bool:
        rows = [
            row for row in told.leases.values() if row and row.name.startswith(MEMBER_LEASE_PREFIX)
        ]
        return len({row.owner for row in rows}) != len(rows) or len(
            {row.token for row in rows}
        ) != len(rows)

    async def lost_and_back(self, key: str, **who: Any) -> None:
        """Machines that go at one instant, and come back at one instant."""
        gone = sum(row["gone"] for row in await self.crew.all("vanish", **who))
        self.say(f"{key}: {gone} are lost")
        # Who is gone still believes what it held; only who lives is asked.
        await self.without(key, self.crew.proxies - gone + len(self.others))
        self.say(f"{key}: they come back")
        await self.crew.all("anew", **who)
        await self.settled(f"{key}_back")

    async def without(self, key: str, living: int) -> None:
        """Until the store has no more members than those that live."""
        began = time.monotonic()
        tool = KeeperClient(
            self.keepers.operator, f"gone-{key}", PeerRole.TOOL, loop=asyncio.get_running_loop()
        )
        try:
            while time.monotonic() - began < LIMIT_S:
                if len(self.members(await tool.read_state(5.0))) == living:
                    self.values[f"{key}_gone"] = (time.monotonic() - began, "s")
                    return
                await asyncio.sleep(0.1)
            self.wrong.append(f"{key}: who is lost is a member for {LIMIT_S:g} s")
        except KeeperUnavailableError as why:
            raise Unfinished(str(why)) from why
        finally:
            await tool.close()

    async def rolling(self) -> None:
        self.say(f"restarts, {PACE:g} a second")
        lost = (await self.crew.figures())["counts"]["leases_lost"]
        began, number = time.monotonic(), 0
        while (due := began + number / PACE) < began + ROLLING_S:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            await self.crew.all("restart", numbers=[number % self.crew.proxies])
            number += 1
        await self.settled("rolling")
        self.values["rolling_leases_lost"] = (
            max(0, (await self.crew.figures())["counts"]["leases_lost"] - lost),
            "1",
        )

    async def cut(self, mesh: Mesh) -> None:
        self.say(f"a region is cut off for {CUT_S:g} s")
        hold(mesh, True)
        await asyncio.sleep(CUT_S)
        await self.alone("cut")
        hold(mesh, False)
        await self.settled("cut_back")

    async def alone(self, key: str) -> None:
        """Each believes what its own clock tells: none of those cut off may act on a lease by now."""
        names = set((await self.crew.figures())["names"])
        if key == "cut":
            names &= {f"p{i}" for i in range(self.crew.proxies) if i % ZONES in REGION}
        if names:
            self.wrong.append(
                f"{key}: {len(names)} hold a lease by their own word, without a quorum"
            )

    async def majority(self) -> None:
        self.say("two of three keepers are lost for a while")
        names = sorted(self.keepers.processes)[:2]
        for name in names:
            self.keepers.processes[name].signal(signal.SIGKILL)
            await self.keepers.processes[name].stop()
        await asyncio.sleep(CUT_S)
        await self.alone("majority")
        await asyncio.gather(*(self.keepers.start(name) for name in names))
        await self.settled("majority_back")

    async def judged(self) -> None:
        """What holds over all of it."""
        found = await self.crew.figures()
        if set(found["drains"]) != {self.drains}:
            self.wrong.append(
                f"{self.drains} drains were said, {sorted(set(found['drains']))} are known"
            )
        terms = [(a, b) for row in await self.crew.all("terms") for a, b in row["terms"]]
        if both := overlaps(terms):
            self.wrong.append(f"two owners of plans at one instant, {both} times")
        self.values["owners"] = (len(terms), "1")


FAR = "region"  # that is cut off, as a sender of the mesh


def hold(mesh: Mesh, on: bool) -> None:
    """Nothing goes between the region that is cut off and the keepers, until it does again."""
    for (sender, _), link in mesh.links.items():
        if sender == FAR:
            link.forward.is_paused = link.backward.is_paused = on


async def links_to(keepers: Keepers, mesh: Mesh) -> list[dict[str, Any]]:
    """The keepers' rows of an operator file for those who reach them through the mesh."""
    rows = []
    for row in keepers.operator.keepers:
        link = await mesh.add(FAR, row.name, lambda port=row.parsed_address.port: port)  # type: ignore[misc]
        rows.append({"name": row.name, "address": f"127.0.0.1:{link.port}"})
    return rows


def pids_of(keepers: Keepers) -> list[int]:
    found = (process._process for process in keepers.processes.values())
    return [process.pid for process in found if process]


KINDS = ("rack", "zone", "rolling", "cut", "majority")


async def play(
    proxies: int, say: Say, *, seed: int, kinds: Sequence[str] = KINDS
) -> tuple[Values, list[str]]:
    """All kinds in turn on one fleet: times, and what is wrong."""
    files_for_many()
    mesh = Mesh(seed)
    with tempfile.TemporaryDirectory(prefix="mothstall-scale-") as folder:
        async with Keepers(Path(folder)) as keepers:
            cut_tree = {**keepers.tree, "keepers": await links_to(keepers, mesh)}
            try:
                async with Crew(
                    keepers.tree,
                    proxies,
                    seed=seed,
                    zones=ZONES,
                    reports=True,
                    beside=lambda: pids_of(keepers),
                    cut_zones=REGION,
                    cut_tree=cut_tree,
                ) as crew:
                    first = Fleet(keepers, crew, say)
                    if not await first.join(LIMIT_S):
                        raise Unfinished(f"{first.values['joined'][0]:g} of {proxies} joined")
                    trial = Trial(keepers, crew, say)
                    if "rack" in kinds:
                        await trial.lost_and_back(
                            "rack", numbers=list(range(max(2, proxies // RACK)))
                        )
                    if "zone" in kinds:
                        await trial.lost_and_back("zone", zones=[1])
                    if "rolling" in kinds:
                        await trial.rolling()
                    if "cut" in kinds:
                        await trial.cut(mesh)
                    if "majority" in kinds:
                        await trial.majority()
                    await trial.judged()
            finally:
                await mesh.close()
    return trial.values, trial.wrong
