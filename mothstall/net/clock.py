"""Unix time in whole nanoseconds that never goes backward, and a selector that times polls."""

from __future__ import annotations

import selectors
import time

MIN_WAIT_S = 0.0002  # a poll that lasts longer has waited for the events that it reports


class TimedSelector(selectors.DefaultSelector):
    """An event loop selector that records the earliest time at which its events may have occurred.

    The loop reads nothing while it runs callbacks: an event that the next poll reports at once may
    be as old as the end of the previous poll. An event that the poll had to wait for is new.

    Attributes:
        last_poll_s: End of the last poll, on the monotonic clock.
        earliest_ready_s: Earliest time at which the events of the last poll may have occurred.
    """

    def __init__(self) -> None:
        super().__init__()
        self.last_poll_s = time.monotonic()
        self.earliest_ready_s = self.last_poll_s

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Poll, and record the earliest time at which the reported events may have occurred."""
        began = time.monotonic()
        ready = super().select(timeout)
        ended = time.monotonic()
        self.earliest_ready_s = ended if ended - began > MIN_WAIT_S else self.last_poll_s
        self.last_poll_s = ended
        return ready


class Clock:
    """Unix time at the start plus the monotonic time since then, which the event loop uses too."""

    def __init__(self, selector: TimedSelector | None = None) -> None:
        self._offset = time.time_ns() - time.monotonic_ns()
        self._selector = selector

    def now(self) -> int:
        """Return Unix time in nanoseconds."""
        return time.monotonic_ns() + self._offset

    def arrived_after_ns(self) -> int:
        """Return the earliest time at which data that is read now may have arrived."""
        return (
            self.now()
            if self._selector is None
            else int(self._selector.earliest_ready_s * 1e9) + self._offset
        )

    def unix_ns(self, at: float) -> int:
        """Convert a time of the event loop's clock in seconds to Unix time in nanoseconds."""
        return int(at * 1e9) + self._offset

    def loop_time(self, at_ns: int) -> float:
        """Convert Unix time in nanoseconds to a time of the event loop's clock in seconds."""
        return (at_ns - self._offset) / 1e9
