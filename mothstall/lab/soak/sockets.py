"""Which descriptors a process holds, by what its sockets are connected to: read off `/proc`."""

from __future__ import annotations

import contextlib
import os
from collections import Counter
from collections.abc import Collection
from pathlib import Path

_SOCKET = "socket:["


def held_descriptors(pid: int, listen_port: int, backend_ports: Collection[int]) -> Counter[str]:
    """Count a process's descriptors.

    Args:
        pid: The process.
        listen_port: Where its clients connect to.
        backend_ports: Where its backends listen.

    Returns:
        Counts of `clients`, `backends` and `other`; of connections only what is open counts.
    """
    ports = _ports_by_inode(pid)
    counts: Counter[str] = Counter()
    folder = Path(f"/proc/{pid}/fd")
    for descriptor in os.listdir(folder):
        target = ""
        with contextlib.suppress(OSError):  # closed meanwhile
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
    """Return local and remote port of each TCP socket; a listener's remote port is 0."""
    found = {}
    for row in Path(f"/proc/{pid}/net/tcp").read_text(encoding="ascii").splitlines()[1:]:
        words = row.split()
        local = int(words[1].rpartition(":")[2], 16)
        remote = int(words[2].rpartition(":")[2], 16)
        found[words[9]] = (local, remote)
    return found
