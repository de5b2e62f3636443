"""The frame connections of one process.

`FrameServer` accepts connections of clients, and also creates the connections that the process
dials, so that the bytes of both are counted in one place.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol
from weakref import WeakSet

import msgspec

from mothstall.config import parse_address
from mothstall.store.protocol.connection import FrameConnection
from mothstall.store.protocol.frames import PeerRole

Greeted = Callable[[FrameConnection], None]
Closed = Callable[[FrameConnection, str], None]


@dataclass(frozen=True, slots=True)
class FrameIdentity:
    """How a process identifies itself to its peers.

    Attributes:
        cluster: Name of the cluster; peers of other clusters are rejected.
        key: Shared key of the cluster; empty without one.
        name: Name of this process in greetings.
        role: Role of this process in greetings.
    """

    cluster: str
    key: bytes
    name: str
    role: PeerRole


@dataclass(frozen=True, slots=True)
class ListenConfig:
    """The address on which a process listens, and the peers that it admits.

    Attributes:
        address: `HOST:PORT`; port 0 lets the kernel choose.
        backlog: Number of connections that the kernel queues until they are accepted.
        max_clients: Maximum of admitted connections; further ones are closed after the greeting.
        client_roles: Roles that are admitted; None admits all.
    """

    address: str
    backlog: int
    max_clients: int
    client_roles: frozenset[PeerRole] | None = None


class ConnectionHandler(Protocol):
    """Callbacks of a process for the connections of its `FrameServer`."""

    def message_received(self, connection: FrameConnection, payload: bytes) -> None:
        """Handle one payload of any connection, including dialled ones.

        Raises:
            ValueError: The payload cannot be read or must not be sent; the connection is closed.
        """

    def client_disconnected(self, connection: FrameConnection) -> None:
        """Handle the end of an accepted connection, including one that was never admitted."""


class FrameServer:
    """Accepts frame connections and counts the bytes of all connections of the process.

    Attributes:
        port: The listening port; 0 before `start`.
        clients: Accepted connections that were admitted after their greeting.
    """

    def __init__(
        self,
        identity: FrameIdentity,
        handler: ConnectionHandler,
        counts: dict[str, int],
        log: logging.Logger,
        config: ListenConfig,
    ) -> None:
        """Prepare the server; nothing is bound before `start`.

        Args:
            identity: How this process identifies itself to its peers.
            handler: Receives payloads and closed connections.
            counts: Counters of the process; the server updates `bytes_in`, `bytes_out`,
                `frames_unreadable`, and `links_turned_away` if the process has this counter.
            log: Logger of the process.
            config: The address to bind, and the limits for admitted peers.
        """
        self.port = 0
        self.clients: set[FrameConnection] = set()
        self._identity = identity
        self._handler = handler
        self._counts = counts
        self._log = log
        self._config = config
        self._open: WeakSet[FrameConnection] = WeakSet()  # accepted and dialled ones
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on the configured address.

        Raises:
            OSError: The address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        address = parse_address(self._config.address)
        self._server = await loop.create_server(
            self._accept, address.host, address.port, backlog=self._config.backlog
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def stop_listening(self) -> None:
        """Accept no further connections; open connections stay open."""
        if self._server:
            self._server.close()

    def forget_client(self, connection: FrameConnection) -> None:
        """Remove an admitted connection from `clients` before it is closed."""
        self.clients.discard(connection)

    def close_clients(self, reason: str) -> None:
        """Close all admitted connections."""
        for connection in list(self.clients):
            connection.close(reason)

    def make_connection(
        self, *, is_dialer: bool, greeted: Greeted, closed: Closed
    ) -> FrameConnection:
        """Create the protocol object of a connection whose bytes are counted."""

        def count_and_close(connection: FrameConnection, reason: str) -> None:
            self._counts["bytes_in"] += connection.received_bytes
            self._counts["bytes_out"] += connection.sent_bytes
            self._open.discard(connection)
            closed(connection, reason)

        connection = FrameConnection(
            self._identity.cluster,
            self._identity.key,
            self._identity.name,
            self._identity.role,
            is_dialer=is_dialer,
            on_connected=greeted,
            on_payload=self._receive,
            on_closed=count_and_close,
        )
        self._open.add(connection)
        return connection

    def counts_with_open_connections(self) -> dict[str, int]:
        """Return the counters of the process, including the bytes of open connections."""
        counts = dict(self._counts)
        for connection in self._open:
            counts["bytes_in"] += connection.received_bytes
            counts["bytes_out"] += connection.sent_bytes
        return counts

    def _accept(self) -> FrameConnection:
        return self.make_connection(
            is_dialer=False, greeted=self._admit, closed=self._client_closed
        )

    def _admit(self, connection: FrameConnection) -> None:
        reason = self._reason_to_reject(connection)
        if not reason:
            self.clients.add(connection)
            return
        if "links_turned_away" in self._counts:
            self._counts["links_turned_away"] += 1
        connection.close(reason)

    def _reason_to_reject(self, connection: FrameConnection) -> str:
        if len(self.clients) >= self._config.max_clients:
            return "too many connections"
        roles = self._config.client_roles
        if roles is not None and connection.role not in roles:
            return f"a {connection.role} is not served here"
        return ""

    def _client_closed(self, connection: FrameConnection, _reason: str) -> None:
        self.clients.discard(connection)
        self._handler.client_disconnected(connection)

    def _receive(self, connection: FrameConnection, payload: bytes) -> None:
        try:
            self._handler.message_received(connection, payload)
        except (msgspec.DecodeError, ValueError) as error:
            self._counts["frames_unreadable"] += 1
            self._log.warning(
                "payload rejected", extra={"kv": {"peer": connection.peer, "reason": error}}
            )
            connection.close("the payload cannot be read")


def send_message(connection: FrameConnection, message: Any) -> bool:
    """Encode and send a message; False if the connection did not accept it."""
    return connection.send(msgspec.msgpack.encode(message))
