"""Malformed long uploads: they leave nothing open, and a complete request before them is answered.

A request with a body over 64 KiB is forwarded while its body is still being received. If malformed
input arrives in the middle of the body, the client gets a 400, and the decider and the backend have
to be informed. Otherwise the id, the buffer grant, the attempt and the backend connection stay open
for good (25 such clients held 19 to 25 descriptors 30 s after they had left; 240 uploads held 211).
If malformed input follows a complete upload in the same read, the client has to get the response
of the request, which has run, before the 400.

Symptoms of the fault: `open_requests` of the metrics stays above 0, `attempts` exceeds the sum of
the `attempts_*` results, and `/proc/PID/fd` holds one socket to a backend per malformed upload.
"""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

import pytest

from mothstall.net.backend_side.connection import BackendConnection
from tests.net.client_side.test_net_leaving import resources_released
from tests.net.test_net_body_relay import UploadBackend, rig_with_upload_backend
from tests.net.test_process import start_proxy
from tests.peers import Client, Rig, StandInBackend, request_bytes, rig, until_reusable

LONG_BODY = b"u" * 200_000  # longer than a body that is buffered completely


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

TRAILING_INPUT = {
    "malformed head": b"\x00nonsense\r\n\r\n",
    "surplus of the body": b"u" * 50_000,
    "upgrade": UPGRADE,
}


def no_resources_open(r: Rig) -> bool:
    """Whether all that requests and their clients held is released."""
    proxy = r.proxy
    streams = [*proxy._frontend.grants._holders, *proxy._frontend.grants._waiting]
    in_flight = [actor.in_flight for actor in proxy._decider._backends.values()]
    return (
        resources_released(r)
        and not proxy._decider._pending
        and not proxy._frontend.connection_count
        and not streams
        and not any(in_flight)
        and proxy._pool.open_count == len(proxy._pool.connections)
    )


def upload_head(chunked: bool = True) -> bytes:
    if chunked:
        return request_bytes("order", omit=("Content-Length",), Transfer_Encoding="chunked")
    return request_bytes(
        "order", omit=("Content-Length",), Content_length=str(len(LONG_BODY)), remaining="900m"
    )


async def send_upload(r: Rig, raw: bytes, chunked: bool = True) -> Client:
    """Send a request and the first part of its long body; wait until it is forwarded."""
    client = await r.client()
    client.writer.write(upload_head(chunked) + raw)
    await r.until(lambda: r.count("attempts") == 1)
    return client


@pytest.mark.parametrize("name", MALFORMED_CHUNKS)
@pytest.mark.parametrize("at_once", [True, False], ids=["at once", "in two parts"])
def test_malformed_upload_leaves_no_resources_open(name: str, at_once: bool) -> None:
    async def run() -> None:
        async with rig_with_upload_backend() as (r, upload_backend):
            raw = MALFORMED_CHUNKS[name]
            if at_once:
                client = await r.client()
                client.writer.write(upload_head() + raw)
            else:
                client = await send_upload(r, chunk(LONG_BODY))
                await r.until(lambda: len(upload_backend.framings) == 1)
                client.writer.write(raw.removeprefix(chunk(LONG_BODY)))
            assert (await client.read()).status == 400
            assert await client.closed()
            client.close()
            await r.until(lambda: no_resources_open(r))
            await r.until(lambda: not upload_backend.writers)
            assert not upload_backend.digests

    asyncio.run(run())


@pytest.mark.parametrize("name", TRAILING_INPUT)
@pytest.mark.parametrize("chunked", [True, False], ids=["chunked", "length"])
def test_complete_upload_is_answered_before_the_error_for_trailing_input(
    name: str, chunked: bool
) -> None:
    """The end of the body and the malformed input arrive in one read."""

    async def run() -> None:
        async with rig_with_upload_backend() as (r, upload_backend):
            body = chunk(LONG_BODY) if chunked else LONG_BODY
            client = await send_upload(r, body[:-10], chunked)
            end = body[-10:] + (b"0\r\n\r\n" if chunked else b"")
            client.writer.write(end + TRAILING_INPUT[name])
            reply = await client.read()
            assert (reply.status, reply.body) == (200, b"swallowed")
            assert (await client.read()).status == 400
            assert await client.closed()
            client.close()
            await r.until(lambda: no_resources_open(r))
            assert [size for size, _ in upload_backend.digests] == [len(LONG_BODY)]

    asyncio.run(run())


def test_malformed_upload_after_an_early_response_gets_no_second_response(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A backend may answer before it has the whole body, while the client still sends."""

    async def run() -> None:
        async with rig_with_upload_backend() as (r, upload_backend):
            upload_backend.is_stalled = True
            client = await send_upload(r, chunk(LONG_BODY))
            await r.until(lambda: len(upload_backend.framings) == 1)
            for writer in list(upload_backend.writers):
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nearly")
            reply = await client.read()
            assert (reply.status, reply.body) == (200, b"early")
            client.writer.write(b"zz\r\n")
            assert await client.closed()
            client.close()
            await r.until(lambda: no_resources_open(r))
            upload_backend.is_stalled = False

    asyncio.run(run())


def test_connection_with_a_cut_request_body_is_not_used_again() -> None:
    """A long response begins and ends before its request is complete.

    The rest of that request's body is never sent, so the backend would read the next request on the
    connection as part of it.
    """

    async def run() -> None:
        async with rig_with_upload_backend() as (r, upload_backend):
            upload_backend.is_stalled = True
            client = await send_upload(r, chunk(LONG_BODY))
            await r.until(lambda: len(upload_backend.framings) == 1)
            size = 200_000
            for writer in list(upload_backend.writers):
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
                writer.write(b"y" * size)
            head = await client.reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200")
            assert await client.reader.readexactly(size) == b"y" * size
            client.close()
            await r.until(lambda: no_resources_open(r))
            await r.until(lambda: r.proxy._pool.open_count == 0)
            upload_backend.is_stalled = False

    asyncio.run(run())


def test_complete_upload_that_its_backend_does_not_read_is_answered_before_the_process_ends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The timeout of a request with a long body starts when the body is written completely.

    A backend that hangs during the shutdown reads no more, so that the timeout never starts. Guards
    against no response at all: a request whose client had sent everything was not rejected (503)
    like an incomplete upload, and had no deadline like one that is written.
    """
    small_buffers(monkeypatch)

    async def run() -> None:
        async with rig(listed=False) as r:
            with socket.socket() as listener:  # accepts connections, never reads
                listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                listener.bind(("127.0.0.1", 0))
                listener.listen()
                listed_backend = StandInBackend().row()
                r.discovery.publish(
                    {**listed_backend, "host_port": f"127.0.0.1:{listener.getsockname()[1]}"}
                )
                await r.until(lambda: r.proxy._decider.listed_count() == 1)
                client = await send_upload(r, chunk(b"u" * 70_000) + b"0\r\n\r\n")
                await r.until(lambda: r.proxy._frontend.open_by_state() == {"awaiting_response": 1})
                await r.until(lambda: r.proxy._pool.open_count == 1)
                assert r.proxy.metrics.relayed == 0
                stopping = asyncio.create_task(r.proxy.stop(0.0))
                assert (await client.read()).status in (502, 503)
                await stopping
                assert no_resources_open(r)

    asyncio.run(run())


def small_buffers(monkeypatch: pytest.MonkeyPatch) -> None:
    """Limit how much data to a backend the kernel buffers."""
    connection_made = BackendConnection.connection_made

    def connection_made_with_small_buffer(
        connection: BackendConnection, transport: asyncio.BaseTransport
    ) -> None:
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        connection_made(connection, transport)

    monkeypatch.setattr(BackendConnection, "connection_made", connection_made_with_small_buffer)
    # A long body would widen the buffer again.
    monkeypatch.setattr(BackendConnection, "limit_output", lambda connection, sizes: None)


@pytest.mark.processes
@pytest.mark.parametrize("name", [*MALFORMED_CHUNKS, *TRAILING_INPUT])
def test_malformed_uploads_leak_no_descriptors(tmp_path: Path, name: str) -> None:
    """25 clients each send a malformed upload, read one response and leave."""
    raw = MALFORMED_CHUNKS.get(name) or chunk(LONG_BODY) + b"0\r\n\r\n" + TRAILING_INPUT.get(
        name, b""
    )

    async def run() -> None:
        upload_backend = UploadBackend()
        await upload_backend.start()
        async with start_proxy(tmp_path, upload_backend) as proxy:
            descriptors = Path(f"/proc/{proxy.process.pid}/fd")
            before = len(list(descriptors.iterdir()))
            for _ in range(25):
                client = await proxy.client()
                client.writer.write(upload_head() + raw)
                await client.read()
                client.close()
                await until_reusable()
            async with asyncio.timeout(5):
                # One connection to the backend may stay open for the next request.
                while len(list(descriptors.iterdir())) > before + 1:
                    await asyncio.sleep(0.05)
        await upload_backend.stop()

    asyncio.run(run())
