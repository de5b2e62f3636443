"""Tests of how an agent acquires, renews and releases leases."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from mothstall.fleet.agent.counters import AgentCounters
from mothstall.fleet.agent.lease_renewal import LeaseRenewal
from mothstall.fleet.agent.snapshot_tracker import SnapshotTracker
from mothstall.fleet.operator_file import parse_operator_file
from mothstall.store.state.changes import (
    AcquireLease,
    ChangeResult,
    ReleaseLease,
    RenewLeases,
)
from mothstall.store.state.rows import Lease, StateDelta
from tests.fleet.agent.fake_client import FakeClient

OPERATOR_FILE: dict[str, Any] = {
    "cluster": "c",
    "zone": "z1",
    "keepers": [{"name": "k1", "address": "127.0.0.1:1"}],
}
OWNER = "p1#abc"


class Fixture:
    """Leases of one owner at a store that accepts every change with token 5."""

    def __init__(self) -> None:
        self.operator = parse_operator_file(OPERATOR_FILE)
        self.counters = AgentCounters()
        self.snapshots = SnapshotTracker(self.counters, lambda change: None)
        self.acquired: list[str] = []
        self.leases = LeaseRenewal(
            self.operator, OWNER, self.snapshots, self.counters, self.acquired.append
        )
        self.store = FakeClient(ChangeResult(token=5, version=3))
        self.client: Any = self.store

    def acquire(self, name: str) -> bool:
        return asyncio.run(self.leases.acquire(self.client, name))

    def reconcile(self, now_ns: int) -> None:
        asyncio.run(self.leases.reconcile(self.client, now_ns))


def test_granted_lease_is_held_with_its_token_and_version() -> None:
    fixture = Fixture()

    assert fixture.acquire("x")

    term_ms = fixture.leases.holder.term_ms
    assert fixture.store.proposed == [AcquireLease("x", OWNER, term_ms, {"zone": "z1"})]
    assert fixture.leases.token("x") == 5
    assert fixture.leases.acquired_version("x") == 3
    assert fixture.acquired == ["x"]


def test_lease_of_another_owner_is_not_proposed() -> None:
    fixture = Fixture()
    held_elsewhere: dict[str, Lease | None] = {"x": Lease("x", "p2#def", 1000, 4)}
    fixture.snapshots.on_state_update(StateDelta(0, 1, held_elsewhere), 0)

    assert not fixture.acquire("x")
    assert fixture.store.proposed == []


def test_rejected_lease_is_not_held() -> None:
    fixture = Fixture()
    fixture.store.result = ChangeResult(rejected_reason="x is p2#def's")

    assert not fixture.acquire("x")
    assert fixture.leases.token("x") == 0
    assert fixture.acquired == []


def test_leases_are_renewed_three_times_a_term() -> None:
    fixture = Fixture()
    fixture.acquire("x")
    fixture.store.proposed.clear()
    start_ns = time.monotonic_ns()
    interval_ns = fixture.operator.leases.term_ns // 3

    fixture.reconcile(start_ns)
    fixture.reconcile(start_ns + interval_ns - 1)
    assert fixture.store.proposed == [RenewLeases(OWNER, (("x", 5),))]

    fixture.reconcile(start_ns + interval_ns)
    assert len(fixture.store.proposed) == 2


def test_lease_that_the_store_no_longer_has_is_lost_and_counted() -> None:
    fixture = Fixture()
    fixture.acquire("x")
    fixture.acquire("y")
    fixture.store.result = ChangeResult(lost_leases=("x",))

    fixture.reconcile(time.monotonic_ns())

    assert list(fixture.leases.holder.held) == ["y"]
    assert fixture.counters.leases_lost == 1


def test_lease_that_was_not_renewed_in_time_is_lost_and_counted() -> None:
    fixture = Fixture()
    fixture.acquire("x")

    fixture.reconcile(time.monotonic_ns() + fixture.operator.leases.term_ns)

    assert not fixture.leases.holder.held
    assert fixture.counters.leases_lost == 1


def test_released_lease_is_no_longer_valid_and_its_release_is_proposed() -> None:
    fixture = Fixture()
    fixture.acquire("x")
    fixture.store.proposed.clear()

    asyncio.run(fixture.leases.release(fixture.client, "x"))

    assert fixture.leases.token("x") == 0
    assert fixture.store.proposed == [ReleaseLease("x", 5)]
