"""Commands on leases, drains, members and keepers, against a keeper process."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.commands.running_keeper import CommandRunner, RunningKeeper, write_operator_file

pytestmark = pytest.mark.processes


def test_lease_is_taken_once_and_gets_a_higher_token_after_it_was_dropped(
    commands: CommandRunner,
) -> None:
    assert "token: 1" in commands.text("lease", "take", "shift", "--owner", "me", "--term", "600")
    rejected = commands.text("lease", "take", "shift", "--owner", "you", code=3)
    assert "shift is me's, token 1" in rejected
    rows = commands.json("lease", "list")
    assert [(row["name"], row["owner"], row["token"]) for row in rows] == [("shift", "me", 1)]
    assert set(rows[0]) == {"name", "owner", "token", "term_ms", "info"}
    assert rows[0]["term_ms"] == 600_000
    commands.text("lease", "drop", "shift", "--why", "it stalled")
    assert "token: 2" in commands.text("lease", "take", "shift", "--owner", "you", "--term", "600")
    assert "nobody holds" in commands.text("lease", "drop", "none", "--why", "x", code=3)


def test_drains_lists_each_drain_until_it_is_removed(commands: CommandRunner) -> None:
    commands.text("drain", "box", "b1", "--why", "a bad fan", "--who", "ann")
    commands.text("drain", "zone", "z2", "--why", "works on its power")
    row = commands.json("drains")[0]
    assert (row["kind"], row["name"], row["who"]) == ("box", "b1", "ann")
    assert set(row) == {"kind", "name", "who", "when", "why"}
    commands.text("undrain", "zone", "z2")
    assert "not drained" in commands.text("undrain", "zone", "z2", code=3)


def test_backend_and_its_former_word_box_name_the_same_drain(commands: CommandRunner) -> None:
    assert commands.text("drain", "backend", "b1", "--why", "x") == "backend b1 is drained\n"
    stored = commands.json("drains")
    assert [(row["kind"], row["name"]) for row in stored] == [("box", "b1")]
    assert commands.text("drains").splitlines()[1].split()[:2] == ["backend", "b1"]
    commands.text("undrain", "box", "b1")
    assert commands.json("drains") == []
    commands.text("drain", "box", "b1", "--why", "x")
    commands.text("undrain", "backend", "b1")
    assert commands.json("drains") == []


def test_members_prints_none_without_proxies(commands: CommandRunner) -> None:
    assert commands.text("members").strip() == "none"
    assert commands.json("members") == []


def test_keepers_shows_the_leader_and_rejects_impossible_membership_changes(
    commands: CommandRunner,
) -> None:
    assert commands.json("keepers", "status")[0]["role"] == "leader"
    assert "is a keeper already" in commands.text("keepers", "add", "k1", code=3)
    assert "names no keeper k9" in commands.text("keepers", "add", "k9", code=3)
    assert "is no other voter" in commands.text("keepers", "transfer", "k1", code=3)


def test_command_exits_with_1_and_names_the_keepers_when_none_answers(
    keeper: RunningKeeper, commands: CommandRunner
) -> None:
    keeper.stop()
    printed = commands.text("lease", "list", "--wait", "1", code=1)
    assert "no quorum of k1 answers (k1: not reached)" in printed


def test_verify_and_dump_read_a_stopped_keepers_file(
    keeper: RunningKeeper, commands: CommandRunner, tmp_path: Path
) -> None:
    commands.text("drain", "box", "b1", "--why", "a bad fan", "--who", "ann")
    keeper.stop()
    assert "fine" in commands.text("keepers", "verify", str(tmp_path / "k1.db"))
    assert "b1" in commands.text("keepers", "dump", str(tmp_path / "k1.db"))


def restore(capsys: pytest.CaptureFixture[str], folder: Path, backup: Path, code: int = 0) -> str:
    """Restore a backup into `folder` and return what the command printed."""
    commands = CommandRunner(str(folder / "own.toml"), capsys)
    return commands.text("keepers", "restore", str(backup), "--name", "k1", code=code)


def test_restore_does_not_replace_a_keepers_file(
    keeper: RunningKeeper,
    commands: CommandRunner,
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    backup = tmp_path / "copy"
    commands.text("keepers", "backup", str(backup))
    keeper.stop()
    assert "already exists" in restore(capsys, tmp_path, backup, code=3)


def test_restored_backup_starts_a_new_keeper_and_other_files_are_rejected(
    keeper: RunningKeeper,
    commands: CommandRunner,
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    backup = tmp_path / "copy"
    commands.text("drain", "box", "b1", "--why", "a bad fan")
    commands.text("keepers", "backup", str(backup))
    keeper.stop()
    other = tmp_path / "other"
    other.mkdir()
    write_operator_file(other / "own.toml", 1, data=str(other))
    rubbish = other / "rubbish"
    rubbish.write_bytes(b"rubbish")
    assert "is not a backup" in restore(capsys, other, rubbish, code=2)
    assert "1 drains" in restore(capsys, other, backup)
    restored = RunningKeeper.start(other, capsys)
    try:
        rows = CommandRunner(restored.operator_file, capsys).json("drains")
        assert rows[0]["name"] == "b1"
        restored.stop()
    finally:
        restored.kill()
