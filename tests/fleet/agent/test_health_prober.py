"""Tests of the health checks that an agent sends to backends."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import pytest

from mothstall.config import Address
from mothstall.fleet.agent.backend_endpoint import BackendEndpoint
from mothstall.fleet.agent.counters import AgentCounters
from mothstall.fleet.agent.health_prober import HealthProber
from mothstall.fleet.agent.lease_renewal import LeaseRenewal
from mothstall.fleet.agent.snapshot_tracker import SnapshotChange, SnapshotTracker
from mothstall.fleet.agent.task_supervisor import TaskSupervisor
from mothstall.fleet.operator_file import parse_operator_file
from mothstall.store.state.rows import Lease, StateDelta

pytestmark = pytest.mark.processes

LEASE = "probe/b1"
TOKEN = 7
OPERATOR_FILE: dict[str, Any] = {
    "cluster": "c",
    "keepers": [{"name": "k1", "address": "127.0.0.1:1"}],
    "leases": {"term": "30s"},
    "probing": {"every": "60s", "timeout": "2s"},
}


class Fixture:
    """A prober that holds the lease on backend b1, which answers with the given status line."""

    def __init__(self, port: int) -> None:
        loop = asyncio.get_running_loop()
        self.counters = AgentCounters()
        self.tasks = TaskSupervisor(loop)
        self.snapshots = SnapshotTracker(self.counters, self._on_snapshot)
        operator = parse_operator_file(OPERATOR_FILE)
        self.leases = LeaseRenewal(
            operator, "p1#abc", self.snapshots, self.counters, lambda name: None
        )
        now_ns = time.monotonic_ns()
        self.leases.holder.record_grant(LEASE, TOKEN, now_ns, now_ns)
        self.prober = HealthProber(operator, self.leases, self.tasks, self.counters)
        self.backends = {"b1": BackendEndpoint(Address("127.0.0.1", port), "z1")}

    def _on_snapshot(self, change: SnapshotChange) -> None:
        self.prober.on_snapshot(change)

    async def probe_once(self) -> None:
        self.prober.start_due_probes(self.backends)
        async with asyncio.timeout(5.0):
            while self.prober._in_flight or self.tasks._tasks:
                await asyncio.sleep(0.01)


@asynccontextmanager
async def backend(status_line: bytes, requests: list[bytes]) -> AsyncIterator[int]:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        requests.append(await reader.readuntil(b"\r\n\r\n"))
        writer.write(status_line)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()


def run(status_line: bytes, scenario: Callable[[Fixture, list[bytes]], Awaitable[None]]) -> None:
    async def run_scenario() -> None:
        requests: list[bytes] = []
        async with backend(status_line, requests) as port:
            await scenario(Fixture(port), requests)

    asyncio.run(run_scenario())


def test_probe_carries_the_fencing_token_and_is_sent_once_an_interval() -> None:
    async def scenario(fixture: Fixture, requests: list[bytes]) -> None:
        await fixture.probe_once()
        await fixture.probe_once()

        assert len(requests) == 1
        assert requests[0].startswith(b"GET /health HTTP/1.1\r\n")
        assert b"X-Fence: probe/b1;7\r\n" in requests[0]
        assert (fixture.counters.probes_sent, fixture.counters.probes_failed) == (1, 0)

    run(b"HTTP/1.1 200 OK\r\n\r\n", scenario)


@pytest.mark.parametrize("status_line", [b"HTTP/1.1 503 Service Unavailable\r\n\r\n", b""])
def test_answer_without_status_200_is_a_failure(status_line: bytes) -> None:
    async def scenario(fixture: Fixture, requests: list[bytes]) -> None:
        await fixture.probe_once()
        assert (fixture.counters.probes_sent, fixture.counters.probes_failed) == (1, 1)

    run(status_line, scenario)


def test_backend_that_has_seen_a_newer_token_is_no_failure_and_ends_the_lease() -> None:
    async def scenario(fixture: Fixture, requests: list[bytes]) -> None:
        await fixture.probe_once()
        assert fixture.counters.probes_failed == 0
        assert fixture.leases.token(LEASE) == 0

    run(b"HTTP/1.1 412 Precondition Failed\r\n\r\n", scenario)


def test_backend_that_refuses_connections_is_a_failure_without_a_request() -> None:
    async def scenario(fixture: Fixture, requests: list[bytes]) -> None:
        endpoint = BackendEndpoint(Address("127.0.0.1", 1), "z1")
        fixture.backends = {"b1": endpoint}
        await fixture.probe_once()
        assert (fixture.counters.probes_sent, fixture.counters.probes_failed) == (0, 1)

    run(b"", scenario)


def test_no_probe_without_a_valid_lease() -> None:
    async def scenario(fixture: Fixture, requests: list[bytes]) -> None:
        fixture.leases.forget(LEASE)
        await fixture.probe_once()
        assert requests == []

    run(b"HTTP/1.1 200 OK\r\n\r\n", scenario)


def test_backend_whose_lease_another_proxy_just_held_is_not_probed_at_once() -> None:
    async def scenario(fixture: Fixture, requests: list[bytes]) -> None:
        held_elsewhere: dict[str, Lease | None] = {LEASE: Lease(LEASE, "p2#def", 1000, 6)}
        fixture.snapshots.on_state_update(StateDelta(0, 1, held_elsewhere), 0)
        fixture.snapshots.on_state_update(StateDelta(1, 2, {LEASE: None}), 0)
        await fixture.probe_once()
        assert requests == []

    run(b"HTTP/1.1 200 OK\r\n\r\n", scenario)
