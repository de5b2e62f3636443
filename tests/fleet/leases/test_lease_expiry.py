"""Expiry of leases at the leading keeper."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as some

from mothstall.fleet.leases.expiry import LeaseExpiryTracker
from mothstall.fleet.leases.holder import LeaseHolder
from mothstall.fleet.units import NS_PER_MS, NS_PER_S


@given(
    some.floats(0.99, 1.01), some.floats(0.99, 1.01), some.integers(0, 500), some.integers(0, 500)
)
def test_holder_stops_before_the_grantor_expires_the_lease(
    rate: float, other: float, there_ms: int, back_ms: int
) -> None:
    """Holds for all clock rates within the drift and for all message delays."""
    tracker, holder = LeaseExpiryTracker(), LeaseHolder(2000, 100, 0.02)
    sent, applied = 10 * NS_PER_S, 10 * NS_PER_S + there_ms * NS_PER_MS
    tracker.record_grant("x", 1, 2000, int(applied * rate))
    holder.record_grant("x", 1, int(sent * other), int((applied + back_ms * NS_PER_MS) * other))
    over = holder.held["x"].valid_until_ns / other
    assert not tracker.expired(int(over * rate))
    assert holder.valid_token("x", int(over * other) + 1000) == 0
    assert tracker.expired(int((applied + 2.1 * NS_PER_S) * rate)) == (("x", 1),)


def test_new_leader_gives_each_lease_a_complete_term() -> None:
    tracker = LeaseExpiryTracker()
    tracker.record_grant("x", 1, 2000, 0)
    tracker.stop_leading()
    assert tracker.expired(100 * NS_PER_S) == ()
    tracker.start_leading([("x", 1, 2000)], 100 * NS_PER_S)
    assert tracker.expired(102 * NS_PER_S - 1) == () and tracker.expired(102 * NS_PER_S) == (
        ("x", 1),
    )


@given(
    some.lists(
        some.tuples(some.sampled_from("gned"), some.integers(0, 5), some.integers(0, 9)),
        max_size=40,
    )
)
def test_every_expired_lease_is_found_however_rarely_checked(
    steps: list[tuple[str, int, int]],
) -> None:
    # Events: g: grant, n: release, e: a new leader if the step is 0, d: the clock only.
    tracker, expected_ends, now = LeaseExpiryTracker(), dict[str, int](), 0
    for event, name, step_ms in steps:
        now += step_ms * NS_PER_MS
        if event == "g":
            tracker.record_grant(f"l{name}", 1, 3 + step_ms, now)
            expected_ends[f"l{name}"] = now + (3 + step_ms) * NS_PER_MS
        elif event == "n":
            tracker.forget(f"l{name}")
            expected_ends.pop(f"l{name}", None)
        elif event == "e" and step_ms == 0:
            tracker.start_leading([(key, 1, 5) for key in expected_ends], now)
            expected_ends = dict.fromkeys(expected_ends, now + 5 * NS_PER_MS)
        assert {key for key, _ in tracker.expired(now)} == {
            key for key, end in expected_ends.items() if end <= now
        }
