"""Total load on cold backends from whole fleets, seeded and in virtual time."""

from __future__ import annotations

import math

import pytest

from mothstall import policy
from mothstall.interface import NS
from mothstall.lab import coldsum, command
from mothstall.lab.policies import Careless


@pytest.mark.parametrize(
    ("proxies", "seed"), [(5, 11), (20, 3), (20, 13), (20, 145), (30, 2), (30, 193), (200, 2)]
)
def test_fleet_load_on_cold_backends_stays_below_the_limit(proxies: int, seed: int) -> None:
    # The seeds, out of 200 per size, with the highest load under an earlier policy: there (30, 193)
    # reached 0.92 of the limit.
    outcome = coldsum.play(policy.Balancer, proxies, seed)
    assert outcome.max_ratio <= 0.85, (outcome.max_ratio, outcome.max_excess)
    assert outcome.cold_served > 0.1, "cold backends must get traffic"


def test_same_seed_gives_the_same_loads() -> None:
    one, other = (coldsum.play(policy.Balancer, 20, 7) for _ in range(2))
    assert [incarnation.windows for incarnation in one.incarnations] == [
        incarnation.windows for incarnation in other.incarnations
    ]
    assert (one.max_excess, one.max_ratio, one.served) == (
        other.max_excess,
        other.max_ratio,
        other.served,
    )
    assert coldsum.play(policy.Balancer, 20, 8).max_excess != one.max_excess


def test_fleet_that_ignores_slow_start_exceeds_the_limit() -> None:
    # Checks the measurement: a policy that prefers the newest backends must exceed the limit.
    outcome = coldsum.play(Careless, 20, 1)
    assert outcome.max_excess > 0 and outcome.max_ratio > 1


def test_load_is_the_work_received_within_the_window() -> None:
    trial = coldsum.Trial(policy.Balancer, 5, 1)
    number, backend = next(iter(trial.backends.items()))
    backend.started = trial.now = coldsum.BASE_NS
    incarnation = backend.incarnation = coldsum.Incarnation(number, trial.now)
    window = trial.settings["overload_window_ns"]
    n = (
        trial.settings["overload_multiple"]
        * trial.capacity
        * trial.settings["initial_warmth"]
        * window
        / NS
    )
    for _ in range(3):
        trial._add_work(0, number, 1.0)
    assert incarnation.load == 3 + coldsum.HANDSHAKE_COST  # one handshake
    assert incarnation.max_excess == pytest.approx(incarnation.load - (n + 2 * math.sqrt(n) + 2))
    trial.now += window
    trial._add_work(1, number, 1.0)
    # Earlier work has left the window.
    assert incarnation.load == pytest.approx(1 + coldsum.HANDSHAKE_COST)
    trial.process[1] += 1
    trial._add_work(1, number, 1.0)
    # A new process opens a new connection.
    assert incarnation.load == pytest.approx(2 * (1 + coldsum.HANDSHAKE_COST))


def test_probes_of_a_cold_backend_use_an_open_connection() -> None:
    trial = coldsum.Trial(policy.Balancer, 20, 145)
    assert trial.settings["load_by_probes"]
    had_connection: list[bool] = []
    add_work = trial._add_work

    def add_work_and_record(k: int, number: int, work: float) -> None:
        backend = trial.backends[number]
        if work == coldsum.PROBE_COST and backend.started:
            had_connection.append((k, trial.process[k]) in backend.connections)
        add_work(k, number, work)

    trial._add_work = add_work_and_record  # type: ignore[method-assign]
    trial.run()
    assert len(had_connection) > 100 and all(had_connection)


def test_command_prints_the_table(capsys: pytest.CaptureFixture[str]) -> None:
    arguments = ["cold", "--proxies", "5", "--seeds", "2", "--workers", "1"]
    assert command.main(arguments) == 0
    rows = capsys.readouterr().out.splitlines()
    assert len(rows) == 3 and rows[2].startswith("| 5 | 2 | 0 | 0.")
    assert command.main([*arguments, "--policy", "careless"]) == 3
    assert command.main(["cold", "--proxies", "6"]) == 2
    assert command.main(["cold", "--policy", "no-such"]) == 2
