"""Checks of a new plan: its concentration, and its difference from the last plan. Pure."""

from __future__ import annotations

from collections.abc import Sequence

from mothstall.fleet.failover.plan import MIN_WEIGHT_CHANGE, FailoverPlan, OperatorOverrides
from mothstall.fleet.failover.zone_evidence import ZoneEvidence

# Largest fraction of all traffic that a plan may put on one zone, if enough zones are usable.
MAX_ZONE_LOAD_FRACTION = 0.9
# A zone that has this fraction of all traffic in normal operation is exempt from that limit.
DOMINANT_ZONE_FRACTION = 0.6
# Number of usable zones from which the limit applies.
MIN_ZONES_TO_SPREAD = 3
# A smaller weight counts as zero.
MIN_WEIGHT = 0.002
# Weights also differ if their ratio is above this; the ratio of recovery steps is always above it.
MIN_WEIGHT_RATIO = 1.9


def concentration_defect(
    plan: FailoverPlan,
    overrides: OperatorOverrides,
    evidence: ZoneEvidence,
    zones: Sequence[str],
) -> str:
    """Return why a plan puts too much traffic on one zone; empty if it does not.

    Zones that operators evacuated do not count as usable.
    """
    total = sum(plan.planned_load.values())
    usable = [
        zone
        for zone in zones
        if evidence.warm_weights.get(zone, 0.0) > 0
        and overrides.evacuated_fractions.get(zone, 0.0) < 1.0
    ]
    if not plan.weights or len(usable) < MIN_ZONES_TO_SPREAD or total <= 0:
        return ""
    zone = max(plan.planned_load, key=lambda name: plan.planned_load[name])
    load = plan.planned_load[zone]
    usual_load = sum(
        evidence.request_rates.get(origin, 0.0) * row.get(zone, 0.0)
        for origin, row in plan.baseline_weights.items()
    )
    is_usual = usual_load >= DOMINANT_ZONE_FRACTION * total
    if load <= MAX_ZONE_LOAD_FRACTION * total or is_usual:
        return ""
    return f"it would send {load / total:.0%} of all to {zone}"


def differs(plan: FailoverPlan, last: FailoverPlan) -> bool:
    """Whether a plan differs enough from the last one to be published."""
    if set(plan.weights) != set(last.weights):
        return True
    for origin, row in plan.weights.items():
        last_row = last.weights[origin]
        if any(_differ(row.get(z, 0.0), last_row.get(z, 0.0)) for z in {*row, *last_row}):
            return True
        overflow = plan.overflow_fractions.get(origin, 0.0)
        if abs(overflow - last.overflow_fractions.get(origin, 0.0)) > MIN_WEIGHT_CHANGE:
            return True
    return False


def _differ(one: float, other: float) -> bool:
    """Whether two weights differ enough for a plan to be published.

    Guards against first steps of a recovery ramp that are never published, as they are small.
    """
    low = min(one, other)
    high = max(one, other)
    return high - low > MIN_WEIGHT_CHANGE or (high > MIN_WEIGHT and high > MIN_WEIGHT_RATIO * low)
