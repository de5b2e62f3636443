"""Placement of the traffic that has to move onto zones with free capacity. Pure.

Traffic moves only into free capacity, less a reserve, and to near zones first. Traffic that no zone
has capacity for stays on a zone that still serves most of it; otherwise it overflows.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from mothstall.fleet.failover.capacity import has_utilization
from mothstall.fleet.failover.plan import (
    MIN_WEIGHT_CHANGE,
    OperatorOverrides,
    ZonePairState,
    pair_key,
)
from mothstall.fleet.failover.policy import FailoverPolicy
from mothstall.fleet.failover.zone_evidence import ZoneEvidence

# Fraction of good attempts from which an unhealthy zone keeps traffic that fits nowhere else.
MIN_OVERFLOW_SUCCESS_FRACTION = 0.5
# Requests a second that stand for unlimited capacity, so that ratios of capacities are finite.
UNLIMITED_CAPACITY = 1e12
# Tolerance in the comparison of an allowed fraction with one.
FRACTION_TOLERANCE = 1e-9
# Decimals of a planned load, in requests a second.
LOAD_DECIMALS = 2


@dataclass(slots=True, frozen=True)
class PlacementInput:
    """The inputs of a placement.

    Attributes:
        evidence: The assessment of the current reports.
        baseline: Where each zone's traffic goes in normal operation.
        pair_states: The state of each restricted pair of zones, by `pair_key`.
        capacities: Requests a second that each zone can serve.
        policy: The operator's settings.
        overrides: The operators' overrides.
        zones: All zones, sorted.
    """

    evidence: ZoneEvidence
    baseline: Mapping[str, Mapping[str, float]]
    pair_states: Mapping[str, ZonePairState]
    capacities: Mapping[str, float]
    policy: FailoverPolicy
    overrides: OperatorOverrides
    zones: Sequence[str]

    def allowed_fraction(self, origin: str, zone: str) -> float:
        """Return the fraction of its baseline traffic that one zone may send to another."""
        state = self.pair_states.get(pair_key(origin, zone))
        fraction = state.allowed_fraction if state else 1.0
        return fraction * (1.0 - self.overrides.evacuated_fractions.get(zone, 0.0))


@dataclass(slots=True)
class Placement:
    """The result of a placement.

    Attributes:
        weights: See `FailoverPlan`; only for origin zones whose traffic has to move.
        overflow_fractions: See `FailoverPlan`.
        planned_load: See `FailoverPlan`.
    """

    weights: dict[str, dict[str, float]] = field(default_factory=dict)
    overflow_fractions: dict[str, float] = field(default_factory=dict)
    planned_load: dict[str, float] = field(default_factory=dict)


def place_traffic(inputs: PlacementInput) -> Placement:
    """Keep the traffic that may stay, and place the rest within capacity, near zones first."""
    return _Placer(inputs).place()


def placement_tiers(origin: str, zones: Sequence[str], policy: FailoverPolicy) -> list[list[str]]:
    """Return all zones in tiers: the origin, its region, nearby regions in order, all others."""
    region = next((name for name, members in policy.regions.items() if origin in members), "")
    nearby = (region, *policy.nearby_regions.get(region, ()))
    candidates = [list(policy.regions.get(name, ())) for name in nearby]
    tiers = [[origin]]
    placed = {origin}
    for members in (*candidates, zones):
        tier = [zone for zone in sorted(members) if zone in zones and zone not in placed]
        if tier:
            tiers.append(tier)
            placed.update(tier)
    return tiers


class _Placer:
    """Computes one placement. All amounts are requests a second."""

    def __init__(self, inputs: PlacementInput) -> None:
        self._inputs = inputs
        # Placed traffic by origin zone and target zone.
        self._placed: dict[str, dict[str, float]] = {}
        # Traffic of each origin zone that is not placed yet.
        self._unplaced: dict[str, float] = {}
        self._load: dict[str, float] = {}
        self._free_capacity: dict[str, float] = {}

    def place(self) -> Placement:
        """Compute the placement."""
        self._keep_allowed()
        self._shed_overload()
        self._select_moving()
        self._reserve_capacity()
        self._fill_tiers()
        self._return_overflow()
        return self._result()

    def _keep_allowed(self) -> None:
        """Place the allowed fraction of each origin's baseline traffic."""
        inputs = self._inputs
        for origin, request_rate in sorted(inputs.evidence.request_rates.items()):
            allowed = {
                zone: request_rate * weight * inputs.allowed_fraction(origin, zone)
                for zone, weight in inputs.baseline[origin].items()
            }
            self._placed[origin] = allowed
            self._unplaced[origin] = request_rate - sum(allowed.values())
        self._load = {
            zone: sum(row.get(zone, 0.0) for row in self._placed.values()) for zone in inputs.zones
        }

    def _shed_overload(self) -> None:
        """Remove the load beyond each zone's capacity, from all origins in proportion."""
        for zone in self._inputs.zones:
            capacity = self._inputs.capacities[zone]
            if self._load[zone] <= capacity or not self._is_capacity_known(zone):
                continue
            excess_fraction = 1.0 - capacity / self._load[zone]
            for origin, row in self._placed.items():
                excess = row.get(zone, 0.0) * excess_fraction
                if excess > 0:
                    row[zone] -= excess
                    self._unplaced[origin] += excess
            self._load[zone] = capacity

    def _is_capacity_known(self, zone: str) -> bool:
        """Whether a zone's capacity limits the traffic that it serves already.

        A capacity that was inferred from the highest served rate alone does not.
        """
        inputs = self._inputs
        return (
            inputs.policy.capacity_per_weight > 0.0
            or has_utilization(inputs.evidence)
            or inputs.capacities[zone] == 0.0
        )

    def _select_moving(self) -> None:
        """Drop the origins of whose traffic at most `MIN_WEIGHT_CHANGE` has to move."""
        request_rates = self._inputs.evidence.request_rates
        self._unplaced = {
            origin: amount
            for origin, amount in self._unplaced.items()
            if amount > MIN_WEIGHT_CHANGE * request_rates[origin]
        }

    def _reserve_capacity(self) -> None:
        usable_fraction = 1.0 - self._inputs.policy.reserve_fraction
        self._free_capacity = {
            zone: max(0.0, self._inputs.capacities[zone] * usable_fraction - self._load[zone])
            for zone in self._inputs.zones
        }

    def _fill_tiers(self) -> None:
        """Place the remaining traffic tier by tier, for all origins at once."""
        inputs = self._inputs
        tiers = {
            origin: placement_tiers(origin, inputs.zones, inputs.policy)
            for origin in self._unplaced
        }
        for index in range(max((len(rows) for rows in tiers.values()), default=0)):
            self._fill_tier(
                {origin: rows[index] for origin, rows in tiers.items() if index < len(rows)}
            )

    def _fill_tier(self, targets: Mapping[str, Sequence[str]]) -> None:
        """Divide each zone's free capacity among the origins in proportion to their demand."""
        demand: dict[str, dict[str, float]] = {}
        for origin, zones in targets.items():
            if self._unplaced[origin] > 0:
                for zone, amount in self._split_demand(origin, zones).items():
                    demand.setdefault(zone, {})[origin] = amount
        for zone, rows in sorted(demand.items()):
            granted_fraction = min(1.0, self._free_capacity[zone] / sum(rows.values()))
            for origin, amount in rows.items():
                self._move(origin, zone, amount * granted_fraction)

    def _split_demand(self, origin: str, zones: Sequence[str]) -> dict[str, float]:
        """Split an origin's unplaced traffic over zones in proportion to their free capacity."""
        free = {
            zone: min(self._free_capacity[zone], UNLIMITED_CAPACITY)
            for zone in zones
            if self._free_capacity[zone] > 0
            and self._inputs.allowed_fraction(origin, zone) >= 1.0 - FRACTION_TOLERANCE
        }
        total = sum(free.values())
        return {zone: self._unplaced[origin] * capacity / total for zone, capacity in free.items()}

    def _move(self, origin: str, zone: str, amount: float) -> None:
        row = self._placed[origin]
        row[zone] = row.get(zone, 0.0) + amount
        self._unplaced[origin] = max(0.0, self._unplaced[origin] - amount)
        self._load[zone] += amount
        self._free_capacity[zone] = max(0.0, self._free_capacity[zone] - amount)

    def _result(self) -> Placement:
        placement = Placement(
            planned_load={zone: round(load, LOAD_DECIMALS) for zone, load in self._load.items()}
        )
        for origin in self._unplaced:
            row = self._placed[origin]
            total = sum(row.values()) + self._unplaced[origin]
            if total > 0:
                weights = {
                    zone: amount / total for zone, amount in sorted(row.items()) if amount > 0
                }
                placement.weights[origin] = weights
                placement.overflow_fractions[origin] = max(0.0, 1.0 - sum(weights.values()))
        return placement

    def _return_overflow(self) -> None:
        """Return traffic that fits nowhere to the unhealthy zones that still serve most of it.

        Guards against two origins that use the same free capacity: each zone's free capacity is
        divided in proportion to the demand, and returned traffic is added to the zone's load.
        """
        for zone in self._inputs.zones:
            demand = {origin: self._returnable(origin, zone) for origin in self._unplaced}
            total = sum(demand.values())
            free = max(0.0, self._inputs.capacities[zone] - self._load[zone])
            if total > 0 and free > 0:
                granted_fraction = min(1.0, free / total)
                for origin, amount in demand.items():
                    self._move(origin, zone, amount * granted_fraction)

    def _returnable(self, origin: str, zone: str) -> float:
        """Return how much of the unplaced traffic may return to a zone that it was moved off."""
        inputs = self._inputs
        weight = inputs.baseline[origin].get(zone, 0.0)
        taken_fraction = 1.0 - inputs.allowed_fraction(origin, zone)
        taken = weight * taken_fraction * inputs.evidence.request_rates[origin]
        success_fraction = inputs.evidence.success_fraction(origin, zone)
        if taken <= 0 or success_fraction < MIN_OVERFLOW_SUCCESS_FRACTION:
            return 0.0
        return min(self._unplaced[origin], taken)
