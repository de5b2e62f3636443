"""Configuration changes of one voter at a time (Ongaro's thesis, 4.1, corrected). Pure."""

from __future__ import annotations

from collections.abc import Mapping

from mothstall.store.raft.messages import Configuration, RecoveryStatus
from mothstall.store.raft.progress import Progress
from mothstall.store.raft.replica_state import ReplicaState


def rejection_reason(state: ReplicaState, proposed: Configuration) -> str:
    """Return why a leader must not propose a configuration now; an empty string if it may."""
    current = state.configuration
    if not state.has_committed_in_term:
        return "the leader has not yet committed an entry of its own term"
    if not state.is_configuration_committed:
        return "an earlier change of the keepers is not committed yet"
    if state.name not in proposed.voters:
        return "the leader stays a voter: transfer first"
    if set(proposed.voters) & set(proposed.learners):
        return "a keeper is a voter or a learner, not both"
    if len(set(current.voters) ^ set(proposed.voters)) > 1:
        return "one voter at a time"
    if proposed == current:
        return "nothing would change"
    return ""


def automatic_change(state: ReplicaState, replicas: Mapping[str, Progress]) -> Configuration | None:
    """Return the configuration that a leader proposes on its own, or None if no change is due.

    A voter that has lost promises becomes a learner first; a learner that has caught up becomes a
    voter.
    """
    current = state.configuration
    for name in current.voters:
        if replicas[name].recovery_status == RecoveryStatus.RECOVERING:
            voters = tuple(voter for voter in current.voters if voter != name)
            return Configuration(voters, (*current.learners, name))
    for name in current.learners:
        if _has_caught_up(replicas[name], state.commit_index):
            learners = tuple(learner for learner in current.learners if learner != name)
            return Configuration((*current.voters, name), learners)
    return None


def _has_caught_up(progress: Progress, commit_index: int) -> bool:
    is_connected = progress.is_recently_active and progress.is_streaming
    is_normal = progress.recovery_status == RecoveryStatus.NORMAL
    return is_connected and is_normal and progress.match_index >= commit_index
