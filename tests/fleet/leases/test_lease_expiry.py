"""Expiry of leases at the leading keeper."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from mothstall.fleet.leases.expiry import LeaseExpiryTracker
from mothstall.fleet.leases.holder import LeaseHolder
from mothstall.fleet.units import NS_PER_MS, NS_PER_S


@given(st.floats(0.99, 1.01), st.floats(0.99, 1.01), st.integers(0, 500), st.integers(0, 500))
def test_holder_stops_before_the_grantor_expires_the_lease(
    grantor_rate: float, holder_rate: float, request_delay_ms: int, response_delay_ms: int
) -> None:
    """Holds for all clock rates within the drift and for all message delays."""
    tracker, holder = LeaseExpiryTracker(), LeaseHolder(2000, 100, 0.02)
    sent_ns, applied_ns = 10 * NS_PER_S, 10 * NS_PER_S + request_delay_ms * NS_PER_MS
    tracker.record_grant("x", 1, 2000, int(applied_ns * grantor_rate))
    holder.record_grant(
        "x",
        1,
        int(sent_ns * holder_rate),
        int((applied_ns + response_delay_ms * NS_PER_MS) * holder_rate),
    )
    ends_at_ns = holder.held["x"].valid_until_ns / holder_rate
    assert not tracker.expired(int(ends_at_ns * grantor_rate))
    assert holder.valid_token("x", int(ends_at_ns * holder_rate) + 1000) == 0
    assert tracker.expired(int((applied_ns + 2.1 * NS_PER_S) * grantor_rate)) == (("x", 1),)


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
    st.lists(
        st.tuples(st.sampled_from("gned"), st.integers(0, 5), st.integers(0, 9)),
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
