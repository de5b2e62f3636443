"""Estimates when the client of a long request may have written its last byte. Pure.

The time of a request counts from its last byte. A client that has written all of a body cannot be
told from one that still writes while the proxy reads nothing: the rest may be in the kernels'
buffers. The estimate is therefore the last time at which the body was surely incomplete.
"""

from __future__ import annotations

from mothstall.net.body_relay import MAX_READ_BYTES

MAX_KERNEL_BYTES = 16 * 1024 * 1024  # more than the buffers of both kernels hold of a connection
# A first read after a pause that returns less shows that the pause did not block the client.
UNBLOCKED_READ_BYTES = MAX_READ_BYTES // 2
# After this time without a pause, the client's kernel has sent what it held back in the pause.
SETTLE_NS = 100_000_000


class BodyArrival:
    """The arrival of one long body.

    The body is surely incomplete while more of it is missing than the kernels can hold, and when
    the proxy has read all that came and waits for more.

    Attributes:
        completed_ns: Unix time at which the proxy had received the whole body; None until then.
    """

    __slots__ = (
        *("_incomplete_ns", "_is_drained", "_is_first_read", "_missing_bytes", "_resumed_ns"),
        "completed_ns",
    )

    def __init__(self, arrived_ns: int, missing_bytes: int | None, is_drained: bool) -> None:
        """Begin with the request's head.

        Args:
            arrived_ns: Earliest Unix time at which the head may have arrived.
            missing_bytes: Bytes of the body that were not received yet, if known.
            is_drained: Whether the proxy has read all that has come so far.
        """
        self._incomplete_ns = arrived_ns
        self._missing_bytes = missing_bytes
        self._is_drained = is_drained
        self._is_first_read = False
        self._resumed_ns = arrived_ns
        self.completed_ns: int | None = None

    def on_read(self, byte_count: int, arrived_ns: int, now_ns: int) -> None:
        """Record a read of the connection.

        Args:
            byte_count: Bytes read.
            arrived_ns: Earliest Unix time at which they may have arrived, if all that came before
                had been read.
            now_ns: Unix time of the read.
        """
        if self._is_drained:
            self._incomplete_ns = max(self._incomplete_ns, arrived_ns)
        if self._missing_bytes is not None:
            self._missing_bytes -= byte_count
            if self._missing_bytes > MAX_KERNEL_BYTES:
                self._incomplete_ns = now_ns
        was_unblocked = self._is_first_read and byte_count < UNBLOCKED_READ_BYTES
        is_settled = self._is_drained or now_ns - self._resumed_ns >= SETTLE_NS
        self._is_drained = byte_count < MAX_READ_BYTES and (was_unblocked or is_settled)
        self._is_first_read = False

    def on_paused(self, now_ns: int) -> None:
        """Record that reading is paused: from now on the rest may wait in the kernels' buffers."""
        if self._is_drained:
            self._incomplete_ns = now_ns
        self._is_drained = False

    def on_resumed(self, now_ns: int) -> None:
        """Record that reading goes on."""
        self._is_first_read = True
        self._resumed_ns = now_ns

    def on_complete(self, now_ns: int) -> None:
        """Record that the whole body was received: the estimate is final."""
        self.completed_ns = now_ns
        self._is_drained = False
        self._missing_bytes = None

    def incomplete_ns(self, now_ns: int) -> int:
        """Return the last Unix time at which the body was surely incomplete; `now_ns` if it is."""
        missing_bytes = self._missing_bytes
        if self._is_drained or (missing_bytes is not None and missing_bytes > MAX_KERNEL_BYTES):
            return now_ns
        return self._incomplete_ns
