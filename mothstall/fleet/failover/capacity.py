"""How many requests a zone can serve. Pure."""

from __future__ import annotations

import math
from collections.abc import Mapping

from mothstall.fleet.failover.plan import FailoverPlan
from mothstall.fleet.failover.policy import FailoverPolicy
from mothstall.fleet.failover.zone_evidence import ZoneEvidence

# Without reported utilization, a zone's capacity is this multiple of its highest served rate.
CAPACITY_GROWTH_FACTOR = 1.25
# Lower utilization is not used to estimate a zone's capacity.
MIN_UTILIZATION = 0.2
# Weight of one tick in the capacity estimated from utilization; averages noise over some ticks.
CAPACITY_SMOOTHING_GAIN = 0.2
# Fraction by which the highest served rate decays in a second: by half in 23 minutes.
CAPACITY_DECAY_PER_S = 0.0005
# Fraction of good attempts from which a rate counts as served.
MIN_SUCCESS_FRACTION = 0.9
# Decimals of a stored capacity per weight.
CAPACITY_DECIMALS = 4


def measured_capacity(
    evidence: ZoneEvidence, last: FailoverPlan, elapsed_ms: int
) -> dict[str, float]:
    """Return the requests a second that each zone serves for one unit of warm backend weight.

    Args:
        evidence: The assessment of the current reports.
        last: The last plan, whose measured capacities are updated.
        elapsed_ms: Milliseconds since the last tick.
    """
    measured = dict(last.capacity_per_weight)
    for zone, warm_weight in evidence.warm_weights.items():
        rate = sum(targets.get(zone, 0.0) for targets in evidence.attempt_rates.values())
        if warm_weight <= 0 or rate <= 0:
            continue
        utilization = evidence.utilization.get(zone, 0.0)
        if utilization >= MIN_UTILIZATION:
            estimate = rate / utilization / warm_weight
            previous = measured.get(zone, estimate)
            capacity = previous + CAPACITY_SMOOTHING_GAIN * (estimate - previous)
            measured[zone] = round(capacity, CAPACITY_DECIMALS)
        elif _counts_as_served(zone, evidence):
            previous = measured.get(zone, 0.0) * (1.0 - CAPACITY_DECAY_PER_S * elapsed_ms / 1000)
            measured[zone] = round(max(previous, rate / warm_weight), CAPACITY_DECIMALS)
    return measured


def zone_capacity(
    zone: str,
    evidence: ZoneEvidence,
    capacity_per_weight: Mapping[str, float],
    policy: FailoverPolicy,
) -> float:
    """Return the requests a second that a zone can serve; 0 where no backend is warm."""
    if not policy.is_capacity_limited:
        return math.inf
    warm_weight = evidence.warm_weights.get(zone, 0.0)
    if policy.capacity_per_weight:
        return policy.capacity_per_weight * warm_weight
    growth = 1.0 if has_utilization(evidence) else CAPACITY_GROWTH_FACTOR
    return growth * capacity_per_weight.get(zone, 0.0) * warm_weight


def has_utilization(evidence: ZoneEvidence) -> bool:
    """Whether any zone's backends report their utilization."""
    return any(utilization > 0.0 for utilization in evidence.utilization.values())


def _counts_as_served(zone: str, evidence: ZoneEvidence) -> bool:
    """Whether enough attempts to a zone are good for its rate to count as served."""
    assessments = [targets[zone] for targets in evidence.assessments.values() if zone in targets]
    attempts = sum(assessment.attempts for assessment in assessments)
    if not attempts:
        return False
    bad_attempts = sum(assessment.bad_attempts for assessment in assessments)
    return bad_attempts <= (1 - MIN_SUCCESS_FRACTION) * attempts
