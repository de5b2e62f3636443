"""Responses with neither a length nor an end in time: their first bytes are due, not their end."""

from __future__ import annotations

import asyncio

import pytest

from mothstall.interface import AttemptResult
from mothstall.net.backend_side import connection
from mothstall.net.backend_side.messages import ResponseCut
from tests.net.backend_side.test_net_backends import reset_connection
from tests.peers import (
    Behaviour,
    Client,
    ReceivedRequest,
    never_respond,
    request_bytes,
    respond_ok,
    respond_with,
    rig,
    start_backend_rig,
)

REMAINING_S = 0.5
LATE_S = 0.05  # limits are 50 ms longer on sockets
HEADS = {
    "chunked": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "until close": b"HTTP/1.1 200 OK\r\n\r\n",
}


def respond_in_pieces(framing: str, count: int, piece_bytes: int, pause_s: float) -> Behaviour:
    """Respond with `count` pieces, each after a pause."""

    async def behave(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(HEADS[framing])
        for number in range(count):
            await asyncio.sleep(pause_s)
            piece = bytes([number % 251]) * piece_bytes
            is_chunked = framing == "chunked"
            writer.write(b"%x\r\n%b\r\n" % (piece_bytes, piece) if is_chunked else piece)
        if framing == "chunked":
            writer.write(b"0\r\n\r\n")
        else:
            writer.close()

    return behave


async def read_response(client: Client) -> tuple[bytes, bytes, float]:
    """Return head, body and the loop time of the first byte; the connection ends with it."""
    first = await client.reader.read(1)
    first_s = asyncio.get_running_loop().time()
    raw = first + await asyncio.wait_for(client.reader.read(), 10)
    head, _, rest = raw.partition(b"\r\n\r\n")
    if b"chunked" not in head:
        return head, rest, first_s
    body = b""
    while rest:
        size, _, rest = rest.partition(b"\r\n")
        body += rest[: int(size, 16)]
        rest = rest[int(size, 16) + 2 :]
    return head, body, first_s


@pytest.mark.parametrize("lane", ["search", "order"])
@pytest.mark.parametrize("version", [b"HTTP/1.1", b"HTTP/1.0"])
@pytest.mark.parametrize("framing", HEADS)
@pytest.mark.parametrize(
    ("count", "piece_bytes", "pause_s"), [(30, 6_400, 0.04), (4, 50_000, 0.3), (3, 60_000, 0.45)]
)
def test_a_long_response_that_its_backend_writes_slowly_is_served(
    count: int, piece_bytes: int, pause_s: float, framing: str, version: bytes, lane: str
) -> None:
    """Guards against 504 for a sound response of which 64 KiB take longer than its client waits."""

    async def run() -> None:
        async with rig(respond_in_pieces(framing, count, piece_bytes, pause_s)) as r:
            client = await r.client()
            raw = request_bytes(lane, remaining=f"{REMAINING_S * 1000:.0f}m", Connection="close")
            client.writer.write(raw.replace(b"HTTP/1.1", version))
            sent_s = asyncio.get_running_loop().time()
            head, body, first_s = await read_response(client)
            assert head.split()[1] == b"200"
            expected = b"".join(bytes([n % 251]) * piece_bytes for n in range(count))
            assert body == expected
            assert first_s - sent_s < REMAINING_S + LATE_S
            assert len(r.backends[0].requests) == 1

    asyncio.run(run())


@pytest.mark.parametrize("framing", HEADS)
def test_a_response_that_is_complete_soon_is_buffered(framing: str) -> None:
    """A short response keeps its length, and a spoilt one can still be retried."""

    async def run() -> None:
        async with rig(respond_in_pieces(framing, 3, 100, 0.01)) as r:
            reply = await r.request()
            assert reply.headers["content-length"] == "300"

    asyncio.run(run())


@pytest.mark.parametrize("body", [b"", b"3\r\nabc\r\n"])
@pytest.mark.parametrize("framing", HEADS)
def test_a_response_without_an_end_is_relayed_when_due_and_cut_once_it_stalls(
    framing: str, body: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Until it is due its attempt may still fail and be retried; then the next part may be late."""
    monkeypatch.setattr(connection, "STALL_S", 0.4)

    async def run() -> None:
        stand_in, backend_rig = await start_backend_rig(
            respond_with(HEADS[framing] + body), connect_ms=5000
        )
        backend_rig.send(within_ms=400)
        await asyncio.sleep(0.3)
        assert not backend_rig.reports
        assert await backend_rig.wait_for_results() == [AttemptResult.OK]
        stream = backend_rig.reports[0].response.stream
        assert stream is not None
        async with asyncio.timeout(3):
            while not stand_in.closed_count:
                await asyncio.sleep(0.002)
        assert stream.is_truncated
        assert isinstance(backend_rig.reports[1], ResponseCut)
        assert not backend_rig.pool.open_count
        await stand_in.stop()

    asyncio.run(run())


@pytest.mark.parametrize("framing", HEADS)
def test_a_spoilt_rest_of_a_relayed_response_shows_as_cut(framing: str) -> None:
    """Guards against a partial response that looks complete."""

    async def break_off(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(HEADS[framing])
        for _ in range(2):
            writer.write(b"2\r\nok\r\n" if framing == "chunked" else b"ok")
            await asyncio.sleep(0.1)
        await asyncio.sleep(0.3)
        if framing == "chunked":
            writer.write(b"5\r\nok\r\n0\r\n\r\n")
        else:
            reset_connection(writer)

    async def run() -> None:
        async with rig(break_off) as r:
            client = await r.client()
            client.writer.write(request_bytes("order"))
            head = await client.reader.readuntil(b"\r\n\r\n")
            assert head.split()[1] == b"200"
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await client.reader.readuntil(b"0\r\n\r\n")
            r.backends[0].behave = respond_ok
            assert (await r.request()).status == 200

    asyncio.run(run())


def test_no_timer_is_left_behind_a_client_that_leaves() -> None:
    async def run() -> None:
        async with rig(respond_in_pieces("chunked", 20, 100, 0.03), never_respond) as r:
            for _ in range(4):
                client = await r.client()
                client.writer.write(request_bytes("search"))
                await asyncio.sleep(0.04)
                client.close()
            await r.until(lambda: not r.proxy._decider._pending)
            assert not r.count("faults")

    asyncio.run(run())
