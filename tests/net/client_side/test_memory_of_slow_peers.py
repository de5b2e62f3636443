"""Memory of a proxy with hundreds of slow or stalled peers, that of its sockets included.

A platform may count what the kernel holds for a process as the process's memory. The figure here is
therefore the whole resident memory and the bytes queued in the proxy's sockets.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from tests.net.test_net_body_relay import UploadBackend
from tests.net.test_process import ProxyProcess, start_proxy
from tests.peers import (
    Behaviour,
    ReceivedRequest,
    StandInBackend,
    request_bytes,
    respond_ok,
    response_bytes,
)

MB = 1 << 20
LIMITS = ({"memory_mb": 192, "sockets": 1024}, {"memory_mb": 96, "sockets": 1024})
HOLD_S = 3.0  # how long the peers stay
SAMPLE_S = 0.05
RETRY_S = 0.05  # after a rejection

Client = Callable[[int, float], Awaitable[None]]  # takes the proxy's port and the time of its end


def resident_bytes(pid: int) -> int:
    text = Path(f"/proc/{pid}/status").read_text(encoding="utf-8")
    return int(text.split("VmRSS:")[1].split()[0]) * 1024


def queued_bytes(pid: int) -> int:
    """Return the bytes that the kernel holds in the TCP connections of a process."""
    inodes = set()
    for name in os.listdir(f"/proc/{pid}/fd"):
        with contextlib.suppress(OSError):
            link = os.readlink(f"/proc/{pid}/fd/{name}")
            inodes.add(link.removeprefix("socket:[").removesuffix("]"))
    total = 0
    for row in Path("/proc/net/tcp").read_text(encoding="ascii").splitlines()[1:]:
        columns = row.split()
        if columns[9] in inodes:
            total += sum(int(part, 16) for part in columns[4].split(":"))
    return total


async def connect_slowly(port: int, receive_bytes: int) -> socket.socket:
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", port))
    return sock


def now_s() -> float:
    return asyncio.get_running_loop().time()


def reader(reads: bool = True, version: bytes = b"HTTP/1.1", pipelined: int = 1) -> Client:
    """Request a response, again while it is rejected; then read it slowly or not at all."""

    async def run(port: int, until_s: float) -> None:
        loop = asyncio.get_running_loop()
        while now_s() < until_s:
            with await connect_slowly(port, 65_536 if reads else 4_096) as sock:
                raw = b"".join(request_bytes("search", remaining="990m") for _ in range(pipelined))
                await loop.sock_sendall(sock, raw.replace(b"HTTP/1.1", version))
                async with asyncio.timeout_at(until_s):
                    start = await loop.sock_recv(sock, 1024)
                    while start.split(b" ")[1:2] == [b"200"]:
                        await asyncio.sleep(0.1)
                        if reads:
                            await loop.sock_recv(sock, 16_384)
            await asyncio.sleep(RETRY_S)

    return run


def stopped_upload(sent_bytes: int, chunk_bytes: int = 0) -> Client:
    """Begin a request of 32 MB, and stop in the middle."""

    async def run(port: int, until_s: float) -> None:
        with await connect_slowly(port, 65_536) as sock:
            head = request_bytes("order", remaining="990m", Content_length=str(32 * MB))
            head = head.replace(b"Content-Length: 0\r\n", b"")
            body = b"u" * sent_bytes
            if chunk_bytes:
                head = head.replace(
                    b"Content-length: %d" % (32 * MB), b"Transfer-Encoding: chunked"
                )
                chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"u" * chunk_bytes)
                body = chunk * (sent_bytes // chunk_bytes)
            async with asyncio.timeout_at(until_s):
                await asyncio.get_running_loop().sock_sendall(sock, head + body)
                await asyncio.sleep(HOLD_S)

    return run


async def short_fields(port: int, until_s: float) -> None:
    """Send a head of very many short fields, slowly and without an end."""
    with await connect_slowly(port, 65_536) as sock:
        async with asyncio.timeout_at(until_s):
            for number in range(10_000):
                field = b"%c%c:\r\n" % (97 + number // 26 % 26, 97 + number % 26)
                start = b"GET /search HTTP/1.1\r\nHost: x\r\n" if not number else b""
                await asyncio.get_running_loop().sock_sendall(sock, start + field * 10)
                await asyncio.sleep(0.01)


def respond_long(framing: str) -> Behaviour:
    """Respond with 32 MB."""

    async def behave(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        part = b"z" * 65_536
        if framing == "chunked":
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            part = b"%x\r\n%b\r\n" % (len(part), part)
        else:
            length = b"Content-Length: %d\r\n" % (32 * MB) if framing == "length" else b""
            writer.write(b"HTTP/1.1 200 OK\r\n%b\r\n" % length)
        with contextlib.suppress(ConnectionError):
            for _ in range(32 * MB // 65_536):
                writer.write(part)
                await writer.drain()
        writer.close()

    return behave


async def respond_64_kb(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(response_bytes(b"z" * 64_000))


def hung_backend() -> StandInBackend:
    """A backend that reads no body."""
    backend = UploadBackend()
    backend.is_stalled = True
    return backend


# Name, the backend, and the clients with their numbers.
PICTURES: dict[str, tuple[Callable[[], StandInBackend], list[tuple[Client, int]]]] = {
    "stopped uploads, hung backend": (hung_backend, [(stopped_upload(8 * MB), 280)]),
    "stopped uploads in chunks": (hung_backend, [(stopped_upload(2 * MB, 1000), 280)]),
    "stopped uploads of 1 MB": (UploadBackend, [(stopped_upload(MB), 650)]),
    "slow readers, length": (lambda: StandInBackend(respond_long("length")), [(reader(), 500)]),
    "slow readers, chunked": (lambda: StandInBackend(respond_long("chunked")), [(reader(), 500)]),
    "slow readers, until close": (
        lambda: StandInBackend(respond_long("until close")),
        [(reader(version=b"HTTP/1.0"), 500)],
    ),
    "no readers of short responses": (
        lambda: StandInBackend(respond_64_kb),
        [(reader(reads=False, pipelined=40), 650)],
    ),
    "short fields": (lambda: StandInBackend(respond_ok), [(short_fields, 650)]),
    "all together": (
        lambda: StandInBackend(respond_long("chunked")),
        [(short_fields, 150), (stopped_upload(4 * MB), 200), (reader(), 300)],
    ),
}


async def watch_memory(proxy: ProxyProcess, stop: asyncio.Event) -> float:
    """Return the most that the process and its sockets held until `stop` is set, in MB."""
    peak = 0
    while not stop.is_set():
        pid = proxy.process.pid
        peak = max(peak, resident_bytes(pid) + queued_bytes(pid))
        await asyncio.sleep(SAMPLE_S)
    return peak / MB


@pytest.mark.processes
@pytest.mark.parametrize("limits", LIMITS, ids=["192 MB", "96 MB"])
@pytest.mark.parametrize("picture", PICTURES)
def test_slow_peers_stay_within_the_memory_limit(
    picture: str, limits: dict[str, int], tmp_path: Path
) -> None:
    """Guards against megabytes of socket buffers for each of hundreds of stalled peers."""
    make_backend, clients = PICTURES[picture]

    async def run() -> float:
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)  # resets of peers
        backend = make_backend()
        await backend.start()
        async with start_proxy(tmp_path, backend, limits=limits) as proxy:
            assert proxy.process.stderr is not None
            logs = asyncio.ensure_future(proxy.process.stderr.read())
            stop = asyncio.Event()
            watch = asyncio.ensure_future(watch_memory(proxy, stop))
            until_s = now_s() + HOLD_S
            tasks = []
            for client, count in clients:
                for number in range(count):
                    tasks.append(asyncio.ensure_future(client(proxy.port, until_s)))
                    if number % 20 == 0:
                        await asyncio.sleep(0.01)
            await asyncio.gather(*tasks, return_exceptions=True)
            stop.set()
            peak_mb = await watch
            assert proxy.process.returncode is None
            logs.cancel()
        await backend.stop()
        return peak_mb

    peak_mb = asyncio.run(asyncio.wait_for(run(), 60))
    print(picture, limits["memory_mb"], round(peak_mb))
    assert peak_mb < limits["memory_mb"]
