"""The budget of connections to all backends, and the table of idle connections."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from mothstall.net import protocol
from mothstall.net.body_relay import BufferGrants
from mothstall.net.counters import Counters
from mothstall.net.socket_buffers import MAX_BUFFER_BYTES

if TYPE_CHECKING:
    from mothstall.net.backend_side.connection import BackendConnection

REUSE_DELAY_S = 0.02  # minimum idle time before a reuse: a duplicate response may be as late


class ConnectionPool:
    """The budget of connections to all backends.

    Attributes:
        max_connections: Maximum of `open_count`.
        buffer_grants: Permits for relaying long responses.
        max_body_bytes: Limit of one response's body.
        socket_buffer_bytes: Size of each of the kernel's buffers of a connection.
        open_count: Number of connections that are open or being opened.
        connections: The open connections.
    """

    def __init__(
        self,
        idle_timeout_s: float,
        max_connections: int,
        counters: Counters,
        loop: asyncio.AbstractEventLoop,
        grants: BufferGrants | None = None,
        max_body_bytes: int = protocol.MAX_BUFFERED_BODY_BYTES,
        socket_buffer_bytes: int = MAX_BUFFER_BYTES,
    ) -> None:
        self.max_connections = max_connections
        self.counters = counters
        self.loop = loop
        self.buffer_grants = grants or BufferGrants(1)
        self.max_body_bytes = max_body_bytes
        self.socket_buffer_bytes = socket_buffer_bytes
        self.open_count = 0
        self.connections: set[BackendConnection] = set()
        self._idle_timeout_s = idle_timeout_s
        # The idle connections with the loop time at which each became idle, oldest first.
        self._idle: dict[BackendConnection, float] = {}
        self._sweep_timer: asyncio.TimerHandle | None = None

    def has_capacity(self) -> bool:
        """Return whether another connection may be opened; may close an idle one to allow it."""
        if self.open_count < self.max_connections:
            return True
        oldest = next(iter(self._idle), None)
        if oldest is None:
            return False
        oldest.drop()
        return True

    def add_idle(self, connection: BackendConnection) -> None:
        """Record that a connection is idle from now on."""
        self._idle[connection] = self.loop.time()
        if self._sweep_timer is None:
            self._sweep_timer = self.loop.call_later(self._idle_timeout_s, self._close_expired)

    def take_idle(self, idle: list[BackendConnection]) -> BackendConnection | None:
        """Remove a connection from a backend's idle connections and return it; None without one.

        Of the connections that have been idle for REUSE_DELAY_S, the one that became idle last is
        selected.

        Guards against a duplicate response, some milliseconds late, that would be taken for the
        response to the next request.
        """
        now = self.loop.time()
        for position in range(len(idle) - 1, -1, -1):
            connection = idle[position]
            if now - self._idle.get(connection, now) >= REUSE_DELAY_S:
                del idle[position]
                self._idle.pop(connection, None)
                return connection
        return None

    def remove_idle(self, connection: BackendConnection) -> None:
        """Record that a connection is not idle any more."""
        self._idle.pop(connection, None)

    def _close_expired(self) -> None:
        self._sweep_timer = None
        now = self.loop.time()
        for connection, idle_since_s in list(self._idle.items()):
            if now - idle_since_s < self._idle_timeout_s:
                self._sweep_timer = self.loop.call_at(
                    idle_since_s + self._idle_timeout_s, self._close_expired
                )
                return
            connection.drop()

    def close_idle(self) -> None:
        """Close all idle connections."""
        for connection in list(self._idle):
            connection.drop()

    def close(self) -> None:
        """Abort all connections as the process ends."""
        if self._sweep_timer:
            self._sweep_timer.cancel()
        for connection in list(self.connections):
            connection.abort()
