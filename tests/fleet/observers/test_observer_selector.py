"""Tests of a proxy's choice among observers."""

from __future__ import annotations

import random

from mothstall.fleet.observers.attachment_timings import AttachmentTimings
from mothstall.fleet.observers.observer_selector import LeaveReason, ObserverSelector
from mothstall.fleet.units import NS_PER_MS

TERM_NS = 1_000 * NS_PER_MS


def _selector(home: int = 2, other: int = 1) -> ObserverSelector:
    selector = ObserverSelector(random.Random(1))
    selector.add_endpoints([f"h{i}" for i in range(home)], [f"n{i}" for i in range(other)])
    return selector


def test_home_observers_come_first_and_backoff_grows() -> None:
    selector = _selector()
    now_ns = 0
    chosen: list[str] = []
    for _ in range(12):
        name, wait_ns = selector.choose_next(now_ns)
        now_ns += wait_ns
        chosen.append(name)
        selector.disconnected("not reached", now_ns)
    assert {name[0] for name in chosen[:2]} == {"h"} and chosen[2] == "n0"
    assert now_ns > 200 * NS_PER_MS, "backoff grows"
    backoffs_ns = [endpoint.retry_not_before_ns - now_ns for endpoint in selector.endpoints]
    assert max(backoffs_ns) <= 1.5 * selector.max_backoff_ns


def test_silent_observer_is_left_and_stale_ones_at_growing_intervals() -> None:
    selector = _selector()
    selector.choose_next(0)
    assert selector.connected(0) == 1
    selector.record_update(0, TERM_NS)
    assert (
        selector.reason_to_leave(0, 2 * TERM_NS) is None
        and selector.reason_to_leave(0, 9 * TERM_NS) == LeaveReason.SILENT
    )
    now_ns, departures = 0, 0
    for _ in range(600):  # ten minutes in which all observers of the region are stale
        now_ns += TERM_NS
        selector.record_update(now_ns, now_ns)
        if reason := selector.reason_to_leave(now_ns, now_ns):
            assert reason == LeaveReason.STALE
            selector.disconnected(reason, now_ns)
            selector.choose_next(now_ns)
            selector.connected(now_ns)
            departures += 1
    assert 3 <= departures <= 14, "leaves rarely while all observers are stale"
    selector.record_update(0, now_ns)
    assert selector.stale_departures == 0


def test_proxy_returns_home_when_its_zones_observer_is_back() -> None:
    selector = _selector(1, 1)
    selector.choose_next(0)
    selector.disconnected("not reached", 0)
    name, _ = selector.choose_next(0)
    assert name == "n0"
    selector.connected(0)
    for now_ns in range(0, selector.home_return_delay_ns, TERM_NS):
        selector.record_update(0, now_ns)
        assert selector.reason_to_leave(0, now_ns) is None
    late_ns = selector.home_return_delay_ns * 3 // 2 + 2 * TERM_NS  # after the longest random delay
    selector.record_update(0, late_ns)
    reason = selector.reason_to_leave(0, late_ns)
    assert reason == LeaveReason.HOME_AVAILABLE
    selector.disconnected(reason, late_ns)
    assert selector.choose_next(late_ns)[0] == "h0"


def test_proxies_return_home_at_random_times() -> None:
    """Proxies of a lost observer move to another zone's within 0.4 s, but return more slowly."""
    returned_at_ns: list[int] = []
    for seed in range(600):
        selector = ObserverSelector(random.Random(seed))
        selector.add_endpoints(["h0"], ["n0"])
        selector.choose_next(0)
        selector.disconnected("not reached", 0)
        assert selector.choose_next(0)[0] == "n0"
        selector.connected(0)
        now_ns = 0
        while not selector.reason_to_leave(0, now_ns):
            now_ns += 200 * NS_PER_MS
            selector.record_update(0, now_ns)
        returned_at_ns.append(now_ns)
    assert (
        min(returned_at_ns) >= selector.home_return_delay_ns
        and max(returned_at_ns) <= selector.home_return_delay_ns * 3 // 2 + 200 * NS_PER_MS
    )
    assert max(returned_at_ns.count(now_ns) for now_ns in set(returned_at_ns)) < 30, (
        "proxies of 600 that return within one step of 0.2 s"
    )


def test_half_open_return_ends_before_the_fresh_observer_declares_the_proxy_gone() -> None:
    """An observer declares a proxy gone one term after its connection was lost."""
    term_ns = 2_000 * NS_PER_MS
    timings = AttachmentTimings.from_lease_term(term_ns)
    for seed in range(50):
        selector = ObserverSelector(
            random.Random(seed),
            observer_timeout_ns=timings.observer_timeout_ns,
            reconnect_jitter_ns=timings.reconnect_jitter_ns,
        )
        selector.add_endpoints(["h0"], ["n0"])
        selector.choose_next(0)
        selector.disconnected("not reached", 0)
        selector.choose_next(0)
        selector.connected(0)
        now_ns = selector.home_return_delay_ns * 3 // 2 + NS_PER_MS
        selector.record_update(0, now_ns)
        left_at_ns = now_ns
        reason = selector.reason_to_leave(0, now_ns)
        assert reason == LeaveReason.HOME_AVAILABLE
        selector.disconnected(reason, now_ns)
        name, wait_ns = selector.choose_next(now_ns)
        assert name == "h0"
        now_ns += wait_ns
        selector.connected(now_ns)
        selector.record_update(60 * term_ns, now_ns)  # its state is a minute old
        while not (reason := selector.reason_to_leave(60 * term_ns, now_ns)):
            now_ns += 200 * NS_PER_MS  # the agent's tick interval
        selector.disconnected(reason, now_ns)
        name, wait_ns = selector.choose_next(now_ns)
        assert name == "n0" and now_ns + wait_ns - left_at_ns < timings.disconnect_grace_ns
    # A proxy that left a stale observer is not half-open: it tolerates the usual staleness.
    selector.connected(now_ns)
    selector.record_update(60 * term_ns, now_ns)
    selector.disconnected(LeaveReason.HOME_AVAILABLE, now_ns)
    selector.choose_next(now_ns)
    selector.connected(now_ns)
    assert selector.reason_to_leave(60 * term_ns, now_ns) is None


def test_proxies_of_a_returning_region_connect_at_random_times() -> None:
    """1,700 proxies reconnect to their six observers, which were unreachable for an hour."""
    names, available_at_ns = [f"o{i}" for i in range(6)], 3_600_000 * NS_PER_MS
    connected_after_ns: list[int] = []
    connections: dict[str, int] = dict.fromkeys(names, 0)
    for seed in range(1700):
        selector = ObserverSelector(random.Random(seed))
        zone = seed % 3
        home = [name for i, name in enumerate(names) if i % 3 == zone]
        selector.add_endpoints(home, [name for name in names if name not in home])
        now_ns = available_at_ns - 60_000 * NS_PER_MS  # its backoff has reached the limit by then
        while True:
            name, wait_ns = selector.choose_next(now_ns)
            now_ns += max(wait_ns, NS_PER_MS)
            if now_ns >= available_at_ns:
                break
            selector.disconnected("not reached", now_ns)
        connected_after_ns.append(now_ns - available_at_ns)
        connections[name] += 1
    tenths_of_a_second = [at_ns // (100 * NS_PER_MS) for at_ns in connected_after_ns]
    assert max(tenths_of_a_second.count(tenth) for tenth in set(tenths_of_a_second)) < 1700 / 4, (
        "connections of 1,700 proxies within a tenth of a second"
    )
    assert max(connected_after_ns) < 10_000 * NS_PER_MS and max(connections.values()) < 1700 / 3, (
        "all connect within 10 s, spread over the observers"
    )
