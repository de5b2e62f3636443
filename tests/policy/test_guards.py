"""Tests of the policy's guards, each against a single fault."""

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
from tests.policy.harness import MS, START, Driver, entry, request_class, sends, settings

PURE = (request_class(),)


def warm_driver(backends: int = 4, **changes: Any) -> Driver:
    """Return a driver whose backends have each served several requests."""
    driver = Driver(backends, **{"classes": PURE, **changes})
    for _ in range(10 * backends):
        driver.serve()
    return driver


def unsent_request(driver: Driver, class_index: int = 0, left: int = 2 * NS) -> Request:
    """Return a request to check skip reasons with; the balancer has not received it."""
    b = driver.balancer
    arrived = io.RequestArrived(0, class_index, 0, 0, left, 0, False)
    return Request(
        arrived,
        b.context.settings.classes[class_index],
        b.profiles.all[0],
        is_priority=False,
        now_ns=b.context.now_ns,
    )


def skip_reason_of(driver: Driver, number: int, class_index: int = 0) -> SkipReason:
    return driver.balancer.rotation.skip_reason(
        driver.balancer.endpoints.by_id[number], unsent_request(driver, class_index)
    )


def test_a_hung_backend_is_skipped_and_a_short_pause_does_not_eject() -> None:
    driver = warm_driver()
    rid, hung = driver.send()
    driver.wait(30 * MS)
    assert skip_reason_of(driver, hung) != SkipReason.UNHEALTHY
    driver.wait(500 * MS)
    assert skip_reason_of(driver, hung) == SkipReason.UNHEALTHY
    assert not driver.balancer.endpoints.by_id[hung].outlier.ejected_until_ns
    driver.end(rid, hung, latency=530 * MS)
    assert skip_reason_of(driver, hung) == SkipReason.NONE


def test_a_non_idempotent_request_skips_a_stalled_backend_earlier() -> None:
    driver = warm_driver(classes=(request_class(), request_class(Effect.NON_IDEMPOTENT)))
    _, unresponsive = driver.send()
    driver.wait(55 * MS)
    assert skip_reason_of(driver, unresponsive, 1) == SkipReason.UNHEALTHY
    assert skip_reason_of(driver, unresponsive, 0) != SkipReason.UNHEALTHY


def test_health_hints_alone_do_not_eject() -> None:
    driver = warm_driver()
    for _ in range(20):
        driver.feed(io.HealthHint(1))
    assert not driver.balancer.endpoints.by_id[1].outlier.ejected_until_ns, (
        "hints alone must not eject"
    )
    driver.balancer.outliers.count_failure(driver.balancer.endpoints.by_id[1], 1.0)
    assert driver.balancer.endpoints.by_id[1].outlier.ejected_until_ns, (
        "one failure after a hint must eject"
    )
    driver.feed(io.HealthHint(99))
    assert (
        99 not in driver.balancer.endpoints.by_id and driver.balancer.outliers.unhealthy_count == 1
    )


def eject(
    driver: Driver, number: int, result: AttemptResult = AttemptResult.CONNECT_FAILED
) -> None:
    b = driver.balancer.endpoints.by_id[number]
    driver.balancer.outliers.count_failure(b, EJECTION_SCORE)
    assert b.outlier.ejected_until_ns


def test_a_dead_backend_is_ejected_and_readmitted_by_one_idempotent_probe() -> None:
    driver = warm_driver(classes=(request_class(), request_class(Effect.NON_IDEMPOTENT)))
    eject(driver, 2)
    assert skip_reason_of(driver, 2) == SkipReason.UNHEALTHY
    driver.wait(NS)
    assert skip_reason_of(driver, 2, 1) == SkipReason.UNHEALTHY  # only idempotent half-open probes
    assert skip_reason_of(driver, 2) == SkipReason.NONE
    rid = probed = 0
    while probed != 2:
        rid, probed = driver.send()
    assert skip_reason_of(driver, 2) == SkipReason.UNHEALTHY  # one half-open probe at a time
    driver.end(rid, 2)
    assert driver.balancer.endpoints.by_id[2].outlier.ejected_until_ns == 0


def test_a_failed_half_open_probe_doubles_the_ejection_time() -> None:
    driver = warm_driver()
    eject(driver, 2)
    first = driver.balancer.endpoints.by_id[2].outlier.ejection_ns
    driver.wait(NS)
    eject(driver, 2)
    assert driver.balancer.endpoints.by_id[2].outlier.ejection_ns == 2 * first


def test_a_backend_with_fast_errors_is_ejected_and_not_preferred() -> None:
    driver = warm_driver(3, classes=(request_class(Effect.NON_IDEMPOTENT),))
    hits = 0
    for _ in range(60):
        rid, to = driver.send()
        driver.now += MS if to == 1 else 20 * MS
        hits += to == 1
        driver.end(
            rid,
            to,
            AttemptResult.ERROR if to == 1 else AttemptResult.OK,
            latency=MS if to == 1 else 20 * MS,
        )
    assert hits <= 6


def test_a_first_attempt_is_sent_even_if_all_backends_are_unhealthy() -> None:
    driver = warm_driver(3)
    for number in (1, 2, 3):
        eject(driver, number)
    _, to = driver.send()
    assert to in (1, 2, 3)


def test_a_retry_is_not_sent_to_an_unhealthy_backend() -> None:
    # Guards against the last unhealthy backend receiving all requests that the others rejected.
    driver = warm_driver(3)
    rid, first = driver.send()
    for number in {1, 2, 3} - {first}:
        eject(driver, number)
    acts = driver.end(rid, first, AttemptResult.ERROR)
    assert not sends(acts)
    assert any(isinstance(a, io.Reject) for a in acts)


def test_rejected_half_open_probes_keep_within_slow_start_tokens() -> None:
    # Guards against overload of a warming backend by half-open probes: the next probe
    # immediately followed a rejected one.
    driver = warm_driver(3)
    driver.feed(io.EndpointUpdate(UpdateScope.DELTA, 2, [entry(9, started=driver.now)]))
    eject(driver, 9)
    driver.wait(NS)
    hits = 0
    for _ in range(200):
        driver.now += 2 * MS
        _, acts = driver.arrive()
        for s in sends(acts):
            hits += s.backend == 9
            driver.end(
                s.request, s.backend, AttemptResult.REJECTED if s.backend == 9 else AttemptResult.OK
            )
    assert hits <= 2


def test_a_rejection_causes_a_backoff() -> None:
    # Guards against rejected requests that are retried at every backend, up to 13 attempts each.
    driver = warm_driver()
    rid, full = driver.send()
    driver.end(rid, full, AttemptResult.REJECTED)
    assert skip_reason_of(driver, full) == SkipReason.FULL
    driver.wait(100 * MS)
    assert skip_reason_of(driver, full) == SkipReason.NONE


def test_a_restart_under_the_same_id_begins_a_new_slow_start() -> None:
    driver = warm_driver()
    driver.feed(io.EndpointUpdate(UpdateScope.DELTA, 2, [entry(1, started=driver.now)]))
    b = driver.balancer.endpoints.by_id[1]
    assert driver.balancer.slow_start.warmth(b) < 0.2
    assert b.throughput.completions == 0 and b.in_flight == 0


def test_a_hedge_is_sent_only_if_the_backend_looks_faulty() -> None:
    # Guards against hedges of late requests, whose additional load made all responses late.
    driver = warm_driver()
    _, slow = driver.send()
    driver.balancer.endpoints.by_id[slow].last_progress_ns = driver.now + 1  # responds, but slowly
    assert not sends(driver.wait(NS))
    driver = warm_driver()
    rid, unresponsive_backend = driver.send()
    assert not sends(driver.wait(NS))  # one attempt without a response may be an expensive request
    driver = warm_driver()
    rid, unresponsive_backend = driver.send()
    driver.balancer.endpoints.by_id[unresponsive_backend].outlier.failure_score = 1.0
    hedges = sends(driver.wait(NS))
    assert [c.request for c in hedges] == [rid]
    assert hedges[0].backend != unresponsive_backend


def test_the_other_attempt_is_cancelled_after_a_successful_hedge() -> None:
    driver = warm_driver()
    rid, unresponsive_backend = driver.send()
    driver.balancer.endpoints.by_id[unresponsive_backend].outlier.failure_score = 1.0
    hedge = sends(driver.wait(NS))[0]
    assert io.CancelAttempt(rid, 0) in driver.end(rid, hedge.backend, attempt=1)


def exhaust_capacity(driver: Driver, **kw: int) -> list[tuple[int, int]]:
    """Send requests until the proxy has no capacity left; return those in flight."""
    in_flight: list[tuple[int, int]] = []
    for _ in range(200):
        rid, acts = driver.arrive(**kw)
        if not sends(acts):
            return in_flight
        in_flight.append((rid, sends(acts)[0].backend))
    raise AssertionError("capacity is not exhausted after 200 requests")


def test_timeouts_reduce_the_capacity() -> None:
    # Guards against overload that shows only as timeouts, as attempts end before a late response
    # arrives.
    driver = warm_driver()
    in_flight = exhaust_capacity(driver)
    before = driver.balancer.limits.capacity
    driver.now += NS
    for b in driver.balancer.endpoints.by_id.values():
        b.last_progress_ns = driver.now
    for rid, to in in_flight[:4]:
        driver.end(rid, to, AttemptResult.TIMEOUT, latency=NS)
    assert driver.balancer.limits.capacity < before


def test_some_late_responses_at_low_load_do_not_reduce_the_capacity() -> None:
    # Guards against capacity that slowly falls at low load until requests are queued needlessly.
    driver = warm_driver()
    before = driver.balancer.limits.capacity
    for i in range(200):
        driver.serve(latency=400 * MS if i % 4 == 0 else 20 * MS)
    assert driver.balancer.limits.capacity >= before - 1


def test_late_responses_reduce_a_capacity_that_is_not_used_up() -> None:
    # Guards against overload after the fleet shrank: no proxy used its full capacity, and so no
    # proxy reduced it.
    driver = warm_driver()
    before = driver.balancer.limits.capacity
    for _ in range(20):
        driver.serve(latency=400 * MS)
    assert driver.balancer.limits.capacity < before - 3


def test_requests_beyond_quota_are_rejected_first() -> None:
    # Guards against proxies with little traffic within quota that use up the fleet's capacity for
    # requests beyond quota.
    tenants = (io.Tenant(0.5, 10.0), io.Tenant(0.5, 10.0))
    driver = warm_driver(3, tenants=tenants)
    driver.balancer.limits.spare_capacity, driver.balancer.profiles.traffic_fraction = 0.0, 0.5
    for profile in driver.balancer.profiles.all:
        profile.quota_tokens, profile.quota_refilled_at_ns = 1.0, driver.now
    assert sends(driver.arrive(tenant=0)[1])
    _, acts = driver.arrive(tenant=0)  # beyond its quota at this proxy: rejected immediately
    assert [type(a) for a in acts if not isinstance(a, io.SetTimer)] == [io.Reject]
    assert sends(driver.arrive(tenant=1)[1])


def test_a_queued_profile_does_not_block_another() -> None:
    driver = warm_driver(3, classes=(request_class(), request_class(priority_weight=5.0)))
    driver.balancer.limits.spare_capacity = 0.0
    waiting, acts = driver.arrive(0)
    assert not sends(acts)
    heavier, acts = driver.arrive(1)
    assert [s.request for s in sends(acts)] == [heavier]
    driver.balancer.limits.spare_capacity = 50.0
    assert [s.request for s in sends(driver.wait(50 * MS))] == [waiting]


def test_timeouts_reduce_the_capacity_only_if_most_backends_do_not_respond() -> None:
    # Guards against an unreduced capacity when an overload leaves all backends without responses.
    for count, is_reduced in ((1, False), (4, True)):
        driver = warm_driver()
        in_flight = exhaust_capacity(driver)
        unresponsive = [in_flight[0][1], *({1, 2, 3, 4} - {in_flight[0][1]})][:count]
        for number in unresponsive:
            driver.balancer.outliers.count_failure(driver.balancer.endpoints.by_id[number], 1.0)
        before = driver.balancer.limits.capacity
        driver.now += NS
        first_in_flight = [h for h in in_flight if h[1] == unresponsive[0]]
        for rid, to in first_in_flight:
            driver.end(rid, to, AttemptResult.TIMEOUT, latency=NS)
        assert (driver.balancer.limits.capacity < before) == is_reduced


def test_initial_capacity_is_four_attempts_per_backend_over_all_proxies() -> None:
    # Guards against many proxies that overload the fleet before the first late response arrives.
    assert Driver(10, proxies=10).balancer.limits.capacity == 4.0


def test_without_capacity_a_request_waits_briefly_and_is_rejected_in_time() -> None:
    driver = warm_driver()
    exhaust_capacity(driver)
    rid, acts = driver.arrive()
    acts += driver.wait(300 * MS)
    rejections = [t for t, a in driver.log if isinstance(a, io.Reject) and a.request == rid]
    assert rejections and rejections[0] <= driver.now
    assert not any(isinstance(a, io.SendAttempt) and a.request == rid for _, a in driver.log)


def test_a_queued_request_is_sent_once_there_is_capacity() -> None:
    driver = warm_driver()
    in_flight = exhaust_capacity(driver)
    waiting = driver.next_id - 1
    acts = driver.end(*in_flight[0])
    assert [s.request for s in sends(acts)] == [waiting]


def test_a_heavy_tenant_does_not_starve_the_others() -> None:
    tenants = (io.Tenant(0.5, 50.0), io.Tenant(0.5, 50.0))
    driver = warm_driver(3, tenants=tenants)
    in_flight = exhaust_capacity(driver, tenant=0)
    served = {0: 0, 1: 0}
    arrived = {0: 0, 1: 0}
    tenant_of = dict.fromkeys(range(driver.next_id), 0)
    for turn in range(300):
        driver.now += 5 * MS
        tenant = 1 if turn % 10 == 0 else 0
        rid, acts = driver.arrive(tenant=tenant)
        tenant_of[rid] = tenant
        arrived[tenant] += 1
        if turn % 4 == 0:
            driver.balancer.limits.is_ramping_up = False
            acts += driver.end(*in_flight.pop(0))
        for s in sends(acts):
            served[tenant_of[s.request]] += 1
            in_flight.append((s.request, s.backend))
    assert served[1] + 2 >= arrived[1] * 0.8
    assert served[0] > served[1]


def test_preference_for_the_own_zone_grows_with_the_fee() -> None:
    rows = [entry(i, zone=i % 2) for i in range(1, 9)]
    own_zone_fractions = {}
    for fee in (0.0, 0.02, 0.1):
        driver = Driver(entries=rows, classes=PURE, cross_zone_fee=fee)
        own_zone_fractions[fee] = sum(driver.serve() % 2 == 0 for _ in range(200)) / 200
    assert own_zone_fractions[0.0] < own_zone_fractions[0.02] < own_zone_fractions[0.1]
    assert own_zone_fractions[0.1] > 0.95


def test_discovery_is_called_immediately_and_again_after_a_failure() -> None:
    driver = Driver(discovery_push=False)
    assert [a for _, a in driver.log if isinstance(a, io.WatchEndpoints)] == [
        io.WatchEndpoints(True)
    ]
    driver.feed(io.EndpointUpdate(UpdateScope.FAILED, 1, []))
    assert set(driver.balancer.endpoints.by_id) == {1, 2, 3, 4}
    retried_calls = [a for a in driver.wait(2 * NS) if isinstance(a, io.WatchEndpoints)]
    assert len(retried_calls) == 1


def test_calls_to_discovery_never_stop() -> None:
    driver = Driver(discovery_push=False)
    cfg = settings()
    call_times = [driver.now]
    for _ in range(60):
        acts = driver.wait(NS)
        if any(isinstance(a, io.WatchEndpoints) for a in acts):
            call_times.append(driver.now)
            if len(call_times) % 2:
                driver.feed(io.EndpointUpdate(UpdateScope.FAILED, 1, []))
    assert max(b - a for a, b in pairwise(call_times)) < cfg.poll_within_ns


@pytest.mark.parametrize("proxies", [1, 6, 30, 200, 400])
def test_calls_during_an_outage_of_discovery_keep_their_interval(proxies: int) -> None:
    """Guards against late list changes after discovery recovers: a call may take 2 s."""
    for seed in range(8):
        driver = Driver(discovery_push=False, proxies=proxies, position=proxies - 1, seed=seed)
        call_times: list[int] = []
        for _ in range(1200):
            acts = driver.wait(100 * MS, step=100 * MS)
            if any(isinstance(a, io.WatchEndpoints) for a in acts):
                call_times.append(driver.now)
                driver.feed(io.EndpointUpdate(UpdateScope.FAILED, 1, []))
        assert max(b - a for a, b in pairwise(call_times)) + 2 * NS <= settings().poll_within_ns


def test_an_outdated_list_restores_no_backend() -> None:
    driver = Driver(4)
    driver.feed(io.EndpointUpdate(UpdateScope.FULL, 5, [entry(1), entry(2)]))
    driver.feed(io.EndpointUpdate(UpdateScope.DELTA, 4, [entry(3)]))
    assert set(driver.balancer.endpoints.by_id) == {1, 2}


def test_slots_continue_without_traffic() -> None:
    driver = Driver()
    driver.wait(2 * OBSERVATION_NS)
    assert len(driver.balancer.groups.slots.ended) >= 3


def test_tight_objectives_do_not_reduce_the_capacity_of_an_idle_fleet() -> None:
    # Guards against a falling capacity if the objective is close to the service time, so that even
    # the fastest responses are late.
    driver = warm_driver(backends=4, proxies=2)
    for _ in range(100):
        driver.serve(latency=300 * MS)  # late by the objective of 500 ms, but equal to the baseline
    idle_capacity = driver.balancer.limits.capacity
    for _ in range(100):
        driver.serve(latency=300 * MS)
    assert driver.balancer.limits.capacity >= idle_capacity
    for _ in range(100):
        driver.serve(latency=495 * MS)
    assert driver.balancer.limits.capacity < idle_capacity + 1


def test_capacity_stays_at_one_attempt_per_backend_over_all_proxies() -> None:
    driver = warm_driver(6, proxies=2)
    for _ in range(100):
        driver.serve(latency=NS)
    assert driver.balancer.limits.capacity == 3.0
    assert driver.balancer.limits.spare_capacity == 1.5


def test_an_even_fraction_of_the_quota_is_within_quota() -> None:
    # Guards against rejections at low load: if all tenants send little, the estimated traffic
    # fraction of a proxy is low.
    tenants = (io.Tenant(0.5, 20.0), io.Tenant(0.5, 20.0))
    driver = warm_driver(3, tenants=tenants, proxies=2)
    driver.balancer.limits.spare_capacity, driver.balancer.profiles.traffic_fraction = 0.0, 0.01
    served = 0
    for _ in range(20):
        driver.wait(100 * MS)
        rid, acts = driver.arrive(tenant=0)
        for s in sends(acts):
            served += 1
            driver.end(rid, s.backend)
    assert served >= 18


def test_responses_beyond_the_objective_reduce_the_capacity_faster() -> None:
    # Guards against backends that stay congested for 15 s, as congestion lowers their efficiency.
    lost = {}
    for latency in (400 * MS, 600 * MS):
        driver = warm_driver(30, proxies=2)
        before = driver.balancer.limits.capacity
        driver.serve(latency=latency)
        lost[latency] = before - driver.balancer.limits.capacity
    assert lost[600 * MS] > 3 * lost[400 * MS] > 0


def test_loose_objectives_do_not_permit_long_queues() -> None:
    # Guards against long queues at backends if the objective is much longer than the service time.
    driver = warm_driver(4, classes=(request_class(),), proxies=1)
    for _ in range(60):
        driver.serve(latency=20 * MS)
    before = driver.balancer.limits.capacity
    driver.serve(latency=100 * MS)  # far below the objective, but five times the baseline
    assert driver.balancer.limits.capacity < before


def test_a_single_late_priority_request_moves_no_backend() -> None:
    # Guards against a priority group that grows with one late request per slot, which makes turns
    # uneven.
    driver = Driver(6)
    driver.wait(OBSERVATION_NS // 10 + 1)
    before = len(driver.balancer.groups.by_side[1])
    driver.serve(2, latency=900 * MS)  # class 2 has priority; later than its objective
    driver.wait(OBSERVATION_NS // 4)
    assert len(driver.balancer.groups.by_side[1]) == before


def test_queued_requests_do_not_multiply_timers() -> None:
    # Guards against a growing number of timers under overload: each queue check scheduled two more.
    driver = warm_driver()
    exhaust_capacity(driver)
    for _ in range(3):
        driver.arrive()
    for _ in range(30):
        driver.now += 10 * MS
        driver.feed(io.TimerFired(driver.now))
    assert len(driver.balancer.context.timers) < 30


def test_capacity_follows_the_list_and_stays_positive() -> None:
    # Guards against late responses after the fleet shrank to a third: the proxies kept the capacity
    # of the whole fleet.
    driver = Driver(8, classes=PURE)
    before = driver.balancer.limits.capacity
    driver.feed(
        io.EndpointUpdate(
            UpdateScope.DELTA, 2, [entry(i, health=Health.DRAINING) for i in (1, 2, 3, 4)]
        )
    )
    assert driver.balancer.limits.capacity == before / 2
    alone = Driver(1, classes=PURE)
    alone.feed(io.EndpointUpdate(UpdateScope.DELTA, 2, [entry(1, started=START)]))
    assert alone.balancer.limits.capacity > 0
    alone.wait(25 * NS)
    alone.serve()


def two_class_driver(**changes: Any) -> Driver:
    """Return a driver with two classes of different latency and few attempts in flight."""
    driver = Driver(6, **{"classes": (request_class(), request_class()), "proxies": 1, **changes})
    for _ in range(200):
        driver.serve(0, latency=40 * MS)
        driver.serve(1, latency=60 * MS)
    return driver


def hang_first_class(driver: Driver, rounds: int, latency: int = 60 * MS) -> None:
    """Leave every second request of class 0 without a response; class 1 takes `latency`."""
    for i in range(rounds):
        rid, acts = driver.arrive(0)
        for sent in sends(acts):
            if sent.request != rid:
                continue
            hedges: list[io.SendAttempt] = []
            if i % 2:
                for _ in range(4):
                    other, more = driver.arrive(1)
                    hedges += [a for a in sends(driver.wait(latency)) if a.request == rid]
                    for answered in sends(more):
                        driver.end(other, answered.backend, latency=latency)
                driver.end(rid, sent.backend, AttemptResult.TIMEOUT, latency=4 * latency)
            for n, hedge in enumerate(hedges, 1):
                driver.end(rid, hedge.backend, attempt=n, latency=40 * MS)
            if not i % 2:
                driver.now += 40 * MS
                driver.end(rid, sent.backend, latency=40 * MS)


def test_a_class_that_hangs_everywhere_costs_neither_capacity_nor_backends() -> None:
    driver = two_class_driver()
    bal, capacity_before = driver.balancer, driver.balancer.limits.capacity
    hang_first_class(driver, 120)
    assert bal.latency.shared_lateness[0] < MIN_SHARED_FRACTION <= bal.latency.shared_lateness[1]
    assert bal.limits.capacity >= capacity_before
    # A timeout of an unresponsive class has a fixed score, however long it took: it does not eject
    # a backend by itself.
    b = bal.groups.members[0]
    b.outlier.failure_score, b.outlier.ejected_until_ns = 0.0, 0
    rid, backend = driver.send(0)
    driver.now += 1900 * MS
    driver.end(rid, backend, AttemptResult.TIMEOUT, latency=1900 * MS)
    assert all(
        m.outlier.failure_score <= 1.0 or m.outlier.ejected_until_ns <= driver.now
        for m in bal.groups.members
        if m.id == backend
    )
    assert not next(m for m in bal.groups.members if m.id == backend).outlier.ejected_until_ns


def test_a_class_known_to_hang_is_hedged_although_its_backend_serves_others() -> None:
    driver = two_class_driver()
    hang_first_class(driver, 120)
    rid, backend = driver.send(0)
    member = next(b for b in driver.balancer.groups.members if b.id == backend)
    member.last_progress_ns = driver.now + MS  # it has responded to other requests since
    hedges = [a for a in sends(driver.wait(200 * MS)) if a.request == rid]
    assert len(hedges) == 1 and hedges[0].backend != backend


def test_lateness_of_all_classes_still_reduces_the_capacity() -> None:
    driver = two_class_driver()
    bal = driver.balancer
    bal.limits.capacity = 40.0
    for _ in range(40):
        driver.serve(0, latency=340 * MS)
        driver.serve(1, latency=360 * MS)
    assert min(bal.latency.shared_lateness) > MIN_SHARED_FRACTION
    assert bal.limits.capacity < 30.0


@pytest.mark.parametrize("seed", range(20))
def test_lost_responses_cost_little_capacity_while_others_are_fast(
    seed: int,
) -> None:
    driver = two_class_driver(seed=seed)
    bal = driver.balancer
    bal.limits.capacity = 30.0
    for i in range(80):
        rid, backend = driver.send(i % 2)
        member = next(b for b in bal.groups.members if b.id == backend)
        for _ in range(5):
            for class_index, latency in ((0, 40 * MS), (1, 60 * MS)):
                other, acts = driver.arrive(class_index)
                driver.now += latency
                for sent in sends(acts):
                    driver.end(other, sent.backend, latency=latency)
            member.last_progress_ns = driver.now  # it responds to other requests meanwhile
        capacity_before = bal.limits.capacity
        retries = sends(driver.end(rid, backend, AttemptResult.TIMEOUT, latency=500 * MS))
        assert bal.latency.congestion < 0.1
        assert bal.limits.capacity > capacity_before - 0.01
        for retry in retries:  # otherwise the retry would count as a missing response
            driver.end(retry.request, retry.backend, attempt=1, latency=40 * MS)


def test_a_timeout_within_the_usual_latency_changes_nothing() -> None:
    driver = two_class_driver()
    bal, usual = driver.balancer, driver.balancer.latency.usual_ns
    bal.latency.congestion = 1.0  # so that a missing response has full weight
    for _ in range(10):
        rid, backend = driver.send(0, left=int(usual))
        capacity_before = bal.limits.capacity
        driver.now += int(usual)
        driver.end(rid, backend, AttemptResult.TIMEOUT, latency=int(usual))
        assert bal.limits.capacity == capacity_before
    assert not any(
        b.outlier.failure_score or b.outlier.ejected_until_ns for b in bal.groups.members
    )
    rid, backend = driver.send(0)
    driver.now += int(4 * usual)
    driver.end(rid, backend, AttemptResult.TIMEOUT, latency=int(4 * usual))
    assert (
        next(b for b in bal.groups.members if b.id == backend).outlier.failure_score
        >= EJECTION_SCORE
    )


def test_a_request_without_enough_time_left_is_rejected_immediately() -> None:
    driver = two_class_driver()
    rid, acts = driver.arrive(0, left=int(driver.balancer.latency.usual_ns / 3))
    assert [a.request for a in acts if isinstance(a, io.Reject)] == [rid] and not sends(acts)
    # No hedge is sent either if its response could not arrive in time.
    hang_first_class(driver, 120)
    rid, backend = driver.send(0, left=int(0.9 * driver.balancer.latency.usual_ns))
    assert not [
        a
        for a in sends(driver.wait(int(0.8 * driver.balancer.latency.usual_ns)))
        if a.request == rid
    ], backend
