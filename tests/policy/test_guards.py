"""Tests of single faults that the policy guards against."""

from __future__ import annotations

from itertools import pairwise
from typing import Any

import pytest

from mothstall import interface as io
from mothstall.interface import NS, AttemptResult, Effect, Health, UpdateScope
from mothstall.policy.latency import MIN_SHARED_FRACTION
from mothstall.policy.outliers import EJECTION_SCORE
from mothstall.policy.request import Request
from mothstall.policy.rotation import SkipReason
from mothstall.policy.slots import OBSERVATION_NS
from tests.policy.harness import MS, START, Drive, cls, entry, sends, settings

PURE = (cls(),)


def warmed(backends: int = 4, **changes: Any) -> Drive:
    """Return a driver whose backends have each served several requests."""
    drive = Drive(backends, **{"classes": PURE, **changes})
    for _ in range(10 * backends):
        drive.serve()
    return drive


def probe_request(drive: Drive, kind: int = 0, left: int = 2 * NS) -> Request:
    """Return a request for checking the skip rules, which the balancer has not received."""
    b = drive.balancer
    arrived = io.RequestArrived(0, kind, 0, 0, left, 0, False)
    return Request(
        arrived,
        b.context.settings.classes[kind],
        b.profiles.all[0],
        is_priority=False,
        now_ns=b.context.now_ns,
    )


def skip(drive: Drive, number: int, kind: int = 0) -> SkipReason:
    return drive.balancer.rotation.skip_reason(
        drive.balancer.endpoints.by_id[number], probe_request(drive, kind)
    )


def test_a_hung_backend_is_skipped_and_a_short_pause_does_not_eject() -> None:
    drive = warmed()
    rid, hung = drive.send()
    drive.wait(30 * MS)
    assert skip(drive, hung) != SkipReason.UNHEALTHY
    drive.wait(500 * MS)
    assert skip(drive, hung) == SkipReason.UNHEALTHY
    assert not drive.balancer.endpoints.by_id[hung].outlier.ejected_until_ns
    drive.end(rid, hung, latency=530 * MS)
    assert skip(drive, hung) == SkipReason.NONE


def test_an_unsafe_request_is_more_careful_of_silence() -> None:
    drive = warmed(classes=(cls(), cls(Effect.NON_IDEMPOTENT)))
    _, quiet = drive.send()
    drive.wait(55 * MS)
    assert skip(drive, quiet, 1) == SkipReason.UNHEALTHY
    assert skip(drive, quiet, 0) != SkipReason.UNHEALTHY


def test_a_hint_weighs_less_than_a_failure_of_ones_own() -> None:
    drive = warmed()
    for _ in range(20):
        drive.feed(io.HealthHint(1))
    assert not drive.balancer.endpoints.by_id[1].outlier.ejected_until_ns, (
        "hints alone must not eject"
    )
    drive.balancer.outliers.count_failure(drive.balancer.endpoints.by_id[1], 1.0)
    assert drive.balancer.endpoints.by_id[1].outlier.ejected_until_ns, (
        "one failure after a hint must eject"
    )
    drive.feed(io.HealthHint(99))
    assert 99 not in drive.balancer.endpoints.by_id and drive.balancer.outliers.unhealthy_count == 1


def fail(drive: Drive, number: int, result: AttemptResult = AttemptResult.CONNECT_FAILED) -> None:
    b = drive.balancer.endpoints.by_id[number]
    drive.balancer.outliers.count_failure(b, EJECTION_SCORE)
    assert b.outlier.ejected_until_ns


def test_a_dead_backend_is_ejected_and_comes_back_by_one_mild_trial() -> None:
    drive = warmed(classes=(cls(), cls(Effect.NON_IDEMPOTENT)))
    fail(drive, 2)
    assert skip(drive, 2) == SkipReason.UNHEALTHY
    drive.wait(NS)
    assert skip(drive, 2, 1) == SkipReason.UNHEALTHY  # only idempotent half-open probes
    assert skip(drive, 2) == SkipReason.NONE
    rid = trial = 0
    while trial != 2:
        rid, trial = drive.send()
    assert skip(drive, 2) == SkipReason.UNHEALTHY  # one half-open probe at a time
    drive.end(rid, 2)
    assert drive.balancer.endpoints.by_id[2].outlier.ejected_until_ns == 0


def test_a_failed_trial_doubles_the_wait() -> None:
    drive = warmed()
    fail(drive, 2)
    first = drive.balancer.endpoints.by_id[2].outlier.ejection_ns
    drive.wait(NS)
    fail(drive, 2)
    assert drive.balancer.endpoints.by_id[2].outlier.ejection_ns == 2 * first


def test_a_backend_that_fails_fast_is_ejected_not_favoured() -> None:
    drive = warmed(3, classes=(cls(Effect.NON_IDEMPOTENT),))
    hits = 0
    for _ in range(60):
        rid, to = drive.send()
        drive.now += MS if to == 1 else 20 * MS
        hits += to == 1
        drive.end(
            rid,
            to,
            AttemptResult.ERROR if to == 1 else AttemptResult.OK,
            latency=MS if to == 1 else 20 * MS,
        )
    assert hits <= 6


def test_the_least_bad_stays_when_all_are_ill() -> None:
    drive = warmed(3)
    for number in (1, 2, 3):
        fail(drive, number)
    _, to = drive.send()
    assert to in (1, 2, 3)


def test_a_later_attempt_does_not_go_to_the_ailing() -> None:
    # Guards against the last unhealthy backend receiving all requests that the others rejected.
    drive = warmed(3)
    rid, first = drive.send()
    for number in {1, 2, 3} - {first}:
        fail(drive, number)
    acts = drive.end(rid, first, AttemptResult.ERROR)
    assert not sends(acts)
    assert any(isinstance(a, io.Reject) for a in acts)


def test_rejected_trials_keep_to_the_cold_budget() -> None:
    # Guards against overload of a warming backend by half-open probes: after a rejected probe the
    # next one followed immediately.
    drive = warmed(3)
    drive.feed(io.EndpointUpdate(UpdateScope.DELTA, 2, [entry(9, started=drive.now)]))
    fail(drive, 9)
    drive.wait(NS)
    hits = 0
    for _ in range(200):
        drive.now += 2 * MS
        _, acts = drive.ask()
        for s in sends(acts):
            hits += s.backend == 9
            drive.end(
                s.request, s.backend, AttemptResult.REJECTED if s.backend == 9 else AttemptResult.OK
            )
    assert hits <= 2


def test_a_full_backend_rests_after_a_rejection() -> None:
    # Guards against rejected requests that try every backend of the fleet, thirteen attempts each.
    drive = warmed()
    rid, full = drive.send()
    drive.end(rid, full, AttemptResult.REJECTED)
    assert skip(drive, full) == SkipReason.FULL
    drive.wait(100 * MS)
    assert skip(drive, full) == SkipReason.NONE


def test_a_new_start_under_the_same_id_is_cold_again() -> None:
    drive = warmed()
    drive.feed(io.EndpointUpdate(UpdateScope.DELTA, 2, [entry(1, started=drive.now)]))
    b = drive.balancer.endpoints.by_id[1]
    assert drive.balancer.slow_start.warmth(b) < 0.2
    assert b.throughput.completions == 0 and b.in_flight == 0


def test_second_copies_only_away_from_silence() -> None:
    # Guards against hedging requests that are merely late: the load made all responses late.
    drive = warmed()
    _, slow = drive.send()
    drive.balancer.endpoints.by_id[slow].last_progress_ns = drive.now + 1  # it serves others
    assert not sends(drive.wait(NS))
    drive = warmed()
    rid, silent = drive.send()
    assert not sends(drive.wait(NS))  # one attempt without a response may be an expensive request
    drive = warmed()
    rid, silent = drive.send()
    drive.balancer.endpoints.by_id[silent].outlier.failure_score = 1.0
    copies = sends(drive.wait(NS))
    assert [c.request for c in copies] == [rid]
    assert copies[0].backend != silent


def test_the_other_copy_is_cancelled_once_one_is_served() -> None:
    drive = warmed()
    rid, silent = drive.send()
    drive.balancer.endpoints.by_id[silent].outlier.failure_score = 1.0
    copy = sends(drive.wait(NS))[0]
    assert io.CancelAttempt(rid, 0) in drive.end(rid, copy.backend, attempt=1)


def full_house(drive: Drive, **kw: int) -> list[tuple[int, int]]:
    """Send requests until the proxy has no capacity left; return those in flight."""
    held: list[tuple[int, int]] = []
    for _ in range(200):
        rid, acts = drive.ask(**kw)
        if not sends(acts):
            return held
        held.append((rid, sends(acts)[0].backend))
    raise AssertionError("capacity is not exhausted after 200 requests")


def test_time_outs_shrink_the_room() -> None:
    # Guards against overload that only shows as timeouts: attempts are given up before a late
    # response arrives.
    drive = warmed()
    held = full_house(drive)
    before = drive.balancer.limits.capacity
    drive.now += NS
    for b in drive.balancer.endpoints.by_id.values():
        b.last_progress_ns = drive.now
    for rid, to in held[:4]:
        drive.end(rid, to, AttemptResult.TIMEOUT, latency=NS)
    assert drive.balancer.limits.capacity < before


def test_some_late_answers_in_an_empty_house_do_not_shrink_it() -> None:
    # Guards against capacity that drifts down at low load until requests are queued needlessly.
    drive = warmed()
    before = drive.balancer.limits.capacity
    for i in range(200):
        drive.serve(latency=400 * MS if i % 4 == 0 else 20 * MS)
    assert drive.balancer.limits.capacity >= before - 1


def test_late_answers_shrink_a_room_that_is_not_full() -> None:
    # Guards against overload after the fleet shrank: no proxy used its full capacity, so that none
    # reduced it.
    drive = warmed()
    before = drive.balancer.limits.capacity
    for _ in range(20):
        drive.serve(latency=400 * MS)
    assert drive.balancer.limits.capacity < before - 3


def test_beyond_share_requests_give_way_first() -> None:
    # Guards against proxies with little traffic within quota that fill the fleet with requests
    # beyond quota.
    tenants = (io.Tenant(0.5, 10.0), io.Tenant(0.5, 10.0))
    drive = warmed(3, tenants=tenants)
    drive.balancer.limits.spare_capacity, drive.balancer.profiles.traffic_fraction = 0.0, 0.5
    for flow in drive.balancer.profiles.all:
        flow.quota_tokens, flow.quota_refilled_at_ns = 1.0, drive.now
    assert sends(drive.ask(tenant=0)[1])
    _, acts = drive.ask(tenant=0)  # beyond its quota at this proxy: rejected immediately
    assert [type(a) for a in acts if not isinstance(a, io.SetTimer)] == [io.Reject]
    assert sends(drive.ask(tenant=1)[1])


def test_a_flow_that_must_wait_does_not_block_the_next() -> None:
    drive = warmed(3, classes=(cls(), cls(worth=5.0)))
    drive.balancer.limits.spare_capacity = 0.0
    waiting, acts = drive.ask(0)
    assert not sends(acts)
    worthy, acts = drive.ask(1)
    assert [s.request for s in sends(acts)] == [worthy]
    drive.balancer.limits.spare_capacity = 50.0
    assert [s.request for s in sends(drive.wait(50 * MS))] == [waiting]


def test_silence_of_a_few_is_theirs_but_of_most_is_overload() -> None:
    # Guards against overload in which no backend responds: it must reduce the capacity.
    for silent, shrinks in ((1, False), (4, True)):
        drive = warmed()
        held = full_house(drive)
        quiet = [held[0][1], *({1, 2, 3, 4} - {held[0][1]})][:silent]
        for number in quiet:
            drive.balancer.outliers.count_failure(drive.balancer.endpoints.by_id[number], 1.0)
        before = drive.balancer.limits.capacity
        drive.now += NS
        mine = [h for h in held if h[1] == quiet[0]]
        for rid, to in mine:
            drive.end(rid, to, AttemptResult.TIMEOUT, latency=NS)
        assert (drive.balancer.limits.capacity < before) == shrinks


def test_room_opens_from_four_a_backend_for_all_proxies_together() -> None:
    # Guards against many proxies that fill every backend before the first late response arrives.
    assert Drive(10, proxies=10).balancer.limits.capacity == 4.0


def test_no_room_means_a_short_wait_and_then_a_refusal_in_time() -> None:
    drive = warmed()
    full_house(drive)
    rid, acts = drive.ask()
    acts += drive.wait(300 * MS)
    refused = [t for t, a in drive.log if isinstance(a, io.Reject) and a.request == rid]
    assert refused and refused[0] <= drive.now
    assert not any(isinstance(a, io.SendAttempt) and a.request == rid for _, a in drive.log)


def test_what_waits_is_sent_as_soon_as_there_is_room() -> None:
    drive = warmed()
    held = full_house(drive)
    waiting = drive.next_id - 1
    acts = drive.end(*held[0])
    assert [s.request for s in sends(acts)] == [waiting]


def test_a_heavy_tenant_does_not_starve_the_others() -> None:
    tenants = (io.Tenant(0.5, 50.0), io.Tenant(0.5, 50.0))
    drive = warmed(3, tenants=tenants)
    busy = full_house(drive, tenant=0)
    served = {0: 0, 1: 0}
    asked = {0: 0, 1: 0}
    whose = dict.fromkeys(range(drive.next_id), 0)
    for turn in range(300):
        drive.now += 5 * MS
        tenant = 1 if turn % 10 == 0 else 0
        rid, acts = drive.ask(tenant=tenant)
        whose[rid] = tenant
        asked[tenant] += 1
        if turn % 4 == 0:
            drive.balancer.limits.is_ramping_up = False
            acts += drive.end(*busy.pop(0))
        for s in sends(acts):
            served[whose[s.request]] += 1
            busy.append((s.request, s.backend))
    assert served[1] + 2 >= asked[1] * 0.8
    assert served[0] > served[1]


def test_own_zone_takes_its_part_of_turns_by_the_fee() -> None:
    rows = [entry(i, zone=i % 2) for i in range(1, 9)]
    near = {}
    for fee in (0.0, 0.02, 0.1):
        drive = Drive(entries=rows, classes=PURE, cross_zone_fee=fee)
        near[fee] = sum(drive.serve() % 2 == 0 for _ in range(200)) / 200
    assert near[0.0] < near[0.02] < near[0.1]
    assert near[0.1] > 0.95


def test_discovery_is_asked_at_once_and_again_after_a_failure() -> None:
    drive = Drive(discovery_push=False)
    assert [a for _, a in drive.log if isinstance(a, io.WatchEndpoints)] == [
        io.WatchEndpoints(True)
    ]
    drive.feed(io.EndpointUpdate(UpdateScope.FAILED, 1, []))
    assert set(drive.balancer.endpoints.by_id) == {1, 2, 3, 4}
    again = [a for a in drive.wait(2 * NS) if isinstance(a, io.WatchEndpoints)]
    assert len(again) == 1


def test_discovery_never_falls_silent() -> None:
    drive = Drive(discovery_push=False)
    cfg = settings()
    asked = [drive.now]
    for _ in range(60):
        acts = drive.wait(NS)
        if any(isinstance(a, io.WatchEndpoints) for a in acts):
            asked.append(drive.now)
            if len(asked) % 2:
                drive.feed(io.EndpointUpdate(UpdateScope.FAILED, 1, []))
    assert max(b - a for a, b in pairwise(asked)) < cfg.poll_within_ns


@pytest.mark.parametrize("proxies", [1, 6, 30, 200, 400])
def test_however_long_discovery_is_down_the_next_call_comes_in_time(proxies: int) -> None:
    """Guards against changes read too late after discovery recovers; a call may take 2 s."""
    for seed in range(8):
        drive = Drive(discovery_push=False, proxies=proxies, position=proxies - 1, seed=seed)
        asked: list[int] = []
        for _ in range(1200):
            acts = drive.wait(100 * MS, step=100 * MS)
            if any(isinstance(a, io.WatchEndpoints) for a in acts):
                asked.append(drive.now)
                drive.feed(io.EndpointUpdate(UpdateScope.FAILED, 1, []))
        assert max(b - a for a, b in pairwise(asked)) + 2 * NS <= settings().poll_within_ns


def test_a_stale_list_brings_nothing_back() -> None:
    drive = Drive(4)
    drive.feed(io.EndpointUpdate(UpdateScope.FULL, 5, [entry(1), entry(2)]))
    drive.feed(io.EndpointUpdate(UpdateScope.DELTA, 4, [entry(3)]))
    assert set(drive.balancer.endpoints.by_id) == {1, 2}


def test_slots_go_on_without_traffic() -> None:
    drive = Drive()
    drive.wait(2 * OBSERVATION_NS)
    assert len(drive.balancer.groups.slots.ended) >= 3


def test_aims_near_the_work_do_not_shrink_the_room_of_an_idle_fleet() -> None:
    # Guards against objectives close to the service time: even the fastest responses were late.
    drive = warmed(backends=4, proxies=2)
    for _ in range(100):
        drive.serve(latency=300 * MS)  # over 0.45 of the objective of 500 ms, but the baseline
    calm = drive.balancer.limits.capacity
    for _ in range(100):
        drive.serve(latency=300 * MS)
    assert drive.balancer.limits.capacity >= calm
    for _ in range(100):
        drive.serve(latency=495 * MS)
    assert drive.balancer.limits.capacity < calm + 1


def test_room_never_falls_below_one_attempt_a_backend_over_all_proxies() -> None:
    drive = warmed(6, proxies=2)
    for _ in range(100):
        drive.serve(latency=NS)
    assert drive.balancer.limits.capacity == 3.0
    assert drive.balancer.limits.spare_capacity == 1.5


def test_an_even_part_of_the_allowance_is_inside_the_share() -> None:
    # Guards against rejections at low load: if all tenants send little, the typical rate is below
    # any quota.
    tenants = (io.Tenant(0.5, 20.0), io.Tenant(0.5, 20.0))
    drive = warmed(3, tenants=tenants, proxies=2)
    drive.balancer.limits.spare_capacity, drive.balancer.profiles.traffic_fraction = 0.0, 0.01
    served = 0
    for _ in range(20):
        drive.wait(100 * MS)
        rid, acts = drive.ask(tenant=0)
        for s in sends(acts):
            served += 1
            drive.end(rid, s.backend)
    assert served >= 18


def test_answers_past_the_aim_shrink_the_room_faster() -> None:
    # Guards against congested backends that lose efficiency and stay congested for 15 s.
    lost = {}
    for latency in (400 * MS, 600 * MS):
        drive = warmed(30, proxies=2)
        before = drive.balancer.limits.capacity
        drive.serve(latency=latency)
        lost[latency] = before - drive.balancer.limits.capacity
    assert lost[600 * MS] > 3 * lost[400 * MS] > 0


def test_far_aims_do_not_let_queues_grow() -> None:
    # Guards against long queues at backends if the objective is many service times.
    drive = warmed(4, classes=(cls(),), proxies=1)
    for _ in range(60):
        drive.serve(latency=20 * MS)
    before = drive.balancer.limits.capacity
    drive.serve(latency=100 * MS)  # far below the objective, but five times the baseline
    assert drive.balancer.limits.capacity < before


def test_a_single_late_priority_request_moves_nobody() -> None:
    # Guards against one late request per slot that grows P and makes turns uneven.
    drive = Drive(6)
    drive.wait(OBSERVATION_NS // 10 + 1)
    before = len(drive.balancer.groups.by_side[1])
    drive.serve(2, latency=900 * MS)  # the priority class, beyond its objective
    drive.wait(OBSERVATION_NS // 4)
    assert len(drive.balancer.groups.by_side[1]) == before


def test_waiting_requests_do_not_breed_timers() -> None:
    # Guards against timers that multiply under overload: each check of the queue scheduled two more.
    drive = warmed()
    full_house(drive)
    for _ in range(3):
        drive.ask()
    for _ in range(30):
        drive.now += 10 * MS
        drive.feed(io.TimerFired(drive.now))
    assert len(drive.balancer.context.timers) < 30


def test_room_falls_with_what_leaves_the_list_and_never_to_nothing() -> None:
    # Guards against a fleet that shrank to a third but kept its full capacity, so that late
    # responses accumulated.
    drive = Drive(8, classes=PURE)
    before = drive.balancer.limits.capacity
    drive.feed(
        io.EndpointUpdate(
            UpdateScope.DELTA, 2, [entry(i, health=Health.DRAINING) for i in (1, 2, 3, 4)]
        )
    )
    assert drive.balancer.limits.capacity == before / 2
    alone = Drive(1, classes=PURE)
    alone.feed(io.EndpointUpdate(UpdateScope.DELTA, 2, [entry(1, started=START)]))
    assert alone.balancer.limits.capacity > 0
    alone.wait(25 * NS)
    alone.serve()


def usual_day(**changes: Any) -> Drive:
    """Return a driver with two classes of different latency and few attempts in flight."""
    drive = Drive(6, **{"classes": (cls(), cls()), "proxies": 1, **changes})
    for _ in range(200):
        drive.serve(0, latency=40 * MS)
        drive.serve(1, latency=60 * MS)
    return drive


def hang(drive: Drive, rounds: int, latency: int = 60 * MS) -> None:
    """Every second request of class 0 gets no response at any backend; class 1 takes `latency`."""
    for i in range(rounds):
        rid, acts = drive.ask(0)
        for sent in sends(acts):
            if sent.request != rid:
                continue
            copies: list[io.SendAttempt] = []
            if i % 2:
                for _ in range(4):
                    other, more = drive.ask(1)
                    copies += [a for a in sends(drive.wait(latency)) if a.request == rid]
                    for answered in sends(more):
                        drive.end(other, answered.backend, latency=latency)
                drive.end(rid, sent.backend, AttemptResult.TIMEOUT, latency=4 * latency)
            for n, copy in enumerate(copies, 1):
                drive.end(rid, copy.backend, attempt=n, latency=40 * MS)
            if not i % 2:
                drive.now += 40 * MS
                drive.end(rid, sent.backend, latency=40 * MS)


def test_a_class_that_hangs_everywhere_takes_neither_the_room_nor_the_backends() -> None:
    drive = usual_day()
    bal, room = drive.balancer, drive.balancer.limits.capacity
    hang(drive, 120)
    assert bal.latency.shared_lateness[0] < MIN_SHARED_FRACTION <= bal.latency.shared_lateness[1]
    assert bal.limits.capacity >= room
    # A timeout of an unresponsive class counts as one failure, however long it was: it does not
    # eject a backend by itself.
    b = bal.groups.members[0]
    b.outlier.failure_score, b.outlier.ejected_until_ns = 0.0, 0
    rid, backend = drive.send(0)
    drive.now += 1900 * MS
    drive.end(rid, backend, AttemptResult.TIMEOUT, latency=1900 * MS)
    assert all(
        m.outlier.failure_score <= 1.0 or m.outlier.ejected_until_ns <= drive.now
        for m in bal.groups.members
        if m.id == backend
    )
    assert not next(m for m in bal.groups.members if m.id == backend).outlier.ejected_until_ns


def test_a_class_known_to_hang_gets_a_copy_although_its_backend_answers_others() -> None:
    drive = usual_day()
    hang(drive, 120)
    rid, backend = drive.send(0)
    held = next(b for b in drive.balancer.groups.members if b.id == backend)
    held.last_progress_ns = drive.now + MS  # it has responded to others since
    copies = [a for a in sends(drive.wait(200 * MS)) if a.request == rid]
    assert len(copies) == 1 and copies[0].backend != backend


def test_lateness_that_all_classes_show_still_shrinks_the_room() -> None:
    drive = usual_day()
    bal = drive.balancer
    bal.limits.capacity = 40.0
    for _ in range(40):
        drive.serve(0, latency=340 * MS)
        drive.serve(1, latency=360 * MS)
    assert min(bal.latency.shared_lateness) > MIN_SHARED_FRACTION
    assert bal.limits.capacity < 30.0


@pytest.mark.parametrize("seed", range(20))
def test_lost_answers_of_every_class_take_little_room_while_the_others_come_at_once(
    seed: int,
) -> None:
    drive = usual_day(seed=seed)
    bal = drive.balancer
    bal.limits.capacity = 30.0
    for i in range(80):
        rid, backend = drive.send(i % 2)
        held = next(b for b in bal.groups.members if b.id == backend)
        for _ in range(5):
            for kind, latency in ((0, 40 * MS), (1, 60 * MS)):
                other, acts = drive.ask(kind)
                drive.now += latency
                for sent in sends(acts):
                    drive.end(other, sent.backend, latency=latency)
            held.last_progress_ns = drive.now  # it responds to others meanwhile
        room = bal.limits.capacity
        repeats = sends(drive.end(rid, backend, AttemptResult.TIMEOUT, latency=500 * MS))
        assert bal.latency.congestion < 0.1
        assert bal.limits.capacity > room - 0.01
        for repeat in repeats:  # without an end it would count as a missing response
            drive.end(repeat.request, repeat.backend, attempt=1, latency=40 * MS)


def test_a_time_out_no_longer_than_usual_tells_nothing_of_room_or_backend() -> None:
    drive = usual_day()
    bal, usual = drive.balancer, drive.balancer.latency.usual_ns
    bal.latency.congestion = 1.0  # so that a missing response has full weight
    for _ in range(10):
        rid, backend = drive.send(0, left=int(usual))
        room = bal.limits.capacity
        drive.now += int(usual)
        drive.end(rid, backend, AttemptResult.TIMEOUT, latency=int(usual))
        assert bal.limits.capacity == room
    assert not any(
        b.outlier.failure_score or b.outlier.ejected_until_ns for b in bal.groups.members
    )
    rid, backend = drive.send(0)
    drive.now += int(4 * usual)
    drive.end(rid, backend, AttemptResult.TIMEOUT, latency=int(4 * usual))
    assert (
        next(b for b in bal.groups.members if b.id == backend).outlier.failure_score
        >= EJECTION_SCORE
    )


def test_what_cannot_be_served_in_the_time_left_is_refused_at_once_and_not_sent() -> None:
    drive = usual_day()
    rid, acts = drive.ask(0, left=int(drive.balancer.latency.usual_ns / 3))
    assert [a.request for a in acts if isinstance(a, io.Reject)] == [rid] and not sends(acts)
    # No hedge is sent either if its response could not arrive in time.
    hang(drive, 120)
    rid, backend = drive.send(0, left=int(0.9 * drive.balancer.latency.usual_ns))
    assert not [
        a for a in sends(drive.wait(int(0.8 * drive.balancer.latency.usual_ns))) if a.request == rid
    ], backend
