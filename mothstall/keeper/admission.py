"""Admission of proposals: which go to the log, which are queued, which nobody wants any more.

Pure. Guards against a retry storm at this keeper: a crowd whose members each give up after a while
and request again keeps a queue full of work that nobody wants, and what is done is done for nobody
(Maurer, "Fail at scale", ACM Queue 2015). So a caller states its deadline and cancels what it gave
up; a proposal without a caller is dropped before it costs a commit; one that is submitted again
while it is in flight is not committed twice; and few enough are in flight that each is committed
soon. Times are ns on the replica's own steady clock.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from mothstall.store.state.changes import AcquireLease, OpenSession, Proposal

MAX_PENDING = 8192  # proposals, queued and in flight; further ones are rejected
MAX_QUEUED_NEWCOMERS = 6144  # of them, so that a crowd that joins leaves capacity for members
MAX_IN_FLIGHT = 256  # proposals on their way to the log or in it
RESUBMIT_AFTER_NS = 600_000_000  # in flight for this long and submitted again: it may be lost
LOST_AFTER_NS = 3_000_000_000  # in flight for this long and without a caller: it is lost

NO_DEADLINE = 0
NOT_IN_FLIGHT = -1

ProposalKey = tuple[int, int]  # session and sequence number


@dataclass(slots=True)
class _PendingProposal:
    """One proposal and who waits for its result.

    Attributes:
        proposal: What is proposed.
        deadlines_ns: By caller: until when it waits; `NO_DEADLINE`: as long as it takes.
        in_flight_since_ns: When it was handed in; `NOT_IN_FLIGHT`: it is queued.
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

    def is_too_late(self, now_ns: int) -> bool:
        """Whether the deadline of every caller has passed; false where one has none."""
        return all(0 < deadline_ns <= now_ns for deadline_ns in self.deadlines_ns.values())


class Admission:
    """Queue and window of one replica's proposals.

    Attributes:
        window: Proposals in flight at most.
        dropped: Proposals dropped because nobody wanted them any more.
    """

    def __init__(
        self,
        window: int = MAX_IN_FLIGHT,
        *,
        drops_abandoned: bool = True,
        deduplicates: bool = True,
    ) -> None:
        """`drops_abandoned` and `deduplicates` are guards: tests alone take them out."""
        self.window = window
        self.dropped = 0
        self._drops_abandoned = drops_abandoned
        self._deduplicates = deduplicates
        self._pending: dict[ProposalKey, _PendingProposal] = {}
        self._keys: dict[int, ProposalKey] = {}  # by caller
        # Queued proposals alone. Guards against a crowd that joins and costs those who are members
        # what they have: requests for a session or a lease queue behind renewals, writes and
        # operators' commands.
        self._priority_queue: OrderedDict[ProposalKey, None] = OrderedDict()
        self._newcomer_queue: OrderedDict[ProposalKey, None] = OrderedDict()
        self._in_flight = 0

    def __len__(self) -> int:
        return len(self._pending)

    @property
    def is_full(self) -> bool:
        """Whether any further proposal has to be rejected."""
        return len(self._pending) >= MAX_PENDING

    def has_capacity_for(self, proposal: Proposal) -> bool:
        """Tell whether this proposal can be taken, or is pending already.

        Guards against a crowd that joins and fills the queue: a renewal that finds no place would
        cost a member the lease that it has.
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
        """Add a caller of this proposal, or the same one again with a new deadline."""
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
        """Forget a caller. A proposal in flight stays counted until it is committed."""
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
        """Return the proposal to hand in now; None if the window is full or nothing is queued."""
        while self._in_flight < self.window:
            queue = self._priority_queue or self._newcomer_queue
            if not queue:
                return None
            key, _ = queue.popitem(last=False)
            pending = self._pending[key]
            if self._drops_abandoned and pending.is_too_late(now_ns):
                self._forget(pending)
                self.dropped += 1
                continue
            pending.in_flight_since_ns = now_ns
            self._in_flight += 1
            return pending.proposal
        return None

    def requeue(self, proposal: Proposal) -> None:
        """Put back, as the first, a proposal that the log did not take."""
        pending = self._pending.get(_key(proposal))
        if pending is not None and pending.is_in_flight:
            self._requeue_first(pending)

    def requeue_in_flight(self) -> None:
        """Queue again what is still wanted after a change of leader or term: it may be lost."""
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
        """Forget a proposal that was applied, and return the callers to be answered."""
        pending = self._pending.get(key)
        if pending is None:
            return ()
        if pending.is_in_flight:
            self._in_flight -= 1
        self._queue(pending.proposal).pop(key, None)
        self._forget(pending)
        return tuple(pending.deadlines_ns)

    def expire(self, now_ns: int) -> list[int]:
        """Forget the callers whose deadline has passed, and lost proposals that have no caller.

        Linear in all pending proposals.

        Returns:
            The callers that were forgotten.
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
