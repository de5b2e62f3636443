"""Operators' drains: they take precedence over the endpoint list until they are removed. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from mothstall.interface import Health
from mothstall.store.state.rows import Drain, DrainKind, drain_key


@dataclass(slots=True, frozen=True)
class ActiveDrains:
    """The drains that are in force at one proxy, by the keys that `drain_key` makes."""

    keys: frozenset[str] = frozenset()

    @classmethod
    def merge(cls, stored: Mapping[str, Drain], local: Iterable[Drain]) -> ActiveDrains:
        """Combine the store's drains with local ones that the store does not have yet."""
        return cls(frozenset(stored) | {drain_key(drain.kind, drain.name) for drain in local})

    def effective_health(self, backend: str, zone: str, listed: Health) -> Health:
        """Return the health that counts for a backend.

        A drain applies to a backend's name, so that it stays in force when the backend restarts.
        """
        if listed != Health.READY:
            return listed
        is_drained = (
            drain_key(DrainKind.BACKEND, backend) in self.keys
            or drain_key(DrainKind.ZONE, zone) in self.keys
        )
        return Health.DRAINING if is_drained else listed
