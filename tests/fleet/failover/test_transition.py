"""Transitions of proxies to a new plan, and fade-out of a plan without contact."""

from __future__ import annotations

import itertools

import pytest

from mothstall.fleet.failover.plan import FailoverPlan
from mothstall.fleet.failover.transition import PlanTransition

PLAN = FailoverPlan(7, {"a": {"a": 0.2, "b": 0.8}}, {})
EVACUATION = FailoverPlan(7, {"a": {"b": 1.0}}, {})
FREE = FailoverPlan(8, {}, {})


def make_transition(
    proxy: str = "p", *, is_immediate: bool = False, never_expires: bool = False
) -> PlanTransition:
    return PlanTransition(proxy, "a", 1000, 10_000, 10_000, is_immediate, never_expires)


def test_a_plan_that_is_not_newer_is_not_adopted() -> None:
    for i in range(200):
        transition = make_transition(f"p{i}")
        assert transition.adopt(PLAN, 0)
        assert not transition.adopt(FailoverPlan(6), 10)


def test_proxies_change_over_within_the_spread_and_not_at_one_instant() -> None:
    transitions = [make_transition(f"p{i}") for i in range(200)]
    for transition in transitions:
        transition.adopt(PLAN, 0)
    mean_strengths = [
        sum(transition.weights_at(now_ms, 0).strength for transition in transitions) / 200
        for now_ms in range(0, 1100, 100)
    ]
    assert mean_strengths == sorted(mean_strengths)
    assert mean_strengths[0] == 0.0
    assert mean_strengths[-1] == 1.0
    assert max(after - before for before, after in itertools.pairwise(mean_strengths)) < 0.25


def test_without_the_spread_all_proxies_change_over_at_one_instant() -> None:
    transitions = [make_transition(f"p{i}", is_immediate=True) for i in range(200)]
    for transition in transitions:
        transition.adopt(PLAN, 0)
    assert sum(transition.weights_at(0, 0).strength for transition in transitions) == 200.0


def test_weights_lose_strength_in_the_transition_to_free_routing() -> None:
    transition = make_transition("p0")
    transition.adopt(PLAN, 0)
    transition.adopt(FREE, 5000)
    weights = transition.weights_at(5500, 0)
    assert 0.0 <= weights.strength < 1.0
    assert weights.weights["b"] == pytest.approx(0.8)
    assert transition.weights_at(7000, 0).strength == 0.0
    assert transition.weights_at(7000, 0).plan_number == 8


def test_without_contact_a_plan_holds_then_fades() -> None:
    transition = make_transition()
    transition.adopt(EVACUATION, 0)
    assert transition.weights_at(5000, 10_000).strength == 1.0
    assert transition.weights_at(5000, 15_000).strength == pytest.approx(0.5)
    assert transition.weights_at(5000, 20_001).strength == 0.0
    assert transition.weights_at(5000, -1).strength == 0.0


def test_without_the_expiry_a_plan_holds_for_ever() -> None:
    transition = make_transition(never_expires=True)
    transition.adopt(EVACUATION, 0)
    assert transition.weights_at(5000, 10**6).strength == 1.0
