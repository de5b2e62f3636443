"""Schedule by which a proxy applies routing weights to its decisions. Pure."""

from __future__ import annotations

from mothstall.fleet.failover.transition import PlanTransition, RoutingWeights

# Milliseconds between two checks of the weights: a tenth of the default spread.
WEIGHTS_INTERVAL_MS = 100
# Milliseconds after which weights expire unless they are applied again. Guards against weights that
# stay in force after their agent failed.
WEIGHTS_LIFETIME_MS = 2000


class RoutingWeightsFeed:
    """Reads the weights of a transition, and selects those that have to be applied.

    Attributes:
        transition: The change from plan to plan.
        applied: The weights that were applied last.
    """

    def __init__(self, transition: PlanTransition) -> None:
        """Start with nothing applied.

        Args:
            transition: The source of the weights.
        """
        self.transition = transition
        self.applied = RoutingWeights()
        self._applied_at_ms = 0
        self._checked_at_ms = 0

    def current(self, now_ms: int, contact_age_ms: int) -> RoutingWeights | None:
        """Return the weights in force; None if the last check was under `WEIGHTS_INTERVAL_MS` ago.

        Args:
            now_ms: The time.
            contact_age_ms: See `PlanTransition.weights_at`.
        """
        if now_ms - self._checked_at_ms < WEIGHTS_INTERVAL_MS:
            return None
        self._checked_at_ms = now_ms
        return self.transition.weights_at(now_ms, contact_age_ms)

    def must_apply(self, weights: RoutingWeights, now_ms: int) -> bool:
        """Whether weights differ from the applied ones, or the applied ones expire soon."""
        is_expiring = now_ms - self._applied_at_ms > WEIGHTS_LIFETIME_MS // 2
        return (
            (weights.strength > 0 and is_expiring)
            or weights.plan_number != self.applied.plan_number
            or not weights.is_close_to(self.applied)
        )

    def mark_applied(self, weights: RoutingWeights, now_ms: int) -> None:
        """Record that weights were applied."""
        self.applied = weights
        self._applied_at_ms = now_ms
