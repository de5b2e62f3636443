"""Tests of the checks: an invalid change is rejected with its reason, before and on apply."""

from __future__ import annotations

import pytest

from mothstall.store.state.changes import (
    AcquireLease,
    Change,
    PutDrain,
    PutValue,
    RemoveDrain,
    RevokeLease,
)
from mothstall.store.state.limits import MAX_VALUE_BYTES
from mothstall.store.state.rows import Drain, DrainKind

from .factories import AppliedLog


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        (AcquireLease("", "p", 1000), "1 to 100"),
        (AcquireLease("x", "p", 0), "1 to"),
        (PutDrain(Drain("rack", "r", "me", "", "")), "a box or a zone"),
        (PutDrain(Drain(DrainKind.BACKEND, "b", "", "", "")), "who drains"),
        (RemoveDrain(DrainKind.BACKEND, "b", "me"), "not drained"),
        (PutValue("x", 1, "k", b"v" * 20_000), "16384 bytes"),
        (RevokeLease("x", "me", "why"), "nobody holds"),
    ],
)
def test_a_malformed_change_is_rejected_with_its_reason(change: Change, reason: str) -> None:
    log = AppliedLog()

    assert reason in log.state.rejection_reason(change)
    assert reason in log.change(change).rejected_reason
    assert log.state.version == 0


def test_a_value_may_be_as_large_as_the_limit() -> None:
    log = AppliedLog()
    log.change(AcquireLease("x", "p", 1000))

    result = log.change(PutValue("x", 1, "k", b"v" * MAX_VALUE_BYTES))

    assert result.rejected_reason == ""
