"""Estimates when the client of a long request may have written its last byte. Pure.

The time of a request counts from its last byte. A client that has written all of a body cannot be
told from one that still writes while the proxy reads nothing: the rest may be in the kernels'
buffers. The estimate is therefore the last time at which the body was surely incomplete.
"""

from __future__ import annotations

from mothstall.net.body_relay import MAX_READ_BYTES

MAX_KERNEL_BYTES = 16 * 1024 * 1024  # more than the buffers of both kernels hold of a connection
# A read that returns less than this part of a full one has taken all that came: what a client's
# kernel holds back comes in reads that are full but for the ends of segments.
DRAINING_READ_FRACTION = 3 / 4
# After this time without a pause, the client's kernel has sent what it held back in the pause.
SETTLE_NS = 100_000_000
# Input that comes this long after all that came before was read has just been written: a client's
# kernel that holds something back sends it at once.
QUIET_NS = 20_000_000


class BodyArrival:
    """The arrival of one long body.

    The body is surely incomplete while more of it is missing than the kernels can hold, and when
    the proxy has read all that came and waits for more.

    Attributes:
        completed_ns: Unix time at which the proxy had received the whole body; None until then.
    """

    __slots__ = (
        *("_incomplete_ns", "_is_drained", "_is_paused", "_last_input_ns"),
        *("_missing_bytes", "_resumed_ns", "completed_ns"),
    )

    def __init__(
        self,
        arrived_ns: int,
        missing_bytes: int | None,
        is_drained: bool,
        begun_ns: int | None = None,
    ) -> None:
        """Begin with the request's head, and perhaps a part of its body.

        Args:
            arrived_ns: Earliest Unix time at which the head may have arrived.
            missing_bytes: Bytes of the body that were not received yet, if known.
            is_drained: Whether the proxy has read all that has come so far.
            begun_ns: Unix time at which the last part was read; None if that is `arrived_ns`.
        """
        self._incomplete_ns = arrived_ns
        self._missing_bytes = missing_bytes
        self._is_drained = is_drained
        self._is_paused = False
        # Of the last read, or of the end of the last pause.
        self._last_input_ns = arrived_ns if begun_ns is None else begun_ns
        self._resumed_ns = self._last_input_ns
        self.completed_ns: int | None = None

    def on_read(
        self, byte_count: int, arrived_ns: int, now_ns: int, max_read_bytes: int = MAX_READ_BYTES
    ) -> None:
        """Record a read of the connection.

        Args:
            byte_count: Bytes read.
            arrived_ns: Earliest Unix time at which they may have arrived, if all that came before
                had been read.
            now_ns: Unix time of the read.
            max_read_bytes: The size of a full read.
        """
        if self._is_drained or self._is_quiet(arrived_ns):
            self._incomplete_ns = max(self._incomplete_ns, arrived_ns)
        if self._missing_bytes is not None:
            self._missing_bytes -= byte_count
            if self._missing_bytes > MAX_KERNEL_BYTES:
                self._incomplete_ns = now_ns
        is_settled = self._is_drained or now_ns - self._resumed_ns >= SETTLE_NS
        has_read_all = byte_count < DRAINING_READ_FRACTION * max_read_bytes
        self._is_drained = has_read_all and is_settled
        self._last_input_ns = now_ns

    def _is_quiet(self, at_ns: int) -> bool:
        return not self._is_paused and at_ns - self._last_input_ns >= QUIET_NS

    def on_paused(self, now_ns: int) -> None:
        """Record that reading is paused: from now on the rest may wait in the kernels' buffers."""
        if self._is_drained or self._is_quiet(now_ns):
            self._incomplete_ns = now_ns
        self._is_drained = False
        self._is_paused = True

    def on_resumed(self, now_ns: int) -> None:
        """Record that reading goes on."""
        self._is_paused = False
        self._last_input_ns = now_ns
        self._resumed_ns = now_ns

    def on_complete(self, now_ns: int) -> None:
        """Record that the whole body was received: the estimate is final."""
        self.completed_ns = now_ns

    def incomplete_ns(self, now_ns: int) -> int:
        """Return the last Unix time at which the body was surely incomplete; `now_ns` if it is."""
        if self.completed_ns is not None:
            return self._incomplete_ns
        is_far_from_complete = (
            self._missing_bytes is not None and self._missing_bytes > MAX_KERNEL_BYTES
        )
        if self._is_drained or self._is_quiet(now_ns) or is_far_from_complete:
            return now_ns
        return self._incomplete_ns
