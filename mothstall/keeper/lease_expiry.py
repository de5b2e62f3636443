"""Expiry of leases: the leader tracks the terms and proposes to expire ended ones. Pure.

Times are ns on the replica's monotonic clock.
"""

from __future__ import annotations

import logging

import msgspec

from mothstall.fleet.leases.expiry import LeaseExpiryTracker
from mothstall.store.raft.node import RaftNode
from mothstall.store.state.changes import (
    AcquireLease,
    Change,
    ChangeResult,
    ExpireLeases,
    Proposal,
    ReleaseLease,
    RenewLeases,
    RevokeLease,
)
from mothstall.store.state.machine import StateMachine

log = logging.getLogger("mothstall.keeper")

MAX_LOGGED_NAMES = 8  # names of leases in one log line
EXPIRY_RETRY_NS = 1_000_000_000  # an expiry not applied after this time is proposed again

LeaseTerm = tuple[str, int]  # name of the lease and its token


class LeaseExpiryProposer:
    """Tracks the terms of leases while this replica leads, and proposes to expire ended ones."""

    def __init__(self, grants_fresh_terms: bool = True) -> None:
        """`grants_fresh_terms` is a guard that only tests disable."""
        self._tracker = LeaseExpiryTracker(grants_fresh_terms)
        self._tracked_raft_term = 0  # the Raft term of this replica's leadership; 0: not tracking
        self._proposed_at_ns: dict[LeaseTerm, int] = {}

    def remaining_ns(self, name: str, now_ns: int) -> int | None:
        """Return the remaining time of a lease's term, or None if the lease is not tracked."""
        return self._tracker.remaining_ns(name, now_ns)

    def on_applied(
        self, change: Change, result: ChangeResult, state: StateMachine, now_ns: int
    ) -> None:
        """Update the tracked terms after a change was applied to `state`."""
        if isinstance(change, ExpireLeases):
            for lease_term in change.leases:
                self._proposed_at_ns.pop(lease_term, None)
                self._tracker.forget(lease_term[0])
        if not self._tracked_raft_term or result.rejected_reason:
            return
        if isinstance(change, AcquireLease):
            # Guards against an acquisition that is applied a second time: it returns the first
            # result, with the old token. If the old token replaced the next holder's token in the
            # tracker, the next holder's lease would never expire.
            if state.is_lease_current(change.name, result.token):
                self._tracker.record_grant(change.name, result.token, change.duration_ms, now_ns)
        elif isinstance(change, RenewLeases):
            for name, token in change.leases:
                lease = state.leases.get(name)
                if lease and lease.token == token:
                    self._tracker.record_grant(name, token, lease.duration_ms, now_ns)
        elif isinstance(change, ReleaseLease | RevokeLease):
            self._tracker.forget(change.name)

    def reconcile(self, raft: RaftNode, state: StateMachine, now_ns: int) -> None:
        """Start or stop tracking as leadership changes, and propose to expire ended terms."""
        if not raft.is_leader or raft.current_term != self._tracked_raft_term:
            self._stop_tracking()
            if not raft.has_committed_in_term or state.applied_index < raft.commit_index:
                return
            self._start_tracking(raft.current_term, state, now_ns)
        expired = [
            lease_term
            for lease_term in self._tracker.expired(now_ns)
            if self._is_proposal_due(lease_term, now_ns)
        ]
        if not expired:
            return
        proposal = Proposal(0, 0, ExpireLeases(tuple(expired)))
        if raft.propose(msgspec.msgpack.encode(proposal)):
            self._proposed_at_ns.update(dict.fromkeys(expired, now_ns))
            names = ",".join(name for name, _ in expired[:MAX_LOGGED_NAMES])
            log.info("leases expire", extra={"kv": {"count": len(expired), "leases": names}})

    def _is_proposal_due(self, lease_term: LeaseTerm, now_ns: int) -> bool:
        proposed_at_ns = self._proposed_at_ns.get(lease_term, -EXPIRY_RETRY_NS)
        return now_ns - proposed_at_ns >= EXPIRY_RETRY_NS

    def _start_tracking(self, term: int, state: StateMachine, now_ns: int) -> None:
        self._tracked_raft_term = term
        leases = [(row.name, row.token, row.duration_ms) for row in state.leases.values()]
        self._tracker.start_leading(leases, now_ns)

    def _stop_tracking(self) -> None:
        if self._tracked_raft_term:
            self._tracked_raft_term = 0
            self._proposed_at_ns = {}
            self._tracker.stop_leading()
