"""The checker finds each kind of violation, in prepared ledgers and in runs of `careless`."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from mothstall.interface import NS
from mothstall.lab import runs, scenario
from mothstall.lab.judge import RULES, check_run
from mothstall.lab.ledger import (
    Arrival,
    AttemptOutcome,
    BackendIncarnation,
    ClientRequest,
    ColdOverload,
    Intent,
    Ledger,
    Outcome,
)

MS = 1_000_000
SCENE = scenario.from_tree(
    {
        "tries": "A test.",
        "seconds": 10.0,
        "classes": [
            {"name": "look", "part": 1, "work": "20ms"},
            {
                "name": "file",
                "part": 1,
                "work": "20ms",
                "effect": "keyed",
                "group": "zone",
                "window": "1s",
            },
            {"name": "sign", "part": 1, "work": "20ms", "effect": "unsafe"},
        ],
    },
    "judged",
)
LOOK, FILE, SIGN = range(3)


def book(cls: int = LOOK, answer: Outcome = Outcome.SERVED) -> tuple[Ledger, ClientRequest]:
    """A ledger with one served request: sent at 1 s, at backend 1 after 2 ms, answered after 30."""
    ledger = Ledger()
    for box, zone in ((1, 0), (2, 1), (3, 0)):
        ledger.incarnations.append(BackendIncarnation(box, zone, 0, 2, 1.0, 0))
    intent = Intent(1, cls, 0, 0, 0, NS, 20 * MS, False, True, False, 0.5)
    intent.served_at = NS + 30 * MS if answer == Outcome.SERVED else -1
    row = ClientRequest(1, intent, 0, NS, NS + 1500 * MS, NS + MS, answer, NS + 30 * MS, 1)
    ledger.intents.append(intent)
    ledger.requests.append(row)
    arrive(ledger, 2)
    return ledger, row


def arrive(
    ledger: Ledger, after_ms: int, box: int = 1, outcome: AttemptOutcome = AttemptOutcome.SERVED
) -> None:
    at = NS + after_ms * MS
    ledger.attempts.append(Arrival(1, 0, box, at, 20 * MS, outcome, at + 20 * MS, 20 * MS))


def lost() -> Ledger:
    ledger, row = book(answer=Outcome.SILENT)
    row.response_count = 0
    return ledger


def cut_short() -> Ledger:
    return book(answer=Outcome.BROKEN)[0]


def double() -> Ledger:
    ledger, row = book()
    row.response_count = 2
    return ledger


def sent_after() -> Ledger:
    ledger, _ = book()
    arrive(ledger, 200)
    return ledger


def unsafe_again() -> Ledger:
    ledger, row = book(SIGN)
    row.at = NS + 400 * MS
    arrive(ledger, 100, 3)
    return ledger


def keyed_elsewhere() -> Ledger:
    ledger, row = book(FILE)
    row.at = NS + 400 * MS
    arrive(ledger, 100, 2)
    return ledger


def keyed_too_late() -> Ledger:
    ledger, row = book(FILE)
    row.at = NS + 1400 * MS
    arrive(ledger, 1200, 3)
    return ledger


def twice() -> Ledger:
    ledger, row = book(SIGN)
    row.intent.effects += [(NS, 1), (2 * NS, 2)]
    return ledger


def refused() -> Ledger:
    return book(SIGN, Outcome.REFUSED)[0]


def refused_outside_all() -> Ledger:
    return book(FILE, Outcome.REFUSED)[0]


def drained() -> Ledger:
    ledger, _ = book()
    ledger.notified_unavailable[0, 1] = [(NS // 10, -1)]
    return ledger


def tipped() -> Ledger:
    ledger, _ = book()
    ledger.incarnations.append(BackendIncarnation(9, 0, 0, 2, 1.0, 2 * NS))
    ledger.cold_overloads.append(ColdOverload(9, 3 * NS, 2 * NS, {0: 700 * MS, 1: 300 * MS}))
    ledger.notified_start[0, 9, 2 * NS] = 2 * NS + 1
    return ledger


BREACHES: list[tuple[Callable[[], Ledger], str]] = [
    (lost, "lost"),
    (cut_short, "lost"),
    (double, "double"),
    (sent_after, "sent-after-answer"),
    (unsafe_again, "repeat"),
    (keyed_elsewhere, "repeat"),
    (keyed_too_late, "repeat"),
    (twice, "effect-twice"),
    (refused, "false-refusal"),
    (refused_outside_all, "false-refusal"),
    (drained, "drain"),
    (tipped, "tipped"),
]


@pytest.mark.parametrize(("make", "kind"), BREACHES, ids=[make.__name__ for make, _ in BREACHES])
def test_each_kind_of_breach_is_found_and_names_what_it_is_of(
    make: Callable[[], Ledger], kind: str
) -> None:
    verdict = check_run(SCENE, make())
    assert verdict.rules == {kind: 1} and verdict.broken
    breach = verdict.violations[0]
    assert breach.at_ns > 0 and (breach.request or breach.backend) and breach.detail


def test_what_is_allowed_is_no_breach() -> None:
    ledger, row = book(FILE)  # a retry inside zone and window
    row.at = NS + 500 * MS
    arrive(ledger, 400, 3)
    assert not check_run(SCENE, ledger).rules
    ledger, row = book(SIGN, Outcome.REFUSED)  # rejected, and never ran
    ledger.attempts[0].outcome = AttemptOutcome.REJECTED
    assert not check_run(SCENE, ledger).rules
    ledger, row = book(answer=Outcome.LEFT)  # the client left at the instant of the response
    row.at, row.response_count = NS + 30 * MS, 1
    assert not check_run(SCENE, ledger).rules
    ledger, row = book(answer=Outcome.BROKEN)  # its proxy was killed during the response
    row.excused = True
    assert not check_run(SCENE, ledger).rules
    ledger, _ = book()
    ledger.notified_unavailable[0, 1] = [(NS // 10, NS // 2)]  # listed again since then
    assert not check_run(SCENE, ledger).rules
    ledger = tipped()
    ledger.notified_start.clear()  # no proxy was notified of the start
    assert not check_run(SCENE, ledger).rules


def test_a_late_driver_is_no_breach_of_time_but_one_of_effects() -> None:
    for make, kind in BREACHES:
        ledger = make()
        ledger.late_spans.append((NS // 2, 4 * NS))
        verdict = check_run(SCENE, ledger)
        timeless = kind in ("double", "effect-twice", "false-refusal")
        assert (verdict.rules, verdict.excused) == (({kind: 1}, 0) if timeless else ({}, 1)), kind


def test_service_counts_from_the_intended_start_and_work_by_its_end() -> None:
    ledger, row = book()
    verdict = check_run(SCENE, ledger)
    assert verdict.worth == 1.0 and verdict.wasted == {"served": 1.0}
    assert verdict.latency["look"]["p50"] == pytest.approx(30, abs=0.1)
    row.intent.served_at = row.intent.start + 400 * MS  # after the objective, before the deadline
    assert check_run(SCENE, ledger).worth == pytest.approx(0.3)
    row.intent.served_at = row.intent.start + 1600 * MS
    assert check_run(SCENE, ledger).worth == 0.0
    arrive(ledger, 20)
    arrive(ledger, 25, outcome=AttemptOutcome.CANCELLED)
    arrive(ledger, 26, outcome=AttemptOutcome.DUPLICATE)
    wasted = check_run(SCENE, ledger).wasted
    assert wasted == {"cancelled": 0.25, "repeat_dropped": 0.25, "served": 0.25, "spare_copy": 0.25}


def test_careless_is_caught_at_each_rule_and_the_module_at_none() -> None:
    caught: set[str] = set()
    for name in ("demo", "keyed-in-zones", "rolling-deploy"):
        s = scenario.with_duration(scenario.load(name), 20.0)
        caught |= set(runs.play(s, "careless", 1).verdict.rules)
        assert not runs.play(s, "module", 1).verdict.rules
    assert caught == set(RULES)
