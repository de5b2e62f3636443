"""Assessment of zones by reports: their health, isolated zones, and false reports."""

from __future__ import annotations

from mothstall.fleet.failover.assessment import assess_reports
from mothstall.fleet.failover.policy import FailoverPolicy
from mothstall.fleet.failover.reports import OutcomeCounts
from tests.fleet.failover.builders import (
    AMPLE_POLICY,
    HEALTHY,
    LOCAL_TRAFFIC,
    NORMAL_PLAN,
    ZONES,
    Outcomes,
    make_fleet_reports,
    make_plan,
    make_plans,
    make_report,
    own_weight,
)


def test_a_zone_that_one_other_finds_unhealthy_is_unhealthy_for_that_one_only() -> None:
    outcomes: dict[str, Outcomes] = {
        "a": {"a": HEALTHY, "b": OutcomeCounts(failed=25)},
        "b": {"b": HEALTHY},
        "c": {"c": HEALTHY, "b": HEALTHY},
    }
    evidence = assess_reports(make_fleet_reports(outcomes), 0)
    assert evidence.unhealthy_fraction("a", "b") > 0.9
    assert evidence.unhealthy_fraction("c", "b") == 0.0
    assert evidence.unhealthy_fraction("b", "b") == 0.0


def test_a_zone_that_two_others_find_unhealthy_is_unhealthy_for_all_but_itself() -> None:
    failing = OutcomeCounts(failed=25)
    outcomes: dict[str, Outcomes] = {
        "a": {"a": HEALTHY, "b": failing},
        "b": {"b": HEALTHY},
        "c": {"c": HEALTHY, "b": failing},
    }
    evidence = assess_reports(make_fleet_reports(outcomes), 0)
    assert evidence.unhealthy_fraction("b", "b") == 0.0
    assert evidence.global_unhealthy_fraction("b") > 0.9


def test_a_zone_that_finds_all_others_unhealthy_is_isolated() -> None:
    unreachable = OutcomeCounts(connect_failed=20)
    outcomes: dict[str, Outcomes] = {
        "a": {"a": HEALTHY, "b": unreachable, "c": unreachable},
        "b": {"b": HEALTHY, "a": unreachable, "c": HEALTHY},
        "c": {"c": HEALTHY},
    }
    evidence = assess_reports(make_fleet_reports(outcomes), 0)
    assert evidence.isolated_zones == {"a"}
    assert evidence.unhealthy_fraction("c", "b") == 0.0
    assert evidence.unhealthy_fraction("a", "a") == 0.0


def test_late_answers_in_all_zones_alike_move_no_traffic() -> None:
    slow: dict[str, Outcomes] = {zone: {zone: OutcomeCounts(good=30, late=20)} for zone in ZONES}
    assert not make_plan(make_fleet_reports(slow), NORMAL_PLAN).weights


def test_a_fifth_of_late_answers_in_one_zone_moves_its_traffic_in_a_few_ticks() -> None:
    degraded = {**LOCAL_TRAFFIC, "a": {"a": OutcomeCounts(good=40, late=10)}}
    policy = FailoverPolicy(capacity_per_weight=30.0)
    plan = make_plans(degraded, NORMAL_PLAN, 4, policy)[-1]
    assert plan.weights["a"].get("a", 0.0) < 0.2


def test_false_reports_of_one_proxy_move_a_bounded_part_of_the_traffic() -> None:
    honest = make_fleet_reports(LOCAL_TRAFFIC, proxies_per_zone=9)
    for false in (OutcomeCounts(connect_failed=50), OutcomeCounts(connect_failed=9_000_000)):
        report = make_report("a-false", "a", {"a": false, "b": false, "c": false})
        plan = make_plan([*honest, report], NORMAL_PLAN, AMPLE_POLICY)
        moved = 1.0 - own_weight(plan, "a")
        assert moved <= 2.0 / 11.0 + 1e-6, "one of ten proxies counts twice the median at most"
        assert "b" not in plan.weights
        assert "c" not in plan.weights


def test_without_the_cap_one_false_report_decides_for_its_zone() -> None:
    honest = make_fleet_reports(LOCAL_TRAFFIC, proxies_per_zone=9)
    false = make_report("a-false", "a", {"a": OutcomeCounts(connect_failed=9_000_000)})
    evidence = assess_reports([*honest, false], 0, is_capped=False)
    assert evidence.assessments["a"]["a"].unhealthy_fraction > 0.5
