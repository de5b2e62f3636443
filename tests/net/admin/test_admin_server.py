"""The admin API, metrics, drain and rejoin, and inherited listening sockets."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
from pathlib import Path

import pytest

from mothstall import config
from mothstall.net import lifecycle, proxy
from mothstall.net.admin.server import MAX_CALLERS, AdminCallError, read_call
from mothstall.net.counters import Counters
from mothstall.net.lifecycle import Lifecycle, Phase, ResponseLimit
from mothstall.net.metrics import Outcome, RequestMetrics
from tests.net.test_process import MAIN, ROOT, run_main
from tests.peers import (
    Client,
    ReceivedRequest,
    StandInBackend,
    StandInDiscovery,
    admin_call,
    make_config_tree,
    never_respond,
    request_bytes,
    respond_ok,
    respond_with,
    response_bytes,
    rig,
)

ADMIN_ADDRESS = "127.0.0.1:0"


@pytest.mark.parametrize(
    ("raw", "expected"),
    [
        (b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n", "/api/ready"),
        (b"POST /api/rejoin HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}", "/api/rejoin"),
        (b"POST /api/rejoin HTTP/1.1\r\nContent-Length: 2\r\n\r\n{", None),
        (b"GET /api/ready HTTP/1.1\r\nHost: x\r\n", None),
        (b"GET /api/evacuate HTTP/1.1\r\n\r\n", 405),
        (b"GET /api/ready?x HTTP/1.1\r\n\r\n", 404),
        (b"GET /api/ready HTTP/2\r\n\r\n", 400),
        (b"POST /api/rejoin HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400),
        (b"POST /api/rejoin HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx", 400),
        (b"POST /api/rejoin HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
        (b"POST /api/rejoin HTTP/1.1\r\nContent-Length: 99999\r\n\r\n", 413),
        (b"GET /api/ready HTTP/1.1\r\nno header\r\n\r\n", 400),
        (b"x" * 9000, 413),
    ],
)
def test_a_call_is_read_completely_or_rejected(raw: bytes, expected: str | int | None) -> None:
    if isinstance(expected, int):
        with pytest.raises(AdminCallError) as caught:
            read_call(raw)
        assert caught.value.status == expected
    else:
        assert read_call(raw) == expected


def test_phases_change_by_command_and_by_time() -> None:
    p = Lifecycle()
    # A rejoin without a drain changes nothing.
    assert p.accepts_clients and p.rejoin() and p.response_limit is None
    assert p.evacuate(10.0) and not p.accepts_clients
    assert p.evacuate(11.0)  # the first call counts
    answer_by_s = 10.0 + lifecycle.DRAIN_DEADLINE_S
    assert p.response_limit == ResponseLimit(10.0 + lifecycle.IDLE_DRAIN_S, answer_by_s)
    assert p.tick(10.0 + lifecycle.IDLE_DRAIN_S - 0.1) is Phase.DRAINING
    assert p.tick(10.0 + lifecycle.IDLE_DRAIN_S) is Phase.DRAINED
    rejects_by_s = answer_by_s - lifecycle.UPLOAD_MARGIN_S
    assert not p.rejects_uploads(rejects_by_s - 0.1) and p.rejects_uploads(rejects_by_s)
    assert not p.is_drain_overdue(answer_by_s - 0.1) and p.is_drain_overdue(answer_by_s)
    assert p.rejoin() and p.accepts_clients and p.tick(20.0) is Phase.SERVING
    assert p.response_limit is None and not p.is_drain_overdue(20.0)
    assert p.evacuate(30.0) and p.rejoin() and p.tick(40.0) is Phase.SERVING  # during the drain
    assert p.evacuate(50.0)
    p.stop(52.0, 3.0)
    assert not p.rejoin() and not p.evacuate(53.0)
    assert p.tick(60.0) is Phase.STOPPING
    assert p.response_limit == ResponseLimit(0.0, 55.0 + lifecycle.ANSWER_MARGIN_S)
    assert not p.rejects_incomplete(54.0) and p.rejects_incomplete(
        55.0 - lifecycle.INCOMPLETE_MARGIN_S
    )


def test_metrics_add_up_and_no_more_requests_may_end_than_were_accepted() -> None:
    f = RequestMetrics(("a", "b"), Counters())
    for outcome in Outcome:
        f.start_request(1)
        f.end_request(1, outcome)
    f.start_request(0)
    f.relayed = 7
    assert f.statsd_text(registry_entries=3).splitlines() == [
        *(
            "app.fulfilled.a:0|c",
            "app.fulfilled.b:1|c",
            "app.throttled.a:0|c",
            "app.throttled.b:1|c",
        ),
        *("app.faulted.a:0|c", "app.faulted.b:1|c", "app.relayed:7|c", "app.open_requests:1|g"),
        "app.registry_entries:3|g",
    ]
    with pytest.raises(AssertionError):
        f.end_request(1, Outcome.LEFT)


def test_metrics_equal_what_clients_and_backends_counted() -> None:
    async def run() -> None:
        async with rig(respond_ok, admin_addr=ADMIN_ADDRESS, limits__max_attempts=1) as r:
            assert (await r.request("search")).status == 200
            assert (await r.request("pay", body=b"x" * 60_000)).status == 200
            r.backends[0].behave = respond_with(response_bytes(b"no", 500))
            failed = await r.request("order")
            assert failed.status == 502
            r.backends[0].behave = never_respond
            client = await r.client()
            client.writer.write(request_bytes("search"))
            await r.until(lambda: len(r.backends[0].requests) == 4)
            metrics = await r.telemetry()
            assert metrics["open_requests"] == 1 and metrics["relayed"] == 4
            client.close()
            await r.until(lambda: r.count("requests_left") == 1)
            metrics = await r.telemetry()
            assert [metrics[f"fulfilled.{c}"] for c in ("search", "pay", "order")] == [1, 1, 0]
            assert [metrics[f"faulted.{c}"] for c in ("search", "pay", "order")] == [0, 0, 1]
            assert metrics["open_requests"] == 0 and metrics["registry_entries"] == 1
            assert sum(n for name, n in metrics.items() if name.startswith("throttled")) == 0
            r.discovery.publish(r.backends[0].row("DRAINING"))
            async with asyncio.timeout(3):
                while (await r.telemetry())["out_of_rotation"] != 1:
                    await asyncio.sleep(0.02)

    asyncio.run(run())


def test_an_ejected_backend_is_out_of_rotation_until_it_serves() -> None:
    async def run() -> None:
        async with rig(respond_ok, respond_ok, admin_addr=ADMIN_ADDRESS) as r:
            for _ in range(6):
                await r.request()
            assert (await r.telemetry())["out_of_rotation"] == 0
            await max(r.backends, key=lambda b: len(b.requests)).stop()
            async with asyncio.timeout(5):
                while (await r.telemetry())["out_of_rotation"] != 1:
                    assert (await r.request()).status == 200

    asyncio.run(run())


def test_idle_callers_are_closed_and_calls_are_answered() -> None:
    async def run() -> None:
        async with rig(respond_ok, admin_addr=ADMIN_ADDRESS) as r:
            idle_connections = [
                await asyncio.open_connection("127.0.0.1", r.proxy.admin_port) for _ in range(50)
            ]
            for _, writer in idle_connections[::2]:
                writer.write(b"GET /api/rea")
            reply = await asyncio.wait_for(r.admin_call("/api/ready"), 1)
            assert (reply.status, reply.headers["connection"]) == (200, "close")
            assert (await r.admin_call("/api/nothing")).status == 404
            assert (await r.admin_call("/api/evacuate", "GET")).status == 405
            assert (await r.admin_call("/api/ready")).status == 200
            assert (
                r.proxy._admin_server is not None
                and len(r.proxy._admin_server._callers) <= MAX_CALLERS
            )
            for _, writer in idle_connections:
                writer.close()

    asyncio.run(run())


def test_a_drain_closes_idle_connections_late_and_a_rejoin_accepts_clients_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(lifecycle, "IDLE_DRAIN_S", 0.5)
    monkeypatch.setattr(lifecycle, "DRAIN_DEADLINE_S", 1.2)

    async def run() -> None:
        async with rig(respond_ok, admin_addr=ADMIN_ADDRESS) as r:
            active, idle, half = await r.client(), await r.client(), await r.client()
            for client in (active, idle):
                assert (await client.request()).status == 200
            half.writer.write(b"GET /search HTTP/1.1\r\n")
            assert (await r.admin_call("/api/evacuate")).status == 200
            assert (await r.admin_call("/api/evacuate")).status == 200
            assert (await r.admin_call("/api/ready")).status == 503
            front = await r.client()
            front.writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            assert (await front.read()).status == 503
            reply = await active.request()  # served, and the connection is closed
            assert (reply.status, reply.headers["connection"]) == (200, "close")
            assert not await idle.closed(0.2)
            assert await idle.closed(2)
            assert (await half.read()).status == 408
            # Too late in the drain for a full deadline, but still answered.
            late = await r.request()
            assert late.status in (200, 503)
            known = r.proxy._decider._balancer
            assert (await r.admin_call("/api/rejoin")).status == 200
            assert (await r.admin_call("/api/ready")).status == 200
            again = await r.client()
            for _ in range(2):
                reply = await again.request()
                assert reply.status == 200 and "connection" not in reply.headers
            assert r.proxy._decider._balancer is known

    asyncio.run(run())


@pytest.mark.parametrize("is_penalized", [False, True])
def test_a_request_not_yet_read_in_an_overdue_drain_is_rejected_as_harmless_to_retry(
    is_penalized: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against 408, a failure, for a request that came before its connection was closed."""
    monkeypatch.setattr(lifecycle, "IDLE_DRAIN_S", 0.0)
    monkeypatch.setattr(lifecycle, "DRAIN_DEADLINE_S", 0.1)

    async def run() -> None:
        async with rig(respond_ok, admin_addr=ADMIN_ADDRESS) as r:
            client = await r.client()
            if is_penalized:
                assert (await client.request(remaining="none")).status == 400
            await r.admin_call("/api/evacuate")
            if not is_penalized:
                await asyncio.sleep(0.2)
                client = await r.client()
            assert (await client.read()).status == 503

    asyncio.run(run())


def test_pipelined_requests_in_a_drain_are_served_at_most_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(lifecycle, "IDLE_DRAIN_S", 0.4)

    async def run() -> None:
        async with rig(serve_after_200_ms, admin_addr=ADMIN_ADDRESS) as r:
            client = await r.client()
            client.writer.write(
                request_bytes("order") + request_bytes("order") + request_bytes("order")
            )
            await r.until(lambda: len(r.backends[0].requests) == 1)
            await r.admin_call("/api/evacuate")
            reply = await client.read()
            assert (reply.status, reply.headers["connection"]) == (200, "close")
            # The requests behind it were not executed: the client may retry elsewhere.
            assert await client.closed()
            await asyncio.sleep(0.3)
            assert len(r.backends[0].requests) == 1
            await r.admin_call("/api/rejoin")
            assert (await r.request("order")).status == 200

    asyncio.run(run())


def test_operators_are_answered_in_time_under_client_load() -> None:
    async def run() -> None:
        async with rig(respond_ok, respond_ok, admin_addr=ADMIN_ADDRESS) as r:
            stopped = asyncio.Event()

            async def send_requests() -> None:
                client = await r.client()
                while not stopped.is_set():
                    await client.request()

            request_tasks = [asyncio.create_task(send_requests()) for _ in range(60)]
            idle_connections = [
                await asyncio.open_connection("127.0.0.1", r.proxy.admin_port) for _ in range(50)
            ]
            worst, loop = 0.0, asyncio.get_running_loop()
            for path in ("/api/ready", "/api/telemetry") * 10:
                began = loop.time()
                assert (await r.admin_call(path)).status == 200
                worst = max(worst, loop.time() - began)
            stopped.set()
            await asyncio.gather(*request_tasks)
            for _, writer in idle_connections:
                writer.close()
            assert worst < 1.0 and r.count("requests") > 100

    asyncio.run(run())


def test_a_request_received_late_in_a_drain_is_answered_in_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(lifecycle, "IDLE_DRAIN_S", 0.0)
    monkeypatch.setattr(lifecycle, "DRAIN_DEADLINE_S", 0.4)

    async def run() -> None:
        async with rig(never_respond, admin_addr=ADMIN_ADDRESS) as r:
            await r.admin_call("/api/evacuate")
            began = asyncio.get_running_loop().time()
            reply = await r.request("order", remaining="990m")
            assert reply.status in (502, 503, 504)
            assert asyncio.get_running_loop().time() - began < 0.8

    asyncio.run(run())


def test_a_shutdown_does_not_wait_for_a_deadline_after_the_kill(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(proxy, "MAX_DEADLINE_S", 0.3)

    async def run() -> None:
        async with rig(never_respond) as r:
            loop = asyncio.get_running_loop()
            client, slow = await r.client(), await r.client()
            client.writer.write(request_bytes("order", remaining="3900m"))
            slow.writer.write(request_bytes("order", body=b"x" * 50)[:-10])
            await r.until(lambda: len(r.backends[0].requests) == 1)
            began = loop.time()
            ending = asyncio.create_task(r.proxy.stop(0.0))
            assert (await client.read()).status in (502, 504)
            # An incomplete request is rejected while there is time.
            assert (await slow.read()).status == 503
            await ending
            assert loop.time() - began < 1.5  # not the 3.9 s that the client would wait

    asyncio.run(run())


@pytest.mark.parametrize(
    ("env", "named_key"),
    [
        ({"LB_ADMIN_ADDR": "nowhere"}, "admin_addr"),
        ({"LB_ADMIN_ADDR": "127.0.0.1:7001", "LB_LISTEN": "127.0.0.1:7001"}, "admin_addr"),
        ({"LB_LISTEN_FD": "77"}, "LB_LISTEN_FD"),
        ({"LB_LISTEN_FD": "0"}, "LB_LISTEN_FD"),
        ({"LB_LISTEN_FD": "-1"}, "LB_LISTEN_FD"),
    ],
)
def test_faulty_addresses_and_descriptors_exit_with_2_and_the_key(
    tmp_path: Path, env: dict[str, str], named_key: str
) -> None:
    path = tmp_path / "config.json"
    discovery = StandInDiscovery([])
    path.write_text(json.dumps(make_config_tree(discovery, [])))
    done = run_main("check-config", "--config", str(path), **env)
    assert done.returncode == 2 and named_key in done.stderr and done.stderr.count("\n") == 1


def test_an_admin_address_in_use_exits_with_1_and_the_key(tmp_path: Path) -> None:
    with socket.socket() as other:
        other.bind(("127.0.0.1", 0))
        other.listen()
        path = tmp_path / "config.json"
        tree = make_config_tree(
            StandInDiscovery([]), [], admin_addr=f"127.0.0.1:{other.getsockname()[1]}"
        )
        path.write_text(json.dumps(tree))
        done = run_main("serve", "--config", str(path))
    assert (
        done.returncode == 1
        and "mothstall: admin_addr" in done.stderr
        and "Unclosed" not in done.stderr
    )


async def serve_after_200_ms(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(0.2)
    await respond_ok(request, writer)


class Platform:
    """Holds the listening socket, and starts proxies that inherit it as descriptor 3."""

    def __init__(
        self, tmp_path: Path, stand_in: StandInBackend, discovery: StandInDiscovery
    ) -> None:
        self.path, self.stand_in, self.discovery = tmp_path, stand_in, discovery
        self.sock = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.port = self.sock.getsockname()[1]
        self.processes: list[asyncio.subprocess.Process] = []

    async def start(self) -> tuple[asyncio.subprocess.Process, int]:
        """Start a process; returns it and its admin port once it reports itself ready."""
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            port: int = free.getsockname()[1]
        tree = make_config_tree(
            self.discovery, [self.stand_in.row()], admin_addr=f"127.0.0.1:{port}"
        )
        tree["listen"] = f"127.0.0.1:{self.port}"
        path = self.path / f"config-{len(self.processes)}.json"
        path.write_text(json.dumps(tree))
        env = {**os.environ, "LB_CONFIG": str(path), "LB_LISTEN_FD": "3", "TMPDIR": str(self.path)}
        process = await asyncio.create_subprocess_exec(
            *MAIN,
            env=env,
            cwd=ROOT,
            pass_fds=(3,),
            preexec_fn=lambda: os.dup2(self.sock.fileno(), 3),
            stderr=asyncio.subprocess.PIPE,
        )
        self.processes.append(process)
        async with asyncio.timeout(10):
            while True:
                with contextlib.suppress(OSError):
                    if (await admin_call(port, "/api/ready")).status == 200:
                        return process, port
                await asyncio.sleep(0.02)

    async def client(self) -> Client:
        return Client(*await asyncio.open_connection("127.0.0.1", self.port))

    async def counters(self) -> dict[str, int]:
        """The counters of the process that currently accepts clients."""
        client = await self.client()
        client.writer.write(b"GET /counters HTTP/1.1\r\nHost: x\r\n\r\n")
        rows = (row.split() for row in (await client.read()).body.decode().splitlines())
        client.close()
        return {name: int(value) for name, value in rows}

    async def end(self) -> None:
        for process in self.processes:
            if process.returncode is None:
                process.kill()
            await process.wait()
        self.sock.close()


def test_a_new_version_inherits_the_listening_socket_and_no_connection_is_refused(
    tmp_path: Path,
) -> None:
    async def run() -> None:
        stand_in = StandInBackend(respond_ok)
        await stand_in.start()
        discovery = StandInDiscovery([stand_in.row()])
        await discovery.start()
        platform = Platform(tmp_path, stand_in, discovery)
        request_count, stopped = 0, asyncio.Event()

        async def send_requests() -> None:
            nonlocal request_count
            while not stopped.is_set():
                client = await platform.client()
                assert (await client.request("order")).status == 200
                request_count += 1
                client.close()
                await asyncio.sleep(0.002)

        try:
            old, _ = await platform.start()
            clients = [asyncio.create_task(send_requests()) for _ in range(3)]
            new, _ = await platform.start()
            old.terminate()
            assert await asyncio.wait_for(old.wait(), 5) == 0
            before = request_count
            await asyncio.sleep(0.3)
            stopped.set()
            await asyncio.gather(*clients)
            assert request_count > before and len(stand_in.requests) == request_count
            assert new.returncode is None
        finally:
            await platform.end()
            await discovery.stop()
            await stand_in.stop()

    asyncio.run(run())


def test_an_inherited_listener_is_checked_by_type() -> None:
    with socket.socket() as quiet, socket.create_server(("127.0.0.1", 0)) as loud:
        assert config.inherited_listener(str(loud.fileno())) == loud.fileno()
        with pytest.raises(config.ConfigError, match="LB_LISTEN_FD"):
            config.inherited_listener(str(quiet.fileno()))
    assert config.inherited_listener(None) is None and config.inherited_listener("") is None
