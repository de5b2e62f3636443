"""The observer's own lease, and the membership batches that it writes under it."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import time
from dataclasses import dataclass

from mothstall.fleet.errors import KeeperUnavailableError
from mothstall.fleet.leases.holder import LeaseHolder
from mothstall.fleet.operator_config import LeaseConfig
from mothstall.observer.attached_proxies import AttachedProxies
from mothstall.observer.keeper_contact import NS_PER_MS, KeeperContact
from mothstall.observer.limits import ObserverLimits
from mothstall.observer.model import ObserverModel
from mothstall.store.state.changes import AcquireLease, ReleaseLease, RenewLeases, UpdateMembers

log = logging.getLogger("mothstall.observer")

NS_PER_S = 1_000_000_000
RENEWALS_PER_TERM = 3
RELEASE_ATTEMPT_TIMEOUT_S = 0.2  # `ObserverLimits.release_timeout_s` bounds the whole release


@dataclass(frozen=True, slots=True)
class LeaseIdentity:
    """The lease that an observer acquires.

    Attributes:
        name: Name of the lease.
        owner: Name of the observer's process.
        info: Zone and region, stored with the lease.
    """

    name: str
    owner: str
    info: dict[str, str]


class OwnLease:
    """Acquires and renews the observer's lease, and writes membership batches under it."""

    def __init__(
        self,
        identity: LeaseIdentity,
        config: LeaseConfig,
        contact: KeeperContact,
        model: ObserverModel,
        proxies: AttachedProxies,
        limits: ObserverLimits,
        counts: dict[str, int],
    ) -> None:
        """Count `leases_lost` in `counts`; terms and margins are those of `config`."""
        self._identity = identity
        self._term_ns = int(config.term_ns)
        self._contact = contact
        self._model = model
        self._proxies = proxies
        self._limits = limits
        self._counts = counts
        self._holder = LeaseHolder(
            self._term_ns // NS_PER_MS, config.margin_ns // NS_PER_MS, config.max_clock_drift
        )
        self._change_wait_s = min(
            limits.max_change_wait_s, self._term_ns / NS_PER_S / RENEWALS_PER_TERM
        )
        self._renewed_at_ns = 0

    def valid_token(self) -> int:
        """Return the token under which the observer may act now; 0: it must not act."""
        return self._holder.valid_token(self._identity.name, time.monotonic_ns())

    def drop_expired(self, now_ns: int) -> None:
        """Give up the lease if it has expired by the observer's own clock."""
        for name in self._holder.drop_expired(now_ns):
            self._record_loss(name, "not renewed in time")
        self._model.table.set_lease_token(self._holder.valid_token(self._identity.name, now_ns))

    async def run(self) -> None:
        """Hold the lease and write batches, until cancelled."""
        while True:
            try:
                await self._step()
            except KeeperUnavailableError as error:
                log.info("store unavailable", extra={"kv": {"reason": error}})
            await asyncio.sleep(self._limits.lease_step_s)

    async def release(self) -> None:
        """Release the lease if a keeper answers in time, so that the proxies move at once."""
        token = self.valid_token()
        if not token:
            return
        self._holder.forget(self._identity.name)
        change = ReleaseLease(self._identity.name, token)
        client = self._contact.clients.membership
        with contextlib.suppress(KeeperUnavailableError, TimeoutError):
            async with asyncio.timeout(self._limits.release_timeout_s):
                await client.propose(change, RELEASE_ATTEMPT_TIMEOUT_S, wait_for_quorum=False)

    async def _step(self) -> None:
        now_ns = time.monotonic_ns()
        token = self._holder.valid_token(self._identity.name, now_ns)
        if not token:
            await self._acquire()
        elif now_ns - self._renewed_at_ns >= self._term_ns // RENEWALS_PER_TERM:
            await self._renew(token, now_ns)
        else:
            batch = self._model.table.next_batch()
            if batch is not None:
                await self._write_batch(batch)
        self._model.table.set_lease_token(self.valid_token())

    async def _acquire(self) -> None:
        identity = self._identity
        held = self._model.fanout.leases.get(identity.name)
        is_held_elsewhere = held is not None and held.owner != identity.owner
        if self._contact.unavailable_reason() or is_held_elsewhere:
            return
        sent_ns = time.monotonic_ns()
        change = AcquireLease(
            identity.name, identity.owner, self._term_ns // NS_PER_MS, identity.info
        )
        result = await self._contact.clients.membership.propose(change, self._change_wait_s)
        if result.rejected_reason:
            return
        now_ns = time.monotonic_ns()
        self._holder.record_grant(identity.name, result.token, sent_ns, now_ns)
        self._renewed_at_ns = sent_ns
        self._model.table.set_lease_token(self._holder.valid_token(identity.name, now_ns))
        moved = self._model.table.apply_snapshot(self._model.fanout.members)
        self._proxies.reject_moved(moved)
        log.info("lease acquired", extra={"kv": {"lease": identity.name, "token": result.token}})

    async def _renew(self, token: int, now_ns: int) -> None:
        # The timeout is the rest of the term: a renewal abandoned earlier would only be proposed
        # again.
        name = self._identity.name
        remaining_s = self._holder.remaining_ns(name, now_ns) / NS_PER_S
        change = RenewLeases(self._identity.owner, ((name, token),))
        wait_s = max(self._limits.min_renewal_wait_s, remaining_s)
        result = await self._contact.clients.membership.propose(change, wait_s)
        self._renewed_at_ns = now_ns
        if result.lost_leases:
            self._holder.forget(name)
            self._record_loss(name, "lost at the store")
        elif not result.rejected_reason:
            self._holder.record_renewal([(name, token)], now_ns, time.monotonic_ns())

    async def _write_batch(self, batch: UpdateMembers) -> None:
        try:
            result = await self._contact.clients.membership.propose(batch, self._change_wait_s)
        except KeeperUnavailableError:
            self._model.table.complete_batch(batch, None, time.monotonic_ns())
            raise
        if result.is_token_stale:
            self._holder.forget(self._identity.name)
            self._record_loss(self._identity.name, result.rejected_reason)
        rejected_joins = None if result.rejected_reason else result.lost_leases
        confirmed = self._model.table.complete_batch(batch, rejected_joins, time.monotonic_ns())
        self._proxies.confirm(confirmed)

    def _record_loss(self, name: str, reason: str) -> None:
        self._counts["leases_lost"] += 1
        log.warning("lease lost", extra={"kv": {"lease": name, "reason": reason}})
