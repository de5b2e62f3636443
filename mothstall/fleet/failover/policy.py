"""The settings of failover planning. Pure."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class FailoverPolicy:
    """The settings of failover planning.

    Attributes:
        regions: Zones by their region.
        nearby_regions: By region, the others in order of preference.
        reserve_fraction: Fraction of a zone's capacity that stays free when traffic is moved there.
        capacity_per_weight: Requests a second for one unit of warm backend weight; 0: as measured.
        recovery_step_ms: Minimum milliseconds of each step of a recovery ramp.
        recovery_wait_ms: Milliseconds before the first recovery ramp; doubles with each failed
            one.
        forget_after_ms: Milliseconds after which the state of a healthy pair of zones is discarded.
        is_capacity_limited: False disables the capacity limit on moved traffic, for tests.
        has_recovery_backoff: False disables the wait before a recovery ramp, for tests.
    """

    regions: Mapping[str, tuple[str, ...]] = field(default_factory=dict)
    nearby_regions: Mapping[str, tuple[str, ...]] = field(default_factory=dict)
    reserve_fraction: float = 0.05
    capacity_per_weight: float = 0.0
    recovery_step_ms: int = 2000
    recovery_wait_ms: int = 2000
    forget_after_ms: int = 30_000
    is_capacity_limited: bool = True
    has_recovery_backoff: bool = True
