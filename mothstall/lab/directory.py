"""The simulated discovery service: a versioned list that lags, serves watches, and can fail.

Pure: it holds no connections. A driver calls `accept_call` for a poll, `watch` to subscribe, and
`record_delivery` for each update that reached a proxy. Start times of backends are `base` + the
run's time, or 0 for long ago.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from mothstall import interface as io
from mothstall.interface import Health
from mothstall.lab.ledger import Ledger
from mothstall.lab.scenario import Discovery
from mothstall.lab.timeline import Timeline

MAX_CHANGES = 5_000  # limit of kept changes; older versions get the full list


@dataclass(slots=True, frozen=True)
class ListUpdate:
    """An update of the endpoint list: the full list, or the changes since a version."""

    version: int
    full: bool
    entries: tuple[io.Endpoint, ...]


class DiscoveryService:
    def __init__(self, config: Discovery, time: Timeline, ledger: Ledger, base: int) -> None:
        self.config, self.time, self.ledger, self.base = config, time, ledger, base
        self.version = 1
        self.down = self.stale = False
        self.listed: dict[int, io.Endpoint] = {}
        self._initial: dict[int, io.Endpoint] = {}
        self._changes: list[tuple[int, int, io.Endpoint]] = []  # version, time, entry
        self._withheld: list[io.Endpoint] = []  # changes not published while stale
        self._busy_until = 0
        self._watchers: dict[int, Callable[[ListUpdate | None], object]] = {}
        self._last_contact: dict[int, int] = {}
        self._known_backends: dict[int, set[int]] = {}

    # Changes of the fleet

    def set_initial(self, entries: list[io.Endpoint]) -> None:
        """Set the list at the start of the run."""
        self.listed = {entry.backend: entry for entry in entries}
        self._initial = dict(self.listed)

    def schedule_change(self, entry: io.Endpoint) -> None:
        """Publish a change of a backend after the lag."""
        self.time.at(self.time.now + self.config.lag, self._publish, entry)

    def _publish(self, entry: io.Endpoint) -> None:
        if self.stale:
            self._withheld.append(entry)
            return
        self.version += 1
        if entry.health == Health.GONE:
            self.listed.pop(entry.backend, None)
        else:
            self.listed[entry.backend] = entry
        self._changes.append((self.version, self.time.now, entry))
        del self._changes[:-MAX_CHANGES]
        update = ListUpdate(self.version, False, (entry,))
        for notify in list(self._watchers.values()):
            notify(update)
        self.time.at(
            self.time.now + self.config.ask_within, self._count_as_notified, self.time.now, entry
        )

    def set_stale(self, on: bool) -> None:
        self.stale = on
        if not on:
            withheld, self._withheld = self._withheld, []
            for entry in withheld:
                self._publish(entry)

    def set_down(self, on: bool) -> None:
        """Stop or start the service; both end every watch."""
        self.down = on
        watchers, self._watchers = self._watchers, {}
        for proxy, notify in watchers.items():
            self._last_contact[proxy] = self.time.now
            notify(None)

    # Calls and watches

    def accept_call(self, proxy: int) -> int:
        """Accept a call and return the time of its response, served in sequence; -1: none."""
        now = self.time.now
        self._last_contact[proxy] = now
        if self.down:
            return -1
        self._busy_until = max(self._busy_until, now) + self.config.service
        return self._busy_until

    def updates_since(self, version: int) -> ListUpdate:
        """The changes after a version; the full list if they are not kept, or for version 0."""
        if version >= self.version:
            return ListUpdate(self.version, False, ())
        oldest = self._changes[0][0] if self._changes else self.version + 1
        if version < oldest - 1 or version == 0:
            return ListUpdate(self.version, True, tuple(self.listed.values()))
        return ListUpdate(self.version, False, tuple(e for v, _, e in self._changes if v > version))

    def as_of(self, at: int) -> ListUpdate:
        """The list at an earlier time, for a proxy that starts with a cached list."""
        listed = dict(self.listed)
        later_changes = [row for row in self._changes if row[1] > at]
        if not later_changes:
            return ListUpdate(self.version, True, tuple(listed.values()))
        version_before = later_changes[0][0] - 1
        before: dict[int, io.Endpoint] = {}
        for version, _, entry in self._changes:
            if version <= version_before:
                before[entry.backend] = entry
        for _, _, entry in later_changes:
            listed.pop(entry.backend, None)
            earlier = before.get(entry.backend) or self._initial.get(entry.backend)
            if earlier is not None and earlier.health != Health.GONE:
                listed[entry.backend] = earlier
        return ListUpdate(version_before, True, tuple(listed.values()))

    def watch(self, proxy: int, notify: Callable[[ListUpdate | None], object] | None) -> None:
        """Begin a watch, or end it with None. The callback gets each change, None at the end."""
        self._last_contact[proxy] = self.time.now
        if notify is None:
            self._watchers.pop(proxy, None)
        else:
            self._watchers[proxy] = notify

    # Updates delivered to proxies

    def record_delivery(self, proxy: int, update: ListUpdate) -> None:
        """Record an update that reached a proxy."""
        now, known = self.time.now, self._known_backends.setdefault(proxy, set())
        if update.full:
            listed = {entry.backend for entry in update.entries}
            for backend in sorted(known - listed):
                self._record_unavailable(proxy, backend, now)
        for entry in update.entries:
            if entry.health == Health.READY:
                known.add(entry.backend)
                spans = self.ledger.notified_unavailable.get((proxy, entry.backend))
                if spans and spans[-1][1] < 0:
                    spans[-1] = (spans[-1][0], now)
                if entry.started_ns:
                    key = (proxy, entry.backend, entry.started_ns - self.base)
                    self.ledger.notified_start.setdefault(key, now)
            else:
                self._record_unavailable(proxy, entry.backend, now)

    def _record_unavailable(self, proxy: int, backend: int, now: int) -> None:
        spans = self.ledger.notified_unavailable.setdefault((proxy, backend), [])
        if not spans or spans[-1][1] >= 0:
            spans.append((now, -1))

    def forget_proxy(self, proxy: int) -> None:
        """Discard the state of a proxy whose process ended."""
        self._known_backends.pop(proxy, None)
        self._watchers.pop(proxy, None)
        for (notified_proxy, backend), spans in self.ledger.notified_unavailable.items():
            if notified_proxy == proxy and spans[-1][1] < 0:
                self.ledger.notified_unavailable[notified_proxy, backend][-1] = (
                    spans[-1][0],
                    self.time.now,
                )

    def _count_as_notified(self, published: int, entry: io.Endpoint) -> None:
        """Count proxies without watch or call within the settings' limit as notified."""
        for proxy, at in sorted(self._last_contact.items()):
            if proxy not in self._watchers and at < published:
                self.record_delivery(proxy, ListUpdate(self.version, False, (entry,)))
