"""Long request bodies that come slowly while the proxy is drained."""

from __future__ import annotations

import asyncio

import pytest

from mothstall.net import lifecycle
from tests.net.test_net_body_relay import rig_with_upload_backend
from tests.peers import Client, Reply, never_respond, request_bytes, rig

IDLE_DRAIN_S = 0.5
DRAIN_DEADLINE_S = 1.2
LATE_S = 0.25  # a sweep of all connections, and a slow machine
FIRST_BYTES = 70_000  # so many that the request is forwarded before the rest of it comes
PIECE_BYTES = 4_000
PIECES = 20
BODY_BYTES = FIRST_BYTES + PIECES * PIECE_BYTES


@pytest.fixture(autouse=True)
def short_drain(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(lifecycle, "IDLE_DRAIN_S", IDLE_DRAIN_S)
    monkeypatch.setattr(lifecycle, "DRAIN_DEADLINE_S", DRAIN_DEADLINE_S)


class Upload:
    """A client that writes a long request over a time, and reads its response.

    Attributes:
        written_s: Loop time at which the last byte was written; 0 until then.
        ended_s: Loop time at which the response was read.
    """

    def __init__(self, client: Client) -> None:
        self.client = client
        self.written_s = 0.0
        self.ended_s = 0.0

    async def run(self, over_s: float, is_chunked: bool) -> Reply:
        """Write the first bytes at once, the rest evenly over `over_s`, and read the response."""
        loop = asyncio.get_running_loop()
        reading = asyncio.create_task(self.client.read(10.0))
        reading.add_done_callback(lambda _: setattr(self, "ended_s", loop.time()))
        head = request_bytes("order", remaining="1500m", Content_length=str(BODY_BYTES))
        if is_chunked:
            head = head.replace(b"Content-length: %d" % BODY_BYTES, b"Transfer-Encoding: chunked")
        self.client.writer.write(head.replace(b"Content-Length: 0\r\n", b""))
        for number, size in enumerate([FIRST_BYTES] + [PIECE_BYTES] * PIECES):
            if reading.done():
                return await reading
            piece = b"u" * size
            self.client.writer.write(b"%x\r\n%b\r\n" % (size, piece) if is_chunked else piece)
            if number < PIECES:
                await asyncio.sleep(over_s / PIECES)
        if is_chunked:
            self.client.writer.write(b"0\r\n\r\n")
        self.written_s = loop.time()
        return await reading


@pytest.mark.parametrize("is_chunked", [False, True])
@pytest.mark.parametrize("over_s", [0.6, 0.75])
def test_an_upload_that_is_complete_late_in_a_drain_is_answered_by_its_end(
    over_s: float, is_chunked: bool
) -> None:
    """Guards against a request held past a drain: its limit was read once, at its first bytes."""

    async def run() -> None:
        async with rig_with_upload_backend() as (r, backend):
            backend.work_s = 5.0
            upload = Upload(await r.client())
            ending = asyncio.create_task(upload.run(over_s, is_chunked))
            await r.until(lambda: r.count("attempts") == 1)
            began_s = r.proxy.loop.time()
            await r.admin_call("/api/evacuate")
            reply = await ending
            assert upload.written_s > began_s + IDLE_DRAIN_S
            assert reply.status in (502, 503, 504)
            assert upload.ended_s < began_s + DRAIN_DEADLINE_S + LATE_S

    asyncio.run(run())


@pytest.mark.parametrize("is_chunked", [False, True])
def test_an_upload_that_is_incomplete_at_the_end_of_a_drain_is_rejected(is_chunked: bool) -> None:
    """Guards against a connection that is held as long as its client goes on writing."""

    async def run() -> None:
        async with rig_with_upload_backend() as (r, backend):
            upload = Upload(await r.client())
            ending = asyncio.create_task(upload.run(4.0, is_chunked))
            await r.until(lambda: r.count("attempts") == 1)
            began_s = r.proxy.loop.time()
            await r.admin_call("/api/evacuate")
            reply = await ending
            assert reply.status == 503  # no backend can have executed it
            assert upload.ended_s < began_s + DRAIN_DEADLINE_S + LATE_S
            assert not backend.digests

    asyncio.run(run())


def test_an_upload_that_is_complete_early_in_a_drain_keeps_its_deadline() -> None:
    async def run() -> None:
        async with rig_with_upload_backend() as (r, backend):
            backend.work_s = 1.3
            upload = Upload(await r.client())
            ending = asyncio.create_task(upload.run(0.2, is_chunked=False))
            await r.until(lambda: r.count("attempts") == 1)
            began_s = r.proxy.loop.time()
            await r.admin_call("/api/evacuate")
            assert (await ending).status == 200
            assert upload.written_s < began_s + IDLE_DRAIN_S
            assert upload.ended_s > began_s + DRAIN_DEADLINE_S

    asyncio.run(run())


def test_a_rejoin_lifts_the_limit_of_an_open_upload() -> None:
    async def run() -> None:
        async with rig_with_upload_backend() as (r, _):
            upload = Upload(await r.client())
            ending = asyncio.create_task(upload.run(1.4, is_chunked=False))
            await r.until(lambda: r.count("attempts") == 1)
            await r.admin_call("/api/evacuate")
            await asyncio.sleep(IDLE_DRAIN_S)
            await r.admin_call("/api/rejoin")
            assert (await ending).status == 200

    asyncio.run(run())


def test_a_response_ahead_of_its_requests_end_does_not_hold_the_connection_past_a_drain() -> None:
    """Guards against a drain that waits for the rest of a body that nobody needs."""

    async def run() -> None:
        async with rig(never_respond, admin_addr="127.0.0.1:0") as r:
            client = await r.client()
            client.writer.write(
                request_bytes(
                    "order",
                    remaining="300m",
                    omit=("Content-Length",),
                    Content_length=str(BODY_BYTES),
                )
            )
            client.writer.write(b"u" * FIRST_BYTES)
            await r.until(lambda: r.count("attempts") == 1)
            await r.admin_call("/api/evacuate")

            async def write_on() -> None:
                for _ in range(60):
                    client.writer.write(b"u" * 1000)
                    await asyncio.sleep(0.05)

            writing = asyncio.create_task(write_on())
            reply = await client.read()
            assert reply.status in (502, 503, 504)
            assert await client.closed(DRAIN_DEADLINE_S + LATE_S)
            writing.cancel()

    asyncio.run(run())
