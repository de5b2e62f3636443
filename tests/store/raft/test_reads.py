"""Tests of reads by read index."""

from __future__ import annotations

from mothstall.store.raft.messages import HardState
from mothstall.store.raft.ready import ReadState
from tests.store.raft.factories import acknowledgement, complete_write, elect, replica


def test_read_waits_until_a_quorum_has_confirmed_the_leader() -> None:
    leader = replica("k1", HardState(3))
    elect(leader)
    complete_write(leader)
    leader.step(acknowledgement(leader, prev_log_index=0, match_index=1))
    leader.request_read(5)
    assert not leader.ready().read_states
    leader.step(acknowledgement(leader, prev_log_index=1, match_index=1, read_round=1))
    assert leader.ready().read_states == [ReadState(5, 1)]
