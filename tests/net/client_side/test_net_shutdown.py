"""Shutdown and connection close: accepted requests are answered, later input is not forwarded."""

from __future__ import annotations

import asyncio
import errno
import json
import os
import signal
import socket
import sys
import tomllib
from pathlib import Path
from typing import Any

import pytest

from mothstall.net.admin.server import CALLS
from mothstall.net.body_relay import BufferGrants
from mothstall.net.client_side import frontend
from mothstall.net.client_side.connection import Connection
from mothstall.net.client_side.connection_states import STATE_TIMEOUT_S, ConnectionState
from mothstall.net.client_side.load_shedding import SHED_URGENT_S
from mothstall.net.handover.messages import StreamHandover
from mothstall.net.handover.stream_takeover import StreamTakeover
from tests.net.test_process import MAIN, ROOT
from tests.peers import (
    ReceivedRequest,
    Rig,
    StandInDiscovery,
    make_config_tree,
    never_respond,
    raw_client,
    request_bytes,
    reset,
    respond_ok,
    respond_ok_after,
    rig,
)
from tests.ports import free_port

LONG_REMAINING = "3900m"


async def receive(
    r: Rig, sock: socket.socket, until_end: bool = False, seconds: float = 5.0
) -> bytes:
    """Receive a complete response, or all input up to the end; a reset raises an error."""
    received = b""
    async with asyncio.timeout(seconds):
        while True:
            data = await r.proxy.loop.sock_recv(sock, 65536)
            received += data
            if not data or (not until_end and b"\r\n\r\nserved" in received):
                return received


def stop_reading(r: Rig, *, idle: int) -> None:
    """Make the proxy stop reading from its clients, so that their input stays in the kernel."""
    connections = [c for c in r.proxy._frontend._accepted if isinstance(c, Connection)]
    assert len(connections) == idle
    for connection in connections:
        assert connection.transport is not None
        connection.transport.pause_reading()


def response_count(received: bytes) -> int:
    return received.count(b"HTTP/1.1 ")


@pytest.mark.parametrize("ahead", ["half a request", "a request"])
def test_input_on_an_idle_connection_that_is_being_closed_is_discarded(ahead: str) -> None:
    async def run() -> None:
        async with rig(respond_ok) as r:
            client = raw_client(r.proxy.port)
            client.send(request_bytes())
            assert response_count(await receive(r, client)) == 1
            stop_reading(r, idle=1)
            client.send(request_bytes()[: 20 if ahead == "half a request" else None])
            stopping = asyncio.create_task(r.proxy.stop(0.0))
            # An end and no reset: the client can send the unanswered request again elsewhere.
            assert await receive(r, client, until_end=True) == b""
            client.send(request_bytes())  # a client that has not noticed the close yet
            client.shutdown(socket.SHUT_WR)
            await stopping
            assert await receive(r, client, until_end=True) == b""
            assert len(r.backends[0].requests) == 1
            client.close()

    asyncio.run(run())


def test_last_response_is_not_reset_by_input_behind_its_request() -> None:
    async def run() -> None:
        go = asyncio.Event()
        respond_ok_after_go = respond_ok_after(go)

        async with rig(respond_ok_after_go) as r:
            client = raw_client(r.proxy.port)
            client.send(request_bytes(Connection="close"))
            await r.until(lambda: len(r.backends[0].requests) == 1)
            stop_reading(r, idle=1)
            client.send(request_bytes())
            go.set()
            received = await receive(r, client, until_end=True)
            assert response_count(received) == 1 and b"served" in received
            assert len(r.backends[0].requests) == 1
            client.close()

    asyncio.run(run())


def test_lingering_close_is_bounded_in_time_and_bytes(monkeypatch: pytest.MonkeyPatch) -> None:
    for state in (ConnectionState.LINGERING, ConnectionState.REJECTED):
        monkeypatch.setitem(STATE_TIMEOUT_S, state, 0.2)

    async def run() -> None:
        async with rig(respond_ok) as r:
            idle_client, flooding = raw_client(r.proxy.port), raw_client(r.proxy.port)
            for client in (idle_client, flooding):
                client.send(request_bytes(Connection="close"))
                assert response_count(await receive(r, client)) == 1
            sent_bytes = 0
            while sent_bytes < 50_000_000:
                try:
                    sent_bytes += flooding.send(b"x" * 65536)
                except BlockingIOError:
                    await asyncio.sleep(0.005)
                except ConnectionError:
                    break
            assert sent_bytes < 50_000_000
            await r.until(lambda: r.proxy._frontend.connection_count == 0)
            idle_client.close()
            flooding.close()

    asyncio.run(run())


def test_connections_in_the_backlog_at_shutdown_are_served() -> None:
    async def run() -> None:
        async with rig(respond_ok) as r:
            # None is accepted before the loop runs.
            clients = [raw_client(r.proxy.port) for _ in range(3)]
            for client in clients:
                client.send(request_bytes())
            stopping = asyncio.create_task(r.proxy.stop(0.0))
            for client in clients:
                received = await receive(r, client, until_end=True)
                assert (
                    received.startswith(b"HTTP/1.1 200")
                    and b"connection: close" in received.lower()
                )
                client.close()
            await stopping

    asyncio.run(run())


def test_connection_accepted_last_may_still_send_its_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(frontend, "SILENT_S", 2.0)

    async def run() -> None:
        async with rig(respond_ok) as r:
            client = raw_client(r.proxy.port)
            stopping = asyncio.create_task(r.proxy.stop(0.0))
            await r.until(
                lambda: (
                    not r.proxy._frontend.acceptor._listener
                    and r.proxy._frontend.connection_count == 1
                )
            )
            await asyncio.sleep(2 * SHED_URGENT_S)  # longer than a served connection may be idle
            client.send(request_bytes())
            assert (await receive(r, client, until_end=True)).startswith(b"HTTP/1.1 200")
            client.close()
            await stopping

    asyncio.run(run())


def test_pipelined_request_is_not_forwarded_during_shutdown() -> None:
    async def run() -> None:
        go = asyncio.Event()
        respond_ok_after_go = respond_ok_after(go)

        async with rig(respond_ok_after_go) as r:
            client = raw_client(r.proxy.port)
            client.send(request_bytes() + request_bytes())
            await r.until(lambda: len(r.backends[0].requests) == 1)
            stopping = asyncio.create_task(r.proxy.stop(0.0))
            await r.until(lambda: not r.proxy._frontend.acceptor._listener)
            client.send(request_bytes())
            go.set()
            received = await receive(r, client, until_end=True)
            assert response_count(received) == 1 and b"connection: close" in received.lower()
            client.close()
            await stopping
            assert len(r.backends[0].requests) == 1

    asyncio.run(run())


def test_request_completed_as_the_shutdown_begins_is_served() -> None:
    async def run() -> None:
        async with rig(respond_ok) as r:
            idle_client, incomplete = await r.client(), await r.client()
            assert (await idle_client.request()).status == 200
            raw = request_bytes("order", body=b"whole")
            incomplete.writer.write(raw[:-1])
            await r.until(
                lambda: bool(r.proxy._frontend.table.by_state[ConnectionState.READING_BODY])
            )
            stopping = asyncio.create_task(r.proxy.stop(0.2))
            await asyncio.sleep(0)
            incomplete.writer.write(raw[-1:])
            # So is a request on an idle connection while new connections are still accepted.
            for reply in (await incomplete.read(), await idle_client.request()):
                assert (reply.status, reply.headers["connection"]) == (200, "close")
            await stopping

    asyncio.run(run())


def test_drain_undone_at_once_closes_nothing_and_leaves_nothing_open() -> None:
    async def run() -> None:
        go = asyncio.Event()
        respond_ok_after_go = respond_ok_after(go)

        async with rig(respond_ok, admin_addr="127.0.0.1:0") as r:
            idle_client, busy = await r.client(), await r.client()
            assert (await idle_client.request()).status == 200
            r.backends[0].behave = respond_ok_after_go
            busy.writer.write(request_bytes())
            await r.until(lambda: len(r.backends[0].requests) == 2)
            for path in (
                "/api/evacuate",
                "/api/rejoin",
                "/api/evacuate",
                "/api/evacuate",
                "/api/rejoin",
            ):
                assert (await r.admin_call(path)).status == 200
            go.set()
            for reply in (await busy.read(), await idle_client.request(), await busy.request()):
                assert reply.status == 200 and "connection" not in reply.headers
            assert r.proxy._frontend.accepts_new_clients()
            # A shutdown cannot be undone.
            stopping = asyncio.create_task(r.proxy.stop(0.1))
            await asyncio.sleep(0)
            assert (await r.admin_call("/api/rejoin")).status == 409
            idle_client.close()
            busy.close()
            await stopping

    asyncio.run(run())


def test_accept_that_fails_for_want_of_descriptors_is_retried(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def run() -> None:
        async with rig(respond_ok) as r:
            listener = r.proxy._frontend.acceptor._listener
            assert listener is not None
            accept = listener.accept
            pending_errors = [OSError(errno.EMFILE, "too many open files")] * 3

            class FailingListener:
                """A listener whose accept fails for lack of descriptors."""

                def accept(self) -> Any:
                    if pending_errors:
                        raise pending_errors.pop()
                    return accept()

                def __getattr__(self, name: str) -> Any:
                    return getattr(listener, name)

            monkeypatch.setattr(r.proxy._frontend.acceptor, "_listener", FailingListener())
            assert (await r.request()).status == 200
            assert not pending_errors
            monkeypatch.setattr(r.proxy._frontend.acceptor, "_listener", listener)

    asyncio.run(run())


def test_every_client_gets_a_response_after_a_start_with_half_of_the_backends_hanging() -> None:
    async def run() -> None:
        async with rig(never_respond, respond_ok, never_respond, respond_ok) as r:

            async def request_until_served() -> int:
                for _ in range(40):
                    reply = await r.request(remaining="800m")
                    if reply.status == 200:
                        return 1
                    assert reply.status in (502, 503, 504)
                return 0

            assert sum(await asyncio.gather(*(request_until_served() for _ in range(30)))) == 30
            assert r.count("faults") == r.count("checks_broken") == 0
            await r.until(lambda: not r.proxy._decider._pending)

    asyncio.run(run())


def test_response_that_is_read_slowly_is_completed_during_shutdown() -> None:
    async def run() -> None:
        body = b"z" * 60_000

        async def long_response(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + body)

        async with rig(long_response) as r:
            client = socket.socket()
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            client.connect(("127.0.0.1", r.proxy.port))
            client.setblocking(False)
            client.send(request_bytes())
            await r.until(lambda: r.count("answers_ok") == 1)
            stopping = asyncio.create_task(r.proxy.stop(0.0))
            await r.until(lambda: not r.proxy._frontend.acceptor._listener)
            assert (await receive(r, client, until_end=True)).endswith(body)
            client.close()
            await stopping

    asyncio.run(run())


def test_hanging_attempt_does_not_delay_shutdown_past_the_longest_deadline() -> None:
    async def run() -> None:
        async with rig(never_respond) as r:
            client = await r.client()
            client.writer.write(request_bytes("order", remaining=LONG_REMAINING))
            await r.until(lambda: len(r.backends[0].requests) == 1)
            started_s = r.proxy.loop.time()
            stopping = asyncio.create_task(r.proxy.stop(0.0))
            assert (await client.read()).status in (502, 504)  # it may have run, so no 503
            assert await client.closed()
            await stopping
            # The longest deadline is 1 s, a kill may follow 0.7 s later; the client waits 3.9 s.
            assert r.proxy.loop.time() - started_s < 3.0
            client.close()

    asyncio.run(run())


async def exit_code(process: asyncio.subprocess.Process, seconds: float = 8.0) -> int:
    return await asyncio.wait_for(process.wait(), seconds)


def configuration(tmp_path: Path, stand_in: StandInDiscovery, **changes: Any) -> tuple[Path, int]:
    tree = make_config_tree(stand_in, [], **changes)
    port = free_port()
    tree["listen"] = f"127.0.0.1:{port}"
    path = tmp_path / "config.json"
    path.write_text(json.dumps(tree))
    return path, port


async def start_proxy(path: Path) -> asyncio.subprocess.Process:
    """Start a proxy and wait until it listens; it may not be ready yet."""
    process = await asyncio.create_subprocess_exec(
        *MAIN, env={**os.environ, "LB_CONFIG": str(path)}, cwd=ROOT, stderr=asyncio.subprocess.PIPE
    )
    assert process.stderr
    while b"event=listening" not in await asyncio.wait_for(process.stderr.readline(), 15):
        pass
    return process


@pytest.mark.parametrize(
    "signals",
    [
        (signal.SIGTERM,),
        (signal.SIGTERM, signal.SIGTERM),
        (signal.SIGHUP, signal.SIGTERM),
        (signal.SIGTERM, signal.SIGHUP),
        (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1),
    ],
    ids=lambda signals: "-".join(w.name for w in signals),
)
@pytest.mark.parametrize("mode", ["ask", "push"])
def test_signal_before_the_first_endpoint_list_ends_the_process_with_0(
    tmp_path: Path, mode: str, signals: tuple[signal.Signals, ...]
) -> None:
    async def run() -> None:
        discovery = StandInDiscovery([])
        discovery.hangs = True
        await discovery.start()
        path, port = configuration(tmp_path, discovery, discovery=mode)
        process = await start_proxy(path)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
        assert b" 503 " in await reader.readline()
        for signal_number in signals:
            process.send_signal(signal_number)
        assert await exit_code(process) == 0
        writer.close()
        discovery.abort_connections()
        await discovery.stop()

    asyncio.run(run())


def test_admin_call_is_not_reset_by_input_behind_it() -> None:
    """The admin server closes connections in the same way, and writes responses at once."""

    async def run() -> None:
        async with rig(respond_ok, admin_addr="127.0.0.1:0") as r:
            for path, method in CALLS.items():
                caller = raw_client(r.proxy.admin_port)
                caller.send(f"{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode() + b"x" * 20_000)
                received = await receive(r, caller, until_end=True)
                assert received.startswith(b"HTTP/1.1 200")
                caller.close()
            # Callers that keep their connections open do not use up the admin server's slots.
            admin_server, callers = r.proxy._admin_server, []
            for _ in range(40):
                callers.append(caller := raw_client(r.proxy.admin_port))
                caller.send(b"GET /api/ready HTTP/1.1\r\n\r\n")
                assert (await receive(r, caller, until_end=True)).startswith(b"HTTP/1.1 200")
            assert (
                admin_server is not None
                and len(admin_server._callers) + len(admin_server._lingering) <= 16
            )
            for caller in callers:
                reset(caller)

    asyncio.run(run())


def test_small_writes_are_not_delayed_by_nagles_algorithm(monkeypatch: pytest.MonkeyPatch) -> None:
    async def run() -> None:
        async with rig(respond_ok, admin_addr="127.0.0.1:0") as r:
            client = await r.client()
            assert (await client.request()).status == 200
            backend_transports = [link.transport for link in r.proxy._pool.connections]
            clients = [
                c.transport for c in r.proxy._frontend._accepted if isinstance(c, Connection)
            ]
            assert backend_transports and clients
            for transport in (*backend_transports, *clients):
                assert transport is not None
                sock = transport.get_extra_info("socket")
                assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            admin_server = r.proxy._admin_server
            assert admin_server is not None and admin_server._listener is not None
            caller = raw_client(r.proxy.admin_port)
            await r.until(lambda: len(admin_server._callers) == 1)
            (seen,) = admin_server._callers
            assert seen.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            caller.close()
            client.close()

    asyncio.run(run())


def test_reload_signal_before_its_handler_is_installed_does_not_end_the_process(
    tmp_path: Path,
) -> None:
    """The deployed run command makes the shell ignore SIGHUP until the handler is installed."""
    run_command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]

    async def run() -> None:
        discovery = StandInDiscovery([])
        await discovery.start()
        path, _ = configuration(tmp_path, discovery)
        process = await asyncio.create_subprocess_exec(
            "sh",
            "-c",
            run_command.replace(".venv/bin/python", sys.executable),
            env={**os.environ, "LB_CONFIG": str(path)},
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
        )
        try:
            assert process.stderr
            listening = asyncio.create_task(process.stderr.readuntil(b"event=listening"))
            command_line = Path(f"/proc/{process.pid}/cmdline")
            async with asyncio.timeout(15):
                while b"mothstall" not in command_line.read_bytes().split(b"\0"):
                    await asyncio.sleep(0.001)
                while not listening.done():
                    process.send_signal(signal.SIGHUP)
                    await asyncio.sleep(0.002)
            await listening
            process.send_signal(signal.SIGTERM)
            assert await exit_code(process) == 0
        finally:
            if process.returncode is None:
                process.kill()
        await discovery.stop()

    asyncio.run(run())


def test_rejection_at_shutdown_carries_retry_after(monkeypatch: pytest.MonkeyPatch) -> None:
    """An incomplete request is rejected when no time is left to serve it, as it has not run."""

    async def run() -> None:
        for allowed in (True, False):
            async with rig(respond_ok, limits__retry_after=allowed) as r:
                client = await r.client()
                client.writer.write(request_bytes("order", body=b"whole")[:-3])
                by_state = r.proxy._frontend.table.by_state
                await r.until(
                    lambda by_state=by_state: bool(by_state[ConnectionState.READING_BODY])  # type: ignore[misc]
                )
                stopping = asyncio.create_task(r.proxy.stop(0.0))
                reply = await client.read()
                assert reply.status == 503
                assert reply.headers.get("retry-after") == ("0.050" if allowed else None)
                client.close()
                await stopping

    asyncio.run(run())


def test_end_of_a_handed_over_response_is_not_reset_by_input_behind_its_request() -> None:
    async def run() -> None:
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            client = raw_client(listener.getsockname()[1])
            accepted, _ = listener.accept()
        finished: list[StreamTakeover] = []
        loop = asyncio.get_running_loop()
        takeover = StreamTakeover(
            StreamHandover(0, None, False, b"the end of it", ()), BufferGrants(1), loop
        )
        client.send(request_bytes())  # its next request, which nobody reads
        running = asyncio.create_task(takeover.run(accepted, None, finished.append))
        received = b""
        async with asyncio.timeout(5):
            while data := await loop.sock_recv(client, 65536):
                received += data
        assert received == b"the end of it"
        client.close()
        async with asyncio.timeout(5):
            while not finished:
                await asyncio.sleep(0.005)
        await running

    asyncio.run(run())
