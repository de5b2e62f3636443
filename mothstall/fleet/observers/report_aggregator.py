"""Aggregation of the proxies' traffic reports by zone. Pure.

The holder of the failover lease receives one report for each zone and observer instead of one for
each proxy. The histograms contain what the assessment needs to know about single proxies
(docs/failover.md): for each destination zone, proxies are counted by their fraction of bad
attempts, and the attempts of each are capped at `MAX_RATIO_TO_MEDIAN` times those of the median
proxy of its zone before they are summed. Each proxy has the same effect as if its report had been
sent alone; a proxy's report that claims to be an aggregate is rejected.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from mothstall.fleet.failover.assessment import PRIOR_GOOD_ATTEMPTS
from mothstall.fleet.failover.reports import (
    AGGREGATE_NAME_PREFIX,
    MAX_AGGREGATE_COUNT,
    MAX_AGGREGATED_PROXIES,
    MAX_INTERVAL_MS,
    HistogramBucket,
    TrafficReport,
    decode_report,
)
from mothstall.fleet.failover.robust_statistics import MAX_RATIO_TO_MEDIAN, weighted_median

# Boundaries of the histogram buckets by fraction of bad attempts, finer where zones are healthy.
BUCKET_BOUNDARIES = (0.02, 0.05, 0.1, 0.15, 0.2, 0.25, 0.3, 0.35, 0.5, 0.75)
MAX_REPORTS_PER_PROXY = 4  # in one aggregate; a proxy sends one in each interval
ROUNDED_WEIGHT = 100  # larger or equal weights are sent as integers: an error below 0.5%


class ReportAggregator:
    """Reports of proxies until the next `flush`; bounded in proxies and in reports of each."""

    def __init__(self, observer: str, max_proxies: int = MAX_AGGREGATED_PROXIES) -> None:
        """Start empty.

        Args:
            observer: The name of this observer, which names the aggregates.
            max_proxies: Reports of further proxies are rejected.
        """
        self._observer = observer
        self._max_proxies = max_proxies
        self._reports: dict[str, list[TrafficReport]] = {}
        self._sequence_number = 0

    def add(self, proxy: str, data: bytes) -> bool:
        """Add a proxy's report; False if it is invalid, another proxy's, repeated or surplus."""
        report = decode_report(data)
        if report is None or report.proxy_count or report.proxy != proxy:
            return False
        reports = self._reports.get(proxy)
        if reports is None:
            if len(self._reports) >= self._max_proxies:
                return False
            self._reports[proxy] = [report]
            return True
        is_repeated = report.sequence_number <= reports[-1].sequence_number
        if is_repeated or len(reports) >= MAX_REPORTS_PER_PROXY:
            return False
        reports.append(report)
        return True

    def flush(self) -> list[TrafficReport]:
        """Return one aggregate for each zone with reporting proxies, and discard the reports."""
        reports_by_proxy = self._reports
        self._reports = {}
        self._sequence_number += 1
        windows: dict[str, list[_ProxyWindow]] = {}
        for reports in reports_by_proxy.values():
            windows.setdefault(reports[-1].zone, []).append(_ProxyWindow(reports))
        return [self._aggregate(zone, group) for zone, group in sorted(windows.items())]

    def _aggregate(self, zone: str, windows: Sequence[_ProxyWindow]) -> TrafficReport:
        interval_ms = weighted_median([(1, window.interval_ms) for window in windows])
        plan_numbers = Counter(window.last_report.plan_number for window in windows)
        plan_number, proxies_on_plan = plan_numbers.most_common(1)[0]
        warm_weights = _medians([window.last_report.warm_weights for window in windows])
        return TrafficReport(
            proxy=f"{AGGREGATE_NAME_PREFIX}{self._observer}@{zone}",
            zone=zone,
            sequence_number=self._sequence_number,
            interval_ms=min(MAX_INTERVAL_MS, max(1, round(interval_ms))),
            plan_number=plan_number,
            requests=_capped_sum([window.requests_in(interval_ms) for window in windows]),
            rejected=_capped_sum([window.rejected_in(interval_ms) for window in windows]),
            warm_weights=_round_weights(warm_weights),
            utilization=_medians([window.last_report.utilization for window in windows]),
            proxy_count=len(windows),
            proxies_on_plan=proxies_on_plan,
            histograms=_histograms(windows, interval_ms),
        )


@dataclass(slots=True, frozen=True)
class _Attempts:
    """Attempts of one proxy to one zone, and the bad ones among them."""

    attempts: float
    bad_attempts: float


class _ProxyWindow:
    """The sums of one proxy's reports since the last flush."""

    def __init__(self, reports: Sequence[TrafficReport]) -> None:
        self.last_report = reports[-1]
        self.interval_ms = sum(report.interval_ms for report in reports)
        self._requests = sum(report.requests for report in reports)
        self._rejected = sum(report.rejected for report in reports)
        self.attempts: dict[str, int] = {}  # by destination zone
        self._bad_attempts: dict[str, int] = {}
        for report in reports:
            for zone, by_class in report.outcomes.items():
                attempts = sum(counts.attempts for counts in by_class.values())
                bad_attempts = sum(counts.bad_attempts for counts in by_class.values())
                self.attempts[zone] = self.attempts.get(zone, 0) + attempts
                self._bad_attempts[zone] = self._bad_attempts.get(zone, 0) + bad_attempts

    def requests_in(self, interval_ms: float) -> float:
        """Requests of this proxy, scaled to an interval."""
        return self._requests * interval_ms / self.interval_ms

    def rejected_in(self, interval_ms: float) -> float:
        """Rejected requests of this proxy, scaled to an interval."""
        return self._rejected * interval_ms / self.interval_ms

    def attempts_in(self, zone: str, interval_ms: float) -> _Attempts:
        """Attempts of this proxy to a zone, scaled to an interval."""
        factor = interval_ms / self.interval_ms
        return _Attempts(self.attempts[zone] * factor, self._bad_attempts[zone] * factor)


@dataclass(slots=True)
class _Bucket:
    proxy_count: int = 0
    attempts: float = 0.0
    bad_attempts: float = 0.0


def _histograms(
    windows: Sequence[_ProxyWindow], interval_ms: float
) -> dict[str, tuple[HistogramBucket, ...]]:
    """Histograms by destination zone; zones without attempts are left out."""
    zones = sorted({zone for window in windows for zone in window.attempts})
    histograms: dict[str, tuple[HistogramBucket, ...]] = {}
    for zone in zones:
        histogram = _histogram(
            [
                window.attempts_in(zone, interval_ms)
                for window in windows
                if window.attempts.get(zone)
            ]
        )
        if histogram:
            histograms[zone] = histogram
    return histograms


def _histogram(rows: Sequence[_Attempts]) -> tuple[HistogramBucket, ...]:
    """Guards against one proxy that dominates its zone: attempts above the cap are scaled down."""
    if not rows:
        return ()
    cap = MAX_RATIO_TO_MEDIAN * weighted_median([(1, row.attempts) for row in rows])
    buckets: dict[int, _Bucket] = {}
    for row in rows:
        factor = min(1.0, cap / row.attempts)
        bad_fraction = row.bad_attempts / (row.attempts + PRIOR_GOOD_ATTEMPTS)
        bucket = buckets.setdefault(bisect_right(BUCKET_BOUNDARIES, bad_fraction), _Bucket())
        bucket.proxy_count += 1
        bucket.attempts += row.attempts * factor
        bucket.bad_attempts += row.bad_attempts * factor
    rounded = [_rounded(bucket) for bucket in buckets.values()]
    return tuple(bucket for bucket in rounded if bucket.attempts)


def _rounded(bucket: _Bucket) -> HistogramBucket:
    attempts = round(min(bucket.attempts, MAX_AGGREGATE_COUNT))
    return HistogramBucket(bucket.proxy_count, attempts, min(round(bucket.bad_attempts), attempts))


def _capped_sum(values: Sequence[float]) -> int:
    """Sum the positive values, each capped at `MAX_RATIO_TO_MEDIAN` times their median."""
    positive = [value for value in values if value > 0]
    if not positive:
        return 0
    cap = MAX_RATIO_TO_MEDIAN * weighted_median([(1, value) for value in positive])
    return round(min(MAX_AGGREGATE_COUNT, sum(min(value, cap) for value in positive)))


def _medians(rows: Sequence[Mapping[str, float]]) -> dict[str, float]:
    """The median value of each name over the rows that contain it."""
    names = sorted({name for row in rows for name in row})
    return {
        name: weighted_median([(1, row[name]) for row in rows if name in row]) for name in names
    }


def _round_weights(weights: Mapping[str, float]) -> dict[str, float]:
    """Round weights, as integers are encoded in fewer bytes.

    The holder of the failover lease receives each zone's weight from every observer every second;
    unrounded weights were a third of the bytes that it received.
    """
    return {
        name: round(weight) if weight >= ROUNDED_WEIGHT or weight.is_integer() else weight
        for name, weight in weights.items()
    }
