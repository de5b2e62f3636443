"""The open client connections by state, each in the order in which they entered it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mothstall.net.client_side.connection_states import ConnectionState

if TYPE_CHECKING:
    from mothstall.net.client_side.connection import Connection


class ConnectionTable:
    """Which connections are in which state.

    Attributes:
        by_state: For each state its connections, in the order in which they entered it.
    """

    def __init__(self) -> None:
        self.by_state: tuple[dict[Connection, None], ...] = tuple({} for _ in ConnectionState)

    def add(self, connection: Connection) -> None:
        """Add a connection to its present state."""
        self.by_state[connection.state][connection] = None

    def remove(self, connection: Connection) -> None:
        """Take a connection out of its present state; no effect if it is not there."""
        self.by_state[connection.state].pop(connection, None)

    def oldest(self, state: ConnectionState) -> Connection | None:
        """Return the connection that has been in `state` for the longest time, if any is."""
        return next(iter(self.by_state[state]), None)

    def counts(self) -> dict[str, int]:
        """Count the connections of each state that has any, by its name in lower case."""
        return {
            state.name.lower(): len(self.by_state[state])
            for state in ConnectionState
            if self.by_state[state]
        }
