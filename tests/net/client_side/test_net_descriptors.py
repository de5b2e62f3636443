"""Descriptors at the edge: idle clients fill them while discovery is down; what is in reserve stays so."""

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
    Directory,
    StandIn,
    answer,
    call,
    raw_client,
    request_bytes,
    rig,
    serves,
)
from tests.ports import free_port

LOW = 96  # descriptors of a process
CROWD = 300  # idle clients, far more than that


async def begun(path: Path) -> asyncio.subprocess.Process:
    """A proxy with few descriptors, by its limit alone."""
    process = await asyncio.create_subprocess_exec(
        *MAIN,
        env={**os.environ, "LB_CONFIG": str(path)},
        cwd=ROOT,
        stderr=asyncio.subprocess.PIPE,
        preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (LOW, LOW)),
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
        old, new = StandIn(serves, "s-old"), StandIn(serves, "s-new")
        for backend in (old, new):
            await backend.start()
        directory = Directory([old.row()])
        await directory.start()
        admin = free_port()
        path, port = configuration(
            tmp_path, directory, discovery=mode, operators=f"127.0.0.1:{admin}"
        )
        directory.tell(old.row())
        process = await begun(path)
        assert process.stderr
        said: list[bytes] = []
        reading = asyncio.create_task(keeps(process.stderr, said))
        async with asyncio.timeout(10):
            while (await ask(port)) != 200:
                await asyncio.sleep(0.05)
        await directory.stop()
        directory.cut()
        crowd: list[socket.socket] = []
        stop = asyncio.Event()
        pressing = asyncio.create_task(presses(port, crowd, stop))
        while len(crowd) < CROWD:
            await asyncio.sleep(0.01)
        assert (await call(admin, "/api/telemetry")).status == 200  # the operators' door
        directory.tell(old.row("DELETED"), new.row())
        directory.members = [new.row()]
        await directory.start()
        back = asyncio.get_running_loop().time()
        while not new.seen and asyncio.get_running_loop().time() - back < 6.0:
            await ask(port)
        assert new.seen  # told within 6 s of discovery's return, and served by that
        stop.set()
        await pressing
        for sock in crowd:
            sock.close()
        process.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(process.wait(), 10) == 0
        await reading
        assert b"Too many open files" not in b"".join(said)
        for backend in (old, new):
            await backend.stop()
        await directory.stop()
        directory.cut()

    asyncio.run(run())


async def keeps(reader: asyncio.StreamReader, said: list[bytes]) -> None:
    while line := await reader.readline():
        said.append(line)


async def ask(port: int) -> int:
    """One request on a connection of its own; 0 if that is closed with no answer."""
    try:
        client = Client(*await asyncio.open_connection("127.0.0.1", port))
        try:
            return (await client.ask(remaining="900m")).status
        finally:
            client.close()
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return 0


async def presses(port: int, crowd: list[socket.socket], stop: asyncio.Event) -> None:
    """Idle clients, some that never ask, some with part of a request, some that read no answer."""
    loop = asyncio.get_running_loop()
    while not stop.is_set():
        sock = socket.socket()
        sock.setblocking(False)
        try:
            await asyncio.wait_for(loop.sock_connect(sock, ("127.0.0.1", port)), 1.0)
            if len(crowd) % 3:
                sock.send(request_bytes()[: -2 if len(crowd) % 3 == 1 else None])
        except (OSError, TimeoutError):
            pass
        crowd.append(sock)
        if len(crowd) > 2 * CROWD:
            crowd.pop(0).close()
        await asyncio.sleep(0.002)


def test_new_connections_never_exceed_the_connection_budget(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """What is closed for them still holds its own until the loop has come round."""

    async def run() -> None:
        async with rig(serves, sockets=96) as r:
            front = r.proxy._frontend
            assert front.acceptor._listener is not None
            most = [0]
            listener = front.acceptor._listener

            class Counts:
                def accept(self) -> Any:
                    came = listener.accept()
                    most[0] = max(most[0], held() + 1)
                    return came

                def __getattr__(self, name: str) -> Any:
                    return getattr(listener, name)

            def held() -> int:
                return len(front._accepted) + len(front.acceptor.accepting)

            monkeypatch.setattr(front.acceptor, "_listener", Counts())
            first = [raw_client(r.proxy.port) for _ in range(40)]
            await r.until(lambda: front.count >= 40)
            await asyncio.sleep(0.15)
            second = [raw_client(r.proxy.port) for _ in range(60)]
            assert (await asyncio.wait_for(r.ask(), 3)).status == 200
            assert 40 <= most[0] <= front.budget.max_connections
            monkeypatch.setattr(front.acceptor, "_listener", listener)
            for client in first + second:
                client.close()

    asyncio.run(run())


def test_idle_connection_that_is_shed_gets_a_lingering_close() -> None:
    """What crosses it is read, so that the client sees an end and no reset."""

    async def run() -> None:
        async with rig(serves, sockets=64) as r:
            loop, front = r.proxy.loop, r.proxy._frontend
            rests = raw_client(r.proxy.port)
            rests.send(request_bytes())
            assert b"served" in await asyncio.wait_for(loop.sock_recv(rests, 65536), 3)
            (connection,) = front._accepted
            assert isinstance(connection, Connection)
            connection.since -= SHED_IDLE_S  # idle for long enough
            others = [
                raw_client(r.proxy.port)
                for _ in range(front.budget.max_connections - front.budget.spare)
            ]
            await r.until(lambda: connection.state == ConnectionState.LINGERING)
            rests.send(request_bytes())  # it crosses the close
            seen = len(r.backends[0].seen)
            await r.until(lambda: connection.discarded_bytes > 0)
            assert await asyncio.wait_for(loop.sock_recv(rests, 65536), 3) == b""
            assert len(r.backends[0].seen) == seen
            for client in [rests, *others]:
                client.close()

    asyncio.run(run())


def test_clients_that_read_no_response_do_not_exceed_the_connection_budget() -> None:
    """It is closed with what it has still to take, and not counted as gone while it is not."""

    async def run() -> None:
        async def big(seen: Any, writer: asyncio.StreamWriter) -> None:
            writer.write(answer(b"z" * 60_000))

        async with rig(big, sockets=64) as r:
            front = r.proxy._frontend
            deaf = []
            for _ in range(front.budget.max_connections + 10):
                sock = socket.socket()
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                sock.setblocking(False)
                deaf.append(sock)
                await asyncio.wait_for(
                    r.proxy.loop.sock_connect(sock, ("127.0.0.1", r.proxy.port)), 3
                )
                sock.send(b"".join(request_bytes(remaining="3900m") for _ in range(100)))
            assert (await asyncio.wait_for(r.ask(remaining="3900m"), 8)).status in (200, 503)
            assert front.count <= front.budget.max_connections
            for sock in deaf:
                sock.close()

    asyncio.run(run())


def test_reserved_descriptors_cover_their_uses() -> None:
    """Listeners, the event loop's own, standard streams, the operators' callers, and calls to discovery."""
    listeners, loop, streams, calls = 2, 3, 3, 4
    assert listeners + loop + streams + MAX_CALLERS + calls <= RESERVED_DESCRIPTORS


def test_answered_and_pending_admin_calls_share_their_descriptors() -> None:
    async def run() -> None:
        async with rig(serves, operators="127.0.0.1:0") as r:
            door = r.proxy._admin_server
            assert door is not None
            held = []
            for i in range(3 * MAX_CALLERS):
                sock = raw_client(r.proxy.admin_port)
                sock.send(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n" + (b"\r\n" if i % 2 else b""))
                held.append(sock)
                await asyncio.sleep(0.002)
                assert len(door._callers) + len(door._lingering) <= MAX_CALLERS
            assert (await r.call("/api/ready")).status == 200
            for sock in held:
                sock.close()

    asyncio.run(run())
