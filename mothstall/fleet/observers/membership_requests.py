"""Joins and leaves that an observer proposes to the keepers, in batches. Pure."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from mothstall.store.state.changes import MemberJoin, MemberLeave, UpdateMembers

# Limit of queued leaves. Guards against a queue that grows without bound while there is no quorum:
# the row of a dropped leave stays in the state, where this observer finds it and requests the leave
# again.
MAX_PENDING_LEAVES = 16_384


class _DelayedJoin(NamedTuple):
    due_ns: int
    name: str


class MembershipRequests:
    """Pending joins and leaves, and the one batch in flight."""

    def __init__(self, lease_name: str, batch_size: int, max_delayed: int) -> None:
        """Start empty.

        Args:
            lease_name: The observer's lease, under which batches are proposed.
            batch_size: Maximum number of joins and leaves in one batch.
            max_delayed: Maximum number of rejected joins that wait for their retry.
        """
        self._lease_name = lease_name
        self._batch_size = batch_size
        self._max_delayed = max_delayed
        self._in_flight: UpdateMembers | None = None
        self._joins: OrderedDict[str, None] = OrderedDict()
        self._leaves: OrderedDict[MemberLeave, None] = OrderedDict()
        self._delayed: deque[_DelayedJoin] = deque()

    @property
    def pending_count(self) -> int:
        """Joins and leaves that are not proposed yet."""
        return len(self._joins) + len(self._leaves) + len(self._delayed)

    def reset(self) -> None:
        """Discard the batch in flight and all leaves: they belong to an outdated token."""
        self._in_flight = None
        self._leaves.clear()

    def add_joins(self, names: Iterable[str]) -> None:
        """Queue joins; one that is already queued keeps its place."""
        self._joins.update(dict.fromkeys(names))

    def discard_join(self, name: str) -> None:
        """Remove a queued join."""
        self._joins.pop(name, None)

    def add_leave(self, leave: MemberLeave) -> None:
        """Queue a leave, unless the queue is full."""
        if len(self._leaves) < MAX_PENDING_LEAVES:
            self._leaves[leave] = None

    def delay_join(self, name: str, due_ns: int) -> None:
        """Retry a rejected join at `due_ns`, unless too many joins are delayed."""
        if len(self._delayed) < self._max_delayed:
            self._delayed.append(_DelayedJoin(due_ns, name))

    def pop_due_joins(self, now_ns: int) -> Iterator[str]:
        """Remove and return the names of due delayed joins, in the order of their rejection."""
        while self._delayed and self._delayed[0].due_ns <= now_ns:
            yield self._delayed.popleft().name

    def next_batch(
        self, token: int, join_of: Callable[[str], MemberJoin | None]
    ) -> UpdateMembers | None:
        """Take the next batch; None while one is in flight, or if nothing is pending.

        Args:
            token: Token of the observer's lease.
            join_of: Returns the join of a proxy; None if it is no longer needed.
        """
        if self._in_flight is not None or not (self._joins or self._leaves):
            return None
        leaves: list[MemberLeave] = []
        while self._leaves and len(leaves) < self._batch_size:
            leave, _ = self._leaves.popitem(last=False)
            leaves.append(leave)
        joins: list[MemberJoin] = []
        while self._joins and len(leaves) + len(joins) < self._batch_size:
            name, _ = self._joins.popitem(last=False)
            join = join_of(name)
            if join is not None:
                joins.append(join)
        if not leaves and not joins:
            return None
        self._in_flight = UpdateMembers(self._lease_name, token, tuple(joins), tuple(leaves))
        return self._in_flight

    def end_batch(self, batch: UpdateMembers) -> bool:
        """Record that the result of a batch is known; False if the batch is not in flight."""
        if batch is not self._in_flight:
            return False
        self._in_flight = None
        return True
