"""Tests of the state machine: fencing tokens, sessions, deltas and snapshots."""

from __future__ import annotations

import contextlib
from typing import get_args

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mothstall.store.errors import SnapshotError
from mothstall.store.state import machine
from mothstall.store.state.changes import (
    AcquireLease,
    Change,
    ExpireLeases,
    OpenSession,
    Proposal,
    PutDrain,
    PutValue,
    RemoveDrain,
)
from mothstall.store.state.machine import StateMachine
from mothstall.store.state.rows import Drain, DrainKind

from .factories import AppliedLog

LEASE_MS = 1000


@pytest.fixture
def log() -> AppliedLog:
    return AppliedLog()


def acquire(owner: str) -> AcquireLease:
    return AcquireLease("x", owner, LEASE_MS)


def drain(number: int) -> PutDrain:
    return PutDrain(Drain(DrainKind.BACKEND, f"b{number}", "me", "", ""))


def test_every_change_can_be_applied() -> None:
    assert set(machine._APPLIERS) | {OpenSession} == set(get_args(Change))


def test_a_lease_in_force_is_not_given_to_another_owner(log: AppliedLog) -> None:
    first = log.change(acquire("p1"))
    second = log.change(acquire("p2"))

    assert first.token == 1
    assert second.rejected_reason == "x is p1's, token 1"
    assert second.owner == "p1"


def test_a_write_with_a_stale_token_is_rejected_when_it_is_applied(log: AppliedLog) -> None:
    log.change(acquire("p1"))
    log.expire("x", 1)
    successor = log.change(acquire("p2"))

    stale_result = log.change(PutValue("x", 1, "key", b"late"))

    assert successor.token == 2
    assert stale_result.rejected_reason == "x: token 1 is over, p2 holds 2"
    assert stale_result.is_token_stale
    assert not log.state.values
    assert not log.change(PutValue("x", 2, "key", b"good")).rejected_reason


def test_an_expiry_with_a_stale_token_keeps_the_current_lease(log: AppliedLog) -> None:
    log.change(acquire("p1"))
    log.expire("x", 1)
    log.change(acquire("p2"))

    log.expire("x", 1)

    assert log.state.leases["x"].owner == "p2"


def test_a_snapshot_restores_the_state_and_its_last_token(log: AppliedLog) -> None:
    log.change(acquire("p1"))
    log.expire("x", 1)
    log.change(acquire("p2"))
    log.change(PutValue("x", 2, "key", b"good"))

    restored = StateMachine.from_snapshot(log.state.encode_snapshot())

    assert restored.encode_snapshot() == log.state.encode_snapshot()
    assert restored.last_token == 2


def test_a_repeated_proposal_is_applied_once_and_answered_the_same(log: AppliedLog) -> None:
    proposal = Proposal(log.session, 1, acquire("p1"))

    results = [log.apply(proposal), log.apply(proposal)]

    assert [result.token for result in results] == [1, 1]
    assert log.state.last_token == 1


def test_a_change_of_an_unknown_session_is_rejected(log: AppliedLog) -> None:
    result = log.apply(Proposal(77, 1, AcquireLease("y", "p1", LEASE_MS)))

    assert "unknown session" in result.rejected_reason
    assert result.is_session_unknown


def test_only_a_keeper_expires_leases(log: AppliedLog) -> None:
    log.change(acquire("p1"))

    result = log.change(ExpireLeases((("x", 1),)))

    assert "keeper's word" in result.rejected_reason
    assert "x" in log.state.leases


def test_a_delta_holds_what_changed_since_a_version(log: AppliedLog) -> None:
    for number in range(1, 10):
        log.change(drain(number))

    delta = log.state.delta_since(7)

    assert list(delta.drains) == ["box:b9", "box:b8"]
    assert delta.since_version == 7


def test_a_delta_names_removed_rows(log: AppliedLog) -> None:
    for number in range(1, 10):
        log.change(drain(number))
    log.change(RemoveDrain(DrainKind.BACKEND, "b9", "me"))

    assert log.state.delta_since(9).drains == {"box:b9": None}
    complete = log.state.delta_since(0)
    assert complete.since_version == 0
    assert len(complete.drains) == 8


def test_a_state_restored_from_a_snapshot_returns_complete_deltas(log: AppliedLog) -> None:
    for number in range(1, 10):
        log.change(drain(number))

    restored = StateMachine.from_snapshot(log.state.encode_snapshot())

    assert restored.delta_since(5).since_version == 0


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=4000))
def test_arbitrary_bytes_change_nothing_and_are_no_snapshot(data: bytes) -> None:
    state = StateMachine()

    state.apply(1, data)

    assert state.version == 0
    with contextlib.suppress(SnapshotError):
        StateMachine.from_snapshot(data)
