"""The status of an observer, for operators."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from mothstall.fleet.operator_config import ObserverConfig
from mothstall.observer.attached_proxies import AttachedProxies
from mothstall.observer.keeper_contact import KeeperContact
from mothstall.observer.model import ObserverModel
from mothstall.observer.own_lease import OwnLease
from mothstall.serving.frame_server import FrameServer


@dataclass(frozen=True, slots=True)
class StatusReporter:
    """Makes the status of an observer; its keys are documented for operators."""

    config: ObserverConfig
    server: FrameServer
    contact: KeeperContact
    lease: OwnLease
    model: ObserverModel
    proxies: AttachedProxies

    def status(self) -> dict[str, Any]:
        """Return the status, which is sent as JSON."""
        attachments = self.model.table.attachments.values()
        return {
            "name": self.config.name,
            "zone": self.config.zone,
            "region": self.config.region,
            "keeper": self.contact.clients.state.peer_name,
            "token": self.lease.valid_token(),
            "attached": len(self.proxies),
            "seated": sum(attachment.lease_token != 0 for attachment in attachments),
            "waiting": self.model.table.pending_count,
            "moving": self.model.sweeper.orphan_count,
            "version": self.model.fanout.version,
            "age_ms": self.contact.age_ms(),
            "left_out": self._left_out(),
            "counts": self._counts(),
        }

    def _left_out(self) -> int:
        counts = self.server.counts_with_open_connections()
        return (
            self.model.fanout.counts["left_out"]
            + self.model.table.counts["turned_away"]
            + counts["reports_left_out"]
            + counts["asks_dropped"]
        )

    def _counts(self) -> dict[str, int]:
        return {
            **self.server.counts_with_open_connections(),
            **self.model.table.counts,
            **{f"fed_{name}": count for name, count in self.model.fanout.counts.items()},
        }
