"""An attempt of a backend's actor, from its command until it ends."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from mothstall.net.backend_side.messages import SendAttempt

if TYPE_CHECKING:
    from mothstall.net.backend_side.connection import BackendConnection


class OpenAttempt:
    """A request that is in flight on a connection, or waits for one to be opened.

    Attributes:
        command: The command that started it; None for a load probe.
        sent_at_ns: When it began, or when the last byte of its long body was written.
        due_s: When it times out, on the loop's clock.
        raw_request: The encoded request.
        connection: The connection that it is written to.
        connect_task: The task that opens its connection.
        timeout_timer: Ends it at `due_s`.
        write_by_s: No byte may be written after this time, on the loop's clock; None: no limit.
        retry_window_timer: Cancels it at `write_by_s` unless it is written completely.
        is_connecting: Its connection is being opened and already counted in the pool.
        is_over: It has ended, with whatever result.
    """

    __slots__ = (
        *("command", "connect_task", "connection", "due_s", "is_connecting", "is_over"),
        *("raw_request", "retry_window_timer", "sent_at_ns", "timeout_timer", "write_by_s"),
    )

    def __init__(self, command: SendAttempt | None, sent_at_ns: int, due_s: float) -> None:
        self.command = command
        self.sent_at_ns = sent_at_ns
        self.due_s = due_s
        self.raw_request = b""
        self.connection: BackendConnection | None = None
        self.connect_task: asyncio.Task[None] | None = None
        self.timeout_timer: asyncio.TimerHandle | None = None
        self.write_by_s: float | None = None
        self.retry_window_timer: asyncio.TimerHandle | None = None
        self.is_connecting = False
        self.is_over = False

    def is_written(self) -> bool:
        """Return whether the last byte was handed to the socket, so that the attempt may run."""
        connection = self.connection
        return connection is not None and connection.is_flushed and not connection.is_uploading
