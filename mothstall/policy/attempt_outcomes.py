"""Updates backend health, congestion estimates and class statistics when an attempt ends."""

from __future__ import annotations

import math

from mothstall import interface as io
from mothstall.interface import AttemptResult
from mothstall.policy.concurrency import ConcurrencyLimits
from mothstall.policy.context import Context
from mothstall.policy.latency import (
    CONGESTED_RATIO,
    LATE_FRACTION,
    MAX_BASELINE_RATIO,
    MIN_SHARED_FRACTION,
    LatencyModel,
    record_max_slowness,
)
from mothstall.policy.load_probes import LoadProbes
from mothstall.policy.outliers import (
    CLASS_TIMEOUT_SCORE,
    EJECTION_SCORE,
    FAILURE_SCORE,
    SHARED_ERROR_FACTOR,
    OutlierDetector,
)
from mothstall.policy.request import Attempt, Request
from mothstall.policy.retries import RetryBudget
from mothstall.policy.traffic_profile import TrafficProfiles

NO_RESPONSE_RATIO = 1.5  # multiple of the usual latency; only longer waits count as failures


class AttemptOutcomes:
    """Updates the parts of the balancer that depend on the outcomes of attempts."""

    def __init__(
        self,
        context: Context,
        profiles: TrafficProfiles,
        latency: LatencyModel,
        limits: ConcurrencyLimits,
        load_probes: LoadProbes,
        outliers: OutlierDetector,
        retry_budget: RetryBudget,
    ) -> None:
        self._context = context
        self._profiles = profiles
        self._latency = latency
        self._limits = limits
        self._load_probes = load_probes
        self._outliers = outliers
        self._retry_budget = retry_budget

    def record(self, attempt: Attempt, request: Request, event: io.AttemptEnded) -> None:
        """Record an attempt's outcome as a success, congestion or a failure of its backend."""
        backend = attempt.backend
        if not attempt.awaits_body:
            self._limits.remove_in_flight(backend)
        if attempt.is_half_open_probe:
            backend.outlier.is_probing = False
        utilization = self._load_probes.load_value(event.load, "util")
        if utilization >= 0:
            backend.throughput.reported_utilization = min(1.0, utilization)
        if event.result == AttemptResult.OK:
            self._record_response(attempt, request, event)
        elif event.result == AttemptResult.REJECTED:
            self._limits.record_rejection(backend)
            record_max_slowness(backend)
            self._limits.update_capacity(is_late=True, is_congested=True, weight=1.0)
        elif event.result == AttemptResult.CONNECT_FAILED:
            self._outliers.count_failure(backend, EJECTION_SCORE)
        elif event.result == AttemptResult.RESET:
            self._outliers.count_failure(backend, FAILURE_SCORE)
        elif event.result == AttemptResult.ERROR:
            fraction = self._latency.shared_error_fraction(request.class_index, 1.0)
            self._outliers.count_failure(backend, SHARED_ERROR_FACTOR * fraction)
        elif event.result == AttemptResult.TIMEOUT or (
            event.result == AttemptResult.CANCELLED and not request.is_done
        ):
            self._record_no_response(attempt, request)

    def _record_response(self, attempt: Attempt, request: Request, event: io.AttemptEnded) -> None:
        backend = attempt.backend
        now_ns = self._context.now_ns
        latency = self._latency
        latency.update_shared_lateness(request.class_index, now_ns - attempt.sent_ns)
        latency.shared_error_fraction(request.class_index, 0.0)
        backend.throughput.completions += 1
        backend.concurrency.backoff_multiplier = 1.0
        backend.last_progress_ns = now_ns
        self._profiles.count_completion(request.profile)
        self._outliers.count_success(backend)
        self._retry_budget.earn()
        latency.update_usual(event.latency_ns)
        level_ns = latency.latency_at_mean_cost(request, event.latency_ns)
        baseline_ns = latency.baseline_ns(request, level_ns, self._limits.in_flight)
        if baseline_ns:
            latency.update_slowness(backend, level_ns, baseline_ns)
        baseline_late_ns = MAX_BASELINE_RATIO * baseline_ns or math.inf
        late_ns = min(LATE_FRACTION * request.objective_ns, baseline_late_ns)
        is_congested = level_ns > max(late_ns, CONGESTED_RATIO * baseline_ns)
        latency.count_congestion(is_congested=is_congested)
        self._limits.record_outcome(
            attempt,
            request,
            is_late=is_congested if request.cost_ns else level_ns > late_ns,
            is_congested=is_congested,
        )

    def _record_no_response(self, attempt: Attempt, request: Request) -> None:
        """Record an attempt that ended without a response.

        Guards against blaming a backend for a request that had little time left: a wait up to
        `NO_RESPONSE_RATIO` times the usual latency is ignored.
        """
        backend = attempt.backend
        age_ns = self._context.now_ns - attempt.sent_ns
        usual_ns = self._latency.usual_ns
        certainty = age_ns / (NO_RESPONSE_RATIO * usual_ns) if usual_ns else 1.0
        if certainty < 1:
            return
        self._latency.update_shared_lateness(request.class_index, age_ns)
        self._limits.record_outcome(
            attempt,
            request,
            is_late=True,
            is_congested=True,
            weight=self._limits.no_response_weight(),
        )
        record_max_slowness(backend)
        if backend.last_progress_ns < attempt.sent_ns:
            # The score grows with the wait, but is low if only this class gets no responses.
            is_shared = self._latency.shared_lateness[request.class_index] >= MIN_SHARED_FRACTION
            self._outliers.count_failure(backend, certainty if is_shared else CLASS_TIMEOUT_SCORE)
