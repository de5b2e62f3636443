"""The open client connections by state, each in the order in which they entered it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mothstall.net.client_side.connection_states import ConnectionState

if TYPE_CHECKING:
    from mothstall.net.client_side.connection import Connection


class ConnectionTable:
    """The open client connections, grouped by state.

    Attributes:
        by_state: For each state its connections, in the order in which they entered it.
    """

    def __init__(self) -> None:
        self.by_state: tuple[dict[Connection, None], ...] = tuple({} for _ in ConnectionState)

    def add(self, connection: Connection) -> None:
        """Add a connection under its current state."""
        self.by_state[connection.state][connection] = None

    def remove(self, connection: Connection) -> None:
        """Remove a connection from its current state; no effect if it is not there."""
        self.by_state[connection.state].pop(connection, None)

    def oldest(self, state: ConnectionState) -> Connection | None:
        """Return the connection that has been in `state` the longest, if any."""
        return next(iter(self.by_state[state]), None)

    def counts(self) -> dict[str, int]:
        """Return the number of connections by lower-case state name, without empty states."""
        return {
            state.name.lower(): len(self.by_state[state])
            for state in ConnectionState
            if self.by_state[state]
        }
