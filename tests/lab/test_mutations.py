"""Mutation tests: removing a guard of the policy must show in a scenario of the lab."""

from __future__ import annotations

from functools import cache
from pathlib import Path

import pytest

from mothstall.lab import policy_source, runs, scenario
from mothstall.lab.runs import Result

TEXTS = policy_source.texts_of(Path(__file__).parents[2] / "mothstall" / "policy")

# Module, original text, replacement, scenario, duration in seconds, kind of violation.
VIOLATIONS = [
    (
        "balancer.py",
        "is_ready = entry.health == Health.READY",
        "is_ready = True",
        "rolling-deploy",
        14,
        "drain",
    ),
    (
        "retries.py",
        "if request_class.effect == Effect.NON_IDEMPOTENT or is_window_over:",
        "if False:",
        "resets",
        20,
        "repeat",
    ),
    (
        "retries.py",
        "return backend.zone == ran_on.zone",
        "return True",
        "keyed-in-zones",
        20,
        "repeat",
    ),
    (
        "rotation.py",
        "if warmth < 1 and not self._slow_start.has_token(backend, warmth):",
        "if False:",
        "fragile-cold",
        14,
        "tipped",
    ),
    (
        "retries.py",
        "return has_key and request_class.group == KeyScope.ALL",
        "return True",
        "resets",
        20,
        "false-refusal",
    ),
    (
        "request_lifecycle.py",
        "if request.queued_until_ns == until_ns:",
        "if False:",
        "all-cold",
        16,
        "lost",
    ),
]

# The same for mutations that break no rule but reduce service; the last value is the least loss.
LOSSES = [
    (
        "outliers.py",
        "if state.failure_score < EJECTION_SCORE or now_ns < state.ejected_until_ns:",
        "if True:",
        "fast-failures",
        20,
        0.02,
    ),
    (
        "slow_start.py",
        "max(self.warm_rate, sent_rate / len(members))",
        "sent_rate / len(members)",
        "demo",
        20,
        0.04,
    ),
    (
        "concurrency.py",
        "self.capacity *= 1.0 + 1.0 / max(1, len(self._endpoints))",
        "pass",
        "all-cold",
        20,
        0.1,
    ),
    (
        "latency.py",
        "return fraction if fraction < MIN_SHARED_FRACTION else 1.0",
        "return 1.0",
        "dependency-fails",
        20,
        0.02,
    ),
    (
        "latency.py",
        "if self._endpoints.is_sparse or max(excess) < 0:",
        "if min(excess) < 0:",
        "dependency-hangs",
        20,
        0.02,
    ),
    (
        "attempt_outcomes.py",
        "late_ns = min(LATE_FRACTION * request.objective_ns, baseline_late_ns)",
        "late_ns = math.inf",
        "burst",
        18,
        0.05,
    ),
]


@cache
def run_scenario(
    name: str, seconds: float, module: str = "", old: str = "", new: str = ""
) -> Result:
    texts = dict(TEXTS)
    if module:
        assert texts[module].count(old) == 1, f"the source text of the guard has changed: {old}"
        texts[module] = texts[module].replace(old, new)
    mutated_policy = policy_source.from_package(texts)
    return runs.play_made(
        scenario.with_duration(scenario.load(name), seconds), mutated_policy, "mutant", 1
    )


@pytest.mark.parametrize(
    ("module", "old", "new", "name", "seconds", "kind"),
    VIOLATIONS,
    ids=[row[5] + " " + row[3] for row in VIOLATIONS],
)
def test_removing_a_guard_breaks_a_rule(
    module: str, old: str, new: str, name: str, seconds: float, kind: str
) -> None:
    assert kind in run_scenario(name, seconds, module, old, new).verdict.rules
    assert not run_scenario(name, seconds).verdict.rules


@pytest.mark.parametrize(
    ("module", "old", "new", "name", "seconds", "least"),
    LOSSES,
    ids=[row[0] + " " + row[1][:30] for row in LOSSES],
)
def test_removing_a_guard_reduces_service(
    module: str, old: str, new: str, name: str, seconds: float, least: float
) -> None:
    loss = (
        run_scenario(name, seconds).verdict.worth
        - run_scenario(name, seconds, module, old, new).verdict.worth
    )
    assert loss >= least
