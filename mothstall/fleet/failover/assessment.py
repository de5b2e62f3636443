"""Assessment of zones from the reports of all proxies. Pure.

Each zone is compared with the one that has the lowest fraction of bad attempts, so that a fault
common to all zones counts against none. The weight of each proxy is capped at a multiple of the
median proxy's, so that no single report decides an assessment.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from mothstall.fleet.failover.merged_reports import (
    MergedReports,
    merge_by_proxy,
    newest_by_proxy,
)
from mothstall.fleet.failover.reports import TrafficReport
from mothstall.fleet.failover.robust_statistics import (
    cap_per_proxy,
    capped_sum,
    weighted_median,
)
from mothstall.fleet.failover.zone_evidence import MIN_ATTEMPTS, ZoneAssessment, ZoneEvidence

# Good attempts that are added to each proxy's count; limits the effect of one failure in three.
PRIOR_GOOD_ATTEMPTS = 4.0
# Excess over the best zone's fraction of bad attempts up to which no traffic is moved.
TOLERATED_EXCESS_FRACTION = 0.05
# Excess over the best zone's fraction of bad attempts from which a proxy counts the zone as
# completely unhealthy.
UNHEALTHY_EXCESS_FRACTION = 0.35
# Unhealthy fraction from which a zone counts as unhealthy in the search for isolated zones.
ISOLATED_UNHEALTHY_FRACTION = 0.5
# Standard deviations by which a zone's fraction of bad attempts has to exceed the best one's.
# Guards against differences by chance, which arise between all zones while each of them is slow for
# a part of the responses.
SIGNIFICANT_DEVIATIONS = 4.0


class _WeightedSample(NamedTuple):
    """Attempts of proxies to a zone; `weight` is the attempts, capped for each proxy."""

    weight: float
    attempts: float
    bad_attempts: float
    proxy_count: float


class _BadFraction(NamedTuple):
    """A fraction of bad attempts, and its sampling variance."""

    fraction: float
    variance: float


_ByOrigin = Mapping[str, Sequence[MergedReports]]


def assess_reports(
    reports: Iterable[TrafficReport], plan_number: int, is_capped: bool = True
) -> ZoneEvidence:
    """Assess all zones by the current reports.

    Args:
        reports: The current reports of all proxies.
        plan_number: The plan that is in force.
        is_capped: False disables the cap on the weight of each proxy, for tests of the cap.
    """
    current = list(reports)
    merged = merge_by_proxy(current)
    by_origin = _group_by_origin(merged)
    evidence = ZoneEvidence()
    for origin, group in sorted(by_origin.items()):
        _add_traffic(evidence, origin, group, plan_number, is_capped)
    evidence.warm_weights = _medians(
        [(record.proxy_count, record.warm_weights) for record in merged]
    )
    evidence.utilization = _medians([(record.proxy_count, record.utilization) for record in merged])
    evidence.assessments = _assess_zones(by_origin, is_capped)
    _raise_to_newest(evidence, current, is_capped)
    evidence.isolated_zones = _find_isolated_zones(evidence)
    return evidence


def _group_by_origin(merged: Iterable[MergedReports]) -> dict[str, list[MergedReports]]:
    groups: dict[str, list[MergedReports]] = {}
    for record in merged:
        groups.setdefault(record.zone, []).append(record)
    return groups


def _add_traffic(
    evidence: ZoneEvidence,
    origin: str,
    group: Sequence[MergedReports],
    plan_number: int,
    is_capped: bool,
) -> None:
    """Add one zone's rates, its proxy count, and the fraction of proxies that follow the plan."""
    proxy_count = sum(record.proxy_count for record in group)
    on_plan = sum(record.proxies_on_plan for record in group if record.plan_number == plan_number)
    evidence.proxy_counts[origin] = round(proxy_count)
    evidence.on_plan_fractions[origin] = on_plan / proxy_count
    evidence.request_rates[origin] = capped_sum(
        [(record.proxy_count, record.request_rate) for record in group], is_capped
    )
    for zone in _target_zones(group):
        rates = [
            (sample.proxy_count, sample.attempts / record.interval_s)
            for record in group
            for sample in record.samples.get(zone, ())
        ]
        evidence.attempt_rates.setdefault(origin, {})[zone] = capped_sum(rates, is_capped)


def _target_zones(group: Iterable[MergedReports]) -> list[str]:
    return sorted({zone for record in group for zone in record.samples})


def _medians(rows: Sequence[tuple[float, Mapping[str, float]]]) -> dict[str, float]:
    """Return, for each zone, the median over proxies of the values that they report for it."""
    zones = sorted({zone for _, by_zone in rows for zone in by_zone})
    return {
        zone: weighted_median(
            [(count, by_zone[zone]) for count, by_zone in rows if zone in by_zone]
        )
        for zone in zones
    }


def _raise_to_newest(
    evidence: ZoneEvidence, reports: Iterable[TrafficReport], is_capped: bool
) -> None:
    """Raise each unhealthy fraction to the one that the newest reports alone give.

    Guards against a lost zone that still looks healthy: proxies stop sending to it, so that the
    good attempts of earlier reports outweigh its failures.
    """
    newest = merge_by_proxy(list(newest_by_proxy(reports).values()))
    for origin, targets in _assess_zones(_group_by_origin(newest), is_capped).items():
        for zone, assessment in targets.items():
            combined = evidence.assessments[origin][zone]
            combined.unhealthy_fraction = max(
                combined.unhealthy_fraction, assessment.unhealthy_fraction
            )


def _assess_zones(by_origin: _ByOrigin, is_capped: bool) -> dict[str, dict[str, ZoneAssessment]]:
    best = _best_zone(by_origin, is_capped)
    return {
        origin: {zone: _assess_zone(group, zone, best, is_capped) for zone in zones}
        for origin, group in sorted(by_origin.items())
        if (zones := _target_zones(group))
    }


def _weigh_samples(
    group: Iterable[MergedReports], zone: str, is_capped: bool
) -> list[_WeightedSample]:
    """Return the samples of all proxies that sent to the zone, with each proxy's weight capped."""
    samples = [
        sample for record in group for sample in record.samples.get(zone, ()) if sample.attempts
    ]
    cap = cap_per_proxy([(sample.proxy_count, sample.attempts) for sample in samples], is_capped)
    return [
        _WeightedSample(min(attempts, cap * proxy_count), attempts, bad_attempts, proxy_count)
        for proxy_count, attempts, bad_attempts in samples
    ]


def _weighted_bad_attempts(samples: Iterable[_WeightedSample]) -> float:
    return sum(row.weight * row.bad_attempts / row.attempts for row in samples)


def _best_zone(by_origin: _ByOrigin, is_capped: bool) -> _BadFraction:
    """Return the lowest fraction of bad attempts among all zones with enough attempts."""
    zones = {zone for group in by_origin.values() for zone in _target_zones(group)}
    fractions = []
    for zone in zones:
        samples = [
            row for group in by_origin.values() for row in _weigh_samples(group, zone, is_capped)
        ]
        total = sum(row.weight for row in samples)
        if total >= MIN_ATTEMPTS:
            fraction = _weighted_bad_attempts(samples) / total
            fractions.append(_BadFraction(fraction, _binomial_variance(fraction, total)))
    return min(fractions, default=_BadFraction(0.0, 0.0))


def _binomial_variance(fraction: float, total: float) -> float:
    return fraction * (1.0 - fraction) / total


def _assess_zone(
    group: Sequence[MergedReports], zone: str, best: _BadFraction, is_capped: bool
) -> ZoneAssessment:
    """Assess a zone by the attempts of one origin zone's proxies."""
    samples = _weigh_samples(group, zone, is_capped)
    total = sum(row.weight for row in samples)
    bad_attempts = _weighted_bad_attempts(samples)
    if total < MIN_ATTEMPTS:
        return ZoneAssessment(total, bad_attempts, 0.0)
    fraction = bad_attempts / total
    deviation = math.sqrt(_binomial_variance(fraction, total) + best.variance)
    if fraction - best.fraction <= SIGNIFICANT_DEVIATIONS * deviation:
        return ZoneAssessment(total, bad_attempts, 0.0)
    unhealthy_fraction = 0.0
    for row in samples:
        unhealthy_fraction += row.weight / total * _unhealthiness(row, best)
    return ZoneAssessment(total, bad_attempts, unhealthy_fraction)


def _unhealthiness(sample: _WeightedSample, best: _BadFraction) -> float:
    """Return the unhealthy fraction of a sample: 0 up to the tolerated excess, linear up to 1."""
    attempts = sample.attempts + PRIOR_GOOD_ATTEMPTS * sample.proxy_count
    excess = sample.bad_attempts / attempts - best.fraction
    intolerable = UNHEALTHY_EXCESS_FRACTION - TOLERATED_EXCESS_FRACTION
    return min(1.0, max(0.0, (excess - TOLERATED_EXCESS_FRACTION) / intolerable))


def _find_isolated_zones(evidence: ZoneEvidence) -> set[str]:
    """Return the zones that find all others unhealthy, while another zone finds one healthy."""
    return {origin for origin in evidence.assessments if _is_isolated(origin, evidence)}


def _is_isolated(origin: str, evidence: ZoneEvidence) -> bool:
    others = {
        zone
        for zone, assessment in evidence.assessments[origin].items()
        if zone != origin and assessment.attempts >= MIN_ATTEMPTS
    }
    # Requires attempts to more than half of the others: one faulty path does not isolate a zone.
    if 2 * len(others) <= len(set(evidence.zones) - {origin}):
        return False
    if any(_is_healthy(evidence.assessments[origin][zone]) for zone in others):
        return False
    return any(
        other_origin != origin
        and zone in others
        and assessment.attempts >= MIN_ATTEMPTS
        and _is_healthy(assessment)
        for other_origin, targets in evidence.assessments.items()
        for zone, assessment in targets.items()
    )


def _is_healthy(assessment: ZoneAssessment) -> bool:
    return assessment.unhealthy_fraction < ISOLATED_UNHEALTHY_FRACTION
