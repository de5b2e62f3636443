"""Zone failover of a virtual fleet: traffic reports, a planner, and each proxy's transition. Pure.

The decisions are those of production (`zone_counters`, `assessment`, `planner` and `transition` of
`fleet/failover`); only the transport is simulated: reports and plans are delayed, are not delivered
to or from a cut-off zone, and a planner in such a zone is replaced by another after a term. With
`truth` the planner gets the state of the zones at once and proxies follow at once: the upper bound
of what a plan can achieve.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

from mothstall import interface as io
from mothstall.fleet.failover.assessment import assess_reports
from mothstall.fleet.failover.plan import FailoverPlan, OperatorOverrides, ZonePairState, pair_key
from mothstall.fleet.failover.planner import next_plan
from mothstall.fleet.failover.policy import FailoverPolicy
from mothstall.fleet.failover.report_window import ReportWindow
from mothstall.fleet.failover.transition import PlanTransition, RoutingWeights
from mothstall.fleet.failover.zone_counters import ZoneCounters
from mothstall.fleet.failover.zone_evidence import ZoneAssessment, ZoneEvidence
from mothstall.interface import NS, AttemptResult

MS = 1_000_000
REPORT_INTERVAL_MS, WEIGHTS_INTERVAL_MS, WEIGHTS_LIFETIME_MS = 1000, 200, 2000
DELIVERY_MS = (20, 150)  # least and most delay of a report to the planner and of a plan to a proxy
PLANNER_REPLACEMENT_MS = 2300  # from a planner's loss until its successor makes plans


class SimulatedFleet(Protocol):
    """The simulated fleet as seen by the failover."""

    def zones(self) -> list[str]: ...

    def zone_of_backend(self, number: int) -> str: ...

    def zone_of_proxy(self, proxy: int) -> str: ...

    def is_up(self, proxy: int) -> bool: ...

    def is_cut_off(self, zone: str) -> bool:
        """Whether this zone is cut off from the others."""

    def is_lost(self, zone: str) -> bool:
        """Whether the zone's backends do not respond."""

    def warm_weights(self, proxy: int) -> Mapping[str, float]: ...

    def call_later(self, wait_ns: int, callback: Callable[..., object], *args: Any) -> None: ...

    def feed(self, proxy: int, event: io.Event) -> None: ...

    def now(self) -> int: ...


@dataclass(slots=True)
class _ProxyState:
    counters: ZoneCounters
    transition: PlanTransition
    applied: RoutingWeights = field(default_factory=RoutingWeights)
    applied_ms: int = 0
    plan_received_ms: int = 0
    request_count: int = 0
    rejected_count: int = 0
    last_plan_number: int = 0


class VirtualFailover:
    """The failover of one run. Tests disable guards of the transition by `at_once`, `forever`."""

    def __init__(
        self,
        fleet: SimulatedFleet,
        count: int,
        classes: list[str],
        aims_ns: list[int],
        policy: FailoverPolicy,
        seed: int,
        *,
        truth: bool = False,
        at_once: bool = False,
        forever: bool = False,
    ) -> None:
        self.fleet, self.policy, self.truth = fleet, policy, truth
        self._rng = random.Random(f"commons {seed}")
        self.plan = FailoverPlan()
        self.report_window = ReportWindow(5000)
        self.plans: list[tuple[float, FailoverPlan]] = []  # with the time of each, s
        self.proxies = [
            _ProxyState(
                ZoneCounters(f"p{i}", fleet.zone_of_proxy(i), classes, aims_ns),
                PlanTransition(
                    f"p{i}", fleet.zone_of_proxy(i), 1000, 10_000, 10_000, truth or at_once, forever
                ),
            )
            for i in range(count)
        ]
        self._planner_zone = ""
        self._planner_ready_ms = 0
        self._usual: FailoverPlan = FailoverPlan()

    def begin(self) -> None:
        self._planner_zone = self.fleet.zones()[0]
        for i in range(len(self.proxies)):
            self.fleet.call_later(
                self._rng.randrange(REPORT_INTERVAL_MS * MS), self._send_report, i
            )
            self.fleet.call_later(
                self._rng.randrange(WEIGHTS_INTERVAL_MS * MS), self._update_weights, i
            )
        self.fleet.call_later(REPORT_INTERVAL_MS * MS, self._make_plan)

    def _ms(self) -> int:
        return self.fleet.now() // MS

    def attempt_ended(
        self,
        proxy: int,
        backend: int,
        cls: int,
        result: AttemptResult,
        latency_ns: int,
        util: float,
    ) -> None:
        self.proxies[proxy].counters.record_attempt(
            self.fleet.zone_of_backend(backend), cls, result, latency_ns, util
        )

    def request_arrived(self, proxy: int) -> None:
        self.proxies[proxy].request_count += 1

    def request_rejected(self, proxy: int) -> None:
        self.proxies[proxy].rejected_count += 1

    def _deliver(self, callback: Callable[..., object], *args: Any) -> None:
        self.fleet.call_later(
            self._rng.randrange(DELIVERY_MS[0] * MS, DELIVERY_MS[1] * MS), callback, *args
        )

    def _is_connected(self, proxy: int) -> bool:
        """Whether messages between a proxy and the planner are delivered."""
        zone = self.fleet.zone_of_proxy(proxy)
        return self.fleet.is_up(proxy) and (
            zone == self._planner_zone or not self.fleet.is_cut_off(zone)
        )

    def _send_report(self, proxy: int) -> None:
        self.fleet.call_later(REPORT_INTERVAL_MS * MS, self._send_report, proxy)
        if not self.fleet.is_up(proxy):
            return
        state = self.proxies[proxy]
        report = state.counters.take_report(
            REPORT_INTERVAL_MS,
            state.last_plan_number,
            state.request_count,
            state.rejected_count,
            self.fleet.warm_weights(proxy),
        )
        state.request_count = state.rejected_count = 0
        state.last_plan_number = state.applied.plan_number
        if self._is_connected(proxy):
            self._deliver(lambda: self.report_window.add(report, self._ms()))

    def _make_plan(self) -> None:
        wait = 100 if self.truth else REPORT_INTERVAL_MS
        self.fleet.call_later(wait * MS, self._make_plan)
        now = self._ms()
        if self.fleet.is_cut_off(self._planner_zone):
            connected_zones = [
                zone for zone in self.fleet.zones() if not self.fleet.is_cut_off(zone)
            ]
            self._planner_zone, self._planner_ready_ms = (
                (connected_zones or [self._planner_zone])[0],
                now + (0 if self.truth else PLANNER_REPLACEMENT_MS),
            )
        if now < self._planner_ready_ms:
            return
        reports = self.report_window.current_reports(now)
        if reports:
            evidence = assess_reports(reports, self.plan.number)
            previous = self._true_plan(evidence) if self.truth else self.plan
            result = next_plan(
                evidence,
                previous,
                self.policy,
                OperatorOverrides(),
                0 if self.truth else REPORT_INTERVAL_MS,
            )
            if result.has_changed:
                self.plans.append((now / 1000, result.plan))
            self.plan = result.plan
        for i in range(len(self.proxies)):
            if self._is_connected(i):
                self._deliver(self._receive_plan, i, self.plan)

    def _true_plan(self, evidence: ZoneEvidence) -> FailoverPlan:
        """A plan state from the true faults: lost or cut-off zones get no remote traffic."""
        pairs = {}
        for origin in self.fleet.zones():
            for zone in self.fleet.zones():
                is_remote_cut = origin != zone and (
                    self.fleet.is_cut_off(zone) or self.fleet.is_cut_off(origin)
                )
                is_bad = self.fleet.is_lost(zone) or is_remote_cut
                evidence.assessments.setdefault(origin, {})[zone] = ZoneAssessment(
                    100.0, 100.0 * is_bad, float(is_bad)
                )
                pairs[pair_key(origin, zone)] = ZonePairState(0.0 if is_bad else 1.0, 0, 0)
        evidence.isolated_zones = {
            zone for zone in self.fleet.zones() if self.fleet.is_cut_off(zone)
        }
        return FailoverPlan(
            self.plan.number,
            self.plan.weights,
            self.plan.overflow_fractions,
            pairs,
            self.plan.baseline_weights,
            self.plan.capacity_per_weight,
        )

    def _receive_plan(self, proxy: int, plan: FailoverPlan) -> None:
        if self._is_connected(proxy):
            self.proxies[proxy].plan_received_ms = self._ms()
            self.proxies[proxy].transition.adopt(plan, self._ms())

    def _update_weights(self, proxy: int) -> None:
        self.fleet.call_later(WEIGHTS_INTERVAL_MS * MS, self._update_weights, proxy)
        if not self.fleet.is_up(proxy):
            return
        now, state = self._ms(), self.proxies[proxy]
        routing = state.transition.weights_at(now, now - state.plan_received_ms)
        if routing.plan_number != state.last_plan_number:
            state.last_plan_number = 0
        is_refresh = routing.strength > 0 and now - state.applied_ms > WEIGHTS_LIFETIME_MS // 2
        if (
            is_refresh
            or routing.plan_number != state.applied.plan_number
            or not routing.is_close_to(state.applied)
        ):
            state.applied, state.applied_ms = routing, now
            fractions = tuple(routing.weights.get(zone, 0.0) for zone in self.fleet.zones())
            until = self.fleet.now() + WEIGHTS_LIFETIME_MS * MS
            self.fleet.feed(
                proxy, io.ZoneWeights(fractions, routing.overflow_fraction, routing.strength, until)
            )


def first_shift_s(plans: list[tuple[float, FailoverPlan]], since: float) -> float:
    """Seconds from a fault to the first plan with shifted traffic; 0 if there is none."""
    return next((at - since for at, plan in plans if at >= since and plan.weights), 0.0)


__all__ = ["NS", "SimulatedFleet", "VirtualFailover", "first_shift_s"]
