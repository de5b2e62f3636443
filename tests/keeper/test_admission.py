"""Abandoned proposals are not committed, and resubmitted ones are not committed twice."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as some

from mothstall.keeper.admission import (
    LOST_AFTER_NS,
    MAX_PENDING,
    MAX_QUEUED_NEWCOMERS,
    NO_DEADLINE,
    RESUBMIT_AFTER_NS,
    Admission,
)
from mothstall.store.state.changes import AcquireLease, OpenSession, Proposal, PutDrain, RenewLeases
from mothstall.store.state.rows import Drain, DrainKind


def acquire(session: int, sequence_number: int = 1) -> Proposal:
    return Proposal(session, sequence_number, AcquireLease(f"l{session}", "me", 1000))


def take_all(admission: Admission, now: int = 0) -> list[int]:
    sessions = []
    while proposal := admission.next_proposal(now):
        sessions.append(proposal.session)
    return sessions


def test_window_bounds_proposals_in_flight_and_the_queue_keeps_its_order() -> None:
    admission = Admission(window=2)
    for i in range(1, 5):
        admission.submit(i, acquire(i), 0)
    assert take_all(admission) == [1, 2]
    assert admission.complete((1, 1)) == (1,)
    assert take_all(admission) == [3]


def test_new_sessions_and_leases_queue_behind_renewals_and_writes() -> None:
    admission = Admission(window=1)
    admission.submit(1, acquire(1), 0)
    assert take_all(admission) == [1]
    admission.submit(2, acquire(2), 0)
    admission.submit(3, Proposal(0, 33, OpenSession("c")), 0)
    admission.submit(4, Proposal(4, 7, RenewLeases("o", (("l", 1),))), 0)
    admission.submit(5, Proposal(5, 7, PutDrain(Drain(DrainKind.BACKEND, "b", "me", "", ""))), 0)
    order = []
    for key in ((1, 1), (4, 7), (5, 7), (2, 1), (0, 33)):
        assert admission.complete(key)
        order += take_all(admission)
    assert order == [4, 5, 2, 0]


def test_cancelled_proposal_is_not_handed_in() -> None:
    admission = Admission(window=1)
    for i in (1, 2, 3):
        admission.submit(i, acquire(i), 0)
    assert take_all(admission) == [1]
    admission.cancel(2)
    admission.complete((1, 1))
    assert take_all(admission) == [3] and admission.dropped == 1


def test_proposal_past_its_deadline_is_not_handed_in() -> None:
    admission = Admission(window=1)
    admission.submit(1, acquire(1), 0)
    admission.submit(2, acquire(2), 0, deadline_ns=100)
    admission.submit(3, acquire(3), 0, deadline_ns=300)
    assert take_all(admission) == [1]
    admission.complete((1, 1))
    assert take_all(admission, now=200) == [3] and admission.dropped == 1


def test_without_the_guard_abandoned_proposals_are_handed_in() -> None:
    admission = Admission(window=1, drops_abandoned=False)
    for i in (1, 2):
        admission.submit(i, acquire(i), 0, deadline_ns=100)
    assert take_all(admission) == [1]
    admission.cancel(2)
    admission.complete((1, 1))
    assert take_all(admission, now=200) == [2]


def test_proposal_with_a_remaining_caller_is_handed_in() -> None:
    admission = Admission(window=1)
    admission.submit(9, acquire(9), 0)
    admission.submit(1, acquire(1), 0, deadline_ns=100)
    admission.submit(2, acquire(1), 0)
    assert take_all(admission) == [9]
    admission.complete((9, 1))
    admission.cancel(1)
    assert take_all(admission, now=200) == [1]
    assert admission.complete((1, 1)) == (2,)


def test_proposal_resubmitted_while_in_flight_is_handed_in_once() -> None:
    admission = Admission()
    admission.submit(1, acquire(1), 0)
    assert take_all(admission) == [1]
    admission.submit(1, acquire(1), RESUBMIT_AFTER_NS - 1)
    admission.submit(2, acquire(1), RESUBMIT_AFTER_NS - 1)
    assert take_all(admission) == []
    assert admission.complete((1, 1)) == (1, 2)
    without_guard = Admission(deduplicates=False)
    without_guard.submit(1, acquire(1), 0)
    assert take_all(without_guard) == [1]
    without_guard.submit(1, acquire(1), 1)
    assert take_all(without_guard) == [1]


def test_proposal_that_may_be_lost_is_handed_in_again_on_resubmission() -> None:
    admission = Admission()
    admission.submit(1, acquire(1), 0)
    assert take_all(admission) == [1]
    admission.submit(1, acquire(1), RESUBMIT_AFTER_NS)
    assert take_all(admission, RESUBMIT_AFTER_NS) == [1]


def test_proposal_that_the_log_rejected_stays_first_in_the_queue() -> None:
    admission = Admission(window=1)
    for i in (1, 2):
        admission.submit(i, acquire(i), 0)
    proposal = admission.next_proposal(0)
    assert proposal is not None
    admission.requeue(proposal)
    assert take_all(admission) == [1]


def test_new_leader_gets_the_proposals_that_still_have_callers() -> None:
    admission = Admission()
    for i in (1, 2, 3):
        admission.submit(i, acquire(i), 0)
    assert take_all(admission) == [1, 2, 3]
    admission.cancel(2)
    admission.requeue_in_flight()
    assert take_all(admission) == [1, 3]


def test_lost_proposal_without_a_caller_leaves_the_window() -> None:
    admission = Admission(window=1)
    admission.submit(1, acquire(1), 0)
    admission.submit(2, acquire(2), 0)
    assert take_all(admission) == [1]
    admission.cancel(1)
    assert take_all(admission) == [] and admission.expire(LOST_AFTER_NS - 1) == []
    assert admission.expire(LOST_AFTER_NS) == [] and take_all(admission) == [2]


def test_expired_callers_are_returned_once() -> None:
    admission = Admission()
    admission.submit(1, acquire(1), 0, deadline_ns=100)
    admission.submit(2, acquire(2), 0)
    assert (
        admission.expire(99) == [] and admission.expire(100) == [1] and admission.expire(1000) == []
    )


def test_admission_is_full_at_its_limit() -> None:
    admission = Admission()
    for i in range(MAX_PENDING):
        assert not admission.is_full
        admission.submit(i, acquire(i), 0)
    assert admission.is_full


STEP = some.tuples(
    some.sampled_from(
        ("submit", "cancel", "next_proposal", "complete", "requeue_in_flight", "requeue", "expire")
    ),
    some.integers(1, 6),
    some.integers(0, 3),
)


@given(some.lists(STEP, max_size=60))
def test_in_flight_count_is_exact_and_bounded_for_any_sequence_of_calls(
    steps: list[tuple[str, int, int]],
) -> None:
    window = 3
    admission = Admission(window=window)
    now_ns = 0
    for call, number, offset in steps:
        now_ns += offset * (RESUBMIT_AFTER_NS // 2)
        caller = number * 10 + offset
        if call == "submit":
            deadline_ns = now_ns + offset * RESUBMIT_AFTER_NS if offset else NO_DEADLINE
            admission.submit(caller, acquire(number), now_ns, deadline_ns)
        elif call == "cancel":
            admission.cancel(caller)
        elif call == "next_proposal":
            admission.next_proposal(now_ns)
        elif call == "complete":
            admission.complete((number, 1))
        elif call == "requeue":
            admission.requeue(acquire(number))
        elif call == "requeue_in_flight":
            admission.requeue_in_flight()
        else:
            admission.expire(now_ns)
        pending = admission._pending
        in_flight = [row for row in pending.values() if row.is_in_flight]
        assert admission._in_flight == len(in_flight) <= window
        callers = {caller for row in pending.values() for caller in row.deadlines_ns}
        assert set(admission._keys) == callers
        queued = {key for key, row in pending.items() if not row.is_in_flight}
        assert queued == {*admission._priority_queue, *admission._newcomer_queue}


def test_renewal_is_admitted_after_mass_joins_have_filled_their_part_of_the_queue() -> None:
    """Guards against mass joins that fill the queue and have renewals rejected.

    Renewals were queued ahead of joins, but had no reserved capacity: when 8,192 joins filled the
    queue, renewals of members got "too many callers wait" until their leases expired.
    """
    admission = Admission(window=1)
    caller = 0
    while admission.has_capacity_for(acquire(caller + 1)):
        caller += 1
        admission.submit(caller, acquire(caller), 0)
    assert caller == MAX_QUEUED_NEWCOMERS
    renewal = Proposal(caller + 1, 7, RenewLeases("o", (("l", 1),)))
    assert admission.has_capacity_for(renewal)
    admission.submit(caller + 1, renewal, 0)
    assert take_all(admission) == [caller + 1]


def test_pending_proposal_may_be_submitted_again_at_the_limit() -> None:
    """A caller resubmits a proposal with a new deadline; the queue does not grow by that."""
    admission = Admission()
    for number in range(1, MAX_PENDING + 1):
        admission.submit(number, Proposal(number, 7, RenewLeases("o", (("l", 1),))), 0)
    assert admission.is_full
    assert admission.has_capacity_for(Proposal(1, 7, RenewLeases("o", (("l", 1),))))
    assert not admission.has_capacity_for(Proposal(1, 8, RenewLeases("o", (("l", 1),))))
