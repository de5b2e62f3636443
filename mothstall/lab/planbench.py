"""Benchmarks failover: CPU and bytes of reports at a proxy and of planning at the plan owner."""

from __future__ import annotations

import random
import statistics
import time
from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from mothstall.fleet.failover.assessment import assess_reports
from mothstall.fleet.failover.plan import FailoverPlan, OperatorOverrides
from mothstall.fleet.failover.planner import next_plan
from mothstall.fleet.failover.policy import FailoverPolicy
from mothstall.fleet.failover.report_window import ReportWindow
from mothstall.fleet.failover.reports import TrafficReport, decode_report, encode_report
from mothstall.fleet.failover.zone_counters import ZoneCounters
from mothstall.fleet.observers.report_aggregator import ReportAggregator
from mothstall.interface import AttemptResult

CLASSES = ("search", "read", "file", "sign")
RATE = 30  # requests a second at each proxy
ROUNDS = 10


def _median_s(function: Callable[[], object], repeats: int) -> float:
    times_s = []
    for _ in range(repeats):
        began = time.process_time()
        function()
        times_s.append(time.process_time() - began)
    return statistics.median(times_s)


def _zones(count: int) -> list[str]:
    return [f"zone-{i:02}" for i in range(count)]


def _make_report(i: int, number: int, names: Sequence[str], rng: random.Random) -> TrafficReport:
    """Report `number` of proxy `i`; the second zone fails from report 4 on."""
    home = names[i % len(names)]
    counters = ZoneCounters(f"proxy-{i:03}", home, CLASSES, [300_000_000] * len(CLASSES))
    for n in range(RATE):
        zone = home if n % 3 else names[(i + n) % len(names)]
        result = AttemptResult.TIMEOUT if zone == names[1] and number > 3 else AttemptResult.OK
        counters.record_attempt(zone, rng.randrange(len(CLASSES)), result, 20_000_000, 0.5)
    return counters.take_report(1000, 0, RATE, 0, dict.fromkeys(names, 25.0))


def _run_planner(reports_by_round: Sequence[Sequence[bytes]]) -> tuple[list[float], list[int]]:
    """Runs the planner on the reports of each round: CPU seconds of each run, bytes of each plan."""
    window, plan, planner_cpu_s, plan_sizes = ReportWindow(5000), FailoverPlan(), [], []
    for number, rows in enumerate(reports_by_round):
        for row in rows:
            found = decode_report(row)
            assert found is not None
            window.add(msgspec.structs.replace(found, sequence_number=number + 1), number * 1000)
        began = time.process_time()
        result = next_plan(
            assess_reports(window.current_reports(number * 1000), plan.number),
            plan,
            FailoverPolicy(),
            OperatorOverrides(),
            1000,
        )
        planner_cpu_s.append(time.process_time() - began)
        plan = result.plan
        plan_sizes.append(len(msgspec.msgpack.encode(plan)))
    return planner_cpu_s, plan_sizes


def figures(proxies: int, zones: int) -> dict[str, Any]:
    """CPU time and bytes while one zone fails; every proxy sends to its own zone and to others."""
    rng, names = random.Random(1), _zones(zones)

    def make_report(i: int, number: int) -> TrafficReport:
        return _make_report(i, number, names, rng)

    data = msgspec.msgpack.encode(make_report(0, 1))
    reports_by_round = [
        [msgspec.msgpack.encode(make_report(i, number)) for i in range(proxies)]
        for number in range(ROUNDS)
    ]
    planner_cpu_s, plan_sizes = _run_planner(reports_by_round)
    counters = ZoneCounters("p", names[0], CLASSES, [300_000_000] * len(CLASSES))

    def record_attempts() -> None:
        for _ in range(10_000):
            counters.record_attempt(names[0], 1, AttemptResult.OK, 20_000_000, 0.5)

    attempts_s = _median_s(record_attempts, 5)
    decode_s = _median_s(lambda: [decode_report(row) for row in reports_by_round[0]], 5) / proxies
    encode_s = _median_s(lambda: msgspec.msgpack.encode(make_report(0, 1)), 50)
    planner_s = statistics.median(planner_cpu_s)
    return {
        "proxies": proxies,
        "zones": zones,
        "report_bytes": len(data),
        "most_plan_bytes": max(plan_sizes),
        "attempt_us": round(attempts_s / 10_000 * 1e6, 2),
        "report_with_its_sums_us": round(encode_s * 1e6, 1),
        "read_report_us": round(decode_s * 1e6, 1),
        "look_ms": round(planner_s * 1000, 2),
        "maker_part_of_a_core": round(proxies * decode_s + planner_s, 4),
        "maker_bytes_per_s": proxies * len(data),
    }


def figures_with_observers(proxies: int, zones: int, observers_per_zone: int) -> dict[str, float]:
    """The same with observers in each zone, which aggregate the reports of their proxies once a second.

    CPU seconds and bytes a second: of one observer that aggregates, and of the plan owner.
    """
    rng, names = random.Random(1), _zones(zones)
    observers = [ReportAggregator(f"o{i}") for i in range(zones * observers_per_zone)]
    reports_by_round: list[list[bytes]] = []
    aggregation_cpu_s: list[float] = []
    for number in range(ROUNDS):
        reports = [
            (f"proxy-{i:03}", msgspec.msgpack.encode(_make_report(i, number, names, rng)))
            for i in range(proxies)
        ]
        rows: list[bytes] = []
        for index, observer in enumerate(observers):
            # Proxy i is in zone i % zones and attached to one of the observers of that zone.
            attached = [
                row
                for i, row in enumerate(reports)
                if i % zones == index % zones and i // zones % observers_per_zone == index // zones
            ]
            began = time.process_time()
            for name, data in attached:
                if not observer.add(name, data):
                    raise ValueError(f"{name}: report rejected")
            aggregates = [encode_report(row) for row in observer.flush()]
            aggregation_cpu_s.append(time.process_time() - began)
            rows += aggregates
        reports_by_round.append(rows)
    decode_s = _median_s(lambda: [decode_report(row) for row in reports_by_round[-1]], 5)
    planner_cpu_s, _ = _run_planner(reports_by_round)
    return {
        "observer_cpu": max(
            statistics.median(aggregation_cpu_s[at :: len(observers)])
            for at in range(len(observers))
        ),
        "maker_cpu": decode_s + statistics.median(planner_cpu_s),
        "maker_bytes_per_s": float(sum(map(len, reports_by_round[-1]))),
    }
