"""Effect of drains on the health in the endpoint list."""

from __future__ import annotations

from mothstall.fleet.drains import ActiveDrains
from mothstall.interface import Health
from mothstall.store.state.rows import Drain, DrainKind


def test_drain_takes_precedence_over_the_endpoint_list() -> None:
    drains = ActiveDrains.merge(
        {"box:b1": Drain(DrainKind.BACKEND, "b1", "me", "", "")},
        [Drain(DrainKind.ZONE, "z2", "me", "", "")],
    )
    assert drains.effective_health("b1", "z1", Health.READY) == Health.DRAINING
    assert drains.effective_health("b9", "z2", Health.READY) == Health.DRAINING
    assert drains.effective_health("b9", "z1", Health.READY) == Health.READY
    assert drains.effective_health("b1", "z1", Health.GONE) == Health.GONE
