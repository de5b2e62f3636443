"""Messages between replicas, and the records that a replica's log and disk hold. Pure.

Terms and indexes count from 1; 0 means that there is no term or entry. All structs are encoded as
arrays, so the order of their fields is part of the wire and disk format, and the tags name the
types on the wire.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec


class EntryKind(IntEnum):
    """The kind of a log entry's data; the numbers are stored."""

    COMMAND = 0  # a change of the replicated state
    NO_OP = 1  # the first entry of a new leader: once committed, so are all entries before it
    CONFIGURATION = 2  # the voters and learners from this entry on


class RecoveryStatus(IntEnum):
    """Whether a replica still has all promises it made before its start; the numbers are sent."""

    NORMAL = 0
    VERIFYING = 1  # just started: asks the other voters which of its promises they have observed
    RECOVERING = 2  # its disk has lost promises: it does not vote until it has been a learner

    @property
    def published_name(self) -> str:
        """The name in the status output of keepers, which tools compare: it never changes."""
        return _PUBLISHED_STATUS_NAMES[self]


_PUBLISHED_STATUS_NAMES = {
    RecoveryStatus.NORMAL: "sound",
    RecoveryStatus.VERIFYING: "asking",
    RecoveryStatus.RECOVERING: "recovering",
}


class Configuration(msgspec.Struct, frozen=True, array_like=True):
    """The names of the voters and learners of the cluster.

    Attributes:
        voters: Replicas that vote and whose copies count towards a quorum.
        learners: Replicas that only receive the log.
    """

    voters: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()

    @property
    def replicas(self) -> tuple[str, ...]:
        """All replicas, voters first."""
        return (*self.voters, *self.learners)

    @property
    def quorum_size(self) -> int:
        """The number of voters that form a majority."""
        return len(self.voters) // 2 + 1


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log; `kind` determines the encoding of `data`."""

    index: int
    term: int
    kind: EntryKind
    data: bytes


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The replicated state after the entry `last_included_index`, and the configuration there."""

    last_included_index: int
    last_included_term: int
    configuration: Configuration
    data: bytes


class HardState(msgspec.Struct, frozen=True, array_like=True):
    """Raft's persistent state beside the log: written before messages that follow from it are sent.

    Attributes:
        current_term: The newest term that the replica has seen.
        voted_for: The replica that got its vote in that term; empty if none did.
        is_recovering: Whether its disk has lost promises (`RecoveryStatus.RECOVERING`).
    """

    current_term: int = 0
    voted_for: str = ""
    is_recovering: bool = False


class _Message(msgspec.Struct, frozen=True, array_like=True, tag=True, kw_only=True):
    sender: str
    recipient: str
    term: int = 0  # 0: the message belongs to no term


class RequestVote(_Message, frozen=True, kw_only=True, tag="VoteAsk"):
    """Requests a vote for `term` (Raft, 5.2 and 5.4.1).

    Attributes:
        last_log_index: Index of the candidate's last entry.
        last_log_term: Term of the candidate's last entry.
        is_pre_vote: Whether the request only tests if a vote would be granted (thesis, 9.6).
        is_leadership_transfer: Whether the leader itself triggered the campaign (thesis, 3.10).
    """

    last_log_index: int
    last_log_term: int
    is_pre_vote: bool
    is_leadership_transfer: bool = False


class RequestVoteResponse(_Message, frozen=True, kw_only=True, tag="VoteAnswer"):
    """Answers `RequestVote`."""

    is_pre_vote: bool
    vote_granted: bool


class AppendEntries(_Message, frozen=True, kw_only=True, tag="Append"):
    """Replicates entries; without entries it is a heartbeat (Raft, 5.2 and 5.3).

    Attributes:
        prev_log_index: Index of the entry before the first of `entries`.
        prev_log_term: Term of that entry.
        entries: Consecutive entries, possibly none.
        leader_commit: The leader's commit index.
        read_round: Number of the leader's newest round of reads, to be confirmed (thesis, 6.4).
    """

    prev_log_index: int
    prev_log_term: int
    entries: tuple[Entry, ...]
    leader_commit: int
    read_round: int


class AppendEntriesResponse(_Message, frozen=True, kw_only=True, tag="AppendAnswer"):
    """Answers `AppendEntries`, and an `InstallSnapshot` that is not needed or is too large.

    Attributes:
        success: Whether the follower's log agreed at `prev_log_index`.
        prev_log_index: As in the request.
        match_index: On success the index up to which the logs agree, else the index from which the
            leader may retry.
        read_round: As in the request.
        recovery_status: Whether the follower's answers count towards a quorum.
    """

    success: bool
    prev_log_index: int
    match_index: int
    read_round: int
    recovery_status: RecoveryStatus


class InstallSnapshot(_Message, frozen=True, kw_only=True, tag="Install"):
    """One chunk of a snapshot (Raft, 7).

    Attributes:
        last_included_index: Index of the last entry that the snapshot covers.
        last_included_term: Term of that entry.
        configuration: The configuration at that entry.
        offset: Position of `data` in the snapshot, in bytes.
        total_bytes: Size of the snapshot.
        data: The chunk.
    """

    last_included_index: int
    last_included_term: int
    configuration: Configuration
    offset: int
    total_bytes: int
    data: bytes


class InstallSnapshotResponse(_Message, frozen=True, kw_only=True, tag="InstallAnswer"):
    """Answers `InstallSnapshot`.

    Attributes:
        last_included_index: As in the request.
        received_bytes: Bytes of the snapshot that have arrived, from its start without a gap.
        recovery_status: Whether the follower's answers count towards a quorum.
    """

    last_included_index: int
    received_bytes: int
    recovery_status: RecoveryStatus


class TimeoutNow(_Message, frozen=True, kw_only=True, tag="HandOver"):
    """Makes the recipient campaign at once, to transfer the leadership (thesis, 3.10)."""


class ForwardProposal(_Message, frozen=True, kw_only=True, tag="Forward"):
    """Forwards a command to the leader from a replica that does not lead."""

    data: bytes


class ReadIndex(_Message, frozen=True, kw_only=True, tag="ReadAsk"):
    """Requests a read index from the leader (thesis, 6.4); `context` identifies the read."""

    context: int


class ReadIndexResponse(_Message, frozen=True, kw_only=True, tag="ReadAnswer"):
    """Answers `ReadIndex`: the read may be served once `read_index` has been applied."""

    context: int
    read_index: int


class RecoveryQuery(_Message, frozen=True, kw_only=True, tag="Hello"):
    """Asks which promises of the sender, a newly started replica, the recipient has observed.

    Attributes:
        seen_term: The sender's own term.
        last_log_term: Term of the sender's last entry.
        last_log_index: Index of the sender's last entry.
    """

    seen_term: int
    last_log_term: int
    last_log_index: int


class RecoveryReport(_Message, frozen=True, kw_only=True, tag="Seen"):
    """Answers `RecoveryQuery` with the recipient's newest promises that the sender has observed.

    Attributes:
        seen_term: The newest term in which the recipient sent a message.
        last_log_term: Term of the newest entry that the recipient is known to hold.
        last_log_index: Index of that entry.
    """

    seen_term: int
    last_log_term: int
    last_log_index: int


Message = (
    RequestVote
    | RequestVoteResponse
    | AppendEntries
    | AppendEntriesResponse
    | InstallSnapshot
    | InstallSnapshotResponse
    | TimeoutNow
    | ForwardProposal
    | ReadIndex
    | ReadIndexResponse
    | RecoveryQuery
    | RecoveryReport
)
