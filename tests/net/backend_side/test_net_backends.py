"""Backends that reset, close or send noise at every point of a response."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from mothstall.config import Address
from mothstall.interface import AttemptResult
from mothstall.net.backend_side import messages as backend_messages
from mothstall.net.backend_side import pool
from tests.peers import (
    MS,
    BackendRig,
    Behaviour,
    ReceivedRequest,
    StandInBackend,
    never_respond,
    request_bytes,
    respond_ok,
    respond_ok_after,
    respond_with,
    response_bytes,
    rig,
    start_backend_rig,
)


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close with a reset after the data written so far."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def writes_then_resets(
    raw: bytes, condition: Callable[[], Awaitable[Any]] | None = None
) -> Behaviour:
    """Write, then reset once the data was read: an immediate reset would discard it."""

    async def behave(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(raw)
        await (condition() if condition else asyncio.sleep(0.05))
        reset_connection(writer)

    return behave


HEAD = b"HTTP/1.1 200 OK\r\n"
CUTS: dict[str, tuple[bytes, AttemptResult]] = {
    "before the first byte": (b"", AttemptResult.RESET),
    "in the status line": (b"HTTP/1.1 2", AttemptResult.RESET),
    "in the head": (HEAD + b"Content-Le", AttemptResult.RESET),
    "in a body with a length": (HEAD + b"Content-Length: 9\r\n\r\nabc", AttemptResult.RESET),
    "in a chunk": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nab", AttemptResult.RESET),
    "in a body with neither": (HEAD + b"\r\nabc", AttemptResult.RESET),
    "behind a whole answer": (response_bytes(b"whole"), AttemptResult.OK),
    "behind an interim answer": (b"HTTP/1.1 102 Processing\r\n\r\n", AttemptResult.RESET),
}


@pytest.mark.parametrize("where", CUTS)
def test_reset_is_not_taken_for_the_end_of_a_response(where: str) -> None:
    raw, result = CUTS[where]

    async def run() -> None:
        stand_in, backend_rig = await start_backend_rig(writes_then_resets(raw), connect_ms=5000)
        backend_rig.send(within_ms=2000)
        assert await backend_rig.wait_for_results() == [result]
        async with asyncio.timeout(3):
            while backend_rig.pool.open_count:  # a reset connection leaves the pool
                await asyncio.sleep(0.002)
        await stand_in.stop()

    asyncio.run(run())


def test_close_ends_a_response_with_neither_length_nor_chunks() -> None:
    async def run() -> None:
        stand_in, backend_rig = await start_backend_rig(
            respond_with(HEAD + b"\r\nabc", then_close=True), connect_ms=5000
        )
        backend_rig.send(within_ms=2000)
        assert await backend_rig.wait_for_results() == [AttemptResult.OK]
        assert backend_rig.reports[0].response.body == b"abc"
        await stand_in.stop()

    asyncio.run(run())


def test_response_until_close_is_incomplete_when_the_proxy_itself_ends() -> None:
    async def run() -> None:
        stand_in, backend_rig = await start_backend_rig(
            respond_with(HEAD + b"\r\nabc"), connect_ms=5000
        )
        backend_rig.send(within_ms=5000)
        while not any(link._reader.received_bytes == 3 for link in backend_rig.pool.connections):
            await asyncio.sleep(0.002)
        backend_rig.pool.close()
        assert await backend_rig.wait_for_results() == [AttemptResult.RESET]
        await stand_in.stop()

    asyncio.run(run())


@pytest.mark.parametrize("lane", ["search", "order"])
def test_idle_connection_reset_while_a_request_is_written(lane: str) -> None:
    """Whether it ran is unknown: it fails if it may not run twice, else it is retried."""

    async def run() -> None:
        async with rig(respond_ok, respond_ok) as r:
            r.proxy._decider._balancer.retry_budget.tokens = 5.0
            for _ in range(6):
                assert (await r.request()).status == 200
            before = [len(b.requests) for b in r.backends]

            async def resets_at_once(
                request: ReceivedRequest, writer: asyncio.StreamWriter
            ) -> None:
                reset_connection(writer)

            r.backends[0].behave = resets_at_once
            replies = [await r.request(lane) for _ in range(4)]
            sent = [len(b.requests) - n for b, n in zip(r.backends, before, strict=True)]
            if lane == "search":
                assert all(reply.status == 200 for reply in replies)
            else:
                assert sum(sent) == 4  # each was sent once
                assert {reply.status for reply in replies} <= {200, 502}

    asyncio.run(run())


ENDLESS: dict[str, bytes] = {
    "interim answers": b"HTTP/1.1 103 Early Hints\r\n\r\n",
    "head": b"X-More: " + b"y" * 1000 + b"\r\n",
    "chunks": b"400\r\n" + b"z" * 1024 + b"\r\n",
    "noise": b"\x00\xff" * 500,
}
RESPONSE_STARTS = {
    "head": HEAD,
    "chunks": b"HTTP/1.1 500 No\r\nTransfer-Encoding: chunked\r\n\r\n",
}


@pytest.mark.parametrize("part", ENDLESS)
def test_endless_responses_end_their_attempt_and_their_connection(part: str) -> None:
    async def run() -> None:
        async def sends_endlessly(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(RESPONSE_STARTS.get(part, b""))
            for _ in range(100_000):
                writer.write(ENDLESS[part])
                await writer.drain()

        stand_in, backend_rig = await start_backend_rig(sends_endlessly, connect_ms=5000)
        backend_rig.send(within_ms=5000)
        assert await backend_rig.wait_for_results() == [AttemptResult.ERROR]
        async with asyncio.timeout(3):
            while not stand_in.closed_count:
                await asyncio.sleep(0.002)
        assert not backend_rig.pool.open_count
        await stand_in.stop()

    asyncio.run(run())


def test_trailers_that_do_not_end_end_their_attempt_at_the_limit_of_a_head() -> None:
    """Guards against half a megabyte of trailers kept for each connection to a faulty backend."""

    async def run() -> None:
        start = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"
        trailers = (b"X-More: " + b"y" * 8000 + b"\r\n") * 60
        stand_in, backend_rig = await start_backend_rig(respond_with(start + trailers))
        backend_rig.send(within_ms=1000)
        assert await backend_rig.wait_for_results() == [AttemptResult.ERROR]
        assert not backend_rig.pool.open_count
        await stand_in.stop()

    asyncio.run(run())


def test_late_second_response_reaches_no_request_once_one_was_seen(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The next request must not use a connection on which a second response may still arrive."""
    # Longer than the test, however slow the machine.
    monkeypatch.setattr(pool, "REUSE_DELAY_S", 30.0)

    async def run() -> None:
        written: list[asyncio.StreamWriter] = []

        async def answers(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            written.append(writer)
            await respond_ok(request, writer)

        stand_in, backend_rig = await start_backend_rig(answers, connect_ms=5000)
        backend_rig.send(within_ms=2000)
        assert await backend_rig.wait_for_results() == [AttemptResult.OK]
        # No request is open, so that this shows that backends send second responses.
        written[0].write(response_bytes(b"a second answer"))
        async with asyncio.timeout(3):
            while not stand_in.closed_count:
                await asyncio.sleep(0.002)
        for _ in range(3):
            count = len(backend_rig.reports)
            request = backend_rig.send(within_ms=2000)
            await backend_rig.wait_for_results(count + 1)
            # A second response is on its way when the next request is sent.
            written[-1].write(response_bytes(b"a second answer"))
            following = backend_rig.send(within_ms=2000)
            await backend_rig.wait_for_results(count + 2)
            bodies = [r.response.body for r in backend_rig.reports[count:]]
            assert bodies == [b"served %d" % request, b"served %d" % following]
        backend_rig.pool.close()
        await stand_in.stop()

    asyncio.run(run())


def test_connections_are_reused_as_soon_as_a_duplicate_would_have_been_noticed() -> None:
    """A rested connection serves every request; requests in quick succession open no more
    connections than are resting."""

    async def run() -> None:
        stand_in, backend_rig = await start_backend_rig(respond_ok, connect_ms=5000)
        loop = asyncio.get_running_loop()
        for count in range(1, 15):
            backend_rig.send(within_ms=2000)
            await backend_rig.wait_for_results(count)
            await asyncio.sleep(1.5 * pool.REUSE_DELAY_S)
        assert stand_in.opened_count == 1
        ends = []
        for count in range(15, 115):
            backend_rig.send(within_ms=2000)
            await backend_rig.wait_for_results(count)
            ends.append(loop.time())
        resting = [sum(0 <= end - e <= pool.REUSE_DELAY_S for e in ends) for end in ends]
        assert stand_in.opened_count <= 1 + max(resting)
        backend_rig.pool.close()
        await stand_in.stop()

    asyncio.run(run())


def unread_listener() -> socket.socket:
    """A listener that never reads: sent data stays in the kernel as far as its buffers allow."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    return listener


@pytest.mark.parametrize("size", [10, 60_000])
def test_attempt_in_the_socket_buffer_may_have_run(size: int) -> None:
    """Once the kernel has all of it, it may still run: it fails if it may not run twice."""

    async def run() -> None:
        async with rig(never_respond) as r:
            with unread_listener() as listener:
                row = {**r.backends[0].row(), "id": "s-9"}
                row["host_port"] = f"127.0.0.1:{listener.getsockname()[1]}"
                r.discovery.publish({**r.backends[0].row(), "phase": "DELETED"}, row)
                listed_backends = r.proxy._decider._backends
                await r.until(lambda: [b.ident for b in listed_backends.values()] == ["s-9"])
                reply = await r.request("order", remaining="300m", body=b"x" * size)
                written_count = r.proxy.metrics.relayed
                assert (reply.status in (502, 504)) == bool(written_count)
                assert reply.status in (502, 503, 504) and r.count("attempts") == 1

    asyncio.run(run())


def test_attempt_that_was_not_completely_written_never_ran() -> None:
    async def run() -> None:
        with unread_listener() as listener:
            stand_in, backend_rig = await start_backend_rig(never_respond, connect_ms=5000)
            backend_rig.actor.tell(
                backend_messages.AddressChanged(Address(*listener.getsockname()), 1)
            )
            backend_rig.send("POST", within_ms=300, body=b"x" * 30_000_000)
            assert await backend_rig.wait_for_results() == [AttemptResult.CONNECT_FAILED]
            await stand_in.stop()

    asyncio.run(run())


def test_response_before_its_request_is_complete_closes_the_connection() -> None:
    async def run() -> None:
        async with rig(respond_ok) as r:

            async def answer_early(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> None:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(response_bytes(b"too early"))
                await writer.drain()

            server = await asyncio.start_server(answer_early, "127.0.0.1", 0)
            row = {**r.backends[0].row(), "id": "s-9"}
            row["host_port"] = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
            r.discovery.publish({**r.backends[0].row(), "phase": "DELETED"}, row)
            listed_backends = r.proxy._decider._backends
            await r.until(lambda: [b.ident for b in listed_backends.values()] == ["s-9"])
            client = await r.client()
            size = 500_000
            client.writer.write(
                request_bytes("order", omit=("Content-Length",), Content_length=str(size))
            )
            client.writer.write(b"u" * 200_000)
            reply = await client.read()
            assert reply.status in (200, 503)
            await r.until(lambda: r.proxy._pool.open_count == 0)  # it is not reused
            client.close()
            server.close()

    asyncio.run(run())


def test_hedged_request_that_still_connects_is_not_sent_once_the_first_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The response ends the request: no further attempt is sent, even if cancelling is disabled."""

    async def run() -> None:
        from tests.peers import ConnectGate

        go = asyncio.Event()
        respond_ok_after_go = respond_ok_after(go)

        changes: dict[str, Any] = {
            "limits--connect_timeout_ns": 5_000 * MS,
            "limits--cancelling": False,
        }
        async with rig(respond_ok, respond_ok, **changes) as r:
            for _ in range(4):
                assert (await r.request()).status == 200
            for backend in r.backends:
                backend.behave = respond_ok_after_go
            for actor in r.proxy._decider._backends.values():
                actor.tell(backend_messages.CloseIdleConnections())
            balancer = r.proxy._decider._balancer
            balancer.retry_budget.tokens = 5.0
            for known in balancer.endpoints.by_id.values():
                known.outlier.failure_score = 1.0
            reply_task = asyncio.create_task(r.request(remaining="3900m"))
            await r.until(lambda: sum(len(b.requests) for b in r.backends) == 5)
            gate = ConnectGate(r.proxy.loop, monkeypatch)
            before = [len(b.requests) for b in r.backends]
            gate.hold(*r.backends)
            await r.until(lambda: gate.waiting == 1)  # the hedge
            go.set()
            assert (await reply_task).status == 200
            await r.until(lambda: gate.waiting == 0)
            gate.open.set()
            await asyncio.sleep(0.02)
            assert [len(b.requests) for b in r.backends] == before

    asyncio.run(run())


def test_replaced_backend_gets_no_connection_of_an_earlier_incarnation() -> None:
    async def run() -> None:
        stand_in, backend_rig = await start_backend_rig(respond_ok, connect_ms=5000)
        backend_rig.send(within_ms=2000)
        assert await backend_rig.wait_for_results() == [AttemptResult.OK]
        backend_rig.actor.tell(backend_messages.AddressChanged(backend_rig.actor.address, 5))
        backend_rig.send(within_ms=2000)
        await backend_rig.wait_for_results(2)
        assert [request.connection for request in stand_in.requests] == [1, 2]
        backend_rig.pool.close()
        await stand_in.stop()

    asyncio.run(run())


def test_restarted_backend_is_reached_on_new_connections() -> None:
    async def run() -> None:
        stand_in, backend_rig = await start_backend_rig(respond_ok, connect_ms=5000)
        backend_rig.send(within_ms=2000)
        await backend_rig.wait_for_results()
        await stand_in.stop()
        restarted = StandInBackend(respond_ok)
        restarted.port = stand_in.port
        async with asyncio.timeout(3):
            while backend_rig.pool.open_count:
                await asyncio.sleep(0.002)
        restarted.server = await asyncio.start_server(restarted._serve, "127.0.0.1", stand_in.port)
        backend_rig.send(within_ms=2000)
        assert await backend_rig.wait_for_results(2) == [AttemptResult.OK] * 2
        backend_rig.pool.close()
        await restarted.stop()

    asyncio.run(run())


def test_descriptor_of_a_dropped_connection_is_free_before_its_pool_slot_is_reused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A dropped connection frees its pool slot at once, its descriptor in the next loop iteration.

    asyncio closes an aborted transport's socket in a callback that is scheduled by the abort. The
    task that opens the next connection is scheduled after it, so that at each connect there are at
    most as many sockets to backends as the pool allows.
    """

    async def run() -> None:
        stand_in, first = await start_backend_rig(respond_ok, max_connections=1)
        second = BackendRig(Address("127.0.0.1", stand_in.port), pool=first.pool)
        sockets: list[socket.socket] = []
        open_counts: list[int] = []
        unpatched_connect = first.loop.sock_connect

        async def count_open_sockets(sock: socket.socket, address: tuple[str, int]) -> None:
            sockets.append(sock)
            open_counts.append(sum(other.fileno() >= 0 for other in sockets))
            await unpatched_connect(sock, address)

        monkeypatch.setattr(first.loop, "sock_connect", count_open_sockets)
        for count in range(1, 21):
            for backend_rig in (first, second):
                backend_rig.send()
                assert await backend_rig.wait_for_results(count) == [AttemptResult.OK] * count
        assert open_counts == [1] * 40
        first.pool.close()
        await stand_in.stop()

    asyncio.run(run())
