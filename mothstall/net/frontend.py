"""Clients: aiohttp's low-level server and its parser, an accept loop that keeps to a budget, and the drain.

A connection takes its requests from the parser and writes its answers itself. aiohttp's handler task, request
and response object are left out: they were a quarter of what a request cost, and most of what a refusal did,
and a bad request has to be turned away before it costs anything.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
import socket
from collections.abc import Callable
from enum import IntEnum

from aiohttp import web
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import RawRequestMessage
from aiohttp.streams import StreamReader
from aiohttp.web_protocol import RequestHandler

from mothstall.config import Address, Names
from mothstall.net import protocol
from mothstall.net.clock import Clock
from mothstall.net.counters import Counters
from mothstall.net.decider import Arrived, Left, Message, Reply
from mothstall.net.listener import inherited, listening
from mothstall.net.phases import SILENT_S, Phase, Phases

log = logging.getLogger("mothstall.frontend")
# What aiohttp itself has to say of connections is counted here, not logged.
quiet = logging.getLogger("mothstall.frontend.aiohttp")
quiet.setLevel(logging.CRITICAL)

BACKLOG = 1024
KEEP_S = 6.0  # an idle client connection that was served
OWED_S = 2.0  # for a first byte and a whole head, and again for a body
UNREAD_S = 5.0  # for an answer that the client does not read
LINGER_S, LINGER_BYTES = 1.0, 256 * 1024  # after an error: what still comes is read so long and so far
PENALTY_S = 1.0  # between a bad request that was turned away and the next one of its connection
SWEEP_S = 0.1
ACCEPT_PAUSE_S = 0.01
EDGE_PART = 0.5  # of the clients' connections: from there on an answer is the last of its connection
PATIENCE_S = 0.1  # so long newcomers wait at the edge before connections idle for a moment make way
SHED_SILENT_S, SHED_PART_S, SHED_IDLE_S, SHED_ANY_S = 0.1, 0.5, 2.0, 0.05
STOP_S = 0.05  # for what is still at work when the time to stop is over


class State(IntEnum):
    """What a connection is at; all but the first four owe something, and are closed in the end."""

    IDLE = 0  # served, and between requests
    BUSY = 1  # a request is with the decisions
    HELD = 2  # turned away a moment ago: its next request waits
    ENDING = 3  # its last answer is written
    SILENT = 4  # nothing came since it was opened
    HEAD = 5
    BODY = 6
    LINGER = 7  # refused and half closed, so that the client gets to see the error


class Connection(RequestHandler):
    """One client: its requests one after the other, each answered before the next is taken up."""

    __slots__ = (
        *("_bad", "_came_ns", "_front", "_inbound", "_number", "_payload", "_spill", "_stays"),
        *("since", "state"),
    )

    def __init__(self, front: Frontend, server: web.Server) -> None:
        super().__init__(
            server,
            loop=front.loop,
            access_log=None,  # type: ignore[arg-type]
            logger=quiet,
            auto_decompress=False,
            read_bufsize=2 * protocol.MOST_BODY,
        )
        self._front = front
        self.state, self.since = State.SILENT, 0.0
        self._came_ns = 0
        self._inbound: protocol.Inbound | None = None
        self._payload: StreamReader | None = None
        self._number = 0
        self._stays = True  # after the answer to the open request
        self._bad: tuple[int, str] | None = None  # came behind an open request: the error that is owed for it
        self._spill = 0

    # Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        BaseProtocol.connection_made(self, transport)
        assert self._manager is not None and self.transport is not None
        self._manager.connection_made(self, self.transport)
        self._came_ns = self._front.clock.came()
        self._enter(State.SILENT)

    def connection_lost(self, exc: BaseException | None) -> None:
        if self._manager is None:
            return
        self._manager.connection_lost(self, exc)
        self._front.leave(self)
        BaseProtocol.connection_lost(self, exc)
        self._manager = self._parser = None
        self._messages.clear()
        if self.state == State.BUSY:
            self._front.left(self._number, self._inbound)
        self._inbound = self._payload = None

    def resume_writing(self) -> None:
        BaseProtocol.resume_writing(self)
        self._next()

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Guards against a call back with no data while a body is read; bodies never fill their buffer."""
        if self._reading_paused:
            self._reading_paused = False
            self._resume_transport_reading()

    def force_close(self) -> None:
        self._force_close = True
        if self.transport is not None:
            self.transport.close()
            self.transport = None

    def _enter(self, state: State) -> None:
        self._front.leave(self)
        self.state, self.since = state, self._front.loop.time()
        self._front.enter(self)

    # Reading

    def data_received(self, data: bytes) -> None:
        state = self.state
        if state >= State.LINGER or state == State.ENDING or self._bad is not None:
            self._spill += len(data)
            if self._spill > LINGER_BYTES:
                # Guards against 60 MB read to be thrown away: the client has its error.
                self._pause_transport_reading()
            return
        if self._parser is None or self.transport is None:
            return
        if state == State.SILENT or state == State.IDLE:
            # The first request may have come with its connection, and waited as long to be taken in.
            if state == State.IDLE or self._front.loop.time() - self.since > SHED_SILENT_S:
                self._came_ns = self._front.clock.came()
            since = self.since
            self._enter(State.HEAD)
            if state == State.SILENT:
                self.since = since  # a whole head is owed since the connection was opened
        try:
            messages, upgraded, _ = self._parser.feed_data(data)
        except HttpProcessingError:
            self._front.counters.add("requests_malformed")
            self._refuse(400, "no HTTP")
            return
        if messages:
            self._messages.extend(messages)
            if len(self._messages) >= self._max_msg_queue_size:
                self._pause_reading_for_buffer()
        if upgraded:
            self._front.counters.add("requests_malformed")
            self._refuse(400, "no upgrade")
        elif self.state == State.BODY:
            self._body_came()
        elif self.state == State.HEAD and self._messages:
            self._next()

    def _next(self) -> None:
        """Takes up the next request that has come, if none is open and the last answer went out."""
        if self.state not in (State.IDLE, State.HEAD) or not self._messages or self._paused:
            return
        message, payload = self._messages.popleft()
        if self._parser is not None:
            self._parser.message_consumed()
        if self.state == State.IDLE:
            self._came_ns = self._front.clock.came()
        self._take(message, payload)  # type: ignore[arg-type]
        if self._buffer_paused and len(self._messages) <= self._msg_queue_resume_size:
            self._resume_reading_if_drained()

    def _take(self, message: RawRequestMessage, payload: StreamReader) -> None:
        front = self._front
        self._stays, self._payload = not message.should_close, payload
        if message.path in ("/ready", "/counters") and "X-Txn" not in message.headers and payload.is_eof():
            self._write(front.asked(message.path))
            return
        try:
            inbound = protocol.read_request(
                message.method, message.path, message.raw_headers, b"", front.names
            )
        except protocol.Unreadable as why:
            self._turn_away(400, str(why))
            return
        length = message.headers.get("Content-Length", "0")
        if not (length.isascii() and length.isdigit()):
            self._turn_away(400, "Content-Length is unreadable")
            return
        if int(length) > protocol.MOST_BODY:
            self._turn_away(413, "the body is too long")
            return
        self._inbound = inbound
        if payload.is_eof():
            self._body_came()
            return
        self._enter(State.BODY)
        if message.headers.get("Expect", "").lower() == "100-continue" and self.transport is not None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._body_came()

    def _body_came(self) -> None:
        payload = self._payload
        assert payload is not None and self._inbound is not None
        if payload.total_bytes > protocol.MOST_BODY:
            self._turn_away(413, "the body is too long")
        elif payload.exception() is not None:
            self._turn_away(400, "the body is unreadable")
        elif payload.is_eof():
            self._inbound.body = payload.read_nowait()
            self._ask()

    def _ask(self) -> None:
        assert self._inbound is not None
        number = self._front.arrived(self, self._inbound, self._came_ns)
        if number is None:
            self._turn_away(400, "X-Txn is that of an open request")

    def open_as(self, number: int) -> None:
        self._number = number
        self._enter(State.BUSY)

    # Writing

    def answer(self, reply: Reply) -> None:
        """The final answer to the open request."""
        if self.state != State.BUSY:
            return
        inbound, self._inbound = self._inbound, None
        self._front.answered(inbound)
        self._write(reply)

    def _write(self, reply: Reply) -> None:
        transport, self._payload = self.transport, None
        if transport is None:
            return
        stays = self._stays and not self._front.at_the_edge()
        transport.write(protocol.response_bytes(reply.status, reply.head, reply.body, not stays))
        if not stays:
            self._enter(State.ENDING)
            transport.close()  # after what is written
            return
        self._enter(State.IDLE)
        if self._bad is not None:
            self._refuse(*self._bad)
        elif self._messages:
            # Guards against a pipeline that keeps the loop to itself.
            self._loop.call_soon(self._next)

    def _turn_away(self, status: int, why: str) -> None:
        """A request that is not well-formed: an error at once, and nothing of it goes on.

        Guards against the same again as soon as it is turned away: the next one waits a while.
        """
        self._front.counters.add("requests_bad")
        whole = self._payload is None or self._payload.is_eof()
        if not whole or not self._stays or not self._front.phases.taking or self.transport is None:
            self._refuse(status, why)
            return
        self._inbound = self._payload = None
        body = f"{why}\n".encode("utf-8", "replace")
        self.transport.write(protocol.response_bytes(status, b"Content-Type: text/plain\r\n", body, False))
        self._enter(State.HELD)
        self._pause_transport_reading()

    def _refuse(self, status: int, why: str) -> None:
        """An error and the end of the connection, such that the client gets to see the error."""
        if self.state == State.BUSY:
            self._bad = (status, why)  # its open request is answered first
            return
        self._bad = self._inbound = self._payload = None
        self._messages.clear()
        transport = self.transport
        if transport is None:
            return
        body = f"{why}\n".encode("utf-8", "replace")
        transport.write(protocol.response_bytes(status, b"Content-Type: text/plain\r\n", body, True))
        self._enter(State.LINGER)
        if self._buffer_paused:
            self._buffer_paused = False
            self._resume_transport_reading()
        try:
            transport.write_eof()
        except OSError:
            self.force_close()

    def check(self, now: float) -> None:
        """Guards against clients that owe something for ever: silence, half a request, answers unread."""
        age, state = now - self.since, self.state
        if state == State.BUSY:
            return
        if state == State.HELD:
            if age >= PENALTY_S:
                self._enter(State.IDLE)
                self._resume_transport_reading()
                self._next()
            return
        if self._paused and age < UNREAD_S:
            return
        if age < (KEEP_S if state == State.IDLE else LINGER_S if state == State.LINGER else OWED_S):
            return
        self._front.counters.add("connections_overdue")
        if state in (State.HEAD, State.BODY):
            self._refuse(408, "the request did not come")
        elif self.transport is not None and (self._paused or state == State.LINGER):
            self.transport.abort()
        else:
            self.force_close()

    def check_drained(self, now: float, overdue: bool) -> None:
        """Guards against a connection that is held idle, or with half a request, past the end of a drain."""
        if self.state == State.IDLE or (self.state == State.SILENT and now - self.since >= SILENT_S):
            self.force_close()
        elif overdue and self.state in (State.HEAD, State.BODY, State.SILENT, State.HELD):
            self._refuse(408, "the proxy drains")


class Server(web.Server):
    """aiohttp's table of connections, with connections of our own."""

    def __init__(self, front: Frontend) -> None:
        super().__init__(front.no_handler)
        self._front = front

    def __call__(self) -> Connection:
        return Connection(self._front, self)


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
        phases: Phases,
        listen_fd: int | None = None,
    ) -> None:
        """`listen_fd`: the descriptor of the clients' socket, where others hold it too."""
        self._address, self.names, self._most = address, names, most
        self.loop, self.counters, self.clock = loop, counters, clock
        self._decide, self._ready, self.phases, self._inherited = decide, ready, phases, listen_fd
        self._ids = itertools.count(1)
        self._server = Server(self)
        self._table = self._server._connections
        # Connections by state, in the order in which they came into it.
        self._states: tuple[dict[Connection, None], ...] = tuple({} for _ in State)
        self._open: set[bytes] = set()  # the ids of requests that have no answer yet
        self._listener: socket.socket | None = None
        self._taking: set[asyncio.Task[None]] = set()
        self._waiting_since: float | None = None  # since when newcomers wait for room
        self._sweeper: asyncio.TimerHandle | None = None
        self.port = 0

    async def start(self) -> None:
        if self._inherited is None:
            sock = await listening("listen", self._address, BACKLOG)
        else:
            sock = inherited(self._inherited)
        self._listener, self.port = sock, sock.getsockname()[1]
        self.loop.add_reader(sock, self._accept)
        self._sweep()

    # Taking in

    def _accept(self, at_the_end: bool = False) -> None:
        """Takes in what has knocked, as far as there is room for it."""
        while self._listener:
            if not at_the_end and not self._room():
                self._waiting_since = self._waiting_since or self.loop.time()
                self._pause()
                return
            try:
                sock, _peer = self._listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                self._waiting_since = None
                return
            except OSError as why:
                log.warning("accept failed", extra={"kv": {"why": why}})
                self._shed()
                self._pause()
                return
            self.counters.add("connections")
            sock.setblocking(False)
            task = self.loop.create_task(self._take(sock))
            self._taking.add(task)
            task.add_done_callback(self._taking.discard)

    def _pause(self) -> None:
        if self._listener:
            self.loop.remove_reader(self._listener)
            self.loop.call_later(ACCEPT_PAUSE_S, self._resume)

    def _resume(self) -> None:
        if self._listener:
            self.loop.add_reader(self._listener, self._accept)

    async def _take(self, sock: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(self._server, sock)
        except OSError:
            sock.close()

    def _room(self) -> bool:
        """Guards against running out of descriptors: others make way, or newcomers wait."""
        most = self._most - len(self._taking)
        if len(self._table) < most:
            return True
        # Those that were closed a moment ago are still in the table.
        return sum(c.transport is not None for c in self._table) < most or self._shed()

    def _shed(self) -> bool:
        """Closes one connection: first those that never sent a request, a served one only after 2 s.

        Guards against bad clients that hoard connections, and against closing a usual one at work.
        """
        now = self.loop.time()
        ages = [(State.LINGER, 0.0), (State.SILENT, SHED_SILENT_S), (State.HELD, 0.0)]
        ages += [(State.IDLE, SHED_IDLE_S), (State.HEAD, SHED_PART_S), (State.BODY, SHED_PART_S)]
        if self._waiting_since is not None and now - self._waiting_since > PATIENCE_S:
            ages += [(s, SHED_ANY_S) for s in (State.SILENT, State.HEAD, State.BODY, State.IDLE)]
        for state, age in ages:
            oldest = next(iter(self._states[state]), None)
            if oldest is not None and now - oldest.since >= age:
                self.leave(oldest)
                oldest.force_close()
                self.counters.add("connections_shed")
                return True
        return False

    def at_the_edge(self) -> bool:
        """Whether an answer is the last of its connection: at a drain, or to make room for newcomers.

        Guards against clients that ask once and hold their connection: they run out of connections themselves
        long before the proxy does.
        """
        return not self.phases.taking or len(self._table) >= EDGE_PART * self._most

    # Connections

    async def no_handler(self, request: web.BaseRequest) -> web.StreamResponse:
        raise NotImplementedError("connections answer by themselves")

    def enter(self, connection: Connection) -> None:
        self._states[connection.state][connection] = None

    def leave(self, connection: Connection) -> None:
        self._states[connection.state].pop(connection, None)

    def _sweep(self) -> None:
        now = self.loop.time()
        drained = self.phases.tick(now) is Phase.DRAINED
        overdue = drained and now >= (self.phases.latest(now) or now)
        for connection in list(self._table):
            if not isinstance(connection, Connection):
                continue
            connection.check(now)
            if drained:
                connection.check_drained(now, overdue)
        self._sweeper = self.loop.call_later(SWEEP_S, self._sweep)

    def asked(self, path: str) -> Reply:
        """What the proxy tells of itself."""
        if path == "/counters":
            return Reply(200, self.counters.text().encode())
        return Reply(200, b"ready\n") if self.takes_clients() else Reply(503, b"not ready\n")

    def arrived(self, connection: Connection, inbound: protocol.Inbound, came_ns: int) -> int | None:
        """Hands a request to the decisions; None if its id is that of an open one."""
        if inbound.txn in self._open:
            return None
        self._open.add(inbound.txn)
        number = next(self._ids)
        connection.open_as(number)
        latest = self.phases.latest(self.loop.time())
        latest_ns = None if latest is None else self.clock.unix_ns(latest)
        self._decide(Arrived(number, inbound, came_ns, connection.answer, latest_ns))
        return number

    def answered(self, inbound: protocol.Inbound | None) -> None:
        if inbound is not None:
            self._open.discard(inbound.txn)

    def left(self, number: int, inbound: protocol.Inbound | None) -> None:
        self.answered(inbound)
        self._decide(Left(number))

    # Stopping

    def takes_clients(self) -> bool:
        return self._ready() and self._listener is not None and self.phases.taking

    async def close(self) -> None:
        """Takes in what already knocked, then stops listening."""
        if self._listener:
            self.loop.remove_reader(self._listener)
            if self._inherited is None:
                self._accept(at_the_end=True)
            self._listener.close()
            self._listener = None
        await asyncio.gather(*self._taking)

    def close_idle(self) -> bool:
        """Closes the connections that have been idle a while; whether others are left."""
        latest = self.loop.time() - SHED_ANY_S
        for state in (State.IDLE, State.SILENT, State.HELD):
            for connection in list(self._states[state]):
                if connection.since <= latest:
                    connection.force_close()  # what is written still goes out
        return bool(self._table)

    async def stop(self) -> None:
        if self._sweeper:
            self._sweeper.cancel()
        await self._server.shutdown(STOP_S)
