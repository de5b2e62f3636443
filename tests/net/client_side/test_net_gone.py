"""No attempt begins for a client whose hang-up has reached the kernel, whatever caused the delay.

In most of these tests the proxy has stopped reading from the client, like a process that was
suspended or is busy: the hang-up has arrived, but was not read.
"""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from typing import Any

import pytest

from mothstall import config
from mothstall.interface import AttemptResult
from mothstall.net.backend_side import messages as backend_messages
from mothstall.net.backend_side.backend import Backend
from mothstall.net.client_side import frontend, lingering_close
from mothstall.net.client_side.connection_states import ConnectionState
from mothstall.net.listener import CHECK_CLIENT_AFTER_NS, has_peer_hung_up
from tests.net.client_side.test_net_leaving import (
    DEPARTURES,
    LONG_REMAINING,
    connections,
    no_open_requests_or_clients,
    resources_released,
)
from tests.net.test_net_body_relay import rig_with_upload_backend
from tests.peers import (
    MS,
    BackendRig,
    ConnectGate,
    Rig,
    never_respond,
    raw_client,
    request_bytes,
    respond_ok,
    respond_ok_after,
    respond_with,
    response_bytes,
    rig,
    start_backend_rig,
)

LONG_CONNECT_TIMEOUT: dict[str, Any] = {"limits--connect_timeout_ns": 5_000 * MS}
# A request may be queued for a quarter of its objective.
LONG_OBJECTIVE = [
    {
        "name": "search",
        "effect": "pure",
        "aim-ns": 4_000 * MS,
        "deadline-ns": 4_000 * MS,
        "worth": 1,
    }
]


def leave_unread(r: Rig, client: socket.socket, end: Callable[[socket.socket], None]) -> None:
    """End the client's connection after the proxy has stopped reading from it."""
    for connection in connections(r):
        if connection.transport is not None:
            connection.transport.pause_reading()
    end(client)


async def hang_ups_pending(r: Rig) -> None:
    """Wait until the kernel has received the hang-ups."""
    await r.until(lambda: all(has_peer_hung_up(c.transport) for c in connections(r)))


async def wait_past_socket_check(r: Rig) -> None:
    """Wait until requests are old enough that the client's socket is checked."""
    await asyncio.sleep(2 * CHECK_CLIENT_AFTER_NS / 1e9)


@pytest.mark.parametrize("end", DEPARTURES)
@pytest.mark.parametrize("cancelling", [True, False])
def test_connection_established_after_its_client_left_unread_is_not_written_to(
    monkeypatch: pytest.MonkeyPatch, cancelling: bool, end: Callable[[socket.socket], None]
) -> None:
    async def run() -> None:
        async with rig(respond_ok, limits__cancelling=cancelling, **LONG_CONNECT_TIMEOUT) as r:
            gate = ConnectGate(r.proxy.loop, monkeypatch)
            gate.hold(r.backends[0])
            client = raw_client(r.proxy.port)
            client.send(request_bytes(remaining=LONG_REMAINING))
            await r.until(lambda: gate.waiting == 1)
            leave_unread(r, client, end)
            await hang_ups_pending(r)
            await wait_past_socket_check(r)
            gate.open.set()
            await r.until(lambda: no_open_requests_or_clients(r))
            assert resources_released(r) and not r.backends[0].requests
            assert r.proxy._pool.open_count == 1  # open, and reusable for the next request

    asyncio.run(run())


@pytest.mark.parametrize("end", DEPARTURES)
def test_retry_for_a_client_that_left_unread_is_not_sent(
    end: Callable[[socket.socket], None],
) -> None:
    async def run() -> None:
        async with rig(never_respond, never_respond) as r:
            for backend in r.backends:
                backend.behave = respond_with(b"")
            client = raw_client(r.proxy.port)
            client.send(request_bytes(remaining=LONG_REMAINING))
            await r.until(lambda: any(b.requests for b in r.backends))
            first = next(b for b in r.backends if b.requests)
            leave_unread(r, client, end)
            await hang_ups_pending(r)
            await wait_past_socket_check(r)
            (writer,) = first.writers
            writer.write(response_bytes(b"", 503, X_Turned_Away="1"))
            await r.until(lambda: no_open_requests_or_clients(r))
            assert resources_released(r) and sum(len(b.requests) for b in r.backends) == 1

    asyncio.run(run())


@pytest.mark.parametrize("end", DEPARTURES)
def test_queued_request_whose_client_left_unread_is_not_sent(
    end: Callable[[socket.socket], None],
) -> None:
    async def run() -> None:
        go = asyncio.Event()
        async with rig(respond_ok_after(go), classes=LONG_OBJECTIVE, **LONG_CONNECT_TIMEOUT) as r:
            balancer = r.proxy._decider._balancer
            clients = []
            while not balancer.queue.count:
                clients.append(raw_client(r.proxy.port))
                clients[-1].send(request_bytes(remaining=LONG_REMAINING))
                sent = len(clients)
                await r.until(lambda sent=sent: len(balancer.requests.open) == sent)  # type: ignore[misc]
            served = len(clients) - 1
            await r.until(lambda: len(r.backends[0].requests) == served)
            leave_unread(r, clients[-1], end)
            await r.until(lambda: any(has_peer_hung_up(c.transport) for c in connections(r)))
            await wait_past_socket_check(r)
            assert balancer.queue.count
            go.set()
            await r.until(lambda: r.count("answers_ok") >= served)
            await r.until(lambda: resources_released(r))
            assert len(r.backends[0].requests) == served
            for client in clients[:-1]:
                client.close()

    asyncio.run(run())


class DepartedClient:
    """Replaces a client connection whose client has left."""

    def __init__(self) -> None:
        self.socket_checks: list[bool] = []

    def is_waiting(self, request: Any, check_socket: bool) -> bool:
        self.socket_checks.append(check_socket)
        return False


@pytest.mark.parametrize("is_reused", [True, False], ids=["on a known connection", "on a new one"])
def test_no_kind_of_attempt_begins_for_a_client_that_left(
    monkeypatch: pytest.MonkeyPatch, is_reused: bool
) -> None:
    """First attempts, retries, hedges and queued attempts all pass through the backend's actor."""

    async def run() -> None:
        stand_in, backend_rig = await start_backend_rig(respond_ok)
        if is_reused:
            backend_rig.send()
            await backend_rig.wait_for_results()
        before = len(stand_in.requests)
        departed = DepartedClient()
        tell = backend_rig.actor.tell

        def tell_with_departed_client(command: Any) -> None:
            command.client_request.client = departed
            tell(command)

        monkeypatch.setattr(backend_rig.actor, "tell", tell_with_departed_client)
        backend_rig.send()
        assert (await backend_rig.wait_for_results(before + 1))[-1] == AttemptResult.NOT_SENT
        # The socket is checked, as the request arrived long ago.
        assert len(stand_in.requests) == before and departed.socket_checks == [True]
        assert backend_rig.pool.open_count == int(is_reused)
        backend_rig.pool.close()
        await stand_in.stop()

    asyncio.run(run())


@pytest.mark.parametrize("cancelling", [True, False])
def test_attempt_queued_for_an_actor_when_the_clients_end_is_read_does_not_begin(
    monkeypatch: pytest.MonkeyPatch, cancelling: bool
) -> None:
    """The command is in the backend's mailbox when the hang-up is read."""

    async def run() -> None:
        async with rig(respond_ok, limits__cancelling=cancelling) as r:
            assert (await r.request()).status == 200  # leaves an idle connection to the backend
            await r.until(lambda: r.proxy._frontend.connection_count == 0)
            tell = Backend.tell

            def tell_then_read_end(self: Backend, command: Any) -> None:
                tell(self, command)
                if isinstance(command, backend_messages.SendAttempt):
                    (connection,) = connections(r)
                    connection.eof_received()

            monkeypatch.setattr(Backend, "tell", tell_then_read_end)
            client = raw_client(r.proxy.port)
            client.send(request_bytes(remaining=LONG_REMAINING))
            await r.until(lambda: r.count("attempts") == 2 and resources_released(r))
            assert len(r.backends[0].requests) == 1
            client.close()

    asyncio.run(run())


def test_partly_written_attempt_is_never_completed_after_its_client_left_without_cancelling() -> (
    None
):
    """Its first bytes are sent; the rest waits for a backend that does not read."""

    async def run() -> None:
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            backend_rig = BackendRig(config.Address("127.0.0.1", listener.getsockname()[1]))
            request_number = backend_rig.send("POST", within_ms=3_000, body=b"x" * 8_000_000)
            accepted, _ = await asyncio.get_running_loop().run_in_executor(None, listener.accept)
            async with asyncio.timeout(3):
                while not (links := list(backend_rig.pool.connections)) or links[0].attempt is None:
                    await asyncio.sleep(0.005)
            assert not links[0].is_flushed
            backend_rig.actor.tell(backend_messages.WithholdAttempt(request_number, 0))
            assert await backend_rig.wait_for_results() == [AttemptResult.NOT_SENT]
            backend_rig.pool.close()
            accepted.close()

    asyncio.run(run())


@pytest.mark.parametrize("body_size", [3_000_000, 12_000_000])
@pytest.mark.parametrize("end", DEPARTURES)
def test_input_beyond_the_kernels_buffers_is_read_up_to_the_clients_end(
    monkeypatch: pytest.MonkeyPatch, body_size: int, end: Callable[[socket.socket], None]
) -> None:
    """Input over the buffer limit is discarded without a pause, up to the client's hang-up."""
    monkeypatch.setattr(frontend, "SWEEP_S", 1_000.0)  # no periodic checks

    async def run() -> None:
        async with rig(never_respond) as r:
            client = raw_client(r.proxy.port)
            client.send(request_bytes(remaining=LONG_REMAINING))
            await r.until(lambda: len(r.backends[0].requests) == 1)
            raw = (
                request_bytes("order", body=b"x" * 200, remaining=LONG_REMAINING) + b"x" * body_size
            )
            await asyncio.wait_for(r.proxy.loop.sock_sendall(client, raw), 3)
            end(client)
            await r.until(lambda: no_open_requests_or_clients(r))
            assert resources_released(r) and len(r.backends[0].requests) == 1

    asyncio.run(run())


def test_endless_input_behind_an_open_request_is_rejected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its departure could not be noticed behind endless input, so its open request is withdrawn."""
    monkeypatch.setattr(lingering_close, "MAX_DISCARDED_BYTES", 2_000_000)

    async def run() -> None:
        async with rig(never_respond) as r:
            client = await r.client()
            client.writer.write(request_bytes(remaining=LONG_REMAINING))
            await r.until(lambda: len(r.backends[0].requests) == 1)
            sending = asyncio.create_task(_send_endlessly(client.writer))
            rejected = await client.read()
            assert (rejected.status, rejected.headers["connection"]) == (400, "close")
            await r.until(lambda: resources_released(r))
            assert len(r.backends[0].requests) == 1 and r.count("attempts_cancelled") == 1
            sending.cancel()
            client.writer.transport.abort()

    asyncio.run(run())


async def _send_endlessly(writer: asyncio.StreamWriter) -> None:
    for _ in range(200):
        writer.write(b"x" * 65536)
        await writer.drain()


@pytest.mark.parametrize(
    "is_end_hidden", [False, True], ids=["with the kernel", "more than the kernel holds"]
)
def test_blocked_body_whose_client_left_is_never_sent_completely(
    monkeypatch: pytest.MonkeyPatch, is_end_hidden: bool
) -> None:
    """The client closes after the whole body: its end is read with the last byte at the latest."""

    async def run() -> None:
        async with rig_with_upload_backend(**LONG_CONNECT_TIMEOUT) as (r, upload_backend):
            gate = ConnectGate(r.proxy.loop, monkeypatch)
            gate.hold(upload_backend)
            if is_end_hidden:
                assert r.proxy._frontend.acceptor._listener is not None
                r.proxy._frontend.acceptor._listener.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, 4096
                )
            client = socket.socket()
            client.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 400_000)
            client.connect(("127.0.0.1", r.proxy.port))
            client.setblocking(False)
            size = 160_000
            head = request_bytes(
                "order",
                omit=("Content-Length",),
                Content_length=str(size),
                remaining=LONG_REMAINING,
            )
            await asyncio.wait_for(r.proxy.loop.sock_sendall(client, head + b"u" * size), 3)
            await r.until(lambda: gate.waiting == 1)
            await r.until(
                lambda: any(
                    c.body.stream is not None and c.body.stream.is_paused for c in connections(r)
                )
            )
            monkeypatch.setattr(frontend, "SWEEP_S", 1_000.0)
            await asyncio.sleep(0.2)  # the last scheduled sweep has run
            client.close()
            await asyncio.sleep(0.05)
            assert has_peer_hung_up(connections(r)[0].transport) is not is_end_hidden
            gate.open.set()
            await r.until(lambda: no_open_requests_or_clients(r))
            assert resources_released(r) and not upload_backend.digests
            # Its head may be sent; an incomplete request never runs.
            assert len(upload_backend.framings) <= int(is_end_hidden)

    asyncio.run(run())


def test_first_attempt_for_a_client_that_left_while_nothing_was_read_is_not_sent() -> None:
    """A delay under 0.1 s counts, too: the first request's age starts with its connection."""

    async def run() -> None:
        async with rig(respond_ok) as r:
            assert (await r.request()).status == 200
            await r.until(lambda: r.proxy._frontend.connection_count == 0)
            client = raw_client(r.proxy.port)
            await r.until(lambda: r.proxy._frontend.connection_count == 1)
            client.send(request_bytes(remaining=LONG_REMAINING)[:-2])
            await r.until(lambda: connections(r)[0].state == ConnectionState.READING_HEAD)
            await wait_past_socket_check(r)
            client.send(b"\r\n")
            client.close()
            await r.until(lambda: r.proxy._frontend.connection_count == 0)
            assert len(r.backends[0].requests) == 1 and resources_released(r)

    asyncio.run(run())


def remaining_ms(value: bytes | None) -> float:
    assert value is not None and value.endswith(b"u")
    return int(value[:-1]) / 1000


def test_attempt_announces_no_more_time_than_remains_once_it_is_connected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def run() -> None:
        async with rig(respond_ok, **LONG_CONNECT_TIMEOUT) as r:
            gate = ConnectGate(r.proxy.loop, monkeypatch)
            gate.hold(r.backends[0])
            reply_task = asyncio.create_task(r.request(remaining="2900m"))
            await r.until(lambda: gate.waiting == 1)
            began = time.monotonic()
            await asyncio.sleep(0.3)
            held_ms = 1000 * (time.monotonic() - began)
            gate.open.set()
            assert (await reply_task).status == 200
            (request,) = r.backends[0].requests
            assert 0 < remaining_ms(request.header(b"X-Remaining")) <= 2900 - held_ms

    asyncio.run(run())


def test_deadline_of_a_pipelined_request_counts_from_its_arrival() -> None:
    async def run() -> None:
        go = asyncio.Event()
        async with rig(respond_ok_after(go)) as r:
            client = await r.client()
            client.writer.write(request_bytes(remaining="2900m"))
            await r.until(lambda: len(r.backends[0].requests) == 1)
            client.writer.write(request_bytes(remaining="2900m") + request_bytes(remaining="2900m"))
            await r.until(lambda: connections(r)[0].has_pipelined_input())
            sent = time.monotonic()
            await asyncio.sleep(0.3)
            held_ms = 1000 * (time.monotonic() - sent)
            go.set()
            for _ in range(3):
                assert (await client.read()).status == 200
            for request in r.backends[0].requests[1:]:
                assert remaining_ms(request.header(b"X-Remaining")) <= 2900 - held_ms
            client.close()

    asyncio.run(run())
