"""Long uploads that break: nothing of them stays open, and what came complete is answered.

A request whose body is over 64 KiB is forwarded while its body still comes. When its client sent
something malformed in the middle, the client got its 400, but nobody told the decisions or the
backend: the id, the buffer grant, the attempt and the backend's connection stayed open for good
(25 such clients held 19 to 25 descriptors 30 s after they had gone; 240 uploads held 211). When the
upload was complete and something malformed came behind it in the same read, the client got only
the 400; the response of the request that had run never came.

Told by: `open_requests` of the figures stays above 0, `attempts` exceeds the sum of the
`attempts_*` that tell how one ended, and `/proc/PID/fd` holds one socket a broken upload, its other
end a backend.
"""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

import pytest

from mothstall.net.backend_side.connection import BackendConnection
from tests.net.client_side.test_net_leaving import given_back
from tests.net.test_net_body_relay import UploadBackend, rig_with_upload_backend
from tests.net.test_process import start_proxy
from tests.peers import Client, Rig, StandIn, request_bytes, rig

LONG_BODY = b"u" * 200_000  # over what is buffered completely


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


UPGRADE = (
    b"GET /search HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n"
    b"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n"
)

MALFORMED_CHUNKS = {
    "chunk size is no number": chunk(LONG_BODY) + b"zz\r\n",
    "chunk without its CRLF": chunk(LONG_BODY) + b"5\r\nabcdeXX",
    "chunk size of 18 digits": chunk(LONG_BODY) + b"F" * 18 + b"\r\n",
    "malformed trailer": chunk(LONG_BODY) + b"0\r\n\x00nonsense\r\n\r\n",
}

INPUT_BEHIND = {
    "malformed head": b"\x00nonsense\r\n\r\n",
    "surplus of the body": b"u" * 50_000,
    "upgrade": UPGRADE,
}


def nothing_open(r: Rig) -> bool:
    """Whether all is given back that requests and their clients held."""
    proxy = r.proxy
    streams = [*proxy._frontend.grants._holders, *proxy._frontend.grants._waiting]
    in_flight = [actor.in_flight for actor in proxy._decider._backends.values()]
    return (
        given_back(r)
        and not proxy._decider._pending
        and not proxy._frontend.count
        and not streams
        and not any(in_flight)
        and proxy._pool.open_count == len(proxy._pool.connections)
    )


def upload_head(chunked: bool = True) -> bytes:
    if chunked:
        return request_bytes("order", drop=("Content-Length",), Transfer_Encoding="chunked")
    return request_bytes(
        "order", drop=("Content-Length",), Content_length=str(len(LONG_BODY)), remaining="900m"
    )


async def send_upload(r: Rig, raw: bytes, chunked: bool = True) -> Client:
    """Send a request and the first part of its long body, wait until that is forwarded."""
    client = await r.client()
    client.writer.write(upload_head(chunked) + raw)
    await r.until(lambda: r.count("attempts") == 1)
    return client


@pytest.mark.parametrize("name", MALFORMED_CHUNKS)
@pytest.mark.parametrize("at_once", [True, False], ids=["at once", "in two parts"])
def test_upload_that_breaks_leaves_nothing_open(name: str, at_once: bool) -> None:
    async def run() -> None:
        async with rig_with_upload_backend() as (r, taker):
            raw = MALFORMED_CHUNKS[name]
            if at_once:
                client = await r.client()
                client.writer.write(upload_head() + raw)
            else:
                client = await send_upload(r, chunk(LONG_BODY))
                await r.until(lambda: len(taker.framings) == 1)
                client.writer.write(raw.removeprefix(chunk(LONG_BODY)))
            assert (await client.read()).status == 400
            assert await client.closed()
            client.close()
            await r.until(lambda: nothing_open(r))
            await r.until(lambda: not taker.writers)
            assert not taker.digests

    asyncio.run(run())


@pytest.mark.parametrize("name", INPUT_BEHIND)
@pytest.mark.parametrize("chunked", [True, False], ids=["chunked", "length"])
def test_complete_upload_is_answered_before_an_error_behind_it(name: str, chunked: bool) -> None:
    """All in one read: the end of the body, and what is malformed."""

    async def run() -> None:
        async with rig_with_upload_backend() as (r, taker):
            body = chunk(LONG_BODY) if chunked else LONG_BODY
            client = await send_upload(r, body[:-10], chunked)
            end = body[-10:] + (b"0\r\n\r\n" if chunked else b"")
            client.writer.write(end + INPUT_BEHIND[name])
            reply = await client.read()
            assert (reply.status, reply.body) == (200, b"swallowed")
            assert (await client.read()).status == 400
            assert await client.closed()
            client.close()
            await r.until(lambda: nothing_open(r))
            assert [size for size, _ in taker.digests] == [len(LONG_BODY)]

    asyncio.run(run())


def test_upload_that_breaks_after_its_early_response_gets_no_second_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A backend may answer before it has the whole body; the client goes on sending."""

    async def run() -> None:
        async with rig_with_upload_backend() as (r, taker):
            taker.is_stalled = True
            client = await send_upload(r, chunk(LONG_BODY))
            await r.until(lambda: len(taker.framings) == 1)
            for writer in list(taker.writers):
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nearly")
            reply = await client.read()
            assert (reply.status, reply.body) == (200, b"early")
            client.writer.write(b"zz\r\n")
            assert await client.closed()
            client.close()
            await r.until(lambda: nothing_open(r))
            taker.is_stalled = False

    asyncio.run(run())


def test_connection_with_a_cut_request_body_is_not_used_again() -> None:
    """A long response begins before its request is complete, and ends while it is not.

    The rest of that request's body is never sent: the next request on the backend's connection
    would be read as part of it.
    """

    async def run() -> None:
        async with rig_with_upload_backend() as (r, taker):
            taker.is_stalled = True
            client = await send_upload(r, chunk(LONG_BODY))
            await r.until(lambda: len(taker.framings) == 1)
            size = 200_000
            for writer in list(taker.writers):
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
                writer.write(b"y" * size)
            head = await client.reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200")
            assert await client.reader.readexactly(size) == b"y" * size
            client.close()
            await r.until(lambda: nothing_open(r))
            await r.until(lambda: r.proxy._pool.open_count == 0)
            taker.is_stalled = False

    asyncio.run(run())


def test_complete_upload_that_its_backend_does_not_read_is_answered_before_the_process_ends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The time of a request with a long body counts from when all of it is written.

    A process that ends cannot wait for that: a backend that hangs through the shutdown takes
    nothing more. A request whose client had sent everything got no answer at all, as only one that
    was still being uploaded was rejected (503), and only one that was written had a deadline.
    """
    small_buffers(monkeypatch)

    async def run() -> None:
        async with rig(listed=False) as r:
            with socket.socket() as listener:  # accepts, and never reads
                listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                listener.bind(("127.0.0.1", 0))
                listener.listen()
                row = StandIn().row()
                r.directory.tell({**row, "host_port": f"127.0.0.1:{listener.getsockname()[1]}"})
                await r.until(lambda: r.proxy._decider.listed_count() == 1)
                client = await send_upload(r, chunk(b"u" * 70_000) + b"0\r\n\r\n")
                await r.until(lambda: r.proxy._frontend.open_by_state() == {"awaiting_response": 1})
                await r.until(lambda: r.proxy._pool.open_count == 1)
                assert r.proxy.metrics.relayed == 0
                stopping = asyncio.create_task(r.proxy.stop(0.0))
                assert (await client.read()).status in (502, 503)
                await stopping
                assert nothing_open(r)

    asyncio.run(run())


def small_buffers(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let the kernel hold little of what is on its way to a backend."""
    connection_made = BackendConnection.connection_made

    def made(connection: BackendConnection, transport: asyncio.BaseTransport) -> None:
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        connection_made(connection, transport)

    monkeypatch.setattr(BackendConnection, "connection_made", made)


@pytest.mark.processes
@pytest.mark.parametrize("name", [*MALFORMED_CHUNKS, *INPUT_BEHIND])
def test_broken_uploads_hold_no_descriptor_of_the_process(tmp_path: Path, name: str) -> None:
    """Each of 25 clients breaks its upload, takes what it gets, and goes."""
    raw = MALFORMED_CHUNKS.get(name) or chunk(LONG_BODY) + b"0\r\n\r\n" + INPUT_BEHIND.get(
        name, b""
    )

    async def run() -> None:
        taker = UploadBackend()
        await taker.start()
        async with start_proxy(tmp_path, taker) as proxy:
            descriptors = Path(f"/proc/{proxy.process.pid}/fd")
            before = len(list(descriptors.iterdir()))
            for _ in range(25):
                client = await proxy.client()
                client.writer.write(upload_head() + raw)
                await client.read()
                client.close()
            async with asyncio.timeout(5):
                # Its connection to the backend may stay for the next request.
                while len(list(descriptors.iterdir())) > before + 1:
                    await asyncio.sleep(0.05)
        await taker.stop()

    asyncio.run(run())
