"""The body of a request: a short one is buffered, a long one is streamed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp.streams import StreamReader

from mothstall.net import protocol
from mothstall.net.body_arrival import BodyArrival
from mothstall.net.body_relay import Stream
from mothstall.net.client_side import lingering_close, rejection
from mothstall.net.client_side.connection_states import IS_CLOSING, READS_BODY, ConnectionState
from mothstall.net.listener import has_peer_hung_up, unread_byte_count

if TYPE_CHECKING:
    from mothstall.net.client_side.connection import Connection
    from mothstall.net.decider_messages import ClientResponse

# A client has to send MIN_UPLOAD_BYTES of a long body within each period of this length.
UPLOAD_PROGRESS_TIMEOUT_S = 2.5
MIN_UPLOAD_BYTES = 48 * 1024


class RequestBody:
    """The body received so far of the request that is being read.

    Attributes:
        payload: aiohttp's reader of the body; `None` between requests.
        parts: The buffered parts of a short body.
        received_bytes: Bytes received of this body.
        progress_bytes: `received_bytes` when the upload timeout was last restarted.
        stream: The stream of a long body to the backend.
        arrival: When the last byte of a long body may have arrived.
    """

    __slots__ = ("arrival", "parts", "payload", "progress_bytes", "received_bytes", "stream")

    def __init__(self) -> None:
        self.payload: StreamReader | None = None
        self.parts: list[bytes] = []
        self.received_bytes = 0
        self.progress_bytes = 0
        self.stream: Stream | None = None
        self.arrival: BodyArrival | None = None

    def is_complete(self) -> bool:
        """Return whether the whole body was received."""
        return self.payload is None or self.payload.is_eof()


def on_data(connection: Connection, data: bytes = b"") -> None:
    """Process the part of the body that the parser has buffered.

    Args:
        connection: The connection that receives the body.
        data: The input that was just parsed, with the framing of the body.
    """
    body = connection.body
    payload = body.payload
    assert payload is not None
    if body.stream is not None and data:
        _record_read(connection, data)
    if payload.total_bytes > connection.frontend.max_body_bytes:
        abandon(connection, 413, "the body is too long")
        return
    if payload.exception() is not None:
        abandon(connection, 400, "the body is unreadable")
        return
    # All buffered data is taken at once: aiohttp's reader pauses its parser at a limit of bytes or
    # chunks.
    part = payload.read_nowait()
    is_complete = payload.is_eof()
    if is_complete and body.stream is not None and has_peer_hung_up(connection.transport):
        # Guards against completing a blocked body whose client has closed its connection after the
        # last byte.
        connection.on_client_left()
        connection.force_close()
        return
    body.received_bytes += len(part)
    if not is_complete and not _is_within_limits(connection, part, data):
        return
    if (
        body.received_bytes - body.progress_bytes >= MIN_UPLOAD_BYTES
        and connection.state != ConnectionState.READING_BODY
    ):
        body.progress_bytes = body.received_bytes
        connection.state_since_s = connection.frontend.loop.time()
    if connection.state == ConnectionState.DISCARDING_BODY:
        if is_complete and connection.transport is not None:
            body.payload = None
            connection.after_response(connection.transport)
        return
    _deliver(connection, part, is_complete)


def _is_within_limits(connection: Connection, part: bytes, data: bytes) -> bool:
    """Count input of an incomplete request; reject the request and return False beyond a limit."""
    incomplete = connection.incomplete
    if not part:
        # Input without a part of the body is framing or trailers, which the parser keeps.
        incomplete.add_head(data)
    elif connection.state == ConnectionState.READING_BODY:
        incomplete.add_body(len(part))
    else:
        incomplete.clear()
    if incomplete.is_head_too_long():
        abandon(connection, 431, "the trailers are too long")
        return False
    if incomplete.exceeds_budget():
        connection.frontend.counters.add("requests_over_memory")
        abandon(connection, 503, "no room")
        return False
    return True


def _deliver(connection: Connection, data: bytes, is_complete: bool) -> None:
    """Buffer or stream `data`; a short body that is complete submits its request."""
    body = connection.body
    assert connection.request is not None
    if body.stream is None:
        if data:
            body.parts.append(data)
        if body.received_bytes > protocol.MAX_BUFFERED_BODY_BYTES:
            begin_stream(connection, None)
        elif is_complete:
            connection.request.body = b"".join(body.parts)
            body.parts = []
            connection.submit_request()
            return
    elif data:
        body.stream.feed(data)
    if is_complete and body.stream is not None:
        stream, body.stream = body.stream, None
        if body.arrival is not None:
            body.arrival.on_complete(connection.frontend.clock.now())
        connection.enter(ConnectionState.AWAITING_RESPONSE)
        stream.end()


def _record_read(connection: Connection, data: bytes) -> None:
    """Record that a part of a long body was read."""
    arrival = connection.body.arrival
    if arrival is None:
        return
    clock = connection.frontend.clock
    # Pipelined input has waited: it says nothing about what the kernel still holds.
    max_read_bytes = connection.max_read_bytes
    byte_count = max_read_bytes if connection.pipelined.pieces else len(data)
    arrival.on_read(byte_count, clock.arrived_after_ns(), clock.now(), max_read_bytes)


def begin_stream(connection: Connection, length: int | None) -> bool:
    """Submit the request while its body is still being received; False if it was rejected."""
    body = connection.body
    request = connection.request
    assert request is not None
    parts, body.parts = body.parts, []
    request.length = length
    body.progress_bytes = body.received_bytes
    request.body_arrival = body.arrival = BodyArrival(
        connection.arrived_ns,
        None if length is None else length - body.received_bytes,
        is_drained=not connection.pipelined.pieces and not unread_byte_count(connection.transport),
        begun_ns=connection.frontend.clock.now(),
    )
    stream = Stream(connection, connection.frontend.grants)
    request.stream = body.stream = stream
    for part in parts:
        body.stream.feed(part)
    number = connection.frontend.submit_request(
        connection, request, connection.arrived_ns, ConnectionState.UPLOADING
    )
    if number is not None:
        return True
    body.stream.abort()
    body.stream = None
    rejection.reject_request(connection, 400, "X-Txn is that of an open request")
    return False


def abandon(connection: Connection, status: int, reason: str) -> None:
    """Stop reading a body: reject its request, or close the connection after its response."""
    if connection.state == ConnectionState.DISCARDING_BODY:
        lingering_close.begin(connection)
        return
    if connection.state == ConnectionState.UPLOADING:
        connection.enter(ConnectionState.READING_BODY)
    rejection.reject_request(connection, status, reason)


def on_malformed_input(connection: Connection, reason: str) -> None:
    """Reject malformed input; a request that was completed before it is answered first."""
    connection.frontend.counters.add("requests_malformed")
    if connection.state in READS_BODY and connection.body.is_complete():
        on_data(connection)
    elif connection.state == ConnectionState.DISCARDING_BODY:
        # The request is answered already: an error would be a second response.
        lingering_close.begin(connection)
    if connection.state not in IS_CLOSING:
        rejection.reject_and_close(connection, 400, reason)


def send_early_response(connection: Connection, response: ClientResponse) -> None:
    """Write a response to an incomplete request, and discard the rest of the request's body.

    Guards against a client that reads its response only after it has sent the whole body: it would
    see a reset.
    """
    assert connection.transport is not None
    connection.keeps_alive = (
        connection.keeps_alive and not connection.frontend.closes_after_response()
    )
    connection.transport.write(
        protocol.encode_response(
            response.status, response.head, response.body, not connection.keeps_alive
        )
    )
    connection.enter(ConnectionState.DISCARDING_BODY)
    connection.resume()
    on_data(connection)
