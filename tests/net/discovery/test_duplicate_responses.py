"""Discovery that answers a call twice: the copy is not taken for the response to the next call."""

from __future__ import annotations

import asyncio

from mothstall.net.discovery.session import make_session
from tests.peers import read_message, response_bytes


def test_copy_on_an_idle_connection_is_not_the_response_to_the_next_call() -> None:
    """Guards against calls to discovery whose responses are those of the call before."""

    async def run() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                while True:
                    line, _, _ = await read_message(reader)
                    raw = response_bytes(line.split()[1])
                    writer.write(raw)
                    await asyncio.sleep(0.01)
                    writer.write(raw)
            except (asyncio.IncompleteReadError, ConnectionError):
                writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with make_session() as session:
            for path in ("/1", "/2", "/3"):
                async with session.get(f"http://127.0.0.1:{port}{path}") as response:
                    assert await response.text() == path
                await asyncio.sleep(0.05)
        server.close()

    asyncio.run(asyncio.wait_for(run(), 10))
