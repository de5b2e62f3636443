"""The admin server: a separate listener, one call per connection, a limited number of callers.

The descriptors of its sockets come from the reserve, so that clients of the proxy can't exhaust
them.
The `handle_call` callback executes the calls; this module only parses them and manages connections.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from dataclasses import dataclass

from mothstall.config import Address
from mothstall.net.counters import Counters
from mothstall.net.listener import open_listener

log = logging.getLogger("mothstall.admin")

MAX_CALLERS = 16  # open connections, including those in a lingering close
MAX_ACCEPTS_PER_ITERATION = 64  # connections accepted in one iteration of the event loop
CALL_TIMEOUT_S = 5.0  # timeout of a complete call
LINGER_S = 1.0  # a lingering close reads and discards input for this time
MAX_CALL_BYTES = 8 * 1024  # bytes of a head, and of a body
BACKLOG = 128  # connections queued by the kernel
HTTP_VERSIONS = (b"HTTP/1.1", b"HTTP/1.0")
CALLS = {
    "/api/ready": "GET",
    "/api/telemetry": "GET",
    "/api/evacuate": "POST",
    "/api/rejoin": "POST",
}
REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    413: "Content Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
}

CallResult = tuple[int, str]  # status and text of a response


class AdminCallError(ValueError):
    """A call is rejected with a response of `status`."""

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


def read_call(received: bytes) -> str | None:
    """Return the path of the call in `received`; None while it is incomplete. Pure.

    Raises:
        AdminCallError: The call is unknown, malformed or too long.
    """
    head, end, rest = received.partition(b"\r\n\r\n")
    if not end:
        if len(received) > MAX_CALL_BYTES:
            raise AdminCallError(413, "the call is too long")
        return None
    lines = head.split(b"\r\n")
    request_line = lines[0].split(b" ")
    if len(request_line) != 3 or request_line[2] not in HTTP_VERSIONS:
        raise AdminCallError(400, "no call of HTTP/1.1")
    length = _content_length(lines[1:])
    if length > MAX_CALL_BYTES:
        raise AdminCallError(413, "the call is too long")
    path = request_line[1].decode("ascii", "replace")
    if path not in CALLS:
        raise AdminCallError(404, "no such call")
    if request_line[0].decode("ascii", "replace") != CALLS[path]:
        raise AdminCallError(405, f"the call is {CALLS[path]} {path}")
    return path if len(rest) >= length else None


def _content_length(lines: list[bytes]) -> int:
    """Return the value of Content-Length in the header lines; 0 without one."""
    length: int | None = None
    for line in lines:
        name, colon, value = line.partition(b":")
        if not colon or not name or name != name.strip():
            raise AdminCallError(400, "a header is unreadable")
        lower = name.lower()
        if lower == b"transfer-encoding":
            raise AdminCallError(400, "a call has no chunks")
        if lower == b"content-length":
            text = value.strip()
            if length is not None or not text.isdigit():
                raise AdminCallError(400, "Content-Length is unreadable")
            length = int(text[:9])
    return length or 0


@dataclass(slots=True, eq=False)
class _Caller:
    sock: socket.socket
    since: float  # on the loop's clock, s: time of the accept, or of the response
    received: bytes = b""
    is_answered: bool = False


class AdminServer:
    """Accepts operators' calls and answers each with the result of `handle_call` for its path."""

    def __init__(
        self,
        address: Address,
        *,
        loop: asyncio.AbstractEventLoop,
        counters: Counters,
        handle_call: Callable[[str], CallResult],
    ) -> None:
        self._address = address
        self.loop = loop
        self.counters = counters
        self._handle_call = handle_call
        self._listener: socket.socket | None = None
        self._callers: dict[_Caller, None] = {}  # without a complete call, oldest first
        self._lingering: dict[_Caller, None] = {}  # answered and not closed, oldest first
        self._sweeper: asyncio.TimerHandle | None = None
        self.port = 0

    async def start(self) -> None:
        """Start to listen.

        Raises:
            OSError: The address can't be bound.
        """
        sock = await open_listener("admin_addr", self._address, BACKLOG)
        self._listener = sock
        self.port = sock.getsockname()[1]
        self.loop.add_reader(sock, self._accept)
        self._sweep()

    def stop(self) -> None:
        """Close the listener and all connections."""
        if self._sweeper:
            self._sweeper.cancel()
        for caller in (*self._callers, *self._lingering):
            self._close(caller)
        if self._listener:
            self.loop.remove_reader(self._listener)
            self._listener.close()
            self._listener = None

    def _accept(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_ITERATION):
            if self._listener is None:
                return
            try:
                sock, _peer = self._listener.accept()
            except OSError:
                return
            if len(self._callers) + len(self._lingering) >= MAX_CALLERS:
                # Guards against callers that keep their connections open, answered or without a
                # complete call: the oldest one is closed.
                self._close(next(iter(self._lingering or self._callers)))
            sock.setblocking(False)
            # Guards against a response that the kernel delays and a reset then discards.
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            caller = _Caller(sock, self.loop.time())
            self._callers[caller] = None
            # A call that has already arrived is answered now, before a later connection can cause
            # this one to be closed.
            self._read(caller)
            if caller in self._callers or caller in self._lingering:
                self.loop.add_reader(sock, self._read, caller)

    def _read(self, caller: _Caller) -> None:
        try:
            data = caller.sock.recv(MAX_CALL_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self._close(caller)
            return
        if not data:
            self._close(caller)
            return
        if caller.is_answered:
            return
        caller.received += data
        try:
            path = read_call(caller.received)
            if path is None:
                return
            status, text = self._handle_call(path)
        except AdminCallError as error:
            status = error.status
            text = f"{error}\n"
        except Exception:
            self.counters.add("faults")
            log.exception("call fault")
            status = 500
            text = "fault\n"
        self._respond(caller, status, text)

    def _respond(self, caller: _Caller, status: int, text: str) -> None:
        """Send the complete response in one write: it fits into the kernel's send buffer."""
        body = text.encode()
        head = (
            f"HTTP/1.1 {status} {REASONS[status]}\r\nContent-Type: text/plain\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        try:
            caller.sock.send(head.encode() + body)
        except OSError as error:
            log.info("answer not sent", extra={"kv": {"why": error}})
            self._close(caller)
            return
        self._linger(caller)

    def _linger(self, caller: _Caller) -> None:
        """Begin a lingering close.

        Guards against closing with unread bytes after the call, which would reset the response.
        """
        self._callers.pop(caller, None)
        caller.is_answered = True
        caller.received = b""
        caller.since = self.loop.time()
        try:
            caller.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self._close(caller)
            return
        self._lingering[caller] = None

    def _close(self, caller: _Caller) -> None:
        self._callers.pop(caller, None)
        self._lingering.pop(caller, None)
        self.loop.remove_reader(caller.sock)
        caller.sock.close()

    def _sweep(self) -> None:
        now = self.loop.time()
        for callers, max_age_s in ((self._callers, CALL_TIMEOUT_S), (self._lingering, LINGER_S)):
            for caller in list(callers):
                if now - caller.since < max_age_s:
                    break
                self._close(caller)
        self._sweeper = self.loop.call_later(LINGER_S / 2, self._sweep)
