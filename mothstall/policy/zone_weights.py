"""The order in which the rotation searches groups and zones, by the region's plan or own zone."""

from __future__ import annotations

from mothstall import interface as io
from mothstall.policy.context import Context
from mothstall.policy.endpoints import EndpointList

OWN_ZONE_FEE = 0.05  # cross-zone fee from which the own zone is always searched first
MAX_REJECTIONS_DUE = 8.0  # rejections due from which requests of any kind are rejected
MAX_TURNS_DUE = 2.0  # upper bound of a zone's deficit or surplus, in turns

SearchOrder = list[tuple[int, set[int]]]  # sides, each with its zones; an empty set means all zones


class ZoneWeights:
    """Weights by zone from the region's plan, and each zone's deficit of turns.

    Attributes:
        weights: The current weights; they expire at `until_ns`.
        follows_plan: Whether the current request follows the weights.
    """

    def __init__(self, context: Context, endpoints: EndpointList) -> None:
        self._context = context
        self._endpoints = endpoints
        self.weights = io.ZoneWeights((), 0.0, 0.0, 0)
        self._turns_due = [0.0]  # by zone, its deficit of turns; negative: a surplus
        self._follow_credit = 0.0  # a request follows the weights if this credit reaches 1
        self._own_zone_credit = 0.0  # a request prefers the own zone if this credit reaches 1
        self._rejections_due = 0.0
        own_zone = context.settings.zone
        self._any_zone: list[SearchOrder] = []
        self._own_zone_first: list[SearchOrder] = []
        for side in (0, 1):
            sides = (side, 1 - side)
            self._any_zone.append([(each, set()) for each in sides])
            self._own_zone_first.append(
                [(each, zones) for each in sides for zones in ({own_zone}, set[int]())]
            )

    @property
    def follows_plan(self) -> bool:
        """Whether the current request follows the weights."""
        return self._follow_credit >= 1.0

    def update(self, weights: io.ZoneWeights) -> None:
        """Replace the weights."""
        self.weights = weights
        self._turns_due = [0.0 for _ in weights.weights]

    def is_active(self) -> bool:
        """Return whether the weights apply now; the health of backends takes precedence."""
        return self.weights.strength > 0 and self._context.now_ns < self.weights.until_ns

    def excluded_zones(self) -> set[int]:
        """Return zones without traffic by the plan, whose backends are not selected as members."""
        if not (self._endpoints.is_sparse and self.is_active()):
            return set()
        return {zone for zone, part in enumerate(self.weights.weights) if not part}

    def search_order(self, own_side: int) -> SearchOrder:
        """Return the sides and zones to search, in order, for a request of the side `own_side`."""
        self._follow_credit = (
            self._follow_credit % 1.0 + self.weights.strength if self.is_active() else 0.0
        )
        if self.follows_plan:
            return self._planned_order(own_side)
        # Guards against overloaded zones: small subsets of many proxies cannot both stay in their
        # own zones and cover all backends evenly. A sparse list gets no preference by zone.
        own_zone_fraction = min(1.0, self._context.settings.cross_zone_fee / OWN_ZONE_FEE)
        self._own_zone_credit = self._own_zone_credit % 1.0 + own_zone_fraction * (
            not self._endpoints.is_sparse
        )
        return (self._own_zone_first if self._own_zone_credit >= 1.0 else self._any_zone)[own_side]

    def _planned_order(self, own_side: int) -> SearchOrder:
        """Return the search order of a request that follows the weights.

        First the zone with the greatest deficit of turns, then zones with traffic, then all zones.
        """
        zones_with_traffic = {zone for zone, part in enumerate(self.weights.weights) if part > 0}
        own_zone = self._context.settings.zone
        first = max(zones_with_traffic, key=self._turns_due.__getitem__, default=own_zone)
        order: SearchOrder = []
        for zones in ({first}, zones_with_traffic, set[int]()):
            order += [(own_side, zones), (1 - own_side, zones)]
        return order

    def count_attempt(self, zone: int) -> None:
        """Update each zone's deficit of turns after an attempt to `zone`."""
        if zone >= len(self._turns_due) or not self.is_active():
            return
        parts = self.weights.weights
        self._turns_due = [
            min(MAX_TURNS_DUE, due + part) for due, part in zip(self._turns_due, parts, strict=True)
        ]
        self._turns_due[zone] = max(-MAX_TURNS_DUE, self._turns_due[zone] - sum(parts))

    def must_reject(self, *, exceeds_quota: bool) -> bool:
        """Count a request; return whether to reject it because traffic exceeds all capacity.

        Requests beyond a quota, or below the greatest priority weight, are rejected first.
        """
        rejected_part = self.weights.rejected_part * self.is_active()
        self._rejections_due = min(MAX_REJECTIONS_DUE + 1.0, self._rejections_due + rejected_part)
        if self._rejections_due < (1.0 if exceeds_quota else MAX_REJECTIONS_DUE):
            return False
        self._rejections_due -= 1.0
        return True
