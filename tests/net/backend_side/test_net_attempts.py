"""Attempts from the choice of a backend to the first byte: one that ends by then is not sent."""

from __future__ import annotations

import asyncio
import errno
from typing import Any

import pytest

from mothstall import config, interface
from mothstall.interface import NS, AttemptResult, Effect, Endpoint, Health, UpdateScope
from mothstall.net import protocol
from mothstall.net.backend_side import messages as backend_messages
from mothstall.net.clock import Clock
from mothstall.net.counters import Counters
from mothstall.net.decider import Decider
from mothstall.net.decider_messages import (
    ClientLeft,
    ClientResponse,
    DeciderMessage,
    RequestArrived,
    RequestOverdue,
)
from mothstall.net.discovery.discovery import EndpointsUpdated
from mothstall.net.metrics import RequestMetrics
from tests.peers import (
    MS,
    ConnectGate,
    ReceivedRequest,
    Rig,
    StandInDiscovery,
    make_config_tree,
    never_respond,
    raw_client,
    request_bytes,
    respond_ok,
    respond_with,
    response_bytes,
    rig,
    start_backend_rig,
)
from tests.policy import harness as helpers

SHORT_DEADLINES = [
    {"name": name, "effect": effect, "aim-ns": 25 * MS, "deadline-ns": 60 * MS, "worth": 1}
    for name, effect in (("search", "pure"), ("order", "side_effect"))
]


class RecordingBackend:
    """Replaces a backend's actor, and records the commands of the decider."""

    def __init__(self, ident: str) -> None:
        self.ident = ident
        self.commands: list[Any] = []

    def tell(self, command: Any) -> None:
        self.commands.append(command)

    def sends(self) -> list[backend_messages.SendAttempt]:
        return [
            command
            for command in self.commands
            if isinstance(command, backend_messages.SendAttempt)
        ]


class DeciderDriver:
    """Runs a decider alone on batches of messages."""

    def __init__(self, **changes: Any) -> None:
        tree = make_config_tree(StandInDiscovery([]), [], **changes)
        tree["discovery"], tree["known"] = "127.0.0.1:1", None
        self.config = config.from_tree(tree)
        self.counters, self.clock = Counters(), Clock()
        self.backends: dict[int, RecordingBackend] = {}
        self.replies: list[int] = []
        self.decider = Decider(
            self.config,
            loop=asyncio.get_running_loop(),
            counters=self.counters,
            clock=self.clock,
            metrics=RequestMetrics(self.config.names.classes, self.counters),
            make_backend=self._make,
        )
        rows = [Endpoint(i, 0, 0, 0, Health.READY, 1.0, 0) for i in (1, 2)]
        members = [
            protocol.ListedEndpoint(f"s-{e.backend}", config.Address("127.0.0.1", 1), e)
            for e in rows
        ]
        self.receive(EndpointsUpdated(UpdateScope.FULL, protocol.ParsedUpdate(1, True, members)))

    def _make(self, number: int, member: protocol.ListedEndpoint) -> Any:
        self.backends[number] = RecordingBackend(member.id)
        return self.backends[number]

    def receive(self, *messages: DeciderMessage) -> None:
        self.decider.receive(list(messages))

    def arrived(self, number: int, lane: str = "search") -> RequestArrived:
        client_request = protocol.parse_request(
            "GET" if lane == "search" else "POST",
            "/" + lane,
            [
                (b"X-Txn", b"%d" % number),
                (b"X-Lane", lane.encode()),
                (b"X-Remaining", b"800m"),
                (b"Idempotency-Key", b"k"),
            ],
            b"",
            self.config.names,
        )
        return RequestArrived(number, client_request, self.clock.now(), self._reply)

    def _reply(self, reply: ClientResponse) -> None:
        self.replies.append(reply.status)

    def sends(self) -> list[backend_messages.SendAttempt]:
        return [send for backend in self.backends.values() for send in backend.sends()]

    def backend_number_of(self, send: backend_messages.SendAttempt) -> int:
        return next(n for n, b in self.backends.items() if send in b.commands)

    def ended(
        self, send: backend_messages.SendAttempt, result: AttemptResult
    ) -> backend_messages.AttemptEnded:
        return backend_messages.AttemptEnded(
            send.request, send.attempt, self.backend_number_of(send), result, MS, (), None
        )

    @property
    def in_flight(self) -> tuple[int, int]:
        """The balancer's counts of attempts in flight and of open requests."""
        balancer = self.decider._balancer
        return balancer.limits.in_flight, len(balancer.requests.open)


async def settle() -> None:
    for _ in range(5):
        await asyncio.sleep(0)


def test_client_that_leaves_in_the_batch_of_its_request_leaves_nothing_in_flight() -> None:
    async def run() -> None:
        driver = DeciderDriver()
        driver.receive(driver.arrived(1), ClientLeft(1))
        await settle()
        assert driver.in_flight == (0, 0)
        assert not driver.sends() and not driver.decider._pending

    asyncio.run(run())


@pytest.mark.parametrize(
    "result", [AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED, AttemptResult.RESET]
)
def test_client_that_leaves_as_its_attempt_ends_leaves_nothing_in_flight(
    result: AttemptResult,
) -> None:
    async def run() -> None:
        driver = DeciderDriver()
        driver.receive(driver.arrived(1))
        (send,) = driver.sends()
        driver.receive(driver.ended(send, result), ClientLeft(1))
        await settle()
        assert driver.in_flight == (0, 0)
        assert driver.sends() == [send] and not driver.decider._pending

    asyncio.run(run())


def test_rejected_request_of_a_client_that_leaves_is_not_retried() -> None:
    """The same over sockets: response and client hang-up arrive in one loop iteration."""

    async def run() -> None:
        async with rig(never_respond, never_respond) as r:
            client = raw_client(r.proxy.port)
            for backend in r.backends:
                backend.behave = respond_with(b"")
            client.send(request_bytes())
            await r.until(lambda: any(b.requests for b in r.backends))
            first = next(b for b in r.backends if b.requests)
            (writer,) = first.writers
            client.close()
            writer.write(response_bytes(b"", 503, X_Turned_Away="1"))
            await r.until(lambda: r.proxy._decider._balancer.limits.in_flight == 0)
            await settle()
            assert sum(len(b.requests) for b in r.backends) == 1
            assert not r.proxy._decider._pending

    asyncio.run(run())


def changed_row(r: Rig, index: int, how: str) -> dict[str, Any]:
    row = r.backends[index].row("SERVING" if how == "replaced" else how)
    return {**row, "up_since_ms": 1_000_000} if how == "replaced" else row


@pytest.mark.parametrize("how", ["DRAINING", "DELETED", "replaced"])
@pytest.mark.parametrize("lane", ["search", "pay", "order"])
def test_connection_opened_after_its_backend_ended_is_not_used(
    monkeypatch: pytest.MonkeyPatch, how: str, lane: str
) -> None:
    async def run() -> None:
        changes: dict[str, Any] = {
            "limits--connect_timeout_ns": 5_000 * MS,
            "contract--cold_from": 1.0,
        }
        async with rig(respond_ok, **changes) as r:
            gate = ConnectGate(r.proxy.loop, monkeypatch)
            gate.hold(r.backends[0])
            client = await r.client()
            await r.until(lambda: r.count("list_updates") >= 2)  # the watch is established
            reply_task = asyncio.create_task(client.request(lane))
            await r.until(lambda: gate.waiting == 1)
            r.discovery.publish(changed_row(r, 0, how))
            await r.until(lambda: r.count("list_updates") >= 3)
            await settle()
            reconnects = gate.waiting  # a successor at the same address may get a new attempt
            gate.open.set()
            reply = await reply_task
            assert len(r.backends[0].requests) == reconnects <= (how == "replaced")
            assert reply.status == (200 if reconnects else 503)
            assert r.count("attempts_not_sent") + r.count("attempts_cancelled") == 1
            client.close()

    asyncio.run(run())


def test_connecting_probe_ends_with_its_backend(monkeypatch: pytest.MonkeyPatch) -> None:
    async def run() -> None:
        stand_in, backend_rig = await start_backend_rig(respond_ok, connect_ms=5000)
        gate = ConnectGate(backend_rig.loop, monkeypatch)
        gate.hold(stand_in)
        backend_rig.actor.tell(backend_messages.SendProbe())
        backend_rig.send(within_ms=5000)
        # Retries and hedges are attempts as well.
        backend_rig.send("POST", within_ms=5000, body=b"x")
        while gate.waiting < 3:
            await asyncio.sleep(0.002)
        backend_rig.actor.tell(backend_messages.DrainBackend())
        assert await backend_rig.wait_for_results(3) == [AttemptResult.NOT_SENT] * 3
        gate.open.set()
        await settle()
        assert not stand_in.requests and backend_rig.pool.open_count == 0
        await stand_in.stop()

    asyncio.run(run())


def test_attempt_cancelled_before_its_task_starts_leaves_the_pool_unchanged() -> None:
    async def run() -> None:
        stand_in, backend_rig = await start_backend_rig(respond_ok, connect_ms=5000)
        for count in range(1, 4):
            request = backend_rig.send()
            backend_rig.actor.tell(backend_messages.CancelAttempt(request, 0))
            assert (await backend_rig.wait_for_results(count))[-1] == AttemptResult.NOT_SENT
        await settle()
        assert backend_rig.pool.open_count == 0 and not stand_in.requests
        await stand_in.stop()

    asyncio.run(run())


def test_deadline_shorter_than_connecting_is_met_and_nothing_is_sent_later(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def run() -> None:
        async with rig(
            respond_ok,
            **{"limits--connect_timeout_ns": 5_000 * MS, "classes": SHORT_DEADLINES},  # type: ignore[arg-type]
        ) as r:
            gate = ConnectGate(r.proxy.loop, monkeypatch)
            gate.hold(r.backends[0])
            for lane in ("search", "order"):
                assert (await r.request(lane, remaining="60m")).status in (502, 503, 504)
            gate.open.set()
            await settle()
            assert not r.backends[0].requests

    asyncio.run(run())


@pytest.mark.parametrize("first", ["answer", "deadline"])
def test_response_and_deadline_in_one_batch_give_one_response(first: str) -> None:
    async def run() -> None:
        driver = DeciderDriver()
        driver.receive(driver.arrived(1))
        (send,) = driver.sends()
        served = driver.ended(send, AttemptResult.OK)
        served.response = protocol.BackendResponse(b"served", b"")
        ends: list[DeciderMessage] = [served, RequestOverdue(1)]
        driver.receive(*(ends if first == "answer" else reversed(ends)))
        await settle()
        assert driver.replies == [200 if first == "answer" else 502]
        assert driver.in_flight == (0, 0) and not driver.decider._pending
        assert not driver.counters.values["checks_broken"]

    asyncio.run(run())


def test_connection_opened_late_is_used_while_its_request_waits(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def run() -> None:
        changes: dict[str, Any] = {"limits--connect_timeout_ns": 5_000 * MS}
        async with rig(respond_ok, **changes) as r:
            gate = ConnectGate(r.proxy.loop, monkeypatch)
            gate.hold(r.backends[0])
            reply_task = asyncio.create_task(r.request())
            await r.until(lambda: gate.waiting == 1)
            gate.open.set()
            assert (await reply_task).status == 200
            assert len(r.backends[0].requests) == 1

    asyncio.run(run())


@pytest.mark.parametrize("cancelling", [True, False])
def test_request_is_not_sent_after_its_client_left_while_connecting(
    monkeypatch: pytest.MonkeyPatch, cancelling: bool
) -> None:
    async def run() -> None:
        changes: dict[str, Any] = {"limits--connect_timeout_ns": 5_000 * MS}
        changes["limits--cancelling"] = cancelling
        async with rig(respond_ok, **changes) as r:
            gate = ConnectGate(r.proxy.loop, monkeypatch)
            gate.hold(r.backends[0])
            client = raw_client(r.proxy.port)
            client.send(request_bytes())
            await r.until(lambda: gate.waiting == 1)
            client.close()
            await r.until(lambda: r.proxy._frontend.connection_count == 0)
            await settle()
            gate.open.set()
            await r.until(lambda: r.proxy._decider._balancer.limits.in_flight == 0)
            assert (await r.request()).status == 200
            assert len(r.backends[0].requests) == 1  # only the later request

    asyncio.run(run())


def test_retry_connected_after_its_window_is_not_written(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Backends have forgotten the first attempt by then: the effect would happen twice."""

    async def run() -> None:
        go = asyncio.Event()

        async def fails(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            await go.wait()
            writer.write(response_bytes(b"", 500))

        changes: dict[str, Any] = {
            "limits--connect_timeout_ns": 5_000 * MS,
            "limits--parallel_tries": False,
        }
        async with rig(fails, fails, **changes) as r:
            window_s = 0.9  # of the class `pay`
            gate = ConnectGate(r.proxy.loop, monkeypatch)
            r.proxy._decider._balancer.retry_budget.tokens = 5.0
            reply_task = asyncio.create_task(r.request("pay", remaining="3000m"))
            await r.until(lambda: any(b.requests for b in r.backends))
            started_s = r.proxy.loop.time()
            gate.hold(*(b for b in r.backends if not b.requests))
            go.set()
            await r.until(lambda: gate.waiting == 1)
            reply = await reply_task
            # It is given up when the window ends, not after 3 s.
            assert r.proxy.loop.time() - started_s < window_s + 1.5
            gate.open.set()
            await settle()
            assert sum(len(b.requests) for b in r.backends) == 1
            assert reply.status in (502, 503)

    asyncio.run(run())


@pytest.mark.parametrize("error_number", [errno.EMFILE, errno.ENOBUFS, errno.EADDRNOTAVAIL])
def test_lack_of_local_resources_ejects_no_backend(
    monkeypatch: pytest.MonkeyPatch, error_number: int
) -> None:
    async def run() -> None:
        async with rig(respond_ok, respond_ok) as r:
            gate = ConnectGate(r.proxy.loop, monkeypatch)
            gate.error = OSError(error_number, "none left")
            gate.open.set()
            gate.hold(*r.backends)
            assert (await r.request()).status == 503
            assert r.proxy._decider.out_of_rotation_count() == 0
            gate.ports.clear()
            assert (await r.request()).status == 200

    asyncio.run(run())


def test_retry_of_a_request_with_key_carries_the_end_of_its_window() -> None:
    driver = helpers.Driver()
    rid, backend = driver.send(1)
    sent_at = driver.now
    driver.now += 20 * helpers.MS
    driver.balancer.retry_budget.tokens = 5.0
    (retry,) = helpers.sends(driver.end(rid, backend, AttemptResult.ERROR))
    assert retry.write_by_ns == sent_at + NS
    # An attempt that certainly did not run sets no limit.
    rid, backend = driver.send(1)
    (retry,) = helpers.sends(driver.end(rid, backend, AttemptResult.REJECTED))
    assert retry.write_by_ns == 0
    rid, backend = driver.send(0)
    (retry,) = helpers.sends(driver.end(rid, backend, AttemptResult.ERROR))
    assert (
        retry.write_by_ns == 0
        and helpers.request_class(Effect.IDEMPOTENT).effect == Effect.IDEMPOTENT
    )


def test_end_of_an_earlier_wait_in_the_queue_does_not_end_a_later_one() -> None:
    driver = helpers.Driver(backends=2, max_attempts=4)
    open_attempts = []
    while True:
        rid, actions = driver.arrive()
        if not (sent := helpers.sends(actions)):
            break
        open_attempts.append((rid, sent[0].backend))
    wait_ends_ns = driver.now + 125 * helpers.MS  # a quarter of the objective
    driver.now += 100 * helpers.MS
    first, second = open_attempts[0], open_attempts[1]
    (sent_now,) = helpers.sends(driver.end(*first))
    assert sent_now.request == rid
    # It is sent from the queue; both backends reject it, and it is queued again.
    driver.now += 10 * helpers.MS
    for _ in range(2):
        actions = driver.end(
            rid, sent_now.backend, AttemptResult.REJECTED, attempt=len(driver.attempts)
        )
        driver.attempts[len(driver.attempts)] = 1
        if not (more := helpers.sends(actions)):
            break
        sent_now = more[0]
    assert driver.balancer.requests.open[rid].queued_until_ns > wait_ends_ns
    driver.now = wait_ends_ns + helpers.MS
    actions = driver.feed(interface.TimerFired(driver.now))
    assert not [a for a in actions if isinstance(a, interface.Reject) and a.request == rid], second


def test_request_rejected_by_one_backend_reaches_the_other_once() -> None:
    """Requests that the first backend rejects are retried on the second one."""

    async def run() -> None:
        async def rejects(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(response_bytes(b"", 503, X_Turned_Away="1"))

        async with rig(rejects, respond_ok) as r:
            for _ in range(4):
                assert (await r.request()).status == 200
            assert len(r.backends[1].requests) == 4

    asyncio.run(run())
