"""Relays a long response to its client: the sink of the stream that its backend feeds."""

from __future__ import annotations

import fcntl
import struct
import termios
from typing import TYPE_CHECKING

from mothstall.net import protocol
from mothstall.net.body_relay import BufferSizes, Stream
from mothstall.net.client_side import lingering_close
from mothstall.net.client_side.connection_states import ConnectionState
from mothstall.net.client_side.open_exchange import ExchangeEnd
from mothstall.net.decider_messages import ClientResponse
from mothstall.net.socket_buffers import limit_send_buffer

if TYPE_CHECKING:
    from mothstall.net.client_side.connection import Connection

STALL_S = 10.0  # a client may stop reading a long response for this time


class ResponseRelay:
    """Writes one long response to its client as the backend sends it.

    Attributes:
        stream: The source of the response's body.
        is_chunked: Whether the body is sent in chunks.
        has_length: Whether the head declared the body's length.
        acknowledged_bytes: Bytes that the client had acknowledged at its last progress.
    """

    def __init__(
        self, connection: Connection, stream: Stream, is_chunked: bool, has_length: bool
    ) -> None:
        """Relay `stream` to the client of `connection`."""
        self.stream = stream
        self.is_chunked = is_chunked
        self.has_length = has_length
        self.acknowledged_bytes = 0
        self._connection = connection

    @property
    def ends_with_connection(self) -> bool:
        """Whether only the end of the connection tells the client that the body is complete."""
        return not (self.is_chunked or self.has_length)

    def write_body(self, data: bytes) -> None:
        """Write the next bytes of the body."""
        transport = self._connection.transport
        if transport is not None:
            transport.write(protocol.encode_chunk(data) if self.is_chunked else data)

    def end_body(self) -> None:
        """End a complete body; the connection continues with its next request."""
        connection = self._connection
        transport = connection.transport
        if transport is not None and self.is_chunked:
            transport.write(protocol.LAST_CHUNK)
        connection.end_exchange(ExchangeEnd.RELAYED)
        connection.body.payload = None
        if transport is not None:
            if self.ends_with_connection:
                lingering_close.set_reset_on_close(transport.get_extra_info("socket"), False)
            transport.set_write_buffer_limits()
            connection.after_response(transport)

    def abort_body(self) -> None:
        """End a body that was cut off.

        Guards against a partial response that looks complete: without chunks or a length, only a
        reset shows the cut.
        """
        connection = self._connection
        connection.end_exchange(ExchangeEnd.CUT)
        if self.ends_with_connection or connection.transport is None:
            lingering_close.reset(connection)
        else:
            lingering_close.begin(connection)

    def limit_output(self, sizes: BufferSizes) -> None:
        """Limit what the kernel takes; more would hide as well whether the client reads."""
        limit_send_buffer(self._connection.transport, sizes.send_bytes)

    def check_progress(self, now: float) -> None:
        """Reset the connection if data sent to the client makes no progress for STALL_S.

        Guards against a client that stops reading a long response.
        """
        connection = self._connection
        transport = connection.transport
        if transport is None:
            return
        unacknowledged_bytes = transport.get_write_buffer_size()
        sock = transport.get_extra_info("socket")
        if sock is not None:
            queued = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, b"\0" * 4)
            unacknowledged_bytes += struct.unpack("i", queued)[0]
        acknowledged_bytes = self.stream.delivered_bytes - unacknowledged_bytes
        if acknowledged_bytes != self.acknowledged_bytes or not unacknowledged_bytes:
            self.acknowledged_bytes = acknowledged_bytes
            connection.state_since_s = now
        elif now - connection.state_since_s >= STALL_S:
            connection.frontend.counters.add("connections_overdue")
            connection.end_exchange(ExchangeEnd.CUT)
            lingering_close.reset(connection)


def start(connection: Connection, response: ClientResponse, stream: Stream) -> None:
    """Write the head of a long response, and begin to relay its body."""
    transport = connection.transport
    exchange = connection.exchange
    assert transport is not None
    assert exchange is not None
    body = connection.body
    upload, body.stream = body.stream, None
    if upload is not None:  # the response began before its request was complete
        connection.keeps_alive = False
        upload.abort()
    is_http11 = connection.is_http11
    connection.keeps_alive = (
        connection.keeps_alive and is_http11 and not connection.frontend.closes_after_response()
    )
    has_length = response.length is not None
    relay = ResponseRelay(connection, stream, is_http11 and not has_length, has_length)
    exchange.relay = relay
    connection.enter(ConnectionState.RELAYING)
    transport.set_write_buffer_limits(high=0)
    sock = transport.get_extra_info("socket")
    if sock is not None and relay.ends_with_connection:
        # Guards against a response that looks complete because this process was killed.
        lingering_close.set_reset_on_close(sock, True)
    transport.write(
        protocol.encode_response_head(
            response.head, response.length, is_http11, not connection.keeps_alive
        )
    )
    if connection.writing_paused:
        stream.sink_blocked()
    stream.open(relay)
