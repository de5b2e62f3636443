"""Tests of the snapshot of the replicated state."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mothstall.fleet.agent.cluster_snapshot import ClusterSnapshot
from mothstall.fleet.leases.names import MEMBER_LEASE_PREFIX
from mothstall.store.state.rows import Lease, StateDelta

KEYS = [f"{MEMBER_LEASE_PREFIX}p{i}" for i in range(4)] + [f"probe/b{i}" for i in range(4)]
CHANGE = st.dictionaries(st.sampled_from(KEYS), st.one_of(st.none(), st.integers(1, 9)), max_size=4)


@given(st.lists(CHANGE, max_size=20))
def test_snapshot_after_many_deltas_equals_the_state_of_all_of_them(
    changes: list[dict[str, int | None]],
) -> None:
    snapshot = ClusterSnapshot()
    model: dict[str, Lease] = {}
    earlier: list[tuple[ClusterSnapshot, dict[str, Lease]]] = []
    for number, change in enumerate(changes):
        rows = {key: Lease(key, "o", 1, token) if token else None for key, token in change.items()}
        following = snapshot.apply(
            StateDelta(number and snapshot.version, number + 1, rows if number else dict(rows))
        )
        assert following is not None
        for key, row in rows.items():
            if row is None:
                model.pop(key, None)
            else:
                model[key] = row
        snapshot = following
        earlier.append((snapshot, dict(model)))
    for old, rows_then in earlier:  # earlier snapshots have not changed
        assert dict(old.leases) == rows_then and len(old.leases) == len(rows_then)
        assert sorted(old.members) == sorted(
            name.removeprefix(MEMBER_LEASE_PREFIX)
            for name in rows_then
            if name.startswith(MEMBER_LEASE_PREFIX)
        )
        assert all((key in old.leases) == (key in rows_then) for key in KEYS)


def test_snapshot_applies_only_deltas_that_follow_it_and_never_goes_back() -> None:
    lease = Lease("x", "p1", 1000, 1)
    first = ClusterSnapshot().apply(StateDelta(0, 5, {"x": lease}))
    assert first is not None and first.version == 5
    for rows in (first.leases, first.drains, first.values):  # rows cannot be changed
        with pytest.raises(TypeError):
            rows["y"] = lease  # type: ignore[index]
    assert first.apply(StateDelta(0, 4, {})) is first, "a delta of a lagging keeper is ignored"
    assert first.apply(StateDelta(6, 8, {})) is None, (
        "a gap: the complete state has to be requested"
    )
    second = first.apply(StateDelta(5, 6, {"x": None}))
    assert second is not None and not second.leases and "x" in first.leases
