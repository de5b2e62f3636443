"""Weighted round robin over the members of a request's group; unsuitable backends are skipped.

Each time the rotation reaches an eligible backend, its credit grows by its weight over the greatest
listed weight; with a credit of 1 it gets the request (deficit round robin, Shreedhar and Varghese,
1995). Equal weights give the plain rotation of the paper. A backend that is unhealthy, full or slow
misses its turn; if no member of a group is eligible, the other group is searched.
"""

from __future__ import annotations

import math
from enum import Enum

from mothstall.interface import Effect
from mothstall.policy.backend import Backend
from mothstall.policy.concurrency import ConcurrencyLimits
from mothstall.policy.context import Context
from mothstall.policy.endpoints import EndpointList
from mothstall.policy.latency import LatencyModel
from mothstall.policy.load_probes import LoadProbes
from mothstall.policy.priority_groups import PriorityGroups
from mothstall.policy.request import Request
from mothstall.policy.retries import may_run_at
from mothstall.policy.slow_start import SlowStart
from mothstall.policy.zone_weights import ZoneWeights

# A backend misses its turn if its attempts in flight exceed `MAX_IN_FLIGHT_RATIO` times the mean
# over the members plus `IN_FLIGHT_OFFSET`.
MAX_IN_FLIGHT_RATIO = 1.0
IN_FLIGHT_OFFSET = 0.5
SLOWNESS_POWER = -6  # a slow backend keeps a turn with probability `slowness**SLOWNESS_POWER`
# With few backends per proxy, a burst may exceed the capacity by its square root times this factor.
BURST_FACTOR = 2.0
CONNECT_TIMEOUT_FRACTION = 1 / 4  # part of the connect timeout in the stall timeout


class SkipReason(Enum):
    """Why a backend misses its turn."""

    NONE = "none"  # the backend does not miss its turn
    FULL = "full"  # the backend has no capacity now
    UNHEALTHY = "unhealthy"
    SLOW = "slow"


class _Search:
    """Intermediate results of a search for a backend."""

    __slots__ = ("found_full", "slow_turn", "tried", "unhealthy")

    def __init__(self, request: Request) -> None:
        self.tried = [row.backend for row in request.attempts if not row.was_rejected]
        self.found_full = False
        self.slow_turn: tuple[int, int] | None = None  # side and index of the first slow backend
        self.unhealthy: list[Backend] = []


class Rotation:
    """Picks backends for attempts."""

    def __init__(
        self,
        context: Context,
        endpoints: EndpointList,
        groups: PriorityGroups,
        latency: LatencyModel,
        limits: ConcurrencyLimits,
        load_probes: LoadProbes,
        slow_start: SlowStart,
        zone_weights: ZoneWeights,
    ) -> None:
        self._context = context
        self._endpoints = endpoints
        self._groups = groups
        self._latency = latency
        self._limits = limits
        self._load_probes = load_probes
        self._slow_start = slow_start
        self._zone_weights = zone_weights
        self._safest_effect = min(row.effect for row in context.settings.classes)

    def pick(self, request: Request) -> Backend | None:
        """Return the backend for the request's next attempt; None: no backend may get it now."""
        if not self._has_capacity(request):
            return None
        search = _Search(request)
        for side, zones in self._zone_weights.search_order(int(request.is_priority)):
            if search.found_full and not zones and self._zone_weights.follows_plan:
                break  # the zones of the plan are full: do not use other zones
            turn = self._search_group(request, search, side, zones)
            if turn >= 0:
                return self._take_turn(side, turn)
        if search.slow_turn:  # only slow backends are left: take the first
            return self._take_turn(*search.slow_turn)
        return self._least_unhealthy(request, search)

    def _has_capacity(self, request: Request) -> bool:
        limits = self._limits
        in_flight: float = limits.in_flight
        burst = 0.0
        if self._endpoints.is_sparse:
            # Guards against rounding down a small capacity: the random draw admits its fractional
            # part on average. The additional allowance permits random bursts.
            in_flight += self._context.rng.random()
            burst = BURST_FACTOR * math.sqrt(limits.capacity)
        if request.exceeds_quota:
            return in_flight < min(limits.capacity, limits.spare_capacity)
        return in_flight < limits.capacity + burst

    def _search_group(self, request: Request, search: _Search, side: int, zones: set[int]) -> int:
        """Return the index of the next eligible member with a turn credit of 1; -1: none eligible.

        If no credit reaches 1, the eligible member with the greatest credit is taken.
        """
        group = self._groups.by_side[side]
        start = self._groups.next_turn[side]
        now_ns = self._context.now_ns
        has_run = request.ran_on is not None
        nearest = -1
        for step in range(len(group)):
            index = (start + step) % len(group)
            backend = group[index]
            if backend in search.tried or (zones and backend.zone not in zones):
                continue
            if has_run and not may_run_at(request, backend, now_ns):
                continue
            reason = self.skip_reason(backend, request)
            if reason is SkipReason.NONE:
                backend.turn_credit += backend.weight / self._endpoints.max_weight
                if backend.turn_credit >= 1.0:
                    return index
                if nearest < 0 or backend.turn_credit > group[nearest].turn_credit:
                    nearest = index
            elif reason is SkipReason.FULL:
                search.found_full = True
            elif reason is SkipReason.SLOW:
                search.slow_turn = search.slow_turn or (side, index)
            elif backend not in search.unhealthy:
                search.unhealthy.append(backend)
        return nearest

    def _take_turn(self, side: int, index: int) -> Backend:
        group = self._groups.by_side[side]
        backend = group[index]
        backend.turn_credit = min(1.0, backend.turn_credit) - 1.0
        self._groups.next_turn[side] = (index + 1) % len(group)
        if self._load_probes.is_on:
            self._load_probes.probe_next(group, index)
        return backend

    def _least_unhealthy(self, request: Request, search: _Search) -> Backend | None:
        """Return the least unhealthy member for a first attempt, if all members are unhealthy.

        Guards against one backend receiving all requests that the others rejected: an unhealthy
        backend gets no retries, and a warming one gets no attempts beyond its tokens.
        """
        candidates = [backend for backend in search.unhealthy if self._is_warm_enough(backend)]
        if search.found_full or request.attempts or not candidates:
            return None
        return min(candidates, key=_unhealthiness)

    def _is_warm_enough(self, backend: Backend) -> bool:
        warmth = self._slow_start.warmth(backend)
        return warmth >= 1 or self._slow_start.has_token(backend, warmth)

    # Missed turns

    def skip_reason(self, backend: Backend, request: Request) -> SkipReason:
        """Return why a backend misses its turn for this request."""
        outlier = backend.outlier
        if outlier.ejected_until_ns and self._must_stay_ejected(backend, request):
            return SkipReason.UNHEALTHY
        warmth = self._slow_start.warmth(backend)
        if backend.in_flight and self._is_stalled(backend, request, warmth):
            return SkipReason.UNHEALTHY
        # Guards against half-open probes beyond the tokens: without this, rejected probes follow
        # each other immediately.
        if warmth < 1 and not self._slow_start.has_token(backend, warmth):
            return SkipReason.FULL
        if outlier.ejected_until_ns:
            return SkipReason.NONE
        if self._is_full(backend, warmth):
            return SkipReason.FULL
        if backend.queue_report.reported_at_ns >= 0 and self._load_probes.has_long_queue(backend):
            return SkipReason.SLOW
        if self._endpoints.is_sparse and self._is_slow(backend):
            return SkipReason.SLOW
        return SkipReason.NONE

    def _must_stay_ejected(self, backend: Backend, request: Request) -> bool:
        """Whether an ejected backend must not get this request.

        After its ejection time the backend gets one half-open probe at a time, and only from
        classes whose effect is the least harmful of all classes.
        """
        if backend.outlier.is_probing or request.request_class.effect > self._safest_effect:
            return True
        until_ns = max(backend.outlier.ejected_until_ns, backend.concurrency.backoff_until_ns)
        return self._context.now_ns < until_ns

    def _is_stalled(self, backend: Backend, request: Request, warmth: float) -> bool:
        """Whether a backend with attempts in flight has sent no response for unusually long.

        Guards against hung backends.
        """
        usual_ns = self._latency.usual_ns
        no_progress_ns = self._context.now_ns - max(backend.last_progress_ns, backend.busy_since_ns)
        stall_timeout_ns = usual_ns * (1 + 2 / backend.in_flight) / warmth
        stall_timeout_ns /= min(self._latency.shared_lateness)
        stall_timeout_ns += self._context.settings.connect_timeout_ns * CONNECT_TIMEOUT_FRACTION
        if request.request_class.effect == Effect.NON_IDEMPOTENT:
            stall_timeout_ns /= 2  # a non-idempotent request requires more recent responses
        return usual_ns > 0 and no_progress_ns > stall_timeout_ns

    def _is_full(self, backend: Backend, warmth: float) -> bool:
        if backend.in_flight >= backend.concurrency.limit:
            return True
        if self._context.now_ns < backend.concurrency.backoff_until_ns:
            return True
        mean_in_flight = self._limits.in_flight / max(1, len(self._groups.members))
        return backend.in_flight > MAX_IN_FLIGHT_RATIO * mean_in_flight * warmth + IN_FLIGHT_OFFSET

    def _is_slow(self, backend: Backend) -> bool:
        """Whether a backend misses its turn at random, with a probability that grows with slowness.

        Guards against backends that other proxies congest, if this one has few responses.
        """
        slowness = backend.slowness / (1.0 + self._latency.noise)
        return slowness > 1 and self._context.rng.random() > slowness**SLOWNESS_POWER


def _unhealthiness(backend: Backend) -> tuple[bool, float, int, int]:
    return (
        backend.in_flight >= backend.concurrency.limit,
        backend.outlier.failure_score,
        backend.in_flight,
        backend.outlier.ejected_until_ns,
    )
