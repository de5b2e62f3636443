"""Transition of one proxy to a new plan, and fade-out of a plan without contact. Pure.

Proxies start a transition at different times within a configured spread and change their weights in
small steps, so that the fleet never moves at one instant. A plan that is older than the adopted one
is ignored. Without contact to the keepers the last plan stays in force for a configured time, then
fades out until the proxy routes by its own measurements alone.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import xxhash

from mothstall.fleet.failover.plan import FailoverPlan

# Weights that differ by less from the ones applied last are not applied again.
MIN_APPLIED_CHANGE = 0.02
# Range of the hash that spreads the proxies' start delays.
_HASH_RANGE = 2**64


@dataclass(slots=True, frozen=True)
class RoutingWeights:
    """The locality weights of one proxy.

    Attributes:
        plan_number: The plan that the weights come from; 0 before the first and in a transition.
        weights: Fraction of the proxy's traffic by the zone that serves it.
        overflow_fraction: Fraction for which no zone has capacity.
        strength: Influence of the weights. 0: routing is free, as in normal operation; 1: they
            decide which zone a request goes to first.
    """

    plan_number: int = 0
    weights: dict[str, float] = field(default_factory=dict)
    overflow_fraction: float = 0.0
    strength: float = 0.0

    def is_close_to(self, other: RoutingWeights) -> bool:
        """Whether the difference is too small to be applied."""
        has_same_strength = (self.strength > 0) == (other.strength > 0)
        has_same_overflow = (self.overflow_fraction > 0) == (other.overflow_fraction > 0)
        if not has_same_strength or not has_same_overflow:
            return False
        differences = [
            abs(self.weights.get(zone, 0.0) - other.weights.get(zone, 0.0))
            for zone in {*self.weights, *other.weights}
        ]
        differences.append(abs(self.overflow_fraction - other.overflow_fraction))
        differences.append(abs(self.strength - other.strength))
        return max(differences) < MIN_APPLIED_CHANGE


@dataclass(slots=True, frozen=True)
class _Change:
    """A gradual change from one set of weights to another."""

    before: RoutingWeights = field(default_factory=RoutingWeights)
    after: RoutingWeights = field(default_factory=RoutingWeights)
    start_ms: int = 0


class PlanTransition:
    """Transitions of one proxy from plan to plan. Times are milliseconds of its monotonic clock."""

    def __init__(
        self,
        proxy: str,
        zone: str,
        spread_ms: int,
        hold_ms: int,
        fade_ms: int,
        is_immediate: bool = False,
        never_expires: bool = False,
    ) -> None:
        """Start without a plan.

        Args:
            proxy: Name of the proxy.
            zone: The zone that it runs in.
            spread_ms: Milliseconds within which all proxies complete a transition.
            hold_ms: Milliseconds without contact for which a plan stays fully in force.
            fade_ms: Milliseconds after the hold in which the plan fades out.
            is_immediate: Disables the spread, for tests and for the lab's ideal planner.
            never_expires: Disables the end of the hold and the fade-out, for the same uses.
        """
        self.proxy = proxy
        self.zone = zone
        self.spread_ms = spread_ms
        self.hold_ms = hold_ms
        self.fade_ms = fade_ms
        self.is_immediate = is_immediate
        self.never_expires = never_expires
        self.plan_number = 0
        self._change = _Change()

    def adopt(self, plan: FailoverPlan, now_ms: int) -> bool:
        """Start the transition to a plan.

        Returns:
            Whether the plan is newer than the last adopted one; otherwise nothing changes.
        """
        if plan.number <= self.plan_number:
            return False
        before = self._interpolate(now_ms)
        row = plan.weights.get(self.zone)
        if row:
            overflow_fraction = plan.overflow_fractions.get(self.zone, 0.0)
            after = RoutingWeights(plan.number, dict(row), overflow_fraction, 1.0)
        else:
            # Free routing has no weights of its own: the previous weights lose strength instead.
            after = RoutingWeights(plan.number, before.weights, before.overflow_fraction, 0.0)
        if before.strength == 0.0:
            # From free routing, the weights of the plan gain strength.
            before = RoutingWeights(before.plan_number, after.weights, after.overflow_fraction, 0.0)
        self._change = _Change(before, after, now_ms + self._start_delay_ms(plan.number))
        self.plan_number = plan.number
        return True

    def weights_at(self, now_ms: int, contact_age_ms: int) -> RoutingWeights:
        """Return the weights that are in force.

        Args:
            now_ms: The time.
            contact_age_ms: Milliseconds since the last contact with a keeper that has a leader;
                negative before the first contact.
        """
        current = self._interpolate(now_ms)
        expired_ms = contact_age_ms - self.hold_ms
        if self.never_expires or (contact_age_ms >= 0 and expired_ms <= 0):
            return current
        remaining = 0.0
        if contact_age_ms >= 0:
            remaining = max(0.0, 1.0 - expired_ms / max(1, self.fade_ms))
        return RoutingWeights(
            current.plan_number,
            current.weights,
            current.overflow_fraction,
            current.strength * remaining,
        )

    def _start_delay_ms(self, plan_number: int) -> int:
        """Return a delay within the first half of the spread, by a hash of proxy and plan."""
        if self.is_immediate:
            return 0
        digest = xxhash.xxh3_64_intdigest(f"{self.proxy}\0{plan_number}".encode())
        return int(digest / _HASH_RANGE * self.spread_ms / 2)

    def _interpolate(self, now_ms: int) -> RoutingWeights:
        """Return the weights interpolated at `now_ms`; a transition takes half of the spread."""
        before = self._change.before
        after = self._change.after
        duration_ms = max(1, self.spread_ms // 2)
        progress = min(1.0, max(0.0, (now_ms - self._change.start_ms) / duration_ms))
        if self.is_immediate:
            progress = 1.0

        def interpolate(old: float, new: float) -> float:
            return (1 - progress) * old + progress * new

        weights = {
            zone: interpolate(before.weights.get(zone, 0.0), after.weights.get(zone, 0.0))
            for zone in sorted({*before.weights, *after.weights})
        }
        return RoutingWeights(
            plan_number=after.plan_number if progress >= 1.0 else 0,
            weights={zone: weight for zone, weight in weights.items() if weight > 0},
            overflow_fraction=interpolate(before.overflow_fraction, after.overflow_fraction),
            strength=interpolate(before.strength, after.strength),
        )
