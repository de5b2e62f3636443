"""Tests of votes and the election timeout."""

from __future__ import annotations

import pytest

from mothstall.store.raft.messages import HardState, RequestVoteResponse
from mothstall.store.raft.node import RaftNode
from tests.store.raft.factories import (
    append_request,
    command,
    complete_write,
    replica,
    vote_request,
)


def _votes(raft: RaftNode) -> list[bool]:
    responses = complete_write(raft)
    return [x.vote_granted for x in responses if isinstance(x, RequestVoteResponse)]


@pytest.mark.parametrize(
    ("last_log_index", "last_log_term", "is_granted"),
    [(1, 2, True), (9, 1, False), (0, 0, False), (1, 3, True)],
)
def test_vote_is_granted_only_to_a_log_that_is_up_to_date(
    last_log_index: int, last_log_term: int, is_granted: bool
) -> None:
    voter = replica("k2", HardState(3), [command(1, 2)])
    voter.step(vote_request(4, last_log_index, last_log_term))
    assert _votes(voter) == [is_granted]


def test_pre_vote_changes_neither_term_nor_vote() -> None:
    voter = replica("k2", HardState(3))
    voter.step(vote_request(4, 0, 0, is_pre_vote=True))
    assert _votes(voter) == [True]
    assert (voter.current_term, voter.voted_for) == (3, "")


@pytest.mark.parametrize("is_leadership_transfer", [False, True])
def test_vote_request_is_ignored_while_a_leader_is_active_unless_it_transfers(
    is_leadership_transfer: bool,
) -> None:
    voter = replica("k2", HardState(3))
    voter.step(append_request(3))
    complete_write(voter)
    voter.step(vote_request(4, 0, 0, is_leadership_transfer=is_leadership_transfer))
    assert _votes(voter) == [True] * is_leadership_transfer


def test_each_lost_campaign_doubles_the_timeout_up_to_eightfold() -> None:
    raft = replica("k2", HardState(3))
    raft.options.is_pre_vote_enabled = False
    election_ticks = raft.timing.election_ticks
    for factor in (2, 4, 8, 8):
        raft.election.elapsed_ticks = raft.election.timeout_ticks
        raft.tick()
        assert factor * election_ticks <= raft.election.timeout_ticks < 2 * factor * election_ticks
