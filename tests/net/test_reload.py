"""Reloading the configuration of a running proxy."""

from __future__ import annotations

import asyncio
import json
import signal
from dataclasses import replace
from pathlib import Path

import pytest

from mothstall import config
from tests.net.test_process import respond_after_800_ms, start_proxy
from tests.peers import (
    Rig,
    StandInBackend,
    StandInDiscovery,
    make_config_tree,
    request_bytes,
    respond_ok,
    rig,
)


async def change_discovery_address(r: Rig) -> StandInDiscovery:
    """Start discovery at a second address, and reload the proxy with that address."""
    other = StandInDiscovery(r.discovery.members)
    other.revision, other.changes = r.discovery.revision, r.discovery.changes
    await other.start()
    fresh = replace(r.proxy.config, discovery=config.Address("127.0.0.1", other.port))
    r.proxy.reload(fresh)
    return other


@pytest.mark.parametrize("mode", ["ask", "push"])
def test_the_watch_changes_its_address_at_once_and_the_old_address_may_close(mode: str) -> None:
    async def run() -> None:
        async with rig(respond_ok, discovery=mode) as r:
            await r.until(lambda: len(r.discovery.calls) >= 2)
            await r.discovery.stop()  # refuses new connections, keeps open ones
            other = await change_discovery_address(r)
            await r.until(lambda: len(other.calls) == 1, 0.5)
            assert "timeout_ms=1&" not in other.calls[0] + "&"  # the first call waits for an event
            # An update from the old address is applied, and no further call is made there.
            new = StandInBackend(respond_ok, "s-new")
            await new.start()
            r.backends.append(new)
            before, updates_before = len(r.discovery.calls), r.count("list_updates")
            r.discovery.publish(new.row())
            await r.until(lambda: r.count("list_updates") > updates_before, 0.5)
            r.discovery.abort_connections()
            await asyncio.sleep(0.05)
            assert len(r.discovery.calls) == before
            # The list is kept, and updates from the new address are applied at once.
            other.revision, updates_before = r.discovery.revision, r.count("list_updates")
            other.publish(r.backends[0].row("DRAINING"))
            await r.until(lambda: r.count("list_updates") > updates_before, 0.5)
            for _ in range(4):
                assert (await r.request()).status == 200
            assert len(new.requests) == 4 and not r.backends[0].requests
            assert r.count("discovery_failures") == 0 and r.count("reloads") == 1
            await other.stop()

    asyncio.run(run())


def test_several_address_changes_in_a_row_leave_one_watch() -> None:
    async def run() -> None:
        async with rig(respond_ok) as r:
            await r.until(lambda: len(r.discovery.calls) >= 2)
            second = await change_discovery_address(r)
            third = await change_discovery_address(r)
            # Back to the first address: its watch in flight must not go on beside the new one.
            r.proxy.reload(
                replace(r.proxy.config, discovery=config.Address("127.0.0.1", r.discovery.port))
            )
            await asyncio.sleep(0.1)
            r.discovery.calls.clear()
            r.discovery.publish(r.backends[0].row())
            await asyncio.sleep(0.2)
            assert len(r.discovery.calls) == 1, r.discovery.calls
            assert r.count("reloads") == 3 and (await r.request()).status == 200
            for other in (second, third):
                other.abort_connections()
                await other.stop()

    asyncio.run(run())


def test_a_new_address_that_is_not_up_yet_is_retried_soon() -> None:
    async def run() -> None:
        async with rig(respond_ok) as r:
            await r.until(lambda: len(r.discovery.calls) >= 2)
            other = await change_discovery_address(r)
            port = other.port
            await r.until(lambda: len(other.calls) == 1)
            await other.stop()
            late = StandInDiscovery(r.discovery.members)
            with_port = replace(
                r.proxy.config, discovery=config.Address("127.0.0.1", r.discovery.port)
            )
            r.proxy.reload(with_port)
            other.abort_connections()
            r.proxy.reload(replace(with_port, discovery=config.Address("127.0.0.1", port)))
            await r.until(lambda: r.count("discovery_failures") >= 2, 1.0)
            late.port = port
            await late.start()
            await r.until(lambda: len(late.calls) >= 1, 1.0)
            assert (await r.request()).status == 200
            await late.stop()

    asyncio.run(run())


def test_sighup_reloads_the_file_and_never_ends_the_program(tmp_path: Path) -> None:
    async def run() -> None:
        stand_in, old, new = (
            StandInBackend(respond_after_800_ms),
            StandInDiscovery([]),
            StandInDiscovery([]),
        )
        await stand_in.start()
        for discovery in (old, new):
            discovery.members = [stand_in.row()]
            await discovery.start()
        # On a reload the address in the file takes precedence over that in the environment.
        async with start_proxy(tmp_path, stand_in, LB_DISCOVERY=f"127.0.0.1:{old.port}") as proxy:
            assert proxy.process.stderr
            path = tmp_path / "config.json"
            config_tree = json.loads(path.read_text())
            while not old.calls:
                await asyncio.sleep(0.01)
            busy = await proxy.client()
            busy.writer.write(request_bytes("order", remaining="990m"))
            while not stand_in.requests:
                await asyncio.sleep(0.01)

            async def reload_with(text: str, *expected: bytes) -> None:
                path.write_text(text)
                proxy.process.send_signal(signal.SIGHUP)
                async with asyncio.timeout(3):
                    line = b""
                    while not all(word in line for word in expected):
                        assert proxy.process.stderr
                        line = await proxy.process.stderr.readline()

            faulty = {**config_tree, "limits": {"sockets": 5}}
            await reload_with(json.dumps(faulty), b"configuration rejected", b"limits.sockets")
            await reload_with("{", b"configuration rejected", b"JSON")
            assert not new.calls
            config_tree["discovery"] = f"127.0.0.1:{new.port}"
            config_tree["limits"]["sockets"] = 512
            await reload_with(
                json.dumps(config_tree), b"changed keys need a restart", b"limits.sockets"
            )
            async with asyncio.timeout(3):
                while not new.calls:
                    await asyncio.sleep(0.01)
            for _ in range(5):
                proxy.process.send_signal(signal.SIGHUP)
            second_client = await proxy.client()
            second_client.writer.write(b"GET /counters HTTP/1.1\r\nHost: x\r\n\r\n")
            counters = (await second_client.read()).body
            assert b"reloads_failed 2\n" in counters
            reply = await busy.read()
            assert (reply.status, reply.body) == (200, b"late but whole")
            # A SIGHUP during the drain does not end the process either.
            proxy.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.05)
            proxy.process.send_signal(signal.SIGHUP)
            assert await asyncio.wait_for(proxy.process.wait(), 3) == 0
        for peer in (stand_in, old, new):
            await peer.stop()

    asyncio.run(run())


def test_the_reloaded_file_overrides_a_stale_address_in_the_environment(tmp_path: Path) -> None:
    path = tmp_path / "c.json"
    path.write_text(
        json.dumps(make_config_tree(StandInDiscovery([]), []) | {"discovery": "127.0.0.1:7"})
    )
    env = {"LB_DISCOVERY": "127.0.0.1:6", "LB_NAME": "n9"}
    assert config.load(str(path), env).discovery.port == 6
    reloaded = config.load(str(path), env, is_reload=True)
    assert (reloaded.discovery.port, reloaded.name) == (7, "n9")
