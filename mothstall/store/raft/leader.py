"""A leader's tasks: replication, reads, configuration changes and transfer. Pure."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from mothstall.store.raft import membership
from mothstall.store.raft.leadership_transfer import LeadershipTransfer
from mothstall.store.raft.messages import (
    AppendEntriesResponse,
    Configuration,
    EntryKind,
    InstallSnapshotResponse,
)
from mothstall.store.raft.outbox import Outbox
from mothstall.store.raft.persistence import Persistence
from mothstall.store.raft.progress import ProgressTracker
from mothstall.store.raft.reads import ReadIndexQueue
from mothstall.store.raft.replica_state import RaftOptions, ReplicaState
from mothstall.store.raft.replication import Replication

MAX_UNCOMMITTED_ENTRIES = 4096  # waiting for a quorum; further proposals are rejected


class Leader:
    """The leader's state, which is empty while the replica does not lead.

    Attributes:
        progress: Replication progress of each replica.
        reads: Reads that wait for a quorum.
        replication: Sends the log to the other replicas.
        transfer: The transfer of the leadership to another voter, if one is in progress.
    """

    def __init__(
        self,
        state: ReplicaState,
        outbox: Outbox,
        persistence: Persistence,
        options: RaftOptions,
    ) -> None:
        self._state = state
        self._persistence = persistence
        self.progress = ProgressTracker(state)
        self.reads = ReadIndexQueue(state, outbox, self.progress)
        self.replication = Replication(state, outbox, options, self.progress, self.reads)
        self.transfer = LeadershipTransfer(state, outbox, self.progress)

    def start_term(self) -> None:
        """Begin to lead: append an empty entry and send a heartbeat to all other replicas."""
        self.transfer.cancel()
        self.progress.start_term()
        self.progress.own.match_index = self._persistence.persisted_index
        self.reads.clear()
        self.replication.start_term()

    def step_down(self) -> None:
        """Discard the state of the term in which the replica led."""
        self.transfer.cancel()
        self.progress.clear()
        self.reads.clear()

    def has_active_quorum(self) -> bool:
        """Whether a quorum has responded since this was last True (check quorum, thesis, 6.2)."""
        has_quorum = self.progress.active_voter_count() >= self._state.configuration.quorum_size
        if has_quorum:
            self.progress.clear_activity()
        return has_quorum

    def tick(self) -> None:
        """Send heartbeats, and propose an automatic configuration change if one is due."""
        self.replication.tick()
        if not self._state.has_committed_in_term or not self._state.is_configuration_committed:
            return
        if self.transfer.is_in_progress:
            return
        change = membership.automatic_change(self._state, self.progress.replicas)
        if change is not None:
            self.propose_configuration(change.voters, change.learners)

    def propose(self, data: bytes) -> bool:
        """Append a command to the log.

        Returns False during a transfer, or while too many entries are uncommitted.
        """
        uncommitted = self._state.log.last_index - self._state.commit_index
        if self.transfer.is_in_progress or uncommitted >= MAX_UNCOMMITTED_ENTRIES:
            return False
        self.replication.append(EntryKind.COMMAND, data)
        return True

    def propose_configuration(self, voters: Sequence[str], learners: Sequence[str]) -> str:
        """Propose a configuration; return the reason if it is rejected, else an empty string."""
        proposed = Configuration(tuple(sorted(voters)), tuple(sorted(learners)))
        reason = membership.rejection_reason(self._state, proposed)
        if reason:
            return reason
        self.replication.append(EntryKind.CONFIGURATION, msgspec.msgpack.encode(proposed))
        self.progress.follow_configuration()
        return ""

    def read(self, sender: str, context: int) -> None:
        """Begin a read for any replica; a quorum's heartbeat responses confirm the leadership."""
        if self.reads.add(sender, context):
            self.replication.broadcast(is_heartbeat=True)
            self.reads.release_confirmed()

    def handle_append_response(self, response: AppendEntriesResponse) -> bool:
        """Handle a follower's response; False if the sender is not in the configuration."""
        progress = self.progress.replicas.get(response.sender)
        if progress is None:
            return False
        self.replication.handle_append_response(response, progress)
        if self.transfer.target == response.sender:
            self.transfer.complete_if_caught_up()
        return True

    def handle_snapshot_response(self, response: InstallSnapshotResponse) -> None:
        """Handle a follower's response to a chunk of a snapshot."""
        progress = self.progress.replicas.get(response.sender)
        if progress is not None:
            self.replication.handle_snapshot_response(response, progress)

    def entries_persisted(self) -> None:
        """Count the entries that are now on the leader's own disk towards the quorum."""
        self.progress.own.match_index = self._persistence.persisted_index
        self.replication.advance_commit_index()
