"""The agent's current snapshot of the replicated state, and its maximum age."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

from mothstall.fleet.agent.cluster_snapshot import ClusterSnapshot
from mothstall.fleet.agent.counters import AgentCounters
from mothstall.fleet.agent.store_client import StoreClient
from mothstall.fleet.units import NS_PER_MS
from mothstall.store.protocol.keeper_messages import WatchEvent
from mothstall.store.state.rows import StateDelta

# Time without a leader at a keeper after which the agent connects to another keeper: longer than
# the default election timeout (0.3 to 0.6 s).
MAX_LEADERLESS_NS = 1_500_000_000


@dataclass(slots=True, frozen=True)
class SnapshotChange:
    """One step from a snapshot to the next.

    Attributes:
        previous: The snapshot before.
        current: The snapshot now.
        delta: The delta from the previous snapshot to the current one.
        received_at_ns: When the delta arrived, by the machine's monotonic clock.
    """

    previous: ClusterSnapshot
    current: ClusterSnapshot
    delta: StateDelta
    received_at_ns: int

    @property
    def may_change_drains_or_hints(self) -> bool:
        """Whether drains or values may differ; a table that is the same object is unchanged."""
        return (
            self.previous.drains is not self.current.drains
            or self.previous.values is not self.current.values
        )


class SnapshotTracker:
    """Applies deltas from keepers or an observer; each snapshot is complete and immutable.

    Attributes:
        current: The latest snapshot.
        client: The client that the state comes from; None before the agent's start.
        leader_contact_at_ns: When a keeper that has a leader last sent anything; 0: never.
    """

    def __init__(
        self, counters: AgentCounters, on_change: Callable[[SnapshotChange], None]
    ) -> None:
        self.current = ClusterSnapshot()
        self.client: StoreClient | None = None
        self.leader_contact_at_ns = 0
        self._leaderless_since_ns = 0
        self._counters = counters
        self._on_change = on_change

    def age_ms(self) -> int:
        """Return the maximum age of the snapshot; -1: no keeper with a leader was reached yet."""
        if not self.leader_contact_at_ns:
            return -1
        return (time.monotonic_ns() - self.leader_contact_at_ns) // NS_PER_MS

    def on_watch_event(self, event: WatchEvent) -> None:
        """Apply a watch event; disconnect from a keeper that has had no leader for too long."""
        now_ns = time.monotonic_ns()
        if event.has_leader:
            self.leader_contact_at_ns = now_ns
            self._leaderless_since_ns = now_ns
        elif self.client and now_ns - self._leaderless_since_ns > MAX_LEADERLESS_NS:
            self._leaderless_since_ns = now_ns
            self.client.disconnect("the keeper has no leader")
        self._apply(event.delta)

    def on_state_update(self, delta: StateDelta, age_ms: int) -> None:
        """Apply an observer's update; `age_ms` is the age of its state, -1: unknown."""
        if age_ms >= 0:
            contact_at_ns = time.monotonic_ns() - age_ms * NS_PER_MS
            self.leader_contact_at_ns = max(self.leader_contact_at_ns, contact_at_ns)
        self._apply(delta)

    def _apply(self, delta: StateDelta) -> None:
        previous = self.current
        updated = previous.apply(delta)
        if updated is None:
            if self.client:
                self.client.request_resync()
            return
        if updated is previous:
            return
        self.current = updated
        self._counters.snapshots += 1
        self._on_change(SnapshotChange(previous, updated, delta, time.monotonic_ns()))
