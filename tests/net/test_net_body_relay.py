"""Long bodies: `Stream` alone, and both directions through a proxy, also slow or truncated."""

from __future__ import annotations

import asyncio
import hashlib
import random
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mothstall import interface as io
from mothstall.net.backend_side import connection
from mothstall.net.body_relay import (
    MAX_READ_BYTES,
    NARROW_BUFFERS,
    WIDE_BUFFERS,
    BufferGrants,
    BufferSizes,
    Stream,
    max_streams_for,
)
from mothstall.net.client_side import response_relay
from tests.net.test_process import start_proxy
from tests.peers import (
    Client,
    ReceivedRequest,
    Rig,
    StandInBackend,
    request_bytes,
    respond_ok,
    response_bytes,
    rig,
    until_reusable,
)

MB = 1 << 20


class RecordingPeer:
    """A source and sink that records the calls it receives."""

    def __init__(self) -> None:
        self.paused = self.is_sink_closed = self.is_done = self.is_aborted = False
        self.received = b""
        self.sizes: list[BufferSizes] = []

    def limit_input(self, sizes: BufferSizes) -> None:
        self.sizes.append(sizes)

    def limit_output(self, sizes: BufferSizes) -> None:
        self.sizes.append(sizes)

    def pause(self) -> None:
        self.paused = True

    def resume(self) -> None:
        self.paused = False

    def sink_closed(self) -> None:
        self.is_sink_closed = True

    def write_body(self, data: bytes) -> None:
        self.received += data

    def end_body(self) -> None:
        self.is_done = True

    def abort_body(self) -> None:
        self.is_aborted = True


@given(st.lists(st.integers(1, MAX_READ_BYTES), max_size=30), st.integers(0, 2**32), st.booleans())
@settings(max_examples=80, deadline=None)
def test_any_split_gives_the_same_bytes_and_buffers_at_most_a_window(
    cuts: list[int], seed: int, has_permit: bool
) -> None:
    rng = random.Random(seed)
    source, sink = RecordingPeer(), RecordingPeer()
    grants = BufferGrants(1)
    if not has_permit:
        Stream(RecordingPeer(), grants)
    sizes = WIDE_BUFFERS if has_permit else NARROW_BUFFERS
    cuts = [min(size, sizes.read_bytes) for size in cuts]
    stream = Stream(source, grants)
    expected = b"".join(bytes([i % 251]) * size for i, size in enumerate(cuts))
    at = 0
    waiting = list(cuts)
    while waiting or not stream.is_over:
        step = rng.randrange(4)
        if step == 0 and waiting and not source.paused:
            size = waiting.pop(0)
            stream.feed(expected[at : at + size])
            at += size
        elif step == 0 and not waiting and not stream._ended:
            stream.end()
        elif step == 1 and not stream.is_opened:
            stream.open(sink)
        elif step == 2 and stream.is_opened:
            stream.sink_blocked()
        elif step == 3 and stream.is_opened:
            stream.sink_ready()
    assert (
        sink.received == expected
        and sink.is_done
        and not sink.is_aborted
        and not source.is_sink_closed
    )
    assert stream.is_complete
    assert stream.max_buffered_bytes <= sizes.window_bytes + sizes.read_bytes


class FalsyRecordingPeer(RecordingPeer):
    """Is falsy, as a backend's connection may be: aiohttp's `DataQueue` has a length."""

    def __len__(self) -> int:
        return 0


def test_abort_reaches_a_falsy_sink() -> None:
    """Guards against a backend connection that stays open after a client's upload was truncated.

    The sink of an upload is a connection to a backend, which is falsy while its `DataQueue` is
    empty. `Stream.abort` tested the truth of its sink and left such a connection open; the leak was
    visible only in the process's descriptors.
    """
    source, sink = RecordingPeer(), FalsyRecordingPeer()
    stream = Stream(source, BufferGrants(1))
    stream.open(sink)
    stream.feed(b"abc")
    stream.abort()
    assert sink.is_aborted
    assert not sink.is_done


def test_abort_and_drop_reach_the_other_side_once() -> None:
    grants = BufferGrants(1)
    source, sink = RecordingPeer(), RecordingPeer()
    stream = Stream(source, grants)
    stream.open(sink)
    stream.feed(b"abc")
    stream.abort()
    stream.drop()
    assert sink.is_aborted and not sink.is_done and not source.is_sink_closed
    source, sink = RecordingPeer(), RecordingPeer()
    stream = Stream(source, grants)
    stream.open(sink)
    stream.drop()
    stream.feed(b"late")
    stream.abort()
    assert source.is_sink_closed and not sink.is_aborted and sink.received == b""


def test_streams_without_a_permit_are_relayed_narrowly_and_widened_in_order() -> None:
    """Guards against a body that has begun and waits for other bodies' peers."""
    grants = BufferGrants(2)
    sources = [RecordingPeer() for _ in range(4)]
    streams = [Stream(source, grants) for source in sources]
    assert [s.sizes for s in sources] == [[WIDE_BUFFERS]] * 2 + [[NARROW_BUFFERS]] * 2
    assert not any(s.paused for s in sources)
    sink = RecordingPeer()
    streams[3].open(sink)
    streams[3].feed(b"abc")
    assert sink.received == b"abc" and sink.sizes == [NARROW_BUFFERS]
    streams[2].drop()  # leaves the queue
    streams[0].abort()
    assert sources[2].sizes == [NARROW_BUFFERS]
    assert sources[3].sizes == sink.sizes == [NARROW_BUFFERS, WIDE_BUFFERS]
    per_stream = 2 * (WIDE_BUFFERS.window_bytes + MAX_READ_BYTES)
    assert max_streams_for(80 * MB) * per_stream * 2 <= 20 * MB and max_streams_for(1) >= 1


async def read_long(client: Client, pause_s: float = 0.0) -> tuple[bytes, bytes]:
    """Read head and body of a response by its framing; IncompleteReadError if it is truncated."""
    head = await client.reader.readuntil(b"\r\n\r\n")
    body = bytearray()
    if b"chunked" in head:
        while size := int(await client.reader.readline(), 16):
            body += await client.reader.readexactly(size)
            await client.reader.readexactly(2)
            await asyncio.sleep(pause_s)
        await client.reader.readexactly(2)
        return head, bytes(body)
    left = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
    while left:
        data = await client.reader.read(min(left, 200_000))
        if not data:
            raise asyncio.IncompleteReadError(bytes(body), left)
        body += data
        left -= len(data)
        await asyncio.sleep(pause_s)
    return head, bytes(body)


BODY = random.Random(4).randbytes(3 * MB)
HEAD = b"HTTP/1.1 200 OK\r\n"


def long_response(framing: str) -> bytes:
    if framing == "length":
        return response_bytes(BODY)
    if framing == "close":
        return HEAD + b"Connection: close\r\n\r\n" + BODY
    rows = [HEAD, b"Transfer-Encoding: chunked\r\nTrailer: x-sum\r\n\r\n"]
    at, sizes = 0, random.Random(5)
    while at < len(BODY):
        part = BODY[at : at + sizes.choice((1, 700, 5_000, 90_000))]
        rows.append(b"%x;note=1\r\n%b\r\n" % (len(part), part))
        at += len(part)
    return b"".join([*rows, b"0\r\nx-sum: 1\r\n\r\n"])


@pytest.mark.parametrize("framing", ["length", "chunked", "close"])
@pytest.mark.parametrize("piece", [1_300, 400_000])
def test_long_response_is_forwarded_unchanged_in_any_framing(framing: str, piece: int) -> None:
    async def behave(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        raw = b"HTTP/1.1 103 Early\r\n\r\n" + long_response(framing)
        for at in range(0, len(raw), piece):
            writer.write(raw[at : at + piece])
            await writer.drain()
        if framing == "close":
            writer.close()

    async def run() -> None:
        async with rig(behave, admin_addr="127.0.0.1:0") as r:
            client = await r.client()
            for _ in range(2):  # the connection is reusable
                client.writer.write(request_bytes("search"))
                _, body = await asyncio.wait_for(read_long(client), 10)
                assert body == BODY
                await until_reusable()
            metrics = await r.telemetry()
            assert (metrics["fulfilled.search"], metrics["open_requests"]) == (2, 0)
            if framing == "length":
                assert r.backends[0].opened_count == 1  # the backend connection is reused

    asyncio.run(run())


def peak_memory_kib(pid: int) -> int:
    """Peak resident memory of a process."""
    rows = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(row.split()[1]) for row in rows if row.startswith("VmHWM:"))


def test_slow_readers_get_complete_responses_in_bounded_memory(
    tmp_path: Path,
) -> None:
    size, readers = 32 * MB, 10

    async def behave(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(HEAD + b"Content-Length: %d\r\n\r\n" % size)
        for _ in range(size // 65536):
            writer.write(b"y" * 65536)
            await writer.drain()

    async def run() -> None:
        stand_in = StandInBackend(behave)
        await stand_in.start()
        async with start_proxy(tmp_path, stand_in) as proxy:
            before = peak_memory_kib(proxy.process.pid)

            async def read_slowly() -> None:
                client = await proxy.client()
                status = b"503"
                while status == b"503":  # rejected for lack of capacity: retried
                    client.writer.write(request_bytes("search"))
                    head = await client.reader.readuntil(b"\r\n\r\n")
                    status = head.split()[1]
                    if status == b"503":
                        await client.reader.readexactly(len(b"refused\n"))
                        await asyncio.sleep(0.05)
                left = size
                while left:
                    data = await client.reader.read(min(left, 400_000))
                    assert data, "the response was truncated"
                    left -= len(data)
                    await asyncio.sleep(0.01)
                client.close()

            await asyncio.gather(*(read_slowly() for _ in range(readers)))
            # The responses have 320 MB in total.
            assert peak_memory_kib(proxy.process.pid) - before < 16 * 1024
        await stand_in.stop()

    asyncio.run(run())


@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_response_truncated_by_the_backend_is_truncated_for_the_client_and_counted(
    framing: str,
) -> None:
    async def behave(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        raw = long_response(framing)
        writer.write(raw[: len(raw) // 2])
        await writer.drain()
        writer.transport.abort()

    async def run() -> None:
        async with rig(behave, admin_addr="127.0.0.1:0") as r:
            client = await r.client()
            client.writer.write(request_bytes("search"))
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError, ValueError)):
                await asyncio.wait_for(read_long(client), 5)
            await r.until(lambda: r.count("answers_failed") == 1)
            metrics = await r.telemetry()
            assert (
                metrics["faulted.search"],
                metrics["fulfilled.search"],
                metrics["open_requests"],
            ) == (
                1,
                0,
                0,
            )
            assert r.count("answers_cut") == 1

    asyncio.run(run())


@pytest.mark.parametrize("sent_bytes", [200_000, 330_000, 700_000])
def test_received_part_of_a_truncated_response_reaches_the_client(
    sent_bytes: int,
) -> None:
    async def behave(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(response_bytes(BODY)[:sent_bytes])
        await writer.drain()
        writer.close()

    async def run() -> None:
        async with rig(behave) as r:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.connect(("127.0.0.1", r.proxy.port))
            sock.setblocking(False)
            client = Client(*await asyncio.open_connection(sock=sock, limit=2048))
            client.writer.write(request_bytes("search"))
            # The proxy has seen the truncation, or still relays what precedes it.
            await asyncio.sleep(0.3)
            head = await client.reader.readuntil(b"\r\n\r\n")
            received = b""
            while data := await client.reader.read(20_000):
                received += data
                await asyncio.sleep(0.001)
            body = response_bytes(BODY)[:sent_bytes].partition(b"\r\n\r\n")[2]
            assert received == body and b"Content-Length: %d" % len(BODY) in head

    asyncio.run(run())


def test_client_that_leaves_during_a_response_ends_it_at_the_backend() -> None:
    async def behave(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(HEAD + b"Content-Length: %d\r\n\r\n" % (30 * MB))
        while not writer.is_closing():
            writer.write(b"z" * 65536)
            await writer.drain()

    async def run() -> None:
        async with rig(behave, admin_addr="127.0.0.1:0") as r:
            client = await r.client()
            client.writer.write(request_bytes("search"))
            await client.reader.readexactly(100_000)
            client.writer.transport.abort()
            await r.until(lambda: r.backends[0].closed_count == 1)
            await r.until(lambda: r.count("requests_left") == 1)
            assert (await r.telemetry())["open_requests"] == 0 and r.count("answers_cut") == 0
            assert len(r.proxy._pool.buffer_grants._holders) == 0

    asyncio.run(run())


def test_client_that_stops_reading_is_disconnected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(response_relay, "STALL_S", 0.4)

    async def behave(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(HEAD + b"Content-Length: %d\r\n\r\n" % (30 * MB))
        while not writer.is_closing():
            writer.write(b"z" * 65536)
            await writer.drain()

    async def run() -> None:
        async with rig(behave) as r:
            client = await r.client()
            client.writer.write(request_bytes("search"))
            await r.until(lambda: r.count("connections_overdue") == 1, 5.0)
            await r.until(lambda: r.backends[0].closed_count == 1)

    asyncio.run(run())


class UploadBackend(StandInBackend):
    """A backend that reads long requests by their framing and records a digest of each."""

    def __init__(self) -> None:
        super().__init__(respond_ok)
        self.digests: list[tuple[int, str]] = []
        self.is_stalled = False
        self.work_s = 0.0  # between the last byte of a request and its response
        self.framings: list[bytes] = []

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.framings.append(head)
                while self.is_stalled:
                    await asyncio.sleep(0.05)
                size, digest = 0, hashlib.sha256()
                if b"chunked" in head:
                    while part := int(await reader.readline(), 16):
                        data = await reader.readexactly(part)
                        digest.update(data)
                        size += part
                        await reader.readexactly(2)
                    await reader.readexactly(2)
                else:
                    length = head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0]
                    data = await reader.readexactly(int(length))
                    digest.update(data)
                    size = len(data)
                self.digests.append((size, digest.hexdigest()))
                await asyncio.sleep(self.work_s)
                writer.write(response_bytes(b"swallowed"))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.closed_count += 1
            self.writers.discard(writer)
            writer.close()


@asynccontextmanager
async def rig_with_upload_backend(**changes: Any) -> AsyncIterator[tuple[Rig, UploadBackend]]:
    async with rig(listed=False, admin_addr="127.0.0.1:0", **changes) as r:
        backend = UploadBackend()
        await backend.start()
        r.discovery.publish(backend.row())
        await r.until(lambda: r.proxy._decider.listed_count() == 1)
        try:
            yield r, backend
        finally:
            await backend.stop()


@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_long_request_is_forwarded_unchanged_and_its_deadline_counts_from_its_end(
    framing: str,
) -> None:
    async def run() -> None:
        async with rig_with_upload_backend() as (r, backend):
            client = await r.client()
            if framing == "length":
                head = request_bytes(
                    "order",
                    remaining="400m",
                    omit=("Content-Length",),
                    Content_length=str(len(BODY)),
                )
            else:
                head = request_bytes(
                    "order", remaining="400m", omit=("Content-Length",), Transfer_Encoding="chunked"
                )
            client.writer.write(head)
            # The upload takes longer than the remaining time, which counts from the end of the body.
            for at in range(0, len(BODY), 300_000):
                part = BODY[at : at + 300_000]
                client.writer.write(
                    part if framing == "length" else b"%x\r\n%b\r\n" % (len(part), part)
                )
                await client.writer.drain()
                await asyncio.sleep(0.06)
            if framing == "chunked":
                client.writer.write(b"0\r\n\r\n")
            reply = await client.read()
            assert (reply.status, reply.body) == (200, b"swallowed")
            assert backend.digests == [(len(BODY), hashlib.sha256(BODY).hexdigest())]
            metrics = await r.telemetry()
            assert (metrics["relayed"], metrics["fulfilled.order"], metrics["open_requests"]) == (
                1,
                1,
                0,
            )
            assert (await client.request("order", body=b"short")).status == 200

    asyncio.run(run())


def test_long_request_is_rejected_if_its_backend_stops_reading(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(connection, "STALL_S", 0.4)

    async def run() -> None:
        async with rig_with_upload_backend() as (r, backend):
            backend.is_stalled = True
            client = await r.client()
            size = 32 * MB
            client.writer.write(
                request_bytes("order", omit=("Content-Length",), Content_length=str(size))
            )

            async def send_body() -> None:
                for _ in range(size // 65536):
                    client.writer.write(b"u" * 65536)
                    await client.writer.drain()

            sending = asyncio.create_task(send_body())
            reply = await client.read()
            assert reply.status == 503  # safe to retry: the request was not executed
            await asyncio.wait_for(sending, 5)  # the rest of the body was read and discarded
            metrics = await r.telemetry()
            assert (metrics["relayed"], metrics["throttled.order"], metrics["open_requests"]) == (
                0,
                1,
                0,
            )
            backend.is_stalled = False

    asyncio.run(run())


def test_upload_of_a_client_that_leaves_is_not_retried() -> None:
    async def run() -> None:
        async with rig_with_upload_backend() as (r, backend):
            client = await r.client()
            client.writer.write(
                request_bytes("pay", omit=("Content-Length",), Content_length=str(MB))
                + b"u" * 300_000
            )
            await r.until(lambda: len(backend.framings) == 1)
            client.writer.transport.abort()
            await r.until(lambda: backend.closed_count == 1)
            assert not backend.digests and len(backend.framings) == 1
            assert not r.proxy._decider._pending

    asyncio.run(run())


def test_body_of_64_kib_in_chunks_of_one_byte_is_accepted() -> None:
    async def run() -> None:
        async with rig(respond_ok) as r:
            client = await r.client()
            client.writer.write(
                request_bytes("pay", omit=("Content-Length",), Transfer_Encoding="chunked")
            )
            client.writer.write(b"1\r\nx\r\n" * 65536 + b"0\r\n\r\n")
            assert (await client.read()).status == 200
            assert r.backends[0].requests[0].body == b"x" * 65536

    asyncio.run(run())


def test_attempt_whose_body_is_still_uploading_is_not_in_flight() -> None:
    async def run() -> None:
        async with rig_with_upload_backend() as (r, backend):
            balancer = r.proxy._decider._balancer
            client = await r.client()
            client.writer.write(
                request_bytes("pay", omit=("Content-Length",), Content_length=str(MB))
                + b"u" * 300_000
            )
            await r.until(lambda: len(backend.framings) == 1)
            await r.until(
                lambda: balancer.limits.in_flight == 0 and len(balancer.requests.open) == 1
            )
            client.writer.write(b"u" * (MB - 300_000))
            assert (await client.read()).status == 200
            assert balancer.limits.in_flight == 0 and not balancer.requests.open
            assert all(
                b.in_flight == 0 and b.outlier.failure_score == 0
                for b in balancer.endpoints.by_id.values()
            )
            balancer.handle(
                balancer.context.now_ns,
                [io.ResponseCut(b.id) for b in balancer.endpoints.by_id.values()],
            )
            assert all(b.outlier.failure_score == 1.0 for b in balancer.endpoints.by_id.values())

    asyncio.run(run())
