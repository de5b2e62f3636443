"""The replicated state machine: all replicas reach the same state by applying the same log. Pure.

A change is made completely or not at all. The same code checks it twice: before it is proposed, and
when it is applied; only the second result counts. Fencing tokens increase across all leases, so
that a name which is leased again gets a greater token although its former lease is not kept. A
write is rejected unless it carries the *current* token of its lease (Kleppmann, "How to do
distributed locking", 2016; sequencers of Burrows, "The Chubby lock service", 2006). The state
machine has no clock: the expiry of a lease is a log entry like any other.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

import msgspec

from mothstall.store.state import membership, validation
from mothstall.store.state.changes import (
    KEEPER_SESSION,
    UNKNOWN_SESSION,
    AcquireLease,
    Change,
    ChangeResult,
    ExpireLeases,
    OpenSession,
    Proposal,
    PutDrain,
    PutValue,
    ReleaseLease,
    RemoveDrain,
    RenewLeases,
    RevokeLease,
    UpdateMembers,
)
from mothstall.store.state.limits import MAX_RECENT_CHANGES, MAX_SESSIONS
from mothstall.store.state.rows import (
    Drain,
    Lease,
    Member,
    StateDelta,
    StateSection,
    StoredValue,
    drain_key,
)
from mothstall.store.state.snapshot import Session, StateImage, decode_image, encode_image
from mothstall.store.state.tables import StateTables

RecentChange = tuple[int, StateSection, str]
"""A changed row: the version that the change led to, the row's table and its key.

A plain tuple, as thousands of them are created and read to serve watches.
"""


def _recent_changes() -> deque[RecentChange]:
    return deque(maxlen=MAX_RECENT_CHANGES)


@dataclass(slots=True)
class StateMachine:
    """The replicated state of one replica.

    Attributes:
        applied_index: The last log entry that was applied.
        version: Grows by one with each row that a change modifies.
        last_token: The greatest fencing token that was issued.
        tables: All rows that readers see.
        sessions: Sessions by number, the longest idle one first.
        recent_changes: The rows that the latest changes modified, oldest first.
        check_token_on_apply: Whether writes with a stale fencing token are rejected; only tests
            disable the check.
        check_epoch_on_apply: Whether stale attachments of a proxy are rejected; only tests disable
            the check.
    """

    applied_index: int = 0
    version: int = 0
    last_token: int = 0
    tables: StateTables = field(default_factory=StateTables)
    sessions: OrderedDict[int, Session] = field(default_factory=OrderedDict)
    recent_changes: deque[RecentChange] = field(default_factory=_recent_changes)
    check_token_on_apply: bool = True
    check_epoch_on_apply: bool = True

    @property
    def leases(self) -> dict[str, Lease]:
        """Leases by name."""
        return self.tables.leases

    @property
    def drains(self) -> dict[str, Drain]:
        """Drains by `drain_key`."""
        return self.tables.drains

    @property
    def values(self) -> dict[str, StoredValue]:
        """Values by key."""
        return self.tables.values

    @property
    def members(self) -> dict[str, Member]:
        """Attached proxies by name."""
        return self.tables.members

    def is_lease_current(self, name: str, token: int) -> bool:
        """Whether the lease is held and its current fencing token is `token`."""
        return self.tables.is_lease_current(name, token)

    # Changes

    def rejection_reason(self, change: Change) -> str:
        """Returns why a change is rejected; an empty string if it is accepted."""
        return validation.rejection_reason(
            change, self.tables, check_token=self.check_token_on_apply
        )

    def apply(self, index: int, data: bytes) -> tuple[Proposal | None, ChangeResult]:
        """Applies one committed log entry.

        An entry that cannot be decoded changes no row, on any replica.

        Args:
            index: Index of the entry.
            data: An encoded `Proposal`.

        Returns:
            The proposal, or None if it cannot be decoded, and its result.
        """
        self.applied_index = index
        try:
            proposal = msgspec.msgpack.decode(data, type=Proposal)
        except (msgspec.DecodeError, ValueError):
            return None, ChangeResult(rejected_reason="the change cannot be read")
        return proposal, self._apply_proposal(index, proposal)

    def _apply_proposal(self, index: int, proposal: Proposal) -> ChangeResult:
        change = proposal.change
        if isinstance(change, OpenSession):
            return self._open_session(index)
        if proposal.session == KEEPER_SESSION:
            if isinstance(change, ExpireLeases):
                return self._apply_change(change)
            return ChangeResult(rejected_reason="only terms end outside a session")
        if isinstance(change, ExpireLeases):
            return ChangeResult(rejected_reason="terms end by a keeper's word alone")
        return self._apply_in_session(proposal)

    def _open_session(self, index: int) -> ChangeResult:
        """Opens a session whose number is the entry's index; evicts the longest idle if needed."""
        self.sessions[index] = Session(0, ChangeResult())
        while len(self.sessions) > MAX_SESSIONS:
            self.sessions.popitem(last=False)
        return ChangeResult(token=index)

    def _apply_in_session(self, proposal: Proposal) -> ChangeResult:
        """Applies a change once; a repeated one gets the stored result."""
        session = self.sessions.get(proposal.session)
        if session is None:
            return ChangeResult(rejected_reason=UNKNOWN_SESSION)
        if proposal.sequence_number == session.sequence_number:
            return session.result
        if proposal.sequence_number < session.sequence_number:
            return ChangeResult(rejected_reason="an earlier serial")
        result = self._apply_change(proposal.change)
        session.result = msgspec.structs.replace(result, version=self.version)
        session.sequence_number = proposal.sequence_number
        self.sessions.move_to_end(proposal.session)
        return session.result

    def _apply_change(self, change: Change) -> ChangeResult:
        reason = self.rejection_reason(change)
        if reason:
            return self._rejected(change, reason)
        return _APPLIERS[type(change)](self, change)

    def _rejected(self, change: Change, reason: str) -> ChangeResult:
        """Returns a rejection, with the lease's holder if the change names a lease."""
        # The result of a rejected `RemoveDrain` has always named the holder of a lease of the same
        # name, and results are part of snapshots.
        if not isinstance(change, AcquireLease | ReleaseLease | RevokeLease | RemoveDrain):
            return ChangeResult(rejected_reason=reason)
        lease = self.leases.get(change.name)
        if lease is None:
            return ChangeResult(rejected_reason=reason)
        return ChangeResult(rejected_reason=reason, owner=lease.owner, token=lease.token)

    def _acquire_lease(self, change: AcquireLease) -> ChangeResult:
        self.last_token += 1
        lease = Lease(change.name, change.owner, change.duration_ms, self.last_token, change.info)
        self.leases[change.name] = lease
        self._record(StateSection.LEASES, change.name)
        return ChangeResult(token=lease.token, owner=lease.owner)

    def _renew_leases(self, change: RenewLeases) -> ChangeResult:
        lost = [name for name, token in change.leases if not self.is_lease_current(name, token)]
        return ChangeResult(lost_leases=tuple(lost))

    def _end_lease(self, change: ReleaseLease | RevokeLease) -> ChangeResult:
        self._remove_lease(change.name)
        return ChangeResult()

    def _expire_leases(self, change: ExpireLeases) -> ChangeResult:
        for name, token in change.leases:
            if self.is_lease_current(name, token):
                self._remove_lease(name)
        return ChangeResult()

    def _put_value(self, change: PutValue) -> ChangeResult:
        if change.value is None:
            removed = self.values.pop(change.key, None)
            if removed is None:
                return ChangeResult()
        else:
            row = StoredValue(change.key, change.value, change.lease, change.token)
            self.values[change.key] = row
        self._record(StateSection.VALUES, change.key)
        return ChangeResult()

    def _put_drain(self, change: PutDrain) -> ChangeResult:
        key = drain_key(change.drain.kind, change.drain.name)
        self.drains[key] = change.drain
        self._record(StateSection.DRAINS, key)
        return ChangeResult()

    def _remove_drain(self, change: RemoveDrain) -> ChangeResult:
        key = drain_key(change.kind, change.name)
        del self.drains[key]
        self._record(StateSection.DRAINS, key)
        return ChangeResult()

    def _update_members(self, change: UpdateMembers) -> ChangeResult:
        outcome = membership.apply_batch(
            self.members,
            change,
            self.is_lease_current,
            check_joins=self.check_epoch_on_apply,
        )
        for name in outcome.changed_members:
            self._record(StateSection.MEMBERS, name)
        return ChangeResult(lost_leases=tuple(outcome.rejected_joins))

    def _remove_lease(self, name: str) -> None:
        del self.leases[name]
        self._record(StateSection.LEASES, name)

    def _record(self, section: StateSection, key: str) -> None:
        self.version += 1
        self.recent_changes.append((self.version, section, key))

    # Readers and snapshots

    def delta_since(self, version: int) -> StateDelta:
        """Returns the rows that have changed since a reader's version.

        Args:
            version: The version that the reader has; 0 if it has no version.

        Returns:
            The changed rows, or the complete state if the changes since then are no longer kept.
        """
        if not self._remembers_changes_since(version):
            return self.tables.as_delta(self.version)
        leases: dict[str, Lease | None] = {}
        drains: dict[str, Drain | None] = {}
        values: dict[str, StoredValue | None] = {}
        members: dict[str, Member | None] = {}
        # Tables and their changed rows; looked up once, as up to MAX_RECENT_CHANGES rows follow.
        by_section: dict[StateSection, tuple[Mapping[str, Any], dict[str, Any]]] = {
            StateSection.LEASES: (self.leases, leases),
            StateSection.DRAINS: (self.drains, drains),
            StateSection.VALUES: (self.values, values),
            StateSection.MEMBERS: (self.members, members),
        }
        for change_version, section, key in reversed(self.recent_changes):
            if change_version <= version:
                break
            table, changed = by_section[section]
            changed[key] = table.get(key)
        return StateDelta(version, self.version, leases, drains, values, members)

    def _remembers_changes_since(self, version: int) -> bool:
        if version == 0 or version > self.version or not self.recent_changes:
            return False
        oldest_version, _, _ = self.recent_changes[0]
        return version >= oldest_version - 1

    def encode_snapshot(self) -> bytes:
        """Returns the complete state as the data of a snapshot."""
        return encode_image(
            StateImage(
                applied_index=self.applied_index,
                version=self.version,
                last_token=self.last_token,
                sessions=list(self.sessions.items()),
                leases=list(self.leases.values()),
                drains=list(self.drains.values()),
                values=list(self.values.values()),
                members=list(self.members.values()),
            )
        )

    @classmethod
    def from_snapshot(cls, data: bytes) -> StateMachine:
        """Returns the state of a snapshot; empty data is the state before the first entry.

        Raises:
            SnapshotError: The data is not a valid snapshot.
        """
        if not data:
            return cls()
        image = decode_image(data)
        tables = StateTables(
            leases={row.name: row for row in image.leases},
            drains={drain_key(row.kind, row.name): row for row in image.drains},
            values={row.key: row for row in image.values},
            members={row.name: row for row in image.members},
        )
        return cls(
            applied_index=image.applied_index,
            version=image.version,
            last_token=image.last_token,
            tables=tables,
            sessions=OrderedDict(image.sessions),
        )


# `OpenSession` is not listed: it is handled before sessions are looked up.
_APPLIERS: Mapping[type, Callable[[StateMachine, Any], ChangeResult]] = {
    AcquireLease: StateMachine._acquire_lease,
    RenewLeases: StateMachine._renew_leases,
    ReleaseLease: StateMachine._end_lease,
    RevokeLease: StateMachine._end_lease,
    ExpireLeases: StateMachine._expire_leases,
    PutValue: StateMachine._put_value,
    PutDrain: StateMachine._put_drain,
    RemoveDrain: StateMachine._remove_drain,
    UpdateMembers: StateMachine._update_members,
}
