"""What a fleet's run shows of failover between zones, from what boxes and clients saw. Pure.

Figures: `shift_s`, from the first fault until clients are served as before it over 2 s; `back_s`, from the
end of the last fault until traffic crosses zones no more than before; crossings before, in trouble and after;
the longest time for which a zone got more than it bears.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass

from mothstall.lab.fleet import FleetScenario, zone_of
from mothstall.lab.standins import ClientRequestRecord, Observations, warmth

OBJECTIVE_S = 0.3  # the aim of the lab's class
WINDOW_S = 0.5
RESTORED_FRACTION = 0.95  # of the part served in aim before the fault,
RESTORED_FOR_S = 2.0  # over so long
CROSSING_TOLERANCE = 0.05  # that may cross above what did before
OVERLOAD_RATIO = 1.1  # times what a zone bears
MAX_OVERLOAD_S = 1.0  # for longer than this no zone is pushed so

Findings = list[tuple[str, float, str]]  # rule, when, what


@dataclass(slots=True, frozen=True)
class FaultPeriod:
    """When the faults began and ended, by the driver's timeline."""

    since: float
    until: float


def _windows(
    rows: Sequence[ClientRequestRecord], since: float, until: float
) -> Iterator[tuple[float, float, int]]:
    """Begin, part served in aim, and requests, of each window."""
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
    """The longest time for which a zone got more than it bears, when that began, and where."""
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
    """`plan`: the number of the newest one that the store told of; `cold`: when boxes began anew."""
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
            f"{zone} got more than {OVERLOAD_RATIO:g} times what it bears for {longest:.2f} s"
        )
        findings.append(("zone pushed", began, description))
    if plan_number < spec.expects.plans:
        findings.append(
            (
                "shown",
                spec.seconds,
                f"{plan_number} plans were put out, {spec.expects.plans} expected",
            )
        )
    if plan_number > spec.expects.max_plans:
        findings.append(
            (
                "shown",
                spec.seconds,
                f"{plan_number} plans were put out, {spec.expects.max_plans} at most",
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
        description = f"{figures['crossing_in']:.2f} crossed in trouble, {spec.expects.crossing_fraction:g} expected"
        findings.append(("shown", since, description))
    good = [row for row in observed.client_requests if since <= row.at < until]
    figures["served_in"] = round(
        sum(r.status == 200 and r.took_s <= OBJECTIVE_S for r in good) / max(1, len(good)), 4
    )
    for key, limit_ns, description in (
        ("shift_s", spec.expects.shifted_within, "service was as before"),
        ("back_s", spec.expects.recovered_within, "traffic was as near as before"),
    ):
        if limit_ns and figures[key] > limit_ns / 1e9:
            message = (
                f"{description} after {figures[key]:.2f} s, within {limit_ns / 1e9:g} s expected"
            )
            findings.append(("shown", since if key == "shift_s" else until, message))
    return findings, figures
