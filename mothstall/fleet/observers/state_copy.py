"""An observer's copy of the replicated state. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import TypeVar

from mothstall.fleet.observers.change_history import ChangeHistory
from mothstall.fleet.observers.row_change import LeaseChanges, MemberChanges, RowChange
from mothstall.fleet.observers.subscription import Subscription
from mothstall.store.state.rows import (
    Drain,
    Lease,
    Member,
    StateDelta,
    StateSection,
    StoredValue,
)

Row = Lease | Drain | StoredValue | Member
RowT = TypeVar("RowT", bound=Row)


@dataclass(slots=True, frozen=True)
class AppliedChanges:
    """Leases and members that differ after a delta, by their names."""

    leases: LeaseChanges = field(default_factory=dict)
    members: MemberChanges = field(default_factory=dict)


class StateCopy:
    """The tables of the state at one version, and the changes that led to it."""

    def __init__(self, max_changes: int) -> None:
        """Start empty at version 0; `max_changes` limits the history."""
        self.version = 0
        self.leases: dict[str, Lease] = {}
        self.drains: dict[str, Drain] = {}
        self.values: dict[str, StoredValue] = {}
        self.members: dict[str, Member] = {}
        self.history = ChangeHistory(max_changes)

    def merge(self, delta: StateDelta) -> AppliedChanges:
        """Apply a delta that starts from this version, or a complete state.

        Takes time linear in the delta, and also in the copy if the delta is a complete state.
        """
        is_first = self.version == 0
        is_complete = delta.since_version == 0
        self.version = delta.version
        leases = self._merge(StateSection.LEASES, self.leases, delta.leases, is_complete)
        self._merge(StateSection.DRAINS, self.drains, delta.drains, is_complete)
        self._merge(StateSection.VALUES, self.values, delta.values, is_complete)
        members = self._merge(StateSection.MEMBERS, self.members, delta.members, is_complete)
        self.history.end_version(self.version, is_first=is_first)
        return AppliedChanges(leases, members)

    def _merge(
        self,
        section: StateSection,
        table: dict[str, RowT],
        rows: Mapping[str, RowT | None],
        is_complete: bool,
    ) -> dict[str, RowChange[RowT]]:
        changes: dict[str, RowChange[RowT]] = {}
        record = self.history.record
        removed = [key for key in table if key not in rows] if is_complete else []
        for key, row in [*rows.items(), *((key, None) for key in removed)]:
            before = table.get(key)
            if row == before:
                continue
            if row is None:
                del table[key]
            else:
                table[key] = row
            changes[key] = RowChange(before, row)
            for zone in {_zone_of(side) for side in (before, row) if side is not None}:
                record((self.version, section, key, zone))
        return changes

    def snapshot_for(self, subscription: Subscription) -> StateDelta:
        """Return the subscribed part of the complete state."""

        def included(section: StateSection, table: Mapping[str, RowT]) -> dict[str, RowT | None]:
            return {
                key: row
                for key, row in table.items()
                if subscription.includes(section, key, _zone_of(row))
            }

        return StateDelta(
            0,
            self.version,
            leases=included(StateSection.LEASES, self.leases),
            drains=included(StateSection.DRAINS, self.drains),
            values=included(StateSection.VALUES, self.values),
            members=included(StateSection.MEMBERS, self.members),
        )

    def delta_for(self, subscription: Subscription, since_version: int) -> StateDelta:
        """Return the subscribed changes since a version to which the history reaches back.

        A row that the subscription no longer includes is sent as removed.
        """
        changed: dict[StateSection, dict[str, None]] = {section: {} for section in StateSection}
        for _, section, key, zone in self.history.changes_since(since_version):
            if subscription.includes(section, key, zone):
                changed[section][key] = None

        def current(section: StateSection, table: Mapping[str, RowT]) -> dict[str, RowT | None]:
            return _current_rows(subscription, section, table, changed[section])

        return StateDelta(
            since_version,
            self.version,
            leases=current(StateSection.LEASES, self.leases),
            drains=current(StateSection.DRAINS, self.drains),
            values=current(StateSection.VALUES, self.values),
            members=current(StateSection.MEMBERS, self.members),
        )


def _current_rows(
    subscription: Subscription,
    section: StateSection,
    table: Mapping[str, RowT],
    keys: Iterable[str],
) -> dict[str, RowT | None]:
    rows: dict[str, RowT | None] = {}
    for key in keys:
        row = table.get(key)
        is_included = row is not None and subscription.includes(section, key, _zone_of(row))
        rows[key] = row if is_included else None
    return rows


def _zone_of(row: Row) -> str:
    """The zone of the proxy that a row describes; empty for other rows."""
    if isinstance(row, Member):
        return row.zone
    if isinstance(row, Lease):
        return row.info.get("zone", "")
    return ""
