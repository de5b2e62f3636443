"""Tests of turns by weight, declared costs, load probes, partial failures and inherited state."""

from __future__ import annotations

import math
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mothstall import interface as io
from mothstall.interface import NS, AttemptResult, Effect, UpdateScope
from mothstall.policy.load_probes import MAX_PROBE_POINTS, REPORT_MAX_AGE_NS
from mothstall.settings import SettingsError, parse
from tests.policy.harness import MS, Driver, entry, request_class
from tests.test_wire import SETUP

PURE = (request_class(),)
PROBED: dict[str, Any] = {
    "load_by_probes": True,
    "load_names": ("qps", "queue"),
    "probe_fee": 0.05,
    "proxies": 4,
}


def weighted_entries(*weights: float) -> list[io.Endpoint]:
    return [io.Endpoint(i + 1, 0, 0, 0, io.Health.READY, w, 0) for i, w in enumerate(weights)]


def serve_counts(driver: Driver, count: int) -> dict[int, int]:
    served = dict.fromkeys(driver.balancer.endpoints.by_id, 0)
    for _ in range(count):
        served[driver.serve()] += 1
    return served


@pytest.mark.parametrize(
    "other_weight", [1.0, 3.0, 0.0, -1.0, math.nan, math.inf, -math.inf, 1e-30, 1e38]
)
def test_turns_are_proportional_to_listed_weights(other_weight: float) -> None:
    # Guards against small backends that get as many requests as large ones.
    driver = Driver(entries=weighted_entries(1, other_weight, 1, other_weight), classes=PURE)
    served = serve_counts(driver, 42)  # within the first slot: no backend moves
    group = driver.balancer.groups.by_side[1]  # the group of the only class
    total_weight = sum(b.weight for b in group)
    assert sum(served.values()) == 42 and len(group) == 4
    if other_weight <= 3.0 or math.isnan(other_weight):  # an invalid weight counts as 1
        assert all(
            served[b.id] == pytest.approx(42 * b.weight / total_weight, abs=2) for b in group
        )
        assert other_weight > 0 or total_weight == 4.0


def measured_congestion(declared: bool) -> float:
    """Return the measured congestion if the latency of each request equals its cost."""
    expensive_class = io.RequestClass(
        200 * MS, 2 * NS, 1.0, 0.3, Effect.IDEMPOTENT, io.KeyScope.ALL, NS, False
    )
    driver = Driver(4, classes=(expensive_class,))
    for i in range(300):
        work = (10, 10, 150)[i % 3] * MS
        driver.serve(latency=work, cost=work if declared else 0)
    return driver.balancer.latency.congestion


def test_expensive_requests_with_declared_cost_are_not_congestion() -> None:
    assert measured_congestion(declared=True) < 0.05 < 0.3 < measured_congestion(declared=False)
    driver = Driver(4, classes=PURE)
    for i in range(100):  # the expensive requests are faster: the slope stays at 0
        driver.serve(latency=(60, 20)[i % 2] * MS, cost=(20, 60)[i % 2] * MS)
    heavy = driver.balancer.requests.open[driver.arrive(cost=60 * MS)[0]]
    assert driver.balancer.latency.latency_at_mean_cost(heavy, 20 * MS) == 20 * MS


@given(st.lists(st.tuples(st.integers(0, 2**64 - 1), st.integers(1, 2 * NS)), max_size=30))
def test_any_declared_costs_leave_a_usable_capacity(rows: list[tuple[int, int]]) -> None:
    driver = Driver(4, classes=PURE)
    for cost, latency in rows:
        rid, acts = driver.arrive(cost=cost)
        for act in acts:
            if isinstance(act, io.SendAttempt):
                driver.now += latency
                driver.end(rid, act.backend, latency=latency)
    assert driver.balancer.limits.capacity >= 1 and math.isfinite(driver.balancer.limits.capacity)


def test_requests_that_wait_on_other_services_are_not_congestion() -> None:
    # Guards against a capacity that shrinks at low load: with many attempts in flight, no baseline
    # was ever measured.
    driver = Driver(4, classes=PURE, proxies=4, tenants=(io.Tenant(1.0, 100.0),))
    driver.balancer.limits.capacity = 12.0
    in_flight = [driver.send(cost=50 * MS) for _ in range(6)]
    for _ in range(80):
        driver.now += 300 * MS  # over 0.45 of the objective
        driver.balancer.limits.capacity = driver.balancer.limits.spare_capacity = 12.0
        driver.end(*in_flight.pop(0), latency=300 * MS)
        spare = driver.balancer.limits.spare_capacity
        in_flight.append(driver.send(cost=50 * MS))
    assert (
        driver.balancer.latency.baselines[0].lowest_ns == 0.0
        and driver.balancer.latency.congestion < 0.05
        and spare > 12.0
    )


def probed_backends(driver: Driver) -> list[int]:
    return [a.backend for _, a in driver.log if isinstance(a, io.ProbeLoad)]


def report_probe(
    driver: Driver, backend: int, *load: float, result: AttemptResult = AttemptResult.OK
) -> None:
    driver.feed(io.LoadProbeEnded(backend, result, MS, load))


def test_probes_are_sent_only_if_load_is_reported_to_them_and_within_their_budget() -> None:
    driver = Driver(8, classes=PURE, **PROBED)
    for _ in range(200):
        driver.serve()
        for backend in probed_backends(driver)[-2:]:
            report_probe(driver, backend, 5.0, 0.0)
    assert 20 <= len(probed_backends(driver)) <= 200 * MAX_PROBE_POINTS / 0.05 + 2
    for off in ({"load_by_probes": False}, {"may_probe": False}):
        silent = Driver(8, classes=PURE, **{**PROBED, **off})
        for _ in range(50):
            silent.serve()
        assert probed_backends(silent) == []


def test_a_backend_with_a_long_queue_misses_turns_until_the_report_expires() -> None:
    driver = Driver(4, classes=PURE, **PROBED)
    for i in range(1, 5):
        report_probe(driver, i, 5.0, 40.0 if i == 2 else 0.0)
    assert 2 not in {driver.serve(latency=MS) for _ in range(12)}
    driver.wait(REPORT_MAX_AGE_NS)
    assert 2 in {driver.serve(latency=MS) for _ in range(8)}


@pytest.mark.parametrize(
    "load",
    [(), (5.0,), (5.0, -3.0), (5.0, math.nan), (5.0, math.inf), (5.0, 1e30), (1.0, 2.0, 3.0)],
)
def test_unusable_load_reports_are_ignored(load: tuple[float, ...]) -> None:
    driver = Driver(4, classes=PURE, **PROBED)
    report_probe(driver, 2, *load)
    report_probe(driver, 99, 5.0, 40.0)  # not listed
    report_probe(driver, 3, 5.0, 40.0, result=AttemptResult.TIMEOUT)
    assert {2, 3} <= {driver.serve(latency=MS) for _ in range(8)}


def test_a_backend_that_fails_two_requests_of_three_is_ejected() -> None:
    # Guards against a failing backend that stays in rotation: each success reset its failure score.
    driver = Driver(4, classes=PURE, max_attempts=1)
    requests_to_failing = 0
    while (
        requests_to_failing < 8 and not driver.balancer.endpoints.by_id[2].outlier.ejected_until_ns
    ):
        rid, backend = driver.send()
        driver.now += 20 * MS
        requests_to_failing += backend == 2
        driver.end(
            rid,
            backend,
            AttemptResult.ERROR if backend == 2 and requests_to_failing % 3 else AttemptResult.OK,
        )
    assert driver.balancer.endpoints.by_id[2].outlier.ejected_until_ns


def test_probe_settings_are_parsed_and_checked() -> None:
    lines = [x for x in SETUP.splitlines() if not x.startswith(("telemetry.source", "fees.probe"))]
    bare = parse("\n".join(lines))
    assert (bare.load_by_probes, bare.probe_fee) == (False, 0.0)
    probed = parse("\n".join([*lines, "telemetry.source=probe", "fees.probe=0.05"]))
    assert (probed.load_by_probes, probed.probe_fee) == (True, 0.05)
    for line in (
        "telemetry.source=somewhere",
        "fees.probe=-1",
        "fees.probe=nan",
        "fees.probe=many",
    ):
        with pytest.raises(SettingsError, match=line.partition("=")[0]):
            parse("\n".join([*lines, line]))


def test_a_new_process_rejects_nothing_and_overloads_no_warming_backend() -> None:
    """Inherited state applies to backends of equal id and start; baselines need equal classes."""
    old = Driver(20, classes=PURE, proxies=20)
    for _ in range(200):
        old.serve()
    for b in old.balancer.endpoints.by_id.values():
        b.outlier.failure_score = 0.5
    state = old.balancer.export_state()
    state.baselines = [*state.baselines, [1.0, 1.0, 60.0]]  # one class too many: ignored
    rows = [entry(i, started=0) for i in range(1, 11)] + [
        entry(i, started=old.now) for i in range(11, 31)
    ]
    new = Driver(entries=rows, classes=PURE, proxies=20)
    new.now = old.now
    new.feed(io.EndpointUpdate(UpdateScope.FULL, 2, rows), state)
    assert (
        len(new.balancer.latency.baselines) == 1
        and new.balancer.latency.usual_ns == state.usual_latency_ns
    )
    scores = {k.backend: k.failure_score for k in state.backends}
    assert all(
        new.balancer.endpoints.by_id[i].outlier.failure_score == scores[i] for i in range(1, 11)
    )
    assert not any(
        new.balancer.endpoints.by_id[i].outlier.failure_score for i in range(11, 21)
    )  # backends that have restarted under the same ids
    sent_to_warming: list[int] = []
    for _ in range(150):  # three seconds
        rid, acts = new.arrive()
        assert not any(isinstance(a, io.Reject | io.FailRequest) for a in acts)
        for act in acts:
            if isinstance(act, io.SendAttempt):
                sent_to_warming += [act.backend] * (act.backend > 10)
                new.now += 20 * MS
                new.end(rid, act.backend)
    # At most the overload multiple of a warm backend's rate, times the warmth after three seconds.
    warm = 150 / 3 / len(new.balancer.groups.members)
    assert (
        max((sent_to_warming.count(b) for b in sent_to_warming), default=0)
        <= 3 * 3.0 * warm * 0.25 + 1
    )


def test_spare_capacity_grows_fast_after_the_first_fast_responses() -> None:
    # Guards against an idle fleet that rejects requests beyond quota in its first ten seconds.
    driver = Driver(12, classes=PURE, proxies=12, tenants=(io.Tenant(1.0, 100.0),))
    rid, backend = driver.send()
    driver.balancer.limits.spare_capacity = 1.0
    driver.now += 20 * MS
    driver.end(rid, backend)
    assert driver.balancer.limits.spare_capacity == 2.0


def test_a_slower_machine_kind_keeps_its_turns() -> None:
    # Guards against uneven turns in a mixed fleet: the usual latency of older machines counted as
    # slowness.
    driver = Driver(
        entries=[io.Endpoint(i, 0, i % 2, 0, io.Health.READY, 1.0, 0) for i in range(1, 9)],
        proxies=8,
    )
    for _ in range(300):
        rid, backend = driver.send()
        latency = (20, 40)[backend % 2] * MS
        driver.now += latency
        driver.end(rid, backend, latency=latency)
    kinds = driver.balancer.latency.kind_ratios
    assert kinds[1] > 1.3 * kinds[0]
    assert all(b.slowness < 1.15 for b in driver.balancer.groups.members)
