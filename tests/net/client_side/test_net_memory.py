"""Memory that clients can make the proxy hold before their requests are judged.

The proxy runs as a process of its own, with the memory limit that the platform enforces on scored
days; the limit counts the process's own memory (RssAnon).
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from tests.net.test_process import ProxyProcess, start_proxy
from tests.peers import StandInBackend, never_respond, request_bytes, respond_ok

# Limits of scored days: the largest, and the smallest memory of the days at close range.
LIMITS = ({"memory_mb": 192, "sockets": 1024}, {"memory_mb": 80, "sockets": 640})
SAMPLE_S = 0.01  # between two readings of the process's memory
HOLD_S = 2.0  # how long bad clients stay; within 3 s they are owed an error or a close
LINE = b"X-Pad-%03d: " + b"v" * 8000 + b"\r\n"  # below the parser's limit for one line

SendInput = Callable[[asyncio.StreamWriter, int], Awaitable[None]]


def own_memory_mb(pid: int) -> float:
    """Return the memory of a process that it shares with no file."""
    text = Path(f"/proc/{pid}/status").read_text(encoding="utf-8")
    return int(text.split("RssAnon:")[1].split()[0]) / 1024


def lines(count: int) -> bytes:
    return b"".join(LINE % number for number in range(count))


async def endless_head(writer: asyncio.StreamWriter, number: int) -> None:
    writer.write(b"GET /search HTTP/1.1\r\nHost: x\r\n" + lines(126))
    await writer.drain()


async def half_a_head_of_many_fields(writer: asyncio.StreamWriter, number: int) -> None:
    fields = b"".join(b"%c%c:v\r\n" % (97 + i // 26, 97 + i % 26) for i in range(120))
    writer.write(b"GET /search HTTP/1.1\r\nHost: x\r\n" + fields + lines(6))
    await writer.drain()


async def endless_trailers(writer: asyncio.StreamWriter, number: int) -> None:
    head = request_bytes("order", X_Txn=f"t{number}", remaining="990m").partition(b"\r\n\r\n")[0]
    head = b"\r\n".join(r for r in head.split(b"\r\n") if not r.startswith(b"Content-Length"))
    writer.write(head + b"\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n" + lines(120))
    await writer.drain()


async def pipelined_heads(writer: asyncio.StreamWriter, number: int) -> None:
    """Send a request that its backend leaves unanswered, and heads of many fields behind it."""
    fields = b"".join(b"%c%c:v\r\n" % (97 + i // 26, 97 + i % 26) for i in range(120))
    writer.write(
        request_bytes("search", X_Txn=f"p{number}", remaining="990m")
        + (b"GET /search HTTP/1.1\r\nHost: x\r\n" + fields + b"\r\n") * 60
    )
    await writer.drain()


async def unfinished_body(writer: asyncio.StreamWriter, number: int) -> None:
    request = request_bytes("order", X_Txn=f"b{number}", remaining="990m", body=b"x" * 65_000)
    writer.write(request[:-100])
    await writer.drain()


async def unread_upload(writer: asyncio.StreamWriter, number: int) -> None:
    """Begin a long body; there are more of them than are relayed at once."""
    request = request_bytes("order", X_Txn=f"u{number}", remaining="990m", body=b"x" * 200_000)
    writer.write(request[:-100])
    await writer.drain()


async def send_and_stay(proxy: ProxyProcess, send_input: SendInput, number: int) -> None:
    """Send bad input at full speed, and read what comes back until the proxy closes."""
    with contextlib.suppress(OSError):
        reader, writer = await asyncio.open_connection("127.0.0.1", proxy.port)
        sender = asyncio.ensure_future(send_input(writer, number))
        with contextlib.suppress(TimeoutError, OSError):
            async with asyncio.timeout(HOLD_S):
                while await reader.read(4096):
                    pass
        sender.cancel()
        with contextlib.suppress(asyncio.CancelledError, OSError):
            await sender
        writer.transport.abort()


async def watch_memory(proxy: ProxyProcess, stop: asyncio.Event) -> float:
    """Return the most that the process held until `stop` is set."""
    peak_mb = 0.0
    while not stop.is_set():
        peak_mb = max(peak_mb, own_memory_mb(proxy.process.pid))
        await asyncio.sleep(SAMPLE_S)
    return peak_mb


@pytest.mark.processes
@pytest.mark.parametrize("limits", LIMITS, ids=["192 MB", "80 MB"])
@pytest.mark.parametrize(
    ("send_input", "count"),
    [
        (endless_head, 120),
        (half_a_head_of_many_fields, 600),
        (endless_trailers, 120),
        (pipelined_heads, 600),
        (unfinished_body, 600),
        (unread_upload, 600),
    ],
)
def test_input_before_a_request_is_judged_stays_within_the_memory_limit(
    tmp_path: Path, send_input: SendInput, count: int, limits: dict[str, int]
) -> None:
    """Guards against a proxy killed for memory that clients filled with unjudged input."""

    async def run() -> float:
        stand_in = StandInBackend(never_respond if send_input is pipelined_heads else respond_ok)
        await stand_in.start()
        async with start_proxy(tmp_path, stand_in, limits=limits) as proxy:
            stderr = proxy.process.stderr
            assert stderr is not None
            logs = asyncio.ensure_future(stderr.read())  # a full pipe would block the proxy
            stop = asyncio.Event()
            watch = asyncio.ensure_future(watch_memory(proxy, stop))
            async with asyncio.TaskGroup() as clients:
                for number in range(count):
                    clients.create_task(send_and_stay(proxy, send_input, number))
            stop.set()
            peak_mb = await watch
            stand_in.behave = respond_ok
            reply = await (await proxy.client()).request()
            assert reply.status == 200
            logs.cancel()
        await stand_in.stop()
        return peak_mb

    peak_mb = asyncio.run(asyncio.wait_for(run(), 30))
    print(send_input.__name__, round(peak_mb))
    assert peak_mb < limits["memory_mb"]
