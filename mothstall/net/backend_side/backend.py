"""One backend: an actor with its address, its connections and the attempts in flight on them.

An attempt is sent at most once, and ends in exactly one `AttemptEnded`. The backend cannot execute
a request before its last byte is written: only an attempt that ended before then, or that the
backend rejected, gets a result which states that it did not run.
"""

from __future__ import annotations

import asyncio
import errno
import logging
from collections.abc import Callable
from functools import partial

from aiohttp.http_parser import RawResponseMessage

from mothstall.config import Address
from mothstall.interface import NS, AttemptResult
from mothstall.net import protocol
from mothstall.net.actor import Actor
from mothstall.net.backend_side.attempt import OpenAttempt
from mothstall.net.backend_side.connection import BackendConnection
from mothstall.net.backend_side.messages import (
    AddressChanged,
    AttemptEnded,
    AttemptWritten,
    BackendCommand,
    BackendReport,
    CancelAttempt,
    CloseIdleConnections,
    DrainBackend,
    LoadProbeEnded,
    ResponseCut,
    SendAttempt,
    SendProbe,
    WithholdAttempt,
)
from mothstall.net.backend_side.pool import ConnectionPool
from mothstall.net.body_relay import BufferGrants, Stream
from mothstall.net.clock import Clock
from mothstall.net.counters import Counters
from mothstall.net.listener import CHECK_CLIENT_AFTER_NS
from mothstall.net.metrics import RequestMetrics
from mothstall.net.socket_buffers import connect

log = logging.getLogger("mothstall.backend")

PROBE_TIMEOUT_NS = NS  # of a load probe
# An idle connection is closed after this fraction of the backend's own idle timeout.
IDLE_TIMEOUT_FRACTION = 0.6
STALLED_LOOP_S = 0.01  # a timer that fires this late shows that the event loop was stalled
STALLED_LOOP_READ_S = 0.005  # time to read pending input after a stall, before a timeout applies
# Connect errors for lack of local descriptors, ports or memory, which are no fault of the backend.
LOCAL_ERRNOS = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
)


class Backend(Actor[BackendCommand]):
    """The actor of one backend.

    Attributes:
        number: The backend's number, the same at every proxy.
        ident: The backend's id.
        address: Address on which the backend listens.
        started_ns: Unix time at which the backend's process started; 0 if unknown.
        incarnation: Increases when the address or the process changes, and at a drain.
    """

    def __init__(
        self,
        number: int,
        ident: str,
        address: Address,
        started_ns: int,
        *,
        loop: asyncio.AbstractEventLoop,
        counters: Counters,
        clock: Clock,
        pool: ConnectionPool,
        connect_timeout_ns: int,
        load_names: tuple[str, ...],
        metrics: RequestMetrics,
        report: Callable[[BackendReport], None],
    ) -> None:
        super().__init__(f"backend {ident}", loop, counters)
        self.number = number
        self.ident = ident
        self.address = address
        self.started_ns = started_ns
        # A connection to an earlier incarnation is never reused. Guards against using an old
        # connection after another process took over the address.
        self.incarnation = 0
        self._clock = clock
        self._pool = pool
        self._report = report
        self._load_names = load_names
        self._metrics = metrics
        self._connect_timeout_s = connect_timeout_ns / NS
        # Idle connections. The one that became idle last is reused first, so that the others reach
        # their idle timeout.
        self._idle: list[BackendConnection] = []
        self._in_flight: dict[tuple[int, int], OpenAttempt] = {}
        self._probes: set[OpenAttempt] = set()

    def receive(self, batch: list[BackendCommand]) -> None:
        """Execute the commands in order."""
        for command in batch:
            if isinstance(command, SendAttempt):
                self._start_attempt(command)
            elif isinstance(command, CancelAttempt):
                self._cancel_attempt(command)
            elif isinstance(command, WithholdAttempt):
                self._withhold_attempt(command)
            elif isinstance(command, SendProbe):
                self._start_attempt(None)
            elif isinstance(command, CloseIdleConnections):
                self._close_idle_connections()
            elif isinstance(command, DrainBackend):
                self._begin_incarnation()
            else:
                self._change_address(command)

    def _cancel_attempt(self, command: CancelAttempt) -> None:
        attempt = self._in_flight.get((command.request, command.attempt))
        if attempt is not None:
            self.cancel(attempt, AttemptResult.CANCELLED)

    def _withhold_attempt(self, command: WithholdAttempt) -> None:
        attempt = self._in_flight.get((command.request, command.attempt))
        if attempt is not None and not attempt.is_written():
            self.cancel(attempt, AttemptResult.CANCELLED)

    def _change_address(self, command: AddressChanged) -> None:
        if command.address != self.address or command.started_ns != self.started_ns:
            self._begin_incarnation()
        self.address = command.address
        self.started_ns = command.started_ns

    def recover(self, batch: list[BackendCommand], error: Exception) -> None:
        """End the attempts that were not started because `receive` raised an exception."""
        for command in batch:
            if (
                isinstance(command, SendAttempt)
                and (command.request, command.attempt) not in self._in_flight
            ):
                attempt = OpenAttempt(command, self._clock.now(), 0.0)
                self._end_attempt(attempt, AttemptResult.NOT_SENT)

    @property
    def in_flight(self) -> int:
        """Number of attempts in flight."""
        return len(self._in_flight)

    @property
    def buffer_grants(self) -> BufferGrants:
        """Permits for relaying long responses."""
        return self._pool.buffer_grants

    @property
    def max_body_bytes(self) -> int:
        """Limit of one response's body."""
        return self._pool.max_body_bytes

    def on_request_written(self, attempt: OpenAttempt, has_long_body: bool) -> None:
        """Record that a request is written; with a long body, its latency counts from now."""
        command = attempt.command
        if command is None:
            return
        self._metrics.relayed += 1
        if has_long_body and not attempt.is_over:
            attempt.sent_at_ns = self._clock.now()
            self._report(AttemptWritten(command.request, command.attempt))

    def on_response_started(
        self, attempt: OpenAttempt, message: RawResponseMessage, stream: Stream, length: int | None
    ) -> None:
        """End an attempt as successful once its long response has begun."""
        load = self._parse_load(message.headers.get(protocol.LOAD_HEADER))
        response = protocol.BackendResponse(
            b"", protocol.forwarded_headers(message.raw_headers), stream, length
        )
        if attempt.command is None or attempt.is_over:
            stream.drop()
            return
        self._end_attempt(attempt, AttemptResult.OK, load, response)

    def on_response_cut(self) -> None:
        """Report a long response that was cut off."""
        self.counters.add("answers_cut")
        self._report(ResponseCut(self.number))

    # Connections

    def _begin_incarnation(self) -> None:
        """Close idle connections, and cancel the attempts that have no connection yet.

        Guards against a connection that opens after its backend began to drain, possibly past the
        grace period, or after another backend took over its address.
        """
        self.incarnation += 1
        self._close_idle_connections()
        for attempt in [
            a for a in (*self._in_flight.values(), *self._probes) if a.connection is None
        ]:
            self.cancel(attempt, AttemptResult.CANCELLED)

    def _close_idle_connections(self) -> None:
        while self._idle:
            self._idle[-1].drop()

    def on_connection_lost(self, connection: BackendConnection) -> None:
        """End the attempt in flight on a connection that was closed by either side.

        May be called more than once for a connection.
        """
        if connection not in self._pool.connections:
            return
        self._pool.connections.discard(connection)
        self._pool.open_count -= 1
        self._pool.remove_idle(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        if attempt := connection.attempt:
            connection.attempt = None
            self._end_attempt(
                attempt,
                AttemptResult.RESET if attempt.is_written() else AttemptResult.CONNECT_FAILED,
            )

    def release_connection(self, connection: BackendConnection, keep: bool) -> None:
        """Pool a connection after its request if `keep` and it is usable; else close it."""
        connection.attempt = None
        is_current = connection.incarnation == self.incarnation
        if keep and is_current and connection.is_flushed and connection.is_connected():
            self._idle.append(connection)
            self._pool.add_idle(connection)
        else:
            connection.drop()

    # Attempts

    def _start_attempt(self, command: SendAttempt | None) -> None:
        """Send a request, or a load probe if there is no command."""
        now_ns = self._clock.now()
        attempt = (
            self._open_probe(now_ns) if command is None else self._open_attempt(command, now_ns)
        )
        while (connection := self._pool.take_idle(self._idle)) is not None:
            if connection.is_reusable():
                self._write_request(attempt, connection)
                return
            connection.drop()
        if not self._is_client_waiting(attempt, now_ns) or not self._pool.has_capacity():
            self._end_attempt(attempt, AttemptResult.NOT_SENT)
            return
        self._pool.open_count += 1
        attempt.is_connecting = True
        attempt.connect_task = self.loop.create_task(self._connect(attempt))
        attempt.connect_task.add_done_callback(partial(self._on_connect_task_done, attempt))

    def _open_attempt(self, command: SendAttempt, now_ns: int) -> OpenAttempt:
        due_s = self._clock.loop_time(command.due_ns)
        attempt = OpenAttempt(command, now_ns, due_s)
        self._in_flight[command.request, command.attempt] = attempt
        attempt.timeout_timer = self.loop.call_at(due_s, self._on_timeout, attempt)
        if command.write_by_ns:
            attempt.write_by_s = self._clock.loop_time(command.write_by_ns)
            attempt.retry_window_timer = self.loop.call_at(
                attempt.write_by_s, self._on_retry_window_closed, attempt
            )
        return attempt

    def _open_probe(self, now_ns: int) -> OpenAttempt:
        due_s = self._clock.loop_time(now_ns + PROBE_TIMEOUT_NS)
        attempt = OpenAttempt(None, now_ns, due_s)
        self._probes.add(attempt)
        self.counters.add("probes")
        path = protocol.LOAD_PATH if self._load_names else protocol.HEALTH_PATH
        attempt.raw_request = f"GET {path} HTTP/1.1\r\nHost: {self.address}\r\n\r\n".encode()
        attempt.timeout_timer = self.loop.call_at(due_s, self._on_timeout, attempt)
        return attempt

    def _on_connect_task_done(self, attempt: OpenAttempt, task: asyncio.Task[None]) -> None:
        """Release the pool's slot of a connection that was not opened.

        Guards against losing the slot when the task is cancelled before its first step.
        """
        if attempt.is_connecting:
            attempt.is_connecting = False
            self._pool.open_count -= 1

    async def _connect(self, attempt: OpenAttempt) -> None:
        connection = BackendConnection(self)
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                await connect(
                    self.loop,
                    lambda: connection,
                    self.address,
                    self._pool.socket_buffer_bytes,
                )
        except BaseException as error:
            self._on_connect_failed(attempt, error)
            if isinstance(error, asyncio.CancelledError):
                raise
            return
        attempt.connect_task = None
        attempt.is_connecting = False
        self._pool.connections.add(connection)
        if connection.transport is None:  # opened and lost before anything was written
            self.on_connection_lost(connection)
            self._end_attempt(attempt, AttemptResult.CONNECT_FAILED)
        elif attempt.is_over:
            self.release_connection(connection, keep=True)
        else:
            self._write_request(attempt, connection)

    def _on_connect_failed(self, attempt: OpenAttempt, error: BaseException) -> None:
        if not isinstance(error, (OSError, asyncio.CancelledError)):
            self.counters.add("faults")
            log.error("connect fault", exc_info=error, extra={"kv": {"backend": self.ident}})
        if not attempt.is_over:
            # Guards against treating a lack of local resources as a failure of the backend.
            is_local = isinstance(error, OSError) and error.errno in LOCAL_ERRNOS
            result = AttemptResult.NOT_SENT if is_local else AttemptResult.CONNECT_FAILED
            self._end_attempt(attempt, result)

    def _write_request(self, attempt: OpenAttempt, connection: BackendConnection) -> None:
        now_ns = self._clock.now()
        if self._is_too_late(attempt, now_ns) or not self._is_client_waiting(attempt, now_ns):
            self.release_connection(connection, keep=True)
            self._end_attempt(attempt, AttemptResult.NOT_SENT)
            return
        command = attempt.command
        if command is not None:
            # Guards against an X-Remaining that ignores the time spent on opening the connection.
            left_ns = command.due_ns - now_ns
            attempt.raw_request = protocol.encode_request(command.client_request, left_ns)
        attempt.connection = connection
        connection.begin(attempt, attempt.raw_request)

    def _is_too_late(self, attempt: OpenAttempt, now_ns: int) -> bool:
        if attempt.write_by_s is not None and self.loop.time() >= attempt.write_by_s:
            return True
        command = attempt.command
        if command is None or command.client_request.stream is not None:
            return False
        return now_ns >= command.due_ns  # the timeout timer may run only after this callback

    def _is_client_waiting(self, attempt: OpenAttempt, now_ns: int) -> bool:
        """Return whether an attempt's client still waits for the response.

        Guards against starting an attempt for a client that left while the command was in a
        mailbox, while the connection was being opened or while this process was suspended: if its
        request is older than CHECK_CLIENT_AFTER_NS, its socket is checked.
        """
        command = attempt.command
        if command is None or command.client_request.client is None:
            return True
        request = command.client_request
        return command.client_request.client.is_waiting(
            request, now_ns - request.received_ns > CHECK_CLIENT_AFTER_NS
        )

    def _on_retry_window_closed(self, attempt: OpenAttempt) -> None:
        """Cancel an attempt that is not written completely.

        Guards against executing a request twice: after the retry window, backends no longer
        recognize a retry.
        """
        if not attempt.is_written():
            self.cancel(attempt, AttemptResult.CANCELLED)

    def _on_timeout(self, attempt: OpenAttempt) -> None:
        """End an attempt that has timed out, unless the last byte of a long body came later.

        Guards against discarding a response that arrived while the event loop was stalled: pending
        input is read first.
        """
        if self._extend_upload(attempt):
            return
        if self.loop.time() - attempt.due_s > STALLED_LOOP_S:
            attempt.timeout_timer = self.loop.call_later(
                STALLED_LOOP_READ_S, self.cancel, attempt, AttemptResult.TIMEOUT
            )
        else:
            self.cancel(attempt, AttemptResult.TIMEOUT)

    def _extend_upload(self, attempt: OpenAttempt) -> bool:
        """Restart the timeout of a long body that was incomplete at its client until recently.

        Guards against an attempt without a timeout while its backend does not read the body: its
        client may have written the last byte long ago.
        """
        command = attempt.command
        if command is None or command.client_request.stream is None:
            return False
        due_s = self._clock.loop_time(command.client_request.deadline_ns(self._clock.now()))
        if due_s <= attempt.due_s:
            return False
        attempt.due_s = due_s
        attempt.timeout_timer = self.loop.call_at(due_s, self._on_timeout, attempt)
        return True

    def cancel(self, attempt: OpenAttempt, result: AttemptResult) -> None:
        """End an attempt, and close its connection.

        Args:
            attempt: The attempt; nothing happens if it has ended.
            result: CANCELLED or TIMEOUT. If the request is not written completely, CANCELLED is
                reported as NOT_SENT, and TIMEOUT as CONNECT_FAILED.
        """
        if attempt.is_over:
            return
        if not attempt.is_written():
            # The backend never receives the request's last byte, so it cannot execute the request.
            is_timeout = result == AttemptResult.TIMEOUT
            result = AttemptResult.CONNECT_FAILED if is_timeout else AttemptResult.NOT_SENT
        self._end_attempt(attempt, result)

    def on_unreadable_response(self, attempt: OpenAttempt, error: Exception) -> None:
        """End an attempt whose response is malformed, and close its connection."""
        self.counters.add("unreadable")
        log.debug("unreadable response", extra={"kv": {"backend": self.ident, "why": error}})
        self._end_attempt(attempt, AttemptResult.ERROR)

    def on_response(
        self, attempt: OpenAttempt, message: RawResponseMessage, body: bytes, keep: bool
    ) -> None:
        """End an attempt whose response is complete; its connection is pooled if `keep`."""
        result = protocol.attempt_result(message.code, message.headers)
        response = None
        if attempt.command is None:
            load = self._parse_load(body.decode("utf-8", "replace").strip() or None)
        else:
            load = self._parse_load(message.headers.get(protocol.LOAD_HEADER))
            if result == AttemptResult.OK:
                response = protocol.BackendResponse(
                    body, protocol.forwarded_headers(message.raw_headers)
                )
        self._end_attempt(attempt, result, load, response, keep)

    def _parse_load(self, text: str | None) -> tuple[float, ...]:
        if not text or not self._load_names:
            return ()
        try:
            return protocol.parse_load_report(text, self._load_names)
        except protocol.UnreadableMessageError:
            self.counters.add("unreadable")
            return ()

    def _end_attempt(
        self,
        attempt: OpenAttempt,
        result: AttemptResult,
        load: tuple[float, ...] = (),
        response: protocol.BackendResponse | None = None,
        keep: bool = False,
    ) -> None:
        if attempt.is_over:
            return
        attempt.is_over = True
        if attempt.timeout_timer:
            attempt.timeout_timer.cancel()
        if attempt.retry_window_timer:
            attempt.retry_window_timer.cancel()
        connection = attempt.connection
        attempt.connection = None
        if connection is not None and connection.attempt is attempt:
            self.release_connection(connection, keep)
        connect_task = attempt.connect_task
        if connect_task is not None and connect_task is not asyncio.current_task():
            connect_task.cancel()
        latency_ns = self._clock.now() - attempt.sent_at_ns
        command = attempt.command
        if command is None:
            self._probes.discard(attempt)
            self._report(LoadProbeEnded(self.number, result, latency_ns, load))
            return
        self._in_flight.pop((command.request, command.attempt), None)
        self.counters.add("attempts_" + result.name.lower())
        if result in (AttemptResult.RESET, AttemptResult.CONNECT_FAILED):
            # Guards against reusing idle connections that the same network fault may have broken:
            # each of them would fail a request.
            self._close_idle_connections()
        self._report(
            AttemptEnded(
                command.request, command.attempt, self.number, result, latency_ns, load, response
            )
        )
