"""A change is delivered within 6 s once discovery is reachable, whichever calls failed before."""

from __future__ import annotations

import asyncio
from itertools import pairwise
from typing import Any

import pytest

from mothstall import config
from mothstall.interface import NS, UpdateScope
from mothstall.net.discovery import discovery
from mothstall.net.discovery.discovery import DiscoveryAddressChanged
from tests.given_clock import (
    FAILURES,
    Call,
    DiscoveryClient,
    FakeDiscovery,
    QueueingDiscovery,
    run,
    sequences,
)

MAX_DELIVERY_S, RESPONSE_S, MARGIN_S = 6.0, discovery.CALL_TIMEOUT_S, 0.4
# From when events may be missed to the start of the next call.
MAX_GAP_S = MAX_DELIVERY_S - RESPONSE_S - MARGIN_S
FLEETS = [(1, 0), (5, 3), (30, 17), (220, 131)]


def watch_gaps(calls: list[Call], wait_s: float) -> list[tuple[float, Call]]:
    """Times from when a call may miss events to the next call, less the wait of a silent watch."""
    gaps = []
    for call, next_call in pairwise(calls):
        silent = call.is_watch and call.outcome == "no answer"
        gaps.append(
            (next_call.started_s - call.may_miss_events_from_s - (wait_s if silent else 0.0), call)
        )
    return gaps


async def fail_in_order(
    order: tuple[str, ...], *, good_first: bool, seconds: float = 40.0, **changes: Any
) -> None:
    """Let calls fail in a repeated order, optionally after one good call."""

    def choose_outcome(number: int, is_watch: bool) -> str:
        if good_first and number == 0:
            return "good"
        return order[(number - good_first) % len(order)]

    service = FakeDiscovery(choose_outcome)
    client = DiscoveryClient(service, **changes)
    wait_s = client.discovery._timing.wait_s
    await asyncio.sleep(seconds + (wait_s if good_first else 0.0))
    await client.stop()
    gaps = watch_gaps(service.calls, wait_s)
    assert len(gaps) >= 6
    longest, call = max(gaps, key=lambda row: row[0])
    assert longest <= MAX_GAP_S, (order, good_first, changes, longest, call)


def fleet(proxies: int, position: int) -> dict[str, Any]:
    return {"replicas-of-me": proxies, "position": position, "contract--ask-within-ns": 12 * NS}


@pytest.mark.parametrize("good_first", [False, True])
@pytest.mark.parametrize(("proxies", "position"), FLEETS)
def test_changes_are_delivered_in_time_after_every_order_of_two_failures(
    proxies: int, position: int, good_first: bool
) -> None:
    for order in sequences(FAILURES, 2):
        run(fail_in_order(order, good_first=good_first, **fleet(proxies, position)))


@pytest.mark.parametrize("good_first", [False, True])
def test_changes_are_delivered_in_time_after_every_order_of_three_failures(
    good_first: bool,
) -> None:
    for order in sequences(FAILURES, 3):
        run(fail_in_order(order, good_first=good_first, seconds=25.0, **fleet(220, 87)))


@pytest.mark.parametrize("grace_ms", [0, 200, 500, 2_000, 4_000, 20_000])
def test_pushed_changes_are_delivered_in_time_after_every_order_of_failures(grace_ms: int) -> None:
    """A change is delivered by a call that has its full timeout, which a slow agent needs."""

    async def poll_pushed_list(order: tuple[str, ...]) -> None:
        service = FakeDiscovery(lambda number, _: order[number % len(order)])
        changes = fleet(30, 17) | {"contract--stop_sending_within_ns": grace_ms * NS // 1000}
        client = DiscoveryClient(service, discovery="push", **changes)
        await asyncio.sleep(15.0)
        service.choose_outcome, service.response_delay_s = (lambda number, is_watch: "good"), 2.2
        returned_at, update_count = asyncio.get_running_loop().time(), len(client.updates)
        await asyncio.sleep(MAX_DELIVERY_S - MARGIN_S)
        delivered = [
            at - returned_at
            for at, scope in client.updates[update_count:]
            if scope in (UpdateScope.FULL, UpdateScope.DELTA)
        ]
        assert delivered, (order, grace_ms)
        # Watches that are reset must not report stale updates.
        service.choose_outcome, service.response_delay_s = (
            (lambda number, is_watch: "reset late" if is_watch else "good"),
            0.01,
        )
        await asyncio.sleep(10.0)
        await client.stop()
        assert client.decider.counters.values["faults"] == 0

    for order in sequences(FAILURES, 2):
        run(poll_pushed_list(order))


@pytest.mark.parametrize("at_s", [0.5, 1.0, 2.5, 7.0])
def test_changes_are_delivered_in_time_after_failures_around_an_address_change(at_s: float) -> None:
    """The address of discovery changes between failures, and calls to the new one fail at first."""

    async def change_address(order: tuple[str, ...]) -> None:
        service = FakeDiscovery(
            lambda number, _: "good" if number == 0 else order[number % len(order)]
        )
        client = DiscoveryClient(service, **fleet(220, 131))
        await asyncio.sleep(at_s)
        client.discovery.tell(DiscoveryAddressChanged(config.Address("127.0.0.1", 8)))
        await asyncio.sleep(client.discovery._timing.wait_s + 30.0)
        await client.stop()
        assert client.updates[-1][0] > asyncio.get_running_loop().time() - 10.0  # calls go on
        gaps = watch_gaps(service.calls, client.discovery._timing.wait_s)
        longest, call = max(gaps, key=lambda row: row[0])
        assert longest <= MAX_GAP_S, (order, longest, call)

    for order in sequences(FAILURES, 2):
        run(change_address(order))


@pytest.mark.parametrize(("known", "max_delay_s"), [(True, 5.25), (False, 1.0)])
@pytest.mark.parametrize(("proxies", "position"), FLEETS)
def test_a_start_polls_soon_and_retries_while_discovery_is_down(
    proxies: int, position: int, known: bool, max_delay_s: float
) -> None:
    async def start_with_failures(outcome: str) -> None:
        service = FakeDiscovery(lambda number, _: outcome if number < 4 else "good")
        started_s = asyncio.get_running_loop().time()
        client = DiscoveryClient(service, known=known, **fleet(proxies, position))
        await asyncio.sleep(30.0)
        await client.stop()
        assert service.calls[0].started_s - started_s <= max_delay_s
        gaps = watch_gaps(service.calls[:5], 0.0)
        assert max(gaps, key=lambda row: row[0])[0] <= MAX_GAP_S
        assert client.updates[-1][1] == UpdateScope.FULL and client.decider.endpoints_known.is_set()

    for outcome in FAILURES:
        if outcome != "older" or known:
            run(start_with_failures(outcome))


@pytest.mark.parametrize("proxies", [30, 220])
def test_polls_of_the_fleet_interleave_when_discovery_returns(proxies: int) -> None:
    """No tenth of a second gets more than 1.5 times the mean number of calls."""

    async def run_outage() -> None:
        service = FakeDiscovery(lambda number, _: "no answer")
        clients = []
        for position in range(proxies):
            clients.append(DiscoveryClient(service, **fleet(proxies, position)))
            if position % 7 == 0:
                await asyncio.sleep(0.013)
        await asyncio.sleep(20.0)
        now = asyncio.get_running_loop().time()
        for client in clients:
            await client.stop()
        times = [call.started_s for call in service.calls if call.started_s > now - 9.0]
        tenths = [0] * 90
        for at in times:
            tenths[min(89, int((at - now + 9.0) * 10))] += 1
        assert sum(tenths) >= 2 * proxies
        assert max(tenths) <= 1.5 * (sum(tenths) / 90 + 1)

    run(run_outage())


@pytest.mark.parametrize("calls_per_s", [25.0, 40.0, 60.0, 1000.0])
def test_a_queue_of_220_calls_is_served_as_fast_as_discovery_can(calls_per_s: float) -> None:
    """Guards against callers that time out while their call is served: the queue would never drain."""

    async def run_outage() -> None:
        loop, proxies = asyncio.get_running_loop(), 220
        service = QueueingDiscovery(lambda number, _: "good", calls_per_s=calls_per_s)
        clients = [
            DiscoveryClient(service, **fleet(proxies, position)) for position in range(proxies)
        ]
        await asyncio.sleep(9.0)
        service.is_available, returned = True, loop.time()
        await asyncio.sleep(20.0)
        first = [
            min(
                (
                    at
                    for at, scope in client.updates
                    if scope is not UpdateScope.FAILED and at >= returned
                ),
                default=1e9,
            )
            for client in clients
        ]
        for client in clients:
            await client.stop()
        assert max(first) - returned <= max(MAX_GAP_S, 1.1 * proxies / calls_per_s)

    run(run_outage())
