"""Tests of peers that use another protocol, or send unexpected messages."""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path

import msgspec
import pytest

from mothstall.store.protocol import keeper_messages, observer_messages
from mothstall.store.protocol.connection import FrameConnection
from tests.observer.cluster import TIMEOUT_S, ObserverCluster, observer_cluster, wait_until

pytestmark = pytest.mark.processes


@pytest.mark.parametrize("foreign_bytes", [b"GET / HTTP/1.1\r\n\r\n", b"\x00" * 200, b"\xff" * 64])
def test_bytes_of_another_protocol_are_logged_once_and_the_connection_closed(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, foreign_bytes: bytes
) -> None:
    async def scenario() -> None:
        async with observer_cluster(tmp_path, o1="z1") as cluster:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", cluster.observers["o1"].port
            )
            writer.write(foreign_bytes)
            async with asyncio.timeout(TIMEOUT_S):
                with contextlib.suppress(ConnectionResetError):
                    while await reader.read(1000):
                        pass
            writer.close()
            lines = [row for row in caplog.records if row.getMessage() == "frame rejected"]
            assert len(lines) == 1 and "\n" not in str(lines[0].__dict__["kv"])

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "payload",
    [
        b"\xc1 no msgpack",
        msgspec.msgpack.encode(observer_messages.Heartbeat(1)),
        msgspec.msgpack.encode(observer_messages.AttachRequest("p2", 1, "z1", ("",), 0)),
        msgspec.msgpack.encode(observer_messages.AttachRequest("p1", 0, "z1", ("",), 0)),
        msgspec.msgpack.encode(observer_messages.AttachRequest("p1", 1, "z1", (), 0)),
        msgspec.msgpack.encode(keeper_messages.WatchRequest(0)),
        msgspec.msgpack.encode(keeper_messages.ReadRequest(1)),
    ],
)
def test_unexpected_messages_are_logged_once_and_the_connection_closed(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, payload: bytes
) -> None:
    async def scenario() -> None:
        async with observer_cluster(tmp_path, o1="z1") as cluster:
            ended = asyncio.Event()

            def on_connected(link: FrameConnection) -> None:
                link.send(payload)

            link = FrameConnection(
                "test",
                b"",
                "p1#a",
                "agent",
                is_dialer=True,
                on_connected=on_connected,
                on_payload=lambda link, _payload: None,
                on_closed=lambda link, reason: ended.set(),
            )
            loop = asyncio.get_running_loop()
            await loop.create_connection(lambda: link, "127.0.0.1", cluster.observers["o1"].port)
            async with asyncio.timeout(TIMEOUT_S):
                await ended.wait()
            assert [row.getMessage() for row in caplog.records].count("payload rejected") == 1
            assert (
                cluster.observers["o1"].counts["frames_unreadable"] == 1
                and not cluster.observers["o1"].model.table.attachments
            )

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("role", "payload", "log_event"),
    [("observer", b"\xc1 no msgpack", "payload rejected"), ("keeper", b"", "not an observer")],
)
def test_proxy_leaves_a_peer_that_is_no_observer_and_logs_it_once_per_connection(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, role: str, payload: bytes, log_event: str
) -> None:
    async def scenario() -> None:
        cluster, links, ended = ObserverCluster(tmp_path, {"o1": "z1"}), [], asyncio.Event()

        def on_connected(link: FrameConnection) -> None:
            links.append(link)
            if payload:
                link.send(payload)

        def new_link() -> FrameConnection:
            return FrameConnection(
                "test",
                b"",
                "o1",
                role,
                is_dialer=False,
                on_connected=on_connected,
                on_payload=lambda link, _payload: None,
                on_closed=lambda link, reason: ended.set(),
            )

        address = cluster.operator().observers[0].parsed_address
        server = await asyncio.get_running_loop().create_server(
            new_link, address.host, address.port
        )
        agent = await cluster.start_agent("p1")
        try:
            async with asyncio.timeout(TIMEOUT_S):
                await ended.wait()
            await wait_until(lambda: len(links) >= 3, "the agent reconnects")
            await wait_until(lambda: not agent.is_member, "the agent is no member")
            rows = [row for row in caplog.records if row.getMessage() == log_event]
            assert 1 <= len(rows) <= len(links) and "\n" not in str(rows[0].__dict__["kv"])
        finally:
            await agent.stop()
            server.close()

    asyncio.run(scenario())
