"""Tests of the paper's equations, by values computed by hand, and of its two groups.

Numbers in parentheses are equations of the paper; P is the priority group, B the best-effort group,
T the observation time, b the burstiness, e the number of slots in T.
"""

from __future__ import annotations

import math
import random
import sys
from collections.abc import Iterator
from types import FrameType
from typing import Any

import pytest

from mothstall import interface as io
from mothstall.interface import NS, Health, UpdateScope
from mothstall.policy import Balancer
from mothstall.policy.backend import Backend
from mothstall.policy.hashing import stable_hash
from mothstall.policy.slots import MAX_SLOT_NS, MIN_SLOT_NS, OBSERVATION_NS
from tests.policy.harness import MS, START, Driver, entry, settings


def backend(driver: Driver, number: int) -> Backend:
    return driver.balancer.endpoints.by_id[number]


def balancer() -> Balancer:
    return Balancer(settings(), 1)


def measure_slot(
    b: Backend,
    at: int,
    span: int,
    arrivals: int,
    completions: int,
    slots_per_period: float,
    util: float = 0.5,
) -> None:
    bal = balancer()
    bal.context.now_ns, bal.groups.slots.started_ns, bal.groups.slots.slots_per_period = (
        at,
        at - span,
        slots_per_period,
    )
    b.throughput.arrivals, b.throughput.completions, b.throughput.reported_utilization = (
        arrivals,
        completions,
        util,
    )
    bal.groups.measure(b, span)


def test_the_first_measurement_sets_both_estimates() -> None:
    b = Backend(entry(1), START, 1.0)
    measure_slot(b, START + NS, NS, 8, 8, 10)
    assert (b.throughput.filtered, b.throughput.corrected, b.throughput.measured) == (
        8.0,
        8.0,
        8.0,
    )


def test_first_estimate_is_filtered_by_equations_5_and_6() -> None:
    b = Backend(entry(1), START, 1.0)
    measure_slot(b, START + NS, NS, 10, 10, 10)
    measure_slot(b, START + 2 * NS, NS, 4, 4, 4.5)
    # (6): A = (9 - 1) / (9 + 1) = 0.8; (5): 0.8 * 10 + 0.2 * (4 + 10) / 2 = 9.4
    assert b.throughput.filtered == pytest.approx(9.4)


def test_second_estimate_is_corrected_for_bursts_by_equations_7_and_8() -> None:
    b = Backend(entry(1), START, 1.0)
    measure_slot(b, START + 1 * NS, NS, 4, 4, 10)  # b = 0: the rate does not exceed its own mean
    measure_slot(
        b, START + 2 * NS, NS, 8, 8, 10
    )  # above the mean of 6: b = 1/2; b was 0, so (8) adds nothing
    assert b.throughput.burstiness == 0.5
    assert b.throughput.corrected == 4.0
    measure_slot(b, START + 3 * NS, NS, 12, 10, 10)  # above the mean of 8: b = 2/3
    # (7): (2/3 - 1/2) * (10 - 8) = 1/3; (8): 4 - 1/3 * 0.5 / 0.5 = 3.6667
    assert b.throughput.corrected == pytest.approx(4 - 1 / 3)


def test_second_estimate_ignores_falling_burstiness_and_is_never_negative() -> None:
    b = Backend(entry(1), START, 1.0)
    measure_slot(b, START + 1 * NS, NS, 4, 4, 10)
    measure_slot(b, START + 2 * NS, NS, 8, 8, 10)
    before = b.throughput.corrected
    measure_slot(b, START + 3 * NS, NS, 2, 100, 10)  # b falls from 1/2 to 1/3
    assert b.throughput.corrected == before
    b.throughput.corrected, b.throughput.burstiness, b.throughput.utilization = 0.1, 0.01, 1.0
    measure_slot(b, START + 4 * NS, NS, 50, 500, 10)
    assert b.throughput.corrected == 0.0


def test_only_successful_responses_count_as_throughput() -> None:
    driver = Driver(1)
    for result in (io.AttemptResult.ERROR, io.AttemptResult.OK, io.AttemptResult.OK):
        rid, to = driver.send(2)
        driver.now += 10_000_000
        driver.end(rid, to, result)
    assert backend(driver, 1).throughput.completions == 2


@pytest.mark.parametrize(
    ("high", "low", "low_before", "slots", "want"),
    [
        (0.6, 0.2, 0.1, 5, 12.0),  # e + low * e
        (0.3, 0.1, 0.4, 5, 13.0),  # e + high * e
        (0.0, 0.0, 0.0, 2, 5.0),  # e / number of slots that ended in T
        (0.0, 0.0, 0.0, 9, OBSERVATION_NS / MAX_SLOT_NS),  # the lower bound
        (1.0, 1.0, 0.0, 9, 20.0),
    ],
)
def test_slots_per_period_follow_equation_4(
    high: float, low: float, low_before: float, slots: int, want: float
) -> None:
    bal = balancer()
    bal.groups.slots.slots_per_period, bal.groups.slots.lowest_burstiness = 10.0, low_before
    bal.groups.slots.ended.extend(range(slots))
    assert bal.groups.slots.next_slots_per_period(high, low) == pytest.approx(want)


def test_slots_per_period_are_bounded_above() -> None:
    bal = balancer()
    bal.groups.slots.slots_per_period = 39.0
    assert bal.groups.slots.next_slots_per_period(1.0, 1.0) == OBSERVATION_NS / MIN_SLOT_NS


def test_first_slot_is_a_tenth_of_the_period_and_equation_3_sets_the_next() -> None:
    driver = Driver()
    driver.wait(OBSERVATION_NS // 10)
    assert len(driver.balancer.groups.slots.ended) == 1
    driver.wait(int(OBSERVATION_NS / driver.balancer.groups.slots.slots_per_period) + 1)
    assert len(driver.balancer.groups.slots.ended) == 2


def test_the_backend_of_the_largest_distance_by_equation_10_moves() -> None:
    driver = Driver(8)
    bal = driver.balancer
    source = bal.groups.by_side[0]
    assert len(source) >= 2
    for b in source:
        b.throughput.filtered = b.throughput.corrected = -30.0  # negative estimates count as 0
    source[1].throughput.filtered, source[1].throughput.corrected = 3.0, 4.0
    source[0].throughput.filtered, source[0].throughput.corrected = 4.5, -30.0
    farthest = source[1]
    bal.groups.move_to(1)
    assert farthest in bal.groups.by_side[1]


def groups(driver: Driver) -> tuple[list[int], list[int]]:
    best_effort, priority = driver.balancer.groups.by_side
    return sorted(b.id for b in best_effort), sorted(b.id for b in priority)


def close_slot_with(driver: Driver, priority: float, best_effort: float) -> None:
    """Close a slot with the given ratios of latency to objective for the two sides."""
    driver.wait(OBSERVATION_NS // 10 + 1)
    bal = driver.balancer
    for side, ratio in ((0, best_effort), (1, priority)):
        bal.groups.latency[side].total_ratio, bal.groups.latency[side].count = ratio * 10, 10
    bal.context.now_ns += NS
    driver.now = bal.context.now_ns
    bal._close_slot()


def test_priority_group_over_its_objective_gets_the_best_backend_of_the_other() -> None:
    driver = Driver(6)
    for i, b in enumerate(driver.balancer.endpoints.by_id.values()):
        b.throughput.filtered, b.throughput.corrected = float(i), float(i)
    driver.wait(OBSERVATION_NS // 10 + 1)
    before_b, before_p = groups(driver)
    for b in driver.balancer.endpoints.by_id.values():
        b.throughput.filtered = b.throughput.corrected = b.throughput.measured = float(b.id)
    close_slot_with(driver, 1.2, 0.1)
    after_b, after_p = groups(driver)
    moved = (set(after_p) - set(before_p)).pop()
    assert len(after_p) == len(before_p) + 1
    assert moved == max(before_b)
    assert moved not in after_b


def test_priority_group_under_half_its_objective_returns_a_backend_if_the_other_is_over() -> None:
    driver = Driver(6)
    driver.wait(OBSERVATION_NS // 10 + 1)
    driver.balancer.groups.move_to(1)
    before = len(groups(driver)[1])
    close_slot_with(driver, 0.4, 1.2)
    assert len(groups(driver)[1]) == before - 1


@pytest.mark.parametrize(
    ("priority", "best_effort"), [(0.9, 1.5), (0.6, 1.5), (0.4, 0.9), (0.2, 0.1)]
)
def test_no_backend_moves_unless_a_latency_ratio_requires_it(
    priority: float, best_effort: float
) -> None:
    driver = Driver(6)
    driver.wait(OBSERVATION_NS // 10 + 1)
    before = groups(driver)
    close_slot_with(driver, priority, best_effort)
    assert groups(driver) == before


def test_each_group_keeps_one_backend() -> None:
    driver = Driver(2)
    close_slot_with(driver, 3.0, 0.1)
    assert [len(g) for g in groups(driver)] == [1, 1]


def test_split_follows_shares_in_order_of_hashed_id() -> None:
    driver = Driver(10, tenants=(io.Tenant(0.7, 70.0), io.Tenant(0.3, 31.0)))
    # Before any measurement, priority is by quota over share: the second tenant gets 0.3 of the 10.
    assert groups(driver)[1] == sorted(sorted(range(1, 11), key=lambda i: (stable_hash(i), i))[:3])


def test_priority_is_the_tenant_with_most_quota_for_its_traffic() -> None:
    driver = Driver(4, tenants=(io.Tenant(0.5, 50.0), io.Tenant(0.5, 50.0)))
    for _ in range(9):
        driver.serve(tenant=0)
    driver.serve(tenant=1)
    driver.wait(OBSERVATION_NS // 10 + 1)
    assert driver.balancer.profiles.priority == 1


def test_without_tenants_the_class_with_the_greatest_weight_has_priority() -> None:
    assert Driver().balancer.profiles.priority == 2


def test_a_new_backend_joins_the_slower_group_with_its_mean_estimates() -> None:
    driver = Driver(4)
    driver.wait(OBSERVATION_NS // 10 + 1)
    driver.balancer.groups.latency_ratio = [0.2, 0.9]
    for b in driver.balancer.groups.by_side[1]:
        b.throughput.filtered, b.throughput.corrected = 6.0, 8.0
    driver.feed(io.EndpointUpdate(UpdateScope.DELTA, 2, [entry(9, started=driver.now)]))
    new = backend(driver, 9)
    assert new.in_priority_group and new in driver.balancer.groups.by_side[1]
    assert (new.throughput.filtered, new.throughput.corrected) == (6.0, 8.0)


def test_removed_backends_leave_their_group_and_an_empty_group_uses_the_other() -> None:
    driver = Driver(3)
    for number in groups(driver)[1]:
        driver.feed(
            io.EndpointUpdate(UpdateScope.DELTA, 2, [entry(number, health=Health.DRAINING)])
        )
    assert groups(driver)[1] == []
    left = groups(driver)[0]
    _, to = driver.send(2)  # class 2 has priority
    assert to in left


def test_round_robin_gives_even_turns() -> None:
    driver = Driver(5)
    members = groups(driver)[0]
    turns = [driver.serve(0) for _ in range(3 * len(members))]
    assert sorted(turns) == sorted(members * 3)
    assert turns[: len(members)] == turns[len(members) : 2 * len(members)]


def test_stable_hash_is_fixed_and_spreads() -> None:
    assert stable_hash(1) == stable_hash(1)
    ranks = sorted(range(64), key=stable_hash)
    assert ranks != list(range(64))
    assert math.isclose(sum(stable_hash(i) / 2**64 for i in range(1000)) / 1000, 0.5, abs_tol=0.05)


def test_same_events_give_the_same_actions() -> None:
    first, second = Driver(6, seed=5), Driver(6, seed=5)
    for driver in (first, second):
        for i in range(200):
            driver.serve(i % 3)
    assert first.log == second.log


# Limits of work: it must not grow with the number of all backends or tenants


class CountingList(list[Any]):
    """A list that counts its iterations."""

    passes = 0

    def __iter__(self) -> Iterator[Any]:
        self.passes += 1
        return super().__iter__()


def test_a_small_change_keeps_the_ring_sorted() -> None:
    rng, driver = random.Random(3), Driver(400)
    listed = set(range(1, 401))
    for version in range(2, 300):
        removed = rng.sample(sorted(listed), rng.randrange(3))
        added = [rng.randrange(1, 10_000) for _ in range(rng.randrange(4))]
        rows = [entry(n, health=rng.choice((Health.GONE, Health.DRAINING))) for n in removed]
        rows += [entry(n, started=version) for n in added]
        driver.feed(io.EndpointUpdate(UpdateScope.DELTA, version, rows))
        listed = listed - set(removed) | set(added)
        assert [b.id for b in driver.balancer.endpoints.ring] == sorted(
            listed, key=lambda n: (stable_hash(n), n)
        )
        assert all(
            driver.balancer.endpoints.by_id[b.id] is b for b in driver.balancer.endpoints.ring
        )


def test_a_small_change_hashes_only_changed_rows(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against hashing and sorting the whole list for a few changed rows."""
    driver = Driver(400)
    hashed_ids: list[int] = []

    def hashed(number: int) -> int:
        hashed_ids.append(number)
        return stable_hash(number)

    monkeypatch.setattr("mothstall.policy.hashing.stable_hash", hashed)
    driver.feed(
        io.EndpointUpdate(
            UpdateScope.DELTA, 2, [entry(7, health=Health.GONE), entry(900, started=5)]
        )
    )
    assert set(hashed_ids) == {
        7,
        900,
        900 + 5,
    }  # the last is id plus start time, hashed for the initial tokens


def test_members_are_the_ring_section_from_the_offset_of_the_proxy() -> None:
    for position in range(9):
        driver = Driver(60, proxies=60, position=position)
        b = driver.balancer
        start = int(b.context.ring_offset * 60)
        rotated = b.endpoints.ring[start:] + b.endpoints.ring[:start]
        assert {m.id for m in b.groups.members} == {m.id for m in rotated[: b.subset.size]}


def test_the_end_of_a_slot_visits_only_active_profiles() -> None:
    """Guards against linear or quadratic work in the number of all tenants at the end of a slot."""
    driver = Driver(4, tenants=tuple(io.Tenant(0.02, 2.0) for _ in range(50)))
    profiles = driver.balancer.profiles.all = CountingList(driver.balancer.profiles.all)
    driver.arrive(tenant=7)
    driver.wait(OBSERVATION_NS // 10 + 1)
    assert driver.balancer.groups.slots.ended and set(driver.balancer.profiles.active) == {7}
    assert profiles.passes == 0


def test_the_end_of_a_slot_is_linear_in_active_tenants() -> None:
    """Guards against quadratic work at the end of a slot if all tenants send requests."""

    def lines(count: int) -> int:
        driver = Driver(4, tenants=tuple(io.Tenant(1.0 / count, 2.0) for _ in range(count)))
        for tenant in range(count):
            driver.balancer.limits.capacity = driver.balancer.limits.spare_capacity = 1e6
            driver.serve(latency=MS // 100, tenant=tenant)
        assert (
            all(profile.arrivals for profile in driver.balancer.profiles.all)
            and not driver.balancer.groups.slots.ended
        )
        profiles = driver.balancer.profiles.all = CountingList(driver.balancer.profiles.all)
        ran = 0

        def trace(frame: FrameType, event: str, _: object) -> Any:
            nonlocal ran
            ran += event == "line"  # also for each iteration of a one-line loop
            return trace

        before = sys.gettrace()
        sys.settrace(trace)
        try:
            driver.now += OBSERVATION_NS // 10 + 1
            driver.feed(io.TimerFired(driver.now))
        finally:
            sys.settrace(before)
        assert driver.balancer.groups.slots.ended and profiles.passes < 10
        return ran

    few, many = lines(100), lines(400)
    assert few > 100 and many < 6 * few


def test_a_request_visits_only_queued_profiles() -> None:
    """Guards against work for all tenants at each request while only a few have queued requests."""
    driver = Driver(1, tenants=tuple(io.Tenant(0.02, 1e3) for _ in range(50)))
    driver.serve()
    driver.balancer.limits.capacity = 0.0
    for profile in driver.balancer.profiles.all:
        profile.rate = 1e6
    profiles = driver.balancer.profiles.all = CountingList(driver.balancer.profiles.all)
    for tenant in (0, 1, 0, 2):
        driver.arrive(tenant=tenant)
    assert driver.balancer.queue.count == 4
    assert {f.index for f in driver.balancer.queue.queued.values()} == {0, 1, 2}
    assert profiles.passes == 0
    driver.balancer.limits.capacity = 1e3
    driver.wait(20_000_000)
    assert driver.balancer.queue.count == 0
    driver.wait(OBSERVATION_NS)
    assert not driver.balancer.queue.queued


def test_max_weight_is_that_of_the_listed_rows() -> None:
    rng, driver, listed = random.Random(5), Driver(100), dict.fromkeys(range(1, 101), 1.0)
    for version in range(2, 200):
        number, weight = rng.randrange(1, 120), rng.choice((0.5, 1.0, 2.0, 3.5))
        health = rng.choice((Health.READY, Health.READY, Health.GONE))
        started = rng.choice((0, version))
        driver.feed(
            io.EndpointUpdate(
                UpdateScope.DELTA, version, [io.Endpoint(number, 0, 0, 0, health, weight, started)]
            )
        )
        listed.pop(number, None)
        if health == Health.READY:
            listed[number] = weight
        assert driver.balancer.endpoints.max_weight == max(listed.values())
    driver.feed(io.EndpointUpdate(UpdateScope.FULL, 500, [entry(7)]))
    assert driver.balancer.endpoints.max_weight == 1.0 and dict(
        driver.balancer.endpoints.weights
    ) == {1.0: 1}
