"""What backends end while something is owed: resets, ends and noise at every point of an answer."""

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
    Behaviour,
    Seen,
    Single,
    StandIn,
    alone,
    answer,
    request_bytes,
    rig,
    says,
    serves,
    serves_after,
    silent,
)


def resets(writer: asyncio.StreamWriter) -> None:
    """Closes with a reset, behind what was written."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def then_resets(raw: bytes, taken: Callable[[], Awaitable[Any]] | None = None) -> Behaviour:
    """Says something and, once that was taken, resets: a reset at once would take it along."""

    async def behave(seen: Seen, writer: asyncio.StreamWriter) -> None:
        writer.write(raw)
        await (taken() if taken else asyncio.sleep(0.05))
        resets(writer)

    return behave


HEAD = b"HTTP/1.1 200 OK\r\n"
CUTS: dict[str, tuple[bytes, AttemptResult]] = {
    "before the first byte": (b"", AttemptResult.RESET),
    "in the status line": (b"HTTP/1.1 2", AttemptResult.RESET),
    "in the head": (HEAD + b"Content-Le", AttemptResult.RESET),
    "in a body with a length": (HEAD + b"Content-Length: 9\r\n\r\nabc", AttemptResult.RESET),
    "in a chunk": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nab", AttemptResult.RESET),
    "in a body with neither": (HEAD + b"\r\nabc", AttemptResult.RESET),
    "behind a whole answer": (answer(b"whole"), AttemptResult.OK),
    "behind an interim answer": (b"HTTP/1.1 102 Processing\r\n\r\n", AttemptResult.RESET),
}


@pytest.mark.parametrize("where", CUTS)
def test_reset_is_not_taken_for_the_end_of_a_response(where: str) -> None:
    raw, result = CUTS[where]

    async def run() -> None:
        stand_in, single = await alone(then_resets(raw), connect_ms=5000)
        single.send(within_ms=2000)
        assert await single.ended() == [result]
        async with asyncio.timeout(3):
            while single.pool.open_count:  # a connection that was reset is none any more
                await asyncio.sleep(0.002)
        await stand_in.stop()

    asyncio.run(run())


def test_close_ends_a_response_with_neither_length_nor_chunks() -> None:
    async def run() -> None:
        stand_in, single = await alone(says(HEAD + b"\r\nabc", then_close=True), connect_ms=5000)
        single.send(within_ms=2000)
        assert await single.ended() == [AttemptResult.OK]
        assert single.reports[0].answer.body == b"abc"
        await stand_in.stop()

    asyncio.run(run())


def test_response_until_close_is_incomplete_when_the_proxy_itself_ends() -> None:
    async def run() -> None:
        stand_in, single = await alone(says(HEAD + b"\r\nabc"), connect_ms=5000)
        single.send(within_ms=5000)
        while not any(link._reader.received_bytes == 3 for link in single.pool.connections):
            await asyncio.sleep(0.002)
        single.pool.close()
        assert await single.ended() == [AttemptResult.RESET]
        await stand_in.stop()

    asyncio.run(run())


@pytest.mark.parametrize("lane", ["search", "order"])
def test_idle_connection_reset_while_a_request_is_written(lane: str) -> None:
    """Nobody can tell whether it ran: what may not run twice has failed, the rest is sent again."""

    async def run() -> None:
        async with rig(serves, serves) as r:
            r.proxy._decider._balancer.retry_budget.tokens = 5.0
            for _ in range(6):
                assert (await r.ask()).status == 200
            before = [len(b.seen) for b in r.backends]

            async def gone(seen: Seen, writer: asyncio.StreamWriter) -> None:
                resets(writer)

            r.backends[0].behave = gone
            replies = [await r.ask(lane) for _ in range(4)]
            sent = [len(b.seen) - n for b, n in zip(r.backends, before, strict=True)]
            if lane == "search":
                assert all(reply.status == 200 for reply in replies)
            else:
                assert sum(sent) == 4  # each once
                assert {reply.status for reply in replies} <= {200, 502}

    asyncio.run(run())


ENDLESS: dict[str, bytes] = {
    "interim answers": b"HTTP/1.1 103 Early Hints\r\n\r\n",
    "head": b"X-More: " + b"y" * 1000 + b"\r\n",
    "chunks": b"400\r\n" + b"z" * 1024 + b"\r\n",
    "noise": b"\x00\xff" * 500,
}
BEGINS = {
    "head": HEAD,
    "chunks": b"HTTP/1.1 500 No\r\nTransfer-Encoding: chunked\r\n\r\n",
}


@pytest.mark.parametrize("what", ENDLESS)
def test_endless_responses_end_their_attempt_and_their_connection(what: str) -> None:
    async def run() -> None:
        async def pours(seen: Seen, writer: asyncio.StreamWriter) -> None:
            writer.write(BEGINS.get(what, b""))
            for _ in range(100_000):
                writer.write(ENDLESS[what])
                await writer.drain()

        stand_in, single = await alone(pours, connect_ms=5000)
        single.send(within_ms=5000)
        assert await single.ended() == [AttemptResult.ERROR]
        async with asyncio.timeout(3):
            while not stand_in.ended:
                await asyncio.sleep(0.002)
        assert not single.pool.open_count
        await stand_in.stop()

    asyncio.run(run())


def test_late_unsolicited_response_reaches_nobody_once_one_was_seen(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The next request must not go out on a connection on which a second answer is still on its way."""
    monkeypatch.setattr(pool, "REST_S", 30.0)  # none has rested, however slow the machine

    async def run() -> None:
        written: list[asyncio.StreamWriter] = []

        async def answers(seen: Seen, writer: asyncio.StreamWriter) -> None:
            written.append(writer)
            await serves(seen, writer)

        stand_in, single = await alone(answers, connect_ms=5000)
        single.send(within_ms=2000)
        assert await single.ended() == [AttemptResult.OK]
        written[0].write(answer(b"a second answer"))  # nothing waits: it shows that backends do so
        async with asyncio.timeout(3):
            while not stand_in.ended:
                await asyncio.sleep(0.002)
        for _ in range(3):
            count = len(single.reports)
            request = single.send(within_ms=2000)
            await single.ended(count + 1)
            # A second answer is on its way as the next request goes out.
            written[-1].write(answer(b"a second answer"))
            following = single.send(within_ms=2000)
            await single.ended(count + 2)
            bodies = [r.answer.body for r in single.reports[count:]]
            assert bodies == [b"served %d" % request, b"served %d" % following]
        single.pool.close()
        await stand_in.stop()

    asyncio.run(run())


def test_connections_are_reused_at_once_without_unsolicited_bytes() -> None:
    async def run() -> None:
        stand_in, single = await alone(serves, connect_ms=5000)
        for count in range(1, 30):
            single.send(within_ms=2000)
            await single.ended(count)
        assert stand_in.opened == 1
        single.pool.close()
        await stand_in.stop()

    asyncio.run(run())


def small_buffers() -> socket.socket:
    """A listener that takes nothing: what is sent stays in the kernel, as much as goes in there."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    return listener


@pytest.mark.parametrize("size", [10, 60_000])
def test_attempt_in_the_socket_buffer_may_have_run(size: int) -> None:
    """Handed to the kernel whole it can still run when it is given up: what may not run twice has failed."""

    async def run() -> None:
        async with rig(silent) as r:
            with small_buffers() as listener:
                row = {**r.backends[0].row(), "id": "s-9"}
                row["host_port"] = f"127.0.0.1:{listener.getsockname()[1]}"
                r.directory.tell({**r.backends[0].row(), "phase": "DELETED"}, row)
                told = r.proxy._decider._backends
                await r.until(lambda: [b.ident for b in told.values()] == ["s-9"])
                reply = await r.ask("order", remaining="300m", body=b"x" * size)
                handed = r.proxy.metrics.relayed
                assert (reply.status in (502, 504)) == bool(handed)
                assert reply.status in (502, 503, 504) and r.count("attempts") == 1

    asyncio.run(run())


def test_attempt_that_was_not_completely_written_never_ran() -> None:
    async def run() -> None:
        with small_buffers() as listener:
            stand_in, single = await alone(silent, connect_ms=5000)
            single.actor.tell(backend_messages.AddressChanged(Address(*listener.getsockname()), 1))
            single.send("POST", within_ms=300, body=b"x" * 30_000_000)
            assert await single.ended() == [AttemptResult.CONNECT_FAILED]
            await stand_in.stop()

    asyncio.run(run())


def test_response_before_its_request_is_complete_closes_the_connection() -> None:
    async def run() -> None:
        async with rig(serves) as r:

            async def early(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(answer(b"too early"))
                await writer.drain()

            server = await asyncio.start_server(early, "127.0.0.1", 0)
            row = {**r.backends[0].row(), "id": "s-9"}
            row["host_port"] = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
            r.directory.tell({**r.backends[0].row(), "phase": "DELETED"}, row)
            told = r.proxy._decider._backends
            await r.until(lambda: [b.ident for b in told.values()] == ["s-9"])
            client = await r.client()
            size = 500_000
            client.writer.write(
                request_bytes("order", drop=("Content-Length",), Content_length=str(size))
            )
            client.writer.write(b"u" * 200_000)
            reply = await client.read()
            assert reply.status in (200, 503)
            await r.until(lambda: r.proxy._pool.open_count == 0)  # it is not used again
            client.close()
            server.close()

    asyncio.run(run())


def test_hedged_request_that_still_connects_is_not_sent_once_the_first_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The answer ends the request; where cancelling is barred too nothing more goes out for it."""

    async def run() -> None:
        from tests.peers import Gate

        go = asyncio.Event()
        waits = serves_after(go)

        changes: dict[str, Any] = {
            "limits--connect_timeout_ns": 5_000 * MS,
            "limits--cancelling": False,
        }
        async with rig(serves, serves, **changes) as r:
            for _ in range(4):
                assert (await r.ask()).status == 200
            for backend in r.backends:
                backend.behave = waits
            for actor in r.proxy._decider._backends.values():
                actor.tell(backend_messages.CloseIdleConnections())
            balancer = r.proxy._decider._balancer
            balancer.retry_budget.tokens = 5.0
            for known in balancer.endpoints.by_id.values():
                known.outlier.failure_score = 1.0
            asked = asyncio.create_task(r.ask(remaining="3900m"))
            await r.until(lambda: sum(len(b.seen) for b in r.backends) == 5)
            gate = Gate(r.proxy.loop, monkeypatch)
            before = [len(b.seen) for b in r.backends]
            gate.hold(*r.backends)
            await r.until(lambda: gate.waiting == 1)  # the second copy
            go.set()
            assert (await asked).status == 200
            await r.until(lambda: gate.waiting == 0)
            gate.open.set()
            await asyncio.sleep(0.02)
            assert [len(b.seen) for b in r.backends] == before

    asyncio.run(run())


def test_replaced_backend_gets_no_connection_of_an_earlier_incarnation() -> None:
    async def run() -> None:
        stand_in, single = await alone(serves, connect_ms=5000)
        single.send(within_ms=2000)
        assert await single.ended() == [AttemptResult.OK]
        single.actor.tell(backend_messages.AddressChanged(single.actor.address, 5))
        single.send(within_ms=2000)
        await single.ended(2)
        assert [seen.connection for seen in stand_in.seen] == [1, 2]
        single.pool.close()
        await stand_in.stop()

    asyncio.run(run())


def test_restarted_backend_is_reached_on_new_connections() -> None:
    async def run() -> None:
        stand_in, single = await alone(serves, connect_ms=5000)
        single.send(within_ms=2000)
        await single.ended()
        await stand_in.stop()
        again = StandIn(serves)
        again.port = stand_in.port
        async with asyncio.timeout(3):
            while single.pool.open_count:
                await asyncio.sleep(0.002)
        again.server = await asyncio.start_server(again._serve, "127.0.0.1", stand_in.port)
        single.send(within_ms=2000)
        assert await single.ended(2) == [AttemptResult.OK] * 2
        single.pool.close()
        await again.stop()

    asyncio.run(run())


def test_descriptor_of_a_dropped_connection_is_back_before_its_place_is_used(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A connection gives its place in the pool back at once, its descriptor in the next iteration.

    asyncio closes an aborted transport's socket by a callback that is scheduled with the abort. The
    task that opens the successor is scheduled behind it, so that it never adds a descriptor: at each
    dial there are at most as many sockets to backends as the pool allows.
    """

    async def run() -> None:
        stand_in, first = await alone(serves, most=1)
        second = Single(Address("127.0.0.1", stand_in.port), pool=first.pool)
        dialled: list[socket.socket] = []
        open_at_dial: list[int] = []
        dial = first.loop.sock_connect

        async def counted(sock: socket.socket, address: tuple[str, int]) -> None:
            dialled.append(sock)
            open_at_dial.append(sum(other.fileno() >= 0 for other in dialled))
            await dial(sock, address)

        monkeypatch.setattr(first.loop, "sock_connect", counted)
        for count in range(1, 21):
            for single in (first, second):
                single.send()
                assert await single.ended(count) == [AttemptResult.OK] * count
        assert open_at_dial == [1] * 40
        first.pool.close()
        await stand_in.stop()

    asyncio.run(run())
