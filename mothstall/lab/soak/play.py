"""Plays one seed of the soak: processes, signals, two phases of traffic, a leak check between."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
import time
from collections import Counter
from collections.abc import Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from mothstall.lab.ledger import Unfinished
from mothstall.lab.soak.backend import SoakBackend
from mothstall.lab.soak.clients import IdleClient, RestingClient, SoakClient, UploadClient
from mothstall.lab.soak.observations import (
    MAX_MEMORY_MIB,
    NOTIFIED_S,
    DrainNotice,
    Observations,
    find_violations,
    notified_on_silent_watch_s,
)
from mothstall.lab.soak.plan import CROWD_CLIENTS, TRAFFIC_S, Ending, SoakPlan, plan_for
from mothstall.lab.soak.settings import LONGEST_DEADLINE_S, configuration
from mothstall.lab.soak.sockets import held_descriptors
from mothstall.lab.standins import StandInDiscovery

ROOT = Path(__file__).parents[3]
BACKENDS = 4
STEADY_CLIENTS = 8
UPLOAD_CLIENTS = 4
RESTING_CLIENTS = 4
READY_S = 20.0  # limit for a process to become ready
# A process may be killed this long after SIGTERM: the longest deadline and a margin.
KILL_AFTER_S = LONGEST_DEADLINE_S + 0.7
SETTLE_S = 12.0  # limit for connections and requests of the first phase to close
DISCOVERY_CONNECTIONS = 1  # a poll may be open in addition to the watch counted at the begin
MAX_DRIVER_DELAY_S = 0.3  # a longer delay of the driver makes the run inconclusive
TICK_S = 0.02
LISTEN_DESCRIPTOR = 3  # the listening socket's number in each process


@dataclass
class SoakResult:
    """The result of one seed.

    Attributes:
        plan: The plan that was played.
        violations: A line for each violation.
        requests: Number of requests that clients sent completely.
        answered: Number of these that got a complete response of status 200.
        driver_delay_s: Longest delay of the driver.
    """

    plan: SoakPlan
    violations: list[str]
    requests: int
    answered: int
    driver_delay_s: float

    @property
    def is_inconclusive(self) -> bool:
        """Whether the driver was delayed so long that the run is inconclusive."""
        return self.driver_delay_s > MAX_DRIVER_DELAY_S


@dataclass
class _Process:
    """One `serve` process, its log and the port of its admin API."""

    process: asyncio.subprocess.Process
    log: Path
    admin_port: int


@dataclass
class _Run:
    """The state of one run."""

    plan: SoakPlan
    folder: Path
    observations: Observations = field(default_factory=Observations)
    began_s: float = field(default_factory=time.monotonic)
    driver_delay_s: float = 0.0
    processes: list[_Process] = field(default_factory=list)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    clients: list[SoakClient] = field(default_factory=list)

    def __post_init__(self) -> None:
        rng = random.Random(self.plan.seed)
        self.backends = [
            SoakBackend(f"b{i}", random.Random(rng.random()), self.observations, self.now)
            for i in range(BACKENDS)
        ]
        self.discovery = StandInDiscovery(lambda: [backend.row() for backend in self.backends])
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.address: tuple[str, int] = self.listener.getsockname()
        self._rng = rng

    def now(self) -> float:
        """Return seconds since the run's begin."""
        return time.monotonic() - self.began_s

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a task in the background until the run ends."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def measure_driver_delay(self) -> None:
        """Measure the longest delay of this process's event loop."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(TICK_S)
            self.driver_delay_s = max(self.driver_delay_s, time.monotonic() - before - TICK_S)

    # Processes

    async def start_process(self) -> _Process:
        """Start `serve` on the inherited listener, and wait until it is ready.

        Raises:
            Unfinished: The process did not become ready in time.
        """
        started = await self.launch()
        try:
            async with asyncio.timeout(READY_S):
                while not await _is_ready(started.admin_port):
                    await asyncio.sleep(TICK_S)
        except TimeoutError as error:
            raise Unfinished(f"serve did not start: see {started.log}") from error
        return started

    async def launch(self) -> _Process:
        """Start `serve` without waiting until it is ready."""
        number = len(self.processes)
        admin_port = _free_port()
        tree = configuration(
            listen=f"127.0.0.1:{self.address[1]}",
            discovery=f"127.0.0.1:{self.discovery.port}",
            admin=f"127.0.0.1:{admin_port}",
            members=[backend.row() for backend in self.backends],
            descriptors=self.plan.descriptors,
        )
        path = self.folder / f"p{number}.json"
        path.write_text(json.dumps(tree), encoding="utf-8")
        log = self.folder / f"p{number}.log"
        env = {key: value for key, value in os.environ.items() if not key.startswith("LB_")}
        env |= {"LB_LISTEN_FD": str(LISTEN_DESCRIPTOR), "TMPDIR": str(self.folder)}
        with log.open("wb") as out:
            process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-O", "-m", "mothstall", "serve", "--config", str(path)),
                cwd=ROOT,
                env=env,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.DEVNULL,
                stderr=out,
                pass_fds=(LISTEN_DESCRIPTOR,),
                preexec_fn=lambda: os.dup2(self.listener.fileno(), LISTEN_DESCRIPTOR),
            )
        started = _Process(process, log, admin_port)
        self.processes.append(started)
        return started

    async def end(self) -> None:
        """End all tasks, processes and servers that the run started."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for started in self.processes:
            if started.process.returncode is None:
                started.process.kill()
            await started.process.wait()
        for backend in self.backends:
            backend.close()
        self.discovery.close()
        self.listener.close()

    # Traffic

    def add_clients(self) -> None:
        """Start the steady, uploading and resting clients, and the crowd if the plan has one."""
        counts = {
            SoakClient: STEADY_CLIENTS,
            UploadClient: UPLOAD_CLIENTS,
            RestingClient: RESTING_CLIENTS,
            IdleClient: CROWD_CLIENTS if self.plan.is_crowded else 0,
        }
        for kind, count in counts.items():
            for i in range(count):
                name = f"{kind.__name__.lower()[:1]}{kind.__name__.lower()[2:3]}{i}"
                rng = random.Random(f"{self.plan.seed} {name}")
                client = kind(name, rng, self.observations, self.now, self.address)
                self.clients.append(client)
                self.spawn(client.run())

    def pause_clients(self, is_paused: bool) -> None:
        """Make all clients close their connections and pause, or resume."""
        for client in self.clients:
            client.is_paused = is_paused

    async def silence_watches_and_drain(self) -> None:
        """Silence the open watches and drain one backend, as planned."""
        plan = self.plan
        silent_notified_at_s: float | None = None
        if plan.silent_watch_at_s is not None:
            await asyncio.sleep(plan.silent_watch_at_s)
            silent_at_s = self.now()
            wait_over_at_s = silent_at_s + self.discovery.silence()
            silent_notified_at_s = notified_on_silent_watch_s(silent_at_s, wait_over_at_s)
        if plan.drain_backend_at_s is None:
            return
        await asyncio.sleep(plan.drain_backend_at_s - (plan.silent_watch_at_s or 0.0))
        self.backends[0].is_draining = True
        self.discovery.publish()
        at_s = self.now()
        notified_at_s = silent_notified_at_s or at_s + NOTIFIED_S
        self.observations.drains.append(DrainNotice(self.backends[0].name, at_s, notified_at_s))

    async def send_hangups(self, target: _Process, times_s: tuple[float, ...]) -> None:
        """Send SIGHUPs at the given times, in seconds from now."""
        began = time.monotonic()
        for at_s in times_s:
            await asyncio.sleep(max(0.0, began + at_s - time.monotonic()))
            _signal(target, signal.SIGHUP)

    async def start_and_terminate(self, after_s: float) -> None:
        """Terminate a second process right after its start; it must end and harm no request."""
        second = await self.launch()
        await asyncio.sleep(after_s)
        _signal(second, signal.SIGTERM)
        try:
            await asyncio.wait_for(second.process.wait(), READY_S)
        except TimeoutError:
            self.observations.faults.append(
                "early end: SIGTERM right after the start did not end the process"
            )

    # Phases

    async def play(self) -> None:
        """Play both phases.

        Raises:
            Unfinished: A process did not start.
        """
        self.spawn(self.measure_driver_delay())
        for backend in self.backends:
            await backend.start()
        await self.discovery.start()
        proxy = await self.start_process()
        await asyncio.sleep(0.5)
        other_before = self._held(proxy)["other"]
        self.add_clients()
        self.spawn(self.silence_watches_and_drain())
        self.spawn(self.send_hangups(proxy, self.plan.hangup_times_s))
        await asyncio.sleep(TRAFFIC_S)
        self.pause_clients(True)
        await self._check_released(proxy, other_before)
        self.pause_clients(False)
        if self.plan.start_and_terminate_after_s is not None and not self._is_upgrade():
            await self.start_and_terminate(self.plan.start_and_terminate_after_s)
        await asyncio.sleep(TRAFFIC_S / 2)
        await self._end_proxy(proxy)
        for started in self.processes:
            self._check_log(started)

    def _is_upgrade(self) -> bool:
        return self.plan.ending in (Ending.UPGRADE, Ending.UPGRADE_WITH_HANGUP)

    def _held(self, proxy: _Process) -> Counter[str]:
        ports = [backend.port for backend in self.backends]
        return held_descriptors(proxy.process.pid, self.address[1], ports)

    async def _check_released(self, proxy: _Process, other_before: int) -> None:
        """Check that sockets and requests are released after all clients have closed."""
        end = time.monotonic() + SETTLE_S
        while time.monotonic() < end:
            open_requests = await _open_requests(proxy.admin_port)
            held = self._held(proxy)
            is_other_back = held["other"] <= other_before + DISCOVERY_CONNECTIONS
            if not (held["clients"] or held["backends"] or open_requests) and is_other_back:
                break
            await asyncio.sleep(0.1)
        else:
            what = f"{dict(held)} descriptors and {open_requests} requests"
            self.observations.faults.append(f"held: {what}, {SETTLE_S:g} s after the last client")
        memory_mib = _peak_memory_mib(proxy)
        if memory_mib > MAX_MEMORY_MIB:
            self.observations.faults.append(f"memory: {memory_mib} MiB of {MAX_MEMORY_MIB}")

    async def _end_proxy(self, proxy: _Process) -> None:
        """End the proxy as planned, and kill it at the earliest permitted time."""
        ending = self.plan.ending
        if self._is_upgrade():
            if ending is Ending.UPGRADE_WITH_HANGUP:
                self.spawn(self.send_hangups(proxy, (0.0, 0.05, 0.3, 0.6)))
            await self.start_process()
        elif ending is Ending.DRAIN_THEN_TERMINATE:
            await _call_admin(proxy.admin_port, "POST", "/api/evacuate")
            await asyncio.sleep(self._rng.uniform(0.0, 0.5))
            _signal(proxy, signal.SIGHUP)
            await asyncio.sleep(self._rng.uniform(0.0, 0.3))
        elif ending is Ending.HANGUPS_THEN_TERMINATE:
            self.spawn(self.send_hangups(proxy, (0.0, 0.0, 0.001, 0.01, 0.1, 0.5, 1.0)))
        terminated_at_s = self.now()
        _signal(proxy, signal.SIGTERM)
        if ending is Ending.TERMINATE_TWICE:
            await asyncio.sleep(self._rng.uniform(0.0, 0.4))
            _signal(proxy, signal.SIGTERM)
        await asyncio.sleep(max(0.0, terminated_at_s + KILL_AFTER_S - self.now()))
        has_ended = proxy.process.returncode is not None
        if not has_ended:
            proxy.process.kill()
        killed_at_s = self.now()
        if self._is_upgrade():
            await asyncio.sleep(TRAFFIC_S / 2)
            self.observations.checked_until_s = self.now() - LONGEST_DEADLINE_S
        else:
            self.observations.checked_until_s = killed_at_s
        self.pause_clients(True)
        await asyncio.sleep(LONGEST_DEADLINE_S)
        if has_ended and proxy.process.returncode != 0:
            self.observations.faults.append(f"exit: {proxy.process.returncode} after SIGTERM")

    def _check_log(self, started: _Process) -> None:
        text = started.log.read_text(encoding="utf-8", errors="replace")
        for mark in ("Traceback", "event=fault", 'event="actor fault"', 'event="check broken"'):
            if mark in text:
                self.observations.faults.append(f"log: {mark} in {started.log}")


async def play(seed: int, folder: Path) -> SoakResult:
    """Play one seed in a folder of its own.

    Raises:
        Unfinished: A process did not start.
    """
    run = _Run(plan_for(seed), folder)
    try:
        await run.play()
    finally:
        await run.end()
    return SoakResult(
        plan=run.plan,
        violations=find_violations(run.observations),
        requests=len(run.observations.requests),
        answered=sum(200 in request.statuses for request in run.observations.requests),
        driver_delay_s=round(run.driver_delay_s, 3),
    )


def _signal(started: _Process, number: signal.Signals) -> None:
    if started.process.returncode is None:
        with contextlib.suppress(ProcessLookupError):
            started.process.send_signal(number)


def _peak_memory_mib(started: _Process) -> int:
    rows = Path(f"/proc/{started.process.pid}/status").read_text(encoding="ascii").splitlines()
    return next(int(row.split()[1]) for row in rows if row.startswith("VmHWM:")) // 1024


def _free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


async def _is_ready(admin_port: int) -> bool:
    return (await _call_admin(admin_port, "GET", "/api/ready")).startswith(b"HTTP/1.1 200")


async def _open_requests(admin_port: int) -> int:
    """Return `open_requests` from the telemetry; -1 if there was no response."""
    for row in (await _call_admin(admin_port, "GET", "/api/telemetry")).splitlines():
        name, _, value = row.partition(b":")
        if name.endswith(b"open_requests"):
            return int(value.partition(b"|")[0])
    return -1


async def _call_admin(port: int, method: str, path: str) -> bytes:
    """Call the admin API; return the raw response, empty on failure."""
    request = (
        f"{method} {path} HTTP/1.1\r\nHost: soak\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
    )
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(request.encode())
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
            body = await reader.readexactly(length)
            writer.close()
    except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
        return b""
    return head + body
