"""Handing over to the process that takes over: idle connections, long responses midway."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from mothstall.net.backend_side.connection import BackendConnection
from mothstall.net.client_side.connection import Connection
from mothstall.net.client_side.connection_states import ConnectionState
from mothstall.net.client_side.connection_table import ConnectionTable
from mothstall.net.client_side.open_exchange import ExchangeEnd
from mothstall.net.counters import Counters
from mothstall.net.lifecycle import Lifecycle, Phase
from mothstall.net.listener import unsent_bytes

# The backend's position within its chunked coding: see ChunkedDecoder.
ChunkedPosition = tuple[int, int, bytes] | None
# Arguments: descriptors of a client and its backend (none: it owes nothing), how many bytes the
# backend owes, its position in its chunks, whether the client gets chunks, what is encoded for it
# already, and what is buffered.
GiveResponse = Callable[
    [int, int | None, int | None, ChunkedPosition, bool, bytes, list[bytes]], bool
]
# Arguments: descriptor of a client, whether nothing came on it yet, its age in seconds.
GiveConnection = Callable[[int, bool, float], bool]


@dataclass(frozen=True)
class HandoverTarget:
    """How connections are given to the process that takes over; both return whether it took them.

    Attributes:
        give_connection: Gives a connection on which nothing is open.
        give_response: Gives a long response.
    """

    give_connection: GiveConnection
    give_response: GiveResponse


class ConnectionHandover:
    """Gives the connections of a table to the process that takes over."""

    def __init__(
        self,
        table: ConnectionTable,
        target: HandoverTarget,
        loop: asyncio.AbstractEventLoop,
        counters: Counters,
        phases: Lifecycle,
    ) -> None:
        """Give connections of `table` to `target`."""
        self._table = table
        self._target = target
        self._loop = loop
        self._counters = counters
        self._phases = phases

    def hand_over(self, connection: Connection) -> bool:
        """Give a connection on which nothing is open to the process that took over."""
        transport = connection.transport
        if (
            transport is None
            or transport.get_write_buffer_size()
            or connection.has_pipelined_input()
        ):
            return False
        sock = transport.get_extra_info("socket")
        transport.pause_reading()  # what comes from now on waits in the kernel
        is_new = connection.state == ConnectionState.NEW
        age_s = self._loop.time() - connection.state_since_s
        if not self._target.give_connection(sock.fileno(), is_new, age_s):
            transport.resume_reading()
            return False
        self._counters.add("clients_handed_over")
        connection.release()
        return True

    def hand_over_idle(self) -> None:
        """Give all connections on which nothing is open."""
        for state in (ConnectionState.IDLE, ConnectionState.NEW):
            for connection in list(self._table.by_state[state]):
                self.hand_over(connection)

    def hand_over_responses(self) -> None:
        """Give the long responses that are midway, their buffers empty."""
        states = [ConnectionState.RELAYING]
        if self._phases.phase is Phase.STOPPING:
            states += [ConnectionState.LINGERING, ConnectionState.IDLE]
        for state in states:
            for connection in list(self._table.by_state[state]):
                self._hand_over_response(connection)

    def resume_responses(self) -> None:
        """Go on with what waited for the process that took over, which is gone."""
        for connection in list(self._table.by_state[ConnectionState.RELAYING]):
            if connection.relay is not None:
                connection.relay.stream.thaw()

    def _hand_over_response(self, connection: Connection) -> None:
        transport = connection.transport
        if transport is None:
            return
        if connection.relay is None:
            self._hand_over_unsent_bytes(connection, transport)
            return
        stream = connection.relay.stream
        if stream.is_truncated:
            return  # it ends here, as cut
        stream.freeze()
        encoded = unsent_bytes(transport)
        if encoded is None:
            return  # the next sweep tries again
        source = stream.source
        position: tuple[int | None, int | None, ChunkedPosition] | None = None
        if stream.has_ended:
            # Of a response that came complete nothing is owed, however much its client has still to
            # take.
            position = (None, 0, None)
        elif isinstance(source, BackendConnection):
            position = source.handover_position()
        if position is None:
            stream.thaw()
            return
        backend, remaining, chunk_position = position
        client = transport.get_extra_info("socket").fileno()
        is_chunked = connection.relay.is_chunked
        if not self._target.give_response(
            client, backend, remaining, chunk_position, is_chunked, encoded, stream.buffered
        ):
            stream.thaw()
            return
        self._counters.add("answers_handed_over")
        stream.abandon()
        connection.end_exchange(ExchangeEnd.RELAYED)
        if isinstance(source, BackendConnection):
            source.sink_closed()
        connection.release()

    def _hand_over_unsent_bytes(self, connection: Connection, transport: asyncio.Transport) -> None:
        """Guards against a slow reader whose last bytes would go down with this process."""
        encoded = unsent_bytes(transport)
        if not encoded:
            return
        client = transport.get_extra_info("socket").fileno()
        if self._target.give_response(client, None, 0, None, False, encoded, []):
            self._counters.add("answers_handed_over")
            connection.release()
