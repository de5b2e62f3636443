"""Output of `mothstall zones`: the plan, its evidence, and the effect of an override.

The keys are part of the command's output, which scripts read.
"""

from __future__ import annotations

import math
from typing import Any

from mothstall.fleet.failover.capacity import measured_capacity, zone_capacity
from mothstall.fleet.failover.plan import FailoverPlan, OperatorOverrides
from mothstall.fleet.failover.planner import PlanDecision
from mothstall.fleet.failover.policy import FailoverPolicy
from mothstall.fleet.failover.zone_evidence import ZoneEvidence
from mothstall.store.state.rows import Lease

# Shown in place of an unknown capacity.
UNKNOWN = "-"


def describe_overrides(overrides: OperatorOverrides) -> str:
    """Return the operators' overrides in one line."""
    parts = [
        f"{fraction:.0%} away from {zone}"
        for zone, fraction in sorted(overrides.evacuated_fractions.items())
    ]
    if overrides.hold_ms:
        parts.append(f"hold for {overrides.hold_ms / 1000:g} s")
    return "; ".join(parts) or "nothing is asked for any more"


def describe_effect(
    evidence: ZoneEvidence, plan: FailoverPlan, decision: PlanDecision
) -> dict[str, Any]:
    """Return the load of each zone by the current plan and by the next one."""
    load_now = _zone_loads(evidence, plan)
    load_then = _zone_loads(evidence, decision.plan)
    overflow_rate = sum(
        evidence.request_rates.get(origin, 0.0) * fraction
        for origin, fraction in decision.plan.overflow_fractions.items()
    )
    return {
        "zones": [
            {
                "zone": zone,
                "load_now": round(load_now.get(zone, 0.0), 1),
                "load_then": round(load_then.get(zone, 0.0), 1),
                "bears": decision.plan.capacities.get(zone, plan.capacities.get(zone, UNKNOWN)),
            }
            for zone in sorted({*load_now, *load_then})
        ],
        "turned_away_per_s": round(overflow_rate, 1),
        "refused": decision.rejected_reason,
    }


def describe_state(
    evidence: ZoneEvidence,
    plan: FailoverPlan,
    overrides: OperatorOverrides,
    policy: FailoverPolicy,
    lease: Lease | None,
) -> dict[str, Any]:
    """Return the plan in force, the proxy that makes it, and the measurements of each zone."""
    capacity_per_weight = measured_capacity(evidence, plan, 0)
    return {
        "plan": plan.number,
        "decided_by": lease.owner.partition("#")[0] if lease else "nobody",
        "token": lease.token if lease else 0,
        "orders": describe_overrides(overrides),
        "held_s": plan.hold_remaining_ms / 1000,
        "reports": sum(evidence.proxy_counts.values()),
        "why": list(plan.reasons),
        "zones": [
            _describe_zone(
                zone, evidence, plan, zone_capacity(zone, evidence, capacity_per_weight, policy)
            )
            for zone in evidence.zones
        ],
    }


def _describe_zone(
    zone: str, evidence: ZoneEvidence, plan: FailoverPlan, capacity: float
) -> dict[str, Any]:
    unhealthy_fractions = {
        origin: round(targets[zone].unhealthy_fraction, 2)
        for origin, targets in evidence.assessments.items()
        if zone in targets
    }
    weights = {target: round(x, 3) for target, x in plan.weights.get(zone, {}).items()}
    return {
        "zone": zone,
        "proxies": evidence.proxy_counts.get(zone, 0),
        "asked_per_s": round(evidence.request_rates.get(zone, 0.0), 1),
        "warm": round(evidence.warm_weights.get(zone, 0.0), 2),
        "bears": round(capacity, 1) if math.isfinite(capacity) else UNKNOWN,
        "ill": unhealthy_fractions,
        "goes_to": weights or "free",
        "stays": round(plan.overflow_fractions.get(zone, 0.0), 3),
        "on_plan": round(evidence.on_plan_fractions.get(zone, 0.0), 2),
    }


def _zone_loads(evidence: ZoneEvidence, plan: FailoverPlan) -> dict[str, float]:
    """Return the requests a second at each zone by the plan, or by the baseline."""
    loads: dict[str, float] = {}
    for origin, request_rate in evidence.request_rates.items():
        baseline = plan.baseline_weights.get(origin, {origin: 1.0})
        for zone, weight in (plan.weights.get(origin) or baseline).items():
            loads[zone] = loads.get(zone, 0.0) + request_rate * weight
    return loads
