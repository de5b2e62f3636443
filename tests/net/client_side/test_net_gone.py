"""Gone is gone: no attempt begins for a client whose end is known to the kernel, whatever held it up.

In most of these tests nothing is read from the client any more, as in a process that stood still or whose
turn has not come: its end is there, and has not been read.
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
from tests.net.client_side.test_net_leaving import ENDS, LONG, connections, given_back, nothing_owed
from tests.net.test_net_body_relay import rig_with_upload_backend
from tests.peers import (
    MS,
    Gate,
    Rig,
    Single,
    alone,
    answer,
    raw_client,
    request_bytes,
    rig,
    says,
    serves,
    serves_after,
    silent,
)

SLOW_DIAL: dict[str, Any] = {"limits--connect_timeout_ns": 5_000 * MS}
# A request may wait for room for a quarter of its aim.
PATIENT = [
    {
        "name": "search",
        "effect": "pure",
        "aim-ns": 4_000 * MS,
        "deadline-ns": 4_000 * MS,
        "worth": 1,
    }
]


def leaves_unread(r: Rig, client: socket.socket, end: Callable[[socket.socket], None]) -> None:
    """The client ends, and nobody reads it."""
    for connection in connections(r):
        if connection.transport is not None:
            connection.transport.pause_reading()
    end(client)


async def unread(r: Rig) -> None:
    """What came of the ends is with the kernel by now."""
    await r.until(lambda: all(has_peer_hung_up(c.transport) for c in connections(r)))


async def seen_late(r: Rig) -> None:
    """Longer than an end may be there unread without being asked for."""
    await asyncio.sleep(2 * CHECK_CLIENT_AFTER_NS / 1e9)


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("cancelling", [True, False])
def test_connection_established_after_its_client_left_unread_is_not_written_to(
    monkeypatch: pytest.MonkeyPatch, cancelling: bool, end: Callable[[socket.socket], None]
) -> None:
    async def run() -> None:
        async with rig(serves, limits__cancelling=cancelling, **SLOW_DIAL) as r:
            gate = Gate(r.proxy.loop, monkeypatch)
            gate.hold(r.backends[0])
            client = raw_client(r.proxy.port)
            client.send(request_bytes(remaining=LONG))
            await r.until(lambda: gate.waiting == 1)
            leaves_unread(r, client, end)
            await unread(r)
            await seen_late(r)
            gate.open.set()
            await r.until(lambda: nothing_owed(r))
            assert given_back(r) and not r.backends[0].seen
            assert r.proxy._pool.open_count == 1  # up, and good for the next request

    asyncio.run(run())


@pytest.mark.parametrize("end", ENDS)
def test_retry_for_a_client_that_left_unread_is_not_sent(
    end: Callable[[socket.socket], None],
) -> None:
    async def run() -> None:
        async with rig(silent, silent) as r:
            for backend in r.backends:
                backend.behave = says(b"")
            client = raw_client(r.proxy.port)
            client.send(request_bytes(remaining=LONG))
            await r.until(lambda: any(b.seen for b in r.backends))
            first = next(b for b in r.backends if b.seen)
            leaves_unread(r, client, end)
            await unread(r)
            await seen_late(r)
            (writer,) = first.writers
            writer.write(answer(b"", 503, X_Turned_Away="1"))
            await r.until(lambda: nothing_owed(r))
            assert given_back(r) and sum(len(b.seen) for b in r.backends) == 1

    asyncio.run(run())


@pytest.mark.parametrize("end", ENDS)
def test_queued_request_whose_client_left_unread_is_not_sent(
    end: Callable[[socket.socket], None],
) -> None:
    async def run() -> None:
        go = asyncio.Event()
        async with rig(serves_after(go), classes=PATIENT) as r:
            module = r.proxy._decider._balancer
            clients = []
            while not module.queue.count:
                clients.append(raw_client(r.proxy.port))
                clients[-1].send(request_bytes(remaining=LONG))
                known = len(clients)
                await r.until(lambda known=known: len(module.requests.open) == known)  # type: ignore[misc]
            served = len(clients) - 1
            await r.until(lambda: len(r.backends[0].seen) == served)
            leaves_unread(r, clients[-1], end)
            await r.until(lambda: any(has_peer_hung_up(c.transport) for c in connections(r)))
            await seen_late(r)
            assert module.queue.count
            go.set()
            await r.until(lambda: r.count("answers_ok") >= served)
            await r.until(lambda: given_back(r))
            assert len(r.backends[0].seen) == served
            for client in clients[:-1]:
                client.close()

    asyncio.run(run())


class Left:
    """In place of a client's connection: it has gone."""

    def __init__(self) -> None:
        self.looks: list[bool] = []

    def is_waiting(self, request: Any, check_socket: bool) -> bool:
        self.looks.append(check_socket)
        return False


@pytest.mark.parametrize("known", [True, False], ids=["on a known connection", "on a new one"])
def test_no_kind_of_attempt_begins_for_a_client_that_left(
    monkeypatch: pytest.MonkeyPatch, known: bool
) -> None:
    """First ones, repeats, second copies and those from a queue: all come by the backend's actor."""

    async def run() -> None:
        stand_in, single = await alone(serves)
        if known:
            single.send()
            await single.ended()
        before = len(stand_in.seen)
        left = Left()
        tell = single.actor.tell

        def marked(order: Any) -> None:
            order.client_request.client = left
            tell(order)

        monkeypatch.setattr(single.actor, "tell", marked)
        single.send()
        assert (await single.ended(before + 1))[-1] == AttemptResult.NOT_SENT
        assert len(stand_in.seen) == before and left.looks == [True]  # it came long ago
        assert single.pool.open_count == int(known)
        single.pool.close()
        await stand_in.stop()

    asyncio.run(run())


@pytest.mark.parametrize("cancelling", [True, False])
def test_attempt_queued_for_an_actor_when_the_clients_end_is_read_does_not_begin(
    monkeypatch: pytest.MonkeyPatch, cancelling: bool
) -> None:
    """The order is in the backend's mailbox in the very turn in which the end is read."""

    async def run() -> None:
        async with rig(serves, limits__cancelling=cancelling) as r:
            assert (
                await r.ask()
            ).status == 200  # a connection to the backend waits for the next request
            await r.until(lambda: r.proxy._frontend.count == 0)
            tell = Backend.tell

            def told(self: Backend, order: Any) -> None:
                tell(self, order)
                if isinstance(order, backend_messages.SendAttempt):
                    (connection,) = connections(r)
                    connection.eof_received()

            monkeypatch.setattr(Backend, "tell", told)
            client = raw_client(r.proxy.port)
            client.send(request_bytes(remaining=LONG))
            await r.until(lambda: r.count("attempts") == 2 and given_back(r))
            assert len(r.backends[0].seen) == 1
            client.close()

    asyncio.run(run())


def test_partly_written_attempt_is_never_completed_after_its_client_left_without_cancelling() -> (
    None
):
    """Its first bytes are out, the rest waits for a backend that does not read."""

    async def run() -> None:
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            single = Single(config.Address("127.0.0.1", listener.getsockname()[1]))
            number = single.send("POST", within_ms=3_000, body=b"x" * 8_000_000)
            taken, _ = await asyncio.get_running_loop().run_in_executor(None, listener.accept)
            async with asyncio.timeout(3):
                while not (links := list(single.pool.connections)) or links[0].attempt is None:
                    await asyncio.sleep(0.005)
            assert not links[0].is_flushed
            single.actor.tell(backend_messages.WithholdAttempt(number, 0))
            assert await single.ended() == [AttemptResult.NOT_SENT]
            single.pool.close()
            taken.close()

    asyncio.run(run())


@pytest.mark.parametrize("much", [3_000_000, 12_000_000])
@pytest.mark.parametrize("end", ENDS)
def test_input_beyond_the_kernels_buffers_is_read_up_to_the_clients_end(
    monkeypatch: pytest.MonkeyPatch, much: int, end: Callable[[socket.socket], None]
) -> None:
    """Sent ahead of an answer: what cannot be held is read and dropped with no pause, as far as its end."""
    monkeypatch.setattr(
        frontend, "SWEEP_S", 1_000.0
    )  # nothing that looks at connections by the clock

    async def run() -> None:
        async with rig(silent) as r:
            client = raw_client(r.proxy.port)
            client.send(request_bytes(remaining=LONG))
            await r.until(lambda: len(r.backends[0].seen) == 1)
            raw = request_bytes("order", body=b"x" * 200, remaining=LONG) + b"x" * much
            await asyncio.wait_for(r.proxy.loop.sock_sendall(client, raw), 3)
            end(client)
            await r.until(lambda: nothing_owed(r))
            assert given_back(r) and len(r.backends[0].seen) == 1

    asyncio.run(run())


def test_endless_input_behind_an_open_request_is_rejected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """His leaving could not be told, so that nothing more is sent on for him."""
    monkeypatch.setattr(lingering_close, "MAX_DISCARDED_BYTES", 2_000_000)

    async def run() -> None:
        async with rig(silent) as r:
            client = await r.client()
            client.writer.write(request_bytes(remaining=LONG))
            await r.until(lambda: len(r.backends[0].seen) == 1)
            sending = asyncio.create_task(_pours(client.writer))
            refused = await client.read()
            assert (refused.status, refused.headers["connection"]) == (400, "close")
            await r.until(lambda: given_back(r))
            assert len(r.backends[0].seen) == 1 and r.count("attempts_cancelled") == 1
            sending.cancel()
            client.writer.transport.abort()

    asyncio.run(run())


async def _pours(writer: asyncio.StreamWriter) -> None:
    for _ in range(200):
        writer.write(b"x" * 65536)
        await writer.drain()


@pytest.mark.parametrize(
    "hidden", [False, True], ids=["with the kernel", "more than the kernel holds"]
)
def test_blocked_body_whose_client_left_is_never_sent_completely(
    monkeypatch: pytest.MonkeyPatch, hidden: bool
) -> None:
    """All of it was sent, and then the client closed: the end comes with the last byte, if no sooner."""

    async def run() -> None:
        async with rig_with_upload_backend(**SLOW_DIAL) as (r, taker):
            gate = Gate(r.proxy.loop, monkeypatch)
            gate.hold(taker)
            if hidden:
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
                "order", drop=("Content-Length",), Content_length=str(size), remaining=LONG
            )
            await asyncio.wait_for(r.proxy.loop.sock_sendall(client, head + b"u" * size), 3)
            await r.until(lambda: gate.waiting == 1)
            await r.until(
                lambda: any(
                    c.body.stream is not None and c.body.stream.is_paused for c in connections(r)
                )
            )
            monkeypatch.setattr(frontend, "SWEEP_S", 1_000.0)
            await asyncio.sleep(0.2)  # the last sweep is over
            client.close()
            await asyncio.sleep(0.05)
            assert has_peer_hung_up(connections(r)[0].transport) is not hidden
            gate.open.set()
            await r.until(lambda: nothing_owed(r))
            assert given_back(r) and not taker.digests
            assert len(taker.framings) <= int(hidden)  # its head may go out; a part never runs

    asyncio.run(run())


def test_first_attempt_for_a_client_that_left_while_nothing_was_read_is_not_sent() -> None:
    """A process that stood still for less than a tenth of a second counts too: the rest is added to it."""

    async def run() -> None:
        async with rig(serves) as r:
            assert (await r.ask()).status == 200
            await r.until(lambda: r.proxy._frontend.count == 0)
            client = raw_client(r.proxy.port)
            await r.until(lambda: r.proxy._frontend.count == 1)
            client.send(request_bytes(remaining=LONG)[:-2])
            await r.until(lambda: connections(r)[0].state == ConnectionState.READING_HEAD)
            await seen_late(r)
            client.send(b"\r\n")
            client.close()
            await r.until(lambda: r.proxy._frontend.count == 0)
            assert len(r.backends[0].seen) == 1 and given_back(r)

    asyncio.run(run())


def told_ms(value: bytes | None) -> float:
    assert value is not None and value.endswith(b"u")
    return int(value[:-1]) / 1000


def test_attempt_announces_no_more_time_than_remains_once_it_is_connected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def run() -> None:
        async with rig(serves, **SLOW_DIAL) as r:
            gate = Gate(r.proxy.loop, monkeypatch)
            gate.hold(r.backends[0])
            asked = asyncio.create_task(r.ask(remaining="2900m"))
            await r.until(lambda: gate.waiting == 1)
            began = time.monotonic()
            await asyncio.sleep(0.3)
            held = 1000 * (time.monotonic() - began)
            gate.open.set()
            assert (await asked).status == 200
            (seen,) = r.backends[0].seen
            assert 0 < told_ms(seen.header(b"X-Remaining")) <= 2900 - held

    asyncio.run(run())


def test_deadline_of_a_pipelined_request_counts_from_its_arrival() -> None:
    async def run() -> None:
        go = asyncio.Event()
        async with rig(serves_after(go)) as r:
            client = await r.client()
            client.writer.write(request_bytes(remaining="2900m"))
            await r.until(lambda: len(r.backends[0].seen) == 1)
            client.writer.write(request_bytes(remaining="2900m") + request_bytes(remaining="2900m"))
            await r.until(lambda: connections(r)[0].has_more())
            sent = time.monotonic()
            await asyncio.sleep(0.3)
            held = 1000 * (time.monotonic() - sent)
            go.set()
            for _ in range(3):
                assert (await client.read()).status == 200
            for seen in r.backends[0].seen[1:]:
                assert told_ms(seen.header(b"X-Remaining")) <= 2900 - held
            client.close()

    asyncio.run(run())
