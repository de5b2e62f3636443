"""What a proxy knows of the fleet: one whole immutable snapshot at a time, of what keepers tell. Pure."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from types import MappingProxyType
from typing import TypeVar

from mothstall.store.state import Delta, Drain, Lease, Written

V = TypeVar("V")


@dataclass(slots=True, frozen=True)
class View:
    """`version` 0: nothing was ever told."""

    version: int = 0
    leases: Mapping[str, Lease] = field(default_factory=lambda: MappingProxyType({}))
    drains: Mapping[str, Drain] = field(default_factory=lambda: MappingProxyType({}))
    entries: Mapping[str, Written] = field(default_factory=lambda: MappingProxyType({}))

    def after(self, delta: Delta) -> View | None:
        """The next snapshot; None where the delta does not fit this one, so that all must be asked for.

        Never an older one: a keeper that lags tells what this view has left behind.
        """
        if delta.version < self.version:
            return self
        if delta.since == 0:
            return replace(
                self, version=delta.version, leases=_merged({}, delta.leases),
                drains=_merged({}, delta.drains), entries=_merged({}, delta.entries),
            )  # fmt: skip
        if delta.since != self.version:
            return self if delta.version == self.version else None
        if delta.version == self.version:
            return self
        return View(
            delta.version, _merged(self.leases, delta.leases), _merged(self.drains, delta.drains),
            _merged(self.entries, delta.entries),
        )  # fmt: skip

    def holders(self, prefix: str) -> list[str]:
        """The names after `prefix` of the leases that somebody holds, in order."""
        return sorted(name[len(prefix) :] for name in self.leases if name.startswith(prefix))


def _merged(old: Mapping[str, V], rows: Mapping[str, V | None]) -> Mapping[str, V]:
    if not rows:
        return MappingProxyType(dict(old)) if not isinstance(old, MappingProxyType) else old
    found = dict(old)
    for key, row in rows.items():
        if row is None:
            found.pop(key, None)
        else:
            found[key] = row
    return MappingProxyType(found)
