"""The failover policy that an operator file configures."""

from __future__ import annotations

from mothstall.fleet.failover.policy import FailoverPolicy
from mothstall.fleet.operator_config import FailoverConfig

_NS_PER_MS = 1_000_000


def policy_from_config(config: FailoverConfig) -> FailoverPolicy:
    """Return the policy that an operator file's failover section configures."""
    return FailoverPolicy(
        regions={region.name: region.zones for region in config.regions},
        nearby_regions={region.name: region.nearest_regions for region in config.regions},
        reserve_fraction=config.capacity_reserve,
        capacity_per_weight=config.capacity_per_weight,
        recovery_step_ms=config.recovery_step_ns // _NS_PER_MS,
        recovery_wait_ms=config.recovery_wait_ns // _NS_PER_MS,
        forget_after_ms=config.calm_ns // _NS_PER_MS,
    )
