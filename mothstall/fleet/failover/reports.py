"""Reports of the traffic that proxies send to zones: messages, codec and validation. Pure.

A report sums up one proxy's attempts over about a second. An observer combines the reports of its
proxies into *aggregates*, one for each zone that the proxies run in, which hold histograms in place
of single counts.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

import msgspec

# Maximum zones in a report, a plan or an operator file; bounds every loop over pairs of zones.
MAX_ZONES = 16
# Maximum request classes in a report.
MAX_CLASSES = 16
# Maximum bytes of an encoded report; bounds the input of the decoder.
MAX_REPORT_BYTES = 16 * 1024
# Largest count in one proxy's report: more than a proxy can serve in a minute.
MAX_COUNT = 10_000_000
# Largest count in an aggregate: of a thousand proxies.
MAX_AGGREGATE_COUNT = MAX_COUNT * 1000
# Maximum milliseconds that a report covers; a longer one does not show the current traffic.
MAX_INTERVAL_MS = 60_000
# Maximum proxies in one aggregate.
MAX_AGGREGATED_PROXIES = 16_384
# Maximum histogram buckets of one zone in an aggregate.
MAX_HISTOGRAM_BUCKETS = 16
# Maximum characters of the name of a zone or a proxy.
MAX_NAME_LENGTH = 100
# Maximum characters of the name of an aggregate, which holds an observer's and a zone's name.
MAX_AGGREGATE_NAME_LENGTH = 300
# Names of aggregates start with this: `observer/NAME@ZONE`.
AGGREGATE_NAME_PREFIX = "observer/"

# Value of an absent field of a zone summary on the wire.
_ABSENT = -1


class OutcomeCounts(msgspec.Struct, frozen=True, array_like=True):
    """Attempts of one proxy to one zone in one request class, by outcome.

    Attributes:
        good: Answered within the class's latency objective.
        late: Answered after the latency objective.
        failed: Errors, resets and timeouts.
        connect_failed: No connection was established.
        rejected: Rejected by the backend without any work.
    """

    good: int = 0
    late: int = 0
    failed: int = 0
    connect_failed: int = 0
    rejected: int = 0

    @property
    def attempts(self) -> int:
        """All attempts."""
        return self.good + self.late + self.failed + self.connect_failed + self.rejected

    @property
    def bad_attempts(self) -> int:
        """All attempts that are not good."""
        return self.late + self.failed + self.connect_failed + self.rejected


class HistogramBucket(msgspec.Struct, frozen=True, array_like=True):
    """Proxies of an aggregate with about the same fraction of bad attempts to one zone.

    Attributes:
        proxy_count: Number of proxies.
        attempts: Total attempts of these proxies to the zone.
        bad_attempts: Attempts among them that were not good.
    """

    proxy_count: int
    attempts: int
    bad_attempts: int


class ZoneSummary(msgspec.Struct, frozen=True, array_like=True):
    """The values of one zone in an aggregate, on the wire; -1 stands for an absent value.

    Attributes:
        zone: The target zone.
        warm_weight: See `TrafficReport.warm_weights`.
        utilization: See `TrafficReport.utilization`.
        histogram: See `TrafficReport.histograms`.
    """

    zone: str
    warm_weight: float
    utilization: float
    histogram: tuple[HistogramBucket, ...]


class TrafficReport(msgspec.Struct, frozen=True, array_like=True):
    """Counts of one proxy since its last report, or of the proxies of one zone at an observer.

    A report with a `proxy_count` above 0 is an aggregate: it has `histograms` in place of
    `outcomes`, and its `warm_weights` and `utilization` are the medians of its proxies.

    Attributes:
        proxy: Name of the proxy, or `observer/NAME@ZONE` of an aggregate.
        zone: The zone that the proxy, or each proxy of the aggregate, runs in.
        sequence_number: Grows with each report of the sender.
        interval_ms: Milliseconds that the counts cover.
        plan_number: The plan that was followed for the complete interval; 0 for none or several.
        requests: Client requests received.
        rejected: Client requests rejected.
        outcomes: Counts by target zone and request class.
        warm_weights: By zone, the weight of the listed backends; one in warm-up counts in part.
        utilization: By zone, the mean utilization that backends reported, if they report it.
        proxy_count: Number of proxies in an aggregate; 0 for the report of a single proxy.
        proxies_on_plan: Number of these proxies that followed `plan_number`.
        histograms: By target zone, the proxies grouped by their fraction of bad attempts.
        zone_summaries: On the wire, `warm_weights`, `utilization` and `histograms` of an aggregate;
            empty once decoded.
    """

    proxy: str
    zone: str
    sequence_number: int
    interval_ms: int
    plan_number: int
    requests: int
    rejected: int
    outcomes: dict[str, dict[str, OutcomeCounts]] = {}
    warm_weights: dict[str, float] = {}
    utilization: dict[str, float] = {}
    proxy_count: int = 0
    proxies_on_plan: int = 0
    histograms: dict[str, tuple[HistogramBucket, ...]] = {}
    zone_summaries: tuple[ZoneSummary, ...] = ()


def encode_report(report: TrafficReport) -> bytes:
    """Encode a report for the wire.

    An aggregate is encoded with each zone's name once: the holder of the failover lease receives
    one from every observer every second, and repeated names made up most of its bytes.
    """
    if not report.proxy_count:
        return msgspec.msgpack.encode(report)
    zones = sorted({*report.warm_weights, *report.utilization, *report.histograms})
    summaries = tuple(
        ZoneSummary(
            zone,
            report.warm_weights.get(zone, _ABSENT),
            report.utilization.get(zone, _ABSENT),
            report.histograms.get(zone, ()),
        )
        for zone in zones
    )
    on_wire = msgspec.structs.replace(
        report, warm_weights={}, utilization={}, histograms={}, zone_summaries=summaries
    )
    return msgspec.msgpack.encode(on_wire)


def decode_report(data: bytes) -> TrafficReport | None:
    """Decode a report from the wire.

    Returns:
        The report; None if the bytes are not a report, or hold names or numbers that are not
        plausible.
    """
    if len(data) > MAX_REPORT_BYTES:
        return None
    try:
        report = msgspec.msgpack.decode(data, type=TrafficReport)
    except (msgspec.DecodeError, ValueError):
        return None
    if report.zone_summaries:
        expanded = _expand_summaries(report)
        if expanded is None:
            return None
        report = expanded
    return report if _is_plausible(report) else None


def _expand_summaries(report: TrafficReport) -> TrafficReport | None:
    """Convert zone summaries to mappings; None if a zone is repeated, or it is no aggregate."""
    summaries = report.zone_summaries
    if not report.proxy_count:
        return None
    if report.warm_weights or report.utilization or report.histograms:
        return None
    if len({summary.zone for summary in summaries}) != len(summaries):
        return None
    return msgspec.structs.replace(
        report,
        zone_summaries=(),
        warm_weights={s.zone: s.warm_weight for s in summaries if s.warm_weight != _ABSENT},
        utilization={s.zone: s.utilization for s in summaries if s.utilization != _ABSENT},
        histograms={s.zone: s.histogram for s in summaries if s.histogram},
    )


def is_from_known_observer(report: TrafficReport, observers: Sequence[str]) -> bool:
    """Whether an aggregate comes from one of these observers; True for a proxy's own report.

    Guards against a proxy that claims to report for hundreds of others.
    """
    if not report.proxy_count:
        return True
    if not report.proxy.startswith(AGGREGATE_NAME_PREFIX):
        return False
    observer, _, zone = report.proxy.removeprefix(AGGREGATE_NAME_PREFIX).partition("@")
    return zone == report.zone and observer in observers


def _is_plausible(report: TrafficReport) -> bool:
    """Whether all numbers and names are within their limits."""
    claims_aggregate = report.proxy_count or report.histograms or report.proxies_on_plan
    has_valid_counts = (
        _has_valid_aggregate_counts(report) if claims_aggregate else _has_valid_counts(report)
    )
    return (
        has_valid_counts
        and 0 < report.interval_ms <= MAX_INTERVAL_MS
        and _are_within_limit([report.sequence_number, report.plan_number], MAX_COUNT)
        and _has_valid_weights_and_utilization(report)
        and _has_valid_names(report)
    )


def _are_within_limit(numbers: Sequence[int], limit: int) -> bool:
    return all(0 <= number <= limit for number in numbers)


def _has_valid_counts(report: TrafficReport) -> bool:
    """Whether the counts of a single proxy are within their limits."""
    counts = [report.requests, report.rejected]
    for by_class in report.outcomes.values():
        if len(by_class) > MAX_CLASSES:
            return False
        for row in by_class.values():
            counts += [row.good, row.late, row.failed, row.connect_failed, row.rejected]
    return _are_within_limit(counts, MAX_COUNT)


def _has_valid_aggregate_counts(report: TrafficReport) -> bool:
    """Whether the counts of an aggregate are within their limits and consistent."""
    if report.outcomes:
        return False
    if not 0 <= report.proxies_on_plan <= report.proxy_count <= MAX_AGGREGATED_PROXIES:
        return False
    for histogram in report.histograms.values():
        if len(histogram) > MAX_HISTOGRAM_BUCKETS:
            return False
        if not all(_is_valid_bucket(bucket, report.proxy_count) for bucket in histogram):
            return False
    return _are_within_limit([report.requests, report.rejected], MAX_AGGREGATE_COUNT)


def _is_valid_bucket(bucket: HistogramBucket, proxy_count: int) -> bool:
    return (
        0 < bucket.proxy_count <= proxy_count
        and 0 <= bucket.bad_attempts <= bucket.attempts <= MAX_AGGREGATE_COUNT
    )


def _has_valid_weights_and_utilization(report: TrafficReport) -> bool:
    values = [*report.warm_weights.values(), *report.utilization.values()]
    return all(math.isfinite(value) and 0.0 <= value <= MAX_COUNT for value in values)


def _has_valid_names(report: TrafficReport) -> bool:
    zones = {
        report.zone,
        *report.outcomes,
        *report.warm_weights,
        *report.utilization,
        *report.histograms,
    }
    max_length = MAX_AGGREGATE_NAME_LENGTH if report.proxy_count else MAX_NAME_LENGTH
    return (
        len(zones) <= MAX_ZONES
        and all(1 <= len(zone) <= MAX_NAME_LENGTH for zone in zones)
        and 1 <= len(report.proxy) <= max_length
    )
