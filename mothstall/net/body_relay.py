"""Relays long bodies from one peer to the other with bounded buffers.

A stream connects a source, which can be paused, to a sink, which reports when it is blocked. A
stream buffers at most its window plus one read of the source. Permits limit the number of streams
with wide buffers; the others have narrow ones, and none waits. Pure: no sockets, no clock.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Protocol

MAX_READ_BYTES = 64 * 1024  # per read of a peer's connection
MAX_SINK_WRITE_BYTES = 16 * 1024  # per write to a sink, so that its transport buffers little


@dataclass(frozen=True, slots=True)
class BufferSizes:
    """The sizes of one stream's buffers.

    Attributes:
        window_bytes: Buffered by the stream while its sink is blocked.
        read_bytes: Maximum of one read of the source.
        send_bytes: Of the kernel's send buffer of the sink's socket.
    """

    window_bytes: int
    read_bytes: int
    send_bytes: int


WIDE_BUFFERS = BufferSizes(64 * 1024, MAX_READ_BYTES, 128 * 1024)
NARROW_BUFFERS = BufferSizes(8 * 1024, 16 * 1024, 16 * 1024)
# Maximum memory of one stream with wide buffers, including its sink's transport.
STREAM_COST_BYTES = 2 * (WIDE_BUFFERS.window_bytes + WIDE_BUFFERS.read_bytes)
STREAMS_MEMORY_FRACTION = 0.25  # of the memory limit, for all streams with wide buffers
DIRECTIONS = 2  # requests and responses
MIN_STREAMS = 4  # with wide buffers per direction, even with a smaller memory limit


class Source(Protocol):
    """The side of a stream that provides the body."""

    def pause(self) -> None:
        """Stop reading the body."""

    def resume(self) -> None:
        """Resume reading the body."""

    def sink_closed(self) -> None:
        """Stop providing the body: the sink no longer accepts data."""

    def limit_input(self, sizes: BufferSizes) -> None:
        """Limit what is read at once."""


class Sink(Protocol):
    """The side of a stream that receives the body."""

    def write_body(self, data: bytes) -> None:
        """Write the next part of the body."""

    def end_body(self) -> None:
        """Finish the body: all of it was passed to `write_body`."""

    def abort_body(self) -> None:
        """End an incomplete body in a way that shows its reader that it was truncated."""

    def limit_output(self, sizes: BufferSizes) -> None:
        """Limit what the kernel takes before the peer has it."""


class BufferGrants:
    """Permits for wide buffers, granted in the order of calls of `request`.

    Guards against a body that waits, once it has begun, for peers of other bodies: a stream without
    a permit is relayed through narrow buffers.

    Attributes:
        max_streams: Maximum number of streams that hold a permit at once.
    """

    def __init__(self, max_streams: int) -> None:
        self.max_streams = max(1, max_streams)
        self._holders: set[Stream] = set()
        self._waiting: dict[Stream, None] = {}

    def request(self, stream: Stream) -> bool:
        """Return whether a permit is free; if not, `on_granted` is called once one is."""
        if len(self._holders) < self.max_streams:
            self._holders.add(stream)
            return True
        self._waiting[stream] = None
        return False

    def release(self, stream: Stream) -> None:
        """Return a permit, or leave the queue for one."""
        self._waiting.pop(stream, None)
        if stream not in self._holders:
            return
        self._holders.discard(stream)
        if self._waiting:
            next_stream = next(iter(self._waiting))
            del self._waiting[next_stream]
            self._holders.add(next_stream)
            next_stream.on_granted()


def max_streams_for(memory_bytes: int) -> int:
    """Return the maximum number of streams with wide buffers per direction."""
    share_bytes = memory_bytes * STREAMS_MEMORY_FRACTION / DIRECTIONS
    return max(MIN_STREAMS, int(share_bytes / STREAM_COST_BYTES))


class Stream:
    """One body that is relayed from its source to its sink.

    The source calls `feed`, `end`, `truncate` and `abort`; the sink calls `open`, `sink_blocked`,
    `sink_ready` and `drop`.

    Attributes:
        buffered_bytes: Bytes that are currently buffered.
        max_buffered_bytes: Maximum of `buffered_bytes` so far.
        received_bytes: Bytes received from the source.
        delivered_bytes: Bytes written to the sink.
        is_opened: A sink was attached: the first bytes may be delivered, and no longer buffered.
        is_over: The stream has ended, complete or not.
        is_complete: The complete body was written to the sink.
    """

    def __init__(self, source: Source, grants: BufferGrants) -> None:
        self._source: Source | None = source
        self._sink: Sink | None = None
        self._grants = grants
        self._buffer: deque[bytes] = deque()
        self.buffered_bytes = 0
        self.max_buffered_bytes = 0
        self.received_bytes = 0
        self.delivered_bytes = 0
        self.is_opened = False
        self.is_over = False
        self.is_complete = False
        self._ended = False
        self._truncated = False
        self._sink_is_blocked = False
        self._paused = False
        self._frozen = False
        self._sizes = WIDE_BUFFERS if grants.request(self) else NARROW_BUFFERS
        source.limit_input(self._sizes)
        self._apply_backpressure()

    # Called by the source

    def feed(self, data: bytes) -> None:
        """Buffer the next bytes of the body and deliver what the sink accepts."""
        if self.is_over or self._ended or not data:
            return
        self._buffer.append(data)
        self.buffered_bytes += len(data)
        self.received_bytes += len(data)
        self.max_buffered_bytes = max(self.max_buffered_bytes, self.buffered_bytes)
        self._deliver()
        self._apply_backpressure()

    def end(self) -> None:
        """Mark the body as completely received, and release the source."""
        if self.is_over or self._ended:
            return
        self._ended = True
        source = self._source
        self._source = None
        if source is not None and self._paused:
            self._paused = False
            source.resume()
        self._deliver()

    def abort(self) -> None:
        """Discard the body, and abort it at the sink at once."""
        if self.is_over:
            return
        self._finish()
        sink = self._sink
        # No truth test: a backend's connection has a length (aiohttp's DataQueue) and may be falsy.
        if sink is not None:
            self._sink = None
            sink.abort_body()

    def truncate(self) -> None:
        """Mark the body as ended before it was complete.

        Guards against losing the received part: it is delivered before the sink is aborted.
        """
        if self.is_over or self._ended:
            return
        self._ended = True
        self._truncated = True
        self._source = None
        self._deliver()

    # Called by the sink

    def open(self, sink: Sink) -> None:
        """Attach the sink and start to deliver."""
        self._sink = sink
        self.is_opened = True
        sink.limit_output(self._sizes)
        self._deliver()
        self._apply_backpressure()

    def sink_blocked(self) -> None:
        """Stop delivering until `sink_ready`."""
        self._sink_is_blocked = True
        self._apply_backpressure()

    def sink_ready(self) -> None:
        """Resume delivering after `sink_blocked`."""
        self._sink_is_blocked = False
        self._deliver()
        self._apply_backpressure()

    def drop(self) -> None:
        """End the stream because its sink is closed, and notify the source."""
        if self.is_over:
            return
        source = self._source
        self._sink = None
        self._finish()
        if source is not None:
            source.sink_closed()

    # Handover to another process

    def freeze(self) -> None:
        """Pause the source and the delivery to the sink; buffered data is kept."""
        self._frozen = True
        self._apply_backpressure()

    def thaw(self) -> None:
        """Resume the source and the delivery after `freeze`."""
        self._frozen = False
        self._deliver()
        self._apply_backpressure()

    @property
    def source(self) -> Source | None:
        """The source; None once it has ended."""
        return self._source

    @property
    def buffered(self) -> list[bytes]:
        """Copy of the buffered data, in order."""
        return list(self._buffer)

    @property
    def has_ended(self) -> bool:
        """Whether the source has ended, completely or not."""
        return self._ended

    @property
    def is_truncated(self) -> bool:
        """Whether the source ended before the body was complete."""
        return self._truncated

    def abandon(self) -> None:
        """End the stream without notifying either side: another process continues it."""
        self._sink = None
        self._finish()

    # Between source and sink

    def on_granted(self) -> None:
        """Widen the buffers: `BufferGrants` granted the permit that was requested."""
        self._sizes = WIDE_BUFFERS
        if self._source is not None:
            self._source.limit_input(self._sizes)
        if self._sink is not None:
            self._sink.limit_output(self._sizes)
        self._apply_backpressure()

    def _deliver(self) -> None:
        while self._buffer and self._sink is not None and self._can_deliver() and not self.is_over:
            data = self._buffer.popleft()
            if len(data) > MAX_SINK_WRITE_BYTES:
                self._buffer.appendleft(data[MAX_SINK_WRITE_BYTES:])
                data = data[:MAX_SINK_WRITE_BYTES]
            self.buffered_bytes -= len(data)
            self.delivered_bytes += len(data)
            self._sink.write_body(data)
        if self._ended and not self._buffer and not self.is_over and not self._frozen:
            self._end_sink()

    def _end_sink(self) -> None:
        sink = self._sink
        if sink is None:
            return
        self._sink = None
        self.is_complete = not self._truncated
        self._finish()
        if self.is_complete:
            sink.end_body()
        else:
            sink.abort_body()

    def _can_deliver(self) -> bool:
        return not self._sink_is_blocked and not self._frozen

    def _apply_backpressure(self) -> None:
        """Pause or resume the source so that the buffer stays bounded."""
        if self.is_over or self._source is None:
            return
        must_pause = (
            self._frozen
            or self.buffered_bytes >= self._sizes.window_bytes
            or (self._sink_is_blocked and self.buffered_bytes > 0)
        )
        if must_pause != self._paused:
            self._paused = must_pause
            if must_pause:
                self._source.pause()
            else:
                self._source.resume()

    @property
    def is_paused(self) -> bool:
        """Whether the source is paused."""
        return self._paused

    def _finish(self) -> None:
        self.is_over = True
        self._buffer.clear()
        self.buffered_bytes = 0
        self._source = None
        self._grants.release(self)
