"""Acquires, renews and releases the agent's leases at the store."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

from mothstall.fleet.agent.counters import AgentCounters
from mothstall.fleet.agent.snapshot_tracker import SnapshotTracker
from mothstall.fleet.agent.store_client import StoreClient
from mothstall.fleet.leases.holder import LeaseHolder
from mothstall.fleet.operator_config import OperatorConfig
from mothstall.fleet.units import NS_PER_MS
from mothstall.store.state.changes import AcquireLease, ReleaseLease, RenewLeases
from mothstall.store.state.limits import MAX_LEASES_PER_RENEWAL

log = logging.getLogger("mothstall.fleet")

PROPOSAL_TIMEOUT_S = (
    1.5  # of one proposal of the reconcile loop; a change still needed is proposed again
)
RENEWALS_PER_TERM = 3  # so that two consecutive renewals may fail
FINAL_RELEASE_TIMEOUT_S = 0.1  # of one lease at shutdown; unreleased leases expire


class LeaseRenewal:
    """Holds and renews the leases of one agent, for any purpose.

    Attributes:
        owner: The owner's name at the store.
        holder: The leases that are held, by this owner's own clock.
    """

    def __init__(
        self,
        operator: OperatorConfig,
        owner: str,
        snapshots: SnapshotTracker,
        counters: AgentCounters,
        on_acquired: Callable[[str], None],
    ) -> None:
        leases = operator.leases
        self.owner = owner
        self.holder = LeaseHolder(
            leases.term_ns // NS_PER_MS,
            leases.margin_ns // NS_PER_MS,
            leases.max_clock_drift,
        )
        self._zone = operator.zone
        self._term_ns = leases.term_ns
        self._snapshots = snapshots
        self._counters = counters
        self._on_acquired = on_acquired
        self._renewed_at_ns = 0
        self._acquired_versions: dict[str, int] = {}  # versions of the state, by lease

    def token(self, name: str) -> int:
        """Return the fencing token of a lease; 0: the agent must not act under it now."""
        return self.holder.valid_token(name, time.monotonic_ns())

    def held_names(self, prefix: str) -> list[str]:
        """Return the names of held leases that begin with `prefix`."""
        return [name for name in self.holder.held if name.startswith(prefix)]

    def acquired_version(self, name: str) -> int:
        """Return the version of the state at which a lease was acquired last; 0: never."""
        return self._acquired_versions.get(name, 0)

    def is_renewal_due(self, now_ns: int) -> bool:
        """Return whether leases are held and their renewal is due."""
        interval_ns = self._term_ns // RENEWALS_PER_TERM
        return bool(self.holder.held) and now_ns - self._renewed_at_ns >= interval_ns

    async def reconcile(self, client: StoreClient, now_ns: int) -> None:
        """Drop the leases that have expired, and renew the others when a renewal is due."""
        for name in self.holder.drop_expired(now_ns):
            self._log_lost(name, "not renewed in time")
        if self.is_renewal_due(now_ns):
            await self._renew(client, now_ns)

    async def acquire(self, client: StoreClient, name: str) -> bool:
        """Acquire a lease that no other owner holds; return whether it was granted."""
        lease = self._snapshots.current.leases.get(name)
        if lease and lease.owner != self.owner:
            return False
        sent_at_ns = time.monotonic_ns()
        request = AcquireLease(name, self.owner, self.holder.term_ms, {"zone": self._zone})
        result = await client.propose(request, PROPOSAL_TIMEOUT_S)
        if result.rejected_reason:
            return False
        self.holder.record_grant(name, result.token, sent_at_ns, time.monotonic_ns())
        self._acquired_versions[name] = result.version
        log.info("lease acquired", extra={"kv": {"lease": name, "token": result.token}})
        self._on_acquired(name)
        return True

    async def release(self, client: StoreClient, name: str) -> None:
        """Stop acting under a lease, and release it at the store."""
        token = self.holder.held[name].token
        self.holder.forget(name)
        await client.propose(ReleaseLease(name, token), PROPOSAL_TIMEOUT_S)

    async def release_all(self, client: StoreClient) -> None:
        """Release all leases at shutdown, without waiting for a quorum."""
        for name, lease in list(self.holder.held.items()):
            self.holder.forget(name)
            request = ReleaseLease(name, lease.token)
            await client.propose(request, FINAL_RELEASE_TIMEOUT_S, wait_for_quorum=False)

    def forget(self, name: str) -> None:
        """Stop acting under a lease that another owner has acquired since."""
        self.holder.forget(name)

    def forget_rejected(self, name: str) -> None:
        """Stop acting under a lease whose token the store has rejected, and count it as lost."""
        self.holder.forget(name)
        self._counters.leases_lost += 1

    async def _renew(self, client: StoreClient, now_ns: int) -> None:
        held = [(name, lease.token) for name, lease in self.holder.held.items()]
        names_and_tokens = tuple(held[:MAX_LEASES_PER_RENEWAL])
        self._renewed_at_ns = now_ns
        request = RenewLeases(self.owner, names_and_tokens)
        result = await client.propose(request, PROPOSAL_TIMEOUT_S)
        if result.rejected_reason:
            return
        renewed = [row for row in names_and_tokens if row[0] not in result.lost_leases]
        self.holder.record_renewal(renewed, now_ns, time.monotonic_ns())
        for name in result.lost_leases:
            self.holder.forget(name)
            self._log_lost(name, "lost at the store")

    def _log_lost(self, name: str, reason: str) -> None:
        self._counters.leases_lost += 1
        log.warning("lease lost", extra={"kv": {"lease": name, "reason": reason}})
