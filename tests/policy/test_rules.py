"""The four rules, checked on the actions for random valid sequences of events."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from mothstall import interface as io
from mothstall.interface import NEVER_RAN, NS, AttemptResult, Effect, Health, KeyScope, UpdateScope
from mothstall.policy import Balancer
from tests.policy.harness import MS, START, cls, entry, settings

SLACK = 20 * MS
CLASSES = (
    cls(),
    cls(Effect.IDEMPOTENT_WITH_KEY, KeyScope.ALL),
    cls(Effect.IDEMPOTENT_WITH_KEY, KeyScope.ZONE),
    cls(Effect.IDEMPOTENT_WITH_KEY, KeyScope.CELL),
    cls(Effect.NON_IDEMPOTENT, worth=5.0),
)


@dataclass
class Sent:
    backend: int
    zone: int
    cell: int
    at: int
    due: int
    result: AttemptResult | None = None
    cancelled: bool = False


@dataclass
class Asked:
    kind: io.RequestClass
    deadline: int
    over: bool = False
    sent: list[Sent] = field(default_factory=list)


class World:
    """Simulates backends, clients and discovery for one balancer, and checks all actions by the rules."""

    def __init__(self, seed: int, parallel: bool, push: bool, tenants: bool) -> None:
        self.rng = random.Random(seed)
        self.now = START
        self.cfg = settings(
            classes=CLASSES,
            may_hedge=parallel,
            discovery_push=push,
            tenants=(io.Tenant(0.6, 60.0), io.Tenant(0.4, 40.0)) if tenants else (),
        )
        self.asked: dict[int, Asked] = {}
        self.next_id = 1
        self.version = 1
        self.sends = self.answers = 0
        self.entries = {i: entry(i, zone=i % 2, cell=i % 3) for i in range(1, 8)}
        self.cold_sends: dict[int, list[int]] = {}
        self.bad = {
            i: self.rng.choice(list(AttemptResult)) for i in self.entries if self.rng.random() < 0.4
        }
        self.start()

    def start(self) -> None:
        self.balancer = Balancer(self.cfg, self.rng.getrandbits(64))
        self.asked.clear()
        self.told_off = {
            i: self.now for i, row in self.entries.items() if row.health != Health.READY
        }
        self.timers: list[int] = []
        self.feed(
            [io.EndpointUpdate(UpdateScope.CACHED, self.version, list(self.entries.values()))]
        )

    def feed(self, events: list[io.Event]) -> None:
        before = {rid for rid, a in self.asked.items() if a.over}
        for event in events:
            if (
                isinstance(event, io.AttemptEnded)
                and event.finished
                and event.request in self.asked
            ):
                self.asked[event.request].over = True
        for action in self.balancer.handle(self.now, events):
            self.hold_to_rules(action, before)
        for event in events:
            if isinstance(event, io.ClientLeft) and event.request in self.asked:
                self.asked[event.request].over = True

    def hold_to_rules(self, action: io.Action, before: set[int]) -> None:
        if isinstance(action, io.SetTimer):
            assert action.at_ns > self.now
            self.timers.append(action.at_ns)
        elif isinstance(action, io.SendAttempt):
            self.sends += 1
            asked = self.asked[action.request]
            assert action.request not in before, "attempt sent after the end of its request"
            assert not asked.over, "attempt sent after the final response"
            assert len(asked.sent) < self.cfg.max_attempts
            assert action.backend in self.entries or action.backend in self.told_off
            off = self.told_off.get(action.backend)
            assert off is None or self.now <= off + self.cfg.drain_grace_ns, (
                "attempt sent to a draining backend"
            )
            row = self.entries[action.backend]
            self.hold_to_effects(asked, row)
            due = min(
                asked.deadline,
                self.now + action.timeout_ns if action.timeout_ns else asked.deadline,
            )
            asked.sent.append(Sent(row.backend, row.zone, row.cell, self.now, due))
            if row.started_ns and self.now < row.started_ns + self.cfg.slow_start_ns:
                self.cold_sends.setdefault(row.backend, []).append(self.now)
        elif isinstance(action, io.Reject):
            self.answers += 1
            asked = self.asked[action.request]
            if not asked.over:
                asked.over = True
                assert self.now <= asked.deadline + SLACK
                ran = [s for s in asked.sent if s.result not in NEVER_RAN]
                kind = asked.kind
                harmless = kind.effect == Effect.IDEMPOTENT or not ran
                assert harmless or (
                    kind.effect == Effect.IDEMPOTENT_WITH_KEY and kind.group == KeyScope.ALL
                )
        elif isinstance(action, io.FailRequest):
            self.answers += 1
            asked = self.asked[action.request]
            assert asked.over or self.now <= asked.deadline + SLACK
            asked.over = True
        elif isinstance(action, io.CancelAttempt):
            self.asked[action.request].sent[action.attempt].cancelled = True

    def hold_to_effects(self, asked: Asked, row: io.Endpoint) -> None:
        out = [s for s in asked.sent if s.result is None]
        if not self.cfg.may_hedge:
            assert not out, "two attempts of one request in flight"
        ran = [s for s in asked.sent if s.result not in NEVER_RAN]
        if asked.kind.effect == Effect.IDEMPOTENT or not ran:
            return
        assert asked.kind.effect == Effect.IDEMPOTENT_WITH_KEY, (
            "a non-idempotent request was retried"
        )
        assert self.now < ran[0].at + asked.kind.window_ns
        for s in ran:
            if asked.kind.group == KeyScope.ZONE:
                assert s.zone == row.zone
            if asked.kind.group == KeyScope.CELL:
                assert s.cell == row.cell

    def end_attempts(self) -> list[io.Event]:
        events: list[io.Event] = []
        for rid, asked in list(self.asked.items()):
            for number, s in enumerate(asked.sent):
                if s.result is not None:
                    continue
                result = self.fate(s)
                if result is None:
                    continue
                s.result = result
                finished = asked.over or result == AttemptResult.OK
                asked.over = finished
                events.append(
                    io.AttemptEnded(
                        rid, number, s.backend, result, self.now - s.at, finished, (0.5, 1.0)
                    )
                )
        return events

    def fate(self, s: Sent) -> AttemptResult | None:
        if s.cancelled:
            return AttemptResult.CANCELLED
        if self.now >= s.due:
            return AttemptResult.TIMEOUT
        if self.rng.random() < 0.6:
            return None
        bad = self.bad.get(s.backend)
        if bad == AttemptResult.TIMEOUT:
            return None  # hung
        if bad is not None and bad != AttemptResult.CANCELLED and self.rng.random() < 0.8:
            return bad
        return AttemptResult.OK

    def change_list(self) -> io.EndpointUpdate:
        self.version += 1
        kind = self.rng.random()
        number = self.rng.choice(sorted(self.entries))
        if kind < 0.15:
            return io.EndpointUpdate(UpdateScope.FAILED, self.version, [])
        if kind < 0.3:  # outdated: it must not restore a backend
            return io.EndpointUpdate(UpdateScope.DELTA, 0, [entry(number, started=5)])
        if kind < 0.5:
            row = entry(number, zone=number % 2, cell=number % 3, started=self.now)
            self.told_off.pop(number, None)
            self.cold_sends.pop(number, None)
        elif kind < 0.7:
            row = entry(number, zone=number % 2, cell=number % 3, health=Health.DRAINING)
        elif kind < 0.85:
            row = entry(number, zone=number % 2, cell=number % 3, health=Health.GONE)
        else:
            for i in self.entries:
                if i != number:
                    self.told_off.setdefault(i, self.now)
                    self.entries[i] = entry(i, zone=i % 2, cell=i % 3, health=Health.GONE)
            self.told_off.pop(number, None)
            row = self.entries[number]
            if row.health != Health.READY:
                row = entry(number, zone=number % 2, cell=number % 3, started=self.now)
                self.cold_sends.pop(number, None)
            self.entries[number] = row
            return io.EndpointUpdate(UpdateScope.FULL, self.version, [row])
        if row.health != Health.READY:
            self.told_off.setdefault(number, self.now)
        self.entries[number] = row
        return io.EndpointUpdate(UpdateScope.DELTA, self.version, [row])

    def step(self) -> None:
        rng = self.rng
        ends = [
            s.due for a in self.asked.values() for s in a.sent if s.result is None
        ] + self.timers
        ahead = self.now + rng.choice((5, 5, 10, 20, 100)) * MS
        self.now = max(self.now + 5 * MS, min([ahead, *ends]))  # a batch never skips a due event
        events: list[io.Event] = []
        roll = rng.random()
        if roll < 0.1:
            events.append(self.change_list())
        elif roll < 0.12:
            self.start()  # killed and restarted in one batch; its state is lost
            return
        events += self.end_attempts()
        live = [rid for rid, a in self.asked.items() if not a.over]
        if live and rng.random() < 0.1:
            rid = rng.choice(live)
            events.append(io.ClientLeft(rid))
        for _ in range(rng.choice((0, 1, 2, 6))):
            kind = rng.randrange(len(CLASSES))
            left = rng.choice((30, 300, 1500)) * MS
            self.asked[self.next_id] = Asked(CLASSES[kind], self.now + left)
            events.append(
                io.RequestArrived(self.next_id, kind, rng.randrange(2), 0, left, 0, False)
            )
            self.next_id += 1
        events.append(io.ClientLeft(999_999_999))  # an unknown request; ignored
        events.append(io.AttemptEnded(999_999_998, 0, 1, AttemptResult.OK, 1, True, ()))
        while self.timers and min(self.timers) <= self.now:
            due = min(self.timers)
            self.timers.remove(due)
            events.append(io.TimerFired(due))
        self.feed(events)

    def drain(self) -> None:
        """End all open requests, without new arrivals; each must get its final response in time."""
        for _ in range(500):
            self.now += 10 * MS
            events = self.end_attempts()
            while self.timers and min(self.timers) <= self.now:
                due = min(self.timers)
                self.timers.remove(due)
                events.append(io.TimerFired(due))
            if events:
                self.feed(events)
            for asked in self.asked.values():
                assert asked.over or self.now <= asked.deadline + SLACK, "no final response in time"
        assert all(a.over for a in self.asked.values())
        assert not self.balancer.requests.open, "requests are still open after their end"
        assert self.balancer.limits.in_flight == 0


@hypothesis_settings(derandomize=True, max_examples=60, deadline=None, database=None)
@given(
    seed=st.integers(0, 2**32),
    parallel=st.booleans(),
    push=st.booleans(),
    tenants=st.booleans(),
)
def test_rules_hold_on_random_scripts(seed: int, parallel: bool, push: bool, tenants: bool) -> None:
    world = World(seed, parallel, push, tenants)
    for _ in range(150):
        world.step()
    world.drain()


def test_the_random_scripts_do_reach_sends_and_refusals() -> None:
    world = World(3, True, True, False)
    for _ in range(300):
        world.step()
    assert world.sends > 50
    assert world.answers > 20


@pytest.mark.parametrize("proxies", [2, 8])
@pytest.mark.parametrize("rate", [40, 400])
def test_a_cold_backend_gets_no_more_than_its_part(rate: int, proxies: int) -> None:
    """Each proxy keeps to its fraction of a warming backend's budget, as measured by the warm ones."""
    cfg = settings(classes=(cls(),), proxies=proxies)
    rows = [entry(i) for i in range(1, 5)]
    balancer, now, rid = Balancer(cfg, 5), START, 0
    balancer.handle(now, [io.EndpointUpdate(UpdateScope.CACHED, 1, rows)])
    out: list[tuple[int, int, int]] = []  # due, request, backend
    hits: list[int] = []
    warm_done = 0
    cold_from = START + 12 * NS
    while now < START + 20 * NS:
        now += 1000 * MS // rate
        events: list[io.Event] = [
            io.AttemptEnded(r, 0, b, AttemptResult.OK, 50 * MS, True, ())
            for due, r, b in out
            if due <= now
        ]
        out = [o for o in out if o[0] > now]
        if cold_from <= now < cold_from + 1000 * MS // rate:
            events.append(io.EndpointUpdate(UpdateScope.DELTA, 2, [entry(4, started=now)]))
        rid += 1
        events += [io.TimerFired(now), io.RequestArrived(rid, 0, 0, 0, NS, 0, False)]
        for action in balancer.handle(now, events):
            if isinstance(action, io.SendAttempt):
                out.append((now + 50 * MS, action.request, action.backend))
                if action.backend == 4 and now >= cold_from:
                    hits.append(now)
                elif now >= cold_from:
                    warm_done += 1
    assert hits, "a warming backend must get requests"
    warm_rate = warm_done / 3 / 8
    for at in hits:
        window = sum(1 for h in hits if at - cfg.overload_window_ns < h <= at)
        warmth = (
            cfg.initial_warmth + (1 - cfg.initial_warmth) * (at - cold_from) / cfg.slow_start_ns
        )
        assert (
            window <= cfg.overload_multiple * warmth * warm_rate * cfg.overload_window_ns / NS + 1
        )
