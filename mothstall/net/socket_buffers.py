"""Sizes of the kernel's socket buffers, which may count as the process's memory.

Left to itself, the kernel lets the buffers of one connection grow to megabytes. Hundreds of slow or
hung peers would then hold more than the memory limit.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from mothstall.config import Address

MEMORY_FRACTION = 1 / 3  # of the memory limit, for one buffer of each socket; few are ever full
MIN_BUFFER_BYTES = 16 * 1024
MAX_BUFFER_BYTES = 64 * 1024


def buffer_bytes_for(memory_bytes: int, max_sockets: int) -> int:
    """Return the size of each buffer of a socket under a memory limit.

    The kernel doubles it, to have space for its own bookkeeping.
    """
    share_bytes = int(memory_bytes * MEMORY_FRACTION / max(1, max_sockets))
    return min(MAX_BUFFER_BYTES, max(MIN_BUFFER_BYTES, share_bytes))


def limit_socket(sock: socket.socket, buffer_bytes: int) -> None:
    """Limit both buffers of a socket; those of a listener hold for the connections it accepts.

    The receive buffer is limited before a connection is set up: its sender waits for half of the
    largest window that it has seen.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, buffer_bytes)


async def connect(
    loop: asyncio.AbstractEventLoop,
    make_protocol: Callable[[], asyncio.BaseProtocol],
    address: Address,
    buffer_bytes: int,
) -> None:
    """Connect to a numeric address with limited buffers.

    Raises:
        OSError: The connection cannot be set up.
    """
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        limit_socket(sock, buffer_bytes)
        await loop.sock_connect(sock, (address.host, address.port))
        await loop.create_connection(make_protocol, sock=sock)
    except BaseException:
        sock.close()
        raise


def limit_send_buffer(transport: asyncio.BaseTransport | None, buffer_bytes: int) -> None:
    """Limit what the kernel takes of a transport's writes before its peer has them."""
    sock = transport.get_extra_info("socket") if transport is not None else None
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, buffer_bytes)
