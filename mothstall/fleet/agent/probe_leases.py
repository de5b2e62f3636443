"""The leases for the backends that this proxy has to probe."""

from __future__ import annotations

import time
from collections.abc import Collection

from mothstall.fleet.agent.backend_endpoint import Backends
from mothstall.fleet.agent.lease_renewal import LeaseRenewal
from mothstall.fleet.agent.snapshot_tracker import SnapshotTracker
from mothstall.fleet.agent.store_client import StoreClient
from mothstall.fleet.leases.names import PROBE_LEASE_PREFIX
from mothstall.fleet.probing import assignment

# Bounds the load on the store and the duration of one tick; renewals run between ticks.
MAX_LEASE_CHANGES_PER_TICK = 16


class ProbeLeases:
    """Acquires and releases probe leases to match the assignment by the rendezvous hash."""

    def __init__(self, proxy_name: str, leases: LeaseRenewal, snapshots: SnapshotTracker) -> None:
        self._proxy_name = proxy_name
        self._leases = leases
        self._snapshots = snapshots
        self._assignment = assignment.ProbeAssignment(proxy_name)

    async def reconcile(
        self, client: StoreClient, backends: Backends, live_proxies: Collection[str]
    ) -> None:
        """Release leases now assigned to other proxies, and acquire those assigned to this one.

        Args:
            client: The client of the store.
            backends: All backends; the same object while they are unchanged.
            live_proxies: The proxies that share them; the same object while they are unchanged.
        """
        if self._proxy_name not in live_proxies:
            return
        assigned = self._assignment.update(backends, live_proxies)
        wanted = {f"{PROBE_LEASE_PREFIX}{backend}" for backend in assigned}
        held = set(self._leases.held_names(PROBE_LEASE_PREFIX))
        surplus = sorted(held - wanted)[:MAX_LEASE_CHANGES_PER_TICK]
        for name in surplus:
            await self._leases.release(client, name)
        max_acquired = MAX_LEASE_CHANGES_PER_TICK - len(surplus)
        await self._acquire(client, sorted(wanted - held), max_acquired)

    async def _acquire(self, client: StoreClient, names: list[str], max_acquired: int) -> None:
        remaining = max_acquired
        for name in names:
            if remaining <= 0 or self._leases.is_renewal_due(time.monotonic_ns()):
                return  # renewals take precedence
            lease = self._snapshots.current.leases.get(name)
            if lease is None or lease.owner == self._leases.owner:
                await self._leases.acquire(client, name)
                remaining -= 1
