"""The current reports of each proxy, merged into one record. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from mothstall.fleet.failover.reports import TrafficReport


class AttemptSample(NamedTuple):
    """Attempts of one or several proxies to one zone.

    Attributes:
        proxy_count: Number of proxies; fractional where several aggregates of one observer are
            merged.
        attempts: Total attempts of these proxies.
        bad_attempts: Attempts among them that were not good.
    """

    proxy_count: float
    attempts: float
    bad_attempts: float


@dataclass(slots=True, frozen=True)
class MergedReports:
    """The current reports of one proxy, or the current aggregates of one observer and zone.

    Attributes:
        zone: The zone that the proxies run in.
        interval_s: Seconds that the reports cover.
        request_rate: Client requests a second.
        plan_number: The plan that was followed during the newest report.
        proxies_on_plan: Number of proxies that followed that plan.
        proxy_count: Number of proxies that the record covers.
        samples: Attempts by target zone.
        warm_weights: As in the newest report.
        utilization: As in the newest report.
    """

    zone: str
    interval_s: float
    request_rate: float
    plan_number: int
    proxies_on_plan: float
    proxy_count: float
    samples: Mapping[str, Sequence[AttemptSample]]
    warm_weights: Mapping[str, float]
    utilization: Mapping[str, float]


def newest_by_proxy(reports: Iterable[TrafficReport]) -> dict[str, TrafficReport]:
    """Return the report with the highest sequence number of each proxy."""
    newest: dict[str, TrafficReport] = {}
    for report in reports:
        known = newest.get(report.proxy)
        if known is None or report.sequence_number > known.sequence_number:
            newest[report.proxy] = report
    return newest


def merge_by_proxy(reports: Sequence[TrafficReport]) -> list[MergedReports]:
    """Merge the reports of each proxy; those from a zone that it has left since are ignored."""
    by_proxy: dict[str, list[TrafficReport]] = {}
    for report in reports:
        by_proxy.setdefault(report.proxy, []).append(report)
    newest = newest_by_proxy(reports)
    return [_merge(newest[proxy], by_proxy[proxy]) for proxy in sorted(newest)]


def _merge(newest: TrafficReport, reports: Iterable[TrafficReport]) -> MergedReports:
    zone_reports = [report for report in reports if report.zone == newest.zone]
    interval_s = sum(report.interval_ms for report in zone_reports) / 1000
    samples: Mapping[str, Sequence[AttemptSample]]
    if newest.proxy_count:
        samples = _histogram_samples([report for report in zone_reports if report.proxy_count])
        proxy_count = float(newest.proxy_count)
        proxies_on_plan = float(newest.proxies_on_plan)
    else:
        samples = {zone: [sample] for zone, sample in _sum_outcomes(zone_reports).items()}
        proxy_count = 1.0
        proxies_on_plan = 1.0
    return MergedReports(
        zone=newest.zone,
        interval_s=interval_s,
        request_rate=sum(report.requests for report in zone_reports) / interval_s,
        plan_number=newest.plan_number,
        proxies_on_plan=proxies_on_plan,
        proxy_count=proxy_count,
        samples=samples,
        warm_weights=newest.warm_weights,
        utilization=newest.utilization,
    )


def _histogram_samples(aggregates: Sequence[TrafficReport]) -> dict[str, list[AttemptSample]]:
    """Return all buckets by zone, each proxy count divided by the number of aggregates."""
    samples: dict[str, list[AttemptSample]] = {}
    for report in aggregates:
        for zone, histogram in report.histograms.items():
            samples.setdefault(zone, []).extend(
                AttemptSample(
                    bucket.proxy_count / len(aggregates), bucket.attempts, bucket.bad_attempts
                )
                for bucket in histogram
            )
    return samples


def _sum_outcomes(reports: Iterable[TrafficReport]) -> dict[str, AttemptSample]:
    """Add up one proxy's attempts by target zone."""
    attempts: dict[str, float] = {}
    bad_attempts: dict[str, float] = {}
    for report in reports:
        for zone, by_class in report.outcomes.items():
            rows = by_class.values()
            attempts[zone] = attempts.get(zone, 0.0) + sum(row.attempts for row in rows)
            bad_attempts[zone] = bad_attempts.get(zone, 0.0) + sum(row.bad_attempts for row in rows)
    return {zone: AttemptSample(1.0, attempts[zone], bad_attempts[zone]) for zone in attempts}
