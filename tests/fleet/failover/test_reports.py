"""Decoding and checks of reports, and the window of the newest reports."""

from __future__ import annotations

import math
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from mothstall.fleet.failover.report_window import MAX_TRACKED_PROXIES, ReportWindow
from mothstall.fleet.failover.reports import OutcomeCounts, TrafficReport, decode_report
from tests.fleet.failover.builders import HEALTHY, make_report


@given(st.binary(max_size=600))
def test_any_bytes_decode_to_a_report_or_to_none(data: bytes) -> None:
    report = decode_report(data)
    assert report is None or isinstance(report, TrafficReport)


@pytest.mark.parametrize(
    "change",
    [
        {"interval_ms": 0},
        {"requests": -1},
        {"warm_weights": {"a": math.nan}},
        {"utilization": {"a": math.inf}},
        {"outcomes": {"a": {"x": OutcomeCounts(good=-5)}}},
        {"requests": 10**12},
        {"zone": ""},
        {"warm_weights": {f"z{i}": 1.0 for i in range(30)}},
    ],
)
def test_a_report_with_implausible_values_is_rejected(change: dict[str, Any]) -> None:
    report = make_report("p", "a", {"a": HEALTHY})
    changed = msgspec.structs.replace(report, **change)
    assert decode_report(msgspec.msgpack.encode(report)) == report
    assert decode_report(msgspec.msgpack.encode(changed)) is None


def test_the_window_is_bounded_by_proxies() -> None:
    window = ReportWindow(5000)
    for i in range(3000):
        window.add(make_report(f"p{i}", "a", {"a": HEALTHY}), i)
    assert MAX_TRACKED_PROXIES == 2048
    assert len(window.current_reports(3000)) <= MAX_TRACKED_PROXIES


def test_the_window_ignores_a_report_older_than_the_newest() -> None:
    window = ReportWindow(5000)
    window.add(make_report("p9", "a", {"a": HEALTHY}, 7), 9000)
    window.add(make_report("p9", "a", {"a": HEALTHY}, 6), 9001)
    assert [report.sequence_number for report in window.current_reports(9001)] == [7]


def test_the_window_forgets_stale_reports() -> None:
    window = ReportWindow(5000)
    window.add(make_report("p9", "a", {"a": HEALTHY}, 7), 9000)
    assert window.current_reports(20_000) == []
