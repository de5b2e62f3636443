"""Requests in flight on one connection, by number."""

from __future__ import annotations

import asyncio
from typing import TypeAlias

from mothstall.store.protocol.keeper_messages import AdminResponse, ProposeResponse, ReadResponse

Response: TypeAlias = ProposeResponse | ReadResponse | AdminResponse


class PendingRequests:
    """Numbers requests, and matches responses to them by number."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._responses: dict[int, asyncio.Future[Response]] = {}
        self._last_number = 0

    def open(self) -> tuple[int, asyncio.Future[Response]]:
        """Return the number of a new request, and the future of its response."""
        self._last_number += 1
        response: asyncio.Future[Response] = self._loop.create_future()
        self._responses[self._last_number] = response
        return self._last_number, response

    def resolve(self, response: Response) -> None:
        """Deliver a response; one without a pending request is dropped."""
        waiting = self._responses.pop(response.request_id, None)
        if waiting and not waiting.done():
            waiting.set_result(response)

    def close(self, number: int) -> None:
        """Remove a request that was answered or abandoned."""
        self._responses.pop(number, None)

    def fail_all(self, reason: str) -> None:
        """Fail every request in flight with a ConnectionResetError."""
        for response in self._responses.values():
            if not response.done():
                response.set_exception(ConnectionResetError(reason))
        self._responses.clear()
