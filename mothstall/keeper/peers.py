"""Connections from this keeper to the other keepers."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable

import msgspec

from mothstall.config import Address
from mothstall.fleet.operator_config import KeeperConfig
from mothstall.serving.frame_server import FrameServer
from mothstall.store.protocol.connection import FrameConnection
from mothstall.store.protocol.frames import PeerRole
from mothstall.store.raft.messages import Message

DIAL_TIMEOUT_S = 1.0
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0

MakeConnection = Callable[[], FrameConnection]


class PeerConnection:
    """The connection to one other keeper, which is dialled again with backoff when it is lost.

    A message that cannot be sent is dropped: Raft retransmits, and proxies send new reports.
    """

    def __init__(
        self,
        name: str,
        address: Address,
        server: FrameServer,
        loop: asyncio.AbstractEventLoop,
        max_unsent_bytes: int,
    ) -> None:
        self.name = name
        self._address = address
        self._server = server
        self._loop = loop
        self._max_unsent_bytes = max_unsent_bytes
        self._rng = random.Random(name)
        self._connection: FrameConnection | None = None
        self._lost = asyncio.Event()
        self._task = loop.create_task(self._keep_connected())

    @property
    def is_connected(self) -> bool:
        """Whether both sides have completed the greeting."""
        return self._connection is not None

    def send(self, payload: bytes) -> None:
        """Send an encoded message; drop it if the peer is not connected or its buffer is full."""
        connection = self._connection
        if connection is not None and connection.unsent_bytes < self._max_unsent_bytes:
            connection.send(payload)

    def close(self) -> None:
        """Stop dialling and close the connection."""
        self._task.cancel()
        if self._connection:
            self._connection.close("the keeper is stopping")

    async def _keep_connected(self) -> None:
        backoff_s = MIN_BACKOFF_S
        while True:
            self._lost.clear()
            try:
                async with asyncio.timeout(DIAL_TIMEOUT_S):
                    await self._loop.create_connection(
                        self._make_connection, self._address.host, self._address.port
                    )
                await self._lost.wait()
                backoff_s = MIN_BACKOFF_S
            except (OSError, TimeoutError):
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
            await asyncio.sleep(backoff_s * (0.5 + self._rng.random()))

    def _make_connection(self) -> FrameConnection:
        return self._server.make_connection(
            is_dialer=True, greeted=self._on_greeted, closed=self._on_closed
        )

    def _on_greeted(self, connection: FrameConnection) -> None:
        if connection.peer != self.name or connection.role != PeerRole.KEEPER:
            connection.close(f"the peer is {connection.peer}, not keeper {self.name}")
            return
        self._connection = connection

    def _on_closed(self, connection: FrameConnection, _reason: str) -> None:
        if self._connection is connection or self._connection is None:
            self._connection = None
            self._lost.set()


class PeerConnections:
    """The connections to all other keepers of the operator file, by name."""

    def __init__(self, keepers: Iterable[KeeperConfig], max_unsent_bytes: int) -> None:
        """Initialize the connections to these keepers; `start` dials them."""
        self._configs = {config.name: config for config in keepers}
        self._max_unsent_bytes = max_unsent_bytes
        self._peers: dict[str, PeerConnection] = {}

    def start(self, server: FrameServer) -> None:
        """Start to dial; `server` makes the connections and counts their bytes."""
        loop = asyncio.get_running_loop()
        for name, config in self._configs.items():
            self._peers[name] = PeerConnection(
                name, config.parsed_address, server, loop, self._max_unsent_bytes
            )

    def __contains__(self, name: str) -> bool:
        return name in self._configs

    def send_messages(self, messages: Iterable[Message]) -> None:
        """Send Raft messages to their recipients."""
        for message in messages:
            peer = self._peers.get(message.recipient)
            if peer is not None:
                peer.send(msgspec.msgpack.encode(message))

    def broadcast(self, payload: bytes) -> None:
        """Send one encoded message to all peers."""
        for peer in self._peers.values():
            peer.send(payload)

    def connected_names(self) -> list[str]:
        """Return the sorted names of the connected peers."""
        return sorted(name for name, peer in self._peers.items() if peer.is_connected)

    def close(self) -> None:
        """Close all connections and stop dialling."""
        for peer in self._peers.values():
            peer.close()
