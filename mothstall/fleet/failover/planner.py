"""Computes the next failover plan from the evidence and the last plan. Pure.

For an origin zone, where traffic arrives, a plan gives weights: the fraction of the traffic that
each zone serves. An origin zone without weights routes freely, as in normal operation. See
docs/failover.md.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

import msgspec

from mothstall.fleet.failover.baseline import next_baseline_weights
from mothstall.fleet.failover.capacity import measured_capacity, zone_capacity
from mothstall.fleet.failover.placement import PlacementInput, place_traffic
from mothstall.fleet.failover.plan import FailoverPlan, OperatorOverrides, plan_defect
from mothstall.fleet.failover.plan_checks import concentration_defect, differs
from mothstall.fleet.failover.policy import FailoverPolicy
from mothstall.fleet.failover.recovery import next_pair_states
from mothstall.fleet.failover.reports import MAX_ZONES
from mothstall.fleet.failover.zone_evidence import ZoneEvidence

# `PlanDecision.rejected_reason` while an operator's hold keeps the last plan.
HELD = "held"
# Maximum reasons in a plan, so that it stays within `MAX_PLAN_BYTES`.
MAX_REASONS = 20
# Decimals of a stored capacity, in requests a second.
CAPACITY_DECIMALS = 1


@dataclass(slots=True, frozen=True)
class PlanDecision:
    """The result of one tick of the planner.

    Attributes:
        plan: The plan that the next tick starts from.
        has_changed: Whether `plan` differs enough from the last plan to be published.
        rejected_reason: The defect of a rejected new plan, or `HELD`; empty if there is neither.
            After a rejection `plan` is the last plan with the new measurements.
    """

    plan: FailoverPlan
    has_changed: bool
    rejected_reason: str = ""


def next_plan(
    evidence: ZoneEvidence,
    last: FailoverPlan,
    policy: FailoverPolicy,
    overrides: OperatorOverrides,
    elapsed_ms: int,
) -> PlanDecision:
    """Make the next plan. The same arguments give the same plan.

    Args:
        evidence: The assessment of the current reports.
        last: The last plan, which another proxy may have made.
        policy: The operator's settings.
        overrides: The operators' overrides.
        elapsed_ms: Milliseconds since the last tick.
    """
    hold_ms = _remaining_hold_ms(last, overrides, elapsed_ms)
    if hold_ms:
        held = msgspec.structs.replace(
            last, hold_remaining_ms=hold_ms, overrides_number=overrides.number
        )
        return PlanDecision(held, False, HELD)
    zones = sorted({*evidence.zones, *last.baseline_weights})[:MAX_ZONES]
    plan = _make_plan(evidence, last, policy, overrides, zones, elapsed_ms)
    defect = plan_defect(plan) or concentration_defect(plan, overrides, evidence, zones)
    if defect:
        return PlanDecision(_keep_last(last, plan), False, defect)
    if not differs(plan, last):
        return PlanDecision(msgspec.structs.replace(plan, number=last.number), False)
    return PlanDecision(plan, True)


def _remaining_hold_ms(last: FailoverPlan, overrides: OperatorOverrides, elapsed_ms: int) -> int:
    """Return the remaining milliseconds of an operator's hold; 0 if there is none."""
    if overrides.number > last.overrides_number:
        return overrides.hold_ms
    return max(0, last.hold_remaining_ms - elapsed_ms)


def _make_plan(
    evidence: ZoneEvidence,
    last: FailoverPlan,
    policy: FailoverPolicy,
    overrides: OperatorOverrides,
    zones: list[str],
    elapsed_ms: int,
) -> FailoverPlan:
    capacity_per_weight = measured_capacity(evidence, last, elapsed_ms)
    baseline = next_baseline_weights(evidence, last, zones)
    pairs = next_pair_states(evidence, last, baseline, policy, zones, elapsed_ms)
    capacities = {
        zone: zone_capacity(zone, evidence, capacity_per_weight, policy) for zone in zones
    }
    placement = place_traffic(
        PlacementInput(evidence, baseline, pairs.states, capacities, policy, overrides, zones)
    )
    reasons = [*pairs.reasons, *_other_reasons(evidence, overrides)]
    return FailoverPlan(
        number=last.number + 1,
        weights=placement.weights,
        overflow_fractions=placement.overflow_fractions,
        pair_states=pairs.states,
        baseline_weights=baseline,
        capacity_per_weight=capacity_per_weight,
        planned_load=placement.planned_load,
        capacities={
            zone: round(capacity, CAPACITY_DECIMALS)
            for zone, capacity in capacities.items()
            if math.isfinite(capacity)
        },
        reasons=tuple(reasons[:MAX_REASONS]),
        overrides_number=overrides.number,
    )


def _other_reasons(evidence: ZoneEvidence, overrides: OperatorOverrides) -> list[str]:
    """Return the reasons that come from overrides and from isolated zones."""
    evacuated = [
        f"{zone}: {fraction:.0%} shifted away by {overrides.operator}"
        for zone, fraction in sorted(overrides.evacuated_fractions.items())
    ]
    return evacuated + [f"{zone} is isolated" for zone in sorted(evidence.isolated_zones)]


def _keep_last(last: FailoverPlan, rejected: FailoverPlan) -> FailoverPlan:
    """Return the last plan with the measurements and pair states of the rejected one."""
    return msgspec.structs.replace(
        last,
        pair_states=rejected.pair_states,
        baseline_weights=rejected.baseline_weights,
        capacity_per_weight=rejected.capacity_per_weight,
        overrides_number=rejected.overrides_number,
    )
