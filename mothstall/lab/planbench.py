"""What failover costs: a report at its proxy, all of them and the plan at its maker, in CPU and bytes."""

from __future__ import annotations

import random
import statistics
import time
from collections.abc import Callable
from typing import Any

import msgspec

from mothstall.fleet.evidence import Board, Report, read_report, weigh
from mothstall.fleet.failover import Orders, Plan, Terms, decide
from mothstall.fleet.sums import Sums
from mothstall.interface import Result

CLASSES = ("search", "read", "file", "sign")
RATE = 30  # requests a second at each proxy
LOOKS = 10


def _median_s(work: Callable[[], object], times: int) -> float:
    taken = []
    for _ in range(times):
        began = time.process_time()
        work()
        taken.append(time.process_time() - began)
    return statistics.median(taken)


def figures(proxies: int, zones: int) -> dict[str, Any]:
    """One zone is lost; each proxy sends to its own and three others. Times in microseconds of CPU."""
    rng = random.Random(1)
    names = [f"zone-{i:02}" for i in range(zones)]
    warm = dict.fromkeys(names, 25.0)

    def report(i: int, number: int) -> Report:
        home = names[i % zones]
        sums = Sums(f"proxy-{i:03}", home, CLASSES, [300_000_000] * len(CLASSES))
        for n in range(RATE):
            zone = home if n % 3 else names[(i + n) % zones]
            result = Result.TIMEOUT if zone == names[1] and number > 3 else Result.OK
            sums.ended(zone, rng.randrange(len(CLASSES)), result, 20_000_000, 0.5)
        return sums.report(1000, 0, RATE, 0, warm)

    one = report(0, 1)
    data = msgspec.msgpack.encode(one)
    said = [[msgspec.msgpack.encode(report(i, number)) for i in range(proxies)] for number in range(LOOKS)]
    board, plan, looks, plans = Board(5000), Plan(), [], []
    for number, rows in enumerate(said):
        for row in rows:
            found = read_report(row)
            assert found is not None
            board.take(msgspec.structs.replace(found, number=number + 1), number * 1000)
        began = time.process_time()
        done = decide(
            weigh(board.reports(number * 1000), plan.number), plan, Terms(), Orders(), 1000
        )  # fmt: skip
        looks.append(time.process_time() - began)
        plan = done.plan
        plans.append(len(msgspec.msgpack.encode(plan)))
    sums = Sums("p", names[0], CLASSES, [300_000_000] * len(CLASSES))

    def attempts() -> None:
        for _ in range(10_000):
            sums.ended(names[0], 1, Result.OK, 20_000_000, 0.5)

    ended = _median_s(attempts, 5)
    read = _median_s(lambda: [read_report(row) for row in said[0]], 5) / proxies
    made = _median_s(lambda: msgspec.msgpack.encode(report(0, 1)), 50)
    look = statistics.median(looks)
    return {
        "proxies": proxies, "zones": zones, "report_bytes": len(data), "most_plan_bytes": max(plans),
        "attempt_us": round(ended / 10_000 * 1e6, 2), "report_with_its_sums_us": round(made * 1e6, 1),
        "read_report_us": round(read * 1e6, 1), "look_ms": round(look * 1000, 2),
        "maker_part_of_a_core": round(proxies * read + look, 4),
        "maker_bytes_per_s": proxies * len(data),
    }  # fmt: skip
