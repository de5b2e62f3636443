"""Watches: drains, new and restarted backends, and failures of discovery."""

from __future__ import annotations

import asyncio
from typing import Any

from mothstall import config
from mothstall.interface import UpdateScope
from mothstall.net.discovery.discovery import EndpointsUpdated, SetWatching
from mothstall.net.proxy import Proxy
from tests.peers import (
    StandInBackend,
    StandInDiscovery,
    make_config_tree,
    respond_ok,
    response_bytes,
    rig,
)


def test_a_watch_delivers_drains_and_new_backends_at_once() -> None:
    async def run() -> None:
        async with rig(respond_ok) as r:
            old = r.backends[0]
            assert (await r.request()).status == 200
            # The first call polls missed changes, the second one watches.
            await r.until(lambda: len(r.discovery.calls) >= 2)
            new = StandInBackend(respond_ok, "s-new")
            await new.start()
            r.backends.append(new)
            updates_before = r.count("list_updates")
            r.discovery.publish(new.row(), old.row("DRAINING"))
            await r.until(lambda: r.count("list_updates") > updates_before, 0.1)
            await asyncio.sleep(0.02)
            assert old.closed_count == old.opened_count == 1  # its idle connection is closed
            for lane in ("search", "pay", "order"):
                assert (await r.request(lane)).status == 200
            assert len(old.requests) == 1 and len(new.requests) == 3

    asyncio.run(run())


def test_an_attempt_in_flight_on_a_removed_backend_is_completed() -> None:
    async def run() -> None:
        gate = asyncio.Event()

        async def respond_after_gate(request: Any, writer: asyncio.StreamWriter) -> None:
            await gate.wait()
            writer.write(response_bytes(b"done"))

        async with rig(respond_after_gate) as r:
            await r.until(lambda: len(r.discovery.calls) >= 2)
            request = asyncio.create_task(r.request("order"))
            await r.until(lambda: len(r.backends[0].requests) == 1)
            r.discovery.publish({"id": "s-0", "phase": "DELETED"})
            await asyncio.sleep(0.05)
            gate.set()
            reply = await request
            assert (reply.status, reply.body) == (200, b"done")
            assert (await r.request()).status == 503  # no backend is left

    asyncio.run(run())


def test_the_next_watch_follows_within_200_ms_and_from_the_received_version() -> None:
    async def run() -> None:
        async with rig(respond_ok) as r:
            await r.until(lambda: len(r.discovery.calls) >= 2)
            for _ in range(3):
                before = len(r.discovery.calls)
                r.discovery.publish(r.backends[0].row())
                await r.until(lambda b=before: len(r.discovery.calls) > b, 0.2)  # type: ignore[misc]
                assert f"since={r.discovery.revision}&" in r.discovery.calls[-1]

    asyncio.run(run())


def test_a_restarted_backend_at_a_new_address_warms_up_as_a_new_one() -> None:
    async def run() -> None:
        async with rig(respond_ok) as r:
            await r.request()
            await r.until(lambda: len(r.discovery.calls) >= 2)
            restarted = StandInBackend(respond_ok, "s-0")
            await restarted.start()
            r.backends.append(restarted)
            now_ms = r.proxy._clock.now() // 1_000_000
            r.discovery.publish(restarted.row(started=now_ms))
            # Connections to its earlier incarnation are closed.
            await r.until(lambda: r.backends[0].closed_count == 1)
            (balanced,) = r.proxy._decider._balancer.endpoints.by_id.values()
            assert balanced.started_ns == now_ms * 1_000_000
            assert r.proxy._decider._balancer.slow_start.warmth(balanced) < 0.3
            await r.request(remaining="900m")
            assert len(r.backends[0].requests) == 1

    asyncio.run(run())


def test_versions_never_go_backward() -> None:
    async def run() -> None:
        async with rig(respond_ok) as r:
            await r.until(lambda: len(r.discovery.calls) >= 2)
            r.discovery.publish(r.backends[0].row())
            await r.until(lambda: r.count("list_updates") >= 3)
            r.discovery.raw_response = response_bytes(
                b'{"revision":1,"complete":true,"members":[]}'
            )
            published, r.discovery.published = r.discovery.published, asyncio.Event()
            published.set()
            await r.until(lambda: r.count("discovery_failures") >= 1)
            assert (await r.request()).status == 200

    asyncio.run(run())


def test_malformed_and_rejected_polls_leave_the_list_unchanged_and_are_retried() -> None:
    async def run() -> None:
        for raw in (
            response_bytes(b"{", 200),
            response_bytes(b'{"revision":"x","complete":true,"members":[]}'),
            response_bytes(
                b'{"revision":9,"complete":true,"members":[{"id":"s-0","phase":"SERVING"}]}'
            ),
            response_bytes(
                b'{"revision":9,"complete":true,"members":[{"id":"s-0","phase":"LOST","host_port":"a:1"}]}'
            ),
            response_bytes(b"[]"),
            response_bytes(b"", 503),
            b"\x00\x01\r\n\r\n",
        ):
            async with rig(respond_ok) as r:
                r.discovery.raw_response = raw
                await r.until(lambda r=r: r.count("discovery_failures") >= 1)  # type: ignore[misc]
                assert (await r.request()).status == 200
                r.discovery.raw_response = None
                await r.until(lambda r=r: r.count("list_updates") >= 2, 5.0)  # type: ignore[misc]

    asyncio.run(run())


def test_a_discovery_that_hangs_or_is_down_does_not_delay_the_proxy() -> None:
    async def run() -> None:
        async with rig(respond_ok) as r:
            r.discovery.hangs = True
            assert (await r.request()).status == 200
            await r.until(lambda: r.count("discovery_failures") >= 1, 4.0)

        stand_in = StandInBackend(respond_ok)
        await stand_in.start()
        discovery = StandInDiscovery([])
        await discovery.start()
        await discovery.stop()
        proxy = Proxy(config.from_tree(make_config_tree(discovery, [stand_in.row()])))
        await proxy.start()
        while not proxy.counters.values["discovery_failures"]:
            await asyncio.sleep(0.01)
        await discovery.start()  # on the same port
        async with asyncio.timeout(6):
            while proxy.counters.values["list_updates"] < 2:
                await asyncio.sleep(0.01)
        await proxy.stop(0.0)
        await discovery.stop()
        await stand_in.stop()

    asyncio.run(run())


def test_a_silent_watch_is_cancelled_before_its_events_count_as_delivered() -> None:
    async def run() -> None:
        async with rig(respond_ok) as r:
            await r.until(lambda: len(r.discovery.calls) >= 2)
            r.discovery.hangs, silent_since = True, asyncio.get_running_loop().time()
            r.discovery.published.set()
            r.discovery.calls.clear()
            await r.until(lambda: len(r.discovery.calls) >= 1)
            # That call is never answered; the next one, made at once, is answered.
            r.discovery.hangs = False
            updates_before = r.count("list_updates")
            await r.until(lambda: r.count("discovery_failures") >= 1, 8.0)
            wait_s = r.proxy._discovery._timing.wait_s
            assert asyncio.get_running_loop().time() - silent_since < wait_s + 2.0
            await r.until(lambda: r.count("list_updates") > updates_before, 2.0)

    asyncio.run(run())


def test_watch_requests_during_a_call_in_flight_share_its_response() -> None:
    async def run() -> None:
        async with rig(respond_ok) as r:
            await r.until(lambda: len(r.discovery.calls) >= 2)
            updates: list[EndpointsUpdated] = []
            r.proxy._discovery._report = updates.append
            r.discovery.calls.clear()
            r.discovery.hangs = True
            for _ in range(3):
                r.proxy._discovery.tell(SetWatching(True))
                await asyncio.sleep(0.02)
            assert len(r.discovery.calls) == 1
            await r.until(lambda: len(updates) > 0)
            assert [t.scope for t in updates] == [UpdateScope.FAILED]

    asyncio.run(run())


def test_the_proxy_watches_from_the_start_where_the_list_is_pushed() -> None:
    async def run() -> None:
        async with rig(respond_ok, listed=False, discovery="push") as r:
            await r.until(lambda: len(r.discovery.calls) >= 2)
            r.discovery.publish(r.backends[0].row())
            await r.until(lambda: r.count("list_updates") >= 3, 0.2)
            assert (await r.request()).status == 200

    asyncio.run(run())
