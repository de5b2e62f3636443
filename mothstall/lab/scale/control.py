"""Plays of the control's side: what keepers, agents and the pure parts cost, by size. Raises Unfinished.

A play puts one fleet together at one size, from fresh keepers on, and measures in this order: joining at one
instant, a quiet while (or one of changes), changes for all, the loss of the leading keeper, the loss of all
keepers' processes. Times at agents are of the machine's one steady clock, noted where the agent notes them.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import multiprocessing
import random
import signal
import statistics
import tempfile
import time
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from mothstall.config import Address
from mothstall.fleet.agent.agent import Agent
from mothstall.fleet.agent.backend_endpoint import BackendEndpoint
from mothstall.fleet.agent.cluster_snapshot import ClusterSnapshot
from mothstall.fleet.agent.keeper_client import KeeperClient
from mothstall.fleet.errors import KeeperUnavailableError
from mothstall.fleet.leases.names import MEMBER_LEASE_PREFIX
from mothstall.fleet.probing import assignment
from mothstall.lab import bench, planbench
from mothstall.lab.fleetbench import Keepers
from mothstall.lab.ledger import Unfinished
from mothstall.lab.scale.hollow import LEAVES_OUT, Crew, files_for_many
from mothstall.lab.scale.tier import Observers, per_second
from mothstall.store.protocol.frames import PeerRole
from mothstall.store.state.changes import AcquireLease, ExpireLeases, Proposal, PutDrain, PutValue
from mothstall.store.state.machine import StateMachine
from mothstall.store.state.rows import Drain, DrainKind, Lease, StateDelta

Values = dict[str, tuple[float, str]]
Say = Callable[[str], object]

JOIN_S = 60.0  # until a crowd that has not come is given up
QUIET_S = 3.0
SILENT_S = 2.0  # after which an agent that hears no leader has turned to another keeper
CHANGES = 5  # for all, one after the other
SETTLE_S = 20.0  # until a change, or a return, is given up
CALLERS = 16


class Broken(RuntimeError):
    """What had to hold did not; the message is one line for each."""

    def __init__(self, values: Values, wrong: list[str]) -> None:
        super().__init__("; ".join(wrong))
        self.values, self.wrong = values, wrong


def quantile(rows: list[float], part: float) -> float:
    """The smallest value that so much of all does not exceed."""
    ordered = sorted(rows)
    return ordered[max(0, math.ceil(part * len(ordered)) - 1)]


async def _until(so: Callable[[], Awaitable[bool]], limit_s: float, step_s: float = 0.05) -> bool:
    end = time.monotonic() + limit_s
    while not await so():
        if time.monotonic() > end:
            return False
        await asyncio.sleep(step_s)
    return True


async def _fill(keepers: Keepers, rows: int) -> None:
    """So many entries of 64 bytes, written under one lease by a few callers."""
    loop = asyncio.get_running_loop()
    stores = [
        KeeperClient(keepers.operator, f"fill{i}", PeerRole.TOOL, loop=loop) for i in range(CALLERS)
    ]

    async def work(at: int) -> None:
        token = (
            await stores[at].propose(AcquireLease(f"fill/{at}", "fill", 3_600_000), 10.0)
        ).token
        for number in range(at, rows, CALLERS):
            row = PutValue(f"fill/{at}", token, f"fill/{number}", bytes(64))
            if why := (await stores[at].propose(row, 10.0)).rejected_reason:
                raise Unfinished(why)

    try:
        await asyncio.gather(*(work(i) for i in range(CALLERS)))
    finally:
        await asyncio.gather(*(store.close() for store in stores))


async def _steadily(keepers: Keepers, rate: float) -> None:
    """So many changes a second, on time as long as the keepers keep up."""
    loop = asyncio.get_running_loop()
    stores = [
        KeeperClient(keepers.operator, f"steady{i}", PeerRole.TOOL, loop=loop) for i in range(4)
    ]

    async def work(at: int) -> None:
        store = stores[at]
        token = (await store.propose(AcquireLease(f"steady/{at}", "steady", 3_600_000), 10.0)).token
        due, number = loop.time(), 0
        while True:
            number += 1
            row = PutValue(
                f"steady/{at}", token, f"steady/{at}/{number % 50}", number.to_bytes(8, "big")
            )
            await store.propose(row, 10.0)
            due += len(stores) / rate
            await asyncio.sleep(max(0.0, due - loop.time()))

    try:
        await asyncio.gather(*(work(i) for i in range(len(stores))))
    finally:
        await asyncio.gather(*(store.close() for store in stores))


def _sum(rows: dict[str, dict[str, Any]], key: str) -> int:
    return sum(int(row["counts"][key]) for row in rows.values())


def _cpu(keepers: Keepers) -> dict[str, float]:
    for process in keepers.processes.values():
        process.note_cpu()
    return {name: process.cpu_s for name, process in keepers.processes.items()}


def _leader(rows: dict[str, dict[str, Any]]) -> str:
    return next((name for name, row in rows.items() if row["role"] == "leader"), "")


class Fleet:
    """Keepers and hollows of one play, with what is measured of them."""

    def __init__(
        self, keepers: Keepers, crew: Crew, say: Say, tier: Observers | None = None
    ) -> None:
        self.keepers, self.crew, self.say, self.tier = keepers, crew, say, tier
        self.values: Values = {}

    async def join(self, limit_s: float = JOIN_S) -> bool:
        """All come at one instant; whether all became members within the limit."""
        before = await self.keepers.status()
        began = time.monotonic()
        self.say(f"{self.crew.proxies} hollows come at one instant")
        await self.crew.all("start")
        count = 0

        async def members() -> bool:
            nonlocal count
            count = sum(row["members"] for row in await self.crew.all("joined"))
            return bool(count >= self.crew.proxies)

        done = await _until(members, limit_s)
        took = [at - began for row in await self.crew.all("joined") for at in row["at"]]
        after = await self.keepers.status()
        commits = max((r["commit"] for r in after.values()), default=0) - max(
            r["commit"] for r in before.values()
        )
        calls = _sum(after, "calls") - _sum(before, "calls")
        self.values |= {
            "joined": (count, "1"),
            "join_commits": (commits / self.crew.proxies, "1"),
            "join_calls": (calls / self.crew.proxies, "1"),
        }
        if done:
            self.values |= {
                "join_median": (statistics.median(took), "s"),
                "join_p99": (quantile(took, 0.99), "s"),
                "join_last": (max(took), "s"),
            }
        else:
            self.values["join_gave_up"] = (limit_s, "s")
        return done

    async def quiet(self, base_kb: int, seconds: float = QUIET_S) -> None:
        """What it costs while it lasts."""
        self.say("a quiet while")
        await asyncio.sleep(1.0)
        keepers, crew = await self.keepers.status(), await self.crew.figures()
        told, worked = (await self.tier.status(), self.tier.cpu()) if self.tier else ({}, {})
        cpu, began = _cpu(self.keepers), time.monotonic()
        await asyncio.sleep(seconds)
        span, used = time.monotonic() - began, _cpu(self.keepers)
        if self.tier and self.tier.processes:
            after = self.tier.cpu()
            loads = [(after[name] - worked[name]) / span for name in after]
            out = per_second(told, await self.tier.status(), "bytes_out", time.monotonic() - began)
            self.values |= {
                "observers_cpu": (sum(loads), "cores"),
                "observer_cpu_most": (max(loads), "cores"),
                "observer_out_most": (max(out, default=0.0), "B/s"),
                "observer_memory": (self.tier.memory_mb(), "MB"),
            }
        crew2, keepers2 = await self.crew.figures(), await self.keepers.status()
        count, leader = self.crew.proxies, _leader(keepers2)
        parts = {name: (used[name] - cpu[name]) / span for name in used}
        both = [name for name in keepers if name in keepers2]

        def grown(name: str, key: str) -> float:
            return (int(keepers2[name]["counts"][key]) - int(keepers[name]["counts"][key])) / span

        commits = max(r["commit"] for r in keepers2.values()) - max(
            r["commit"] for r in keepers.values()
        )
        self.values |= {
            "keepers_cpu": (sum(parts.values()), "cores"),
            "keeper_cpu_most": (max(parts.values()), "cores"),
            "keepers_out": (sum(grown(name, "bytes_out") for name in both), "B/s"),
            "keeper_out_most": (max(grown(name, "bytes_out") for name in both), "B/s"),
            "keeper_memory": (max(self.keepers.rss_mb().values()), "MB"),
            "commits": (commits / span, "1/s"),
            "agent_cpu": ((crew2["cpu_s"] - crew["cpu_s"]) / span / count, "cores"),
            "agent_memory": (max(0.0, (crew2["rss_kb"] - base_kb) / 1024 / count), "MB"),
            "agent_in": ((crew2["bytes_in"] - crew["bytes_in"]) / span / count, "B/s"),
            "agent_out": ((crew2["bytes_out"] - crew["bytes_out"]) / span / count, "B/s"),
            "leases_lost": (crew2["counts"]["leases_lost"], "1"),
        }
        if leader:
            self.values["leader_cpu"] = (parts[leader], "cores")

    async def changes(self) -> None:
        """Until all have a change: over several, the median of each figure."""
        self.say("changes for all")
        tool = KeeperClient(
            self.keepers.operator, "bench", PeerRole.TOOL, loop=asyncio.get_running_loop()
        )
        rows: list[list[float]] = []
        try:
            for i in range(CHANGES):
                began = time.monotonic()
                done = await tool.propose(
                    PutDrain(Drain(DrainKind.BACKEND, f"b{i}", "bench", "", "")), 10.0
                )
                if done.rejected_reason:
                    raise Unfinished(f"a drain was refused: {done.rejected_reason}")
                there = 0

                async def all_have(version: int = done.version) -> bool:
                    nonlocal there
                    there = sum(
                        row["there"] for row in await self.crew.all("told", version=version)
                    )
                    return bool(there >= self.crew.proxies)

                if not await _until(all_have, SETTLE_S, 0.02):
                    raise Unfinished(
                        f"a change reached {there} of {self.crew.proxies} in {SETTLE_S:g} s"
                    )
                told = await self.crew.all("told", version=done.version)
                rows.append([at - began for row in told for at in row["at"]])
        except KeeperUnavailableError as why:
            raise Unfinished(str(why)) from why
        finally:
            await tool.close()
        self.values |= {
            "change_median": (statistics.median(statistics.median(row) for row in rows), "s"),
            "change_p99": (statistics.median(quantile(row, 0.99) for row in rows), "s"),
            "change_last": (max(max(row) for row in rows), "s"),
        }

    async def _silence(self, key: str, since: float) -> None:
        """Until all hear a keeper again that hears a leader; what counts is each agent's longest silence."""
        at = int(since * 1e9)

        async def heard() -> bool:
            rows = await self.crew.all("hears", since_ns=at)
            return bool(sum(row["hear"] for row in rows) >= self.crew.proxies)

        if not await _until(heard, SETTLE_S):
            self.values[f"{key}_gave_up"] = (SETTLE_S, "s")
            return
        # One more heartbeat: who had heard just before the loss shows its silence with the next word.
        await asyncio.sleep(SILENT_S)
        if not await _until(heard, SETTLE_S):
            self.values[f"{key}_gave_up"] = (SETTLE_S, "s")
            return
        gaps = [gap for row in await self.crew.all("silences") for gap in row["s"]]
        self.values |= {
            f"{key}_median": (statistics.median(gaps), "s"),
            f"{key}_p99": (quantile(gaps, 0.99), "s"),
            f"{key}_last": (max(gaps), "s"),
        }

    async def lose_leader(self) -> None:
        self.say("the leading keeper is killed")
        name = _leader(await self.keepers.status())
        if not name:
            raise Unfinished("no keeper leads")
        process = self.keepers.processes[name]
        await self.crew.all("silences")
        process.signal(signal.SIGKILL)
        since = time.monotonic()
        await process.stop()
        await self._silence("kill_silence", since)
        began = time.monotonic()
        await self.keepers.start(name)
        await self.keepers.wait_until(lambda rows: len(rows) == 3 and bool(_leader(rows)))
        self.values["keeper_start"] = (time.monotonic() - began, "s")

    async def lose_all(self) -> None:
        self.say("all keepers are killed and started")
        await self.crew.all("silences")
        since = time.monotonic()
        for process in self.keepers.processes.values():
            process.signal(signal.SIGKILL)
        await asyncio.gather(*(process.stop() for process in self.keepers.processes.values()))
        await asyncio.gather(*(self.keepers.start(name) for name in self.keepers.processes))
        await self._silence("restart_silence", since)


async def fleet(
    proxies: int,
    say: Say,
    *,
    seed: int,
    rows: int = 0,
    changes_per_s: float = 0.0,
    reports: bool = False,
    zones: int = 11,
    whole: bool = True,
    limit_s: float = JOIN_S,
    observers: int = 0,
) -> Values:
    """One fleet from its start on. `whole`: with the keepers' losses; `observers`: so many a zone."""
    files_for_many()
    with tempfile.TemporaryDirectory(prefix="mothstall-scale-") as folder:
        async with Keepers(Path(folder)) as keepers:
            if rows:
                say(f"{rows} rows are written")
                await _fill(keepers, rows)

            def pids() -> list[int]:
                found = (process._process for process in keepers.processes.values())
                return [process.pid for process in found if process] + tier.pids()

            async with (
                Observers(keepers, zones, observers) as tier,
                Crew(
                    tier.tree, proxies, seed=seed, zones=zones, reports=reports, beside=pids
                ) as crew,
            ):
                play = Fleet(keepers, crew, say, tier)
                base = (await crew.figures())["rss_kb"]
                if await play.join(limit_s):
                    steady: asyncio.Task[None] | None = None
                    if changes_per_s:
                        steady = asyncio.get_running_loop().create_task(
                            _steadily(keepers, changes_per_s)
                        )
                    await play.quiet(base)
                    if steady:
                        steady.cancel()
                        await asyncio.gather(steady, return_exceptions=True)
                    await play.changes()
                    if observers:
                        say("an observer is killed")
                        play.values |= await tier.lose_one(crew)
                    if whole:
                        await play.lose_leader()
                        await play.lose_all()
                with contextlib.suppress(Unfinished):
                    await crew.all("stop")
    return play.values


async def join_only(proxies: int, say: Say, *, seed: int, limit_s: float = JOIN_S) -> Values:
    """Joining alone, for sizes at which nothing else is to be had."""
    files_for_many()
    with tempfile.TemporaryDirectory(prefix="mothstall-scale-") as folder:
        async with (
            Keepers(Path(folder)) as keepers,
            Crew(keepers.tree, proxies, seed=seed, zones=11) as crew,
        ):
            play = Fleet(keepers, crew, say)
            await play.join(limit_s)
            if "join_last" in play.values:
                await play.changes()
    return play.values


SHORT = 60  # hollows of the short form


async def short(say: Say, *, seed: int) -> list[str]:
    """What is wrong with a small fleet: nothing of it hangs on a time, all limits are generous."""
    wrong: list[str] = []
    with tempfile.TemporaryDirectory(prefix="mothstall-scale-") as folder:
        async with (
            Keepers(Path(folder)) as keepers,
            Crew(keepers.tree, SHORT, seed=seed, zones=3) as crew,
        ):
            play = Fleet(keepers, crew, say)
            if not await play.join(SETTLE_S):
                wrong.append(f"{play.values['joined'][0]:g} of {SHORT} joined")
            tool = KeeperClient(
                keepers.operator, "short", PeerRole.TOOL, loop=asyncio.get_running_loop()
            )
            try:
                await play.changes()
                told = await tool.read_state(10.0)
            except KeeperUnavailableError as why:
                raise Unfinished(str(why)) from why
            finally:
                await tool.close()
            found = await crew.figures()
            if found["drains"] != [CHANGES] * SHORT:
                wrong.append(f"not all have {CHANGES} drains: {sorted(set(found['drains']))}")
            members = [
                row
                for name, row in told.leases.items()
                if row and name.startswith(MEMBER_LEASE_PREFIX)
            ]
            names = sorted(row.name.removeprefix(MEMBER_LEASE_PREFIX) for row in members)
            if sorted(found["names"]) != names:
                wrong.append("members by their own word are not those of the store")
            if (
                len({row.owner for row in members}) != SHORT
                or len({row.token for row in members}) != SHORT
            ):
                wrong.append("a member is doubled: two leases of one owner, or of one token")
            await crew.all("stop")
    return wrong


async def commit_rate(callers: int, say: Say, *, seed: int, seconds: float = 3.0) -> Values:
    """Writes of so many callers at once, each with one out at a time."""
    files_for_many()
    took: list[float] = []
    loop = asyncio.get_running_loop()
    with tempfile.TemporaryDirectory(prefix="mothstall-scale-") as folder:
        async with Keepers(Path(folder)) as keepers:
            say(f"{callers} callers write")
            stores = [
                KeeperClient(keepers.operator, f"c{i}", PeerRole.TOOL, loop=loop)
                for i in range(callers)
            ]
            over = loop.time() + 1e9

            async def work(at: int, store: KeeperClient, token: int) -> None:
                number = 0
                while loop.time() < over:
                    number += 1
                    began = loop.time()
                    row = PutValue(
                        f"rate/{at}", token, f"rate/{at}/{number % 8}", number.to_bytes(8, "big")
                    )
                    if why := (await store.propose(row, 10.0)).rejected_reason:
                        raise Unfinished(why)
                    took.append(loop.time() - began)

            try:
                tokens = []
                for i, store in enumerate(stores):
                    done = await store.propose(AcquireLease(f"rate/{i}", f"c{i}", 3_600_000), 10.0)
                    tokens.append(done.token)
                over, began = loop.time() + seconds, loop.time()
                before = _cpu(keepers)
                await asyncio.gather(
                    *(work(i, s, t) for i, (s, t) in enumerate(zip(stores, tokens, strict=True)))
                )
                span, used = loop.time() - began, _cpu(keepers)
            except KeeperUnavailableError as why:
                raise Unfinished(str(why)) from why
            finally:
                await asyncio.gather(*(store.close() for store in stores))
    return {
        "rate": (len(took) / span, "1/s"),
        "took_median": (statistics.median(took), "s"),
        "took_p99": (quantile(took, 0.99), "s"),
        "keeper_cpu_most": (max(used[name] - before[name] for name in used) / span, "cores"),
    }


async def catch_up(missed: int, say: Say, *, seed: int) -> Values:
    """A follower that missed so many changes starts again."""
    with tempfile.TemporaryDirectory(prefix="mothstall-scale-") as folder:
        async with Keepers(Path(folder)) as keepers:
            rows = await keepers.status()
            late = random.Random(seed).choice(
                sorted(n for n, row in rows.items() if row["role"] != "leader")
            )
            await keepers.processes[late].stop()
            say(f"{late} misses {missed} changes")
            await _fill(keepers, missed)
            due = max(row["commit"] for row in (await keepers.status()).values())
            began = time.monotonic()
            await keepers.start(late)
            started = time.monotonic() - began
            caught = await keepers.wait_until(lambda r: r.get(late, {}).get("applied", 0) >= due)
    return {"keeper_start": (started, "s"), "caught_up": (caught, "s")}


# Pure costs: CPU of this process alone, each the median of several.


def _cost(work: Callable[[], object], most: int = 7, enough_s: float = 0.4) -> float:
    """Seconds of CPU of one call."""
    taken: list[float] = []
    while len(taken) < most and (len(taken) < 1 or sum(taken) < enough_s):
        began = time.process_time()
        work()
        taken.append(time.process_time() - began)
    return statistics.median(taken)


def state_of(rows: int, seed: int) -> StateMachine:
    """Leases of members and probers, as at a fleet of that many rows."""
    rng = random.Random(seed)
    state = StateMachine(applied_index=rows, version=rows, last_token=rows)
    for i in range(rows):
        name = f"probe/b{i}" if i % 15 else f"member/p{i}"
        state.leases[name] = Lease(
            name, f"p{i}#{rng.getrandbits(24):06x}", 2000, i + 1, {"zone": "z"}
        )
    return state


SEVERAL = 1000  # rows that change, one after the other
ALL_PAIRS = 20_000_000  # more are not weighed one by one


def duties_cost(pairs: int, *, seed: int) -> Values:
    """Who probes what, for so many pairs of backend and proxy; 14 backends to a proxy.

    `mine`: worked out anew; `look`: kept up, nothing changed; `change`: one proxy goes, another one comes;
    `first`: what a start costs.
    """
    proxies = max(2, round(math.sqrt(pairs / 14)))
    boxes = [f"b{i}" for i in range(max(1, round(pairs / proxies)))]
    live = frozenset(f"p{i}" for i in range(proxies))
    me = random.Random(seed).choice(sorted(live))
    gone = random.Random(seed + 1).choice(sorted(live - {me}))
    share, other = assignment.ProbeAssignment(me), (live - {gone}) | {"new"}
    values: Values = {
        "first_cpu": (
            _cost(lambda: assignment.ProbeAssignment(me).update(boxes, live), 3) * 1000,
            "ms",
        )
    }
    share.update(boxes, live)
    sides = [other, live]

    def change() -> None:
        sides.reverse()
        share.update(boxes, sides[0])

    def looks() -> None:
        for _ in range(1000):
            share.update(boxes, sides[0])

    values["change_cpu"] = (_cost(change, 21) * 1000, "ms")
    values["look_cpu"] = (_cost(looks, 21), "ms")
    if pairs <= ALL_PAIRS:
        values["mine_cpu"] = (
            _cost(lambda: assignment.assigned_backends(boxes, live, me), 3) * 1000,
            "ms",
        )
    return values


def view_cost(rows: int, *, seed: int) -> Values:
    """One row that changes, at a proxy's view and at a keeper's delta, and all rows at once."""
    state = state_of(rows, seed)
    first = ClusterSnapshot().apply(StateDelta(0, state.version, dict(state.leases)))
    assert first is not None
    names = random.Random(seed).sample(sorted(state.leases), min(rows, SEVERAL))
    views = [first]

    def several() -> None:
        """Enough of them that a base is made anew in due part."""
        for _ in range(SEVERAL):
            old = views[0]
            name = names[old.version % len(names)]
            fresh = old.apply(StateDelta(old.version, old.version + 1, {name: first.leases[name]}))
            assert fresh is not None
            views[0] = fresh

    token = state.leases[names[0]].token
    state.apply(state.applied_index + 1, _end(names[0], token))
    since = state.version - 1
    return {
        "after_one_cpu": (_cost(several, 5) / SEVERAL * 1e6, "us"),
        "after_all_cpu": (
            _cost(lambda: ClusterSnapshot().apply(StateDelta(0, state.version, dict(state.leases))))
            * 1000,
            "ms",
        ),
        "delta_one_cpu": (_cost(lambda: state.delta_since(since), 51) * 1e6, "us"),
        "delta_all_cpu": (_cost(lambda: state.delta_since(0)) * 1000, "ms"),
    }


def _end(name: str, token: int) -> bytes:
    import msgspec

    return msgspec.msgpack.encode(Proposal(0, 0, ExpireLeases(((name, token),))))


def snapshot_cost(rows: int, *, seed: int) -> Values:
    """A snapshot's size, and what it takes to make and to load it."""
    state = state_of(rows, seed)
    image = state.encode_snapshot()
    took = _cost(state.encode_snapshot)
    load = _cost(lambda: StateMachine.from_snapshot(image))
    return {
        "snapshot": (len(image) / 1e6, "MB"),
        "snapshot_made": (took * 1000, "ms"),
        "snapshot_loaded": (load * 1000, "ms"),
    }


def owner_cost(proxies: int, *, seed: int, zones: int = 11) -> Values:
    """The owner of plans: each proxy's report read, one look."""
    found = planbench.figures(proxies, zones)
    return {
        "owner_cpu": (found["maker_part_of_a_core"], "cores"),
        "owner_in": (found["maker_bytes_per_s"], "B/s"),
        "report": (found["report_bytes"], "B"),
        "report_cpu": (found["report_with_its_sums_us"], "us"),
        "look_cpu": (found["look_ms"], "ms"),
    }


def sums_cost(proxies: int, *, seed: int, zones: int = 11) -> Values:
    """The same behind two observers a zone: what one of them adds up, and what the owner hears of all."""
    found = planbench.figures_with_observers(proxies, zones, 2)
    return {
        "owner_cpu": (found["maker_cpu"], "cores"),
        "owner_in": (found["maker_bytes_per_s"], "B/s"),
        "observer_cpu": (found["observer_cpu"], "cores"),
    }


PROBED_S = 4.0
LEASES_S = 20.0  # until a prober that has not taken all its leases is given up


async def probing(backends: int, say: Say, *, seed: int, seconds: float = PROBED_S) -> Values:
    """One real agent with so many backends that are all its own: leases, a probe a second of each, renewals.

    CPU is of the agent's process, this one, against the same while a proxy that probes nothing is there.
    """
    context = multiprocessing.get_context("spawn")
    mine, theirs = context.Pipe()
    stand_ins = context.Process(target=bench.serve_backends, args=(theirs,), daemon=True)
    stand_ins.start()
    loop = asyncio.get_running_loop()
    try:
        ports = await asyncio.wait_for(loop.run_in_executor(None, mine.recv), LEASES_S)
        with tempfile.TemporaryDirectory(prefix="mothstall-scale-") as folder:
            async with Keepers(Path(folder)) as keepers:
                agent = Agent(keepers.operator, "p0", loop=loop, on_change=lambda: None)
                await agent.start()
                try:
                    if not await _until(_true(lambda: agent.is_member), LEASES_S):
                        raise Unfinished("the prober is no member")
                    idle = await _spent(seconds)
                    say(f"{backends} backends are probed")
                    agent.backends = {
                        f"b{i}": BackendEndpoint(Address("127.0.0.1", ports[i % len(ports)]), "z")
                        for i in range(backends)
                    }
                    if not await _until(
                        _true(lambda: len(agent.lease_holder.held) > backends), LEASES_S
                    ):
                        raise Unfinished(f"{len(agent.lease_holder.held) - 1} of {backends} leases")
                    await asyncio.sleep(1.0)
                    before, counted, began = (
                        await keepers.status(),
                        agent.counters.as_dict(),
                        loop.time(),
                    )
                    busy = await _spent(seconds)
                    after, span = await keepers.status(), loop.time() - began
                finally:
                    await agent.stop()
    except (EOFError, TimeoutError) as why:
        raise Unfinished("the stand-ins did not start") from why
    finally:
        mine.close()
        stand_ins.terminate()
        stand_ins.join(2.0)
    probes, failed = (
        agent.counters.as_dict()[key] - counted[key] for key in ("probes", "probes_failed")
    )
    if failed or probes < 0.8 * backends * seconds:
        raise Unfinished(f"{probes} probes, {failed} failed")
    commits = max(r["commit"] for r in after.values()) - max(r["commit"] for r in before.values())
    return {
        "probing_cpu": (max(0.0, busy - idle), "cores"),
        "idle_cpu": (idle, "cores"),
        "probes": (probes / span, "1/s"),
        "commits": (commits / span, "1/s"),
    }


def _true(so: Callable[[], bool]) -> Callable[[], Awaitable[bool]]:
    async def asked() -> bool:
        return so()

    return asked


async def _spent(seconds: float) -> float:
    """This process's part of a core for so long."""
    cpu, began = time.process_time(), time.monotonic()
    await asyncio.sleep(seconds)
    return (time.process_time() - cpu) / (time.monotonic() - began)


@dataclass(slots=True, frozen=True)
class Series:
    """One slope: the axis that grows, the sizes to play, and what is measured at one of them."""

    axis: str
    sizes: tuple[int, ...]
    tells: str
    play: Callable[[int, int, Say], Values]  # size, seed
    fixed: Mapping[str, float] = field(default_factory=dict)
    leaves_out: str = ""
    repeats: int = 3


def _fleet(**more: Any) -> Callable[[int, int, Say], Values]:
    """A fleet of the size as its number of proxies, or with the size as one of its other figures."""

    def play(size: int, seed: int, say: Say) -> Values:
        given: dict[str, Any] = {
            key: size if value is None else value for key, value in more.items()
        }
        proxies = given.pop("proxies", size)
        return asyncio.run(fleet(proxies, say, seed=seed, **given))

    return play


def _faults(size: int, seed: int, say: Say, behind: bool = False) -> Values:
    from mothstall.lab.scale import faults, tierfaults  # play with what stands here

    play = tierfaults.play if behind else faults.play
    values, wrong = asyncio.run(play(size, say, seed=seed))
    if wrong:
        raise Broken(values, wrong)
    return {**values, "wrong": (0, "1")}


def _real(size: int, seed: int, say: Say) -> Values:
    from mothstall.lab.scale import real  # plays with what stands here

    return real.play(size, say, seed=seed)


SERIES: dict[str, Series] = {
    "control/proxies": Series(
        "proxies",
        (100, 200, 400, 800),
        "a fleet without changes, then with some; losses of keepers",
        _fleet(),
        {"rows": 0, "changes_per_s": 0},
        LEAVES_OUT,
    ),
    "control/reports": Series(
        "proxies",
        (100, 200, 400, 800),
        "the same with failover on: each proxy reports once a second",
        _fleet(reports=True, whole=False),
        {"rows": 0, "changes_per_s": 0},
        LEAVES_OUT,
    ),
    "control/rows": Series(
        "rows",
        (1000, 2000, 4000, 8000),
        "100 proxies, by rows in the state",
        _fleet(proxies=100, rows=None),
        {"proxies": 100, "changes_per_s": 0},
        LEAVES_OUT,
    ),
    "control/changes": Series(
        "changes_per_s",
        (10, 20, 40, 80),
        "100 proxies, by changes a second",
        _fleet(proxies=100, changes_per_s=None, whole=False),
        {"proxies": 100, "rows": 0},
        LEAVES_OUT,
    ),
    "tier/proxies": Series(
        "proxies",
        (100, 200, 400, 800, 1600, 3200, 6400),
        "a fleet behind two observers a zone, 11 zones",
        _fleet(observers=2),
        {"rows": 0, "changes_per_s": 0},
        LEAVES_OUT,
    ),
    "tier/reports": Series(
        # 6,400 agents with reports want more than eight cores by themselves.
        "proxies",
        (100, 200, 400, 800, 1600, 3200),
        "the same with failover on: sums by observers",
        _fleet(observers=2, reports=True, whole=False),
        {"rows": 0, "changes_per_s": 0},
        LEAVES_OUT,
    ),
    "tier/changes": Series(
        "changes_per_s",
        (10, 20, 40, 80),
        "800 proxies behind two observers a zone, by changes a second",
        _fleet(proxies=800, changes_per_s=None, whole=False, observers=2),
        {"proxies": 800, "rows": 0},
        LEAVES_OUT,
    ),
    "control/join": Series(
        "proxies",
        (100, 200, 400, 800, 1200, 1600),
        "joining at one instant",
        lambda size, seed, say: asyncio.run(join_only(size, say, seed=seed, limit_s=20.0)),
        {},
        LEAVES_OUT,
    ),
    "control/faults": Series(
        "proxies",
        (100, 200, 400, 800),
        "a rack, a zone, restarts, a region's cut, the majority of keepers",
        _faults,
        {},
        LEAVES_OUT + "; clients and their requests",
    ),
    "tier/faults": Series(
        "proxies",
        (100, 200, 400, 800),
        "the same behind two observers a zone, an observer too; three real proxies beside, clients judged",
        lambda size, seed, say: _faults(size, seed, say, True),
        {},
        LEAVES_OUT + "; of real proxies: probes, and their own terms as owners of plans",
    ),
    "tier/real": Series(
        "proxies",
        (100, 200, 400, 800),
        "a real proxy with and without its agent, at an observer that carries so many; news all the while",
        _real,
        {"zones": 1},
        LEAVES_OUT
        + "; of the real proxy: probes; backends answer at once and 800 rows name four of them; "
        "no bodies, no TLS",
    ),
    "control/commits": Series(
        "callers",
        (16, 64, 256, 512),
        "writes of so many callers at once",
        lambda size, seed, say: asyncio.run(commit_rate(size, say, seed=seed)),
    ),
    "control/catch-up": Series(
        "changes",
        (1250, 2500, 5000, 10_000),
        "a keeper that missed so many changes",
        lambda size, seed, say: asyncio.run(catch_up(size, say, seed=seed)),
    ),
    "pure/duties": Series(
        "pairs",
        (15_000, 150_000, 1_500_000, 15_000_000, 623_100_000),
        "who probes what, and as it changes",
        lambda size, seed, say: duties_cost(size, seed=seed),
    ),
    "pure/view": Series(
        "rows",
        (1000, 10_000, 50_000, 100_000),
        "one row that changes, at an agent and at a keeper",
        lambda size, seed, say: view_cost(size, seed=seed),
    ),
    "pure/snapshot": Series(
        "rows",
        (1000, 10_000, 50_000, 100_000),
        "a snapshot's size, made and loaded",
        lambda size, seed, say: snapshot_cost(size, seed=seed),
    ),
    "pure/owner": Series(
        "proxies",
        (200, 800, 3200, 6700),
        "the owner of plans: reports read, a look; 11 zones",
        lambda size, seed, say: owner_cost(size, seed=seed),
    ),
    "pure/sums": Series(
        "proxies",
        (200, 800, 3200, 6700),
        "the same behind two observers a zone, who add reports up",
        lambda size, seed, say: sums_cost(size, seed=seed),
    ),
    "probe/backends": Series(
        "backends",
        (7, 14, 28, 56),
        "one agent that probes so many backends once a second",
        lambda size, seed, say: asyncio.run(probing(size, say, seed=seed)),
        {},
        "the other proxies; front, decisions and backend connections of the request path",
    ),
}
