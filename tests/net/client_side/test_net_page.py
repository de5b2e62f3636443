"""Complete endpoint lists, forms of requests, fragmented input, partial lines of idle backends."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest

from tests.net.discovery.test_watch_recovery import MODES, wait_until_watching
from tests.peers import (
    Client,
    ReceivedRequest,
    request_bytes,
    respond_ok,
    respond_ok_after,
    response_bytes,
    rig,
)


@pytest.mark.parametrize("mode", MODES)
def test_backend_missing_from_a_complete_list_is_removed_even_if_it_still_responds(
    mode: str,
) -> None:
    async def run() -> None:
        go = asyncio.Event()
        async with rig(respond_ok_after(go), respond_ok, discovery=mode) as r:
            removed, kept = r.backends
            await wait_until_watching(r)
            client, reply_task = await r.client(), None
            while not removed.requests:  # until an attempt is in flight there
                reply_task = asyncio.create_task(client.request(remaining="3900m"))
                await r.until(lambda: bool(removed.requests) or reply_task.done())  # noqa: B023
            r.discovery.members, r.discovery.always_complete = [kept.row()], True
            r.discovery.publish()
            await r.until(lambda: r.proxy._decider.listed_count() == 1)
            go.set()
            # The attempt in flight continues.
            assert reply_task is not None and (await reply_task).status == 200
            # No connection stays open.
            await r.until(lambda: removed.closed_count == removed.opened_count)
            request_count = len(removed.requests)
            assert [(await client.request()).status for _ in range(20)] == [200] * 20
            assert len(removed.requests) == request_count
            client.close()

    asyncio.run(run())


def request_forms() -> list[tuple[str, bytes, bytes]]:
    """Return name, raw request, and the body that the backend has to receive."""
    body = b"x" * 300
    chunked = request_bytes("order", omit=("Content-Length",), Transfer_Encoding="chunked")
    with_length = request_bytes("order", body=body)
    return [
        ("a length", with_length, body),
        (
            "chunks",
            chunked + b"64\r\n" + b"x" * 100 + b"\r\nC8\r\n" + b"x" * 200 + b"\r\n0\r\n\r\n",
            body,
        ),
        (
            "extensions and trailers",
            chunked + b"12c;a=b\r\n" + body + b"\r\n0\r\nX-Sum: 1\r\n\r\n",
            body,
        ),
        ("no body", request_bytes("order"), b""),
        (
            "names in capitals",
            with_length.replace(b"X-Lane:", b"X-LANE:").replace(b"X-Txn:", b"x-TXN:"),
            body,
        ),
        ("space round values", with_length.replace(b"X-Lane: ", b"X-Lane: \t "), body),
        ("no space", with_length.replace(b"X-Lane: ", b"X-Lane:"), body),
        ("in microseconds", with_length.replace(b": 800m", b": 800000u"), body),
        ("a fraction", with_length.replace(b": 800m", b": 800.5m"), body),
        (
            "the word to keep alive",
            with_length.replace(b"Host", b"Connection: keep-alive\r\nHost"),
            body,
        ),
    ]


@pytest.mark.parametrize("piece", [1, 7, 10_000])
def test_fragmented_requests_of_all_forms_reach_their_backend_completely(piece: int) -> None:
    async def run() -> None:
        async with rig(reads) as r:
            client = await r.client()
            for name, raw, _ in request_forms():
                for at in range(0, len(raw), piece):
                    client.writer.write(raw[at : at + piece])
                    await asyncio.sleep(0)
                reply = await client.read()
                assert reply.status == 200, (name, reply)
            assert [s.body for s in r.backends[0].requests] == [
                body for _, _, body in request_forms()
            ]
            client.close()

    async def reads(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(response_bytes())

    asyncio.run(run())


@pytest.mark.parametrize("form", ["a length", "chunks"])
@pytest.mark.parametrize("piece", [1, 50])
@pytest.mark.parametrize("mode", MODES)
def test_fragmented_endpoint_lists_in_both_framings_are_parsed(
    mode: str, piece: int, form: str
) -> None:
    async def run() -> None:
        async with rig(respond_ok, respond_ok, discovery=mode) as r:
            await wait_until_watching(r)
            unframed_list = r.discovery._list

            def framed_list(full: bool, rows: list[dict[str, Any]]) -> bytes:
                if form == "a length":
                    return unframed_list(full, rows)
                tree = {"revision": r.discovery.revision, "complete": full, "members": rows}
                raw = json.dumps(tree).encode()
                parts = b"".join(
                    b"%x\r\n%b\r\n" % (len(raw[i : i + 9]), raw[i : i + 9])
                    for i in range(0, len(raw), 9)
                )
                return (
                    b"HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n" + parts + b"0\r\n\r\n"
                )

            r.discovery._list = framed_list  # type: ignore[method-assign]
            r.discovery.write_size = piece
            r.discovery.publish(r.backends[0].row("DRAINING"))
            await r.until(lambda: r.proxy._decider.out_of_rotation_count() == 1, 8.0)
            request_count = len(r.backends[0].requests)
            for _ in range(10):
                assert (await r.request()).status == 200
            assert len(r.backends[0].requests) == request_count

    asyncio.run(run())


@pytest.mark.parametrize(
    "partial_input", [b"H", b"HTTP/1.1 200 O", b"\r\n", b"HTTP/1.1 408 Late\r\n\r\n"]
)
def test_partial_line_on_an_idle_backend_connection_reaches_no_client(partial_input: bytes) -> None:
    async def run() -> None:
        async with rig(respond_ok) as r:
            backend = r.backends[0]
            client: Client = await r.client()
            assert (await client.request()).status == 200
            (writer,) = backend.writers
            writer.write(partial_input)
            await r.until(lambda: backend.closed_count == 1)
            assert (await client.request()).status == 200
            assert [s.connection for s in backend.requests] == [1, 2]
            client.close()

    asyncio.run(run())
