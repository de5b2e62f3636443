"""Long responses that have begun when the process is told to stop, or is killed."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
from pathlib import Path

import pytest

from mothstall.net import proxy as proxy_module
from mothstall.net.client_side import response_relay
from mothstall.net.handover.messages import StreamHandover
from tests.net.test_process import start_proxy
from tests.peers import (
    Behaviour,
    Client,
    ReceivedRequest,
    StandInBackend,
    request_bytes,
    respond_ok,
    rig,
)

DEADLINE_S = 0.2  # the longest deadline, as the shutdown sees it
PIECES = 20
PIECE = b"p" * 8_000
PIECE_S = 0.06  # the response goes on for more than a second after all deadlines
HEADS = {
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (PIECES * len(PIECE)),
    "chunked": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "until close": b"HTTP/1.1 200 OK\r\n\r\n",
}


def respond_slowly(framing: str) -> Behaviour:
    """Respond in pieces; the first ones at once, so that the response counts as long."""

    async def behave(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        is_chunked = framing == "chunked"
        writer.write(HEADS[framing])
        for number in range(PIECES):
            writer.write(b"%x\r\n%b\r\n" % (len(PIECE), PIECE) if is_chunked else PIECE)
            if number * len(PIECE) > 80_000:
                await asyncio.sleep(PIECE_S * 3)
        if is_chunked:
            writer.write(b"0\r\n\r\n")
        elif framing == "until close":
            writer.close()

    return behave


async def read_all(client: Client) -> bytes:
    """Read until the connection ends.

    Raises:
        ConnectionResetError: It was reset.
    """
    return await asyncio.wait_for(client.reader.read(), 20)


def connected_pair() -> tuple[socket.socket, socket.socket]:
    """Return both ends of a TCP connection."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        first = socket.create_connection(listener.getsockname())
        return first, listener.accept()[0]


def body_of(raw: bytes) -> bytes:
    head, _, body = raw.partition(b"\r\n\r\n")
    if b"chunked" not in head.lower():
        return body
    found = b""
    while body:
        size, _, rest = body.partition(b"\r\n")
        found += rest[: int(size, 16)]
        body = rest[int(size, 16) + 2 :]
    return found


@pytest.mark.parametrize("version", [b"HTTP/1.1", b"HTTP/1.0"])
@pytest.mark.parametrize("framing", HEADS)
def test_a_response_that_has_begun_is_relayed_to_its_end_after_a_shutdown(
    framing: str, version: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against cutting off, before any kill, what its backend still gives."""
    monkeypatch.setattr(proxy_module, "MAX_DEADLINE_S", DEADLINE_S)

    async def run() -> None:
        async with rig(respond_slowly(framing)) as r:
            client = await r.client()
            client.writer.write(request_bytes("order").replace(b"HTTP/1.1", version))
            await r.until(lambda: "relaying" in r.proxy._frontend.open_by_state())
            stopping = asyncio.create_task(r.proxy.stop(0.0))
            body = body_of(await read_all(client))
            assert body == PIECE * PIECES
            await asyncio.wait_for(stopping, 3)

    asyncio.run(run())


def test_the_end_of_a_response_that_is_read_slowly_is_sent_before_the_process_ends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against the loss of what the proxy has written and the kernel has not taken."""
    monkeypatch.setattr(proxy_module, "MAX_DEADLINE_S", DEADLINE_S)
    size = 3_000_000

    async def respond_at_once(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + b"z" * size)

    async def run() -> None:
        async with rig(respond_at_once) as r:
            client = await r.client()
            client.writer.transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, 32_768
            )
            client.writer.write(request_bytes("order"))
            await r.until(lambda: "relaying" in r.proxy._frontend.open_by_state())
            stopping = asyncio.create_task(r.proxy.stop(0.0))
            received = 0
            while part := await client.reader.read(60_000):
                received += len(part)
                await asyncio.sleep(0.03)
            assert received > size
            await asyncio.wait_for(stopping, 3)

    asyncio.run(run())


def test_a_response_that_its_client_does_not_read_does_not_hold_a_shutdown(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(proxy_module, "MAX_DEADLINE_S", DEADLINE_S)
    monkeypatch.setattr(response_relay, "STALL_S", 0.8)

    async def respond_endlessly(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 30000000\r\n\r\n")
        with contextlib.suppress(ConnectionError):
            for _ in range(300):
                writer.write(b"z" * 100_000)
                await writer.drain()

    async def run() -> None:
        async with rig(respond_endlessly) as r:
            client = await r.client()
            client.writer.write(request_bytes("order"))
            client.reader._transport.pause_reading()  # type: ignore[attr-defined]
            await r.until(lambda: "relaying" in r.proxy._frontend.open_by_state())
            await asyncio.wait_for(r.proxy.stop(0.0), 4)

    asyncio.run(run())


def test_a_shutdown_does_not_wait_for_connections_without_a_response(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a shutdown that waits beside a long response for what nobody is owed."""
    monkeypatch.setattr(proxy_module, "MAX_DEADLINE_S", DEADLINE_S)

    async def run() -> None:
        async with rig(respond_slowly("length")) as r:
            reading, lingering = await r.client(), await r.client()
            reading.writer.write(request_bytes("order"))
            await r.until(lambda: "relaying" in r.proxy._frontend.open_by_state())
            lingering.writer.write(b"GET /search HTTP/1.1\r\n")
            stopping = asyncio.create_task(r.proxy.stop(0.0))
            assert (await lingering.read()).status == 503
            assert await lingering.closed()
            deadline_s = DEADLINE_S + proxy_module.CLOSE_AFTER_DEADLINE_S
            await r.until(lambda: r.proxy._frontend.open_by_state() == {"relaying": 1}, deadline_s)
            assert body_of(await read_all(reading)) == PIECE * PIECES
            await asyncio.wait_for(stopping, 3)

    asyncio.run(run())


def test_a_response_taken_over_from_a_predecessor_is_relayed_to_its_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against the cut of a response that outlived an upgrade by a restart after it."""
    monkeypatch.setattr(proxy_module, "MAX_DEADLINE_S", DEADLINE_S)

    async def run() -> None:
        async with rig(respond_ok) as r:
            client, client_side = connected_pair()
            backend, backend_side = connected_pair()
            size = PIECES * len(PIECE)
            r.proxy._adopt_stream(
                client_side, backend_side, StreamHandover(size, None, False, b"", ())
            )
            reader, client_writer = await asyncio.open_connection(sock=client)
            _, writer = await asyncio.open_connection(sock=backend)
            stopping = asyncio.create_task(r.proxy.stop(0.0))
            writer.write(PIECE)
            for _ in range(PIECES - 1):
                writer.write(PIECE)
                assert not stopping.done()
                await asyncio.sleep(PIECE_S)
            assert await asyncio.wait_for(reader.read(), 5) == PIECE * PIECES
            client_writer.close()
            await asyncio.wait_for(stopping, 5)

    asyncio.run(run())


@pytest.mark.processes
@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGKILL])
def test_a_response_until_close_that_a_kill_cuts_off_ends_in_a_reset(
    number: signal.Signals, tmp_path: Path
) -> None:
    """Guards against a body that looks complete to a client that cannot know its length."""

    async def run() -> None:
        stand_in = StandInBackend(respond_slowly("until close"))
        await stand_in.start()
        async with start_proxy(tmp_path, stand_in) as proxy:
            client = await proxy.client()
            client.writer.write(request_bytes("order").replace(b"HTTP/1.1", b"HTTP/1.0"))
            assert await client.reader.read(20_000)
            proxy.process.send_signal(number)
            if number == signal.SIGTERM:
                rest = await read_all(client)
                assert rest.endswith(PIECE)
                assert await asyncio.wait_for(proxy.process.wait(), 5) == 0
            else:
                with pytest.raises(ConnectionResetError):
                    await read_all(client)
        await stand_in.stop()

    asyncio.run(run())
