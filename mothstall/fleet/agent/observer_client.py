"""A proxy's client of the store in a fleet whose observers relay between proxies and keepers.

`ObserverSelector` decides which observer to attach to and when to leave it; the client carries that
out. It never connects to keepers.
"""

from __future__ import annotations

import asyncio
import logging
import random
import secrets
import time
from collections.abc import Callable
from typing import Any

import msgspec

from mothstall.fleet.agent.client_config import OBSERVER_CLIENT_CONFIG, ClientConfig
from mothstall.fleet.agent.store_client import NO_QUORUM, ReportHandler, StoreClient
from mothstall.fleet.errors import OperatorError
from mothstall.fleet.observers.attachment_timings import AttachmentTimings
from mothstall.fleet.observers.observer_selector import ObserverSelector
from mothstall.fleet.operator_config import ObserverConfig, OperatorConfig
from mothstall.fleet.units import NS_PER_MS, NS_PER_S
from mothstall.store.protocol.connection import FrameConnection
from mothstall.store.protocol.frames import PeerRole
from mothstall.store.protocol.observer_messages import (
    AttachAccepted,
    AttachRejected,
    AttachRequest,
    DetachRequest,
    Heartbeat,
    ObserverMessage,
    ResyncRequest,
    StateUpdate,
)
from mothstall.store.state.rows import StateDelta

log = logging.getLogger("mothstall.fleet")

TICK_INTERVAL_S = 0.2  # between checks whether to leave; well below any observer timeout
UNKNOWN_AGE_NS = 1 << 62  # of a state whose observer has not reached a keeper yet; above any limit


def reachable_observers(
    operator: OperatorConfig,
) -> tuple[list[ObserverConfig], list[ObserverConfig]]:
    """Return the observers of this proxy's zone, and the other observers of its region.

    Raises:
        OperatorError: No observer is in this proxy's zone or region.
    """
    in_zone = [row for row in operator.observers if row.zone == operator.zone]
    regions = {row.region for row in in_zone}
    regions |= {row.name for row in operator.failover.regions if operator.zone in row.zones}
    in_region = [row for row in operator.observers if row.region in regions and row not in in_zone]
    if not in_zone and not in_region:
        raise OperatorError(
            f"operator file: $.observers: none in zone {operator.zone!r} or its region"
        )
    return in_zone, in_region


class ObserverClient(StoreClient):
    """Attaches a proxy to one observer at a time; starts when constructed.

    Args:
        operator: The operator file, which names the observers.
        proxy_name: The proxy to attach.
        owner: The proxy's process, as the owner of leases.
        loop: The event loop that the client runs on.
        on_state_update: Receives each delta, and the age of its state in ms; -1: unknown.
        known_version: Returns the known version of the state; only later changes are requested.
        on_reports: Receives proxies' reports while subscribed.
        config: Timeouts and backoff.

    Raises:
        OperatorError: There is no observer in this proxy's region.

    Attributes:
        selector: Decides which observer to attach to, and when to leave it.
        epoch: The epoch of the current attachment; 0: there was none yet.
        is_attached: Whether the replicated state has this proxy under the current observer.
        attached_at_s: When `is_attached` was first set, by the machine's monotonic clock; 0: never.
    """

    def __init__(
        self,
        operator: OperatorConfig,
        proxy_name: str,
        owner: str,
        *,
        loop: asyncio.AbstractEventLoop,
        on_state_update: Callable[[StateDelta, int], None],
        known_version: Callable[[], int],
        on_reports: ReportHandler | None = None,
        config: ClientConfig = OBSERVER_CLIENT_CONFIG,
    ) -> None:
        in_zone, in_region = reachable_observers(operator)
        super().__init__(
            operator, owner, PeerRole.AGENT, loop=loop, config=config, on_reports=on_reports
        )
        self._proxy_name = proxy_name
        self._on_state_update = on_state_update
        self._known_version = known_version
        self._observers = {row.name: row for row in (*in_zone, *in_region)}
        self._timings = AttachmentTimings.from_lease_term(int(operator.leases.term_ns))
        self.selector = ObserverSelector(
            random.Random(f"{owner} {secrets.randbits(32)}"),
            observer_timeout_ns=self._timings.observer_timeout_ns,
            reconnect_jitter_ns=self._timings.reconnect_jitter_ns,
        )
        self.selector.add_endpoints([row.name for row in in_zone], [row.name for row in in_region])
        self.epoch = 0
        self.is_attached = False
        self.attached_at_s = 0.0
        self._state_age_ms = 0
        self._last_heartbeat_ns = 0
        self._leave_reason = ""
        self._spawn(self._run())
        self._tick_task = self._spawn(self._tick_forever())

    def metrics(self) -> dict[str, int]:
        """Return `fleet_attached` (1 while attached) and `fleet_moves` (connections so far)."""
        return {
            "fleet_attached": int(self.is_attached),
            "fleet_moves": self._connection.established_count,
        }

    def request_resync(self) -> None:
        """Request the changes since the known version, or else the complete state."""
        self._send(ResyncRequest(self._known_version()))

    def describe_unavailability(self) -> str:
        """Return an error text with the observers and the last fault of each."""
        names = list(self._observers)
        faults = [f"{name}: {self._last_faults.get(name, 'not asked')}" for name in names]
        return f"no observer of {', '.join(names)} answers for the keepers ({'; '.join(faults)})"

    def disconnect(self, reason: str) -> None:
        """Leave for another observer, unless the quorum is lost: other observers lack it too."""
        if self.link and not reason.startswith(NO_QUORUM):
            self._leave_reason = reason
            super().disconnect(reason)

    async def close(self) -> None:
        """Detach from the observer, stop the client and close its connection."""
        if self.link and self.epoch:
            self._send(DetachRequest(self.epoch))
            self.epoch = 0  # no heartbeat follows
            await asyncio.sleep(0)  # the request is sent before the connection closes
        await super().close()

    async def _run(self) -> None:
        while True:
            name, pause_ns = self.selector.choose_next(time.monotonic_ns())
            await asyncio.sleep(pause_ns / NS_PER_S)
            self._leave_reason = ""
            await self._connection.connect_and_wait(
                name, self._observers[name].parsed_address, self._config.connect_timeout_s
            )
            self.is_attached = False
            self.selector.disconnected(self._leave_reason or "lost", time.monotonic_ns())

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            if self.link is not None and self.epoch:
                self._leave_or_send_heartbeat(time.monotonic_ns())

    def _leave_or_send_heartbeat(self, now_ns: int) -> None:
        reason = self.selector.reason_to_leave(_age_ns(self._state_age_ms), now_ns)
        if reason:
            self.disconnect(reason)
        elif now_ns - self._last_heartbeat_ns >= self._timings.proxy_heartbeat_ns:
            self._last_heartbeat_ns = now_ns
            self._send(Heartbeat(self.epoch))

    def _accepts_peer(self, link: FrameConnection) -> bool:
        if link.role == PeerRole.OBSERVER:
            return True
        log.warning("not an observer", extra={"kv": {"peer": link.peer, "role": link.role}})
        link.close(f"{link.peer} is no observer")
        return False

    def _send_first_message(self, link: FrameConnection) -> None:
        now_ns = time.monotonic_ns()
        self.is_attached = False
        self._state_age_ms = 0
        self._last_heartbeat_ns = now_ns
        self.epoch = self.selector.connected(now_ns)
        request = AttachRequest(
            self._proxy_name,
            self.epoch,
            self.operator.zone,
            self.operator.agent.backend_prefixes,
            self._known_version(),
        )
        link.send(msgspec.msgpack.encode(request))

    def _decode(self, payload: bytes) -> Any:
        return msgspec.msgpack.decode(payload, type=ObserverMessage)

    def _on_malformed_payload(self, link: FrameConnection, error: Exception) -> None:
        log.warning("payload rejected", extra={"kv": {"peer": link.peer, "reason": error}})
        super()._on_malformed_payload(link, error)

    def _on_message(self, link: FrameConnection, message: Any) -> None:
        if link is not self.link:
            return  # from an earlier connection
        if isinstance(message, StateUpdate):
            self._state_age_ms = message.age_ms
            self.selector.record_update(_age_ns(message.age_ms), time.monotonic_ns())
            self._on_state_update(message.delta, message.age_ms)
        elif isinstance(message, AttachAccepted):
            self._on_attach_accepted(link, message)
        elif isinstance(message, AttachRejected):
            if message.epoch == self.epoch:
                self.disconnect(message.reason)
        else:
            super()._on_message(link, message)

    def _on_attach_accepted(self, link: FrameConnection, message: AttachAccepted) -> None:
        if message.epoch == self.epoch and not self.is_attached:
            self.is_attached = True
            log.info("attached", extra={"kv": {"observer": link.peer, "epoch": message.epoch}})
        self.attached_at_s = self.attached_at_s or time.monotonic()

    def _is_final_rejection(self, reason: str, wait_for_quorum: bool) -> bool:
        return not wait_for_quorum


def _age_ns(age_ms: int) -> int:
    return age_ms * NS_PER_MS if age_ms >= 0 else UNKNOWN_AGE_NS
