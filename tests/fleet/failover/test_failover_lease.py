"""A new holder of the failover lease continues from its predecessor's plan."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import msgspec

from mothstall.fleet.agent.agent import Agent
from mothstall.fleet.agent.cluster_snapshot import ClusterSnapshot
from mothstall.fleet.failover.plan import FAILOVER_LEASE, PLAN_VALUE_NAME, FailoverPlan
from mothstall.fleet.failover.transition import RoutingWeights
from mothstall.fleet.operator_file import parse_operator_file
from mothstall.fleet.probing.assignment import assigned_prober
from mothstall.store.state.changes import AcquireLease, Change, ChangeResult, PutValue
from mothstall.store.state.rows import Lease, StateDelta, StoredValue
from tests.fleet.failover.builders import HEALTHY, make_report

OPERATOR_FILE = {
    "cluster": "c",
    "zone": "a",
    "keepers": [{"name": "k1", "address": "127.0.0.1:1"}],
    "failover": {"on": True, "every": "100ms"},
}
# Longer than the report interval of the operator file.
TICK_S = 0.11
# Preferred to `p1` by the rendezvous hash of the failover lease.
OTHER_PROXY = next(
    name
    for name in (f"p{number}" for number in range(2, 50))
    if assigned_prober(FAILOVER_LEASE, ("p1", name)) == name
)


class GrantingKeepers:
    """Grants the lease at version 9, and accepts all writes."""

    def __init__(self) -> None:
        self.proposed: list[Change] = []

    async def propose(self, change: Change, wait_s: float) -> ChangeResult:
        self.proposed.append(change)
        return ChangeResult(token=4, version=9)

    def subscribe_reports(self, on: bool) -> None: ...


class IdleTraffic:
    """A proxy without requests."""

    def warm_weights(self) -> dict[str, float]:
        return {"a": 10.0}

    def request_totals(self) -> tuple[int, int]:
        return 0, 0

    def apply_weights(self, weights: RoutingWeights, lifetime_ms: int) -> None: ...


def make_agent() -> Agent:
    return Agent(
        parse_operator_file(OPERATOR_FILE),
        "p1",
        loop=asyncio.get_running_loop(),
        on_change=lambda: None,
        proxy_traffic=IdleTraffic(),
        classes=["x"],
    )


def snapshot_with_plan(version: int, plan_number: int) -> ClusterSnapshot:
    lease = Lease("member/p1", "p1#1", 2000, 1)
    data = msgspec.msgpack.encode(FailoverPlan(plan_number))
    plan = StoredValue(PLAN_VALUE_NAME, data, FAILOVER_LEASE, 3)
    delta = StateDelta(0, version, {lease.name: lease}, {}, {PLAN_VALUE_NAME: plan})
    snapshot = ClusterSnapshot().apply(delta)
    assert snapshot is not None
    return snapshot


async def tick(agent: Agent, keepers: Any, ticks: int) -> None:
    """Reconcile an agent's failover `ticks` times, with new reports before each."""
    reports = tuple(
        msgspec.msgpack.encode(make_report(f"p{i}", "a", {"a": HEALTHY})) for i in range(3)
    )
    assert agent.failover is not None
    assert agent.failover_participant is not None
    for _ in range(ticks):
        agent.failover.receive_reports(reports, time.monotonic_ns() // 1_000_000)
        await agent._reconcile_failover(agent.failover_participant, keepers)
        await asyncio.sleep(TICK_S)


def adopt(agent: Agent, snapshot: ClusterSnapshot) -> None:
    agent.snapshots.current = snapshot
    assert agent.failover is not None
    agent.failover.apply_snapshot(agent.snapshot, 0)


def test_a_new_lease_holder_waits_for_its_predecessors_last_plan() -> None:
    async def run() -> None:
        agent = make_agent()
        keepers = GrantingKeepers()
        adopt(agent, snapshot_with_plan(version=8, plan_number=6))
        await tick(agent, keepers, 4)
        proposed = [type(change) for change in keepers.proposed]
        assert proposed == [AcquireLease], "plan 7 was not received yet"
        adopt(agent, snapshot_with_plan(version=9, plan_number=7))
        await tick(agent, keepers, 3)
        write = keepers.proposed[1]
        assert isinstance(write, PutValue)
        assert write.token == 4
        assert msgspec.msgpack.decode(write.value or b"", type=FailoverPlan).number >= 7

    asyncio.run(run())


def test_holder_acquires_at_once_a_lease_that_the_store_still_lists_as_its_own() -> None:
    """Guards against a missing plan for a zone that was lost during a loss of quorum.

    By the holder's clock its lease ends one term after the last renewal. The store lists it as the
    holder's until the next leader has given it a complete term, and the holder waited for that end
    as other proxies must: in `lab fleet run zone-no-quorum` it acquired the lease 2.0 s after the
    members' leases, 1.0 s before the zone was back, and published no plan in 7 of 8 rounds. Probe
    leases are acquired again at once.
    """

    async def run() -> None:
        agent = make_agent()
        keepers = GrantingKeepers()
        # The agent acquired the lease as the only proxy; the hash now assigns it to another proxy.
        assert assigned_prober(FAILOVER_LEASE, ("p1", OTHER_PROXY)) == OTHER_PROXY
        adopt(agent, snapshot_with_lease_of(agent.owner))
        await tick(agent, keepers, 1)
        assert [type(change) for change in keepers.proposed] == [AcquireLease]

    asyncio.run(run())


def test_lease_that_another_process_holds_is_not_acquired() -> None:
    async def run() -> None:
        agent = make_agent()
        keepers = GrantingKeepers()
        adopt(agent, snapshot_with_lease_of("p1#another"))
        await tick(agent, keepers, 2)
        assert keepers.proposed == []

    asyncio.run(run())


def snapshot_with_lease_of(owner: str) -> ClusterSnapshot:
    member = Lease("member/p1", owner, 2000, 1)
    failover = Lease(FAILOVER_LEASE, owner, 2000, 2)
    other = Lease(f"member/{OTHER_PROXY}", f"{OTHER_PROXY}#1", 2000, 3)
    rows: dict[str, Lease | None] = {lease.name: lease for lease in (member, failover, other)}
    snapshot = ClusterSnapshot().apply(StateDelta(0, 8, rows, {}, {}))
    assert snapshot is not None
    return snapshot
