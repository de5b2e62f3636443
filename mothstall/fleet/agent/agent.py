"""A proxy's agent: connects the proxy to the fleet; the request path never waits for it.

The agent composes one object for each concern: the client of the store, the snapshot of the
replicated state, lease renewal, probing, health hints, local drains, failover. While the store is
unreachable, the proxy continues with the last snapshot.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import secrets
import time
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from mothstall.fleet.agent.backend_endpoint import BackendEndpoint
from mothstall.fleet.agent.cluster_snapshot import ClusterSnapshot
from mothstall.fleet.agent.counters import AgentCounters
from mothstall.fleet.agent.failover_participant import FailoverParticipant
from mothstall.fleet.agent.health_hints import HealthHints
from mothstall.fleet.agent.health_prober import HealthProber
from mothstall.fleet.agent.keeper_client import KeeperClient
from mothstall.fleet.agent.lease_renewal import LeaseRenewal
from mothstall.fleet.agent.local_drains import LocalDrains
from mothstall.fleet.agent.local_request_listener import LocalRequestListener
from mothstall.fleet.agent.persisted_state import LocalState
from mothstall.fleet.agent.probe_leases import ProbeLeases
from mothstall.fleet.agent.snapshot_tracker import SnapshotChange, SnapshotTracker
from mothstall.fleet.agent.store_client import StoreClient
from mothstall.fleet.agent.task_supervisor import TaskSupervisor
from mothstall.fleet.drains import ActiveDrains
from mothstall.fleet.errors import KeeperUnavailableError
from mothstall.fleet.failover.controller import FailoverController, ProxyTraffic
from mothstall.fleet.failover.plan import FAILOVER_LEASE
from mothstall.fleet.leases.holder import LeaseHolder
from mothstall.fleet.leases.names import MEMBER_LEASE_PREFIX, PROBE_LEASE_PREFIX
from mothstall.fleet.leases.stalled_holders import StalledHolders
from mothstall.fleet.operator_config import OperatorConfig
from mothstall.store.protocol.frames import PeerRole
from mothstall.store.protocol.keeper_messages import WatchEvent
from mothstall.store.state.rows import StateDelta

if TYPE_CHECKING:
    from mothstall.fleet.agent.observer_client import ObserverClient

log = logging.getLogger("mothstall.fleet")

# Interval of the checks of leases and assignments; a small fraction of any lease term.
RECONCILE_INTERVAL_S = 0.1
# Interval of the checks for due probes; well below any probe interval.
PROBE_TICK_S = 0.05
STOP_TIMEOUT_S = 0.2  # for releasing leases at shutdown; unreleased leases expire
# In lease terms. Observers remove the proxies of a lost observer after at most 11 terms.
STALL_FORGOTTEN_AFTER_TERMS = 12
OWNER_SUFFIX_BYTES = 3  # random; distinguishes processes with the same proxy name


class Agent:
    """One proxy's agent; loads the persisted state, and opens no connection before `start`.

    Args:
        operator: The operator file.
        name: The proxy's name.
        loop: The event loop that the agent runs on.
        on_change: Called on that loop when drains or health hints may have changed.
        may_probe: Whether health checks are allowed.
        proxy_traffic: Traffic counts and routing weights of the request path, for failover; None:
            no failover.
        classes: The names of the request classes.
        latency_objectives_ns: The latency objective of each class.

    Raises:
        OSError: The persisted state cannot be read.
        ValueError: The persisted state is not valid.

    Attributes:
        name: The proxy's name.
        owner: The proxy's process, as the owner of leases.
        backends: The backends of the endpoint list; discovery replaces the mapping and never
            mutates it.
        counters: The agent's counters.
        tasks: The background tasks.
        snapshots: The snapshot of the replicated state.
        leases: The leases of this proxy.
        state: The state that persists across restarts of the proxy.
        client: The client of the store; None before the start.
        observer_client: The same object if the fleet has observers; else None.
        failover_participant: Takes part in zone failover; None if failover is disabled.
    """

    def __init__(
        self,
        operator: OperatorConfig,
        name: str,
        *,
        loop: asyncio.AbstractEventLoop,
        on_change: Callable[[], None],
        may_probe: bool = True,
        proxy_traffic: ProxyTraffic | None = None,
        classes: Sequence[str] = (),
        latency_objectives_ns: Sequence[int] = (),
    ) -> None:
        self.operator = operator
        self.name = name
        self.loop = loop
        # Processes with the same proxy name are different owners: the second waits until the leases
        # of the first expire.
        self.owner = f"{name}#{secrets.token_hex(OWNER_SUFFIX_BYTES)}"
        self.backends: dict[str, BackendEndpoint] = {}
        self.client: StoreClient | None = None
        self.observer_client: ObserverClient | None = None
        self.counters = AgentCounters()
        self._on_change = on_change
        self._may_probe = may_probe and operator.probing.is_enabled
        self._create_components()
        self.failover_participant: FailoverParticipant | None = None
        if proxy_traffic is not None and operator.failover.is_enabled:
            controller = FailoverController(
                operator, name, classes, latency_objectives_ns, proxy_traffic
            )
            self.failover_participant = FailoverParticipant(
                controller, name, self.leases, self.snapshots
            )

    def _create_components(self) -> None:
        """Create the components in the order of their dependencies."""
        self.tasks = TaskSupervisor(self.loop)
        self.snapshots = SnapshotTracker(self.counters, self._on_snapshot)
        self.leases = LeaseRenewal(
            self.operator, self.owner, self.snapshots, self.counters, self._on_lease_acquired
        )
        term_ns = int(self.operator.leases.term_ns)
        self._stalled_holders = StalledHolders(
            self.owner,
            (PROBE_LEASE_PREFIX, FAILOVER_LEASE),
            term_ns,
            STALL_FORGOTTEN_AFTER_TERMS * term_ns,
        )
        self.state = LocalState(self.operator.agent.data_folder, self.name, self.loop)
        self._local_drains = LocalDrains(self.state, self.snapshots, self.tasks, self._on_change)
        self._listener = LocalRequestListener(
            self.operator, self.name, self.state, self._local_drains, self.tasks, self.counters
        )
        self._probe_leases = ProbeLeases(self.name, self.leases, self.snapshots)
        self._prober = HealthProber(self.operator, self.leases, self.tasks, self.counters)
        self._hints = HealthHints(self._prober.checker, self.leases, self.snapshots, self.counters)

    @property
    def snapshot(self) -> ClusterSnapshot:
        """The current snapshot of the replicated state."""
        return self.snapshots.current

    @property
    def failover(self) -> FailoverController | None:
        """The failover controller, which the request path reports to; None: it is disabled."""
        return self.failover_participant.controller if self.failover_participant else None

    @property
    def port(self) -> int:
        """The port of the agent's own listener; 0: there is none."""
        return self._listener.port

    @property
    def membership_lease(self) -> str:
        """The name of the lease that makes this proxy a member."""
        return f"{MEMBER_LEASE_PREFIX}{self.name}"

    @property
    def is_member(self) -> bool:
        """Whether this proxy is a member in the replicated state, by lease or by attachment."""
        if self.observer_client:
            return self.observer_client.is_attached
        return self.membership_lease in self.leases.holder.held

    @property
    def lease_holder(self) -> LeaseHolder:
        """The leases that this proxy holds, by its own clock."""
        return self.leases.holder

    def active_drains(self) -> ActiveDrains:
        """Return the drains in effect at this proxy: stored and local ones."""
        return self._local_drains.active()

    def take_unhealthy_backends(self) -> list[str]:
        """Return the backends with an unhealthy health hint, each once per fencing token."""
        return self._hints.take_unhealthy_backends()

    def snapshot_age_ms(self) -> int:
        """Return the maximum age of the snapshot; -1: no keeper with a leader was reached yet."""
        return self.snapshots.age_ms()

    def metrics(self) -> dict[str, int]:
        """Return the fleet metrics of the counters page."""
        counters = self.counters.as_dict()
        return {
            "fleet_snapshot_version": self.snapshot.version,
            "fleet_snapshot_age_ms": self.snapshot_age_ms(),
            "fleet_contact": int(bool(self.client and self.client.peer_name)),
            "fleet_leases_held": len(self.leases.holder.held),
            **(self.observer_client.metrics() if self.observer_client else {}),
            "fleet_members_stalled": self._stalled_holders.stalled_count,
            "fleet_drains": len(self.active_drains().keys),
            "fleet_drains_here_only": len(self.state.drains),
            **{f"fleet_{key}": value for key, value in counters.items()},
            **(self.failover.status_counters() if self.failover else {}),
        }

    async def start(self) -> None:
        """Start listening, connect, and start the background tasks.

        Raises:
            OSError: The listener's address is not available.
            OperatorError: Observers are configured, but none in this proxy's region.
        """
        await self._listener.start(self.loop)
        client = self.client = self._new_client()
        self.snapshots.client = client
        self.tasks.spawn(self._reconcile_forever(client))
        if self._may_probe:
            self.tasks.spawn(self._probe_forever(client))
        if self.failover_participant:
            self.tasks.spawn(self.failover_participant.run(client))
        if self.state.drains:
            self._on_change()

    async def stop(self) -> None:
        """Stop, and release the leases if the store answers within `STOP_TIMEOUT_S`."""
        await self.tasks.cancel_all()
        self._listener.close()
        if self.client:
            with contextlib.suppress(KeeperUnavailableError, TimeoutError):
                async with asyncio.timeout(STOP_TIMEOUT_S):
                    await self.leases.release_all(self.client)
            await self.client.close()

    def _new_client(self) -> StoreClient:
        if not self.operator.observers:
            return KeeperClient(
                self.operator,
                self.owner,
                PeerRole.AGENT,
                loop=self.loop,
                on_watch_event=self._on_watch_event,
                known_version=self._known_version,
                on_reports=self._on_reports,
            )
        # Imported here so that a fleet without observers does not load their modules.
        from mothstall.fleet.agent.observer_client import ObserverClient

        self.observer_client = ObserverClient(
            self.operator,
            self.name,
            self.owner,
            loop=self.loop,
            on_state_update=self._on_state_update,
            known_version=self._known_version,
            on_reports=self._on_reports,
        )
        return self.observer_client

    # Events; the lab's hollow proxies extend these

    def _on_watch_event(self, event: WatchEvent) -> None:
        """Apply a state change that a keeper pushed."""
        self.snapshots.on_watch_event(event)

    def _on_state_update(self, delta: StateDelta, age_ms: int) -> None:
        """Apply a state change that an observer sent."""
        self.snapshots.on_state_update(delta, age_ms)

    def _on_lease_acquired(self, name: str) -> None:
        """Do nothing; called when a lease was granted."""

    def _on_snapshot(self, change: SnapshotChange) -> None:
        self._prober.on_snapshot(change)
        self._stalled_holders.apply(change.previous.leases, change.delta, change.received_at_ns)
        if self.failover_participant:
            self.failover_participant.on_snapshot(change.received_at_ns)
        self._local_drains.on_snapshot(change.current.version)
        if change.may_change_drains_or_hints:
            self._on_change()

    def _on_reports(self, reports: tuple[bytes, ...]) -> None:
        if self.failover_participant:
            self.failover_participant.on_reports(reports)

    def _known_version(self) -> int:
        return self.snapshot.version

    # Periodic work

    async def _reconcile_forever(self, client: StoreClient) -> None:
        while True:
            try:
                await self._reconcile(client)
            except KeeperUnavailableError as error:
                log.info("store unavailable", extra={"kv": {"reason": error}})
            await asyncio.sleep(RECONCILE_INTERVAL_S)

    async def _reconcile(self, client: StoreClient) -> None:
        await self.leases.reconcile(client, time.monotonic_ns())
        await self._local_drains.reconcile(client)
        if not await self._ensure_membership(client):
            return
        if self._may_probe:
            await self._probe_leases.reconcile(client, self.backends, self._live_proxies())
        if self.failover_participant:
            await self._reconcile_failover(self.failover_participant, client)

    async def _reconcile_failover(
        self, participant: FailoverParticipant, client: StoreClient
    ) -> None:
        """Write the plan while this proxy holds its lease; the lab's hollow proxies extend this."""
        await participant.reconcile(client, self._live_proxies())

    async def _ensure_membership(self, client: StoreClient) -> bool:
        if self.observer_client:
            return self.observer_client.is_attached
        if self.leases.token(self.membership_lease):
            return True
        return await self.leases.acquire(client, self.membership_lease)

    async def _probe_forever(self, client: StoreClient) -> None:
        while True:
            self._prober.start_due_probes(self.backends)
            await self._hints.publish(client)
            await asyncio.sleep(PROBE_TICK_S)

    def _live_proxies(self) -> frozenset[str]:
        """The proxies that share probing and failover; the same object while they are unchanged.

        Through an observer, an agent receives the proxies of its zone and those that are moving
        from a lost observer; stalled proxies are left out. Where proxies of several zones find
        themselves assigned the same work, the first to acquire the lease does it. Without
        observers, a stalled proxy's membership lease expires together with its other leases.
        """
        snapshot = self.snapshot
        if self.observer_client is None:
            return snapshot.members
        return self._stalled_holders.live(snapshot.proxies, snapshot.attached, time.monotonic_ns())
