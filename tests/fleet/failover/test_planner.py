"""The next plan: normal operation, overrides, rejected plans, and properties for any reports."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mothstall.fleet.failover.assessment import assess_reports
from mothstall.fleet.failover.placement import MIN_OVERFLOW_SUCCESS_FRACTION
from mothstall.fleet.failover.plan import FailoverPlan, OperatorOverrides, plan_defect
from mothstall.fleet.failover.planner import HELD, PlanDecision, next_plan
from mothstall.fleet.failover.policy import FailoverPolicy
from mothstall.fleet.failover.reports import OutcomeCounts, TrafficReport
from mothstall.fleet.failover.zone_evidence import ZoneEvidence
from tests.fleet.failover.builders import (
    AMPLE_POLICY,
    HEALTHY,
    LOCAL_TRAFFIC,
    NORMAL_PLAN,
    REGIONS,
    ZONES,
    Outcomes,
    decide,
    make_fleet_reports,
    make_plan,
    make_report,
    outcomes_with_lost_zone,
)


def test_routing_is_free_in_normal_operation() -> None:
    assert not NORMAL_PLAN.weights
    assert NORMAL_PLAN.baseline_weights["a"] == {"a": 1.0}
    assert not decide(make_fleet_reports(LOCAL_TRAFFIC), NORMAL_PLAN).has_changed


def shifted_plan() -> FailoverPlan:
    overrides = OperatorOverrides({"a": 0.3}, 0, 1, "ann")
    return make_plan(make_fleet_reports(LOCAL_TRAFFIC), NORMAL_PLAN, AMPLE_POLICY, overrides)


def decide_with_hold(plan: FailoverPlan, elapsed_ms: int = 1000) -> PlanDecision:
    overrides = OperatorOverrides({"a": 0.3}, 60_000, 2, "ann")
    return decide(
        make_fleet_reports(outcomes_with_lost_zone("b")), plan, AMPLE_POLICY, overrides, elapsed_ms
    )


def test_an_operator_shifts_a_fraction_of_a_zones_traffic() -> None:
    plan = shifted_plan()
    assert plan.weights["a"]["a"] == pytest.approx(0.7)
    assert plan.reasons == ("a: 30% shifted away by ann",)


def test_an_operators_hold_keeps_the_plan_for_its_duration() -> None:
    plan = shifted_plan()
    held = decide_with_hold(plan)
    assert held.rejected_reason == HELD == "held"
    assert held.plan.weights == plan.weights
    assert held.plan.hold_remaining_ms == 60_000
    later = decide_with_hold(held.plan, elapsed_ms=60_000)
    assert later.has_changed
    assert "b" in later.plan.weights


def test_a_plan_that_sends_all_to_one_zone_is_rejected() -> None:
    lost = OutcomeCounts(connect_failed=50)
    outcomes: dict[str, Outcomes] = {"a": {"a": lost}, "b": {"b": lost}, "c": {"c": HEALTHY}}
    policy = FailoverPolicy(capacity_per_weight=1000.0)
    decision = decide(make_fleet_reports(outcomes), NORMAL_PLAN, policy)
    assert "would send" in decision.rejected_reason
    assert decision.plan.weights == NORMAL_PLAN.weights
    assert not decision.has_changed


_COUNT = st.integers(0, 60)
_OUTCOMES = st.fixed_dictionaries(
    {
        zone: st.builds(
            OutcomeCounts, good=_COUNT, late=_COUNT, failed=_COUNT, connect_failed=_COUNT
        )
        for zone in ZONES
    }
)
_REPORTED = st.lists(st.tuples(st.sampled_from(ZONES), _OUTCOMES), max_size=9)


@given(_REPORTED, st.floats(0.0, 40.0), st.integers(0, 5))
def test_any_reports_give_a_plan_that_adds_up_and_fits_the_capacity(
    reported: list[tuple[str, dict[str, OutcomeCounts]]], capacity_per_weight: float, ticks: int
) -> None:
    reports = [make_report(f"p{i}", zone, outcomes) for i, (zone, outcomes) in enumerate(reported)]
    policy = FailoverPolicy(regions=REGIONS, capacity_per_weight=capacity_per_weight)
    plan = NORMAL_PLAN
    for _ in range(ticks):
        evidence = assess_reports(reports, plan.number)
        decision = decide_twice(reports, evidence, plan, policy)
        plan = decision.plan
        assert plan_defect(plan) == ""
        if not decision.rejected_reason:
            check_capacity(plan, evidence, capacity_per_weight)
            check_evacuated_pairs(plan, evidence)


def decide_twice(
    reports: list[TrafficReport],
    evidence: ZoneEvidence,
    plan: FailoverPlan,
    policy: FailoverPolicy,
) -> PlanDecision:
    decision = decide(reports, plan, policy)
    again = next_plan(evidence, plan, policy, OperatorOverrides(), 1000)
    assert decision == again, "the same arguments must give the same plan"
    return decision


def check_capacity(plan: FailoverPlan, evidence: ZoneEvidence, capacity_per_weight: float) -> None:
    if not capacity_per_weight:
        return
    for zone in ZONES:
        capacity = capacity_per_weight * evidence.warm_weights.get(zone, 0.0)
        assert plan.planned_load.get(zone, 0.0) <= capacity + 0.02


def check_evacuated_pairs(plan: FailoverPlan, evidence: ZoneEvidence) -> None:
    """Check that an evacuated zone keeps traffic only of origins for which it serves most of it."""
    for key, pair in plan.pair_states.items():
        origin, _, zone = key.partition(">")
        if pair.allowed_fraction == 0.0 and origin in plan.weights:
            weight = plan.weights[origin].get(zone, 0.0)
            success_fraction = evidence.success_fraction(origin, zone)
            assert weight == 0.0 or success_fraction >= MIN_OVERFLOW_SUCCESS_FRACTION
