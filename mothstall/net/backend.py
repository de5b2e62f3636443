"""One backend: an actor that holds its address and runs a task for each attempt.

An attempt is sent once. It ends in exactly one `Ended`, whose result never says "never ran" of what may
have run: until the request's last byte is written nothing can have run, from then on anything may have.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.client_reqrep import ConnectionKey
from aiohttp.connector import Connection
from aiohttp.tracing import Trace
from multidict import CIMultiDict
from yarl import URL

from mothstall.config import Address
from mothstall.interface import NS, Result
from mothstall.net import protocol
from mothstall.net.actor import Actor
from mothstall.net.clock import Clock
from mothstall.net.counters import Counters

log = logging.getLogger("mothstall.backend")

PROBE_NS = NS
IDLE_PART = 0.6  # of the backend's own idle limit, after which an idle connection is closed
STOOD_S, STOOD_READ_S = 0.01, 0.005  # a timer that is so late, and the time given to read what has come
SKIP_AUTO = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


@dataclass(slots=True)
class Send:
    request: int
    attempt: int
    inbound: protocol.Inbound
    due_ns: int


@dataclass(slots=True)
class Cancel:
    request: int
    attempt: int


@dataclass(slots=True)
class SendProbe:
    pass


@dataclass(slots=True)
class DropIdle:
    pass


@dataclass(slots=True)
class Moved:
    address: Address
    started_ns: int


Order = Send | Cancel | SendProbe | DropIdle | Moved


@dataclass(slots=True)
class Ended:
    request: int
    attempt: int
    backend: int
    result: Result
    latency_ns: int
    load: tuple[float, ...]
    answer: protocol.Answer | None


@dataclass(slots=True)
class Probed:
    backend: int
    result: Result
    latency_ns: int
    load: tuple[float, ...]


class Pool(aiohttp.TCPConnector):
    """Connections to all backends: the latest is used again first, so that the others fall idle and end.

    aiohttp's connector has no such order, no way to close the idle connections of one address, and does not
    look at what an idle one has received; this reaches into its table of them, for which tests stand guard.
    """

    def __init__(self, idle_s: float, most: int, counters: Counters) -> None:
        super().__init__(
            limit=0, keepalive_timeout=idle_s, use_dns_cache=False, happy_eyeballs_delay=None
        )
        self.most, self._counters = most, counters

    def _release(
        self, key: ConnectionKey, protocol: ResponseHandler, *, should_close: bool = False
    ) -> None:
        super()._release(key, protocol, should_close=should_close)
        kept = self._conns.get(key)
        if kept and kept[-1][0] is protocol:
            kept.rotate(1)  # the connector takes from the left

    async def _get(self, key: ConnectionKey, traces: list[Trace]) -> Connection | None:
        # Guards against an answer nobody asked for, come while the connection was idle: the next request
        # on it would take it for its own.
        kept = self._conns.get(key)
        for held in [h for h in kept or () if h[0].should_close and h[0].is_connected()]:
            assert kept is not None
            kept.remove(held)
            held[0].close()
            self._counters.add("unreadable")
        if kept is not None and not kept:
            del self._conns[key]
        return await super()._get(key, traces)

    def drop_idle(self, address: Address) -> None:
        for key in [k for k in self._conns if k.host == address.host and k.port == address.port]:
            for connection, _since in self._conns.pop(key):
                connection.close()

    def room(self) -> bool:
        """Whether another connection may be opened, after the longest idle one has made way if need be."""
        idle = sum(map(len, self._conns.values()))
        if len(self._acquired) + idle < self.most:
            return True
        if not idle:
            return False
        key = min((k for k in self._conns if self._conns[k]), key=lambda k: self._conns[k][-1][1])
        self._conns[key].pop()[0].close()
        if not self._conns[key]:
            del self._conns[key]
        return True


def make_session(pool: aiohttp.TCPConnector) -> aiohttp.ClientSession:
    """A client that sends what it is given, once."""
    session = aiohttp.ClientSession(
        connector=pool,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=SKIP_AUTO,
        auto_decompress=False,
        trust_env=False,
        timeout=aiohttp.ClientTimeout(total=None, connect=None, sock_connect=None, sock_read=None),
    )
    # aiohttp sends an idempotent request again by itself when a kept connection turns out dead; the
    # backend may have begun it. The switch has no public name.
    session._retry_connection = False
    return session


async def read_whole(response: aiohttp.ClientResponse, most: int = protocol.MOST_BODY) -> bytes:
    """The body, when it is sure to be whole and no longer than allowed."""
    chunked = response.headers.get("Transfer-Encoding", "").lower().endswith("chunked")
    framed = response.content_length is not None or chunked
    if not framed:
        raise protocol.Unreadable("an answer whose end cannot be told")
    if (response.content_length or 0) > most:
        raise protocol.Unreadable("an answer that is too long")
    parts, size = [], 0
    async for chunk in response.content.iter_any():
        parts.append(chunk)
        size += len(chunk)
        if size > most:
            raise protocol.Unreadable("an answer that is too long")
    return b"".join(parts)


class _Attempt:
    __slots__ = ("begun", "stopped", "task", "timer")

    def __init__(self) -> None:
        self.task: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.begun = False
        self.stopped: Result | None = None  # why it was called off: TIMEOUT or CANCELLED

    def stop(self, why: Result) -> None:
        """Calls the attempt off, once; its connection closes with it."""
        if self.stopped is not None:
            return
        self.stopped = why
        # A task cancelled before its first step would end without a word.
        if self.begun and self.task:
            self.task.cancel()


class Backend(Actor[Order]):
    def __init__(
        self,
        number: int,
        ident: str,
        address: Address,
        started_ns: int,
        *,
        loop: asyncio.AbstractEventLoop,
        counters: Counters,
        clock: Clock,
        pool: Pool,
        session: aiohttp.ClientSession,
        connect_timeout_ns: int,
        load_names: tuple[str, ...],
        report: Callable[[Ended | Probed], None],
    ) -> None:
        super().__init__(f"backend {ident}", loop, counters)
        self.number, self.ident, self.address, self.started_ns = number, ident, address, started_ns
        self._clock, self._pool, self._session, self._report = clock, pool, session, report
        self._load_names = load_names
        self._timeout = aiohttp.ClientTimeout(total=None, sock_connect=connect_timeout_ns / NS)
        self._out: dict[tuple[int, int], _Attempt] = {}
        self._probes: set[asyncio.Task[None]] = set()

    def receive(self, batch: list[Order]) -> None:
        for order in batch:
            if isinstance(order, Send):
                self._start(order)
            elif isinstance(order, Cancel):
                if attempt := self._out.get((order.request, order.attempt)):
                    attempt.stop(Result.CANCELLED)
            elif isinstance(order, SendProbe):
                task = self.loop.create_task(self._probe())
                self._probes.add(task)
                task.add_done_callback(self._probes.discard)
            elif isinstance(order, DropIdle):
                self._pool.drop_idle(self.address)
            else:
                if order.address != self.address or order.started_ns != self.started_ns:
                    self._pool.drop_idle(self.address)  # they belong to an earlier life of it
                self.address, self.started_ns = order.address, order.started_ns

    def recover(self, batch: list[Order], why: Exception) -> None:
        now = self._clock.now()
        for order in batch:
            if isinstance(order, Send) and (order.request, order.attempt) not in self._out:
                self._end(order, Result.NOT_SENT, now)

    @property
    def out(self) -> int:
        return len(self._out)

    def _start(self, order: Send) -> None:
        attempt = self._out[order.request, order.attempt] = _Attempt()
        attempt.task = self.loop.create_task(self._run(order, attempt))
        due = self._clock.loop_time(order.due_ns)
        attempt.timer = self.loop.call_at(due, self._expire, attempt, due)

    def _expire(self, attempt: _Attempt, due: float) -> None:
        """Guards against a proxy that stood still: what came meanwhile is read before it is late."""
        if self.loop.time() - due > STOOD_S:
            attempt.timer = self.loop.call_later(STOOD_READ_S, attempt.stop, Result.TIMEOUT)
        else:
            attempt.stop(Result.TIMEOUT)

    async def _run(self, order: Send, attempt: _Attempt) -> None:
        sent_at = self._clock.now()
        upload = aiohttp.UploadTracker()
        result, answer = Result.NOT_SENT, None
        load: tuple[float, ...] = ()
        attempt.begun = True
        try:
            if attempt.stopped is None:
                result, load, answer = await self._exchange(order, upload, sent_at)
        except asyncio.CancelledError:
            result = attempt.stopped or Result.CANCELLED  # without a reason: the proxy stops
            if result == Result.TIMEOUT and not _written(upload):
                result = Result.CONNECT_FAILED
        except (TimeoutError, aiohttp.ClientError, OSError) as why:
            result = Result.RESET if _written(upload) else Result.CONNECT_FAILED
            if isinstance(why, (aiohttp.ClientResponseError, aiohttp.InvalidURL)):
                self.counters.add("unreadable")
        except protocol.Unreadable as why:
            result = Result.ERROR
            self.counters.add("unreadable")
            log.debug("unreadable answer", extra={"kv": {"backend": self.ident, "why": why}})
        except Exception:
            result = Result.RESET if _written(upload) else Result.NOT_SENT
            self.counters.add("faults")
            log.exception("attempt fault", extra={"kv": {"backend": self.ident}})
        finally:
            if attempt.timer:
                attempt.timer.cancel()
            self._out.pop((order.request, order.attempt), None)
            self._end(order, result, sent_at, load, answer)

    async def _exchange(
        self, order: Send, upload: aiohttp.UploadTracker, sent_at: int
    ) -> tuple[Result, tuple[float, ...], protocol.Answer | None]:
        inbound = order.inbound
        if not self._pool.room():
            return Result.NOT_SENT, (), None
        headers: CIMultiDict[str] = inbound.headers.copy()
        headers["X-Remaining"] = protocol.duration_text(order.due_ns - sent_at)
        async with self._session.request(
            inbound.method,
            URL(f"http://{self.address}{inbound.target}", encoded=True),
            headers=headers,
            data=inbound.body or (None if inbound.method == "GET" else b""),
            allow_redirects=False,
            timeout=self._timeout,
            upload_tracker=upload,
        ) as response:
            body = await read_whole(response)
            result = protocol.result_of(response.status, response.headers)
            answer = None
            if result == Result.OK:
                answer = protocol.Answer(body, protocol.passed_on(response.headers))
            return result, self._load(response.headers.get(protocol.PRESSURE)), answer

    def _load(self, text: str | None) -> tuple[float, ...]:
        if not text or not self._load_names:
            return ()
        try:
            return protocol.read_load(text, self._load_names)
        except protocol.Unreadable:
            self.counters.add("unreadable")
            return ()

    def _end(
        self,
        order: Send,
        result: Result,
        sent_at: int,
        load: tuple[float, ...] = (),
        answer: protocol.Answer | None = None,
    ) -> None:
        self.counters.add("attempts_" + result.name.lower())
        if result in (Result.RESET, Result.CONNECT_FAILED):
            # Guards against a cut that ended: idle connections from before it would each fail a request.
            self._pool.drop_idle(self.address)
        latency = self._clock.now() - sent_at
        self._report(Ended(order.request, order.attempt, self.number, result, latency, load, answer))

    async def _probe(self) -> None:
        sent_at = self._clock.now()
        load: tuple[float, ...] = ()
        self.counters.add("probes")
        path = protocol.LOAD_PATH if self._load_names else protocol.HEALTH_PATH
        try:
            async with (
                asyncio.timeout(PROBE_NS / NS),
                self._session.get(
                    URL(f"http://{self.address}{path}", encoded=True),
                    allow_redirects=False,
                    timeout=self._timeout,
                ) as response,
            ):
                body = await read_whole(response)
                load = self._load(body.decode("utf-8", "replace").strip() or None)
                result = protocol.result_of(response.status, response.headers)
        except TimeoutError:
            result = Result.TIMEOUT
        except (aiohttp.ClientError, OSError):
            result = Result.CONNECT_FAILED
        except protocol.Unreadable:
            self.counters.add("unreadable")
            result = Result.ERROR
        self._report(Probed(self.number, result, self._clock.now() - sent_at, load))


def _written(upload: aiohttp.UploadTracker) -> bool:
    """Whether the request's last byte was handed on, so that the backend may have begun it."""
    done = upload.upload_complete
    return done.done() and not done.cancelled() and done.exception() is None
