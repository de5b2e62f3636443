"""The paper's formulas against values computed by hand, and the two groups."""

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
from tests.policy.harness import MS, START, Drive, entry, settings


def backend(drive: Drive, number: int) -> Backend:
    return drive.balancer.endpoints.by_id[number]


def balancer() -> Balancer:
    return Balancer(settings(), 1)


def measured(
    b: Backend, at: int, span: int, arrivals: int, done: int, e: float, util: float = 0.5
) -> None:
    bal = balancer()
    bal.context.now_ns, bal.groups.slots.started_ns, bal.groups.slots.slots_per_period = (
        at,
        at - span,
        e,
    )
    b.throughput.arrivals, b.throughput.completions, b.throughput.reported_utilization = (
        arrivals,
        done,
        util,
    )
    bal.groups.measure(b, span)


def test_first_measure_is_taken_as_it_is() -> None:
    b = Backend(entry(1), START, 1.0)
    measured(b, START + NS, NS, 8, 8, 10)
    assert (b.throughput.filtered, b.throughput.corrected, b.throughput.measured) == (8.0, 8.0, 8.0)


def test_filter_5_with_weight_6() -> None:
    b = Backend(entry(1), START, 1.0)
    measured(b, START + NS, NS, 10, 10, 10)
    measured(b, START + 2 * NS, NS, 4, 4, 4.5)
    # (6): A = (9 - 1) / (9 + 1) = 0.8; (5): 0.8 * 10 + 0.2 * (4 + 10) / 2 = 9.4
    assert b.throughput.filtered == pytest.approx(9.4)


def test_burst_estimate_7_8() -> None:
    b = Backend(entry(1), START, 1.0)
    measured(b, START + 1 * NS, NS, 4, 4, 10)  # b = 0: the rate does not exceed its own mean
    measured(
        b, START + 2 * NS, NS, 8, 8, 10
    )  # above the mean of 6: b = 1/2; b was 0, so (8) adds nothing
    assert b.throughput.burstiness == 0.5
    assert b.throughput.corrected == 4.0
    measured(b, START + 3 * NS, NS, 12, 10, 10)  # above the mean of 8: b = 2/3
    # (7): (2/3 - 1/2) * (10 - 8) = 1/3; (8): 4 - 1/3 * 0.5 / 0.5 = 3.6667
    assert b.throughput.corrected == pytest.approx(4 - 1 / 3)


def test_burst_estimate_rests_when_burstiness_falls_and_never_goes_below_zero() -> None:
    b = Backend(entry(1), START, 1.0)
    measured(b, START + 1 * NS, NS, 4, 4, 10)
    measured(b, START + 2 * NS, NS, 8, 8, 10)
    before = b.throughput.corrected
    measured(b, START + 3 * NS, NS, 2, 100, 10)  # b falls from 1/2 to 1/3
    assert b.throughput.corrected == before
    b.throughput.corrected, b.throughput.burstiness, b.throughput.utilization = 0.1, 0.01, 1.0
    measured(b, START + 4 * NS, NS, 50, 500, 10)
    assert b.throughput.corrected == 0.0


def test_only_served_answers_count_as_throughput() -> None:
    drive = Drive(1)
    for result in (io.AttemptResult.ERROR, io.AttemptResult.OK, io.AttemptResult.OK):
        rid, to = drive.send(2)
        drive.now += 10_000_000
        drive.end(rid, to, result)
    assert backend(drive, 1).throughput.completions == 2


@pytest.mark.parametrize(
    ("high", "low", "low_before", "slots", "want"),
    [
        (0.6, 0.2, 0.1, 5, 12.0),  # e + low * e
        (0.3, 0.1, 0.4, 5, 13.0),  # e + high * e
        (0.0, 0.0, 0.0, 2, 5.0),  # e / n
        (0.0, 0.0, 0.0, 9, OBSERVATION_NS / MAX_SLOT_NS),  # bounded below
        (1.0, 1.0, 0.0, 9, 20.0),
    ],
)
def test_slots_by_4(high: float, low: float, low_before: float, slots: int, want: float) -> None:
    bal = balancer()
    bal.groups.slots.slots_per_period, bal.groups.slots.lowest_burstiness = 10.0, low_before
    bal.groups.slots.ended.extend(range(slots))
    assert bal.groups.slots.next_slots_per_period(high, low) == pytest.approx(want)


def test_slots_are_bounded_above() -> None:
    bal = balancer()
    bal.groups.slots.slots_per_period = 39.0
    assert bal.groups.slots.next_slots_per_period(1.0, 1.0) == OBSERVATION_NS / MIN_SLOT_NS


def test_first_slot_is_a_tenth_of_t_and_3_sets_the_next() -> None:
    drive = Drive()
    drive.wait(OBSERVATION_NS // 10)
    assert len(drive.balancer.groups.slots.ended) == 1
    drive.wait(int(OBSERVATION_NS / drive.balancer.groups.slots.slots_per_period) + 1)
    assert len(drive.balancer.groups.slots.ended) == 2


def test_distance_10() -> None:
    drive = Drive(8)
    bal = drive.balancer
    source = bal.groups.by_side[0]
    assert len(source) >= 2
    for b in source:
        b.throughput.filtered = b.throughput.corrected = -30.0  # negative estimates count as 0
    source[1].throughput.filtered, source[1].throughput.corrected = 3.0, 4.0
    source[0].throughput.filtered, source[0].throughput.corrected = 4.5, -30.0
    farthest = source[1]
    bal.groups.move_to(1)
    assert farthest in bal.groups.by_side[1]


def groups(drive: Drive) -> tuple[list[int], list[int]]:
    best_effort, priority = drive.balancer.groups.by_side
    return sorted(b.id for b in best_effort), sorted(b.id for b in priority)


def close_with(drive: Drive, priority: float, best_effort: float) -> None:
    """Close a slot with the given ratios of latency to objective for the two sides."""
    drive.wait(OBSERVATION_NS // 10 + 1)
    bal = drive.balancer
    for side, ratio in ((0, best_effort), (1, priority)):
        bal.groups.latency[side].total_ratio, bal.groups.latency[side].count = ratio * 10, 10
    bal.context.now_ns += NS
    drive.now = bal.context.now_ns
    bal._close_slot()


def test_priority_over_its_aim_takes_the_best_of_b_by_9_and_10() -> None:
    drive = Drive(6)
    for i, b in enumerate(drive.balancer.endpoints.by_id.values()):
        b.throughput.filtered, b.throughput.corrected = float(i), float(i)
    drive.wait(OBSERVATION_NS // 10 + 1)
    before_b, before_p = groups(drive)
    for b in drive.balancer.endpoints.by_id.values():
        b.throughput.filtered = b.throughput.corrected = b.throughput.measured = float(b.id)
    close_with(drive, 1.2, 0.1)
    after_b, after_p = groups(drive)
    moved = (set(after_p) - set(before_p)).pop()
    assert len(after_p) == len(before_p) + 1
    assert moved == max(before_b)
    assert moved not in after_b


def test_priority_under_half_its_aim_gives_back_when_best_effort_is_over() -> None:
    drive = Drive(6)
    drive.wait(OBSERVATION_NS // 10 + 1)
    drive.balancer.groups.move_to(1)
    before = len(groups(drive)[1])
    close_with(drive, 0.4, 1.2)
    assert len(groups(drive)[1]) == before - 1


@pytest.mark.parametrize(
    ("priority", "best_effort"), [(0.9, 1.5), (0.6, 1.5), (0.4, 0.9), (0.2, 0.1)]
)
def test_else_nobody_moves(priority: float, best_effort: float) -> None:
    drive = Drive(6)
    drive.wait(OBSERVATION_NS // 10 + 1)
    before = groups(drive)
    close_with(drive, priority, best_effort)
    assert groups(drive) == before


def test_each_group_keeps_one() -> None:
    drive = Drive(2)
    close_with(drive, 3.0, 0.1)
    assert [len(g) for g in groups(drive)] == [1, 1]


def test_split_follows_shares_in_order_of_hashed_id() -> None:
    drive = Drive(10, tenants=(io.Tenant(0.7, 70.0), io.Tenant(0.3, 31.0)))
    # Before any measurement, quota over share decides: the second tenant, with 0.3 of 10 backends.
    assert groups(drive)[1] == sorted(sorted(range(1, 11), key=lambda i: (stable_hash(i), i))[:3])


def test_priority_is_the_tenant_with_most_quota_for_its_traffic() -> None:
    drive = Drive(4, tenants=(io.Tenant(0.5, 50.0), io.Tenant(0.5, 50.0)))
    for _ in range(9):
        drive.serve(tenant=0)
    drive.serve(tenant=1)
    drive.wait(OBSERVATION_NS // 10 + 1)
    assert drive.balancer.profiles.priority == 1


def test_without_tenants_the_worthiest_class_is_priority() -> None:
    assert Drive().balancer.profiles.priority == 2


def test_newcomer_joins_the_worse_off_group_at_its_mean_estimates() -> None:
    drive = Drive(4)
    drive.wait(OBSERVATION_NS // 10 + 1)
    drive.balancer.groups.latency_ratio = [0.2, 0.9]
    for b in drive.balancer.groups.by_side[1]:
        b.throughput.filtered, b.throughput.corrected = 6.0, 8.0
    drive.feed(io.EndpointUpdate(UpdateScope.DELTA, 2, [entry(9, started=drive.now)]))
    new = backend(drive, 9)
    assert new.in_priority_group and new in drive.balancer.groups.by_side[1]
    assert (new.throughput.filtered, new.throughput.corrected) == (6.0, 8.0)


def test_leavers_leave_both_groups_and_an_empty_group_borrows() -> None:
    drive = Drive(3)
    for number in groups(drive)[1]:
        drive.feed(io.EndpointUpdate(UpdateScope.DELTA, 2, [entry(number, health=Health.DRAINING)]))
    assert groups(drive)[1] == []
    left = groups(drive)[0]
    _, to = drive.send(2)  # the priority class
    assert to in left


def test_round_robin_gives_even_turns() -> None:
    drive = Drive(5)
    members = groups(drive)[0]
    turns = [drive.serve(0) for _ in range(3 * len(members))]
    assert sorted(turns) == sorted(members * 3)
    assert turns[: len(members)] == turns[len(members) : 2 * len(members)]


def test_stable_hash_is_fixed_and_spreads() -> None:
    assert stable_hash(1) == stable_hash(1)
    ranks = sorted(range(64), key=stable_hash)
    assert ranks != list(range(64))
    assert math.isclose(sum(stable_hash(i) / 2**64 for i in range(1000)) / 1000, 0.5, abs_tol=0.05)


def test_same_events_give_the_same_actions() -> None:
    one, two = Drive(6, seed=5), Drive(6, seed=5)
    for drive in (one, two):
        for i in range(200):
            drive.serve(i % 3)
    assert one.log == two.log


# Work that must not grow with the number of backends or tenants


class Counted(list[Any]):
    """A list that counts its iterations."""

    passes = 0

    def __iter__(self) -> Iterator[Any]:
        self.passes += 1
        return super().__iter__()


def test_a_few_changed_rows_find_their_places_in_the_ring() -> None:
    rng, drive = random.Random(3), Drive(400)
    listed = set(range(1, 401))
    for version in range(2, 300):
        gone = rng.sample(sorted(listed), rng.randrange(3))
        come = [rng.randrange(1, 10_000) for _ in range(rng.randrange(4))]
        rows = [entry(n, health=rng.choice((Health.GONE, Health.DRAINING))) for n in gone]
        rows += [entry(n, started=version) for n in come]
        drive.feed(io.EndpointUpdate(UpdateScope.DELTA, version, rows))
        listed = listed - set(gone) | set(come)
        assert [b.id for b in drive.balancer.endpoints.ring] == sorted(
            listed, key=lambda n: (stable_hash(n), n)
        )
        assert all(drive.balancer.endpoints.by_id[b.id] is b for b in drive.balancer.endpoints.ring)


def test_a_few_changed_rows_hash_no_others(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against sorting the whole list for each changed row."""
    drive = Drive(400)
    asked: list[int] = []

    def hashed(number: int) -> int:
        asked.append(number)
        return stable_hash(number)

    monkeypatch.setattr("mothstall.policy.hashing.stable_hash", hashed)
    drive.feed(
        io.EndpointUpdate(
            UpdateScope.DELTA, 2, [entry(7, health=Health.GONE), entry(900, started=5)]
        )
    )
    assert set(asked) == {
        7,
        900,
        900 + 5,
    }  # the last: the hash of its start, for its first token


def test_members_are_the_run_of_the_ring_from_this_proxys_place_on() -> None:
    for position in range(9):
        drive = Drive(60, proxies=60, position=position)
        b = drive.balancer
        start = int(b.context.ring_offset * 60)
        turned = b.endpoints.ring[start:] + b.endpoints.ring[:start]
        assert {m.id for m in b.groups.members} == {m.id for m in turned[: b.subset.size]}


def test_a_slots_end_goes_through_no_profiles_but_those_that_asked() -> None:
    """Guards against work for all tenants, or for their square, at the end of each slot."""
    drive = Drive(4, tenants=tuple(io.Tenant(0.02, 2.0) for _ in range(50)))
    flows = drive.balancer.profiles.all = Counted(drive.balancer.profiles.all)
    drive.ask(tenant=7)
    drive.wait(OBSERVATION_NS // 10 + 1)
    assert drive.balancer.groups.slots.ended and set(drive.balancer.profiles.active) == {7}
    assert flows.passes == 0


def test_a_slots_end_where_all_tenants_ask_is_linear_in_them() -> None:
    """Guards against quadratic work at the end of a slot, even if all tenants send requests."""

    def lines(count: int) -> int:
        drive = Drive(4, tenants=tuple(io.Tenant(1.0 / count, 2.0) for _ in range(count)))
        for tenant in range(count):
            drive.balancer.limits.capacity = drive.balancer.limits.spare_capacity = 1e6
            drive.serve(latency=MS // 100, tenant=tenant)
        assert (
            all(flow.arrivals for flow in drive.balancer.profiles.all)
            and not drive.balancer.groups.slots.ended
        )
        flows = drive.balancer.profiles.all = Counted(drive.balancer.profiles.all)
        ran = 0

        def trace(frame: FrameType, event: str, _: object) -> Any:
            nonlocal ran
            ran += event == "line"  # also for each iteration of a one-line loop
            return trace

        before = sys.gettrace()
        sys.settrace(trace)
        try:
            drive.now += OBSERVATION_NS // 10 + 1
            drive.feed(io.TimerFired(drive.now))
        finally:
            sys.settrace(before)
        assert drive.balancer.groups.slots.ended and flows.passes < 10
        return ran

    few, many = lines(100), lines(400)
    assert few > 100 and many < 6 * few


def test_a_request_goes_through_no_profiles_but_those_that_wait() -> None:
    """Guards against work for all tenants per request while a few have queued requests."""
    drive = Drive(1, tenants=tuple(io.Tenant(0.02, 1e3) for _ in range(50)))
    drive.serve()
    drive.balancer.limits.capacity = 0.0
    for flow in drive.balancer.profiles.all:
        flow.rate = 1e6
    flows = drive.balancer.profiles.all = Counted(drive.balancer.profiles.all)
    for tenant in (0, 1, 0, 2):
        drive.ask(tenant=tenant)
    assert drive.balancer.queue.count == 4
    assert {f.index for f in drive.balancer.queue.queued.values()} == {0, 1, 2}
    assert flows.passes == 0
    drive.balancer.limits.capacity = 1e3
    drive.wait(20_000_000)
    assert drive.balancer.queue.count == 0
    drive.wait(OBSERVATION_NS)
    assert not drive.balancer.queue.queued


def test_the_greatest_weight_is_that_of_the_rows_that_are_listed() -> None:
    rng, drive, listed = random.Random(5), Drive(100), dict.fromkeys(range(1, 101), 1.0)
    for version in range(2, 200):
        number, weight = rng.randrange(1, 120), rng.choice((0.5, 1.0, 2.0, 3.5))
        health = rng.choice((Health.READY, Health.READY, Health.GONE))
        started = rng.choice((0, version))
        drive.feed(
            io.EndpointUpdate(
                UpdateScope.DELTA, version, [io.Endpoint(number, 0, 0, 0, health, weight, started)]
            )
        )
        listed.pop(number, None)
        if health == Health.READY:
            listed[number] = weight
        assert drive.balancer.endpoints.max_weight == max(listed.values())
    drive.feed(io.EndpointUpdate(UpdateScope.FULL, 500, [entry(7)]))
    assert drive.balancer.endpoints.max_weight == 1.0 and dict(
        drive.balancer.endpoints.weights
    ) == {1.0: 1}
