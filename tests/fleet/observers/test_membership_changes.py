"""Tests of joins and leaves as changes of the replicated state."""

from __future__ import annotations

import pytest

from mothstall.fleet.agent.cluster_snapshot import ClusterSnapshot
from mothstall.store.state.changes import (
    MemberJoin,
    MemberLeave,
    UpdateMembers,
)
from mothstall.store.state.limits import MAX_MEMBERSHIP_BATCH
from mothstall.store.state.machine import StateMachine
from tests.fleet.observers.state_log import StateLog


def test_proxy_belongs_to_the_observer_of_its_latest_epoch() -> None:
    log = StateLog("o1", "o2")
    assert log.update_members("o1", MemberJoin("p1", "p1#a", 1)).lost_leases == ()
    assert (
        log.update_members("o2", MemberJoin("p1", "p1#a", 2)).lost_leases == ()
        and log.observer_of("p1") == "o2"
    )
    assert log.update_members("o1", MemberJoin("p1", "p1#a", 1)).lost_leases == ("p1",), (
        "a late join is rejected"
    )
    assert log.update_members("o1", MemberJoin("p1", "p1#a", 2)).lost_leases == ("p1",), (
        "an epoch belongs to one observer"
    )
    log.update_members("o1", leaves=(MemberLeave("p1", "p1#a", 1, log.tokens["o1"]),))
    assert log.observer_of("p1") == "o2", "a late leave removes no newer row"
    log.update_members("o2", leaves=(MemberLeave("p1", "p1#a", 2, log.tokens["o2"]),))
    assert log.observer_of("p1") == ""


def test_second_process_of_a_proxy_joins_once_its_observers_lease_has_ended() -> None:
    log = StateLog("o1", "o2")
    log.update_members("o1", MemberJoin("p1", "p1#a", 5))
    assert log.update_members("o2", MemberJoin("p1", "p1#b", 1)).lost_leases == ("p1",)
    log.expire_lease("o1")
    assert (
        log.update_members("o2", MemberJoin("p1", "p1#b", 1)).lost_leases == ()
        and log.observer_of("p1") == "o2"
    )


def test_members_under_an_expired_lease_stay_until_taken_over_or_removed() -> None:
    log = StateLog("o1", "o2")
    log.update_members("o1", MemberJoin("p1", "p1#a", 1), MemberJoin("p2", "p2#a", 1))
    token = log.tokens["o1"]
    assert (
        log.update_members("o2", leaves=(MemberLeave("p1", "p1#a", 1, token),)).rejected_reason
        == ""
        and log.observer_of("p1") == "o1"
    )
    log.expire_lease("o1")
    assert not log.state.is_lease_current("observer/o1", token) and set(log.state.members) == {
        "p1",
        "p2",
    }
    assert "is over" in log.update_members("o1", MemberJoin("p3", "p3#a", 1)).rejected_reason
    log.update_members(
        "o2", MemberJoin("p1", "p1#a", 2), leaves=(MemberLeave("p2", "p2#a", 1, token),)
    )
    assert {name: row.lease for name, row in log.state.members.items()} == {"p1": "observer/o2"}


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        (UpdateMembers("observer/o1", 9), "is over"),
        (
            UpdateMembers(
                "observer/o1",
                1,
                tuple(MemberJoin(f"p{i}", "a", 1) for i in range(MAX_MEMBERSHIP_BATCH + 1)),
            ),
            "more than",
        ),
        (UpdateMembers("observer/o1", 1, (MemberJoin("", "a", 1),)), "letters"),
        (UpdateMembers("observer/o1", 1, (MemberJoin("p", "a" * 101, 1),)), "letters"),
        (UpdateMembers("observer/o1", 1, (MemberJoin("p", "a", 0),)), "turns"),
        (UpdateMembers("observer/o1", 1, (MemberJoin("p", "a", 1, "z" * 101),)), "zone"),
        (UpdateMembers("observer/o1", 1, (), (MemberLeave("p", "a", -1, 1),)), "turns"),
    ],
)
def test_invalid_batch_is_rejected_with_its_reason(change: UpdateMembers, reason: str) -> None:
    log = StateLog("o1")
    assert reason in log.apply(change).rejected_reason and not log.state.members


def test_members_are_part_of_snapshots_and_deltas() -> None:
    log = StateLog("o1")
    log.update_members("o1", MemberJoin("p1", "p1#a", 1, "z1"))
    version = log.state.version
    log.update_members("o1", MemberJoin("p2", "p2#a", 1, "z2"))
    assert StateMachine.from_snapshot(log.state.encode_snapshot()).members == log.state.members
    snapshot = ClusterSnapshot().apply(log.state.delta_since(0))
    assert snapshot is not None and set(snapshot.attached) == {"p1", "p2"}
    assert set(log.state.delta_since(version).members) == {"p2"}
