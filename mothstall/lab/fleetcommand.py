"""`mothstall lab fleet`: fleets of processes with injected faults, and seeded simulations of the store.

Exit codes: 0 done, 1 a run could not be finished, 2 bad input, 3 a check found a violation.
"""

from __future__ import annotations

import argparse
import json
import sys
import time
from collections.abc import Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict
from functools import partial
from pathlib import Path
from typing import Any

from mothstall.lab import fleet, fleetplay, replicas, tier
from mothstall.lab.ledger import Unfinished
from mothstall.store.raft.replica_state import MAX_BATCH_BYTES

EPILOG = (
    "exit codes: 0 done, 1 a run could not be finished, 2 bad input, 3 a check found a violation"
)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="mothstall lab fleet",
        epilog=EPILOG,
        description="Runs fleets of keepers, observers and proxies and injects faults.",
    )
    commands = parser.add_subparsers(dest="command", metavar="COMMAND", required=True)
    list_parser = commands.add_parser("list", help="the shipped scenarios", epilog=EPILOG)
    list_parser.add_argument("--json", action="store_true", help="as JSON on standard output")
    run_parser = commands.add_parser(
        "run", help="run scenarios with real processes and check the results", epilog=EPILOG
    )
    run_parser.add_argument(
        "scenario",
        nargs="+",
        help="shipped names or paths of .toml files; `all`: every shipped scenario except long ones",
    )
    run_parser.add_argument("--seed", type=int, default=1, help="seed of the first round")
    run_parser.add_argument(
        "--rounds", type=int, default=1, help="rounds of each scenario, with consecutive seeds"
    )
    run_parser.add_argument(
        "--side-by-side", type=int, default=1, metavar="N", help="concurrent runs; default: 1"
    )
    run_parser.add_argument(
        "--json", metavar="FILE", help="all results as JSON; - for standard output"
    )
    run_parser.add_argument("--logs", metavar="DIR", help="keep the folder of each run under DIR")
    simulate_parser = commands.add_parser(
        "simulate",
        help="simulate the store by seed: lost messages, crashes, clock drift",
        epilog=EPILOG,
    )
    simulate_parser.add_argument("--seeds", type=int, default=200)
    simulate_parser.add_argument(
        "--of",
        choices=("store", "tier"),
        default="store",
        help="keepers (default), or observers and proxies",
    )
    simulate_parser.add_argument("--first", type=int, default=1, help="the first seed")
    simulate_parser.add_argument(
        "--side-by-side", type=int, metavar="N", help="concurrent processes; default: one per core"
    )
    simulate_parser.add_argument("--json", metavar="FILE", help="as JSON; - for standard output")
    explore_parser = commands.add_parser(
        "explore", help="visit every state of the consensus core within small bounds", epilog=EPILOG
    )
    explore_parser.add_argument("--terms", type=int, default=2)
    explore_parser.add_argument(
        "--entries", type=int, default=1, help="entries that callers propose, over all leaders"
    )
    explore_parser.add_argument("--crashes", type=int, default=1)
    explore_parser.add_argument(
        "--candidates",
        type=int,
        default=2,
        help="replicas of the three whose election timeout may expire",
    )
    explore_parser.add_argument(
        "--any-order", action="store_true", help="messages of one link may be reordered"
    )
    explore_parser.add_argument(
        "--one-by-one", action="store_true", help="at most one entry in each message"
    )
    explore_parser.add_argument(
        "--most", type=int, default=5_000_000, metavar="N", help="stop after this many states"
    )
    explore_parser.add_argument("--json", metavar="FILE", help="as JSON; - for standard output")
    bench_parser = commands.add_parser(
        "bench", help="measure cost and capacity of keepers and agents", epilog=EPILOG
    )
    bench_parser.add_argument(
        "--changes",
        type=int,
        default=100_000,
        help="changes of the memory benchmark; default: 100000",
    )
    bench_parser.add_argument("--agents", type=int, default=300)
    bench_parser.add_argument("--only", choices=("commits", "growth", "crowd", "beside", "plans"))
    bench_parser.add_argument(
        "--json", metavar="FILE", help="figures as JSON; - for standard output"
    )
    return parser


def main(arguments: Sequence[str]) -> int:
    args = _parser().parse_args(arguments)
    try:
        return _COMMANDS[args.command](args)
    except fleet.FleetScenarioError as error:
        print(f"mothstall: {error}", file=sys.stderr)
        return 2
    except Unfinished as error:
        print(f"mothstall: {error}", file=sys.stderr)
        return 1


def _list(args: argparse.Namespace) -> int:
    rows = {name: fleet.load(name).description for name in fleet.scenario_names()}
    if args.json:
        print(json.dumps(rows, indent=1))
        return 0
    width = max(map(len, rows))
    print("\n".join(f"{name:<{width}}  {description}" for name, description in rows.items()))
    return 0


def _run_job(job: tuple[fleet.FleetScenario, int, Path | None]) -> fleetplay.Result:
    return fleetplay.run(*job)


def _run_jobs(
    jobs: list[tuple[fleet.FleetScenario, int, Path | None]], at_once: int
) -> Iterator[fleetplay.Result]:
    if at_once == 1:
        yield from map(_run_job, jobs)
        return
    with ProcessPoolExecutor(at_once) as pool:
        yield from pool.map(_run_job, jobs)


def _run(args: argparse.Namespace) -> int:
    if args.rounds < 1 or not 1 <= args.side_by_side <= 16:
        raise fleet.FleetScenarioError("--rounds must be 1 or more, --side-by-side 1 to 16")
    names = fleet.scenario_names(include_long=False) if args.scenario == ["all"] else args.scenario
    logs = Path(args.logs) if args.logs else None
    jobs = [(fleet.load(n), args.seed + i, logs) for n in names for i in range(args.rounds)]
    results, failed_runs = [], 0
    for result in _run_jobs(jobs, args.side_by_side):
        results.append(result.as_json())
        failed_runs += bool(result.checks.violations)
        if args.json != "-":
            print(result.text(), flush=True)
    if len(results) > 1 and args.json != "-":
        print(f"{len(results)} runs, {failed_runs} with a breach")
    _write_json(args.json, results)
    return 3 if failed_runs else 0


def _simulate_store_seed(seed: int) -> tuple[int, str, dict[str, int]]:
    plan = replicas.Plan(seed, replicas=3 if seed % 2 else 5)
    try:
        world = replicas.run(plan)
    except replicas.InvariantViolation as error:
        return seed, str(error), {}
    return (
        seed,
        "",
        {
            "steps": world.steps,
            "elections": world.elections,
            "committed": len(world.committed),
            "writes": world.acknowledged,
            "effects": world.effects,
            "refused": world.refused,
        },
    )


def _simulate_tier_seed(seed: int) -> tuple[int, str, dict[str, int]]:
    try:
        world = tier.run(tier.Plan(seed))
    except replicas.InvariantViolation as error:
        return seed, str(error), {}
    names = ("steps", "joined", "moved", "swept", "refused", "crashes", "fed", "snapshots")
    return seed, "", {name: getattr(world, name) for name in names}


def simulate(
    seeds: Sequence[int], of: str = "store", at_once: int | None = None
) -> tuple[list[str], dict[str, int]]:
    """Runs one simulation a seed in `at_once` processes, by default one per core: violations and totals."""
    violations: list[str] = []
    totals: dict[str, int] = {}
    with ProcessPoolExecutor(at_once) as pool:
        for _, error, figures in pool.map(
            _simulate_tier_seed if of == "tier" else _simulate_store_seed, seeds, chunksize=4
        ):
            if error:
                violations.append(error)
            for key, value in figures.items():
                totals[key] = totals.get(key, 0) + value
    return violations, totals


def _simulate(args: argparse.Namespace) -> int:
    if args.seeds < 1:
        raise fleet.FleetScenarioError("--seeds must be 1 or more")
    if args.side_by_side is not None and not 1 <= args.side_by_side <= 64:
        raise fleet.FleetScenarioError("--side-by-side must be 1 to 64")
    began = time.monotonic()
    violations, totals = simulate(
        range(args.first, args.first + args.seeds), args.of, args.side_by_side
    )
    report: dict[str, Any] = {
        "seeds": args.seeds,
        "seconds": round(time.monotonic() - began, 1),
        **totals,
    }
    if args.json != "-":
        print("\n".join([*violations, *(f"{key} {value}" for key, value in report.items())]))
    _write_json(args.json, {**report, "breaches": violations})
    return 3 if violations else 0


def _explore(args: argparse.Namespace) -> int:
    from mothstall.lab import explore

    if not (1 <= args.candidates <= 3 and 1 <= args.terms <= 9 and args.most >= 1):
        raise fleet.FleetScenarioError(
            "--candidates must be 1 to 3, --terms 1 to 9, --most 1 or more"
        )
    if min(args.entries, args.crashes) < 0 or args.crashes > 7:
        raise fleet.FleetScenarioError("--entries must be 0 or more, --crashes 0 to 7")
    bounds = explore.Bounds(
        terms=args.terms,
        entries=args.entries,
        crashes=args.crashes,
        candidates=explore.NAMES[: args.candidates],
        keeps_link_order=not args.any_order,
        max_states=args.most,
        max_batch_bytes=1 if args.one_by_one else MAX_BATCH_BYTES,
    )
    began, error, found = time.monotonic(), "", explore.Explored()
    try:
        found = explore.explore(bounds)
    except replicas.InvariantViolation as violation:
        error = str(violation)
    report = {**asdict(found), "missed_odds": found.missed_odds, "breach": error}
    report["seconds"] = round(time.monotonic() - began, 1)
    if args.json != "-":
        print("\n".join(f"{key} {value}" for key, value in report.items()))
    _write_json(args.json, report)
    return 3 if error else 0


def _bench(args: argparse.Namespace) -> int:
    from mothstall.lab import fleetbench

    if args.changes < 100 or not 1 <= args.agents <= 1000:
        raise fleet.FleetScenarioError("--changes must be 100 or more, --agents 1 to 1000")
    log_progress = partial(print, file=sys.stderr, flush=True)
    report = fleetbench.run(log_progress, args.changes, args.agents, args.only)
    if args.json != "-":
        print(json.dumps(report, indent=1))
    _write_json(args.json, report)
    return 0


def _write_json(path: str | None, report: Any) -> None:
    if path == "-":
        print(json.dumps(report, indent=1))
    elif path:
        try:
            Path(path).write_text(json.dumps(report, indent=1) + "\n", encoding="utf-8")
        except OSError as error:
            raise fleet.FleetScenarioError(f"--json {path}: {error.strerror}") from error


_COMMANDS = {
    "list": _list,
    "run": _run,
    "simulate": _simulate,
    "explore": _explore,
    "bench": _bench,
}
