"""Tests of the replication of the log and the commit index."""

from __future__ import annotations

import pytest

from mothstall.store.errors import CommittedEntryConflictError
from mothstall.store.raft.messages import AppendEntriesResponse, HardState
from tests.store.raft.factories import (
    acknowledgement,
    append_request,
    command,
    complete_write,
    elect,
    replica,
)


@pytest.mark.parametrize("is_guarded", [True, False])
def test_entry_of_an_older_term_is_committed_only_with_one_of_the_leaders_own(
    is_guarded: bool,
) -> None:
    """Figure 8 of Ongaro and Ousterhout (2014): entry 1 may be lost even though a quorum has it."""
    leader = replica("k1", HardState(3), [command(1, 2, b"old")])
    leader.options.is_commit_limited_to_own_term = is_guarded
    elect(leader)
    complete_write(leader)
    leader.step(acknowledgement(leader, prev_log_index=1, match_index=1))
    assert (leader.commit_index == 0) is is_guarded
    leader.step(acknowledgement(leader, prev_log_index=1, match_index=2))
    assert leader.commit_index == 2


def test_committed_entry_is_never_truncated() -> None:
    follower = replica("k2", HardState(1))
    follower.step(append_request(1, (command(1, 1, b"a"),), leader_commit=1))
    with pytest.raises(AssertionError, match="committed entry 1") as raised:
        follower.step(append_request(2, (command(1, 2, b"b"),)))
    assert raised.type is CommittedEntryConflictError


def test_uncommitted_entries_that_conflict_are_replaced() -> None:
    follower = replica("k2", HardState(1), [command(1, 1), command(2, 1)])
    follower.step(append_request(2, (command(2, 2, b"new"),), prev_log_index=1, prev_log_term=1))
    assert follower.log.entries == [command(1, 1), command(2, 2, b"new")]
    assert follower.persistence.persisted_index == 1
    assert [e.index for e in follower.ready().entries] == [2]


def test_follower_that_lacks_an_entry_names_an_index_to_retry_from() -> None:
    follower = replica("k2", HardState(1), [command(1, 1)])
    follower.step(append_request(1, (command(5, 1),), prev_log_index=4, prev_log_term=1))
    (response,) = complete_write(follower)
    assert isinstance(response, AppendEntriesResponse)
    assert (response.success, response.match_index) == (False, 1)
