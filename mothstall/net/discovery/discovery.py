"""The endpoint list: an actor that polls discovery, or watches it for changes."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable
from dataclasses import dataclass

import aiohttp
from yarl import URL

from mothstall.config import Address, Names
from mothstall.interface import UpdateScope
from mothstall.net import protocol
from mothstall.net.actor import Actor
from mothstall.net.counters import Counters
from mothstall.net.discovery.session import first_byte_callback, make_session, read_complete

log = logging.getLogger("mothstall.discovery")

MIN_WAIT_S = 5.0  # minimum time that one watch call waits for an event
MAX_WAIT_S = 60.0  # maximum time that one watch call waits for an event
# Timeout of a call that does not wait for an event. Discovery drops a call that has been queued for
# 2 s; the timeout is longer, so that a call that it begins to serve just before then can complete.
CALL_TIMEOUT_S = 2.25
# Added to the wait of a call for its timeout: its events count as delivered 2 s after the wait.
WAIT_MARGIN_S = 1.2
CONNECT_TIMEOUT_S = 1.0  # timeout of a connection to discovery
MAX_LIST = 8 * 1024 * 1024  # bytes of one response
HTTP_OK = 200
ADDRESS_CHANGE_RETRY_S = 0.1  # pause after a failed call soon after a change of address
ADDRESS_CHANGE_WINDOW_S = 3.0  # after a change of address: ADDRESS_CHANGE_RETRY_S applies
# Where the list is pushed, the grace of a drain starts when the agent receives the drain: the two
# fractions below derive time limits from that grace.
FIRST_CALL_GRACE_FRACTION = 0.5  # of the grace: a watch's first call counts as failed after this
PAUSE_GRACE_FRACTION = 0.25  # of the grace: pause between calls from the second failure in a row on
MIN_FIRST_CALL_S = 0.2  # lower limit of the time after which a first call counts as failed
MIN_PAUSE_S = 0.05  # guards against a busy loop where the grace is zero
MAX_PAUSE_S = 1.0  # upper limit of the pause
SPREAD_PER_PROXY_S = 0.01  # spreads the calls of all proxies after an outage of discovery
MAX_SPREAD_S = 0.5  # upper limit of the spread over all proxies


@dataclass(slots=True)
class SetWatching:
    """Start or end the watch."""

    is_on: bool


@dataclass(slots=True)
class PollOnce:
    """Poll the full list once."""


@dataclass(slots=True)
class DiscoveryAddressChanged:
    """The address of discovery has changed."""

    address: Address


@dataclass(slots=True, frozen=True)
class PollFailed:
    """A call that failed."""

    is_silent: bool  # the call timed out before the first byte
    missed_since: float  # on the loop's clock, s: events after this time may have been missed


@dataclass(slots=True)
class EndpointsUpdated:
    """A response of discovery, or a failed call."""

    scope: UpdateScope
    update: protocol.ParsedUpdate | None
    took_s: float = 0.0  # of a failed call: age of the oldest event that may have been missed


@dataclass(slots=True)
class CallTiming:
    """Time limits of calls and pauses between them, in seconds."""

    wait_s: float  # time that a watch call waits for an event
    first_s: float  # a watch's first call counts as failed after this time
    pause_s: float  # between calls from the second failure in a row on, where the list is pushed
    spread_s: float  # delay of this proxy's next call after a watch that timed out silently


def call_timing(push: bool, proxies: int, position: int, grace_s: float) -> CallTiming:
    """Return the timing of one proxy's calls; the arguments are those of `Discovery`."""
    return CallTiming(
        # One discovery serves all proxies: together their waits end about once per second.
        wait_s=min(MAX_WAIT_S, max(MIN_WAIT_S, float(proxies))),
        first_s=min(CALL_TIMEOUT_S, max(MIN_FIRST_CALL_S, FIRST_CALL_GRACE_FRACTION * grace_s))
        if push
        else CALL_TIMEOUT_S,
        pause_s=min(MAX_PAUSE_S, max(MIN_PAUSE_S, PAUSE_GRACE_FRACTION * grace_s)),
        spread_s=min(MAX_SPREAD_S, SPREAD_PER_PROXY_S * proxies) * (position % proxies) / proxies,
    )


class Discovery(Actor[SetWatching | PollOnce | DiscoveryAddressChanged]):
    """Polls and watches discovery, and reports each update and each failure to `report`."""

    def __init__(
        self,
        address: Address,
        version: int,
        names: Names,
        *,
        push: bool,
        proxies: int,
        position: int,
        grace_s: float,
        loop: asyncio.AbstractEventLoop,
        counters: Counters,
        report: Callable[[EndpointsUpdated], None],
    ) -> None:
        """Create the actor; no call is made before `start` or a message.

        Args:
            address: address of discovery.
            version: version of the cached list; updates since then are requested.
            names: names of zones and hardware kinds, to parse updates with.
            push: whether the watch starts by itself and continues after failures.
            proxies: number of proxies that share one discovery.
            position: index of this proxy among them, from 0.
            grace_s: how long requests may still be sent after a drain is delivered.
            loop: the event loop.
            counters: where calls and failures are counted.
            report: receives each update and each failed call.
        """
        super().__init__("discovery", loop, counters)
        self._address = address
        self._version = version
        self._names = names
        self._push = push
        self._report = report
        self._timing = call_timing(push, proxies, position, grace_s)
        self._session = make_session()
        self._watch: asyncio.Task[None] | None = None
        # The watch at the previous address: its call in flight may still bring an update.
        self._previous_watch: asyncio.Task[None] | None = None
        # A slow call that goes on while later calls are made.
        self._slow_call: asyncio.Task[protocol.ParsedUpdate | PollFailed] | None = None
        self._epoch = 0  # of the address: watches of earlier epochs end
        self._retry_soon_until = 0.0  # on the loop's clock, s: failures are retried soon until then
        self._is_first_call_open = False  # a watch has started and has received no response yet
        self._polls: set[asyncio.Task[None]] = set()

    def receive(self, batch: list[SetWatching | PollOnce | DiscoveryAddressChanged]) -> None:
        """Handle the messages in order; calls run as tasks in the background."""
        for message in batch:
            if isinstance(message, DiscoveryAddressChanged):
                self._change_address(message.address)
                continue
            if isinstance(message, PollOnce):
                task = self.loop.create_task(self._poll())
                self._polls.add(task)
                task.add_done_callback(self._polls.discard)
                continue
            is_push_watched = self._push and self._watch and not self._watch.done()
            if message.is_on and (self._is_first_call_open or is_push_watched):
                # The first call in flight, or the running watch, also serves this message.
                continue
            self._cancel_watch()
            if message.is_on:
                self._is_first_call_open = True
                self._watch = self.loop.create_task(self._run_watch(self._epoch, self._address))

    def start(self) -> None:
        """Start the watch if updates are pushed."""
        if self._push:
            self.tell(SetWatching(True))

    def _cancel_watch(self) -> None:
        for task in (self._watch, self._previous_watch, self._slow_call):
            if task:
                task.cancel()
        self._watch = None
        self._previous_watch = None
        self._slow_call = None
        self._is_first_call_open = False

    def _change_address(self, address: Address) -> None:
        """Call the new address at once; the call in flight at the old one may bring an update.

        Guards against missed updates: the old address may end its watches or stop responding.
        """
        if address == self._address:
            return
        self._address = address
        self._retry_soon_until = self.loop.time() + ADDRESS_CHANGE_WINDOW_S
        self._epoch += 1
        if self._previous_watch:
            self._previous_watch.cancel()
        self._previous_watch = self._watch
        if self._watch is None or self._watch.done():
            self._is_first_call_open = True
        # A running watch continues with a call that waits: a poll would return nothing more.
        self._watch = self.loop.create_task(
            self._run_watch(self._epoch, address, is_first=self._is_first_call_open)
        )

    async def stop(self) -> None:
        """Cancel all calls and close the connections."""
        for task in (self._watch, self._previous_watch, self._slow_call, *self._polls):
            if task:
                task.cancel()
        await self._session.close()

    def _report_update(self, update: protocol.ParsedUpdate) -> None:
        scope = UpdateScope.FULL if update.is_complete else UpdateScope.DELTA
        self._report(EndpointsUpdated(scope, update))

    def _report_failure(self, failure: PollFailed) -> None:
        self._report(
            EndpointsUpdated(UpdateScope.FAILED, None, self.loop.time() - failure.missed_since)
        )

    async def _watch_call(
        self, address: Address, is_first: bool
    ) -> protocol.ParsedUpdate | PollFailed:
        """Make the next call of a watch; the first one does not wait for an event."""
        wait_ms = 1 if is_first else int(self._timing.wait_s * 1000)
        query = f"?since={self._version}&timeout_ms={wait_ms}"
        if is_first and self._timing.first_s < CALL_TIMEOUT_S:
            return await self._make_first_call(address, query)
        max_s = CALL_TIMEOUT_S if is_first else self._timing.wait_s + WAIT_MARGIN_S
        return await self._call(address, query, max_s, waits=not is_first)

    async def _run_watch(self, epoch: int, address: Address, is_first: bool = True) -> None:
        """Run a watch: the first call polls missed changes, later calls wait for an event."""
        failures = 0  # in a row
        while epoch == self._epoch:
            result = await self._watch_call(address, is_first)
            update = None if isinstance(result, PollFailed) else result
            if epoch != self._epoch:
                # The address has changed: only an update of this call counts, not a failure.
                if update and (update.members or update.is_complete):
                    self._report_update(update)
                return
            if isinstance(result, PollFailed) and self.loop.time() < self._retry_soon_until:
                # Guards against a long wait for a service that is still starting.
                is_first = True
                await asyncio.sleep(ADDRESS_CHANGE_RETRY_S)
                continue
            if isinstance(result, PollFailed) and result.is_silent and not is_first:
                # Guards against a longer pause after a watch that timed out silently: missed events
                # count as delivered 2 s after the wait.
                is_first = True
                self._is_first_call_open = True
                await asyncio.sleep(self._timing.spread_s)
                continue
            self._is_first_call_open = False
            if isinstance(result, PollFailed):
                self._report_failure(result)
                if not self._push:
                    return
                # Guards against a drain that this proxy does not read before its grace is over.
                await asyncio.sleep(self._timing.pause_s if failures else 0.0)
                failures += 1
                is_first = True
                continue
            failures = 0
            if is_first or result.members or result.is_complete:
                self._report_update(result)
            is_first = False

    async def _make_first_call(
        self, address: Address, query: str
    ) -> protocol.ParsedUpdate | PollFailed:
        """Make a call that counts as failed after `first_s`, but may go on in the background.

        Guards against an agent that responds slower than a drain's grace allows. One call at a time
        goes on in the background. Worst case: 2.25 s for that call, a pause of 1 s, and 2.25 s for
        the next one, less than 6 s in total.
        """
        call = self.loop.create_task(self._call(address, query, CALL_TIMEOUT_S))
        began = self.loop.time()
        slow_call = self._slow_call
        until = began + self._timing.first_s
        try:
            while not call.done():
                left_s = until - self.loop.time()
                if left_s <= 0:
                    break
                if slow_call and slow_call.done():
                    received = _update_of(slow_call)
                    if received is not None:
                        return received  # the agent is reachable: continue with a watch
                    slow_call = None
                await asyncio.wait(
                    {call, slow_call} if slow_call else {call},
                    timeout=left_s,
                    return_when=asyncio.FIRST_COMPLETED,
                )
            if call.done():
                return call.result()
            if self._slow_call is None:
                self._slow_call = call
                call.add_done_callback(self._on_slow_call_ended)
            self.counters.add("discovery_failures")
            return PollFailed(True, began)
        finally:
            if call is not self._slow_call:
                call.cancel()

    def _on_slow_call_ended(self, call: asyncio.Task[protocol.ParsedUpdate | PollFailed]) -> None:
        """Report the update of a slow call at once, not after a pause between later calls."""
        if self._slow_call is call:
            self._slow_call = None
        update = _update_of(call)
        if update is not None:
            self._report_update(update)

    async def _poll(self) -> None:
        result: protocol.ParsedUpdate | PollFailed | None = None
        address = None
        # The address may have changed while a call failed.
        while not isinstance(result, protocol.ParsedUpdate) and address != self._address:
            address = self._address
            result = await self._call(address, "", CALL_TIMEOUT_S)
        if isinstance(result, protocol.ParsedUpdate):
            self._report_update(result)
        elif result is not None:
            self._report_failure(result)

    async def _call(
        self, address: Address, query: str, max_s: float, waits: bool = False
    ) -> protocol.ParsedUpdate | PollFailed:
        """Make one call with a timeout of `max_s`; `waits`: the response waits for an event."""
        self.counters.add("discovery_calls")
        reason: object
        began = self.loop.time()
        first_byte_at: float | None = None  # on the loop's clock, s
        silent = False
        call_timeout = asyncio.timeout(max_s)

        def on_first_byte() -> None:
            # Guards against a response that takes as long as the wait: CALL_TIMEOUT_S now applies.
            nonlocal first_byte_at
            first_byte_at = self.loop.time()
            when = call_timeout.when()
            if when is not None and when > first_byte_at + CALL_TIMEOUT_S:
                call_timeout.reschedule(first_byte_at + CALL_TIMEOUT_S)

        first_byte_callback.set(on_first_byte if waits else None)
        try:
            async with call_timeout:
                status, body = await self._get(address, query)
                if status == HTTP_OK:
                    return self._parse_update(body)
                reason = f"status {status}"
        except (protocol.UnreadableMessageError, ValueError) as error:
            self.counters.add("unreadable")
            reason = error
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            reason = f"{type(error).__name__}: {error}"
            silent = call_timeout.expired() and first_byte_at is None
        except Exception as error:
            # Guards against a watch that ends unnoticed: any exception is a failed call.
            self.counters.add("faults")
            log.exception("discovery fault")
            reason = error
        return self._record_failure(reason, silent, waits, began, first_byte_at)

    def _record_failure(
        self, reason: object, silent: bool, waits: bool, began: float, first_byte_at: float | None
    ) -> PollFailed:
        """Count and log the failure of the call that the current task makes."""
        if asyncio.current_task() is not self._slow_call:  # counted after `first_s` already
            self.counters.add("discovery_failures")
        log.info("discovery call failed", extra={"kv": {"why": reason}})
        now = self.loop.time()
        # A call that fails late was a watch until then; one that fails early may not have been one.
        watched = waits and not silent and now - began > CALL_TIMEOUT_S + WAIT_MARGIN_S
        watched_until = now if first_byte_at is None else first_byte_at
        return PollFailed(silent, watched_until if watched else began)

    async def _get(self, address: Address, query: str) -> tuple[int, bytes]:
        """Return status and body of one response."""
        async with self._session.get(
            URL(f"http://{address}{protocol.ENDPOINT_LIST_PATH}{query}", encoded=True),
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        ) as response:
            body = await read_complete(response, MAX_LIST)
        return response.status, body

    def _parse_update(self, body: bytes) -> protocol.ParsedUpdate:
        """Return the update in `body` and adopt its version, which never goes backward."""
        update = protocol.parse_endpoint_list(json.loads(body), self._names)
        if update.version < self._version:
            raise protocol.UnreadableMessageError(f"version {update.version} after {self._version}")
        self._version = update.version
        return update


def _update_of(
    call: asyncio.Task[protocol.ParsedUpdate | PollFailed],
) -> protocol.ParsedUpdate | None:
    """Return the update that a finished call received, if any."""
    if call.cancelled():
        return None
    result = call.result()
    return None if isinstance(result, PollFailed) else result
