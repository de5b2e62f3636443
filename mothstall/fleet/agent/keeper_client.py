"""A client of the keepers: one connection at a time, to the next keeper when it is lost."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec

from mothstall.fleet.agent.client_config import KEEPER_CLIENT_CONFIG, ClientConfig, jittered_s
from mothstall.fleet.agent.store_client import NO_QUORUM, ReportHandler, StoreClient
from mothstall.fleet.operator_config import OperatorConfig
from mothstall.store.protocol.connection import FrameConnection
from mothstall.store.protocol.keeper_messages import KeeperMessage, WatchEvent, WatchRequest


class KeeperClient(StoreClient):
    """Connects to the keepers in turn, in a random order; starts when constructed.

    Args:
        operator: The operator file, which names the keepers.
        name: The client's name, for its session and its connections.
        role: The role that it sends in the handshake.
        loop: The event loop that it runs on.
        on_watch_event: Receives the watch events of keepers; None: the state is not watched.
        known_version: Returns the known version of the state; only later changes are requested.
        only_keeper: The one keeper to connect to; empty: any.
        on_reports: Receives proxies' reports while subscribed.
        config: Timeouts and backoff.
    """

    def __init__(
        self,
        operator: OperatorConfig,
        name: str,
        role: str,
        *,
        loop: asyncio.AbstractEventLoop,
        on_watch_event: Callable[[WatchEvent], None] | None = None,
        known_version: Callable[[], int] = lambda: 0,
        only_keeper: str = "",
        on_reports: ReportHandler | None = None,
        config: ClientConfig = KEEPER_CLIENT_CONFIG,
    ) -> None:
        super().__init__(operator, name, role, loop=loop, config=config, on_reports=on_reports)
        self._on_watch_event = on_watch_event
        self._known_version = known_version
        self._keepers = [
            keeper for keeper in operator.keepers if not only_keeper or keeper.name == only_keeper
        ]
        self._rng.shuffle(self._keepers)
        self._spawn(self._run())

    def request_resync(self) -> None:
        """Request the complete state."""
        self._send(WatchRequest(0))

    def describe_unavailability(self) -> str:
        """Return which keepers were of no use, and the last fault of each."""
        names = [keeper.name for keeper in self._keepers]
        faults = [f"{name}: {self._last_faults.get(name, 'not asked')}" for name in names]
        return f"no quorum of {', '.join(names)} answers ({'; '.join(faults)})"

    async def _run(self) -> None:
        backoff = self._config.reconnect_backoff
        pause_s = backoff.initial_s
        attempt = 0
        while True:
            keeper = self._keepers[attempt % len(self._keepers)]
            attempt += 1
            was_established = await self._connection.connect_and_wait(
                keeper.name, keeper.parsed_address, self._config.connect_timeout_s
            )
            pause_s = backoff.initial_s if was_established else backoff.next_nominal_s(pause_s)
            await asyncio.sleep(jittered_s(pause_s, self._rng))

    def _send_first_message(self, link: FrameConnection) -> None:
        if self._on_watch_event:
            link.send(msgspec.msgpack.encode(WatchRequest(self._known_version())))

    def _decode(self, payload: bytes) -> Any:
        return msgspec.msgpack.decode(payload, type=KeeperMessage)

    def _on_message(self, link: FrameConnection, message: Any) -> None:
        if not isinstance(message, WatchEvent):
            super()._on_message(link, message)
        elif self._on_watch_event:
            self._on_watch_event(message)

    def _is_final_rejection(self, reason: str, wait_for_quorum: bool) -> bool:
        if not reason.startswith(NO_QUORUM):
            return False
        # Guards against staying with a keeper that was removed, or is in the minority partition.
        self.disconnect(reason)
        return not wait_for_quorum and len(self._last_faults) >= len(self._keepers)
