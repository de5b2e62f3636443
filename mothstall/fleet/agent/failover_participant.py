"""The agent's part in zone failover: it reports traffic, and applies and writes the plan."""

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

WEIGHT_CHECK_INTERVAL_S = (
    0.05  # between checks for due routing weights; half of the controller's own interval
)


class FailoverParticipant:
    """Connects a `FailoverController` with the store.

    Attributes:
        controller: Decides on failover; the request path reports to it.
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
        """Pass other proxies' reports to the controller."""
        self.controller.receive_reports(reports, _now_ms())

    def on_snapshot(self, received_at_ns: int) -> None:
        """Pass the current snapshot, which may contain a new plan, to the controller."""
        self.controller.apply_snapshot(self._snapshots.current, received_at_ns // NS_PER_MS)

    async def run(self, client: StoreClient) -> None:
        """Apply due routing weights and publish reports, until cancelled."""
        while True:
            now_ms = _now_ms()
            self.controller.apply_due_weights(now_ms, self._snapshots.age_ms())
            report = self.controller.take_report(now_ms)
            if report:
                client.publish_report(report)
            await asyncio.sleep(WEIGHT_CHECK_INTERVAL_S)

    async def reconcile(self, client: StoreClient, live_proxies: Collection[str]) -> None:
        """Write the plan while this proxy holds the failover lease.

        If nobody holds the lease, the proxy selected by the rendezvous hash acquires it.

        Guards against a lease without a usable holder after a loss of quorum: the lease has expired
        by the holder's own clock, but its row at the store is still the holder's, and no other
        proxy may acquire it before the row expires, a full term after the next leader's election.
        The owner of such a row acquires the lease again, whichever proxy the hash selects by then.
        """
        name = FAILOVER_LEASE
        if name not in self._leases.holder.held and self._may_acquire(live_proxies):
            await self._leases.acquire(client, name)
        token = self._leases.token(name)
        client.subscribe_reports(bool(token))
        if token and self._snapshots.current.version < self._leases.acquired_version(name):
            # Guards against a new owner that continues from a plan older than the previous owner's
            # last one: its snapshot is older than its lease, and later changes have not arrived
            # yet.
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
