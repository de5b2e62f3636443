"""The client connection budget: sheds connections so that new clients find a free descriptor."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Collection

from mothstall.net.client_side.acceptor import ACCEPT_PAUSE_S
from mothstall.net.client_side.connection import FIRST_REQUEST_S, Connection
from mothstall.net.client_side.connection_states import ConnectionState
from mothstall.net.client_side.connection_table import ConnectionTable
from mothstall.net.counters import Counters

# Once this fraction of the budget is used, each response ends its connection.
KEEP_ALIVE_FRACTION = 0.5
# Connections are shed until this fraction of the budget, and at least MIN_SPARE connections, is
# free or being closed.
SPARE_FRACTION = 1 / 16
MIN_SPARE = 4
# Shedding is urgent once new clients have waited this long: connections that have been idle only
# briefly are shed, too.
URGENT_AFTER_S = 0.1
# Once the budget is used up, a lingering close is aborted after this time.
LINGER_GRACE_S = 0.05
URGENT_LINGER_GRACE_S = ACCEPT_PAUSE_S  # LINGER_GRACE_S when shedding is urgent
# Times in a state after which a connection may be shed.
SHED_NEW_S = FIRST_REQUEST_S
SHED_INCOMPLETE_S = 0.5
SHED_IDLE_S = 2.0
SHED_URGENT_S = 0.05


class ConnectionBudget:
    """Keeps the number of client connections below a maximum.

    Attributes:
        max_connections: The maximum.
        spare: Number of connections that are kept free or being closed.
        waiting_since: Loop time at which new clients began to wait for a free connection; None if
            no client waits.
        has_aborted: Whether the last call of `has_capacity` aborted a connection.
    """

    def __init__(
        self,
        max_connections: int,
        table: ConnectionTable,
        accepted: Collection[object],
        accepting: Collection[object],
        loop: asyncio.AbstractEventLoop,
        counters: Counters,
    ) -> None:
        """Limit the `accepted` connections together with those being set up (`accepting`)."""
        self.max_connections = max_connections
        self.spare = max(MIN_SPARE, int(max_connections * SPARE_FRACTION))
        self._table = table
        self._accepted = accepted
        self._accepting = accepting
        self._loop = loop
        self._counters = counters
        self.waiting_since: float | None = None
        self.has_aborted = False

    def has_capacity(self) -> bool:
        """Return whether one more connection may be accepted; shed others if few are free.

        A connection that was just closed still has its descriptor, and counts until
        `connection_lost`. Guards against running out of descriptors.
        """
        open_count = len(self._accepted) + len(self._accepting)
        self.has_aborted = False
        if open_count >= self.max_connections - self.spare:
            self._shed(open_count)
        return open_count < self.max_connections

    def _shed(self, open_count: int) -> None:
        """Shed connections until the spare ones are free or being closed.

        Linear in the number of spare connections. Guards against misbehaving clients that hoard
        connections, against closing a connection in use, and against closing a connection while a
        request is in transit, which the client would see as a reset.
        """
        now = self._loop.time()
        is_urgent = self.waiting_since is not None and now - self.waiting_since > URGENT_AFTER_S
        by_state = self._table.by_state
        closing = [by_state[s] for s in (ConnectionState.REJECTED, ConnectionState.LINGERING)]
        excess = open_count - (self.max_connections - self.spare)
        for connection in self._select(now, is_urgent, excess - sum(map(len, closing))):
            self._counters.add("connections_shed")
            connection.shed()
        if open_count < self.max_connections:
            return
        candidates = sorted(itertools.chain(*closing), key=Connection.has_unread_response)
        grace_s = URGENT_LINGER_GRACE_S if is_urgent else LINGER_GRACE_S
        for connection in candidates[: self.spare]:
            age_s = now - connection.state_since_s
            if age_s >= grace_s and (is_urgent or not connection.has_unread_response()):
                connection.abort()
                self.has_aborted = True

    def _select(self, now: float, is_urgent: bool, count: int) -> list[Connection]:
        """Select at most `count` connections to shed.

        The order is: connections on which nothing was received, those whose request was rejected,
        those idle for 2 s, and those with an incomplete request. Connections that entered their
        state more recently are shed only if shedding is urgent.
        """
        min_ages = [(ConnectionState.NEW, SHED_NEW_S), (ConnectionState.PENALIZED, 0.0)]
        min_ages += [
            (ConnectionState.IDLE, SHED_IDLE_S),
            (ConnectionState.READING_HEAD, SHED_INCOMPLETE_S),
            (ConnectionState.READING_BODY, SHED_INCOMPLETE_S),
        ]
        if is_urgent:
            min_ages += [
                (ConnectionState.NEW, SHED_URGENT_S),
                (ConnectionState.READING_HEAD, SHED_URGENT_S),
                (ConnectionState.READING_BODY, SHED_URGENT_S),
                (ConnectionState.IDLE, SHED_URGENT_S),
            ]
        selected: dict[Connection, None] = {}
        for state, min_age_s in min_ages:
            for connection in self._table.by_state[state]:
                if len(selected) >= count:
                    return list(selected)
                if now - connection.state_since_s < min_age_s:
                    break  # the others entered this state later
                selected[connection] = None
        return list(selected)

    def abort_one(self) -> None:
        """Abort one connection at once: accepting failed, probably for lack of descriptors."""
        for state in (
            ConnectionState.REJECTED,
            ConnectionState.LINGERING,
            ConnectionState.NEW,
            ConnectionState.PENALIZED,
            ConnectionState.IDLE,
        ):
            oldest = self._table.oldest(state)
            if oldest is not None:
                self._counters.add("connections_shed")
                oldest.abort()
                return

    def is_under_pressure(self) -> bool:
        """Return whether each response ends its connection, so that new clients can connect.

        Guards against clients that send one request and keep their connection open: their
        connections are closed long before the proxy runs out of connections.
        """
        # Connections in a lingering close can be aborted at once.
        lingering = self._table.by_state[ConnectionState.LINGERING]
        return len(self._accepted) - len(lingering) >= KEEP_ALIVE_FRACTION * self.max_connections
