"""Requests through the proxy: forwarding, responses, and rejected requests."""

from __future__ import annotations

import asyncio

import pytest

from mothstall.net.client_side import deadlines
from tests.peers import (
    ReceivedRequest,
    request_bytes,
    respond_ok,
    respond_with,
    response_bytes,
    rig,
)


def test_method_target_query_body_and_ids_are_forwarded_unchanged() -> None:
    async def run() -> None:
        async with rig(respond_ok) as r:
            target = "/pay//a/../%2f%zz;x?b=+%20&c[]=1&d=%C3%A9?"
            body = bytes(range(256)) * 8
            reply = await r.request(
                "pay", target=target + "e", body=body, X_Txn="9b1F03aa", X_Odd="a, b"
            )
            assert reply.status == 200 and reply.body == b"served 9b1F03aa"
            (request,) = r.backends[0].requests
            assert request.line == b"POST " + target.encode() + b"e HTTP/1.1"
            assert request.body == body
            assert request.header(b"X-Txn") == b"9b1F03aa"
            assert request.header(b"Idempotency-Key") == b"5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
            assert request.header(b"Host") == b"service.internal"
            assert request.header(b"X-Odd") == b"a, b"
            names = [n.lower() for n, _ in request.headers]
            assert names.count(b"x-remaining") == names.count(b"content-length") == 1
            assert b"user-agent" not in names and b"accept-encoding" not in names
            left = request.header(b"X-Remaining") or b""
            assert left.endswith(b"u") and 700_000 < int(left[:-1]) <= 800_000

    asyncio.run(run())


def test_response_of_the_backend_is_relayed_unchanged() -> None:
    async def run() -> None:
        load = "util=1,queue=2"
        raw = response_bytes(
            b"\x1f\x8b\x00raw", Content_Type="x/y", Content_Encoding="gzip", X_Pressure=load
        )
        async with rig(respond_with(raw)) as r:
            reply = await r.request("order")
            assert (reply.status, reply.body) == (200, b"\x1f\x8b\x00raw")
            assert (
                reply.headers["content-type"] == "x/y"
                and reply.headers["content-encoding"] == "gzip"
            )
            assert "x-pressure" not in reply.headers

    asyncio.run(run())


def test_redirects_and_cookies_are_left_to_the_client() -> None:
    async def run() -> None:
        raw = response_bytes(b"", 302, Location="/elsewhere", Set_Cookie="a=b")
        async with rig(respond_with(raw)) as r:
            assert (await r.request("order")).status == 502
            r.backends[0].behave = respond_ok
            await r.request("order")
            assert [s.line for s in r.backends[0].requests] == [b"POST /order HTTP/1.1"] * 2
            assert r.backends[0].requests[1].header(b"Cookie") is None

    asyncio.run(run())


def test_invalid_requests_get_400_and_reach_no_backend() -> None:
    async def run() -> None:
        async with rig(respond_ok) as r:
            rejected_count = 0
            for changes in (
                {"omit": ("X-Txn",), "lane": "pay"},
                {"X_Txn": ""},
                {"X_Lane": "unheard"},
                {"omit": ("X-Lane",)},
                {"remaining": None},
                {"remaining": "soon"},
                {"remaining": "-5m"},
                {"remaining": "nanm"},
                {"remaining": "480"},
                {"remaining": "480s"},
                {"remaining": "0m"},
                {"remaining": "99999999999m"},
                {"remaining": "4001m"},
                {"x_txn": "another"},
                {"x_remaining": "500m"},
                {"x_org": "other"},
                {"X_Txn": "two words"},
                {"X_Txn": "x" * 65},
                {"target": "/pay"},
                {"target": "search"},
                {"target": "/search#x"},
                {"target": "/searching"},
                {"method": "POST"},
                {"method": "HEAD"},
                {"Content_Length": "0", "content_length": "0"},
                {"lane": "pay", "method": "GET"},
                {"lane": "pay", "omit": ("Idempotency-Key",)},
                {"lane": "pay", "idempotency_key": "another"},
            ):
                rejected_count += 1
                client = await r.client()
                reply = await client.request(**{"lane": "search", **changes})  # type: ignore[arg-type]
                assert reply.status == 400, changes
            assert not r.backends[0].requests
            assert r.count("requests_bad") + r.count("requests_malformed") == rejected_count

    asyncio.run(run())


def test_invalid_request_delays_the_next_one_of_its_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(deadlines, "PENALTY_S", 0.3)

    async def run() -> None:
        async with rig(respond_ok) as r:
            loop = asyncio.get_running_loop()
            client, other, start = await r.client(), await r.client(), loop.time()
            assert (await client.request("search", remaining="soon")).status == 400
            assert loop.time() - start < 0.2  # the error comes at once
            client.writer.write(request_bytes("search"))
            assert (await other.request("search")).status == 200
            assert (await client.read()).status == 200
            assert loop.time() - start >= 0.3
            assert len(r.backends[0].requests) == 2 and r.count("requests_bad") == 1

    asyncio.run(run())


def test_hop_by_hop_headers_are_not_forwarded() -> None:
    async def run() -> None:
        async with rig(respond_ok) as r:
            headers = {
                "Connection": "X-Mine, X-Txn",
                "X_Mine": "1",
                "Keep_Alive": "5",
                "TE": "trailers",
            }
            assert (await r.request("search", X_Yours="2", **headers)).status == 200
            request = r.backends[0].requests[0]
            for name in (b"X-Mine", b"Keep-Alive", b"TE", b"Connection"):
                assert request.header(name) is None, name
            assert request.header(b"X-Yours") == b"2" and request.header(b"X-Txn")

    asyncio.run(run())


def test_body_over_the_maximum_gets_an_error_and_reaches_no_backend() -> None:
    async def run() -> None:
        async with rig(respond_ok, body_mb=1) as r:
            assert (await r.request("pay", body=b"x" * ((1 << 20) + 1))).status == 413
            assert not r.backends[0].requests
            assert (await r.request("pay", body=b"x" * (64 * 1024))).status == 200

    asyncio.run(run())


def test_malformed_http_ends_only_its_own_connection(caplog: pytest.LogCaptureFixture) -> None:
    async def run() -> None:
        async with rig(respond_ok) as r:
            other, malformed = await r.client(), await r.client()
            assert (await other.request()).status == 200
            malformed.writer.write(b"\x00\x01 nonsense\r\n\r\n")
            assert (await malformed.read()).status == 400
            assert await malformed.closed()
            assert (await other.request()).status == 200
            assert r.count("requests_malformed") == 1

    asyncio.run(run())
    assert not [r for r in caplog.records if r.name.startswith(("aiohttp", "mothstall.frontend"))]


def test_chunked_request_is_forwarded_completely() -> None:
    async def run() -> None:
        async with rig(respond_ok) as r:
            client = await r.client()
            head = request_bytes("pay", omit=("Content-Length",), Transfer_Encoding="chunked")
            client.writer.write(head + b"3\r\nabc\r\n")
            await asyncio.sleep(0.02)
            client.writer.write(b"2\r\nde\r\n0\r\n\r\n")
            assert (await client.read()).status == 200
            assert r.backends[0].requests[0].body == b"abcde"

    asyncio.run(run())


def test_expect_100_continue_is_answered() -> None:
    async def run() -> None:
        async with rig(respond_ok) as r:
            client = await r.client()
            request = request_bytes("pay", body=b"abc", Expect="100-continue")
            client.writer.write(request[:-3])
            assert (await client.reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 100")
            client.writer.write(b"abc")
            assert (await client.read()).status == 200
            assert r.backends[0].requests[0].header(b"Expect") is None

    asyncio.run(run())


def test_request_without_a_backend_is_rejected_at_once_with_retry_after() -> None:
    async def run() -> None:
        async with rig() as r:
            before = asyncio.get_running_loop().time()
            reply = await r.request("search", remaining="900m")
            assert reply.status == 503
            assert 0 < float(reply.headers["retry-after"]) <= 1.2
            assert asyncio.get_running_loop().time() - before < 0.3
            assert r.count("answers_refused") == 1

    asyncio.run(run())


def test_client_that_leaves_cancels_its_attempt() -> None:
    async def run() -> None:
        async def never_answers(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0.3)

        async with rig(never_answers) as r:
            client = await r.client()
            client.writer.write(request_bytes("order"))
            await r.until(lambda: len(r.backends[0].requests) == 1)
            client.close()
            await r.until(lambda: r.count("attempts_cancelled") == 1)
            await r.until(lambda: r.backends[0].closed_count == 1)
            assert r.count("requests_left") == 1
            assert r.count("answers_ok") == r.count("answers_failed") == 0
            r.backends[0].behave = respond_ok
            assert (await r.request("order")).status == 200

    asyncio.run(run())


def test_readiness_and_counters_are_served_on_the_clients_address() -> None:
    async def run() -> None:
        async with rig(respond_ok, listed=False) as r:
            r.discovery.hangs = True
            client = await r.client()
            client.writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            assert (await client.read()).status == 503  # there is no endpoint list yet
            r.discovery.hangs = False
            await r.until(lambda: r.count("list_updates") > 1, 6.0)
            client.writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            assert (await client.read()).status == 200
            client.writer.write(b"GET /counters HTTP/1.1\r\nHost: x\r\n\r\n")
            text = (await client.read()).body.decode()
            assert "requests 0\n" in text and "connections 1\n" in text
            assert not r.backends[0].requests

    asyncio.run(run())
