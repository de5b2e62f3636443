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
from mothstall.lab.box import Box, Shared
from mothstall.lab.clients import Carrier, Clients, Front
from mothstall.lab.directory import Directory
from mothstall.lab.ledger import Fate, Ledger
from mothstall.lab.timeline import Timeline

SAMPLE_NS = 500_000_000
FIRST_BOX = 101
BOOT_NS = 800_000_000  # from the end of a backend to its successor's start


class Driver(Carrier, Protocol):
    def box_up(self, box: Box) -> None:
        """Make a backend reachable, before discovery lists it."""

    def box_changed(self, box: Box) -> None:
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
        self.shared = Shared()
        self.boxes: dict[int, Box] = {}
        self.directory = Directory(s.discovery, time, self.ledger, base)
        self.front = Front(s, time, self.rng("front"))
        self.clients = Clients(
            s,
            time=time,
            ledger=self.ledger,
            front=self.front,
            rng=self.rng("clients"),
            carrier=driver,
        )
        self.luck = self.rng("troubles")
        self._next_box = FIRST_BOX
        turn = 0
        for group in s.boxes:
            for _ in range(group.count):
                zone = s.zones.index(group.zone) if group.zone else turn % len(s.zones)
                turn += 1
                self.add_box(group, zone, 0)

    def rng(self, purpose: str) -> random.Random:
        """A separate stream for each purpose: an extra draw in one does not change the others."""
        return random.Random(self.seed << 32 | zlib.crc32(purpose.encode()))

    def add_box(self, group: sc.Boxes, zone: int, started: int) -> Box:
        number = self._next_box
        self._next_box += 1
        box = self.boxes[number] = Box(
            number,
            group,
            zone,
            self.s.rules,
            time=self.time,
            ledger=self.ledger,
            shared=self.shared,
            rng=self.rng(f"box {number}"),
            changed=self.driver.box_changed,
            started=started,
            warm_subjects=self.s.clients.warm,
            miss_cost=self.s.clients.miss_cost if self.s.clients.keys else 0.0,
        )
        return box

    def entry(self, box: Box, health: Health) -> io.Endpoint:
        started = self.base + box.started if box.started else 0
        return io.Endpoint(
            box.id, box.zone, 0, box.cell, health, box.group.cores * box.group.speed, started
        )

    def prepare(self) -> None:
        """Make all backends reachable and list them in discovery."""
        for box in self.boxes.values():
            self.driver.box_up(box)
        self.directory.seed([self.entry(box, Health.READY) for box in self.boxes.values()])

    def begin(self) -> None:
        """Schedule the faults and the first arrival, before the first event."""
        for trouble in self.s.troubles:
            _PLAY[type(trouble)](self, trouble)
        self.time.at(0, self._sample)
        self.clients.start()

    def _sample(self) -> None:
        rows = {b.id: (b.in_flight, b.warmth()) for b in self.boxes.values() if b.up}
        self.ledger.samples.append((self.time.now, rows))
        if self.time.now < self.s.total_ns:
            self.time.at(self.time.now + SAMPLE_NS, self._sample)

    # Faults

    def draw(self, t: sc.OnBoxes) -> list[Box]:
        """Draw the affected backends at scheduling time, so that all policies get the same ones."""
        pool = [b for b in self.boxes.values() if t.zone is None or self.s.zones[b.zone] == t.zone]
        count = t.boxes or max(1, round(t.part * len(pool)))
        return sorted(self.luck.sample(pool, min(count, len(pool))), key=lambda b: b.id)

    def span(
        self, t: sc.Trouble, begin: Callable[[], object], end: Callable[[], object], what: str
    ) -> None:
        self.ledger.marks.append((t.at, t.at + t.lasts, what))
        self.time.at(t.at, begin)
        self.time.at(t.at + t.lasts, end)

    def each(self, boxes: Iterable[Box], do: Callable[[Box], object]) -> Callable[[], None]:
        def run() -> None:
            for box in boxes:
                do(box)

        return run

    def slow(self, t: sc.Slow) -> None:
        boxes = self.draw(t)

        def turn(on: bool) -> None:
            if self.time.now >= t.at + t.lasts:
                return
            self.each(boxes, lambda b: b.set_slow(t.factor if on else 1.0))()
            if t.on:
                self.time.at(self.time.now + (t.on if on else t.off), turn, not on)

        self.span(
            t, lambda: turn(True), self.each(boxes, lambda b: b.set_slow(1.0)), f"{len(boxes)} slow"
        )

    def hang(self, t: sc.Hang) -> None:
        boxes = self.draw(t)
        self.span(
            t,
            self.each(boxes, lambda b: b.hang(True)),
            self.each(boxes, lambda b: b.hang(False)),
            f"{len(boxes)} hung",
        )

    def pause(self, t: sc.Pause) -> None:
        boxes = self.draw(t)
        self.span(
            t,
            self.each(boxes, lambda b: b.pause(True)),
            self.each(boxes, lambda b: b.pause(False)),
            f"{len(boxes)} paused",
        )

    def crash(self, t: sc.Crash) -> None:
        boxes = self.draw(t)
        what = f"{len(boxes)} crashed"
        self.span(t, self.each(boxes, self.end_box), self.each(boxes, self.restart_box), what)

    def failing(self, t: sc.Failing) -> None:
        self._odds(t, "fail_odds", t.odds, "failing")

    def resets(self, t: sc.Resets) -> None:
        self._odds(t, "reset_odds", t.odds, "resetting")

    def spoilt(self, t: sc.Spoilt) -> None:
        self._odds(t, "spoil_odds", t.odds, "spoiling")

    def _odds(self, t: sc.OnBoxes, name: str, odds: float, what: str) -> None:
        boxes = self.draw(t)
        self.span(
            t,
            self.each(boxes, lambda b: setattr(b, name, odds)),
            self.each(boxes, lambda b: setattr(b, name, 0.0)),
            f"{len(boxes)} {what}",
        )

    def cut(self, t: sc.Cut) -> None:
        boxes = self.draw(t)

        def put(on: bool) -> Callable[[Box], None]:
            def do(box: Box) -> None:
                box.cut_in = on and t.way != "out"
                box.cut_out = on and t.way != "in"
                self.driver.box_changed(box)

            return do

        self.span(
            t,
            self.each(boxes, put(True)),
            self.each(boxes, put(False)),
            f"{len(boxes)} cut {t.way}",
        )

    def zone_lost(self, t: sc.ZoneLost) -> None:
        zone = self.s.zones.index(t.zone)
        gone: list[Box] = []

        def begin() -> None:
            gone.extend(b for b in self.boxes.values() if b.zone == zone and b.up)
            for box in gone:
                box.silent = True
                self.end_box(box)
            for proxy in range(zone, self.s.proxies.count, len(self.s.zones)):
                self.stop_proxy(proxy, silent=True)

        def end() -> None:
            for box in gone:
                self.restart_box(box)
            for proxy in range(zone, self.s.proxies.count, len(self.s.zones)):
                self.start_proxy(proxy)

        self.span(t, begin, end, f"{t.zone} lost")

    def deploy(self, t: sc.Deploy) -> None:
        order = list(self.boxes.values())
        self.luck.shuffle(order)
        order = order[: max(1, round(t.only * len(order)))]
        size = max(1, math.ceil(t.batch * len(order)))

        def drain(batch: list[Box]) -> None:
            for box in batch:
                if box.up and not box.silent:
                    box.drain()
                    self.directory.change(self.entry(box, Health.DRAINING))
                    self.time.at(self.time.now + t.drain, replace, box)

        def replace(box: Box) -> None:
            if box.up:
                self.end_box(box)
            self.time.at(self.time.now + BOOT_NS, succeed, box)

        def succeed(box: Box) -> None:
            fresh = self.add_box(box.group, box.zone, self.time.now)
            self.driver.box_up(fresh)
            self.directory.change(self.entry(fresh, Health.READY))

        last = int(t.at)
        for i in range(0, len(order), size):
            last = t.at + i // size * t.every
            self.time.at(last, drain, order[i : i + size])
        self.ledger.marks.append(
            (t.at, max(last + t.drain, t.at + t.lasts), f"deploy of {len(order)}")
        )

    def discovery_down(self, t: sc.DiscoveryDown) -> None:
        down = self.directory.set_down
        self.span(t, lambda: down(True), lambda: down(False), "discovery down")

    def discovery_stale(self, t: sc.DiscoveryStale) -> None:
        stale = self.directory.set_stale
        self.span(t, lambda: stale(True), lambda: stale(False), "discovery stale")

    def proxy_killed(self, t: sc.ProxyKilled) -> None:
        some = self.luck.sample(range(self.s.proxies.count), t.proxies)

        def kill() -> None:
            for proxy in some:
                self.stop_proxy(proxy, silent=False)

        def revive() -> None:
            for proxy in some:
                self.start_proxy(proxy)

        self.span(
            t, kill, revive, "a proxy killed" if t.proxies == 1 else f"{t.proxies} proxies killed"
        )

    def proxy_hot(self, t: sc.ProxyHot) -> None:
        proxy = self.luck.randrange(self.s.proxies.count)
        heat = self.front.heat
        self.span(
            t, lambda: heat(proxy, t.factor), lambda: heat(proxy, 1 / t.factor), "a proxy hot"
        )

    def dependency(self, t: sc.Dependency) -> None:
        cls = [k.name for k in self.s.classes].index(t.cls)

        def end() -> None:
            self.shared.broken.pop(cls, None)
            for box in list(self.boxes.values()):
                box.release(cls)

        begin = lambda: self.shared.broken.update({cls: (t.how, t.factor)})  # noqa: E731
        self.span(t, begin, end, f"{t.cls}: {t.how}")

    def burst(self, t: sc.Burst) -> None:
        clients = self.clients

        def put(factor: float) -> None:
            if t.tenant is not None:
                clients.tenants.factors[[x.name for x in self.s.tenants].index(t.tenant)] *= factor
                clients.tenants.update()
            if t.cls is not None:
                clients.kinds.factors[[k.name for k in self.s.classes].index(t.cls)] *= factor
                clients.kinds.update()
            if t.tenant is None and t.cls is None:
                clients.burst *= factor

        self.span(t, lambda: put(t.factor), lambda: put(1 / t.factor), f"burst x{t.factor:g}")

    # Stops and restarts of backends and proxies

    def end_box(self, box: Box) -> None:
        """End the process; discovery publishes the end after its lag."""
        if box.up:
            box.stop(Fate.LOST)
            self.directory.change(self.entry(box, Health.GONE))

    def restart_box(self, box: Box) -> None:
        """Restart cold under the same id. A backend that failed by cold overload stays down."""
        if box.up or any(tip.box == box.id and tip.at >= box.started for tip in self.ledger.tips):
            return
        box.silent = False
        box.start(self.time.now)
        self.driver.box_up(box)
        self.directory.change(self.entry(box, Health.READY))

    def stop_proxy(self, proxy: int, silent: bool) -> None:
        self.ledger.proxy_down.append((proxy, self.time.now, -1))
        self.front.down(proxy)
        self.driver.proxy_down(proxy, silent)
        self.directory.forget(proxy)

    def start_proxy(self, proxy: int) -> None:
        self.driver.proxy_up(proxy, lambda: self._started(proxy))

    def _started(self, proxy: int) -> None:
        rows = self.ledger.proxy_down
        for i, (who, since, until) in enumerate(rows):
            if who == proxy and until < 0:
                rows[i] = (who, since, self.time.now)
        self.front.back(proxy)


_PLAY: dict[type, Callable[[World, Any], None]] = {
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
