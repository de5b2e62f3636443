"""Schedule and contents of a proxy's traffic reports. Pure."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from mothstall.fleet.failover.reports import MAX_INTERVAL_MS
from mothstall.fleet.failover.zone_counters import ZoneCounters


class ReportSender:
    """Turns a proxy's counters into a report once each interval.

    Attributes:
        counters: The attempts since the last report.
        reports_taken: Reports since the start.
    """

    def __init__(self, counters: ZoneCounters, interval_ms: int) -> None:
        """Start with the first report due at once.

        Args:
            counters: Where attempts are counted.
            interval_ms: Milliseconds between two reports.
        """
        self.counters = counters
        self.reports_taken = 0
        self._interval_ms = interval_ms
        # Time of the last report in milliseconds; 0 before the first one.
        self._last_report_ms = 0
        self._requests_before = 0
        self._rejected_before = 0
        # The plan that was followed since the last report; 0 for several plans or none.
        self._plan_number = 0

    def note_plan(self, plan_number: int) -> None:
        """Record which plan is followed now; an interval with two plans is reported with plan 0."""
        if plan_number != self._plan_number:
            self._plan_number = 0

    def is_due(self, now_ms: int) -> bool:
        """Whether an interval has passed since the last report."""
        elapsed_ms = now_ms - self._last_report_ms
        return not self._last_report_ms or elapsed_ms >= self._interval_ms

    def take(
        self,
        now_ms: int,
        requests: int,
        rejected: int,
        warm_weights: Mapping[str, float],
        plan_number: int,
    ) -> bytes:
        """Return the encoded report of the interval that ends now.

        Args:
            now_ms: The time.
            requests: Client requests since the proxy's start.
            rejected: Rejected requests among them.
            warm_weights: See `TrafficReport`.
            plan_number: The plan that is followed from now on.
        """
        report = self.counters.take_report(
            min(now_ms - self._last_report_ms, MAX_INTERVAL_MS),
            self._plan_number,
            requests - self._requests_before,
            rejected - self._rejected_before,
            warm_weights,
        )
        self._last_report_ms = now_ms
        self._requests_before = requests
        self._rejected_before = rejected
        self._plan_number = plan_number
        self.reports_taken += 1
        return msgspec.msgpack.encode(report)
