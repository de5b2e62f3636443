"""Which messages may be sent while a write is in progress. Pure.

A message is sent after the state that it depends on has been written. Some messages depend only on
what is on disk already: pre-votes, and heartbeats and acknowledgements that are limited to the
persisted part of the log.
"""

from __future__ import annotations

import msgspec

from mothstall.store.raft.log import UNKNOWN_TERM
from mothstall.store.raft.messages import (
    AppendEntries,
    AppendEntriesResponse,
    Message,
    RequestVote,
    RequestVoteResponse,
)
from mothstall.store.raft.outbox import Outbox
from mothstall.store.raft.persistence import Persistence
from mothstall.store.raft.progress import ProgressTracker
from mothstall.store.raft.replica_state import ReplicaState

MAX_WRITE_ELECTION_TIMEOUTS = 2  # a write that takes longer stops early messages


class EarlyMessages:
    """Selects the messages that may be sent before a write is complete.

    Guards against a slow disk that delays a leader's heartbeats, or a follower's acknowledgements,
    until the leader is deposed. Early messages end when a write takes too long, so that a replica
    whose disk has stopped responding loses the leadership.
    """

    def __init__(
        self,
        state: ReplicaState,
        outbox: Outbox,
        persistence: Persistence,
        progress: ProgressTracker,
    ) -> None:
        self._state = state
        self._outbox = outbox
        self._persistence = persistence
        self._progress = progress

    def take(self) -> list[Message]:
        """Return the messages that may be sent now; the others stay in the outbox."""
        if (
            self._persistence.write_ticks
            > MAX_WRITE_ELECTION_TIMEOUTS * self._state.timing.election_ticks
        ):
            return []
        return self._outbox.take_early(self._early_part)

    def _early_part(self, message: Message) -> Message | None:
        """Return the part of a message that depends only on persisted state, or None."""
        if isinstance(message, RequestVote | RequestVoteResponse):
            return message if message.is_pre_vote else None
        is_of_this_term = message.term == self._state.current_term
        if not is_of_this_term or not self._persistence.is_hard_state_persisted:
            return None
        if isinstance(message, AppendEntries) and self._state.is_leader:
            return self._persisted_heartbeat(message)
        if isinstance(message, AppendEntriesResponse) and message.success:
            match_index = min(message.match_index, self._persistence.persisted_index)
            return msgspec.structs.replace(message, match_index=match_index)
        return None

    def _persisted_heartbeat(self, message: AppendEntries) -> AppendEntries | None:
        """Return a heartbeat that is not rejected, as the logs agree at its `prev_log_index`.

        Returns None if the log no longer holds the term of that entry.
        """
        match_index = self._progress.replicas[message.recipient].match_index
        prev_log_index = min(match_index, self._persistence.persisted_index)
        prev_log_term = self._state.log.term_at(prev_log_index)
        if prev_log_term == UNKNOWN_TERM:
            return None
        return msgspec.structs.replace(
            message,
            entries=(),
            prev_log_index=prev_log_index,
            prev_log_term=prev_log_term,
            leader_commit=min(message.leader_commit, prev_log_index),
        )
