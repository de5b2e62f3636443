"""Faults among hundreds of hollows behind observers, with real proxies that serve clients throughout.

The losses of `faults`, and an observer's; a zone goes with its observers, a region's observers are cut off
from the keepers. Settled besides means: each row of the log stands under its observer's lease, each proxy has
a seat at one observer alone, and real proxies say themselves that they are attached and have all drains.
The lab's judge reads what clients and boxes saw over the whole of it: a broken rule, or a second in which
traffic does not flow, is wrong as a second owner is. Raises Unfinished.
"""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import Awaitable, Sequence
from pathlib import Path
from typing import Any

from mothstall.fleet.agent.keeper_client import KeeperClient
from mothstall.fleet.errors import KeeperUnavailableError
from mothstall.fleet.leases.names import OBSERVER_LEASE_PREFIX
from mothstall.lab.fleetbench import Keepers
from mothstall.lab.ledger import Ledger, Unfinished
from mothstall.lab.links import Mesh
from mothstall.lab.scale import beside
from mothstall.lab.scale.beside import Beside
from mothstall.lab.scale.control import Fleet, Say, Values
from mothstall.lab.scale.faults import (
    CUT_S,
    KINDS,
    LIMIT_S,
    RACK,
    REGION,
    ZONES,
    Trial,
    links_to,
    pids_of,
)
from mothstall.lab.scale.hollow import Crew, files_for_many, zone_of
from mothstall.lab.scale.tier import Observers
from mothstall.store.protocol.frames import PeerRole
from mothstall.store.state.changes import PutDrain
from mothstall.store.state.rows import Drain, DrainKind, StateDelta

EACH = 2  # observers a zone
LOST = 1  # the zone that is lost
# Where real proxies stand: in the region that is cut off, in that of the zone that is lost, at the observer
# that is killed. None goes itself: clients of a machine that is lost are no measure of the others.
STAND = (0, 5, 2)  # zones
WARM_S = 4.0  # of clients that no figure counts
BEFORE_S = 8.0  # that the faults are held against
AFTER_S = 3.0
TIER_KINDS = (*KINDS, "observer")


class TierTrial(Trial):
    """One fleet behind observers under faults."""

    def __init__(
        self, keepers: Keepers, crew: Crew, say: Say, tier: Observers, real: Beside
    ) -> None:
        super().__init__(keepers, crew, say)
        self.tier, self.real = tier, real
        self.others = list(real.names)
        self.spans: list[tuple[str, int, int]] = []

    def members(self, told: StateDelta) -> list[str]:
        """Also those that move from a lost observer, as duties are dealt out."""
        return [*super().members(told), *(name for name, row in told.members.items() if row)]

    async def agree(self, told: StateDelta) -> bool:
        rows = [row for row in told.members.values() if row]
        live = {row.name: row.token for row in told.leases.values() if row}
        if any(live.get(row.lease) != row.token for row in rows) or not await super().agree(told):
            return False
        if sum(row["seated"] for row in (await self.tier.status()).values()) != len(rows):
            return False
        said = await self.real.counters()
        return all(
            row.get("fleet_attached") == 1 and row.get("fleet_drains", 0) >= self.drains
            for row in said
        )

    def doubled(self, told: StateDelta) -> bool:
        owners = [row.owner for row in told.members.values() if row]
        return len(set(owners)) != len(owners) or super().doubled(told)

    async def alone(self, key: str) -> None:
        """An observer without a quorum answers for nobody, by its own clock, and says how old its word is."""
        said = await self.tier.status()
        names = self.tier.cut if key == "cut" else list(said)
        rows = [said[name] for name in names if name in said]
        if len(rows) < len(names):
            self.wrong.append(
                f"{key}: {len(names) - len(rows)} observers without a quorum do not answer"
            )
        if holding := [row["name"] for row in rows if row["token"]]:
            self.wrong.append(f"{key}: {', '.join(holding)} hold their leases without a quorum")
        age_s = min((row["age_ms"] for row in rows), default=0) / 1000
        self.values[f"{key}_age"] = (age_s, "s")
        if age_s < CUT_S / 2:
            self.wrong.append(
                f"{key}: an observer calls its word {age_s:g} s old after {CUT_S:g} s"
            )

    async def zone(self) -> None:
        """A zone's proxies and observers at one instant; other observers take its proxies out of the log."""
        names = self.tier.in_zone(zone_of(LOST, ZONES))
        _, rows = await asyncio.gather(self.tier.kill(names), self.crew.all("vanish", zones=[LOST]))
        gone = sum(row["gone"] for row in rows)
        self.say(f"zone: {gone} hollows and {len(names)} observers are lost")
        await self.without("zone", self.crew.proxies - gone + len(self.others))
        self.say("zone: they come back")
        await self.tier.again(names)
        await self.crew.all("anew", zones=[LOST])
        await self.settled("zone_back")

    async def observer(self) -> None:
        """That of the last real proxy; the others of its proxies move with it."""
        tool = KeeperClient(
            self.keepers.operator, "where", PeerRole.TOOL, loop=asyncio.get_running_loop()
        )
        try:
            row = (await tool.read_state(5.0)).members.get(self.others[-1])
        except KeeperUnavailableError as why:
            raise Unfinished(str(why)) from why
        finally:
            await tool.close()
        if row is None:
            raise Unfinished(f"{self.others[-1]} is no member")
        name = row.lease.removeprefix(OBSERVER_LEASE_PREFIX)
        self.say(f"{name} is killed")
        await self.tier.kill([name])
        await self.settled("observer_moved")
        await self.tier.again([name])
        await self.settled("observer_back")

    async def spanned(self, key: str, work: Awaitable[None]) -> None:
        since = self.real.now
        await work
        self.spans.append((key, since, self.real.now))

    async def drain(self) -> None:
        """One of the boxes, for the whole run: no loss may bring it back."""
        box = min(self.real.run.world.backends)
        tool = KeeperClient(
            self.keepers.operator, "drain", PeerRole.TOOL, loop=asyncio.get_running_loop()
        )
        try:
            row = Drain(DrainKind.BACKEND, beside.box_name(box), "bench", "", "")
            if why := (await tool.propose(PutDrain(row), 5.0)).rejected_reason:
                raise Unfinished(f"a drain was refused: {why}")
        except KeeperUnavailableError as why:
            raise Unfinished(str(why)) from why
        finally:
            await tool.close()
        self.drains += 1
        self.real.drained(box)

    async def judged(self) -> None:
        await super().judged()
        said = await self.real.counters()
        known = sorted({row.get("fleet_drains", 0) for row in said})
        if known != [self.drains]:
            self.wrong.append(f"{self.drains} drains were said, {known} are known at real proxies")
        self.values["real_moves"] = (sum(row.get("fleet_moves", 0) for row in said), "1")

    def harmed(self, ledger: Ledger) -> None:
        """What the judge of clients finds, and what they saw in each span against the time before."""
        verdict = self.real.judged(ledger)
        self.wrong += beside.wrong(verdict, ledger)
        notes = self.real.run.notes()
        self.values |= {
            "requests": (len(ledger.intents), "1"),
            "excused": (verdict.excused, "1"),
            "late": (notes["late_s"], "s"),
            "late_worst": (notes["worst_late_ms"], "ms"),
        }
        self.values |= told(ledger, self.spans)


def told(ledger: Ledger, spans: Sequence[tuple[str, int, int]]) -> Values:
    """What clients saw in each span; the first is what the others are held against."""
    values: Values = {}
    first = 0.0
    for key, since, until in spans:
        saw = beside.seen(ledger, since, until)
        values |= {f"{key}_asked": (saw.asked, "1"), f"{key}_served": (saw.served, "1")}
        if saw.served > 0:
            values |= {f"{key}_p50": (saw.p50, "ms"), f"{key}_p99": (saw.p99, "ms")}
            first = first or saw.p99
            if saw.p99 is not first:
                values[f"{key}_p99_ratio"] = (saw.p99 / first, "1")
    return values


async def play(
    proxies: int,
    say: Say,
    *,
    seed: int,
    kinds: Sequence[str] = TIER_KINDS,
    zones: int = ZONES,
    stand: Sequence[int] = STAND,
    before_s: float = BEFORE_S,
) -> tuple[Values, list[str]]:
    """All kinds in turn on one fleet: times, what clients saw, and what is wrong."""
    files_for_many()
    mesh = Mesh(seed)
    with tempfile.TemporaryDirectory(prefix="mothstall-scale-") as place:
        folder = Path(place)
        async with Keepers(folder) as keepers:
            real: Beside | None = None

            def pids() -> list[int]:
                return [*pids_of(keepers), *tier.pids(), *(real.pids if real else ())]

            try:
                through = await links_to(keepers, mesh)
                cut_zones = REGION if "cut" in kinds else ()
                async with (
                    Observers(
                        keepers, zones, EACH, cut_zones, through, mesh, (LOST, stand[-1])
                    ) as tier,
                    Crew(
                        tier.tree, proxies, seed=seed, zones=zones, reports=True, beside=pids
                    ) as crew,
                ):
                    first = Fleet(keepers, crew, say, tier)
                    if not await first.join(LIMIT_S):
                        raise Unfinished(f"{first.values['joined'][0]:g} of {proxies} joined")
                    say(f"{len(stand)} real proxies and their clients")
                    async with Beside(tier.tree, stand, zones, folder, seed) as real:
                        trial = TierTrial(keepers, crew, say, tier, real)
                        return await _played(trial, mesh, kinds, before_s)
            finally:
                await mesh.close()


async def _played(
    trial: TierTrial, mesh: Mesh, kinds: Sequence[str], before_s: float
) -> tuple[Values, list[str]]:
    await trial.drain()
    await trial.settled("settled")
    await asyncio.sleep(WARM_S)
    trial.say("before any fault")
    await trial.spanned("before", asyncio.sleep(before_s))
    faults: dict[str, Any] = {
        "rack": lambda: trial.lost_and_back(
            "rack", numbers=list(range(max(2, trial.crew.proxies // RACK)))
        ),
        "zone": trial.zone,
        "rolling": trial.rolling,
        "cut": lambda: trial.cut(mesh),
        "majority": trial.majority,
        "observer": trial.observer,
    }
    for kind in kinds:
        await trial.spanned(kind, faults[kind]())
    await trial.spanned("after", asyncio.sleep(min(AFTER_S, before_s)))
    await trial.judged()
    trial.harmed(await trial.real.finish())
    return trial.values, trial.wrong
