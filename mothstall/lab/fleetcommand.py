"""`mothstall lab fleet`: fleets of processes with faults between them, and the store simulated by seed.

Exit codes: 0 done, 1 a run could not be finished, 2 bad input, 3 the judge found a breach.
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
    "exit codes: 0 done, 1 a run could not be finished, 2 bad input, 3 the judge found a breach"
)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="mothstall lab fleet",
        epilog=EPILOG,
        description="Keepers and proxies, with faults between them.",
    )
    commands = parser.add_subparsers(dest="command", metavar="COMMAND", required=True)
    listing = commands.add_parser("list", help="the shipped scenarios", epilog=EPILOG)
    listing.add_argument("--json", action="store_true", help="as JSON on standard output")
    run = commands.add_parser(
        "run", help="play scenarios with processes and judge them", epilog=EPILOG
    )
    run.add_argument(
        "scenario", nargs="+", help="shipped names, paths of .toml files; `all`: but long ones"
    )
    run.add_argument("--seed", type=int, default=1, help="of the first round")
    run.add_argument("--rounds", type=int, default=1, help="one seed after another")
    run.add_argument(
        "--side-by-side", type=int, default=1, metavar="N", help="runs at once; default: 1"
    )
    run.add_argument("--json", metavar="FILE", help="all results as JSON; - for standard output")
    run.add_argument("--logs", metavar="DIR", help="keep each run's folder there")
    sim = commands.add_parser(
        "simulate", help="the store by seed: lost words, crashes, drift", epilog=EPILOG
    )
    sim.add_argument("--seeds", type=int, default=200)
    sim.add_argument(
        "--of",
        choices=("store", "tier"),
        default="store",
        help="keepers (default), or observers and proxies",
    )
    sim.add_argument("--first", type=int, default=1, help="the first seed")
    sim.add_argument(
        "--side-by-side", type=int, metavar="N", help="processes; default: as many as cores"
    )
    sim.add_argument("--json", metavar="FILE", help="as JSON; - for standard output")
    every = commands.add_parser(
        "explore", help="every state of the core within small bounds", epilog=EPILOG
    )
    every.add_argument("--terms", type=int, default=2)
    every.add_argument(
        "--entries", type=int, default=1, help="that callers ask for, over all leaders"
    )
    every.add_argument("--crashes", type=int, default=1)
    every.add_argument(
        "--candidates", type=int, default=2, help="of the three, whose time may be up"
    )
    every.add_argument(
        "--any-order", action="store_true", help="words of one link may overtake one another"
    )
    every.add_argument("--one-by-one", action="store_true", help="one entry in each word")
    every.add_argument(
        "--most", type=int, default=5_000_000, metavar="N", help="states to give up at"
    )
    every.add_argument("--json", metavar="FILE", help="as JSON; - for standard output")
    bench = commands.add_parser(
        "bench", help="what keepers and agents cost and bear", epilog=EPILOG
    )
    bench.add_argument("--changes", type=int, default=100_000, help="for memory; default: 100000")
    bench.add_argument("--agents", type=int, default=300)
    bench.add_argument("--only", choices=("commits", "growth", "crowd", "beside", "plans"))
    bench.add_argument("--json", metavar="FILE", help="figures as JSON; - for standard output")
    return parser


def main(words: Sequence[str]) -> int:
    args = _parser().parse_args(words)
    try:
        return _COMMANDS[args.command](args)
    except fleet.FleetError as why:
        print(f"mothstall: {why}", file=sys.stderr)
        return 2
    except Unfinished as why:
        print(f"mothstall: {why}", file=sys.stderr)
        return 1


def _list(args: argparse.Namespace) -> int:
    rows = {name: fleet.load(name).tries for name in fleet.names()}
    if args.json:
        print(json.dumps(rows, indent=1))
        return 0
    wide = max(map(len, rows))
    print("\n".join(f"{name:<{wide}}  {tries}" for name, tries in rows.items()))
    return 0


def _one(job: tuple[fleet.Fleet, int, Path | None]) -> fleetplay.Result:
    return fleetplay.run(*job)


def _play(
    jobs: list[tuple[fleet.Fleet, int, Path | None]], at_once: int
) -> Iterator[fleetplay.Result]:
    if at_once == 1:
        yield from map(_one, jobs)
        return
    with ProcessPoolExecutor(at_once) as pool:
        yield from pool.map(_one, jobs)


def _run(args: argparse.Namespace) -> int:
    if args.rounds < 1 or not 1 <= args.side_by_side <= 16:
        raise fleet.FleetError("--rounds must be 1 or more, --side-by-side 1 to 16")
    names = fleet.names(long=False) if args.scenario == ["all"] else args.scenario
    logs = Path(args.logs) if args.logs else None
    jobs = [(fleet.load(n), args.seed + i, logs) for n in names for i in range(args.rounds)]
    results, broken = [], 0
    for result in _play(jobs, args.side_by_side):
        results.append(result.as_json())
        broken += bool(result.verdict.breaches)
        if args.json != "-":
            print(result.text(), flush=True)
    if len(results) > 1 and args.json != "-":
        print(f"{len(results)} runs, {broken} with a breach")
    _write(args.json, results)
    return 3 if broken else 0


def _simulated(seed: int) -> tuple[int, str, dict[str, int]]:
    plan = replicas.Plan(seed, replicas=3 if seed % 2 else 5)
    try:
        world = replicas.run(plan)
    except replicas.InvariantViolation as why:
        return seed, str(why), {}
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


def _simulated_tier(seed: int) -> tuple[int, str, dict[str, int]]:
    try:
        world = tier.run(tier.Plan(seed))
    except replicas.InvariantViolation as why:
        return seed, str(why), {}
    names = ("steps", "joined", "moved", "swept", "refused", "crashes", "fed", "snapshots")
    return seed, "", {name: getattr(world, name) for name in names}


def simulate(
    seeds: Sequence[int], of: str = "store", at_once: int | None = None
) -> tuple[list[str], dict[str, int]]:
    """Plays worlds in so many processes, by default one a core: breaches, and sums of what was played."""
    breaches: list[str] = []
    sums: dict[str, int] = {}
    with ProcessPoolExecutor(at_once) as pool:
        for _, why, figures in pool.map(
            _simulated_tier if of == "tier" else _simulated, seeds, chunksize=4
        ):
            if why:
                breaches.append(why)
            for key, value in figures.items():
                sums[key] = sums.get(key, 0) + value
    return breaches, sums


def _simulate(args: argparse.Namespace) -> int:
    if args.seeds < 1:
        raise fleet.FleetError("--seeds must be 1 or more")
    if args.side_by_side is not None and not 1 <= args.side_by_side <= 64:
        raise fleet.FleetError("--side-by-side must be 1 to 64")
    began = time.monotonic()
    breaches, sums = simulate(
        range(args.first, args.first + args.seeds), args.of, args.side_by_side
    )
    tree: dict[str, Any] = {
        "seeds": args.seeds,
        "seconds": round(time.monotonic() - began, 1),
        **sums,
    }
    if args.json != "-":
        print("\n".join([*breaches, *(f"{key} {value}" for key, value in tree.items())]))
    _write(args.json, {**tree, "breaches": breaches})
    return 3 if breaches else 0


def _explore(args: argparse.Namespace) -> int:
    from mothstall.lab import explore

    if not (1 <= args.candidates <= 3 and 1 <= args.terms <= 9 and args.most >= 1):
        raise fleet.FleetError("--candidates must be 1 to 3, --terms 1 to 9, --most 1 or more")
    if min(args.entries, args.crashes) < 0 or args.crashes > 7:
        raise fleet.FleetError("--entries must be 0 or more, --crashes 0 to 7")
    bounds = explore.Bounds(
        terms=args.terms,
        entries=args.entries,
        crashes=args.crashes,
        candidates=explore.NAMES[: args.candidates],
        keeps_link_order=not args.any_order,
        max_states=args.most,
        max_batch_bytes=1 if args.one_by_one else MAX_BATCH_BYTES,
    )
    began, why, found = time.monotonic(), "", explore.Explored()
    try:
        found = explore.explore(bounds)
    except replicas.InvariantViolation as breach:
        why = str(breach)
    tree = {**asdict(found), "missed_odds": found.missed_odds, "breach": why}
    tree["seconds"] = round(time.monotonic() - began, 1)
    if args.json != "-":
        print("\n".join(f"{key} {value}" for key, value in tree.items()))
    _write(args.json, tree)
    return 3 if why else 0


def _bench(args: argparse.Namespace) -> int:
    from mothstall.lab import fleetbench

    if args.changes < 100 or not 1 <= args.agents <= 1000:
        raise fleet.FleetError("--changes must be 100 or more, --agents 1 to 1000")
    say = partial(print, file=sys.stderr, flush=True)
    tree = fleetbench.run(say, args.changes, args.agents, args.only)
    if args.json != "-":
        print(json.dumps(tree, indent=1))
    _write(args.json, tree)
    return 0


def _write(where: str | None, tree: Any) -> None:
    if where == "-":
        print(json.dumps(tree, indent=1))
    elif where:
        try:
            Path(where).write_text(json.dumps(tree, indent=1) + "\n", encoding="utf-8")
        except OSError as why:
            raise fleet.FleetError(f"--json {where}: {why.strerror}") from why


_COMMANDS = {
    "list": _list,
    "run": _run,
    "simulate": _simulate,
    "explore": _explore,
    "bench": _bench,
}
