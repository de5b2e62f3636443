"""A connection that carries frames, dialled or accepted: the I/O around `FrameCodec`."""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from mothstall.store.errors import FrameError
from mothstall.store.protocol.frames import NONCE_BYTES, FrameCodec

log = logging.getLogger("mothstall.link")

MAX_UNSENT_BYTES = 8 * 1024 * 1024  # a peer with more unsent bytes is disconnected
GREETING_TIMEOUT_S = 3.0  # for the peer's complete first frame


@dataclass(frozen=True, slots=True)
class _Handlers:
    """Callbacks to the owner of a connection."""

    on_connected: Callable[[FrameConnection], None]
    on_payload: Callable[[FrameConnection, bytes], None]
    on_closed: Callable[[FrameConnection, str], None]


class FrameConnection(asyncio.Protocol):
    """One end of a connection.

    `on_connected` is called once both sides have greeted, `on_payload` for each payload after that,
    and `on_closed` once, with the reason.

    Attributes:
        owner_state: Data that the owner attaches to the connection; not used here.
        received_bytes: Bytes received, including the greeting.
        sent_bytes: Bytes of the frames sent, including the greeting.
    """

    def __init__(
        self,
        cluster: str,
        key: bytes,
        name: str,
        role: str,
        *,
        is_dialer: bool,
        on_connected: Callable[[FrameConnection], None],
        on_payload: Callable[[FrameConnection, bytes], None],
        on_closed: Callable[[FrameConnection, str], None],
    ) -> None:
        """Prepares a connection for one transport.

        Args:
            cluster: The cluster's name; a peer of another cluster is rejected.
            key: The cluster's secret.
            name: Name of this process, for the greeting.
            role: A `PeerRole`, for the greeting.
            is_dialer: Whether this side opens the connection.
            on_connected: Called once both sides have greeted.
            on_payload: Called for each payload after the greeting.
            on_closed: Called once with the reason when the connection is closed.
        """
        self._codec = FrameCodec(cluster, key, is_dialer, os.urandom(NONCE_BYTES))
        self._greeting = self._codec.encode_greeting(name, role)
        self._handlers = _Handlers(on_connected, on_payload, on_closed)
        self._transport: asyncio.Transport | None = None
        self._greeting_timer: asyncio.TimerHandle | None = None
        self._close_reason = "closed by the other side"
        self.owner_state: Any = None
        self.received_bytes = 0
        self.sent_bytes = 0

    @property
    def peer(self) -> str:
        """The peer's name; empty until its greeting has been accepted."""
        return self._codec.peer.name if self._codec.peer else ""

    @property
    def role(self) -> str:
        """The peer's role; empty until its greeting has been accepted."""
        return self._codec.peer.role if self._codec.peer else ""

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes that are buffered in this process and not yet sent."""
        return self._transport.get_write_buffer_size() if self._transport else 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the greeting, and starts the timeout for the peer's greeting."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.sent_bytes += len(self._greeting)
        transport.write(self._greeting)
        self._greeting_timer = asyncio.get_running_loop().call_later(
            GREETING_TIMEOUT_S, self.close, "no greeting in time"
        )

    def data_received(self, data: bytes) -> None:
        """Passes each complete payload to the owner; closes the connection on an invalid frame."""
        had_greeted = self._codec.peer is not None
        self.received_bytes += len(data)
        try:
            payloads = self._codec.receive_data(data)
        except FrameError as error:
            peer = self.peer or "unknown"
            log.warning("frame rejected", extra={"kv": {"peer": peer, "why": error}})
            self.close(str(error))
            return
        if not had_greeted and self._codec.peer is not None:
            self._stop_greeting_timer()
            self._handlers.on_connected(self)
        for payload in payloads:
            if self._transport is None:
                return
            self._handlers.on_payload(self, payload)

    def send(self, payload: bytes) -> bool:
        """Sends a payload.

        Returns:
            False if the payload was not sent: the connection is closed, the peer has not greeted or
            does not read, or the payload is too large for a frame.
        """
        if self._transport is None or self._codec.peer is None:
            return False
        if self.unsent_bytes > MAX_UNSENT_BYTES:
            self.close("the peer does not read")
            return False
        try:
            frame = self._codec.encode_frame(payload)
        except FrameError as error:
            # The message names the cause; a traceback would add nothing.
            details = {"peer": self.peer, "why": error}
            log.error("frame not sent", extra={"kv": details})  # noqa: TRY400
            return False
        self.sent_bytes += len(frame)
        self._transport.write(frame)
        return True

    def close(self, reason: str) -> None:
        """Closes the connection at once and discards unsent bytes; `on_closed` gets the reason."""
        self._close_reason = reason
        if self._transport:
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports the end of the connection to its owner."""
        self._transport = None
        self._stop_greeting_timer()
        self._handlers.on_closed(self, str(exc) if exc else self._close_reason)

    def _stop_greeting_timer(self) -> None:
        if self._greeting_timer:
            self._greeting_timer.cancel()
