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
class Word:
    """An update of the endpoint list: the full list, or the changes since a version."""

    version: int
    full: bool
    entries: tuple[io.Endpoint, ...]


class Directory:
    def __init__(self, rules: Discovery, time: Timeline, ledger: Ledger, base: int) -> None:
        self.rules, self.time, self.ledger, self.base = rules, time, ledger, base
        self.version = 1
        self.down = self.stale = False
        self.listed: dict[int, io.Endpoint] = {}
        self._seeded: dict[int, io.Endpoint] = {}
        self._changes: list[tuple[int, int, io.Endpoint]] = []  # version, time, entry
        self._held: list[io.Endpoint] = []  # changes not published while stale
        self._busy_until = 0
        self._watchers: dict[int, Callable[[Word | None], object]] = {}
        self._contact: dict[int, int] = {}
        self._known: dict[int, set[int]] = {}

    # Changes of the fleet

    def seed(self, entries: list[io.Endpoint]) -> None:
        """Set the list at the start of the run."""
        self.listed = {entry.backend: entry for entry in entries}
        self._seeded = dict(self.listed)

    def change(self, entry: io.Endpoint) -> None:
        """Publish a change of a backend after the lag."""
        self.time.at(self.time.now + self.rules.lag, self._publish, entry)

    def _publish(self, entry: io.Endpoint) -> None:
        if self.stale:
            self._held.append(entry)
            return
        self.version += 1
        if entry.health == Health.GONE:
            self.listed.pop(entry.backend, None)
        else:
            self.listed[entry.backend] = entry
        self._changes.append((self.version, self.time.now, entry))
        del self._changes[:-MAX_CHANGES]
        word = Word(self.version, False, (entry,))
        for tell in list(self._watchers.values()):
            tell(word)
        self.time.at(self.time.now + self.rules.ask_within, self._deem, self.time.now, entry)

    def set_stale(self, on: bool) -> None:
        self.stale = on
        if not on:
            held, self._held = self._held, []
            for entry in held:
                self._publish(entry)

    def set_down(self, on: bool) -> None:
        """Stop or start the service; both end every watch."""
        self.down = on
        watchers, self._watchers = self._watchers, {}
        for proxy, tell in watchers.items():
            self._contact[proxy] = self.time.now
            tell(None)

    # Calls and watches

    def ask(self, proxy: int) -> int:
        """Accept a call and return the time of its response, served in sequence; -1: none."""
        now = self.time.now
        self._contact[proxy] = now
        if self.down:
            return -1
        self._busy_until = max(self._busy_until, now) + self.rules.service
        return self._busy_until

    def since(self, version: int) -> Word:
        """The changes after a version; the full list if they are not kept, or for version 0."""
        if version >= self.version:
            return Word(self.version, False, ())
        oldest = self._changes[0][0] if self._changes else self.version + 1
        if version < oldest - 1 or version == 0:
            return Word(self.version, True, tuple(self.listed.values()))
        return Word(self.version, False, tuple(e for v, _, e in self._changes if v > version))

    def as_of(self, at: int) -> Word:
        """The list at an earlier time, for a proxy that starts with a cached list."""
        listed = dict(self.listed)
        undo = [row for row in self._changes if row[1] > at]
        if not undo:
            return Word(self.version, True, tuple(listed.values()))
        first = undo[0][0] - 1
        before: dict[int, io.Endpoint] = {}
        for version, _, entry in self._changes:
            if version <= first:
                before[entry.backend] = entry
        for _, _, entry in undo:
            listed.pop(entry.backend, None)
            old = before.get(entry.backend) or self._seeded.get(entry.backend)
            if old is not None and old.health != Health.GONE:
                listed[entry.backend] = old
        return Word(first, True, tuple(listed.values()))

    def watch(self, proxy: int, tell: Callable[[Word | None], object] | None) -> None:
        """Begin a watch, or end it with None. The callback gets each change, None at the end."""
        self._contact[proxy] = self.time.now
        if tell is None:
            self._watchers.pop(proxy, None)
        else:
            self._watchers[proxy] = tell

    # Updates delivered to proxies

    def note(self, proxy: int, word: Word) -> None:
        """Record an update that reached a proxy."""
        now, known = self.time.now, self._known.setdefault(proxy, set())
        if word.full:
            listed = {entry.backend for entry in word.entries}
            for box in sorted(known - listed):
                self._out(proxy, box, now)
        for entry in word.entries:
            if entry.health == Health.READY:
                known.add(entry.backend)
                spans = self.ledger.told_out.get((proxy, entry.backend))
                if spans and spans[-1][1] < 0:
                    spans[-1] = (spans[-1][0], now)
                if entry.started_ns:
                    key = (proxy, entry.backend, entry.started_ns - self.base)
                    self.ledger.told_start.setdefault(key, now)
            else:
                self._out(proxy, entry.backend, now)

    def _out(self, proxy: int, box: int, now: int) -> None:
        spans = self.ledger.told_out.setdefault((proxy, box), [])
        if not spans or spans[-1][1] >= 0:
            spans.append((now, -1))

    def forget(self, proxy: int) -> None:
        """Discard the state of a proxy whose process ended."""
        self._known.pop(proxy, None)
        self._watchers.pop(proxy, None)
        for (who, box), spans in self.ledger.told_out.items():
            if who == proxy and spans[-1][1] < 0:
                self.ledger.told_out[who, box][-1] = (spans[-1][0], self.time.now)

    def _deem(self, published: int, entry: io.Endpoint) -> None:
        """Count proxies without watch or call within the settings' limit as notified."""
        for proxy, at in sorted(self._contact.items()):
            if proxy not in self._watchers and at < published:
                self.note(proxy, Word(self.version, False, (entry,)))
