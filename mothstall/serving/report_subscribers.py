"""Sends batches of proxies' reports to the connections that subscribed to them."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

import msgspec

from mothstall.store.protocol import keeper_messages
from mothstall.store.protocol.connection import FrameConnection


class ReportSubscribers:
    """The connections of one process that subscribed to reports.

    A slow subscriber misses batches; proxies send new reports every second.
    """

    def __init__(self, max_unsent_bytes: int) -> None:
        """Skip subscribers that have `max_unsent_bytes` or more in their send buffer."""
        self._max_unsent_bytes = max_unsent_bytes
        self._connections: set[FrameConnection] = set()

    def __bool__(self) -> bool:
        return bool(self._connections)

    def set_subscribed(self, connection: FrameConnection, is_subscribed: bool) -> None:
        """Apply a `SubscribeReports` message of a client."""
        if is_subscribed:
            self._connections.add(connection)
        else:
            self._connections.discard(connection)

    def discard(self, connection: FrameConnection) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)

    def send(self, reports: tuple[bytes, ...]) -> int:
        """Send one batch, encoded once, to all subscribers.

        Returns:
            The number of subscribers that were skipped because of a full send buffer.
        """
        frame = msgspec.msgpack.encode(keeper_messages.ReportBatch(reports))
        skipped = 0
        for connection in list(self._connections):
            if connection.unsent_bytes < self._max_unsent_bytes:
                connection.send(frame)
            else:
                skipped += 1
        return skipped


def batches(reports: Sequence[bytes], size: int) -> Iterator[tuple[bytes, ...]]:
    """Split reports, in order, into batches of at most `size`."""
    for first in range(0, len(reports), size):
        yield tuple(reports[first : first + size])
