"""Parsing, dispatch and printing of commands, without a keeper."""

from __future__ import annotations

import argparse
from pathlib import Path
from types import SimpleNamespace
from typing import cast

import pytest

from mothstall import cli
from mothstall.commands import drains, keepers, output
from mothstall.commands.command_line import build_parser, main
from mothstall.fleet.operator_config import OperatorConfig
from mothstall.fleet.operator_file import read_operator_file
from mothstall.keeper.admin import AdminCommandHandler, StatusReporter
from mothstall.store.protocol.keeper_messages import AdminCommand, AdminResponse, AdminVerb
from mothstall.store.state.changes import Change, PutDrain, RemoveDrain
from tests.commands.running_keeper import write_operator_file


def test_faulty_operator_file_exits_with_2(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "bad.toml"
    path.write_text('cluster = "c"\nkeepers = []\n')
    assert main(["drains", "--operator", str(path)]) == 2
    assert "$.keepers" in capsys.readouterr().err


def test_operator_file_is_checked_without_a_configuration(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    operator_file = write_operator_file(tmp_path / "operator.toml", 7101)
    assert cli.main(["check-config", "--operator", operator_file], {}) == 0
    assert capsys.readouterr().out == "mothstall: takes part in c, kept by 1 keepers\n"
    (tmp_path / "operator.toml").write_text('cluster = "c"\nkeepers = []\n')
    assert cli.main(["check-config", "--operator", operator_file], {}) == 2
    printed = capsys.readouterr().err
    assert "$.keepers" in printed
    assert len(printed.splitlines()) == 1


@pytest.mark.parametrize(
    ("argv", "environment"), [(["--config", "/nowhere"], {}), ([], {"LB_CONFIG": "/nowhere"})]
)
def test_named_configuration_is_checked_beside_the_operator_file(
    argv: list[str],
    environment: dict[str, str],
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    operator_file = write_operator_file(tmp_path / "operator.toml", 7101)
    assert cli.main(["check-config", "--operator", operator_file, *argv], environment) == 2
    assert "/nowhere" in capsys.readouterr().err


def test_check_config_needs_a_configuration_or_an_operator_file() -> None:
    assert cli.main(["check-config"], {}) == 2


class CapturedDrains:
    """Replaces the connection of the drain commands and records the changes that they send."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.stored: list[Change] = []
        self.sent: list[tuple[str, PutDrain | RemoveDrain]] = []
        monkeypatch.setattr(drains, "propose_change", self._propose_change)
        monkeypatch.setattr(drains, "send_local_drain", self._send_local_drain)

    def _propose_change(self, _operator: OperatorConfig, change: Change, _timeout_s: float) -> None:
        self.stored.append(change)

    def _send_local_drain(
        self,
        _operator: OperatorConfig,
        address: str,
        change: PutDrain | RemoveDrain,
        _timeout_s: float,
    ) -> str:
        self.sent.append((address, change))
        return "here only"


def run(operator_file: str, *argv: str) -> object:
    """Parse and run one command, and return its output before it is printed."""
    args: argparse.Namespace = build_parser().parse_args([*argv, "--operator", operator_file])
    return args.handler(read_operator_file(operator_file), args)


@pytest.mark.parametrize("word", ["backend", "box"])
def test_backend_and_box_are_stored_as_the_same_kind(
    word: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    captured = CapturedDrains(monkeypatch)
    operator_file = write_operator_file(tmp_path / "operator.toml", 7101)
    assert run(operator_file, "drain", word, "b1", "--why", "x") == "backend b1 is drained"
    assert run(operator_file, "undrain", word, "b1", "--who", "ann") == (
        "backend b1 is no longer drained"
    )
    put, remove = captured.stored
    assert isinstance(put, PutDrain)
    assert (put.drain.kind, put.drain.name) == ("box", "b1")
    assert remove == RemoveDrain("box", "b1", "ann")


@pytest.mark.parametrize("word", ["backend", "box"])
def test_drain_at_one_proxy_carries_the_stored_kind(
    word: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    captured = CapturedDrains(monkeypatch)
    operator_file = write_operator_file(tmp_path / "operator.toml", 7101)
    printed = run(operator_file, "drain", word, "b1", "--why", "x", "--at", "10.0.0.1:7")
    assert printed == "backend b1: here only"
    assert captured.stored == []
    [(address, change)] = captured.sent
    assert address == "10.0.0.1:7"
    assert isinstance(change, PutDrain)
    assert change.drain.kind == "box"


def test_drain_of_another_kind_is_bad_input(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    operator_file = write_operator_file(tmp_path / "operator.toml", 7101)
    with pytest.raises(SystemExit) as exited:
        main(["drain", "region", "r1", "--why", "x", "--operator", operator_file])
    assert exited.value.code == 2
    assert "{backend,zone}" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("replies", "code", "message"),
    [
        ({"k1": "k2 leads", "k2": ""}, 0, "add k3: accepted by k2\n"),
        ({"k1": "k2 leads", "k2": "k3 is a keeper already"}, 3, "rejected: k3 is a keeper already"),
        ({"k1": "this keeper does not lead", "k2": "k1 leads"}, 3, "this keeper does not lead"),
        ({"k1": "no quorum: no leader is known", "k2": "k1 leads"}, 1, "k1: no quorum: no leader"),
    ],
)
def test_leader_decides_on_a_command_that_every_keeper_gets(
    replies: dict[str, str],
    code: int,
    message: str,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    responses = {name: AdminResponse(1, reason) for name, reason in replies.items()}
    monkeypatch.setattr(keepers, "command_every_keeper", lambda *_: responses)
    operator_file = write_operator_file(tmp_path / "operator.toml", 7101)
    assert main(["keepers", "add", "k3", "--operator", operator_file]) == code
    out, err = capsys.readouterr()
    assert message in out + err


@pytest.mark.parametrize("leader", ["k2", ""])
def test_follower_of_this_version_never_decides_on_a_command(
    leader: str,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against rejection texts of a keeper that the command does not recognize."""
    replica = SimpleNamespace(raft=SimpleNamespace(is_leader=False, leader=leader))
    reporter = cast(StatusReporter, SimpleNamespace(replica=replica))
    handler = AdminCommandHandler(reporter, lambda: None)
    response = handler.execute(AdminCommand(1, AdminVerb.ADD, "k3"))
    assert response.rejected_reason
    monkeypatch.setattr(keepers, "command_every_keeper", lambda *_: {"k1": response})
    operator_file = write_operator_file(tmp_path / "operator.toml", 7101)
    assert main(["keepers", "add", "k3", "--operator", operator_file]) == 1
    assert f"k1: {response.rejected_reason}" in capsys.readouterr().err


def test_text_output_aligns_rows_and_lists_fields() -> None:
    rows = [{"name": "a", "zones": ["x", "y"]}, {"name": "long", "zones": []}]
    assert output.format_text(rows) == "name  zones\na     x,y\nlong  -"
    assert output.format_text([]) == "none"
    assert output.format_text({"plan": 3, "by": {"a": 1}, "rows": rows}).splitlines()[:3] == [
        "plan: 3",
        "by: a=1",
        "name  zones",
    ]
