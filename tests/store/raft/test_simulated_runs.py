"""Simulated runs by seed: safety holds under faults, and each missing safeguard is detected."""

from __future__ import annotations

import contextlib
from dataclasses import replace
from typing import Any

import pytest

from mothstall.lab import linear, replicas
from mothstall.lab.replicas import Guards, InvariantViolation, Plan


@pytest.mark.parametrize("first_seed", range(1, 201, 10))
def test_safety_holds_in_simulated_runs_with_faults(first_seed: int) -> None:
    runs = [
        replicas.run(Plan(seed, replicas=3 if seed % 2 else 5))
        for seed in range(first_seed, first_seed + 10)
    ]
    # The runs had elections, writes and effects with stale tokens, so that the checks could fail.
    assert sum(run.elections for run in runs) > 15
    assert sum(run.acknowledged for run in runs) > 50
    assert sum(run.refused for run in runs) > 0
    assert not sum(run.undecided for run in runs)


def test_seed_reproduces_its_run() -> None:
    first = replicas.run(Plan(7))
    second = replicas.run(Plan(7))
    assert (first.steps, first.effects) == (second.steps, second.effects)
    assert first.committed == second.committed


# The safeguard turned off, the run's settings, the seeds to try, and the text of the violation.
WITHOUT_SAFEGUARD = [
    (
        Guards(pre_vote=False),
        {"fault_kinds": ("alone",), "loss": 0.0, "fault_interval": 2.0, "crash_probability": 0.0},
        4,
        "unseated",
    ),
    (
        Guards(write_before_send=False),
        {"fault_kinds": ("crash",), "crash_probability": 0.05},
        60,
        "seed",
    ),  # whichever check fails first
    (Guards(grant_fresh_terms=False), {}, 20, "both act"),
    (
        Guards(check_token_on_apply=False),
        {"fault_kinds": ("owner", "crash", "pause")},
        60,
        "a write with token",
    ),
    (Guards(fencing=False), {}, 4, "effect of"),
    (Guards(count_from_request=False), {}, 60, "both act"),
    (
        Guards(recovery_query=False),
        {"fault_kinds": ("old disk", "both ways")},
        (1, 37, 43),
        "leader completeness",
    ),
]


@pytest.mark.parametrize(("guards", "settings", "seeds", "violation"), WITHOUT_SAFEGUARD)
def test_run_without_a_safeguard_shows_the_violation(
    guards: Guards, settings: dict[str, Any], seeds: int | tuple[int, ...], violation: str
) -> None:
    for seed in range(1, seeds + 1) if isinstance(seeds, int) else seeds:
        try:
            count = 3 if seed % 2 else 5
            plan = Plan(seed, replicas=count, guards=guards, **settings)
            replicas.run(plan)
        except InvariantViolation as error:
            if violation in str(error):
                return
    pytest.fail(f"no seed of {seeds} shows the violation")


def test_slow_disk_does_not_depose_the_leader() -> None:
    """Early messages keep the leader although each write takes 50 ms.

    Guards against repeated elections on a busy disk: seven in seven seconds without a leader.
    """

    def elections(seed: int, sends_early: bool) -> int:
        guards = Guards(send_early=sends_early)
        plan = Plan(
            seed, seconds=10.0, loss=0.0, duplication=0.0, crash_probability=0.0, guards=guards
        )
        run = replicas.World(replace(plan, fault_interval=1e9, write_ms=50.0))
        with contextlib.suppress(InvariantViolation):  # without a leader at the end
            run.run()
        return run.elections

    assert [elections(seed, True) for seed in (1, 2, 3)] == [1, 1, 1]
    assert sum(elections(seed, False) for seed in (1, 2, 3)) >= 6


def test_history_that_is_not_linearizable_is_detected() -> None:
    operation = linear.Operation
    linearizable = [
        operation(0, 10, True, 1),
        operation(5, 15, False, 0),
        operation(11, 20, False, 1),
        operation(12, linear.NEVER_ENDED, True, 2),
    ]
    assert linear.is_linearizable(linearizable)
    stale_read = [
        operation(0, 10, True, 1),
        operation(11, 20, True, 2),
        operation(21, 30, False, 1),
    ]
    assert linear.is_linearizable(stale_read) is False
    assert linear.is_linearizable(linearizable, 2) is None
    non_monotonic_reads = [
        operation(0, 50, True, 1),
        operation(10, 20, False, 1),
        operation(21, 30, False, 0),
    ]
    assert linear.is_linearizable(non_monotonic_reads) is False, (
        "a read that begins after another has returned a value must not return an older value"
    )
