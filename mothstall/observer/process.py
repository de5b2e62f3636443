"""The observer's process: connects the pure parts of `fleet.observers` to sockets and a clock.

Like an agent, an observer is a client of the keepers: it watches the state, holds a lease of its
own, and writes under it which proxies are attached. It forwards a bounded number of its proxies'
proposals at a time, and combines renewals in one change.
"""

from __future__ import annotations

import asyncio
import logging
import secrets
import time
from typing import Any

import msgspec

from mothstall.fleet.leases.names import OBSERVER_LEASE_PREFIX
from mothstall.fleet.operator_config import ObserverConfig, OperatorConfig
from mothstall.observer.attached_proxies import AttachedProxies
from mothstall.observer.keeper_contact import KeeperClients, KeeperContact
from mothstall.observer.limits import ObserverLimits
from mothstall.observer.model import ObserverModel
from mothstall.observer.own_lease import NS_PER_S, LeaseIdentity, OwnLease
from mothstall.observer.proposal_forwarder import ProposalForwarder
from mothstall.observer.proxy_handler import ProxyHandler
from mothstall.observer.renewal_batcher import RenewalBatcher
from mothstall.observer.report_relay import ReportRelay
from mothstall.observer.state_updates import StateUpdates
from mothstall.observer.status import StatusReporter
from mothstall.observer.tasks import ObserverTasks
from mothstall.serving.frame_server import (
    ConnectionHandler,
    FrameIdentity,
    FrameServer,
    ListenConfig,
)
from mothstall.store.protocol.connection import FrameConnection
from mothstall.store.protocol.frames import PeerRole
from mothstall.store.protocol.observer_messages import ProxyMessage

log = logging.getLogger("mothstall.observer")

LISTEN_BACKLOG = 2048  # connections that the kernel holds until they are accepted
CLIENT_ROLES = frozenset({PeerRole.AGENT, PeerRole.TOOL})
COUNTERS = (
    "asks",
    "asks_dropped",
    "asks_refused",
    "renewals",
    "renewed",
    "reports",
    "reports_left_out",
    "sums",
    "frames_unreadable",
    "links_turned_away",
    "leases_lost",
    "told_bytes",
    "bytes_in",
    "bytes_out",
)


class Observer:
    """A running observer.

    Attributes:
        name: The observer's name in the operator file.
        counts: Counters since the start; their names are documented for operators.
        stop_requested: Set when the process has to stop, after an internal fault or on request.
        fault: The internal fault that stopped it; empty: none.
        server: Its connections to proxies and tools.
        contact: Its connections to keepers.
        model: Its pure state.
        proxies: The proxies that are attached.
    """

    def __init__(
        self, operator: OperatorConfig, name: str, *, limits: ObserverLimits | None = None
    ) -> None:
        """Create an observer; it neither listens nor connects before `start`.

        Args:
            operator: The operator file's content.
            name: Which observer this is.
            limits: Bounds and intervals; tests vary them.

        Raises:
            OperatorError: The operator file names no such observer.
        """
        limits = limits or ObserverLimits()
        config = operator.observer(name)
        lease = _lease_identity(config)
        self.name = name
        self.counts = dict.fromkeys(COUNTERS, 0)
        self.stop_requested = asyncio.Event()
        self.fault = ""
        self.server = _make_server(operator, config, limits, self, self.counts)
        self.contact = KeeperContact(name, KeeperClients(operator, lease.owner), limits.stale_ns)
        self.model = ObserverModel.create(
            name, lease.name, int(operator.leases.term_ns), limits.orphan_grace_terms
        )
        self._tasks = ObserverTasks(self._on_fault)
        self.proxies = self._make_proxies(operator, lease.owner, limits)
        self._lease = OwnLease(
            lease, operator.leases, self.contact, self.model, self.proxies, limits, self.counts
        )
        self._updates = StateUpdates(
            self.contact, self.model, self.proxies, limits.max_updates_per_tick, self.counts
        )
        self._status = StatusReporter(
            config, self.server, self.contact, self._lease, self.model, self.proxies
        )
        self._handler = ProxyHandler(self.proxies, self.model, self.status)
        self._tick_s = limits.tick_s

    @property
    def port(self) -> int:
        """The port that is listened on; 0 before `start`."""
        return self.server.port

    async def start(self) -> None:
        """Start listening, connect to keepers, and start the tasks.

        Raises:
            OSError: The address cannot be bound.
        """
        await self.server.start()
        self.contact.clients.start(
            on_event=self._updates.on_watch_event,
            known_version=lambda: self.model.fanout.version,
            on_reports=self.proxies.reports.on_reports,
        )
        self._tasks.spawn_essential(self._tick_forever())
        self._tasks.spawn_essential(self._lease.run())
        self._tasks.spawn_essential(self.proxies.forwarder.renewals.run())
        self._tasks.spawn_essential(self.proxies.reports.run())
        log.info("listening", extra={"kv": {"name": self.name, "port": self.port}})

    async def stop(self) -> None:
        """Release the lease if a keeper answers in time, and close all connections."""
        self.server.stop_listening()
        await self._tasks.cancel_all()
        await self._lease.release()
        self.server.close_clients("ending")
        await self.contact.clients.close()

    def status(self) -> dict[str, Any]:
        """Return the status of this observer for operators."""
        return self._status.status()

    def message_received(self, connection: FrameConnection, payload: bytes) -> None:
        """Handle one payload of a proxy or tool.

        Raises:
            ValueError: The payload cannot be decoded, or must not be sent by this peer.
        """
        message = msgspec.msgpack.decode(payload, type=ProxyMessage)
        self._handler.handle(connection, message)

    def client_disconnected(self, connection: FrameConnection) -> None:
        """Start the grace period in which a disconnected proxy may reconnect or move."""
        self.proxies.on_disconnected(connection)

    async def _tick_forever(self) -> None:
        while True:
            self._tick(time.monotonic_ns())
            await asyncio.sleep(self._tick_s)

    def _tick(self, now_ns: int) -> None:
        """Do periodic work; linear in ended attachments, orphans and proxies that are behind."""
        model = self.model
        self._lease.drop_expired(now_ns)
        self.proxies.drop_timed_out(now_ns)
        if model.table.lease_token:
            for leave in model.sweeper.due_leaves(model.fanout.members, now_ns):
                model.table.request_leave(leave)
        self.contact.switch_keeper_if_stale(now_ns)
        self._updates.send_due(now_ns)

    def _on_fault(self, fault: str) -> None:
        self.fault = fault
        self.stop_requested.set()

    def _make_proxies(
        self, operator: OperatorConfig, owner: str, limits: ObserverLimits
    ) -> AttachedProxies:
        clients = self.contact.clients
        renewals = RenewalBatcher(owner, clients, limits, self.counts)
        forwarder = ProposalForwarder(self.contact, renewals, self._tasks, limits, self.counts)
        publish_interval_s = operator.failover.report_interval_ns / NS_PER_S
        reports = ReportRelay(self.name, clients, publish_interval_s, limits, self.counts)
        return AttachedProxies(self.model, self.server, forwarder, reports)


def _lease_identity(config: ObserverConfig) -> LeaseIdentity:
    """Return an observer's lease; the owner name differs from that of earlier processes."""
    owner = f"{config.name}#{secrets.token_hex(3)}"
    info = {"zone": config.zone, "region": config.region}
    return LeaseIdentity(OBSERVER_LEASE_PREFIX + config.name, owner, info)


def _make_server(
    operator: OperatorConfig,
    config: ObserverConfig,
    limits: ObserverLimits,
    handler: ConnectionHandler,
    counts: dict[str, int],
) -> FrameServer:
    identity = FrameIdentity(operator.cluster, operator.key(), config.name, PeerRole.OBSERVER)
    listen = ListenConfig(
        config.listen or config.address, LISTEN_BACKLOG, limits.max_connections, CLIENT_ROLES
    )
    return FrameServer(identity, handler, counts, log, listen)
