"""One client that sends small requests at full speed, beside clients that wait for responses."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.net.client_side.test_memory_of_slow_peers import MB, resident_bytes
from tests.net.test_process import ProxyProcess, start_proxy
from tests.peers import StandInBackend, request_bytes, respond_ok

FLOOD_S = 3.0
MAX_WAIT_S = 0.4  # half of the time that the other clients would wait for a response
MAX_GROWTH_BYTES = 8 * MB

_numbers = itertools.count()


def requests_under_new_names(**names: str) -> bytes:
    number = next(_numbers)
    fields: dict[str, Any] = {key: value.replace("*", str(number)) for key, value in names.items()}
    return b"".join(request_bytes("search", X_Txn=f"f{number}-{i}", **fields) for i in range(50))


FLOODS: dict[str, Callable[[], bytes]] = {
    "ready pages": lambda: b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n" * 500,
    "counter pages": lambda: b"GET /counters HTTP/1.1\r\nHost: x\r\n\r\n" * 100,
    "requests": requests_under_new_names,
    "requests of new classes": lambda: requests_under_new_names(X_Lane="lane*"),
    "requests of new tenants": lambda: requests_under_new_names(X_Org="org*"),
    "requests with new fields": lambda: requests_under_new_names(X_New="*"),
    "unsound requests": lambda: b"GET /search HTTP/1.1\r\nHost: x\r\nX-Txn: 1\r\n\r\n" * 50,
    "empty lines": lambda: b"\r\n" * 20_000,
    "chunks of one byte": lambda: (
        request_bytes("order", X_Txn=f"c{next(_numbers)}", Transfer_Encoding="chunked").replace(
            b"Content-Length: 0\r\n", b""
        )
        + b"1\r\nx\r\n" * 3_000
        + b"0\r\n\r\n"
    ),
}


def flood(port: int, make_input: Callable[[], bytes], until_s: float) -> None:
    """Send at full speed, read what comes, and connect again once the connection is closed."""
    while time.monotonic() < until_s:
        with contextlib.suppress(OSError), socket.create_connection(("127.0.0.1", port)) as sock:
            while time.monotonic() < until_s:
                sock.settimeout(0.5)
                sock.sendall(make_input())
                sock.setblocking(False)
                with contextlib.suppress(BlockingIOError):
                    while sock.recv(MB):
                        pass
                    break  # the proxy has closed the connection


@contextlib.contextmanager
def flooding(proxy: ProxyProcess, make_input: Callable[[], bytes]) -> Iterator[float]:
    until_s = time.monotonic() + FLOOD_S
    thread = threading.Thread(target=flood, args=(proxy.port, make_input, until_s))
    thread.start()
    try:
        yield until_s
    finally:
        thread.join()


async def longest_wait_s(proxy: ProxyProcess, until_s: float) -> float:
    """Send a request on a new connection now and then; return the longest wait for a response."""
    longest = 0.0
    while time.monotonic() < until_s:
        began_s = time.monotonic()
        client = await proxy.client()
        reply = await client.request("search")
        longest = max(longest, time.monotonic() - began_s)
        assert reply.status in (200, 503)
        client.close()
        await asyncio.sleep(0.05)
    return longest


@pytest.mark.processes
@pytest.mark.parametrize("name", FLOODS)
def test_a_client_at_full_speed_delays_no_other_and_takes_no_memory(
    name: str, tmp_path: Path
) -> None:
    """Guards against a parser that holds and copies ever more requests of one connection."""

    async def run() -> None:
        backend = StandInBackend(respond_ok)
        await backend.start()
        async with start_proxy(tmp_path, backend) as proxy:
            assert proxy.process.stderr is not None
            logs = asyncio.ensure_future(proxy.process.stderr.read())
            before = resident_bytes(proxy.process.pid)
            with flooding(proxy, FLOODS[name]) as until_s:
                waits = await asyncio.gather(*(longest_wait_s(proxy, until_s) for _ in range(3)))
            growth = resident_bytes(proxy.process.pid) - before
            print(name, round(max(waits), 3), "s", round(growth / MB, 1), "MB")
            assert max(waits) < MAX_WAIT_S
            assert growth < MAX_GROWTH_BYTES
            logs.cancel()
        await backend.stop()

    asyncio.run(run())
