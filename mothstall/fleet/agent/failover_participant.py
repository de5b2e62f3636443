"""The agent's part in zone failover: reports, following the plan, and making it under its lease."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Collection

from mothstall.fleet.agent.lease_renewal import PROPOSAL_TIMEOUT_S, LeaseRenewal
from mothstall.fleet.agent.snapshot_tracker import SnapshotTracker
from mothstall.fleet.agent.store_client import StoreClient
from mothstall.fleet.failover.controller import FailoverController
from mothstall.fleet.failover.plan import FAILOVER_LEASE
from mothstall.fleet.probing import assignment
from mothstall.fleet.units import NS_PER_MS

log = logging.getLogger("mothstall.fleet")

STEER_INTERVAL_S = (
    0.05  # between two checks of the routing weights; half of the controller's own interval
)


class FailoverParticipant:
    """Connects a `FailoverController` with the store.

    Attributes:
        controller: What decides, and what the request path reports to.
    """

    def __init__(
        self,
        controller: FailoverController,
        proxy_name: str,
        leases: LeaseRenewal,
        snapshots: SnapshotTracker,
    ) -> None:
        self.controller = controller
        self._proxy_name = proxy_name
        self._leases = leases
        self._snapshots = snapshots

    def on_reports(self, reports: tuple[bytes, ...]) -> None:
        """Take in other proxies' reports."""
        self.controller.receive_reports(reports, _now_ms())

    def on_snapshot(self, received_at_ns: int) -> None:
        """Take in the current snapshot, which may hold a new plan."""
        self.controller.apply_snapshot(self._snapshots.current, received_at_ns // NS_PER_MS)

    async def run(self, client: StoreClient) -> None:
        """Follow the plan and report, until cancelled."""
        while True:
            now_ms = _now_ms()
            self.controller.apply_due_weights(now_ms, self._snapshots.age_ms())
            report = self.controller.take_report(now_ms)
            if report:
                client.publish_report(report)
            await asyncio.sleep(STEER_INTERVAL_S)

    async def reconcile(self, client: StoreClient, live_proxies: Collection[str]) -> None:
        """Make the plan while this proxy holds its lease.

        Where nobody holds it, the proxy that the rendezvous hash names acquires it.

        Guards against a holder that could not renew while there was no quorum: its own count is
        over, the row at the store is still its own, and nobody else may acquire it before that
        expires, a complete term behind the next leader's election. It holds the lease by that row,
        whoever the hash names by now.
        """
        name = FAILOVER_LEASE
        if name not in self._leases.holder.held and self._may_acquire(live_proxies):
            await self._leases.acquire(client, name)
        token = self._leases.token(name)
        client.subscribe_reports(bool(token))
        if token and self._snapshots.current.version < self._leases.acquired_version(name):
            # Guards against an owner that goes on from a plan older than the last owner's: its
            # snapshot is older than its own lease, and the rest is still to come.
            return
        await self._write_plan(client, token)

    def _may_acquire(self, live_proxies: Collection[str]) -> bool:
        row = self._snapshots.current.leases.get(FAILOVER_LEASE)
        if row is not None:
            return row.owner == self._leases.owner
        return assignment.assigned_prober(FAILOVER_LEASE, live_proxies) == self._proxy_name

    async def _write_plan(self, client: StoreClient, token: int) -> None:
        write = self.controller.next_write(
            token, self._snapshots.current, _now_ms(), _log_invalid_plan
        )
        if write is None:
            return
        result = await client.propose(write, PROPOSAL_TIMEOUT_S)
        if result.rejected_reason:
            self._leases.forget_rejected(FAILOVER_LEASE)
            log.warning("plan rejected by store", extra={"kv": {"reason": result.rejected_reason}})
        else:
            self.controller.mark_written()


def _now_ms() -> int:
    return time.monotonic_ns() // NS_PER_MS


def _log_invalid_plan(reason: str) -> None:
    log.warning("plan failed its validation", extra={"kv": {"reason": reason}})
