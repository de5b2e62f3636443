"""The leader's record of each replica's progress, and the progress of a quorum. Pure."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from mothstall.store.raft.messages import RecoveryStatus
from mothstall.store.raft.replica_state import ReplicaState

NO_SNAPSHOT = -1  # value of `snapshot_offset` while no snapshot is being transferred


@dataclass(slots=True)
class Progress:
    """Replication progress of one replica, as its leader sees it.

    Attributes:
        match_index: Index up to which its log is known to agree with the leader's.
        next_index: Index of the next entry to send to it.
        is_streaming: Whether the logs are known to agree before `next_index`, so that entries are
            sent without waiting for responses.
        is_recently_active: Whether it has responded since the last check of the quorum.
        snapshot_offset: Offset of the snapshot chunk sent last, in bytes, or `NO_SNAPSHOT`.
        recovery_status: The status in its last response; only `NORMAL` counts in a quorum.
        sent_commit_index: The newest commit index that was sent to it.
        acknowledged_read_round: The newest round of reads that it has confirmed.
    """

    match_index: int = 0
    next_index: int = 1
    is_streaming: bool = False
    is_recently_active: bool = False
    snapshot_offset: int = NO_SNAPSHOT
    recovery_status: RecoveryStatus = RecoveryStatus.NORMAL
    sent_commit_index: int = 0
    acknowledged_read_round: int = 0


class ProgressTracker:
    """The progress of all replicas by name; empty while the replica does not lead."""

    def __init__(self, state: ReplicaState) -> None:
        self._state = state
        self.replicas: dict[str, Progress] = {}

    @property
    def own(self) -> Progress:
        """The leader's own progress."""
        return self.replicas[self._state.name]

    def start_term(self) -> None:
        """Reset all progress: a new leader has no record of the followers' logs (Raft, 5.3)."""
        self.replicas = {
            name: self._unknown_progress() for name in self._state.configuration.replicas
        }

    def clear(self) -> None:
        """Remove the progress of all replicas: this one no longer leads."""
        self.replicas = {}

    def follow_configuration(self) -> None:
        """Add the replicas of the newest configuration, and remove all others."""
        names = self._state.configuration.replicas
        for name in names:
            if name not in self.replicas:
                self.replicas[name] = self._unknown_progress()
        for name in [name for name in self.replicas if name not in names]:
            del self.replicas[name]

    def quorum_match_index(self) -> int:
        """Return the highest index up to which a quorum of voters has the log."""
        return self._quorum_value(lambda progress: progress.match_index, default=0)

    def quorum_read_round(self) -> int:
        """Return the newest round of reads that a quorum of voters has confirmed."""
        return self._quorum_value(lambda progress: progress.acknowledged_read_round, default=-1)

    def active_voter_count(self) -> int:
        """Return how many voters, the leader included, have responded since the last check."""
        count = 0
        for name in self._state.configuration.voters:
            is_active = self.replicas[name].is_recently_active and self._counts_in_quorum(name)
            count += name == self._state.name or is_active
        return count

    def clear_activity(self) -> None:
        """Begin a new interval of the quorum check."""
        for progress in self.replicas.values():
            progress.is_recently_active = False

    def _unknown_progress(self) -> Progress:
        return Progress(next_index=self._state.log.last_index + 1, is_recently_active=True)

    def _counts_in_quorum(self, name: str) -> bool:
        """Whether a replica counts in a quorum: its disk must not have lost promises."""
        is_normal = self.replicas[name].recovery_status == RecoveryStatus.NORMAL
        return name == self._state.name or is_normal

    def _quorum_value(self, value_of: Callable[[Progress], int], *, default: int) -> int:
        configuration = self._state.configuration
        values: Iterable[int] = (
            value_of(self.replicas[name]) if self._counts_in_quorum(name) else default
            for name in configuration.voters
        )
        return sorted(values, reverse=True)[configuration.quorum_size - 1]
