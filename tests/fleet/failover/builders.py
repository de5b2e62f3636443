"""Builders of reports and plans for the tests of failover."""

from __future__ import annotations

from collections.abc import Mapping

from mothstall.fleet.failover.assessment import assess_reports
from mothstall.fleet.failover.plan import FailoverPlan, OperatorOverrides
from mothstall.fleet.failover.planner import PlanDecision, next_plan
from mothstall.fleet.failover.policy import FailoverPolicy
from mothstall.fleet.failover.reports import OutcomeCounts, TrafficReport

Outcomes = Mapping[str, OutcomeCounts]

ZONES = ("a", "b", "c")
REGIONS = {"r1": ("a", "b"), "r2": ("c",)}
NEARBY_REGIONS = {"r1": ("r2",)}
POLICY = FailoverPolicy(
    reserve_fraction=0.1, regions=REGIONS, nearby_regions=NEARBY_REGIONS, capacity_per_weight=10.0
)
# Capacity limits no move.
AMPLE_POLICY = FailoverPolicy(capacity_per_weight=100.0)
HEALTHY = OutcomeCounts(good=50)
TICK_MS = 1000


def make_report(
    proxy: str,
    zone: str,
    outcomes: Outcomes,
    sequence_number: int = 1,
    plan_number: int = 0,
    warm_weights: Mapping[str, float] | None = None,
) -> TrafficReport:
    """Return a proxy's report of one second, with one class of requests."""
    if warm_weights is None:
        warm_weights = dict.fromkeys(ZONES, 20.0)
    return TrafficReport(
        proxy=proxy,
        zone=zone,
        sequence_number=sequence_number,
        interval_ms=1000,
        plan_number=plan_number,
        requests=sum(counts.attempts for counts in outcomes.values()),
        rejected=0,
        outcomes={target: {"x": counts} for target, counts in outcomes.items()},
        warm_weights=dict(warm_weights),
    )


def make_fleet_reports(
    outcomes: Mapping[str, Outcomes],
    proxies_per_zone: int = 4,
    plan_number: int = 0,
    warm_weights: Mapping[str, float] | None = None,
) -> list[TrafficReport]:
    """Return reports of several proxies in each zone, with the same outcomes for all of a zone."""
    return [
        make_report(f"{origin}{i}", origin, row, 1, plan_number, warm_weights)
        for origin, row in outcomes.items()
        for i in range(proxies_per_zone)
    ]


def decide(
    reports: list[TrafficReport],
    last: FailoverPlan,
    policy: FailoverPolicy = POLICY,
    overrides: OperatorOverrides | None = None,
    elapsed_ms: int = TICK_MS,
) -> PlanDecision:
    """Return the decision of the planner on these reports."""
    evidence = assess_reports(reports, last.number)
    return next_plan(evidence, last, policy, overrides or OperatorOverrides(), elapsed_ms)


def make_plan(
    reports: list[TrafficReport],
    last: FailoverPlan,
    policy: FailoverPolicy = POLICY,
    overrides: OperatorOverrides | None = None,
) -> FailoverPlan:
    """Return the next plan, which must not be rejected."""
    decision = decide(reports, last, policy, overrides)
    assert not decision.rejected_reason
    return decision.plan


def make_plans(
    outcomes: Mapping[str, Outcomes], plan: FailoverPlan, ticks: int, policy: FailoverPolicy
) -> list[FailoverPlan]:
    """Return the plans of successive ticks; all proxies follow the plan and report `outcomes`."""
    plans = []
    for _ in range(ticks):
        plan = make_plan(make_fleet_reports(outcomes, plan_number=plan.number), plan, policy)
        plans.append(plan)
    return plans


def own_weight(plan: FailoverPlan, zone: str) -> float:
    """Return the fraction of a zone's traffic that stays in it."""
    return plan.weights.get(zone, {zone: 1.0}).get(zone, 0.0)


def outcomes_with_lost_zone(zone: str) -> dict[str, Outcomes]:
    """Return the outcomes of normal operation, except that all connections to one zone fail."""
    return {**LOCAL_TRAFFIC, zone: {zone: OutcomeCounts(connect_failed=50)}}


# Normal operation: all traffic stays in its zone, and all attempts are good.
LOCAL_TRAFFIC: dict[str, Outcomes] = {zone: {zone: HEALTHY} for zone in ZONES}
NORMAL_PLAN = make_plan(make_fleet_reports(LOCAL_TRAFFIC), FailoverPlan())
