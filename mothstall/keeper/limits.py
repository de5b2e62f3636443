"""Limits and intervals of a keeper process."""

from __future__ import annotations

from dataclasses import dataclass

MAX_CONNECTIONS = 2048  # concurrent clients; also read by the lab's capacity model


@dataclass(frozen=True, slots=True)
class KeeperLimits:
    """Limits and intervals of one keeper process; tests vary them.

    Attributes:
        max_connections: Maximum number of clients; further connections are closed.
        max_unsent_bytes: Size of the send buffer of a peer or report subscriber from which on
            messages are dropped: Raft messages and reports are sent again by their senders.
        watch_interval_s: Pause between two rounds of watch events.
        watch_batch_pause_s: Pause for other work between two batches of one round.
        max_events_per_batch: Watch events sent before a pause for other work.
        max_watch_events_per_s: Maximum rate of watch events with changes. After a round with more
            than `watch_interval_s` times this number, the next changes are delayed, so that many
            watchers get many changes in one event each.
        watch_heartbeat_s: A watcher that got no event for this long gets an empty event.
        slow_watcher_s: A watcher that has not read its last event is skipped for this long.
        expiry_interval_ns: Interval between removals of requests past their deadline.
        write_retry_s: Pause after a failed write.
        report_interval_s: Interval between two batches of relayed reports.
        max_reports_per_frame: Reports in one frame: 24 of 16 KiB stay well below a frame's limit.
        max_buffered_reports: Maximum number of buffered reports; further ones are dropped.
        max_report_bytes: Maximum size of a report; larger ones are dropped.
        max_backup_bytes: A backup has to be smaller than this to fit into one response frame.
        max_leases_in_status: Leases whose remaining time is listed in the status.
    """

    max_connections: int = MAX_CONNECTIONS
    max_unsent_bytes: int = 1024 * 1024
    watch_interval_s: float = 0.05
    watch_batch_pause_s: float = 0.002
    max_events_per_batch: int = 64
    max_watch_events_per_s: int = 1000
    watch_heartbeat_s: float = 0.5
    slow_watcher_s: float = 2.0
    expiry_interval_ns: int = 250_000_000
    write_retry_s: float = 0.5
    report_interval_s: float = 0.1
    max_reports_per_frame: int = 24
    max_buffered_reports: int = 2048
    max_report_bytes: int = 16 * 1024
    max_backup_bytes: int = 1024 * 1024
    max_leases_in_status: int = 64
