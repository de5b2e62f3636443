"""Scheduled calls, all of which share a single timer of the adapter."""

from __future__ import annotations

import heapq
from collections.abc import Callable


class Timers:
    """A queue of calls by due time; calls due at the same time run in scheduling order."""

    __slots__ = ("_queue", "_scheduled", "_wakeup_ns")

    def __init__(self) -> None:
        self._queue: list[tuple[int, int, Callable[[], object]]] = []
        self._scheduled = 0
        self._wakeup_ns = 0  # the time that the adapter's timer is set to; 0: none

    def __len__(self) -> int:
        return len(self._queue)

    def schedule(self, due_ns: int, call: Callable[[], object]) -> None:
        """Run `call` when the clock reaches `due_ns`."""
        self._scheduled += 1
        heapq.heappush(self._queue, (due_ns, self._scheduled, call))

    def run_due(self, now_ns: int) -> None:
        """Run every due call, including those that are scheduled meanwhile."""
        queue = self._queue
        while queue and queue[0][0] <= now_ns:
            heapq.heappop(queue)[2]()

    def fired(self, wakeup_ns: int) -> None:
        """Record that the adapter's timer for `wakeup_ns` has fired."""
        if wakeup_ns >= self._wakeup_ns:
            self._wakeup_ns = 0

    def next_wakeup(self, now_ns: int) -> int | None:
        """Return the time to set a timer for, or None if the timer already set is early enough."""
        if not self._queue:
            return None
        due_ns = self._queue[0][0]
        if self._wakeup_ns and due_ns >= self._wakeup_ns:
            return None
        self._wakeup_ns = max(due_ns, now_ns + 1)
        return self._wakeup_ns
