"""More long answers at once than the proxy has permits for, to clients that read slowly."""

from __future__ import annotations

import asyncio
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins2 import (
    HOST,
    Arrival,
    Backend,
    CaseError,
    Discovery,
    Processes,
    Record,
    answer,
    free_port,
    has_trouble,
    proxy_config,
    request_bytes,
    run_case,
    wait_ready,
)

ANSWER_BYTES = 1_750_000
SLOW_CLIENTS = 130  # their answers add up to 227 MB, more than the proxy's 192 MB
FAST_CLIENTS = 5
READ_BYTES = 16 * 1024
PAUSE_S = 0.1  # between two reads of a slow client: 160 kB a second, some 10 s an answer
HELD_BACK_S = 2.0 + 0.05  # the page's limit, and its slack on sockets


def body_for(ident: str) -> bytes:
    """Return the one right answer to a request."""
    return (f"{ident} ".encode() * (ANSWER_BYTES // (len(ident) + 1) + 1))[:ANSWER_BYTES]


async def serve(arrival: Arrival, writer: asyncio.StreamWriter) -> None:
    """Answer at once, with all that there is."""
    writer.write(answer(200, body_for(arrival.ident)))
    await writer.drain()


async def read_answer(port: int, ident: str, pause_s: float, record: Record) -> str:
    """Ask for a document; return how the answer broke the rule, or an empty string."""
    loop = asyncio.get_running_loop()
    with socket.socket() as sock:
        if pause_s:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * READ_BYTES)
        sock.setblocking(False)
        await loop.sock_connect(sock, (HOST, port))
        await loop.sock_sendall(sock, request_bytes(ident, "documents", 750))
        record.add(f"{ident} is sent")
        received = bytearray()
        longest_s = 0.0
        wanted = None
        while wanted is None or len(received) < wanted:
            began = time.monotonic()
            try:
                async with asyncio.timeout(30.0):
                    data = await loop.sock_recv(sock, READ_BYTES)
            except (TimeoutError, ConnectionError):
                data = b""
            if received:
                longest_s = max(longest_s, time.monotonic() - began)
            if not data:
                break
            received += data
            end = received.find(b"\r\n\r\n")
            if wanted is None and end >= 0:
                wanted = end + 4 + ANSWER_BYTES
            if pause_s:
                await asyncio.sleep(pause_s)
    head, _, body = bytes(received).partition(b"\r\n\r\n")
    line = head.partition(b"\r\n")[0].decode("latin-1")
    record.add(f"{ident} got {line}, {len(body)} bytes; it waited {longest_s:.2f} s for a part")
    if not line.startswith("HTTP/1.1 200"):
        return ""  # refused or failed: a final answer
    if longest_s >= HELD_BACK_S:
        return f"{ident}: the rest of its answer was held back for {longest_s:.2f} s"
    return "" if body == body_for(ident) else f"{ident}: its answer is not whole"


async def play(record: Record, processes: Processes) -> list[str]:
    """Let many clients read slowly, then some at full speed."""
    discovery = Discovery(record)
    await discovery.start()
    for number in range(3):
        backend = Backend(f"b{number}", record, serve)
        await backend.start()
        discovery.put(backend.name, backend.port)
    port = free_port()
    config = proxy_config(port, discovery.port, known=discovery.listing())
    path = processes.write_json("config.json", config)
    proxy = await processes.start("n1", env={"LB_CONFIG": str(path)})
    await wait_ready(port)
    await asyncio.sleep(1.0)
    pause_s = PAUSE_S if has_trouble() else 0.0
    tasks = []
    for number in range(SLOW_CLIENTS):
        tasks.append(asyncio.create_task(read_answer(port, f"slow{number}", pause_s, record)))
        await asyncio.sleep(0.015)
    await asyncio.sleep(0.5)
    fast = [read_answer(port, f"fast{number}", 0.0, record) for number in range(FAST_CLIENTS)]
    broken = [line for line in await asyncio.gather(*fast) if line]
    broken += [line for line in await asyncio.gather(*tasks) if line]
    if proxy.returncode is not None:
        raise CaseError("the proxy has ended")
    return broken


if __name__ == "__main__":
    sys.exit(run_case(Path(sys.argv[1]), play))  # the file record.txt of this case
