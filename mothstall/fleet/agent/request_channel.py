"""Requests over a client's current connection, resent until there is a response or a timeout."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TypeGuard

import msgspec

from mothstall.fleet.agent.peer_connection import PeerConnection
from mothstall.fleet.agent.pending_requests import PendingRequests, Response
from mothstall.store.protocol.connection import FrameConnection
from mothstall.store.protocol.keeper_messages import CallerMessage, CancelRequest

# Makes a request from its number and the remaining time until its deadline, in seconds.
RequestFactory = Callable[[int, float], CallerMessage]


class RequestChannel:
    """Sends requests over the current connection; they fail when that connection is lost.

    Attributes:
        pending: The requests in flight.
    """

    def __init__(self, connection: PeerConnection, loop: asyncio.AbstractEventLoop) -> None:
        self.pending = PendingRequests(loop)
        self._connection = connection
        self._loop = loop

    async def request(
        self, make_request: RequestFactory, timeout_s: float, resend_after_s: float = 0.0
    ) -> Response:
        """Send one request over the current connection, and return its response.

        Args:
            make_request: Makes the request.
            timeout_s: Bound on the whole call.
            resend_after_s: Time without a response after which the request is sent again under the
                same number if the peer has sent anything meanwhile, and fails with a TimeoutError
                otherwise. 0: it is sent once.

        Raises:
            TimeoutError: There was no answer in time, or the peer is silent.
            OSError: The connection is gone.
        """
        deadline_s = self._loop.time() + timeout_s
        async with asyncio.timeout(timeout_s):
            await self._connection.established.wait()
        link = self._connection.link
        number, response = self.pending.open()
        try:
            while True:
                sent_at_s = self._loop.time()
                remaining_s = deadline_s - sent_at_s
                request = msgspec.msgpack.encode(make_request(number, remaining_s))
                if not self._is_current(link) or not link.send(request):
                    raise ConnectionResetError("the connection was lost")
                wait_s = min(resend_after_s, remaining_s) if resend_after_s else remaining_s
                await asyncio.wait((response,), timeout=wait_s)
                if response.done():
                    return response.result()
                is_silent = self._connection.last_received_at_s < sent_at_s
                if self._loop.time() >= deadline_s or not resend_after_s or is_silent:
                    raise TimeoutError
        finally:
            self.pending.close(number)
            if not response.done() and self._is_current(link):
                # Guards against work at the peer on a request that nobody waits for any more.
                link.send(msgspec.msgpack.encode(CancelRequest(number)))

    def _is_current(self, link: FrameConnection | None) -> TypeGuard[FrameConnection]:
        return link is not None and link is self._connection.link
