"""A sound backend as a process of its own: reads whole requests and answers each with 200.

Usage: backend.py PORT NAME RUN_FILE WORK_MS. The answer's body names the request by its `X-Txn`.
The path `/CLASS/long?bytes=N` gets an answer of N bytes.
"""

from __future__ import annotations

import asyncio
import contextlib
import sys
import time
from pathlib import Path

from standins.common import CONNECTION_ENDED, HOST, read_body, read_head

BACKLOG = 512


class Backend:
    """One backend; each request that it runs becomes a line of the file."""

    def __init__(self, name: str, path: Path, work_s: float) -> None:
        self._name = name
        self._file = path.open("a", encoding="utf-8")
        self._work_s = work_s

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests of one connection in turn."""
        with contextlib.suppress(*CONNECTION_ENDED):
            while True:
                message = await read_head(reader)
                ident = message.headers.get("x-txn", "")
                self._note(f"head {ident}")
                await read_body(reader, message)
                self._note(f"runs {ident} body={len(message.body)}")
                await asyncio.sleep(self._work_s)
                _, _, size = message.start.split(" ")[1].partition("?bytes=")
                body = f"answer to {ident}\n".encode().ljust(int(size or "0"), b".")
                head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                await writer.drain()
        writer.close()

    def _note(self, text: str) -> None:
        self._file.write(f"{time.monotonic():.3f} {self._name} {text}\n")
        self._file.flush()


async def main(port: int, name: str, path: Path, work_s: float) -> None:
    """Serve until the process is ended."""
    backend = Backend(name, path, work_s)
    server = await asyncio.start_server(backend.serve, HOST, port, backlog=BACKLOG, limit=2**20)
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), sys.argv[2], Path(sys.argv[3]), int(sys.argv[4]) / 1000))
