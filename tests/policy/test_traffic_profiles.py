"""Per-tenant statistics at the end of a slot: the incremental version against a plain reference."""

from __future__ import annotations

import math
import random
from collections.abc import Iterator
from typing import Any, SupportsIndex

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from mothstall import interface as io
from mothstall.interface import NS
from mothstall.policy import Balancer, traffic_profile
from mothstall.policy.slots import OBSERVATION_NS
from mothstall.policy.traffic_profile import EARLY_INACTIVE_BELOW, PRIOR_REQUESTS
from tests.policy.harness import MS, START, Drive, cls, entry, sends, settings

PURE = (cls(),)
SAME = pytest.approx


class Long:
    """Reference implementation: updates every profile at the end of each slot, active or not."""

    def __init__(self, balancer: Balancer) -> None:
        self.balancer, self.short = balancer, balancer.update_rates
        self.count = len(balancer.profiles.all)
        self.seen, self.good, self.rate = ([0.0] * self.count for _ in range(3))
        self.seen_ns, self.part, self.priority = (
            0.0,
            balancer.profiles.traffic_fraction,
            balancer.profiles.priority,
        )
        self.slots = 0
        balancer.update_rates = self.close  # type: ignore[method-assign]

    def claim(self, i: int, seen: float) -> float:
        flow = self.balancer.profiles.all[i]
        part = max(self.seen[i] / seen if seen > 0 else flow.weight, 1e-3)
        return flow.quota / part if self.balancer.context.settings.tenants else flow.quota

    def close(self, span_ns: int) -> None:
        flows, keep = self.balancer.profiles.all, math.exp(-span_ns / (3 * OBSERVATION_NS))
        for i, f in enumerate(flows):
            self.rate[i] += 0.5 * (f.served_in_slot * NS / span_ns - self.rate[i])
            self.seen[i], self.good[i] = self.seen[i] * keep, self.good[i] * keep
        self.seen_ns = self.seen_ns * keep + span_ns
        even = PRIOR_REQUESTS * self.balancer.context.settings.proxies
        relative_rates = sorted(
            (self.good[i] + PRIOR_REQUESTS) / (max(f.quota, 1e-6) * self.seen_ns / NS + even)
            for i, f in enumerate(flows)
        )
        self.part = relative_rates[(len(relative_rates) - 1) // 2]
        seen = sum(self.seen)
        claims = [self.claim(i, seen) for i in range(self.count)]
        best = max(range(self.count), key=lambda i: (claims[i], -i))
        if (
            len(self.balancer.groups.slots.ended) == 1
            or claims[best] > 1.25 * claims[self.priority]
        ):
            self.priority = best
        self.slots += 1
        self.short(span_ns)
        assert all(f.served_in_slot == 0 for f in flows)


def play(
    tenants: list[io.Tenant], proxies: int, rng: random.Random, calls: int, quiet: int
) -> Iterator[tuple[Balancer, Long]]:
    """Random traffic, mostly from a few profiles, with occasional pauses below `quiet` seconds."""
    classes = PURE if tenants else tuple(cls(worth=rng.choice((1.0, 2.0, 5.0))) for _ in range(4))
    drive = Drive(
        5, seed=rng.randrange(2**32), classes=classes, tenants=tuple(tenants), proxies=proxies
    )
    long = Long(drive.balancer)
    count = long.count
    few = [rng.randrange(count) for _ in range(3)]
    for _ in range(calls):
        drive.now += rng.randrange(1, 400) * MS
        if rng.random() < 0.02:
            few[rng.randrange(3)] = rng.randrange(count)
        if rng.random() < 0.02:  # all become idle, or all but one
            until, one = drive.now + rng.randrange(quiet) * NS, rng.randrange(2)
            while drive.now < until:
                drive.now += 2 * NS
                drive.feed(io.TimerFired(drive.now))
                if one and rng.random() < 0.3:
                    ask(drive, long, few[0], rng)
        ask(drive, long, few[rng.randrange(3)] if rng.random() < 0.8 else rng.randrange(count), rng)
        yield drive.balancer, long


def ask(drive: Drive, long: Long, flow: int, rng: random.Random) -> None:
    """Send one request, which is usually served."""
    drive.balancer.limits.capacity = drive.balancer.limits.spare_capacity = 500.0
    by_tenant = bool(drive.balancer.context.settings.tenants)
    drive.feed(io.TimerFired(drive.now))  # a slot that ends now ends before the request
    rid, acts = drive.ask(0 if by_tenant else flow, tenant=flow if by_tenant else 0)
    long.seen[flow] += 1
    for act in sends(acts):
        drive.now += 20 * MS
        drive.feed(io.TimerFired(drive.now))
        good = rng.random() < 0.9
        long.good[flow] += good
        drive.end(rid, act.backend, io.AttemptResult.OK if good else io.AttemptResult.ERROR)
        drive.balancer.endpoints.by_id[act.backend].outlier.failure_score = 0.0


QUOTAS = st.one_of(st.sampled_from((0.0, 1.0, 5.0, 5.0, 40.0)), st.floats(1e-9, 1e4))
TENANTS = st.lists(st.tuples(st.floats(1e-6, 1.0), QUOTAS), max_size=30)


@hypothesis_settings(max_examples=40)
@given(rows=TENANTS, proxies=st.sampled_from((1, 2, 300)), seed=st.integers(0, 2**32))
def test_the_short_way_gives_what_the_long_way_gives(
    rows: list[tuple[float, float]], proxies: int, seed: int
) -> None:
    """Rates, counts, traffic fraction and priority while profiles turn idle, inactive and active again."""
    tenants = [io.Tenant(*row) for row in rows]
    for balancer, long in play(tenants, proxies, random.Random(seed), 120, 3000):
        assert balancer.profiles.traffic_fraction == SAME(long.part, rel=1e-12)
        assert balancer.profiles.priority == long.priority
        assert balancer.profiles.arrivals == SAME(sum(long.seen), rel=1e-12)
        for i, f in enumerate(balancer.profiles.all):
            assert f.arrivals == SAME(
                long.seen[i], rel=1e-12, abs=1e-15 * max(1.0, balancer.profiles.arrivals)
            )
            assert f.completions == SAME(long.good[i], rel=1e-12, abs=1e-15)
            assert f.rate == SAME(long.rate[i], rel=1e-12, abs=1e-15)
            assert (
                i in balancer.profiles.active
                or f.arrivals == f.completions == f.rate == f.served_in_slot == 0
            )
    assert long.slots > 10


def test_while_nobody_was_idle_for_long_the_short_way_is_the_same_to_the_digit() -> None:
    rng = random.Random(3)
    tenants = [io.Tenant(1 / 20, rng.choice((2.0, 7.5, 40.0))) for _ in range(20)]
    for balancer, long in play(tenants, 30, rng, 400, 60):
        assert (balancer.profiles.traffic_fraction, balancer.profiles.priority) == (
            long.part,
            long.priority,
        )
        assert [f.rate for f in balancer.profiles.all] == long.rate
        assert [f.arrivals for f in balancer.profiles.all] == long.seen


def test_tenants_are_forgotten_in_the_plays_above() -> None:
    """Ensures that the tests above cover profiles that become inactive and active again."""
    rng, left, back = random.Random(1), 0, 0
    tenants = [io.Tenant(1 / 20, 5.0) for _ in range(20)]
    before: set[int] = set()
    gone: set[int] = set()
    for balancer, _ in play(tenants, 30, rng, 400, 3000):
        left += len(new := before - set(balancer.profiles.active))
        back += len(gone & set(balancer.profiles.active))
        gone = (gone | new) - set(balancer.profiles.active)
        before = set(balancer.profiles.active)
    assert left > 20 and back > 20


@hypothesis_settings(max_examples=25)
@given(seed=st.integers(0, 2**32), rows=st.lists(QUOTAS, min_size=10, max_size=40))
def test_where_many_ask_the_pace_is_off_by_what_is_forgotten_at_most(
    seed: int, rows: list[float]
) -> None:
    """Above MANY_PROFILES, profiles below EARLY_INACTIVE_BELOW are inactive; this bounds the error."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(traffic_profile, "MANY_PROFILES", 4)
        tenants = [io.Tenant(1 / len(rows), quota) for quota in rows]
        for balancer, long in play(tenants, 30, random.Random(seed), 150, 120):
            assert balancer.profiles.arrivals == SAME(sum(long.seen), rel=1e-9)
            for i, f in enumerate(balancer.profiles.all):
                # A profile loses its count when it turns inactive, once per decay time at most.
                assert (
                    long.good[i] - 2 * EARLY_INACTIVE_BELOW <= f.completions <= long.good[i] + 1e-12
                )
            assert (
                long.part * PRIOR_REQUESTS / (PRIOR_REQUESTS + 2 * EARLY_INACTIVE_BELOW)
                <= balancer.profiles.traffic_fraction
                <= long.part * (1 + 1e-12)
            )


class Counted(list[Any]):
    """A list that counts element accesses."""

    looks = 0

    def __getitem__(self, at: SupportsIndex | slice) -> Any:
        self.looks += 1
        return super().__getitem__(at)

    def __iter__(self) -> Iterator[Any]:
        for one in super().__iter__():
            self.looks += 1
            yield one


def test_a_slots_end_looks_at_those_that_ask_and_not_at_all_tenants() -> None:
    """Guards against a loop over all tenants, up to half a million, that delays all requests."""
    rng, looks = random.Random(5), []
    for count in (2_000, 20_000):
        tenants = tuple(io.Tenant(1 / count, rng.uniform(1.0, 50.0)) for _ in range(count))
        balancer = Balancer(settings(classes=PURE, tenants=tenants, proxies=300), 1)
        balancer.handle(
            START, [io.EndpointUpdate(io.UpdateScope.FULL, 1, [entry(i) for i in range(1, 41)])]
        )
        kept = [
            Counted(balancer.profiles.all),
            Counted(balancer.profiles.by_quota),
            Counted(balancer.profiles.quota_rank),
        ]
        balancer.profiles.all, balancer.profiles.by_quota, balancer.profiles.quota_rank = kept
        now = START
        for number in range(400):
            now += 50 * MS
            came = io.RequestArrived(number, 0, rng.randrange(count), 0, NS, 0, False)
            for act in balancer.handle(now, [came]):
                if isinstance(act, io.SendAttempt):
                    done = io.AttemptEnded(
                        number, 0, act.backend, io.AttemptResult.OK, MS, True, ()
                    )
                    balancer.handle(now, [done])
        assert len(balancer.profiles.active) > 300 and len(balancer.groups.slots.ended) > 3
        for rows in kept:
            rows.looks = 0
        balancer.update_rates(NS)
        balancer.groups.split()
        looks.append(sum(rows.looks for rows in kept))
    assert looks[1] < 2000 and looks[1] < 1.5 * looks[0]
