"""Health and traffic of each zone by all current reports together. Pure.

Evidence is weighed by its source, as suspicion is in SWIM (Das and others, 2002): a zone is
unhealthy for every zone if its own proxies, or those of two other zones, find it unhealthy. If only
the proxies of one other zone do, the path between the two zones is taken to be at fault.
"""

from __future__ import annotations

from dataclasses import dataclass, field

# Minimum attempts from one zone to another for an assessment.
MIN_ATTEMPTS = 6.0


@dataclass(slots=True)
class ZoneAssessment:
    """Assessment of one zone by the proxies of another, or by its own proxies.

    Attributes:
        attempts: Attempts, capped for each proxy.
        bad_attempts: Attempts among them that were not good.
        unhealthy_fraction: Fraction of the traffic that should leave the zone, 0 to 1.
    """

    attempts: float = 0.0
    bad_attempts: float = 0.0
    unhealthy_fraction: float = 0.0


@dataclass(slots=True)
class ZoneEvidence:
    """Combined measurements of all current reports.

    Attributes:
        request_rates: Client requests a second, by the zone that they arrive in.
        attempt_rates: Attempts a second, by origin zone and target zone.
        warm_weights: Weight of the warm backends, by zone.
        utilization: Utilization that backends reported, by zone, if they report it.
        assessments: By the reporting zone and the assessed zone.
        isolated_zones: Zones that are cut off from the others.
        proxy_counts: Number of reporting proxies, by zone.
        on_plan_fractions: Fraction of proxies that follow the current plan, by zone.
    """

    request_rates: dict[str, float] = field(default_factory=dict)
    attempt_rates: dict[str, dict[str, float]] = field(default_factory=dict)
    warm_weights: dict[str, float] = field(default_factory=dict)
    utilization: dict[str, float] = field(default_factory=dict)
    assessments: dict[str, dict[str, ZoneAssessment]] = field(default_factory=dict)
    isolated_zones: set[str] = field(default_factory=set)
    proxy_counts: dict[str, int] = field(default_factory=dict)
    on_plan_fractions: dict[str, float] = field(default_factory=dict)

    @property
    def zones(self) -> list[str]:
        """All zones that a report names, sorted."""
        assessed = {zone for targets in self.assessments.values() for zone in targets}
        return sorted({*self.request_rates, *self.warm_weights, *assessed})

    def global_unhealthy_fraction(self, zone: str) -> float:
        """How unhealthy a zone is for all zones.

        The higher of the fraction that its own proxies find and the second highest that other
        zones find; isolated zones are left out.
        """
        own = self._assessment(zone, zone).unhealthy_fraction
        others = sorted(
            (
                targets[zone].unhealthy_fraction
                for origin, targets in self.assessments.items()
                if origin != zone and origin not in self.isolated_zones and zone in targets
            ),
            reverse=True,
        )
        return max(own, others[1] if len(others) > 1 else 0.0)

    def unhealthy_fraction(self, origin: str, zone: str) -> float:
        """How unhealthy a zone is for another one's traffic, or its own; 0 if unknown."""
        assessed = self._assessment(origin, zone).unhealthy_fraction
        if origin == zone and self.has_enough_attempts(origin, zone):
            return assessed  # its own proxies reach it, even if those of other zones cannot
        return max(assessed, self.global_unhealthy_fraction(zone))

    def has_enough_attempts(self, origin: str, zone: str) -> bool:
        """Whether an assessment rests on enough attempts to count."""
        return self._assessment(origin, zone).attempts >= MIN_ATTEMPTS

    def success_fraction(self, origin: str, zone: str) -> float:
        """Fraction of attempts from one zone to another that are good; 0 where there were none."""
        assessment = self._assessment(origin, zone)
        if not assessment.attempts:
            return 0.0
        return 1.0 - assessment.bad_attempts / assessment.attempts

    def _assessment(self, origin: str, zone: str) -> ZoneAssessment:
        return self.assessments.get(origin, {}).get(zone, ZoneAssessment())
