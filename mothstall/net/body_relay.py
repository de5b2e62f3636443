"""Long bodies on their way from one peer to the other, a window at a time.

A stream stands between a source, which can be paused, and a sink, which says when it is blocked.
What it buffers is bounded by its window and one read of the source. Grants bound how many streams
are on their way at once. Pure: no sockets, no clock.
"""

from __future__ import annotations

from collections import deque
from typing import Protocol

WINDOW_BYTES = 64 * 1024  # buffered for one stream while its sink takes nothing
MAX_READ_BYTES = 64 * 1024  # taken from a peer's connection at once
MAX_SINK_WRITE_BYTES = 16 * 1024  # given to a sink at once, so that little is left in its transport
# What one stream may cost, buffers of its sink's transport included.
STREAM_COST_BYTES = 2 * (WINDOW_BYTES + MAX_READ_BYTES)
STREAMS_MEMORY_FRACTION = 0.25  # of the memory limit, for all streams together
DIRECTIONS = 2  # requests and responses
MIN_STREAMS = 4  # in each direction, however little memory there is


class Source(Protocol):
    """Where a body comes from."""

    def pause(self) -> None:
        """Stop giving."""

    def resume(self) -> None:
        """Go on giving."""

    def sink_closed(self) -> None:
        """The sink takes nothing more."""


class Sink(Protocol):
    """Where a body goes."""

    def write_body(self, data: bytes) -> None:
        """Take the next part."""

    def end_body(self) -> None:
        """All of it was given to `write_body`."""

    def abort_body(self) -> None:
        """No more comes than was given to `write_body`: the reader has to see that it was cut."""


class BufferGrants:
    """Permits for streams, given in the order in which they were requested.

    Attributes:
        max_streams: How many streams may have a permit at once.
    """

    def __init__(self, most: int) -> None:
        self.max_streams = max(1, most)
        self._holders: set[Stream] = set()
        self._waiting: dict[Stream, None] = {}

    def request(self, stream: Stream) -> bool:
        """Return whether the stream has its permit at once; else `on_granted` says when."""
        if len(self._holders) < self.max_streams:
            self._holders.add(stream)
            return True
        self._waiting[stream] = None
        return False

    def release(self, stream: Stream) -> None:
        """Give a permit, or a place in the queue, back."""
        self._waiting.pop(stream, None)
        if stream not in self._holders:
            return
        self._holders.discard(stream)
        if self._waiting:
            successor = next(iter(self._waiting))
            del self._waiting[successor]
            self._holders.add(successor)
            successor.on_granted()


def max_streams_for(memory_bytes: int) -> int:
    """Return how many streams each direction may have in a process with so much memory."""
    share_bytes = memory_bytes * STREAMS_MEMORY_FRACTION / DIRECTIONS
    return max(MIN_STREAMS, int(share_bytes / STREAM_COST_BYTES))


class Stream:
    """One body.

    The source calls `feed`, `end`, `truncate` and `abort`; the sink `open`, `sink_blocked`,
    `sink_ready` and `drop`.

    Attributes:
        buffered_bytes: Bytes that are buffered now.
        max_buffered_bytes: The most that ever were.
        received_bytes: Bytes that the source gave.
        delivered_bytes: Bytes given to the sink.
        is_opened: A sink took it, so that its first bytes may be gone.
        is_over: It has ended, one way or the other.
        is_complete: All of it was given to the sink.
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
        self._granted = grants.request(self)
        self._apply_backpressure()

    # The source

    def feed(self, data: bytes) -> None:
        """Take the next bytes of the body."""
        if self.is_over or self._ended or not data:
            return
        self._buffer.append(data)
        self.buffered_bytes += len(data)
        self.received_bytes += len(data)
        self.max_buffered_bytes = max(self.max_buffered_bytes, self.buffered_bytes)
        self._deliver()
        self._apply_backpressure()

    def end(self) -> None:
        """All of it came; the source is free for other uses."""
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
        """What the source gave is of no use to anyone: the sink is told at once."""
        if self.is_over:
            return
        self._finish()
        sink = self._sink
        # By identity: a backend's connection has a length (aiohttp's DataQueue), and is false.
        if sink is not None:
            self._sink = None
            sink.abort_body()

    def truncate(self) -> None:
        """The source gives nothing more, and what it gave is not complete.

        Guards against taking from the reader what did come: the sink is told of the cut behind it.
        """
        if self.is_over or self._ended:
            return
        self._ended = True
        self._truncated = True
        self._source = None
        self._deliver()

    # The sink

    def open(self, sink: Sink) -> None:
        """Deliver to `sink` from now on."""
        self._sink = sink
        self.is_opened = True
        self._deliver()
        self._apply_backpressure()

    def sink_blocked(self) -> None:
        """The sink takes nothing more for now."""
        self._sink_is_blocked = True
        self._apply_backpressure()

    def sink_ready(self) -> None:
        """The sink goes on taking."""
        self._sink_is_blocked = False
        self._deliver()
        self._apply_backpressure()

    def drop(self) -> None:
        """The sink takes nothing more, ever."""
        if self.is_over:
            return
        source = self._source
        self._sink = None
        self._finish()
        if source is not None:
            source.sink_closed()

    # Handing over to another process

    def freeze(self) -> None:
        """Stop both directions; what is buffered stays."""
        self._frozen = True
        self._apply_backpressure()

    def thaw(self) -> None:
        """Go on after `freeze`."""
        self._frozen = False
        self._deliver()
        self._apply_backpressure()

    @property
    def source(self) -> Source | None:
        """Where it comes from; None once that gives nothing more."""
        return self._source

    @property
    def buffered(self) -> list[bytes]:
        """What is buffered."""
        return list(self._buffer)

    @property
    def has_ended(self) -> bool:
        """Whether the source gives nothing more."""
        return self._ended

    @property
    def is_truncated(self) -> bool:
        """Whether what the source gave is not complete."""
        return self._truncated

    def abandon(self) -> None:
        """End it here, as another process goes on; neither side is told of an end."""
        self._sink = None
        self._finish()

    # Between source and sink

    def on_granted(self) -> None:
        """The permit that it waited for is there."""
        self._granted = True
        self._deliver()
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
        return self._granted and not self._sink_is_blocked and not self._frozen

    def _apply_backpressure(self) -> None:
        """Read the source only while there is capacity for what it gives."""
        if self.is_over or self._source is None:
            return
        must_pause = (
            not self._granted
            or self._frozen
            or self.buffered_bytes >= WINDOW_BYTES
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
        """Whether the source is not read because the sink, or the lack of a permit, blocks it."""
        return self._paused

    def _finish(self) -> None:
        self.is_over = True
        self._buffer.clear()
        self.buffered_bytes = 0
        self._source = None
        self._grants.release(self)
