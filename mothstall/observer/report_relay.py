"""Aggregates reports of an observer's proxies for keepers, and relays reports to subscribers."""

from __future__ import annotations

import asyncio

from mothstall.fleet.failover.reports import encode_report
from mothstall.fleet.observers.report_aggregator import ReportAggregator
from mothstall.observer.keeper_contact import KeeperClients
from mothstall.observer.limits import ObserverLimits
from mothstall.serving.report_subscribers import ReportSubscribers


class ReportRelay:
    """Publishes one aggregate for each zone at the interval at which a proxy reports.

    Attributes:
        subscribers: The attached proxies that receive the reports of all zones.
    """

    def __init__(
        self,
        name: str,
        clients: KeeperClients,
        publish_interval_s: float,
        limits: ObserverLimits,
        counts: dict[str, int],
    ) -> None:
        """Count `reports`, `reports_left_out` and `sums` in `counts`; `name` is the observer's."""
        self.subscribers = ReportSubscribers(limits.max_unsent_report_bytes)
        self._aggregator = ReportAggregator(name)
        self._clients = clients
        self._publish_interval_s = publish_interval_s
        self._limits = limits
        self._counts = counts

    def add(self, proxy: str, report: bytes) -> None:
        """Add a proxy's report; an invalid or surplus one is dropped and counted."""
        is_accepted = self._aggregator.add(proxy, report)
        self._counts["reports" if is_accepted else "reports_left_out"] += 1

    def on_reports(self, reports: tuple[bytes, ...]) -> None:
        """Send reports from a keeper to the subscribers."""
        skipped = self.subscribers.send(reports)
        self._counts["reports_left_out"] += skipped * len(reports)

    async def run(self) -> None:
        """Publish aggregates, and subscribe to reports while any proxy does, until cancelled."""
        loop = asyncio.get_running_loop()
        due_s = loop.time()
        while True:
            await asyncio.sleep(self._limits.report_interval_s)
            self._clients.state.subscribe_reports(bool(self.subscribers))
            if loop.time() < due_s:
                continue
            due_s = max(due_s + self._publish_interval_s, loop.time())
            for report in self._aggregator.flush():
                is_sent = self._clients.state.publish_report(encode_report(report))
                self._counts["sums" if is_sent else "reports_left_out"] += 1
