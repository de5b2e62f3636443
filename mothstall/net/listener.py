"""Sockets: bound or inherited listeners, and state that asyncio's transports don't expose."""

from __future__ import annotations

import asyncio
import errno
import fcntl
import os
import select
import socket
import struct
import termios
from collections import deque

from mothstall.config import Address

MAX_BIND_ATTEMPTS = 30  # 1.5 s in total: an earlier process may still be exiting
BIND_RETRY_S = 0.05  # between two attempts
# Before a request that has waited longer is served, its client's socket is checked for a hang-up.
CHECK_CLIENT_AFTER_NS = 20_000_000


async def open_listener(key: str, address: Address, backlog: int) -> socket.socket:
    """Return a listening socket.

    Args:
        key: The setting that holds the address, for the error's text.
        address: The address to bind.
        backlog: Number of connections that the kernel queues.

    Raises:
        OSError: The address cannot be bound; its text names `key`.
    """
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setblocking(False)
    for retries_left in reversed(range(MAX_BIND_ATTEMPTS)):
        try:
            sock.bind((address.host, address.port))
            sock.listen(backlog)
        except OSError as error:
            # Guards against an earlier process that has not released the address yet.
            if error.errno != errno.EADDRINUSE or not retries_left:
                sock.close()
                raise OSError(error.errno, f"{key} {address}: {error.strerror or error}") from error
        else:
            return sock
        await asyncio.sleep(BIND_RETRY_S)
    raise AssertionError("the last attempt returns or raises")


def inherit_socket(descriptor: int) -> socket.socket:
    """Return a duplicate of an inherited socket.

    Other processes share the socket, which therefore must not be shut down.
    """
    sock = socket.socket(fileno=os.dup(descriptor))
    sock.setblocking(False)
    return sock


def has_peer_hung_up(transport: asyncio.Transport | None) -> bool:
    """Return whether the peer has closed or reset the connection, even behind unread bytes."""
    sock = transport.get_extra_info("socket") if transport is not None else None
    if sock is None or sock.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return any(
        event_mask & (select.POLLRDHUP | select.POLLHUP | select.POLLERR)
        for _, event_mask in poll.poll(0)
    )


def unread_byte_count(transport: asyncio.Transport | None) -> int:
    """Return the number of received bytes that the kernel holds and that were not read yet."""
    sock = transport.get_extra_info("socket") if transport is not None else None
    if sock is None or sock.fileno() < 0:
        return 0
    (count,) = struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.FIONREAD, b"\0" * 4))
    return int(count)


def unsent_bytes(transport: asyncio.Transport) -> bytes | None:
    """Return the bytes that a transport buffers and has not written to its socket; None if unknown.

    Reads a private attribute of asyncio's transports, which offer no public access: a bytearray, or
    a deque of views from Python 3.12 on.
    """
    if not transport.get_write_buffer_size():
        return b""
    buffer = getattr(transport, "_buffer", None)
    if isinstance(buffer, bytearray):
        return bytes(buffer)
    return b"".join(buffer) if isinstance(buffer, deque) else None
