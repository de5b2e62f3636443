"""Tests of the rules of the policy on its actions for random valid sequences of events.

The rules: no effect is repeated; a draining backend gets no attempts after its grace time; a
warming backend is not overloaded; each request gets its final response in time.
"""

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
from tests.policy.harness import MS, START, entry, request_class, settings

SLACK = 20 * MS
CLASSES = (
    request_class(),
    request_class(Effect.IDEMPOTENT_WITH_KEY, KeyScope.ALL),
    request_class(Effect.IDEMPOTENT_WITH_KEY, KeyScope.ZONE),
    request_class(Effect.IDEMPOTENT_WITH_KEY, KeyScope.CELL),
    request_class(Effect.NON_IDEMPOTENT, priority_weight=5.0),
)


@dataclass
class SentAttempt:
    backend: int
    zone: int
    cell: int
    at: int
    due: int
    result: AttemptResult | None = None
    cancelled: bool = False


@dataclass
class TrackedRequest:
    request_class: io.RequestClass
    deadline: int
    is_finished: bool = False
    sent: list[SentAttempt] = field(default_factory=list)


class World:
    """Simulates backends, clients and discovery for one balancer; checks actions by the rules."""

    def __init__(self, seed: int, parallel: bool, push: bool, tenants: bool) -> None:
        self.rng = random.Random(seed)
        self.now = START
        self.cfg = settings(
            classes=CLASSES,
            may_hedge=parallel,
            discovery_push=push,
            tenants=(io.Tenant(0.6, 60.0), io.Tenant(0.4, 40.0)) if tenants else (),
        )
        self.tracked: dict[int, TrackedRequest] = {}
        self.next_id = 1
        self.version = 1
        self.attempt_count = self.final_responses = 0
        self.entries = {i: entry(i, zone=i % 2, cell=i % 3) for i in range(1, 8)}
        self.warming_attempts: dict[int, list[int]] = {}
        self.failing = {
            i: self.rng.choice(list(AttemptResult)) for i in self.entries if self.rng.random() < 0.4
        }
        self.start()

    def start(self) -> None:
        self.balancer = Balancer(self.cfg, self.rng.getrandbits(64))
        self.tracked.clear()
        self.removed_at = {
            i: self.now for i, row in self.entries.items() if row.health != Health.READY
        }
        self.timers: list[int] = []
        self.feed(
            [io.EndpointUpdate(UpdateScope.CACHED, self.version, list(self.entries.values()))]
        )

    def feed(self, events: list[io.Event]) -> None:
        finished_before = {rid for rid, a in self.tracked.items() if a.is_finished}
        for event in events:
            if (
                isinstance(event, io.AttemptEnded)
                and event.finished
                and event.request in self.tracked
            ):
                self.tracked[event.request].is_finished = True
        for action in self.balancer.handle(self.now, events):
            self.check_action(action, finished_before)
        for event in events:
            if isinstance(event, io.ClientLeft) and event.request in self.tracked:
                self.tracked[event.request].is_finished = True

    def check_action(self, action: io.Action, finished_before: set[int]) -> None:
        if isinstance(action, io.SetTimer):
            assert action.at_ns > self.now
            self.timers.append(action.at_ns)
        elif isinstance(action, io.SendAttempt):
            self.attempt_count += 1
            tracked = self.tracked[action.request]
            assert action.request not in finished_before, (
                "attempt sent after the end of its request"
            )
            assert not tracked.is_finished, "attempt sent after the final response"
            assert len(tracked.sent) < self.cfg.max_attempts
            assert action.backend in self.entries or action.backend in self.removed_at
            drained_at = self.removed_at.get(action.backend)
            assert drained_at is None or self.now <= drained_at + self.cfg.drain_grace_ns, (
                "attempt sent to a draining backend"
            )
            row = self.entries[action.backend]
            self.check_effects(tracked, row)
            due = min(
                tracked.deadline,
                self.now + action.timeout_ns if action.timeout_ns else tracked.deadline,
            )
            tracked.sent.append(SentAttempt(row.backend, row.zone, row.cell, self.now, due))
            if row.started_ns and self.now < row.started_ns + self.cfg.slow_start_ns:
                self.warming_attempts.setdefault(row.backend, []).append(self.now)
        elif isinstance(action, io.Reject):
            self.final_responses += 1
            tracked = self.tracked[action.request]
            if not tracked.is_finished:
                tracked.is_finished = True
                assert self.now <= tracked.deadline + SLACK
                ran = [s for s in tracked.sent if s.result not in NEVER_RAN]
                request_class = tracked.request_class
                harmless = request_class.effect == Effect.IDEMPOTENT or not ran
                assert harmless or (
                    request_class.effect == Effect.IDEMPOTENT_WITH_KEY
                    and request_class.group == KeyScope.ALL
                )
        elif isinstance(action, io.FailRequest):
            self.final_responses += 1
            tracked = self.tracked[action.request]
            assert tracked.is_finished or self.now <= tracked.deadline + SLACK
            tracked.is_finished = True
        elif isinstance(action, io.CancelAttempt):
            self.tracked[action.request].sent[action.attempt].cancelled = True

    def check_effects(self, tracked: TrackedRequest, row: io.Endpoint) -> None:
        in_flight = [s for s in tracked.sent if s.result is None]
        if not self.cfg.may_hedge:
            assert not in_flight, "two attempts of one request in flight"
        ran = [s for s in tracked.sent if s.result not in NEVER_RAN]
        if tracked.request_class.effect == Effect.IDEMPOTENT or not ran:
            return
        assert tracked.request_class.effect == Effect.IDEMPOTENT_WITH_KEY, (
            "a non-idempotent request was retried"
        )
        assert self.now < ran[0].at + tracked.request_class.window_ns
        for s in ran:
            if tracked.request_class.group == KeyScope.ZONE:
                assert s.zone == row.zone
            if tracked.request_class.group == KeyScope.CELL:
                assert s.cell == row.cell

    def end_attempts(self) -> list[io.Event]:
        events: list[io.Event] = []
        for rid, tracked in list(self.tracked.items()):
            for number, s in enumerate(tracked.sent):
                if s.result is not None:
                    continue
                result = self.next_result(s)
                if result is None:
                    continue
                s.result = result
                finished = tracked.is_finished or result == AttemptResult.OK
                tracked.is_finished = finished
                events.append(
                    io.AttemptEnded(
                        rid, number, s.backend, result, self.now - s.at, finished, (0.5, 1.0)
                    )
                )
        return events

    def next_result(self, s: SentAttempt) -> AttemptResult | None:
        if s.cancelled:
            return AttemptResult.CANCELLED
        if self.now >= s.due:
            return AttemptResult.TIMEOUT
        if self.rng.random() < 0.6:
            return None
        failing = self.failing.get(s.backend)
        if failing == AttemptResult.TIMEOUT:
            return None  # the backend hangs
        if failing is not None and failing != AttemptResult.CANCELLED and self.rng.random() < 0.8:
            return failing
        return AttemptResult.OK

    def change_list(self) -> io.EndpointUpdate:
        self.version += 1
        roll = self.rng.random()
        number = self.rng.choice(sorted(self.entries))
        if roll < 0.15:
            return io.EndpointUpdate(UpdateScope.FAILED, self.version, [])
        if roll < 0.3:  # an outdated update must not restore a backend
            return io.EndpointUpdate(UpdateScope.DELTA, 0, [entry(number, started=5)])
        if roll < 0.5:
            row = entry(number, zone=number % 2, cell=number % 3, started=self.now)
            self.removed_at.pop(number, None)
            self.warming_attempts.pop(number, None)
        elif roll < 0.7:
            row = entry(number, zone=number % 2, cell=number % 3, health=Health.DRAINING)
        elif roll < 0.85:
            row = entry(number, zone=number % 2, cell=number % 3, health=Health.GONE)
        else:
            for i in self.entries:
                if i != number:
                    self.removed_at.setdefault(i, self.now)
                    self.entries[i] = entry(i, zone=i % 2, cell=i % 3, health=Health.GONE)
            self.removed_at.pop(number, None)
            row = self.entries[number]
            if row.health != Health.READY:
                row = entry(number, zone=number % 2, cell=number % 3, started=self.now)
                self.warming_attempts.pop(number, None)
            self.entries[number] = row
            return io.EndpointUpdate(UpdateScope.FULL, self.version, [row])
        if row.health != Health.READY:
            self.removed_at.setdefault(number, self.now)
        self.entries[number] = row
        return io.EndpointUpdate(UpdateScope.DELTA, self.version, [row])

    def step(self) -> None:
        rng = self.rng
        ends = [
            s.due for a in self.tracked.values() for s in a.sent if s.result is None
        ] + self.timers
        ahead = self.now + rng.choice((5, 5, 10, 20, 100)) * MS
        self.now = max(self.now + 5 * MS, min([ahead, *ends]))  # do not pass a due event
        events: list[io.Event] = []
        roll = rng.random()
        if roll < 0.1:
            events.append(self.change_list())
        elif roll < 0.12:
            self.start()  # the proxy is killed and restarted in one batch; its state is lost
            return
        events += self.end_attempts()
        live = [rid for rid, a in self.tracked.items() if not a.is_finished]
        if live and rng.random() < 0.1:
            rid = rng.choice(live)
            events.append(io.ClientLeft(rid))
        for _ in range(rng.choice((0, 1, 2, 6))):
            class_index = rng.randrange(len(CLASSES))
            left = rng.choice((30, 300, 1500)) * MS
            self.tracked[self.next_id] = TrackedRequest(CLASSES[class_index], self.now + left)
            events.append(
                io.RequestArrived(self.next_id, class_index, rng.randrange(2), 0, left, 0, False)
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
        """Let all open requests end, without new ones; each must get its final response in time."""
        for _ in range(500):
            self.now += 10 * MS
            events = self.end_attempts()
            while self.timers and min(self.timers) <= self.now:
                due = min(self.timers)
                self.timers.remove(due)
                events.append(io.TimerFired(due))
            if events:
                self.feed(events)
            for tracked in self.tracked.values():
                assert tracked.is_finished or self.now <= tracked.deadline + SLACK, (
                    "no final response in time"
                )
        assert all(a.is_finished for a in self.tracked.values())
        assert not self.balancer.requests.open, "requests are still open after their end"
        assert self.balancer.limits.in_flight == 0


@hypothesis_settings(derandomize=True, max_examples=60, deadline=None, database=None)
@given(
    seed=st.integers(0, 2**32),
    parallel=st.booleans(),
    push=st.booleans(),
    tenants=st.booleans(),
)
def test_rules_hold_for_random_events(seed: int, parallel: bool, push: bool, tenants: bool) -> None:
    world = World(seed, parallel, push, tenants)
    for _ in range(150):
        world.step()
    world.drain()


def test_random_events_cause_attempts_and_rejections() -> None:
    world = World(3, True, True, False)
    for _ in range(300):
        world.step()
    assert world.attempt_count > 50
    assert world.final_responses > 20


@pytest.mark.parametrize("proxies", [2, 8])
@pytest.mark.parametrize("rate", [40, 400])
def test_a_warming_backend_gets_at_most_its_budget(rate: int, proxies: int) -> None:
    """A proxy sends a warming backend at most the overload multiple of a warm one's rate."""
    cfg = settings(classes=(request_class(),), proxies=proxies)
    rows = [entry(i) for i in range(1, 5)]
    balancer, now, rid = Balancer(cfg, 5), START, 0
    balancer.handle(now, [io.EndpointUpdate(UpdateScope.CACHED, 1, rows)])
    in_flight: list[tuple[int, int, int]] = []  # due, request, backend
    sent_to_warming: list[int] = []
    sent_to_warm = 0
    started_at = START + 12 * NS
    while now < START + 20 * NS:
        now += 1000 * MS // rate
        events: list[io.Event] = [
            io.AttemptEnded(r, 0, b, AttemptResult.OK, 50 * MS, True, ())
            for due, r, b in in_flight
            if due <= now
        ]
        in_flight = [o for o in in_flight if o[0] > now]
        if started_at <= now < started_at + 1000 * MS // rate:
            events.append(io.EndpointUpdate(UpdateScope.DELTA, 2, [entry(4, started=now)]))
        rid += 1
        events += [io.TimerFired(now), io.RequestArrived(rid, 0, 0, 0, NS, 0, False)]
        for action in balancer.handle(now, events):
            if isinstance(action, io.SendAttempt):
                in_flight.append((now + 50 * MS, action.request, action.backend))
                if action.backend == 4 and now >= started_at:
                    sent_to_warming.append(now)
                elif now >= started_at:
                    sent_to_warm += 1
    assert sent_to_warming, "a warming backend must get requests"
    warm_rate = sent_to_warm / 3 / 8
    for at in sent_to_warming:
        window = sum(1 for h in sent_to_warming if at - cfg.overload_window_ns < h <= at)
        warmth = (
            cfg.initial_warmth + (1 - cfg.initial_warmth) * (at - started_at) / cfg.slow_start_ns
        )
        assert (
            window <= cfg.overload_multiple * warmth * warm_rate * cfg.overload_window_ns / NS + 1
        )
