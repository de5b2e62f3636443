"""Closing so that the client still gets the last response: half-close, read on, close."""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING

from mothstall.net.body_relay import MAX_READ_BYTES
from mothstall.net.client_side.connection_states import LINGER_S, ConnectionState

if TYPE_CHECKING:
    from mothstall.net.client_side.connection import Connection

__all__ = ["LINGER_BYTES", "LINGER_S", "begin", "discard", "discard_further_input", "reset"]

LINGER_BYTES = 256 * 1024  # a lingering close reads at most so much of what still comes
# Read and discarded behind an open request, in all: more than two kernels hold between them.
MAX_DISCARDED_BYTES = 16 * 1024 * 1024
DISCARD_READ_BYTES = 1024 * 1024  # the same, in one read

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, for no time


def begin(connection: Connection, state: ConnectionState = ConnectionState.LINGERING) -> None:
    """Half-close behind what is written; what still comes is read and discarded.

    Guards against a close over bytes that were not read, which resets the connection and takes from
    the client the response that it has not read yet. Bounded by LINGER_S, LINGER_BYTES and the
    client's own end.
    """
    transport = connection.transport
    if transport is None:
        return
    connection.discard_pipelined()
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
    """Count what was read and is of no use."""
    connection.discarded_bytes += len(data)
    if connection.state == ConnectionState.AWAITING_RESPONSE:
        # Read on with no pause. Guards against an attempt for a client whose end comes behind all
        # that.
        if connection.discarded_bytes > MAX_DISCARDED_BYTES:
            connection.reject_open_request(400, "too much was sent ahead of an answer")
    elif connection.discarded_bytes > LINGER_BYTES:
        # Guards against 60 MB read at once to be thrown away.
        connection._pause_transport_reading()


def discard_further_input(connection: Connection, status: int, reason: str) -> None:
    """Discard what comes behind the open request; an error follows that request's response."""
    connection.deferred_error = (status, reason)
    connection.discarded_bytes = 0
    connection.set_max_read(DISCARD_READ_BYTES)


def reset(connection: Connection) -> None:
    """Close the connection with a reset, so that the client sees that a response was cut."""
    transport = connection.transport
    if transport is not None:
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        transport.abort()
