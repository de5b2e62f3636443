"""`mothstall observers` and `observer`, against a keeper and an observer as processes."""

from __future__ import annotations

import importlib.util
import json
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from mothstall import cli
from mothstall.commands.command_line import main
from mothstall.config import ConfigError
from tests.commands.running_keeper import CommandRunner, RunningProcess, write_operator_file
from tests.ports import free_port

pytestmark = pytest.mark.processes
# Modules that a proxy loads only if its operator file names observers.
OBSERVER_MODULES = (
    "mothstall.observer",
    "mothstall.store.protocol.observer_messages",
    "mothstall.fleet.agent.observer_client",
    "mothstall.fleet.observers",
)
STATUS_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.1


def write_file_with_observer(folder: Path, *, keeper_port: int, observer_port: int) -> Path:
    """Write an operator file with one keeper and one observer of the zone z1."""
    path = folder / f"{keeper_port}-{observer_port}.toml"
    path.write_text(
        f'cluster = "c"\nzone = "z1"\n'
        f'[[keepers]]\nname = "k1"\naddress = "127.0.0.1:{keeper_port}"\ndata = "{folder}"\n'
        f'[[observers]]\nname = "o1"\naddress = "127.0.0.1:{observer_port}"\nzone = "z1"\n'
    )
    return path


@pytest.fixture
def fleet_file(tmp_path: Path) -> Path:
    """An operator file whose ports are free."""
    return write_file_with_observer(tmp_path, keeper_port=free_port(), observer_port=free_port())


@pytest.fixture
def observer(fleet_file: Path) -> Iterator[RunningProcess]:
    """An observer that runs beside a keeper."""
    keeper = RunningProcess.start("keeper", "--operator", str(fleet_file), "--name", "k1")
    try:
        running = RunningProcess.start("observer", "--operator", str(fleet_file), "--name", "o1")
        try:
            yield running
        finally:
            running.kill()
    finally:
        keeper.kill()


@pytest.fixture
def fleet_commands(fleet_file: Path, capsys: pytest.CaptureFixture[str]) -> CommandRunner:
    """Commands that call the keeper and the observer of `fleet_file`."""
    return CommandRunner(str(fleet_file), capsys)


def wait_for_lease(commands: CommandRunner) -> dict[str, Any]:
    """Wait until the observer holds its lease, and return its status."""
    deadline = time.monotonic() + STATUS_TIMEOUT_S
    while not (status := commands.json("observers")[0]).get("token"):
        assert time.monotonic() < deadline, "the observer got no lease"
        time.sleep(POLL_INTERVAL_S)
    return dict(status)


def test_observers_exits_with_1_and_names_those_that_do_not_answer(
    fleet_commands: CommandRunner,
) -> None:
    assert "o1: " in fleet_commands.text("observers", "--wait", "1", code=1)


@pytest.mark.usefixtures("observer")
def test_observers_shows_the_status_of_each_observer(fleet_commands: CommandRunner) -> None:
    status = wait_for_lease(fleet_commands)
    assert {"attached", "lag", "age_ms", "left_out", "counts"} <= set(status)
    header, row = fleet_commands.text("observers").splitlines()
    assert header.split()[:4] == ["name", "zone", "region", "keeper"]
    assert row.startswith("o1")


def test_observer_that_stops_releases_its_lease(
    observer: RunningProcess, fleet_commands: CommandRunner
) -> None:
    wait_for_lease(fleet_commands)
    assert "observer/o1" in fleet_commands.text("lease", "list")
    observer.stop()
    deadline = time.monotonic() + STATUS_TIMEOUT_S
    while "observer/o1" in fleet_commands.text("lease", "list"):
        assert time.monotonic() < deadline, "the lease was not released"
        time.sleep(POLL_INTERVAL_S)


def test_unknown_observer_is_bad_input(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    file = write_file_with_observer(tmp_path, keeper_port=1, observer_port=2)
    assert main(["observer", "--operator", str(file), "--name", "o9"]) == 2
    assert capsys.readouterr().err == "mothstall: observers: none is named 'o9'\n"


def test_observers_without_observers_in_the_file_is_bad_input(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = write_operator_file(tmp_path / "none.toml", 1)
    assert main(["observers", "--operator", file]) == 2
    assert "$.observers" in capsys.readouterr().err


def test_proxy_needs_an_observer_in_its_zone_or_region(tmp_path: Path) -> None:
    file = write_file_with_observer(tmp_path, keeper_port=1, observer_port=2)
    elsewhere = tmp_path / "elsewhere.toml"
    elsewhere.write_text(file.read_text().replace('zone = "z1"', 'zone = "z7"', 1))
    with pytest.raises(ConfigError, match=r"\$\.observers: none in zone 'z7' or its region"):
        cli._check_observers(cli._read_operator(str(elsewhere)))
    cli._check_observers(cli._read_operator(str(file)))


def test_proxy_without_observers_loads_no_observer_module(tmp_path: Path) -> None:
    """Without observers a proxy runs the same agent, and loads no module that observers need."""
    file = write_operator_file(tmp_path / "operator.toml", 1)
    printed = subprocess.run(
        [sys.executable, "-c", _LOADED_MODULES, file],
        capture_output=True,
        text=True,
        timeout=60,
        check=True,
    )
    loaded = set(json.loads(printed.stdout))
    assert "mothstall.fleet.agent.agent" in loaded, "the agent was not loaded"
    assert not {name for name in loaded if name.startswith(OBSERVER_MODULES)}


def test_modules_of_observers_exist() -> None:
    """Guards against a renamed module, for which the test above would check nothing."""
    for name in OBSERVER_MODULES:
        assert importlib.util.find_spec(name), name


_LOADED_MODULES = """
import asyncio, json, sys
from mothstall import cli
operator = cli._read_operator(sys.argv[1])
cli._check_observers(operator)
from mothstall.net import fleet_integration  # what `serve` loads with an operator file
from mothstall.fleet.agent.agent import Agent
async def main():
    agent = Agent(operator, "p1", loop=asyncio.get_running_loop(), on_change=lambda: None)
    await agent.start()
    await asyncio.sleep(0.2)
    await agent.stop()
asyncio.run(main())
print(json.dumps(list(sys.modules)))
"""
