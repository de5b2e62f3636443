"""Terms of leases at a leading replica."""

from __future__ import annotations

from mothstall.keeper.replica import Replica
from mothstall.store.raft.messages import Configuration, HardState, Snapshot
from mothstall.store.raft.replica_state import Timing
from mothstall.store.state.changes import AcquireLease, Change, ChangeResult, OpenSession, Proposal

MS = 1_000_000


class _SingleReplica:
    """A replica that is the only voter, and its clock."""

    def __init__(self) -> None:
        self.replica = Replica(
            "k1", Timing(8, 2), 1, HardState(), Snapshot(0, 0, Configuration(("k1",)), b"")
        )
        self.now_ns = 0
        self.caller = 0
        for _ in range(200):
            self.step()
        assert self.replica.raft.has_committed_in_term

    def step(self) -> list[tuple[int, ChangeResult]]:
        self.now_ns += 20 * MS
        self.replica.tick(self.now_ns)
        results = []
        for _ in range(4):
            results += self.replica.handle_persisted(self.replica.ready(), self.now_ns).results
        return results

    def propose(self, session: int, sequence_number: int, change: Change) -> ChangeResult:
        self.caller += 1
        proposal = Proposal(session, sequence_number, change)
        assert self.replica.propose(self.caller, proposal, self.now_ns) == ""
        for _ in range(20):
            for caller, result in self.step():
                if caller == self.caller:
                    return result
        raise AssertionError("the proposal was not applied")


def test_acquisition_applied_twice_does_not_replace_the_term_of_the_next_holder() -> None:
    """Guards against a lease of the next holder that never expires.

    The repeated result of the first acquisition replaced the term of the next holder, whose lease
    then had no term.
    """
    single = _SingleReplica()
    first_session = single.propose(0, 1, OpenSession("a")).token
    other_session = single.propose(0, 2, OpenSession("b")).token
    token = single.propose(first_session, 1, AcquireLease("x", "a", 500)).token
    for _ in range(100):
        single.step()
    assert "x" not in single.replica.state.leases, "the term of the first holder has ended"
    next_token = single.propose(other_session, 1, AcquireLease("x", "b", 500)).token
    repeated_token = single.propose(first_session, 1, AcquireLease("x", "a", 500)).token
    assert next_token > repeated_token == token, "a resubmitted proposal gets its first result"
    for _ in range(200):
        single.step()
    assert "x" not in single.replica.state.leases, (
        "the term of the next holder has ended without a renewal"
    )
