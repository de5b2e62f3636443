"""Which part of a replica's state is on disk, and which waits to be written. Pure."""

from __future__ import annotations

from mothstall.store.raft.messages import HardState, Snapshot
from mothstall.store.raft.ready import Ready
from mothstall.store.raft.replica_state import ReplicaState

NO_WRITE = -1  # value of `write_ticks` while no write is in progress


class Persistence:
    """Tracks the writes of one replica, of which at most one is in progress.

    Attributes:
        persisted_index: Index up to which the log is on disk.
        write_ticks: Ticks since the write in progress began, or `NO_WRITE`.
    """

    def __init__(self, state: ReplicaState, hard_state: HardState) -> None:
        self._state = state
        self.persisted_index = state.log.last_index
        self.write_ticks = NO_WRITE
        self._scheduled_index = state.log.last_index
        self._scheduled_hard_state = hard_state
        self._persisted_hard_state = hard_state
        self._received_snapshot: Snapshot | None = None
        self._is_writing_snapshot = False

    @property
    def has_unwritten_entries(self) -> bool:
        """Whether the log has entries that no `Ready` has contained yet."""
        return self._scheduled_index < self._state.log.last_index

    @property
    def has_unwritten_state(self) -> bool:
        """Whether the next `Ready` contains something to write."""
        is_hard_state_new = self._state.hard_state != self._scheduled_hard_state
        has_snapshot = self._received_snapshot is not None
        return is_hard_state_new or has_snapshot or self.has_unwritten_entries

    @property
    def is_hard_state_persisted(self) -> bool:
        """Whether the current term and vote are on disk, and no snapshot waits to be written."""
        if self._is_writing_snapshot or self._received_snapshot:
            return False
        return self._state.hard_state == self._persisted_hard_state

    def tick(self) -> None:
        """Count a tick of the write in progress."""
        if self.write_ticks >= 0:
            self.write_ticks += 1

    def entries_truncated(self, first_removed: int) -> None:
        """Note that the log has removed its entries from `first_removed` on."""
        self._scheduled_index = min(self._scheduled_index, first_removed - 1)
        self.persisted_index = min(self.persisted_index, first_removed - 1)

    def snapshot_received(self, snapshot: Snapshot) -> None:
        """Note that a snapshot from the leader has replaced the log, and has to be written."""
        self.persisted_index = snapshot.last_included_index
        self._scheduled_index = snapshot.last_included_index
        self._received_snapshot = snapshot

    def begin_write(self) -> Ready:
        """Return everything that is to be written, and mark the write as in progress."""
        hard_state = self._state.hard_state
        ready = Ready(snapshot=self._received_snapshot)
        if hard_state != self._scheduled_hard_state:
            ready.hard_state = hard_state
        if self.has_unwritten_entries:
            ready.entries = list(self._state.log.entries_from(self._scheduled_index + 1))
        self.write_ticks = 0 if ready.needs_write else NO_WRITE
        self._is_writing_snapshot = ready.snapshot is not None
        self._scheduled_hard_state = hard_state
        self._scheduled_index = self._state.log.last_index
        self._received_snapshot = None
        return ready

    def complete_write(self, ready: Ready) -> None:
        """Note that the contents of `ready` are on disk."""
        self.write_ticks = NO_WRITE
        self._is_writing_snapshot = False
        if ready.hard_state:
            self._persisted_hard_state = ready.hard_state
        if ready.snapshot:
            self.persisted_index = max(self.persisted_index, ready.snapshot.last_included_index)
        # If the last entry was replaced during the write, the new one is not on disk yet.
        if (
            ready.entries
            and self._state.log.term_at(ready.entries[-1].index) == ready.entries[-1].term
        ):
            self.persisted_index = max(self.persisted_index, ready.entries[-1].index)
