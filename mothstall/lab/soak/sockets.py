"""Counts a process's descriptors by the peers of its sockets, read from `/proc`."""

from __future__ import annotations

import contextlib
import os
from collections import Counter
from collections.abc import Collection
from pathlib import Path

_SOCKET = "socket:["


def held_descriptors(pid: int, listen_port: int, backend_ports: Collection[int]) -> Counter[str]:
    """Count the descriptors of a process by kind.

    Args:
        pid: Id of the process.
        listen_port: Port that its clients connect to.
        backend_ports: Ports that its backends listen on.

    Returns:
        Counts of `clients`, `backends` and `other`; connections that are closed do not count.
    """
    ports = _ports_by_inode(pid)
    counts: Counter[str] = Counter()
    folder = Path(f"/proc/{pid}/fd")
    for descriptor in os.listdir(folder):
        target = ""
        with contextlib.suppress(OSError):  # closed since the folder was listed
            target = os.readlink(folder / descriptor)
        inode = target.removeprefix(_SOCKET).rstrip("]")
        local, remote = ports.get(inode, (0, 0))
        if remote in backend_ports:
            counts["backends"] += 1
        elif remote and local == listen_port:
            counts["clients"] += 1
        elif target:
            counts["other"] += 1
    return counts


def _ports_by_inode(pid: int) -> dict[str, tuple[int, int]]:
    """Return local and remote port of each TCP socket by inode; a listener's remote port is 0."""
    found = {}
    for row in Path(f"/proc/{pid}/net/tcp").read_text(encoding="ascii").splitlines()[1:]:
        words = row.split()
        local = int(words[1].rpartition(":")[2], 16)
        remote = int(words[2].rpartition(":")[2], 16)
        found[words[9]] = (local, remote)
    return found
