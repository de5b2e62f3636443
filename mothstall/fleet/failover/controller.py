"""Failover in one proxy: sends reports, follows the plan, and makes it while it holds the lease.

Composes the report sender, the feed of routing weights and the plan maker; the agent sends and
receives their messages. The request path never waits for any of them.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

from mothstall.fleet.agent.cluster_snapshot import ClusterSnapshot
from mothstall.fleet.failover.plan import PLAN_VALUE_NAME, FailoverPlan, decode_plan
from mothstall.fleet.failover.plan_maker import PlanMaker
from mothstall.fleet.failover.policy_config import policy_from_config
from mothstall.fleet.failover.report_sender import ReportSender
from mothstall.fleet.failover.report_window import ReportWindow
from mothstall.fleet.failover.reports import decode_report, is_from_known_observer
from mothstall.fleet.failover.transition import PlanTransition, RoutingWeights
from mothstall.fleet.failover.weights_feed import WEIGHTS_LIFETIME_MS, RoutingWeightsFeed
from mothstall.fleet.failover.zone_counters import ZoneCounters
from mothstall.fleet.failover.zone_evidence import ZoneEvidence
from mothstall.fleet.operator_config import OperatorConfig
from mothstall.fleet.units import NS_PER_MS
from mothstall.interface import AttemptResult
from mothstall.store.state.changes import PutValue


class ProxyTraffic(Protocol):
    """The proxy, as the failover controller uses it."""

    def warm_weights(self) -> Mapping[str, float]:
        """By zone, the weight of the usable backends; a backend in warm-up counts in part."""

    def request_totals(self) -> tuple[int, int]:
        """Client requests received, and client requests rejected, since the start."""

    def apply_weights(self, weights: RoutingWeights, lifetime_ms: int) -> None:
        """Route by these weights for `lifetime_ms` milliseconds."""


class FailoverController:
    """Failover in one proxy. Times are milliseconds of its monotonic clock.

    Attributes:
        plan: The newest plan read from the store.
    """

    def __init__(
        self,
        operator: OperatorConfig,
        name: str,
        classes: Sequence[str],
        latency_objectives_ns: Sequence[int],
        traffic: ProxyTraffic,
    ) -> None:
        """Start without a plan.

        Args:
            operator: The operator file.
            name: Name of the proxy.
            classes: Names of the classes of requests.
            latency_objectives_ns: For each class, nanoseconds within which a response is good.
            traffic: The proxy.
        """
        config = operator.failover
        interval_ms = config.report_interval_ns // NS_PER_MS
        self.plan = FailoverPlan()
        self._observers = [observer.name for observer in operator.observers]
        self._traffic = traffic
        self._reports = ReportSender(
            ZoneCounters(name, operator.zone, classes, latency_objectives_ns), interval_ms
        )
        self._feed = RoutingWeightsFeed(
            PlanTransition(
                name,
                operator.zone,
                config.transition_spread_ns // NS_PER_MS,
                config.hold_ns // NS_PER_MS,
                config.fade_ns // NS_PER_MS,
            )
        )
        window = ReportWindow(config.report_max_age_ns // NS_PER_MS)
        self._plan_maker = PlanMaker(policy_from_config(config), window, interval_ms)
        self._unreadable_reports = 0
        # The encoded plan that was decoded last.
        self._plan_data = b""

    @property
    def evidence(self) -> ZoneEvidence:
        """The assessment of all reports when this proxy last made a plan."""
        return self._plan_maker.evidence

    @property
    def report_window(self) -> ReportWindow:
        """The reports that plans are made from."""
        return self._plan_maker.report_window

    def status_counters(self) -> dict[str, int]:
        """Return the counters for `/counters`; `zone_plan_percent` is the weights' strength."""
        applied = self._feed.applied
        return {
            "zone_plan": self.plan.number,
            "zone_plan_percent": round(100 * applied.strength),
            "zone_stays_percent": round(100 * applied.overflow_fraction),
            "zone_reports": self._reports.reports_taken,
            "zone_reports_unread": self._unreadable_reports,
            "zone_plans_made": self._plan_maker.plans_made,
            "zone_plans_refused": self._plan_maker.plans_rejected,
        }

    def record_attempt(
        self,
        zone: str,
        class_index: int,
        result: AttemptResult,
        latency_ns: int,
        utilization: float,
    ) -> None:
        """Count an attempt that ended; see `ZoneCounters.record_attempt`."""
        self._reports.counters.record_attempt(zone, class_index, result, latency_ns, utilization)

    def receive_reports(self, rows: Sequence[bytes], now_ms: int) -> None:
        """Add reports of proxies and observers, which arrive while this proxy holds the lease."""
        for data in rows:
            report = decode_report(data)
            if report is None or not is_from_known_observer(report, self._observers):
                self._unreadable_reports += 1
            else:
                self._plan_maker.report_window.add(report, now_ms)

    def apply_snapshot(self, snapshot: ClusterSnapshot, now_ms: int) -> None:
        """Adopt the plan in a new snapshot of the state, unless it is older than the last one."""
        row = snapshot.values.get(PLAN_VALUE_NAME)
        if row is None or row.value == self._plan_data:
            return  # unchanged, as in most snapshots
        self._plan_data = row.value
        plan = decode_plan(row.value)
        if plan is not None and plan.number >= self.plan.number:
            self.plan = plan
            self._feed.transition.adopt(plan, now_ms)

    def take_report(self, now_ms: int) -> bytes | None:
        """Return the report that is due now, if one is."""
        if not self._reports.is_due(now_ms):
            return None
        requests, rejected = self._traffic.request_totals()
        return self._reports.take(
            now_ms,
            requests,
            rejected,
            self._traffic.warm_weights(),
            self._feed.applied.plan_number,
        )

    def apply_due_weights(self, now_ms: int, contact_age_ms: int) -> None:
        """Apply the routing weights when they change, and again before their lifetime ends.

        Args:
            now_ms: The time.
            contact_age_ms: Milliseconds since the last contact with a keeper that has a leader;
                negative before the first contact.
        """
        weights = self._feed.current(now_ms, contact_age_ms)
        if weights is None:
            return
        self._reports.note_plan(weights.plan_number)
        if self._feed.must_apply(weights, now_ms):
            self._traffic.apply_weights(weights, WEIGHTS_LIFETIME_MS)
            self._feed.mark_applied(weights, now_ms)

    def next_write(
        self,
        token: int,
        snapshot: ClusterSnapshot,
        now_ms: int,
        on_rejected: Callable[[str], None],
    ) -> PutValue | None:
        """Return the write of the plan that is due now, if any; see `PlanMaker.next_write`."""
        return self._plan_maker.next_write(token, self.plan, snapshot.values, now_ms, on_rejected)

    def mark_written(self) -> None:
        """Record that the store has the plan; otherwise it is written again at the next tick."""
        self._plan_maker.mark_written()
