"""The proxy's lifecycle: serving, draining, drained or stopping. Pure: no clock, no sockets.

Times are seconds of any monotonic clock. Transitions are idempotent.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

IDLE_DRAIN_S = 1.9  # idle connections stay open for new requests this long after a drain starts
SILENT_S = 0.2  # in a drain or shutdown, a new connection without input is closed after this time
# Requests completed more than IDLE_DRAIN_S after the start of a drain have to be answered by
# this time after the start; incomplete requests are rejected then.
DRAIN_DEADLINE_S = 3.6
# Long requests whose body is incomplete are rejected this long before: there is no time for them.
UPLOAD_MARGIN_S = 0.25
# In a shutdown, incomplete requests are rejected from this time before the longest deadline on.
INCOMPLETE_MARGIN_S = 0.5
ANSWER_MARGIN_S = 0.2  # in a shutdown, the last response is due this long after that deadline


class Phase(Enum):
    """States of the lifecycle; the values are those of the admin API."""

    SERVING = "serving"
    DRAINING = "draining"  # still accepts requests, and closes each connection with its response
    DRAINED = "drained"  # like DRAINING, and idle connections are closed
    STOPPING = "stopping"


@dataclass(frozen=True, slots=True)
class ResponseLimit:
    """A time by which responses are due, also where their clients would wait longer.

    Attributes:
        complete_after_s: Requests whose last byte came before this time are exempt.
        answer_by_s: The time by which the others have to be answered.
    """

    complete_after_s: float
    answer_by_s: float


class Lifecycle:
    """The current phase, and the time limits of a drain or a shutdown."""

    def __init__(self) -> None:
        self.phase = Phase.SERVING
        self.is_handing_over = False  # idle client connections are handed over, not closed
        self._draining_since_s = 0.0
        self._complete_by_s = 0.0  # while stopping: later, incomplete requests are rejected
        self._response_limit: ResponseLimit | None = None

    def evacuate(self, now: float) -> bool:
        """Start a drain, unless one is running. Returns False if the process is stopping."""
        if self.phase is Phase.SERVING:
            self.phase = Phase.DRAINING
            self._draining_since_s = now
            self._response_limit = ResponseLimit(now + IDLE_DRAIN_S, now + DRAIN_DEADLINE_S)
        return self.phase is not Phase.STOPPING

    def rejoin(self) -> bool:
        """Accept clients again. Returns False if the process is stopping."""
        if self.phase is Phase.STOPPING:
            return False
        self.phase = Phase.SERVING
        self._response_limit = None
        return True

    def stop(self, now: float, longest_deadline_s: float) -> None:
        """Start to stop, from any phase; this is final.

        All accepted requests are answered within `longest_deadline_s` plus `ANSWER_MARGIN_S`,
        before the process may be killed.
        """
        self.phase = Phase.STOPPING
        self._complete_by_s = now + longest_deadline_s - INCOMPLETE_MARGIN_S
        self._response_limit = ResponseLimit(0.0, now + longest_deadline_s + ANSWER_MARGIN_S)

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

    @property
    def response_limit(self) -> ResponseLimit | None:
        """The limit that a drain or a shutdown sets, also to requests that are open already."""
        return self._response_limit

    def is_drain_overdue(self, now: float) -> bool:
        """Whether a drain should be over: no connection without an open request may be left."""
        return (
            self.tick(now) is Phase.DRAINED
            and self._response_limit is not None
            and now >= self._response_limit.answer_by_s
        )

    def rejects_uploads(self, now: float) -> bool:
        """Whether a drain leaves no time for a long request that is still incomplete."""
        return (
            self.tick(now) is Phase.DRAINED
            and self._response_limit is not None
            and now >= self._response_limit.answer_by_s - UPLOAD_MARGIN_S
        )

    def rejects_incomplete(self, now: float) -> bool:
        """Whether an incomplete request is to be rejected.

        Guards against a request that becomes complete with no time left to answer it.
        """
        return self.phase is Phase.STOPPING and now >= self._complete_by_s
