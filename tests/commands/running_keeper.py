"""Keepers and observers as processes of their own, for commands to call."""

from __future__ import annotations

import json
import re
import signal
import subprocess
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

from mothstall.commands.command_line import main

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
_LISTENING = re.compile(r"event=listening .*port=(\d+)")


def write_operator_file(path: Path, port: int, **keeper_settings: str) -> str:
    """Write an operator file with one keeper, and return its path."""
    lines = ['cluster = "c"', "[[keepers]]", 'name = "k1"', f'address = "127.0.0.1:{port}"']
    lines += [f'{key} = "{value}"' for key, value in keeper_settings.items()]
    path.write_text("\n".join(lines) + "\n")
    return str(path)


@dataclass
class RunningProcess:
    """A process of the fleet, started by its command, that listens at `port`."""

    process: subprocess.Popen[str]
    port: int

    @classmethod
    def start(cls, *argv: str) -> RunningProcess:
        """Run one command and wait until its process listens."""
        process = subprocess.Popen(
            [sys.executable, "-m", "mothstall", *argv], stderr=subprocess.PIPE, text=True
        )
        assert process.stderr
        for line in process.stderr:
            if found := _LISTENING.search(line):
                return cls(process, int(found[1]))
        raise AssertionError(f"{argv[0]} did not start")

    def stop(self) -> None:
        """Stop the process by SIGTERM; it has to exit with 0."""
        self.process.send_signal(signal.SIGTERM)
        assert self.process.wait(STOP_TIMEOUT_S) == 0

    def kill(self) -> None:
        """Kill the process."""
        self.process.kill()
        self.process.wait()
        assert self.process.stderr
        self.process.stderr.close()


@dataclass
class RunningKeeper:
    """A keeper process and the operator file by which commands reach it."""

    process: RunningProcess
    operator_file: str

    @classmethod
    def start(cls, folder: Path, capsys: pytest.CaptureFixture[str]) -> RunningKeeper:
        """Start a keeper over `folder` and wait until it answers as the leader."""
        own_file = write_operator_file(
            folder / "own.toml", 1, listen="127.0.0.1:0", data=str(folder)
        )
        process = RunningProcess.start("keeper", "--operator", own_file, "--name", "k1")
        keeper = cls(process, write_operator_file(folder / "tool.toml", process.port))
        keeper._wait_for_leadership()
        capsys.readouterr()
        return keeper

    def _wait_for_leadership(self) -> None:
        """Repeat a command until it succeeds; it fails at once while there is no leader."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while main(["members", "--operator", self.operator_file]):
            assert time.monotonic() < deadline, "the keeper did not become the leader"
            time.sleep(POLL_INTERVAL_S)

    def stop(self) -> None:
        """Stop the keeper by SIGTERM; it has to exit with 0."""
        self.process.stop()

    def kill(self) -> None:
        """Kill the keeper."""
        self.process.kill()


@dataclass
class CommandRunner:
    """Runs commands with one operator file and returns what they print."""

    operator_file: str
    capsys: pytest.CaptureFixture[str]

    def text(self, *argv: str, code: int = 0) -> str:
        """Run one command, which prints either its output or one line of error."""
        assert main([*argv, "--operator", self.operator_file]) == code, argv
        out, err = self.capsys.readouterr()
        assert not (out and err)
        assert len(err.splitlines()) <= 1
        return out + err

    def json(self, *argv: str) -> Any:
        """Run one command with `--json` and return what it printed."""
        return json.loads(self.text(*argv, "--json"))
