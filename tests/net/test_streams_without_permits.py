"""Long bodies beyond those that are granted wide buffers: none waits for the peers of others."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest

from mothstall.net import proxy as proxy_module
from tests.net.test_net_body_relay import rig_with_upload_backend
from tests.peers import Behaviour, Client, ReceivedRequest, Rig, request_bytes, rig

PERMITS = 2
HELD_BACK_S = 2.0  # the rest of a response may be held back for less than this
BODY = bytes(range(256)) * 6_000  # 1.5 MB: more than the buffers of all that lie on its way


@pytest.fixture(autouse=True)
def few_permits(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(proxy_module, "max_streams_for", lambda memory_bytes: PERMITS)


def respond_long(framing: str) -> Behaviour:
    async def behave(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        if framing == "length":
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(BODY) + BODY)
        elif framing == "chunked":
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            for at in range(0, len(BODY), 1000):
                part = BODY[at : at + 1000]
                writer.write(b"%x\r\n%b\r\n" % (len(part), part))
            writer.write(b"0\r\n\r\n")
        else:
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + BODY)
        with contextlib.suppress(ConnectionError):
            await writer.drain()
        if framing == "until close":
            writer.close()

    return behave


async def request_without_reading(r: Rig) -> socket.socket:
    """Request a long response, and read none of it."""
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.setblocking(False)
    await loop.sock_connect(sock, ("127.0.0.1", r.proxy.port))
    await loop.sock_sendall(sock, request_bytes("search", remaining="990m"))
    return sock


@pytest.mark.parametrize("version", [b"HTTP/1.1", b"HTTP/1.0"])
@pytest.mark.parametrize("framing", ["length", "chunked", "until close"])
def test_a_response_is_not_held_back_by_clients_that_read_nothing(
    framing: str, version: bytes
) -> None:
    """Guards against a head without a body: permits were held by slow readers of others."""

    async def run() -> None:
        async with rig(respond_long(framing)) as r:
            idle = []
            for count in range(1, PERMITS + 2):
                idle.append(await request_without_reading(r))
                await r.until(lambda: r.proxy._frontend.open_by_state().get("relaying") == count)  # noqa: B023
            client = await r.client()
            client.writer.write(request_bytes("search").replace(b"HTTP/1.1", version))
            await client.reader.readuntil(b"\r\n\r\n")
            received = 0
            async with asyncio.timeout(HELD_BACK_S):
                while received < len(BODY):
                    received += len(await client.reader.read(65536))
            client.close()
            for sock in idle:
                sock.close()

    asyncio.run(run())


@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_an_upload_is_not_held_back_by_clients_that_stop_writing(framing: str) -> None:
    """Guards against a request that waits, once it is forwarded, for the bodies of others."""

    async def run() -> None:
        async with rig_with_upload_backend() as (r, backend):
            stopped = [await r.client() for _ in range(PERMITS + 1)]
            for client in stopped:
                write_upload(client, framing, BODY[:100_000], is_complete=False)
            await r.until(lambda: r.count("attempts") == len(stopped))
            client = await r.client()
            write_upload(client, framing, BODY, is_complete=True)
            reply = await client.read(HELD_BACK_S)
            assert reply.status == 200
            assert backend.digests[0][0] == len(BODY)
            for other in stopped:
                other.close()

    asyncio.run(run())


def write_upload(client: Client, framing: str, body: bytes, is_complete: bool) -> None:
    head = request_bytes("order", Content_length=str(len(BODY))).replace(
        b"Content-Length: 0\r\n", b""
    )
    if framing == "length":
        client.writer.write(head + body)
        return
    head = head.replace(b"Content-length: %d" % len(BODY), b"Transfer-Encoding: chunked")
    client.writer.write(head)
    for at in range(0, len(body), 1000):
        part = body[at : at + 1000]
        client.writer.write(b"%x\r\n%b\r\n" % (len(part), part))
    client.writer.write(b"0\r\n\r\n" if is_complete else b"")
