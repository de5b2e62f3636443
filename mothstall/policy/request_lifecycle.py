"""The life cycle of a request: admission, queueing, attempts, hedges, retries, final response."""

from __future__ import annotations

from functools import partial

from mothstall import interface as io
from mothstall.interface import NS, AttemptResult, Effect
from mothstall.policy.admission import FairQueue, Quotas
from mothstall.policy.attempt_outcomes import AttemptOutcomes
from mothstall.policy.backend import Backend
from mothstall.policy.concurrency import ConcurrencyLimits
from mothstall.policy.context import Context
from mothstall.policy.endpoints import EndpointList
from mothstall.policy.latency import MIN_SHARED_FRACTION, LatencyModel
from mothstall.policy.priority_groups import PriorityGroups
from mothstall.policy.request import Attempt, Request
from mothstall.policy.retries import RetryBudget, is_client_retry_safe, window_end_ns
from mothstall.policy.rotation import Rotation
from mothstall.policy.slow_start import SlowStart
from mothstall.policy.subset import Subset
from mothstall.policy.traffic_profile import TrafficProfiles
from mothstall.policy.zone_weights import ZoneWeights

QUEUE_WAIT_FRACTION = 0.25  # fraction of the objective that a request may wait for capacity
RETRY_AFTER_DIVISOR = 4  # Retry-After of a rejection: the latency objective divided by this
MIN_TIME_FRACTION = 1 / 2  # fraction of the usual latency: minimum time left for an attempt
HEDGE_AFTER = 3.0  # a request is hedged after this multiple of the usual latency without a response
HEDGE_UNRESPONSIVE_CLASS_AFTER = 2.0  # the multiple if only the request's class gets no responses
MIN_HEDGE_FRACTION = 1 / 8  # fraction of the latency objective: minimum wait before a hedge
HALF_OPEN_TIMEOUT_RATIO = 4  # timeout of a half-open probe, as a multiple of the usual latency
QUEUE_CHECK_NS = NS // 100  # interval of capacity checks while requests are queued


class RequestLifecycle:
    """Handles open requests from their arrival to the end of their last attempts.

    Attributes:
        open: Open requests by their ids.
    """

    def __init__(
        self,
        context: Context,
        endpoints: EndpointList,
        groups: PriorityGroups,
        latency: LatencyModel,
        limits: ConcurrencyLimits,
        outcomes: AttemptOutcomes,
        profiles: TrafficProfiles,
        queue: FairQueue,
        quotas: Quotas,
        retry_budget: RetryBudget,
        rotation: Rotation,
        subset: Subset,
        zone_weights: ZoneWeights,
    ) -> None:
        self._context = context
        self._endpoints = endpoints
        self._groups = groups
        self._latency = latency
        self._limits = limits
        self._outcomes = outcomes
        self._profiles = profiles
        self._queue = queue
        self._quotas = quotas
        self._retry_budget = retry_budget
        self._rotation = rotation
        self._subset = subset
        self._zone_weights = zone_weights
        self._next_queue_check_ns = 0
        self.open: dict[int, Request] = {}

    # Arrival

    def arrive(self, event: io.RequestArrived) -> None:
        """Accept a request, and send, queue or reject it."""
        settings = self._context.settings
        if event.request in self.open or event.class_index >= len(settings.classes):
            return
        index = event.tenant_index if settings.tenants else event.class_index
        profile = self._profiles.of_request(index)
        request = Request(
            event,
            settings.classes[event.class_index],
            profile,
            is_priority=self._profiles.is_single or index == self._profiles.priority,
            now_ns=self._context.now_ns,
        )
        self.open[request.id] = request
        if event.cost_ns:
            self._latency.record_cost(event.class_index, event.cost_ns)
        self._groups.latency[int(request.is_priority)].open(request)
        request.exceeds_quota = self._quotas.exceeds(profile)
        self._profiles.count_arrival(profile)
        if self._zone_weights.must_reject(exceeds_quota=request.exceeds_quota):
            self._give_up(request)
            return
        if not profile.queue and self._queue.is_next(profile) and self._has_time(request):
            backend = self._rotation.pick(request)
            if backend:
                self._admit(request, backend)
                return
        self._wait_for_capacity(request)

    def _has_time(self, request: Request) -> bool:
        left_ns = request.deadline_ns - self._context.now_ns
        return left_ns >= self._latency.usual_ns * MIN_TIME_FRACTION

    def _wait_for_capacity(self, request: Request) -> None:
        """Queue the request if capacity is likely soon; otherwise reject it immediately."""
        now_ns = self._context.now_ns
        profile = request.profile
        left_ns = request.deadline_ns - now_ns
        until_ns = now_ns + int(QUEUE_WAIT_FRACTION * min(request.objective_ns, left_ns))
        max_length = max(1.0, profile.rate * (until_ns - now_ns) / NS)
        is_over_quota = request.exceeds_quota and self._context.settings.tenants
        if len(profile.queue) >= max_length or not self._has_time(request) or is_over_quota:
            self._give_up(request)
            return
        self._queue.put(request, until_ns)
        self._context.timers.schedule(until_ns, partial(self._end_wait, request, until_ns))

    def _end_wait(self, request: Request, until_ns: int) -> None:
        """Reject a request whose wait timed out, unless the timer is that of an earlier wait."""
        if request.queued_until_ns == until_ns:
            self._give_up(request)

    def serve_queue(self) -> None:
        """Send queued requests in the order of the fair queue while there is capacity."""
        while self._queue.count:
            found = self._next_to_serve()
            if found is None:
                break
            request, backend = found
            self._queue.remove(request)
            self._admit(request, backend)
        # Guards against a growing number of timers: at most one check of the queue is scheduled.
        now_ns = self._context.now_ns
        if self._queue.count and self._next_queue_check_ns <= now_ns:
            self._next_queue_check_ns = now_ns + max(self._context.settings.tick_ns, QUEUE_CHECK_NS)
            self._context.timers.schedule(self._next_queue_check_ns, _do_nothing)

    def _next_to_serve(self) -> tuple[Request, Backend] | None:
        for profile in self._queue.in_order():
            request = profile.queue[0]
            if backend := self._rotation.pick(request):
                return request, backend
        return None

    def _admit(self, request: Request, backend: Backend) -> None:
        self._queue.admit(request)
        self._send(request, backend)

    # Attempts

    def _send(self, request: Request, backend: Backend) -> None:
        now_ns = self._context.now_ns
        is_half_open_probe = bool(backend.outlier.ejected_until_ns)
        timeout_ns = self._attempt_timeout_ns(request, is_half_open_probe=is_half_open_probe)
        if is_half_open_probe:
            backend.outlier.is_probing = True
        SlowStart.count_attempt(backend)
        self._limits.add_in_flight(backend)
        backend.throughput.arrivals += 1
        request.open_attempts += 1
        self._subset.count_attempt()
        attempt = Attempt(backend, now_ns, is_half_open_probe=is_half_open_probe)
        request.attempts.append(attempt)
        write_by_ns = window_end_ns(request)
        if request.ran_on is None:
            request.ran_on = backend
            request.ran_at_ns = now_ns
        self._zone_weights.count_attempt(backend.zone)
        self._context.actions.append(
            io.SendAttempt(request.id, backend.id, max(1, timeout_ns), write_by_ns)
        )
        if len(request.attempts) == 1:
            self._schedule_hedge(request)

    def _attempt_timeout_ns(self, request: Request, *, is_half_open_probe: bool) -> int:
        timeout_ns = request.deadline_ns - self._context.now_ns
        usual_ns = self._latency.usual_ns
        if is_half_open_probe and request.request_class.effect == Effect.IDEMPOTENT and usual_ns:
            connect_timeout_ns = self._context.settings.connect_timeout_ns
            return min(timeout_ns, int(HALF_OPEN_TIMEOUT_RATIO * usual_ns) + connect_timeout_ns)
        return timeout_ns

    def _schedule_hedge(self, request: Request) -> None:
        settings = self._context.settings
        if request.request_class.effect == Effect.NON_IDEMPOTENT or not settings.may_hedge:
            return
        now_ns = self._context.now_ns
        is_shared = self._latency.shared_lateness[request.class_index] >= MIN_SHARED_FRACTION
        multiple = HEDGE_AFTER if is_shared else HEDGE_UNRESPONSIVE_CLASS_AFTER
        no_response_ns = max(
            multiple * self._latency.usual_ns, request.objective_ns * MIN_HEDGE_FRACTION
        )
        wait_ns = min(no_response_ns, (request.deadline_ns - now_ns) / 2)
        self._context.timers.schedule(now_ns + int(wait_ns), partial(self._hedge, request))

    def _hedge(self, request: Request) -> None:
        """Send a hedged request if the missing response points to a fault of the backend.

        Hedging requests that are merely late would add load and delay all responses.
        """
        if request.is_done or request.has_response_started or request.open_attempts != 1:
            return
        if len(request.attempts) >= self._context.settings.max_attempts:
            return
        attempt = request.attempts[-1]
        if attempt.awaits_body or self._queue.count or not self._has_time(request):
            return
        if not self._is_suspect(attempt, request):
            return
        if self._retry_budget.has_token() and (backend := self._rotation.pick(request)):
            self._retry_budget.spend()
            self._send(request, backend)

    def _is_suspect(self, attempt: Attempt, request: Request) -> bool:
        """Whether a missing response points to a fault of the backend.

        A single attempt without a response may be an expensive request.
        """
        backend = attempt.backend
        if backend.outlier.ejected_until_ns:
            return True
        if self._latency.shared_lateness[request.class_index] < MIN_SHARED_FRACTION:
            return True
        if backend.last_progress_ns >= attempt.sent_ns:
            return False
        return backend.in_flight >= 2 or bool(backend.outlier.failure_score)

    def start_response(self, event: io.ResponseStarted) -> None:
        """Record that the first bytes of a response arrived."""
        if request := self.open.get(event.request):
            request.has_response_started = True

    def await_body(self, event: io.AttemptAwaitsBody) -> None:
        """Stop counting an attempt as in flight while its request body is incomplete.

        Guards against slow clients that make a backend look hung.
        """
        attempt = self._open_attempt(event.request, event.attempt)
        if attempt and not attempt.awaits_body:
            attempt.awaits_body = True
            self._limits.remove_in_flight(attempt.backend)

    def finish_writing(self, event: io.AttemptWritten) -> None:
        """Count an attempt whose body is complete as in flight; its latency starts now."""
        request = self.open.get(event.request)
        if request is None or event.attempt >= len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if not attempt.awaits_body:
            return
        now_ns = self._context.now_ns
        attempt.awaits_body = False
        attempt.sent_ns = now_ns
        self._limits.add_in_flight(attempt.backend)
        if not request.is_done:
            self._groups.latency[int(request.is_priority)].restart(request, now_ns)
            request.arrived_ns = now_ns
            request.deadline_ns = now_ns + event.left_ns
            request.ran_at_ns = now_ns

    def _open_attempt(self, request_id: int, index: int) -> Attempt | None:
        request = self.open.get(request_id)
        if request is None or index >= len(request.attempts):
            return None
        attempt = request.attempts[index]
        return attempt if attempt.is_open else None

    # Ends

    def end_attempt(self, event: io.AttemptEnded) -> None:
        """Process the end of an attempt: finish, retry or give up its request."""
        attempt = self._open_attempt(event.request, event.attempt)
        if attempt is None:
            return
        request = self.open[event.request]
        attempt.is_open = False
        request.open_attempts -= 1
        self._outcomes.record(attempt, request, event)
        if event.result in io.NEVER_RAN:
            self._mark_never_ran(attempt, request, event.result)
        if request.is_done:
            if not request.open_attempts:
                self.open.pop(request.id, None)
        elif event.finished or event.result == AttemptResult.OK:
            spent_ns = self._context.now_ns - request.arrived_ns
            if event.result != AttemptResult.OK:
                spent_ns = max(spent_ns, request.request_class.deadline_ns)
            self._finish(request, spent_ns)
        elif not request.open_attempts:
            if event.may_retry:
                self._retry(request, event.result)
            else:
                self._give_up(request)

    def _mark_never_ran(self, attempt: Attempt, request: Request, result: AttemptResult) -> None:
        """Mark an attempt that never ran; set `ran_on` by the first attempt that may have run."""
        attempt.never_ran = True
        attempt.was_rejected = result == AttemptResult.REJECTED
        ran = next((row for row in request.attempts if not row.never_ran), None)
        request.ran_on = ran.backend if ran else None
        request.ran_at_ns = ran.sent_ns if ran else 0

    def _retry(self, request: Request, result: AttemptResult) -> None:
        """Retry if class, remaining time and retry budget allow it; otherwise queue or give up."""
        is_free = result in io.NEVER_RAN
        settings = self._context.settings
        if len(request.attempts) >= settings.max_attempts or not self._has_time(request):
            self._give_up(request)
            return
        if not (is_free or self._retry_budget.has_token()) or self._is_retry_denied(request):
            self._give_up(request)
            return
        backend = self._rotation.pick(request)
        if backend:
            if not is_free:
                self._retry_budget.spend()
            self._send(request, backend)
        elif is_free and request.ran_on is None:
            self._wait_for_capacity(request)
        else:
            self._give_up(request)

    def _is_retry_denied(self, request: Request) -> bool:
        """Whether a request gets no retry, as it exceeds a tenant's quota and backends are few."""
        has_tenants = bool(self._context.settings.tenants)
        return request.exceeds_quota and has_tenants and self._endpoints.is_sparse

    def client_left(self, event: io.ClientLeft) -> None:
        """Finish a request whose client has disconnected or stopped waiting."""
        request = self.open.get(event.request)
        if request and not request.is_done:
            self._finish(request, self._context.now_ns - request.arrived_ns)

    def _give_up(self, request: Request) -> None:
        """Reject the request if its client may retry it, else fail it; both count as late."""
        settings = self._context.settings
        action: io.Action
        if is_client_retry_safe(request):
            retry_after_ns = 0
            if settings.retry_after:
                wait_ns = request.objective_ns // RETRY_AFTER_DIVISOR
                retry_after_ns = min(wait_ns, settings.max_retry_after_ns)
            action = io.Reject(request.id, retry_after_ns)
        else:
            action = io.FailRequest(request.id)
        self._context.actions.append(action)
        spent_ns = self._context.now_ns - request.arrived_ns
        self._finish(request, max(spent_ns, request.request_class.deadline_ns))

    def _finish(self, request: Request, spent_ns: int) -> None:
        request.is_done = True
        self._groups.latency[int(request.is_priority)].close(request, spent_ns)
        if request.queued_until_ns:
            self._queue.remove(request)
        if self._context.settings.may_cancel:
            for index, attempt in enumerate(request.attempts):
                if attempt.is_open:
                    self._context.actions.append(io.CancelAttempt(request.id, index))
        if not request.open_attempts:
            self.open.pop(request.id, None)


def _do_nothing() -> None:
    """Have no effect: the timer only causes a batch of events, after which the queue is served."""
