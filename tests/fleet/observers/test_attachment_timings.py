"""Tests that the timeouts of proxies and of observers are consistent."""

from __future__ import annotations

import pytest

from mothstall.fleet.observers.attachment_timings import AttachmentTimings
from mothstall.fleet.units import NS_PER_MS


@pytest.mark.parametrize("term_ms", [600, 2000, 30_000])
def test_silent_observer_is_left_before_it_may_declare_the_proxy_gone(term_ms: int) -> None:
    """Guards against a partitioned observer that declares proxies gone which still wait for it."""
    timings = AttachmentTimings.from_lease_term(term_ms * NS_PER_MS)
    assert (
        timings.proxy_heartbeat_ns * 2 < timings.observer_timeout_ns
        and timings.observer_heartbeat_ns * 2 < timings.observer_timeout_ns
    )
    assert (
        timings.observer_timeout_ns + timings.reconnect_jitter_ns < timings.proxy_timeout_ns
        and timings.disconnect_grace_ns <= term_ms * NS_PER_MS
    )
