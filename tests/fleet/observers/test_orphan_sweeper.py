"""Tests of the removal of members whose observer is lost."""

from __future__ import annotations

from mothstall.fleet.observers.orphan_sweeper import OrphanSweeper
from mothstall.fleet.observers.subscription_fanout import SubscriptionFanout
from mothstall.fleet.units import NS_PER_MS
from mothstall.store.state.changes import (
    MemberJoin,
)
from tests.fleet.observers.state_log import StateLog

TERM_NS = 1_000 * NS_PER_MS


def test_orphans_are_removed_after_the_grace_by_the_selected_observer_first() -> None:
    log = StateLog("o1", "o2", "o3")
    log.update_members("o1", *(MemberJoin(f"p{i}", f"p{i}#a", 1) for i in range(4)))
    copies = {name: (SubscriptionFanout(), OrphanSweeper(name, TERM_NS)) for name in ("o2", "o3")}

    def apply_state(now_ns: int) -> None:
        for fanout, sweeper in copies.values():
            changes = fanout.apply(log.state.delta_since(fanout.version))
            assert changes is not None
            sweeper.apply_changes(changes.leases, changes.members, now_ns)

    apply_state(0)
    log.expire_lease("o1")
    apply_state(TERM_NS)
    assert all(sweeper.orphan_count == 4 for _, sweeper in copies.values())
    log.update_members("o2", MemberJoin("p1", "p1#a", 2))
    apply_state(TERM_NS + 1)
    due = {
        name: sweeper.due_leaves(fanout.members, 2 * TERM_NS + 1)
        for name, (fanout, sweeper) in copies.items()
    }
    assert sorted(map(len, due.values())) == [0, 3], (
        "only the selected observer removes them, and keeps the proxy that moved"
    )
    selected = max(due, key=lambda name: len(due[name]))
    log.update_members(selected, leaves=tuple(due[selected]))
    apply_state(2 * TERM_NS + 2)
    assert set(log.state.members) == {"p1"} and all(
        sweeper.orphan_count == 0 for _, sweeper in copies.values()
    )


def test_leaves_are_requested_in_the_order_of_the_joins() -> None:
    """Guards against an order of leaves that depends on `PYTHONHASHSEED`.

    While the members of a lost observer were a set of names, the hash seed decided which leave met
    a moving proxy, and `lab fleet simulate --of tier` gave varying counts (`moved` 2268 to 2270 and
    `swept` 312 or 313 over the same 200 seeds).
    """
    names = [f"p{number}" for number in range(40)]
    log = StateLog("o1", "o2")
    log.update_members("o1", *(MemberJoin(name, f"{name}#a", 1) for name in names))
    fanout, sweeper = SubscriptionFanout(), OrphanSweeper("o2", TERM_NS)
    for end_lease in (False, True):
        if end_lease:
            log.expire_lease("o1")
        changes = fanout.apply(log.state.delta_since(fanout.version))
        assert changes is not None
        sweeper.apply_changes(changes.leases, changes.members, 0)
    due = sweeper.due_leaves(fanout.members, 2 * TERM_NS)
    assert [leave.name for leave in due] == list(fanout.members)
