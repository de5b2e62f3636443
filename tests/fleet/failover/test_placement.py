"""Placement of a lost zone's traffic: near zones first, within their capacity."""

from __future__ import annotations

import pytest

from mothstall.fleet.failover.placement import PlacementInput, place_traffic
from mothstall.fleet.failover.plan import OperatorOverrides, ZonePairState, pair_key
from mothstall.fleet.failover.policy import FailoverPolicy
from mothstall.fleet.failover.zone_evidence import ZoneAssessment, ZoneEvidence
from tests.fleet.failover.builders import (
    NEARBY_REGIONS,
    NORMAL_PLAN,
    REGIONS,
    make_fleet_reports,
    make_plan,
    outcomes_with_lost_zone,
)

# Unless a test says otherwise, each zone gets 200 requests a second and has a warm weight of 20.


def policy_of(capacity_per_weight: float, is_capacity_limited: bool = True) -> FailoverPolicy:
    return FailoverPolicy(
        reserve_fraction=0.1,
        regions=REGIONS,
        nearby_regions=NEARBY_REGIONS,
        capacity_per_weight=capacity_per_weight,
        is_capacity_limited=is_capacity_limited,
    )


def test_traffic_overflows_where_no_zone_has_free_capacity() -> None:
    plan = make_plan(make_fleet_reports(outcomes_with_lost_zone("a")), NORMAL_PLAN, policy_of(10.0))
    assert plan.weights["a"].get("a", 0.0) == 0.0
    assert plan.overflow_fractions["a"] == pytest.approx(1.0)


def test_traffic_fills_the_own_region_first_and_nearby_regions_next() -> None:
    # Each zone can serve 300 requests a second and is used up to 270: it takes 70 more.
    plan = make_plan(make_fleet_reports(outcomes_with_lost_zone("a")), NORMAL_PLAN, policy_of(15.0))
    assert plan.weights["a"] == pytest.approx({"b": 0.35, "c": 0.35})
    assert plan.overflow_fractions["a"] == pytest.approx(0.3)
    assert plan.planned_load["b"] <= 270 + 1e-6


def test_traffic_goes_no_further_than_needed() -> None:
    plan = make_plan(make_fleet_reports(outcomes_with_lost_zone("a")), NORMAL_PLAN, policy_of(30.0))
    assert plan.weights == {"a": pytest.approx({"b": 1.0})}


def test_without_the_limit_of_capacity_the_nearest_zone_is_overloaded() -> None:
    policy = policy_of(10.0, is_capacity_limited=False)
    plan = make_plan(make_fleet_reports(outcomes_with_lost_zone("a")), NORMAL_PLAN, policy)
    assert plan.planned_load["b"] > 2 * 200 - 1


def test_traffic_that_fits_nowhere_overloads_no_other_zone() -> None:
    policy = FailoverPolicy(capacity_per_weight=200 / 0.95 / 20.0)  # all zones at 0.95 of capacity
    plan = make_plan(make_fleet_reports(outcomes_with_lost_zone("a")), NORMAL_PLAN, policy)
    assert max(plan.planned_load["b"], plan.planned_load["c"]) <= 200 + 1e-6
    assert plan.overflow_fractions["a"] == pytest.approx(1)


def test_a_zone_in_warm_up_gets_at_most_what_its_warm_backends_serve() -> None:
    warm_weights = {"a": 20.0, "b": 2.0, "c": 20.0}
    reports = make_fleet_reports(outcomes_with_lost_zone("a"), warm_weights=warm_weights)
    plan = make_plan(reports, NORMAL_PLAN, FailoverPolicy(capacity_per_weight=30.0))
    assert plan.planned_load["b"] <= 60.0 + 1e-6
    assert plan.weights["b"]["b"] == pytest.approx(0.3)


def test_two_origins_share_the_capacity_that_overflow_returns_to() -> None:
    """Guards against returned overflow beyond the capacity of an unhealthy zone.

    The overflow of each of two origins used all of the zone's free capacity, and was not added to
    the planned load. So a zone that can serve 150 requests a second, and had 50, was planned for 50
    and got 200: `planned_load` in the plan and the sum of its weights differed by 150.
    """
    pairs = {pair_key(origin, "c"): ZonePairState(0.25, 0, 0) for origin in ("a", "b")}
    mostly_good = {"c": ZoneAssessment(attempts=50.0, bad_attempts=10.0)}
    evidence = ZoneEvidence(
        request_rates={"a": 100.0, "b": 100.0},
        assessments={"a": mostly_good, "b": mostly_good},
    )
    inputs = PlacementInput(
        evidence=evidence,
        baseline={"a": {"c": 1.0}, "b": {"c": 1.0}},
        pair_states=pairs,
        capacities={"a": 0.0, "b": 0.0, "c": 150.0},
        policy=FailoverPolicy(),
        overrides=OperatorOverrides(),
        zones=("a", "b", "c"),
    )

    placement = place_traffic(inputs)

    sent_to_c = sum(placement.weights[origin]["c"] * 100.0 for origin in ("a", "b"))
    assert sent_to_c == pytest.approx(150.0)
    assert placement.planned_load["c"] == pytest.approx(150.0)
    assert placement.overflow_fractions == pytest.approx({"a": 0.25, "b": 0.25})
