"""Long requests that are written or read slowly, in pieces of any size, keep their deadline."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest

from tests.net.client_side.test_hung_uploads import (
    LATE_S,
    REMAINING_S,
    replace_backend,
    write_upload,
)
from tests.net.test_net_body_relay import rig_with_upload_backend
from tests.peers import never_respond, request_bytes, rig


def slow_listener(buffer_bytes: int) -> socket.socket:
    listener = socket.socket()
    if buffer_bytes:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    return listener


@pytest.mark.parametrize("is_chunked", [False, True])
@pytest.mark.parametrize("size", [1_500_000, 3_500_000])
@pytest.mark.parametrize(
    ("piece_bytes", "pause_s"), [(16_384, 0.02), (65_536, 0.05), (100_000, 0.12), (300_000, 0.3)]
)
@pytest.mark.parametrize("buffer_bytes", [4096, 0])
def test_a_request_that_its_backend_reads_slowly_is_answered_in_time(
    buffer_bytes: int, piece_bytes: int, pause_s: float, size: int, is_chunked: bool
) -> None:
    """Guards against a deadline that moves with each pause of the backend."""

    async def read_slowly(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while await reader.read(piece_bytes):
                await asyncio.sleep(pause_s)
        except ConnectionError:
            pass
        writer.close()

    async def run() -> None:
        async with rig(never_respond) as r:
            server = await asyncio.start_server(
                read_slowly, sock=slow_listener(buffer_bytes), limit=16_384
            )
            await replace_backend(r, server.sockets[0])
            client = await r.client()
            written_s = await write_upload(client, size, is_chunked)
            reply = await client.read(10)
            waited_s = asyncio.get_running_loop().time() - written_s
            assert reply.status in (502, 503, 504)
            assert waited_s < REMAINING_S + LATE_S
            client.close()
            server.close()

    asyncio.run(run())


@pytest.mark.parametrize("is_chunked", [False, True])
@pytest.mark.parametrize(
    ("piece_bytes", "pause_s"), [(6_400, 0.1), (16_384, 0.1), (65_536, 0.1), (131_072, 0.2)]
)
def test_a_request_that_its_client_writes_slowly_is_not_ended_while_it_writes(
    piece_bytes: int, pause_s: float, is_chunked: bool
) -> None:
    """Guards against a body in lumps of full reads that counts as complete between them."""
    count = 20
    size = count * piece_bytes

    async def run() -> None:
        async with rig_with_upload_backend() as (r, backend):
            client = await r.client()
            head = request_bytes("order", remaining="700m", Content_length=str(size))
            if is_chunked:
                head = head.replace(b"Content-length: %d" % size, b"Transfer-Encoding: chunked")
            client.writer.write(head.replace(b"Content-Length: 0\r\n", b""))
            began_s = time.monotonic()
            for number in range(count):
                piece = b"u" * piece_bytes
                client.writer.write(b"%x\r\n%b\r\n" % (piece_bytes, piece) if is_chunked else piece)
                due_s = began_s + (number + 1) * pause_s
                await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            client.writer.write(b"0\r\n\r\n" if is_chunked else b"")
            assert (await client.read()).status == 200
            assert backend.digests[0][0] == size

    asyncio.run(run())
