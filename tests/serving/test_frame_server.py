"""Admission of frame connections, and their counters."""

from __future__ import annotations

import asyncio
import logging

import pytest

from mothstall.serving.errors import UnexpectedMessageError
from mothstall.serving.frame_server import FrameIdentity, FrameServer, ListenConfig
from mothstall.store.protocol.connection import FrameConnection
from mothstall.store.protocol.frames import PeerRole

pytestmark = pytest.mark.processes
log = logging.getLogger("mothstall.test")


class RecordingHandler:
    """Records what a server passes on, and rejects the payload `reject`."""

    def __init__(self) -> None:
        self.payloads: list[bytes] = []
        self.disconnected = 0

    def message_received(self, connection: FrameConnection, payload: bytes) -> None:
        if payload == b"reject":
            raise UnexpectedMessageError("not now")
        self.payloads.append(payload)

    def client_disconnected(self, connection: FrameConnection) -> None:
        self.disconnected += 1


class Client:
    """One connection to a server."""

    def __init__(self, name: str, role: PeerRole) -> None:
        self.greeted = asyncio.Event()
        self.closed = asyncio.Event()
        self.connection = FrameConnection(
            "test",
            b"",
            name,
            role,
            is_dialer=True,
            on_connected=lambda _: self.greeted.set(),
            on_payload=lambda _connection, _payload: None,
            on_closed=lambda _connection, _reason: self.closed.set(),
        )

    async def connect(self, port: int) -> None:
        loop = asyncio.get_running_loop()
        await loop.create_connection(lambda: self.connection, "127.0.0.1", port)
        async with asyncio.timeout(20):
            await self.greeted.wait()

    async def wait_closed(self) -> None:
        async with asyncio.timeout(20):
            await self.closed.wait()


def new_counts() -> dict[str, int]:
    return dict.fromkeys(("bytes_in", "bytes_out", "frames_unreadable", "links_turned_away"), 0)


async def until(server: FrameServer, client_count: int) -> None:
    async with asyncio.timeout(20):
        while len(server.clients) != client_count:
            await asyncio.sleep(0.01)


def make_server(
    handler: RecordingHandler, counts: dict[str, int], *, max_clients: int = 10
) -> FrameServer:
    return FrameServer(
        FrameIdentity("test", b"", "server", PeerRole.OBSERVER),
        handler,
        counts,
        log,
        ListenConfig("127.0.0.1:0", 10, max_clients, frozenset({PeerRole.AGENT})),
    )


def test_role_that_is_not_served_is_closed_and_counted() -> None:
    async def scenario() -> None:
        counts = new_counts()
        server = make_server(RecordingHandler(), counts)
        await server.start()
        client = Client("k1", PeerRole.KEEPER)
        await client.connect(server.port)
        await client.wait_closed()
        assert counts["links_turned_away"] == 1 and not server.clients
        server.stop_listening()

    asyncio.run(scenario())


def test_client_beyond_the_bound_is_closed_and_admitted_once_another_left() -> None:
    async def scenario() -> None:
        counts = new_counts()
        server = make_server(RecordingHandler(), counts, max_clients=1)
        await server.start()
        first = Client("p1#a", PeerRole.AGENT)
        await first.connect(server.port)
        await until(server, 1)
        second = Client("p2#a", PeerRole.AGENT)
        await second.connect(server.port)
        await second.wait_closed()
        assert counts["links_turned_away"] == 1 and len(server.clients) == 1
        first.connection.close("done")
        await until(server, 0)
        third = Client("p3#a", PeerRole.AGENT)
        await third.connect(server.port)
        await until(server, 1)
        server.close_clients("done")
        await third.wait_closed()
        server.stop_listening()

    asyncio.run(scenario())


def test_rejected_payload_is_counted_logged_once_and_closes_the_connection(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def scenario() -> None:
        counts = new_counts()
        handler = RecordingHandler()
        server = make_server(handler, counts)
        await server.start()
        client = Client("p1#a", PeerRole.AGENT)
        await client.connect(server.port)
        client.connection.send(b"accept")
        client.connection.send(b"reject")
        await client.wait_closed()
        await until(server, 0)
        assert handler.payloads == [b"accept"] and handler.disconnected == 1
        assert counts["frames_unreadable"] == 1
        assert [row.getMessage() for row in caplog.records] == ["payload rejected"]
        server.stop_listening()

    asyncio.run(scenario())


def test_bytes_are_counted_while_a_connection_is_open_and_after_it() -> None:
    async def scenario() -> None:
        counts = new_counts()
        server = make_server(RecordingHandler(), counts)
        await server.start()
        client = Client("p1#a", PeerRole.AGENT)
        await client.connect(server.port)
        await until(server, 1)
        open_counts = server.counts_with_open_connections()
        assert counts["bytes_in"] == 0 < open_counts["bytes_in"]
        client.connection.close("done")
        await until(server, 0)
        assert counts == server.counts_with_open_connections()
        assert counts["bytes_in"] >= open_counts["bytes_in"]
        assert counts["bytes_out"] >= open_counts["bytes_out"] > 0
        server.stop_listening()

    asyncio.run(scenario())
