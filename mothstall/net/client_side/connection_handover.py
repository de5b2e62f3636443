"""Hands over idle connections and partly sent responses to the successor process."""

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

# The position in the chunked coding of the backend's response: see ChunkedDecoder.
ChunkedPosition = tuple[int, int, bytes] | None
# Arguments: descriptor of the client; descriptor of the backend (None if the backend has sent the
# whole response); number of bytes that the backend still has to send (None if unknown); position in
# the backend's chunked coding; whether the client gets chunks; encoded bytes that are not sent to
# the client yet; buffered parts of the body.
GiveResponse = Callable[
    [int, int | None, int | None, ChunkedPosition, bool, bytes, list[bytes]], bool
]
# Arguments: descriptor of a client, whether no input was received yet, time in its state (seconds).
GiveConnection = Callable[[int, bool, float], bool]


@dataclass(frozen=True)
class HandoverTarget:
    """Sends connections to the successor; both functions return whether the message was sent.

    Attributes:
        give_connection: Sends a connection without an open request.
        give_response: Sends a long response that is being relayed.
    """

    give_connection: GiveConnection
    give_response: GiveResponse


class ConnectionHandover:
    """Hands over the connections of a table to the successor."""

    def __init__(
        self,
        table: ConnectionTable,
        target: HandoverTarget,
        loop: asyncio.AbstractEventLoop,
        counters: Counters,
        phases: Lifecycle,
    ) -> None:
        """Hand over connections of `table` to `target`."""
        self._table = table
        self._target = target
        self._loop = loop
        self._counters = counters
        self._phases = phases

    def hand_over(self, connection: Connection) -> bool:
        """Hand over a connection without an open request; False if it stays with this process."""
        transport = connection.transport
        if (
            transport is None
            or transport.get_write_buffer_size()
            or connection.has_pipelined_input()
        ):
            return False
        sock = transport.get_extra_info("socket")
        transport.pause_reading()  # further input waits in the kernel
        is_new = connection.state == ConnectionState.NEW
        age_s = self._loop.time() - connection.state_since_s
        if not self._target.give_connection(sock.fileno(), is_new, age_s):
            transport.resume_reading()
            return False
        self._counters.add("clients_handed_over")
        connection.release()
        return True

    def hand_over_idle(self) -> None:
        """Hand over all connections without an open request."""
        for state in (ConnectionState.IDLE, ConnectionState.NEW):
            for connection in list(self._table.by_state[state]):
                self.hand_over(connection)

    def hand_over_responses(self) -> None:
        """Hand over the long responses that are partly sent, with their unsent bytes."""
        states = [ConnectionState.RELAYING]
        if self._phases.phase is Phase.STOPPING:
            states += [ConnectionState.LINGERING, ConnectionState.IDLE]
        for state in states:
            for connection in list(self._table.by_state[state]):
                self._hand_over_response(connection)

    def resume_responses(self) -> None:
        """Resume the responses that were paused for a successor that is gone."""
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
            return  # this process closes the truncated response
        stream.freeze()
        encoded = unsent_bytes(transport)
        if encoded is None:
            return  # the next sweep tries again
        source = stream.source
        position: tuple[int | None, int | None, ChunkedPosition] | None = None
        if stream.has_ended:
            # The backend has sent the complete response, though the client may not have read all of
            # it.
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
        """Hand over a connection whose response is complete, but not sent completely.

        Guards against the loss of the response's last bytes when this process ends.
        """
        encoded = unsent_bytes(transport)
        if not encoded:
            return
        client = transport.get_extra_info("socket").fileno()
        if self._target.give_response(client, None, 0, None, False, encoded, []):
            self._counters.add("answers_handed_over")
            connection.release()
