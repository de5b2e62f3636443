"""Hollow proxies: the real agent and client over real sockets and frames, without a request path.

What runs is `fleet.Agent` and all it stands on: its connection to a keeper, its member's lease, its snapshot
of the state, its looks ten times a second, and with `reports` its part in failover. What a hollow leaves out
stands in `LEAVES_OUT` and beside each figure. Hundreds live in one process (this module as a program), which
is told what to do by lines of JSON; `Crew` starts these, and ends them all where memory goes over its bound.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import os
import random
import resource
import signal
import sys
import time
from collections.abc import Awaitable, Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

from mothstall.fleet.agent.agent import Agent
from mothstall.fleet.agent.failover_participant import FailoverParticipant
from mothstall.fleet.agent.store_client import StoreClient
from mothstall.fleet.failover.plan import FAILOVER_LEASE
from mothstall.fleet.failover.transition import RoutingWeights
from mothstall.fleet.operator_file import parse_operator_file
from mothstall.interface import AttemptResult
from mothstall.lab.ledger import Unfinished
from mothstall.lab.process import ROOT
from mothstall.store.protocol import keeper_messages
from mothstall.store.state.rows import StateDelta

LEAVES_OUT = (
    "front, decisions and backend connections of the request path; the backends' list, probes and hints; "
    "the file that keeps drains and tokens; traffic sums are made up; one interpreter holds many agents"
)
CLASSES = ("search", "read", "file", "sign")
# Requests a second that a made-up sum tells of, as many as its attempts, to backends that bear far more: of
# sums that ask more than what they say zones bear a plan is made that turns requests away, real ones too.
RATE = 12
UTIL = (0.2, 0.4)
PER_PROCESS = 200
MAX_PROCESSES = 290  # keepers and tools stand beside them
STALE_MS = 1500  # an observer's word that is older is none of a keeper that leads
ANSWER_S = 30.0  # for one word of a process
OWNED_GAP_S = 0.5  # between two looks of one owner; a longer one begins another term
WATCH_S = 0.5  # between two looks at memory


def zone_of(number: int, zones: int) -> str:
    return f"zone-{number % max(1, zones):02}"


def operator_tree(tree: dict[str, Any], number: int, zones: int, reports: bool) -> dict[str, Any]:
    """The operator file of the proxy with this number: that of all, and where it stands."""
    names = [zone_of(i, zones) for i in range(zones)]
    regions = [{"name": name, "zones": [name]} for name in names]
    failing = {"on": reports, "regions": regions}
    return {**tree, "zone": zone_of(number, zones), "probing": {"on": False}, "failover": failing}


class Seat:
    """What a pilot needs of its proxy, without one: a constant rate, everything warm."""

    def __init__(self, zones: int) -> None:
        self._zones, self._began = zones, time.monotonic()

    def warm_weights(self) -> Mapping[str, float]:
        return {zone_of(i, self._zones): 100.0 for i in range(self._zones)}

    def request_totals(self) -> tuple[int, int]:
        return int((time.monotonic() - self._began) * RATE), 0

    def apply_weights(self, weights: RoutingWeights, lifetime_ms: int) -> None:
        pass


class Hollow(Agent):
    """An agent that notes when it became a member, and when a change of drains reached it."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        self.terms: list[tuple[float, float]] = []  # as owner of plans, those that are over

    joined_at = told_at = 0.0  # on the machine's steady clock, s; 0: not yet

    def _on_lease_acquired(self, name: str) -> None:
        super()._on_lease_acquired(name)
        if name == self.membership_lease and not self.joined_at:
            self.joined_at = time.monotonic()

    _last_led = silence = (
        0.0  # when a keeper that hears a leader last spoke, and the longest span between two
    )

    def _on_watch_event(self, event: keeper_messages.WatchEvent) -> None:
        super()._on_watch_event(event)
        if event.has_leader:
            now = time.monotonic()
            if self._last_led:
                self.silence = max(self.silence, now - self._last_led)
            self._last_led = now

    owned: tuple[float, float] | None = (
        None  # since when and until when at least it could act as owner of plans
    )

    async def _reconcile_failover(
        self, participant: FailoverParticipant, client: StoreClient
    ) -> None:
        await super()._reconcile_failover(participant, client)
        now = time.monotonic_ns()
        if self.lease_holder.valid_token(FAILOVER_LEASE, now):
            since = (
                self.owned[0]
                if self.owned and now / 1e9 - self.owned[1] < OWNED_GAP_S
                else now / 1e9
            )
            if self.owned and since != self.owned[0]:
                self.terms.append(self.owned)
            self.owned = (since, now / 1e9)

    def _on_state_update(self, delta: StateDelta, age_ms: int) -> None:
        super()._on_state_update(delta, age_ms)
        if 0 <= age_ms < STALE_MS:
            now = time.monotonic()
            if self._last_led:
                self.silence = max(self.silence, now - self._last_led)
            self._last_led = now

    @property
    def became_at(self) -> float:
        return self.observer_client.attached_at_s if self.observer_client else self.joined_at

    def told(self) -> None:
        self.told_at = time.monotonic()

    async def vanish(self) -> None:
        """As a machine that is lost: nothing is given up, its connection breaks."""
        await self.tasks.cancel_all()
        if self.observer_client:
            self.observer_client.epoch = 0  # it says no farewell to its observer
        if self.client:
            await self.client.close()

    def bytes(self) -> tuple[int, int]:
        """In and out, of the connection that is open now."""
        link = self.client.link if self.client else None
        return (link.received_bytes, link.sent_bytes) if link else (0, 0)

    def hears_since(self, at_ns: int) -> bool:
        return bool(
            self.client and self.client.peer_name and self.snapshots.leader_contact_at_ns > at_ns
        )


class Room:
    """The agents of one process."""

    def __init__(self, spec: dict[str, Any], loop: asyncio.AbstractEventLoop) -> None:
        self.zones, self.reports = int(spec["zones"]), bool(spec["reports"])
        self._rng = random.Random(spec["seed"] * 7919 + spec["first"])
        cut = spec["cut_tree"] or spec["tree"]
        operators = [
            parse_operator_file(
                operator_tree(
                    cut if i in spec["cut_zones"] else spec["tree"], i, self.zones, self.reports
                )
            )
            for i in range(self.zones)
        ]
        self._operators, self._loop, self._first = operators, loop, int(spec["first"])
        self.agents = [self._agent(i) for i in range(spec["first"], spec["first"] + spec["count"])]
        self._terms: list[tuple[float, float]] = []  # as owners, of those that are gone
        self._traffic: asyncio.Task[None] | None = None

    def _agent(self, number: int) -> Hollow:
        return Hollow(
            self._operators[number % self.zones],
            f"p{number}",
            loop=self._loop,
            on_change=lambda: self._told(number),
            may_probe=False,
            proxy_traffic=Seat(self.zones) if self.reports else None,
            classes=CLASSES,
            latency_objectives_ns=[300_000_000] * len(CLASSES),
        )

    def _told(self, number: int) -> None:
        self.agents[number - self._first].told()

    def _among(self, order: dict[str, Any]) -> list[int]:
        """Places of those whose number, or whose zone, is named."""
        numbers, zones = set(order.get("numbers", ())), set(order.get("zones", ()))
        every = range(self._first, self._first + len(self.agents))
        return [n - self._first for n in every if n in numbers or n % self.zones in zones]

    async def vanish(self, order: dict[str, Any]) -> dict[str, Any]:
        gone = [self.agents[at] for at in self._among(order)]
        await asyncio.gather(*(agent.vanish() for agent in gone))
        return {"gone": len(gone)}

    async def anew(self, order: dict[str, Any]) -> dict[str, Any]:
        """Other processes of the same names, so to say: nothing is kept but the name."""
        places = self._among(order)
        for at in places:
            old = self.agents[at]
            self._terms += [*old.terms, *([old.owned] if old.owned else [])]
            self.agents[at] = self._agent(self._first + at)
        await asyncio.gather(*(self.agents[at].start() for at in places))
        return {"came": len(places)}

    async def restart(self, order: dict[str, Any]) -> dict[str, Any]:
        """As by an operator: it gives up what it holds, and another one comes."""
        await asyncio.gather(*(self.agents[at].stop() for at in self._among(order)))
        return await self.anew(order)

    async def terms(self, _: dict[str, Any]) -> dict[str, Any]:
        rows = [row for agent in self.agents for row in (*agent.terms, agent.owned) if row]
        return {"terms": [*self._terms, *rows]}

    async def start(self, _: dict[str, Any]) -> dict[str, Any]:
        await asyncio.gather(*(agent.start() for agent in self.agents))
        if self.reports:
            self._traffic = self._loop.create_task(self._make_traffic())
        return {}

    async def _make_traffic(self) -> None:
        """Sums as a proxy's attempts would leave them, to the home zone and three others."""
        while True:
            for i, agent in enumerate(self.agents):
                if agent.failover is None:
                    continue
                for n in range(RATE):
                    zone = zone_of(self._first + i + n % 4, self.zones)
                    util = self._rng.uniform(*UTIL)
                    agent.failover.record_attempt(
                        zone, n % len(CLASSES), AttemptResult.OK, 20_000_000, util
                    )
                if i % 16 == 15:
                    await asyncio.sleep(0)
            await asyncio.sleep(1.0)

    async def joined(self, _: dict[str, Any]) -> dict[str, Any]:
        return {
            "at": [agent.became_at for agent in self.agents if agent.became_at],
            "members": sum(agent.is_member for agent in self.agents),
        }

    async def told(self, order: dict[str, Any]) -> dict[str, Any]:
        there = [agent for agent in self.agents if agent.snapshot.version >= order["version"]]
        return {"there": len(there), "at": [agent.told_at for agent in there]}

    async def hears(self, order: dict[str, Any]) -> dict[str, Any]:
        return {"hear": sum(agent.hears_since(order["since_ns"]) for agent in self.agents)}

    async def silences(self, _: dict[str, Any]) -> dict[str, Any]:
        """The longest silence of each since this was last asked."""
        found = [agent.silence for agent in self.agents]
        for agent in self.agents:
            agent.silence = 0.0
        return {"s": found}

    async def figures(self, _: dict[str, Any]) -> dict[str, Any]:
        came = went = 0
        for agent in self.agents:
            one, other = agent.bytes()
            came, went = came + one, went + other
        counts: dict[str, int] = {}
        for agent in self.agents:
            for key, value in agent.counters.as_dict().items():
                counts[key] = counts.get(key, 0) + value
        names = [agent.name for agent in self.agents if agent.is_member]
        owners = sum(FAILOVER_LEASE in agent.lease_holder.held for agent in self.agents)
        return {
            "cpu_s": time.process_time(),
            "rss_kb": rss_kb(os.getpid()),
            "bytes_in": came,
            "bytes_out": went,
            "counts": counts,
            "owners": owners,
            "members": len(names),
            "names": names,
            "drains": [len(agent.snapshot.drains) for agent in self.agents],
        }

    async def stop(self, _: dict[str, Any]) -> dict[str, Any]:
        if self._traffic:
            self._traffic.cancel()
        await asyncio.gather(*(agent.stop() for agent in self.agents), return_exceptions=True)
        return {}


def rss_kb(pid: int) -> int:
    """Memory that a process holds now; 0 where it is gone."""
    with contextlib.suppress(OSError, IndexError, ValueError):
        pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
        return pages * (resource.getpagesize() // 1024)
    return 0


def memory_kb() -> int:
    for line in Path("/proc/meminfo").read_text().splitlines():
        if line.startswith("MemTotal"):
            return int(line.split()[1])
    return 0


def files_for_many() -> None:
    """As many open files as the system lets a process have."""
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))


class Process:
    """One process of hollows, seen from the parent."""

    def __init__(self, spec: dict[str, Any]) -> None:
        self.spec = spec
        self._process: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int:
        return self._process.pid if self._process else 0

    async def begin(self) -> None:
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-O",
            "-m",
            "mothstall.lab.scale.hollow",
            cwd=ROOT,
            limit=1 << 24,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        await self.ask(self.spec)

    async def ask(self, order: dict[str, Any]) -> dict[str, Any]:
        """Raises Unfinished where it does not answer."""
        process = self._process
        assert process and process.stdin and process.stdout
        try:
            process.stdin.write(json.dumps(order).encode() + b"\n")
            async with asyncio.timeout(ANSWER_S):
                line = await process.stdout.readline()
            return dict(json.loads(line))
        except (OSError, TimeoutError, ValueError) as why:
            raise Unfinished(f"a process of hollows does not answer: {type(why).__name__}") from why

    def signal(self, number: signal.Signals) -> None:
        if self._process and self._process.returncode is None:
            self._process.send_signal(number)

    async def end(self) -> None:
        if self._process and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()


class Crew:
    """So many hollow proxies in several processes; memory is watched from the first one on.

    `tree`: the operator file of the keepers; `beside`: process ids whose memory counts too; `cut_tree`: the
    file of those in `cut_zones`, who reach the keepers another way.
    """

    def __init__(
        self,
        tree: dict[str, Any],
        proxies: int,
        *,
        seed: int,
        zones: int,
        reports: bool = False,
        beside: Callable[[], Sequence[int]] = lambda: (),
        most_kb: int = 0,
        cut_zones: Sequence[int] = (),
        cut_tree: dict[str, Any] | None = None,
    ) -> None:
        if proxies > MAX_PROCESSES * PER_PROCESS:
            raise Unfinished(f"{proxies} hollows need more than {MAX_PROCESSES} processes")
        self.proxies = proxies
        self.processes = [
            Process(
                {
                    "tree": tree,
                    "first": first,
                    "count": min(PER_PROCESS, proxies - first),
                    "seed": seed,
                    "zones": zones,
                    "reports": reports,
                    "cut_zones": list(cut_zones),
                    "cut_tree": cut_tree,
                }
            )
            for first in range(0, proxies, PER_PROCESS)
        ]
        self._beside, self._most_kb = beside, most_kb or memory_kb() // 2
        self._watch: asyncio.Task[None] | None = None
        self.fault = ""

    async def __aenter__(self) -> Crew:
        self._watch = asyncio.get_running_loop().create_task(self._watch_memory())
        try:
            await asyncio.gather(*(process.begin() for process in self.processes))
        except BaseException as why:
            await self.__aexit__()
            if self.fault and isinstance(why, Unfinished):
                raise Unfinished(self.fault) from why  # killed for its memory before it had begun
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        if self._watch:
            self._watch.cancel()
        await asyncio.gather(*(process.end() for process in self.processes))

    async def _watch_memory(self) -> None:
        """Guards against a run that takes the machine's memory: it ends itself and says so."""
        while True:
            pids = [os.getpid(), *self._beside(), *(process.pid for process in self.processes)]
            used = sum(rss_kb(pid) for pid in pids if pid)
            if used > self._most_kb:
                self.fault = f"{used >> 10} MB are more than the {self._most_kb >> 10} MB that a run may hold"
                for process in self.processes:
                    process.signal(signal.SIGKILL)
            await asyncio.sleep(WATCH_S)

    async def all(self, do: str, **more: Any) -> list[dict[str, Any]]:
        """The answers of all processes. Raises Unfinished."""
        if self.fault:
            raise Unfinished(self.fault)
        jobs: list[Awaitable[dict[str, Any]]] = [p.ask({"do": do, **more}) for p in self.processes]
        try:
            return list(await asyncio.gather(*jobs))
        except Unfinished as why:
            raise Unfinished(self.fault or str(why)) from why

    async def figures(self) -> dict[str, Any]:
        """Sums over all of them."""
        rows = await self.all("figures")
        found: dict[str, Any] = {
            key: sum(row[key] for row in rows)
            for key in ("cpu_s", "rss_kb", "bytes_in", "bytes_out", "owners", "members")
        }
        found["counts"] = {
            key: sum(row["counts"][key] for row in rows)
            for key in (rows[0]["counts"] if rows else ())
        }
        found["names"] = [name for row in rows for name in row["names"]]
        found["drains"] = [count for row in rows for count in row["drains"]]
        return found


async def _serve() -> None:
    """Takes orders line by line until the other end goes."""
    loop = asyncio.get_running_loop()
    files_for_many()
    logging.disable(
        logging.WARNING
    )  # hundreds of agents that lose one keeper say so hundreds of times
    reader = asyncio.StreamReader(limit=1 << 24)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    room: Room | None = None
    while line := await reader.readline():
        order = json.loads(line)
        if room is None:
            room = Room(order, loop)
            answer: dict[str, Any] = {"agents": len(room.agents)}
        else:
            does = {
                "start": room.start,
                "joined": room.joined,
                "told": room.told,
                "hears": room.hears,
                "silences": room.silences,
                "figures": room.figures,
                "stop": room.stop,
                "vanish": room.vanish,
                "anew": room.anew,
                "restart": room.restart,
                "terms": room.terms,
            }
            answer = await does[order["do"]](order)
        sys.stdout.write(json.dumps(answer) + "\n")
        sys.stdout.flush()


if __name__ == "__main__":
    asyncio.run(_serve())
