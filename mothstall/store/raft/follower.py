"""A follower's handling of the messages of its leader (Raft, 5.3 and 7). Pure."""

from __future__ import annotations

from mothstall.store.errors import CommittedEntryConflictError
from mothstall.store.raft.log import UNKNOWN_TERM
from mothstall.store.raft.messages import (
    AppendEntries,
    AppendEntriesResponse,
    Entry,
    InstallSnapshot,
)
from mothstall.store.raft.outbox import Outbox
from mothstall.store.raft.persistence import Persistence
from mothstall.store.raft.recovery import ObservedPromises, PromiseRecovery
from mothstall.store.raft.replica_state import ReplicaState
from mothstall.store.raft.snapshot_transfer import MAX_SNAPSHOT_BYTES, SnapshotReceiver


class Follower:
    """Accepts entries and snapshots from a leader of the current term, and responds to them."""

    def __init__(
        self,
        state: ReplicaState,
        outbox: Outbox,
        persistence: Persistence,
        recovery: PromiseRecovery,
    ) -> None:
        self._state = state
        self._outbox = outbox
        self._persistence = persistence
        self._recovery = recovery
        self._snapshots = SnapshotReceiver(state, outbox, persistence)

    def handle_append(self, request: AppendEntries) -> None:
        """Append the entries if both logs agree at `prev_log_index`, and respond.

        Raises:
            CommittedEntryConflictError: An entry conflicts with a committed entry.
        """
        state = self._state
        prev_log_index = request.prev_log_index
        self._recovery.observe(request.sender, _promises_of_leader(request))
        if prev_log_index < state.log.base_index:
            # Entries before the log in memory are committed, so the logs agree there.
            self.answer(request, success=True, match_index=state.commit_index)
            return
        if state.log.term_at(prev_log_index) != request.prev_log_term:
            self.answer(request, success=False, match_index=self._retry_index(request))
            return
        for entry in request.entries:
            self._append_entry(entry)
        match_index = prev_log_index + len(request.entries)
        state.commit_index = max(state.commit_index, min(request.leader_commit, match_index))
        if request.leader_commit <= match_index:
            self._recovery.finish_recovery_as_learner()
        self.answer(request, success=True, match_index=match_index)

    def handle_snapshot(self, request: InstallSnapshot) -> None:
        """Store a chunk of a snapshot unless the snapshot is too old or too large, and respond."""
        commit_index = self._state.commit_index
        is_needed = request.last_included_index > commit_index
        if is_needed and request.total_bytes <= MAX_SNAPSHOT_BYTES:
            self._snapshots.handle(request)
            return
        self._send_answer(request.sender, True, commit_index, commit_index, 0)

    def answer(self, request: AppendEntries, *, success: bool, match_index: int) -> None:
        """Respond to a request of the current leader."""
        self._send_answer(
            request.sender, success, request.prev_log_index, match_index, request.read_round
        )

    def reject_stale_leader(self, name: str) -> None:
        """Reject a leader of an older term; the response carries the current term."""
        self._send_answer(name, False, 0, 0, 0)

    def _append_entry(self, entry: Entry) -> None:
        """Append an entry; first remove a conflicting entry at its index and all later ones."""
        log = self._state.log
        existing_term = log.term_at(entry.index)
        if existing_term == entry.term or entry.index <= log.base_index:
            return
        if existing_term != UNKNOWN_TERM:
            if entry.index <= self._state.commit_index:
                raise CommittedEntryConflictError(
                    f"{self._state.name}: committed entry {entry.index} would be truncated"
                )
            log.truncate_from(entry.index)
            self._persistence.entries_truncated(entry.index)
        log.append(entry)

    def _retry_index(self, request: AppendEntries) -> int:
        """Return the index from which the leader retries.

        Entries whose term is newer than `prev_log_term` are skipped.
        """
        log = self._state.log
        index = min(request.prev_log_index - 1, log.last_index)
        while index > log.base_index and log.term_at(index) > request.prev_log_term:
            index -= 1
        return index

    def _send_answer(
        self, leader: str, success: bool, prev_log_index: int, match_index: int, read_round: int
    ) -> None:
        self._outbox.send(
            AppendEntriesResponse(
                sender=self._state.name,
                recipient=leader,
                term=self._state.current_term,
                success=success,
                prev_log_index=prev_log_index,
                match_index=match_index,
                read_round=read_round,
                recovery_status=self._state.recovery_status,
            )
        )


def _promises_of_leader(request: AppendEntries) -> ObservedPromises:
    """Return the promises that a request implies, as a leader sends only entries on its disk."""
    if request.entries:
        last = request.entries[-1]
        return ObservedPromises(request.term, last.term, last.index)
    return ObservedPromises(request.term, request.prev_log_term, request.prev_log_index)
