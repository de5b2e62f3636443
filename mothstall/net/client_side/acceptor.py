"""Accepts client connections, and adopts connections that another process hands over."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING

from mothstall.config import Address
from mothstall.net.client_side.connection_states import ConnectionState
from mothstall.net.clock import Clock
from mothstall.net.counters import Counters
from mothstall.net.lifecycle import Lifecycle
from mothstall.net.listener import inherit_socket, open_listener
from mothstall.net.socket_buffers import limit_socket

if TYPE_CHECKING:
    from mothstall.net.client_side.connection import Connection
    from mothstall.net.client_side.load_shedding import ConnectionBudget

log = logging.getLogger("mothstall.frontend")

BACKLOG = 1024  # connections that the kernel queues until they are accepted
ACCEPT_PAUSE_S = 0.01  # before the next attempt to accept when no connection is free


class Acceptor:
    """Accepts connections while the budget has capacity.

    Attributes:
        accepting: Tasks that set up an accepted connection.
        port: The listening port; 0 before `start`.
    """

    def __init__(
        self,
        address: Address,
        listen_fd: int | None,
        make_connection: Callable[[], Connection],
        loop: asyncio.AbstractEventLoop,
        counters: Counters,
        clock: Clock,
        phases: Lifecycle,
        socket_buffer_bytes: int,
    ) -> None:
        """Listen on `address`, or on the inherited socket `listen_fd` unless that is None."""
        self._address = address
        self._listen_fd = listen_fd
        self._make_connection = make_connection
        self._loop = loop
        self._counters = counters
        self._clock = clock
        self._phases = phases
        self._socket_buffer_bytes = socket_buffer_bytes
        self._budget: ConnectionBudget | None = None
        self._listener: socket.socket | None = None
        self.accepting: set[asyncio.Task[None]] = set()
        self.port = 0

    async def start(self, budget: ConnectionBudget) -> None:
        """Start to accept connections within `budget`.

        Raises:
            OSError: The address is not available.
        """
        self._budget = budget
        if self._listen_fd is None:
            sock = await open_listener("listen", self._address, BACKLOG)
        else:
            sock = inherit_socket(self._listen_fd)
        limit_socket(sock, self._socket_buffer_bytes)
        self._listener = sock
        self.port = sock.getsockname()[1]
        self._loop.add_reader(sock, self._accept)

    @property
    def is_listening(self) -> bool:
        """Whether the listener is open, also while accepting is paused."""
        return self._listener is not None

    def _accept(self, ignore_budget: bool = False) -> None:
        """Accept connections until the backlog is empty or the budget is used up."""
        budget = self._budget
        assert budget is not None
        while self._listener:
            if not ignore_budget and not budget.has_capacity():
                budget.waiting_since = budget.waiting_since or self._loop.time()
                # The descriptors of connections that were just aborted are free after this
                # iteration of the event loop.
                self._pause(0.0 if budget.has_aborted else ACCEPT_PAUSE_S)
                return
            try:
                sock, _peer = self._listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                budget.waiting_since = None
                return
            except OSError as error:
                log.warning("accept failed", extra={"kv": {"why": error}})
                budget.abort_one()
                self._pause(ACCEPT_PAUSE_S)
                return
            self._counters.add("connections")
            sock.setblocking(False)
            self._start_setup(
                sock,
                arrived_ns=self._clock.arrived_after_ns(),
                is_late=budget.waiting_since is not None,
            )

    def _start_setup(
        self,
        sock: socket.socket,
        is_idle: bool = False,
        age_s: float = 0.0,
        arrived_ns: int = 0,
        is_late: bool = False,
    ) -> None:
        task = self._loop.create_task(
            self._set_up_connection(sock, is_idle, age_s, arrived_ns, is_late)
        )
        self.accepting.add(task)
        task.add_done_callback(self.accepting.discard)

    async def _set_up_connection(
        self, sock: socket.socket, is_idle: bool, age_s: float, arrived_ns: int, is_late: bool
    ) -> None:
        try:
            _, connection = await self._loop.connect_accepted_socket(self._make_connection, sock)
        except OSError:
            sock.close()
            return
        if connection.state == ConnectionState.NEW and connection.transport is not None:
            connection.on_accepted(arrived_ns, is_late)
            if is_idle:
                connection.enter(ConnectionState.IDLE)
            connection.state_since_s -= age_s

    def _pause(self, seconds: float) -> None:
        if self._listener:
            self._loop.remove_reader(self._listener)
            self._loop.call_later(seconds, self._resume)

    def _resume(self) -> None:
        if self._listener and not self._phases.is_handing_over:
            self._loop.add_reader(self._listener, self._accept)

    def pause(self) -> None:
        """Stop accepting: another process that shares the listener accepts instead."""
        if self._listener:
            self._loop.remove_reader(self._listener)

    def resume(self) -> None:
        """Accept connections again."""
        if self._listener:
            self._loop.add_reader(self._listener, self._accept)

    def adopt(self, sock: socket.socket, is_new: bool, age_s: float) -> None:
        """Take over a client connection from the previous process.

        Args:
            sock: The connection's socket, owned by this process from now on.
            is_new: Whether nothing was received on the connection yet.
            age_s: Time since the connection became idle, or was opened if it is new.
        """
        self._counters.add("connections")
        sock.setblocking(False)
        self._start_setup(sock, not is_new, age_s)

    async def close(self) -> None:
        """Stop listening, after accepting the connections in the backlog.

        The backlog of an inherited listener is left to the other processes that share it.
        """
        if self._listener:
            self.pause()
            if self._listen_fd is None:
                self._accept(ignore_budget=True)
            self._listener.close()
            self._listener = None
        await asyncio.gather(*self.accepting)
