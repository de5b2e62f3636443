"""Makes replicas and messages for the tests of Raft."""

from __future__ import annotations

from collections.abc import Iterable

from mothstall.store.raft.messages import (
    AppendEntries,
    AppendEntriesResponse,
    Configuration,
    Entry,
    EntryKind,
    HardState,
    Message,
    RecoveryStatus,
    RequestVote,
    RequestVoteResponse,
    Snapshot,
)
from mothstall.store.raft.node import RaftNode
from mothstall.store.raft.replica_state import Timing

VOTERS = ("k1", "k2", "k3")


def command(index: int, term: int, data: bytes = b"command") -> Entry:
    """Returns a log entry that holds a command."""
    return Entry(index, term, EntryKind.COMMAND, data)


def replica(name: str, hard_state: HardState, entries: Iterable[Entry] = ()) -> RaftNode:
    """Returns a started replica of `VOTERS` whose promises are known to be complete."""
    snapshot = Snapshot(0, 0, Configuration(VOTERS), b"")
    raft = RaftNode(name, Timing(10, 2), 1, hard_state, snapshot, list(entries))
    raft.state.recovery_status = RecoveryStatus.NORMAL
    return raft


def complete_write(raft: RaftNode) -> list[Message]:
    """Completes the next write, and returns the messages that are sent after it."""
    ready = raft.ready()
    raft.complete_write(ready)
    return ready.messages


def elect(raft: RaftNode) -> None:
    """Makes a replica the leader of the next term by the vote of k3."""
    while raft.role.value != "candidate":
        raft.tick()
        for request in complete_write(raft):
            if not isinstance(request, RequestVote):
                continue
            if request.is_pre_vote and request.recipient == "k3":
                raft.step(vote(raft, request.term, is_pre_vote=True))
    complete_write(raft)
    raft.step(vote(raft, raft.current_term, is_pre_vote=False))


def vote(raft: RaftNode, term: int, *, is_pre_vote: bool) -> RequestVoteResponse:
    """Returns a vote of k3 for a replica."""
    return RequestVoteResponse(
        sender="k3", recipient=raft.name, term=term, is_pre_vote=is_pre_vote, vote_granted=True
    )


def vote_request(
    term: int,
    last_log_index: int,
    last_log_term: int,
    *,
    is_pre_vote: bool = False,
    is_leadership_transfer: bool = False,
) -> RequestVote:
    """Returns a vote request of k1 to k2."""
    return RequestVote(
        sender="k1",
        recipient="k2",
        term=term,
        last_log_index=last_log_index,
        last_log_term=last_log_term,
        is_pre_vote=is_pre_vote,
        is_leadership_transfer=is_leadership_transfer,
    )


def append_request(
    term: int,
    entries: tuple[Entry, ...] = (),
    *,
    prev_log_index: int = 0,
    prev_log_term: int = 0,
    leader_commit: int = 0,
) -> AppendEntries:
    """Returns entries that k1 sends to k2 as the leader of `term`."""
    return AppendEntries(
        sender="k1",
        recipient="k2",
        term=term,
        prev_log_index=prev_log_index,
        prev_log_term=prev_log_term,
        entries=entries,
        leader_commit=leader_commit,
        read_round=0,
    )


def acknowledgement(
    leader: RaftNode,
    *,
    prev_log_index: int,
    match_index: int,
    sender: str = "k3",
    read_round: int = 0,
    recovery_status: RecoveryStatus = RecoveryStatus.NORMAL,
) -> AppendEntriesResponse:
    """Returns a follower's acknowledgement in the leader's term."""
    return AppendEntriesResponse(
        sender=sender,
        recipient=leader.name,
        term=leader.current_term,
        success=True,
        prev_log_index=prev_log_index,
        match_index=match_index,
        read_round=read_round,
        recovery_status=recovery_status,
    )
