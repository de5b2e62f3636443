"""The proxy's lifecycle: serving, draining, drained or stopping. Pure: no clock, no sockets.

Times are seconds of any monotonic clock. Transitions are idempotent.
"""

from __future__ import annotations

from enum import Enum

IDLE_DRAIN_S = 1.9  # idle connections stay open for new requests this long after a drain starts
SILENT_S = 0.2  # in a drain or shutdown, a new connection without input is closed after this time
# Requests received more than IDLE_DRAIN_S after the start of a drain have to be answered by this
# time after the start; incomplete requests are rejected then.
DRAIN_DEADLINE_S = 3.6
# In a shutdown, incomplete requests are rejected from this time before the longest deadline on.
INCOMPLETE_MARGIN_S = 0.5
ANSWER_MARGIN_S = 0.2  # in a shutdown, the last response is due this long after that deadline


class Phase(Enum):
    """States of the lifecycle; the values are those of the admin API."""

    SERVING = "serving"
    DRAINING = "draining"  # still accepts requests, and closes each connection with its response
    DRAINED = "drained"  # like DRAINING, and idle connections are closed
    STOPPING = "stopping"


class Lifecycle:
    """The current phase, and the time limits of a drain or a shutdown."""

    def __init__(self) -> None:
        self.phase = Phase.SERVING
        self.is_handing_over = False  # idle client connections are handed over, not closed
        self._draining_since_s = 0.0
        self._complete_by_s = 0.0  # while stopping: later, incomplete requests are rejected
        self._answered_by_s = 0.0  # while stopping: deadline for all responses

    def evacuate(self, now: float) -> bool:
        """Start a drain, unless one is running. Returns False if the process is stopping."""
        if self.phase is Phase.SERVING:
            self.phase = Phase.DRAINING
            self._draining_since_s = now
        return self.phase is not Phase.STOPPING

    def rejoin(self) -> bool:
        """Accept clients again. Returns False if the process is stopping."""
        if self.phase is Phase.STOPPING:
            return False
        self.phase = Phase.SERVING
        return True

    def stop(self, now: float, longest_deadline_s: float) -> None:
        """Start to stop, from any phase; this is final.

        All accepted requests are answered within `longest_deadline_s` plus `ANSWER_MARGIN_S`,
        before the process may be killed.
        """
        self.phase = Phase.STOPPING
        self._complete_by_s = now + longest_deadline_s - INCOMPLETE_MARGIN_S
        self._answered_by_s = now + longest_deadline_s + ANSWER_MARGIN_S

    def tick(self, now: float) -> Phase:
        """Apply the transition that is due at `now`, and return the phase."""
        if self.phase is Phase.DRAINING and now - self._draining_since_s >= IDLE_DRAIN_S:
            self.phase = Phase.DRAINED
        return self.phase

    def hand_over(self) -> None:
        """Record that a successor process is taking over the clients."""
        self.is_handing_over = True

    def resume(self) -> None:
        """Record that the successor process is gone, so that this one accepts clients again."""
        self.is_handing_over = False

    @property
    def accepts_clients(self) -> bool:
        """Whether clients are accepted."""
        return self.phase is Phase.SERVING and not self.is_handing_over

    @property
    def closes_connections(self) -> bool:
        """Whether each response ends its connection."""
        return self.phase is not Phase.SERVING and not self.is_handing_over

    def response_deadline(self, now: float) -> float | None:
        """Time by which a request received now has to be answered, regardless of its own deadline.

        Guards against a request received late that is still open when the drain has to be finished.
        """
        if self.phase is Phase.STOPPING:
            return self._answered_by_s
        return (
            self._draining_since_s + DRAIN_DEADLINE_S if self.tick(now) is Phase.DRAINED else None
        )

    def rejects_incomplete(self, now: float) -> bool:
        """Whether an incomplete request is to be rejected.

        Guards against a request that becomes complete with no time left to answer it.
        """
        return self.phase is Phase.STOPPING and now >= self._complete_by_s
