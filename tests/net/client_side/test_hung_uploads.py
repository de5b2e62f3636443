"""Long requests to backends that stop reading: each gets its response in time."""

from __future__ import annotations

import asyncio
import socket

import pytest

from tests.net.backend_side.test_net_backends import unread_listener
from tests.peers import Client, ReceivedRequest, Rig, never_respond, request_bytes, rig

LATE_S = 0.5 + 0.05  # a response may be half a second late; limits are 50 ms longer on sockets
REMAINING_S = 0.9


async def replace_backend(r: Rig, listener: socket.socket) -> None:
    """Make `listener` the only backend of the proxy."""
    row = {**r.backends[0].row(), "id": "s-9"}
    row["host_port"] = f"127.0.0.1:{listener.getsockname()[1]}"
    r.discovery.publish({**r.backends[0].row(), "phase": "DELETED"}, row)
    listed = r.proxy._decider._backends
    await r.until(lambda: [b.ident for b in listed.values()] == ["s-9"])


async def write_upload(client: Client, size: int, chunked: bool = False) -> float:
    """Write a long request; return the loop time at which the kernel had its last byte."""
    body = b"x" * size
    raw = request_bytes("order", remaining=f"{REMAINING_S * 1000:.0f}m", body=body)
    if chunked:
        head = raw[: raw.index(b"\r\n\r\n")].replace(
            f"Content-Length: {size}".encode(), b"Transfer-Encoding: chunked"
        )
        raw = head + f"\r\n\r\n{size:x}\r\n".encode() + body + b"\r\n0\r\n\r\n"
    client.writer.write(raw)
    while client.writer.transport.get_write_buffer_size():
        await asyncio.sleep(0.005)
    return asyncio.get_running_loop().time()


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("size", [100_000, 1_500_000, 3_000_000])
def test_long_request_to_a_backend_that_reads_nothing_is_answered_in_time(
    size: int, chunked: bool
) -> None:
    """Guards against a response after 10 s: the body was written, but the backend took none."""

    async def run() -> None:
        async with rig(never_respond) as r:
            with unread_listener() as listener:
                await replace_backend(r, listener)
                client = await r.client()
                written_s = await write_upload(client, size, chunked)
                reply = await client.read(REMAINING_S + LATE_S)
                waited_s = asyncio.get_running_loop().time() - written_s
                assert reply.status in (502, 503, 504)
                assert waited_s < REMAINING_S + LATE_S
                client.close()

    asyncio.run(run())


def test_time_that_a_backend_does_not_read_counts_for_a_long_request() -> None:
    """Guards against a deadline that begins anew once a backend that paused has read the body."""

    async def read_late(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.75 * REMAINING_S)
        while await reader.read(1 << 20):
            pass
        writer.close()

    async def run() -> None:
        async with rig(never_respond) as r:
            server = await asyncio.start_server(read_late, sock=unread_listener())
            await replace_backend(r, server.sockets[0])
            client = await r.client()
            written_s = await write_upload(client, 3_000_000)
            reply = await client.read(REMAINING_S + LATE_S)
            assert reply.status in (502, 503, 504)
            assert asyncio.get_running_loop().time() - written_s < REMAINING_S + LATE_S
            client.close()
            server.close()

    asyncio.run(run())


def test_time_of_a_long_request_begins_with_its_last_byte() -> None:
    """Guards against failing a client that writes its body for longer than the request's time."""

    async def respond(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

    async def run() -> None:
        async with rig(respond) as r:
            client = await r.client()
            raw = request_bytes("order", remaining="300m", body=b"x" * 1_000_000)
            for begin in range(0, len(raw), 100_000):
                client.writer.write(raw[begin : begin + 100_000])
                await asyncio.sleep(0.1)
            assert (await client.read()).status == 200
            client.close()

    asyncio.run(run())
