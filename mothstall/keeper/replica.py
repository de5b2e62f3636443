"""One replica: consensus, state, lease expiry and pending callers. Pure.

The keeper's process (`replica_loop.py`) and the lab's simulation run this same class. Times are ns
on the replica's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

import msgspec

from mothstall.keeper.admission import MAX_PENDING, NO_DEADLINE, Admission
from mothstall.keeper.lease_expiry import LeaseExpiryProposer
from mothstall.keeper.pending_reads import PendingReads
from mothstall.store.raft.messages import Entry, EntryKind, HardState, Message, Snapshot
from mothstall.store.raft.node import RaftNode
from mothstall.store.raft.ready import Ready
from mothstall.store.raft.replica_state import Timing
from mothstall.store.state.changes import ChangeResult, ExpireLeases, Proposal
from mothstall.store.state.machine import StateMachine

MAX_ENTRIES_BEHIND_SNAPSHOT = 512  # lets replicas that lag a little catch up without a snapshot
DEFAULT_COMPACT_EVERY = 2000  # entries

# Clients recognize both reasons by their first words, and retry with exponential backoff.
TOO_MANY_CALLERS_REASON = "too many callers wait"
NO_LEADER_REASON = "no quorum: no leader is known"


@dataclass(slots=True)
class AppliedEntries:
    """The results of applying the committed entries of a `Ready`.

    Attributes:
        results: Callers with the results of their proposals.
        reads: Callers that may read the state now.
        entries: Number of entries applied.
    """

    results: list[tuple[int, ChangeResult]] = field(default_factory=list)
    reads: list[int] = field(default_factory=list)
    entries: int = 0


class SnapshotSchedule:
    """Decides when the log is compacted, and holds the snapshot that is to be written."""

    def __init__(self, every: int, snapshot_index: int) -> None:
        """Compact every `every` entries after the snapshot at `snapshot_index`."""
        self._every = every
        self._snapshot_index = snapshot_index
        self._compacted: Snapshot | None = None

    def on_loaded(self, snapshot: Snapshot) -> None:
        """Count entries from an installed or loaded snapshot."""
        self._snapshot_index = snapshot.last_included_index

    def compact_if_due(self, raft: RaftNode, state: StateMachine) -> None:
        """Compact the log once `every` entries were applied since the last snapshot."""
        if state.applied_index - self._snapshot_index < self._every:
            return
        self._snapshot_index = state.applied_index
        retained = min(MAX_ENTRIES_BEHIND_SNAPSHOT, self._every // 2)
        self._compacted = raft.compact(self._snapshot_index, state.encode_snapshot(), retained)

    def take_compacted(self) -> Snapshot | None:
        """Return the snapshot that is to be written, and clear it."""
        compacted = self._compacted
        self._compacted = None
        return compacted


class Replica:
    """One replica of the store, without sockets, clock and disk.

    Attributes:
        raft: The Raft node.
        state: The state after the applied entries.
        lease_expiry: Tracks the terms of leases while this replica leads.
        admission: Proposals of callers that are queued or in flight.
    """

    def __init__(
        self,
        name: str,
        timing: Timing,
        seed: int,
        hard_state: HardState,
        snapshot: Snapshot,
        entries: Sequence[Entry] = (),
        *,
        compact_every: int = DEFAULT_COMPACT_EVERY,
        grants_fresh_terms: bool = True,
        checks_token_on_apply: bool = True,
        admission: Admission | None = None,
    ) -> None:
        """Restore a replica from the data on its disk.

        `grants_fresh_terms` and `checks_token_on_apply` are guards that only tests disable.
        """
        self.raft = RaftNode(name, timing, seed, hard_state, snapshot, entries)
        self.lease_expiry = LeaseExpiryProposer(grants_fresh_terms)
        self.admission = Admission() if admission is None else admission
        self._checks_token_on_apply = checks_token_on_apply
        self._snapshots = SnapshotSchedule(compact_every, snapshot.last_included_index)
        self._reads = PendingReads()
        self._forwarded_to = (0, "")  # term and leader that the proposals in flight went to
        self._load(snapshot)

    def tick(self, now_ns: int) -> None:
        """Advance Raft's timers by one tick."""
        self.raft.tick()
        self._reconcile(now_ns)

    def step(self, message: Message, now_ns: int) -> None:
        """Handle a Raft message from another replica."""
        self.raft.step(message)
        self._reconcile(now_ns)

    def propose(
        self, caller: int, proposal: Proposal, now_ns: int, deadline_ns: int = NO_DEADLINE
    ) -> str:
        """Submit a proposal for a caller that waits until its deadline.

        Returns:
            Why the proposal is rejected; empty if a later `handle_persisted` returns its result.
        """
        if not self.admission.has_capacity_for(proposal):
            return TOO_MANY_CALLERS_REASON
        if isinstance(proposal.change, ExpireLeases):
            return "terms end by a keeper's word alone"
        reason = self._early_rejection_reason(proposal)
        if reason:
            return reason
        if not self.raft.leader:
            return NO_LEADER_REASON
        self.admission.submit(caller, proposal, now_ns, deadline_ns)
        self._forward_queued(now_ns)
        return ""

    def read(self, caller: int) -> str:
        """Request a linearizable read for a caller.

        Returns:
            Why the read is rejected; empty if a later `handle_persisted` lets the caller read.
        """
        if len(self._reads) >= MAX_PENDING:
            return TOO_MANY_CALLERS_REASON
        self.cancel(caller)
        self.raft.request_read(self._reads.add(caller))
        return ""

    def cancel(self, caller: int) -> None:
        """Remove a caller that no longer waits."""
        self.admission.cancel(caller)
        self._reads.cancel(caller)

    def ready(self) -> Ready:
        """Return the data to write, the messages to send and the entries to apply next."""
        ready = self.raft.ready()
        ready.compacted_snapshot = self._snapshots.take_compacted()
        return ready

    def handle_persisted(self, ready: Ready, now_ns: int) -> AppliedEntries:
        """Apply the committed entries of `ready`, whose data is on disk now."""
        applied = AppliedEntries()
        if ready.snapshot:
            self._load(ready.snapshot)
        for entry in ready.committed_entries:
            if entry.kind == EntryKind.COMMAND:
                self._apply(entry, now_ns, applied)
            else:
                self.state.applied_index = entry.index
            applied.entries += 1
        self.raft.complete_write(ready)
        self._reconcile(now_ns)
        self._reads.confirm(ready.read_states)
        applied.reads = self._reads.take_ready(self.state.applied_index)
        self._snapshots.compact_if_due(self.raft, self.state)
        return applied

    def _load(self, snapshot: Snapshot) -> None:
        self.state = StateMachine.from_snapshot(snapshot.data)
        self.state.check_token_on_apply = self._checks_token_on_apply
        self._snapshots.on_loaded(snapshot)

    def _early_rejection_reason(self, proposal: Proposal) -> str:
        """Return why a proposal would be rejected, if the state is known to be the latest.

        Guards against commits of proposals that are rejected when they are applied.
        """
        is_latest = (
            self.raft.has_committed_in_term and self.raft.last_applied == self.raft.log.last_index
        )
        if not is_latest or not proposal.session:
            return ""
        session = self.state.sessions.get(proposal.session)
        if session is None or proposal.sequence_number <= session.sequence_number:
            return ""
        return self.state.rejection_reason(proposal.change)

    def _forward_queued(self, now_ns: int) -> None:
        """Hand queued proposals to the leader until the window is full.

        For a new leader or term, the proposals in flight are requeued first.
        """
        if not len(self.admission) or not self.raft.leader:
            return
        leader = (self.raft.current_term, self.raft.leader)
        if leader != self._forwarded_to:
            self._forwarded_to = leader
            self.admission.requeue_in_flight()
        while proposal := self.admission.next_proposal(now_ns):
            if not self.raft.forward(msgspec.msgpack.encode(proposal)):
                self.admission.requeue(proposal)
                return

    def _apply(self, entry: Entry, now_ns: int, applied: AppliedEntries) -> None:
        proposal, result = self.state.apply(entry.index, entry.data)
        if proposal is None:
            return
        key = (proposal.session, proposal.sequence_number)
        for caller in self.admission.complete(key):
            applied.results.append((caller, result))
        self.lease_expiry.on_applied(proposal.change, result, self.state, now_ns)

    def _reconcile(self, now_ns: int) -> None:
        self._forward_queued(now_ns)
        self.lease_expiry.reconcile(self.raft, self.state, now_ns)
