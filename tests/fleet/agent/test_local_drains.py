"""Tests of drains that operators request at one proxy."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from mothstall.fleet.agent import local_drains
from mothstall.fleet.agent.counters import AgentCounters
from mothstall.fleet.agent.local_drains import LocalDrainOutcome, LocalDrains
from mothstall.fleet.agent.persisted_state import LocalState, PersistedStateFile
from mothstall.fleet.agent.snapshot_tracker import SnapshotTracker
from mothstall.fleet.agent.task_supervisor import TaskSupervisor
from mothstall.store.state.changes import ChangeResult, PutDrain, RemoveDrain
from mothstall.store.state.rows import Drain, DrainKind, StateDelta
from tests.fleet.agent.fake_client import FakeClient

DRAIN = Drain(DrainKind.BACKEND, "b1", "ann", "", "fan")
PUT = PutDrain(DRAIN)
REMOVE = RemoveDrain(DRAIN.kind, DRAIN.name, "ann")
KEY = "box:b1"
NO_CONNECTION_REASON = "no contact with the store: an undrain must be said there"


class Fixture:
    """Local drains of proxy p1 with a given client."""

    def __init__(self, folder: Path, client: FakeClient | None) -> None:
        loop = asyncio.get_running_loop()
        self.change_count = 0
        self.state = LocalState(str(folder), "p1", loop)
        self.tasks = TaskSupervisor(loop)
        self.snapshots = SnapshotTracker(AgentCounters(), lambda change: None)
        untyped_client: Any = client
        self.snapshots.client = untyped_client
        self.drains = LocalDrains(self.state, self.snapshots, self.tasks, self._count_change)

    def _count_change(self) -> None:
        self.change_count += 1


def run(
    folder: Path, client: FakeClient | None, scenario: Callable[[Fixture], Awaitable[None]]
) -> None:
    async def run_scenario() -> None:
        fixture = Fixture(folder, client)
        await scenario(fixture)
        await asyncio.sleep(0)

    asyncio.run(run_scenario())


@pytest.mark.parametrize(
    "client", [None, FakeClient(ChangeResult(), peer_name=""), FakeClient(None)]
)
def test_drain_is_in_effect_and_on_disk_while_the_store_does_not_answer(
    tmp_path: Path, client: FakeClient | None
) -> None:
    async def scenario(fixture: Fixture) -> None:
        assert await fixture.drains.apply(PUT) == LocalDrainOutcome(text="here only")
        assert KEY in fixture.drains.active().keys
        assert fixture.change_count == 1
        assert PersistedStateFile(str(tmp_path), "p1").load().drains == [DRAIN]

    run(tmp_path, client, scenario)


def test_stored_drain_stays_local_until_a_snapshot_has_its_version(tmp_path: Path) -> None:
    client = FakeClient(ChangeResult(version=9))

    async def scenario(fixture: Fixture) -> None:
        assert await fixture.drains.apply(PUT) == LocalDrainOutcome(text="in the store")
        fixture.drains.on_snapshot(8)
        assert KEY in fixture.state.drains
        fixture.drains.on_snapshot(9)
        assert KEY not in fixture.state.drains

    run(tmp_path, client, scenario)


def test_drain_that_the_store_does_not_have_is_proposed_once_it_answers(tmp_path: Path) -> None:
    client = FakeClient(None)

    async def scenario(fixture: Fixture) -> None:
        await fixture.drains.apply(PUT)
        client.proposed.clear()
        client.result = ChangeResult(version=9)
        untyped_client: Any = client
        await fixture.drains.reconcile(untyped_client)
        await fixture.drains.reconcile(untyped_client)
        assert client.proposed == [PUT]

    run(tmp_path, client, scenario)


def test_reason_is_returned_for_a_drain_that_the_store_rejects(tmp_path: Path) -> None:
    client = FakeClient(ChangeResult(rejected_reason="too many drains"))

    async def scenario(fixture: Fixture) -> None:
        assert await fixture.drains.apply(PUT) == LocalDrainOutcome("too many drains", "")

    run(tmp_path, client, scenario)


def test_invalid_drain_is_rejected_and_changes_nothing(tmp_path: Path) -> None:
    invalid = PutDrain(Drain("planet", "b1", "ann", "", ""))

    async def scenario(fixture: Fixture) -> None:
        assert (await fixture.drains.apply(invalid)).rejected_reason
        assert not fixture.state.drains
        assert fixture.change_count == 0

    run(tmp_path, None, scenario)


def test_drains_beyond_the_limit_are_rejected(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(local_drains, "MAX_LOCAL_DRAINS", 1)

    async def scenario(fixture: Fixture) -> None:
        await fixture.drains.apply(PUT)
        second = PutDrain(Drain(DrainKind.BACKEND, "b2", "ann", "", ""))
        outcome = await fixture.drains.apply(second)
        assert outcome.rejected_reason.startswith("1 drains given here")
        assert list(fixture.state.drains) == [KEY]

    run(tmp_path, None, scenario)


def test_removing_a_drain_that_only_this_proxy_has_needs_no_store(tmp_path: Path) -> None:
    async def scenario(fixture: Fixture) -> None:
        await fixture.drains.apply(PUT)
        assert await fixture.drains.apply(REMOVE) == LocalDrainOutcome(text="it stood here only")
        assert fixture.change_count == 2
        assert PersistedStateFile(str(tmp_path), "p1").load().drains == []

    run(tmp_path, None, scenario)


def test_removing_a_stored_drain_without_the_store_is_rejected(tmp_path: Path) -> None:
    async def scenario(fixture: Fixture) -> None:
        fixture.snapshots.on_state_update(StateDelta(0, 1, {}, {KEY: DRAIN}), 0)
        assert await fixture.drains.apply(REMOVE) == LocalDrainOutcome(NO_CONNECTION_REASON)

    run(tmp_path, None, scenario)


def test_removing_a_stored_drain_is_proposed_to_the_store(tmp_path: Path) -> None:
    client = FakeClient(ChangeResult(version=2))

    async def scenario(fixture: Fixture) -> None:
        fixture.snapshots.on_state_update(StateDelta(0, 1, {}, {KEY: DRAIN}), 0)
        assert await fixture.drains.apply(REMOVE) == LocalDrainOutcome(text="in the store")
        assert client.proposed == [REMOVE]

    run(tmp_path, client, scenario)
