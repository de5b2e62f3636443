"""Lingering close: half-close, discard further input, close, so that the response is not lost."""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING

from mothstall.net.body_relay import MAX_READ_BYTES
from mothstall.net.client_side.connection_states import LINGER_S, ConnectionState

if TYPE_CHECKING:
    from mothstall.net.client_side.connection import Connection

__all__ = [
    "LINGER_BYTES",
    "LINGER_S",
    "begin",
    "discard",
    "discard_further_input",
    "reset",
    "set_reset_on_close",
]

LINGER_BYTES = 256 * 1024  # a lingering close reads at most this much further input
# Limit of the input discarded while a request is open: more than both kernels' buffers hold.
MAX_DISCARDED_BYTES = 16 * 1024 * 1024
DISCARD_READ_BYTES = 1024 * 1024  # maximum size of one read of such input

# SO_LINGER: on, with a timeout of 0; and off.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_END_ON_CLOSE = struct.pack("ii", 0, 0)


def begin(connection: Connection, state: ConnectionState = ConnectionState.LINGERING) -> None:
    """Half-close after the data written so far; further input is read and discarded.

    The lingering close ends when the client closes, or after LINGER_S; at most about LINGER_BYTES
    are read. Guards against closing a socket with unread input: that resets the connection, and the
    client loses the part of the response that it has not read yet.
    """
    transport = connection.transport
    if transport is None:
        return
    connection.discard_pipelined()
    connection.release_parser()
    connection.deferred_error = None
    connection.discarded_bytes = 0
    connection.is_read_blocked = False
    connection.set_max_read(MAX_READ_BYTES)
    connection.enter(state)
    connection._resume_transport_reading()
    try:
        transport.write_eof()
    except OSError:
        connection.force_close()


def discard(connection: Connection, data: bytes) -> None:
    """Count discarded input; above a limit, reject the open request or pause reading."""
    connection.discarded_bytes += len(data)
    if connection.state == ConnectionState.AWAITING_RESPONSE:
        # Reading is not paused. Guards against an attempt for a client that has closed the
        # connection, which stays unnoticed behind unread input.
        if connection.discarded_bytes > MAX_DISCARDED_BYTES:
            connection.reject_open_request(400, "too much was sent ahead of an answer")
    elif connection.discarded_bytes > LINGER_BYTES:
        # Guards against reading tens of megabytes (60 MB) only to discard them.
        connection._pause_transport_reading()


def discard_further_input(connection: Connection, status: int, reason: str) -> None:
    """Discard further input while a request is open; an error follows its response."""
    connection.deferred_error = (status, reason)
    connection.discarded_bytes = 0
    connection.set_max_read(DISCARD_READ_BYTES)


def set_reset_on_close(sock: socket.socket, is_on: bool) -> None:
    """Let the kernel reset the connection when it is closed, or end it in order.

    This holds for a close by the end of the process as well.
    """
    value = _RESET_ON_CLOSE if is_on else _END_ON_CLOSE
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)


def reset(connection: Connection) -> None:
    """Close the connection with a reset, so that the client sees that a response was cut."""
    transport = connection.transport
    if transport is not None:
        sock = transport.get_extra_info("socket")
        if sock is not None:
            set_reset_on_close(sock, True)
        transport.abort()
