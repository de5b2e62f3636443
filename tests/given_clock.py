"""A proxy's decider and discovery actor on simulated time, with a fake discovery service."""

from __future__ import annotations

import asyncio
import itertools
import json
import selectors
from collections.abc import AsyncIterator, Callable, Coroutine
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any, cast

import aiohttp

from mothstall import config
from mothstall.interface import NS, UpdateScope
from mothstall.net import protocol
from mothstall.net.clock import Clock
from mothstall.net.counters import Counters
from mothstall.net.decider import Decider
from mothstall.net.discovery import session
from mothstall.net.discovery.discovery import Discovery, EndpointsUpdated
from mothstall.net.metrics import RequestMetrics
from tests.peers import StandInDiscovery, make_config_tree

START_S = 1_000.0
ROW = {
    "id": "s-0",
    "host_port": "127.0.0.1:9",
    "locality": "east",
    "flavor": "std",
    "cell": 0,
    "phase": "SERVING",
    "size": 1.0,
    "up_since_ms": 0,
}


class _SimulatedSelector(selectors.SelectSelector):
    """Advances the simulated time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = START_S

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        assert timeout is not None, "all tasks wait, and no timer is set"
        self.now += max(0.0, timeout)
        return super().select(0)


class SimulatedTimeLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self.selector = _SimulatedSelector()
        super().__init__(self.selector)
        self._clock_resolution = 1e-10

    def time(self) -> float:
        return self.selector.now


def run(main: Coroutine[Any, Any, None]) -> None:
    with asyncio.Runner(loop_factory=SimulatedTimeLoop) as runner:
        runner.run(main)


class LoopClock(Clock):
    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__()
        self._loop, self._offset = loop, 0

    def now(self) -> int:
        return round(self._loop.time() * NS)  # rounded, so that no timer fires early


@dataclass
class Call:
    started_s: float
    is_watch: bool
    outcome: str
    may_miss_events_from_s: float  # from then on the call could not deliver an event


@dataclass
class FakeDiscovery:
    """A fake discovery service; `choose_outcome(call number, is_watch)` names a call's outcome."""

    choose_outcome: Callable[[int, bool], str]
    calls: list[Call] = field(default_factory=list)
    response_delay_s: float = 0.01  # of a good response
    watch_duration_s: float = 4.0  # after which an open watch fails
    revision: int = 1

    async def answer(self, call: Call, sock_connect: float) -> AsyncIterator[bytes]:
        """Yield the status, and then the pieces of the body."""
        first_byte = session.first_byte_callback.get() or (lambda: None)
        now = asyncio.get_running_loop().time
        match call.outcome:
            case "good":
                if call.is_watch:
                    await asyncio.sleep(1e6)
                await asyncio.sleep(self.response_delay_s)
                yield b"200"
                self.revision += 1
                yield json.dumps(
                    {"revision": self.revision, "complete": True, "members": [ROW]}
                ).encode()
            case "refused":
                raise aiohttp.ClientConnectionError("refused")
            case "reset":
                await asyncio.sleep(0.5)
                raise aiohttp.ServerDisconnectedError
            case "reset late":  # for a watch: after it was open for a while
                await asyncio.sleep(self.watch_duration_s if call.is_watch else 1.9)
                call.may_miss_events_from_s = now() if call.is_watch else call.started_s
                raise aiohttp.ServerDisconnectedError
            case "dial hangs":
                await asyncio.sleep(sock_connect)
                raise aiohttp.ConnectionTimeoutError
            case "no answer":
                await asyncio.sleep(1e6)
            case "503":
                first_byte()
                yield b"503"
                yield b""
            case "503 late":
                await asyncio.sleep(1.95)
                first_byte()
                yield b"503"
                yield b""
            case "garbage":
                first_byte()
                yield b"200"
                yield b"{"
            case "older":
                first_byte()
                yield b"200"
                yield b'{"revision": 0, "complete": true, "members": []}'
            case "half":
                await asyncio.sleep(self.watch_duration_s if call.is_watch else 0.3)
                call.may_miss_events_from_s = now() if call.is_watch else call.started_s
                first_byte()
                yield b"200"
                await asyncio.sleep(1.5)
                raise aiohttp.ClientPayloadError("cut")
            case "trickles":
                await asyncio.sleep(self.watch_duration_s if call.is_watch else 0.3)
                call.may_miss_events_from_s = now() if call.is_watch else call.started_s
                first_byte()
                await asyncio.sleep(1e6)
            case other:
                raise AssertionError(other)


@dataclass
class QueueingDiscovery(FakeDiscovery):
    """Serves calls in order at a limited rate, and rejects a call after 2 s in the queue.

    Calls get no response until `is_available` is set.
    """

    calls_per_s: float = 1000.0
    is_available: bool = False
    busy_until: float = 0.0

    async def answer(self, call: Call, sock_connect: float) -> AsyncIterator[bytes]:
        now = asyncio.get_running_loop().time()
        if call.is_watch or not self.is_available:
            await asyncio.sleep(1e6)
        begins = max(self.busy_until, now)
        if begins - now > 2.0:
            await asyncio.sleep(2.0)
            yield b"503"
            yield b""
            return
        self.busy_until = begins + 1.0 / self.calls_per_s
        await asyncio.sleep(self.busy_until - now)
        async for piece in super().answer(Call(now, False, "good", now), sock_connect):
            yield piece


FAILURES = (
    "refused",
    "reset",
    "reset late",
    "dial hangs",
    "no answer",
    "503",
    "503 late",
    "garbage",
    "older",
    "half",
    "trickles",
)


class _FakeGet:
    """The result of `session.get(...)`, answered by the fake service."""

    def __init__(self, service: FakeDiscovery, url: str, sock_connect: float) -> None:
        self._service, self._sock_connect = service, sock_connect
        self._is_watch = "timeout_ms=" in url and "timeout_ms=1&" not in url + "&"

    async def __aenter__(self) -> Any:
        service, now = self._service, asyncio.get_running_loop().time()
        outcome = service.choose_outcome(len(service.calls), self._is_watch)
        service.calls.append(Call(now, self._is_watch, outcome, now))
        pieces = service.answer(service.calls[-1], self._sock_connect)
        status = int(await anext(pieces))
        content = SimpleNamespace(iter_any=lambda: pieces)
        return SimpleNamespace(
            status=status,
            headers={"Transfer-Encoding": "chunked"},
            content_length=None,
            content=content,
        )

    async def __aexit__(self, *_: object) -> None:
        pass


class DiscoveryClient:
    """The part of one proxy that calls discovery."""

    def __init__(self, service: FakeDiscovery, *, known: bool = True, **changes: Any) -> None:
        loop = asyncio.get_running_loop()
        stand_in = cast(StandInDiscovery, SimpleNamespace(port=9, revision=1))
        tree = make_config_tree(stand_in, [ROW] if known else [], **changes)
        read = config.from_tree(tree)
        counters, clock = Counters(), LoopClock(loop)
        self.decider = Decider(
            read,
            loop=loop,
            counters=counters,
            clock=clock,
            metrics=RequestMetrics(read.names.classes, counters),
            make_backend=lambda _, member: cast(
                Any, SimpleNamespace(ident=member.id, tell=lambda _: None)
            ),
        )
        self.updates: list[tuple[float, UpdateScope]] = []

        def report(update: EndpointsUpdated) -> None:
            self.updates.append((loop.time(), update.scope))
            self.decider.tell(update)

        known_list = protocol.ParsedUpdate(0, True, [])
        if read.known is not None:
            known_list = protocol.parse_endpoint_list(read.known, read.names)
        self.discovery = Discovery(
            read.discovery,
            known_list.version,
            read.names,
            push=read.settings.discovery_push,
            proxies=read.settings.proxies,
            position=read.settings.position,
            grace_s=read.settings.drain_grace_ns / NS,
            loop=loop,
            counters=counters,
            report=report,
        )
        self._original_session = self.discovery._session
        self.discovery._session = cast(
            Any,
            SimpleNamespace(
                get=lambda url, timeout, **_: _FakeGet(service, str(url), timeout.sock_connect),
                close=self._original_session.close,
            ),
        )
        self.decider.set_discovery(self.discovery)
        report(EndpointsUpdated(UpdateScope.CACHED, known_list))
        self.discovery.start()

    async def stop(self) -> None:
        await self.discovery.stop()


def sequences(kinds: tuple[str, ...], length: int) -> list[tuple[str, ...]]:
    return list(itertools.product(kinds, repeat=length))
