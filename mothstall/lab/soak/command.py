"""`mothstall lab soak`: plays seeds, and prints violations with the command to repeat them."""

from __future__ import annotations

import argparse
import asyncio
import json
import tempfile
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from pathlib import Path

from mothstall.lab.ledger import Unfinished
from mothstall.lab.soak.play import SoakResult, play

EPILOG = "exit codes: 0 done, 1 a run could not be finished, 2 bad input, 3 a rule was broken"
DEFAULT_SEEDS = 6
DEFAULT_SIDE_BY_SIDE = 3


def play_seed(seed: int, logs: str | None) -> SoakResult | str:
    """Play one seed; return its result, or the reason why it could not be finished.

    Args:
        seed: The seed.
        logs: Folder in which the run's files are kept; None: they are removed.
    """
    try:
        if logs is not None:
            folder = Path(logs) / f"soak-{seed}"
            folder.mkdir(parents=True, exist_ok=True)
            return asyncio.run(play(seed, folder))
        with tempfile.TemporaryDirectory(prefix="soak") as name:
            return asyncio.run(play(seed, Path(name)))
    except Unfinished as error:
        return str(error)


def report(seed: int, result: SoakResult | str) -> tuple[str, int]:
    """Return the text to print for a run, and its exit code."""
    rerun_command = f"python -m mothstall lab soak --first {seed} --seeds 1 --logs found/soak"
    if isinstance(result, str):
        return f"seed {seed}: not finished: {result}\n  again: {rerun_command}", 1
    served = (
        f"{result.answered} of {result.requests} requests served, "
        f"late by {result.driver_delay_s:g} s"
    )
    title = f"seed {seed} ({result.plan.ending.value}): {served}"
    if not result.violations:
        return f"{title}: held", 0
    rows = [
        f"{title}: BROKEN",
        *(f"  {row}" for row in result.violations),
        f"  again: {rerun_command}",
    ]
    if result.is_inconclusive:
        rows.insert(1, "  the driver was held up: this run proves nothing")
        return "\n".join(rows), 1
    return "\n".join(rows), 3


def main(words: list[str]) -> int:
    """Run the command; return its exit code."""
    parser = argparse.ArgumentParser(
        prog="mothstall lab soak",
        epilog=EPILOG,
        description="Real proxies under signals, malformed uploads, crowds and silent watches.",
    )
    parser.add_argument("--first", type=int, default=1, help="the first seed; default: 1")
    parser.add_argument("--seeds", type=int, default=DEFAULT_SEEDS, help="default: 6")
    parser.add_argument("--side-by-side", type=int, default=DEFAULT_SIDE_BY_SIDE, metavar="N")
    parser.add_argument("--logs", metavar="DIR", help="keep the folder of each run in DIR")
    parser.add_argument("--json", metavar="FILE", help="write a row for each seed")
    options = parser.parse_args(words)
    if options.seeds < 1 or options.side_by_side < 1:
        parser.error("--seeds and --side-by-side must be at least 1")
    seeds = range(options.first, options.first + options.seeds)
    worst = 0
    rows = []
    with ProcessPoolExecutor(options.side_by_side, mp_context=get_context("spawn")) as pool:
        runs = [(seed, pool.submit(play_seed, seed, options.logs)) for seed in seeds]
        for seed, run in runs:
            text, code = report(seed, run.result())
            print(text, flush=True)
            worst = max(worst, code)
            rows.append({"seed": seed, "code": code, "text": text})
    passed = sum(row["code"] == 0 for row in rows)
    print(f"{len(rows)} seeds, {passed} held, {sum(row['code'] == 3 for row in rows)} broken")
    if options.json:
        Path(options.json).write_text(json.dumps(rows, indent=1) + "\n", encoding="utf-8")
    return worst
