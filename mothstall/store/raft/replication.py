"""Replication of a leader's log, and its commit index (Raft, 5.3 and 5.4.2). Pure."""

from __future__ import annotations

from mothstall.store.raft.messages import (
    AppendEntries,
    AppendEntriesResponse,
    Entry,
    EntryKind,
    InstallSnapshotResponse,
    RecoveryStatus,
)
from mothstall.store.raft.outbox import Outbox
from mothstall.store.raft.progress import NO_SNAPSHOT, Progress, ProgressTracker
from mothstall.store.raft.reads import ReadIndexQueue
from mothstall.store.raft.replica_state import RaftOptions, ReplicaState
from mothstall.store.raft.snapshot_transfer import SnapshotSender

MAX_IN_FLIGHT_ENTRIES = 1024  # sent to one follower and not acknowledged yet


class Replication:
    """Sends entries, heartbeats and snapshots to the replicas, and advances the commit index.

    Attributes:
        is_broadcast_due: Whether entries or a commit index wait to be sent with the next `Ready`.
    """

    def __init__(
        self,
        state: ReplicaState,
        outbox: Outbox,
        options: RaftOptions,
        progress: ProgressTracker,
        reads: ReadIndexQueue,
    ) -> None:
        self._state = state
        self._outbox = outbox
        self._options = options
        self._progress = progress
        self._reads = reads
        self._snapshots = SnapshotSender(state, outbox, progress)
        self._ticks_since_heartbeat = 0
        self.is_broadcast_due = False

    def start_term(self) -> None:
        """Append a new leader's first entry, and send a heartbeat at once, not at the next tick."""
        self._ticks_since_heartbeat = 0
        self.append(EntryKind.NO_OP, b"")
        self.broadcast(is_heartbeat=True)
        self.is_broadcast_due = False

    def tick(self) -> None:
        """Send heartbeats at their interval."""
        self._ticks_since_heartbeat += 1
        if self._ticks_since_heartbeat >= self._state.timing.heartbeat_ticks:
            self._ticks_since_heartbeat = 0
            self.broadcast(is_heartbeat=True)

    def append(self, kind: EntryKind, data: bytes) -> None:
        """Add an entry of the current term to the log; it is sent with the next `Ready`."""
        log = self._state.log
        log.append(Entry(log.last_index + 1, self._state.current_term, kind, data))
        self.is_broadcast_due = True

    def broadcast_if_due(self) -> None:
        """Send the entries and the commit index that are new since the last `Ready`."""
        if self.is_broadcast_due and self._state.is_leader:
            self.broadcast(is_heartbeat=False)
        self.is_broadcast_due = False

    def broadcast(self, *, is_heartbeat: bool) -> None:
        """Send each other replica the entries that it lacks; a heartbeat may have no entries."""
        for name in self._state.configuration.replicas:
            if name != self._state.name and name in self._progress.replicas:
                self._send(name, is_heartbeat=is_heartbeat)

    def handle_append_response(self, response: AppendEntriesResponse, progress: Progress) -> None:
        """Update the follower's progress, commit, and send further entries."""
        progress.is_recently_active = True
        progress.recovery_status = response.recovery_status
        progress.acknowledged_read_round = max(
            progress.acknowledged_read_round, response.read_round
        )
        if response.success:
            progress.match_index = max(progress.match_index, response.match_index)
            progress.next_index = max(progress.next_index, progress.match_index + 1)
            progress.is_streaming = True
            progress.snapshot_offset = NO_SNAPSHOT
            self.advance_commit_index()
        elif _is_rejection_current(response, progress):
            self._retry_from_earlier_index(response, progress)
        if progress.is_streaming and progress.next_index <= self._state.log.last_index:
            self._send(response.sender, is_heartbeat=False)
        self._reads.release_confirmed()

    def handle_snapshot_response(
        self, response: InstallSnapshotResponse, progress: Progress
    ) -> None:
        """Send the next chunk of the snapshot, or the entries after it."""
        progress.is_recently_active = True
        progress.recovery_status = response.recovery_status
        if self._snapshots.handle_response(response, progress):
            self._send(response.sender, is_heartbeat=True)

    def advance_commit_index(self) -> None:
        """Commit the entries that a quorum has on disk, if the last is of the own term.

        See Raft, 5.4.2.
        """
        state = self._state
        index = self._progress.quorum_match_index()
        if index <= state.commit_index:
            return
        is_own_term = state.log.term_at(index) == state.current_term
        if self._options.is_commit_limited_to_own_term and not is_own_term:
            return
        state.commit_index = index
        # Lets followers apply the entries and answer their callers without waiting for a heartbeat.
        self.is_broadcast_due = True
        self._reads.release_confirmed()

    def _retry_from_earlier_index(
        self, response: AppendEntriesResponse, progress: Progress
    ) -> None:
        """Retry from an earlier index, as the follower's log did not agree at `prev_log_index`."""
        progress.is_streaming = False
        if response.recovery_status != RecoveryStatus.NORMAL:
            # The follower may have lost entries that it had acknowledged.
            progress.match_index = min(progress.match_index, response.match_index)
        rejected_next_index = progress.next_index
        retry_index = min(response.match_index + 1, response.prev_log_index)
        progress.next_index = max(progress.match_index + 1, retry_index)
        if progress.next_index < rejected_next_index:
            # Guards against an endless exchange of retries and rejections: without progress the
            # next heartbeat retries.
            self._send(response.sender, is_heartbeat=True)

    def _send(self, name: str, *, is_heartbeat: bool) -> None:
        """Send a replica the next chunk of the snapshot, or the entries that its log lacks."""
        state = self._state
        progress = self._progress.replicas[name]
        if progress.next_index <= state.log.base_index:
            if progress.snapshot_offset == NO_SNAPSHOT or is_heartbeat:
                self._snapshots.send_chunk(name, max(0, progress.snapshot_offset))
            return
        if not is_heartbeat and not _may_send_entries(progress):
            return
        entries: tuple[Entry, ...] = ()
        if progress.next_index <= state.log.last_index:
            entries = state.log.entries_from(progress.next_index, self._options.max_batch_bytes)
        has_updates = bool(entries) or progress.sent_commit_index < state.commit_index
        if is_heartbeat or has_updates:
            self._send_append(name, progress, entries)

    def _send_append(self, name: str, progress: Progress, entries: tuple[Entry, ...]) -> None:
        state = self._state
        progress.sent_commit_index = state.commit_index
        prev_log_index = progress.next_index - 1
        self._outbox.send(
            AppendEntries(
                sender=state.name,
                recipient=name,
                term=state.current_term,
                prev_log_index=prev_log_index,
                prev_log_term=state.log.term_at(prev_log_index),
                entries=entries,
                leader_commit=state.commit_index,
                read_round=self._reads.round,
            )
        )
        if progress.is_streaming:
            progress.next_index += len(entries)


def _may_send_entries(progress: Progress) -> bool:
    in_flight = progress.next_index - progress.match_index
    return progress.is_streaming and in_flight <= MAX_IN_FLIGHT_ENTRIES


def _is_rejection_current(response: AppendEntriesResponse, progress: Progress) -> bool:
    """Whether a rejection is still relevant, and not a response to an outdated message."""
    if response.prev_log_index == progress.next_index - 1:
        return True
    return progress.is_streaming and response.prev_log_index > progress.match_index
