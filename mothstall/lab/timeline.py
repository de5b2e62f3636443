"""The clock and event queue of the lab, in real or virtual time."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any, Protocol


class Timeline(Protocol):
    """A clock in ns since the run's start with scheduled calls, real or simulated."""

    @property
    def now(self) -> int: ...

    def at(self, due: int, callback: Callable[..., object], *args: Any) -> None:
        """Calls `callback(*args)` at `due`, or as soon as possible if that is past."""


class VirtualClock:
    """Virtual time: calls due at the same time run in the order of scheduling."""

    def __init__(self) -> None:
        self.now = 0
        self.calls = 0
        self._heap: list[tuple[int, int, Callable[..., object], tuple[Any, ...]]] = []
        self._seq = 0

    def at(self, due: int, callback: Callable[..., object], *args: Any) -> None:
        self._seq += 1
        heapq.heappush(self._heap, (due if due > self.now else self.now, self._seq, callback, args))

    def run(self, until: int) -> None:
        """Run all calls due before `until`, and set the time to it."""
        heap, pop = self._heap, heapq.heappop
        while heap and heap[0][0] < until:
            self.now, _, callback, args = pop(heap)
            self.calls += 1
            callback(*args)
        self.now = until
