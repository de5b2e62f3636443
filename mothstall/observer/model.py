"""The pure parts of an observer, which its process drives."""

from __future__ import annotations

from dataclasses import dataclass

from mothstall.fleet.observers.attachment_table import AttachmentTable
from mothstall.fleet.observers.attachment_timings import AttachmentTimings
from mothstall.fleet.observers.orphan_sweeper import OrphanSweeper
from mothstall.fleet.observers.subscription_fanout import SubscriptionFanout


@dataclass(frozen=True, slots=True)
class ObserverModel:
    """The pure state of an observer.

    Attributes:
        table: Attachments of its proxies, and their membership in the replicated state.
        fanout: The copy of the state, and the version that each proxy has.
        sweeper: Members whose observer is lost.
    """

    table: AttachmentTable
    fanout: SubscriptionFanout
    sweeper: OrphanSweeper

    @classmethod
    def create(
        cls, name: str, lease_name: str, term_ns: int, orphan_grace_terms: int
    ) -> ObserverModel:
        """Return the initial model of an observer."""
        timings = AttachmentTimings.from_lease_term(term_ns)
        return cls(
            AttachmentTable(lease_name, timings),
            SubscriptionFanout(heartbeat_ns=timings.observer_heartbeat_ns),
            OrphanSweeper(name, orphan_grace_terms * term_ns),
        )
