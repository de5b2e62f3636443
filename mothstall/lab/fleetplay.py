"""Runs a fleet scenario: real processes, a fault-injecting link between each pair, one fault timeline."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import re
import shutil
import signal
import sqlite3
import tempfile
import time
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

from mothstall.fleet.agent.cluster_snapshot import ClusterSnapshot
from mothstall.fleet.agent.keeper_client import KeeperClient
from mothstall.fleet.agent.single_requests import send_local_drain_request
from mothstall.fleet.errors import CommandRejectedError, KeeperUnavailableError, OperatorError
from mothstall.fleet.failover.plan import PLAN_VALUE_NAME, FailoverPlan, decode_plan
from mothstall.fleet.failover.zone_commands import ZoneCommand, ZoneVerb, run_zone_command
from mothstall.fleet.leases.names import MEMBER_LEASE_PREFIX, PROBE_LEASE_PREFIX
from mothstall.fleet.operator_config import OperatorConfig
from mothstall.fleet.operator_file import parse_operator_file
from mothstall.lab import fleet, fleetjudge, standins
from mothstall.lab.fleet import FleetScenario
from mothstall.lab.ledger import Unfinished
from mothstall.lab.links import Link, Mesh
from mothstall.lab.process import KeeperProcess, ObserverProcess, ServeProcess
from mothstall.store.protocol import keeper_messages
from mothstall.store.protocol.frames import PeerRole
from mothstall.store.protocol.keeper_messages import AdminVerb
from mothstall.store.state.changes import AcquireLease, PutDrain, PutValue, RemoveDrain, RevokeLease
from mothstall.store.state.rows import Drain, DrainKind

SETTLE_TIMEOUT_S = 12.0  # until keepers have a leader and proxies their first leases
START_OFFSET_S = 1000.0
MEMORY = Path("/dev/shm")
MOVE_S = 4.0  # time in which proxies move from an unusable observer to another one
GRACE_S = 5.0  # time in which a proxy serves normally again after a stop or a partition ends
MAX_LATE_S = 0.1  # above this event loop delay of the driver, violations prove nothing
LAB_KEY, LAB_LEASE = "lab/value", "lab/writer"


@dataclass(slots=True)
class Result:
    scenario: str
    seed: int
    checks: fleetjudge.CheckResult
    notes: dict[str, Any]

    def as_json(self) -> dict[str, Any]:
        rows = [{"rule": b.rule, "at": b.at, "what": b.description} for b in self.checks.violations]
        return {
            "scenario": self.scenario,
            "seed": self.seed,
            "breaches": rows,
            "figures": self.checks.figures,
            "notes": self.notes,
        }

    def text(self) -> str:
        rows = [
            f"{self.scenario}, seed {self.seed}: {'held' if not self.checks.violations else 'BROKEN'}"
        ]
        rows += [f"  {b.rule}: {b.description}" for b in self.checks.violations]
        rows += [f"  {key} {value}" for key, value in self.checks.figures.items()]
        rows += [f"  {key}: {value}" for key, value in self.notes.items()]
        return "\n".join(rows)


class MachineLate(Unfinished):
    """A run was not finished and its driver was late: the machine may be at fault, not the processes."""


class FleetRun:
    """One run of a scenario."""

    def __init__(
        self,
        spec: FleetScenario,
        seed: int,
        folder: Path,
        fenced: bool = True,
        disks: Path | None = None,
    ) -> None:
        """`folder`: config files and logs; `disks`: data of keepers and proxies, in `folder` if None."""
        self.spec, self.seed, self.folder, self.disks = spec, seed, folder, disks or folder
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(f"{spec.name} {seed}")
        self.observed, self.record = standins.Observations(), fleetjudge.RunRecord()
        self.mesh = Mesh(seed)
        self.keepers = {
            f"k{i + 1}": KeeperProcess(f"k{i + 1}", folder)
            for i in range(spec.keepers + spec.spares)
        }
        self.proxies = {
            f"p{i + 1}": ServeProcess(
                f"p{i + 1}", folder, extra_args=("--operator", str(folder / f"p{i + 1}.toml"))
            )
            for i in range(spec.proxies)
        }
        self.observers = {
            f"o{i + 1}": ObserverProcess(f"o{i + 1}", folder) for i in range(spec.observers)
        }
        self.isolated: set[str] = set()  # observers that cannot reach keepers
        self.snapshot = ClusterSnapshot()  # cluster state from the keepers' watch
        self.is_settled = False
        self.backends = {
            f"b{i + 1}": standins.StandInBackend(
                f"b{i + 1}", self.observed, self.now, fenced=fenced, capacity=spec.backend_capacity
            )
            for i in range(spec.backends)
        }
        self.lists: dict[str, standins.StandInDiscovery] = {}
        self.clients: dict[str, standins.StandInClients] = {}
        self.selections: dict[str, list[str]] = {}  # what earlier faults selected
        self.store: KeeperClient | None = None
        # Replaced when the run begins; events before that get negative times.
        self.began = self.loop.time() + START_OFFSET_S
        self.late_s = 0.0
        self._tasks: set[asyncio.Task[None]] = set()
        # Keepers that an operator removed or has not added yet.
        self.removed = {f"k{spec.keepers + i + 1}" for i in range(spec.spares)}

    def zone(self, name: str) -> str:
        return fleet.zone_of(self.spec, name)

    def now(self) -> float:
        return self.loop.time() - self.began

    # Start-up

    def _operator_tree(self, process: str, address: dict[str, int]) -> dict[str, Any]:
        """The operator file of one process: peers' addresses are the ports of its links to them."""
        spec = self.spec
        keepers = []
        for name in self.keepers:
            row: dict[str, Any] = {"name": name, "address": f"127.0.0.1:{address.get(name, 1)}"}
            if int(name[1:]) > spec.keepers:
                row["voter"] = False
            if name == process:
                row |= {"listen": "127.0.0.1:0", "data": str(self.disks / name)}
            keepers.append(row)
        shared: dict[str, Any] = {"key_file": str(self.folder / "key")} if self.spec.has_key else {}
        return shared | {
            "cluster": f"lab-{spec.name}",
            "keepers": keepers,
            "zone": self.zone(process) if process != "lab" else "z1",
            "timing": {"election": _us(spec.election), "heartbeat": _us(spec.election // 5)},
            "leases": {"term": _us(spec.lease_term)},
            "store": {"snapshot_every": spec.snapshot_every},
            "agent": {"data": str(self.disks / process), "listen": "127.0.0.1:0"},
            "probing": {"every": _us(spec.probe_every), "timeout": _us(spec.probe_timeout)},
            "failover": self._failover_section() if spec.failover else {},
            "observers": [self._observer_row(name, process, address) for name in self.observers],
        }

    def _observer_row(self, name: str, process: str, address: dict[str, int]) -> dict[str, Any]:
        row = {
            "name": name,
            "address": f"127.0.0.1:{address.get(name, 1)}",
            "zone": self.zone(name),
            "region": self._region(self.zone(name)),
        }
        return row | ({"listen": "127.0.0.1:0"} if name == process else {})

    def _region(self, zone: str) -> str:
        return next((f"r{i + 1}" for i, row in enumerate(self.spec.regions) if zone in row), "r1")

    def _observers_of(self, proxy: str) -> set[str]:
        """The observers that a proxy may attach to: those of its region."""
        region = self._region(self.zone(proxy))
        return {name for name in self.observers if self._region(self.zone(name)) == region}

    def _failover_section(self) -> dict[str, Any]:
        names = [f"r{i + 1}" for i in range(len(self.spec.regions))]
        rows = [
            {
                "name": name,
                "zones": list(zones),
                "near": [other for other in names if other != name],
            }
            for name, zones in zip(names, self.spec.regions, strict=True)
        ]
        return {"on": True, "bears": self.spec.backend_capacity, "regions": rows}

    async def _start(self) -> None:
        if self.spec.has_key:
            path = self.folder / "key"
            path.touch(mode=0o600)
            path.write_bytes(self.rng.randbytes(32).hex().encode())
        for a in self.keepers:
            for b in self.keepers:
                if a != b:
                    await self.mesh.add(a, b, self._port_of(b))
        for name in self.keepers:
            if name not in self.removed:
                await self._start_keeper(name)
        for name in self.keepers:
            await self.mesh.add("lab", name, self._port_of(name))
        for observer, process in self.observers.items():
            for name in self.keepers:
                await self.mesh.add(observer, name, self._port_of(name))
            await self._start_observer(observer)
            for proxy in self.proxies:
                await self.mesh.add(proxy, observer, partial(getattr, process, "port"))
        for proxy in self.proxies:
            for name in self.keepers:
                await self.mesh.add(proxy, name, self._port_of(name))
            for backend in self.backends.values():
                await backend.listen(proxy)
                await self.mesh.add(proxy, backend.name, partial(_port_of_backend, backend, proxy))
            service = self.lists[proxy] = standins.StandInDiscovery(partial(self._endpoints, proxy))
            await service.start()
        await asyncio.gather(*(self._start_proxy(name) for name in self.proxies))
        operator = parse_operator_file(self._operator_tree("lab", self._addresses("lab")))
        self.operator: OperatorConfig = operator
        self.store = KeeperClient(
            operator,
            "lab",
            PeerRole.TOOL,
            loop=self.loop,
            on_watch_event=self._on_watch_event if self.observers else None,
            known_version=lambda: self.snapshot.version,
        )
        await self._wait_until_settled()
        self.is_settled = True

    def _port_of(self, name: str) -> Any:
        return partial(getattr, self.keepers[name], "port")

    def _addresses(self, process: str) -> dict[str, int]:
        return {to: link.port for (a, to), link in self.mesh.links.items() if a == process}

    async def _start_keeper(self, name: str) -> None:
        path = self.folder / f"{name}.toml"
        path.write_text(as_toml(self._operator_tree(name, self._addresses(name))), encoding="utf-8")
        await self.keepers[name].begin(path, self.folder / f"{name}.switch")

    async def _start_observer(self, name: str) -> None:
        path = self.folder / f"{name}.toml"
        path.write_text(as_toml(self._operator_tree(name, self._addresses(name))), encoding="utf-8")
        await self.observers[name].begin(path)

    def _on_watch_event(self, push: keeper_messages.WatchEvent) -> None:
        """Records which proxies are members by the log, for the check that no live proxy drops out of it."""
        updated = self.snapshot.apply(push.delta)
        if updated is None:
            assert self.store
            self.store.request_resync()
            return
        self.snapshot = updated
        if self.is_settled:
            self.record.membership_changes.append((self.now(), frozenset(updated.attached)))

    async def _start_proxy(self, name: str) -> None:
        path = self.folder / f"{name}.toml"
        path.write_text(as_toml(self._operator_tree(name, self._addresses(name))), encoding="utf-8")
        await self.proxies[name].start(self._proxy_config(name))

    def _endpoints(self, proxy: str) -> list[dict[str, object]]:
        wall, now = time.time(), self.now()

        def up_since_ms(backend: standins.StandInBackend) -> int:
            return int((wall - (120 if backend.started is None else now - backend.started)) * 1000)

        return [
            {
                "id": name,
                "host_port": f"127.0.0.1:{self.mesh.links[(proxy, name)].port}",
                "locality": self.zone(name),
                "flavor": "box",
                "cell": 0,
                "phase": "SERVING",
                "size": 1.0,
                "up_since_ms": up_since_ms(backend),
            }
            for name, backend in self.backends.items()
        ]

    def _proxy_config(self, name: str) -> dict[str, Any]:
        settings = {
            "classes": [
                {
                    "name": "ask",
                    "aim-ns": 300_000_000,
                    "deadline-ns": 1_500_000_000,
                    "worth": 1.0,
                    "effect": "pure",
                }
            ],
            "contract": {
                "stop-sending-within-ns": 500_000_000,
                "cold-from": standins.INITIAL_WARMTH,
                "cold-ns": int(standins.WARM_UP_S * 1e9),
                "fall-multiple": 2.5,
                "fall-ns": 2_000_000_000,
            },
            "limits": {
                "max-attempts": 4,
                "parallel-tries": True,
                "cancelling": True,
                "probes": True,
                "retry-after": True,
                "max-retry-after-ns": 1_200_000_000,
            },
            "discovery": "ask",
            "zones": [f"z{i + 1}" for i in range(self.spec.zones)],
            "zone": int(self.zone(name)[1:]) - 1,
            "kinds": ["box"],
            "fees": {"cross-zone": self.spec.cross_zone_fee},
            "replicas-of-me": self.spec.proxies,
            "position": int(name[1:]) - 1,
            "round-ns": 5_000_000,
        }
        return {
            "name": name,
            "listen": "127.0.0.1:0",
            "seed": f"{self.seed * 101 + int(name[1:]):x}",
            "discovery": f"127.0.0.1:{self.lists[name].port}",
            "settings": settings,
        }

    async def _wait_until_settled(self) -> None:
        """Waits until every proxy is a member and every backend has a prober."""
        assert self.store
        end = self.loop.time() + SETTLE_TIMEOUT_S
        while self.loop.time() < end:
            with contextlib.suppress(KeeperUnavailableError):
                delta = await self.store.read_state(2.0)
                names = set(delta.leases)
                names |= {MEMBER_LEASE_PREFIX + p for p in delta.members}
                wanted = {MEMBER_LEASE_PREFIX + p for p in self.proxies} | {
                    PROBE_LEASE_PREFIX + b for b in self.backends
                }
                if wanted <= names:
                    return
            await asyncio.sleep(0.1)
        raise Unfinished(
            f"the fleet did not settle in {SETTLE_TIMEOUT_S:g} s; see the logs in {self.folder}"
        )

    # Running

    async def execute(self) -> Result:
        """Raises Unfinished, or MachineLate if the driver was late during the run."""
        self._spawn(self._watch_lateness())
        try:
            await self._start()
            self.late_s = 0.0  # lateness while processes start does not affect the checks
            self.began = self.loop.time()
            for name in self.proxies:
                port = partial(getattr, self.proxies[name], "port")
                client = self.clients[name] = standins.StandInClients(
                    name, self.spec.rate, self.observed, self.now, port
                )
                if self.spec.rate:
                    self._spawn(client.run())
            self._spawn(self._write_values())
            if self.spec.reset_fraction:
                self._spawn(self._break_links())
            for fault in sorted(self.spec.faults, key=lambda f: f.at):
                await asyncio.sleep(max(0.0, fault.at / 1e9 - self.now()))
                await self._inject(fault)
            await asyncio.sleep(max(0.0, self.spec.seconds - self.now()))
            await self._final_read()
        except Unfinished as exc:
            if self.late_s > MAX_LATE_S:
                raise MachineLate(f"{exc} (the machine was late by {self.late_s:.1f} s)") from exc
            raise
        finally:
            await self._shut_down()
        checks = fleetjudge.check_run(self.spec, self.observed, self.record)
        notes = {"late_s": round(self.late_s, 3), "late": self.late_s > MAX_LATE_S}
        return Result(self.spec.name, self.seed, checks, notes)

    def _spawn(self, coroutine: Any) -> None:
        task = self.loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _watch_lateness(self) -> None:
        """Guards against blaming processes for delays of an overloaded machine: measures the driver's own."""
        due = self.loop.time()
        while True:
            due = self.loop.time() + 0.05
            await asyncio.sleep(0.05)
            self.late_s = max(self.late_s, self.loop.time() - due)

    async def _break_links(self) -> None:
        while True:
            await asyncio.sleep(0.2)
            for (a, b), link in self.mesh.links.items():
                if (
                    a in self.keepers
                    and b in self.keepers
                    and self.rng.random() < self.spec.reset_fraction * 0.2
                ):
                    link.reset()

    async def _write_values(self) -> None:
        """Writes an increasing number under the lab's own lease and reads it back now and then."""
        assert self.store
        store, value, token, renewed = self.store, 0, 0, 0.0
        while True:
            await asyncio.sleep(0.1)
            try:
                if not token or self.now() - renewed > self.spec.lease_term / 3e9:
                    renewed = self.now()
                    lease = await store.propose(
                        AcquireLease(LAB_LEASE, "lab", self.spec.lease_term // 1_000_000), 8.0
                    )
                    token = 0 if lease.rejected_reason else lease.token
                    continue
                value += 1
                sent, row = (
                    self.now(),
                    PutValue(LAB_LEASE, token, LAB_KEY, value.to_bytes(8, "big")),
                )
                self.record.writes.append(fleetjudge.WriteRecord(value, sent, 0.0))
                result = await store.propose(row, 8.0)
                if result.rejected_reason:
                    token = 0
                else:
                    self.record.writes.append(fleetjudge.WriteRecord(value, sent, self.now()))
                if value % 3 == 0:
                    await self._read_state()
            except KeeperUnavailableError:
                token = 0

    async def _read_state(self) -> None:
        assert self.store
        began = self.now()
        delta = await self.store.read_state(8.0)
        plan = delta.values.get(PLAN_VALUE_NAME)
        self.record.plan_number = (decode_plan(plan.value) or FailoverPlan()).number if plan else 0
        row = delta.values.get(LAB_KEY)
        value = int.from_bytes(row.value, "big") if row else 0
        self.record.reads.append(fleetjudge.ReadRecord(value, began, self.now()))
        tokens = {row.name: row.token for row in delta.leases.values() if row}
        self.record.live_members = {
            name
            for name, member in delta.members.items()
            if member and tokens.get(member.lease) == member.token
        }

    async def _final_read(self) -> None:
        for task in list(self._tasks):
            if task.get_coro().__name__ == "_write_values":  # type: ignore[union-attr]
                task.cancel()
        try:
            await self._read_state()
        except KeeperUnavailableError as exc:
            self.record.command_failures.append(f"no read at the end: {exc}")
        for proxy in self.proxies if self.observers else ():
            dialled = [k for k in self.keepers if self.mesh.links[(proxy, k)].opened_at]
            self.record.keeper_connections += [(proxy, name) for name in dialled]
            connections = sum(len(self.mesh.links[(proxy, o)].opened_at) for o in self.observers)
            self.record.observer_moves += max(0, connections - 1)

    async def _shut_down(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for client in self.clients.values():
            client.close()
        if self.store:
            await self.store.close()
        processes = [*self.keepers.values(), *self.observers.values(), *self.proxies.values()]
        await asyncio.gather(*(process.stop() for process in processes), return_exceptions=True)
        await self.mesh.close()
        for backend in self.backends.values():
            await backend.close()
        for service in self.lists.values():
            service.close()

    # Faults

    async def _resolve(self, selector: str) -> list[str]:
        keepers = [name for name in self.keepers if name not in self.removed]
        groups = {
            "keepers": keepers,
            "observers": list(self.observers),
            "proxies": list(self.proxies),
            "boxes": list(self.backends),
        }
        if selector in groups:
            return groups[selector]
        if re.fullmatch(r"z\d(\.\w+)?", selector):
            zone, _, group = selector.partition(".")
            names = groups[group] if group else [name for rows in groups.values() for name in rows]
            return [name for name in names if self.zone(name) == zone]
        if selector.startswith("@"):
            return self.selections.get(selector[1:], [])
        if selector.startswith("any-"):
            key = {"any-keeper": "keepers", "any-proxy": "proxies", "any-box": "boxes"}[selector]
            return [self.rng.choice(groups[key])]
        if selector in ("leader", "followers"):
            leader = await self._find_leader()
            return [k for k in keepers if (k == leader) == (selector == "leader")]
        if ":" in selector:
            kind, _, lease = selector.partition(":")
            owner = await self._find_owner(lease)
            return [p for p in self.proxies if (p == owner) == (kind == "owner")]
        return [selector]

    async def _find_leader(self) -> str:
        """The leader that most keepers report; used only to select the target of a fault, never in checks."""
        leaders: list[str] = []
        for name in [n for n in self.keepers if n not in self.removed]:
            client = KeeperClient(
                self.operator, "lab", PeerRole.TOOL, loop=self.loop, only_keeper=name
            )
            with contextlib.suppress(KeeperUnavailableError):
                leaders.append(
                    json.loads((await client.send_admin_command(AdminVerb.STATUS, "", 1.0)).body)[
                        "leader"
                    ]
                )
            await client.close()
        return max(set(leaders), key=leaders.count) if leaders else ""

    async def _find_owner(self, lease: str) -> str:
        assert self.store
        with contextlib.suppress(KeeperUnavailableError):
            row = (await self.store.read_state(4.0)).leases.get(lease)
            return row.owner.partition("#")[0] if row else ""
        return ""

    def _process(self, name: str) -> ServeProcess:
        return {**self.keepers, **self.observers, **self.proxies}[name]

    def _defer(self, wait_ns: int, function: Any) -> None:
        async def run() -> None:
            await asyncio.sleep(wait_ns / 1e9)
            await function()

        self._spawn(run())

    async def _inject(self, fault: fleet.Fault) -> None:
        who = await self._resolve(fault.who) if hasattr(fault, "who") else []
        if fault.label:
            self.selections[fault.label] = who
        at = self.now()
        self.record.add_fault(at, getattr(fault, "duration", getattr(fault, "downtime", 0)) / 1e9)
        if isinstance(fault, fleet.Stop | fleet.Kill | fleet.OldDisk | fleet.BitFlip):
            duration = fault.duration if isinstance(fault, fleet.Stop) else fault.downtime or 10**12
            if fault.who.startswith("owner:"):
                self.record.owner_faults.append((fault.who.partition(":")[2], at))
            for name in who:
                self.record.exempt.append((name, at, at + duration / 1e9 + GRACE_S))
                if name in self.proxies:
                    self.record.halted_proxies.append((name, at, at + duration / 1e9 + GRACE_S))
                if name in self.observers and isinstance(fault, fleet.Stop):
                    # Its connections stay open, so its proxies leave only when they time out.
                    self.record.exempt += [(p, at, at + MOVE_S) for p in self.proxies]
                await self._halt(name, fault)
        elif isinstance(fault, fleet.Cut | fleet.Delay | fleet.Throttle | fleet.Reset):
            to = await self._resolve(fault.to)
            await self._inject_on_links(fault, who, to, at)
        elif isinstance(fault, fleet.Disk):
            for name in who:
                switch = self.folder / f"{name}.switch"
                switch.write_text(fault.mode)
                self._defer(fault.duration, partial(_remove_file, switch))
        elif isinstance(fault, fleet.FailingBackend):
            for name in who:
                self.backends[name].is_failing = True
                self.record.failing_backends.append(name)
                self._defer(fault.duration, partial(_heal_backend, self.backends[name]))
        elif isinstance(fault, fleet.SlowBackend):
            for name in who:
                backend = self.backends[name]
                backend.slow_s, backend.slow_fraction = (fault.added_latency / 1e9, fault.fraction)
                self.record.failing_backends.append(name)
                self._defer(fault.duration, partial(_heal_backend, backend))
        elif isinstance(fault, fleet.RestartBackend):
            for name in who:
                self.backends[name].started = at
                self.record.restarted_backends.append((name, at))
            for service in self.lists.values():
                service.publish()
        elif isinstance(fault, fleet.OperatorCall):
            await self._run_operator_call(fault)

    async def _halt(self, name: str, fault: fleet.Fault) -> None:
        process = self._process(name)
        if isinstance(fault, fleet.Stop):
            process.signal(signal.SIGSTOP)
            self._defer(fault.duration, partial(self._resume_process, name))
            return
        if isinstance(fault, fleet.OldDisk):
            copy = self.disks / f"{name}.copy"
            # The fault's time is when the copy is taken; the keeper gets it back `age` later.
            shutil.copytree(self.disks / name, copy, dirs_exist_ok=True)
            await asyncio.sleep(fault.age / 1e9)
            await process.stop()
            shutil.rmtree(self.disks / name)
            shutil.copytree(copy, self.disks / name)
        else:
            await process.stop()
        if isinstance(fault, fleet.BitFlip):
            _flip_bit(self.disks / name / f"{name}.db")
        downtime = getattr(fault, "downtime", 0)
        if downtime:
            self._defer(downtime, partial(self._restart_process, name))

    async def _resume_process(self, name: str) -> None:
        self._process(name).signal(signal.SIGCONT)

    async def _restart_process(self, name: str) -> None:
        if name in self.keepers:
            await self._start_keeper(name)
        elif name in self.observers:
            await self._start_observer(name)
        else:
            self.clients[name].close_idle_connections()
            await self._start_proxy(name)

    async def _inject_on_links(self, fault: Any, who: list[str], to: list[str], at: float) -> None:
        rows = self.mesh.between(who, to)
        if isinstance(fault, fleet.Reset):
            for link, _ in rows:
                link.reset()
            return
        affected = []
        for link, dials in rows:
            out, back = (link.forward, link.backward) if dials else (link.backward, link.forward)
            affected += [out] * (getattr(fault, "direction", "both") in ("there", "both"))
            affected += [back] * (getattr(fault, "direction", "both") in ("back", "both"))
        for direction in affected:
            if isinstance(fault, fleet.Cut):
                direction.is_paused, direction.is_lossy = not fault.is_lossy, fault.is_lossy
            elif isinstance(fault, fleet.Delay):
                direction.delay_s, direction.jitter_s = fault.delay / 1e9, fault.jitter / 1e9
            else:
                direction.bytes_per_s = fault.bytes_per_s
        ends = {*who, *to}
        if self.observers and ends & set(self.observers):
            self._record_observer_fault(fault, ends, at)
        elif isinstance(fault, fleet.Cut) or (
            isinstance(fault, fleet.Delay) and set(to) & set(self.backends)
        ):
            for name in {*who, *to} & set(self.proxies):
                self.record.exempt.append(
                    (name, at, at + (fault.duration + getattr(fault, "delay", 0)) / 1e9 + GRACE_S)
                )
        self._defer(fault.duration, lambda: self._heal(fault, affected, [link for link, _ in rows]))

    def _record_observer_fault(self, fault: Any, ends: set[str], at: float) -> None:
        """Records until when proxies may act on stale state, for a fault on links of observers."""
        span_s = fault.duration / 1e9
        cut_off = ends & set(self.observers)
        if ends & set(self.keepers):
            self.isolated |= cut_off
            self._defer(fault.duration, partial(_rejoin, self.isolated, cut_off))
            for name in self.proxies:
                alone = self._observers_of(name) <= self.isolated
                self.record.exempt.append((name, at, at + (span_s + GRACE_S if alone else MOVE_S)))
            return
        for name in ends & set(self.proxies):
            alone = isinstance(fault, fleet.Throttle) or self._observers_of(name) <= cut_off
            self.record.exempt.append((name, at, at + (span_s + GRACE_S if alone else MOVE_S)))
            if alone:  # no observer receives its heartbeats, so it may lose its membership
                self.record.halted_proxies.append((name, at, at + span_s + GRACE_S))

    async def _heal(self, fault: Any, directions: list[Any], links: list[Link]) -> None:
        for direction in directions:
            if isinstance(fault, fleet.Cut):
                direction.is_paused = direction.is_lossy = False
            elif isinstance(fault, fleet.Delay):
                direction.delay_s = direction.jitter_s = 0.0
            else:
                direction.bytes_per_s = 0.0
        if isinstance(fault, fleet.Cut) and fault.is_lossy:
            for link in links:
                link.reset()

    async def _run_operator_call(self, fault: fleet.OperatorCall) -> None:
        """Runs an operator's command and records a result other than the expected one."""
        failure = ""
        try:
            failure = await self._send_operator_call(fault)
        except KeeperUnavailableError as exc:
            failure = str(exc)
        if bool(failure) != fault.must_fail:
            self.record.command_failures.append(
                f"{fault.verb} {fault.target} at {self.now():.1f} s: {failure or 'was accepted'}"
            )

    async def _send_operator_call(self, fault: fleet.OperatorCall) -> str:
        assert self.store
        name = fault.target
        if fault.verb in ("drain", "undrain"):
            drain = Drain(DrainKind.BACKEND, name, "lab", "", "a fault of the lab")
            change = (
                PutDrain(drain)
                if fault.verb == "drain"
                else RemoveDrain(DrainKind.BACKEND, name, "lab")
            )
            if fault.to:
                door = f"127.0.0.1:{self.proxies[fault.to].agent_port}"
                failure = (
                    await send_local_drain_request(
                        self.operator,
                        door,
                        keeper_messages.LocalDrainRequest(1, change=change),
                        3.0,
                    )
                ).rejected_reason
            else:
                client = KeeperClient(self.operator, "lab-ops", PeerRole.TOOL, loop=self.loop)
                try:
                    failure = (
                        await client.propose(change, 4.0, wait_for_quorum=fault.at >= 0)
                    ).rejected_reason
                finally:
                    await client.close()
            if not failure:
                self._record_drain(fault, name)
            return failure
        if fault.verb in fleet.ZONE_VERBS:
            verb = ZoneVerb(fault.verb)
            command = ZoneCommand(verb, name, hold_duration="1m", operator_name="lab", wait_s=4.0)
            try:
                await run_zone_command(self.operator, command)
            except (CommandRejectedError, OperatorError) as exc:
                return str(exc)
            return ""
        if fault.verb == "seize":
            return (
                await self.store.propose(RevokeLease(name, "lab", "a fault of the lab"), 4.0)
            ).rejected_reason
        who = await self._resolve(name) if name else []
        if fault.verb == "add" and not self.keepers[who[0]].running:
            await self._start_keeper(who[0])
        for _ in range(20):
            leader = await self._find_leader()
            if leader:
                client = KeeperClient(
                    self.operator, "lab", PeerRole.TOOL, loop=self.loop, only_keeper=leader
                )
                try:
                    response = await client.send_admin_command(fault.verb, who[0], 1.0)
                finally:
                    await client.close()
                if not response.rejected_reason and fault.verb == "remove":
                    self.removed.add(who[0])
                elif not response.rejected_reason and fault.verb == "add":
                    self.removed.discard(who[0])
                if not response.rejected_reason or "committed" not in response.rejected_reason:
                    return response.rejected_reason
            await asyncio.sleep(0.2)
        return "no leader accepted the command"

    def _record_drain(self, fault: fleet.OperatorCall, backend: str) -> None:
        now = self.now()
        if fault.verb == "drain":
            self.record.drains.append(fleetjudge.DrainRecord(backend, fault.to, now, float("inf")))
            if fault.to:
                self._spawn(self._watch_forwarded_drain(backend))
            return
        rows = self.record.drains
        self.record.drains = [
            fleetjudge.DrainRecord(d.backend, d.proxy, d.since, now - 0.2)
            if d.backend == backend and d.until > now
            else d
            for d in rows
        ]

    async def _watch_forwarded_drain(self, backend: str) -> None:
        """Polls until the store has a drain that was set at one proxy; from then on it binds all proxies."""
        client = KeeperClient(self.operator, "lab-look", PeerRole.TOOL, loop=self.loop)
        try:
            while True:
                with contextlib.suppress(KeeperUnavailableError):
                    if f"box:{backend}" in (await client.read_state(2.0)).drains:
                        self.record.drains.append(
                            fleetjudge.DrainRecord(backend, "", self.now(), float("inf"))
                        )
                        self.record.forwarded_drains += 1
                        return
                await asyncio.sleep(0.2)
        finally:
            await client.close()


def _port_of_backend(backend: standins.StandInBackend, proxy: str) -> int:
    return backend.ports[proxy]


async def _remove_file(path: Path) -> None:
    path.unlink(missing_ok=True)


async def _rejoin(isolated: set[str], names: set[str]) -> None:
    isolated -= names


async def _heal_backend(backend: standins.StandInBackend) -> None:
    backend.is_failing, backend.slow_fraction = False, 0.0


def _flip_bit(path: Path) -> None:
    """Flips one bit of the newest log entry, as silent disk corruption would."""
    with contextlib.closing(sqlite3.connect(path)) as db:
        row = db.execute("SELECT idx, data FROM entries ORDER BY idx DESC LIMIT 1").fetchone()
        if row:
            data = bytes([*(row[1] or b"\0")])
            db.execute(
                "UPDATE entries SET data = ? WHERE idx = ?",
                (bytes([data[0] ^ 1]) + data[1:], row[0]),
            )
            db.commit()


def _us(span_ns: int) -> str:
    return f"{span_ns // 1000}us"


def as_toml(tree: dict[str, Any]) -> str:
    """Encodes the subset of TOML that operator files use."""
    lines = [f"{k} = {_toml_value(v)}" for k, v in tree.items() if not isinstance(v, dict | list)]
    for key, value in tree.items():
        if isinstance(value, dict):
            plain = {k: v for k, v in value.items() if not (isinstance(v, list) and v)}
            lines += ["", f"[{key}]", *(f"{k} = {_toml_value(v)}" for k, v in plain.items())]
            lines.append(as_toml({f"{key}.{k}": v for k, v in value.items() if k not in plain}))
        elif isinstance(value, list):
            for row in value:
                lines += ["", f"[[{key}]]", *(f"{k} = {_toml_value(v)}" for k, v in row.items())]
    return "\n".join(lines) + "\n"


def _toml_value(value: Any) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, list):
        return f"[{', '.join(map(_toml_value, value))}]"
    return (
        str(value)
        if isinstance(value, int | float)
        else '"' + str(value).replace("\\", "\\\\") + '"'
    )


def run(spec: FleetScenario, seed: int, logs: Path | None = None, fenced: bool = True) -> Result:
    """Runs a scenario once and keeps its folder under `logs` if given. Raises Unfinished or MachineLate."""

    async def main(folder: Path) -> Result:
        # Guards against a busy disk of the machine: a write took 1.2 s and keepers lost the leadership. Disk
        # faults come from the timeline only. Files in memory still outlive a killed process.
        at = MEMORY if os.access(MEMORY, os.W_OK) else None
        with tempfile.TemporaryDirectory(prefix="mothstall-disks-", dir=at) as disks:
            return await FleetRun(spec, seed, folder, fenced, Path(disks)).execute()

    if logs is not None:
        folder = logs / f"{spec.name}-{seed}"
        shutil.rmtree(folder, ignore_errors=True)
        folder.mkdir(parents=True)
        return asyncio.run(main(folder))
    with tempfile.TemporaryDirectory(prefix="mothstall-fleet-") as scratch:
        return asyncio.run(main(Path(scratch)))
