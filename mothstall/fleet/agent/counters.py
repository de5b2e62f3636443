"""Counters of an agent. Pure."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class AgentCounters:
    """Counts since the agent's start; `as_dict` gives them the names of the status output."""

    probes_sent: int = 0
    probes_failed: int = 0
    admin_requests: int = 0
    admin_requests_rejected: int = 0
    leases_lost: int = 0
    hints_written: int = 0
    snapshots: int = 0

    def as_dict(self) -> dict[str, int]:
        """Return the counters under their published names."""
        return {
            "probes": self.probes_sent,
            "probes_failed": self.probes_failed,
            "orders": self.admin_requests,
            "orders_refused": self.admin_requests_rejected,
            "leases_lost": self.leases_lost,
            "hints_written": self.hints_written,
            "snapshots": self.snapshots,
        }
