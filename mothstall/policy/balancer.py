"""The balancer, which takes events and returns the actions that they cause."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from mothstall import interface as io
from mothstall.interface import Health, UpdateScope
from mothstall.policy.admission import FairQueue, Quotas
from mothstall.policy.attempt_outcomes import AttemptOutcomes
from mothstall.policy.backend import INITIAL_LIMIT, WARMING_LIMIT, Backend
from mothstall.policy.concurrency import ConcurrencyLimits
from mothstall.policy.context import Context
from mothstall.policy.endpoints import EndpointList
from mothstall.policy.latency import ClassBaseline, LatencyModel, decay_slowness
from mothstall.policy.load_probes import LoadProbes
from mothstall.policy.outliers import FAILURE_SCORE, OutlierDetector
from mothstall.policy.polling import DiscoveryPolling
from mothstall.policy.priority_groups import PriorityGroups
from mothstall.policy.request_lifecycle import RequestLifecycle
from mothstall.policy.retries import RetryBudget
from mothstall.policy.rotation import Rotation
from mothstall.policy.slots import FIRST_SLOT_NS
from mothstall.policy.slow_start import SlowStart
from mothstall.policy.subset import Subset
from mothstall.policy.traffic_profile import TrafficProfiles
from mothstall.policy.zone_weights import ZoneWeights


class Balancer:
    """Composes the parts of the policy; its only inputs are settings, a seed and events.

    The same events at the same times give the same actions. Nothing here reads a clock.

    Attributes:
        context: Settings, clock, random numbers, timers.
        endpoints: The endpoint list.
        polling: Schedule of the calls that open a watch at discovery.
        profiles: Traffic statistics by tenant or class.
        groups: The paper's two groups of backends, and the slots.
        subset: Selection of the member backends.
        latency: Latency statistics of responses.
        limits: Concurrency limits: the capacity of this proxy, and each backend's limit.
        outliers: Ejection of backends that fail.
        slow_start: Rate limits of backends that are warming up.
        load_probes: Queue lengths that backends report to probes.
        zone_weights: Fractions of the traffic by zone, from the region's plan.
        queue: Requests that wait for capacity.
        quotas: Token buckets of the tenants' quotas.
        retry_budget: Token budget of retries and hedged requests.
        rotation: Weighted round robin over the members of the subset.
        requests: Open requests and their life cycle.
    """

    def __init__(self, settings: io.Settings, seed: int) -> None:
        self.context = context = Context(settings, seed)
        self.profiles = TrafficProfiles(context)
        self.endpoints = EndpointList(context)
        self.polling = DiscoveryPolling(context)
        self.groups = PriorityGroups(context, self.profiles)
        self.slow_start = SlowStart(context, self.endpoints)
        self.zone_weights = ZoneWeights(context, self.endpoints)
        self.subset = Subset(
            context, self.endpoints, self.groups, self.slow_start, self.zone_weights
        )
        self.outliers = OutlierDetector(context, self.endpoints, self.subset.refresh_if_partial)
        self.latency = LatencyModel(context, self.endpoints)
        self.load_probes = LoadProbes(context, self.endpoints, self.slow_start)
        self.limits = ConcurrencyLimits(
            context, self.endpoints, self.groups, self.latency, self.outliers, self.slow_start
        )
        self.retry_budget = RetryBudget()
        self.queue = FairQueue()
        self.quotas = Quotas(context, self.endpoints, self.profiles)
        self.rotation = Rotation(
            context,
            self.endpoints,
            self.groups,
            self.latency,
            self.limits,
            self.load_probes,
            self.slow_start,
            self.zone_weights,
        )
        self.requests = self._make_lifecycle()
        self._handlers = self._make_handlers()

    def _make_lifecycle(self) -> RequestLifecycle:
        outcomes = AttemptOutcomes(
            self.context,
            self.profiles,
            self.latency,
            self.limits,
            self.load_probes,
            self.outliers,
            self.retry_budget,
        )
        return RequestLifecycle(
            self.context,
            self.endpoints,
            self.groups,
            self.latency,
            self.limits,
            outcomes,
            self.profiles,
            self.queue,
            self.quotas,
            self.retry_budget,
            self.rotation,
            self.subset,
            self.zone_weights,
        )

    def _make_handlers(self) -> dict[type, Callable[[Any], None]]:
        return {
            io.AttemptEnded: self.requests.end_attempt,
            io.RequestArrived: self.requests.arrive,
            io.ClientLeft: self.requests.client_left,
            io.ResponseStarted: self.requests.start_response,
            io.AttemptAwaitsBody: self.requests.await_body,
            io.AttemptWritten: self.requests.finish_writing,
            io.LoadProbeEnded: self.load_probes.probe_ended,
            io.EndpointUpdate: self._on_endpoints,
            io.TimerFired: self._on_timer,
            io.InheritedState: self._on_predecessor,
            io.SuccessorChanged: self._on_successor,
            io.ResponseCut: self._on_response_cut,
            io.HealthHint: self._on_health_hint,
            io.ZoneWeights: self._on_zone_weights,
        }

    def handle(self, now: int, events: list[io.Event]) -> list[io.Action]:
        """Process events in order; return the resulting actions in order.

        Args:
            now: Time of a monotonic clock, in nanoseconds.
            events: Events since the last call.
        """
        context = self.context
        context.actions = []
        if context.now_ns < 0:
            self._begin(now)
        context.now_ns = max(now, context.now_ns)
        for event in events:
            self._handlers[type(event)](event)
        context.timers.run_due(context.now_ns)
        self.requests.serve_queue()
        wakeup_ns = context.timers.next_wakeup(context.now_ns)
        if wakeup_ns is not None:
            context.actions.append(io.SetTimer(wakeup_ns, wakeup_ns))
        return context.actions

    def out_of_rotation(self) -> int:
        """Return the number of listed backends that are ejected or half-open; no side effects."""
        return self.outliers.ejected_count()

    def export_state(self) -> io.InheritedState:
        """Return the state that a successor process can start from, without side effects."""
        known = [
            io.InheritedBackend(
                backend.id,
                backend.started_ns,
                backend.concurrency.limit,
                backend.outlier.failure_score,
                backend.outlier.ejected_until_ns,
                backend.outlier.ejection_ns,
            )
            for backend in self.endpoints.by_id.values()
        ]
        return io.InheritedState(
            self.latency.usual_ns,
            self.limits.capacity,
            self.slow_start.warm_rate,
            self.retry_budget.tokens,
            [[row.mean_ns, row.lowest_ns, row.count] for row in self.latency.baselines],
            known,
        )

    # Time

    def _begin(self, now_ns: int) -> None:
        self.context.now_ns = now_ns
        self.groups.slots.started_ns = now_ns
        self.slow_start.begin()
        self.context.timers.schedule(now_ns + FIRST_SLOT_NS, self._close_slot)
        self.polling.begin()

    def _on_timer(self, event: io.TimerFired) -> None:
        self.context.timers.fired(event.token)

    def _close_slot(self) -> None:
        """End the slot: the paper's computation phase."""
        span_ns = self.groups.measure_members()
        for backend in self.groups.members:
            decay_slowness(backend, span_ns)
        highest, lowest = self.groups.burstiness_range()
        self.update_rates(span_ns)
        self.subset.refresh()
        self.groups.rebalance()
        end_ns = self.groups.slots.begin_slot(self.context.now_ns, highest, lowest)
        self.context.timers.schedule(end_ns, self._close_slot)

    def update_rates(self, span_ns: int) -> None:
        """Update all per-slot statistics at the end of a slot of `span_ns`."""
        sent_rate = self.subset.sent_in_slot * io.NS / span_ns
        self.profiles.close_slot(span_ns)
        self.latency.end_slot(span_ns)
        self.queue.end_slot()
        self.profiles.choose_priority(is_first_slot=self.groups.slots.is_first)
        self.slow_start.end_slot(self.groups.members, span_ns, sent_rate)
        self.subset.end_slot(span_ns)

    # The endpoint list

    def _on_endpoints(self, update: io.EndpointUpdate) -> None:
        if update.scope == UpdateScope.FAILED:
            self.polling.failed(update.took_ns)
            return
        if update.scope != UpdateScope.CACHED:
            self.polling.succeeded()
        elif not update.entries:
            self.polling.started_without_list()
        if update.version < self.endpoints.version:
            return  # an older update must not restore a removed backend
        self.endpoints.version = update.version
        if update.scope != UpdateScope.DELTA:
            for backend in self.endpoints.missing_from(update.entries):
                self._remove(backend)
        is_first = not self.endpoints.by_id
        is_small = self.endpoints.is_small_change(update)
        for entry in update.entries:
            self._apply_entry(entry)
            if is_small:
                self.endpoints.place_on_ring(entry.backend)
        self.endpoints.finish_update(is_ring_sorted=is_small)
        self.subset.refresh()
        if is_first:
            self.retry_budget.begin(self.context, len(self.endpoints))
            self.limits.capacity = self.limits.initial_capacity()

    def _apply_entry(self, entry: io.Endpoint) -> None:
        listed = self.endpoints.by_id.get(entry.backend)
        is_ready = entry.health == Health.READY
        if listed and is_ready and listed.started_ns == entry.started_ns:
            self.endpoints.change(listed, entry)
            return
        if listed:
            self._remove(listed)  # a restart under the same id is a new backend that warms up
        if is_ready:
            self._add(entry)

    def _add(self, entry: io.Endpoint) -> None:
        self.limits.grow_by_backend()
        tokens = self.slow_start.first_tokens(entry, self.subset.size)
        backend = Backend(entry, self.context.now_ns, tokens)
        is_warm = self.slow_start.warmth(backend) >= 1
        backend.concurrency.limit = INITIAL_LIMIT if is_warm else WARMING_LIMIT
        self.endpoints.add(backend)

    def _remove(self, backend: Backend) -> None:
        self.limits.shrink_by_backend()
        self.endpoints.remove(backend)
        self.outliers.forget(backend)
        self.groups.remove(backend)

    # Information from other processes

    def _on_response_cut(self, event: io.ResponseCut) -> None:
        if backend := self.endpoints.by_id.get(event.backend):
            self.outliers.count_failure(backend, FAILURE_SCORE)

    def _on_health_hint(self, event: io.HealthHint) -> None:
        if backend := self.endpoints.by_id.get(event.backend):
            self.outliers.count_hint(backend)

    def _on_zone_weights(self, event: io.ZoneWeights) -> None:
        self.zone_weights.update(event)
        self.subset.refresh()

    def _on_successor(self, event: io.SuccessorChanged) -> None:
        self.slow_start.has_successor = event.is_running
        self.retry_budget.tokens = 0.0

    def _on_predecessor(self, event: io.InheritedState) -> None:
        """Take over the predecessor's state, so that both processes together act as one proxy."""
        self.latency.usual_ns = event.usual_latency_ns
        self.slow_start.warm_rate = event.warm_rate
        self.slow_start.recent_warm_rate = event.warm_rate
        self.limits.is_ramping_up = False
        self.limits.capacity = max(self.limits.capacity, event.capacity)
        self.retry_budget.tokens = min(self.retry_budget.max_tokens, event.retry_tokens)
        if len(event.baselines) == len(self.latency.baselines):
            self.latency.baselines = [ClassBaseline(*row) for row in event.baselines]
        for known in event.backends:
            backend = self.endpoints.by_id.get(known.backend)
            if backend and backend.started_ns == known.started_ns:
                self._restore(backend, known, event.warm_rate)

    def _restore(self, backend: Backend, known: io.InheritedBackend, warm_rate: float) -> None:
        self.outliers.restore(
            backend, known.failure_score, known.ejected_until_ns, known.ejection_ns
        )
        backend.concurrency.limit = known.concurrency_limit
        # Throughput that this process has measured so far covers only some of the proxy's clients.
        estimate = warm_rate or -1.0
        backend.throughput.filtered = estimate
        backend.throughput.corrected = estimate
