"""Reserves ports for processes whose address a test has to configure before it starts them."""

from __future__ import annotations

import socket

_reserved: list[socket.socket] = []


def free_port() -> int:
    """Reserves a free port on 127.0.0.1 until the tests end.

    The port stays bound to a socket with SO_REUSEADDR that doesn't listen, so that the process
    under test can still listen on it. If that socket were closed, the system could assign the port
    to any other connection on the machine before the process starts.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    _reserved.append(sock)
    port: int = sock.getsockname()[1]
    return port
