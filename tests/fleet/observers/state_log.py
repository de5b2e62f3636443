"""A replicated state and the changes that tests apply to it."""

from __future__ import annotations

import msgspec

from mothstall.store.state.changes import (
    AcquireLease,
    Change,
    ChangeResult,
    ExpireLeases,
    MemberJoin,
    MemberLeave,
    OpenSession,
    Proposal,
    UpdateMembers,
)
from mothstall.store.state.machine import StateMachine


class StateLog:
    """A replicated state with a session and the leases of the named observers, and its changes."""

    def __init__(self, *observers: str) -> None:
        self.state, self.index = StateMachine(), 0
        self.apply(OpenSession("lab"))
        self.tokens = {
            name: self.apply(AcquireLease(f"observer/{name}", f"{name}#1", 1000)).token
            for name in observers
        }

    def apply(self, change: Change) -> ChangeResult:
        self.index += 1
        session = 0 if isinstance(change, OpenSession | ExpireLeases) else 1
        data = msgspec.msgpack.encode(Proposal(session, self.index, change))
        return self.state.apply(self.index, data)[1]

    def update_members(
        self, observer: str, *joins: MemberJoin, leaves: tuple[MemberLeave, ...] = ()
    ) -> ChangeResult:
        return self.apply(
            UpdateMembers(f"observer/{observer}", self.tokens[observer], joins, leaves)
        )

    def expire_lease(self, observer: str) -> None:
        self.apply(ExpireLeases(((f"observer/{observer}", self.tokens[observer]),)))

    def observer_of(self, name: str) -> str:
        row = self.state.members.get(name)
        return row.lease.removeprefix("observer/") if row else ""
