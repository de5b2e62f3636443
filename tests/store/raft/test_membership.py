"""Tests of configuration changes and leadership transfer."""

from __future__ import annotations

from mothstall.store.raft.messages import HardState, TimeoutNow
from mothstall.store.raft.node import RaftNode
from tests.store.raft.factories import VOTERS, acknowledgement, complete_write, elect, replica


def _elected_leader() -> RaftNode:
    leader = replica("k1", HardState(1))
    elect(leader)
    return leader


def test_configuration_changes_one_voter_at_a_time_after_an_entry_of_the_own_term() -> None:
    leader = _elected_leader()
    assert "own term" in leader.propose_configuration(VOTERS[:2], ["k3"])
    complete_write(leader)
    leader.step(acknowledgement(leader, prev_log_index=0, match_index=1))
    assert "one voter" in leader.propose_configuration(["k1"], ["k2", "k3"])
    assert "transfer first" in leader.propose_configuration(["k2", "k3"], ["k1"])
    assert leader.propose_configuration(["k1", "k2"], ["k3"]) == ""
    assert "not committed yet" in leader.propose_configuration(VOTERS, [])


def test_leadership_is_transferred_once_the_target_holds_the_complete_log() -> None:
    leader = _elected_leader()
    complete_write(leader)
    assert leader.transfer_leadership("k3") == ""
    assert not leader.propose(b"command"), "no entries are proposed during a transfer"
    assert not [x for x in complete_write(leader) if isinstance(x, TimeoutNow)]
    leader.step(acknowledgement(leader, prev_log_index=0, match_index=1))
    requests = [x for x in complete_write(leader) if isinstance(x, TimeoutNow)]
    assert [x.recipient for x in requests] == ["k3"]


def test_transfer_is_cancelled_after_an_election_timeout() -> None:
    leader = _elected_leader()
    complete_write(leader)
    assert leader.transfer_leadership("k3") == ""
    for _ in range(leader.timing.election_ticks):
        leader.tick()
    assert leader.propose(b"command")
