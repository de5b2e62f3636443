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
REPORT_MS, STEER_MS, LASTS_MS = 1000, 200, 2000
CARRY_MS = (20, 150)  # least and most delay of a report to the planner and of a plan to a proxy
TERM_MS = 2300  # from a planner's loss until its successor makes plans


class Fleet(Protocol):
    """The simulated fleet as seen by the failover."""

    def zones(self) -> list[str]: ...

    def zone_of_box(self, number: int) -> str: ...

    def zone_of_proxy(self, proxy: int) -> str: ...

    def up(self, proxy: int) -> bool: ...

    def apart(self, zone: str) -> bool:
        """Whether this zone is cut off from the others."""

    def lost(self, zone: str) -> bool:
        """Whether the zone's backends do not respond."""

    def warm(self, proxy: int) -> Mapping[str, float]: ...

    def later(self, wait_ns: int, what: Callable[..., object], *args: Any) -> None: ...

    def feed(self, proxy: int, event: io.Event) -> None: ...

    def now(self) -> int: ...


@dataclass(slots=True)
class _Seat:
    sums: ZoneCounters
    helm: PlanTransition
    told: RoutingWeights = field(default_factory=RoutingWeights)
    told_ms: int = 0
    heard_ms: int = 0
    asked: int = 0
    refused: int = 0
    on_plan: int = 0


class Commons:
    """The failover of one run. Tests disable guards of the transition by `at_once`, `forever`."""

    def __init__(
        self,
        fleet: Fleet,
        count: int,
        classes: list[str],
        aims_ns: list[int],
        terms: FailoverPolicy,
        seed: int,
        *,
        truth: bool = False,
        at_once: bool = False,
        forever: bool = False,
    ) -> None:
        self.fleet, self.terms, self.truth = fleet, terms, truth
        self._rng = random.Random(f"commons {seed}")
        self.plan = FailoverPlan()
        self.board = ReportWindow(5000)
        self.plans: list[tuple[float, FailoverPlan]] = []  # with the time of each, s
        self.seats = [
            _Seat(
                ZoneCounters(f"p{i}", fleet.zone_of_proxy(i), classes, aims_ns),
                PlanTransition(
                    f"p{i}", fleet.zone_of_proxy(i), 1000, 10_000, 10_000, truth or at_once, forever
                ),
            )
            for i in range(count)
        ]
        self._maker = ""  # zone of the planner
        self._due_ms = 0
        self._usual: FailoverPlan = FailoverPlan()

    def begin(self) -> None:
        self._maker = self.fleet.zones()[0]
        for i in range(len(self.seats)):
            self.fleet.later(self._rng.randrange(REPORT_MS * MS), self._report, i)
            self.fleet.later(self._rng.randrange(STEER_MS * MS), self._steer, i)
        self.fleet.later(REPORT_MS * MS, self._make)

    def _ms(self) -> int:
        return self.fleet.now() // MS

    def ended(
        self, proxy: int, box: int, cls: int, result: AttemptResult, latency_ns: int, util: float
    ) -> None:
        self.seats[proxy].sums.record_attempt(
            self.fleet.zone_of_box(box), cls, result, latency_ns, util
        )

    def asked(self, proxy: int) -> None:
        self.seats[proxy].asked += 1

    def refused(self, proxy: int) -> None:
        self.seats[proxy].refused += 1

    def _carry(self, what: Callable[..., object], *args: Any) -> None:
        self.fleet.later(self._rng.randrange(CARRY_MS[0] * MS, CARRY_MS[1] * MS), what, *args)

    def _joined(self, proxy: int) -> bool:
        """Whether messages between a proxy and the planner are delivered."""
        zone = self.fleet.zone_of_proxy(proxy)
        return self.fleet.up(proxy) and (zone == self._maker or not self.fleet.apart(zone))

    def _report(self, proxy: int) -> None:
        self.fleet.later(REPORT_MS * MS, self._report, proxy)
        if not self.fleet.up(proxy):
            return
        seat = self.seats[proxy]
        made = seat.sums.take_report(
            REPORT_MS, seat.on_plan, seat.asked, seat.refused, self.fleet.warm(proxy)
        )
        seat.asked = seat.refused = 0
        seat.on_plan = seat.told.plan_number
        if self._joined(proxy):
            self._carry(lambda: self.board.add(made, self._ms()))

    def _make(self) -> None:
        wait = 100 if self.truth else REPORT_MS
        self.fleet.later(wait * MS, self._make)
        now = self._ms()
        if self.fleet.apart(self._maker):
            home = [zone for zone in self.fleet.zones() if not self.fleet.apart(zone)]
            self._maker, self._due_ms = (
                (home or [self._maker])[0],
                now + (0 if self.truth else TERM_MS),
            )
        if now < self._due_ms:
            return
        reports = self.board.current_reports(now)
        if reports:
            seen = assess_reports(reports, self.plan.number)
            last = self._known(seen) if self.truth else self.plan
            done = next_plan(
                seen, last, self.terms, OperatorOverrides(), 0 if self.truth else REPORT_MS
            )
            if done.has_changed:
                self.plans.append((now / 1000, done.plan))
            self.plan = done.plan
        for i in range(len(self.seats)):
            if self._joined(i):
                self._carry(self._told, i, self.plan)

    def _known(self, seen: ZoneEvidence) -> FailoverPlan:
        """A plan state from the true faults: lost or cut-off zones get no remote traffic."""
        pairs = {}
        for origin in self.fleet.zones():
            for zone in self.fleet.zones():
                far = origin != zone and (self.fleet.apart(zone) or self.fleet.apart(origin))
                bad = self.fleet.lost(zone) or far
                seen.assessments.setdefault(origin, {})[zone] = ZoneAssessment(
                    100.0, 100.0 * bad, float(bad)
                )
                pairs[pair_key(origin, zone)] = ZonePairState(0.0 if bad else 1.0, 0, 0)
        seen.isolated_zones = {zone for zone in self.fleet.zones() if self.fleet.apart(zone)}
        return FailoverPlan(
            self.plan.number,
            self.plan.weights,
            self.plan.overflow_fractions,
            pairs,
            self.plan.baseline_weights,
            self.plan.capacity_per_weight,
        )

    def _told(self, proxy: int, plan: FailoverPlan) -> None:
        if self._joined(proxy):
            self.seats[proxy].heard_ms = self._ms()
            self.seats[proxy].helm.adopt(plan, self._ms())

    def _steer(self, proxy: int) -> None:
        self.fleet.later(STEER_MS * MS, self._steer, proxy)
        if not self.fleet.up(proxy):
            return
        now, seat = self._ms(), self.seats[proxy]
        course = seat.helm.weights_at(now, now - seat.heard_ms)
        if course.plan_number != seat.on_plan:
            seat.on_plan = 0
        again = course.strength > 0 and now - seat.told_ms > LASTS_MS // 2
        if (
            again
            or course.plan_number != seat.told.plan_number
            or not course.is_close_to(seat.told)
        ):
            seat.told, seat.told_ms = course, now
            parts = tuple(course.weights.get(zone, 0.0) for zone in self.fleet.zones())
            until = self.fleet.now() + LASTS_MS * MS
            self.fleet.feed(
                proxy, io.ZoneWeights(parts, course.overflow_fraction, course.strength, until)
            )


def first_shift_s(plans: list[tuple[float, FailoverPlan]], since: float) -> float:
    """Seconds from a fault to the first plan with shifted traffic; 0 if there is none."""
    return next((at - since for at, plan in plans if at >= since and plan.weights), 0.0)


__all__ = ["NS", "Commons", "Fleet", "first_shift_s"]
