"""Making of the failover plan, by the proxy that holds the failover lease. Pure."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import msgspec

from mothstall.fleet.failover.assessment import assess_reports
from mothstall.fleet.failover.plan import (
    FAILOVER_LEASE,
    MAX_PLAN_BYTES,
    OVERRIDES_VALUE_NAME,
    PLAN_VALUE_NAME,
    FailoverPlan,
    OperatorOverrides,
    decode_overrides,
)
from mothstall.fleet.failover.planner import HELD, PlanDecision, next_plan
from mothstall.fleet.failover.policy import FailoverPolicy
from mothstall.fleet.failover.report_window import ReportWindow
from mothstall.fleet.failover.zone_evidence import ZoneEvidence
from mothstall.store.state.changes import PutValue
from mothstall.store.state.rows import StoredValue

# Intervals after which an unchanged plan is written as well, so that the next holder of the lease
# gets the state that it carries (recovery ramps, capacities, baselines).
UNCHANGED_PLAN_WRITE_INTERVALS = 5


class PlanMaker:
    """Makes the next plan once each interval while the lease is held.

    Attributes:
        report_window: The reports of all proxies.
        evidence: The assessment of these reports at the last tick.
        plans_made: Changed plans that were returned to be written.
        plans_rejected: Plans that failed their checks.
    """

    def __init__(
        self, policy: FailoverPolicy, report_window: ReportWindow, interval_ms: int
    ) -> None:
        """Start without the lease.

        Args:
            policy: The operator's settings.
            report_window: Where reports are collected.
            interval_ms: Milliseconds between two plans.
        """
        self.report_window = report_window
        self.evidence = ZoneEvidence()
        self.plans_made = 0
        self.plans_rejected = 0
        self._policy = policy
        self._interval_ms = interval_ms
        # The last plan that this holder made; it may be newer than the stored one.
        self._pending: FailoverPlan | None = None
        # Time of the last tick in milliseconds; None while the lease is not held.
        self._ticked_at_ms: int | None = None
        self._written_at_ms = 0
        # Whether a plan that changed is not yet in the store.
        self._has_unwritten_change = False

    def next_write(
        self,
        token: int,
        stored: FailoverPlan,
        values: Mapping[str, StoredValue],
        now_ms: int,
        on_rejected: Callable[[str], None],
    ) -> PutValue | None:
        """Return the write that is due now, if any.

        The next plan is based on the plan in the store, which another proxy may have made.

        Args:
            token: The lease's fencing token; 0 while it is not held.
            stored: The plan in the store.
            values: All values in the store.
            now_ms: The time.
            on_rejected: Called with the reason if a plan fails its checks or is too large.
        """
        if not token:
            self._deactivate()
            return None
        if self._ticked_at_ms is None:
            self._ticked_at_ms = now_ms
            return None
        elapsed_ms = now_ms - self._ticked_at_ms
        if elapsed_ms < self._interval_ms:
            return None
        self._ticked_at_ms = now_ms
        decision = self._decide(stored, values, now_ms, elapsed_ms)
        if decision is None:
            return None
        if decision.rejected_reason and decision.rejected_reason != HELD:
            self.plans_rejected += 1
            on_rejected(decision.rejected_reason)
        if not self._is_write_due(decision, now_ms):
            return None
        return _plan_write(token, decision.plan, on_rejected)

    def mark_written(self) -> None:
        """Record that the store has the plan; otherwise it is written again at the next tick."""
        self._has_unwritten_change = False

    def _deactivate(self) -> None:
        """Discard the unwritten plan: the next holder continues from the plan in the store."""
        self._ticked_at_ms = None
        self._pending = None
        self._has_unwritten_change = False

    def _decide(
        self,
        stored: FailoverPlan,
        values: Mapping[str, StoredValue],
        now_ms: int,
        elapsed_ms: int,
    ) -> PlanDecision | None:
        """Make the next plan; None while there are no current reports to assess."""
        last = stored
        if self._pending and self._pending.number >= stored.number:
            last = self._pending
        reports = self.report_window.current_reports(now_ms)
        if not reports:
            return None
        self.evidence = assess_reports(reports, last.number)
        overrides = _stored_overrides(values)
        decision = next_plan(self.evidence, last, self._policy, overrides, elapsed_ms)
        self._pending = decision.plan
        return decision

    def _is_write_due(self, decision: PlanDecision, now_ms: int) -> bool:
        """Whether the plan has an unwritten change, or was not written for some intervals.

        Records the write if it is due.
        """
        if decision.has_changed:
            self._has_unwritten_change = True
        is_refresh_due = (
            now_ms - self._written_at_ms >= UNCHANGED_PLAN_WRITE_INTERVALS * self._interval_ms
        )
        if not self._has_unwritten_change and not is_refresh_due:
            return False
        self._written_at_ms = now_ms
        self.plans_made += decision.has_changed
        return True


def _stored_overrides(values: Mapping[str, StoredValue]) -> OperatorOverrides:
    """Return the overrides in the store; empty ones if none are stored, or they are unreadable."""
    row = values.get(OVERRIDES_VALUE_NAME)
    overrides = decode_overrides(row.value) if row else None
    return overrides or OperatorOverrides()


def _plan_write(
    token: int, plan: FailoverPlan, on_rejected: Callable[[str], None]
) -> PutValue | None:
    """Return the change that writes a plan; None if the plan is too large."""
    data = msgspec.msgpack.encode(plan)
    if len(data) > MAX_PLAN_BYTES:
        on_rejected(f"a plan of {len(data)} bytes is too large")
        return None
    return PutValue(FAILOVER_LEASE, token, PLAN_VALUE_NAME, data)
