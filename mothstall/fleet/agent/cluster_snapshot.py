"""A proxy's view of the replicated state: one complete immutable snapshot at a time. Pure."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TypeVar

from mothstall.fleet.agent.overlay_map import OverlayMap
from mothstall.fleet.leases.names import MEMBER_LEASE_PREFIX
from mothstall.store.state.rows import Drain, Lease, Member, StateDelta, StoredValue

V = TypeVar("V")


@dataclass(slots=True, frozen=True)
class ClusterSnapshot:
    """The replicated state at one version.

    Attributes:
        version: Version of the state; 0: nothing was received yet.
        leases: Leases that are held, by name.
        drains: Drains, by `drain_key`.
        values: Values that lease holders stored, by key.
        members: The proxies that hold their own membership lease.
        attached: The proxies that are attached to observers, or were until that observer's lease
            ended.
        proxies: The names of `members` and `attached` together.
    """

    version: int = 0
    leases: Mapping[str, Lease] = field(default_factory=lambda: OverlayMap({}))
    drains: Mapping[str, Drain] = field(default_factory=lambda: OverlayMap({}))
    values: Mapping[str, StoredValue] = field(default_factory=lambda: OverlayMap({}))
    members: frozenset[str] = frozenset()
    attached: Mapping[str, Member] = field(default_factory=lambda: OverlayMap({}))
    proxies: frozenset[str] = frozenset()

    def apply(self, delta: StateDelta) -> ClusterSnapshot | None:
        """Return the next snapshot, never an older one.

        The delta of a lagging keeper changes nothing. Takes time linear in the delta, and also in
        the members if these change.

        Returns:
            The next snapshot; this one if the delta contains nothing new; None if the delta does
            not follow this version, so that the complete state has to be requested.
        """
        if delta.version < self.version:
            return self
        if delta.since_version == 0:
            return _from_complete_state(delta)
        if delta.version == self.version:
            return self
        if delta.since_version != self.version:
            return None
        members = self._apply_membership_leases(delta.leases)
        attached = _apply(self.attached, delta.members)
        proxies = self.proxies
        if members is not self.members or self._changes_who_is_attached(delta.members):
            proxies = _proxy_names(members, attached)
        return ClusterSnapshot(
            delta.version,
            _apply(self.leases, delta.leases),
            _apply(self.drains, delta.drains),
            _apply(self.values, delta.values),
            members,
            attached,
            proxies,
        )

    def _changes_who_is_attached(self, changes: Mapping[str, Member | None]) -> bool:
        return any((row is None) == (name in self.attached) for name, row in changes.items())

    def _apply_membership_leases(self, leases: Mapping[str, Lease | None]) -> frozenset[str]:
        """Return the members after a change of leases; the same object if they are unchanged."""
        changes = {
            name.removeprefix(MEMBER_LEASE_PREFIX): lease
            for name, lease in leases.items()
            if name.startswith(MEMBER_LEASE_PREFIX)
        }
        left = {name for name, lease in changes.items() if lease is None and name in self.members}
        joined = {
            name
            for name, lease in changes.items()
            if lease is not None and name not in self.members
        }
        return (self.members - left) | joined if left or joined else self.members


def _from_complete_state(delta: StateDelta) -> ClusterSnapshot:
    leases = _complete_map(delta.leases)
    members = frozenset(
        name.removeprefix(MEMBER_LEASE_PREFIX)
        for name in leases
        if name.startswith(MEMBER_LEASE_PREFIX)
    )
    attached = _complete_map(delta.members)
    return ClusterSnapshot(
        delta.version,
        leases,
        _complete_map(delta.drains),
        _complete_map(delta.values),
        members,
        attached,
        _proxy_names(members, attached),
    )


def _proxy_names(members: frozenset[str], attached: Mapping[str, Member]) -> frozenset[str]:
    return members.union(attached) if attached else members


def _complete_map(rows: Mapping[str, V | None]) -> OverlayMap[V]:
    return OverlayMap({key: row for key, row in rows.items() if row is not None})


def _apply(rows: Mapping[str, V], changes: Mapping[str, V | None]) -> Mapping[str, V]:
    if not changes:
        return rows
    overlay = rows if isinstance(rows, OverlayMap) else OverlayMap(dict(rows))
    return overlay.apply(changes)
