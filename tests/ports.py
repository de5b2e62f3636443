"""Ports for processes to listen at that a test has to name before they start."""

from __future__ import annotations

import socket

_held: list[socket.socket] = []


def free_port() -> int:
    """A port on 127.0.0.1. It stays bound until the tests end, so that nobody but who listens there gets it.

    A socket that is bound with SO_REUSEADDR and does not listen lets another one listen beside it; a port
    that was closed again could go to any connection of the machine before the process has started.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    _held.append(sock)
    port: int = sock.getsockname()[1]
    return port
