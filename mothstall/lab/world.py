"""The simulated world of both drivers: backends, discovery, clients and the faults of the scenario.

Pure: it runs on any timeline. A driver transports the requests, and is called when a backend
becomes reachable or unreachable and when a proxy must stop or start.
"""

from __future__ import annotations

import math
import random
import zlib
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from mothstall import interface as io
from mothstall.interface import Health
from mothstall.lab import scenario as sc
from mothstall.lab.box import Backend, SharedState
from mothstall.lab.clients import Clients, ProxySelector, RequestTransport
from mothstall.lab.directory import DiscoveryService
from mothstall.lab.ledger import AttemptOutcome, Ledger
from mothstall.lab.timeline import Timeline

SAMPLE_NS = 500_000_000
FIRST_BACKEND = 101
BACKEND_START_NS = 800_000_000  # from the end of a backend to its successor's start


class Driver(RequestTransport, Protocol):
    def backend_up(self, backend: Backend) -> None:
        """Make a backend reachable, before discovery lists it."""

    def backend_changed(self, backend: Backend) -> None:
        """Apply a change of a backend: stopped, unreachable, cut off, or reachable again."""

    def proxy_down(self, proxy: int, silent: bool) -> None: ...

    def proxy_up(self, proxy: int, ready: Callable[[], object]) -> None:
        """Start a new proxy process; `ready` is called once it accepts requests."""


class World:
    def __init__(
        self, s: sc.Scenario, seed: int, time: Timeline, driver: Driver, base: int
    ) -> None:
        self.s, self.time, self.driver, self.base, self.seed = s, time, driver, base, seed
        self.ledger = Ledger()
        self.shared = SharedState()
        self.backends: dict[int, Backend] = {}
        self.discovery = DiscoveryService(s.discovery, time, self.ledger, base)
        self.proxy_selector = ProxySelector(s, time, self.rng("front"))
        self.clients = Clients(
            s,
            time=time,
            ledger=self.ledger,
            proxy_selector=self.proxy_selector,
            rng=self.rng("clients"),
            transport=driver,
        )
        self.fault_rng = self.rng("troubles")
        self._next_backend = FIRST_BACKEND
        zone_turn = 0
        for group in s.boxes:
            for _ in range(group.count):
                zone = s.zones.index(group.zone) if group.zone else zone_turn % len(s.zones)
                zone_turn += 1
                self.add_backend(group, zone, 0)

    def rng(self, purpose: str) -> random.Random:
        """A separate stream for each purpose: an extra draw in one does not change the others."""
        return random.Random(self.seed << 32 | zlib.crc32(purpose.encode()))

    def add_backend(self, group: sc.Boxes, zone: int, started: int) -> Backend:
        number = self._next_backend
        self._next_backend += 1
        backend = self.backends[number] = Backend(
            number,
            group,
            zone,
            self.s.rules,
            time=self.time,
            ledger=self.ledger,
            shared=self.shared,
            rng=self.rng(f"box {number}"),
            on_change=self.driver.backend_changed,
            started=started,
            max_subjects=self.s.clients.warm,
            miss_cost=self.s.clients.miss_cost if self.s.clients.keys else 0.0,
        )
        return backend

    def endpoint(self, backend: Backend, health: Health) -> io.Endpoint:
        started = self.base + backend.started if backend.started else 0
        return io.Endpoint(
            backend.id,
            backend.zone,
            0,
            backend.cell,
            health,
            backend.group.cores * backend.group.speed,
            started,
        )

    def prepare(self) -> None:
        """Make all backends reachable and list them in discovery."""
        for backend in self.backends.values():
            self.driver.backend_up(backend)
        self.discovery.set_initial(
            [self.endpoint(backend, Health.READY) for backend in self.backends.values()]
        )

    def begin(self) -> None:
        """Schedule the faults and the first arrival, before the first event."""
        for fault in self.s.troubles:
            _FAULT_METHODS[type(fault)](self, fault)
        self.time.at(0, self._sample)
        self.clients.start()

    def _sample(self) -> None:
        rows = {b.id: (b.in_flight, b.warmth()) for b in self.backends.values() if b.up}
        self.ledger.samples.append((self.time.now, rows))
        if self.time.now < self.s.total_ns:
            self.time.at(self.time.now + SAMPLE_NS, self._sample)

    # Faults

    def draw_backends(self, fault: sc.BackendFault) -> list[Backend]:
        """Draw the affected backends at scheduling time, so that all policies get the same ones."""
        pool = [
            b
            for b in self.backends.values()
            if fault.zone is None or self.s.zones[b.zone] == fault.zone
        ]
        count = fault.boxes or max(1, round(fault.part * len(pool)))
        return sorted(self.fault_rng.sample(pool, min(count, len(pool))), key=lambda b: b.id)

    def schedule_fault(
        self,
        fault: sc.Fault,
        begin: Callable[[], object],
        end: Callable[[], object],
        description: str,
    ) -> None:
        self.ledger.fault_spans.append((fault.at, fault.at + fault.lasts, description))
        self.time.at(fault.at, begin)
        self.time.at(fault.at + fault.lasts, end)

    def for_each(
        self, backends: Iterable[Backend], action: Callable[[Backend], object]
    ) -> Callable[[], None]:
        def run() -> None:
            for backend in backends:
                action(backend)

        return run

    def slow(self, fault: sc.Slow) -> None:
        backends = self.draw_backends(fault)

        def switch(on: bool) -> None:
            if self.time.now >= fault.at + fault.lasts:
                return
            self.for_each(backends, lambda b: b.set_slow(fault.factor if on else 1.0))()
            if fault.on:
                self.time.at(self.time.now + (fault.on if on else fault.off), switch, not on)

        self.schedule_fault(
            fault,
            lambda: switch(True),
            self.for_each(backends, lambda b: b.set_slow(1.0)),
            f"{len(backends)} slow",
        )

    def hang(self, fault: sc.Hang) -> None:
        backends = self.draw_backends(fault)
        self.schedule_fault(
            fault,
            self.for_each(backends, lambda b: b.hang(True)),
            self.for_each(backends, lambda b: b.hang(False)),
            f"{len(backends)} hung",
        )

    def pause(self, fault: sc.Pause) -> None:
        backends = self.draw_backends(fault)
        self.schedule_fault(
            fault,
            self.for_each(backends, lambda b: b.pause(True)),
            self.for_each(backends, lambda b: b.pause(False)),
            f"{len(backends)} paused",
        )

    def crash(self, fault: sc.Crash) -> None:
        backends = self.draw_backends(fault)
        description = f"{len(backends)} crashed"
        self.schedule_fault(
            fault,
            self.for_each(backends, self.stop_backend),
            self.for_each(backends, self.restart_backend),
            description,
        )

    def failing(self, fault: sc.Failing) -> None:
        self._set_odds(fault, "fail_odds", fault.odds, "failing")

    def resets(self, fault: sc.Resets) -> None:
        self._set_odds(fault, "reset_odds", fault.odds, "resetting")

    def spoilt(self, fault: sc.Spoilt) -> None:
        self._set_odds(fault, "spoil_odds", fault.odds, "spoiling")

    def _set_odds(self, fault: sc.BackendFault, name: str, odds: float, description: str) -> None:
        backends = self.draw_backends(fault)
        self.schedule_fault(
            fault,
            self.for_each(backends, lambda b: setattr(b, name, odds)),
            self.for_each(backends, lambda b: setattr(b, name, 0.0)),
            f"{len(backends)} {description}",
        )

    def cut(self, fault: sc.Cut) -> None:
        backends = self.draw_backends(fault)

        def apply(on: bool) -> Callable[[Backend], None]:
            def action(backend: Backend) -> None:
                backend.cut_in = on and fault.way != "out"
                backend.cut_out = on and fault.way != "in"
                self.driver.backend_changed(backend)

            return action

        self.schedule_fault(
            fault,
            self.for_each(backends, apply(True)),
            self.for_each(backends, apply(False)),
            f"{len(backends)} cut {fault.way}",
        )

    def zone_lost(self, fault: sc.ZoneLost) -> None:
        zone = self.s.zones.index(fault.zone)
        lost: list[Backend] = []

        def begin() -> None:
            lost.extend(b for b in self.backends.values() if b.zone == zone and b.up)
            for backend in lost:
                backend.silent = True
                self.stop_backend(backend)
            for proxy in range(zone, self.s.proxies.count, len(self.s.zones)):
                self.stop_proxy(proxy, silent=True)

        def end() -> None:
            for backend in lost:
                self.restart_backend(backend)
            for proxy in range(zone, self.s.proxies.count, len(self.s.zones)):
                self.start_proxy(proxy)

        self.schedule_fault(fault, begin, end, f"{fault.zone} lost")

    def deploy(self, fault: sc.Deploy) -> None:
        order = list(self.backends.values())
        self.fault_rng.shuffle(order)
        order = order[: max(1, round(fault.only * len(order)))]
        size = max(1, math.ceil(fault.batch * len(order)))

        def drain(batch: list[Backend]) -> None:
            for backend in batch:
                if backend.up and not backend.silent:
                    backend.drain()
                    self.discovery.schedule_change(self.endpoint(backend, Health.DRAINING))
                    self.time.at(self.time.now + fault.drain, replace, backend)

        def replace(backend: Backend) -> None:
            if backend.up:
                self.stop_backend(backend)
            self.time.at(self.time.now + BACKEND_START_NS, start_successor, backend)

        def start_successor(backend: Backend) -> None:
            successor = self.add_backend(backend.group, backend.zone, self.time.now)
            self.driver.backend_up(successor)
            self.discovery.schedule_change(self.endpoint(successor, Health.READY))

        last = int(fault.at)
        for i in range(0, len(order), size):
            last = fault.at + i // size * fault.every
            self.time.at(last, drain, order[i : i + size])
        self.ledger.fault_spans.append(
            (fault.at, max(last + fault.drain, fault.at + fault.lasts), f"deploy of {len(order)}")
        )

    def discovery_down(self, fault: sc.DiscoveryDown) -> None:
        down = self.discovery.set_down
        self.schedule_fault(fault, lambda: down(True), lambda: down(False), "discovery down")

    def discovery_stale(self, fault: sc.DiscoveryStale) -> None:
        stale = self.discovery.set_stale
        self.schedule_fault(fault, lambda: stale(True), lambda: stale(False), "discovery stale")

    def proxy_killed(self, fault: sc.ProxyKilled) -> None:
        killed = self.fault_rng.sample(range(self.s.proxies.count), fault.proxies)

        def kill() -> None:
            for proxy in killed:
                self.stop_proxy(proxy, silent=False)

        def restart() -> None:
            for proxy in killed:
                self.start_proxy(proxy)

        self.schedule_fault(
            fault,
            kill,
            restart,
            "a proxy killed" if fault.proxies == 1 else f"{fault.proxies} proxies killed",
        )

    def proxy_hot(self, fault: sc.ProxyHot) -> None:
        proxy = self.fault_rng.randrange(self.s.proxies.count)
        scale_weight = self.proxy_selector.scale_weight
        self.schedule_fault(
            fault,
            lambda: scale_weight(proxy, fault.factor),
            lambda: scale_weight(proxy, 1 / fault.factor),
            "a proxy hot",
        )

    def dependency(self, fault: sc.Dependency) -> None:
        cls = [k.name for k in self.s.classes].index(fault.cls)

        def end() -> None:
            self.shared.dependency_faults.pop(cls, None)
            for backend in list(self.backends.values()):
                backend.resume_class(cls)

        begin = lambda: self.shared.dependency_faults.update({cls: (fault.how, fault.factor)})  # noqa: E731
        self.schedule_fault(fault, begin, end, f"{fault.cls}: {fault.how}")

    def burst(self, fault: sc.Burst) -> None:
        clients = self.clients

        def apply(factor: float) -> None:
            if fault.tenant is not None:
                clients.tenants.factors[[x.name for x in self.s.tenants].index(fault.tenant)] *= (
                    factor
                )
                clients.tenants.update()
            if fault.cls is not None:
                clients.classes.factors[[k.name for k in self.s.classes].index(fault.cls)] *= factor
                clients.classes.update()
            if fault.tenant is None and fault.cls is None:
                clients.burst_factor *= factor

        self.schedule_fault(
            fault,
            lambda: apply(fault.factor),
            lambda: apply(1 / fault.factor),
            f"burst x{fault.factor:g}",
        )

    # Stops and restarts of backends and proxies

    def stop_backend(self, backend: Backend) -> None:
        """End the process; discovery publishes the end after its lag."""
        if backend.up:
            backend.stop(AttemptOutcome.LOST)
            self.discovery.schedule_change(self.endpoint(backend, Health.GONE))

    def restart_backend(self, backend: Backend) -> None:
        """Restart cold under the same id. A backend that failed by cold overload stays down."""
        if backend.up or any(
            overload.backend == backend.id and overload.at >= backend.started
            for overload in self.ledger.cold_overloads
        ):
            return
        backend.silent = False
        backend.start(self.time.now)
        self.driver.backend_up(backend)
        self.discovery.schedule_change(self.endpoint(backend, Health.READY))

    def stop_proxy(self, proxy: int, silent: bool) -> None:
        self.ledger.proxy_outages.append((proxy, self.time.now, -1))
        self.proxy_selector.proxy_died(proxy)
        self.driver.proxy_down(proxy, silent)
        self.discovery.forget_proxy(proxy)

    def start_proxy(self, proxy: int) -> None:
        self.driver.proxy_up(proxy, lambda: self._started(proxy))

    def _started(self, proxy: int) -> None:
        rows = self.ledger.proxy_outages
        for i, (stopped, since, until) in enumerate(rows):
            if stopped == proxy and until < 0:
                rows[i] = (stopped, since, self.time.now)
        self.proxy_selector.proxy_restarted(proxy)


_FAULT_METHODS: dict[type, Callable[[World, Any], None]] = {
    sc.Slow: World.slow,
    sc.Hang: World.hang,
    sc.Pause: World.pause,
    sc.Crash: World.crash,
    sc.Failing: World.failing,
    sc.Resets: World.resets,
    sc.Spoilt: World.spoilt,
    sc.Cut: World.cut,
    sc.ZoneLost: World.zone_lost,
    sc.Deploy: World.deploy,
    sc.DiscoveryDown: World.discovery_down,
    sc.DiscoveryStale: World.discovery_stale,
    sc.ProxyKilled: World.proxy_killed,
    sc.ProxyHot: World.proxy_hot,
    sc.Dependency: World.dependency,
    sc.Burst: World.burst,
}
