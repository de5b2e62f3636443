"""Zone weights of the region's plan: when requests follow them, and what overrides them."""

from __future__ import annotations

import pytest

from mothstall import interface as io
from mothstall.interface import NS, AttemptResult
from tests.policy.harness import MS, Drive, cls, entry

ROWS = [entry(i + 1, zone=i % 3) for i in range(9)]


def _served(drive: Drive, count: int, kind: int = 0) -> list[float]:
    zones = [0, 0, 0]
    for _ in range(count):
        zones[(drive.serve(kind) - 1) % 3] += 1
    return [n / count for n in zones]


def _told(
    drive: Drive, *parts: float, stays: float = 0.0, strength: float = 1.0, lasts: int = 60
) -> None:
    drive.feed(io.ZoneWeights(parts, stays, strength, drive.now + lasts * NS))


@pytest.mark.parametrize("fee", [0.0, 0.1])
def test_the_parts_are_kept_and_a_zone_without_one_gets_nothing(fee: float) -> None:
    drive = Drive(entries=ROWS, classes=(cls(),), cross_zone_fee=fee)
    _told(drive, 0.0, 0.7, 0.3)
    assert _served(drive, 200) == pytest.approx([0.0, 0.7, 0.3], abs=0.03)
    drive = Drive(entries=ROWS, classes=(cls(),), cross_zone_fee=fee)
    _told(drive, 0.0, 1.0, 0.0, strength=0.5)
    found = _served(drive, 300)  # the other half follows the rotation
    assert found[1] == pytest.approx(0.5 if fee else 2 / 3, abs=0.1) and found[0] > 0.2


def test_a_plan_is_over_when_its_time_is_and_without_one_nothing_changes() -> None:
    drive, bare = (Drive(entries=ROWS, classes=(cls(),), cross_zone_fee=0.1) for _ in range(2))
    _told(drive, 0.0, 1.0, 0.0, lasts=1)
    drive.now += 2 * NS
    assert _served(drive, 30) == [1.0, 0.0, 0.0]
    bare.feed(io.ZoneWeights((), 0.0, 0.0, 0))
    plain = Drive(entries=ROWS, classes=(cls(),), cross_zone_fee=0.1)
    assert [bare.serve() for _ in range(50)] == [plain.serve() for _ in range(50)]


def test_what_is_seen_at_a_box_goes_before_the_plan() -> None:
    drive = Drive(entries=ROWS, classes=(cls(),))
    _served(drive, 30)
    _told(drive, 0.0, 0.5, 0.5)
    for _ in range(12):  # each backend of zone 1 fails to connect once and is ejected
        rid, backend = drive.send()
        failed = (backend - 1) % 3 == 1
        acts = drive.end(rid, backend, AttemptResult.CONNECT_FAILED if failed else AttemptResult.OK)
        for act in acts:
            if isinstance(act, io.SendAttempt):
                drive.end(rid, act.backend, attempt=1)
    zones = _served(drive, 20)
    assert zones[1] == 0.0 and zones[2] == 1.0, "ejected backends must get no requests"


def test_what_fits_nowhere_is_refused_least_worth_first_and_with_a_time() -> None:
    classes = (cls(worth=1.0), cls(worth=5.0))
    drive = Drive(entries=ROWS, classes=classes)
    _served(drive, 60)
    _told(drive, 0.4, 0.4, 0.0, stays=0.2)
    refused = [0, 0]
    for i in range(200):
        rid, acts = drive.ask(i % 2)
        for act in acts:
            if isinstance(act, io.Reject):
                refused[i % 2] += 1
                assert act.retry_after_ns > 0
            elif isinstance(act, io.SendAttempt):
                drive.now += 20 * MS
                drive.end(rid, act.backend)
    assert refused[0] == pytest.approx(40, abs=9) and refused[1] == 0
    for _ in range(100):
        rid, acts = drive.ask(1)
        refused[1] += any(isinstance(act, io.Reject) for act in acts)
        for act in acts:
            if isinstance(act, io.SendAttempt):
                drive.now += 20 * MS
                drive.end(rid, act.backend)
    assert refused[1] == pytest.approx(20, abs=9), (
        "without requests of lower weight, others are rejected"
    )


def test_many_proxies_take_their_members_from_the_plans_zones() -> None:
    rows = [entry(i + 1, zone=i % 3) for i in range(60)]
    drives = [Drive(entries=rows, classes=(cls(),), proxies=200, position=i) for i in range(40)]
    got = [0, 0, 0]
    for drive in drives:
        _told(drive, 0.0, 0.5, 0.5)
        for _ in range(5):
            got[(drive.serve() - 1) % 3] += 1
    assert got[0] == 0 and abs(got[1] - got[2]) < 80
