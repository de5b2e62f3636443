"""Checks failover between zones from the requests that backends and clients recorded. Pure.

Figures: `shift_s`, from the first fault until the served fraction is back at its earlier level for 2 s;
`back_s`, from the end of the last fault until cross-zone traffic is back at its earlier level; the cross-zone
fraction before, during and after the faults; the longest time for which a zone was above its capacity.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass

from mothstall.lab.fleet import FleetScenario, zone_of
from mothstall.lab.standins import ClientRequestRecord, Observations, warmth

OBJECTIVE_S = 0.3  # latency objective of the lab's request class
WINDOW_S = 0.5
# Service is restored once the fraction served within the objective is at least this part of its value
# before the fault, over RESTORED_FOR_S.
RESTORED_FRACTION = 0.95
RESTORED_FOR_S = 2.0
# Accepted rise of the cross-zone fraction over its value before the fault.
CROSSING_TOLERANCE = 0.05
OVERLOAD_RATIO = 1.1  # of a zone's capacity
MAX_OVERLOAD_S = 1.0  # a zone may be above OVERLOAD_RATIO for at most this long

Findings = list[tuple[str, float, str]]  # rule, time, description


@dataclass(slots=True, frozen=True)
class FaultPeriod:
    """From the begin of the first fault to the end of the last one, by the driver's clock."""

    since: float
    until: float


def _windows(
    rows: Sequence[ClientRequestRecord], since: float, until: float
) -> Iterator[tuple[float, float, int]]:
    """Yields each window's start, fraction served within the objective, and number of requests."""
    at = since
    while at + WINDOW_S <= until:
        selected = [row for row in rows if at <= row.at < at + WINDOW_S]
        good = sum(row.status == 200 and row.took_s <= OBJECTIVE_S for row in selected)
        yield at, good / len(selected) if selected else 1.0, len(selected)
        at += WINDOW_S


def _crossing_fraction(
    spec: FleetScenario, observed: Observations, since: float, until: float
) -> float:
    selected = [row for row in observed.backend_requests if since <= row.at < until]
    return sum(zone_of(spec, row.backend) != zone_of(spec, row.proxy) for row in selected) / max(
        1, len(selected)
    )


def _longest_overload(
    spec: FleetScenario, observed: Observations, restarted_at: Mapping[str, float]
) -> tuple[float, float, str]:
    """The longest time for which a zone was above its capacity, when that began, and the zone."""
    longest, since, zone = 0.0, 0.0, ""
    step = 0.25
    for name in sorted({zone_of(spec, f"b{i + 1}") for i in range(spec.backends)}):
        backends = [f"b{i + 1}" for i in range(spec.backends) if zone_of(spec, f"b{i + 1}") == name]
        times = [row.at for row in observed.backend_requests if zone_of(spec, row.backend) == name]
        began: float | None = None
        at = 0.0
        while at + 1.0 <= spec.seconds:
            middle = at + 0.5
            restart_times = [restarted_at.get(backend) for backend in backends]
            warm = sum(
                warmth(t if t is not None and t <= middle else None, middle) for t in restart_times
            )
            is_overloaded = (
                sum(at <= t < at + 1.0 for t in times)
                > OVERLOAD_RATIO * spec.backend_capacity * warm
            )
            if not is_overloaded:
                began = None
            elif began is None:
                began = at
            if began is not None and at - began > longest:
                longest, since, zone = at - began, began, name
            at += step
    return longest, since, zone


def check_failover(
    spec: FleetScenario,
    observed: Observations,
    fault_period: FaultPeriod | None,
    plan_number: int,
    restarted_at: Mapping[str, float],
) -> tuple[Findings, dict[str, float]]:
    """`plan_number`: of the newest plan read from the store; `restarted_at`: restart times by backend."""
    findings: Findings = []
    if spec.zones < 2:
        return findings, {}
    figures: dict[str, float] = {"plan": plan_number}
    longest, began, zone = (
        _longest_overload(spec, observed, restarted_at) if spec.backend_capacity else (0.0, 0.0, "")
    )
    figures["pushed_s"] = longest
    if longest > MAX_OVERLOAD_S:
        description = (
            f"{zone} got more than {OVERLOAD_RATIO:g} times its capacity for {longest:.2f} s"
        )
        findings.append(("zone pushed", began, description))
    if plan_number < spec.expects.plans:
        findings.append(
            (
                "shown",
                spec.seconds,
                f"{plan_number} plans were published, {spec.expects.plans} expected",
            )
        )
    if plan_number > spec.expects.max_plans:
        findings.append(
            (
                "shown",
                spec.seconds,
                f"{plan_number} plans were published, {spec.expects.max_plans} at most",
            )
        )
    if fault_period is None:
        figures["crossing"] = round(_crossing_fraction(spec, observed, 0.0, spec.seconds), 4)
        return findings, figures
    since, until = fault_period.since, min(fault_period.until, spec.seconds)
    before = [
        fraction for _, fraction, count in _windows(observed.client_requests, 0.5, since) if count
    ]
    usual_fraction = sum(before) / len(before) if before else 1.0
    fractions = [
        (at, fraction)
        for at, fraction, count in _windows(observed.client_requests, since, until)
        if count
    ]
    runs = [(at, [p for t, p in fractions if at <= t < at + RESTORED_FOR_S]) for at, _ in fractions]
    restored_at = next(
        (at for at, rows in runs if sum(rows) >= RESTORED_FRACTION * usual_fraction * len(rows)),
        until,
    )
    figures["shift_s"] = round(restored_at - since, 2)
    crossing_before = _crossing_fraction(spec, observed, 0.5, since)
    recovered_at, at = until, until
    while at + 1.0 <= spec.seconds:
        if _crossing_fraction(spec, observed, at, at + 1.0) > crossing_before + CROSSING_TOLERANCE:
            recovered_at = at + 1.0
        at += 0.5
    figures["back_s"] = round(recovered_at - until, 2)
    figures["crossing_before"] = round(crossing_before, 4)
    figures["crossing_in"] = round(_crossing_fraction(spec, observed, since, until), 4)
    figures["crossing_after"] = round(
        _crossing_fraction(spec, observed, max(until, spec.seconds - 3.0), spec.seconds), 4
    )
    if figures["crossing_in"] < spec.expects.crossing_fraction:
        description = (
            f"{figures['crossing_in']:.2f} of the requests crossed zones during the faults, "
            f"{spec.expects.crossing_fraction:g} expected"
        )
        findings.append(("shown", since, description))
    good = [row for row in observed.client_requests if since <= row.at < until]
    figures["served_in"] = round(
        sum(r.status == 200 and r.took_s <= OBJECTIVE_S for r in good) / max(1, len(good)), 4
    )
    for key, limit_ns, description in (
        ("shift_s", spec.expects.shifted_within, "service was restored"),
        ("back_s", spec.expects.recovered_within, "cross-zone traffic was back to normal"),
    ):
        if limit_ns and figures[key] > limit_ns / 1e9:
            message = (
                f"{description} after {figures[key]:.2f} s, within {limit_ns / 1e9:g} s expected"
            )
            findings.append(("shown", since if key == "shift_s" else until, message))
    return findings, figures
