"""Adaptive concurrency limits, for this proxy as a whole (its capacity) and for each backend.

Capacity is the number of attempts that this proxy may have in flight. It grows while it is used and
responses are in time, and shrinks with responses that show congestion. All proxies see the same
latencies, so that the sum of their capacities converges to the number of attempts in flight that
the fleet can serve.
"""

from __future__ import annotations

import math

from mothstall.policy.backend import INITIAL_LIMIT, Backend
from mothstall.policy.context import Context
from mothstall.policy.endpoints import EndpointList
from mothstall.policy.latency import MIN_SHARED_FRACTION, LatencyModel
from mothstall.policy.outliers import MAX_EJECTION_NS, OutlierDetector
from mothstall.policy.priority_groups import PriorityGroups
from mothstall.policy.request import Attempt, Request
from mothstall.policy.slow_start import SlowStart

LIMIT_DECREASE = 0.8  # a late response multiplies its backend's limit by this
CAPACITY_DECREASE = 0.2  # decrease, in attempts, for each response that shows congestion
CAPACITY_INCREASE = 0.1  # increase for each other response; stable if a third show congestion
SPARE_DECREASE = 0.3  # decrease and increase of `spare_capacity` for each response
SPARE_INCREASE = 0.1
RAMP_UP_INCREASE = 1.0  # increase of both capacities until the first congestion
MAX_CAPACITY_RATIO = 2.0  # capacity grows up to this multiple of the attempts in flight
MISSED_OBJECTIVE_FACTOR = 4.0  # weight of an outcome later than the objective
STABLE_CONGESTION = 1 / 3  # fraction of congested responses at which the capacity is stable
MIN_SPARE_RATIO = 0.5  # minimum spare capacity of all proxies together, in attempts per backend
MAX_BACKOFF_MULTIPLIER = 32.0  # bound of the multiplier, which doubles with each rejection
MIN_BACKOFF = 0.5  # first backoff: random, 0.5 to 1.5 times the usual latency


class ConcurrencyLimits:
    """Adjusts this proxy's capacity and each backend's limit by the outcome of attempts.

    Attributes:
        in_flight: Number of attempts in flight, without those that wait for the request body.
        capacity: Upper bound of `in_flight`.
        spare_capacity: Upper bound of `in_flight` for requests that exceed a quota.
        is_ramping_up: Whether no response has shown congestion yet, so that capacity grows fast.
    """

    def __init__(
        self,
        context: Context,
        endpoints: EndpointList,
        groups: PriorityGroups,
        latency: LatencyModel,
        outliers: OutlierDetector,
        slow_start: SlowStart,
    ) -> None:
        self._context = context
        self._endpoints = endpoints
        self._groups = groups
        self._latency = latency
        self._outliers = outliers
        self._slow_start = slow_start
        self.in_flight = 0
        self.capacity = 0.0
        self.spare_capacity = math.inf
        self.is_ramping_up = True

    def initial_capacity(self) -> float:
        """Return the first capacity: a few attempts per backend, divided among all proxies."""
        per_proxy = INITIAL_LIMIT * len(self._endpoints) / self._context.settings.proxies
        return max(self._endpoints.backends_per_proxy, per_proxy)

    def grow_by_backend(self) -> None:
        """Raise the capacity in proportion for an added backend."""
        self.capacity *= 1.0 + 1.0 / max(1, len(self._endpoints))

    def shrink_by_backend(self) -> None:
        """Lower the capacity for a removed backend.

        Guards against the remaining backends receiving the load of the complete fleet.
        """
        remaining = self.capacity * (1.0 - 1.0 / len(self._endpoints))
        self.capacity = max(self._endpoints.backends_per_proxy, remaining)

    # Attempts

    def add_in_flight(self, backend: Backend) -> None:
        """Count an attempt as in flight."""
        if not backend.in_flight:
            backend.busy_since_ns = self._context.now_ns
        backend.in_flight += 1
        self.in_flight += 1

    def remove_in_flight(self, backend: Backend) -> None:
        """Count an attempt as no longer in flight."""
        backend.in_flight -= 1
        self.in_flight -= 1
        if not backend.in_flight:
            busy_since_ns = max(backend.busy_since_ns, self._groups.slots.started_ns)
            backend.throughput.busy_ns += self._context.now_ns - busy_since_ns

    # Attempt outcomes

    def record_outcome(
        self,
        attempt: Attempt,
        request: Request,
        *,
        is_late: bool,
        is_congested: bool,
        weight: float = 1.0,
    ) -> None:
        """Adjust capacity and the backend's limit after a response or a timeout.

        Args:
            attempt: The attempt that ended.
            request: Its request.
            is_late: Whether its latency was late by the objective or the baseline of its class.
            is_congested: Whether it shows congestion of the fleet.
            weight: Confidence in `is_congested`, 0 to 1.
        """
        backend = attempt.backend
        state = backend.concurrency
        used = backend.in_flight + 1.0
        weight *= self._latency.shared_lateness[request.class_index]
        if self._is_fleet_evidence(attempt):
            age_ns = self._context.now_ns - attempt.sent_ns
            factor = MISSED_OBJECTIVE_FACTOR if age_ns > request.objective_ns else 1.0
            self.update_capacity(is_late=is_late, is_congested=is_congested, weight=weight * factor)
        if is_late:
            is_new = attempt.sent_ns >= state.reduced_at_ns
            if is_new and used > state.limit / 2 and weight >= MIN_SHARED_FRACTION:
                state.limit = max(1.0, state.limit * LIMIT_DECREASE)
                state.reduced_at_ns = self._context.now_ns
        elif used > state.limit - 1:
            state.limit += 1.0 / state.limit

    def _is_fleet_evidence(self, attempt: Attempt) -> bool:
        """Whether an attempt's outcome may change the capacity for the whole fleet.

        The outcome is ignored at a warming backend, and at an unhealthy one unless the number of
        unhealthy backends is at least half the number of members.
        """
        backend = attempt.backend
        if self._slow_start.warmth(backend) < 1:
            return False
        is_unhealthy = (
            backend.outlier.ejected_until_ns or backend.last_progress_ns < attempt.sent_ns
        )
        return not is_unhealthy or 2 * self._outliers.unhealthy_count >= len(self._groups.members)

    def update_capacity(self, *, is_late: bool, is_congested: bool, weight: float) -> None:
        """Update the capacity and the spare capacity."""
        settings = self._context.settings
        # Guards against idle backends: the capacities of all proxies must add up to at least one
        # attempt per backend.
        min_capacity = len(self._endpoints) / settings.proxies
        step = math.sqrt(self._endpoints.backends_per_proxy)
        if settings.tenants:
            # Requests beyond a tenant's quota have almost no value: late responses suffice to
            # restrict them, even without congestion.
            is_reduced = is_late
            grows_fast = self.is_ramping_up and self._endpoints.is_sparse
        else:
            is_reduced = is_congested
            grows_fast = self.is_ramping_up
        if is_reduced:
            change = -SPARE_DECREASE * min(1.0, weight)
        else:
            change = RAMP_UP_INCREASE if grows_fast else SPARE_INCREASE
        spare = min(self.spare_capacity, self.capacity) + change * step
        self.spare_capacity = max(min_capacity * MIN_SPARE_RATIO, spare)
        if is_congested:
            remaining = self.capacity - weight * step * CAPACITY_DECREASE
            self.capacity = max(self._endpoints.backends_per_proxy, min_capacity, remaining)
            self.is_ramping_up = False
        elif self.capacity < MAX_CAPACITY_RATIO * (self.in_flight + 1) + self.initial_capacity():
            self.capacity += step * (RAMP_UP_INCREASE if self.is_ramping_up else CAPACITY_INCREASE)

    def record_rejection(self, backend: Backend) -> None:
        """Back off from a backend that rejected an attempt unread.

        Guards against repeated rejections: a full backend gets no attempt for about one usual
        latency.
        """
        context = self._context
        state = backend.concurrency
        state.limit = max(1.0, min(state.limit, backend.in_flight + 1.0) * LIMIT_DECREASE)
        usual_ns = max(self._latency.usual_ns, context.settings.tick_ns)
        backoff_ns = (MIN_BACKOFF + context.rng.random()) * state.backoff_multiplier * usual_ns
        state.backoff_until_ns = context.now_ns + min(int(backoff_ns), MAX_EJECTION_NS)
        state.backoff_multiplier = min(2 * state.backoff_multiplier, MAX_BACKOFF_MULTIPLIER)

    def no_response_weight(self) -> float:
        """Return the confidence that a missing response shows congestion.

        Guards against overload that shows only as timeouts, and against lost responses that would
        be taken for overload: the weight grows with the fraction of congested responses.
        """
        return min(1.0, self._latency.congestion / STABLE_CONGESTION) ** 2
