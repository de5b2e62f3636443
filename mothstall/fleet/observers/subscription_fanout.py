"""Fan-out of updates of the replicated state to subscribers. Pure.

An observer holds one copy of the state and a history of changed keys, but no queue for any
subscriber: it only records the version that each subscriber has. The missing changes are computed
from the current rows when the subscriber can receive, so that a slow subscriber costs no memory: it
receives one delta in place of many, or a snapshot once its version is older than the history (as
etcd's watchers catch up, and as xDS resends the state of the world). Subscribers with equal
subscriptions and versions share one encoding. No subscriber receives a version older than its own.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from mothstall.fleet.observers.state_copy import AppliedChanges, StateCopy
from mothstall.fleet.observers.subscription import Subscription
from mothstall.fleet.units import NS_PER_S
from mothstall.store.state.rows import Drain, Lease, Member, StateDelta, StoredValue

MAX_CHANGES = 8192  # keys in the history; a subscriber further behind gets a snapshot
MAX_SUBSCRIBERS = 4096  # as many as an observer has attachments
MAX_SHARED_ENCODINGS = 64  # held in memory while one round of updates is made
NEVER_NS = -(1 << 62)  # before any time of a monotonic clock


@dataclass(slots=True)
class Subscriber:
    """One subscriber.

    Attributes:
        subscription: The part of the state that it receives.
        version: The version that it has.
        last_sent_ns: When an update was last sent to it.
    """

    subscription: Subscription
    version: int
    last_sent_ns: int = NEVER_NS


class EncodedUpdate(NamedTuple):
    """An update to send, by the subscriber's name."""

    subscriber: str
    data: bytes


class _SharedEncoding(NamedTuple):
    data: bytes
    is_empty: bool


class SubscriptionFanout:
    """The copy of the state and its subscribers."""

    def __init__(
        self,
        *,
        newer_only: bool = True,
        bounded: bool = True,
        max_changes: int = MAX_CHANGES,
        max_subscribers: int = MAX_SUBSCRIBERS,
        heartbeat_ns: int = NS_PER_S,
    ) -> None:
        """Start without a copy and without subscribers.

        Args:
            newer_only: Whether a version is never replaced by an older one; only tests disable
                this.
            bounded: Whether subscribers with unsent bytes are skipped; only tests disable this.
            max_changes: Limit of changes in the history.
            max_subscribers: Further subscribers are rejected.
            heartbeat_ns: Interval after which an update is sent even without changes.
        """
        self.newer_only = newer_only
        self.bounded = bounded
        self.max_subscribers = max_subscribers
        self.heartbeat_ns = heartbeat_ns
        self.state = StateCopy(max_changes)
        # Ordered by `last_sent_ns`, so that a round ends at the first subscriber that is up to
        # date.
        self.subscribers: OrderedDict[str, Subscriber] = OrderedDict()
        self.counts = dict.fromkeys(
            ("deltas", "snapshots", "told", "shared", "left_out", "older"), 0
        )

    @property
    def version(self) -> int:
        """The version of the copy; 0: there is none yet."""
        return self.state.version

    @property
    def leases(self) -> Mapping[str, Lease]:
        """All leases by name."""
        return self.state.leases

    @property
    def drains(self) -> Mapping[str, Drain]:
        """All drains by key."""
        return self.state.drains

    @property
    def values(self) -> Mapping[str, StoredValue]:
        """All stored values by key."""
        return self.state.values

    @property
    def members(self) -> Mapping[str, Member]:
        """All attached proxies by name."""
        return self.state.members

    def apply(self, delta: StateDelta) -> AppliedChanges | None:
        """Apply a keeper's delta; return the changes, or None if a complete state is needed.

        Guards against a lagging keeper: a version older than the copy is ignored.
        """
        if delta.version < self.version and self.newer_only:
            self.counts["older"] += 1
            return AppliedChanges()
        if delta.since_version not in (0, self.version):
            return AppliedChanges() if delta.version == self.version else None
        if delta.version == self.version and self.version:
            return AppliedChanges()
        return self.state.merge(delta)

    def subscribe(self, name: str, subscription: Subscription, known_version: int) -> str:
        """Add a subscriber at a known version; return why it is rejected, empty if it is not."""
        if name not in self.subscribers and len(self.subscribers) >= self.max_subscribers:
            self.counts["left_out"] += 1
            return f"{self.max_subscribers} proxies are attached already"
        self.subscribers[name] = Subscriber(subscription, max(0, known_version))
        self.subscribers.move_to_end(name, last=False)
        return ""

    def unsubscribe(self, name: str) -> None:
        """Remove a subscriber, if it is one."""
        self.subscribers.pop(name, None)

    def delta_since(self, subscription: Subscription, known_version: int) -> StateDelta:
        """Return what a subscriber lacks; empty if its version is not older than the copy's."""
        if known_version and known_version >= self.version and self.newer_only:
            return StateDelta(self.version, self.version)
        if self.state.history.reaches_back_to(known_version):
            return self.state.delta_for(subscription, known_version)
        return self.state.snapshot_for(subscription)

    def due_updates(
        self,
        now_ns: int,
        limit: int,
        encode: Callable[[StateDelta], bytes],
        unsent_bytes: Callable[[str], int],
    ) -> Iterator[EncodedUpdate]:
        """Return the updates to send now; linear in the subscribers that are behind.

        A subscriber with unsent bytes is skipped; a later update is computed from its recorded
        version.

        Args:
            now_ns: The steady clock.
            limit: Maximum number of updates in this round; the remaining subscribers are first in
                the next.
            encode: Encodes a delta.
            unsent_bytes: Returns the unsent bytes on a subscriber's connection, by its name.
        """
        encodings: dict[tuple[Subscription, int], _SharedEncoding] = {}
        sent = 0
        for name, subscriber, is_behind in self._ready_subscribers(now_ns, unsent_bytes):
            if sent >= limit:
                return
            since_version = subscriber.version if is_behind else self.version
            if not self.state.history.reaches_back_to(since_version):
                since_version = 0
            key = (subscriber.subscription, since_version)
            encoding = encodings.get(key)
            if encoding is None:
                encoding = self._encode(encodings, key, encode)
            else:
                self.counts["shared"] += 1
            # Guards against frames for every change in the fleet: changes outside the subscription
            # cause none.
            if encoding.is_empty and not self._is_heartbeat_due(subscriber, now_ns):
                continue
            self._record_sent(name, subscriber, now_ns)
            sent += 1
            yield EncodedUpdate(name, encoding.data)

    def _ready_subscribers(
        self, now_ns: int, unsent_bytes: Callable[[str], int]
    ) -> Iterator[tuple[str, Subscriber, bool]]:
        """Subscribers that are behind or due a heartbeat, and have no unsent bytes.

        Yields the name, the subscriber, and whether its version is behind the copy's.
        """
        for name in list(self.subscribers):
            subscriber = self.subscribers[name]
            is_behind = self._is_behind(subscriber)
            if is_behind or self._is_heartbeat_due(subscriber, now_ns):
                # Guards against a backlog for a slow subscriber: no update is encoded while it has
                # unsent bytes.
                if not self.bounded or unsent_bytes(name) == 0:
                    yield name, subscriber, is_behind
            elif subscriber.version <= self.version:
                return
            # Guards against a subscriber that has, or claims, a later version than this copy and
            # would block all others: the round continues with the next one.

    def _is_heartbeat_due(self, subscriber: Subscriber, now_ns: int) -> bool:
        return now_ns - subscriber.last_sent_ns >= self.heartbeat_ns

    def _is_behind(self, subscriber: Subscriber) -> bool:
        if self.newer_only:
            return subscriber.version < self.version
        return subscriber.version != self.version

    def _encode(
        self,
        encodings: dict[tuple[Subscription, int], _SharedEncoding],
        key: tuple[Subscription, int],
        encode: Callable[[StateDelta], bytes],
    ) -> _SharedEncoding:
        """Encode an update, and cache it for this round."""
        subscription, since_version = key
        delta = self.delta_since(subscription, since_version)
        is_snapshot = delta.since_version == 0
        self.counts["snapshots" if is_snapshot else "deltas"] += 1
        if len(encodings) >= MAX_SHARED_ENCODINGS:
            encodings.clear()
        has_rows = delta.leases or delta.drains or delta.values or delta.members
        encodings[key] = _SharedEncoding(encode(delta), not is_snapshot and not has_rows)
        return encodings[key]

    def _record_sent(self, name: str, subscriber: Subscriber, now_ns: int) -> None:
        if self.newer_only:
            subscriber.version = max(subscriber.version, self.version)
        else:
            subscriber.version = self.version
        subscriber.last_sent_ns = now_ns
        self.subscribers.move_to_end(name)
        self.counts["told"] += 1
