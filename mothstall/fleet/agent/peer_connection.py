"""One connection at a time from a client to a keeper or an observer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from mothstall.config import Address
from mothstall.fleet.operator_config import OperatorConfig
from mothstall.store.protocol.connection import FrameConnection


@dataclass(frozen=True, slots=True)
class ConnectionHandlers:
    """Callbacks of the owner of a `PeerConnection`.

    Attributes:
        accepts_peer: Whether to accept a peer after the handshake; if not, this callback closes the
            connection.
        on_connected: The handshake with an accepted peer is done; its connection is the current
            one.
        on_payload: A payload arrived on any connection of the owner.
        on_lost: A connection is closed; the second argument is the reason.
        on_connect_failed: Connecting to a peer failed; the arguments are its name and the reason.
    """

    accepts_peer: Callable[[FrameConnection], bool]
    on_connected: Callable[[FrameConnection], None]
    on_payload: Callable[[FrameConnection, bytes], None]
    on_lost: Callable[[FrameConnection, str], None]
    on_connect_failed: Callable[[str, str], None]


class PeerConnection:
    """At most one current connection, and its events.

    Attributes:
        link: The current connection, after the handshake; None while there is none.
        established: Set while there is a current connection.
        last_received_at_s: When the last payload arrived, by the event loop's clock; 0: never.
        established_count: Number of connections established so far.
    """

    def __init__(
        self,
        operator: OperatorConfig,
        name: str,
        role: str,
        loop: asyncio.AbstractEventLoop,
        handlers: ConnectionHandlers,
    ) -> None:
        self.link: FrameConnection | None = None
        self.established = asyncio.Event()
        self.last_received_at_s = 0.0
        self.established_count = 0
        self._cluster = operator.cluster
        self._key = operator.key()
        self._name = name
        self._role = role
        self._loop = loop
        self._handlers = handlers
        self._lost = asyncio.Event()

    @property
    def peer_name(self) -> str:
        """The peer of the current connection; empty: there is none."""
        return self.link.peer if self.link else ""

    async def connect_and_wait(
        self, peer_name: str, address: Address, connect_timeout_s: float
    ) -> bool:
        """Connect to one peer, and return once that connection is closed.

        Returns:
            Whether the connection was established at all.
        """
        self._lost.clear()
        is_established = False
        try:
            async with asyncio.timeout(connect_timeout_s):
                await self._loop.create_connection(self._new_link, address.host, address.port)
                await self.established.wait()
            is_established = True
            self.established_count += 1
            await self._lost.wait()
        except (OSError, TimeoutError) as error:
            is_timeout = isinstance(error, TimeoutError)
            reason = "no answer in time" if is_timeout else "not reached"
            self._handlers.on_connect_failed(peer_name, reason)
        if self.link and not is_established:
            self.link.close("no greeting in time")
        return is_established

    def close(self, reason: str) -> None:
        """Close the current connection, if there is one."""
        if self.link:
            self.link.close(reason)

    def _new_link(self) -> FrameConnection:
        return FrameConnection(
            self._cluster,
            self._key,
            self._name,
            self._role,
            is_dialer=True,
            on_connected=self._on_handshake_done,
            on_payload=self._on_payload,
            on_closed=self._on_lost,
        )

    def _on_handshake_done(self, link: FrameConnection) -> None:
        if not self._handlers.accepts_peer(link):
            return
        self.link = link
        self.established.set()
        self._handlers.on_connected(link)

    def _on_payload(self, link: FrameConnection, payload: bytes) -> None:
        self.last_received_at_s = self._loop.time()
        self._handlers.on_payload(link, payload)

    def _on_lost(self, link: FrameConnection, reason: str) -> None:
        if self.link is link:
            self.link = None
            self.established.clear()
        self._lost.set()
        self._handlers.on_lost(link, reason)
