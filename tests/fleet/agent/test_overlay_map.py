"""Tests of the immutable map that shares its rows with changed copies."""

from __future__ import annotations

import pytest

from mothstall.fleet.agent.overlay_map import MIN_ROWS_TO_OVERLAY, OverlayMap


def test_small_change_shares_the_base_and_many_changes_are_folded_into_a_new_one() -> None:
    rows: OverlayMap[int] = OverlayMap({str(i): i for i in range(20_000)})
    first = rows.apply({"a": 1})
    assert first._base is rows._base and len(first) == 20_001
    for i in range(400):
        first = first.apply({str(i): -i})
    assert len(first._overlay) ** 2 <= 20_001 and first["399"] == -399 and rows["399"] == 399
    assert OverlayMap[int]({}).apply({"a": 1})._base == {} and MIN_ROWS_TO_OVERLAY >= 1


def test_removed_row_is_absent_until_it_is_set_again() -> None:
    first: OverlayMap[int] = OverlayMap({"a": 1, "b": 2})
    rows = first.apply({"a": None})
    assert list(rows) == ["b"] and len(rows) == 1 and rows.get("a") is None
    with pytest.raises(KeyError):
        rows["a"]
    assert dict(rows.apply({"a": 3})) == {"a": 3, "b": 2}
    assert rows.apply({}) is rows
