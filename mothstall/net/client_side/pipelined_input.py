"""Input received while a request is open, buffered unparsed until that request is answered."""

from __future__ import annotations

from collections import deque

MAX_PIPELINED_BYTES = 1024 * 1024  # per connection; PipelinedInputBudget.max_bytes limits the sum


class PipelinedInputBudget:
    """Counts the bytes that all connections together buffer while requests are open.

    Attributes:
        used_bytes: Bytes buffered at present.
        max_bytes: The limit of `used_bytes`.
    """

    __slots__ = ("max_bytes", "used_bytes")

    def __init__(self, max_bytes: int) -> None:
        self.used_bytes = 0
        self.max_bytes = max_bytes


class PipelinedInput:
    """The buffered input of one connection, each piece with its earliest arrival time.

    Attributes:
        pieces: Pairs of data and arrival time (nanoseconds), oldest first.
        byte_count: Bytes of all pieces.
    """

    __slots__ = ("_budget", "byte_count", "pieces")

    def __init__(self, budget: PipelinedInputBudget) -> None:
        self.pieces: deque[tuple[bytes, int]] = deque()
        self.byte_count = 0
        self._budget = budget

    def append(self, data: bytes, arrived_ns: int) -> None:
        """Buffer one more piece."""
        self.pieces.append((data, arrived_ns))
        self.byte_count += len(data)
        self._budget.used_bytes += len(data)

    def popleft(self, max_bytes: int) -> tuple[bytes, int]:
        """Remove and return the oldest piece, or its first `max_bytes` if it is longer.

        Raises:
            IndexError: Nothing is buffered.
        """
        data, arrived_ns = self.pieces.popleft()
        if len(data) > max_bytes:
            self.pieces.appendleft((data[max_bytes:], arrived_ns))
            data = data[:max_bytes]
        self.byte_count -= len(data)
        self._budget.used_bytes -= len(data)
        return data, arrived_ns

    def clear(self) -> None:
        """Drop all pieces."""
        self.pieces.clear()
        self._budget.used_bytes -= self.byte_count
        self.byte_count = 0

    def exceeds_limit(self) -> bool:
        """Return whether this connection, or all connections together, exceed their limit."""
        return (
            self.byte_count > MAX_PIPELINED_BYTES
            or self._budget.used_bytes > self._budget.max_bytes
        )
