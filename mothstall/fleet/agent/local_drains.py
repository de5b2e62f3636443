"""Drains that operators request at this proxy: in effect at once, stored when possible."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass

from mothstall.fleet.agent.lease_renewal import PROPOSAL_TIMEOUT_S
from mothstall.fleet.agent.persisted_state import LocalState
from mothstall.fleet.agent.snapshot_tracker import SnapshotTracker
from mothstall.fleet.agent.store_client import StoreClient
from mothstall.fleet.agent.task_supervisor import TaskSupervisor
from mothstall.fleet.drains import ActiveDrains
from mothstall.fleet.errors import KeeperUnavailableError
from mothstall.store.state.changes import PutDrain, RemoveDrain
from mothstall.store.state.machine import StateMachine
from mothstall.store.state.rows import drain_key

MAX_LOCAL_DRAINS = 256  # drains that the store does not have yet; bounds the persisted file
# Wait for the store, after which the response says that only this proxy has the drain.
LOCAL_PROPOSAL_TIMEOUT_S = 0.3


@dataclass(slots=True, frozen=True)
class LocalDrainOutcome:
    """The result of a request: why it was rejected (empty: accepted), and where it took effect."""

    rejected_reason: str = ""
    text: str = ""


class LocalDrains:
    """Keeps local drains in effect until a snapshot contains them, without a gap in between."""

    def __init__(
        self,
        state: LocalState,
        snapshots: SnapshotTracker,
        tasks: TaskSupervisor,
        on_change: Callable[[], None],
    ) -> None:
        self._state = state
        self._snapshots = snapshots
        self._tasks = tasks
        self._on_change = on_change
        self._stored_versions: dict[str, int] = {}  # first version of the state with it, by key

    def active(self) -> ActiveDrains:
        """Return the drains in effect at this proxy: stored and local ones."""
        return ActiveDrains.merge(self._snapshots.current.drains, self._state.drains.values())

    def on_snapshot(self, version: int) -> None:
        """Drop the local drains that are stored in the state at `version`."""
        stored = [key for key, first in self._stored_versions.items() if first <= version]
        for key in stored:
            del self._stored_versions[key]
            self._state.drains.pop(key, None)
        if stored:
            self._tasks.spawn(self._state.save_or_log())

    async def reconcile(self, client: StoreClient) -> None:
        """Propose the local drains that the store does not have yet."""
        for key, drain in list(self._state.drains.items()):
            if key not in self._stored_versions:
                await self._propose_drain(client, key, PutDrain(drain), PROPOSAL_TIMEOUT_S)

    async def apply(self, change: PutDrain | RemoveDrain) -> LocalDrainOutcome:
        """Apply a request; changed local drains are in effect and on disk when this returns."""
        if isinstance(change, PutDrain):
            return await self._put(change)
        return await self._remove(change)

    async def _put(self, change: PutDrain) -> LocalDrainOutcome:
        invalid_reason = StateMachine().rejection_reason(change)
        if invalid_reason:
            return LocalDrainOutcome(invalid_reason)
        if len(self._state.drains) >= MAX_LOCAL_DRAINS:
            return LocalDrainOutcome(
                f"{MAX_LOCAL_DRAINS} drains given here wait for the store already"
            )
        key = drain_key(change.drain.kind, change.drain.name)
        self._state.drains[key] = change.drain
        self._on_change()
        save_failure = await self._state.save()
        if save_failure:
            return LocalDrainOutcome(save_failure)
        client = self._connected_client()
        if client:
            with contextlib.suppress(KeeperUnavailableError, TimeoutError):
                async with asyncio.timeout(LOCAL_PROPOSAL_TIMEOUT_S):
                    rejected_reason = await self._propose_drain(
                        client, key, change, LOCAL_PROPOSAL_TIMEOUT_S
                    )
                    return _stored_outcome(rejected_reason)
        return LocalDrainOutcome(text="here only")

    async def _remove(self, change: RemoveDrain) -> LocalDrainOutcome:
        key = drain_key(change.kind, change.name)
        was_local = self._state.drains.pop(key, None) is not None
        if was_local and key not in self._snapshots.current.drains:
            self._on_change()
            return LocalDrainOutcome(await self._state.save(), "it stood here only")
        client = self._connected_client()
        if client:
            with contextlib.suppress(KeeperUnavailableError, TimeoutError):
                async with asyncio.timeout(LOCAL_PROPOSAL_TIMEOUT_S):
                    result = await client.propose(change, LOCAL_PROPOSAL_TIMEOUT_S)
                    return _stored_outcome(result.rejected_reason)
        return LocalDrainOutcome("no contact with the store: an undrain must be said there")

    def _connected_client(self) -> StoreClient | None:
        client = self._snapshots.client
        return client if client and client.peer_name else None

    async def _propose_drain(
        self, client: StoreClient, key: str, change: PutDrain, timeout_s: float
    ) -> str:
        """Propose a drain; return why the store rejects it, empty if it is stored."""
        result = await client.propose(change, timeout_s)
        if not result.rejected_reason:
            self._stored_versions[key] = result.version
        return result.rejected_reason


def _stored_outcome(rejected_reason: str) -> LocalDrainOutcome:
    return LocalDrainOutcome(rejected_reason, "" if rejected_reason else "in the store")
