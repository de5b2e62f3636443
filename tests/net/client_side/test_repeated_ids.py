"""An id that comes again after its client has left."""

from __future__ import annotations

import asyncio

from tests.peers import ReceivedRequest, request_bytes, respond_ok, rig


def test_an_unsafe_request_whose_client_has_left_does_not_run_again_under_its_id() -> None:
    """Guards against an effect that happens twice: the id is free again as its client leaves."""

    async def respond_late(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.2)
        await respond_ok(request, writer)

    async def run() -> None:
        async with rig(respond_late) as r:
            client = await r.client()
            client.writer.write(request_bytes("order", X_Txn="again"))
            await r.until(lambda: len(r.backends[0].requests) == 1)
            client.close()
            await r.until(lambda: r.count("requests_left") == 1)
            await r.request("order", X_Txn="again")
            assert len(r.backends[0].requests) == 1

    asyncio.run(run())
