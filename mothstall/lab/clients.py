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
from mothstall.lab.ledger import ClientRequest, Intent, Ledger, Outcome
from mothstall.lab.scenario import Scenario
from mothstall.lab.timeline import Timeline

DEADLINE_SLACK_NS = 50_000_000  # a response this late after its deadline still counts as in time
MIN_REMAINING_NS = 20_000_000  # with less time left a client does not retry
GOLDEN_RATIO = 0.6180339887498949  # its multiples modulo 1 spread the jitter of retries evenly


class RequestTransport(Protocol):
    """Sends a client's request to a proxy, and reports its end to `Clients.record_outcome`."""

    def send_request(self, request: ClientRequest, is_retry: bool) -> None: ...

    def abandon_request(self, request: ClientRequest) -> None: ...


class ProxySelector:
    """Distributes requests over a zone's proxies. Deaths are detected late, restarts at once."""

    def __init__(self, s: Scenario, time: Timeline, rng: random.Random) -> None:
        self.time, self.rng, self.detection_ns = time, rng, s.network.notice
        self.zones = len(s.zones)
        self.weights = [1.0] * s.proxies.count
        self.alive = [True] * s.proxies.count
        self._death_counts = [0] * s.proxies.count
        self._candidates: dict[int, tuple[list[int], list[float]]] = {}

    def proxy_died(self, proxy: int) -> None:
        self._death_counts[proxy] += 1
        self.time.at(
            self.time.now + self.detection_ns, self._detect_death, proxy, self._death_counts[proxy]
        )

    def _detect_death(self, proxy: int, death_count: int) -> None:
        if self._death_counts[proxy] == death_count:
            self.alive[proxy] = False
            self._candidates.clear()

    def proxy_restarted(self, proxy: int) -> None:
        self._death_counts[proxy] += 1
        self.alive[proxy] = True
        self._candidates.clear()

    def scale_weight(self, proxy: int, factor: float) -> None:
        self.weights[proxy] *= factor
        self._candidates.clear()

    def pick(self, zone: int) -> int:
        """Draw a proxy believed alive for a client: in its zone if there is one, else in any."""
        candidates = self._candidates.get(zone)
        if candidates is None:
            alive = [p for p, up in enumerate(self.alive) if up] or list(range(len(self.alive)))
            local = [p for p in alive if p % self.zones == zone] or alive
            candidates = self._candidates[zone] = (
                local,
                list(itertools.accumulate(self.weights[p] for p in local)),
            )
        local, cumulative = candidates
        return local[
            min(bisect.bisect(cumulative, self.rng.random() * cumulative[-1]), len(local) - 1)
        ]


class _WeightedChoice:
    """A weighted random choice; bursts multiply the weights."""

    def __init__(self, weights: list[float]) -> None:
        self.weights = weights
        self.factors = [1.0] * len(weights)
        self.update()

    def update(self) -> None:
        self.cumulative = list(
            itertools.accumulate(p * f for p, f in zip(self.weights, self.factors, strict=True))
        )

    def pick(self, fraction: float) -> int:
        return min(
            bisect.bisect(self.cumulative, fraction * self.cumulative[-1]), len(self.cumulative) - 1
        )


class Clients:
    def __init__(
        self,
        s: Scenario,
        *,
        time: Timeline,
        ledger: Ledger,
        proxy_selector: ProxySelector,
        rng: random.Random,
        transport: RequestTransport,
    ) -> None:
        self.s, self.config, self.time, self.ledger, self.proxy_selector = (
            s,
            s.clients,
            time,
            ledger,
            proxy_selector,
        )
        self.rng, self.transport = rng, transport
        self.rate, self.burst_factor, self._next_arrival = s.rate, 1.0, 0
        self.stops_at = s.total_ns  # end of all requests; a driver may set an earlier end
        self.classes = _WeightedChoice([k.part for k in s.classes])
        self.tenants = _WeightedChoice([t.part for t in s.tenants] or [1.0])
        self.zones = _WeightedChoice(list(s.traffic) or [1.0] * len(s.zones))
        self.subjects = (
            _WeightedChoice([1.0 / (i + 1) ** self.config.zipf for i in range(self.config.keys)])
            if self.config.keys
            else None
        )

    def start(self) -> None:
        self._next_arrival = int(self._interarrival_ns())
        self.time.at(self._next_arrival, self._arrive)

    def _interarrival_ns(self) -> float:
        """Time to the next arrival, ns. A burst of a class or tenant raises the total rate."""
        rate = self.rate * self.burst_factor
        for choice in (self.classes, self.tenants):
            rate *= choice.cumulative[-1] / sum(choice.weights)
        return self.rng.expovariate(rate / NS)

    def _arrive(self) -> None:
        # Guards against arrivals delayed by a late driver: latency counts from the due time.
        now, rng = self._next_arrival, self.rng
        if now >= self.stops_at:
            return
        cls = self.classes.pick(rng.random())
        kind = self.s.classes[cls]
        intent = Intent(
            len(self.ledger.intents) + 1,
            cls,
            self.tenants.pick(rng.random()),
            self.zones.pick(rng.random()),
            self.subjects.pick(rng.random()) + 1 if self.subjects else 0,
            now,
            int(kind.work * rng.lognormvariate(-(kind.spread**2) / 2, kind.spread)) + 1,
            rng.random() < self.config.hurried,
            rng.random() < self.config.obeys,
            rng.random() < self.config.at_once,
            rng.random(),
        )
        self.ledger.intents.append(intent)
        self._next_arrival = now + int(self._interarrival_ns())
        self.time.at(self._next_arrival, self._arrive)
        self._send(intent)

    def _send(self, intent: Intent) -> None:
        now, kind = self.time.now, self.s.classes[intent.cls]
        remaining_ns = min(
            kind.deadline, intent.start + int(self.config.endures * kind.deadline) - now
        )
        if kind.effect == "keyed" and intent.request_count:
            # A retry must not outlive the backends' record of the first request's key.
            remaining_ns = min(remaining_ns, intent.start + kind.window - now)
        if remaining_ns < MIN_REMAINING_NS:
            return
        intent.request_count += 1
        request = ClientRequest(
            len(self.ledger.requests) + 1,
            intent,
            self.proxy_selector.pick(intent.zone),
            now,
            now + remaining_ns,
        )
        self.ledger.requests.append(request)
        self.transport.send_request(request, intent.request_count > 1 and self.config.marks)
        if intent.leaves_early:
            self.time.at(
                now + int(self.config.leaves * remaining_ns),
                self._abandon,
                request,
                Outcome.LEFT,
            )
        self.time.at(request.deadline + DEADLINE_SLACK_NS, self._abandon, request, Outcome.SILENT)

    def _abandon(self, request: ClientRequest, outcome: Outcome) -> None:
        if request.outcome == Outcome.OPEN:
            request.outcome, request.at = outcome, self.time.now
            self.transport.abandon_request(request)
            self._retry_if_safe(request, 0)

    def record_outcome(
        self, request: ClientRequest, outcome: Outcome, retry_after_ns: int = 0
    ) -> None:
        """Record a complete final response, or a connection that ended without one."""
        if outcome in (Outcome.SERVED, Outcome.REFUSED, Outcome.FAILED):
            request.response_count += 1
        if request.outcome != Outcome.OPEN:
            return
        request.outcome, request.at = outcome, self.time.now
        if outcome == Outcome.SERVED:
            if request.intent.served_at < 0:
                request.intent.served_at = self.time.now
            return
        self._retry_if_safe(request, retry_after_ns)

    def _retry_if_safe(self, request: ClientRequest, retry_after_ns: int) -> None:
        """Retry where this is safe: always after a rejection, otherwise as the class allows."""
        intent, kind = request.intent, self.s.classes[request.intent.cls]
        is_safe = request.outcome in (Outcome.REFUSED, Outcome.UNREACHED) or kind.effect == "safe"
        is_safe = is_safe or (kind.effect == "keyed" and kind.group == "all")
        if (
            not is_safe
            or intent.request_count >= self.config.tries
            or self.time.now >= self.stops_at
        ):
            return
        wait_ns = 0.0
        if not intent.retries_at_once:
            wait_ns = self.config.wait * (
                0.5 + (intent.retry_jitter + intent.request_count * GOLDEN_RATIO) % 1.0
            )
        if intent.obeys_retry_after:
            wait_ns = max(wait_ns, retry_after_ns)
        self.time.at(self.time.now + int(wait_ns), self._send, intent)
