"""A drained proxy with requests whose long bodies come slowly."""

from __future__ import annotations

import asyncio
import sys
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
    call,
    free_port,
    has_trouble,
    proxy_config,
    read_body,
    read_head,
    request_bytes,
    run_case,
    wait_ready,
)

CLIENTS = 4
BODY_BYTES = 215_000
PIECE_BYTES = 6_400
PIECE_S = 0.1  # 64 kB a second
WORK_S = 1.4  # of a filing at a slow server; its client waits 2.5 s
BEFORE_CALL_S = 0.4  # the bodies begin so long before the proxy is drained
DRAINED_S = 4.0 + 0.05  # the page's limit, and the slack on sockets
ANSWERED_S = 2.5 + 0.05  # what a client waits, and the slack; judged without a drain
RECENT_S = 2.0  # a request is from the last 2 s


async def serve(arrival: Arrival, writer: asyncio.StreamWriter) -> None:
    """Answer after the work."""
    await asyncio.sleep(WORK_S)
    writer.write(answer(200, arrival.ident.encode()))
    await writer.drain()


async def upload(port: int, ident: str, record: Record) -> tuple[float, float, str]:
    """Send a request slowly; return when its last byte was written, when it ended, and how."""
    raw = request_bytes(ident, "intent", 2500, key=f"key-{ident}", body=bytes(BODY_BYTES))
    reader, writer = await asyncio.open_connection(HOST, port)

    async def receive() -> tuple[float, str]:
        head = await read_head(reader)
        if head is None:
            return record.now_s, "the connection's end"
        await read_body(reader, head[1])
        return record.now_s, head[0]

    receiving = asyncio.create_task(receive())
    record.add(f"{ident}: its first byte is sent")
    written_s = 0.0
    try:
        for start in range(0, len(raw), PIECE_BYTES):
            writer.write(raw[start : start + PIECE_BYTES])
            await writer.drain()
            if receiving.done():
                break
            if start + PIECE_BYTES < len(raw):
                await asyncio.sleep(PIECE_S)
        else:
            written_s = record.now_s
    except ConnectionError:
        pass
    async with asyncio.timeout(20.0):
        ended_s, how = await receiving
    writer.close()
    record.add(f"{ident}: last byte written at {written_s:.3f}, ended at {ended_s:.3f} by {how}")
    return written_s, ended_s, how


async def play(record: Record, processes: Processes) -> list[str]:
    """Drain the proxy while the bodies come; return the requests that it holds too long."""
    discovery = Discovery(record)
    await discovery.start()
    for number in range(3):
        backend = Backend(f"b{number}", record, serve)
        await backend.start()
        discovery.put(backend.name, backend.port)
    port, admin = free_port(), free_port()
    config = proxy_config(port, discovery.port, known=discovery.listing())
    config["admin_addr"] = f"{HOST}:{admin}"
    path = processes.write_json("config.json", config)
    await processes.start("n1", env={"LB_CONFIG": str(path)})
    await wait_ready(port)
    await asyncio.sleep(1.0)
    uploads = [asyncio.create_task(upload(port, f"u{n}", record)) for n in range(CLIENTS)]
    await asyncio.sleep(BEFORE_CALL_S)
    called_s = record.now_s
    if has_trouble():
        raw = b"POST /api/evacuate HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
        status = (await call(admin, raw)).status
        called_s = record.now_s
        record.add(f"POST /api/evacuate: {status}")
        if status != 200:
            raise CaseError("the proxy was not drained")
    broken = []
    for number, (written_s, ended_s, how) in enumerate(await asyncio.gather(*uploads)):
        written_after_s, ended_after_s = written_s - called_s, ended_s - called_s
        if not has_trouble() and (" 200 " not in how or ended_s - written_s > ANSWERED_S):
            broken.append(f"u{number}: not served in its time: {how}")
        is_recent = DRAINED_S - RECENT_S < written_after_s < DRAINED_S
        if has_trouble() and is_recent and ended_after_s > DRAINED_S:
            broken.append(
                f"u{number}: its last byte came {written_after_s:.2f} s after the call, "
                f"and the proxy held it until {ended_after_s:.2f} s after the call"
            )
    return broken


if __name__ == "__main__":
    sys.exit(run_case(Path(sys.argv[1]), play))  # the file record.txt of this case
