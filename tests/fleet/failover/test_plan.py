"""Decoding of stored plans and overrides: any bytes are decoded or rejected."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from mothstall.fleet.failover.plan import (
    OperatorOverrides,
    decode_overrides,
    decode_plan,
    plan_defect,
)


@given(st.binary(max_size=600))
def test_any_bytes_decode_to_a_plan_without_defect_or_to_none(data: bytes) -> None:
    plan = decode_plan(data)
    assert plan is None or plan_defect(plan) == ""


@given(st.binary(max_size=600))
def test_any_bytes_decode_to_overrides_or_to_none(data: bytes) -> None:
    overrides = decode_overrides(data)
    assert overrides is None or isinstance(overrides, OperatorOverrides)
