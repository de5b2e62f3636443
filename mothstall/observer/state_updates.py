"""Applies watch events to the copy of the state, and sends updates to attached proxies."""

from __future__ import annotations

import time

import msgspec

from mothstall.observer.attached_proxies import AttachedProxies
from mothstall.observer.keeper_contact import KeeperContact
from mothstall.observer.model import ObserverModel
from mothstall.store.protocol.keeper_messages import WatchEvent
from mothstall.store.protocol.observer_messages import StateUpdate
from mothstall.store.state.rows import StateDelta


class StateUpdates:
    """Applies keepers' events to the copy, and sends each proxy the changes that it lacks."""

    def __init__(
        self,
        contact: KeeperContact,
        model: ObserverModel,
        proxies: AttachedProxies,
        max_updates_per_tick: int,
        counts: dict[str, int],
    ) -> None:
        """Count `told_bytes` in `counts`."""
        self._contact = contact
        self._model = model
        self._proxies = proxies
        self._max_updates_per_tick = max_updates_per_tick
        self._counts = counts

    def on_watch_event(self, event: WatchEvent) -> None:
        """Apply an event; request the complete state if it does not follow the copy's version."""
        now_ns = time.monotonic_ns()
        changes = self._model.fanout.apply(event.delta)
        if changes is None:
            self._contact.clients.state.request_resync()
            return
        if event.has_leader and event.delta.version >= self._model.fanout.version:
            self._contact.record_leader_contact(now_ns)
        if not changes.leases and not changes.members:
            return
        self._model.sweeper.apply_changes(changes.leases, changes.members, now_ns)
        self._proxies.reject_moved(self._model.table.apply_changes(changes.members))

    def send_due(self, now_ns: int) -> None:
        """Send due updates; linear in the proxies that are behind, equal ones are encoded once."""
        age_ms = self._contact.age_ms()

        def encode(delta: StateDelta) -> bytes:
            return msgspec.msgpack.encode(StateUpdate(delta, age_ms))

        def unsent_bytes(name: str) -> int:
            return self._proxies.connection(name).unsent_bytes

        updates = self._model.fanout.due_updates(
            now_ns, self._max_updates_per_tick, encode, unsent_bytes
        )
        for name, payload in updates:
            self._counts["told_bytes"] += len(payload)
            self._proxies.connection(name).send(payload)
