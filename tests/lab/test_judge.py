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
SCENARIO = scenario.from_tree(
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


def ledger_with_request(
    cls: int = LOOK, outcome: Outcome = Outcome.SERVED
) -> tuple[Ledger, ClientRequest]:
    """A ledger with one served request: sent at 1 s, at backend 1 after 2 ms, answered after 30."""
    ledger = Ledger()
    for backend, zone in ((1, 0), (2, 1), (3, 0)):
        ledger.incarnations.append(BackendIncarnation(backend, zone, 0, 2, 1.0, 0))
    intent = Intent(1, cls, 0, 0, 0, NS, 20 * MS, False, True, False, 0.5)
    intent.served_at = NS + 30 * MS if outcome == Outcome.SERVED else -1
    request = ClientRequest(1, intent, 0, NS, NS + 1500 * MS, NS + MS, outcome, NS + 30 * MS, 1)
    ledger.intents.append(intent)
    ledger.requests.append(request)
    add_attempt(ledger, 2)
    return ledger, request


def add_attempt(
    ledger: Ledger, delay_ms: int, backend: int = 1, outcome: AttemptOutcome = AttemptOutcome.SERVED
) -> None:
    at = NS + delay_ms * MS
    ledger.attempts.append(Arrival(1, 0, backend, at, 20 * MS, outcome, at + 20 * MS, 20 * MS))


def lost() -> Ledger:
    ledger, request = ledger_with_request(outcome=Outcome.SILENT)
    request.response_count = 0
    return ledger


def incomplete_response() -> Ledger:
    return ledger_with_request(outcome=Outcome.BROKEN)[0]


def two_responses() -> Ledger:
    ledger, request = ledger_with_request()
    request.response_count = 2
    return ledger


def attempt_after_response() -> Ledger:
    ledger, _ = ledger_with_request()
    add_attempt(ledger, 200)
    return ledger


def unsafe_retry() -> Ledger:
    ledger, request = ledger_with_request(SIGN)
    request.at = NS + 400 * MS
    add_attempt(ledger, 100, 3)
    return ledger


def keyed_retry_outside_zone() -> Ledger:
    ledger, request = ledger_with_request(FILE)
    request.at = NS + 400 * MS
    add_attempt(ledger, 100, 2)
    return ledger


def keyed_retry_after_window() -> Ledger:
    ledger, request = ledger_with_request(FILE)
    request.at = NS + 1400 * MS
    add_attempt(ledger, 1200, 3)
    return ledger


def two_effects() -> Ledger:
    ledger, request = ledger_with_request(SIGN)
    request.intent.effects += [(NS, 1), (2 * NS, 2)]
    return ledger


def unsafe_rejection() -> Ledger:
    return ledger_with_request(SIGN, Outcome.REFUSED)[0]


def keyed_rejection() -> Ledger:
    return ledger_with_request(FILE, Outcome.REFUSED)[0]


def attempt_after_drain() -> Ledger:
    ledger, _ = ledger_with_request()
    ledger.notified_unavailable[0, 1] = [(NS // 10, -1)]
    return ledger


def cold_overload() -> Ledger:
    ledger, _ = ledger_with_request()
    ledger.incarnations.append(BackendIncarnation(9, 0, 0, 2, 1.0, 2 * NS))
    ledger.cold_overloads.append(ColdOverload(9, 3 * NS, 2 * NS, {0: 700 * MS, 1: 300 * MS}))
    ledger.notified_start[0, 9, 2 * NS] = 2 * NS + 1
    return ledger


VIOLATIONS: list[tuple[Callable[[], Ledger], str]] = [
    (lost, "lost"),
    (incomplete_response, "lost"),
    (two_responses, "double"),
    (attempt_after_response, "sent-after-answer"),
    (unsafe_retry, "repeat"),
    (keyed_retry_outside_zone, "repeat"),
    (keyed_retry_after_window, "repeat"),
    (two_effects, "effect-twice"),
    (unsafe_rejection, "false-refusal"),
    (keyed_rejection, "false-refusal"),
    (attempt_after_drain, "drain"),
    (cold_overload, "tipped"),
]


@pytest.mark.parametrize(
    ("make", "kind"), VIOLATIONS, ids=[make.__name__ for make, _ in VIOLATIONS]
)
def test_each_violation_is_found_with_its_request_or_backend(
    make: Callable[[], Ledger], kind: str
) -> None:
    verdict = check_run(SCENARIO, make())
    assert verdict.rules == {kind: 1} and verdict.broken
    violation = verdict.violations[0]
    assert violation.at_ns > 0 and (violation.request or violation.backend) and violation.detail


def test_allowed_behaviour_is_no_violation() -> None:
    ledger, request = ledger_with_request(FILE)  # a retry inside zone and window
    request.at = NS + 500 * MS
    add_attempt(ledger, 400, 3)
    assert not check_run(SCENARIO, ledger).rules
    ledger, request = ledger_with_request(SIGN, Outcome.REFUSED)  # rejected, and never ran
    ledger.attempts[0].outcome = AttemptOutcome.REJECTED
    assert not check_run(SCENARIO, ledger).rules
    # The client left at the instant of the response.
    ledger, request = ledger_with_request(outcome=Outcome.LEFT)
    request.at, request.response_count = NS + 30 * MS, 1
    assert not check_run(SCENARIO, ledger).rules
    # Its proxy was killed during the response.
    ledger, request = ledger_with_request(outcome=Outcome.BROKEN)
    request.excused = True
    assert not check_run(SCENARIO, ledger).rules
    ledger, _ = ledger_with_request()
    ledger.notified_unavailable[0, 1] = [(NS // 10, NS // 2)]  # listed again since then
    assert not check_run(SCENARIO, ledger).rules
    ledger = cold_overload()
    ledger.notified_start.clear()  # no proxy was notified of the start
    assert not check_run(SCENARIO, ledger).rules


def test_late_driver_excuses_only_violations_of_timing() -> None:
    for make, kind in VIOLATIONS:
        ledger = make()
        ledger.late_spans.append((NS // 2, 4 * NS))
        verdict = check_run(SCENARIO, ledger)
        is_untimed = kind in ("double", "effect-twice", "false-refusal")
        assert (verdict.rules, verdict.excused) == (({kind: 1}, 0) if is_untimed else ({}, 1)), kind


def test_worth_counts_from_the_scheduled_start_and_work_by_outcome() -> None:
    ledger, request = ledger_with_request()
    verdict = check_run(SCENARIO, ledger)
    assert verdict.worth == 1.0 and verdict.wasted == {"served": 1.0}
    assert verdict.latency["look"]["p50"] == pytest.approx(30, abs=0.1)
    # After the objective, before the deadline.
    request.intent.served_at = request.intent.start + 400 * MS
    assert check_run(SCENARIO, ledger).worth == pytest.approx(0.3)
    request.intent.served_at = request.intent.start + 1600 * MS
    assert check_run(SCENARIO, ledger).worth == 0.0
    add_attempt(ledger, 20)
    add_attempt(ledger, 25, outcome=AttemptOutcome.CANCELLED)
    add_attempt(ledger, 26, outcome=AttemptOutcome.DUPLICATE)
    wasted = check_run(SCENARIO, ledger).wasted
    assert wasted == {"cancelled": 0.25, "repeat_dropped": 0.25, "served": 0.25, "spare_copy": 0.25}


def test_careless_breaks_each_rule_and_the_module_none() -> None:
    found: set[str] = set()
    for name in ("demo", "keyed-in-zones", "rolling-deploy"):
        s = scenario.with_duration(scenario.load(name), 20.0)
        found |= set(runs.play(s, "careless", 1).verdict.rules)
        assert not runs.play(s, "module", 1).verdict.rules
    assert found == set(RULES)
