"""This proxy's copy of the endpoint list: backends by id and in order of the hash ring."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter

from mothstall import interface as io
from mothstall.policy import hashing
from mothstall.policy.backend import Backend, clamped_weight
from mothstall.policy.context import Context

SPARSE_BELOW = 2.0  # backends per proxy below which `EndpointList.is_sparse` is set
_MIN_ROWS_PER_CHANGE = 64  # listed rows per changed row for inserting rows without a sort


class EndpointList:
    """Listed backends that are ready; draining and removed ones are not in it.

    Attributes:
        by_id: Backends by their ids.
        ring: Backends in order of their ring positions.
        version: Version of the newest list or change that was applied.
        max_weight: The greatest listed weight.
        weights: Number of listed backends by weight.
        backends_per_proxy: Ratio of backends to proxies, 1 at most.
        is_sparse: Whether there are so few backends per proxy that a proxy has too few
            responses from each of them.
    """

    def __init__(self, context: Context) -> None:
        self._proxies = context.settings.proxies
        self.by_id: dict[int, Backend] = {}
        self.ring: list[Backend] = []
        self.version = -1
        self.max_weight = 1.0
        self.weights: Counter[float] = Counter()
        self.backends_per_proxy = 1.0
        self.is_sparse = False

    def __len__(self) -> int:
        return len(self.by_id)

    def lists(self, backend: Backend) -> bool:
        """Return whether this backend is listed and has not been replaced after a restart."""
        return self.by_id.get(backend.id) is backend

    def missing_from(self, entries: list[io.Endpoint]) -> list[Backend]:
        """Return the backends that are missing from a complete list."""
        named = {entry.backend for entry in entries}
        return [backend for backend in self.by_id.values() if backend.id not in named]

    def is_small_change(self, update: io.EndpointUpdate) -> bool:
        """Return whether few enough rows change to insert each without sorting the whole ring."""
        if update.scope != io.UpdateScope.DELTA:
            return False
        return _MIN_ROWS_PER_CHANGE * len(update.entries) <= len(self.ring)

    def add(self, backend: Backend) -> None:
        """Add a backend by its id; call `place_on_ring` or `finish_update` afterwards."""
        self.by_id[backend.id] = backend
        self.weights[backend.weight] += 1

    def remove(self, backend: Backend) -> None:
        """Remove a backend by its id; call `place_on_ring` or `finish_update` afterwards."""
        self.by_id.pop(backend.id, None)
        self.weights[backend.weight] -= 1

    def change(self, backend: Backend, entry: io.Endpoint) -> None:
        """Update the properties of a backend that can change without a restart."""
        self.weights[backend.weight] -= 1
        backend.zone = entry.zone
        backend.cell = entry.cell
        backend.weight = clamped_weight(entry.weight)
        self.weights[backend.weight] += 1

    def place_on_ring(self, backend_id: int) -> None:
        """Insert, replace or remove the ring entry of one id, to match `by_id`."""
        position = (hashing.stable_hash(backend_id), backend_id)
        index = bisect_left(self.ring, position, key=lambda backend: backend.ring_position)
        is_on_ring = index < len(self.ring) and self.ring[index].id == backend_id
        listed = self.by_id.get(backend_id)
        self.ring[index : index + is_on_ring] = [listed] if listed else []

    def finish_update(self, *, is_ring_sorted: bool) -> None:
        """Update the ring, the weights and the ratio of backends to proxies from the list."""
        if not is_ring_sorted:
            self.ring = sorted(self.by_id.values(), key=lambda backend: backend.ring_position)
        self.backends_per_proxy = min(1.0, len(self.ring) / self._proxies)
        self.is_sparse = len(self.ring) < SPARSE_BELOW * self._proxies
        self.weights = +self.weights
        self.max_weight = max(self.weights, default=1.0)
