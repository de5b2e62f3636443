"""Counts of one proxy's attempts to each zone since its last report. Pure."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from mothstall.fleet.failover.reports import MAX_ZONES, OutcomeCounts, TrafficReport
from mothstall.interface import AttemptResult

# Positions of the outcomes in a row of counts; the order of `OutcomeCounts`.
_GOOD = 0
_LATE = 1
_FAILED = 2
_CONNECT_FAILED = 3
_REJECTED = 4
_OUTCOME_COUNT = 5

_OUTCOME_POSITIONS = {
    AttemptResult.ERROR: _FAILED,
    AttemptResult.TIMEOUT: _FAILED,
    AttemptResult.RESET: _FAILED,
    AttemptResult.CONNECT_FAILED: _CONNECT_FAILED,
    AttemptResult.REJECTED: _REJECTED,
}


@dataclass(slots=True)
class _Utilization:
    """Utilization that the backends of one zone reported."""

    total: float = 0.0
    count: int = 0


class ZoneCounters:
    """Counts attempts as they end.

    Attempts that were cancelled or never sent are not counted, as they don't show a zone's health.
    """

    def __init__(
        self,
        proxy: str,
        zone: str,
        classes: Sequence[str],
        latency_objectives_ns: Sequence[int],
    ) -> None:
        """Start without counts.

        Args:
            proxy: Name of the proxy.
            zone: The zone that it runs in.
            classes: Names of the classes of requests.
            latency_objectives_ns: For each class, nanoseconds within which a response is good.
        """
        self._proxy = proxy
        self._zone = zone
        self._classes = classes
        self._latency_objectives_ns = latency_objectives_ns
        # By zone, one row of counts for each class.
        self._counts: dict[str, list[list[int]]] = {}
        self._utilization: dict[str, _Utilization] = {}
        self._sequence_number = 0

    def record_attempt(
        self,
        zone: str,
        class_index: int,
        result: AttemptResult,
        latency_ns: int,
        utilization: float = -1.0,
    ) -> None:
        """Count an attempt that ended.

        Args:
            zone: The zone that it was sent to.
            class_index: Index of the request's class.
            result: How it ended.
            latency_ns: Nanoseconds that the attempt took.
            utilization: Utilization that the backend reported, 0 to 1; negative if none.
        """
        rows = self._counts.get(zone)
        if rows is None:
            if len(self._counts) >= MAX_ZONES:
                return
            rows = [[0] * _OUTCOME_COUNT for _ in self._classes]
            self._counts[zone] = rows
        if result == AttemptResult.OK:
            is_late = latency_ns > self._latency_objectives_ns[class_index]
            rows[class_index][_LATE if is_late else _GOOD] += 1
        elif result in _OUTCOME_POSITIONS:
            rows[class_index][_OUTCOME_POSITIONS[result]] += 1
        if utilization >= 0.0:
            zone_utilization = self._utilization.get(zone)
            if zone_utilization is None:
                zone_utilization = _Utilization()
                self._utilization[zone] = zone_utilization
            zone_utilization.total += utilization
            zone_utilization.count += 1

    def take_report(
        self,
        interval_ms: int,
        plan_number: int,
        requests: int,
        rejected: int,
        warm_weights: Mapping[str, float],
    ) -> TrafficReport:
        """Return the counts since the last report, and reset them.

        Args:
            interval_ms: Milliseconds since the last report.
            plan_number: See `TrafficReport`.
            requests: Client requests in this interval.
            rejected: Rejected requests among them.
            warm_weights: See `TrafficReport`.
        """
        self._sequence_number += 1
        outcomes = {zone: self._outcomes_by_class(rows) for zone, rows in self._counts.items()}
        utilization = {
            zone: zone_utilization.total / zone_utilization.count
            for zone, zone_utilization in self._utilization.items()
        }
        self._counts = {}
        self._utilization = {}
        return TrafficReport(
            proxy=self._proxy,
            zone=self._zone,
            sequence_number=self._sequence_number,
            interval_ms=max(1, interval_ms),
            plan_number=plan_number,
            requests=requests,
            rejected=rejected,
            outcomes={zone: by_class for zone, by_class in outcomes.items() if by_class},
            warm_weights=dict(warm_weights),
            utilization=utilization,
        )

    def _outcomes_by_class(self, rows: Sequence[Sequence[int]]) -> dict[str, OutcomeCounts]:
        return {
            name: OutcomeCounts(*row)
            for name, row in zip(self._classes, rows, strict=True)
            if any(row)
        }
