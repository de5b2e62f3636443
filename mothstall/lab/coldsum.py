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
# Numbers of backends to draw from, by number of proxies.
SIZES = {5: (6, 12), 20: (8, 16, 24), 30: (12, 20, 30), 200: (24, 40, 60)}
BASE_NS = 1_000_000 * NS  # start of the clock
WARM_UP_NS, OBSERVED_NS = 6 * NS, 9 * NS  # before and after the restarts of backends
QUEUE_PER_CORE = 4  # requests that wait per core before a backend rejects more
HANDSHAKE_COST, PROBE_COST = 0.25, 0.02  # cost of a new connection and of a probe, in mean requests
MIN_WORK = 2 * HANDSHAKE_COST  # of a request; above that of a probe with a new connection
DOWNTIME_NS = (NS // 2, 5 * NS)  # least and most downtime of a proxy
MAX_REFUSAL_NS = 2 * NS  # longest time for which a restarted backend refuses connections
ROUND_TRIP_NS = 1 * MS
ARRIVAL, ATTEMPT_ENDED, TIMER, EVENT, PROXY_RESTART, BACKEND_RESTART, PROBE_ENDED = range(7)


@dataclass(slots=True)
class Incarnation:
    """One incarnation of a cold backend: its load, and its closest approach to the limit."""

    backend: int
    started: int
    # Time and work of the attempts within the last fall-ns.
    recent: deque[tuple[int, float]] = field(default_factory=deque)
    load: float = 0.0
    max_excess: float = -math.inf  # of the load over the limit, in requests of mean work
    max_ratio: float = 0.0  # greatest ratio of the load to the limit
    # For each complete window: load, N, attempts.
    windows: list[tuple[float, float, int]] = field(default_factory=list)
    attempts: int = 0  # attempts in the present window


@dataclass(slots=True)
class Outcome:
    """Result of one seed."""

    incarnations: list[Incarnation]
    asked: int
    served: int

    @property
    def max_excess(self) -> float:
        return max(incarnation.max_excess for incarnation in self.incarnations)

    @property
    def max_ratio(self) -> float:
        return max(incarnation.max_ratio for incarnation in self.incarnations)

    @property
    def cold_served(self) -> float:
        """Mean ratio of the load of a window to N."""
        rows = [load / n for incarnation in self.incarnations for load, n, _ in incarnation.windows]
        return sum(rows) / len(rows)

    def dispersion(self) -> list[float]:
        """Variance over mean of attempts, for each window index shared by several incarnations."""
        by_age: dict[int, list[int]] = {}
        for incarnation in self.incarnations:
            for i, (_, _, attempts) in enumerate(incarnation.windows):
                by_age.setdefault(i, []).append(attempts)
        rows = [
            counts for counts in by_age.values() if len(counts) > 2 and sum(counts) > len(counts)
        ]
        means = [sum(counts) / len(counts) for counts in rows]
        return [
            sum((s - m) ** 2 for s in counts) / (len(counts) - 1) / m
            for counts, m in zip(rows, means, strict=True)
        ]


class _Backend:
    __slots__ = ("connections", "cores", "incarnation", "refuses_until", "started")

    def __init__(self, cores: int) -> None:
        self.cores, self.started = [0.0] * cores, 0  # time from which each core is free
        self.refuses_until = 0  # it refuses connections until then
        self.connections: set[tuple[int, int]] = set()  # proxy, and number of its process
        self.incarnation: Incarnation | None = None


class Trial:
    """The simulation of one seed: `make` builds a proxy's policy from settings and a seed."""

    def __init__(self, make: Callable[[io.Settings, int], Any], proxies: int, seed: int) -> None:
        rng = self.rng = random.Random(f"coldsum {proxies} {seed}")
        self.make, self.proxies, backends = make, proxies, rng.choice(SIZES[proxies])
        self.cores = rng.choice((1, 1, 2, 4) if proxies < 200 else (1, 1, 1, 2))
        self.work = rng.choice((25, 50, 80)) * MS if self.cores > 1 else 50 * MS
        self.capacity = self.cores * NS / self.work  # requests per second of a warm backend
        self.utilization = rng.uniform(0.5, 1.05)
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
        self.settings: dict[str, Any] = {
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
        self.cumulative_shares = list(accumulate(self.shares))
        self.backends = {1 + 97 * k: _Backend(self.cores) for k in range(backends)}
        self.up = [True] * proxies
        self.process = [0] * proxies
        self.balancers: list[Any] = [self._proxy(k) for k in range(proxies)]
        # Attempts in flight: backend, time of sending.
        self.in_flight: dict[tuple[int, int, int, int], tuple[int, int]] = {}
        self.attempt_counts: dict[tuple[int, int, int], int] = {}
        self.heap: list[tuple[int, int, int, Any]] = []
        self.incarnations: list[Incarnation] = []
        self.has_refusals = rng.random() < 0.3
        self.shift = (BASE_NS, 1.0)
        self.now, self.seq, self.version, self.next, self.asked, self.served = (
            BASE_NS,
            0,
            1,
            0,
            0,
            0,
        )

    def _proxy(self, k: int) -> Any:
        return self.make(
            io.Settings(**self.settings, position=self.positions[k]), self.rng.getrandbits(32)
        )

    def _schedule(self, due: int, kind: int, data: Any = None) -> None:
        self.seq += 1
        heapq.heappush(self.heap, (due, self.seq, kind, data))

    # Event loop

    def run(self) -> Outcome:
        rng, start = self.rng, BASE_NS + WARM_UP_NS
        for k in range(self.proxies):
            self._deliver(k, self._endpoint_update(UpdateScope.FULL))
        count = max(2, len(self.backends) // rng.choice((2, 4, 6)))
        for backend in rng.sample(sorted(self.backends), count):
            self._schedule(start + rng.randrange(NS // 5), BACKEND_RESTART, backend)
            if rng.random() < 0.3:  # a second restart under the same id, during the warm-up
                self._schedule(start + rng.randrange(2 * NS, 5 * NS), BACKEND_RESTART, backend)
        restart_pattern, at = (
            rng.choice(("none", "rolling", "herd")),
            start + rng.randrange(NS, 4 * NS),
        )
        for k in rng.sample(range(self.proxies), self.proxies):
            if restart_pattern == "rolling":
                self._schedule(start + rng.randrange(OBSERVED_NS), PROXY_RESTART, k)
            elif restart_pattern == "herd" and rng.random() < 0.7:
                self._schedule(at, PROXY_RESTART, k)
        # The traffic of half of the proxies is multiplied by a factor.
        self.shift = (start + rng.randrange(5 * NS), rng.choice((1.0, 0.25, 4.0)))
        self.burst = (start + rng.randrange(0, 5 * NS), rng.uniform(1.5, 2.5))
        end = start + OBSERVED_NS
        self._schedule(BASE_NS + 1, ARRIVAL)
        handlers: dict[int, Callable[[Any], None]] = {
            ARRIVAL: self._on_arrival,
            ATTEMPT_ENDED: self._on_attempt_ended,
            TIMER: self._on_timer,
            EVENT: self._on_event,
            PROXY_RESTART: self._on_proxy_restart,
            BACKEND_RESTART: self._on_backend_restart,
            PROBE_ENDED: self._on_probe_ended,
        }
        while self.heap and self.heap[0][0] < end:
            self.now, _, kind, data = heapq.heappop(self.heap)
            handlers[kind](data)
        return Outcome(self.incarnations, self.asked, self.served)

    def _arrival_rate(self) -> float:
        since, factor = self.burst
        burst_factor = factor if since <= self.now < since + 3 * NS else 1.0
        return self.utilization * self.capacity * len(self.backends) * burst_factor

    def _on_arrival(self, _: Any) -> None:
        rng, (since, factor) = self.rng, self.shift
        if since and self.now >= since:
            parts = [share * (factor if k % 2 else 1.0) for k, share in enumerate(self.shares)]
            self.cumulative_shares, self.shift = list(accumulate(parts)), (0, 1.0)
        self._schedule(self.now + max(1, int(rng.expovariate(self._arrival_rate()) * NS)), ARRIVAL)
        k = rng.choices(range(self.proxies), cum_weights=self.cumulative_shares)[0]
        if not self.up[k]:
            k = rng.choice([i for i, up in enumerate(self.up) if up] or [k])
        if not self.up[k]:
            return
        self.asked, self.next = self.asked + 1, self.next + 1
        cls = rng.choices((0, 1, 2), (5, 3, 2))[0]
        left = self.settings["classes"][cls].deadline_ns
        self._deliver(k, io.RequestArrived(self.next, cls, 0, self.next, left, 0, False))

    def _deliver(self, k: int, event: io.Event) -> None:
        for action in self.balancers[k].handle(self.now, [event]):
            if isinstance(action, io.SendAttempt):
                self._send(k, action)
            elif isinstance(action, io.SetTimer):
                self._schedule(action.at_ns, TIMER, (k, self.process[k], action.token))
            elif isinstance(action, io.CancelAttempt):
                # Running work is not stopped, as in most backends; the proxy gets the cancellation.
                key = (k, self.process[k], action.request, action.attempt)
                if sent := self.in_flight.pop(key, None):
                    ended = io.AttemptEnded(
                        action.request,
                        action.attempt,
                        sent[0],
                        AttemptResult.CANCELLED,
                        self.now - sent[1],
                        False,
                        (),
                    )
                    self._schedule(self.now + 1, EVENT, (k, self.process[k], ended))
            elif isinstance(action, io.ProbeLoad):
                self._add_work(k, action.backend, PROBE_COST)
                self._schedule(
                    self.now + ROUND_TRIP_NS, PROBE_ENDED, (k, self.process[k], action.backend)
                )

    def _on_timer(self, data: tuple[int, int, int]) -> None:
        if self.up[data[0]] and self.process[data[0]] == data[1]:
            self._deliver(data[0], io.TimerFired(data[2]))

    def _on_event(self, data: tuple[int, int, io.Event]) -> None:
        if self.up[data[0]] and self.process[data[0]] == data[1]:
            self._deliver(data[0], data[2])

    # Backends

    def _warmth(self, backend: _Backend) -> float:
        age, least = self.now - backend.started, self.settings["initial_warmth"]
        if not backend.started or age >= self.settings["slow_start_ns"]:
            return 1.0
        return float(least + (1 - least) * age / self.settings["slow_start_ns"])

    def _add_work(self, k: int, number: int, work: float) -> None:
        """Add work that reaches a backend; for a cold one, compare the load with the limit."""
        backend = self.backends[number]
        if (k, self.process[k]) not in backend.connections:
            backend.connections.add((k, self.process[k]))
            work += HANDSHAKE_COST
        if (incarnation := backend.incarnation) is None or (warmth := self._warmth(backend)) >= 1:
            return
        window = self.settings["overload_window_ns"]
        incarnation.recent.append((self.now, work))
        incarnation.load += work
        while incarnation.recent[0][0] <= self.now - window:
            incarnation.load -= incarnation.recent.popleft()[1]
        n = self.settings["overload_multiple"] * self.capacity * warmth * window / NS
        limit = n + 2 * math.sqrt(n) + 2
        incarnation.max_excess, incarnation.max_ratio = (
            max(incarnation.max_excess, incarnation.load - limit),
            max(incarnation.max_ratio, incarnation.load / limit),
        )
        if self.now - incarnation.started >= (len(incarnation.windows) + 1) * window:
            incarnation.windows.append((incarnation.load, n, incarnation.attempts))
            incarnation.attempts = 0
        incarnation.attempts += work >= MIN_WORK

    def _send(self, k: int, action: io.SendAttempt) -> None:
        backend, rng, key = (
            self.backends[action.backend],
            self.rng,
            (k, self.process[k], action.request),
        )
        attempt = self.attempt_counts.get(key, 0)
        self.attempt_counts[key] = attempt + 1
        work = max(MIN_WORK, rng.gammavariate(4.0, 0.25))  # mean 1, standard deviation 0.5
        at = (k, self.process[k], action.request, attempt)
        self.in_flight[at] = (action.backend, self.now)
        if self.now < backend.refuses_until:
            self._schedule(
                self.now + ROUND_TRIP_NS, ATTEMPT_ENDED, (at, AttemptResult.CONNECT_FAILED)
            )
            return
        self._add_work(k, action.backend, work)
        free = heapq.heappop(backend.cores)
        wait = max(0.0, free - self.now)
        if wait > QUEUE_PER_CORE * self.work:
            heapq.heappush(backend.cores, free)
            self._schedule(self.now + ROUND_TRIP_NS, ATTEMPT_ENDED, (at, AttemptResult.REJECTED))
            return
        done = self.now + wait + work * self.work / self._warmth(backend)
        heapq.heappush(backend.cores, done)
        due = int(done) - self.now + ROUND_TRIP_NS
        if action.timeout_ns and due > action.timeout_ns:
            self._schedule(self.now + action.timeout_ns, ATTEMPT_ENDED, (at, AttemptResult.TIMEOUT))
        else:
            self._schedule(self.now + due, ATTEMPT_ENDED, (at, AttemptResult.OK))

    def _on_attempt_ended(self, data: tuple[tuple[int, int, int, int], AttemptResult]) -> None:
        (k, process, request, attempt), result = data
        if (
            (sent := self.in_flight.pop(data[0], None)) is None
            or not self.up[k]
            or self.process[k] != process
        ):
            return
        self.served += result == AttemptResult.OK
        latency_ns = self.now - sent[1]
        self._deliver(
            k,
            io.AttemptEnded(
                request, attempt, sent[0], result, latency_ns, result == AttemptResult.OK, ()
            ),
        )

    def _on_probe_ended(self, data: tuple[int, int, int]) -> None:
        k, process, number = data
        if self.up[k] and self.process[k] == process:
            waits = sum(free > self.now for free in self.backends[number].cores)
            self._deliver(
                k, io.LoadProbeEnded(number, AttemptResult.OK, ROUND_TRIP_NS, (0.5, float(waits)))
            )

    # Faults

    def _endpoint_update(
        self, scope: UpdateScope, only: Iterable[int] | None = None
    ) -> io.EndpointUpdate:
        rows = self.backends if only is None else only
        entries = [
            io.Endpoint(n, 0, 0, 0, Health.READY, 1.0, self.backends[n].started) for n in rows
        ]
        return io.EndpointUpdate(scope, self.version, entries)

    def _on_backend_restart(self, number: int) -> None:
        """Restart a backend under its id; every proxy that is up is notified at once."""
        backend = self.backends[number] = _Backend(self.cores)
        backend.started = self.now
        backend.refuses_until = (
            self.now + self.rng.randrange(MAX_REFUSAL_NS) if self.has_refusals else 0
        )
        backend.incarnation = Incarnation(number, self.now)
        self.incarnations.append(backend.incarnation)
        self.version += 1
        # Its attempts in flight are lost.
        for at in [at for at, sent in self.in_flight.items() if sent[0] == number]:
            self._schedule(self.now + ROUND_TRIP_NS, ATTEMPT_ENDED, (at, AttemptResult.RESET))
        for k in range(self.proxies):
            if self.up[k]:
                self._deliver(k, self._endpoint_update(UpdateScope.DELTA, [number]))

    def _on_proxy_restart(self, k: int) -> None:
        """Stop a proxy, or start its next process with a full list."""
        if self.up[k]:
            self.up[k] = False
            self._schedule(self.now + self.rng.randrange(*DOWNTIME_NS), PROXY_RESTART, k)
            return
        self.up[k], self.process[k] = True, self.process[k] + 1
        self.balancers[k] = self._proxy(k)
        self._deliver(k, self._endpoint_update(UpdateScope.FULL))


@dataclass(slots=True, frozen=True)
class Summary:
    """Summary of many seeds of one fleet size."""

    proxies: int
    seeds: int
    seeds_over_limit: int  # seeds in which an incarnation exceeded its limit
    max_excess: float  # greatest excess over the limit, in requests; negative: below the limit
    max_ratio: float  # greatest ratio of the load to the limit
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
        sum(o.max_excess > 0 for o in outcomes),
        max(o.max_excess for o in outcomes),
        max(o.max_ratio for o in outcomes),
        sum(o.cold_served for o in outcomes) / len(outcomes),
        sum(spread) / len(spread) if spread else math.nan,
        sum(o.served for o in outcomes) / sum(o.asked for o in outcomes),
    )
