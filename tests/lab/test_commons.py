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

CUT = {
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
def test_a_virtual_fleet_shifts_and_returns(policy: str) -> None:
    s = scenario.from_tree(CUT, "cut")
    run = VirtualRun(s, policies.parse(policy), 3)
    ledger = run.play()
    assert run.failover is not None
    plans = run.failover.plans
    began = BASE_NS / NS + 6.0
    assert 0.0 <= commons.first_shift_s(plans, began) <= 3.0
    during = [plan for at, plan in plans if began <= at < began + 7.0]
    assert min(plan.weights.get("west", {"west": 1.0}).get("west", 0.0) for plan in during) < 0.1
    assert all(
        sum(plan.weights.get("west", {"west": 1.0}).values()) <= 1.0 + 1e-9 for plan in during
    )
    assert not plans[-1][1].weights, "the last plan must shift no traffic"
    assert not check_run(s, ledger).broken
    again = VirtualRun(s, policies.parse(policy), 3)
    assert again.play().digest() == ledger.digest(), "the same seed must give the same run"


ZONES = ("a", "b", "c")


def _said(
    rng: random.Random, name: str, zone: str, number: int, plan: FailoverPlan, ill: set[str]
) -> TrafficReport:
    rows: dict[str, dict[str, OutcomeCounts]] = {}
    parts = plan.weights.get(zone) or {zone: 1.0}
    for target, part in parts.items():
        sent = round(20 * part)
        bad = sent if target in ill else sum(rng.random() < 0.01 for _ in range(sent))
        rows[target] = {"x": OutcomeCounts(good=sent - bad, failed=bad)}
    return TrafficReport(
        name, zone, number, 1000, plan.number, 20, 0, rows, dict.fromkeys(ZONES, 10.0)
    )


@pytest.mark.parametrize("first", range(0, 200, 25))
def test_plans_by_seed_with_makers_and_words_that_fail_at_any_step(first: int) -> None:
    shifted = 0
    for seed in range(first, first + 25):
        rng = random.Random(seed)
        terms = FailoverPolicy(capacity_per_weight=rng.choice((6.5, 9.0, 20.0)))
        proxies = [(f"p{i}", ZONES[i % 3]) for i in range(9)]
        helms = {name: PlanTransition(name, zone, 1000, 5000, 5000) for name, zone in proxies}
        seen = {name: FailoverPlan() for name, _ in proxies}  # newest plan of each proxy
        stored, token, makers = FailoverPlan(), 1, [(1, ReportWindow(5000), FailoverPlan())]
        ill: set[str] = set()
        for second in range(40):
            now = second * 1000
            if rng.random() < 0.1:
                ill = {rng.choice(ZONES)} if rng.random() < 0.7 else set()
            # A new planner starts while the previous one may still be active.
            if rng.random() < 0.12:
                token += 1
                makers = [*makers[-1:], (token, ReportWindow(5000), stored)]
            for name, zone in proxies:
                report = _said(rng, name, zone, second + 1, seen[name], ill)
                for _, board, _ in makers:
                    if rng.random() > 0.15:
                        board.add(report, now)
            for at, (mine, board, last) in enumerate(makers):
                reports = board.current_reports(now)
                if not reports:
                    continue
                evidence = assess_reports(reports, last.number)
                done = next_plan(evidence, last, terms, OperatorOverrides(), 1000)
                makers[at] = (mine, board, done.plan)
                assert not plan_defect(done.plan)
                if not done.rejected_reason:
                    for zone in ZONES:
                        bears = terms.capacity_per_weight * evidence.warm_weights.get(zone, 0.0)
                        assert done.plan.planned_load.get(zone, 0.0) <= bears + 0.02, (
                            seed,
                            second,
                            zone,
                        )
                # The store rejects writes with an older fencing token; a write may also be lost.
                if done.has_changed and mine == token and rng.random() > 0.1:
                    before, stored = (
                        stored,
                        msgspec.msgpack.decode(
                            msgspec.msgpack.encode(done.plan), type=FailoverPlan
                        ),
                    )
                    assert stored.number >= before.number, (seed, second)
                    shifted += bool(stored.weights)
            for name, _ in proxies:
                if rng.random() > 0.2:
                    was = helms[name].plan_number
                    helms[name].adopt(stored, now)
                    assert helms[name].plan_number >= was
                    seen[name] = stored if stored.number >= seen[name].number else seen[name]
                course = helms[name].weights_at(now, 0)
                whole = sum(course.weights.values()) + course.overflow_fraction
                assert 0.0 <= course.strength <= 1.0 and (
                    not course.weights or whole == pytest.approx(1.0)
                )
    assert shifted > 20
