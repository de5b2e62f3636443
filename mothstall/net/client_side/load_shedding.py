"""The budget of client connections: which are shed so that newcomers find a free descriptor."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Collection

from mothstall.net.client_side.acceptor import ACCEPT_PAUSE_S
from mothstall.net.client_side.connection import FIRST_REQUEST_S, Connection
from mothstall.net.client_side.connection_states import ConnectionState
from mothstall.net.client_side.connection_table import ConnectionTable
from mothstall.net.counters import Counters

# From this part of the budget on a response is the last of its connection.
KEEP_ALIVE_FRACTION = 0.5
# This part of the budget, and at least so many connections, is free or being closed.
SPARE_FRACTION = 1 / 16
MIN_SPARE = 4
URGENT_AFTER_S = (
    0.1  # newcomers wait so long before connections that are idle for a moment are shed
)
# A lingering close gets so long under pressure, if newcomers need not wait longer for it.
LINGER_GRACE_S = 0.05
URGENT_LINGER_GRACE_S = ACCEPT_PAUSE_S  # the same when newcomers have waited for too long
# Ages in a state from which a connection may be shed.
SHED_NEW_S = FIRST_REQUEST_S
SHED_INCOMPLETE_S = 0.5
SHED_IDLE_S = 2.0
SHED_URGENT_S = 0.05


class ConnectionBudget:
    """Keeps the number of client connections below a maximum.

    Attributes:
        max_connections: The maximum.
        spare: So many connections are kept free, or being closed.
        waiting_since: Since when newcomers wait for a free connection (loop time), if they do.
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
        """Watch over `accepted` connections and those that are still `accepting`."""
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
        """Tell whether one more connection fits in, after shedding others if few are left.

        Guards against running out of descriptors: others are shed, or newcomers wait.

        What was closed a moment ago still holds its descriptor, and counts until it is gone.
        """
        open_count = len(self._accepted) + len(self._accepting)
        self.has_aborted = False
        if open_count >= self.max_connections - self.spare:
            self._shed(open_count)
        return open_count < self.max_connections

    def _shed(self, open_count: int) -> None:
        """See to it that the spare connections are free or being closed.

        Linear in that number. Guards against bad clients that hoard connections, against closing a
        usual one at work, and against a close over bytes that cross it, which its client would see
        as a reset.
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
        """Choose at most `count` to shed.

        First those that never sent a request; one that was served only after 2 s, unless newcomers
        have waited for too long.
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
                    break  # the others came into this state later
                selected[connection] = None
        return list(selected)

    def abort_one(self) -> None:
        """Abort one connection at once, for want of a descriptor in spite of the budget."""
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
        """Tell whether a response is the last of its connection, to make room for newcomers.

        Guards against clients that send one request and hold their connection: they run out of
        connections themselves long before the proxy does.
        """
        # Those in a lingering close can be ended at once.
        lingering = self._table.by_state[ConnectionState.LINGERING]
        return len(self._accepted) - len(lingering) >= KEEP_ALIVE_FRACTION * self.max_connections
