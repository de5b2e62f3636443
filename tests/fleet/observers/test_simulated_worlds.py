"""Tests of simulated observers: no seed violates an invariant, and each guard is necessary."""

from __future__ import annotations

import pytest

from mothstall.lab import tier
from mothstall.lab.tier import Guards, InvariantViolation, Plan


@pytest.mark.parametrize("first", range(1, 201, 10))
def test_simulated_worlds_violate_no_invariant(first: int) -> None:
    worlds = [tier.run(Plan(seed)) for seed in range(first, first + 10)]
    # Guards against simulations in which nothing happens: they must contain joins, moves,
    # rejections, snapshots, orphan sweeps and crashes.
    assert sum(world.joined for world in worlds) > 300 and sum(world.moved for world in worlds) > 30
    assert (
        sum(world.refused for world in worlds) > 5 and sum(world.snapshots for world in worlds) > 50
    )
    assert sum(world.swept for world in worlds) > 0 and sum(world.crashes for world in worlds) > 30


def test_faults_of_keepers_alone_remove_no_proxy() -> None:
    """Observers lose keepers, leaders change, copies lag; proxies and connections are faultless."""
    plans = [
        Plan(
            seed,
            loss=0.0,
            duplication=0.0,
            delayed=0.0,
            crash_probability=0.0,
            fault_kinds=tier.KEEPER_FAULTS,
        )
        for seed in range(1, 31)
    ]
    assert all(plan.proxies_are_faultless for plan in plans) and not Plan(1).proxies_are_faultless
    worlds = [tier.run(plan) for plan in plans]
    assert sum(world.moved for world in worlds) > 30 and sum(world.joined for world in worlds) > 500


def test_equal_seeds_give_equal_worlds() -> None:
    first, second = (tier.run(Plan(7)) for _ in range(2))
    assert (first.steps, first.joined, first.log) == (second.steps, second.joined, second.log)


@pytest.mark.parametrize(
    ("guards", "seeds", "message"),
    [
        (Guards(check_epoch_on_apply=False), 8, "two observers answer for"),
        (Guards(check_token_on_apply=False), 16, "after that lease was over"),
        (Guards(fenced=False), 4, "answers for"),
        (Guards(newer_only=False), 4, "was told version"),
        (Guards(bounded=False), 4, "a queue of"),
        (Guards(orphan_grace=False), 4, "was taken out"),
    ],
)
def test_removed_guard_is_detected(guards: Guards, seeds: int, message: str) -> None:
    for seed in range(1, seeds + 1):
        try:
            tier.run(Plan(seed, guards=guards))
        except InvariantViolation as error:
            if message in str(error):
                assert str(error).startswith(f"seed {seed} at ")
                return
    pytest.fail(f"none of {seeds} seeds detects the removed guard")
