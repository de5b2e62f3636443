"""Clients: aiohttp's low-level server, an accept loop that keeps to a budget, and the drain."""

from __future__ import annotations

import asyncio
import errno
import itertools
import logging
import socket
from collections.abc import Callable

from aiohttp import web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http_parser import RawRequestMessage
from aiohttp.streams import StreamReader
from aiohttp.web_protocol import ERROR, RequestHandler
from aiohttp.web_request import BaseRequest

from mothstall.config import Address, Names
from mothstall.net import protocol
from mothstall.net.clock import Clock
from mothstall.net.counters import Counters
from mothstall.net.decider import Arrived, Left, Message, Reply

log = logging.getLogger("mothstall.frontend")
# aiohttp writes a trace for each malformed request; they are counted instead.
quiet = logging.getLogger("mothstall.frontend.aiohttp")
quiet.setLevel(logging.CRITICAL)

BACKLOG = 1024
BIND_TRIES, BIND_PAUSE_S = 30, 0.05
KEEP_S = 600.0  # an idle client connection
READ_S = 10.0  # for a request's body
LINGER_S = 1.0
ACCEPT_PAUSE_S = 0.01
SHED_IDLE_S = 0.05
STOP_S = 0.05  # for handlers that are still at work when the time to stop is over


class Frontend:
    def __init__(
        self,
        address: Address,
        names: Names,
        most: int,
        *,
        loop: asyncio.AbstractEventLoop,
        counters: Counters,
        clock: Clock,
        decide: Callable[[Message], None],
        ready: Callable[[], bool],
    ) -> None:
        self._address, self._names, self._most = address, names, most
        self._loop, self._counters, self._clock = loop, counters, clock
        self._decide, self._ready = decide, ready
        self._ids = itertools.count(1)
        self._server = web.Server(
            self._handle,
            request_factory=self._request,
            handler_cancellation=True,
            access_log=None,
            logger=quiet,
            keepalive_timeout=KEEP_S,
            lingering_time=LINGER_S,
            auto_decompress=False,
        )
        self._listener: socket.socket | None = None
        self._taking: set[asyncio.Task[None]] = set()
        self._draining = False
        # Connections whose request's body is still coming, and since when.
        self._reading: dict[RequestHandler | None, float] = {}
        self.port = 0

    async def start(self) -> None:
        family = socket.AF_INET6 if ":" in self._address.host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        for left in reversed(range(BIND_TRIES)):
            try:
                sock.bind((self._address.host, self._address.port))
                break
            except OSError as why:
                # Guards against an earlier process that is still on its way out.
                if why.errno != errno.EADDRINUSE or not left:
                    sock.close()
                    raise
                await asyncio.sleep(BIND_PAUSE_S)
        sock.listen(BACKLOG)
        self._listener, self.port = sock, sock.getsockname()[1]
        self._loop.add_reader(sock, self._accept)

    def _accept(self, at_the_end: bool = False) -> None:
        """Takes in what has knocked, as far as there is room for it."""
        while self._listener:
            if not at_the_end and not self._room():
                self._pause()
                return
            try:
                sock, _peer = self._listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as why:
                log.warning("accept failed", extra={"kv": {"why": why}})
                self._shed()
                self._pause()
                return
            self._counters.add("connections")
            sock.setblocking(False)
            task = self._loop.create_task(self._take(sock))
            self._taking.add(task)
            task.add_done_callback(self._taking.discard)

    def _pause(self) -> None:
        if self._listener:
            self._loop.remove_reader(self._listener)
            self._loop.call_later(ACCEPT_PAUSE_S, self._resume)

    def _resume(self) -> None:
        if self._listener:
            self._loop.add_reader(self._listener, self._accept)

    async def _take(self, sock: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self._server, sock)
        except OSError:
            sock.close()

    def _room(self) -> bool:
        """Guards against running out of descriptors: idle connections make way, or newcomers wait."""
        most = self._most - len(self._taking)
        if len(self._server._connections) < most:
            return True
        # Those that were closed a moment ago are still in the table.
        return sum(c.transport is not None for c in self._server._connections) < most or self._shed()

    def _shed(self) -> bool:
        """Closes the connection that has been idle longest, else one that still owes its request's body.

        Guards against closing a newcomer whose request is on its way: it must have been idle a while.
        """
        latest = self._loop.time() - SHED_IDLE_S
        # The time is set anew when an answer ends.
        idle = [c for c in self._server.connections if _idle(c)]
        longest = min(idle, key=lambda c: c._next_keepalive_close_time, default=None)
        if longest is None or longest._next_keepalive_close_time - KEEP_S > latest:
            longest = next((c for c, since in self._reading.items() if since <= latest), None)
            self._reading.pop(longest, None)
        if longest is None:
            return False
        longest.force_close()
        self._counters.add("connections_shed")
        return True

    def _request(
        self,
        message: RawRequestMessage,
        payload: StreamReader,
        connection: RequestHandler,
        writer: AbstractStreamWriter,
        task: asyncio.Task[None],
    ) -> BaseRequest:
        if message is ERROR:
            self._counters.add("requests_malformed")
        return BaseRequest(
            message, payload, connection, writer, task, self._loop, client_max_size=protocol.MOST_BODY
        )

    async def _handle(self, request: BaseRequest) -> web.StreamResponse:
        came_ns = self._clock.now()
        try:
            reply = await self._serve(request, came_ns)
        except Exception:
            self._counters.add("faults")
            log.exception("client fault")
            reply = Reply(502, b"failed\n")
        response = web.Response(status=reply.status, body=reply.body, headers=reply.headers)
        # At the edge of the budget answers make room for those who wait to be taken in.
        if self._draining or len(self._server._connections) >= self._most:
            response.force_close()
        return response

    async def _serve(self, request: BaseRequest, came_ns: int) -> Reply:
        target = request.raw_path
        if request.method == "GET" and "X-Txn" not in request.headers:
            if target == "/ready":
                up = self._ready() and not self._draining
                return Reply(200, b"ready\n") if up else Reply(503, b"not ready\n")
            if target == "/counters":
                return Reply(200, self._counters.text().encode())
        try:
            inbound = await self._read(request)
        except protocol.Unreadable as why:
            self._counters.add("requests_bad")
            return Reply(400, f"{why}\n".encode("utf-8", "replace"))
        number = next(self._ids)
        reply: asyncio.Future[Reply] = self._loop.create_future()
        self._decide(Arrived(number, inbound, came_ns, reply))
        try:
            return await reply
        except asyncio.CancelledError:
            self._decide(Left(number))
            raise

    async def _read(self, request: BaseRequest) -> protocol.Inbound:
        body = b""
        if request.can_read_body:
            if request.headers.get("Expect", "").lower() == "100-continue":
                await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            self._reading[request.protocol] = self._loop.time()
            try:
                async with asyncio.timeout(READ_S):
                    body = await request.read()
            except web.HTTPRequestEntityTooLarge:
                raise protocol.Unreadable("the body is too long") from None
            except TimeoutError:
                raise protocol.Unreadable("the body did not come") from None
            finally:
                self._reading.pop(request.protocol, None)
        return protocol.read_request(request.method, request.raw_path, request.raw_headers, body, self._names)

    # Stopping

    def drain(self) -> None:
        """From now on each answer closes its connection."""
        self._draining = True

    async def close(self) -> None:
        """Takes in what already knocked, then stops listening."""
        if self._listener:
            self._loop.remove_reader(self._listener)
            self._accept(at_the_end=True)
            self._listener.close()
            self._listener = None
        await asyncio.gather(*self._taking)

    def close_idle(self) -> bool:
        """Closes the connections that have been idle a while; whether others are left."""
        latest = self._loop.time() - SHED_IDLE_S
        for connection in self._server.connections:
            if _idle(connection) and connection._next_keepalive_close_time - KEEP_S <= latest:
                connection.force_close()  # what is written still goes out
        return bool(self._server.connections)

    async def stop(self) -> None:
        await self._server.shutdown(STOP_S)


def _idle(connection: RequestHandler) -> bool:
    waits = connection._current_request is None and not connection._messages
    return waits and connection.transport is not None
