"""Experiments: paired comparison of policy variants on equal seeds, with confidence intervals.

Clients and troubles draw from separate random streams, so two variants with one seed see the same
requests and faults, and a paired difference varies far less than either figure. Intervals are
percentile bootstraps over pairs (Efron, "Bootstrap methods", 1979), drawn with a fixed seed.
"""

from __future__ import annotations

import contextlib
import hashlib
import json
import multiprocessing
import os
import threading
import time
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import numpy as np

from mothstall.lab import policies, runs, scenario

RESAMPLES = 4000
CONFIDENCE = 0.95
MIN_PAIRS = 4  # with fewer pairs no interval is computed
PARENT_CHECK_INTERVAL_S = 1.0  # how often a worker checks that its parent runs
MEASURES = ("worth", "worst_10s")


@dataclass(slots=True)
class Row:
    """One variant in one scenario; lists hold one value per seed, in the order of seeds."""

    scenario: str
    policy: str
    worth: list[float] = field(default_factory=list)
    worst_10s: list[float] = field(default_factory=list)
    broken: dict[str, int] = field(default_factory=dict)  # breaches per kind, over all seeds


@dataclass(slots=True, frozen=True)
class Difference:
    """A variant minus the first one: the mean over pairs and its confidence interval."""

    mean: float
    low: float
    high: float

    @property
    def is_insignificant(self) -> bool:
        """Whether the interval includes zero; always so with fewer than `MIN_PAIRS` pairs."""
        return not (self.low > 0 or self.high < 0)

    def __str__(self) -> str:
        text = f"{self.mean:+.3f} [{self.low:+.3f}, {self.high:+.3f}]"
        return text + (" ~" if self.is_insignificant else "")


def difference(base: Sequence[float], values: Sequence[float]) -> Difference:
    """`values` minus `base`, paired by position."""
    pairs = np.asarray(values) - np.asarray(base)
    mean = float(pairs.mean())
    if len(pairs) < MIN_PAIRS:
        return Difference(mean, -1.0, 1.0)
    resamples = np.random.default_rng(len(pairs)).integers(0, len(pairs), (RESAMPLES, len(pairs)))
    means = pairs[resamples].mean(axis=1)
    tail = (1 - CONFIDENCE) / 2
    return Difference(mean, float(np.quantile(means, tail)), float(np.quantile(means, 1 - tail)))


def mean(values: Sequence[float]) -> Difference:
    """The mean of one variant's figures, with its interval."""
    return difference([0.0] * len(values), values)


def _run_one(
    name: str, seconds: float | None, policy: str, seed: int
) -> tuple[float, float, dict[str, int]]:
    s = scenario.load(name)
    if seconds is not None:
        s = scenario.with_duration(s, seconds)
    verdict = runs.play(s, policy, seed).verdict
    return verdict.worth, verdict.worst_10s, verdict.rules


class RunCache:
    """File of finished runs, one line each, from which an interrupted experiment resumes.

    Each line holds the fingerprint of the program; lines of another program are ignored. Unreadable
    lines (such as a last line cut short by a crash) are skipped, and their runs repeated.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self.program = fingerprint()
        # By scenario, policy, seed and duration: worth, worst 10 s, violations by kind.
        self.results: dict[
            tuple[str, str, int, float | None], tuple[float, float, dict[str, int]]
        ] = {}
        with contextlib.suppress(FileNotFoundError):
            for line in path.read_text(encoding="utf-8", errors="replace").splitlines():
                with contextlib.suppress(ValueError, KeyError, TypeError):
                    row = json.loads(line)
                    if row["program"] == self.program:
                        key = (row["scenario"], row["policy"], row["seed"], row["seconds"])
                        self.results[key] = (row["worth"], row["worst_10s"], row["rules"])

    def add(
        self, key: tuple[str, str, int, float | None], result: tuple[float, float, dict[str, int]]
    ) -> None:
        names = ("scenario", "policy", "seed", "seconds", "worth", "worst_10s", "rules")
        row = dict(zip(names, (*key, *result), strict=True))
        with self.path.open("a", encoding="utf-8") as out:
            out.write(json.dumps({**row, "program": self.program}) + "\n")


def fingerprint() -> str:
    """Hash of the files that a virtual run depends on: the policy, the lab and its scenarios."""
    digest = hashlib.blake2b(digest_size=8)
    package = Path(__file__).parents[1]
    for path in sorted(
        [*package.glob("*.py"), *package.glob("lab/*.py"), *package.glob("lab/scenarios/*")]
    ):
        digest.update(path.name.encode() + path.read_bytes())
    return digest.hexdigest()


def play(
    names: Sequence[str],
    variants: Sequence[str],
    seeds: int,
    *,
    seconds: float | None = None,
    workers: int = 0,
    on_run_done: Callable[[], object] | None = None,
    cache: RunCache | None = None,
) -> list[Row]:
    """Runs all variants in all scenarios, seeds 1 to `seeds`. Raises ScenarioError, PolicyError.

    `on_run_done` is called after each run. Runs share no state, so their order does not matter.
    """
    for variant in variants:
        policies.parse(variant)
    rows = {(name, policy): Row(name, policy) for name in names for policy in variants}
    found: dict[tuple[str, str, int], tuple[float, float, dict[str, int]]] = {}
    # Longest runs first, so that no single core is busy with one at the end.
    jobs = [
        (n, p, seed)
        for n in sorted(names, key=_estimated_cost, reverse=True)
        for p in variants
        for seed in range(1, seeds + 1)
    ]
    context = multiprocessing.get_context("spawn")
    count = workers or os.cpu_count() or 1
    with ProcessPoolExecutor(
        count, mp_context=context, initializer=_exit_with_parent, initargs=(os.getpid(),)
    ) as pool:
        pending = {}
        for n, p, seed in jobs:
            if cache and (n, p, seed, seconds) in cache.results:
                found[n, p, seed] = cache.results[n, p, seed, seconds]
                if on_run_done:
                    on_run_done()
            else:
                pending[pool.submit(_run_one, n, seconds, p, seed)] = (n, p, seed)
        for future in as_completed(pending):
            n, p, seed = pending[future]
            found[n, p, seed] = future.result()
            if cache:
                cache.add((n, p, seed, seconds), found[n, p, seed])
            if on_run_done:
                on_run_done()
    for (name, policy), row in rows.items():
        for seed in range(1, seeds + 1):
            worth, worst, rules = found[name, policy, seed]
            row.worth.append(worth)
            row.worst_10s.append(worst)
            for kind, count in rules.items():
                row.broken[kind] = row.broken.get(kind, 0) + count
    return list(rows.values())


def _exit_with_parent(parent: int) -> None:
    """Guards against workers that outlive a killed parent: ends this process with its parent."""

    def check() -> None:
        while os.getppid() == parent:
            time.sleep(PARENT_CHECK_INTERVAL_S)
        os._exit(1)

    threading.Thread(target=check, daemon=True).start()


def _estimated_cost(name: str) -> float:
    s = scenario.load(name)
    return s.seconds * s.rate * (1.0 + s.proxies.count / 100)


def as_json(rows: Sequence[Row], variants: Sequence[str], seeds: int) -> dict[str, Any]:
    first = {row.scenario: row for row in rows if row.policy == variants[0]}
    tree: dict[str, Any] = {"variants": list(variants), "seeds": seeds, "scenarios": {}}
    for row in rows:
        entry: dict[str, Any] = {"broken": row.broken}
        for name in MEASURES:
            values, base = getattr(row, name), getattr(first[row.scenario], name)
            diff = difference(base, values)
            entry[name] = {
                "mean": round(float(np.mean(values)), 5),
                "values": [round(value, 5) for value in values],
                "difference": round(diff.mean, 5),
                "interval": [round(diff.low, 5), round(diff.high, 5)],
                "means_nothing": diff.is_insignificant,
            }
        tree["scenarios"].setdefault(row.scenario, {})[row.policy] = entry
    return tree


def table_rows(rows: Sequence[Row], variants: Sequence[str], measure: str) -> list[list[str]]:
    """Table rows, one per scenario: the first variant's mean, then the others' differences from it.

    `~` marks a difference that is not significant, `!` a broken rule.
    """
    table = []
    by_key = {(row.scenario, row.policy): row for row in rows}
    for name in dict.fromkeys(row.scenario for row in rows):
        base = by_key[name, variants[0]]
        line = [name, f"{np.mean(getattr(base, measure)):.3f}" + " !" * bool(base.broken)]
        for variant in variants[1:]:
            row = by_key[name, variant]
            diff = difference(getattr(base, measure), getattr(row, measure))
            line.append(str(diff) + " !" * bool(row.broken))
        table.append(line)
    return table
