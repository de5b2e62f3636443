"""Tests of the fan-out of state updates to subscribers."""

from __future__ import annotations

import msgspec
import pytest

from mothstall.fleet.agent.cluster_snapshot import ClusterSnapshot
from mothstall.fleet.observers.subscription import Subscription, checked_subscription
from mothstall.fleet.observers.subscription_fanout import SubscriptionFanout
from mothstall.fleet.units import NS_PER_MS
from mothstall.store.state.changes import (
    AcquireLease,
    MemberJoin,
    PutDrain,
    RemoveDrain,
)
from mothstall.store.state.rows import Drain, DrainKind, StateDelta
from tests.fleet.observers.state_log import StateLog

TERM_NS = 1_000 * NS_PER_MS


def _updates(
    fanout: SubscriptionFanout, now_ns: int, unsent_bytes: dict[str, int] | None = None
) -> dict[str, StateDelta]:
    rows = fanout.due_updates(
        now_ns, 1000, msgspec.msgpack.encode, lambda name: (unsent_bytes or {}).get(name, 0)
    )
    return {name: msgspec.msgpack.decode(data, type=StateDelta) for name, data in rows}


def test_subscribers_receive_their_part_and_share_encodings() -> None:
    log, fanout = StateLog("o1"), SubscriptionFanout()
    fanout.apply(log.state.delta_since(0))
    for i in range(40):
        subscription = Subscription("z1", ("search-",)) if i % 2 else Subscription("z2")
        fanout.subscribe(f"p{i}", subscription, 0)
    _updates(fanout, 0)
    log.update_members("o1", MemberJoin("p1", "p1#a", 1, "z1"), MemberJoin("p2", "p2#a", 1, "z2"))
    for name in ("search-1", "pay-1"):
        log.apply(PutDrain(Drain(DrainKind.BACKEND, name, "lab", "", "")))
        log.apply(AcquireLease(f"probe/{name}", "p1#a", 1000))
    log.apply(PutDrain(Drain(DrainKind.ZONE, "z9", "lab", "", "")))
    log.apply(AcquireLease("failover", "p1#a", 1000))
    log.apply(AcquireLease("script", "me", 1000))
    fanout.apply(log.state.delta_since(fanout.version))
    encoded: list[StateDelta] = []

    def encode(delta: StateDelta) -> bytes:
        encoded.append(delta)
        return msgspec.msgpack.encode(delta)

    rows = dict(fanout.due_updates(1, 1000, encode, lambda name: 0))
    assert len(rows) == 40 and len(encoded) == 2 and fanout.counts["shared"] >= 38
    updates = {name: msgspec.msgpack.decode(data, type=StateDelta) for name, data in rows.items()}
    by_prefix, all_backends = updates["p1"], updates["p2"]
    assert set(by_prefix.members) == {"p1"} and set(all_backends.members) == {"p2"}
    assert set(by_prefix.drains) == {"box:search-1", "zone:z9"}
    assert set(all_backends.drains) == {"box:search-1", "box:pay-1", "zone:z9"}
    assert set(by_prefix.leases) == {"probe/search-1", "failover"}
    assert set(all_backends.leases) == {"probe/search-1", "probe/pay-1", "failover"}


def test_slow_subscriber_gets_a_snapshot_in_place_of_a_backlog() -> None:
    log, fanout = StateLog("o1"), SubscriptionFanout(max_changes=50)
    fanout.apply(log.state.delta_since(0))
    fanout.subscribe("slow", Subscription("z1"), 0)
    fanout.subscribe("quick", Subscription("z1"), 0)
    assert set(_updates(fanout, 0)) == {"slow", "quick"}
    for i in range(400):
        log.apply(PutDrain(Drain(DrainKind.BACKEND, f"b{i % 90}", "lab", "", str(i))))
        fanout.apply(log.state.delta_since(fanout.version))
        assert set(_updates(fanout, i, {"slow": 1})) == {"quick"}
        history = fanout.state.history
        assert history.change_count <= 50 and history.version_count <= 51
    assert _updates(fanout, 400)["slow"].since_version == 0
    assert len(_updates(fanout, 400)) == 0, "both are up to date"


def test_changes_outside_a_subscription_cause_no_update() -> None:
    """Guards against a frame to each of 6,400 proxies for every batch of joins anywhere."""
    log, fanout = StateLog("o1"), SubscriptionFanout(heartbeat_ns=TERM_NS)
    fanout.apply(log.state.delta_since(0))
    for name in ("z1", "z2"):
        fanout.subscribe(name, Subscription(name), 0)
    _updates(fanout, 0)
    snapshot = ClusterSnapshot().apply(log.state.delta_since(0))
    for i in range(20):
        log.update_members("o1", MemberJoin(f"p{i}", "a", 1, "z1"))
        fanout.apply(log.state.delta_since(fanout.version))
        assert set(_updates(fanout, i)) == {"z1"}
    heartbeat = _updates(fanout, TERM_NS)["z2"]
    assert (
        snapshot is not None
        and heartbeat.since_version == snapshot.version
        and heartbeat.version == log.state.version
    )
    assert not (heartbeat.members or heartbeat.leases or heartbeat.drains)


def test_older_version_never_replaces_a_newer_one() -> None:
    log, fanout = StateLog("o1"), SubscriptionFanout()
    older = log.state.delta_since(0)
    log.apply(PutDrain(Drain(DrainKind.BACKEND, "b1", "lab", "", "")))
    fanout.apply(log.state.delta_since(0))
    version = fanout.version
    fanout.apply(older)
    assert fanout.version == version and fanout.drains, "a delta of a lagging keeper is ignored"
    fanout.subscribe(
        "p1", Subscription("z1"), version + 5
    )  # it was attached to an observer that was ahead
    updates = _updates(fanout, 0)["p1"]
    snapshot = ClusterSnapshot(version + 5).apply(updates)
    assert snapshot is not None and snapshot.version == version + 5 and updates.drains == {}


@pytest.mark.parametrize("versions_ahead", [5, 1 << 61])
def test_subscriber_ahead_of_the_copy_blocks_no_other(versions_ahead: int) -> None:
    """Guards against a subscriber ahead of the copy that delays the others to its heartbeats."""
    log, fanout = StateLog("o1"), SubscriptionFanout(heartbeat_ns=TERM_NS)
    fanout.apply(log.state.delta_since(0))
    fanout.subscribe("ahead", Subscription("z1"), fanout.version + versions_ahead)
    for name in ("p1", "p2"):
        fanout.subscribe(name, Subscription("z1"), 0)
    assert set(_updates(fanout, 0)) == {"ahead", "p1", "p2"}
    for now_ns in range(1, 4):
        log.apply(PutDrain(Drain(DrainKind.BACKEND, f"b{now_ns}", "lab", "", "")))
        fanout.apply(log.state.delta_since(fanout.version))
        assert set(_updates(fanout, now_ns)) == {"p1", "p2"}
    assert set(_updates(fanout, TERM_NS)) == {"ahead"} and not _updates(fanout, TERM_NS + 1)


def test_subscriber_between_two_versions_of_the_copy_gets_a_snapshot() -> None:
    """Guards against a subscriber that keeps a row added and removed between two versions."""
    log, fanout = StateLog("o1"), SubscriptionFanout()
    fanout.apply(log.state.delta_since(0))
    log.apply(PutDrain(Drain(DrainKind.BACKEND, "b1", "lab", "", "")))
    skipped_version = log.state.version
    snapshot = ClusterSnapshot().apply(log.state.delta_since(0))
    log.apply(RemoveDrain(DrainKind.BACKEND, "b1", "lab"))
    fanout.apply(log.state.delta_since(fanout.version))
    fanout.subscribe("p1", Subscription("z1"), skipped_version)
    updates = _updates(fanout, 0)["p1"]
    assert snapshot is not None and snapshot.drains and updates.since_version == 0
    updated = snapshot.apply(updates)
    assert updated is not None and not updated.drains


def test_round_is_linear_in_subscribers_that_lack_something() -> None:
    log, fanout = StateLog("o1"), SubscriptionFanout(heartbeat_ns=TERM_NS)
    fanout.apply(log.state.delta_since(0))
    for i in range(500):
        fanout.subscribe(f"p{i}", Subscription("z1"), 0)
    assert len(_updates(fanout, 0)) == 500
    checked: list[str] = []

    def unsent_bytes(name: str) -> int:
        checked.append(name)
        return 0

    rows = fanout.due_updates(1, 1000, msgspec.msgpack.encode, unsent_bytes)
    assert list(rows) == [] and checked == [], "no subscriber lacks anything, so none is checked"
    assert len(_updates(fanout, TERM_NS)) == 500, "all are due a heartbeat"


@pytest.mark.parametrize(
    "requested", [("z", ()), ("z" * 101, ("",)), ("z", ("a" * 101,)), ("z", ("a",) * 65)]
)
def test_invalid_subscription_is_rejected(requested: tuple[str, tuple[str, ...]]) -> None:
    with pytest.raises(ValueError, match=r"subscription|prefix"):
        checked_subscription(*requested)
