"""Relays the rest of a long response that the predecessor began, from socket to socket."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable

from mothstall.net import protocol
from mothstall.net.body_relay import (
    MAX_READ_BYTES,
    NARROW_BUFFERS,
    BufferGrants,
    BufferSizes,
    Stream,
)
from mothstall.net.chunked_coding import ChunkedCodingError, ChunkedDecoder
from mothstall.net.client_side.lingering_close import set_reset_on_close
from mothstall.net.handover.messages import StreamHandover
from mothstall.net.listener import unsent_bytes
from mothstall.net.socket_buffers import limit_send_buffer

log = logging.getLogger("mothstall.stream_takeover")

STALL_S = 10.0  # a response is aborted after this time without progress
LINGER_S = 1.0  # minimum time for which a lingering close reads and discards input


class _Side(asyncio.Protocol):
    """One of the two connections of a response."""

    def __init__(self, takeover: StreamTakeover) -> None:
        self._takeover = takeover
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.max_size = MAX_READ_BYTES  # type: ignore[attr-defined]


class _ClientSide(_Side):
    """The connection to the client: the stream's sink, closed at the end of the response."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        assert self.transport is not None
        self.transport.set_write_buffer_limits(high=0)
        self.transport.pause_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        self._takeover.finish()

    def pause_writing(self) -> None:
        self._takeover.stream.sink_blocked()

    def resume_writing(self) -> None:
        # Guards against closing the transport within this callback: asyncio would close it twice.
        asyncio.get_running_loop().call_soon(self._takeover.on_client_ready)

    def write_body(self, data: bytes) -> None:
        if self.transport is not None:
            self.transport.write(
                protocol.encode_chunk(data) if self._takeover.response.is_chunked else data
            )

    def end_body(self) -> None:
        if self.transport is not None:
            if self._takeover.response.is_chunked:
                self.transport.write(protocol.LAST_CHUNK)
            self._finish(self.transport)

    def abort_body(self) -> None:
        """End an incomplete response.

        Guards against a truncated response without chunks or length that looks complete: such a
        response ends in a reset.
        """
        if self.transport is None:
            return
        if (
            self._takeover.response.is_chunked
            or self._takeover.response.remaining_bytes is not None
        ):
            self._finish(self.transport)
        else:
            self.abort()

    def limit_output(self, sizes: BufferSizes) -> None:
        limit_send_buffer(self.transport, sizes.send_bytes)

    def _finish(self, transport: asyncio.Transport) -> None:
        """Close the connection with a lingering close, which reads and discards further input.

        Guards against closing with unread bytes, which would lose the end of the response.
        """
        set_reset_on_close(transport.get_extra_info("socket"), False)
        transport.resume_reading()
        try:
            transport.write_eof()
        except OSError:
            transport.close()
            return
        asyncio.get_running_loop().call_later(LINGER_S, self._close_when_flushed, transport)

    def _close_when_flushed(self, transport: asyncio.Transport) -> None:
        if transport.get_write_buffer_size():
            # The client reads slowly.
            asyncio.get_running_loop().call_later(LINGER_S, self._close_when_flushed, transport)
        else:
            transport.abort()

    def abort(self) -> None:
        if self.transport is not None:
            set_reset_on_close(self.transport.get_extra_info("socket"), True)
            self.transport.abort()


class _BackendSide(_Side):
    """The connection to the backend: the stream's source."""

    def __init__(self, takeover: StreamTakeover) -> None:
        super().__init__(takeover)
        self._sizes = NARROW_BUFFERS

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.limit_input(self._sizes)

    def data_received(self, data: bytes) -> None:
        self._takeover.on_backend_data(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self._takeover.on_backend_closed(exc is None)

    def pause(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()

    def resume(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def sink_closed(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def limit_input(self, sizes: BufferSizes) -> None:
        self._sizes = sizes
        if self.transport is not None:
            self.transport.max_size = sizes.read_bytes  # type: ignore[attr-defined]


class StreamTakeover:
    """Relays the rest of one response, with the flow control of a `Stream`."""

    def __init__(
        self, response: StreamHandover, grants: BufferGrants, loop: asyncio.AbstractEventLoop
    ) -> None:
        self.response = response
        self._loop = loop
        self._remaining_bytes = response.remaining_bytes
        self._decoder = ChunkedDecoder(*response.coding) if response.coding is not None else None
        self._source = _BackendSide(self)
        self._sink = _ClientSide(self)
        self.stream = Stream(self._source, grants)
        self._stall_check: asyncio.TimerHandle | None = None
        self._delivered_at_last_check = -1  # bytes delivered at the last check
        self._on_end: Callable[[StreamTakeover], None] | None = None

    async def run(
        self,
        client: socket.socket,
        backend: socket.socket | None,
        on_end: Callable[[StreamTakeover], None],
    ) -> None:
        """Start to relay between two sockets; `on_end` is called once, at the end.

        `backend` is None if the response was received completely.
        """
        self._on_end = on_end
        try:
            for sock, side in ((client, self._sink), (backend, self._source)):
                if sock is None:
                    continue
                sock.setblocking(False)
                await self._loop.connect_accepted_socket(lambda side=side: side, sock)  # type: ignore[misc]
        except OSError:
            client.close()
            if backend is not None:
                backend.close()
            self.finish()
            return
        if self.stream.is_paused:
            self._source.pause()
        if self.response.encoded and self._sink.transport is not None:
            self._sink.transport.write(self.response.encoded)
        for data in self.response.buffered:
            self.stream.feed(data)
        self.stream.open(self._sink)
        if self._remaining_bytes == 0:
            self._complete()
        self._stall_check = self._loop.call_later(STALL_S, self._check_progress)

    def on_backend_data(self, data: bytes) -> None:
        """Relay bytes of the backend."""
        if self._decoder is not None:
            try:
                parts = self._decoder.feed(data)
            except ChunkedCodingError as error:
                log.info("unreadable", extra={"kv": {"why": error}})
                self.stream.truncate()
                self._source.sink_closed()
                return
            self.stream.feed(b"".join(parts))  # one write: chunks may be one byte long
            if self._decoder.has_ended:
                self._complete()
        elif self._remaining_bytes is not None:
            part = data[: self._remaining_bytes]
            self._remaining_bytes -= len(part)
            self.stream.feed(part)
            if not self._remaining_bytes:
                self._complete()
        else:
            self.stream.feed(data)

    def _complete(self) -> None:
        self.stream.end()
        self._source.sink_closed()

    def on_backend_closed(self, is_orderly: bool) -> None:
        """End the stream: the backend's connection is closed, cleanly if `is_orderly`."""
        if is_orderly and self._remaining_bytes is None and self._decoder is None:
            self.stream.end()
        elif not self.stream.has_ended:
            self.stream.truncate()

    def on_client_ready(self) -> None:
        """Continue to relay: the client's connection is ready for more data."""
        self.stream.sink_ready()

    def hand_over(self, hand_over_response: Callable[..., bool]) -> None:
        """Hand over the rest of the response to a later process with `hand_over_response`."""
        client = self._sink.transport
        backend = self._source.transport
        if client is None:
            return
        self.stream.freeze()
        encoded = unsent_bytes(client)
        if encoded is None:
            return
        if self.stream.is_truncated:
            self.stream.thaw()
            return
        is_encoded = self.stream.is_over  # the complete response is encoded already
        on_backend_closed = is_encoded or self.stream.has_ended or backend is None
        coding = self._decoder and (
            self._decoder.phase,
            self._decoder.remaining_bytes,
            self._decoder.partial_line,
        )
        is_handed_over = hand_over_response(
            client.get_extra_info("socket").fileno(),
            None
            if on_backend_closed or backend is None
            else backend.get_extra_info("socket").fileno(),
            0 if on_backend_closed else self._remaining_bytes,
            None if on_backend_closed else coding,
            self.response.is_chunked and not is_encoded,
            encoded,
            self.stream.buffered,
        )
        if not is_handed_over:
            self.stream.thaw()
            return
        self.stream.abandon()
        self._source.sink_closed()
        client.abort()

    def finish(self) -> None:
        """End both sides: the client's connection is closed, or could not be set up."""
        if self._stall_check is not None:
            self._stall_check.cancel()
        self.stream.drop()
        self._source.sink_closed()
        on_end = self._on_end
        self._on_end = None
        if on_end is not None:
            on_end(self)

    def _check_progress(self) -> None:
        """Abort the response if it made no progress: a peer has stopped reading or sending."""
        delivered_bytes = self.stream.delivered_bytes
        if delivered_bytes == self._delivered_at_last_check:
            self._sink.abort()
            return
        self._delivered_at_last_check = delivered_bytes
        self._stall_check = self._loop.call_later(STALL_S, self._check_progress)
