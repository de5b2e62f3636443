"""Health checks of the backends whose probe leases this proxy holds."""

from __future__ import annotations

import asyncio
import time

from mothstall.fleet.agent.backend_endpoint import BackendEndpoint, Backends
from mothstall.fleet.agent.counters import AgentCounters
from mothstall.fleet.agent.lease_renewal import LeaseRenewal
from mothstall.fleet.agent.snapshot_tracker import SnapshotChange
from mothstall.fleet.agent.task_supervisor import TaskSupervisor
from mothstall.fleet.leases.names import PROBE_LEASE_PREFIX
from mothstall.fleet.operator_config import OperatorConfig
from mothstall.fleet.probing.health_checker import HealthChecker
from mothstall.fleet.probing.probe_schedule import ProbeSchedule
from mothstall.fleet.units import NS_PER_S

MAX_PROBES_IN_FLIGHT = 32  # bounds sockets, and the load of a proxy that has just started
MAX_EVIDENCE_BYTES = 40  # kept of a status line
MAX_ERROR_CHARACTERS = 100
STATUS_OK = b" 200 "
STATUS_STALE_TOKEN = b" 412 "  # the backend has seen a newer fencing token


class HealthProber:
    """Sends probes when they are due.

    Attributes:
        checker: The health of each backend by its probe results.
    """

    def __init__(
        self,
        operator: OperatorConfig,
        leases: LeaseRenewal,
        tasks: TaskSupervisor,
        counters: AgentCounters,
    ) -> None:
        self.checker = HealthChecker()
        self._timeout_s = operator.probing.timeout_ns / NS_PER_S
        self._schedule = ProbeSchedule(int(operator.probing.interval_ns))
        self._scheduled_backends: Backends = {}  # those with probe times in the schedule
        self._leases = leases
        self._tasks = tasks
        self._counters = counters
        self._in_flight = 0

    def on_snapshot(self, change: SnapshotChange) -> None:
        """Record when changed probe leases were last held by other proxies.

        Not done in the reconcile loop, which may be waiting for a slow keeper.
        """
        previous = change.previous.leases
        for name in change.delta.leases if change.delta.since_version else previous:
            lease = previous.get(name)
            is_probe = name.startswith(PROBE_LEASE_PREFIX)
            if lease and lease.owner != self._leases.owner and is_probe:
                self._schedule.last_held_elsewhere_ns[name] = change.received_at_ns

    def start_due_probes(self, backends: Backends) -> None:
        """Start the due probes whose lease is valid, up to `MAX_PROBES_IN_FLIGHT`."""
        now_ns = time.monotonic_ns()
        held = self._leases.held_names(PROBE_LEASE_PREFIX)
        self.checker.retain(name.removeprefix(PROBE_LEASE_PREFIX) for name in held)
        if backends is not self._scheduled_backends:
            self._scheduled_backends = backends
            self._schedule.retain(f"{PROBE_LEASE_PREFIX}{backend}" for backend in backends)
        for name in held:
            backend = backends.get(name.removeprefix(PROBE_LEASE_PREFIX))
            is_allowed = self._in_flight < MAX_PROBES_IN_FLIGHT and self._leases.holder.valid_token(
                name, now_ns
            )
            if backend and is_allowed and self._schedule.is_due(name, now_ns):
                self._schedule.last_probe_ns[name] = now_ns
                self._tasks.spawn(self._probe(name, backend))

    async def _probe(self, lease_name: str, backend: BackendEndpoint) -> None:
        self._in_flight += 1
        status_line: bytes | None = None
        evidence = ""
        try:
            async with asyncio.timeout(self._timeout_s):
                status_line = await self._request_health(lease_name, backend)
        except (OSError, TimeoutError) as error:
            evidence = f"{type(error).__name__}: {error}"[:MAX_ERROR_CHARACTERS]
        else:
            if status_line is None:
                return
            evidence = status_line[:MAX_EVIDENCE_BYTES].decode("ascii", "replace").strip()
        finally:
            self._in_flight -= 1
        is_healthy = status_line is not None and STATUS_OK in status_line
        if not is_healthy:
            self._counters.probes_failed += 1
        backend_name = lease_name.removeprefix(PROBE_LEASE_PREFIX)
        self.checker.record_probe(backend_name, is_healthy, evidence, time.monotonic_ns())

    async def _request_health(self, lease_name: str, backend: BackendEndpoint) -> bytes | None:
        """Return the status line; None if this proxy must not probe the backend any more."""
        reader, writer = await asyncio.open_connection(backend.address.host, backend.address.port)
        try:
            # The last check before the request; a backend that has seen a newer token rejects a
            # late one.
            token = self._leases.token(lease_name)
            if not token:
                return None
            self._counters.probes_sent += 1
            writer.write(
                f"GET /health HTTP/1.1\r\nHost: {backend.address}\r\n"
                f"X-Fence: {lease_name};{token}\r\nConnection: close\r\n\r\n".encode()
            )
            status_line = await reader.readline()
            if STATUS_STALE_TOKEN in status_line:
                # The backend is not at fault: another proxy probes it under a newer token.
                self._leases.forget(lease_name)
                return None
            return status_line
        finally:
            writer.close()
