"""Bounds and intervals of an observer process."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ObserverLimits:
    """Bounds and intervals of one observer process; tests vary them.

    Attributes:
        max_connections: Maximum connections of proxies and tools; further ones are closed.
        tick_s: Interval of ticks: expiry of leases and attachments, state updates.
        max_updates_per_tick: Maximum state updates sent before other work on the event loop can
            run.
        lease_step_s: Pause between steps, each of which acquires or renews the observer's own
            lease, or writes a membership batch.
        max_change_wait_s: Timeout of a lease acquisition or a batch, unless a third of the lease
            term is shorter: a slow one must not delay a renewal.
        min_renewal_wait_s: Minimum timeout of a renewal of the observer's own lease.
        stale_ns: Time without a message from a keeper that has a leader, after which another keeper
            is tried and proposals of proxies are rejected.
        max_forwarded_proposals: Maximum proposals of proxies in flight to a keeper.
        max_queued_proposals: Maximum queued proposals and renewals; further ones are rejected.
        max_proposal_wait_s: Timeout of a proxy's proposal here, unless the proxy sets a shorter
            one.
        renewal_interval_s: Interval at which the renewals of all proxies are proposed together.
        max_renewal_wait_s: Timeout of one such proposal.
        report_interval_s: Interval at which the subscription to reports is updated.
        max_unsent_report_bytes: Unsent bytes to a subscriber from which on reports to it are
            dropped.
        orphan_grace_terms: Lease terms for which proxies of a lost observer count as moving.
        release_timeout_s: Timeout of the release of the lease at shutdown.
    """

    max_connections: int = 4608
    tick_s: float = 0.05
    max_updates_per_tick: int = 512
    lease_step_s: float = 0.05
    max_change_wait_s: float = 1.0
    min_renewal_wait_s: float = 0.05
    stale_ns: int = 1_500_000_000
    max_forwarded_proposals: int = 256
    max_queued_proposals: int = 2048
    max_proposal_wait_s: float = 1.5
    renewal_interval_s: float = 0.1
    max_renewal_wait_s: float = 0.7
    report_interval_s: float = 0.1
    max_unsent_report_bytes: int = 256 * 1024
    orphan_grace_terms: int = 5
    release_timeout_s: float = 0.3
