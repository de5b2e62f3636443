"""Limits of the input of requests that are not complete yet, per request and in total."""

from __future__ import annotations

MAX_HEAD_BYTES = 32 * 1024  # of a request's head, and of the trailers behind its body
# Input ahead of a request's body is parsed in pieces of this size: the parser keeps copies of it.
PARSE_BYTES = 8 * 1024
HEAD_COPIES = 2  # of each byte of a head that the parser keeps: encoded and decoded
FIELD_OVERHEAD_BYTES = 320  # memory of the parser's objects for one field, whatever its length


class IncompleteRequestBudget:
    """Counts the memory that incomplete requests of all connections take.

    Attributes:
        used_bytes: Memory in use.
        max_bytes: Limit of `used_bytes`; a request within `fair_share_bytes` may exceed it.
        fair_share_bytes: Memory that each request may use even if the limit is reached, so that
            a few clients cannot use up what the others need. All shares add up to `max_bytes`.
    """

    __slots__ = ("fair_share_bytes", "max_bytes", "used_bytes")

    def __init__(self, max_bytes: int, max_connections: int) -> None:
        self.used_bytes = 0
        self.max_bytes = max_bytes
        self.fair_share_bytes = max_bytes // max(1, max_connections)


class IncompleteRequest:
    """What one connection has received of a request that is not complete yet.

    Attributes:
        head_bytes: Input of the head, or of the trailers, that the parser keeps.
    """

    __slots__ = ("_budget", "_memory_bytes", "head_bytes")

    def __init__(self, budget: IncompleteRequestBudget) -> None:
        self._budget = budget
        self._memory_bytes = 0
        self.head_bytes = 0

    def add_head(self, data: bytes) -> None:
        """Count input that belongs to an incomplete head, or to incomplete trailers."""
        self.head_bytes += len(data)
        self._add(HEAD_COPIES * len(data) + FIELD_OVERHEAD_BYTES * data.count(b"\n"))

    def add_body(self, byte_count: int) -> None:
        """Count a part of the body that is buffered until the body is complete."""
        self.head_bytes = 0
        self._add(byte_count)

    def _add(self, memory_bytes: int) -> None:
        self._memory_bytes += memory_bytes
        self._budget.used_bytes += memory_bytes

    def clear(self) -> None:
        """Count nothing any more: the request is complete, or was rejected."""
        self._budget.used_bytes -= self._memory_bytes
        self._memory_bytes = 0
        self.head_bytes = 0

    def is_head_too_long(self) -> bool:
        """Return whether the head, or the trailers, exceed MAX_HEAD_BYTES."""
        return self.head_bytes > MAX_HEAD_BYTES

    def exceeds_budget(self) -> bool:
        """Return whether all requests exceed their limit, and this one exceeds its fair share."""
        budget = self._budget
        return budget.used_bytes > budget.max_bytes and self._memory_bytes > budget.fair_share_bytes
