"""Checks every client connection in the proxy's tests against the table of state transitions."""

from __future__ import annotations

from collections.abc import Generator

import pytest

from mothstall.net.client_side.connection import Connection
from mothstall.net.client_side.connection_states import (
    HAS_OPEN_EXCHANGE,
    TRANSITIONS,
    ConnectionState,
)

Edge = tuple[ConnectionState | None, ConnectionState]

EDGES: frozenset[Edge] = frozenset((row.source, row.target) for row in TRANSITIONS)


@pytest.fixture(autouse=True)
def state_changes(monkeypatch: pytest.MonkeyPatch) -> Generator[list[Edge], None, None]:
    """Records the state changes of all connections; fails the test if one is not in the table.

    Also fails the test if a connection keeps its exchange in a state that allows no open exchange.
    """
    recorded: list[Edge] = []
    left_open: list[ConnectionState] = []
    enter = Connection.enter

    def record(connection: Connection, state: ConnectionState) -> None:
        is_accepted = connection.state is state is ConnectionState.NEW
        recorded.append((None if is_accepted else connection.state, state))
        enter(connection, state)
        if connection.exchange is not None and state not in HAS_OPEN_EXCHANGE:
            left_open.append(state)

    monkeypatch.setattr(Connection, "enter", record)
    yield recorded
    assert set(recorded) <= EDGES
    assert not left_open
