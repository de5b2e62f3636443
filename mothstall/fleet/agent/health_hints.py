"""Health hints: probe results that proxies share through the store."""

from __future__ import annotations

import contextlib
import time

import msgspec

from mothstall.fleet.agent.counters import AgentCounters
from mothstall.fleet.agent.lease_renewal import PROPOSAL_TIMEOUT_S, LeaseRenewal
from mothstall.fleet.agent.snapshot_tracker import SnapshotTracker
from mothstall.fleet.agent.store_client import StoreClient
from mothstall.fleet.errors import KeeperUnavailableError
from mothstall.fleet.leases.names import PROBE_LEASE_PREFIX
from mothstall.fleet.probing.health_checker import HealthChecker
from mothstall.fleet.probing.health_hint import HEALTH_HINT_PREFIX, decode_health_hint
from mothstall.store.state.changes import PutValue


class HealthHints:
    """Writes hints to the store under the backend's probe lease, and reads those of all proxies."""

    def __init__(
        self,
        checker: HealthChecker,
        leases: LeaseRenewal,
        snapshots: SnapshotTracker,
        counters: AgentCounters,
    ) -> None:
        self._checker = checker
        self._leases = leases
        self._snapshots = snapshots
        self._counters = counters
        self._reported_tokens: dict[
            str, int
        ] = {}  # of hints that `take_unhealthy_backends` returned

    async def publish(self, client: StoreClient) -> None:
        """Write the hints that differ from those written last."""
        for backend, hint in self._checker.pending_hints(time.monotonic_ns()).items():
            lease_name = f"{PROBE_LEASE_PREFIX}{backend}"
            token = self._leases.token(lease_name)
            if not token or not client.peer_name:
                continue
            key = f"{HEALTH_HINT_PREFIX}{backend}"
            change = PutValue(lease_name, token, key, msgspec.msgpack.encode(hint))
            with contextlib.suppress(KeeperUnavailableError):
                result = await client.propose(change, PROPOSAL_TIMEOUT_S)
                if not result.rejected_reason:
                    self._checker.mark_published(backend, hint.is_unhealthy)
                    self._counters.hints_written += 1

    def take_unhealthy_backends(self) -> list[str]:
        """Return the backends with an unhealthy hint, each once per fencing token.

        A hint counts only while its writer still holds the lease to probe the backend.
        """
        snapshot = self._snapshots.current
        unhealthy: list[str] = []
        tokens: dict[str, int] = {}
        for key, value in snapshot.values.items():
            lease = snapshot.leases.get(value.lease)
            if (
                not key.startswith(HEALTH_HINT_PREFIX)
                or lease is None
                or lease.token != value.token
            ):
                continue
            hint = decode_health_hint(value.value)
            if hint is None or not hint.is_unhealthy:
                continue
            tokens[key] = value.token
            if self._reported_tokens.get(key) != value.token:
                unhealthy.append(key.removeprefix(HEALTH_HINT_PREFIX))
        self._reported_tokens = tokens
        return unhealthy
