"""Real proxies beside hollows: what clients saw, judged; a small fleet of both with an observer killed."""

from __future__ import annotations

import asyncio
import math
from typing import Any

import pytest

from mothstall.interface import NS
from mothstall.lab.command import main
from mothstall.lab.judge import check_run
from mothstall.lab.ledger import (
    Arrival,
    AttemptOutcome,
    BackendIncarnation,
    ClientRequest,
    Intent,
    Ledger,
    Outcome,
)
from mothstall.lab.scale import beside, real, tierfaults
from mothstall.lab.scale.control import SERIES
from mothstall.lab.scale.hollow import LEAVES_OUT, operator_tree
from mothstall.lab.scale.real import Side

MS = 1_000_000
SCENE = beside.scene(["zone-00", "zone-01"])


def ledger(*rows: tuple[int, int]) -> Ledger:
    """Requests: when each was meant to be sent, and its time until it was served (ms); below 0: never."""
    found = Ledger()
    found.incarnations.append(BackendIncarnation(101, 0, 0, 2, 1.0, 0))
    for number, (start, took) in enumerate(rows, 1):
        served = start + took if took >= 0 else -1
        intent = Intent(number, 0, 0, 0, 0, start * MS, MS, False, True, False, 0.5)
        intent.served_at = served * MS if served >= 0 else -1
        found.intents.append(intent)
        end = (start + 1500) * MS
        outcome = Outcome.SERVED if took >= 0 else Outcome.SILENT
        ended_at = served * MS if took >= 0 else end
        found.requests.append(
            ClientRequest(
                number,
                intent,
                0,
                start * MS,
                end,
                start * MS,
                outcome,
                ended_at,
                response_count=int(took >= 0),
            )
        )
    return found


class Kept:
    """What a trial has of its real proxies once they have ended."""

    def __init__(self, found: Ledger) -> None:
        self.found, self.run = found, self

    def judged(self, found: Ledger) -> Any:
        return check_run(SCENE, found)

    def notes(self) -> dict[str, float]:
        return {"late_s": 0.0, "worst_late_ms": 0.0}


def harmed(found: Ledger) -> list[str]:
    trial = tierfaults.TierTrial.__new__(tierfaults.TierTrial)
    trial.wrong, trial.values, trial.spans = [], {}, [("before", 0, NS), ("rack", NS, 2 * NS)]
    trial.real = Kept(found)  # type: ignore[assignment]
    trial.harmed(found)
    return trial.wrong


GOOD = [(10 * i, 20) for i in range(200)]


def test_clients_that_are_served_are_not_harmed() -> None:
    assert harmed(ledger(*GOOD)) == []


def test_a_rule_that_is_broken_is_wrong() -> None:
    """One request in two hundred that a running proxy took and never answered."""
    (line,) = harmed(ledger(*GOOD, (1995, -1)))
    assert "one final answer in time: lost 1 times" in line and "proxy 0" in line


def test_a_drain_that_was_lost_is_wrong() -> None:
    found = ledger(*GOOD)
    found.notified_unavailable[(0, 101)] = [(500 * MS, -1)]
    found.attempts.append(Arrival(41, 0, 101, 405 * MS, MS, AttemptOutcome.SERVED, 406 * MS))
    assert harmed(found) == []
    found.attempts.append(Arrival(191, 0, 101, 1905 * MS, MS, AttemptOutcome.SERVED, 1906 * MS))
    assert any("drains kept" in line for line in harmed(found))


def test_a_second_without_service_is_wrong_but_not_where_the_machine_was_late() -> None:
    found = ledger(*GOOD)
    for row in found.intents[100:115]:  # refused, which breaks no rule
        row.served_at = -1
    assert harmed(found) == ["clients: 85 of 100 requests were served in second 1"]
    found.late_spans.append((1100 * MS, 1200 * MS))
    assert harmed(found) == []


def test_what_a_step_finds_wrong_is_exit_3(monkeypatch: pytest.MonkeyPatch) -> None:
    async def play(proxies: int, say: Any, *, seed: int) -> Any:
        return {"cost": (1.0, "s")}, harmed(ledger(*GOOD, (1995, -1)))

    monkeypatch.setattr(tierfaults, "play", play)
    assert main(["scale", "run", "tier/faults", "--sizes", "11", "--repeats", "1"]) == 3


def test_spans_are_told_apart() -> None:
    found = ledger(
        *((i, 10) for i in range(100)), *((1000 + i, 30 if i < 98 else 90) for i in range(100))
    )
    assert beside.seen(found, 0, NS) == beside.Seen(100, 1.0, 10.0, 10.0)
    assert beside.seen(found, NS, 2 * NS) == beside.Seen(100, 1.0, 30.0, 90.0)
    none = beside.seen(found, 5 * NS, 6 * NS)
    assert none.asked == 0 and math.isnan(none.p99)
    values = tierfaults.told(
        found, [("before", 0, NS), ("cut", NS, 2 * NS), ("idle", 5 * NS, 6 * NS)]
    )
    assert values["cut_p99_ratio"] == (9.0, "1") and values["before_served"] == (1.0, "1")
    assert values["cut_asked"] == (100, "1")
    assert "before_p99_ratio" not in values and "idle_p99" not in values


def test_a_ratio_holds_the_true_one_and_narrows_with_pairs() -> None:
    some = [(1.1 * (1 + 0.1 * (-1) ** i), 1.0) for i in range(4)]
    middle, low, high = real.ratio(some)
    assert low < 1.1 < high and low < middle < high
    _, low4, high4 = real.ratio(some * 4)
    assert high4 - low4 < high - low
    assert real.ratio([(2.0, 1.0), (1.0, 2.0)])[0] == pytest.approx(1.0)
    with pytest.raises(ValueError, match="two pairs"):
        real.ratio([(1.0, 1.0)])


def test_figures_of_a_rate_are_of_both_sides() -> None:
    rows = [(Side(100, 330, 50, 0.06, 0), Side(100, 300, 40, 0.05, 1))] * 3
    values = real.summed(rows, 70)
    assert values["p99_on_70"] == (330, "us") and values["p99_off_70"] == (300, "us")
    assert values["p99_ratio_70"][0] == pytest.approx(1.1)
    assert values["agent_cpu_70"][0] == pytest.approx(0.01)
    assert (values["bad_on_70"][0], values["bad_off_70"][0]) == (0, 3)


def test_a_real_proxys_zones_are_those_of_the_fleet() -> None:
    tree = real.configured((9,), 1, 1, "real")
    zones = tree["settings"]["zones"]
    assert zones[0] == operator_tree({}, 0, len(zones), True)["zone"]
    assert {row["locality"] for row in tree["known"]["members"]} == set(zones)


def test_what_the_new_series_leave_out_is_said() -> None:
    for name in ("tier/faults", "tier/real"):
        assert (
            SERIES[name].leaves_out.startswith(LEAVES_OUT) and "probes" in SERIES[name].leaves_out
        )


@pytest.mark.processes
def test_an_observer_is_killed_and_no_client_of_a_real_proxy_is_harmed() -> None:
    """The short form: its verdict is of states and rules, not of times."""
    values, wrong = asyncio.run(
        tierfaults.play(
            12, lambda _: None, seed=1, kinds=("observer",), zones=2, stand=(0, 1), before_s=1.0
        )
    )
    assert wrong == [] and {"observer_moved", "observer_back"} <= set(values)
    assert values["requests"][0] > 100 and values["real_moves"][0] >= 3


@pytest.mark.processes
def test_a_real_proxy_is_asked_in_turn_with_one_that_has_no_agent() -> None:
    """Whoever has the agent is a member throughout, or the play does not finish."""
    values = real.play(6, lambda _: None, seed=1, pairs=2, seconds={70: 0.5})
    assert values["pairs"] == (2, "1") and values["restarts"][0] > 0 and values["changes"][0] > 0
    assert all(values[f"{key}_70"][0] > 0 for key in ("p99_on", "p99_off", "p99_ratio", "cpu_on"))
    assert values["p99_ratio_low_70"] <= values["p99_ratio_70"] <= values["p99_ratio_high_70"]
