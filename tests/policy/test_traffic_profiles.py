"""Tests of the statistics by tenant at the end of a slot, against a reference implementation."""

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
from tests.policy.harness import MS, START, Driver, entry, request_class, sends, settings

PURE = (request_class(),)
approx = pytest.approx


class ReferenceProfiles:
    """Reference implementation: updates every profile at the end of each slot, active or not."""

    def __init__(self, balancer: Balancer) -> None:
        self.balancer, self.update_rates = balancer, balancer.update_rates
        self.count = len(balancer.profiles.all)
        self.arrivals, self.completions, self.rate = ([0.0] * self.count for _ in range(3))
        self.observed_ns, self.traffic_fraction, self.priority = (
            0.0,
            balancer.profiles.traffic_fraction,
            balancer.profiles.priority,
        )
        self.slots = 0
        balancer.update_rates = self.close  # type: ignore[method-assign]

    def claim(self, i: int, arrivals: float) -> float:
        profile = self.balancer.profiles.all[i]
        fraction = max(self.arrivals[i] / arrivals if arrivals > 0 else profile.weight, 1e-3)
        return profile.quota / fraction if self.balancer.context.settings.tenants else profile.quota

    def close(self, span_ns: int) -> None:
        profiles, keep = self.balancer.profiles.all, math.exp(-span_ns / (3 * OBSERVATION_NS))
        for i, profile in enumerate(profiles):
            self.rate[i] += 0.5 * (profile.served_in_slot * NS / span_ns - self.rate[i])
            self.arrivals[i], self.completions[i] = (
                self.arrivals[i] * keep,
                self.completions[i] * keep,
            )
        self.observed_ns = self.observed_ns * keep + span_ns
        prior_divisor = PRIOR_REQUESTS * self.balancer.context.settings.proxies
        relative_rates = sorted(
            (self.completions[i] + PRIOR_REQUESTS)
            / (max(profile.quota, 1e-6) * self.observed_ns / NS + prior_divisor)
            for i, profile in enumerate(profiles)
        )
        self.traffic_fraction = relative_rates[(len(relative_rates) - 1) // 2]
        arrivals = sum(self.arrivals)
        claims = [self.claim(i, arrivals) for i in range(self.count)]
        best = max(range(self.count), key=lambda i: (claims[i], -i))
        if (
            len(self.balancer.groups.slots.ended) == 1
            or claims[best] > 1.25 * claims[self.priority]
        ):
            self.priority = best
        self.slots += 1
        self.update_rates(span_ns)
        assert all(profile.served_in_slot == 0 for profile in profiles)


def random_traffic(
    tenants: list[io.Tenant], proxies: int, rng: random.Random, calls: int, max_pause_s: int
) -> Iterator[tuple[Balancer, ReferenceProfiles]]:
    """Send random traffic, mostly from a few profiles, with pauses below `max_pause_s`."""
    classes = (
        PURE
        if tenants
        else tuple(request_class(priority_weight=rng.choice((1.0, 2.0, 5.0))) for _ in range(4))
    )
    driver = Driver(
        5, seed=rng.randrange(2**32), classes=classes, tenants=tuple(tenants), proxies=proxies
    )
    reference = ReferenceProfiles(driver.balancer)
    count = reference.count
    frequent = [rng.randrange(count) for _ in range(3)]
    for _ in range(calls):
        driver.now += rng.randrange(1, 400) * MS
        if rng.random() < 0.02:
            frequent[rng.randrange(3)] = rng.randrange(count)
        if rng.random() < 0.02:  # a pause: no profile sends requests, or only one
            until, sends_meanwhile = driver.now + rng.randrange(max_pause_s) * NS, rng.randrange(2)
            while driver.now < until:
                driver.now += 2 * NS
                driver.feed(io.TimerFired(driver.now))
                if sends_meanwhile and rng.random() < 0.3:
                    send_request(driver, reference, frequent[0], rng)
        send_request(
            driver,
            reference,
            frequent[rng.randrange(3)] if rng.random() < 0.8 else rng.randrange(count),
            rng,
        )
        yield driver.balancer, reference


def send_request(
    driver: Driver, reference: ReferenceProfiles, index: int, rng: random.Random
) -> None:
    """Send one request, which gets a successful response with a probability of 0.9."""
    driver.balancer.limits.capacity = driver.balancer.limits.spare_capacity = 500.0
    by_tenant = bool(driver.balancer.context.settings.tenants)
    driver.feed(io.TimerFired(driver.now))  # a slot that is due ends before the request arrives
    rid, acts = driver.arrive(0 if by_tenant else index, tenant=index if by_tenant else 0)
    reference.arrivals[index] += 1
    for act in sends(acts):
        driver.now += 20 * MS
        driver.feed(io.TimerFired(driver.now))
        succeeds = rng.random() < 0.9
        reference.completions[index] += succeeds
        driver.end(rid, act.backend, io.AttemptResult.OK if succeeds else io.AttemptResult.ERROR)
        driver.balancer.endpoints.by_id[act.backend].outlier.failure_score = 0.0


QUOTAS = st.one_of(st.sampled_from((0.0, 1.0, 5.0, 5.0, 40.0)), st.floats(1e-9, 1e4))
TENANTS = st.lists(st.tuples(st.floats(1e-6, 1.0), QUOTAS), max_size=30)


@hypothesis_settings(max_examples=40)
@given(rows=TENANTS, proxies=st.sampled_from((1, 2, 300)), seed=st.integers(0, 2**32))
def test_profiles_match_the_reference(
    rows: list[tuple[float, float]], proxies: int, seed: int
) -> None:
    """Compares all statistics while profiles become idle, inactive and active again."""
    tenants = [io.Tenant(*row) for row in rows]
    for balancer, reference in random_traffic(tenants, proxies, random.Random(seed), 120, 3000):
        assert balancer.profiles.traffic_fraction == approx(reference.traffic_fraction, rel=1e-12)
        assert balancer.profiles.priority == reference.priority
        assert balancer.profiles.arrivals == approx(sum(reference.arrivals), rel=1e-12)
        for i, profile in enumerate(balancer.profiles.all):
            assert profile.arrivals == approx(
                reference.arrivals[i], rel=1e-12, abs=1e-15 * max(1.0, balancer.profiles.arrivals)
            )
            assert profile.completions == approx(reference.completions[i], rel=1e-12, abs=1e-15)
            assert profile.rate == approx(reference.rate[i], rel=1e-12, abs=1e-15)
            assert (
                i in balancer.profiles.active
                or profile.arrivals
                == profile.completions
                == profile.rate
                == profile.served_in_slot
                == 0
            )
    assert reference.slots > 10


def test_without_long_pauses_profiles_equal_the_reference_exactly() -> None:
    rng = random.Random(3)
    tenants = [io.Tenant(1 / 20, rng.choice((2.0, 7.5, 40.0))) for _ in range(20)]
    for balancer, reference in random_traffic(tenants, 30, rng, 400, 60):
        assert (balancer.profiles.traffic_fraction, balancer.profiles.priority) == (
            reference.traffic_fraction,
            reference.priority,
        )
        assert [profile.rate for profile in balancer.profiles.all] == reference.rate
        assert [profile.arrivals for profile in balancer.profiles.all] == reference.arrivals


def test_random_traffic_deactivates_and_reactivates_profiles() -> None:
    """Ensures that the tests above cover profiles that become inactive and active again."""
    rng, deactivations, reactivations = random.Random(1), 0, 0
    tenants = [io.Tenant(1 / 20, 5.0) for _ in range(20)]
    before: set[int] = set()
    deactivated: set[int] = set()
    for balancer, _ in random_traffic(tenants, 30, rng, 400, 3000):
        deactivations += len(new := before - set(balancer.profiles.active))
        reactivations += len(deactivated & set(balancer.profiles.active))
        deactivated = (deactivated | new) - set(balancer.profiles.active)
        before = set(balancer.profiles.active)
    assert deactivations > 20 and reactivations > 20


@hypothesis_settings(max_examples=25)
@given(seed=st.integers(0, 2**32), rows=st.lists(QUOTAS, min_size=10, max_size=40))
def test_early_deactivation_bounds_the_error_of_the_traffic_fraction(
    seed: int, rows: list[float]
) -> None:
    """Bounds the error if many profiles make EARLY_INACTIVE_BELOW the bound of inactive ones."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(traffic_profile, "MANY_PROFILES", 4)
        tenants = [io.Tenant(1 / len(rows), quota) for quota in rows]
        for balancer, reference in random_traffic(tenants, 30, random.Random(seed), 150, 120):
            assert balancer.profiles.arrivals == approx(sum(reference.arrivals), rel=1e-9)
            for i, profile in enumerate(balancer.profiles.all):
                # A profile loses its count when it becomes inactive, at most once per decay time.
                assert (
                    reference.completions[i] - 2 * EARLY_INACTIVE_BELOW
                    <= profile.completions
                    <= reference.completions[i] + 1e-12
                )
            assert (
                reference.traffic_fraction
                * PRIOR_REQUESTS
                / (PRIOR_REQUESTS + 2 * EARLY_INACTIVE_BELOW)
                <= balancer.profiles.traffic_fraction
                <= reference.traffic_fraction * (1 + 1e-12)
            )


class CountingList(list[Any]):
    """A list that counts element accesses."""

    accesses = 0

    def __getitem__(self, at: SupportsIndex | slice) -> Any:
        self.accesses += 1
        return super().__getitem__(at)

    def __iter__(self) -> Iterator[Any]:
        for one in super().__iter__():
            self.accesses += 1
            yield one


def test_the_end_of_a_slot_accesses_only_active_tenants() -> None:
    """Guards against a loop over all tenants, up to 500,000, which would delay all requests."""
    rng, accesses = random.Random(5), []
    for count in (2_000, 20_000):
        tenants = tuple(io.Tenant(1 / count, rng.uniform(1.0, 50.0)) for _ in range(count))
        balancer = Balancer(settings(classes=PURE, tenants=tenants, proxies=300), 1)
        balancer.handle(
            START, [io.EndpointUpdate(io.UpdateScope.FULL, 1, [entry(i) for i in range(1, 41)])]
        )
        counted = [
            CountingList(balancer.profiles.all),
            CountingList(balancer.profiles.by_quota),
            CountingList(balancer.profiles.quota_rank),
        ]
        balancer.profiles.all, balancer.profiles.by_quota, balancer.profiles.quota_rank = counted
        now = START
        for number in range(400):
            now += 50 * MS
            arrival = io.RequestArrived(number, 0, rng.randrange(count), 0, NS, 0, False)
            for act in balancer.handle(now, [arrival]):
                if isinstance(act, io.SendAttempt):
                    ended = io.AttemptEnded(
                        number, 0, act.backend, io.AttemptResult.OK, MS, True, ()
                    )
                    balancer.handle(now, [ended])
        assert len(balancer.profiles.active) > 300 and len(balancer.groups.slots.ended) > 3
        for rows in counted:
            rows.accesses = 0
        balancer.update_rates(NS)
        balancer.groups.split()
        accesses.append(sum(rows.accesses for rows in counted))
    assert accesses[1] < 2000 and accesses[1] < 1.5 * accesses[0]
