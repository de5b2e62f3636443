"""The newest traffic reports of each proxy. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from mothstall.fleet.failover.reports import TrafficReport

# Maximum proxies whose reports are kept; beyond it, the one with the oldest last report is dropped.
MAX_TRACKED_PROXIES = 2048
# Reports of each proxy that are kept: about three seconds, so that one lost report leaves no gap.
MAX_REPORTS_PER_PROXY = 3
# Divisor of the lifetime of an aggregate. Guards against proxies that count twice, in the last
# aggregates of a lost observer and in those of the observer that they are attached to now. The
# shorter lifetime suffices, as aggregates arrive without gaps.
AGGREGATE_LIFETIME_DIVISOR = 2


@dataclass(slots=True, frozen=True)
class _ReceivedReport:
    received_ms: int
    report: TrafficReport


class ReportWindow:
    """The newest reports of each proxy, bounded by proxies, by reports of each, and by age.

    All times are milliseconds of the monotonic clock of the process that receives the reports.
    """

    def __init__(self, stale_ms: int) -> None:
        """Create an empty window.

        Args:
            stale_ms: Milliseconds after which a report is stale.
        """
        self.stale_ms = stale_ms
        self._received: dict[str, list[_ReceivedReport]] = {}

    def add(self, report: TrafficReport, now_ms: int) -> None:
        """Add a report, unless a newer one of the same proxy was received before.

        The sequence numbers of a restarted proxy begin at one again; its reports are accepted once
        its old ones are stale.
        """
        received = self._received.setdefault(report.proxy, [])
        if received:
            newest = received[-1]
            is_overtaken = report.sequence_number <= newest.report.sequence_number
            if is_overtaken and now_ms - newest.received_ms < self.stale_ms:
                return
        received.append(_ReceivedReport(now_ms, report))
        del received[:-MAX_REPORTS_PER_PROXY]
        if len(self._received) > MAX_TRACKED_PROXIES:
            del self._received[min(self._received, key=self._last_received_ms)]

    def current_reports(self, now_ms: int) -> list[TrafficReport]:
        """Return all reports that are not stale, and drop the others."""
        for proxy, received in list(self._received.items()):
            current = [row for row in received if self._is_current(row, now_ms)]
            if current:
                self._received[proxy] = current
            else:
                del self._received[proxy]
        return [row.report for received in self._received.values() for row in received]

    def _last_received_ms(self, proxy: str) -> int:
        return self._received[proxy][-1].received_ms

    def _is_current(self, row: _ReceivedReport, now_ms: int) -> bool:
        divisor = AGGREGATE_LIFETIME_DIVISOR if row.report.proxy_count else 1
        return now_ms - row.received_ms < self.stale_ms / divisor
