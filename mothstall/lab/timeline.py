"""Time for everything in the lab: a heap of what is due. The virtual driver runs it as fast as it can."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any, Protocol


class Timeline(Protocol):
    """The time, ns since the run's start, and a way to be called at one. Real or simulated."""

    @property
    def now(self) -> int: ...

    def at(self, due: int, what: Callable[..., object], *words: Any) -> None:
        """Calls `what(*words)` at `due`, or as soon as it can where that is past."""


class Heap:
    """Simulated time: what is due at one instant is called in the order in which it was asked for."""

    def __init__(self) -> None:
        self.now = 0
        self.calls = 0
        self._heap: list[tuple[int, int, Callable[..., object], tuple[Any, ...]]] = []
        self._seq = 0

    def at(self, due: int, what: Callable[..., object], *words: Any) -> None:
        self._seq += 1
        heapq.heappush(self._heap, (due if due > self.now else self.now, self._seq, what, words))

    def run(self, until: int) -> None:
        """Calls all that is due before `until`, and leaves the time there."""
        heap, pop = self._heap, heapq.heappop
        while heap and heap[0][0] < until:
            self.now, _, what, words = pop(heap)
            self.calls += 1
            what(*words)
        self.now = until
