"""Unix time in whole nanoseconds that only moves forward."""

from __future__ import annotations

import time


class Clock:
    """Unix time at the start and the monotonic time since; the event loop's clock is the same one."""

    def __init__(self) -> None:
        self._offset = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        return time.monotonic_ns() + self._offset

    def loop_time(self, at_ns: int) -> float:
        """When the event loop's clock shows `at_ns`."""
        return (at_ns - self._offset) / 1e9
