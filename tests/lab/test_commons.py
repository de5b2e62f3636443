"""Failover of a virtual fleet, and random failures of planners, reports and writes of plans."""

from __future__ import annotations

import random

import msgspec
import pytest

from mothstall.fleet.failover.assessment import assess_reports
from mothstall.fleet.failover.plan import FailoverPlan, OperatorOverrides, plan_defect
from mothstall.fleet.failover.planner import next_plan
from mothstall.fleet.failover.policy import FailoverPolicy
from mothstall.fleet.failover.report_window import ReportWindow
from mothstall.fleet.failover.reports import OutcomeCounts, TrafficReport
from mothstall.fleet.failover.transition import PlanTransition
from mothstall.interface import NS
from mothstall.lab import commons, policies, scenario
from mothstall.lab.judge import check_run
from mothstall.lab.virtual import BASE_NS, VirtualRun

ZONE_CUT = {
    "tries": "A zone's boxes are cut off from all proxies.",
    "seconds": 36.0,
    "zones": ["east", "west", "north"],
    "boxes": [{"count": 12}],
    "proxies": {"count": 6},
    "rules": {"cross_zone_fee": 0.05},
    "clients": {"fill": 0.5},
    "troubles": [
        {"kind": "cut", "at": "6s", "lasts": "7s", "zone": "west", "part": 1.0, "way": "both"}
    ],
}


@pytest.mark.parametrize("policy", ["plan", "truth"])
def test_virtual_fleet_shifts_traffic_and_recovers(policy: str) -> None:
    s = scenario.from_tree(ZONE_CUT, "cut")
    run = VirtualRun(s, policies.parse(policy), 3)
    ledger = run.play()
    assert run.failover is not None
    plans = run.failover.plans
    fault_s = BASE_NS / NS + 6.0
    assert 0.0 <= commons.first_shift_s(plans, fault_s) <= 3.0
    during = [plan for at, plan in plans if fault_s <= at < fault_s + 7.0]
    assert min(plan.weights.get("west", {"west": 1.0}).get("west", 0.0) for plan in during) < 0.1
    assert all(
        sum(plan.weights.get("west", {"west": 1.0}).values()) <= 1.0 + 1e-9 for plan in during
    )
    assert not plans[-1][1].weights, "the last plan must shift no traffic"
    assert not check_run(s, ledger).broken
    repeated_run = VirtualRun(s, policies.parse(policy), 3)
    assert repeated_run.play().digest() == ledger.digest(), "the same seed must give the same run"


ZONES = ("a", "b", "c")


def _traffic_report(
    rng: random.Random,
    name: str,
    zone: str,
    number: int,
    plan: FailoverPlan,
    failing_zones: set[str],
) -> TrafficReport:
    rows: dict[str, dict[str, OutcomeCounts]] = {}
    weights = plan.weights.get(zone) or {zone: 1.0}
    for target, weight in weights.items():
        sent = round(20 * weight)
        failed = sent if target in failing_zones else sum(rng.random() < 0.01 for _ in range(sent))
        rows[target] = {"x": OutcomeCounts(good=sent - failed, failed=failed)}
    return TrafficReport(
        name, zone, number, 1000, plan.number, 20, 0, rows, dict.fromkeys(ZONES, 10.0)
    )


@pytest.mark.parametrize("first", range(0, 200, 25))
def test_plans_stay_valid_when_planners_reports_and_writes_fail(first: int) -> None:
    shifted = 0
    for seed in range(first, first + 25):
        rng = random.Random(seed)
        policy = FailoverPolicy(capacity_per_weight=rng.choice((6.5, 9.0, 20.0)))
        proxies = [(f"p{i}", ZONES[i % 3]) for i in range(9)]
        transitions = {name: PlanTransition(name, zone, 1000, 5000, 5000) for name, zone in proxies}
        known_plans = {name: FailoverPlan() for name, _ in proxies}  # newest plan of each proxy
        stored, token, planners = FailoverPlan(), 1, [(1, ReportWindow(5000), FailoverPlan())]
        failing_zones: set[str] = set()
        for second in range(40):
            now = second * 1000
            if rng.random() < 0.1:
                failing_zones = {rng.choice(ZONES)} if rng.random() < 0.7 else set()
            # A new planner starts while the previous one may still be active.
            if rng.random() < 0.12:
                token += 1
                planners = [*planners[-1:], (token, ReportWindow(5000), stored)]
            for name, zone in proxies:
                report = _traffic_report(
                    rng, name, zone, second + 1, known_plans[name], failing_zones
                )
                for _, window, _ in planners:
                    if rng.random() > 0.15:
                        window.add(report, now)
            for index, (own_token, window, previous) in enumerate(planners):
                reports = window.current_reports(now)
                if not reports:
                    continue
                evidence = assess_reports(reports, previous.number)
                result = next_plan(evidence, previous, policy, OperatorOverrides(), 1000)
                planners[index] = (own_token, window, result.plan)
                assert not plan_defect(result.plan)
                if not result.rejected_reason:
                    for zone in ZONES:
                        capacity = policy.capacity_per_weight * evidence.warm_weights.get(zone, 0.0)
                        assert result.plan.planned_load.get(zone, 0.0) <= capacity + 0.02, (
                            seed,
                            second,
                            zone,
                        )
                # The store rejects writes with an older fencing token; a write may also be lost.
                if result.has_changed and own_token == token and rng.random() > 0.1:
                    before, stored = (
                        stored,
                        msgspec.msgpack.decode(
                            msgspec.msgpack.encode(result.plan), type=FailoverPlan
                        ),
                    )
                    assert stored.number >= before.number, (seed, second)
                    shifted += bool(stored.weights)
            for name, _ in proxies:
                if rng.random() > 0.2:
                    number_before = transitions[name].plan_number
                    transitions[name].adopt(stored, now)
                    assert transitions[name].plan_number >= number_before
                    known_plans[name] = (
                        stored if stored.number >= known_plans[name].number else known_plans[name]
                    )
                weights = transitions[name].weights_at(now, 0)
                total = sum(weights.weights.values()) + weights.overflow_fraction
                assert 0.0 <= weights.strength <= 1.0 and (
                    not weights.weights or total == pytest.approx(1.0)
                )
    assert shifted > 20
