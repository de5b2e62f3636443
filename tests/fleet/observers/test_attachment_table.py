"""Tests of attachments: heartbeats, departures, and batches of joins and leaves."""

from __future__ import annotations

from mothstall.fleet.observers.attachment_table import AttachmentTable
from mothstall.fleet.observers.attachment_timings import AttachmentTimings
from mothstall.fleet.observers.row_change import RowChange
from mothstall.fleet.units import NS_PER_MS
from mothstall.store.state.changes import (
    MemberJoin,
    MemberLeave,
    UpdateMembers,
)
from mothstall.store.state.limits import MAX_MEMBERSHIP_BATCH
from mothstall.store.state.rows import Member
from tests.fleet.observers.state_log import StateLog

TERM_NS = 1_000 * NS_PER_MS
TIMINGS = AttachmentTimings.from_lease_term(TERM_NS)


def _confirm_next_batch(table: AttachmentTable, now_ns: int) -> UpdateMembers:
    batch = table.next_batch()
    assert batch is not None
    table.complete_batch(batch, (), now_ns)
    return batch


def test_heartbeats_propose_no_change() -> None:
    table = AttachmentTable("observer/o1", TIMINGS)
    table.set_lease_token(1)
    for i in range(600):
        assert table.attach(f"p{i}", f"p{i}#a", 1, "z1", 0) == ""
    assert [len(_confirm_next_batch(table, 0).joins) for _ in range(3)] == [256, 256, 88]
    for quarter in range(1, 50):
        now_ns = quarter * TERM_NS // 4
        assert all(table.record_heartbeat(f"p{i}", f"p{i}#a", 1, now_ns) for i in range(600))
        assert table.tick(now_ns) == [] and table.next_batch() is None
    assert (
        table.is_authoritative_for("p7", 1)
        and not table.is_authoritative_for("p7", 0)
        and not table.is_authoritative_for("p7", 2)
    )


def test_disconnected_proxy_has_one_term_to_reconnect() -> None:
    table = AttachmentTable("observer/o1", TIMINGS)
    table.set_lease_token(1)
    for name in ("p1", "p2"):
        table.attach(name, f"{name}#a", 1, "z1", 0)
    _confirm_next_batch(table, 0)
    step_ns = TERM_NS // 10
    table.tick(0)
    for name in ("p1", "p2"):
        table.disconnected(name, f"{name}#a", 1, step_ns)
    table.attach("p2", "p2#a", 2, "z1", 5 * step_ns)
    gone = [(now_ns, table.tick(now_ns)) for now_ns in range(step_ns, 13 * step_ns, step_ns)]
    assert [(now_ns, names) for now_ns, names in gone if names] == [(11 * step_ns, ["p1"])]
    batch = _confirm_next_batch(table, 13 * step_ns)
    assert [row.name for row in batch.leaves] == ["p1"] and [row.name for row in batch.joins] == [
        "p2"
    ]


def test_silent_proxy_departs_after_its_timeout_and_a_detached_one_at_once() -> None:
    table = AttachmentTable("observer/o1", TIMINGS)
    table.set_lease_token(1)
    for name in ("p1", "p2", "p3"):
        table.attach(name, f"{name}#a", 1, "z1", 0)
    _confirm_next_batch(table, 0)
    for now_ns in range(0, 3 * TERM_NS, TERM_NS // 10):
        table.record_heartbeat("p2", "p2#a", 1, now_ns)
        if table.tick(now_ns):
            break
    assert now_ns >= TIMINGS.proxy_timeout_ns and set(table.attachments) == {"p2"}
    assert {row.name for row in _confirm_next_batch(table, now_ns).leaves} == {"p1", "p3"}
    table.detach("p2", "p2#a", 1)
    assert [row.name for row in _confirm_next_batch(table, now_ns).leaves] == ["p2"]


def test_stalled_observer_declares_no_proxy_gone() -> None:
    """Guards against an observer to which all proxies seem silent after its own stall."""
    table = AttachmentTable("observer/o1", TIMINGS)
    table.set_lease_token(1)
    table.attach("p1", "p1#a", 1, "z1", 0)
    _confirm_next_batch(table, 0)
    table.tick(TERM_NS // 10)
    late_ns = 10 * TERM_NS
    assert table.tick(late_ns) == [] and table.tick(late_ns + TIMINGS.proxy_timeout_ns // 2) == []
    assert table.tick(late_ns + TIMINGS.proxy_timeout_ns) == ["p1"]


def test_new_token_repeats_all_joins_and_batches_with_unknown_results_are_retried() -> None:
    table = AttachmentTable("observer/o1", TIMINGS)
    table.set_lease_token(1)
    table.attach("p1", "p1#a", 1, "z1", 0)
    batch = table.next_batch()
    assert batch is not None and table.next_batch() is None, "one batch in flight at a time"
    table.complete_batch(batch, None, 0)
    assert _confirm_next_batch(table, 0).joins == batch.joins
    table.set_lease_token(0)
    assert table.next_batch() is None and not table.is_authoritative_for("p1", 1)
    table.set_lease_token(2)
    assert _confirm_next_batch(table, 0).token == 2 and table.is_authoritative_for("p1", 2)


def test_disconnected_proxy_is_not_joined_again() -> None:
    """Guards against a lost membership of a moving proxy (observer-region-alone, seed 9).

    An observer that joined a disconnected proxy would remove it after the grace, while the proxy's
    next observer has no lease yet.
    """
    log = StateLog("o1", "o2")
    log.update_members("o2", MemberJoin("p1", "p1#a", 1))
    log.expire_lease("o2")  # its region is partitioned: the proxy is moving
    table = AttachmentTable("observer/o1", TIMINGS)
    table.attach("p1", "p1#a", 2, "z1", 0)
    table.tick(0)
    table.disconnected(
        "p1", "p1#a", 2, TERM_NS // 10
    )  # the proxy attached to o2, which has no lease yet either
    table.set_lease_token(log.tokens["o1"])
    for now_ns in range(TERM_NS // 10, 2 * TERM_NS, TERM_NS // 10):
        table.tick(now_ns)
        if batch := table.next_batch():
            table.complete_batch(batch, log.apply(batch).lost_leases, now_ns)
        assert log.observer_of("p1") == "o2", (
            "the row stays until another observer takes it over or the grace ends"
        )
    assert not table.attachments
    table.attach("p1", "p1#a", 4, "z1", 2 * TERM_NS)  # the proxy reconnects
    batch = table.next_batch()
    assert (
        batch is not None and log.apply(batch).lost_leases == () and log.observer_of("p1") == "o1"
    )


def test_moved_proxy_is_no_longer_attached() -> None:
    table = AttachmentTable("observer/o1", TIMINGS)
    table.set_lease_token(1)
    table.attach("p1", "p1#a", 1, "z1", 0)
    _confirm_next_batch(table, 0)
    own_member = Member("p1", "p1#a", 1, "z1", "observer/o1", 1)
    assert table.apply_changes({"p1": RowChange(None, own_member)}) == []
    moved = table.apply_changes(
        {"p1": RowChange(own_member, Member("p1", "p1#a", 2, "z1", "observer/o2", 2))}
    )
    assert (
        [attachment.name for attachment in moved] == ["p1"]
        and not table.attachments
        and table.next_batch() is None
    )


def test_own_row_without_an_attachment_is_removed() -> None:
    table = AttachmentTable("observer/o1", TIMINGS)
    table.set_lease_token(1)
    table.apply_changes({"p1": RowChange(None, Member("p1", "p1#a", 1, "z1", "observer/o1", 1))})
    assert _confirm_next_batch(table, 0).leaves == (MemberLeave("p1", "p1#a", 1, 1),)


def test_row_of_an_earlier_attachment_is_removed_with_the_later_one() -> None:
    """Guards against a leftover row that blocks the joins of a later process (seed 2228)."""
    table = AttachmentTable("observer/o1", TIMINGS)
    table.set_lease_token(1)
    table.attach("p1", "p1#a", 1, "z1", 0)
    _confirm_next_batch(table, 0)
    table.apply_changes({"p1": RowChange(None, Member("p1", "p1#a", 1, "z1", "observer/o1", 1))})
    table.attach("p1", "p1#a", 2, "z1", 0)
    table.detach("p1", "p1#a", 2)  # before its join is proposed
    assert set(_confirm_next_batch(table, 0).leaves) == {
        MemberLeave("p1", "p1#a", epoch, 1) for epoch in (1, 2)
    }
    table.attach("p1", "p1#b", 1, "z1", 0)
    batch = table.next_batch()
    assert batch is not None and not batch.leaves
    table.complete_batch(
        batch, ["p1"], 0
    )  # the leave was lost: the row still belongs to the former process
    retry = _confirm_next_batch(table, TERM_NS)
    assert retry.leaves == (MemberLeave("p1", "p1#a", 1, 1),)


def test_attachments_are_bounded_and_outdated_ones_rejected() -> None:
    table = AttachmentTable("observer/o1", TIMINGS, max_attachments=3)
    table.set_lease_token(1)
    reasons = [table.attach(f"p{i}", "a", 1, "z1", 0) for i in range(5)]
    assert reasons[:3] == ["", "", ""] and "already" in reasons[3] and len(table.attachments) == 3
    assert "epoch 0 is over" in table.attach("p1", "a", 0, "z1", 0)
    assert "which is connected" in table.attach("p1", "b", 1, "z1", 0)


def test_returning_region_joins_in_batches_one_at_a_time() -> None:
    log = StateLog(*(f"o{i}" for i in range(6)))
    tables = {name: AttachmentTable(f"observer/{name}", TIMINGS) for name in log.tokens}
    for i in range(1700):
        assert not tables[f"o{i % 6}"].attach(f"p{i}", f"p{i}#a", 1, "z1", 0)
    index_before = log.index
    for name, table in tables.items():
        table.set_lease_token(log.tokens[name])
    for _ in range(2):
        for table in tables.values():
            batch = table.next_batch()
            assert batch is not None and len(batch.joins) <= MAX_MEMBERSHIP_BATCH
            assert table.next_batch() is None, "one batch in flight at a time"
            table.complete_batch(batch, log.apply(batch).lost_leases, 0)
    assert log.index - index_before == 12 and len(log.state.members) == 1700
    assert all(table.next_batch() is None for table in tables.values())
