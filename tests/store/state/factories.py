"""A state machine with an open session, for tests that apply a series of changes."""

from __future__ import annotations

import msgspec

from mothstall.store.state.changes import (
    KEEPER_SESSION,
    Change,
    ChangeResult,
    ExpireLeases,
    OpenSession,
    Proposal,
)
from mothstall.store.state.machine import StateMachine


class AppliedLog:
    """A log whose entries are applied as soon as they are added.

    Attributes:
        state: The state machine.
        session: Number of an open session.
    """

    def __init__(self) -> None:
        self.state = StateMachine()
        self.session = self.open_session()
        self._sequence_number = 0

    def open_session(self) -> int:
        """Returns the number of a new session."""
        return self.apply(Proposal(KEEPER_SESSION, 9, OpenSession("a"))).token

    def apply(self, proposal: Proposal) -> ChangeResult:
        """Applies a proposal as the next entry."""
        index = self.state.applied_index + 1
        return self.state.apply(index, msgspec.msgpack.encode(proposal))[1]

    def change(self, change: Change) -> ChangeResult:
        """Applies the session's next change."""
        self._sequence_number += 1
        return self.apply(Proposal(self.session, self._sequence_number, change))

    def expire(self, name: str, token: int) -> ChangeResult:
        """Applies a keeper's entry that a lease has expired."""
        return self.apply(Proposal(KEEPER_SESSION, 0, ExpireLeases(((name, token),))))
