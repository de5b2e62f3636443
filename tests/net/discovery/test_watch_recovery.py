"""Watches that stop responding, are reset or truncated just before a backend drains."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from mothstall.interface import UpdateScope
from mothstall.net.discovery import discovery
from mothstall.net.discovery.discovery import EndpointsUpdated
from tests.peers import MS, Rig, respond_ok, response_bytes, rig

MODES = ["ask", "push"]


def note_scopes(r: Rig) -> list[UpdateScope]:
    """Record the scopes of updates that the decider receives from now on."""
    scopes: list[UpdateScope] = []
    report = r.proxy._discovery._report

    def record_and_report(update: EndpointsUpdated) -> None:
        scopes.append(update.scope)
        report(update)

    r.proxy._discovery._report = record_and_report
    return scopes


def has_drained(r: Rig) -> bool:
    return r.proxy._decider.out_of_rotation_count() == 1


async def wait_until_watching(r: Rig, min_updates: int = 2) -> None:
    """Wait until the watch is established: its second call waits for an event."""
    await r.until(lambda: r.count("list_updates") >= min_updates and len(r.discovery.calls) >= 2)


@pytest.mark.parametrize("mode", MODES)
def test_a_silent_watch_is_reopened_without_a_pause(
    monkeypatch: pytest.MonkeyPatch, mode: str
) -> None:
    """Missed events count as delivered 2 s after the wait: no pause may follow the failed call."""
    monkeypatch.setattr(discovery, "MIN_WAIT_S", 0.2)
    monkeypatch.setattr(discovery, "WAIT_MARGIN_S", 0.3)

    async def run() -> None:
        async with rig(respond_ok, respond_ok, discovery=mode) as r:
            await wait_until_watching(r)
            # The next watch call is never answered.
            release = r.discovery.respond_when = asyncio.Event()
            calls = len(r.discovery.calls)
            await r.until(lambda: len(r.discovery.calls) > calls)
            scopes = note_scopes(r)
            r.discovery.publish(r.backends[0].row("DRAINING"))
            r.discovery.respond_when = None
            await r.until(lambda: has_drained(r))
            assert scopes == [UpdateScope.DELTA]
            release.set()

    asyncio.run(run())


@pytest.mark.parametrize("mode", MODES)
def test_a_watch_that_is_reset_just_before_a_drain_is_reopened(
    monkeypatch: pytest.MonkeyPatch, mode: str
) -> None:
    async def run() -> None:
        async with rig(respond_ok, respond_ok, discovery=mode) as r:
            await wait_until_watching(r)
            if mode == "push":
                # The drain counts even without a watch: the watch has to be reopened without a pause,
                # and without the balancer's own check.
                monkeypatch.setattr(r.proxy._discovery._timing, "pause_s", 60.0)
                polling = r.proxy._decider._balancer.polling
                monkeypatch.setattr(polling, "_watch_if_due", lambda: None)
            r.discovery.abort_connections()
            r.discovery.publish(r.backends[0].row("DRAINING"))
            await r.until(lambda: has_drained(r))

    asyncio.run(run())


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize(
    "first_bytes", [b"H", b"HTTP/1.1 200 OK\r\nContent-", response_bytes(b"{" * 90)[:-80]]
)
def test_a_slowly_sent_response_is_retried_long_before_the_wait_is_over(
    monkeypatch: pytest.MonkeyPatch, mode: str, first_bytes: bytes
) -> None:
    """After its first byte a response has the timeout of a call that does not wait."""
    monkeypatch.setattr(discovery, "MIN_WAIT_S", 60.0)

    async def run() -> None:
        async with rig(respond_ok, respond_ok, discovery=mode) as r:
            await wait_until_watching(r)
            r.discovery.revision += 1
            r.discovery.changes[r.discovery.revision] = [r.backends[0].row("DRAINING")]
            for writer in r.discovery.writers:
                writer.write(first_bytes)  # and nothing more: this watch delivers no event
            await r.until(lambda: has_drained(r), 12.0)

    asyncio.run(run())


def test_a_pushed_list_that_is_down_is_polled_often_enough_for_a_drains_grace(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A drain that the agent has when it responds again counts at once, despite the outage."""
    # A call during the outage must end sooner.
    monkeypatch.setattr(discovery, "CALL_TIMEOUT_S", 60.0)

    async def run() -> None:
        async with rig(respond_ok, respond_ok, discovery="push") as r:
            await wait_until_watching(r)
            release = r.discovery.respond_when = asyncio.Event()
            r.discovery.abort_connections()
            await r.until(lambda: r.count("discovery_failures") >= 4)
            r.discovery.publish(r.backends[0].row("DRAINING"))
            r.discovery.respond_when = None  # the agent is back; earlier calls are never answered
            await r.until(lambda: has_drained(r))
            release.set()

    asyncio.run(run())


def test_a_start_with_a_pushed_list_waits_for_the_agents_list() -> None:
    async def run() -> None:
        release = asyncio.Event()
        changes: dict[str, Any] = {
            "discovery": "push",
            "contract--stop_sending_within_ns": 20_000 * MS,
        }
        async with rig(respond_ok, respond_ok, respond_when=release, **changes) as r:
            await r.until(lambda: len(r.discovery.calls) == 1)
            client = await r.client()
            client.writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            assert (await client.read()).status == 503
            r.discovery.publish(r.backends[0].row("DELETED"))
            release.set()
            await r.until(r.proxy._frontend.accepts_new_clients)
            for _ in range(6):
                assert (await r.request()).status == 200
            assert not r.backends[0].requests
            client.close()

    asyncio.run(run())


def test_a_start_with_a_silent_agent_uses_the_cached_list_after_a_bounded_time() -> None:
    async def run() -> None:
        release = asyncio.Event()
        async with rig(respond_ok, respond_when=release, discovery="push") as r:
            await r.until(r.proxy._frontend.accepts_new_clients, 4.0)
            assert r.count("discovery_failures") >= 1
            assert (await r.request()).status == 200
            release.set()

    asyncio.run(run())


@pytest.mark.parametrize("mode", MODES)
def test_a_drain_during_an_outage_of_discovery_is_delivered_after_it(mode: str) -> None:
    async def run() -> None:
        async with rig(respond_ok, respond_ok, discovery=mode) as r:
            await wait_until_watching(r)
            await r.discovery.stop()
            r.discovery.abort_connections()
            await r.until(lambda: r.count("discovery_failures") >= 1)
            assert (await r.request()).status == 200  # with the list from before the outage
            r.discovery.publish(r.backends[0].row("DRAINING"))
            await r.discovery.start()
            await r.until(lambda: has_drained(r), 8.0)

    asyncio.run(run())


@pytest.mark.parametrize("how", ["cut short", "an older revision", "no end"])
def test_an_unusable_response_changes_nothing_and_the_next_one_counts(how: str) -> None:
    async def run() -> None:
        async with rig(respond_ok, respond_ok) as r:
            await wait_until_watching(r)
            old = b'{"revision": 0, "complete": true, "members": []}'
            r.discovery.raw_response = {
                "cut short": response_bytes(b'{"revision": 9, "complete": true, "members": []}')[
                    :-9
                ],
                "an older revision": response_bytes(old),
                "no end": b"HTTP/1.1 200 OK\r\n\r\n" + old.replace(b"0", b"9", 1),
            }[how]
            r.discovery.abort_connections()
            calls = len(r.discovery.calls)
            await r.until(lambda: len(r.discovery.calls) > calls)
            await asyncio.sleep(0)
            if how != "an older revision":
                r.discovery.abort_connections()
            await r.until(lambda: r.count("discovery_failures") >= 2)
            assert r.proxy._decider.listed_count() == 2
            r.discovery.raw_response = None
            r.discovery.publish(r.backends[0].row("DRAINING"))
            await r.until(lambda: has_drained(r), 5.0)

    asyncio.run(run())


@pytest.mark.parametrize("mode", MODES)
def test_an_indented_endpoint_list_is_parsed(mode: str) -> None:
    async def run() -> None:
        async with rig(respond_ok, respond_ok, discovery=mode) as r:
            r.discovery.indent = 4
            await wait_until_watching(r)
            r.discovery.publish(r.backends[0].row("DRAINING"))
            await r.until(lambda: has_drained(r))

    asyncio.run(run())


def test_a_response_slower_than_the_first_call_limit_is_still_received() -> None:
    """The agent takes longer to respond than a first call lasts, which a drain's grace limits."""

    async def run() -> None:
        async with rig(respond_ok, respond_ok, listed=False, discovery="push") as r:
            reply = r.discovery._reply

            async def late(target: str) -> bytes:
                await asyncio.sleep(0.6)
                return await reply(target)

            r.discovery._reply = late  # type: ignore[method-assign]
            r.discovery.publish(*(b.row() for b in r.backends))
            await r.until(lambda: r.proxy._decider.listed_count() == 2, 8.0)

    asyncio.run(run())


def test_a_grace_of_zero_causes_no_busy_loop() -> None:
    async def run() -> None:
        changes: dict[str, Any] = {"discovery": "push", "contract--stop_sending_within_ns": 0}
        async with rig(respond_ok, **changes) as r:
            await wait_until_watching(r)
            await r.discovery.stop()
            r.discovery.abort_connections()
            await r.until(lambda: r.count("discovery_failures") >= 2)
            before, began = r.count("discovery_calls"), r.proxy.loop.time()
            await asyncio.sleep(0.3)
            spent = r.proxy.loop.time() - began
            assert r.count("discovery_calls") - before <= 2 + spent / discovery.MIN_PAUSE_S

    asyncio.run(run())
