"""Checks of a fleet run: which violations they find in hand-written records."""

from __future__ import annotations

import pytest

from mothstall.lab import fleet
from mothstall.lab.fleetjudge import DrainRecord, ReadRecord, RunRecord, WriteRecord, check_run
from mothstall.lab.standins import (
    BackendRequestRecord,
    ClientRequestRecord,
    EffectRecord,
    Observations,
)

SCENARIO = fleet.from_tree({"tries": "A test.", "seconds": 12.0, "expects": {"writes": 0}}, "t")


def _valid_run() -> tuple[Observations, RunRecord]:
    observed = Observations()
    for i in range(1200):
        at, proxy = i / 100, f"p{1 + i % 3}"
        observed.client_requests.append(ClientRequestRecord(at, proxy, 200, 0.01))
        observed.backend_requests.append(BackendRequestRecord(at, f"b{1 + i % 4}", proxy))
        if i % 50 == 0:
            observed.effects.append(EffectRecord(at, "b1", "p1", "probe/b1", 4, ""))
    record = RunRecord(
        writes=[WriteRecord(1, 1.0, 0.0), WriteRecord(1, 1.0, 1.1)], reads=[ReadRecord(1, 2.0, 2.1)]
    )
    return observed, record


def _violations(
    observed: Observations, record: RunRecord, spec: fleet.FleetScenario = SCENARIO
) -> list[str]:
    return [f"{b.rule}: {b.description}" for b in check_run(spec, observed, record).violations]


def test_valid_run_has_no_violation() -> None:
    assert _violations(*_valid_run()) == []


def test_token_order_violation_names_lease_tokens_processes_and_times() -> None:
    observed, record = _valid_run()
    observed.effects += [
        EffectRecord(11.9, "b1", "p2", "probe/b1", 7, ""),
        EffectRecord(11.95, "b1", "p3", "probe/b1", 6, ""),
    ]
    (violation,) = _violations(observed, record)
    assert violation == (
        "token order: b1 accepted probe/b1 token 6 of p3 at 11.950 s, after token 7 of p2 at 11.900 s"
    )
    observed.effects[-1] = EffectRecord(11.95, "b1", "p3", "probe/b1", 7, "")
    assert "one owner: probe/b1 token 7 came from p2 and from p3" in _violations(observed, record)
    observed.effects[-1] = EffectRecord(11.95, "b1", "p3", "probe/b1", 6, "older")
    assert _violations(observed, record) == [], "a rejected effect is no violation"


@pytest.mark.parametrize(
    ("break_rule", "expected"),
    [
        (
            lambda observed, record: record.reads.append(ReadRecord(0, 3.0, 3.1)),
            "acknowledged write lost",
        ),
        (
            lambda observed, record: record.reads.append(ReadRecord(9, 3.0, 3.1)),
            "a write from nowhere",
        ),
        (lambda observed, record: record.drains.append(DrainRecord("b2", "", 3.0, 9.0)), "drain: "),
        (
            lambda observed, record: record.drains.append(DrainRecord("b2", "p1", 3.0, 9.0)),
            "drain: p1 sent to b2",
        ),
        (
            lambda observed, record: observed.client_requests.extend(
                [ClientRequestRecord(5.0, "p1", 503, 0.1)] * 40
            ),
            "traffic flows",
        ),
        (
            lambda observed, record: observed.client_requests.extend(
                [ClientRequestRecord(5.0, "p1", 503, 0.1)] * 40
            ),
            "(40 503 at p1)",
        ),
        (
            lambda observed, record: observed.effects.extend(
                [EffectRecord(11.9, "b1", "p1", "probe/b1", 4, "")] * 9
            ),
            "probes",
        ),
        (
            lambda observed, record: record.command_failures.append("drain b1: no quorum"),
            "operators",
        ),
        (
            lambda observed, record: observed.backend_requests.__setitem__(
                slice(None),
                [r for r in observed.backend_requests if r.backend in ("b1", "b2") or r.at < 6.0],
            ),
            "box put out: no proxy sent to b3, b4",
        ),
    ],
)
def test_each_rule_finds_its_violation(break_rule: object, expected: str) -> None:
    observed, record = _valid_run()
    break_rule(observed, record)  # type: ignore[operator]
    assert any(expected in row for row in _violations(observed, record)), _violations(
        observed, record
    )


OBSERVER_SCENARIO = fleet.from_tree(
    {"tries": "A test.", "seconds": 12.0, "observers": 2, "expects": {"writes": 0}}, "t"
)
ALL_PROXIES = frozenset({"p1", "p2", "p3"})


@pytest.mark.parametrize(
    ("break_rule", "expected"),
    [
        (lambda record: None, ""),
        (
            lambda record: record.keeper_connections.append(("p2", "k1")),
            "keepers never: p2 dialled k1",
        ),
        (
            lambda record: record.membership_changes.append((5.0, ALL_PROXIES - {"p3"})),
            "member lost: p3 out of the log at 5.0",
        ),
        (
            lambda record: record.live_members.discard("p1"),
            "member at the end: p1 not a member at the end",
        ),
        (
            lambda record: (
                record.halted_proxies.append(("p1", 4.0, 20.0)),
                record.live_members.discard("p1"),
            ),
            "",
        ),
        (
            lambda record: (
                record.halted_proxies.append(("p3", 5.5, 9.0)),
                record.membership_changes.append((5.0, frozenset())),
            ),
            "p3",
        ),
    ],
)
def test_live_proxy_behind_observers_stays_member_and_dials_no_keeper(
    break_rule: object, expected: str
) -> None:
    observed, record = _valid_run()
    record.membership_changes, record.live_members = [(1.0, ALL_PROXIES)], set(ALL_PROXIES)
    break_rule(record)  # type: ignore[operator]
    found = _violations(observed, record, OBSERVER_SCENARIO)
    assert (found == []) if not expected else any(expected in violation for violation in found)


def test_unmet_expectation_is_a_violation() -> None:
    tree = {
        "tries": "A test.",
        "seconds": 12.0,
        "expects": {
            "refused": 1,
            "owners": 2,
            "writes": 2,
            "replaced_within": "1s",
            "quiet": ["1s", "5s"],
        },
    }
    observed, record = _valid_run()
    record.owner_faults.append(("probe/b1", 6.0))
    rows = _violations(observed, record, fleet.from_tree(tree, "t"))
    for part in (
        "late effects",
        "senders acted",
        "writes were",
        "time to replace an owner: never",
        "p1 acted on b1",
    ):
        assert any(part in row for row in rows), (part, rows)
