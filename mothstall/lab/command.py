"""`mothstall lab`: runs, comparisons and benchmarks of simulated and real fleets.

Exit codes: 0 done, 1 the run could not be finished, 2 bad input, 3 a rule was broken.
"""

from __future__ import annotations

import argparse
import json
import os
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from mothstall.lab import policies, runs, scenario

EPILOG = "exit codes: 0 done, 1 the run could not be finished, 2 bad input, 3 a rule was broken"


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="mothstall lab",
        epilog=EPILOG,
        description="Runs fleets with injected troubles and judges the results.",
    )
    commands = parser.add_subparsers(dest="command", metavar="COMMAND", required=True)
    listing = commands.add_parser(
        "list", help="the shipped scenarios and the policies", epilog=EPILOG
    )
    listing.add_argument("--json", action="store_true", help="as JSON on standard output")
    run = commands.add_parser("run", help="run one scenario and judge it", epilog=EPILOG)
    run.add_argument("scenario", help="a shipped name, or the path of a .toml file")
    run.add_argument("--driver", choices=("virtual", "sockets"), default="virtual")
    run.add_argument(
        "--policy", default="module", help="see `lab list`; the sockets driver only runs the module"
    )
    run.add_argument("--seed", type=int, default=1)
    run.add_argument("--seconds", type=float, help="duration, in place of the scenario's")
    run.add_argument(
        "--json", metavar="FILE", help="write figures and breaches as JSON; - for standard output"
    )
    run.add_argument("--report", metavar="FILE", help="one HTML page with plots")
    run.add_argument("--live", action="store_true", help="show the fleet during the run")
    demo = commands.add_parser(
        "demo", help="three real proxies, a hung backend and a deploy, 20 s", epilog=EPILOG
    )
    demo.add_argument(
        "--report", metavar="FILE", default="found/demo.html", help="default: found/demo.html"
    )
    compare = commands.add_parser(
        "compare", help="compare policy variants in pairs on the same seeds", epilog=EPILOG
    )
    compare.add_argument(
        "policy", nargs="+", help="policies; the others are compared with the first"
    )
    compare.add_argument(
        "--scenario", nargs="+", default=["all"], metavar="S", help="scenario names; default: all"
    )
    compare.add_argument("--seeds", type=int, default=20, help="pairs; default: 20")
    compare.add_argument("--seconds", type=float, help="duration, in place of each scenario's")
    compare.add_argument("--workers", type=int, default=0, help="processes; default: one per core")
    compare.add_argument("--measure", choices=("worth", "worst_10s"), default="worth")
    compare.add_argument("--markdown", action="store_true", help="print the table as Markdown")
    compare.add_argument(
        "--kept",
        metavar="FILE",
        help="record finished runs there, and resume an interrupted comparison",
    )
    compare.add_argument(
        "--json", metavar="FILE", help="all figures as JSON; - for standard output"
    )
    bench = commands.add_parser(
        "bench", help="cost per request and maximum load of one proxy", epilog=EPILOG
    )
    bench.add_argument("--seconds", type=float, default=5.0, help="per load; default: 5")
    bench.add_argument(
        "--rates", type=int, nargs="*", help="requests per second; default: 500 1500 3000"
    )
    bench.add_argument(
        "--keep", metavar="FOLDER", help="write the figures there, in the format of benchmarks/"
    )
    bench.add_argument("--profile", action="store_true", help="profile a saturated proxy instead")
    bench.add_argument(
        "--start", action="store_true", help="measure starts instead, from exec to ready"
    )
    bench.add_argument(
        "--sizes", type=int, nargs="+", help="with --start: backends; default: 200 2000 20000"
    )
    bench.add_argument("--repeats", type=int, default=9, help="with --start; default: 9")
    bench.add_argument(
        "--beside", metavar="FOLDER", help="with --start: another checkout, started alternately"
    )
    bench.add_argument("--json", metavar="FILE", help="figures as JSON; - for standard output")
    cold = commands.add_parser(
        "cold", help="the load that a fleet sends to cold backends, compared with its bound"
    )
    cold.add_argument(
        "--policy", default="module", help="default: module; rev:REVISION and file:PATH too"
    )
    cold.add_argument(
        "--proxies", type=int, nargs="+", default=[5, 20, 30, 200], help="default: 5 20 30 200"
    )
    cold.add_argument("--seeds", type=int, default=200, help="per fleet size; default: 200")
    cold.add_argument("--workers", type=int, default=2, help="processes; default: 2")
    commands.add_parser(
        "fleet", help="keepers and proxies as processes; `lab fleet --help`", add_help=False
    )
    commands.add_parser(
        "scale", help="resource use as the fleet grows; `lab scale --help`", add_help=False
    )
    commands.add_parser(
        "soak", help="seeded random signals, failures and load; `lab soak --help`", add_help=False
    )
    commands.add_parser("capacity", help="the tables of docs/CAPACITY.md", add_help=False)
    return parser


def main(arguments: Sequence[str]) -> int:
    if arguments[:1] == ["fleet"]:
        from mothstall.lab.fleetcommand import main as fleet_main

        return fleet_main(arguments[1:])
    if arguments[:1] == ["soak"]:
        from mothstall.lab.soak.command import main as soak_main

        return soak_main(list(arguments[1:]))
    if arguments[:1] == ["scale"]:
        from mothstall.lab.scale.command import main as scale_main

        return scale_main(arguments[1:])
    if arguments[:1] == ["capacity"]:
        from mothstall.lab.scale.command import capacity_main

        return capacity_main(arguments[1:])
    args = _parser().parse_args(arguments)
    try:
        return _COMMANDS[args.command](args)
    except (scenario.ScenarioError, policies.PolicyError) as error:
        print(f"mothstall: {error}", file=sys.stderr)
        return 2
    except runs.Unfinished as error:
        print(f"mothstall: {error}", file=sys.stderr)
        return 1
    except BrokenPipeError:
        # The reader closed the pipe; prevents another error when stdout is flushed at exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return 0


def _list(args: argparse.Namespace) -> int:
    rows = [(name, scenario.load(name).tries) for name in scenario.names()]
    if args.json:
        print(json.dumps({"scenarios": dict(rows), "policies": list(policies.NAMES)}, indent=1))
        return 0
    width = max(len(name) for name, _ in rows)
    for name, tries in rows:
        print(f"{name:<{width}}  {tries}")
    print(
        f"\npolicies: {', '.join(policies.NAMES)}, rev:REVISION, file:PATH; `,setting=value` may follow"
    )
    return 0


def _run(args: argparse.Namespace) -> int:
    s = scenario.load(args.scenario)
    if args.seconds is not None:
        s = scenario.with_duration(s, args.seconds)
    result = _run_scenario(s, args.policy, args.seed, args.driver, args.live)
    if args.report:
        _write_report(result, args.report)
    if args.json:
        _write_json(args.json, result.as_json())
    if args.json != "-":
        print(result.text())
    return 3 if result.verdict.broken else 0


def _run_scenario(
    s: scenario.Scenario, policy: str, seed: int, driver: str, live: bool
) -> runs.Result:
    if not live:
        return runs.play(s, policy, seed, driver)
    from mothstall.lab.live import LiveView

    with LiveView(s) as live_view:
        return runs.play(s, policy, seed, driver, live_view.watch)


def _demo(args: argparse.Namespace) -> int:
    s = scenario.load("demo")
    print(
        f"{s.tries}\nstarting {s.proxies.count} proxies and {s.backend_count} web backends on 127.0.0.1 ..."
    )
    result = _run_scenario(s, "module", 1, "sockets", True)
    _write_report(result, args.report)
    print(result.text())
    print(f"report     {args.report}")
    return 3 if result.verdict.broken else 0


def _compare(args: argparse.Namespace) -> int:
    from rich.console import Console
    from rich.progress import (
        BarColumn,
        MofNCompleteColumn,
        Progress,
        TextColumn,
        TimeRemainingColumn,
    )
    from rich.table import Table

    from mothstall.lab import compare

    if args.seeds < 1 or args.workers < 0:
        raise scenario.ScenarioError("--seeds must be 1 or more, --workers 0 or more")
    if len(set(args.policy)) < len(args.policy):
        raise policies.PolicyError("a variant is given twice")
    names = scenario.names() if args.scenario == ["all"] else list(dict.fromkeys(args.scenario))
    for name in names:
        scenario.load(name)
    columns = (
        TextColumn("{task.description}"),
        BarColumn(),
        MofNCompleteColumn(),
        TimeRemainingColumn(),
    )
    cache = compare.RunCache(Path(args.kept)) if args.kept else None
    with Progress(*columns, console=Console(stderr=True)) as progress:
        task = progress.add_task("running", total=len(names) * len(args.policy) * args.seeds)
        rows = compare.play(
            names,
            args.policy,
            args.seeds,
            seconds=args.seconds,
            workers=args.workers,
            on_run_done=lambda: progress.advance(task),
            cache=cache,
        )
    if args.json:
        _write_json(args.json, compare.as_json(rows, args.policy, args.seeds))
    if args.json != "-":
        head = ["scenario", args.policy[0], *(f"{name} minus it" for name in args.policy[1:])]
        body = compare.table_rows(rows, args.policy, args.measure)
        if args.markdown:
            print(
                "\n".join(
                    "| " + " | ".join(line) + " |" for line in (head, ["---"] * len(head), *body)
                )
            )
        else:
            table = Table(title=f"{args.measure}, {args.seeds} seeds, simulated")
            for name in head:
                table.add_column(name, no_wrap=True)
            for line in body:
                table.add_row(*line)
            Console(width=None if sys.stdout.isatty() else 60 + 36 * len(args.policy)).print(table)
        print("[low, high]: 95% of the mean difference;  ~ not significant;  ! broke a rule")
    return 3 if any(row.broken for row in rows if row.policy != "careless") else 0


def _bench(args: argparse.Namespace) -> int:
    from mothstall.lab import bench

    if args.start:
        return _bench_start(args)
    rates = bench.RATES if args.rates is None else tuple(args.rates)
    if not 1.0 <= args.seconds <= 120 or any(not 1 <= rate <= 100_000 for rate in rates):
        raise scenario.ScenarioError("--seconds must be 1 to 120, --rates 1 to 100000")
    if args.profile:
        tree = bench.profile(
            args.seconds, lambda name: print(f"measuring: {name}", file=sys.stderr)
        )
        if args.json:
            _write_json(args.json, tree)
        if args.json != "-":
            print(f"{tree['revision']}, profiled; us per request by place")
            print("\n".join(f"{us:8.1f}  {place}" for place, us in tree["spent_us"].items()))
        return 0
    folder = Path(args.keep or "benchmarks")
    before = bench.last(folder)
    tree = bench.run(args.seconds, rates, lambda name: print(f"measuring: {name}", file=sys.stderr))
    if args.json:
        _write_json(args.json, tree)
    if args.json != "-":
        print(bench.text(tree, before))
    if args.keep:
        try:
            print(f"written to {bench.keep(tree, folder)}", file=sys.stderr)
        except OSError as error:
            raise scenario.ScenarioError(f"--keep {args.keep}: {error.strerror}") from error
    return 0


def _bench_start(args: argparse.Namespace) -> int:
    from mothstall.lab import bench, start

    sizes = start.SIZES if args.sizes is None else tuple(sorted(set(args.sizes)))
    beside = Path(args.beside).resolve() if args.beside else None
    if not 1 <= args.repeats <= 99 or any(not 1 <= size <= 200_000 for size in sizes):
        raise scenario.ScenarioError("--repeats must be 1 to 99, --sizes 1 to 200000")
    if beside and not (beside / "mothstall" / "__main__.py").is_file():
        raise scenario.ScenarioError(f"--beside {beside}: not a checkout of mothstall")
    tree = start.run(
        sizes, args.repeats, beside, lambda name: print(f"measuring: {name}", file=sys.stderr)
    )
    if args.json:
        _write_json(args.json, tree)
    if args.json != "-":
        print(start.text(tree))
    if args.keep:
        try:
            print(f"written to {bench.keep(tree, Path(args.keep))}", file=sys.stderr)
        except OSError as error:
            raise scenario.ScenarioError(f"--keep {args.keep}: {error.strerror}") from error
    return 0


def _cold(args: argparse.Namespace) -> int:
    """Prints the table of docs/results.md; returns 3 if a backend got more than its bound."""
    from concurrent.futures import ProcessPoolExecutor
    from functools import partial

    from mothstall.lab import coldsum

    if (
        args.seeds < 1
        or args.workers < 1
        or any(count not in coldsum.SIZES for count in args.proxies)
    ):
        sizes = " ".join(map(str, coldsum.SIZES))
        raise scenario.ScenarioError(
            f"--seeds and --workers must be 1 or more, --proxies one of {sizes}"
        )
    policies.parse(args.policy)
    print("| proxies | seeds | over the bound | nearest | below by | mean of N | spread | served |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    over = 0
    for count in args.proxies:
        with ProcessPoolExecutor(args.workers) as pool:
            run_seed = partial(coldsum.play_named, args.policy, count)
            result = coldsum.summary(count, list(pool.map(run_seed, range(1, args.seeds + 1))))
        over += result.seeds_over_limit
        print(
            f"| {count} | {result.seeds} | {result.seeds_over_limit} | {result.max_ratio:.2f} | {-result.max_excess:.1f} | {result.planned:.2f} "
            f"| {result.dispersion:.2f} | {result.served:.3f} |",
            flush=True,
        )
    return 3 if over else 0


def _write_report(result: runs.Result, destination: str) -> None:
    from mothstall.lab import report

    path = Path(destination)
    try:
        path.parent.mkdir(parents=True, exist_ok=True)
        report.write(result, path)
    except OSError as error:
        raise scenario.ScenarioError(f"--report {destination}: {error.strerror}") from error


def _write_json(destination: str, tree: dict[str, Any]) -> None:
    text = json.dumps(tree, indent=1)
    if destination == "-":
        print(text)
        return
    try:
        Path(destination).write_text(text + "\n", encoding="utf-8")
    except OSError as error:
        raise scenario.ScenarioError(f"--json {destination}: {error.strerror}") from error


_COMMANDS = {
    "list": _list,
    "run": _run,
    "demo": _demo,
    "compare": _compare,
    "bench": _bench,
    "cold": _cold,
}
