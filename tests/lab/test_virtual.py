"""The virtual driver: deterministic runs, and the effect of each fault."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from mothstall.lab import runs, scenario
from mothstall.lab.ledger import AttemptOutcome, Outcome

ROOT = Path(__file__).parents[2]


def lab(*arguments: str, **env: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-O", "-m", "mothstall", "lab", *arguments],
        cwd=ROOT,
        env={**os.environ, **env},
        capture_output=True,
        text=True,
        timeout=60,
    )


def small(**more: Any) -> scenario.Scenario:
    tree = {
        "tries": "A test.",
        "seconds": 10.0,
        "boxes": [{"count": 4}],
        "clients": {"fill": 0.4},
        **more,
    }
    return scenario.from_tree(tree, "small")


def test_the_same_seed_gives_the_same_run_in_every_process() -> None:
    arguments = ("run", "demo", "--seconds", "6", "--json", "-", "--seed")
    one, other = (json.loads(lab(*arguments, "5", PYTHONHASHSEED=h).stdout) for h in ("1", "2"))
    assert one == other and one["intents"] > 300
    assert (
        runs.play(scenario.with_duration(scenario.load("demo"), 6.0), "module", 5).digest
        == one["digest"]
    )
    assert (
        runs.play(scenario.with_duration(scenario.load("demo"), 6.0), "module", 6).digest
        != one["digest"]
    )
    required = {
        "scenario",
        "seed",
        "digest",
        "worth",
        "rules",
        "breaches",
        "wasted",
        "latency",
        "recover_s",
    }
    assert required <= set(one)


def test_exit_codes_distinguish_bad_input_from_broken_rules() -> None:
    broken = lab("run", "steady", "--seconds", "3", "--policy", "careless")
    assert broken.returncode == 3 and "BROKEN" in broken.stdout
    for arguments in (("nothing",), ("steady", "--policy", "magic"), ("steady", "--seconds", "0")):
        done = lab("run", *arguments)
        assert done.returncode == 2 and done.stderr.count("\n") == 1, done.stderr


def test_all_policies_see_the_same_clients() -> None:
    s = small()
    rows = [runs.play(s, name, 3).ledger.intents for name in ("module", "random")]
    for one, other in zip(*rows, strict=True):
        drawn = [
            (x.start, x.cls, x.tenant, x.zone, x.work, x.leaves_early, x.retry_jitter)
            for x in (one, other)
        ]
        assert drawn[0] == drawn[1]


FAULTS: list[tuple[dict[str, Any], set[AttemptOutcome]]] = [
    ({"kind": "hang", "boxes": 1}, {AttemptOutcome.CANCELLED}),
    ({"kind": "crash", "boxes": 2}, {AttemptOutcome.LOST}),
    ({"kind": "failing", "boxes": 1}, {AttemptOutcome.ERROR}),
    ({"kind": "resets", "boxes": 2}, {AttemptOutcome.RESET}),
    ({"kind": "spoilt", "boxes": 2}, {AttemptOutcome.UNREADABLE}),
    ({"kind": "dependency", "cls": "read", "how": "fail"}, {AttemptOutcome.ERROR}),
    ({"kind": "dependency", "cls": "read"}, {AttemptOutcome.CANCELLED}),
    ({"kind": "cut", "boxes": 2, "way": "out"}, {AttemptOutcome.SERVED}),
]


@pytest.mark.parametrize(("fault", "outcomes"), FAULTS, ids=[str(t["kind"]) for t, _ in FAULTS])
def test_fault_changes_attempt_outcomes_and_breaks_no_rule(
    fault: dict[str, Any], outcomes: set[AttemptOutcome]
) -> None:
    result = runs.play(small(troubles=[{"at": "3s", "lasts": "4s", **fault}]), "module", 2)
    assert outcomes <= {row.outcome for row in result.ledger.attempts}
    assert not result.verdict.rules and 0.3 < result.verdict.worth <= 1.0


def test_requests_at_a_hung_backend_are_reset_when_it_resumes() -> None:
    hang = {"kind": "hang", "boxes": 1, "at": "3s", "lasts": "4s"}
    # By then the module may have no request in flight at that backend, so `random` plays.
    result = runs.play(small(troubles=[hang]), "random", 2)
    assert AttemptOutcome.RESET in {row.outcome for row in result.ledger.attempts}


def test_lost_zone_sends_no_resets_and_a_killed_proxy_does() -> None:
    lost = runs.play(
        small(troubles=[{"kind": "zone-lost", "at": "3s", "lasts": "4s", "zone": "west"}]),
        "module",
        2,
    )
    assert {1} == {proxy for proxy, _, _ in lost.ledger.proxy_outages}
    silent = [t for t in lost.ledger.requests if t.outcome == Outcome.SILENT]
    assert silent and all(t.proxy == 1 and (t.excused or t.accepted < 0) for t in silent)
    killed = runs.play(
        small(troubles=[{"kind": "proxy-killed", "at": "3s", "lasts": "2s", "proxies": 2}]),
        "module",
        2,
    )
    outcomes = {t.outcome for t in killed.ledger.requests}
    assert {
        Outcome.BROKEN,
        Outcome.UNREACHED,
    } <= outcomes and Outcome.SILENT not in outcomes
    assert not lost.verdict.rules and not killed.verdict.rules


def test_key_takes_effect_once_while_its_first_attempt_runs_on() -> None:
    classes = [
        {
            "name": "file",
            "part": 1,
            "work": "60ms",
            "effect": "keyed",
            "window": "1800ms",
            "aim": "1s",
        }
    ]
    s = small(
        classes=classes,
        boxes=[{"count": 4, "runs_on": True}],
        troubles=[{"kind": "pause", "at": "3s", "lasts": "1s", "boxes": 2}],
    )
    result = runs.play(s, "module", 4)
    duplicates = [row for row in result.ledger.attempts if row.outcome == AttemptOutcome.DUPLICATE]
    # Duplicates ran beside their first attempts, and no effect happened twice.
    assert duplicates and not result.verdict.rules


def test_faults_beyond_the_end_of_the_run_leave_no_recovery_time() -> None:
    s = scenario.with_duration(scenario.load("never-over"), 14.0)
    result = runs.play(s, "module", 1)
    assert result.verdict.recover_s is None and "not within the run" in result.text()
    assert any(until > s.total_ns for _, until, _ in result.ledger.fault_spans)


def test_many_proxies_together_overload_cold_backends() -> None:
    s = scenario.load("cold-by-many")
    assert not runs.play(scenario.with_duration(s, 14.0), "module", 1).verdict.rules
    verdict = runs.play(scenario.with_duration(s, 14.0), "careless", 1).verdict
    overloads = [b for b in verdict.violations if b.kind == "tipped"]
    assert overloads and all("proxies" in b.detail for b in overloads)


def test_three_hundred_proxies_before_sixty_backends_keep_the_rules_through_a_hang() -> None:
    s = scenario.load("three-hundred")
    hang = [t for t in s.troubles if t.at == 10_000_000_000]
    assert len(hang) == 1
    result = runs.play(scenario.with_duration(s, 12.0), "module", 1)
    assert not result.verdict.rules and result.verdict.worth > 0.9
    assert len({t.proxy for t in result.ledger.requests}) == 300
