"""Baseline weights: where each zone's traffic goes in normal operation. Pure."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from mothstall.fleet.failover.plan import FailoverPlan
from mothstall.fleet.failover.recovery import UNHEALTHY_FRACTION_THRESHOLD
from mothstall.fleet.failover.zone_evidence import ZoneEvidence

# Weight of one tick in the baseline, which follows a change of traffic in about ten ticks.
BASELINE_SMOOTHING_GAIN = 0.1
# A smaller weight is dropped from the baseline.
MIN_BASELINE_WEIGHT = 0.002


def next_baseline_weights(
    evidence: ZoneEvidence, last: FailoverPlan, zones: Sequence[str]
) -> dict[str, dict[str, float]]:
    """Return the last baseline, moved towards the current rates of zones in normal operation.

    Until a zone's traffic was observed, all of it is assumed to stay in the zone.
    """
    baseline = {origin: dict(row) for origin, row in last.baseline_weights.items()}
    for origin in evidence.request_rates:
        rates = evidence.attempt_rates.get(origin, {})
        total = sum(rates.values())
        is_normal = total > 0 and _is_normal_operation(origin, evidence, last)
        if origin not in baseline:
            baseline[origin] = {origin: 1.0}
            if is_normal:
                baseline[origin] = {zone: rate / total for zone, rate in rates.items() if rate > 0}
        elif is_normal:
            baseline[origin] = _smooth(baseline[origin], rates, zones)
    return baseline


def _is_normal_operation(origin: str, evidence: ZoneEvidence, last: FailoverPlan) -> bool:
    """Whether the last plan has no weights, and `origin` sends to no unhealthy zone."""
    return not last.weights and not any(
        evidence.unhealthy_fraction(origin, zone) > UNHEALTHY_FRACTION_THRESHOLD
        for zone in evidence.attempt_rates.get(origin, {})
    )


def _smooth(
    previous: Mapping[str, float], rates: Mapping[str, float], zones: Sequence[str]
) -> dict[str, float]:
    """Move previous weights towards current rates by the gain; the weights add up to one."""
    total_rate = sum(rates.values())
    mixed = {
        zone: (1 - BASELINE_SMOOTHING_GAIN) * previous.get(zone, 0.0)
        + BASELINE_SMOOTHING_GAIN * rates.get(zone, 0.0) / total_rate
        for zone in zones
    }
    significant = {zone: weight for zone, weight in mixed.items() if weight >= MIN_BASELINE_WEIGHT}
    total = sum(significant.values())
    return {zone: weight / total for zone, weight in significant.items()}
