"""Descriptors run short: idle clients use them up in a discovery outage; the reserve stays free."""

from __future__ import annotations

import asyncio
import os
import resource
import signal
import socket
from pathlib import Path
from typing import Any

import pytest

from mothstall.net.admin.server import MAX_CALLERS
from mothstall.net.client_side.connection import Connection
from mothstall.net.client_side.connection_states import ConnectionState
from mothstall.net.client_side.load_shedding import SHED_IDLE_S
from mothstall.net.proxy import RESERVED_DESCRIPTORS
from tests.net.client_side.test_net_shutdown import configuration
from tests.net.test_process import MAIN, ROOT
from tests.peers import (
    Client,
    StandInBackend,
    StandInDiscovery,
    admin_call,
    raw_client,
    request_bytes,
    respond_ok,
    response_bytes,
    rig,
)
from tests.ports import free_port

DESCRIPTOR_LIMIT = 96  # of the proxy's process
IDLE_CLIENTS = 300  # far more than there are descriptors


async def start_limited_proxy(path: Path) -> asyncio.subprocess.Process:
    """Start a proxy with few descriptors, set by the process limit alone."""
    process = await asyncio.create_subprocess_exec(
        *MAIN,
        env={**os.environ, "LB_CONFIG": str(path)},
        cwd=ROOT,
        stderr=asyncio.subprocess.PIPE,
        preexec_fn=lambda: resource.setrlimit(
            resource.RLIMIT_NOFILE, (DESCRIPTOR_LIMIT, DESCRIPTOR_LIMIT)
        ),
    )
    assert process.stderr
    while b"event=listening" not in await asyncio.wait_for(process.stderr.readline(), 15):
        pass
    return process


@pytest.mark.parametrize("mode", ["ask", "push"])
def test_idle_clients_that_use_all_descriptors_do_not_block_discovery_after_an_outage(
    tmp_path: Path, mode: str
) -> None:
    async def run() -> None:
        old, new = StandInBackend(respond_ok, "s-old"), StandInBackend(respond_ok, "s-new")
        for backend in (old, new):
            await backend.start()
        discovery = StandInDiscovery([old.row()])
        await discovery.start()
        admin = free_port()
        path, port = configuration(
            tmp_path, discovery, discovery=mode, admin_addr=f"127.0.0.1:{admin}"
        )
        discovery.publish(old.row())
        process = await start_limited_proxy(path)
        assert process.stderr
        log_lines: list[bytes] = []
        reading = asyncio.create_task(collect_lines(process.stderr, log_lines))
        async with asyncio.timeout(10):
            while (await request_once(port)) != 200:
                await asyncio.sleep(0.05)
        await discovery.stop()
        discovery.abort_connections()
        idle_sockets: list[socket.socket] = []
        stop = asyncio.Event()
        connecting = asyncio.create_task(connect_idle_clients(port, idle_sockets, stop))
        while len(idle_sockets) < IDLE_CLIENTS:
            await asyncio.sleep(0.01)
        # The admin server still answers.
        assert (await admin_call(admin, "/api/telemetry")).status == 200
        discovery.publish(old.row("DELETED"), new.row())
        discovery.members = [new.row()]
        await discovery.start()
        restarted_at = asyncio.get_running_loop().time()
        while not new.requests and asyncio.get_running_loop().time() - restarted_at < 6.0:
            await request_once(port)
        assert new.requests  # within 6 s of its return, discovery reported the new backend
        stop.set()
        await connecting
        for sock in idle_sockets:
            sock.close()
        process.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(process.wait(), 10) == 0
        await reading
        assert b"Too many open files" not in b"".join(log_lines)
        for backend in (old, new):
            await backend.stop()
        await discovery.stop()
        discovery.abort_connections()

    asyncio.run(run())


async def collect_lines(reader: asyncio.StreamReader, log_lines: list[bytes]) -> None:
    while line := await reader.readline():
        log_lines.append(line)


async def request_once(port: int) -> int:
    """Send one request on a new connection; return its status, 0 if it is closed unanswered."""
    try:
        client = Client(*await asyncio.open_connection("127.0.0.1", port))
        try:
            return (await client.request(remaining="900m")).status
        finally:
            client.close()
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return 0


async def connect_idle_clients(
    port: int, idle_sockets: list[socket.socket], stop: asyncio.Event
) -> None:
    """Open idle connections: silent, with an incomplete request, or with an unread response."""
    loop = asyncio.get_running_loop()
    while not stop.is_set():
        sock = socket.socket()
        sock.setblocking(False)
        try:
            await asyncio.wait_for(loop.sock_connect(sock, ("127.0.0.1", port)), 1.0)
            if len(idle_sockets) % 3:
                sock.send(request_bytes()[: -2 if len(idle_sockets) % 3 == 1 else None])
        except (OSError, TimeoutError):
            pass
        idle_sockets.append(sock)
        if len(idle_sockets) > 2 * IDLE_CLIENTS:
            idle_sockets.pop(0).close()
        await asyncio.sleep(0.002)


def test_new_connections_never_exceed_the_connection_budget(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Connections closed for new ones hold their descriptors until the next loop iteration."""

    async def run() -> None:
        async with rig(respond_ok, sockets=96) as r:
            frontend = r.proxy._frontend
            assert frontend.acceptor._listener is not None
            max_open = [0]
            listener = frontend.acceptor._listener

            class CountingListener:
                def accept(self) -> Any:
                    accepted = listener.accept()
                    max_open[0] = max(max_open[0], open_count() + 1)
                    return accepted

                def __getattr__(self, name: str) -> Any:
                    return getattr(listener, name)

            def open_count() -> int:
                return len(frontend._accepted) + len(frontend.acceptor.accepting)

            monkeypatch.setattr(frontend.acceptor, "_listener", CountingListener())
            first = [raw_client(r.proxy.port) for _ in range(40)]
            await r.until(lambda: frontend.connection_count >= 40)
            await asyncio.sleep(0.15)
            second = [raw_client(r.proxy.port) for _ in range(60)]
            assert (await asyncio.wait_for(r.request(), 3)).status == 200
            assert 40 <= max_open[0] <= frontend.budget.max_connections
            monkeypatch.setattr(frontend.acceptor, "_listener", listener)
            for client in first + second:
                client.close()

    asyncio.run(run())


def test_idle_connection_that_is_shed_gets_a_lingering_close() -> None:
    """A request that crosses the close is read, so that the client sees an end and no reset."""

    async def run() -> None:
        async with rig(respond_ok, sockets=64) as r:
            loop, frontend = r.proxy.loop, r.proxy._frontend
            idle_client = raw_client(r.proxy.port)
            idle_client.send(request_bytes())
            assert b"served" in await asyncio.wait_for(loop.sock_recv(idle_client, 65536), 3)
            (connection,) = frontend._accepted
            assert isinstance(connection, Connection)
            connection.state_since_s -= SHED_IDLE_S  # idle for long enough
            others = [
                raw_client(r.proxy.port)
                for _ in range(frontend.budget.max_connections - frontend.budget.spare)
            ]
            await r.until(lambda: connection.state == ConnectionState.LINGERING)
            idle_client.send(request_bytes())  # crosses the close
            request_count = len(r.backends[0].requests)
            await r.until(lambda: connection.discarded_bytes > 0)
            assert await asyncio.wait_for(loop.sock_recv(idle_client, 65536), 3) == b""
            assert len(r.backends[0].requests) == request_count
            for client in [idle_client, *others]:
                client.close()

    asyncio.run(run())


def test_clients_that_read_no_response_do_not_exceed_the_connection_budget() -> None:
    """They are closed with unread data, and count until their descriptors are free."""

    async def run() -> None:
        async def long_response(request: Any, writer: asyncio.StreamWriter) -> None:
            writer.write(response_bytes(b"z" * 60_000))

        async with rig(long_response, sockets=64) as r:
            frontend = r.proxy._frontend
            unread_sockets = []
            for _ in range(frontend.budget.max_connections + 10):
                sock = socket.socket()
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                sock.setblocking(False)
                unread_sockets.append(sock)
                await asyncio.wait_for(
                    r.proxy.loop.sock_connect(sock, ("127.0.0.1", r.proxy.port)), 3
                )
                sock.send(b"".join(request_bytes(remaining="3900m") for _ in range(100)))
            assert (await asyncio.wait_for(r.request(remaining="3900m"), 8)).status in (200, 503)
            assert frontend.connection_count <= frontend.budget.max_connections
            for sock in unread_sockets:
                sock.close()

    asyncio.run(run())


def test_reserved_descriptors_cover_their_uses() -> None:
    """The listeners, the event loop, standard streams, admin callers and calls to discovery."""
    listeners, loop, streams, calls = 2, 3, 3, 4
    assert listeners + loop + streams + MAX_CALLERS + calls <= RESERVED_DESCRIPTORS


def test_answered_and_pending_admin_calls_share_their_descriptors() -> None:
    async def run() -> None:
        async with rig(respond_ok, admin_addr="127.0.0.1:0") as r:
            admin_server = r.proxy._admin_server
            assert admin_server is not None
            callers = []
            for i in range(3 * MAX_CALLERS):
                sock = raw_client(r.proxy.admin_port)
                sock.send(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n" + (b"\r\n" if i % 2 else b""))
                callers.append(sock)
                await asyncio.sleep(0.002)
                assert len(admin_server._callers) + len(admin_server._lingering) <= MAX_CALLERS
            assert (await r.admin_call("/api/ready")).status == 200
            for sock in callers:
                sock.close()

    asyncio.run(run())
