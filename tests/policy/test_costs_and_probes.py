"""Turns by weight, declared costs, requests that wait on other services, load probes, partial failures."""

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
from tests.policy.harness import MS, Drive, cls, entry
from tests.test_wire import SETUP

PURE = (cls(),)
PROBED: dict[str, Any] = {
    "load_by_probes": True,
    "load_names": ("qps", "queue"),
    "probe_fee": 0.05,
    "proxies": 4,
}


def weighed(*weights: float) -> list[io.Endpoint]:
    return [io.Endpoint(i + 1, 0, 0, 0, io.Health.READY, w, 0) for i, w in enumerate(weights)]


def turns(drive: Drive, count: int) -> dict[int, int]:
    served = dict.fromkeys(drive.balancer.endpoints.by_id, 0)
    for _ in range(count):
        served[drive.serve()] += 1
    return served


@pytest.mark.parametrize("odd", [1.0, 3.0, 0.0, -1.0, math.nan, math.inf, -math.inf, 1e-30, 1e38])
def test_turns_follow_the_listed_weights_and_stay_even(odd: float) -> None:
    # Guards against backends of half the size that get as many requests as the others.
    drive = Drive(entries=weighed(1, odd, 1, odd), classes=PURE)
    served = turns(drive, 42)  # within the first slot: no backend moves
    group = drive.balancer.groups.by_side[1]  # the group of the only class
    whole = sum(b.weight for b in group)
    assert sum(served.values()) == 42 and len(group) == 4
    if odd <= 3.0 or math.isnan(odd):  # an invalid weight counts as 1
        assert all(served[b.id] == pytest.approx(42 * b.weight / whole, abs=2) for b in group)
        assert odd > 0 or whole == 4.0


def loaded(told: bool) -> float:
    """Return the congestion measured for cheap and expensive requests whose latency equals their cost."""
    kind = io.RequestClass(
        200 * MS, 2 * NS, 1.0, 0.3, Effect.IDEMPOTENT, io.KeyScope.ALL, NS, False
    )
    drive = Drive(4, classes=(kind,))
    for i in range(300):
        work = (10, 10, 150)[i % 3] * MS
        drive.serve(latency=work, cost=work if told else 0)
    return drive.balancer.latency.congestion


def test_heavy_requests_whose_cost_is_told_are_no_crowd() -> None:
    assert loaded(told=True) < 0.05 < 0.3 < loaded(told=False)
    drive = Drive(4, classes=PURE)
    for i in range(100):  # declared costs contrary to latency: the slope stays at 0
        drive.serve(latency=(60, 20)[i % 2] * MS, cost=(20, 60)[i % 2] * MS)
    heavy = drive.balancer.requests.open[drive.ask(cost=60 * MS)[0]]
    assert drive.balancer.latency.latency_at_mean_cost(heavy, 20 * MS) == 20 * MS


@given(st.lists(st.tuples(st.integers(0, 2**64 - 1), st.integers(1, 2 * NS)), max_size=30))
def test_any_told_costs_leave_a_room_that_can_be_used(rows: list[tuple[int, int]]) -> None:
    drive = Drive(4, classes=PURE)
    for cost, latency in rows:
        rid, acts = drive.ask(cost=cost)
        for act in acts:
            if isinstance(act, io.SendAttempt):
                drive.now += latency
                drive.end(rid, act.backend, latency=latency)
    assert drive.balancer.limits.capacity >= 1 and math.isfinite(drive.balancer.limits.capacity)


def test_work_that_waits_on_others_is_calm_though_much_is_out() -> None:
    # Guards against a shrinking capacity at low load: with more attempts in flight than cores, no
    # baseline was ever measured.
    drive = Drive(4, classes=PURE, proxies=4, tenants=(io.Tenant(1.0, 100.0),))
    drive.balancer.limits.capacity = 12.0
    out = [drive.send(cost=50 * MS) for _ in range(6)]
    for _ in range(80):
        drive.now += 300 * MS  # over 0.45 of the objective
        drive.balancer.limits.capacity = drive.balancer.limits.spare_capacity = 12.0
        drive.end(*out.pop(0), latency=300 * MS)
        spare = drive.balancer.limits.spare_capacity
        out.append(drive.send(cost=50 * MS))
    assert (
        drive.balancer.latency.baselines[0].lowest_ns == 0.0
        and drive.balancer.latency.congestion < 0.05
        and spare > 12.0
    )


def probes(drive: Drive) -> list[int]:
    return [a.backend for _, a in drive.log if isinstance(a, io.ProbeLoad)]


def probed(
    drive: Drive, backend: int, *load: float, result: AttemptResult = AttemptResult.OK
) -> None:
    drive.feed(io.LoadProbeEnded(backend, result, MS, load))


def test_probes_go_where_load_is_told_to_them_alone_and_stay_within_their_points() -> None:
    drive = Drive(8, classes=PURE, **PROBED)
    for _ in range(200):
        drive.serve()
        for backend in probes(drive)[-2:]:
            probed(drive, backend, 5.0, 0.0)
    assert 20 <= len(probes(drive)) <= 200 * MAX_PROBE_POINTS / 0.05 + 2
    for off in ({"load_by_probes": False}, {"may_probe": False}):
        silent = Drive(8, classes=PURE, **{**PROBED, **off})
        for _ in range(50):
            silent.serve()
        assert probes(silent) == []


def test_a_backend_that_many_wait_at_misses_its_turn_until_the_word_is_old() -> None:
    drive = Drive(4, classes=PURE, **PROBED)
    for i in range(1, 5):
        probed(drive, i, 5.0, 40.0 if i == 2 else 0.0)
    assert 2 not in {drive.serve(latency=MS) for _ in range(12)}
    drive.wait(REPORT_MAX_AGE_NS)
    assert 2 in {drive.serve(latency=MS) for _ in range(8)}


@pytest.mark.parametrize(
    "load",
    [(), (5.0,), (5.0, -3.0), (5.0, math.nan), (5.0, math.inf), (5.0, 1e30), (1.0, 2.0, 3.0)],
)
def test_reports_that_cannot_be_used_tell_nothing(load: tuple[float, ...]) -> None:
    drive = Drive(4, classes=PURE, **PROBED)
    probed(drive, 2, *load)
    probed(drive, 99, 5.0, 40.0)  # not listed
    probed(drive, 3, 5.0, 40.0, result=AttemptResult.TIMEOUT)
    assert {2, 3} <= {drive.serve(latency=MS) for _ in range(8)}


def test_a_backend_that_fails_two_requests_of_three_is_ejected() -> None:
    # Guards against a backend with fast errors that stays in rotation: each success reset its score.
    drive = Drive(4, classes=PURE, max_attempts=1)
    met = 0
    while met < 8 and not drive.balancer.endpoints.by_id[2].outlier.ejected_until_ns:
        rid, backend = drive.send()
        drive.now += 20 * MS
        met += backend == 2
        drive.end(
            rid, backend, AttemptResult.ERROR if backend == 2 and met % 3 else AttemptResult.OK
        )
    assert drive.balancer.endpoints.by_id[2].outlier.ejected_until_ns


def test_settings_of_probes_are_read_and_checked() -> None:
    lines = [x for x in SETUP.splitlines() if not x.startswith(("telemetry.source", "fees.probe"))]
    bare = parse("\n".join(lines))
    assert (bare.load_by_probes, bare.probe_fee) == (False, 0.0)
    told = parse("\n".join([*lines, "telemetry.source=probe", "fees.probe=0.05"]))
    assert (told.load_by_probes, told.probe_fee) == (True, 0.05)
    for line in (
        "telemetry.source=somewhere",
        "fees.probe=-1",
        "fees.probe=nan",
        "fees.probe=many",
    ):
        with pytest.raises(SettingsError, match=line.partition("=")[0]):
            parse("\n".join([*lines, line]))


def test_the_first_seconds_after_the_switch_refuse_nobody_and_push_no_cold_backend() -> None:
    """State is inherited only where it matches: backends by id and start time, baselines by class."""
    old = Drive(20, classes=PURE, proxies=20)
    for _ in range(200):
        old.serve()
    for b in old.balancer.endpoints.by_id.values():
        b.outlier.failure_score = 0.5
    word = old.balancer.export_state()
    word.baselines = [*word.baselines, [1.0, 1.0, 60.0]]  # does not match: one class more
    rows = [entry(i, started=0) for i in range(1, 11)] + [
        entry(i, started=old.now) for i in range(11, 31)
    ]
    new = Drive(entries=rows, classes=PURE, proxies=20)
    new.now = old.now
    new.feed(io.EndpointUpdate(UpdateScope.FULL, 2, rows), word)
    assert (
        len(new.balancer.latency.baselines) == 1
        and new.balancer.latency.usual_ns == word.usual_latency_ns
    )
    fails = {k.backend: k.failure_score for k in word.backends}
    assert all(
        new.balancer.endpoints.by_id[i].outlier.failure_score == fails[i] for i in range(1, 11)
    )
    assert not any(
        new.balancer.endpoints.by_id[i].outlier.failure_score for i in range(11, 21)
    )  # the same ids, restarted
    cold: list[int] = []
    for _ in range(150):  # three seconds
        rid, acts = new.ask()
        assert not any(isinstance(a, io.Reject | io.FailRequest) for a in acts)
        for act in acts:
            if isinstance(act, io.SendAttempt):
                cold += [act.backend] * (act.backend > 10)
                new.now += 20 * MS
                new.end(rid, act.backend)
    # Below the overload multiple of a warm backend's rate at the warmth of the third second.
    warm = 150 / 3 / len(new.balancer.groups.members)
    assert max((cold.count(b) for b in cold), default=0) <= 3 * 3.0 * warm * 0.25 + 1


def test_spare_room_opens_with_the_first_quick_answers_where_proxies_are_many() -> None:
    # Guards against an idle fleet that rejects requests counted as beyond a quota for ten seconds.
    drive = Drive(12, classes=PURE, proxies=12, tenants=(io.Tenant(1.0, 100.0),))
    rid, backend = drive.send()
    drive.balancer.limits.spare_capacity = 1.0
    drive.now += 20 * MS
    drive.end(rid, backend)
    assert drive.balancer.limits.spare_capacity == 2.0


def test_a_kind_of_machine_that_is_slower_by_itself_keeps_its_turns() -> None:
    # Guards against uneven turns in a mixed fleet: older machines were treated as slow.
    drive = Drive(
        entries=[io.Endpoint(i, 0, i % 2, 0, io.Health.READY, 1.0, 0) for i in range(1, 9)],
        proxies=8,
    )
    for _ in range(300):
        rid, backend = drive.send()
        latency = (20, 40)[backend % 2] * MS
        drive.now += latency
        drive.end(rid, backend, latency=latency)
    kinds = drive.balancer.latency.kind_ratios
    assert kinds[1] > 1.3 * kinds[0]
    assert all(b.slowness < 1.15 for b in drive.balancer.groups.members)
