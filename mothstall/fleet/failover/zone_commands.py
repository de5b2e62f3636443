"""The `zones` command: shows the failover plan and writes operators' overrides of it.

The command collects traffic reports and assesses them with the code of the plan maker, so that
`--dry-run` shows the effect of an override before it is written.
"""

from __future__ import annotations

import asyncio
import re
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import msgspec

from mothstall.durations import parse_duration
from mothstall.fleet.agent.keeper_client import KeeperClient
from mothstall.fleet.errors import CommandRejectedError, OperatorError
from mothstall.fleet.failover.assessment import assess_reports
from mothstall.fleet.failover.plan import (
    FAILOVER_LEASE,
    OVERRIDES_VALUE_NAME,
    PLAN_VALUE_NAME,
    FailoverPlan,
    OperatorOverrides,
    decode_overrides,
    decode_plan,
)
from mothstall.fleet.failover.planner import PlanDecision, next_plan
from mothstall.fleet.failover.policy_config import policy_from_config
from mothstall.fleet.failover.report_window import ReportWindow
from mothstall.fleet.failover.reports import decode_report, is_from_known_observer
from mothstall.fleet.failover.zone_evidence import ZoneEvidence
from mothstall.fleet.failover.zone_report import (
    describe_effect,
    describe_overrides,
    describe_state,
)
from mothstall.fleet.operator_config import OperatorConfig
from mothstall.fleet.units import NS_PER_MS
from mothstall.store.protocol.frames import PeerRole
from mothstall.store.state.changes import AcquireLease, PutValue, ReleaseLease
from mothstall.store.state.rows import StateDelta

# The lease under which overrides are written: one operator at a time.
OVERRIDES_LEASE = "zones/operator"
# Milliseconds after which that lease ends if the command is killed.
OVERRIDES_LEASE_TERM_MS = 5000
# Maximum milliseconds of a hold: a day.
MAX_HOLD_MS = 24 * 3_600_000
# Report intervals for which reports are collected: long enough for one report of each proxy.
COLLECTION_INTERVALS = 1.5
_NS_PER_S = 1e9
_PERCENT = re.compile(r"(\d{1,3})%")


class ZoneVerb(StrEnum):
    """What a `zones` command does."""

    SHOW = "show"
    SHIFT = "shift"
    EVACUATE = "evacuate"
    HOLD = "hold"
    RESUME = "resume"


@dataclass(slots=True, frozen=True)
class ZoneCommand:
    """One `zones` command.

    Attributes:
        verb: What to do.
        zone: The zone to evacuate, or to resume; empty with `RESUME`: to end a hold.
        source_zone: The zone to shift traffic from.
        share: How much to shift, "0%" to "100%".
        hold_duration: How long to hold, such as "10m".
        is_dry_run: Whether to show the effect without writing the override.
        operator_name: Name of the operator.
        reason: The operator's reason.
        wait_s: Seconds to wait for a response of the keepers.
    """

    verb: ZoneVerb = ZoneVerb.SHOW
    zone: str = ""
    source_zone: str = ""
    share: str = ""
    hold_duration: str = "10m"
    is_dry_run: bool = False
    operator_name: str = ""
    reason: str = ""
    wait_s: float = 5.0


async def run_zone_command(operator: OperatorConfig, command: ZoneCommand) -> dict[str, Any]:
    """Show the plan, or write an override and show its effect.

    Returns:
        The command's output.

    Raises:
        OperatorError: An argument is missing or invalid, or no proxy reports on a zone.
        CommandRejectedError: The store rejected the override.
        KeeperUnavailableError: No keeper answered in time.
    """
    collector = _ReportCollector(operator)
    store = KeeperClient(
        operator,
        f"zones-{command.operator_name}",
        PeerRole.TOOL,
        loop=asyncio.get_running_loop(),
        on_reports=collector.receive,
    )
    store.subscribe_reports(True)
    try:
        return await _run(operator, command, store, collector)
    finally:
        await store.close()


async def _run(
    operator: OperatorConfig,
    command: ZoneCommand,
    store: KeeperClient,
    collector: _ReportCollector,
) -> dict[str, Any]:
    state = await store.read_state(command.wait_s, wait_for_quorum=False)
    plan = _stored_plan(state)
    overrides = _stored_overrides(state)
    if command.verb != ZoneVerb.SHOW:
        overrides = _next_overrides(command, overrides)
    evidence = await collector.collect(plan.number)
    _check_zones(command, {*evidence.zones, *plan.baseline_weights})
    if command.verb == ZoneVerb.SHOW:
        policy = policy_from_config(operator.failover)
        lease = state.leases.get(FAILOVER_LEASE)
        return describe_state(evidence, plan, overrides, policy, lease)
    effect = describe_effect(evidence, plan, _preview(operator, evidence, plan, overrides))
    if command.is_dry_run:
        return {"said": "nothing", **effect}
    await _write_overrides(store, command, overrides)
    return {"said": describe_overrides(overrides), **effect}


class _ReportCollector:
    """Collects the reports that come in while a command runs."""

    def __init__(self, operator: OperatorConfig) -> None:
        failover = operator.failover
        self._observers = [observer.name for observer in operator.observers]
        self._window = ReportWindow(failover.report_max_age_ns // NS_PER_MS)
        self._interval_s = failover.report_interval_ns / _NS_PER_S

    def receive(self, rows: tuple[bytes, ...]) -> None:
        """Add encoded reports; unreadable ones and those of unknown observers are skipped."""
        for data in rows:
            report = decode_report(data)
            if report and is_from_known_observer(report, self._observers):
                self._window.add(report, _now_ms())

    async def collect(self, plan_number: int) -> ZoneEvidence:
        """Wait until every proxy has reported, then assess the reports."""
        await asyncio.sleep(COLLECTION_INTERVALS * self._interval_s)
        return assess_reports(self._window.current_reports(_now_ms()), plan_number)


def _now_ms() -> int:
    return int(asyncio.get_running_loop().time() * 1000)


def _stored_plan(state: StateDelta) -> FailoverPlan:
    row = state.values.get(PLAN_VALUE_NAME)
    return (decode_plan(row.value) if row else None) or FailoverPlan()


def _stored_overrides(state: StateDelta) -> OperatorOverrides:
    row = state.values.get(OVERRIDES_VALUE_NAME)
    return (decode_overrides(row.value) if row else None) or OperatorOverrides()


def _check_zones(command: ZoneCommand, known_zones: set[str]) -> None:
    """Check that proxies report on the zones that a command names.

    Raises:
        OperatorError: No proxy reports on one of them.
    """
    for zone in (command.source_zone, command.zone):
        if zone and zone not in known_zones:
            known = ", ".join(sorted(known_zones)) or "none"
            raise OperatorError(f"no proxy reports on zone {zone}; reported zones: {known}")


def _next_overrides(command: ZoneCommand, last: OperatorOverrides) -> OperatorOverrides:
    """Return the overrides after a command.

    Raises:
        OperatorError: The command lacks an argument, or has one out of range.
    """
    fractions = dict(last.evacuated_fractions)
    hold_ms = last.hold_ms
    if command.verb == ZoneVerb.SHIFT:
        fractions[command.source_zone] = _shifted_fraction(command)
    elif command.verb == ZoneVerb.EVACUATE:
        if not command.zone:
            raise OperatorError("zones evacuate requires a zone")
        fractions[command.zone] = 1.0
    elif command.verb == ZoneVerb.HOLD:
        hold_ms = _hold_ms(command)
    elif command.zone:
        fractions.pop(command.zone, None)
    else:
        hold_ms = 0
    return OperatorOverrides(
        evacuated_fractions={zone: x for zone, x in fractions.items() if x > 0},
        hold_ms=hold_ms,
        number=last.number + 1,
        operator=command.operator_name,
        reason=command.reason,
    )


def _shifted_fraction(command: ZoneCommand) -> float:
    percent = _PERCENT.fullmatch(command.share)
    if not command.source_zone or not percent or int(percent[1]) > 100:
        raise OperatorError("zones shift requires --from ZONE and --part 0% to 100%")
    return int(percent[1]) / 100


def _hold_ms(command: ZoneCommand) -> int:
    try:
        hold_ms = parse_duration(command.hold_duration) // NS_PER_MS
    except ValueError as error:
        raise OperatorError(f"--for {error}") from error
    if not 0 < hold_ms <= MAX_HOLD_MS:
        raise OperatorError("--for must be above 0 and at most a day")
    return hold_ms


def _preview(
    operator: OperatorConfig,
    evidence: ZoneEvidence,
    plan: FailoverPlan,
    overrides: OperatorOverrides,
) -> PlanDecision:
    """Make the plan that the overrides would give, without regard to a hold."""
    last = msgspec.structs.replace(plan, hold_remaining_ms=0, overrides_number=overrides.number)
    without_hold = msgspec.structs.replace(overrides, hold_ms=0)
    return next_plan(evidence, last, policy_from_config(operator.failover), without_hold, 0)


async def _write_overrides(
    store: KeeperClient, command: ZoneCommand, overrides: OperatorOverrides
) -> None:
    """Write overrides under the operators' lease.

    Raises:
        CommandRejectedError: Another operator holds the lease, or the store rejected the write.
    """
    owner = f"{command.operator_name}#{store.name}"
    acquire = AcquireLease(OVERRIDES_LEASE, owner, OVERRIDES_LEASE_TERM_MS)
    lease = await store.propose(acquire, command.wait_s, wait_for_quorum=False)
    if lease.rejected_reason:
        raise CommandRejectedError(
            f"another operator is writing overrides: {lease.rejected_reason}"
        )
    data = msgspec.msgpack.encode(overrides)
    write = PutValue(OVERRIDES_LEASE, lease.token, OVERRIDES_VALUE_NAME, data)
    written = await store.propose(write, command.wait_s, wait_for_quorum=False)
    release = ReleaseLease(OVERRIDES_LEASE, lease.token)
    await store.propose(release, command.wait_s, wait_for_quorum=False)
    if written.rejected_reason:
        raise CommandRejectedError(written.rejected_reason)
