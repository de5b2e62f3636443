"""The keeper's process: connects sockets, clock and disk to the pure `replica.Replica`."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from mothstall.fleet.operator_config import OperatorConfig
from mothstall.keeper.admin import AdminCommandHandler, StatusReporter
from mothstall.keeper.client_handler import ClientHandler
from mothstall.keeper.disk_writer import DiskWriter
from mothstall.keeper.limits import KeeperLimits
from mothstall.keeper.peers import PeerConnections
from mothstall.keeper.replica import Replica
from mothstall.keeper.replica_loop import ReplicaLoop
from mothstall.keeper.report_relay import ReportRelay
from mothstall.keeper.watchers import WatchPublisher
from mothstall.serving.errors import UnexpectedMessageError
from mothstall.serving.frame_server import FrameIdentity, FrameServer, ListenConfig
from mothstall.store.protocol import keeper_messages
from mothstall.store.protocol.connection import FrameConnection
from mothstall.store.protocol.frames import PeerRole
from mothstall.store.raft.messages import Configuration, Message
from mothstall.store.raft.replica_state import Timing
from mothstall.store.storage import DiskLog, LoadedLog

log = logging.getLogger("mothstall.keeper")

NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000
LISTEN_BACKLOG = 1024  # connections that the kernel queues until they are accepted
MIN_ELECTION_TICKS = 3  # the operator file's checks require at least three heartbeats too
MIN_HEARTBEAT_TICKS = 1
COUNTERS = (
    "calls",
    "changes",
    "refused",
    "pushes",
    "writes",
    "writes_failed",
    "frames_unreadable",
    "reports",
    "reports_left_out",
    "slowest_write_ms",
    "bytes_in",
    "bytes_out",
    "calls_again",
    "withdrawn",
)

PeerMessage = Message | keeper_messages.RelayReports


class Keeper:
    """One running keeper.

    Attributes:
        name: The keeper's name in the operator file.
        counts: Counters since the start; their names are documented for operators.
        replica: The keeper's replica of the store.
        server: Accepts and makes the keeper's connections.
        clients: Handles the requests of clients.
        stop_requested: Set to request that the process stops.
    """

    def __init__(
        self,
        operator: OperatorConfig,
        name: str,
        data: Path,
        *,
        before_commit: Callable[[], None] | None = None,
        limits: KeeperLimits | None = None,
    ) -> None:
        """Load the replica from its data folder.

        Args:
            operator: The parsed operator file.
            name: Name of this keeper.
            data: Folder of the keeper's log.
            before_commit: Hook for the lab, called before each commit of the disk log.
            limits: Limits and intervals; tests vary them.

        Raises:
            OSError: The log cannot be opened.
            OperatorError: The operator file names no such keeper.
        """
        limits = limits or KeeperLimits()
        self.name = name
        self.stop_requested = asyncio.Event()
        self.counts = dict.fromkeys(COUNTERS, 0)
        self.server = self._make_server(operator, limits)
        disk_log = DiskLog(data / f"{name}.db", before_commit=before_commit)
        loaded = disk_log.load(name, operator.cluster, _initial_configuration(operator))
        self.replica = _make_replica(operator, name, loaded)
        self._disk = self._make_disk_writer(disk_log, operator, limits)
        self._disk.report_damage(loaded)
        others = [other for other in operator.keepers if other.name != name]
        self._peers = PeerConnections(others, limits.max_unsent_bytes)
        self._replica_loop = ReplicaLoop(
            self.replica, self._disk, self._peers, operator.timing.tick_ns / NS_PER_S
        )
        self._status = StatusReporter(
            name, self.replica, self.server, self._peers, self._disk, limits
        )
        self.clients = self._make_clients(limits)

    @property
    def port(self) -> int:
        """The listening port; 0 before `start`."""
        return self.server.port

    async def start(self) -> None:
        """Listen, dial the other keepers and start the replica.

        Raises:
            OSError: The address cannot be bound.
        """
        await self.server.start()
        self._peers.start(self.server)
        self._replica_loop.start(self.clients)
        self.clients.start()
        log.info("listening", extra={"kv": {"name": self.name, "port": self.port}})

    async def stop(self) -> None:
        """Close all connections, and close the log after the write in progress."""
        self._replica_loop.stop()
        self.clients.stop()
        self.server.stop_listening()
        self._peers.close()
        self.server.close_clients("the keeper is stopping")
        await self._disk.stop()

    def status(self) -> dict[str, Any]:
        """Return the status of this keeper, by key."""
        return self._status.status()

    def message_received(self, connection: FrameConnection, payload: bytes) -> None:
        """Handle one payload of a client or another keeper.

        Raises:
            ValueError: The payload cannot be decoded, or the peer may not send it.
        """
        if connection.role == PeerRole.KEEPER:
            message = msgspec.msgpack.decode(payload, type=PeerMessage)
            self._handle_peer_message(connection, message)
        else:
            request = msgspec.msgpack.decode(payload, type=keeper_messages.CallerMessage)
            self.clients.handle(connection, request)

    def client_disconnected(self, connection: FrameConnection) -> None:
        """Remove a client with its watch, its subscription and its pending requests."""
        self.clients.disconnected(connection)

    def _handle_peer_message(self, connection: FrameConnection, message: PeerMessage) -> None:
        if isinstance(message, keeper_messages.RelayReports):
            self.clients.reports.receive_from_peer(message.reports)
            return
        if message.sender != connection.peer:
            raise UnexpectedMessageError(f"{connection.peer} sent a message of {message.sender}")
        self._replica_loop.receive(message)

    def _make_server(self, operator: OperatorConfig, limits: KeeperLimits) -> FrameServer:
        config = operator.keeper(self.name)
        identity = FrameIdentity(operator.cluster, operator.key(), self.name, PeerRole.KEEPER)
        listen = ListenConfig(
            config.listen or config.address, LISTEN_BACKLOG, limits.max_connections
        )
        return FrameServer(identity, self, self.counts, log, listen)

    def _make_disk_writer(
        self, disk_log: DiskLog, operator: OperatorConfig, limits: KeeperLimits
    ) -> DiskWriter:
        # A write that takes as long as an election timeout may cost the leadership.
        slow_write_ms = operator.timing.election_timeout_ns // NS_PER_MS
        return DiskWriter(self.name, disk_log, self.counts, limits.write_retry_s, slow_write_ms)

    def _make_clients(self, limits: KeeperLimits) -> ClientHandler:
        loop = asyncio.get_running_loop()
        schedule_replica = self._replica_loop.schedule
        return ClientHandler(
            self.replica,
            WatchPublisher(self.replica, limits, self.counts, loop),
            ReportRelay(self._peers, limits, self.counts, loop),
            AdminCommandHandler(self._status, schedule_replica),
            self.counts,
            limits.expiry_interval_ns,
            schedule_replica,
        )


def _initial_configuration(operator: OperatorConfig) -> Configuration:
    """Return the configuration of a replica whose log is empty."""
    voters = sorted(config.name for config in operator.keepers if config.is_voter)
    return Configuration(tuple(voters), ())


def _make_replica(operator: OperatorConfig, name: str, loaded: LoadedLog) -> Replica:
    tick = operator.timing.tick_ns
    timing = Timing(
        max(MIN_ELECTION_TICKS, operator.timing.election_timeout_ns // tick),
        max(MIN_HEARTBEAT_TICKS, operator.timing.heartbeat_ns // tick),
    )
    # A random seed: election timeouts must not repeat from one start to the next.
    seed = random.SystemRandom().getrandbits(32)
    return Replica(
        name,
        timing,
        seed,
        loaded.hard_state,
        loaded.snapshot,
        loaded.entries,
        compact_every=operator.store.snapshot_interval_entries,
    )
