"""Transfer of the leadership to another voter (Ongaro's thesis, 3.10). Pure."""

from __future__ import annotations

from mothstall.store.raft.messages import RecoveryStatus, TimeoutNow
from mothstall.store.raft.outbox import Outbox
from mothstall.store.raft.progress import ProgressTracker
from mothstall.store.raft.replica_state import ReplicaState


class LeadershipTransfer:
    """A transfer that lasts at most one election timeout; no entries are proposed meanwhile.

    Attributes:
        target: The voter that is to lead; an empty string while no transfer is in progress.
    """

    def __init__(self, state: ReplicaState, outbox: Outbox, progress: ProgressTracker) -> None:
        self._state = state
        self._outbox = outbox
        self._progress = progress
        self._remaining_ticks = 0
        self.target = ""

    @property
    def is_in_progress(self) -> bool:
        """Whether a transfer is in progress."""
        return bool(self.target)

    def begin(self, target: str) -> str:
        """Begin a transfer; return the reason if it is rejected, else an empty string."""
        state = self._state
        if target == state.name or target not in state.configuration.voters:
            return f"{target} is no other voter"
        if self._progress.replicas[target].recovery_status != RecoveryStatus.NORMAL:
            return f"{target} is not sound"
        self.target = target
        self._remaining_ticks = state.timing.election_ticks
        self.complete_if_caught_up()
        return ""

    def tick(self) -> None:
        """Cancel the transfer once an election timeout has passed since it began."""
        if not self.is_in_progress:
            return
        self._remaining_ticks -= 1
        if self._remaining_ticks <= 0:
            self.cancel()

    def cancel(self) -> None:
        """End the transfer, if one is in progress."""
        self.target = ""

    def complete_if_caught_up(self) -> None:
        """Make the target campaign once it holds the complete log."""
        state = self._state
        if self._progress.replicas[self.target].match_index == state.log.last_index:
            self._outbox.send(
                TimeoutNow(sender=state.name, recipient=self.target, term=state.current_term)
            )
