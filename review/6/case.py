"""Spoilt answers of backends: a chunk's length that does not fit, a head that cannot be read."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins2 import (
    Arrival,
    Backend,
    Discovery,
    Processes,
    Record,
    free_port,
    has_trouble,
    load,
    proxy_config,
    run_case,
    wait_ready,
)

REQUESTS = 200
SPOILT_EVERY = 5  # one answer in so many is spoilt, in turns of the two kinds


def body_for(ident: str) -> bytes:
    """Return the one right answer to a request: a text of two parts."""
    return f"notice {ident}, first part\r\n\r\nnotice {ident}, second part".encode()


class Server:
    """Answers of one backend."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.answers = 0

    async def serve(self, arrival: Arrival, writer: asyncio.StreamWriter) -> None:
        """Answer in one chunk; with trouble, spoil some answers."""
        await asyncio.sleep(0.01)
        body = body_for(arrival.ident)
        self.answers += 1
        is_spoilt = has_trouble() and self.answers % SPOILT_EVERY == 0
        has_bad_head = is_spoilt and self.answers % (2 * SPOILT_EVERY) == 0
        if has_bad_head:
            self.record.add(f"{arrival.ident}: spoilt, lines of the head end in LF, no length")
            writer.write(b"HTTP/1.1 200 OK\nContent-Type: text/plain\n\n" + body)
            await writer.drain()
            writer.close()
            return
        if is_spoilt:
            self.record.add(f"{arrival.ident}: spoilt, the chunk's length is one too many")
        size = len(body) + is_spoilt
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(head + b"%x\r\n%s\r\n0\r\n\r\n" % (size, body))
        await writer.drain()


async def play(record: Record, processes: Processes) -> list[str]:
    """Send requests; return the answers that no backend made."""
    discovery = Discovery(record)
    await discovery.start()
    for number in range(3):
        backend = Backend(f"b{number}", record, Server(record).serve)
        await backend.start()
        discovery.put(backend.name, backend.port)
    port = free_port()
    config = proxy_config(port, discovery.port, known=discovery.listing())
    path = processes.write_json("config.json", config)
    await processes.start("n1", env={"LB_CONFIG": str(path)})
    await wait_ready(port)
    await asyncio.sleep(1.0)
    broken = []
    counts: dict[int, int] = {}
    for number, reply in enumerate(await load(port, "r", REQUESTS, record)):
        counts[reply.status] = counts.get(reply.status, 0) + 1
        if reply.status == 200 and reply.body != body_for(f"r{number}"):
            broken.append(f"r{number}: served with {reply.body!r}, which no backend made")
    record.add(f"answers to clients by status: {counts}")
    return broken


if __name__ == "__main__":
    sys.exit(run_case(Path(sys.argv[1]), play))  # the file record.txt of this case
