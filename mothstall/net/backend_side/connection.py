"""A connection to a backend: writes one request at a time, and reads its response.

Connections use aiohttp's client protocol and parser, but not its session and connector, which only
the calls to discovery use: the task, request object and response object that a session creates made
up 40% of the cost of an attempt.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp.base_protocol import BaseProtocol
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_parser import RawResponseMessage

from mothstall.interface import AttemptResult
from mothstall.net import protocol
from mothstall.net.backend_side.attempt import OpenAttempt
from mothstall.net.backend_side.response_reader import STATUS_OK, ResponseReader
from mothstall.net.body_relay import MAX_READ_BYTES, BufferSizes, Stream
from mothstall.net.listener import unread_byte_count
from mothstall.net.socket_buffers import limit_send_buffer

if TYPE_CHECKING:
    from mothstall.net.backend_side.backend import Backend

STALL_S = 10.0  # timeout without progress of a long body, in either direction
STALL_CHECKS = 4  # number of progress checks within STALL_S
# A response of unknown length that still comes after this part of its attempt's remaining time is
# relayed as a long one: it may be one, and the first bytes of a long response are due in time.
UNKNOWN_LENGTH_FRACTION = 1 / 4
# It is relayed this long before its attempt times out in any case: its next part may come later.
RELAY_MARGIN_S = 0.02
PARSER_BUFFER_BYTES = 16 * MAX_READ_BYTES  # never full: each read leaves the parser at once


class BackendConnection(ResponseHandler):
    """A connection to one incarnation of a backend, for one request at a time.

    The connection is the sink of a long request body, and the source of a long response body.

    Attributes:
        owner: The backend's actor, which is notified of responses, errors and closes.
        incarnation: The backend's incarnation when the connection was opened.
        attempt: The attempt whose response is awaited; None if there is none.
        is_flushed: Whether all written data was handed to the socket.
    """

    def __init__(self, owner: Backend) -> None:
        super().__init__(owner.loop)
        self.owner = owner
        self.incarnation = owner.incarnation
        self.attempt: OpenAttempt | None = None
        self.is_flushed = True
        self._reader = ResponseReader(owner.max_body_bytes, self._on_body)
        self._body_parts: list[bytes] = []
        self._upload: Stream | None = None
        self._is_upload_chunked = False
        self._is_upload_cut = False  # the backend waits for the rest of a cut body
        # The attempt whose long request body was received completely, but is still partly in the
        # transport's write buffer.
        self._flushing_attempt: OpenAttempt | None = None
        self._stream: Stream | None = None  # a long response that is being relayed
        self._last_progress_s = 0.0  # loop time of the last progress of a long body
        self._progress_mark = 0  # bytes of the upload handed to the socket at the last progress
        self._stall_timer: asyncio.TimerHandle | None = None
        # Begins to relay a response of unknown length that is still incomplete then.
        self._relay_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the transport's limits and prepare aiohttp's parser."""
        BaseProtocol.connection_made(self, transport)
        assert self.transport is not None
        self.transport.set_write_buffer_limits(high=0)
        # Guards against asyncio's read buffer of a quarter of a megabyte per connection.
        self.transport.max_size = MAX_READ_BYTES  # type: ignore[attr-defined]
        self.set_response_params(
            read_until_eof=False, auto_decompress=False, read_bufsize=PARSER_BUFFER_BYTES
        )

    def pause_writing(self) -> None:
        """Block the request's long body: the transport's write buffer is not empty."""
        self.is_flushed = False
        if self._upload is not None:
            self._upload.sink_blocked()

    def resume_writing(self) -> None:
        """Continue the request's long body, or record that the request is written."""
        self.is_flushed = True
        if self._upload is not None:
            self._upload.sink_ready()
        elif self.attempt is not None:
            self._on_flushed(self.attempt)

    def _on_flushed(self, attempt: OpenAttempt) -> None:
        """Report that the attempt's last byte was handed to the socket."""
        has_long_body = self._flushing_attempt is attempt
        self._flushing_attempt = None
        if has_long_body:
            self._stop_watching()
        self.owner.on_request_written(attempt, has_long_body)

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Resume reading, without aiohttp's callback into the parser.

        Guards against a callback into the parser without data: the parser's buffer is never full,
        because each read is taken out of it at once.
        """
        if self._reading_paused:
            self._reading_paused = False
            self._resume_transport_reading()

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the attempt and the streams; a response without length or chunks is complete now."""
        self._parser = None
        self.transport = None
        if self._reader.is_until_close and exc is None and self._reader.message is not None:
            self._on_response_complete(keep=False)
        self._release_streams()
        self.owner.on_connection_lost(self)

    def _release_streams(self) -> None:
        self._stop_watching()
        self._stop_relay_timer()
        upload = self._upload
        self._upload = None
        if upload is not None:
            upload.drop()
        stream = self._stream
        self._stream = None
        if stream is not None and not stream.is_over:
            self.owner.on_response_cut()
            stream.truncate()

    def drop(self) -> None:
        """Close the connection at once; data not yet handed to the socket is never sent."""
        self.attempt = None
        self._release_streams()
        if self.transport is not None:
            self.transport.abort()
            self.transport = None
        self.owner.on_connection_lost(self)

    def abort(self) -> None:
        """Abort the connection as the process ends; its attempt in flight is lost.

        A response that ends with its connection does not count as complete either.
        """
        self._reader.is_until_close = False
        if self.transport is not None:
            self.transport.abort()

    def is_reusable(self) -> bool:
        """Return whether the idle connection is open, and holds no input that was not read yet.

        Guards against a duplicate response that waits in the kernel because the event loop was
        busy.
        """
        if not self.is_connected():
            return False
        if not unread_byte_count(self.transport):
            return True
        self.owner.counters.add("answers_unsolicited")
        return False

    def begin(self, attempt: OpenAttempt, raw_request: bytes) -> None:
        """Write an attempt's request, or its head if a long body follows."""
        assert self.transport is not None
        self.attempt = attempt
        self._reader.reset()
        self._body_parts = []
        self._is_upload_cut = False
        self.transport.max_size = MAX_READ_BYTES  # type: ignore[attr-defined]
        self.transport.write(raw_request)
        upload = attempt.command.client_request.stream if attempt.command else None
        if attempt.command is not None and upload is not None:
            self._upload = upload
            self._is_upload_chunked = attempt.command.client_request.length is None
            self._watch_progress()
            if not self.is_flushed:
                upload.sink_blocked()
            upload.open(self)
        elif self.is_flushed:
            self._on_flushed(attempt)

    # A request's long body

    @property
    def is_uploading(self) -> bool:
        """Whether the request's long body is not complete yet."""
        return self._upload is not None

    def write_body(self, data: bytes) -> None:
        """Write a part of the request's body."""
        if self.transport is not None:
            self.transport.write(protocol.encode_chunk(data) if self._is_upload_chunked else data)

    def end_body(self) -> None:
        """Write the end of the request's body, which is complete."""
        self._upload = None
        self._flushing_attempt = self.attempt
        if self._is_upload_chunked and self.transport is not None:
            self.transport.write(protocol.LAST_CHUNK)
        if self.is_flushed and self.attempt is not None:
            self._on_flushed(self.attempt)

    def abort_body(self) -> None:
        """Cancel the attempt whose request body was cut off: the backend cannot execute it.

        A long response that has begun continues; the connection is not reused after it.
        """
        self._upload = None
        self._is_upload_cut = True
        if self.attempt is not None:
            self.owner.cancel(self.attempt, AttemptResult.CANCELLED)

    def limit_output(self, sizes: BufferSizes) -> None:
        """Limit what the kernel takes of a request's body before the backend has it."""
        limit_send_buffer(self.transport, sizes.send_bytes)

    # A response's long body

    def limit_input(self, sizes: BufferSizes) -> None:
        """Limit what is read of a response at once."""
        if self.transport is not None:
            self.transport.max_size = sizes.read_bytes  # type: ignore[attr-defined]

    def pause(self) -> None:
        """Pause reading the response; called by its stream."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()

    def resume(self) -> None:
        """Continue to read the response."""
        self._last_progress_s = self.owner.loop.time()
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def sink_closed(self) -> None:
        """Close the connection: the response's sink is gone."""
        self._stream = None
        self.drop()

    def _schedule_relay(self, attempt: OpenAttempt) -> None:
        """Set the timer that relays a response of unknown length before its attempt times out.

        Guards against a long response that its backend writes slowly: until 64 KiB of it have come
        nothing would tell it from a short one, and its attempt would time out.
        """
        if self._relay_timer is not None:
            return
        now = self.owner.loop.time()
        remaining_s = attempt.due_s - now
        due_s = now + min(UNKNOWN_LENGTH_FRACTION * remaining_s, remaining_s - RELAY_MARGIN_S)
        self._relay_timer = self.owner.loop.call_at(
            due_s, self._on_relay_due, attempt, self._reader.received_bytes
        )

    def _on_relay_due(self, attempt: OpenAttempt, first_bytes: int) -> None:
        """Begin to relay, or wait if no more has come than the `first_bytes`: it may be stalled."""
        self._relay_timer = None
        if self.attempt is not attempt or self._stream is not None:
            return
        latest_s = attempt.due_s - RELAY_MARGIN_S
        if self._reader.received_bytes > first_bytes or self.owner.loop.time() >= latest_s:
            self._begin_relay()
        else:
            self._relay_timer = self.owner.loop.call_at(
                latest_s, self._on_relay_due, attempt, first_bytes
            )

    def _stop_relay_timer(self) -> None:
        if self._relay_timer is not None:
            self._relay_timer.cancel()
            self._relay_timer = None

    def _begin_relay(self) -> None:
        """Begin to relay a long response; its attempt ends as successful."""
        self._stop_relay_timer()
        attempt = self.attempt
        message = self._reader.message
        assert attempt is not None
        assert message is not None
        stream = Stream(self, self.owner.buffer_grants)
        self._stream = stream
        self.attempt = None
        for part in self._body_parts:
            stream.feed(part)
        self._body_parts = []
        self._watch_progress()
        has_length = not (self._reader.is_until_close or message.chunked)
        length = self._reader.content_length if has_length else None
        self.owner.on_response_started(attempt, message, stream, length)

    def _watch_progress(self) -> None:
        """Start to check a long body for progress.

        Guards against a backend that stops reading or sending the body.
        """
        self._last_progress_s = self.owner.loop.time()
        self._progress_mark = 0
        if self._stall_timer is None:
            self._stall_timer = self.owner.loop.call_later(
                STALL_S / STALL_CHECKS, self._check_progress
            )

    def _stop_watching(self) -> None:
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None

    def _check_progress(self) -> None:
        self._stall_timer = None
        now = self.owner.loop.time()
        transport = self.transport
        if transport is None:
            return
        upload = self._upload
        if upload is not None or self._flushing_attempt is not None:
            mark = (upload.delivered_bytes if upload else 0) - transport.get_write_buffer_size()
            if mark != self._progress_mark or (upload is not None and self.is_flushed):
                self._progress_mark = mark
                self._last_progress_s = now
        elif self._stream is None:
            return
        elif self._stream.is_paused:
            self._last_progress_s = now
        if now - self._last_progress_s < STALL_S:
            self._stall_timer = self.owner.loop.call_later(
                STALL_S / STALL_CHECKS, self._check_progress
            )
        elif self.attempt is not None:
            self.owner.cancel(self.attempt, AttemptResult.TIMEOUT)
        else:
            self.drop()

    def data_received(self, data: bytes) -> None:
        """Read input from the backend."""
        attempt = self.attempt
        if attempt is None and self._stream is None:
            self._drop_unsolicited()
            return
        self._last_progress_s = self.owner.loop.time()
        assert self._parser is not None
        try:
            has_more = self._reader.feed(self._parser, data)
        except protocol.UnreadableMessageError as error:
            if self.attempt is not None:
                self.owner.on_unreadable_response(self.attempt, error)
            else:
                self.drop()
            return
        self._advance_response(has_more)

    def _drop_unsolicited(self) -> None:
        """Close the connection after bytes that were received without an open request.

        Guards against a duplicate or late response that would be taken for the response to the next
        request.
        """
        if self.transport is not None:
            self.owner.counters.add("unreadable")
            self.owner.counters.add("answers_unsolicited")
            self.drop()

    def _advance_response(self, has_more: bool) -> None:
        """Begin to relay a response that turns out to be long, and end one that is complete."""
        reader = self._reader
        message = reader.message
        payload = reader.payload
        if payload is None or message is None:
            return
        is_long = (
            reader.expected_bytes > protocol.MAX_BUFFERED_BODY_BYTES and message.code == STATUS_OK
        )
        if is_long and self._stream is None and self.attempt is not None:
            self._begin_relay()
        if not payload.is_eof() or reader.is_until_close:
            self._watch_unknown_length(message)
            return
        if has_more:
            self.owner.counters.add("answers_with_more")
        is_early = self._upload is not None or self._flushing_attempt is not None
        keep = not (has_more or message.should_close or is_early or self._is_upload_cut)
        self._on_response_complete(keep=keep)

    def _watch_unknown_length(self, message: RawResponseMessage) -> None:
        attempt = self.attempt
        if attempt is None or attempt.command is None or message.code != STATUS_OK:
            return
        if message.chunked or self._reader.is_until_close:
            self._schedule_relay(attempt)

    def _on_response_complete(self, keep: bool) -> None:
        self._stop_relay_timer()
        message = self._reader.message
        parts = self._body_parts
        self._reader.message = None
        self._reader.payload = None
        self._body_parts = []
        if self._stream is not None:
            stream = self._stream
            self._stream = None
            self._stop_watching()
            self.owner.release_connection(self, keep)
            stream.end()
        elif self.attempt is not None and message is not None:
            self.owner.on_response(self.attempt, message, b"".join(parts), keep)

    def _on_body(self, data: bytes) -> None:
        """Relay or buffer the next bytes of the body."""
        if self._stream is not None:
            self._stream.feed(data)
        elif data:
            self._body_parts.append(data)

    def handover_position(self) -> tuple[int, int | None, tuple[int, int, bytes] | None] | None:
        """Return the position at which another process continues the response.

        Returns:
            The socket's descriptor, the bytes still missing, and the position in the chunked coding
            (see `ChunkedDecoder`); None if the response cannot be handed over.
        """
        if self.transport is None or self.transport.is_closing() or self._stream is None:
            return None
        descriptor = self.transport.get_extra_info("socket").fileno()
        missing_bytes, chunk_position = self._reader.handover_position()
        return descriptor, missing_bytes, chunk_position
