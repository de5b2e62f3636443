"""Assignment of backends to probers by rendezvous hashing. Pure.

Each backend is assigned to the live proxy with the highest weight for it, so that a proxy that
joins or leaves changes only its own assignments (Thaler and Ravishankar, "Using name-based mappings
to increase hit rates", 1998).
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

import xxhash


def _rendezvous_weight(proxy: str, backend: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{proxy}\0{backend}".encode())


def assigned_prober(backend: str, proxies: Iterable[str]) -> str:
    """Return the proxy that probes a backend; empty if no proxy is live."""
    weights = [(_rendezvous_weight(name, backend), name) for name in proxies]
    return max(weights)[1] if weights else ""


def assigned_backends(backends: Iterable[str], proxies: Iterable[str], proxy: str) -> list[str]:
    """Return the backends that one proxy probes, in order of their names.

    Computes one hash for each pair of a backend and a proxy; `ProbeAssignment` gives the same
    result incrementally.
    """
    live = sorted(set(proxies))
    return [name for name in sorted(backends) if assigned_prober(name, live) == proxy]


@dataclass(slots=True)
class ProbeAssignment:
    """The result of `assigned_backends` for one proxy, updated as backends and proxies come and go.

    For a backend of another proxy it suffices to keep one live proxy with a higher weight than this
    proxy: the backend's witness. A witness is found among n proxies in about ln n attempts, as each
    proxy that is compared is equally likely to have the highest weight so far. So the first update
    is linear in the backends times the logarithm of the proxies. When a proxy joins, it is compared
    for this proxy's own backends only. When a proxy leaves, a new witness is searched for the
    backends whose witness it was; these are few, as the search starts at a different proxy for each
    backend. Apart from that, an update is linear in the difference of the sets, and takes constant
    time if neither has changed.

    Attributes:
        proxy: The name of this proxy.
        assigned: The backends that it probes.
    """

    proxy: str
    assigned: set[str] = field(default_factory=set)
    _backends: Collection[str] | None = None  # of the last call
    _live_proxies: Collection[str] | None = None  # of the last call
    _other_proxies: list[str] = field(default_factory=list)  # in any order
    _position: dict[str, int] = field(default_factory=dict)  # index in the list above, by name
    _witness: dict[str, str] = field(default_factory=dict)  # by backend
    _witnessed: dict[str, set[str]] = field(default_factory=dict)  # backends by their witness

    def update(self, backends: Collection[str], live_proxies: Collection[str]) -> set[str]:
        """Return the backends that this proxy probes; none while it is not live itself.

        Each collection counts as unchanged while it is the same object as in the last call.
        """
        has_same_backends = backends is self._backends
        if has_same_backends and live_proxies is self._live_proxies:
            return self.assigned
        self._backends = backends
        self._live_proxies = live_proxies
        if self.proxy not in live_proxies:
            self._clear()
            return self.assigned
        others = set(live_proxies) - {self.proxy}
        joined = others - self._position.keys()
        without_witness = self._remove_proxies(self._position.keys() - others)
        self._add_proxies(joined)
        is_empty = not (self.assigned or self._witness or without_witness)
        if not has_same_backends or is_empty:
            without_witness = self._apply_backends(set(backends), without_witness)
        if joined:
            for backend in list(self.assigned):
                self._drop_if_outweighed(backend, joined)
        for backend in without_witness:
            self._search_witness(backend)
        return self.assigned

    def _clear(self) -> None:
        self.assigned = set()
        self._other_proxies = []
        self._position = {}
        self._witness = {}
        self._witnessed = {}

    def _remove_proxies(self, left: Iterable[str]) -> set[str]:
        """Remove proxies, and return the backends that have lost their witness."""
        without_witness: set[str] = set()
        for name in left:
            self._remove_proxy(name)
            without_witness |= self._witnessed.pop(name, set())
        for backend in without_witness:
            del self._witness[backend]
        return without_witness

    def _remove_proxy(self, name: str) -> None:
        """Remove a proxy in constant time: the last one in the list takes its place."""
        position = self._position.pop(name)
        last = self._other_proxies.pop()
        if last != name:
            self._other_proxies[position] = last
            self._position[last] = position

    def _add_proxies(self, joined: Iterable[str]) -> None:
        for name in joined:
            self._position[name] = len(self._other_proxies)
            self._other_proxies.append(name)

    def _apply_backends(self, listed: set[str], without_witness: set[str]) -> set[str]:
        """Forget backends that are no longer listed; return those that need a witness."""
        known = self.assigned | self._witness.keys() | without_witness
        for backend in known - listed:
            self._forget(backend)
        return (without_witness | (listed - known)) & listed

    def _forget(self, backend: str) -> None:
        self.assigned.discard(backend)
        witness = self._witness.pop(backend, None)
        if witness is not None:
            self._witnessed[witness].discard(backend)

    def _search_witness(self, backend: str) -> None:
        """Assign the backend to this proxy unless a proxy with a higher weight is found.

        The search starts at a different proxy for each backend, so that the backends are spread
        over all witnesses.
        """
        own_weight = _rendezvous_weight(self.proxy, backend)
        count = len(self._other_proxies)
        start = own_weight % count if count else 0
        for index in range(start, start + count):
            name = self._other_proxies[index % count]
            if (_rendezvous_weight(name, backend), name) > (own_weight, self.proxy):
                self._set_witness(backend, name)
                return
        self.assigned.add(backend)

    def _drop_if_outweighed(self, backend: str, joined: Iterable[str]) -> None:
        """Drop a backend if a proxy that joined has a higher weight for it."""
        own_weight = _rendezvous_weight(self.proxy, backend)
        for name in joined:
            if (_rendezvous_weight(name, backend), name) > (own_weight, self.proxy):
                self._set_witness(backend, name)
                return

    def _set_witness(self, backend: str, name: str) -> None:
        self.assigned.discard(backend)
        self._witness[backend] = name
        self._witnessed.setdefault(name, set()).add(backend)
