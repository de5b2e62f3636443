"""Tests of the recovery of replicas that have lost promises with their disk."""

from __future__ import annotations

from mothstall.store.raft.messages import (
    HardState,
    RecoveryQuery,
    RecoveryReport,
    RecoveryStatus,
    RequestVoteResponse,
)
from mothstall.store.raft.node import RaftNode
from tests.store.raft.factories import (
    acknowledgement,
    complete_write,
    elect,
    replica,
    vote_request,
)


def _verifying_replica() -> RaftNode:
    raft = replica("k2", HardState(3))
    raft.state.recovery_status = RecoveryStatus.VERIFYING
    return raft


def _report(sender: str, seen_term: int) -> RecoveryReport:
    return RecoveryReport(
        sender=sender, recipient="k2", seen_term=seen_term, last_log_term=0, last_log_index=0
    )


def test_replica_that_lost_promises_grants_no_vote() -> None:
    raft = _verifying_replica()
    raft.step(_report("k1", seen_term=4))
    assert raft.recovery_status == RecoveryStatus.RECOVERING
    assert raft.ready().hard_state == HardState(3, "", True)
    raft.step(vote_request(9, last_log_index=9, last_log_term=9))
    assert not [x for x in complete_write(raft) if isinstance(x, RequestVoteResponse)]


def test_acknowledgement_of_a_recovering_replica_does_not_count() -> None:
    leader = replica("k1", HardState(3))
    elect(leader)
    complete_write(leader)
    leader.step(
        acknowledgement(
            leader,
            sender="k2",
            prev_log_index=0,
            match_index=1,
            recovery_status=RecoveryStatus.RECOVERING,
        )
    )
    assert leader.commit_index == 0


def test_started_replica_queries_the_others_and_is_normal_once_all_have_answered() -> None:
    raft = _verifying_replica()
    for _ in range(raft.timing.heartbeat_ticks):
        raft.tick()
    queries = [x for x in complete_write(raft) if isinstance(x, RecoveryQuery)]
    assert [x.recipient for x in queries] == ["k1", "k3"]
    statuses = []
    for report in (_report("k1", seen_term=3), _report("k3", seen_term=0)):
        raft.step(report)
        statuses.append(raft.recovery_status)
    assert statuses == [RecoveryStatus.VERIFYING, RecoveryStatus.NORMAL]
