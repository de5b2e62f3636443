"""Ids of requests that may have run and whose client was not served: they must not run again.

The client has left, or its long response was cut off.
"""

from __future__ import annotations

from collections.abc import Sequence

from mothstall.interface import NS, AttemptResult, Effect, RequestClass
from mothstall.net.decider_messages import ClientResponse, RequestArrived
from mothstall.net.pending_request import PendingRequest

KEPT_NS = 15 * NS  # longer than a client may wait: four deadlines of 3 s
MAX_IDS = 10_000
NEVER_RAN = (AttemptResult.NOT_SENT, AttemptResult.CONNECT_FAILED, AttemptResult.REJECTED)


class SpentIds:
    """Remembers ids for KEPT_NS, the last MAX_IDS at most."""

    def __init__(self, classes: Sequence[RequestClass]) -> None:
        """Remember requests of the classes whose effect must not happen twice."""
        self._is_unsafe = [c.effect is Effect.NON_IDEMPOTENT for c in classes]
        self._ended_ns: dict[bytes, int] = {}  # Unix time of each request's end, oldest first

    def rejects(self, message: RequestArrived, now_ns: int) -> bool:
        """Reject a request whose id is remembered; False if it is not."""
        ended_ns = self._ended_ns.get(message.client_request.request_id)
        if ended_ns is None or now_ns - ended_ns > KEPT_NS:
            return False
        message.reply(ClientResponse(400, b"X-Txn is that of a request that may have run\n"))
        return True

    def on_client_unserved(self, entry: PendingRequest, now_ns: int) -> None:
        """Remember a request that was sent and may run, but whose client gets no response."""
        request = entry.arrived.client_request
        is_sent = any(actor is not None for actor in entry.attempts)
        if self._is_unsafe[request.class_index] and is_sent and entry.completed_ns() is not None:
            self._ended_ns.pop(request.request_id, None)
            self._ended_ns[request.request_id] = now_ns
            if len(self._ended_ns) > MAX_IDS:
                del self._ended_ns[next(iter(self._ended_ns))]

    def on_attempt_ended(self, entry: PendingRequest, result: AttemptResult) -> None:
        """Forget a request whose only attempt turns out to have never run."""
        if result in NEVER_RAN and len(entry.attempts) == 1:
            self._ended_ns.pop(entry.arrived.client_request.request_id, None)
