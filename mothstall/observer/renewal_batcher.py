"""Renewals of leases of all proxies, proposed together.

The replicated state checks only the name and the token of a renewed lease, not who proposes the
renewal, so that one change can renew leases of many proxies.
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass

from mothstall.fleet.errors import KeeperUnavailableError
from mothstall.observer.attached_proxy import PendingProposal
from mothstall.observer.keeper_contact import KeeperClients
from mothstall.observer.limits import ObserverLimits
from mothstall.store.state.changes import ChangeResult, RenewLeases
from mothstall.store.state.limits import MAX_LEASES_PER_RENEWAL

MAX_REASON_LENGTH = 300


@dataclass(frozen=True, slots=True)
class QueuedRenewal:
    """One renewal of a proxy, and the proposal that it came in."""

    pending: PendingProposal
    change: RenewLeases


class RenewalBatcher:
    """Queues renewals in order of arrival and proposes as many as fit into one change."""

    def __init__(
        self, owner: str, clients: KeeperClients, limits: ObserverLimits, counts: dict[str, int]
    ) -> None:
        """Propose under the observer's name `owner`; count `renewals` and `renewed` in `counts`."""
        self._owner = owner
        self._clients = clients
        self._limits = limits
        self._counts = counts
        self._queue: deque[QueuedRenewal] = deque()

    def __len__(self) -> int:
        return len(self._queue)

    def add(self, pending: PendingProposal, change: RenewLeases) -> None:
        """Queue a renewal."""
        self._queue.append(QueuedRenewal(pending, change))

    async def run(self) -> None:
        """Propose the queued renewals at each interval, until cancelled."""
        while True:
            await asyncio.sleep(self._limits.renewal_interval_s)
            while batch := self._take_batch():
                await self._propose(batch)

    def _take_batch(self) -> list[QueuedRenewal]:
        """Take as many renewals as fit into one change; drop those that no proxy waits for."""
        now_s = asyncio.get_running_loop().time()
        batch: list[QueuedRenewal] = []
        lease_count = 0
        while self._queue:
            renewal = self._queue[0]
            if lease_count + len(renewal.change.leases) > MAX_LEASES_PER_RENEWAL:
                break
            self._queue.popleft()
            pending = renewal.pending
            if pending.is_awaited(now_s):
                batch.append(renewal)
                lease_count += len(renewal.change.leases)
            else:
                pending.proxy.pending.pop(pending.request.request_id, None)
        return batch

    async def _propose(self, batch: list[QueuedRenewal]) -> None:
        leases = tuple(lease for renewal in batch for lease in renewal.change.leases)
        self._counts["renewals"] += 1
        self._counts["renewed"] += len(leases)
        # A proxy counts the new term from the time just before it sent the renewal, so a renewal
        # that takes longer extends the lease by less.
        wait_s = self._limits.max_renewal_wait_s
        try:
            result = await self._clients.renewals.propose(
                RenewLeases(self._owner, leases), wait_s, wait_for_quorum=False
            )
        except KeeperUnavailableError as error:
            result = unavailable_result(error)
        lost = set(result.lost_leases)
        for renewal in batch:
            if renewal.pending.is_cancelled:
                continue
            lost_by_proxy = tuple(name for name, _ in renewal.change.leases if name in lost)
            renewal.pending.respond(
                ChangeResult(
                    rejected_reason=result.rejected_reason,
                    lost_leases=lost_by_proxy,
                    version=result.version,
                )
            )


def unavailable_result(error: KeeperUnavailableError) -> ChangeResult:
    """Return the result of a proposal for which no keeper was available."""
    return ChangeResult(rejected_reason=f"no quorum: {error}"[:MAX_REASON_LENGTH])
