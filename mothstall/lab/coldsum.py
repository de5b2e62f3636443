"""Total load on cold backends from a whole fleet of proxies, with policies driven in virtual time.

No network: an attempt reaches its backend at the instant of the decision, and the backend is cores
behind a queue. Each seed draws a fleet, uneven traffic that shifts, a burst, proxies that restart
while backends warm up, and backends that restart, some twice under one id, some refusing
connections at first. The limit of a backend is the one of the operators' page: within `fall-ns` at
most N + 2 x root of N + 2 requests of mean work, where N is fall-multiple x its present capacity x
`fall-ns`. Everything that reaches one incarnation of a backend counts: first attempts, retries and
hedges with their work, probes and new connections with their cost. Every proxy is notified of each
start at once. Pure: time is simulated, random numbers come from the seed.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import accumulate
from typing import Any

from mothstall import interface as io
from mothstall.interface import NS, AttemptResult, Effect, Health, KeyScope, UpdateScope
from mothstall.lab.policies import parse

MS = NS // 1000
SIZES = {
    5: (6, 12),
    20: (8, 16, 24),
    30: (12, 20, 30),
    200: (24, 40, 60),
}  # choices of the number of backends, by number of proxies
BASE = 1_000_000 * NS  # the clock's start
WARM_UP_NS, RAMP_NS = (
    6 * NS,
    9 * NS,
)  # before the restarts of backends, and the observed part of their warm-up
QUEUE = 4  # requests that wait per core before a backend rejects more
HANDSHAKE, PROBE = 0.25, 0.02  # cost of a new connection and of a probe, in mean requests
LEAST = 2 * HANDSHAKE  # least work of a request, above that of a probe with a new connection
DOWN_NS = (NS // 2, 5 * NS)  # least and most downtime of a proxy
MUTE_NS = 2 * NS  # longest time for which a restarted backend refuses connections
LATENCY_NS = 1 * MS  # round trip
ARRIVAL, ENDED, TIMER, WORD, RESTART, BACK, PROBED = range(7)


@dataclass(slots=True)
class Life:
    """One incarnation of a cold backend: its load, and its closest approach to the limit."""

    box: int
    started: int
    got: deque[tuple[int, float]] = field(default_factory=deque)  # within fall-ns: time, and work
    total: float = 0.0
    worst: float = -math.inf  # greatest excess of the load over the limit, in requests of mean work
    used: float = 0.0  # greatest ratio of the load to the limit
    sums: list[tuple[float, float, int]] = field(
        default_factory=list
    )  # of each full window: load, N, attempts
    hits: int = 0  # attempts in the present window


@dataclass(slots=True)
class Outcome:
    """Result of one seed."""

    lives: list[Life]
    asked: int
    served: int

    @property
    def worst(self) -> float:
        return max(life.worst for life in self.lives)

    @property
    def used(self) -> float:
        return max(life.used for life in self.lives)

    @property
    def cold_served(self) -> float:
        """Mean ratio of the load of a window to N."""
        rows = [total / n for life in self.lives for total, n, _ in life.sums]
        return sum(rows) / len(rows)

    def dispersion(self) -> list[float]:
        """Variance over mean of attempts, for each window index shared by several incarnations."""
        by_age: dict[int, list[int]] = {}
        for life in self.lives:
            for i, (_, _, hits) in enumerate(life.sums):
                by_age.setdefault(i, []).append(hits)
        rows = [sums for sums in by_age.values() if len(sums) > 2 and sum(sums) > len(sums)]
        means = [sum(sums) / len(sums) for sums in rows]
        return [
            sum((s - m) ** 2 for s in sums) / (len(sums) - 1) / m
            for sums, m in zip(rows, means, strict=True)
        ]


class _Box:
    __slots__ = ("cores", "life", "mute", "open", "started")

    def __init__(self, cores: int) -> None:
        self.cores, self.started = [0.0] * cores, 0  # time from which each core is free
        self.mute = 0  # it refuses connections until then
        self.open: set[tuple[int, int]] = set()  # connections: proxy, and number of its process
        self.life: Life | None = None


class Trial:
    """The simulation of one seed: `make` builds a proxy's policy from settings and a seed."""

    def __init__(self, make: Callable[[io.Settings, int], Any], proxies: int, seed: int) -> None:
        rng = self.rng = random.Random(f"coldsum {proxies} {seed}")
        self.make, self.proxies, boxes = make, proxies, rng.choice(SIZES[proxies])
        self.cores = rng.choice((1, 1, 2, 4) if proxies < 200 else (1, 1, 1, 2))
        self.work = rng.choice((25, 50, 80)) * MS if self.cores > 1 else 50 * MS
        self.capacity = self.cores * NS / self.work  # requests a second of a warm box
        self.fill = rng.uniform(0.5, 1.05)
        classes = tuple(
            io.RequestClass(
                int(self.work * 6),
                int(self.work * 16),
                worth,
                0.3,
                effect,
                KeyScope.ALL,
                10 * NS,
                False,
            )
            for effect, worth in (
                (Effect.IDEMPOTENT, 1.0),
                (Effect.IDEMPOTENT_WITH_KEY, 2.0),
                (Effect.NON_IDEMPOTENT, 2.0),
            )
        )
        self.cfg: dict[str, Any] = {
            "classes": classes,
            "tenants": (),
            "zone": 0,
            "proxies": proxies,
            "discovery_push": True,
            "poll_within_ns": 10 * NS,
            "drain_grace_ns": NS // 2,
            "initial_warmth": rng.uniform(0.12, 0.36),
            "slow_start_ns": rng.randrange(14, 24) * NS,
            "overload_multiple": rng.choice((1.5, 2.5, 2.5, 4.0)),
            "overload_window_ns": rng.choice((NS, 2 * NS, 2 * NS)),
            "max_attempts": 4,
            "may_hedge": True,
            "may_cancel": True,
            "may_probe": True,
            "retry_after": True,
            "max_retry_after_ns": NS,
            "connect_timeout_ns": 120 * MS,
            "tick_ns": 5 * MS,
            "cross_zone_fee": 0.0,
            "probe_fee": 0.03,
            "warm_keys": False,
            "load_names": ("util", "queue"),
            "load_by_probes": rng.random() < 0.3,
        }
        # Positions need not be contiguous: half of the fleets have gaps or a large first position.
        first, step = (
            (0, 1) if rng.random() < 0.5 else (rng.randrange(1000), rng.choice((1, 2, 3, 7)))
        )
        self.positions = [first + step * k for k in range(proxies)]
        self.shares = [rng.uniform(1.0, 5.0) for _ in range(proxies)]
        self.cumulated = list(accumulate(self.shares))
        self.boxes = {1 + 97 * k: _Box(self.cores) for k in range(boxes)}
        self.up = [True] * proxies
        self.process = [0] * proxies
        self.balancers: list[Any] = [self._proxy(k) for k in range(proxies)]
        self.out: dict[
            tuple[int, int, int, int], tuple[int, int]
        ] = {}  # attempts in flight: backend, time of sending
        self.tries: dict[tuple[int, int, int], int] = {}
        self.heap: list[tuple[int, int, int, Any]] = []
        self.lives: list[Life] = []
        self.mutes = rng.random() < 0.3
        self.shift = (BASE, 1.0)
        self.now, self.seq, self.version, self.next, self.asked, self.served = BASE, 0, 1, 0, 0, 0

    def _proxy(self, k: int) -> Any:
        return self.make(
            io.Settings(**self.cfg, position=self.positions[k]), self.rng.getrandbits(32)
        )

    def _at(self, due: int, kind: int, what: Any = None) -> None:
        self.seq += 1
        heapq.heappush(self.heap, (due, self.seq, kind, what))

    # Event loop

    def run(self) -> Outcome:
        rng, start = self.rng, BASE + WARM_UP_NS
        for k in range(self.proxies):
            self._tell(k, self._list(UpdateScope.FULL))
        count = max(2, len(self.boxes) // rng.choice((2, 4, 6)))
        for box in rng.sample(sorted(self.boxes), count):
            self._at(start + rng.randrange(NS // 5), BACK, box)
            if rng.random() < 0.3:  # a second restart under the same id, during the warm-up
                self._at(start + rng.randrange(2 * NS, 5 * NS), BACK, box)
        manner, at = rng.choice(("none", "rolling", "herd")), start + rng.randrange(NS, 4 * NS)
        for k in rng.sample(range(self.proxies), self.proxies):
            if manner == "rolling":
                self._at(start + rng.randrange(RAMP_NS), RESTART, k)
            elif manner == "herd" and rng.random() < 0.7:
                self._at(at, RESTART, k)
        # The traffic of half of the proxies is multiplied by a factor.
        self.shift = (start + rng.randrange(5 * NS), rng.choice((1.0, 0.25, 4.0)))
        self.burst = (start + rng.randrange(0, 5 * NS), rng.uniform(1.5, 2.5))
        end = start + RAMP_NS
        self._at(BASE + 1, ARRIVAL)
        on: dict[int, Callable[[Any], None]] = {
            ARRIVAL: self._arrival,
            ENDED: self._ended,
            TIMER: self._timer,
            WORD: self._word,
            RESTART: self._restart,
            BACK: self._back,
            PROBED: self._probed,
        }
        while self.heap and self.heap[0][0] < end:
            self.now, _, kind, what = heapq.heappop(self.heap)
            on[kind](what)
        return Outcome(self.lives, self.asked, self.served)

    def _rate(self) -> float:
        begun, times = self.burst
        swell = times if begun <= self.now < begun + 3 * NS else 1.0
        return self.fill * self.capacity * len(self.boxes) * swell

    def _arrival(self, _: Any) -> None:
        rng, (begun, times) = self.rng, self.shift
        if begun and self.now >= begun:
            parts = [share * (times if k % 2 else 1.0) for k, share in enumerate(self.shares)]
            self.cumulated, self.shift = list(accumulate(parts)), (0, 1.0)
        self._at(self.now + max(1, int(rng.expovariate(self._rate()) * NS)), ARRIVAL)
        k = rng.choices(range(self.proxies), cum_weights=self.cumulated)[0]
        if not self.up[k]:
            k = rng.choice([i for i, up in enumerate(self.up) if up] or [k])
        if not self.up[k]:
            return
        self.asked, self.next = self.asked + 1, self.next + 1
        cls = rng.choices((0, 1, 2), (5, 3, 2))[0]
        left = self.cfg["classes"][cls].deadline_ns
        self._tell(k, io.RequestArrived(self.next, cls, 0, self.next, left, 0, False))

    def _tell(self, k: int, ev: io.Event) -> None:
        for act in self.balancers[k].handle(self.now, [ev]):
            if isinstance(act, io.SendAttempt):
                self._send(k, act)
            elif isinstance(act, io.SetTimer):
                self._at(act.at_ns, TIMER, (k, self.process[k], act.token))
            elif isinstance(act, io.CancelAttempt):
                # Running work is not stopped, as in most backends; the proxy gets the cancellation.
                key = (k, self.process[k], act.request, act.attempt)
                if sent := self.out.pop(key, None):
                    ended = io.AttemptEnded(
                        act.request,
                        act.attempt,
                        sent[0],
                        AttemptResult.CANCELLED,
                        self.now - sent[1],
                        False,
                        (),
                    )
                    self._at(self.now + 1, WORD, (k, self.process[k], ended))
            elif isinstance(act, io.ProbeLoad):
                self._press(k, act.backend, PROBE)
                self._at(self.now + LATENCY_NS, PROBED, (k, self.process[k], act.backend))

    def _timer(self, what: tuple[int, int, int]) -> None:
        if self.up[what[0]] and self.process[what[0]] == what[1]:
            self._tell(what[0], io.TimerFired(what[2]))

    def _word(self, what: tuple[int, int, io.Event]) -> None:
        if self.up[what[0]] and self.process[what[0]] == what[1]:
            self._tell(what[0], what[2])

    # Backends

    def _warmth(self, box: _Box) -> float:
        age, least = self.now - box.started, self.cfg["initial_warmth"]
        if not box.started or age >= self.cfg["slow_start_ns"]:
            return 1.0
        return float(least + (1 - least) * age / self.cfg["slow_start_ns"])

    def _press(self, k: int, number: int, work: float) -> None:
        """Add work that reaches a backend; for a cold one, compare the load with the limit."""
        box = self.boxes[number]
        if (k, self.process[k]) not in box.open:
            box.open.add((k, self.process[k]))
            work += HANDSHAKE
        if (life := box.life) is None or (warmth := self._warmth(box)) >= 1:
            return
        window = self.cfg["overload_window_ns"]
        life.got.append((self.now, work))
        life.total += work
        while life.got[0][0] <= self.now - window:
            life.total -= life.got.popleft()[1]
        n = self.cfg["overload_multiple"] * self.capacity * warmth * window / NS
        bound = n + 2 * math.sqrt(n) + 2
        life.worst, life.used = (
            max(life.worst, life.total - bound),
            max(life.used, life.total / bound),
        )
        if self.now - life.started >= (len(life.sums) + 1) * window:
            life.sums.append((life.total, n, life.hits))
            life.hits = 0
        life.hits += work >= LEAST

    def _send(self, k: int, act: io.SendAttempt) -> None:
        box, rng, key = self.boxes[act.backend], self.rng, (k, self.process[k], act.request)
        attempt = self.tries.get(key, 0)
        self.tries[key] = attempt + 1
        weight = max(LEAST, rng.gammavariate(4.0, 0.25))  # mean 1, standard deviation 0.5
        at = (k, self.process[k], act.request, attempt)
        self.out[at] = (act.backend, self.now)
        if self.now < box.mute:
            self._at(self.now + LATENCY_NS, ENDED, (at, AttemptResult.CONNECT_FAILED))
            return
        self._press(k, act.backend, weight)
        free = heapq.heappop(box.cores)
        wait = max(0.0, free - self.now)
        if wait > QUEUE * self.work:
            heapq.heappush(box.cores, free)
            self._at(self.now + LATENCY_NS, ENDED, (at, AttemptResult.REJECTED))
            return
        done = self.now + wait + weight * self.work / self._warmth(box)
        heapq.heappush(box.cores, done)
        due = int(done) - self.now + LATENCY_NS
        if act.timeout_ns and due > act.timeout_ns:
            self._at(self.now + act.timeout_ns, ENDED, (at, AttemptResult.TIMEOUT))
        else:
            self._at(self.now + due, ENDED, (at, AttemptResult.OK))

    def _ended(self, what: tuple[tuple[int, int, int, int], AttemptResult]) -> None:
        (k, process, request, attempt), result = what
        if (
            (sent := self.out.pop(what[0], None)) is None
            or not self.up[k]
            or self.process[k] != process
        ):
            return
        self.served += result == AttemptResult.OK
        took = self.now - sent[1]
        self._tell(
            k,
            io.AttemptEnded(
                request, attempt, sent[0], result, took, result == AttemptResult.OK, ()
            ),
        )

    def _probed(self, what: tuple[int, int, int]) -> None:
        k, process, number = what
        if self.up[k] and self.process[k] == process:
            waits = sum(free > self.now for free in self.boxes[number].cores)
            self._tell(
                k, io.LoadProbeEnded(number, AttemptResult.OK, LATENCY_NS, (0.5, float(waits)))
            )

    # Faults

    def _list(self, scope: UpdateScope, only: Iterable[int] | None = None) -> io.EndpointUpdate:
        rows = self.boxes if only is None else only
        entries = [io.Endpoint(n, 0, 0, 0, Health.READY, 1.0, self.boxes[n].started) for n in rows]
        return io.EndpointUpdate(scope, self.version, entries)

    def _back(self, number: int) -> None:
        """Restart a backend under its id; every proxy that is up is notified at once."""
        box = self.boxes[number] = _Box(self.cores)
        box.started = self.now
        box.mute = self.now + self.rng.randrange(MUTE_NS) if self.mutes else 0
        box.life = Life(number, self.now)
        self.lives.append(box.life)
        self.version += 1
        # Its attempts in flight are lost.
        for at in [at for at, sent in self.out.items() if sent[0] == number]:
            self._at(self.now + LATENCY_NS, ENDED, (at, AttemptResult.RESET))
        for k in range(self.proxies):
            if self.up[k]:
                self._tell(k, self._list(UpdateScope.DELTA, [number]))

    def _restart(self, k: int) -> None:
        """Stop a proxy, or start its next process with a full list."""
        if self.up[k]:
            self.up[k] = False
            self._at(self.now + self.rng.randrange(*DOWN_NS), RESTART, k)
            return
        self.up[k], self.process[k] = True, self.process[k] + 1
        self.balancers[k] = self._proxy(k)
        self._tell(k, self._list(UpdateScope.FULL))


@dataclass(slots=True, frozen=True)
class Summary:
    """Summary of many seeds of one fleet size."""

    proxies: int
    seeds: int
    over: int  # seeds in which an incarnation exceeded its limit
    worst: float  # greatest excess over the limit, in requests; negative: below the limit
    used: float  # greatest ratio of the load to the limit
    planned: float  # mean ratio of the load of a window to N
    dispersion: float  # variance over mean of attempts at backends of one age; 1 for random sending
    served: float  # successful attempts over requests


def play(make: Callable[[io.Settings, int], Any], proxies: int, seed: int) -> Outcome:
    return Trial(make, proxies, seed).run()


def play_named(policy: str, proxies: int, seed: int) -> Outcome:
    """`play` for a policy by name (lab/policies.py), to run in other processes."""
    return play(parse(policy), proxies, seed)


def summary(proxies: int, outcomes: list[Outcome]) -> Summary:
    spread = [d for o in outcomes for d in o.dispersion()]
    return Summary(
        proxies,
        len(outcomes),
        sum(o.worst > 0 for o in outcomes),
        max(o.worst for o in outcomes),
        max(o.used for o in outcomes),
        sum(o.cold_served for o in outcomes) / len(outcomes),
        sum(spread) / len(spread) if spread else math.nan,
        sum(o.served for o in outcomes) / sum(o.asked for o in outcomes),
    )
