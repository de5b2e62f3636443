"""Admission of proposals: queueing, the window of proposals in flight, and drops. Pure.

Guards against a retry storm at this keeper: many clients that time out and retry would fill the
queue with abandoned requests, and the keeper would spend its capacity on results that no client
waits for (Maurer, "Fail at scale", ACM Queue 2015). Therefore a caller states its deadline and
cancels a request that it has abandoned; a proposal without a caller is dropped before it costs a
commit; a proposal that is submitted again while it is in flight is not committed twice; and the
number in flight is limited, so that each is committed soon. Times are ns on the replica's monotonic
clock.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from mothstall.store.state.changes import AcquireLease, OpenSession, Proposal

MAX_PENDING = 8192  # proposals queued and in flight; further proposals are rejected
MAX_QUEUED_NEWCOMERS = 6144  # within MAX_PENDING, so that mass joins leave capacity for members
MAX_IN_FLIGHT = 256  # proposals handed to the leader and not applied yet
RESUBMIT_AFTER_NS = 600_000_000  # a resubmission requeues a proposal in flight for this long
LOST_AFTER_NS = 3_000_000_000  # a proposal in flight for this long without a caller counts as lost

NO_DEADLINE = 0
NOT_IN_FLIGHT = -1

ProposalKey = tuple[int, int]  # session and sequence number


@dataclass(slots=True)
class _PendingProposal:
    """One proposal and the callers that wait for its result.

    Attributes:
        proposal: The proposal.
        deadlines_ns: Deadline by caller; `NO_DEADLINE` if the caller waits without a limit.
        in_flight_since_ns: When the proposal was handed to the leader; `NOT_IN_FLIGHT` while it is
            queued.
    """

    proposal: Proposal
    deadlines_ns: dict[int, int]
    in_flight_since_ns: int = NOT_IN_FLIGHT

    @property
    def key(self) -> ProposalKey:
        return _key(self.proposal)

    @property
    def is_in_flight(self) -> bool:
        return self.in_flight_since_ns != NOT_IN_FLIGHT

    def is_past_deadline(self, now_ns: int) -> bool:
        """Whether the deadlines of all callers have passed; False if a caller has no deadline."""
        return all(0 < deadline_ns <= now_ns for deadline_ns in self.deadlines_ns.values())


class Admission:
    """The queue of one replica's proposals and the window of those in flight.

    Attributes:
        window: Maximum number of proposals in flight.
        dropped: Number of proposals dropped because no caller waited for them any more.
    """

    def __init__(
        self,
        window: int = MAX_IN_FLIGHT,
        *,
        drops_abandoned: bool = True,
        deduplicates: bool = True,
    ) -> None:
        """`drops_abandoned` and `deduplicates` are guards that only tests disable."""
        self.window = window
        self.dropped = 0
        self._drops_abandoned = drops_abandoned
        self._deduplicates = deduplicates
        self._pending: dict[ProposalKey, _PendingProposal] = {}
        self._keys: dict[int, ProposalKey] = {}  # by caller
        # The queues hold only proposals that are not in flight. Guards against mass joins that cost
        # members their leases: requests for a new session or lease queue behind renewals, writes
        # and operators' commands.
        self._priority_queue: OrderedDict[ProposalKey, None] = OrderedDict()
        self._newcomer_queue: OrderedDict[ProposalKey, None] = OrderedDict()
        self._in_flight = 0

    def __len__(self) -> int:
        return len(self._pending)

    @property
    def is_full(self) -> bool:
        """Whether every new proposal has to be rejected."""
        return len(self._pending) >= MAX_PENDING

    def has_capacity_for(self, proposal: Proposal) -> bool:
        """Return whether this proposal can be queued, or is pending already.

        Guards against mass joins that fill the queue: a member whose renewal is rejected would
        lose its lease.
        """
        if _key(proposal) in self._pending:
            return True
        is_newcomer = self._queue(proposal) is self._newcomer_queue
        if is_newcomer and len(self._newcomer_queue) >= MAX_QUEUED_NEWCOMERS:
            return False
        return not self.is_full

    def submit(
        self, caller: int, proposal: Proposal, now_ns: int, deadline_ns: int = NO_DEADLINE
    ) -> None:
        """Queue a proposal for a caller; add the caller to the proposal if it is pending already.

        A repeated call updates the caller's deadline.
        """
        key = _key(proposal)
        pending = self._pending.get(key)
        if pending is None:
            self._pending[key] = _PendingProposal(proposal, {caller: deadline_ns})
            self._queue(proposal)[key] = None
        else:
            pending.deadlines_ns[caller] = deadline_ns
            if pending.is_in_flight and self._may_be_lost(pending, now_ns):
                self._requeue_first(pending)
        self._keys[caller] = key

    def cancel(self, caller: int) -> None:
        """Remove a caller. A proposal in flight stays in the window until it is applied or lost."""
        key = self._keys.pop(caller, None)
        if key is None:
            return
        pending = self._pending.get(key)
        if pending is None:
            return
        pending.deadlines_ns.pop(caller, None)
        if not pending.deadlines_ns and not pending.is_in_flight and self._drops_abandoned:
            del self._pending[key]
            del self._queue(pending.proposal)[key]
            self.dropped += 1

    def next_proposal(self, now_ns: int) -> Proposal | None:
        """Return the next proposal to hand to the leader.

        Returns None if the window is full or no proposal is queued.
        """
        while self._in_flight < self.window:
            queue = self._priority_queue or self._newcomer_queue
            if not queue:
                return None
            key, _ = queue.popitem(last=False)
            pending = self._pending[key]
            if self._drops_abandoned and pending.is_past_deadline(now_ns):
                self._forget(pending)
                self.dropped += 1
                continue
            pending.in_flight_since_ns = now_ns
            self._in_flight += 1
            return pending.proposal
        return None

    def requeue(self, proposal: Proposal) -> None:
        """Put a proposal that could not be handed to the leader back at the head of its queue."""
        pending = self._pending.get(_key(proposal))
        if pending is not None and pending.is_in_flight:
            self._requeue_first(pending)

    def requeue_in_flight(self) -> None:
        """Requeue the proposals in flight that have callers, and drop those without callers.

        Called after a change of leader or term, as proposals in flight may be lost then.
        """
        for key, pending in list(self._pending.items()):
            if not pending.is_in_flight:
                continue
            pending.in_flight_since_ns = NOT_IN_FLIGHT
            if pending.deadlines_ns or not self._drops_abandoned:
                self._queue(pending.proposal)[key] = None
            else:
                del self._pending[key]
        self._in_flight = 0

    def complete(self, key: ProposalKey) -> tuple[int, ...]:
        """Remove an applied proposal, and return the callers that wait for its result."""
        pending = self._pending.get(key)
        if pending is None:
            return ()
        if pending.is_in_flight:
            self._in_flight -= 1
        self._queue(pending.proposal).pop(key, None)
        self._forget(pending)
        return tuple(pending.deadlines_ns)

    def expire(self, now_ns: int) -> list[int]:
        """Remove callers whose deadline has passed, and lost proposals that have no caller.

        Takes time linear in the pending proposals.

        Returns:
            The callers that were removed.
        """
        expired = [
            caller
            for pending in self._pending.values()
            for caller, deadline_ns in pending.deadlines_ns.items()
            if 0 < deadline_ns <= now_ns
        ]
        for caller in expired:
            self.cancel(caller)
        for key, pending in list(self._pending.items()):
            if not pending.is_in_flight or pending.deadlines_ns:
                continue
            if now_ns - pending.in_flight_since_ns >= LOST_AFTER_NS:
                del self._pending[key]
                self._in_flight -= 1
        return expired

    def _queue(self, proposal: Proposal) -> OrderedDict[ProposalKey, None]:
        if isinstance(proposal.change, OpenSession | AcquireLease):
            return self._newcomer_queue
        return self._priority_queue

    def _may_be_lost(self, pending: _PendingProposal, now_ns: int) -> bool:
        in_flight_for_ns = now_ns - pending.in_flight_since_ns
        return in_flight_for_ns >= RESUBMIT_AFTER_NS or not self._deduplicates

    def _requeue_first(self, pending: _PendingProposal) -> None:
        pending.in_flight_since_ns = NOT_IN_FLIGHT
        self._in_flight -= 1
        queue = self._queue(pending.proposal)
        queue[pending.key] = None
        queue.move_to_end(pending.key, last=False)

    def _forget(self, pending: _PendingProposal) -> None:
        for caller in pending.deadlines_ns:
            self._keys.pop(caller, None)
        del self._pending[pending.key]


def _key(proposal: Proposal) -> ProposalKey:
    return proposal.session, proposal.sequence_number
