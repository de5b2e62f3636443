"""The sockets driver: runs a scenario's world against real proxy processes on loopback.

Backends, discovery, front and clients run in this process, on ports that the system assigns. The
listener of an unreachable backend stops accepting and keeps its backlog full, so that connections
to it never complete. The result records when this machine ran late, and by how much.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import socket
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from mothstall.interface import NS
from mothstall.lab import wire
from mothstall.lab.box import DONE, Backend, Job
from mothstall.lab.clients import DEADLINE_SLACK_NS
from mothstall.lab.directory import ListUpdate
from mothstall.lab.ledger import Arrival, AttemptOutcome, ClientRequest, Ledger, Outcome, Unfinished
from mothstall.lab.process import ServeProcess
from mothstall.lab.scenario import Scenario, settings_tree
from mothstall.lab.world import World

LATE_THRESHOLD_NS = 40_000_000  # delay of a clock check that counts as lateness of the machine
CLOCK_CHECK_INTERVAL_NS = 10_000_000
CORE_WAIT_THRESHOLD_NS = 40_000_000  # a proxy's wait for a core between checks that counts too
PROXY_CHECK_INTERVAL_NS = 100_000_000
IDLE_SWEEP_INTERVAL_NS = 500_000_000
BACKLOG = 256


class RealTime:
    """Real time, in ns since the last call of `begin`."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop, self._start = loop, time.monotonic_ns()

    def begin(self) -> None:
        self._start = time.monotonic_ns()

    @property
    def now(self) -> int:
        return time.monotonic_ns() - self._start

    def at(self, due: int, what: Callable[..., object], *words: Any) -> None:
        self._loop.call_later(max(0, due - self.now) / NS, what, *words)


def listen() -> socket.socket:
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    sock.listen(BACKLOG)
    sock.setblocking(False)
    return sock


class Listener:
    """Accepts connections for one stand-in; it can imitate an unreachable machine."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, factory: Callable[[], asyncio.Protocol]
    ) -> None:
        self._loop, self._factory = loop, factory
        self.sock = listen()
        self.port: int = self.sock.getsockname()[1]
        self._backlog_fillers: list[socket.socket] = []
        self._tasks: set[asyncio.Task[Any]] = set()
        self._accepting = False
        self.set_reachable(True)

    def set_reachable(self, on: bool) -> None:
        if on == self._accepting:
            return
        self._accepting = on
        if on:
            for filler in self._backlog_fillers:
                filler.close()
            self._backlog_fillers.clear()
            self.sock.listen(BACKLOG)
            self._loop.add_reader(self.sock, self._accept)
            return
        self._loop.remove_reader(self.sock)
        # With the backlog full, the kernel drops SYN packets of new connections, as a cut would.
        self.sock.listen(0)
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect(("127.0.0.1", self.port))
            self._backlog_fillers.append(filler)

    def _accept(self) -> None:
        for _ in range(64):
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            sock.setblocking(False)
            task = self._loop.create_task(self._loop.connect_accepted_socket(self._factory, sock))
            self._tasks.add(task)
            task.add_done_callback(self._done)

    def _done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            task.exception()  # marks the error of a failed accept as retrieved

    def close(self) -> None:
        if self._accepting:
            self._loop.remove_reader(self.sock)
            self._accepting = False
        for sock in (self.sock, *self._backlog_fillers):
            sock.close()
        for task in self._tasks:
            task.cancel()


class _Connection(asyncio.Protocol):
    """Base of all connections: parses the input, and aborts on a malformed message."""

    transport: asyncio.Transport

    def __init__(self) -> None:
        self.reader = wire.Reader()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        try:
            for message in self.reader.feed(data):
                self.handle_message(message)
        except wire.Malformed:
            self.transport.abort()

    def handle_message(self, message: wire.Message) -> None:
        raise NotImplementedError


class BackendConnection(_Connection):
    """One connection of a proxy to a backend."""

    def __init__(self, server: BackendServer) -> None:
        super().__init__()
        self.server, self.incarnation = server, server.box.incarnation
        self.is_new_connection, self.is_counted = True, False
        self.job: Job | None = None
        self.idle_since = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        if not self.server.box.connect():
            self.transport.abort()
            return
        self.is_counted = True
        self.idle_since = self.server.run.time.now
        self.server.connections.add(self)

    def handle_message(self, message: wire.Message) -> None:
        run, box = self.server.run, self.server.box
        number = wire.txn(message)
        if not 1 <= number <= len(run.ledger.requests) or self.job is not None:
            raise wire.Malformed("a request with an unknown id, or two requests at once")
        row = run.ledger.requests[number - 1]
        record = Arrival(number, row.proxy, box.id, run.time.now, row.intent.work)
        kind = run.s.classes[row.intent.cls]
        job = self.job = Job(record, row.intent, kind, row.intent.work, self.on_reply)
        is_new_connection, self.is_new_connection = self.is_new_connection, False
        box.receive(job, is_new_connection)

    def on_reply(self, job: Job, outcome: AttemptOutcome) -> None:
        """Writes the backend's response, across zones after the network's round trip."""
        run, box = self.server.run, self.server.box
        proxy_zone = job.record.proxy % len(run.s.zones)
        one_way_ns = run.s.network.far if proxy_zone != box.zone else 0
        if one_way_ns and outcome not in (AttemptOutcome.LOST, AttemptOutcome.RESET):
            run.time.at(run.time.now + 2 * one_way_ns, self.write_response, job, outcome)
        else:
            self.write_response(job, outcome)

    def write_response(self, job: Job, outcome: AttemptOutcome) -> None:
        box = self.server.box
        if self.job is job:
            self.job = None
        if self.transport.is_closing() or box.silent or box.cut_out:
            return
        self.idle_since = self.server.run.time.now
        load = wire.load_text(box.rules.reports, box.report()) if box.rules.reports else ""
        if outcome in (AttemptOutcome.SERVED, AttemptOutcome.DUPLICATE):
            self.transport.write(wire.answer(200, wire.served(job.record.txn), load))
        elif outcome == AttemptOutcome.REJECTED:
            self.transport.write(wire.answer(503, b"full\n", load, "X-Turned-Away: 1\r\n"))
        elif outcome == AttemptOutcome.ERROR:
            self.transport.write(wire.answer(500, b"failed\n", load))
        elif outcome == AttemptOutcome.UNREADABLE:
            self.transport.write(b"HTTP/1.1 2\x00\x01 ??\r\nContent-Le\r\n\r\n\x07" + b"\xff" * 40)
            self.transport.close()
        else:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.connections.discard(self)
        box = self.server.box
        if self.job is not None and self.job.state != DONE:
            box.cancel(self.job)
        self.job = None
        if self.is_counted and box.incarnation is self.incarnation:
            box.disconnect()


class BackendServer:
    """A backend behind a real listener; each restart makes a new one, and so a new address."""

    def __init__(self, run: Sockets, box: Backend) -> None:
        self.run, self.box = run, box
        self.connections: set[BackendConnection] = set()
        self.listener = Listener(run.loop, lambda: BackendConnection(self))

    def apply_state(self) -> None:
        """Applies the backend's simulated state: stopped, silent or cut off."""
        box = self.box
        if not box.up and not box.silent:
            self.close()
            return
        is_unreachable = box.silent or box.cut_in or box.cut_out
        self.listener.set_reachable(not is_unreachable)
        for connection in list(self.connections):
            if box.silent or box.cut_in:
                connection.transport.pause_reading()

    def close_idle(self) -> None:
        """Closes connections that have reached the backend's idle timeout."""
        idle_limit = self.run.time.now - self.box.group.idle
        for connection in list(self.connections):
            if connection.job is None and connection.idle_since < idle_limit:
                connection.transport.close()

    def close(self) -> None:
        self.listener.close()
        for connection in list(self.connections):
            connection.transport.abort()

    def reset_after_cut(self) -> None:
        """Ends a cut: accepts again, and resets the connections that were open during it."""
        self.listener.set_reachable(True)
        for connection in list(self.connections):
            connection.transport.abort()


class DirectoryConnection(_Connection):
    """One connection of a proxy to discovery, which has a listener for each proxy."""

    def __init__(self, run: Sockets, proxy: int) -> None:
        super().__init__()
        self.run, self.proxy = run, proxy
        self.since, self.generation = 0, 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.run.directory_connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.generation += 1
        self.run.directory_connections.discard(self)

    def handle_message(self, message: wire.Message) -> None:
        parts = message.line.split(b" ")
        if len(parts) != 3 or not parts[1].startswith(b"/v1/endpoints"):
            raise wire.Malformed("unknown discovery request")
        query = dict(
            pair.partition("=")[::2] for pair in parts[1].decode().partition("?")[2].split("&")
        )
        self.since = int(query.get("since") or 0)
        wait_ms = int(query.get("timeout_ms") or 0) if "since" in query else 0
        directory, run = self.run.world.discovery, self.run
        due = directory.accept_call(self.proxy)
        if due < 0:
            self.transport.write(wire.answer(503))
            return
        self.generation += 1
        generation = self.generation

        def begin() -> None:
            if generation != self.generation:
                return
            if (
                directory.updates_since(self.since).entries
                or directory.updates_since(self.since).full
                or not wait_ms
            ):
                self.respond(generation)
                return
            directory.watch(self.proxy, lambda update: self.on_update(generation, update))
            run.time.at(run.time.now + wait_ms * 1_000_000, self.respond, generation)

        run.time.at(due, begin)

    def on_update(self, generation: int, update: ListUpdate | None) -> None:
        if update is None:
            self.transport.abort()
            return
        self.respond(generation)

    def respond(self, generation: int) -> None:
        """Responds with all changes since the proxy's version; each call gets one response."""
        if generation != self.generation:
            return
        self.generation += 1
        run = self.run
        if run.world.discovery.down:
            self.transport.abort()
            return
        run.world.discovery.watch(self.proxy, None)
        update = run.world.discovery.updates_since(self.since)
        run.world.discovery.record_delivery(self.proxy, update)
        tree = wire.listing(update, run.s.zones, run.ports)
        self.transport.write(wire.answer(200, json.dumps(tree).encode()))


class ClientConnection(_Connection):
    """One connection of a client; it carries one request at a time."""

    def __init__(self, run: Sockets, proxy: int) -> None:
        super().__init__()
        self.run, self.proxy = run, proxy
        self.row: ClientRequest | None = None
        self.last_row: ClientRequest | None = None
        self.repeated = self.was_used = False

    def send(self, row: ClientRequest, repeated: bool) -> None:
        run = self.run
        self.row, self.repeated = row, repeated
        run.in_flight[row.txn] = self
        row.accepted = run.time.now
        kind = run.s.classes[row.intent.cls]
        self.transport.write(wire.request(run.s, row, kind, row.deadline - row.accepted, repeated))

    def handle_message(self, message: wire.Message) -> None:
        run, row = self.run, self.row
        if row is None:
            if self.last_row:  # a response without an open request
                run.world.clients.record_outcome(self.last_row, Outcome.FAILED)
            self.transport.abort()
            return
        self.row, self.last_row, self.was_used = None, row, True
        run.in_flight.pop(row.txn, None)
        if b"close" in message.headers.get(b"connection", b"").lower():
            self.transport.close()
        else:
            run.idle.setdefault(self.proxy, []).append(self)
        try:
            answer, after = wire.read_answer(message, row)
        except wire.Malformed:
            run.world.clients.record_outcome(row, Outcome.BROKEN)
            raise
        run.world.clients.record_outcome(row, answer, after)

    def connection_lost(self, exc: Exception | None) -> None:
        run, row = self.run, self.row
        idle = run.idle.get(self.proxy, [])
        if self in idle:
            idle.remove(self)
        if row is None:
            return
        self.row = None
        run.in_flight.pop(row.txn, None)
        if row.outcome != Outcome.OPEN:
            return
        if run.was_proxy_down(self.proxy, row.accepted):
            row.excused = True
        elif self.was_used and not self.reader.has_partial_message:
            # The proxy closed the idle connection as the request was sent: retry on a new one.
            row.accepted = -1
            run.connect(row, self.repeated)
            return
        run.world.clients.record_outcome(row, Outcome.BROKEN)


class RealProxy:
    """One proxy of the run: its process, its discovery listener, and when it was ended."""

    def __init__(self, run: Sockets, number: int, extra_args: tuple[str, ...] = ()) -> None:
        self.run, self.number = run, number
        self.process = ServeProcess(f"proxy-{number}", run.folder, extra_args=extra_args)
        self.up = False
        self.down_times: list[int] = []  # times of SIGKILL or SIGSTOP
        self.listener = Listener(run.loop, lambda: DirectoryConnection(run, number))

    async def start(self) -> None:
        run = self.run
        known = run.world.discovery.as_of(run.time.now - run.s.proxies.known_age)
        run.world.discovery.record_delivery(self.number, known)
        await self.process.start(
            {
                "name": f"lab-{self.number}",
                "listen": "127.0.0.1:0",
                "discovery": f"127.0.0.1:{self.listener.port}",
                "seed": f"{run.world.seed * 1009 + self.number * 31:x}",
                "known": wire.listing(known, run.s.zones, run.ports),
                "settings": settings_tree(run.s, self.number),
            }
        )
        self.up = True

    def end(self, number: signal.Signals) -> None:
        self.up = False
        self.down_times.append(self.run.time.now)
        self.process.signal(number)

    async def stop(self) -> None:
        self.listener.close()
        await self.process.stop()


class Sockets:
    """One run on real sockets; the driver of its world."""

    def __init__(
        self,
        s: Scenario,
        seed: int,
        folder: Path,
        args: Callable[[int], tuple[str, ...]] = lambda _: (),
    ) -> None:
        """`args`: further command-line arguments of the proxy with a given number."""
        self.s, self.folder = s, folder
        self.loop = asyncio.get_running_loop()
        self.time = RealTime(self.loop)
        self.servers: dict[int, BackendServer] = {}
        self.ports: dict[int, int] = {}
        self.directory_connections: set[DirectoryConnection] = set()
        self.idle: dict[int, list[ClientConnection]] = {}
        self.in_flight: dict[int, ClientConnection] = {}
        self.world = World(s, seed, self.time, self, time.time_ns())
        self.ledger: Ledger = self.world.ledger
        self.proxies = [RealProxy(self, number, args(number)) for number in range(s.proxies.count)]
        self.worst_late_ns = 0
        self.failure: Exception | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._last_clock_check = 0
        self._is_over = False
        self.clients_started = asyncio.Event()  # set once clients send requests

    async def play(self, watch: Callable[[int], object] | None = None) -> Ledger:
        self.world.prepare()
        try:
            await asyncio.gather(*(proxy.start() for proxy in self.proxies))
            self.time.begin()
            self.world.base = self.world.discovery.base = time.time_ns()
            self.world.begin()
            self.clients_started.set()
            self._last_clock_check = self.time.now
            self._check_clock()
            self._check_proxies()
            self._close_idle_connections()
            grace_ns = max(k.deadline for k in self.s.classes) + 2 * DEADLINE_SLACK_NS
            while (
                left := self.world.clients.stops_at + grace_ns - self.time.now
            ) > 0 and not self.failure:
                await asyncio.sleep(min(1.0, left / NS))
                if watch:
                    watch(self.time.now)
            for proxy in self.proxies:
                proxy.process.note_cpu()
        finally:
            self._is_over = True
            for connection in [
                *self.in_flight.values(),
                *(c for row in self.idle.values() for c in row),
            ]:
                connection.transport.abort()
            for server in self.servers.values():
                server.close()
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*(proxy.stop() for proxy in self.proxies))
        if self.failure:
            raise Unfinished(str(self.failure))
        return self.ledger

    def stop_clients(self) -> None:
        """Stops new client requests; `play` returns after the deadlines of those already sent."""
        self.world.clients.stops_at = min(self.world.clients.stops_at, self.time.now)

    def notes(self) -> dict[str, Any]:
        """Figures of the machine: lateness of this driver and the proxies, and the proxies' CPU."""
        late = sum(b - a for a, b in self.ledger.late_spans)
        return {
            "late": late > 0.01 * self.time.now,
            "late_s": round(late / NS, 3),
            "worst_late_ms": round(self.worst_late_ns / 1e6, 1),
            "proxy_cpu_s": round(sum(proxy.process.cpu_s for proxy in self.proxies), 3),
        }

    # Checks of the machine

    def _check_clock(self) -> None:
        """Records lateness of this machine, so that proxies are not blamed for it."""
        now = self.time.now
        lag = now - self._last_clock_check - CLOCK_CHECK_INTERVAL_NS
        if lag > LATE_THRESHOLD_NS:
            self.ledger.late_spans.append((self._last_clock_check, now))
        self.worst_late_ns = max(self.worst_late_ns, lag)
        self._last_clock_check = now
        if not self._is_over:
            self.loop.call_later(CLOCK_CHECK_INTERVAL_NS / NS, self._check_clock)

    def _check_proxies(self) -> None:
        if self._is_over:
            return
        now = self.time.now
        for proxy in self.proxies:
            if not proxy.up:
                continue
            if proxy.process.core_wait_ns() > CORE_WAIT_THRESHOLD_NS:
                self.ledger.late_spans.append((now - PROXY_CHECK_INTERVAL_NS, now))
            if not proxy.process.running:
                code = proxy.process.returncode
                self.failure = Unfinished(f"proxy {proxy.number} exited by itself: {code}")
        self.loop.call_later(PROXY_CHECK_INTERVAL_NS / NS, self._check_proxies)

    def _close_idle_connections(self) -> None:
        for server in list(self.servers.values()):
            server.close_idle()
        if not self._is_over:
            self.loop.call_later(IDLE_SWEEP_INTERVAL_NS / NS, self._close_idle_connections)

    # The world's driver

    def backend_up(self, box: Backend) -> None:
        if previous := self.servers.get(box.id):
            previous.close()
        server = self.servers[box.id] = BackendServer(self, box)
        self.ports[box.id] = server.listener.port

    def backend_changed(self, box: Backend) -> None:
        server = self.servers.get(box.id)
        if server is None:
            return
        if not (box.silent or box.cut_in or box.cut_out) and box.up:
            server.reset_after_cut()
        server.apply_state()

    def proxy_down(self, proxy: int, silent: bool) -> None:
        self.proxies[proxy].end(signal.SIGSTOP if silent else signal.SIGKILL)

    def proxy_up(self, proxy: int, ready: Callable[[], object]) -> None:
        task = self.loop.create_task(self._restart(self.proxies[proxy], ready))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _restart(self, proxy: RealProxy, ready: Callable[[], object]) -> None:
        await proxy.process.stop()  # a proxy halted by SIGSTOP still runs
        for connection in self.idle.pop(proxy.number, []):
            connection.transport.abort()
        try:
            await proxy.start()
        except Unfinished as why:
            self.failure = why
            return
        ready()

    def was_proxy_down(self, proxy: int, since: int) -> bool:
        """Whether a proxy is down, or has been since a time."""
        target = self.proxies[proxy]
        return not target.up or any(at >= since for at in target.down_times)

    # Clients

    def send_request(self, row: ClientRequest, repeated: bool) -> None:
        idle = self.idle.get(row.proxy, [])
        while idle:
            connection = idle.pop()
            if not connection.transport.is_closing():
                connection.send(row, repeated)
                return
        self.connect(row, repeated)

    def connect(self, row: ClientRequest, repeated: bool) -> None:
        task = self.loop.create_task(self._connect(row, repeated))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, row: ClientRequest, repeated: bool) -> None:
        proxy = self.proxies[row.proxy]
        try:
            _, connection = await self.loop.create_connection(
                lambda: ClientConnection(self, row.proxy), "127.0.0.1", proxy.process.port
            )
        except OSError:
            self.world.clients.record_outcome(row, Outcome.UNREACHED)
            return
        if row.outcome == Outcome.OPEN:
            connection.send(row, repeated)
        else:
            connection.transport.abort()

    def abandon_request(self, row: ClientRequest) -> None:
        if self.was_proxy_down(row.proxy, row.accepted):
            row.excused = True
        connection = self.in_flight.pop(row.txn, None)
        if connection:
            connection.row = None
            connection.transport.abort()


def run(
    s: Scenario, seed: int, watch: Callable[[Sockets], Callable[[int], object]] | None = None
) -> tuple[Ledger, dict[str, Any]]:
    """Plays a scenario on sockets; returns its ledger and `notes`. Raises Unfinished."""

    async def main() -> tuple[Ledger, dict[str, Any]]:
        with tempfile.TemporaryDirectory(prefix="mothstall-lab-") as folder:
            driver = Sockets(s, seed, Path(folder))
            ledger = await driver.play(watch(driver) if watch else None)
            return ledger, driver.notes()

    return asyncio.run(main())
