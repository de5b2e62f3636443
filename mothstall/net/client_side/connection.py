"""A client connection: serves one request at a time, in the order of their arrival."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web_server
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_exceptions import HttpProcessingError

from mothstall.net import protocol
from mothstall.net.aiohttp_internals import ParserConnection, ends_http
from mothstall.net.body_relay import MAX_READ_BYTES, BufferSizes
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
    IS_INCOMPLETE,
    READS_BODY,
    ConnectionState,
)
from mothstall.net.client_side.incomplete_request import PARSE_BYTES, IncompleteRequest
from mothstall.net.client_side.open_exchange import ExchangeEnd, OpenExchange
from mothstall.net.client_side.pipelined_input import PipelinedInput
from mothstall.net.client_side.request_body import RequestBody
from mothstall.net.client_side.response_relay import ResponseRelay
from mothstall.net.decider_messages import ClientResponse
from mothstall.net.listener import CHECK_CLIENT_AFTER_NS, has_peer_hung_up

if TYPE_CHECKING:
    from mothstall.net.client_side.frontend import Frontend

HEAD_END = b"\r\n\r\n"
# A first request received within this time counts as having arrived with its connection.
FIRST_REQUEST_S = 0.1


class Connection(ParserConnection):
    """The connection of one client.

    Attributes:
        frontend: State shared by all client connections.
        state: The connection's state; only `enter` changes it.
        state_since_s: When the state was entered or its timeout restarted (loop time, seconds).
        arrived_ns: Earliest Unix time at which the current request may have arrived.
        request: The request that is being read or is open.
        exchange: The open request with its streams; None in a state without an open request.
        body: The part of the request's body received so far.
        incomplete: Counts the input of a request that is being read.
        pipelined: Input received while a request was open, not parsed yet.
        is_http11: Whether the open request is HTTP/1.1.
        keeps_alive: Whether the connection stays open after the open request's response.
        deferred_error: Status and reason of an error that is sent after the open request's
            response.
        discarded_bytes: Bytes discarded since the connection began to discard input.
        is_read_blocked: Whether reading is paused because the body's stream is full.
        max_read_bytes: Size of a full read of a long body.
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
        "incomplete",
        "is_http11",
        "is_read_blocked",
        "keeps_alive",
        "max_read_bytes",
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
        self.incomplete = IncompleteRequest(frontend.incomplete_budget)
        self.pipelined = PipelinedInput(frontend.pipelined_budget)
        self.is_http11 = True
        self.keeps_alive = True
        self.deferred_error: tuple[int, str] | None = None
        self.discarded_bytes = 0
        self.is_read_blocked = False
        self.max_read_bytes = MAX_READ_BYTES
        # Accepting was delayed, so that the first request may have waited long in the backlog.
        self._is_late = False
        # The last input arrived while a request was being read or open: the parser may hold some.
        self._was_pipelined = False
        # The parser stops behind each complete request, and may hold further input.
        self._parser_may_hold_more = False

    # Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, and limit the size of its reads."""
        super().connection_made(transport)
        # Guards against asyncio's read buffer of a quarter of a megabyte per connection.
        self.set_max_read(MAX_READ_BYTES)
        self.arrived_ns = self.frontend.clock.arrived_after_ns()
        self.enter(ConnectionState.NEW)

    def on_accepted(self, arrived_ns: int, is_late: bool) -> None:
        """Set the time at which the first request may have arrived.

        Args:
            arrived_ns: The earliest possible Unix time; 0 if it is unknown.
            is_late: Whether accepting was delayed, so that the request may have waited long.
        """
        self.arrived_ns = arrived_ns or self.arrived_ns
        self._is_late = is_late

    def connection_lost(self, exc: BaseException | None) -> None:
        """Withdraw the open request, and release the connection's buffers and parser."""
        if not self.unregister(exc):
            return
        self.on_client_left()
        self.frontend.table.remove(self)
        self.detach(exc)
        self.discard_pipelined()
        self.incomplete.clear()
        self.end_exchange(ExchangeEnd.WITHDRAWN)
        self.request = self.body.payload = None
        self.body.parts = []

    def eof_received(self) -> None:
        """Treat a half-close as a close by the client, even if a response is still unread."""
        self.on_client_left()

    def on_client_left(self) -> None:
        """Withdraw an unanswered request: its client has closed the connection."""
        if self.state in (ConnectionState.AWAITING_RESPONSE, ConnectionState.UPLOADING):
            self.enter(ConnectionState.LINGERING)

    def discard_pipelined(self) -> None:
        """Drop the input received after the open request."""
        self._messages.clear()
        self.pipelined.clear()
        self._parser_may_hold_more = False

    @property
    def relay(self) -> ResponseRelay | None:
        """The long response that is being relayed, if any."""
        return None if self.exchange is None else self.exchange.relay

    def pause_writing(self) -> None:
        """Block the relayed response: the transport's buffer is full."""
        BaseProtocol.pause_writing(self)
        if self.relay is not None:
            self.relay.stream.sink_blocked()

    def resume_writing(self) -> None:
        """Continue writing: the transport's buffer has drained."""
        BaseProtocol.resume_writing(self)
        # Guards against a close from within this callback, which asyncio would carry out twice.
        self._loop.call_soon(self._on_writable)

    def _on_writable(self) -> None:
        if self._paused or self.transport is None:
            return
        if self.relay is not None:
            self.relay.stream.sink_ready()
        else:
            self.start_next_request()

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Resume the parser; called when the buffer of a body has drained.

        Guards against re-entering the parser while a body is read out of it: the parser is resumed
        in a later callback.
        """
        if self._reading_paused:
            self._reading_paused = False
            if not self.is_read_blocked:
                self._resume_transport_reading()
            if resume_parser:
                self._loop.call_soon(self._resume_parser)

    def _resume_parser(self) -> None:
        """Parse the input that aiohttp's parser held back.

        aiohttp pauses its parser at a limited number of chunks, whatever their size.
        """
        if self.state in READS_BODY:
            self._parse(b"")

    def has_pipelined_input(self) -> bool:
        """Return whether input after the last request may have been read already."""
        return (
            self._was_pipelined
            or bool(self._messages)
            or bool(self.pipelined.pieces)
            or self.deferred_error is not None
        )

    def shed(self) -> None:
        """Reject an incomplete request, or begin a lingering close if there is none."""
        if self.state in (ConnectionState.READING_HEAD, ConnectionState.READING_BODY):
            rejection.reject_and_close(self, 503, "no room")
        else:
            lingering_close.begin(self)

    def abort(self) -> None:
        """Close at once, even with unsent response data, to free the descriptor."""
        self.frontend.table.remove(self)
        if self.transport is not None:
            self.transport.abort()
            self.transport = None

    def release(self) -> None:
        """Close this process's descriptor: another process owns the connection now."""
        self.abort()

    def has_unread_response(self) -> bool:
        """Return whether part of a response still waits to be sent."""
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    def enter(self, state: ConnectionState) -> None:
        """Change the state.

        Guards against a request that stays open in the decider although its connection no longer
        handles it: the request is withdrawn if the new state is one without an open request.
        """
        if self.exchange is not None and state not in HAS_OPEN_EXCHANGE:
            self.end_exchange(ExchangeEnd.WITHDRAWN)
        table = self.frontend.table
        table.remove(self)
        if state not in IS_INCOMPLETE:
            self.incomplete.clear()
        self.state = state
        self.state_since_s = self.frontend.loop.time()
        table.add(self)

    # Reading

    def data_received(self, data: bytes) -> None:
        """Parse input, buffer it while a request is open, or discard it."""
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
        if self.pipelined.pieces or state in DEFERS_INPUT or self._has_unparsed_requests():
            self._buffer_pipelined(data)
        elif len(data) <= PARSE_BYTES or state in READS_BODY:
            self._receive(data, self.frontend.clock.arrived_after_ns())
        else:
            # Guards against memory for parsed heads of many fields, many times that of the input:
            # what follows the first request is buffered unparsed.
            self._receive(data[:PARSE_BYTES], self.frontend.clock.arrived_after_ns())
            self.data_received(data[PARSE_BYTES:])

    def _receive(self, data: bytes, arrived_ns: int) -> None:
        state = self.state
        if state == ConnectionState.NEW or state == ConnectionState.IDLE:
            # A first request soon after the connection may have waited in the backlog as long as
            # the connection: `arrived_ns` stays that of the connection.
            if (
                state == ConnectionState.IDLE
                or self.frontend.loop.time() - self.state_since_s > FIRST_REQUEST_S
            ):
                self.arrived_ns = arrived_ns
            state_since_s = self.state_since_s
            self.enter(ConnectionState.READING_HEAD)
            if state == ConnectionState.NEW:
                # The timeout for a complete head counts from when the connection was opened.
                self.state_since_s = state_since_s
        self._parse(data)

    def _has_unparsed_requests(self) -> bool:
        """Return whether the parser may hold requests that wait for their turn.

        Guards against a client that sends requests faster than they are taken up, one in each
        iteration of the event loop: the parser would hold and copy ever more of them.
        """
        return self._parser_may_hold_more and self.state not in READS_BODY

    def _buffer_pipelined(self, data: bytes) -> None:
        """Buffer input unparsed: reading continues, so that a close by the client is noticed."""
        self.pipelined.append(data, self.frontend.clock.arrived_after_ns())
        if self.state in READS_BODY or not self.pipelined.exceeds_limit():
            return
        rejection.reject_pipelined(self)

    def _take_pipelined(self) -> None:
        """Parse the input buffered after an answered request, one piece per loop iteration."""
        if (
            not self.pipelined.pieces
            or self._messages
            or self.is_read_blocked
            or self.state in DEFERS_INPUT
            or self._has_unparsed_requests()
            or self.is_closing()
        ):
            return
        max_bytes = MAX_READ_BYTES if self.state in READS_BODY else PARSE_BYTES
        data, arrived_ns = self.pipelined.popleft(max_bytes)
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
            self.incomplete.clear()
            # A head without a body that ends the input is complete, and nothing is behind it.
            self._parser_may_hold_more = data.find(HEAD_END) != len(data) - len(HEAD_END)
            self._was_pipelined = self._was_pipelined or self._parser_may_hold_more
        if upgraded or any(map(ends_http, messages)):
            request_body.on_malformed_input(self, "no upgrade")
        elif self.state in READS_BODY:
            request_body.on_data(self, data)
        elif self.state == ConnectionState.READING_HEAD and self._messages:
            self.start_next_request()
        elif self.state == ConnectionState.READING_HEAD:
            self.incomplete.add_head(data)
            rejection.check_incomplete(self)

    def start_next_request(self) -> None:
        """Start the next request, if none is open and the last response was written."""
        if (
            self.state not in (ConnectionState.IDLE, ConnectionState.READING_HEAD)
            or self._paused
            or self.is_closing()
        ):
            return
        if not self._messages and self._parser_may_hold_more:
            self._parser_may_hold_more = False
            self._parse(b"")
        if not self._messages:
            self._take_pipelined()
            return
        message, payload = self._messages.popleft()
        if self._parser is not None:
            self._parser.message_consumed()
        # The age of a pipelined request includes its wait for earlier responses.
        is_late = (
            self._is_late or self.frontend.clock.now() - self.arrived_ns > CHECK_CLIENT_AFTER_NS
        )
        self._is_late = False
        if is_late and has_peer_hung_up(self.transport):
            # Guards against forwarding a request whose client left while it waited unread, as this
            # process was suspended or had no free descriptor.
            self.discard_pipelined()
            self.force_close()
            return
        request_head.handle_head(self, message, payload)  # type: ignore[arg-type]
        if self.pipelined.pieces:
            self._loop.call_soon(self._take_pipelined)  # may contain the rest of this request

    def submit_request(self) -> None:
        """Submit a complete request to the decider."""
        assert self.request is not None
        number = self.frontend.submit_request(self, self.request, self.arrived_ns)
        if number is None:
            rejection.reject_request(self, 400, "X-Txn is that of an open request")

    def open_exchange(self, exchange: OpenExchange, state: ConnectionState) -> None:
        """Record the request that is submitted to the decider."""
        self.exchange = exchange
        self.enter(state)

    def end_exchange(self, end: ExchangeEnd) -> None:
        """End the open request, if there is one, and release its id and its streams."""
        exchange = self.exchange
        if exchange is None:
            return
        self.exchange = None
        self.request = None
        self.body.stream = self.body.arrival = None
        self.frontend.end_exchange(exchange, end)

    # As the source of a long body

    def pause(self) -> None:
        """Pause reading."""
        self.is_read_blocked = True
        if self.body.arrival is not None:
            self.body.arrival.on_paused(self.frontend.clock.now())
        self._pause_transport_reading()

    def resume(self) -> None:
        """Resume reading, and restart the timeout of the state."""
        self.is_read_blocked = False
        if self.body.arrival is not None:
            self.body.arrival.on_resumed(self.frontend.clock.now())
        self.state_since_s = self.frontend.loop.time()
        if self.pipelined.pieces:
            self._loop.call_soon(self._take_pipelined)
        if not self._buffer_paused and not self._reading_paused:
            self._resume_transport_reading()

    def limit_input(self, sizes: BufferSizes) -> None:
        """Limit what is read at once."""
        self.max_read_bytes = sizes.read_bytes
        self.set_max_read(sizes.read_bytes)

    def sink_closed(self) -> None:
        """Pause reading: the backend no longer reads the body; the response may still follow."""
        self.pause()

    def is_waiting(self, request: protocol.ClientRequest, check_socket: bool) -> bool:
        """Return whether the client still waits for its response.

        Args:
            request: The request.
            check_socket: Also check the socket for a hang-up that was not read yet.
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
            request_body.send_early_response(self, response)
        else:
            self.write_response(response)

    def write_response(self, response: ClientResponse) -> None:
        """Write a complete response, then continue with `after_response`."""
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
        """Continue with the next request, or begin a lingering close."""
        if not self.keeps_alive:
            lingering_close.begin(self)
            return
        self.enter(ConnectionState.IDLE)
        if self.frontend.phases.is_handing_over and self.frontend.handover.hand_over(self):
            return
        if self.deferred_error is not None:
            rejection.reject_and_close(self, *self.deferred_error)
        elif self._messages or self._parser_may_hold_more or self.pipelined.pieces:
            # Guards against a long pipeline that blocks the event loop.
            self._loop.call_soon(self.start_next_request)

    def reject_open_request(self, status: int, reason: str) -> None:
        """Withdraw the open request, and answer it with an error."""
        self.enter(ConnectionState.READING_BODY)
        rejection.reject_and_close(self, status, reason)
