"""Evaluation of a prober's probe results."""

from __future__ import annotations

from mothstall.fleet.probing.health_checker import HealthChecker
from mothstall.fleet.units import NS_PER_S


def test_prober_whose_probes_all_fail_suspects_its_own_network() -> None:
    checker = HealthChecker()
    for step in range(5):
        checker.record_probe("b1", False, "TimeoutError", step * NS_PER_S)
        checker.record_probe("b2", False, "TimeoutError", step * NS_PER_S)
    assert checker.suspects_own_network() and checker.pending_hints(5 * NS_PER_S) == {}
    checker.record_probe("b2", True, "200", 6 * NS_PER_S)
    hints = checker.pending_hints(6 * NS_PER_S)
    assert (
        hints["b1"].is_unhealthy
        and hints["b1"].state_age_ms == 4000
        and not hints["b2"].is_unhealthy
    )
    checker.mark_published("b1", True)
    assert list(checker.pending_hints(7 * NS_PER_S)) == ["b2"]
    checker.retain(["b2"])
    assert list(checker.backends) == ["b2"]
