"""Sends changes of the state as watch events to the clients that watch it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import msgspec

from mothstall.keeper.limits import KeeperLimits
from mothstall.keeper.replica import Replica
from mothstall.store.protocol import keeper_messages
from mothstall.store.protocol.connection import FrameConnection
from mothstall.store.state.rows import StateDelta


@dataclass(slots=True, eq=False)
class Watcher:
    """A client that watches the state.

    Attributes:
        connection: The connection that events are sent to.
        version: The version of the state that the client has; 0 if it has no version.
        sent_at_s: When the last event was sent, by the loop's clock; 0 before the first event.
    """

    connection: FrameConnection
    version: int
    sent_at_s: float = 0.0


@dataclass(frozen=True, slots=True)
class EncodedEvent:
    """One event as it is sent to all watchers of the same version.

    Attributes:
        version: The version that a watcher has after this event.
        payload: The encoded `WatchEvent`.
    """

    version: int
    payload: bytes


class WatchPublisher:
    """Sends watch events in rounds; each brings its watchers to one version of the state.

    Guards against many watchers at different versions, each of which needs an encoding of its own:
    watchers that got the same event lack the same changes from then on, so that one encoding serves
    all of them. Each batch is bounded; the rest of the round follows in later batches. Also guards
    against mass joins whose changes would be sent to all joining members twenty times a second and
    use up their capacity: changes for many watchers are sent less often.

    A round takes time linear in the watchers; those that have the current version and got an event
    within the heartbeat interval are skipped.
    """

    def __init__(
        self,
        replica: Replica,
        limits: KeeperLimits,
        counts: dict[str, int],
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Start without watchers; `counts["pushes"]` counts the events sent."""
        self._replica = replica
        self._limits = limits
        self._counts = counts
        self._loop = loop
        self._watchers: dict[FrameConnection, Watcher] = {}
        self._round: list[Watcher] = []  # watchers of this round without their event yet
        # Events of this round, by the version that their watchers have before it.
        self._events: dict[int, EncodedEvent] = {}
        self._next_changes_at_s = 0.0  # earliest time of the next round with changes
        self._timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        return len(self._watchers)

    def add(self, connection: FrameConnection, version: int) -> None:
        """Send the changes after this version to a connection; replaces an earlier watch."""
        self._watchers[connection] = Watcher(connection, version)

    def discard(self, connection: FrameConnection) -> None:
        """Remove a closed connection."""
        self._watchers.pop(connection, None)

    def start(self) -> None:
        """Send the first batch now and further ones by timer."""
        self._send_batch()

    def stop(self) -> None:
        """Send no further events."""
        if self._timer:
            self._timer.cancel()

    def _send_batch(self) -> None:
        now_s = self._loop.time()
        if not self._round:
            self._begin_round(now_s)
        sent = 0
        while self._round and sent < self._limits.max_events_per_batch:
            sent += self._send_event(self._round.pop(), now_s)
        self._counts["pushes"] += sent
        if self._round:
            pause_s = self._limits.watch_batch_pause_s
        else:
            pause_s = self._limits.watch_interval_s
            self._events = {}
        self._timer = self._loop.call_later(pause_s, self._send_batch)

    def _send_event(self, watcher: Watcher, now_s: float) -> bool:
        connection = watcher.connection
        if self._watchers.get(connection) is not watcher:
            return False  # disconnected, or replaced by a new watch, since the round began
        has_unsent = connection.unsent_bytes > 0
        if has_unsent and now_s - watcher.sent_at_s < self._limits.slow_watcher_s:
            return False  # the client has not read the last event yet
        event = self._events[watcher.version]
        if not connection.send(event.payload):
            return False
        watcher.version = event.version
        watcher.sent_at_s = now_s
        return True

    def _begin_round(self, now_s: float) -> None:
        """Choose the watchers of a round and encode their events.

        Changes are sent if they are due; new watchers get the complete state at any time; watchers
        without an event for `watch_heartbeat_s` get an empty one.
        """
        state = self._replica.state
        has_leader = bool(self._replica.raft.leader)
        are_changes_due = now_s >= self._next_changes_at_s

        def gets_changes(version: int) -> bool:
            return version != state.version and (are_changes_due or not version)

        self._round = [
            watcher
            for watcher in self._watchers.values()
            if gets_changes(watcher.version)
            or now_s - watcher.sent_at_s >= self._limits.watch_heartbeat_s
        ]
        self._events = {}
        for version in {watcher.version for watcher in self._round}:
            delta = (
                state.delta_since(version)
                if gets_changes(version)
                else StateDelta(version, version)
            )
            event = keeper_messages.WatchEvent(delta, has_leader)
            self._events[version] = EncodedEvent(delta.version, msgspec.msgpack.encode(event))
        if are_changes_due:
            recipients = sum(gets_changes(watcher.version) for watcher in self._round)
            self._next_changes_at_s = now_s + recipients / self._limits.max_watch_events_per_s
