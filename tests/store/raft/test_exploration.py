"""Tests by exhaustive exploration of the consensus states within small bounds."""

from __future__ import annotations

import pytest

from mothstall.lab import explore
from mothstall.lab.replicas import InvariantViolation

SMALL_BOUNDS = [
    explore.Bounds(terms=2, entries=1, crashes=1, candidates=("k1", "k2")),
    explore.Bounds(terms=1, entries=1, crashes=1, candidates=("k1", "k2"), keeps_link_order=False),
    explore.Bounds(terms=3, entries=0, crashes=0, candidates=("k1", "k2"), max_batch_bytes=1),
]


@pytest.mark.parametrize("bounds", SMALL_BOUNDS)
def test_safety_holds_in_every_state_within_small_bounds(bounds: explore.Bounds) -> None:
    """Covers all orders of messages, timeouts and crashes; docs/results.md has larger bounds."""
    found = explore.explore(bounds)
    assert found.whole
    assert found.states > 30_000
    assert found.leaders > 20_000
    assert found.missed_odds < 1e-6
    assert bool(found.committed) is bool(bounds.entries)


def test_commit_without_an_entry_of_the_own_term_violates_safety() -> None:
    """The search finds Figure 8 of the Raft paper: four terms, one entry in each message."""
    bounds = explore.Bounds(
        terms=4,
        entries=0,
        crashes=0,
        candidates=("k1", "k2"),
        max_batch_bytes=1,
        commit_only_own_term=False,
    )
    with pytest.raises(InvariantViolation, match=r"state-machine safety|leader completeness"):
        explore.explore(bounds)
