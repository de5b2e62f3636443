"""The sockets driver with real proxies on loopback, and the wire protocol of its stand-ins."""

from __future__ import annotations

import time
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mothstall.lab import report, runs, scenario, wire
from mothstall.lab.ledger import AttemptOutcome, ClientRequest, Intent, Outcome

MS = 1_000_000
SCENARIO = scenario.from_tree(
    {
        "tries": "A test.",
        "seconds": 8.0,
        "boxes": [{"count": 6, "idle": "1s"}],
        "rules": {"cold": "2s", "fall": "1s"},
        "clients": {"rate": 60.0},
        "discovery": {"lag": "200ms"},
        "troubles": [
            {"kind": "hang", "at": "1s", "lasts": "2s", "boxes": 1},
            {"kind": "cut", "at": "2s", "lasts": "2s", "boxes": 1, "way": "out"},
            {"kind": "spoilt", "at": "3s", "lasts": "3s", "boxes": 2},
            {"kind": "crash", "at": "3s", "lasts": "1s", "boxes": 1},
            {"kind": "proxy-killed", "at": "3500ms", "lasts": "1s"},
            {
                "kind": "deploy",
                "at": "4500ms",
                "lasts": "2s",
                "batch": 0.2,
                "every": "1s",
                "only": 0.4,
            },
            {"kind": "discovery-down", "at": "5s", "lasts": "1s"},
        ],
    },
    "many-troubles",
)


def test_real_proxies_keep_the_rules_under_many_faults_and_match_the_simulation() -> None:
    on_sockets = runs.play(SCENARIO, "module", 3, "sockets")
    assert not on_sockets.verdict.rules, on_sockets.text()
    assert {AttemptOutcome.SERVED, AttemptOutcome.UNREADABLE} <= {
        attempt.outcome for attempt in on_sockets.ledger.attempts
    }
    assert {incarnation.backend for incarnation in on_sockets.ledger.incarnations} >= {
        101,
        107,
    }  # 107: a successor that the deploy started
    assert any(spans for spans in on_sockets.ledger.notified_unavailable.values())
    assert on_sockets.notes["proxy_cpu_s"] > 0
    simulated = runs.play(SCENARIO, "module", 3)
    assert [x.start for x in on_sockets.ledger.intents] == [
        x.start for x in simulated.ledger.intents
    ]
    if not on_sockets.notes["late"]:
        assert abs(on_sockets.verdict.worth - simulated.verdict.worth) < 0.15
    page = report.page(on_sockets)
    assert "All four rules kept" in page and page.count("<svg") == 5 and "<script" not in page


def test_late_machine_is_reported_and_breaks_no_rule() -> None:
    s = scenario.with_duration(scenario.load("steady"), 2.5)

    def stall(_: object) -> Callable[[int], object]:
        return lambda now: time.sleep(1.7) if now < 1_500 * MS else None  # longer than any deadline

    result = runs.play(s, "module", 1, "sockets", stall)
    assert result.notes["late"] and result.notes["worst_late_ms"] > 1500
    assert not result.verdict.rules, result.text()
    assert "LATE" in result.text()


def client_request() -> ClientRequest:
    return ClientRequest(
        7, Intent(3, 2, 1, 0, 0, 0, 20 * MS, False, True, False, 0.5), 0, 0, 900 * MS
    )


@given(st.lists(st.integers(1, 80), max_size=12))
def test_messages_are_parsed_completely_however_they_are_split(sizes: list[int]) -> None:
    encoded = wire.request(SCENARIO, client_request(), SCENARIO.classes[2], 800 * MS, True)
    data, reader, messages = (
        encoded + wire.answer(200, wire.served(7), "util=0.5") + encoded,
        wire.Reader(),
        [],
    )
    for size in sizes:
        messages += list(reader.feed(data[:size]))
        data = data[size:]
    messages += list(reader.feed(data))
    assert not reader.has_partial_message and [m.body for m in messages] == [
        b"intent 3",
        wire.served(7),
        b"intent 3",
    ]
    assert wire.txn(messages[0]) == 7 and messages[0].headers[b"x-remaining"] == b"800000u"
    assert (
        messages[2].headers[b"idempotency-key"] == b"%032x" % 3
        and messages[2].headers[b"x-resent"] == b"1"
    )


@pytest.mark.parametrize(
    "data",
    [
        b"x" * 20_000,
        b"A\r\nno header\r\n\r\n",
        b"A\r\nContent-Length: -1\r\n\r\n",
        b"A\r\nContent-Length: 99999999\r\n\r\n",
        b"A\r\nTransfer-Encoding: chunked\r\n\r\n",
    ],
)
def test_invalid_messages_are_malformed(data: bytes) -> None:
    with pytest.raises(wire.Malformed):
        list(wire.Reader().feed(data))


def test_responses_are_classified_and_those_of_other_requests_rejected() -> None:
    def read(raw: bytes) -> tuple[Outcome, int]:
        return wire.read_answer(next(iter(wire.Reader().feed(raw))), client_request())

    assert read(wire.answer(200, wire.served(7))) == (Outcome.SERVED, 0)
    assert read(wire.answer(503, extra_headers="Retry-After: 0.25\r\n")) == (
        Outcome.REFUSED,
        250 * MS,
    )
    assert read(wire.answer(502)) == (Outcome.FAILED, 0)
    for raw in (
        wire.answer(200, wire.served(8)),
        wire.answer(503, extra_headers="Retry-After: soon\r\n"),
    ):
        with pytest.raises(wire.Malformed):
            read(raw)
