"""Evaluation of a prober's probe results. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from mothstall.fleet.probing.health_hint import HealthHint
from mothstall.fleet.units import NS_PER_MS

UNHEALTHY_AFTER_FAILURES = 3  # consecutive; a single lost probe proves nothing
MAX_EVIDENCE_LENGTH = 200  # characters; keeps a hint below `MAX_HINT_BYTES`


@dataclass(slots=True)
class _BackendHealth:
    """Results of this prober's own probes of one backend.

    Attributes:
        state_since_ns: When `is_unhealthy` last changed.
        published_unhealthy: The state in the last published hint; None before the first hint.
    """

    state_since_ns: int
    consecutive_failures: int = 0
    probe_count: int = 0
    is_unhealthy: bool = False
    published_unhealthy: bool | None = None
    evidence: str = ""


@dataclass(slots=True)
class HealthChecker:
    """The results of one proxy's probes, by backend name."""

    backends: dict[str, _BackendHealth] = field(default_factory=dict)

    def retain(self, assigned: Iterable[str]) -> None:
        """Forget all backends but those that are assigned to this proxy."""
        names = set(assigned)
        self.backends = {name: health for name, health in self.backends.items() if name in names}

    def record_probe(self, backend: str, succeeded: bool, evidence: str, now_ns: int) -> None:
        """Record the result of one probe."""
        health = self.backends.setdefault(backend, _BackendHealth(state_since_ns=now_ns))
        health.probe_count += 1
        health.consecutive_failures = 0 if succeeded else health.consecutive_failures + 1
        is_unhealthy = health.consecutive_failures >= UNHEALTHY_AFTER_FAILURES
        if is_unhealthy != health.is_unhealthy:
            health.is_unhealthy = is_unhealthy
            health.state_since_ns = now_ns
        health.evidence = evidence[:MAX_EVIDENCE_LENGTH]

    def suspects_own_network(self) -> bool:
        """Return whether all probes fail, which points to the prober's own network."""
        probed = [health for health in self.backends.values() if health.probe_count]
        return bool(probed) and all(health.consecutive_failures for health in probed)

    def pending_hints(self, now_ns: int) -> Mapping[str, HealthHint]:
        """Return, by backend, the hints whose state differs from the published one.

        Empty while the prober suspects its own network.
        """
        if self.suspects_own_network():
            return {}
        return {
            backend: HealthHint(
                is_unhealthy=health.is_unhealthy,
                evidence=health.evidence,
                state_age_ms=(now_ns - health.state_since_ns) // NS_PER_MS,
                probe_count=health.probe_count,
            )
            for backend, health in self.backends.items()
            if health.probe_count and health.published_unhealthy != health.is_unhealthy
        }

    def mark_published(self, backend: str, is_unhealthy: bool) -> None:
        """Record that a hint of this state is in the store."""
        health = self.backends.get(backend)
        if health is not None:
            health.published_unhealthy = is_unhealthy
