"""Tests of messages that are sent while a write is in progress."""

from __future__ import annotations

from mothstall.store.raft.messages import (
    AppendEntries,
    AppendEntriesResponse,
    HardState,
    RequestVoteResponse,
)
from mothstall.store.raft.node import RaftNode
from tests.store.raft.factories import (
    append_request,
    command,
    complete_write,
    elect,
    replica,
    vote_request,
)


def _leader_with_write_in_progress() -> RaftNode:
    leader = replica("k1", HardState(3))
    elect(leader)
    leader.take_early_messages()
    assert leader.ready().needs_write
    assert not leader.take_early_messages()
    return leader


def _heartbeats(leader: RaftNode) -> list[AppendEntries]:
    for _ in range(leader.timing.heartbeat_ticks):
        leader.tick()
    return [x for x in leader.take_early_messages() if isinstance(x, AppendEntries)]


def test_heartbeats_sent_during_a_write_hold_only_what_is_on_disk() -> None:
    heartbeats = _heartbeats(_leader_with_write_in_progress())
    assert {x.recipient for x in heartbeats} == {"k2", "k3"}
    assert all(x.entries == () and x.leader_commit == 0 for x in heartbeats)


def test_early_messages_end_when_a_write_takes_too_long() -> None:
    leader = _leader_with_write_in_progress()
    heartbeats = _heartbeats(leader)
    for _ in range(2 * leader.timing.election_ticks + 1):
        leader.persistence.write_ticks += 1
    leader.outbox.send(heartbeats[0])
    assert leader.take_early_messages() == []


def test_vote_waits_for_its_write() -> None:
    voter = replica("k2", HardState(3))
    voter.step(vote_request(4, last_log_index=9, last_log_term=3))
    assert voter.has_unwritten_state
    assert voter.take_early_messages() == []
    assert [type(x) for x in complete_write(voter)] == [RequestVoteResponse]


def test_entry_that_is_not_on_disk_is_not_acknowledged() -> None:
    voter = replica("k2", HardState(3))
    voter.step(vote_request(4, last_log_index=9, last_log_term=3))
    complete_write(voter)
    voter.step(append_request(4, (command(1, 4),)))
    early = voter.take_early_messages()
    assert [x.match_index for x in early if isinstance(x, AppendEntriesResponse)] == [0]
