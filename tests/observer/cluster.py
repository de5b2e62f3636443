"""One keeper, observers and agents in one process, over loopback, for tests."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any

from mothstall.config import Address
from mothstall.fleet.agent.agent import Agent
from mothstall.fleet.agent.backend_endpoint import BackendEndpoint
from mothstall.fleet.failover.controller import ProxyTraffic
from mothstall.fleet.operator_config import OperatorConfig
from mothstall.fleet.operator_file import parse_operator_file
from mothstall.keeper.process import Keeper
from mothstall.observer.limits import ObserverLimits
from mothstall.observer.process import Observer
from mothstall.store.state.machine import StateMachine
from tests.ports import free_port

TIMEOUT_S = 30.0


async def wait_until(condition: Callable[[], Any], description: str) -> None:
    deadline_s = asyncio.get_running_loop().time() + TIMEOUT_S
    while not condition():
        assert asyncio.get_running_loop().time() < deadline_s, description
        await asyncio.sleep(0.02)


class ObserverCluster:
    """One keeper, observers with their zones, and agents."""

    def __init__(
        self,
        folder: Path,
        zones: dict[str, str],
        term: str = "1s",
        limits: ObserverLimits | None = None,
    ) -> None:
        self.folder = folder
        self.limits = limits
        ports = [free_port() for _ in range(1 + len(zones))]
        self.operator_file: dict[str, Any] = {
            "cluster": "test",
            "keepers": [{"name": "k1", "address": f"127.0.0.1:{ports[0]}"}],
            "observers": [
                {"name": name, "address": f"127.0.0.1:{port}", "zone": zone, "region": "north"}
                for (name, zone), port in zip(zones.items(), ports[1:], strict=True)
            ],
            "leases": {"term": term},
        }
        self.keeper: Keeper | None = None
        self.observers: dict[str, Observer] = {}
        self.agents: dict[str, Agent] = {}

    def operator(self, zone: str = "z1", **more: Any) -> OperatorConfig:
        return parse_operator_file({**self.operator_file, "zone": zone, **more})

    async def start_keeper(self) -> Keeper:
        self.keeper = Keeper(self.operator(), "k1", self.folder)
        await self.keeper.start()
        return self.keeper

    async def start_observer(self, name: str) -> Observer:
        observer = self.observers[name] = Observer(self.operator(), name, limits=self.limits)
        await observer.start()
        return observer

    async def start_agent(
        self,
        name: str,
        zone: str = "z1",
        backends: int = 0,
        proxy_traffic: ProxyTraffic | None = None,
        **more: Any,
    ) -> Agent:
        agent = self.agents[name] = Agent(
            self.operator(zone, **more),
            name,
            loop=asyncio.get_running_loop(),
            on_change=lambda: None,
            may_probe=bool(backends),
            proxy_traffic=proxy_traffic,
            classes=["ask"],
            latency_objectives_ns=[300_000_000],
        )
        agent.backends = {
            f"b{i}": BackendEndpoint(Address("127.0.0.1", 1), zone) for i in range(backends)
        }
        await agent.start()
        return agent

    @property
    def state(self) -> StateMachine:
        assert self.keeper
        return self.keeper.replica.state

    def observer_of(self, name: str) -> str:
        """Return the observer under which a proxy is a member; empty: it is not a member."""
        row = self.state.members.get(name)
        is_live = row is not None and self.state.is_lease_current(row.lease, row.token)
        return row.lease.removeprefix("observer/") if row and is_live else ""

    async def stop(self) -> None:
        for agent in self.agents.values():
            await agent.stop()
        for observer in self.observers.values():
            await observer.stop()
        if self.keeper:
            await self.keeper.stop()


@contextlib.asynccontextmanager
async def observer_cluster(
    folder: Path, *, term: str = "1s", limits: ObserverLimits | None = None, **zones: str
) -> AsyncIterator[ObserverCluster]:
    cluster = ObserverCluster(folder, zones, term, limits)
    try:
        await cluster.start_keeper()
        for name in zones:
            await cluster.start_observer(name)
        yield cluster
    finally:
        await cluster.stop()


async def kill(observer: Observer) -> None:
    """End an observer as a kill does: its lease is not released, its connections break."""
    observer.server.stop_listening()
    observer._tasks.cancel()
    observer.server.close_clients("killed")
    await observer.contact.clients.close()
