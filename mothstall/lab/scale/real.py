"""A real proxy's clients beside an observer that carries so many hollows, against the same proxy without.

One zone with one observer, which carries all hollows. The news is that of the target's busiest hour, all of
it at this one observer: restarts of hollows, and drains of backends that the proxy lists. For each pair two
proxies are started, one with an operator file and one without; one client asks both in turn, request by
request, before the same stand-ins, so that both meet the same moments of the machine. Which of them is asked
first changes from pair to pair; a few pairs are played at a time, each with a client of its own. Raises
Unfinished.
"""

from __future__ import annotations

import asyncio
import math
import statistics
import tempfile
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from mothstall.fleet.agent.keeper_client import KeeperClient
from mothstall.fleet.errors import KeeperUnavailableError
from mothstall.lab.fleetbench import Keepers
from mothstall.lab.fleetplay import as_toml
from mothstall.lab.ledger import Unfinished
from mothstall.lab.scale import path
from mothstall.lab.scale.control import Fleet, Say, Values
from mothstall.lab.scale.faults import LIMIT_S, pids_of
from mothstall.lab.scale.fit import student
from mothstall.lab.scale.hollow import Crew, files_for_many, operator_tree, zone_of
from mothstall.lab.scale.tier import Observers
from mothstall.store.protocol.frames import PeerRole
from mothstall.store.state.changes import PutDrain, RemoveDrain
from mothstall.store.state.rows import Drain, DrainKind

PAIRS, ABREAST = 8, 2  # and so many of them at a time
SECONDS = {
    70: 6.0,
    210: 4.0,
}  # of load that counts, at each rate: the target's mean, and three times it
CHANGES_S, RESTARTS_S = 0.84, 2.11  # the target's busiest hour, over the whole fleet
MEMBER_S = 10.0  # until a proxy is a member
ON, OFF = "real", "alone"  # and the pair's number


@dataclass(slots=True, frozen=True)
class Side:
    """One proxy at one rate. Times in us, `cpu` of a request too; `load` in cores."""

    p50: float
    p99: float
    cpu: float
    load: float
    bad: int  # requests without a good answer


def ratio(pairs: Sequence[tuple[float, float]]) -> tuple[float, float, float]:
    """The geometric mean of on over off, and its 95% interval over the pairs. ValueError: fewer than two."""
    if len(pairs) < 2:
        raise ValueError("an interval needs two pairs at least")
    logs = [math.log(on / off) for on, off in pairs]
    middle = statistics.fmean(logs)
    half = student(len(logs) - 1) * statistics.stdev(logs) / math.sqrt(len(logs))
    return math.exp(middle), math.exp(middle - half), math.exp(middle + half)


def summed(rows: Sequence[tuple[Side, Side]], rate: int) -> Values:
    """Figures of one rate over its pairs of on and off."""
    values: Values = {}
    for key, unit in (("p50", "us"), ("p99", "us"), ("cpu", "us")):
        pairs = [(getattr(on, key), getattr(off, key)) for on, off in rows]
        middle, low, high = ratio(pairs)
        values |= {
            f"{key}_on_{rate}": (statistics.median(on for on, _ in pairs), unit),
            f"{key}_off_{rate}": (statistics.median(off for _, off in pairs), unit),
            f"{key}_ratio_{rate}": (middle, "1"),
            f"{key}_ratio_low_{rate}": (low, "1"),
            f"{key}_ratio_high_{rate}": (high, "1"),
        }
    values[f"agent_cpu_{rate}"] = (
        statistics.fmean(on.load - off.load for on, off in rows),
        "cores",
    )
    values[f"bad_on_{rate}"] = (sum(on.bad for on, _ in rows), "1")
    values[f"bad_off_{rate}"] = (sum(off.bad for _, off in rows), "1")
    return values


def configured(ports: Sequence[int], discovery: int, seed: int, name: str) -> dict[str, Any]:
    """A proxy's configuration, its zones named as the fleet's."""
    tree = path.proxy_tree(*path.shape("backends", path.BASE_ROWS), ports, discovery, seed)
    names = [zone_of(i, path.ZONES) for i in range(path.ZONES)]
    own = dict(zip(tree["settings"]["zones"], names, strict=True))
    rows = [{**row, "locality": own[row["locality"]]} for row in tree["known"]["members"]]
    known = {**tree["known"], "members": rows}
    return {**tree, "name": name, "known": known, "settings": {**tree["settings"], "zones": names}}


async def _regularly(rate: float, act: Callable[[int], Awaitable[object]]) -> None:
    """So often a second, on time as long as it keeps up."""
    loop = asyncio.get_running_loop()
    due, number = loop.time(), 0
    while True:
        await act(number)
        number += 1
        due += 1 / rate
        await asyncio.sleep(max(0.0, due - loop.time()))


class News:
    """Restarts and changes while it is entered. Nothing else may ask the hollows meanwhile."""

    def __init__(self, crew: Crew, keepers: Keepers) -> None:
        self.crew, self.counts = crew, {"restarts": 0, "changes": 0}
        self._tool = KeeperClient(
            keepers.operator, "news", PeerRole.TOOL, loop=asyncio.get_running_loop()
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._began = 0.0

    async def _restart(self, number: int) -> None:
        await self.crew.all("restart", numbers=[number % self.crew.proxies])
        self.counts["restarts"] += 1

    async def _change(self, number: int) -> None:
        name = path.row(number // 2 % path.BASE_ROWS, (1,))["id"]
        on = PutDrain(Drain(DrainKind.BACKEND, name, "bench", "", ""))
        change = RemoveDrain(DrainKind.BACKEND, name, "bench") if number % 2 else on
        if why := (await self._tool.propose(change, 10.0)).rejected_reason:
            raise Unfinished(f"a change was refused: {why}")
        self.counts["changes"] += 1

    async def __aenter__(self) -> News:
        self._began = time.monotonic()
        for rate, act in ((RESTARTS_S, self._restart), (CHANGES_S, self._change)):
            self._tasks.append(asyncio.get_running_loop().create_task(_regularly(rate, act)))
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._tool.close()

    def check(self) -> None:
        """Raises what ended it: no figure beside a fleet that stands still."""
        for task in self._tasks:
            if task.done():
                task.result()

    def values(self) -> Values:
        span = time.monotonic() - self._began
        return {key: (count / span, "1/s") for key, count in self.counts.items()}


async def _member(keepers: Keepers, name: str, wait_s: float) -> None:
    """Until the log has it under a lease in force. Raises Unfinished."""
    tool = KeeperClient(keepers.operator, "looker", PeerRole.TOOL, loop=asyncio.get_running_loop())
    end = time.monotonic() + wait_s
    try:
        while True:
            told = await tool.read_state(5.0)
            row = told.members.get(name)
            held = told.leases.get(row.lease) if row else None
            if row and held and held.token == row.token:
                return
            if time.monotonic() > end:
                raise Unfinished(f"{name} is no member")
            await asyncio.sleep(0.05)
    except KeeperUnavailableError as why:
        raise Unfinished(str(why)) from why
    finally:
        await tool.close()


async def _pair(
    keepers: Keepers,
    operator: Path,
    ports: Sequence[int],
    discovery: int,
    seed: int,
    number: int,
    seconds: dict[int, float],
) -> tuple[dict[int, tuple[Side, Side]], tuple[float, float]]:
    """Both sides by rate, and what both hold in MB."""
    name, on_first = f"{ON}-{number}", number % 2 == 0
    seed = seed * 100 + number
    on = path.Watched(name, keepers.folder, extra_args=("--operator", str(operator)))
    off = path.Watched(f"{OFF}-{number}", keepers.folder)
    both = (on, off) if on_first else (off, on)
    found: dict[int, tuple[Side, Side]] = {}
    try:
        # The same seed, so that they differ in the agent alone.
        await asyncio.gather(
            *(proxy.start(configured(ports, discovery, seed, proxy.name)) for proxy in both)
        )
        await _member(keepers, name, MEMBER_S)
        for rate, span in seconds.items():
            cpu, began = [proxy.cpu_ns() for proxy in both], time.monotonic()
            ways = (both[0].port, both[1].port)
            spent, asked = await path.ask_in_turn(ways, rate, span, seed * 1000 + rate, 0, 1)
            took = time.monotonic() - began
            used = [proxy.cpu_ns() - before for proxy, before in zip(both, cpu, strict=True)]
            if not all(spent):
                raise Unfinished("a proxy gave no good answer")
            sides = [
                Side(
                    path.percentile(spent[i], 0.5),
                    path.percentile(spent[i], 0.99),
                    used[i] / 1e3 / (asked[i] * (span + path.WARM_S) / span),
                    used[i] / 1e9 / took,
                    asked[i] - len(spent[i]),
                )
                for i in (0, 1)
            ]
            found[rate] = (sides[0], sides[1]) if on_first else (sides[1], sides[0])
        await _member(keepers, name, 0.0)  # no figure of an agent that took no part
        return found, (on.memory()["VmRSS"], off.memory()["VmRSS"])
    finally:
        await asyncio.gather(on.stop(), off.stop())


async def _played(
    hollows: int, say: Say, seed: int, ports: Sequence[int], pairs: int, seconds: dict[int, float]
) -> Values:
    files_for_many()
    discovery = await asyncio.get_running_loop().create_server(path.Silence, "127.0.0.1", 0)
    number = discovery.sockets[0].getsockname()[1]
    rows: list[dict[int, tuple[Side, Side]]] = []
    memory: list[tuple[float, float]] = []
    with tempfile.TemporaryDirectory(prefix="mothstall-scale-") as place:
        async with (
            Keepers(Path(place)) as keepers,
            Observers(keepers, 1, 1) as tier,
            Crew(
                tier.tree,
                hollows,
                seed=seed,
                zones=1,
                reports=True,
                beside=lambda: [*pids_of(keepers), *tier.pids()],
            ) as crew,
        ):
            fleet = Fleet(keepers, crew, say, tier)
            if not await fleet.join(LIMIT_S):
                raise Unfinished(f"{fleet.values['joined'][0]:g} of {hollows} joined")
            operator = Path(place) / f"{ON}.toml"
            operator.write_text(
                as_toml(operator_tree(tier.tree, 0, path.ZONES, True)), encoding="utf-8"
            )
            async with News(crew, keepers) as news:
                cpu, began = sum(tier.cpu().values()), time.monotonic()
                for first in range(0, pairs, ABREAST):
                    numbers = range(first, min(first + ABREAST, pairs))
                    say(f"pairs {first + 1} to {numbers.stop} of {pairs}")
                    work = (
                        _pair(keepers, operator, ports, number, seed, i, seconds) for i in numbers
                    )
                    done = await asyncio.gather(*work, return_exceptions=True)
                    news.check()
                    for one in done:
                        if isinstance(one, BaseException):
                            raise one
                        rows.append(one[0])
                        memory.append(one[1])
                span = time.monotonic() - began
                values = {
                    **news.values(),
                    "pairs": (pairs, "1"),
                    "observer_cpu": ((sum(tier.cpu().values()) - cpu) / span, "cores"),
                }
            if (there := (await crew.figures())["members"]) < hollows:
                raise Unfinished(f"{there} of {hollows} hollows are members at the end")
            await crew.all("stop")
    discovery.close()
    for rate in seconds:
        values |= summed([row[rate] for row in rows], rate)
    values["memory_on"] = (statistics.median(on for on, _ in memory), "MB")
    values["memory_off"] = (statistics.median(off for _, off in memory), "MB")
    return values


def play(
    hollows: int,
    say: Say,
    *,
    seed: int,
    pairs: int = PAIRS,
    seconds: dict[int, float] | None = None,
) -> Values:
    """One zone of so many hollows, and a real proxy on and off in turn."""

    def run(ports: Sequence[int]) -> Values:
        return asyncio.run(_played(hollows, say, seed, ports, pairs, seconds or SECONDS))

    found: Values = path.with_stand_ins(run)
    return found
