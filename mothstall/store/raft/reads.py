"""Linearizable reads without log entries: the read index (Ongaro's thesis, 6.4). Pure."""

from __future__ import annotations

from dataclasses import dataclass

from mothstall.store.raft.messages import ReadIndexResponse
from mothstall.store.raft.outbox import Outbox
from mothstall.store.raft.progress import ProgressTracker
from mothstall.store.raft.ready import ReadState
from mothstall.store.raft.replica_state import ReplicaState

MAX_PENDING_READS = 4096  # waiting for a quorum; further reads are dropped, and callers retry


@dataclass(slots=True, frozen=True)
class PendingRead:
    """A read that waits until a quorum has confirmed that this replica still leads.

    Attributes:
        round: The round of heartbeats that confirms the leadership for this read.
        sender: The replica that requested it.
        context: The identifier that the sender chose.
        index: The commit index when the read arrived.
    """

    round: int
    sender: str
    context: int
    index: int


class ReadIndexQueue:
    """The reads that wait for a quorum at a leader, and confirmed reads of this replica.

    Attributes:
        round: Number of the newest round of reads; it never decreases, not even in a new term.
        read_states: Confirmed reads of this replica.
    """

    def __init__(self, state: ReplicaState, outbox: Outbox, progress: ProgressTracker) -> None:
        self._state = state
        self._outbox = outbox
        self._progress = progress
        self._pending: list[PendingRead] = []
        self.round = 0
        self.read_states: list[ReadState] = []

    def add(self, sender: str, context: int) -> bool:
        """Queue a read for the next round; return False if it is dropped and has to be retried."""
        if len(self._pending) >= MAX_PENDING_READS or not self._state.has_committed_in_term:
            return False
        self.round += 1
        self._pending.append(PendingRead(self.round, sender, context, self._state.commit_index))
        return True

    def clear(self) -> None:
        """Discard the reads that wait: the replica no longer leads, or leads a new term."""
        self._pending = []

    def release_confirmed(self) -> None:
        """Answer the reads of the rounds that a quorum has confirmed.

        No newer leader had been elected when these reads arrived.
        """
        if not self._pending:
            return
        self._progress.own.acknowledged_read_round = self.round
        confirmed_round = self._progress.quorum_read_round()
        for read in self._pending:
            if read.round <= confirmed_round:
                self._answer(read)
        self._pending = [read for read in self._pending if read.round > confirmed_round]

    def confirm(self, context: int, index: int) -> None:
        """Note that a read of this replica may be served once `index` has been applied."""
        self.read_states.append(ReadState(context, index))

    def take_read_states(self) -> list[ReadState]:
        """Remove and return the confirmed reads of this replica."""
        read_states = self.read_states
        self.read_states = []
        return read_states

    def _answer(self, read: PendingRead) -> None:
        if read.sender == self._state.name:
            self.confirm(read.context, read.index)
            return
        self._outbox.send(
            ReadIndexResponse(
                sender=self._state.name,
                recipient=read.sender,
                context=read.context,
                read_index=read.index,
            )
        )
