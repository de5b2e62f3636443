"""Who probes which box, and what the prober makes of it. Pure.

Boxes are dealt out over the proxies that live by rendezvous hashing (Thaler and Ravishankar, 1998): a proxy
that comes or goes moves only its own part. What is learnt goes round as a hint: advice with an age and its
evidence, of no rule's weight. A prober whose probes all fail at once blames its own way out.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import msgspec
import xxhash

MEMBER = "member/"
PROBE = "probe/"
HINT = "hint/"
FAILS = 3  # in a row, until a box counts as ill
MOST_HINT = 1024  # bytes


def prober(box: str, proxies: Iterable[str]) -> str:
    """The proxy whose box this is; empty where nobody lives."""
    rows = [(xxhash.xxh3_64_intdigest(f"{name}\0{box}".encode()), name) for name in proxies]
    return max(rows)[1] if rows else ""


def mine(boxes: Iterable[str], proxies: Iterable[str], me: str) -> list[str]:
    live = sorted(set(proxies))
    return [box for box in sorted(boxes) if prober(box, live) == me]


class Hint(msgspec.Struct, frozen=True, array_like=True):
    """What a prober says of a box. `for_ms`: how long that had been so when it was written."""

    ill: bool
    evidence: str
    for_ms: int
    probes: int


def read_hint(data: bytes) -> Hint | None:
    """None for bytes that are no hint."""
    if len(data) > MOST_HINT:
        return None
    try:
        return msgspec.msgpack.decode(data, type=Hint)
    except (msgspec.DecodeError, ValueError):
        return None


@dataclass(slots=True)
class Pace:
    """When a box may be probed; times in ns.

    Guards against leases that come and go: a prober remembers its last probe over the loss of its lease, and
    lets half of the time between two probes go by after it last saw another one hold it. So however often a
    box changes hands, it is probed no more than twice as often as planned.
    """

    every: int
    probed: dict[str, int] = field(default_factory=dict)
    others: dict[str, int] = field(default_factory=dict)

    def keep(self, names: Iterable[str]) -> None:
        """Forgets boxes that are no longer listed."""
        known = set(names)
        for rows in (self.probed, self.others):
            for name in [n for n in rows if n not in known]:
                del rows[name]

    def due(self, name: str, now: int) -> bool:
        mine = now - self.probed.get(name, now - self.every) >= self.every
        return mine and now - self.others.get(name, now - self.every) >= self.every // 2


@dataclass(slots=True)
class _Box:
    fails: int = 0
    probes: int = 0
    ill: bool = False
    since: int = 0
    said: bool | None = None
    evidence: str = ""


@dataclass(slots=True)
class Prober:
    """One proxy's probes; times in ns of its steady clock."""

    boxes: dict[str, _Box] = field(default_factory=dict)

    def keep(self, held: Iterable[str]) -> None:
        """Forgets the boxes that are no longer this proxy's."""
        names = set(held)
        self.boxes = {name: row for name, row in self.boxes.items() if name in names}

    def probed(self, box: str, ok: bool, evidence: str, now: int) -> None:
        row = self.boxes.setdefault(box, _Box(since=now))
        row.probes += 1
        row.fails = 0 if ok else row.fails + 1
        ill = row.fails >= FAILS
        if ill != row.ill:
            row.ill, row.since = ill, now
        row.evidence = evidence[:200]

    def blind(self) -> bool:
        """Whether all that it probes fails, which says more of its own way out than of the boxes."""
        rows = [row for row in self.boxes.values() if row.probes]
        return bool(rows) and all(row.fails for row in rows)

    def news(self, now: int) -> Mapping[str, Hint]:
        """Hints that differ from what was said last; nothing while it may be blind itself."""
        if self.blind():
            return {}
        found = {}
        for box, row in self.boxes.items():
            if row.probes and row.said != row.ill:
                found[box] = Hint(row.ill, row.evidence, (now - row.since) // 1_000_000, row.probes)
        return found

    def told(self, box: str, ill: bool) -> None:
        if row := self.boxes.get(box):
            row.said = ill
