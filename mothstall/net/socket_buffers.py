"""Sizes of the kernel's socket buffers, which may count as the process's memory.

Left to itself, the kernel lets the buffers of one connection grow to megabytes. Hundreds of slow or
hung peers would then hold more than the memory limit.
"""

from __future__ import annotations

import asyncio
import socket

MEMORY_FRACTION = 1 / 8  # of the memory limit, for the buffers of all sockets in one direction
MIN_BUFFER_BYTES = 16 * 1024
MAX_BUFFER_BYTES = 64 * 1024


def buffer_bytes_for(memory_bytes: int, max_sockets: int) -> int:
    """Return the size of each buffer of a socket under a memory limit.

    The kernel doubles it, to have space for its own bookkeeping.
    """
    share_bytes = int(memory_bytes * MEMORY_FRACTION / max(1, max_sockets))
    return min(MAX_BUFFER_BYTES, max(MIN_BUFFER_BYTES, share_bytes))


def limit_socket(sock: socket.socket, buffer_bytes: int) -> None:
    """Limit both buffers of a socket; those of a listener hold for the connections it accepts."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, buffer_bytes)


def limit_send_buffer(transport: asyncio.BaseTransport | None, buffer_bytes: int) -> None:
    """Limit what the kernel takes of a transport's writes before its peer has them."""
    sock = transport.get_extra_info("socket") if transport is not None else None
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, buffer_bytes)
