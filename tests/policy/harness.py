"""Builders of settings and events, and a driver for a balancer, for tests of the policy."""

from __future__ import annotations

from typing import Any

from mothstall import interface as io
from mothstall.interface import NS, AttemptResult, Effect, Health, KeyScope, UpdateScope
from mothstall.policy import Balancer

MS = NS // 1000
START = 1000 * NS


def request_class(
    effect: Effect = Effect.IDEMPOTENT, group: KeyScope = KeyScope.ALL, priority_weight: float = 1.0
) -> io.RequestClass:
    return io.RequestClass(500 * MS, 2 * NS, priority_weight, 0.3, effect, group, NS, False)


def settings(**changes: Any) -> io.Settings:
    base: dict[str, Any] = {
        "classes": (
            request_class(),
            request_class(Effect.IDEMPOTENT_WITH_KEY),
            request_class(Effect.NON_IDEMPOTENT, priority_weight=5.0),
        ),
        "tenants": (),
        "zone": 0,
        "position": 0,
        "proxies": 2,
        "discovery_push": True,
        "poll_within_ns": 10 * NS,
        "drain_grace_ns": NS // 2,
        "initial_warmth": 0.1,
        "slow_start_ns": 20 * NS,
        "overload_multiple": 3.0,
        "overload_window_ns": 2 * NS,
        "max_attempts": 4,
        "may_hedge": True,
        "may_cancel": True,
        "may_probe": True,
        "retry_after": True,
        "max_retry_after_ns": NS,
        "connect_timeout_ns": 100 * MS,
        "tick_ns": 5 * MS,
        "cross_zone_fee": 0.0,
        "probe_fee": 0.0,
        "warm_keys": False,
        "load_names": (),
        "load_by_probes": False,
    }
    base.update(changes)
    return io.Settings(**base)


def entry(
    backend: int, zone: int = 0, health: Health = Health.READY, started: int = 0, cell: int = 0
) -> io.Endpoint:
    return io.Endpoint(backend, zone, 0, cell, health, 1.0, started)


class Driver:
    """Drives one balancer with a simulated clock and records its actions."""

    def __init__(
        self,
        backends: int = 4,
        seed: int = 7,
        entries: list[io.Endpoint] | None = None,
        **changes: Any,
    ) -> None:
        self.balancer = Balancer(settings(**changes), seed)
        self.now = START
        self.log: list[tuple[int, io.Action]] = []
        self.next_id = 1
        self.attempts: dict[int, int] = {}
        rows = entries if entries is not None else [entry(i + 1) for i in range(backends)]
        self.feed(io.EndpointUpdate(UpdateScope.CACHED, 1, rows))

    def feed(self, *events: io.Event) -> list[io.Action]:
        acts = self.balancer.handle(self.now, list(events))
        self.log += [(self.now, a) for a in acts]
        return acts

    def wait(self, ns: int, step: int = 10 * MS) -> list[io.Action]:
        """Advance the clock by `ns`, in steps, with timer events only; return the actions."""
        acts: list[io.Action] = []
        end = self.now + ns
        while self.now < end:
            self.now = min(end, self.now + step)
            acts += self.feed(io.TimerFired(self.now))
        return acts

    def arrive(
        self, class_index: int = 0, left: int = 2 * NS, tenant: int = 0, cost: int = 0
    ) -> tuple[int, list[io.Action]]:
        rid = self.next_id
        self.next_id += 1
        return rid, self.feed(io.RequestArrived(rid, class_index, tenant, 0, left, cost, False))

    def send(
        self, class_index: int = 0, left: int = 2 * NS, tenant: int = 0, cost: int = 0
    ) -> tuple[int, int]:
        """Send a request, which must get a backend immediately; return its id and the backend."""
        rid, acts = self.arrive(class_index, left, tenant, cost)
        sends = [a for a in acts if isinstance(a, io.SendAttempt) and a.request == rid]
        assert len(sends) == 1, acts
        return rid, sends[0].backend

    def end(
        self,
        rid: int,
        backend: int,
        result: AttemptResult = AttemptResult.OK,
        attempt: int = 0,
        latency: int = 20 * MS,
    ) -> list[io.Action]:
        done = result == AttemptResult.OK
        return self.feed(io.AttemptEnded(rid, attempt, backend, result, latency, done, ()))

    def serve(
        self, class_index: int = 0, latency: int = 20 * MS, tenant: int = 0, cost: int = 0
    ) -> int:
        rid, backend = self.send(class_index, tenant=tenant, cost=cost)
        self.now += latency
        self.end(rid, backend, latency=latency)
        return backend


def sends(acts: list[io.Action]) -> list[io.SendAttempt]:
    return [a for a in acts if isinstance(a, io.SendAttempt)]
