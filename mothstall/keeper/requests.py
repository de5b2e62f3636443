"""Requests of clients that wait for a result of the replica."""

from __future__ import annotations

from dataclasses import dataclass

from mothstall.store.protocol.connection import FrameConnection


@dataclass(frozen=True, slots=True)
class PendingRequest:
    """A request whose client waits for the response.

    Attributes:
        connection: The client's connection.
        request_id: The client's id of the request, which the response repeats.
    """

    connection: FrameConnection
    request_id: int


class RequestTable:
    """Stores pending requests by caller id.

    This process assigns the caller ids, as two clients may use the same request id. The replica
    identifies a request by its caller id alone.
    """

    def __init__(self, counts: dict[str, int]) -> None:
        """Count `calls` and `calls_again` in `counts`."""
        self._counts = counts
        self._last_caller_id = 0
        self._pending: dict[int, PendingRequest] = {}  # by caller id
        self._caller_ids: dict[FrameConnection, dict[int, int]] = {}  # by the client's request id

    def register(self, connection: FrameConnection, request_id: int) -> int:
        """Add a request and return its caller id; a repeated request keeps its caller id."""
        caller_ids = self._caller_ids.setdefault(connection, {})
        if request_id in caller_ids:
            self._counts["calls_again"] += 1
            return caller_ids[request_id]
        self._counts["calls"] += 1
        self._last_caller_id += 1
        caller_ids[request_id] = self._last_caller_id
        self._pending[self._last_caller_id] = PendingRequest(connection, request_id)
        return self._last_caller_id

    def find(self, connection: FrameConnection, request_id: int) -> int:
        """Return the caller id of a pending request; 0 if there is none."""
        return self._caller_ids.get(connection, {}).get(request_id, 0)

    def remove(self, caller_id: int) -> PendingRequest | None:
        """Remove and return a request; None if it is not pending."""
        request = self._pending.pop(caller_id, None)
        if request is not None:
            self._caller_ids.get(request.connection, {}).pop(request.request_id, None)
        return request

    def remove_connection(self, connection: FrameConnection) -> list[int]:
        """Remove all requests of a closed connection and return their caller ids."""
        caller_ids = list(self._caller_ids.pop(connection, {}).values())
        for caller_id in caller_ids:
            self._pending.pop(caller_id, None)
        return caller_ids
