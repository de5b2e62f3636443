"""Tests of an agent's snapshot of the replicated state and its age."""

from __future__ import annotations

from typing import Any

import pytest

from mothstall.fleet.agent import snapshot_tracker
from mothstall.fleet.agent.counters import AgentCounters
from mothstall.fleet.agent.snapshot_tracker import (
    MAX_LEADERLESS_NS,
    SnapshotChange,
    SnapshotTracker,
)
from mothstall.fleet.units import NS_PER_MS
from mothstall.store.protocol.keeper_messages import WatchEvent
from mothstall.store.state.rows import Drain, DrainKind, Lease, StateDelta

NO_CHANGE = StateDelta(1, 1, {})


class RecordingClient:
    """Records the requests of the tracker to its client."""

    def __init__(self) -> None:
        self.disconnect_reasons: list[str] = []
        self.resync_count = 0

    def disconnect(self, reason: str) -> None:
        self.disconnect_reasons.append(reason)

    def request_resync(self) -> None:
        self.resync_count += 1


class Clock:
    """Replaces the module `time`."""

    def __init__(self) -> None:
        self.now_ns = 10**12

    def monotonic_ns(self) -> int:
        return self.now_ns


class Fixture:
    """A tracker with a recording client, a controlled clock and the changes that it reported."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.clock = Clock()
        monkeypatch.setattr(snapshot_tracker, "time", self.clock)
        self.changes: list[SnapshotChange] = []
        self.client = RecordingClient()
        self.counters = AgentCounters()
        self.tracker = SnapshotTracker(self.counters, self.changes.append)
        client: Any = self.client
        self.tracker.client = client


@pytest.fixture
def fixture(monkeypatch: pytest.MonkeyPatch) -> Fixture:
    return Fixture(monkeypatch)


def test_snapshot_has_no_age_before_contact_with_a_leader(fixture: Fixture) -> None:
    fixture.tracker.on_watch_event(WatchEvent(StateDelta(0, 1, {}), False))

    assert fixture.tracker.age_ms() == -1


def test_age_counts_from_the_last_event_of_a_keeper_with_a_leader(fixture: Fixture) -> None:
    fixture.tracker.on_watch_event(WatchEvent(NO_CHANGE, True))
    fixture.clock.now_ns += 70 * NS_PER_MS
    fixture.tracker.on_watch_event(WatchEvent(NO_CHANGE, False))

    assert fixture.tracker.age_ms() == 70


def test_age_through_an_observer_includes_the_age_of_its_state(fixture: Fixture) -> None:
    fixture.tracker.on_state_update(StateDelta(0, 1, {}), 40)
    fixture.clock.now_ns += 5 * NS_PER_MS
    assert fixture.tracker.age_ms() == 45

    fixture.tracker.on_state_update(NO_CHANGE, 900)
    assert fixture.tracker.age_ms() == 45, "an update with an older state does not increase the age"


def test_keeper_without_a_leader_is_disconnected_once_per_full_interval(fixture: Fixture) -> None:
    event = WatchEvent(NO_CHANGE, False)
    fixture.tracker.on_watch_event(WatchEvent(NO_CHANGE, True))
    fixture.clock.now_ns += MAX_LEADERLESS_NS
    fixture.tracker.on_watch_event(event)
    assert fixture.client.disconnect_reasons == []

    fixture.clock.now_ns += 1
    fixture.tracker.on_watch_event(event)
    fixture.tracker.on_watch_event(event)
    assert fixture.client.disconnect_reasons == ["the keeper has no leader"]


def test_delta_that_does_not_follow_the_snapshot_requests_a_resync(fixture: Fixture) -> None:
    fixture.tracker.on_state_update(StateDelta(5, 6, {}), 0)

    assert fixture.client.resync_count == 1
    assert fixture.changes == []
    assert fixture.tracker.current.version == 0


def test_new_snapshot_is_reported_and_counted_and_an_empty_delta_is_not(
    fixture: Fixture,
) -> None:
    fixture.tracker.on_state_update(StateDelta(0, 1, {}), 0)
    fixture.tracker.on_state_update(NO_CHANGE, 0)

    assert [change.current.version for change in fixture.changes] == [1]
    assert fixture.counters.snapshots == 1


def test_change_of_leases_alone_changes_no_drains_or_hints(fixture: Fixture) -> None:
    drain = Drain(DrainKind.BACKEND, "b1", "ann", "", "")
    fixture.tracker.on_state_update(StateDelta(0, 1, {}), 0)
    fixture.tracker.on_state_update(StateDelta(1, 2, {"x": Lease("x", "o", 1, 1)}), 0)
    fixture.tracker.on_state_update(StateDelta(2, 3, {}, {"box:b1": drain}), 0)

    assert [change.may_change_drains_or_hints for change in fixture.changes[1:]] == [False, True]
