"""Tests that aggregated reports lead to the same assessment as single reports."""

from __future__ import annotations

import random
from statistics import median

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from mothstall.fleet.failover.assessment import assess_reports
from mothstall.fleet.failover.controller import FailoverController
from mothstall.fleet.failover.report_window import ReportWindow
from mothstall.fleet.failover.reports import (
    MAX_HISTOGRAM_BUCKETS,
    HistogramBucket,
    OutcomeCounts,
    TrafficReport,
    ZoneSummary,
    decode_report,
    encode_report,
    is_from_known_observer,
)
from mothstall.fleet.failover.robust_statistics import weighted_median
from mothstall.fleet.failover.zone_evidence import ZoneEvidence
from mothstall.fleet.observers.report_aggregator import ReportAggregator

ZONES = ("a", "b", "c")
HEALTHY = OutcomeCounts(good=50)


def _report(
    proxy: str, zone: str, rows: dict[str, OutcomeCounts], number: int = 1, plan: int = 3
) -> TrafficReport:
    requests = min(10_000_000, sum(row.attempts for row in rows.values()))
    warm_weights = dict.fromkeys(ZONES, 20.0)
    classes = {name: {"x": row} for name, row in rows.items()}
    return TrafficReport(
        proxy, zone, number, 1000, plan, requests, 0, classes, warm_weights, {"a": 0.5}
    )


def _aggregated(reports: list[TrafficReport], observers: int) -> list[TrafficReport]:
    aggregators = [ReportAggregator(f"o{i}") for i in range(observers)]
    for i, report in enumerate(reports):
        assert aggregators[i % observers].add(report.proxy, msgspec.msgpack.encode(report))
    decoded = [
        decode_report(encode_report(row))
        for aggregator in aggregators
        for row in aggregator.flush()
    ]
    assert all(decoded)
    return [row for row in decoded if row]


def _fleet_reports(
    seed: int, bad_fractions: dict[tuple[str, str], float], proxies_per_zone: int = 12
) -> list[TrafficReport]:
    """Reports of proxies of three zones; `bad_fractions`: failed attempts by pair of zones."""
    rng, reports = random.Random(seed), []
    for origin in ZONES:
        for i in range(proxies_per_zone):
            rows = {}
            for to in ZONES:
                sent = rng.randrange(30, 60) if to == origin else rng.randrange(8, 16)
                bad = sum(rng.random() < bad_fractions.get((origin, to), 0.01) for _ in range(sent))
                rows[to] = OutcomeCounts(good=sent - bad, failed=bad)
            reports.append(_report(f"{origin}{i}", origin, rows))
    rng.shuffle(reports)
    return reports


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize(
    "bad_fractions",
    [
        {},
        {(o, "a"): 0.9 for o in ZONES},
        {("b", "a"): 0.6},
        {(o, "c"): 0.25 for o in ZONES},
        {("a", "b"): 0.95, ("a", "c"): 0.95},
    ],
)
def test_aggregates_lead_to_the_same_evidence_as_single_reports(
    seed: int, bad_fractions: dict[tuple[str, str], float]
) -> None:
    reports = _fleet_reports(seed, bad_fractions)
    expected, actual = assess_reports(reports, 3), assess_reports(_aggregated(reports, 3), 3)
    assert (
        actual.proxy_counts == expected.proxy_counts
        and actual.on_plan_fractions == expected.on_plan_fractions
    )
    assert (
        actual.warm_weights == expected.warm_weights and actual.utilization == expected.utilization
    )
    assert actual.isolated_zones == expected.isolated_zones
    for origin in ZONES:
        assert actual.request_rates[origin] == pytest.approx(
            expected.request_rates[origin], rel=0.02
        )
        for to in ZONES:
            assert actual.attempt_rates[origin][to] == pytest.approx(
                expected.attempt_rates[origin][to], rel=0.05
            )
            expected_pair, actual_pair = (
                expected.assessments[origin][to],
                actual.assessments[origin][to],
            )
            assert actual_pair.unhealthy_fraction == pytest.approx(
                expected_pair.unhealthy_fraction, abs=0.08
            ), (
                origin,
                to,
            )


def _aggregated_evidence(reports: list[TrafficReport]) -> ZoneEvidence:
    return assess_reports(_aggregated(reports, 3), 3)


@pytest.mark.parametrize("weight", [25.0, 8_450.7, 1e6])
def test_aggregates_of_a_large_fleet_stay_within_their_size(
    weight: float,
) -> None:
    """22 observers with 305 proxies each, which send to 11 zones: 12 KB/s in total."""
    names = [f"zone-{i:02}" for i in range(11)]
    aggregator = ReportAggregator("o12")
    for i in range(305):
        rows = {zone: OutcomeCounts(good=15 + i % 3, late=i % 2) for zone in names}
        weights_and_utilization = {
            "warm_weights": dict.fromkeys(names, weight),
            "utilization": dict.fromkeys(names, 0.437),
        }
        report = msgspec.structs.replace(
            _report(f"proxy-{i:04}", names[0], rows), **weights_and_utilization
        )
        assert aggregator.add(report.proxy, msgspec.msgpack.encode(report))
    (aggregate,) = aggregator.flush()
    data = encode_report(aggregate)
    assert 22 * len(data) < 11_600
    decoded = decode_report(data)
    assert decoded == aggregate and decoded is not None
    assert decoded.warm_weights == pytest.approx(dict.fromkeys(names, weight), rel=0.005)
    assert decode_report(msgspec.msgpack.encode(aggregate)) == aggregate, (
        "the form that repeats the zone names in each mapping is accepted too"
    )


@pytest.mark.parametrize(
    "change",
    [
        {"zone_summaries": (ZoneSummary("a", 1, 0.5, ()),) * 2},
        {"zone_summaries": (ZoneSummary("a", -2, 0.5, ()),)},
        {"zone_summaries": (ZoneSummary("a", 1, float("nan"), ()),)},
        {"zone_summaries": (ZoneSummary("a", 1, 0.5, (HistogramBucket(1, 5, 6),)),)},
        {"zone_summaries": tuple(ZoneSummary(f"z{i}", 1, 0.5, ()) for i in range(30))},
        {"zone_summaries": (ZoneSummary("a", 1, 0.5, ()),), "warm_weights": {"b": 2.0}},
        {"zone_summaries": (ZoneSummary("a", 1, 0.5, ()),), "proxy_count": 0, "proxies_on_plan": 0},
    ],
)
def test_invalid_zone_summary_is_rejected(change: dict[str, object]) -> None:
    (aggregate,) = _aggregated([_report("p1", "a", {"a": HEALTHY})], 1)
    empty = msgspec.structs.replace(aggregate, warm_weights={}, utilization={}, histograms={})
    assert decode_report(msgspec.msgpack.encode(msgspec.structs.replace(empty, **change))) is None


def test_false_report_is_bounded_in_an_aggregate() -> None:
    honest = [_report(f"a{i}", "a", {"a": HEALTHY}) for i in range(9)]
    for false_outcomes in (
        OutcomeCounts(connect_failed=50),
        OutcomeCounts(connect_failed=9_000_000),
    ):
        evidence = _aggregated_evidence([*honest, _report("liar", "a", {"a": false_outcomes})])
        assert evidence.assessments["a"]["a"].unhealthy_fraction <= 2.0 / 11.0 + 0.01, (
            "counts as at most twice the median proxy of ten"
        )
        assert evidence.request_rates["a"] <= 9 * 50 + 2 * 50 + 1


def test_aggregate_is_accepted_from_its_observer_only() -> None:
    aggregator = ReportAggregator("o1")
    (aggregate,) = _aggregated([_report("p1", "a", {"a": HEALTHY})], 1)
    assert (
        aggregate.proxy_count == 1
        and aggregate.proxies_on_plan == 1
        and aggregate.histograms == {"a": (HistogramBucket(1, 50, 0),)}
    )
    assert (
        is_from_known_observer(aggregate, ["o0"])
        and not is_from_known_observer(aggregate, ["o1"])
        and not is_from_known_observer(aggregate, [])
    )
    assert not is_from_known_observer(msgspec.structs.replace(aggregate, zone="b"), ["o0"])
    assert not is_from_known_observer(msgspec.structs.replace(aggregate, proxy="p1"), ["o0"]), (
        "a proxy's report that claims to be an aggregate"
    )
    assert not aggregator.add("observer/o0@a", msgspec.msgpack.encode(aggregate)), (
        "an observer accepts no aggregate"
    )
    assert not aggregator.add("p2", msgspec.msgpack.encode(_report("p1", "a", {"a": HEALTHY})))
    assert not aggregator.add("p1", b"none") and aggregator.flush() == []


def test_reports_are_bounded_and_forgotten_after_a_flush() -> None:
    aggregator = ReportAggregator("o1", max_proxies=5)
    reports = {
        f"p{i}": msgspec.msgpack.encode(_report(f"p{i}", "a", {"a": HEALTHY})) for i in range(9)
    }
    accepted = [aggregator.add(name, data) for name, data in reports.items()]
    assert accepted == [True] * 5 + [False] * 4
    repeated = msgspec.msgpack.encode(_report("p1", "a", {"a": HEALTHY}))
    assert not aggregator.add("p1", repeated), "a repeated report"
    later_reports = [_report("p1", "a", {"a": HEALTHY}, number) for number in range(2, 10)]
    assert [aggregator.add("p1", msgspec.msgpack.encode(row)) for row in later_reports] == [
        True
    ] * 3 + [False] * 5
    (aggregate,) = aggregator.flush()
    assert (aggregate.proxy_count, aggregate.sequence_number, aggregate.interval_ms) == (5, 1, 1000)
    assert aggregate.histograms["a"] == (HistogramBucket(5, 250, 0),), (
        "four reports of one proxy count as one proxy, at its rate"
    )
    assert aggregator.flush() == [] and len(aggregate.histograms["a"]) <= MAX_HISTOGRAM_BUCKETS


@pytest.mark.parametrize(
    "change",
    [
        {"proxy_count": -1},
        {"proxy_count": 10**6},
        {"proxies_on_plan": 9},
        {"histograms": {"a": (HistogramBucket(0, 5, 0),)}},
        {"histograms": {"a": (HistogramBucket(1, 5, 6),)}},
        {"histograms": {"a": (HistogramBucket(1, -5, -6),)}},
        {"histograms": {"a": (HistogramBucket(9, 5, 1),)}},
        {"histograms": {"a": (HistogramBucket(1, 5, 1),) * 17}},
        {"outcomes": {"a": {"x": HEALTHY}}},
        {"proxy_count": 0},
        {"histograms": {f"z{i}": (HistogramBucket(1, 5, 1),) for i in range(30)}},
        {"requests": -1},
        {"requests": 10**15},
    ],
)
def test_invalid_aggregate_is_rejected(change: dict[str, object]) -> None:
    (aggregate,) = _aggregated([_report("p1", "a", {"a": HEALTHY})], 1)
    assert (
        decode_report(msgspec.msgpack.encode(msgspec.structs.replace(aggregate, **change))) is None
    )


@given(st.lists(st.integers(0, 50), min_size=1, max_size=30))
def test_weighted_median_equals_the_median_over_proxies(values: list[int]) -> None:
    assert weighted_median([(1, float(v)) for v in values]) == median(values)
    counted_values = [(values.count(v), float(v)) for v in sorted(set(values))]
    assert weighted_median(counted_values) == median(values)


def test_aggregate_of_a_lost_observer_expires_sooner() -> None:
    window = ReportWindow(5000)
    (aggregate,) = _aggregated([_report("p1", "a", {"a": HEALTHY})], 1)
    window.add(aggregate, 0)
    window.add(_report("p2", "a", {"a": HEALTHY}), 0)
    assert [row.proxy_count for row in window.current_reports(2400)] == [1, 0]
    assert [row.proxy for row in window.current_reports(2600)] == ["p2"]


def test_controller_accepts_aggregates_of_configured_observers_only() -> None:
    from mothstall.fleet.operator_file import parse_operator_file

    class _Traffic:
        def warm_weights(self) -> dict[str, float]:
            return {}

        def request_totals(self) -> tuple[int, int]:
            return 0, 0

        def apply_weights(self, weights: object, lifetime_ms: int) -> None:
            pass

    observer_rows = [{"name": "o0", "address": "127.0.0.1:2", "zone": "a"}]
    operator_file = {
        "cluster": "c",
        "keepers": [{"name": "k1", "address": "127.0.0.1:1"}],
        "zone": "a",
    }
    (aggregate,) = _aggregated([_report("p1", "a", {"a": HEALTHY})], 1)
    for observers, accepted_count in ((observer_rows, 1), ([], 0)):
        controller = FailoverController(
            parse_operator_file({**operator_file, "observers": observers}),
            "p9",
            ["x"],
            [1],
            _Traffic(),
        )
        controller.receive_reports((msgspec.msgpack.encode(aggregate),), 1)
        assert (
            len(controller.report_window.current_reports(1)) == accepted_count
            and controller.status_counters()["zone_reports_unread"] == 1 - accepted_count
        )
