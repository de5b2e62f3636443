"""Clients that leave before their response are noticed at once; nothing is forwarded for them."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from typing import Any

import pytest

from mothstall import config, interface
from mothstall.net.client_side import deadlines
from mothstall.net.client_side.connection import Connection
from mothstall.net.client_side.connection_states import STATE_TIMEOUT_S, ConnectionState
from mothstall.net.client_side.pipelined_input import MAX_PIPELINED_BYTES
from mothstall.net.clock import TimedSelector
from mothstall.net.proxy import Proxy
from tests.peers import (
    Rig,
    StandInBackend,
    StandInDiscovery,
    make_config_tree,
    never_respond,
    raw_client,
    request_bytes,
    reset,
    respond_ok,
    respond_ok_after,
    response_bytes,
    rig,
)
from tests.policy import harness as helpers

DEPARTURES: list[Callable[[socket.socket], None]] = [socket.socket.close, reset]
# Far longer than any wait of these tests, so that a deadline would show as a test timeout.
LONG_REMAINING = "3900m"


def connections(r: Rig) -> list[Connection]:
    """Return the client connections that are open."""
    return [c for c in r.proxy._frontend._accepted if isinstance(c, Connection)]


def no_open_requests_or_clients(r: Rig) -> bool:
    return not r.proxy._decider._pending and not r.proxy._frontend.connection_count


def resources_released(r: Rig) -> bool:
    """Whether all that requests held is released: in flight, queued and open counts, and ids."""
    balancer = r.proxy._decider._balancer
    held = (
        balancer.limits.in_flight,
        balancer.queue.count,
        len(balancer.requests.open),
        len(r.proxy._frontend._open_ids),
    )
    return held == (0, 0, 0, 0)


@pytest.mark.parametrize("end", DEPARTURES)
def test_client_that_leaves_behind_many_pipelined_requests_is_noticed(
    end: Callable[[socket.socket], None],
) -> None:
    async def run() -> None:
        async with rig(never_respond) as r:
            client = raw_client(r.proxy.port)
            client.send(b"".join(request_bytes(remaining=LONG_REMAINING) for _ in range(100)))
            await r.until(lambda: len(r.backends[0].requests) == 1)
            end(client)
            await r.until(lambda: no_open_requests_or_clients(r))
            assert resources_released(r) and len(r.backends[0].requests) == 1

    asyncio.run(run())


@pytest.mark.parametrize("end", DEPARTURES)
@pytest.mark.parametrize("body_size", [100_000, 2_000_000])
def test_client_that_pipelines_much_and_leaves_is_noticed(
    body_size: int, end: Callable[[socket.socket], None]
) -> None:
    async def run() -> None:
        async with rig(never_respond) as r:
            client = raw_client(r.proxy.port)
            client.send(request_bytes(remaining=LONG_REMAINING))
            await r.until(lambda: len(r.backends[0].requests) == 1)
            pipelined = (
                request_bytes("order", body=b"x" * 200, remaining=LONG_REMAINING) + b"x" * body_size
            )
            assert client.send(pipelined) >= 100_000
            end(client)
            await r.until(lambda: no_open_requests_or_clients(r))
            assert resources_released(r) and len(r.backends[0].requests) == 1

    asyncio.run(run())


def test_pipelined_input_over_the_limit_is_rejected_after_the_open_requests_response() -> None:
    async def run() -> None:
        go = asyncio.Event()
        respond_ok_after_go = respond_ok_after(go)

        async with rig(respond_ok_after_go) as r:
            client = await r.client()
            client.writer.write(request_bytes(remaining=LONG_REMAINING))
            await r.until(lambda: len(r.backends[0].requests) == 1)
            client.writer.write(request_bytes() * (2 * MAX_PIPELINED_BYTES // 150))
            await r.until(lambda: any(c.deferred_error for c in connections(r)))
            go.set()
            assert (await client.read()).status == 200
            rejected = await client.read()
            assert (rejected.status, rejected.headers["connection"]) == (400, "close")
            assert len(r.backends[0].requests) == 1
            client.close()

    asyncio.run(run())


def test_pipelined_requests_within_the_limit_are_served_in_order() -> None:
    async def run() -> None:
        async with rig(respond_ok) as r:
            client = await r.client()
            bodies = [b"%d" % i * 1000 for i in range(100)]
            client.writer.write(b"".join(request_bytes("order", body=b) for b in bodies))
            assert [(await client.read()).status for _ in bodies] == [200] * 100
            assert [request.body for request in r.backends[0].requests] == bodies
            client.close()

    asyncio.run(run())


def test_client_that_half_closes_counts_as_gone() -> None:
    """A half-close counts as a departure: the client gets no response after it."""

    async def run() -> None:
        async with rig(never_respond) as r:
            client = raw_client(r.proxy.port)
            client.send(request_bytes(remaining=LONG_REMAINING))
            await r.until(lambda: len(r.backends[0].requests) == 1)
            client.shutdown(socket.SHUT_WR)
            await r.until(lambda: no_open_requests_or_clients(r))
            assert resources_released(r) and r.count("attempts_cancelled") == 1
            client.close()

    asyncio.run(run())


def test_client_that_leaves_while_its_long_body_is_blocked_is_noticed() -> None:
    """The backend reads nothing, so that the proxy does not read from the client either.

    The client leaves by a reset: a FIN would wait behind bytes for which the kernel has no buffer.
    """

    async def run() -> None:
        async with rig(respond_ok) as r:
            with socket.socket() as listener:
                listener.bind(("127.0.0.1", 0))
                listener.listen()
                address = f"127.0.0.1:{listener.getsockname()[1]}"
                row = {**r.backends[0].row(), "id": "s-9", "host_port": address}
                r.discovery.publish({**r.backends[0].row(), "phase": "DELETED"}, row)
                listed_backends = r.proxy._decider._backends
                await r.until(lambda: [b.ident for b in listed_backends.values()] == ["s-9"])
                client = raw_client(r.proxy.port)
                size = 30_000_000
                client.send(
                    request_bytes("order", omit=("Content-Length",), Content_length=str(size))
                )

                def is_body_blocked() -> bool:
                    for _ in range(64):
                        try:
                            client.send(b"u" * 65536)
                        except BlockingIOError:
                            break
                    return any(
                        c.body.stream is not None and c.body.stream.is_paused
                        for c in connections(r)
                    )

                await r.until(is_body_blocked)
                reset(client)
                await r.until(lambda: no_open_requests_or_clients(r))
                assert resources_released(r)

    asyncio.run(run())


@pytest.mark.parametrize("end", DEPARTURES)
def test_request_delayed_by_a_penalty_is_not_forwarded_after_its_client_left(
    monkeypatch: pytest.MonkeyPatch, end: Callable[[socket.socket], None]
) -> None:
    """After a rejected request the next one of the connection is delayed."""
    monkeypatch.setattr(deadlines, "PENALTY_S", 0.3)

    async def run() -> None:
        async with rig(respond_ok) as r:
            client = raw_client(r.proxy.port)
            client.send(request_bytes(omit=("X-Txn",)))
            await r.until(lambda: r.count("requests_bad") == 1)
            client.send(request_bytes())
            end(client)
            await r.until(lambda: no_open_requests_or_clients(r))
            assert not r.backends[0].requests and not r.count("requests")

    asyncio.run(run())


@pytest.mark.parametrize("is_reused", [True, False], ids=["on an open connection", "on a new one"])
def test_unread_request_is_not_forwarded_after_its_client_left(is_reused: bool) -> None:
    """The process was suspended meanwhile: the request and the hang-up are read together."""

    async def run(poll: TimedSelector) -> None:
        backend = StandInBackend(respond_ok)
        await backend.start()
        discovery = StandInDiscovery([backend.row()])
        await discovery.start()
        proxy = Proxy(config.from_tree(make_config_tree(discovery, [backend.row()])), poll)
        await proxy.start()
        r = Rig(proxy, [backend], discovery)
        leaving, staying = raw_client(proxy.port), raw_client(proxy.port)
        # Both at once, so that two connections to the backend stay idle.
        for client in (leaving, staying):
            client.send(request_bytes())
        await r.until(lambda: len(backend.requests) == 2 and r.count("answers_ok") == 2)
        if not is_reused:
            leaving.close()
            await r.until(lambda: proxy._frontend.connection_count == 1)
            leaving = raw_client(proxy.port)
        leaving.send(request_bytes())
        leaving.close()
        staying.send(request_bytes())
        time.sleep(0.25)
        await r.until(lambda: proxy._frontend.connection_count == 1 and r.count("answers_ok") == 3)
        assert len(backend.requests) == 3 and resources_released(r)
        staying.close()
        await proxy.stop(0.0)
        await discovery.stop()
        await backend.stop()

    poll = TimedSelector()
    with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(poll)) as runner:
        runner.run(run(poll))


def test_request_in_the_backlog_is_not_forwarded_after_its_client_left(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Accepting is delayed for lack of descriptors until the client has left."""

    async def run() -> None:
        async with rig(respond_ok) as r:
            frontend = r.proxy._frontend
            assert (await r.request()).status == 200  # leaves an idle connection to the backend
            await r.until(lambda: frontend.connection_count == 0)
            with monkeypatch.context() as patch:
                patch.setattr(frontend.budget, "has_capacity", lambda: False)
                leaving, staying = raw_client(r.proxy.port), raw_client(r.proxy.port)
                leaving.send(request_bytes())
                leaving.close()
                staying.send(request_bytes())
                await r.until(lambda: frontend.budget.waiting_since is not None)
            await r.until(lambda: r.count("answers_ok") == 2 and frontend.connection_count == 1)
            assert len(r.backends[0].requests) == 2 and resources_released(r)
            staying.close()

    asyncio.run(run())


def test_client_that_reads_no_response_is_disconnected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(deadlines, "UNREAD_RESPONSE_TIMEOUT_S", 0.3)
    monkeypatch.setitem(STATE_TIMEOUT_S, ConnectionState.IDLE, 0.2)

    async def run() -> None:
        async def long_response(request: Any, writer: asyncio.StreamWriter) -> None:
            writer.write(response_bytes(b"z" * 60_000))

        async with rig(long_response) as r:
            client = socket.socket()
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            client.connect(("127.0.0.1", r.proxy.port))
            client.setblocking(False)
            client.send(b"".join(request_bytes(remaining=LONG_REMAINING) for _ in range(200)))
            await r.until(lambda: r.count("connections_overdue") == 1, 8.0)
            await r.until(lambda: no_open_requests_or_clients(r))
            assert resources_released(r) and len(r.backends[0].requests) < 200
            client.close()

    asyncio.run(run())


def test_clients_that_leave_in_a_burst_leave_no_state_behind() -> None:
    async def run() -> None:
        async with rig(never_respond, never_respond, never_respond) as r:
            clients = [raw_client(r.proxy.port) for _ in range(60)]
            for client in clients:
                client.send(request_bytes(remaining=LONG_REMAINING))
            await r.until(lambda: r.proxy._decider._balancer.queue.count > 0)  # some are queued
            for i, client in enumerate(clients):
                DEPARTURES[i % 2](client)
            await r.until(lambda: no_open_requests_or_clients(r))
            assert resources_released(r)
            sent = sum(len(b.requests) for b in r.backends)
            for backend in r.backends:
                backend.behave = respond_ok
            assert (await r.request()).status == 200
            assert sum(len(b.requests) for b in r.backends) == sent + 1

    asyncio.run(run())


def test_id_of_a_request_whose_client_left_can_be_reused() -> None:
    async def run() -> None:
        async with rig(never_respond) as r:
            raw = request_bytes("pay", remaining=LONG_REMAINING, body=b"x")
            client = raw_client(r.proxy.port)
            client.send(raw)
            await r.until(lambda: len(r.backends[0].requests) == 1)
            client.close()
            await r.until(lambda: no_open_requests_or_clients(r))
            r.backends[0].behave = respond_ok
            again = await r.client()
            again.writer.write(raw)
            assert (await again.read()).status == 200
            again.close()

    asyncio.run(run())


def test_queued_request_is_not_forwarded_after_its_client_left() -> None:
    driver = helpers.Driver()
    open_attempts = []
    while True:
        rid, actions = driver.arrive()
        if not (sent := helpers.sends(actions)):
            break
        open_attempts.append((rid, sent[0].backend))
    driver.feed(interface.ClientLeft(rid))
    for attempt in open_attempts:
        driver.now += helpers.MS
        assert not [s for s in helpers.sends(driver.end(*attempt)) if s.request == rid]
    assert not driver.balancer.queue.count and not driver.balancer.requests.open


@pytest.mark.parametrize("who", ["the client", "the proxy"])
def test_pipelined_input_of_a_closing_connection_is_not_served(
    monkeypatch: pytest.MonkeyPatch, who: str
) -> None:
    """The connection closes after the first response, before the second request is started."""

    async def run() -> None:
        async with rig(respond_ok) as r:
            unpatched_after_response = Connection.after_response

            def close_after_response(self: Connection, transport: asyncio.Transport) -> None:
                unpatched_after_response(self, transport)
                if who == "the client":
                    self.eof_received()
                    transport.close()  # as asyncio does after eof_received
                else:
                    self.force_close()

            monkeypatch.setattr(Connection, "after_response", close_after_response)
            client = await r.client()
            client.writer.write(request_bytes() + request_bytes())
            assert (await client.read()).status == 200
            assert await client.closed()
            await r.until(lambda: no_open_requests_or_clients(r))
            assert len(r.backends[0].requests) == 1 and r.count("requests") == 1
            client.close()

    asyncio.run(run())


def test_pipelined_body_of_a_slow_reader_is_read_completely() -> None:
    async def run() -> None:
        async def long_response(request: Any, writer: asyncio.StreamWriter) -> None:
            writer.write(response_bytes(b"z" * 60_000))

        async with rig(long_response) as r:
            client = socket.socket()
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            client.connect(("127.0.0.1", r.proxy.port))
            client.setblocking(False)
            count = 100
            bodies = [b"%d" % i * 2000 for i in range(count)]
            raw = b"".join(
                request_bytes("order", body=body, remaining=LONG_REMAINING) for body in bodies
            )
            sending = asyncio.create_task(r.proxy.loop.sock_sendall(client, raw))
            received_bytes = 0
            async with asyncio.timeout(10):
                while received_bytes < count * 60_000:
                    received_bytes += len(await r.proxy.loop.sock_recv(client, 65536))
            await sending
            await r.until(lambda: r.count("answers_ok") == count)
            assert [s.body for s in r.backends[0].requests] == bodies
            client.close()

    asyncio.run(run())
