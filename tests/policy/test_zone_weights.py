"""Tests of zone weights: when requests follow them, and which conditions take precedence."""

from __future__ import annotations

import pytest

from mothstall import interface as io
from mothstall.interface import NS, AttemptResult
from tests.policy.harness import MS, Driver, entry, request_class

ROWS = [entry(i + 1, zone=i % 3) for i in range(9)]


def _served(driver: Driver, count: int, class_index: int = 0) -> list[float]:
    zones = [0, 0, 0]
    for _ in range(count):
        zones[(driver.serve(class_index) - 1) % 3] += 1
    return [n / count for n in zones]


def _set_weights(
    driver: Driver,
    *parts: float,
    rejected: float = 0.0,
    strength: float = 1.0,
    lifetime_s: int = 60,
) -> None:
    driver.feed(io.ZoneWeights(parts, rejected, strength, driver.now + lifetime_s * NS))


@pytest.mark.parametrize("fee", [0.0, 0.1])
def test_requests_follow_the_weights_and_a_zone_without_weight_gets_none(fee: float) -> None:
    driver = Driver(entries=ROWS, classes=(request_class(),), cross_zone_fee=fee)
    _set_weights(driver, 0.0, 0.7, 0.3)
    assert _served(driver, 200) == pytest.approx([0.0, 0.7, 0.3], abs=0.03)
    driver = Driver(entries=ROWS, classes=(request_class(),), cross_zone_fee=fee)
    _set_weights(driver, 0.0, 1.0, 0.0, strength=0.5)
    found = _served(driver, 300)  # half of the requests ignore the weights
    assert found[1] == pytest.approx(0.5 if fee else 2 / 3, abs=0.1) and found[0] > 0.2


def test_weights_expire_and_empty_weights_change_nothing() -> None:
    driver, bare = (
        Driver(entries=ROWS, classes=(request_class(),), cross_zone_fee=0.1) for _ in range(2)
    )
    _set_weights(driver, 0.0, 1.0, 0.0, lifetime_s=1)
    driver.now += 2 * NS
    assert _served(driver, 30) == [1.0, 0.0, 0.0]
    bare.feed(io.ZoneWeights((), 0.0, 0.0, 0))
    plain = Driver(entries=ROWS, classes=(request_class(),), cross_zone_fee=0.1)
    assert [bare.serve() for _ in range(50)] == [plain.serve() for _ in range(50)]


def test_ejections_override_the_weights() -> None:
    driver = Driver(entries=ROWS, classes=(request_class(),))
    _served(driver, 30)
    _set_weights(driver, 0.0, 0.5, 0.5)
    for _ in range(12):  # connects to zone 1 fail, which ejects its backends
        rid, backend = driver.send()
        failed = (backend - 1) % 3 == 1
        acts = driver.end(
            rid, backend, AttemptResult.CONNECT_FAILED if failed else AttemptResult.OK
        )
        for act in acts:
            if isinstance(act, io.SendAttempt):
                driver.end(rid, act.backend, attempt=1)
    zones = _served(driver, 20)
    assert zones[1] == 0.0 and zones[2] == 1.0, "ejected backends must get no requests"


def test_excess_traffic_is_rejected_by_priority_weight_with_retry_after() -> None:
    classes = (request_class(priority_weight=1.0), request_class(priority_weight=5.0))
    driver = Driver(entries=ROWS, classes=classes)
    _served(driver, 60)
    _set_weights(driver, 0.4, 0.4, 0.0, rejected=0.2)
    rejections = [0, 0]
    for i in range(200):
        rid, acts = driver.arrive(i % 2)
        for act in acts:
            if isinstance(act, io.Reject):
                rejections[i % 2] += 1
                assert act.retry_after_ns > 0
            elif isinstance(act, io.SendAttempt):
                driver.now += 20 * MS
                driver.end(rid, act.backend)
    assert rejections[0] == pytest.approx(40, abs=9) and rejections[1] == 0
    for _ in range(100):
        rid, acts = driver.arrive(1)
        rejections[1] += any(isinstance(act, io.Reject) for act in acts)
        for act in acts:
            if isinstance(act, io.SendAttempt):
                driver.now += 20 * MS
                driver.end(rid, act.backend)
    assert rejections[1] == pytest.approx(20, abs=9), (
        "without requests of lower weight, others are rejected"
    )


def test_many_proxies_select_members_only_from_zones_with_weight() -> None:
    rows = [entry(i + 1, zone=i % 3) for i in range(60)]
    drives = [
        Driver(entries=rows, classes=(request_class(),), proxies=200, position=i) for i in range(40)
    ]
    got = [0, 0, 0]
    for driver in drives:
        _set_weights(driver, 0.0, 0.5, 0.5)
        for _ in range(5):
            got[(driver.serve() - 1) % 3] += 1
    assert got[0] == 0 and abs(got[1] - got[2]) < 80
