"""Counts of attempts by zone and outcome."""

from __future__ import annotations

from mothstall.fleet.failover.reports import OutcomeCounts
from mothstall.fleet.failover.zone_counters import ZoneCounters
from mothstall.interface import AttemptResult


def test_a_report_has_the_attempts_that_ended_since_the_last_one() -> None:
    counters = ZoneCounters("p", "a", ["x", "y"], [100, 200])
    counters.record_attempt("b", 0, AttemptResult.OK, 90, 0.5)
    counters.record_attempt("b", 0, AttemptResult.OK, 150, 0.5)
    counters.record_attempt("b", 0, AttemptResult.TIMEOUT, 9, 0.5)
    counters.record_attempt("b", 0, AttemptResult.CANCELLED, 9, 0.5)
    counters.record_attempt("b", 1, AttemptResult.REJECTED, 5)
    report = counters.take_report(1000, 3, 10, 1, {"b": 2.0})
    assert report.outcomes == {
        "b": {
            "x": OutcomeCounts(good=1, late=1, failed=1),
            "y": OutcomeCounts(rejected=1),
        }
    }
    assert report.utilization == {"b": 0.5}
    assert counters.take_report(1000, 3, 0, 0, {}).outcomes == {}
