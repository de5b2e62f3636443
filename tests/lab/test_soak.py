"""The soak: the rules checked on its records, its plans, and short runs of some seeds."""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from pathlib import Path

import pytest

from mothstall.lab.soak.command import main, play_seed, report
from mothstall.lab.soak.observations import (
    BackendRequest,
    ClientRequest,
    DrainNotice,
    Observations,
    find_violations,
    notified_on_silent_watch_s,
)
from mothstall.lab.soak.plan import Ending, plan_for
from mothstall.lab.soak.play import SoakResult

SHORT_SEEDS = range(1, 7)
PARALLEL_RUNS = 3


def observations_with(
    *requests: ClientRequest, received: tuple[BackendRequest, ...] = ()
) -> Observations:
    return Observations(requests=list(requests), received=list(received), checked_until_s=10.0)


def request(**changes: object) -> ClientRequest:
    row = ClientRequest("r1", "order", 1.0, 0.5)
    for name, value in changes.items():
        setattr(row, name, value)
    return row


def received(backend: str = "b0", at_s: float = 1.0, complete: bool = True) -> BackendRequest:
    return BackendRequest("r1", backend, at_s, complete)


def test_request_answered_in_time_is_no_violation() -> None:
    answered = request(statuses=[200], answered_at_s=1.4)
    assert find_violations(observations_with(answered, received=(received(),))) == []


def test_forwarded_request_without_a_response_is_lost() -> None:
    cut_off = request(closed_at_s=1.2)
    assert find_violations(observations_with(cut_off)) == [], (
        "no backend received it: its client sends it again"
    )
    assert "lost: r1" in find_violations(observations_with(cut_off, received=(received(),)))[0]


def test_response_after_the_wait_and_the_slack_is_lost() -> None:
    assert find_violations(observations_with(request(statuses=[200], answered_at_s=1.99))) == []
    assert (
        "lost" in find_violations(observations_with(request(statuses=[200], answered_at_s=2.01)))[0]
    )


def test_request_sent_after_the_checked_time_is_not_checked() -> None:
    late = request(sent_at_s=10.5, closed_at_s=11.0)
    assert find_violations(observations_with(late, received=(received(),))) == []


def test_second_final_response_is_found() -> None:
    twice = request(statuses=[200, 400], answered_at_s=1.2)
    assert "two final answers" in find_violations(observations_with(twice))[0]


@pytest.mark.parametrize(("class_name", "count"), [("order", 1), ("pay", 0)])
def test_duplicate_effect_is_found(class_name: str, count: int) -> None:
    answered = request(class_name=class_name, statuses=[200], answered_at_s=1.2)
    observations = observations_with(answered, received=(received("b0"), received("b1")))
    assert len(find_violations(observations)) == count
    partly = observations_with(answered, received=(received("b0"), received("b1", complete=False)))
    assert find_violations(partly) == []


@pytest.mark.parametrize(("at_s", "count"), [(2.7, 0), (2.9, 1)])
def test_request_at_a_drained_backend_is_found(at_s: float, count: int) -> None:
    observations = observations_with(received=(received("b0", at_s),))
    observations.drains.append(DrainNotice("b0", 2.0, 2.3))
    assert len(find_violations(observations)) == count


def test_silent_watch_counts_as_notified_by_its_silence_or_its_wait() -> None:
    """6 s after the watch fell silent, or 2 s after its call's wait would have ended if later."""
    assert notified_on_silent_watch_s(1.0, 2.0) == 7.0
    assert notified_on_silent_watch_s(1.0, 5.9) == 7.9


def test_plans_are_the_same_each_time_and_differ_by_seed() -> None:
    plans = [plan_for(seed) for seed in range(60)]
    assert plans == [plan_for(seed) for seed in range(60)]
    assert {plan.ending for plan in plans} == set(Ending)
    assert any(plan.is_crowded for plan in plans)
    assert any(plan.silent_watch_at_s is not None for plan in plans)
    assert any(len(plan.hangup_times_s) > 3 for plan in plans)


def test_report_of_a_violation_names_the_command_that_repeats_the_run() -> None:
    result = SoakResult(plan_for(7), ["lost: r1"], 10, 9, 0.01)
    text, code = report(7, result)
    assert code == 3
    assert "lab soak --first 7 --seeds 1" in text
    late_text, late_code = report(7, SoakResult(plan_for(7), ["lost: r1"], 10, 9, 0.9))
    assert late_code == 1
    assert "proves nothing" in late_text


def test_numbers_below_one_are_rejected(capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit) as error:
        main(["--seeds", "0"])
    assert error.value.code == 2
    assert "must be at least 1" in capsys.readouterr().err


@pytest.fixture(scope="module")
def short_soak(tmp_path_factory: pytest.TempPathFactory) -> dict[int, SoakResult | str]:
    logs = str(tmp_path_factory.mktemp("soak"))
    with ProcessPoolExecutor(PARALLEL_RUNS, mp_context=get_context("spawn")) as pool:
        runs = {seed: pool.submit(play_seed, seed, logs) for seed in SHORT_SEEDS}
        return {seed: run.result() for seed, run in runs.items()}


@pytest.mark.processes
@pytest.mark.parametrize("seed", SHORT_SEEDS)
def test_short_soak_has_no_violations(seed: int, short_soak: dict[int, SoakResult | str]) -> None:
    text, code = report(seed, short_soak[seed])
    assert code == 0, text


def test_folder_of_a_run_is_removed_without_logs(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    folders: list[Path] = []

    async def played(seed: int, folder: Path) -> SoakResult:
        folders.append(folder)
        assert folder.exists()
        return SoakResult(plan_for(seed), [], 1, 1, 0.0)

    monkeypatch.setattr("mothstall.lab.soak.command.play", played)
    play_seed(1, None)
    assert not folders[0].exists()
