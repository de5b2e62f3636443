"""Forwards proposals of proxies unchanged to the keepers."""

from __future__ import annotations

import asyncio
from collections import deque

from mothstall.fleet.errors import KeeperUnavailableError
from mothstall.fleet.leases.names import OBSERVER_LEASE_PREFIX
from mothstall.observer.attached_proxy import AttachedProxy, PendingProposal
from mothstall.observer.keeper_contact import KeeperContact
from mothstall.observer.limits import ObserverLimits
from mothstall.observer.renewal_batcher import RenewalBatcher, unavailable_result
from mothstall.observer.tasks import ObserverTasks
from mothstall.store.protocol.keeper_messages import ProposeRequest
from mothstall.store.state.changes import (
    AcquireLease,
    Change,
    ChangeResult,
    ExpireLeases,
    ReleaseLease,
    RenewLeases,
    RevokeLease,
    UpdateMembers,
)
from mothstall.store.state.limits import MAX_LEASES_PER_RENEWAL


class ProposalForwarder:
    """Forwards a bounded number of proposals at a time; drops those that their proxy abandoned.

    Attributes:
        limits: Bounds; tests vary them.
        renewals: Renewals, which are proposed together.
        queued: Proposals that wait to be forwarded.
        in_flight: Number of proposals in flight to a keeper.
    """

    def __init__(
        self,
        contact: KeeperContact,
        renewals: RenewalBatcher,
        tasks: ObserverTasks,
        limits: ObserverLimits,
        counts: dict[str, int],
    ) -> None:
        """Prepare the forwarder.

        Args:
            contact: Where proposals go.
            renewals: Where renewals go instead.
            tasks: Runs one task for each proposal in flight.
            limits: Bounds.
            counts: `asks`, `asks_refused` and `asks_dropped` are counted here.
        """
        self.limits = limits
        self.queued: deque[PendingProposal] = deque()
        self.in_flight = 0
        self._contact = contact
        self.renewals = renewals
        self._tasks = tasks
        self._counts = counts
        self._loop = asyncio.get_running_loop()

    def submit(self, proxy: AttachedProxy, request: ProposeRequest) -> None:
        """Accept a proposal; if the proxy has resent one, only update its deadline."""
        max_wait_s = self.limits.max_proposal_wait_s
        deadline_s = self._loop.time() + min(request.wait_ms / 1000 or max_wait_s, max_wait_s)
        if request.request_id in proxy.pending:
            proxy.pending[request.request_id].deadline_s = deadline_s
            return
        self._counts["asks"] += 1
        reason = self._reason_to_reject(request.proposal.change)
        if reason:
            self._counts["asks_refused"] += 1
            proxy.respond(request.request_id, ChangeResult(rejected_reason=reason))
            return
        pending = PendingProposal(proxy, request, deadline_s)
        proxy.pending[request.request_id] = pending
        change = request.proposal.change
        if isinstance(change, RenewLeases) and len(change.leases) <= MAX_LEASES_PER_RENEWAL:
            self.renewals.add(pending, change)
        else:
            self.queued.append(pending)
            self.forward_queued()

    def cancel_request(self, proxy: AttachedProxy, request_id: int) -> None:
        """Cancel a proposal that its proxy no longer waits for."""
        pending = proxy.pending.get(request_id)
        if pending is not None:
            self._cancel(pending)

    def cancel_all(self, proxy: AttachedProxy) -> None:
        """Cancel all proposals of a proxy that is gone."""
        for pending in list(proxy.pending.values()):
            self._cancel(pending)

    def forward_queued(self) -> None:
        """Forward queued proposals up to the limit of proposals in flight."""
        while self.queued and self.in_flight < self.limits.max_forwarded_proposals:
            pending = self.queued.popleft()
            if not self._is_awaited(pending):
                continue
            self.in_flight += 1
            pending.task = self._tasks.spawn(self._forward(pending))
            pending.task.add_done_callback(self._on_forwarded)

    def _reason_to_reject(self, change: Change) -> str:
        reason = self._contact.unavailable_reason()
        if reason:
            return reason
        if _changes_observers(change):
            return "a proxy answers for no observer"
        if len(self.queued) + len(self.renewals) >= self.limits.max_queued_proposals:
            return "too many callers wait at the observer"
        return ""

    def _is_awaited(self, pending: PendingProposal) -> bool:
        """Guards against work that nobody waits for: the proxy is gone or no longer waits."""
        if pending.is_awaited(self._loop.time()):
            return True
        if not pending.is_cancelled:
            self._cancel(pending)
        return False

    def _cancel(self, pending: PendingProposal) -> None:
        """Mark a queued proposal to be dropped, or cancel one that is in flight to a keeper."""
        pending.is_cancelled = True
        pending.proxy.pending.pop(pending.request.request_id, None)
        self._counts["asks_dropped"] += 1
        if pending.task is not None:
            pending.task.cancel()

    async def _forward(self, pending: PendingProposal) -> None:
        client = self._contact.clients.state
        wait_s = pending.deadline_s - self._loop.time()
        try:
            result = await client.forward_proposal(pending.request.proposal, wait_s)
        except KeeperUnavailableError as error:
            result = unavailable_result(error)
        pending.respond(result)

    def _on_forwarded(self, _: asyncio.Task[None]) -> None:
        self.in_flight -= 1
        if not self._tasks.is_stopping:
            self.forward_queued()


def _changes_observers(change: Change) -> bool:
    """Guards against a proxy that changes an observer's lease, and thereby its members."""
    if isinstance(change, RenewLeases):
        return any(name.startswith(OBSERVER_LEASE_PREFIX) for name, _ in change.leases)
    if isinstance(change, AcquireLease | ReleaseLease | RevokeLease):
        return change.name.startswith(OBSERVER_LEASE_PREFIX)
    return isinstance(change, UpdateMembers | ExpireLeases)
