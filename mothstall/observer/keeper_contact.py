"""The observer's connections to keepers, and the freshness of the state received from them."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from mothstall.fleet.agent.keeper_client import KeeperClient
from mothstall.fleet.operator_config import OperatorConfig
from mothstall.store.protocol.frames import PeerRole
from mothstall.store.protocol.keeper_messages import WatchEvent

NS_PER_MS = 1_000_000


class KeeperClients:
    """Three clients of the keepers, so that a slow change of one kind does not delay the others.

    Attributes:
        state: Watches the state and forwards proposals of proxies.
        membership: Changes the observer's own lease and writes its membership batches.
        renewals: Renews leases of all proxies.
    """

    state: KeeperClient
    membership: KeeperClient
    renewals: KeeperClient

    def __init__(self, operator: OperatorConfig, owner: str) -> None:
        """Prepare clients under the observer's name `owner`; they connect after `start`."""
        self._operator = operator
        self._owner = owner

    def start(
        self,
        on_event: Callable[[WatchEvent], None],
        known_version: Callable[[], int],
        on_reports: Callable[[tuple[bytes, ...]], None],
    ) -> None:
        """Create the clients, which connect at once.

        Args:
            on_event: Receives the events of the watched state.
            known_version: Returns the version from which the state is watched.
            on_reports: Receives proxies' reports while subscribed.
        """
        loop = asyncio.get_running_loop()
        role = PeerRole.OBSERVER
        self.state = KeeperClient(
            self._operator,
            self._owner,
            role,
            loop=loop,
            on_watch_event=on_event,
            known_version=known_version,
            on_reports=on_reports,
        )
        self.membership = KeeperClient(self._operator, self._owner, role, loop=loop)
        self.renewals = KeeperClient(self._operator, self._owner, role, loop=loop)

    async def close(self) -> None:
        """Close all connections."""
        for client in (self.state, self.membership, self.renewals):
            await client.close()


class KeeperContact:
    """Time since a keeper with a leader last sent anything, and the decisions that depend on it.

    Attributes:
        clients: The connections to keepers.
    """

    def __init__(self, name: str, clients: KeeperClients, stale_ns: int) -> None:
        """Treat contact older than `stale_ns` as lost; the observer's `name` appears in reasons."""
        self.clients = clients
        self._name = name
        self._stale_ns = stale_ns
        self._leader_contact_at_ns = 0  # 0: never
        self._keeper_switched_at_ns = 0

    def record_leader_contact(self, now_ns: int) -> None:
        """Record that a keeper with a leader sent the current state, or that it is unchanged."""
        self._leader_contact_at_ns = now_ns
        self._keeper_switched_at_ns = now_ns

    def age_ms(self) -> int:
        """Return the maximum age of the copy; -1: no keeper with a leader was reached yet."""
        if not self._leader_contact_at_ns:
            return -1
        return (time.monotonic_ns() - self._leader_contact_at_ns) // NS_PER_MS

    def unavailable_reason(self) -> str:
        """Return why keepers cannot take proposals; empty if they can."""
        is_connected = bool(self.clients.state.peer_name and self._leader_contact_at_ns)
        if is_connected and time.monotonic_ns() - self._leader_contact_at_ns < self._stale_ns:
            return ""
        return f"no quorum: {self._name} has heard no keeper with a leader for {self.age_ms()} ms"

    def switch_keeper_if_stale(self, now_ns: int) -> None:
        """Connect to another keeper if this one has no leader or sends nothing."""
        if now_ns - max(self._leader_contact_at_ns, self._keeper_switched_at_ns) > self._stale_ns:
            self._keeper_switched_at_ns = now_ns
            self.clients.state.disconnect("the keeper has no leader, or sends nothing")
