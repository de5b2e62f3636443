"""Relays reports of proxies from clients to the other keepers and to subscribers."""

from __future__ import annotations

import asyncio

import msgspec

from mothstall.keeper.limits import KeeperLimits
from mothstall.keeper.peers import PeerConnections
from mothstall.serving.report_subscribers import ReportSubscribers, batches
from mothstall.store.protocol import keeper_messages


class ReportRelay:
    """Relays reports in batches, once to each other keeper and to this keeper's subscribers.

    Buffers are bounded: each proxy sends a new report every second, so that a dropped report
    does no harm. Reports are not stored.

    Attributes:
        subscribers: The clients of this keeper that receive all reports.
    """

    def __init__(
        self,
        peers: PeerConnections,
        limits: KeeperLimits,
        counts: dict[str, int],
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Count `reports` and `reports_left_out` in `counts`."""
        self.subscribers = ReportSubscribers(limits.max_unsent_bytes)
        self._peers = peers
        self._limits = limits
        self._counts = counts
        self._loop = loop
        self._from_clients: list[bytes] = []
        self._from_peers: list[bytes] = []
        self._timer: asyncio.TimerHandle | None = None

    def publish(self, report: bytes) -> None:
        """Buffer a client's report for the other keepers and for the subscribers here."""
        self._counts["reports"] += 1
        self._buffer(self._from_clients, (report,))

    def receive_from_peer(self, reports: tuple[bytes, ...]) -> None:
        """Buffer reports that another keeper relayed, for the subscribers here alone."""
        self._buffer(self._from_peers, reports)

    def start(self) -> None:
        """Relay the buffered reports now, and from now on by timer."""
        self._relay_buffered()

    def stop(self) -> None:
        """Stop relaying reports."""
        if self._timer:
            self._timer.cancel()

    def _buffer(self, buffer: list[bytes], reports: tuple[bytes, ...]) -> None:
        capacity = max(0, self._limits.max_buffered_reports - len(buffer))
        small_enough = [
            report for report in reports if len(report) <= self._limits.max_report_bytes
        ]
        accepted = small_enough[:capacity]
        self._counts["reports_left_out"] += len(reports) - len(accepted)
        buffer += accepted

    def _relay_buffered(self) -> None:
        from_clients = self._from_clients
        from_all = from_clients + self._from_peers
        self._from_clients = []
        self._from_peers = []
        for batch in batches(from_clients, self._limits.max_reports_per_frame):
            self._peers.broadcast(msgspec.msgpack.encode(keeper_messages.RelayReports(batch)))
        if self.subscribers:
            for batch in batches(from_all, self._limits.max_reports_per_frame):
                self.subscribers.send(batch)
        self._timer = self._loop.call_later(self._limits.report_interval_s, self._relay_buffered)
