"""The recovery ramp: its steps, the backoff after a failure, and discarded pair states."""

from __future__ import annotations

import itertools

import msgspec

from mothstall.fleet.failover.plan import FailoverPlan, ZonePairState, decode_plan
from mothstall.fleet.failover.policy import FailoverPolicy
from mothstall.fleet.failover.reports import OutcomeCounts
from tests.fleet.failover.builders import (
    AMPLE_POLICY,
    HEALTHY,
    LOCAL_TRAFFIC,
    NORMAL_PLAN,
    Outcomes,
    make_fleet_reports,
    make_plan,
    make_plans,
    outcomes_with_lost_zone,
    own_weight,
)

POLICY = FailoverPolicy(capacity_per_weight=100.0, forget_after_ms=5000)
# Traffic of zone a is served by zone b.
MOVED_TRAFFIC: dict[str, Outcomes] = {**LOCAL_TRAFFIC, "a": {"b": HEALTHY}}
# All attempts to zone a in the first step of its recovery ramp fail.
FAILED_RECOVERY: dict[str, Outcomes] = {
    **LOCAL_TRAFFIC,
    "a": {"b": HEALTHY, "a": OutcomeCounts(connect_failed=10)},
}


def plan_after_zone_loss() -> FailoverPlan:
    return make_plans(outcomes_with_lost_zone("a"), NORMAL_PLAN, 3, POLICY)[-1]


def ticks_until_recovery(plan: FailoverPlan) -> int:
    plans = make_plans(MOVED_TRAFFIC, plan, 60, POLICY)
    return next(i for i, later in enumerate(plans) if later.weights["a"].get("a", 0.0) > 0)


def test_traffic_returns_in_steps() -> None:
    healthy: dict[str, Outcomes] = {**LOCAL_TRAFFIC, "a": {"a": HEALTHY, "b": HEALTHY}}
    plans = make_plans(healthy, plan_after_zone_loss(), 14, POLICY)
    weights = [own_weight(plan, "a") for plan in plans]
    assert weights == sorted(weights)
    assert {0.05, 0.15, 0.4, 1.0} <= {round(weight, 3) for weight in weights}


def plan_after_failed_recoveries(count: int) -> tuple[FailoverPlan, list[int]]:
    """Return the plan after failed recovery ramps, and the ticks of wait before each of them."""
    plan = plan_after_zone_loss()
    waits = []
    for _ in range(count):
        wait = ticks_until_recovery(plan)
        waits.append(wait)
        plan = make_plans(MOVED_TRAFFIC, plan, wait + 1, POLICY)[-1]
        plan = make_plans(FAILED_RECOVERY, plan, 3, POLICY)[-1]
    return plan, waits


def test_a_recovery_ramp_that_fails_doubles_the_wait_before_the_next() -> None:
    _, waits = plan_after_failed_recoveries(3)
    assert waits[1] >= 2 * waits[0]
    assert waits[2] >= 1.8 * waits[1]


def test_without_the_backoff_a_recovery_ramp_starts_at_once() -> None:
    plan, _ = plan_after_failed_recoveries(3)
    policy = FailoverPolicy(capacity_per_weight=100.0, has_recovery_backoff=False)
    assert make_plans(MOVED_TRAFFIC, plan, 3, policy)[-1].weights["a"].get("a", 0.0) > 0


def test_a_new_lease_holder_continues_from_the_stored_plan() -> None:
    plan = make_plans(outcomes_with_lost_zone("a"), NORMAL_PLAN, 2, AMPLE_POLICY)[-1]
    stored = decode_plan(msgspec.msgpack.encode(plan))
    assert stored is not None
    assert stored == plan
    assert plan.pair_states["a>a"].allowed_fraction == 0.0
    later = make_plan(
        make_fleet_reports(MOVED_TRAFFIC, plan_number=plan.number), stored, AMPLE_POLICY
    )
    assert later.weights["a"].get("a", 0.0) == 0.0, "a new holder keeps the evacuation"


def test_the_state_of_a_pair_that_stays_healthy_is_discarded() -> None:
    states = {"a>a": ZonePairState(1.0, 3, 29_500)}
    plan = msgspec.structs.replace(NORMAL_PLAN, pair_states=states)
    assert make_plan(make_fleet_reports(LOCAL_TRAFFIC), plan).pair_states == {}


def test_more_failures_never_give_a_zone_more_traffic() -> None:
    def weight(failed: int) -> float:
        outcomes = {**LOCAL_TRAFFIC, "a": {"a": OutcomeCounts(good=50, failed=failed)}}
        policy = FailoverPolicy(capacity_per_weight=500.0)
        return own_weight(make_plan(make_fleet_reports(outcomes), NORMAL_PLAN, policy), "a")

    weights = [weight(failed) for failed in range(101)]
    for fewer, more in itertools.combinations(weights, 2):
        assert more <= fewer + 1e-9
