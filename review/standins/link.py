"""A link between two sites: passes on the bytes of each connection after the same delay."""

from __future__ import annotations

import asyncio
import contextlib

from standins.common import CONNECTION_ENDED, HOST

READ_BYTES = 64 * 1024


class Link:
    """Listens on a port of its own, and connects each caller to one port behind it.

    Attributes:
        port: The port that it listens on.
    """

    def __init__(self, target: int, one_way_s: float) -> None:
        """Pass bytes on to the port `target`, `one_way_s` later, and back."""
        self.port = 0
        self._target = target
        self._one_way_s = one_way_s
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a port that the system assigns."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(*CONNECTION_ENDED):
            far_reader, far_writer = await asyncio.open_connection(HOST, self._target)
            await asyncio.gather(self._pass(reader, far_writer), self._pass(far_reader, writer))

    async def _pass(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Pass on what one side sends, and its end, in order and each after the delay."""
        loop = asyncio.get_running_loop()
        on_the_way: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()
        delivery = loop.create_task(_deliver(on_the_way, writer))
        data = b"-"
        while data:
            try:
                data = await reader.read(READ_BYTES)
            except OSError:
                data = b""
            on_the_way.put_nowait((loop.time() + self._one_way_s, data))
        await delivery


async def _deliver(
    on_the_way: asyncio.Queue[tuple[float, bytes]], writer: asyncio.StreamWriter
) -> None:
    loop = asyncio.get_running_loop()
    while True:
        due_s, data = await on_the_way.get()
        await asyncio.sleep(max(0.0, due_s - loop.time()))
        if not data:
            writer.close()
            return
        writer.write(data)
