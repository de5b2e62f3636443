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
        command: The command that started the attempt; None for a load probe.
        sent_at_ns: Unix time at which the attempt began, or at which the last byte of its long body
            was written.
        due_s: Time at which the attempt times out, on the loop's clock.
        raw_request: The encoded request.
        connection: The connection that the request is written to.
        connect_task: The task that opens a connection for the attempt.
        timeout_timer: Ends the attempt at `due_s`.
        write_by_s: No byte may be written after this time, on the loop's clock; None: no limit.
        retry_window_timer: Cancels the attempt at `write_by_s` unless it is written completely.
        is_connecting: A connection is being opened for the attempt, and is counted in the pool.
        is_over: The attempt has ended, with any result.
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
