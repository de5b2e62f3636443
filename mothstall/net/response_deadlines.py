"""Deadlines of open requests, cut to what a drain or a shutdown allows."""

from __future__ import annotations

from mothstall.net.clock import Clock
from mothstall.net.lifecycle import ResponseLimit
from mothstall.net.pending_request import PendingRequest


class ResponseDeadlines:
    """Computes deadlines anew as long bodies arrive and limits change.

    Attributes:
        limit: Set by a drain and by a shutdown; None without one.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.limit: ResponseLimit | None = None

    def deadline_ns(self, entry: PendingRequest, now_ns: int) -> int:
        """Return the Unix time by which a request has to be answered.

        It may move while the request's long body arrives. The limit holds for an incomplete request
        too: if it gets complete in time to be exempt, its deadline moves once the limit is reached.
        """
        deadline_ns = entry.arrived.client_request.deadline_ns(now_ns)
        if self.limit is None or self._is_exempt(entry, self.limit):
            return deadline_ns
        return min(deadline_ns, self._clock.unix_ns(self.limit.answer_by_s))

    def _is_exempt(self, entry: PendingRequest, limit: ResponseLimit) -> bool:
        completed_ns = entry.completed_ns()
        return completed_ns is not None and completed_ns < self._clock.unix_ns(
            limit.complete_after_s
        )
