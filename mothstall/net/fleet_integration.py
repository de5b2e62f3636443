"""Connects the proxy to the fleet's agent: drains, health hints, zone weights and statistics.

Used only where an operator file is given. The agent tracks drains by backend name. The decider
receives discovery's updates with the drains applied, and a delta when the drains change. The
decider never waits for the agent.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import replace

from mothstall.config import Names
from mothstall.fleet.agent.agent import Agent
from mothstall.fleet.agent.backend_endpoint import BackendEndpoint
from mothstall.fleet.failover.transition import RoutingWeights
from mothstall.fleet.operator_config import OperatorConfig
from mothstall.interface import Health, HealthHint, Settings, UpdateScope, ZoneWeights
from mothstall.net import protocol
from mothstall.net.backend_side.messages import AttemptEnded
from mothstall.net.clock import Clock
from mothstall.net.counters import Counters
from mothstall.net.decider_messages import PeerProcessEvent
from mothstall.net.discovery.discovery import EndpointsUpdated
from mothstall.net.metrics import RequestMetrics

NS_PER_MS = 1_000_000


class FleetIntegration:
    """Applies drains to endpoint updates, and gives the agent's failover access to the traffic.

    Updates with the drains applied are passed to `report`.

    Raises:
        OSError: the agent can't be created.
        ValueError: data that the agent persisted is unreadable.
    """

    def __init__(
        self,
        operator: OperatorConfig,
        name: str,
        names: Names,
        settings: Settings,
        *,
        loop: asyncio.AbstractEventLoop,
        counters: Counters,
        clock: Clock,
        metrics: RequestMetrics,
        report: Callable[[EndpointsUpdated | PeerProcessEvent], None],
    ) -> None:
        self._names = names
        self._report = report
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._util_index = (
            settings.load_names.index("util") if "util" in settings.load_names else -1
        )
        self._zone_by_backend: dict[int, str] = {}  # by backend number, while listed
        self._members: dict[str, protocol.ListedEndpoint] = {}
        self._reported_health: dict[str, Health] = {}
        self._version = 0
        self.agent = Agent(
            operator,
            name,
            loop=loop,
            on_change=self._on_agent_change,
            may_probe=settings.may_probe,
            proxy_traffic=self,
            classes=names.classes,
            latency_objectives_ns=[row.objective_ns for row in settings.classes],
        )
        counters.extra = self.agent.metrics

    def _zone_name(self, member: protocol.ListedEndpoint) -> str:
        zones = self._names.zones
        return zones[member.endpoint.zone] if member.endpoint.zone < len(zones) else ""

    def _apply_drains(self, member: protocol.ListedEndpoint) -> protocol.ListedEndpoint:
        health = self.agent.active_drains().effective_health(
            member.id, self._zone_name(member), member.endpoint.health
        )
        self._reported_health[member.id] = health
        return replace(member, endpoint=replace(member.endpoint, health=health))

    def endpoints_updated(self, message: EndpointsUpdated) -> None:
        """Pass an update of discovery on with the drains applied."""
        update = message.update
        if update is None:
            self._report(message)
            return
        self._version = max(self._version, update.version)
        if message.scope != UpdateScope.DELTA:
            self._members = {}
            self._reported_health = {}
        for member in update.members:
            self._members[member.id] = member
        members = [self._apply_drains(member) for member in update.members]
        self._members = {k: m for k, m in self._members.items() if m.endpoint.health != Health.GONE}
        self.agent.backends = {
            key: BackendEndpoint(m.address, self._zone_name(m)) for key, m in self._members.items()
        }
        self._zone_by_backend = {
            m.endpoint.backend: self._zone_name(m) for m in self._members.values()
        }
        self._report(EndpointsUpdated(message.scope, replace(update, members=members)))

    def _on_agent_change(self) -> None:
        """Report backends whose drain state has changed, as a delta, and new health hints."""
        drained = self.agent.active_drains()
        changed_members = []
        for member in self._members.values():
            health = drained.effective_health(
                member.id, self._zone_name(member), member.endpoint.health
            )
            if health != self._reported_health.get(member.id):
                changed_members.append(self._apply_drains(member))
        if changed_members:
            self._report(
                EndpointsUpdated(
                    UpdateScope.DELTA, protocol.ParsedUpdate(self._version, False, changed_members)
                )
            )
        for name in self.agent.take_unhealthy_backends():
            if name in self._members:  # a hint may name a backend that is not listed
                self._report(PeerProcessEvent(HealthHint(self._members[name].endpoint.backend)))

    # The interface through which the agent's failover observes and shifts traffic

    def attempt_ended(self, message: AttemptEnded, cls: int) -> None:
        """Record the result of an attempt in the failover's statistics by zone."""
        zone = self._zone_by_backend.get(message.backend)
        if zone and self.agent.failover:
            util = (
                message.load[self._util_index]
                if 0 <= self._util_index < len(message.load)
                else -1.0
            )
            self.agent.failover.record_attempt(zone, cls, message.result, message.latency_ns, util)

    def warm_weights(self) -> Mapping[str, float]:
        """The total weight of each zone's ready backends, reduced for those that are warming up."""
        weights = dict.fromkeys(self._zone_by_backend.values(), 0.0)
        settings = self._settings
        now = self._clock.now()
        for member in self._members.values():
            entry = member.endpoint
            if self._reported_health.get(member.id) == Health.READY:
                age_ns = (
                    max(0, now - entry.started_ns) if entry.started_ns else settings.slow_start_ns
                )
                warmth = min(1.0, age_ns / max(1, settings.slow_start_ns))
                initial = settings.initial_warmth
                warm_fraction = initial + (1 - initial) * warmth if warmth < 1.0 else 1.0
                weights[self._zone_name(member)] += warm_fraction * (
                    entry.weight if entry.weight > 0 else 1.0
                )
        return weights

    def request_totals(self) -> tuple[int, int]:
        """Requests accepted so far, and those of them that were rejected."""
        return self._metrics.totals

    def apply_weights(self, weights: RoutingWeights, lifetime_ms: int) -> None:
        """Pass the zones' weights to the decider; they expire after `lifetime_ms`."""
        zone_weights = tuple(weights.weights.get(zone, 0.0) for zone in self._names.zones)
        until_ns = self._clock.now() + lifetime_ms * NS_PER_MS
        self._report(
            PeerProcessEvent(
                ZoneWeights(zone_weights, weights.overflow_fraction, weights.strength, until_ns)
            )
        )
