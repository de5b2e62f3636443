"""An id that comes again after its client has left."""

from __future__ import annotations

import asyncio

import pytest

from mothstall.net import spent_ids
from tests.peers import (
    MS,
    ReceivedRequest,
    never_respond,
    request_bytes,
    respond_ok,
    respond_ok_after,
    rig,
)


def test_an_unsafe_request_whose_client_has_left_does_not_run_again_under_its_id() -> None:
    """Guards against an effect that happens twice: the id is free again as its client leaves."""

    async def respond_late(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.2)
        await respond_ok(request, writer)

    async def run() -> None:
        async with rig(respond_late) as r:
            client = await r.client()
            client.writer.write(request_bytes("order", X_Txn="again"))
            await r.until(lambda: len(r.backends[0].requests) == 1)
            client.close()
            await r.until(lambda: r.count("requests_left") == 1)
            assert (await r.request("order", X_Txn="again")).status == 400
            assert r.count("requests_bad") == 1
            assert len(r.backends[0].requests) == 1
            assert (await r.request("order", X_Txn="other")).status == 200

    asyncio.run(run())


def test_an_unsafe_request_whose_client_left_in_its_long_response_does_not_run_again() -> None:
    """Guards against the same where the response has begun: its client was not served either."""

    async def respond_endlessly(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + b"z" * 100_000)

    async def run() -> None:
        async with rig(respond_endlessly) as r:
            client = await r.client()
            client.writer.write(request_bytes("order", X_Txn="again"))
            await client.reader.readexactly(50_000)
            client.close()
            await r.until(lambda: not r.proxy._frontend._open_ids)
            assert (await r.request("order", X_Txn="again")).status == 400
            assert len(r.backends[0].requests) == 1

    asyncio.run(run())


def test_a_request_that_never_ran_may_come_again_after_its_client_has_left() -> None:
    async def run() -> None:
        async with rig(respond_ok) as r:
            backend = r.backends[0]
            known = r.proxy._decider._spent_ids
            client = await r.client()
            raw = request_bytes("order", X_Txn="again", body=b"x" * 100_000)
            client.writer.write(raw[:-1])
            await r.until(lambda: r.count("attempts") == 1)
            client.close()
            await r.until(lambda: r.count("requests_left") == 1)
            await r.until(lambda: not r.proxy._decider._pending)
            assert not known._ended_ns and not backend.requests
            assert (await r.request("order", X_Txn="again")).status == 200

    asyncio.run(run())


def test_an_idempotent_request_may_come_again_after_its_client_has_left() -> None:
    async def run() -> None:
        go = asyncio.Event()
        async with rig(respond_ok_after(go)) as r:
            client = await r.client()
            client.writer.write(request_bytes("search", X_Txn="again"))
            await r.until(lambda: len(r.backends[0].requests) == 1)
            client.close()
            await r.until(lambda: r.count("requests_left") == 1)
            go.set()
            assert (await r.request("search", X_Txn="again")).status == 200

    asyncio.run(run())


def test_remembered_ids_are_bounded_and_expire(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(spent_ids, "MAX_IDS", 2)
    monkeypatch.setattr(spent_ids, "KEPT_NS", 50 * MS)

    async def run() -> None:
        async with rig(never_respond) as r:
            for number in range(3):
                client = await r.client()
                client.writer.write(request_bytes("order", X_Txn=f"t{number}", remaining="900m"))
                await r.until(lambda: r.count("attempts") == number + 1)  # noqa: B023
                client.close()
                await r.until(lambda: r.count("requests_left") == number + 1)  # noqa: B023
            assert list(r.proxy._decider._spent_ids._ended_ns) == [b"t1", b"t2"]
            await asyncio.sleep(0.1)
            r.backends[0].behave = respond_ok
            assert (await r.request("order", X_Txn="t2")).status == 200

    asyncio.run(run())
