"""A client connection: one request after the other, each answered before the next is taken up."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web_server
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_exceptions import HttpProcessingError

from mothstall.net import protocol
from mothstall.net.aiohttp_internals import ParserConnection
from mothstall.net.body_relay import MAX_READ_BYTES
from mothstall.net.client_side import (
    lingering_close,
    rejection,
    request_body,
    request_head,
    response_relay,
)
from mothstall.net.client_side.connection_states import (
    DEFERS_INPUT,
    HAS_OPEN_EXCHANGE,
    READS_BODY,
    ConnectionState,
)
from mothstall.net.client_side.open_exchange import ExchangeEnd, OpenExchange
from mothstall.net.client_side.pipelined_input import PipelinedInput
from mothstall.net.client_side.request_body import RequestBody
from mothstall.net.client_side.response_relay import ResponseRelay
from mothstall.net.decider_messages import ClientResponse
from mothstall.net.listener import CHECK_CLIENT_AFTER_NS, has_peer_hung_up

if TYPE_CHECKING:
    from mothstall.net.client_side.frontend import Frontend

# A first request that comes within this time of its connection counts from when that came.
FIRST_REQUEST_S = 0.1


class Connection(ParserConnection):
    """One client.

    Attributes:
        frontend: What all connections share.
        state: What the connection is doing; changed by `enter` alone.
        state_since_s: When the state was entered, or its time began anew (loop time, seconds).
        arrived_ns: Since when what is read may have been there (clock, nanoseconds).
        request: The request that is read or open.
        exchange: The open request, and what it holds; None in a state that has none open.
        body: What has come of the request's body.
        pipelined: What came behind an open request, not parsed yet.
        is_http11: The open request is of HTTP/1.1.
        keeps_alive: The connection stays open after the response to the open request.
        deferred_error: Status and reason of an error that is owed behind the open request's
            response.
        discarded_bytes: Read and of no use, since the connection began to discard input.
        is_read_blocked: A stream takes no more of the body.
    """

    __slots__ = (
        "_is_late",
        "_parser_may_hold_more",
        "_was_pipelined",
        "arrived_ns",
        "body",
        "deferred_error",
        "discarded_bytes",
        "exchange",
        "frontend",
        "is_http11",
        "is_read_blocked",
        "keeps_alive",
        "pipelined",
        "request",
        "state",
        "state_since_s",
    )

    def __init__(self, frontend: Frontend, server: web_server.Server) -> None:
        super().__init__(server, frontend.loop, 2 * protocol.MAX_BUFFERED_BODY_BYTES)
        self.frontend = frontend
        self.state = ConnectionState.NEW
        self.state_since_s = 0.0
        self.arrived_ns = 0
        self.request: protocol.ClientRequest | None = None
        self.exchange: OpenExchange | None = None
        self.body = RequestBody()
        self.pipelined = PipelinedInput(frontend.pipelined_budget)
        self.is_http11 = True
        self.keeps_alive = True
        self.deferred_error: tuple[int, str] | None = None
        self.discarded_bytes = 0
        self.is_read_blocked = False
        # The first input may have waited for long in the listener's backlog.
        self._is_late = False
        # The last input came behind an open request: the parser may hold some of it.
        self._was_pipelined = False
        # The parser stopped at as many messages as may wait, and may hold more.
        self._parser_may_hold_more = False

    # Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin with a transport."""
        super().connection_made(transport)
        # Guards against a quarter of a megabyte for each connection that reads at once.
        self.set_max_read(MAX_READ_BYTES)
        self.arrived_ns = self.frontend.clock.arrived_after_ns()
        self.enter(ConnectionState.NEW)

    def on_accepted(self, arrived_ns: int, is_late: bool) -> None:
        """Say since when its first request may have been there.

        Args:
            arrived_ns: That time; 0 if it is unknown.
            is_late: It may have been there long before.
        """
        self.arrived_ns = arrived_ns or self.arrived_ns
        self._is_late = is_late

    def connection_lost(self, exc: BaseException | None) -> None:
        """End all that the connection has open."""
        if not self.unregister(exc):
            return
        self.on_client_left()
        self.frontend.table.remove(self)
        self.detach(exc)
        self.discard_pipelined()
        self.end_exchange(ExchangeEnd.WITHDRAWN)
        self.request = self.body.payload = None
        self.body.parts = []

    def eof_received(self) -> None:
        """A client that ends its sending has gone, also with an earlier response still to take."""
        self.on_client_left()

    def on_client_left(self) -> None:
        """The client has gone: its open request is withdrawn."""
        if self.state in (ConnectionState.AWAITING_RESPONSE, ConnectionState.UPLOADING):
            self.enter(ConnectionState.LINGERING)

    def discard_pipelined(self) -> None:
        """Drop what came behind the open request."""
        self._messages.clear()
        self.pipelined.clear()
        self._parser_may_hold_more = False

    @property
    def relay(self) -> ResponseRelay | None:
        """The long response that is being relayed."""
        return None if self.exchange is None else self.exchange.relay

    def pause_writing(self) -> None:
        """The transport's buffer is full."""
        BaseProtocol.pause_writing(self)
        if self.relay is not None:
            self.relay.stream.sink_blocked()

    def resume_writing(self) -> None:
        """The transport takes more."""
        BaseProtocol.resume_writing(self)
        # Guards against a close out of this call, which asyncio would carry out twice.
        self._loop.call_soon(self._on_writable)

    def _on_writable(self) -> None:
        if self._paused or self.transport is None:
            return
        if self.relay is not None:
            self.relay.stream.sink_ready()
        else:
            self.start_next_request()

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Resume the parser, called by the buffer of a body.

        Guards against a call back into the parser while a body is taken out of it: it comes
        afterwards.
        """
        if self._reading_paused:
            self._reading_paused = False
            if not self.is_read_blocked:
                self._resume_transport_reading()
            if resume_parser:
                self._loop.call_soon(self._resume_parser)

    def _resume_parser(self) -> None:
        """Where aiohttp stopped its parser, at so many chunks of any size, it holds input."""
        if self.state in READS_BODY:
            self._parse(b"")

    def has_pipelined_input(self) -> bool:
        """Tell whether something behind the last request may have been read already."""
        return (
            self._was_pipelined
            or bool(self._messages)
            or bool(self.pipelined.pieces)
            or self.deferred_error is not None
        )

    def shed(self) -> None:
        """End by a lingering close if nothing is open; part of a request is rejected."""
        if self.state in (ConnectionState.READING_HEAD, ConnectionState.READING_BODY):
            rejection.reject_and_close(self, 503, "no room")
        else:
            lingering_close.begin(self)

    def abort(self) -> None:
        """End at once, whatever its client has still to take: its descriptor is needed."""
        self.frontend.table.remove(self)
        if self.transport is not None:
            self.transport.abort()
            self.transport = None

    def release(self) -> None:
        """Close our copy of the descriptor: another process owns the connection now."""
        self.abort()

    def has_unread_response(self) -> bool:
        """Tell whether its client has still to take some of a response."""
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    def enter(self, state: ConnectionState) -> None:
        """Change the state.

        Guards against a way out of a state that forgets the open request: what has not ended
        otherwise is withdrawn with the change.
        """
        if self.exchange is not None and state not in HAS_OPEN_EXCHANGE:
            self.end_exchange(ExchangeEnd.WITHDRAWN)
        table = self.frontend.table
        table.remove(self)
        self.state = state
        self.state_since_s = self.frontend.loop.time()
        table.add(self)

    # Reading

    def data_received(self, data: bytes) -> None:
        """Parse what came, or hold it back behind the open request, or discard it."""
        state = self.state
        self._was_pipelined = state not in (ConnectionState.IDLE, ConnectionState.NEW)
        if (
            state >= ConnectionState.REJECTED
            or state == ConnectionState.LINGERING
            or self.deferred_error is not None
        ):
            lingering_close.discard(self, data)
            return
        if self._parser is None or self.transport is None:
            return
        if self.pipelined.pieces or state in DEFERS_INPUT:
            self._buffer_pipelined(data)
        else:
            self._receive(data, self.frontend.clock.arrived_after_ns())

    def _receive(self, data: bytes, arrived_ns: int) -> None:
        state = self.state
        if state == ConnectionState.NEW or state == ConnectionState.IDLE:
            # The first request may have come with its connection, and waited as long to be
            # accepted.
            if (
                state == ConnectionState.IDLE
                or self.frontend.loop.time() - self.state_since_s > FIRST_REQUEST_S
            ):
                self.arrived_ns = arrived_ns
            state_since_s = self.state_since_s
            self.enter(ConnectionState.READING_HEAD)
            if state == ConnectionState.NEW:
                self.state_since_s = (
                    state_since_s  # a complete head is owed since the connection was opened
                )
        self._parse(data)

    def _buffer_pipelined(self, data: bytes) -> None:
        """Hold input unparsed, so that its client's leaving is always seen."""
        self.pipelined.append(data, self.frontend.clock.arrived_after_ns())
        if self.state in DEFERS_INPUT and self.pipelined.exceeds_limit():
            # Guards against a client whose leaving would hide behind what it sent at once: it is
            # read on.
            self.discard_pipelined()
            lingering_close.discard_further_input(self, 400, "too much was sent ahead of an answer")

    def _take_pipelined(self) -> None:
        """Parse what came behind an answered request: a piece in an iteration of the loop."""
        if (
            not self.pipelined.pieces
            or self._messages
            or self.is_read_blocked
            or self.state in DEFERS_INPUT
            or self.is_closing()
        ):
            return
        data, arrived_ns = self.pipelined.popleft()
        self._receive(data, arrived_ns)
        if self.pipelined.pieces:
            self._loop.call_soon(self._take_pipelined)

    def _parse(self, data: bytes) -> None:
        assert self._parser is not None
        try:
            messages, upgraded, _ = self._parser.feed_data(data)
        except HttpProcessingError:
            request_body.on_malformed_input(self, "no HTTP")
            return
        if messages:
            self._messages.extend(messages)
            self._parser_may_hold_more = len(self._messages) >= self._max_msg_queue_size
        if upgraded:
            request_body.on_malformed_input(self, "no upgrade")
        elif self.state in READS_BODY:
            request_body.on_data(self)
        elif self.state == ConnectionState.READING_HEAD and self._messages:
            self.start_next_request()

    def start_next_request(self) -> None:
        """Take up the next request, if none is open and the last response went out."""
        if (
            self.state not in (ConnectionState.IDLE, ConnectionState.READING_HEAD)
            or self._paused
            or self.is_closing()
        ):
            return
        if not self._messages:
            self._take_pipelined()
            return
        message, payload = self._messages.popleft()
        if self._parser is not None:
            self._parser.message_consumed()
        # A pipelined one waited behind the others, and its time counts from when it came, too.
        is_late = (
            self._is_late or self.frontend.clock.now() - self.arrived_ns > CHECK_CLIENT_AFTER_NS
        )
        self._is_late = False
        if is_late and has_peer_hung_up(self.transport):
            # Guards against a request that waited unread longer than its client: this process stood
            # still, or had no descriptor for it.
            self.discard_pipelined()
            self.force_close()
            return
        request_head.handle_head(self, message, payload)  # type: ignore[arg-type]
        if self._parser_may_hold_more and len(self._messages) <= self._msg_queue_resume_size:
            self._parser_may_hold_more = False
            self._parse(b"")
        if self.pipelined.pieces:
            self._loop.call_soon(self._take_pipelined)  # where the rest of this one is

    def submit_request(self) -> None:
        """Hand a complete request to the decisions."""
        assert self.request is not None
        number = self.frontend.submit_request(self, self.request, self.arrived_ns)
        if number is None:
            rejection.reject_request(self, 400, "X-Txn is that of an open request")

    def open_exchange(self, exchange: OpenExchange, state: ConnectionState) -> None:
        """Note the request that the decisions get now."""
        self.exchange = exchange
        self.enter(state)

    def end_exchange(self, end: ExchangeEnd) -> None:
        """End the open request, if there is one: nothing of it stays open anywhere."""
        exchange = self.exchange
        if exchange is None:
            return
        self.exchange = None
        self.request = None
        self.body.stream = None
        self.frontend.end_exchange(exchange, end)

    # As the source of a long body

    def pause(self) -> None:
        """Read no more for now."""
        self.is_read_blocked = True
        self._pause_transport_reading()

    def resume(self) -> None:
        """Read on."""
        self.is_read_blocked = False
        self.state_since_s = self.frontend.loop.time()
        if self.pipelined.pieces:
            self._loop.call_soon(self._take_pipelined)
        if not self._buffer_paused and not self._reading_paused:
            self._resume_transport_reading()

    def sink_closed(self) -> None:
        """The backend takes nothing more of it; the response to the request follows."""
        self.pause()

    def is_waiting(self, request: protocol.ClientRequest, check_socket: bool) -> bool:
        """Tell whether the client still waits for its response.

        Args:
            request: The request.
            check_socket: Ask the kernel too, not only what was read.
        """
        if (
            self.request is not request
            or self.state not in (ConnectionState.AWAITING_RESPONSE, ConnectionState.UPLOADING)
            or self.is_closing()
        ):
            return False
        if check_socket and has_peer_hung_up(self.transport):
            self.on_client_left()
            self.force_close()
            return False
        return True

    # Writing

    def send_response(self, response: ClientResponse) -> None:
        """Write the final response to the open request."""
        is_open = self.state in (ConnectionState.AWAITING_RESPONSE, ConnectionState.UPLOADING)
        if not is_open or self.transport is None:
            if response.stream is not None:
                response.stream.drop()
            return
        if response.stream is not None:
            response_relay.start(self, response, response.stream)
            return
        self.end_exchange(ExchangeEnd.ANSWERED)
        if self.state == ConnectionState.UPLOADING:
            self._send_early_response(response)
        else:
            self.write_response(response)

    def _send_early_response(self, response: ClientResponse) -> None:
        """Write the response at once; what still comes of the body is read and thrown away.

        Guards against a client that reads its response only after it has written: it would see a
        reset.
        """
        assert self.transport is not None
        self.keeps_alive = self.keeps_alive and not self.frontend.closes_after_response()
        self.transport.write(
            protocol.encode_response(
                response.status, response.head, response.body, not self.keeps_alive
            )
        )
        self.enter(ConnectionState.DISCARDING_BODY)
        self.resume()
        request_body.on_data(self)

    def write_response(self, response: ClientResponse) -> None:
        """Write a complete response, and go on."""
        transport = self.transport
        self.body.payload = None
        if transport is None:
            return
        keeps_alive = self.keeps_alive and not self.frontend.closes_after_response()
        transport.write(
            protocol.encode_response(response.status, response.head, response.body, not keeps_alive)
        )
        self.keeps_alive = keeps_alive
        self.after_response(transport)

    def after_response(self, transport: asyncio.Transport) -> None:
        """Go on to the next request, or to a lingering close."""
        if not self.keeps_alive:
            lingering_close.begin(self)
            return
        self.enter(ConnectionState.IDLE)
        if self.frontend.phases.is_handing_over and self.frontend.handover.hand_over(self):
            return
        if self.deferred_error is not None:
            rejection.reject_and_close(self, *self.deferred_error)
        elif self._messages or self.pipelined.pieces:
            # Guards against a pipeline that keeps the loop to itself.
            self._loop.call_soon(self.start_next_request)

    def reject_open_request(self, status: int, reason: str) -> None:
        """Answer the open request with an error too; it is forwarded no more."""
        self.enter(ConnectionState.READING_BODY)
        rejection.reject_and_close(self, status, reason)
