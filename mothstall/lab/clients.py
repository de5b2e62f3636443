"""Simulated clients, and the selection of a proxy for each request.

Pure: time, random numbers and the request transport are given. Arrivals are an open process: they
do not wait for earlier responses, and latency counts from the scheduled arrival.
"""

from __future__ import annotations

import bisect
import itertools
import random
from typing import Protocol

from mothstall.interface import NS
from mothstall.lab.ledger import Answer, Intent, Ledger, Try
from mothstall.lab.scenario import Scenario
from mothstall.lab.timeline import Timeline

SLACK_NS = 50_000_000  # a response this late after its deadline still counts as in time
LEAST_LEFT_NS = 20_000_000  # with less time left a client does not retry
GOLDEN = 0.6180339887498949


class Carrier(Protocol):
    """Sends a client's request to a proxy, and reports its end to `Clients.answered`."""

    def ask(self, row: Try, repeated: bool) -> None: ...

    def leave(self, row: Try) -> None: ...


class Front:
    """Distributes requests over a zone's proxies. Deaths are detected late, restarts at once."""

    def __init__(self, s: Scenario, time: Timeline, rng: random.Random) -> None:
        self.time, self.rng, self.notice = time, rng, s.network.notice
        self.zones = len(s.zones)
        self.weights = [1.0] * s.proxies.count
        self.alive = [True] * s.proxies.count
        self._deaths = [0] * s.proxies.count
        self._rows: dict[int, tuple[list[int], list[float]]] = {}

    def down(self, proxy: int) -> None:
        self._deaths[proxy] += 1
        self.time.at(self.time.now + self.notice, self._notice, proxy, self._deaths[proxy])

    def _notice(self, proxy: int, death: int) -> None:
        if self._deaths[proxy] == death:
            self.alive[proxy] = False
            self._rows.clear()

    def back(self, proxy: int) -> None:
        self._deaths[proxy] += 1
        self.alive[proxy] = True
        self._rows.clear()

    def heat(self, proxy: int, factor: float) -> None:
        self.weights[proxy] *= factor
        self._rows.clear()

    def pick(self, zone: int) -> int:
        """Draw a proxy believed alive for a client: in its zone if there is one, else in any."""
        row = self._rows.get(zone)
        if row is None:
            alive = [p for p, up in enumerate(self.alive) if up] or list(range(len(self.alive)))
            mine = [p for p in alive if p % self.zones == zone] or alive
            row = self._rows[zone] = (
                mine,
                list(itertools.accumulate(self.weights[p] for p in mine)),
            )
        mine, sums = row
        return mine[min(bisect.bisect(sums, self.rng.random() * sums[-1]), len(mine) - 1)]


class _Draw:
    """A weighted random choice; bursts multiply the weights."""

    def __init__(self, parts: list[float]) -> None:
        self.parts = parts
        self.factors = [1.0] * len(parts)
        self.update()

    def update(self) -> None:
        self.sums = list(
            itertools.accumulate(p * f for p, f in zip(self.parts, self.factors, strict=True))
        )

    def pick(self, luck: float) -> int:
        return min(bisect.bisect(self.sums, luck * self.sums[-1]), len(self.sums) - 1)


class Clients:
    def __init__(
        self,
        s: Scenario,
        *,
        time: Timeline,
        ledger: Ledger,
        front: Front,
        rng: random.Random,
        carrier: Carrier,
    ) -> None:
        self.s, self.c, self.time, self.ledger, self.front = s, s.clients, time, ledger, front
        self.rng, self.carrier = rng, carrier
        self.rate, self.burst, self._due = s.rate, 1.0, 0
        self.until = s.total_ns  # end of all requests; a driver may set an earlier end
        self.kinds = _Draw([k.part for k in s.classes])
        self.tenants = _Draw([t.part for t in s.tenants] or [1.0])
        self.zones = _Draw(list(s.traffic) or [1.0] * len(s.zones))
        self.subjects = (
            _Draw([1.0 / (i + 1) ** self.c.zipf for i in range(self.c.keys)])
            if self.c.keys
            else None
        )

    def start(self) -> None:
        self._due = int(self._gap())
        self.time.at(self._due, self._arrive)

    def _gap(self) -> float:
        """Time to the next arrival, ns. A burst of a class or tenant raises the total rate."""
        rate = self.rate * self.burst
        for draw in (self.kinds, self.tenants):
            rate *= draw.sums[-1] / sum(draw.parts)
        return self.rng.expovariate(rate / NS)

    def _arrive(self) -> None:
        # Guards against arrivals delayed by a late driver: latency counts from the due time.
        now, rng = self._due, self.rng
        if now >= self.until:
            return
        cls = self.kinds.pick(rng.random())
        kind = self.s.classes[cls]
        intent = Intent(
            len(self.ledger.intents) + 1,
            cls,
            self.tenants.pick(rng.random()),
            self.zones.pick(rng.random()),
            self.subjects.pick(rng.random()) + 1 if self.subjects else 0,
            now,
            int(kind.work * rng.lognormvariate(-(kind.spread**2) / 2, kind.spread)) + 1,
            rng.random() < self.c.hurried,
            rng.random() < self.c.obeys,
            rng.random() < self.c.at_once,
            rng.random(),
        )
        self.ledger.intents.append(intent)
        self._due = now + int(self._gap())
        self.time.at(self._due, self._arrive)
        self._ask(intent)

    def _ask(self, intent: Intent) -> None:
        now, kind = self.time.now, self.s.classes[intent.cls]
        left = min(kind.deadline, intent.start + int(self.c.endures * kind.deadline) - now)
        if kind.effect == "keyed" and intent.tries:
            # A retry must not outlive the backends' record of the first request's key.
            left = min(left, intent.start + kind.window - now)
        if left < LEAST_LEFT_NS:
            return
        intent.tries += 1
        row = Try(len(self.ledger.tries) + 1, intent, self.front.pick(intent.zone), now, now + left)
        self.ledger.tries.append(row)
        self.carrier.ask(row, intent.tries > 1 and self.c.marks)
        if intent.hurried:
            self.time.at(now + int(self.c.leaves * left), self._lose_patience, row, Answer.LEFT)
        self.time.at(row.deadline + SLACK_NS, self._lose_patience, row, Answer.SILENT)

    def _lose_patience(self, row: Try, answer: Answer) -> None:
        if row.answer == Answer.OPEN:
            row.answer, row.at = answer, self.time.now
            self.carrier.leave(row)
            self._go_on(row, 0)

    def answered(self, row: Try, answer: Answer, after_ns: int = 0) -> None:
        """Record a complete final response, or a connection that ended without one."""
        if answer in (Answer.SERVED, Answer.REFUSED, Answer.FAILED):
            row.answers += 1
        if row.answer != Answer.OPEN:
            return
        row.answer, row.at = answer, self.time.now
        if answer == Answer.SERVED:
            if row.intent.served_at < 0:
                row.intent.served_at = self.time.now
            return
        self._go_on(row, after_ns)

    def _go_on(self, row: Try, after_ns: int) -> None:
        """Retry where this is safe: always after a rejection, otherwise as the class allows."""
        intent, kind = row.intent, self.s.classes[row.intent.cls]
        harmless = row.answer in (Answer.REFUSED, Answer.UNREACHED) or kind.effect == "safe"
        harmless = harmless or (kind.effect == "keyed" and kind.group == "all")
        if not harmless or intent.tries >= self.c.tries or self.time.now >= self.until:
            return
        wait = 0.0
        if not intent.at_once:
            wait = self.c.wait * (0.5 + (intent.luck + intent.tries * GOLDEN) % 1.0)
        if intent.heeds:
            wait = max(wait, after_ns)
        self.time.at(self.time.now + int(wait), self._ask, intent)
