"""Processes under test, a real proxy, observer or keeper each: start, readiness, CPU time, stop."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

from mothstall.lab.ledger import Unfinished

ROOT = Path(__file__).parents[2]
READY_S = 20.0  # limit for a process to become ready
_PORT = re.compile(rb"event=listening .*port=(\d+)")
_AGENT_PORT = re.compile(rb'event="agent listening" .*agent_port=(\d+)')


def revision() -> str:
    """The last commit of the source without the lab; "+changes" marks uncommitted edits."""

    def git(*args: str) -> str:
        completed = subprocess.run(
            ["git", "-C", str(ROOT), *args, "--", "mothstall", ":!mothstall/lab"],
            capture_output=True,
            text=True,
            check=False,
            timeout=30,
        )
        return completed.stdout.strip() if completed.returncode == 0 else ""

    found = git("log", "-1", "--format=%h", "--abbrev=10") or "unknown"
    return found + ("+changes" if git("status", "--porcelain") else "")


class ServeProcess:
    """`python -O -m mothstall serve` on a port that the system assigns."""

    def __init__(
        self, name: str, folder: Path, profile: Path | None = None, extra_args: tuple[str, ...] = ()
    ) -> None:
        """`extra_args`: further command-line arguments."""
        self.name, self.folder, self._extra_args = name, folder, extra_args
        self._profiler_args = ("-m", "cProfile", "-o", str(profile)) if profile else ()
        self.port = self.agent_port = 0  # for clients, and for messages to its agent
        self.cpu_s = 0.0  # used by its processes after they were ready, up to the last `note_cpu`
        self._process: asyncio.subprocess.Process | None = None
        self._log: asyncio.Task[None] | None = None
        self._startup_done = asyncio.Event()
        self._last_cpu_s = 0.0
        self._last_core_wait_ns = -1

    async def start(self, config: dict[str, Any]) -> None:
        """Returns once `/ready` responds with 200. Raises Unfinished."""
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        await self._launch("serve", "--config", str(path), *self._extra_args)

    async def _launch(self, *args: str) -> None:
        """Starts the program, and waits until it is ready. Raises Unfinished."""
        self._startup_done.clear()
        self.port, self._last_core_wait_ns = 0, -1
        args = (sys.executable, "-O", *self._profiler_args, "-m", "mothstall", *args)
        env = {key: value for key, value in os.environ.items() if not key.startswith("LB_")}
        self._process = await asyncio.create_subprocess_exec(
            *args,
            cwd=ROOT,
            env=env,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
        )
        self._log = asyncio.get_running_loop().create_task(self._read_log(self._process))
        try:
            async with asyncio.timeout(READY_S):
                await self._startup_done.wait()
                while self.port and not await self._ready():
                    await asyncio.sleep(0.02)
        except TimeoutError:
            self.port = 0
        if not self.port:
            raise Unfinished(f"{self.name} did not start: {self._last_line()}")
        self._last_cpu_s = self._cpu()

    async def _read_log(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr
        with open(self.folder / f"{self.name}.log", "ab") as out:
            while line := await process.stderr.readline():
                out.write(line)
                if found := _AGENT_PORT.search(line):
                    self.agent_port = int(found[1])
                if found := _PORT.search(line):
                    self.port = int(found[1])
                    self._startup_done.set()
        self._startup_done.set()

    def _last_line(self) -> str:
        with contextlib.suppress(OSError, IndexError):
            text = (self.folder / f"{self.name}.log").read_text(encoding="utf-8", errors="replace")
            return text.strip().splitlines()[-1][:200]
        return "its log is empty"

    async def _ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    @property
    def running(self) -> bool:
        return self._process is not None and self._process.returncode is None

    @property
    def returncode(self) -> int | None:
        return self._process.returncode if self._process else None

    def _cpu(self) -> float:
        """CPU seconds of the running process; the previous reading where there is no new one."""
        if self.running and self._process:
            with contextlib.suppress(OSError, IndexError, ValueError):
                fields = (
                    Path(f"/proc/{self._process.pid}/stat").read_text().rpartition(")")[2].split()
                )
                return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
        return self._last_cpu_s

    def note_cpu(self) -> None:
        """Adds the CPU time used since the last call to `cpu_s`."""
        used = self._cpu()
        self.cpu_s += used - self._last_cpu_s
        self._last_cpu_s = used

    def core_wait_ns(self) -> int:
        """Time spent waiting for a core since the last call; 0 if the system does not report it."""
        if not self.running or not self._process:
            return 0
        try:
            waited = int(Path(f"/proc/{self._process.pid}/schedstat").read_text().split()[1])
        except (OSError, IndexError, ValueError):
            return 0
        before, self._last_core_wait_ns = self._last_core_wait_ns, waited
        return waited - before if before >= 0 else 0

    def signal(self, number: signal.Signals) -> None:
        self.note_cpu()
        if self.running and self._process:
            self._process.send_signal(number)

    async def stop(self, grace_s: float = 0.0) -> None:
        """Ends the process by SIGKILL, sent at once or `grace_s` after SIGTERM, and waits."""
        if grace_s and self.running and self._process:
            self._process.terminate()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._process.wait(), grace_s)
        if self.running and self._process:
            self._process.kill()
            await self._process.wait()
        if self._log:
            await asyncio.wait([self._log], timeout=2.0)


class ObserverProcess(ServeProcess):
    """`python -O -m mothstall observer` with an operator file."""

    async def begin(self, operator: Path) -> None:
        """Returns once it listens. Raises Unfinished."""
        await self._launch("observer", "--operator", str(operator), "--name", self.name)

    async def _ready(self) -> bool:
        return True


class KeeperProcess(ServeProcess):
    """`python -O -m mothstall keeper` with an operator file."""

    async def begin(self, operator: Path, switch: Path) -> None:
        """Returns once it listens. Raises Unfinished."""
        await self._launch(
            "keeper", "--operator", str(operator), "--name", self.name, "--disk-switch", str(switch)
        )

    async def _ready(self) -> bool:
        return True
