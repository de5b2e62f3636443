"""A planned restart while servers are still giving long answers."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins2 import (
    HOST,
    Arrival,
    Backend,
    Discovery,
    Processes,
    Record,
    free_port,
    has_trouble,
    proxy_config,
    read_head,
    request_bytes,
    run_case,
    wait_ready,
)

CLIENTS = 6
PIECES = 35
PIECE_BYTES = 60_000  # 2.1 MB in all
PIECE_S = 0.1  # a server gives its answer in 3.4 s
BEFORE_RESTART_S = 0.32
# Earliest SIGKILL after SIGTERM: the longest deadline and 0.7 s. The case sends none.
EARLIEST_KILL_S = 2.5 + 0.7


class Server:
    """Answers of one backend, in pieces at fixed times."""

    def __init__(self, record: Record) -> None:
        self.record = record

    async def serve(self, arrival: Arrival, writer: asyncio.StreamWriter) -> None:
        """Give the pieces of a document, each when it is due."""
        began_s = self.record.now_s
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {PIECES * PIECE_BYTES}\r\n\r\n"
        writer.write(head.encode())
        for number in range(PIECES):
            await asyncio.sleep(max(0.0, began_s + number * PIECE_S - self.record.now_s))
            writer.write(piece(arrival.ident, number))
            await writer.drain()
        self.record.add(f"{arrival.ident}: the server has given all")


def piece(ident: str, number: int) -> bytes:
    """Return one piece of the right answer to a request."""
    text = f"{ident} {number} ".encode()
    return (text * (PIECE_BYTES // len(text) + 1))[:PIECE_BYTES]


async def fetch(port: int, ident: str, record: Record) -> tuple[float, bool]:
    """Ask for a document, and read it at full speed; return when it ended, and whether it is whole.

    An answer that is refused or failed counts as whole.
    """
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(request_bytes(ident, "documents", 750))
    record.add(f"{ident} is sent")
    body = b""
    status = ""
    try:
        async with asyncio.timeout(20.0):
            head = await read_head(reader)
            if head is not None:
                status = head[0]
                body = await reader.readexactly(int(head[1]["content-length"]))
    except asyncio.IncompleteReadError as error:
        body = error.partial
    except (ConnectionError, TimeoutError) as error:
        record.add(f"{ident}: {type(error).__name__}")
    writer.close()
    record.add(f"{ident} got {status}, {len(body)} of {PIECES * PIECE_BYTES} bytes")
    is_right = body == b"".join(piece(ident, number) for number in range(PIECES))
    return record.now_s, is_right or (bool(status) and " 200 " not in status)


async def play(record: Record, processes: Processes) -> list[str]:
    """Restart the proxy in the middle of the answers; return those that it cut off."""
    discovery = Discovery(record)
    await discovery.start()
    for number in range(3):
        backend = Backend(f"b{number}", record, Server(record).serve)
        await backend.start()
        discovery.put(backend.name, backend.port)
    port = free_port()
    config = proxy_config(port, discovery.port, known=discovery.listing())
    path = processes.write_json("config.json", config)
    proxy = await processes.start("n1", env={"LB_CONFIG": str(path)})
    await wait_ready(port)
    await asyncio.sleep(1.0)
    began_s = record.now_s
    fetching = asyncio.gather(*(fetch(port, f"d{number}", record) for number in range(CLIENTS)))
    await asyncio.sleep(BEFORE_RESTART_S)
    stopped_s = record.now_s
    if has_trouble():
        record.add("planned restart: SIGTERM; no SIGKILL follows")
        proxy.terminate()
    broken = []
    for number, (ended_s, is_whole) in enumerate(await fetching):
        if not is_whole:
            broken.append(f"d{number}: cut off {ended_s - stopped_s:.2f} s after SIGTERM")
    if has_trouble():
        await proxy.wait()
        ended_s = record.now_s - stopped_s
        record.add(f"the proxy has ended with {proxy.returncode}, {ended_s:.2f} s after SIGTERM")
    due_s = began_s + (PIECES - 1) * PIECE_S - stopped_s
    record.add(f"the answers would have been given {due_s:.2f} s after SIGTERM")
    return broken if due_s < EARLIEST_KILL_S else []


if __name__ == "__main__":
    sys.exit(run_case(Path(sys.argv[1]), play))  # the file record.txt of this case
