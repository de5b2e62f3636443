"""The proxy as a process: command line, configuration and signals."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import AsyncIterator, Callable, Mapping
from pathlib import Path
from typing import Any

import pytest

from mothstall import config, settings
from mothstall.net import logs
from mothstall.net.proxy import Proxy
from tests.peers import (
    Client,
    StandInBackend,
    StandInDiscovery,
    make_config_tree,
    request_bytes,
    respond_ok,
    response_bytes,
    until_reusable,
)
from tests.peers import settings as nested
from tests.ports import free_port

ROOT = Path(__file__).parents[2]
CLASS = {
    "name": "a",
    "aim-ns": 200_000_000,
    "deadline-ns": 900_000_000,
    "worth": 1,
    "effect": "pure",
}
MAIN = [sys.executable, "-O", "-B", "-m", "mothstall"]


def run_main(*arguments: str, **env: str) -> subprocess.CompletedProcess[str]:
    full = {**os.environ, **env}
    return subprocess.run(
        [*MAIN, *arguments], cwd=ROOT, env=full, capture_output=True, text=True, timeout=20
    )


class ProxyProcess:
    def __init__(self, process: asyncio.subprocess.Process, port: int) -> None:
        self.process, self.port = process, port

    async def client(self) -> Client:
        return Client(*await asyncio.open_connection("127.0.0.1", self.port))


@contextlib.asynccontextmanager
async def start_proxy(
    tmp_path: Path,
    stand_in: StandInBackend,
    port: int = 0,
    limits: Mapping[str, int] | None = None,
    **env: str,
) -> AsyncIterator[ProxyProcess]:
    discovery = StandInDiscovery([stand_in.row()])
    await discovery.start()
    port = port or free_port()
    tree = make_config_tree(discovery, [stand_in.row()], **(limits or {}))
    tree["listen"] = f"127.0.0.1:{port}"
    path = tmp_path / "config.json"
    path.write_text(json.dumps(tree))
    process = await asyncio.create_subprocess_exec(
        *MAIN,
        env={**os.environ, "LB_CONFIG": str(path), **env},
        cwd=ROOT,
        stderr=asyncio.subprocess.PIPE,
    )
    try:
        async with asyncio.timeout(15):
            while True:
                with contextlib.suppress(OSError):
                    client = Client(*await asyncio.open_connection("127.0.0.1", port))
                    client.writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                    ready = (await client.read()).status == 200
                    client.close()
                    if ready:
                        break
                await asyncio.sleep(0.02)
        yield ProxyProcess(process, port)
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
        await discovery.stop()


async def respond_after_800_ms(request: Any, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(0.8)
    writer.write(response_bytes(b"late but whole"))


def test_sigterm_answers_open_requests_closes_idle_connections_and_exits_0(tmp_path: Path) -> None:
    async def run() -> None:
        stand_in = StandInBackend(respond_after_800_ms)
        await stand_in.start()
        async with start_proxy(tmp_path, stand_in) as proxy:
            idle, busy = await proxy.client(), await proxy.client()
            busy.writer.write(request_bytes("order", remaining="990m"))
            while not stand_in.requests:
                await asyncio.sleep(0.01)
            stand_in.behave = respond_ok
            proxy.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.1)
            late = await proxy.client()  # new connections are still accepted for a while
            reply = await late.request("search")
            assert reply.status == 200 and reply.headers["connection"] == "close"
            assert await late.closed()
            assert await idle.closed(1.0)  # before the open request is answered
            reply = await busy.read()
            assert (reply.status, reply.body) == (200, b"late but whole")
            assert reply.headers["connection"] == "close"
            assert await asyncio.wait_for(proxy.process.wait(), 3) == 0
            assert proxy.process.stderr
            end = (await proxy.process.stderr.read()).decode().splitlines()[-1]
            assert "event=end" in end and "requests=2" in end and "answers_ok=2" in end
        # A new process can listen on the same address at once.
        async with start_proxy(tmp_path, stand_in, proxy.port) as again:
            assert (await (await again.client()).request("search")).status == 200
        await stand_in.stop()

    asyncio.run(run())


def test_a_killed_proxy_restarts_on_its_address(tmp_path: Path) -> None:
    async def run() -> None:
        stand_in = StandInBackend(respond_ok)
        await stand_in.start()
        async with start_proxy(tmp_path, stand_in) as proxy:
            client = await proxy.client()
            assert (await client.request()).status == 200
            proxy.process.kill()
            await proxy.process.wait()
            async with start_proxy(tmp_path, stand_in, proxy.port) as again:
                assert (await (await again.client()).request()).status == 200
        await stand_in.stop()

    asyncio.run(run())


def test_a_start_retries_while_its_address_is_in_use() -> None:
    async def run() -> None:
        discovery = StandInDiscovery([])
        await discovery.start()
        with socket.socket() as earlier:
            earlier.bind(("127.0.0.1", 0))
            earlier.listen()
            tree = make_config_tree(discovery, [])
            tree["listen"] = f"127.0.0.1:{earlier.getsockname()[1]}"
            proxy = Proxy(config.from_tree(tree))
            start = asyncio.create_task(proxy.start())
            await asyncio.sleep(0.15)
            assert not start.done()
        await start
        assert proxy.port == config.parse_address(tree["listen"]).port
        await proxy.stop(0.0)
        await discovery.stop()

    asyncio.run(run())


def test_sigusr1_prints_the_counters(tmp_path: Path) -> None:
    async def run() -> None:
        stand_in = StandInBackend(respond_ok)
        await stand_in.start()
        async with start_proxy(tmp_path, stand_in) as proxy:
            assert (await (await proxy.client()).request()).status == 200
            proxy.process.send_signal(signal.SIGUSR1)
            assert proxy.process.stderr
            async with asyncio.timeout(3):
                while b"event=counters" not in (line := await proxy.process.stderr.readline()):
                    pass
            assert b"requests=1" in line and b"attempts_ok=1" in line
        await stand_in.stop()

    asyncio.run(run())


def write_config(tmp_path: Path, **changes: Any) -> str:
    tree: dict[str, Any] = {
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "settings": nested(),
    }
    for key, value in changes.items():
        inner, *path = tree, *key.split("__")
        for step in path[:-1]:
            inner = inner.setdefault(step, {})
        if value is None:
            inner.pop(path[-1], None)
        else:
            inner[path[-1]] = value
    file = tmp_path / "c.json"
    file.write_text(json.dumps(tree))
    return str(file)


@pytest.mark.parametrize(
    ("changes", "key"),
    [
        ({"listen": None}, "listen"),
        ({"listen": "nowhere"}, "listen"),
        ({"listen": 5}, "listen"),
        ({"discovery": "127.0.0.1:99999"}, "discovery"),
        ({"seed": "xyz"}, "seed"),
        ({"limits__sockets": 10}, "limits.sockets"),
        ({"limits__sockets": "many"}, "limits.sockets"),
        ({"log_level": "loud"}, "log_level"),
        ({"cost_label": "a=b"}, "cost_label"),
        ({"cost_label": 7}, "cost_label"),
        ({"settings": None}, "settings"),
        ({"settings": []}, "settings"),
        ({"settings__zone": None}, "zone"),
        ({"settings__classes": []}, "classes.count"),
        ({"settings__classes": [{"name": "a"}]}, "classes.0.aim-ns"),
        ({"settings__limits": {}}, "limits.max-attempts"),
        ({"settings__zones": "east"}, "zones"),
        ({"settings__customers": [{"share": 0.5}]}, "customers.0.name"),
        ({"known": []}, "known"),
        ({"settings__contract__ask-within-ns": 0}, "contract.ask-within-ns"),
        ({"settings__contract__stop-sending-within-ns": -1}, "contract.stop-sending-within-ns"),
        ({"settings__contract__cold-from": 1.5}, "contract.cold-from"),
        ({"settings__contract__cold-from": float("nan")}, "contract.cold-from"),
        ({"settings__contract__fall-multiple": float("inf")}, "contract.fall-multiple"),
        ({"settings__limits__max-attempts": 0}, "limits.max-attempts"),
        ({"settings__limits__max-attempts": 1.5}, "limits.max-attempts"),
        ({"settings__limits__connect-timeout-ns": 0}, "limits.connect-timeout-ns"),
        ({"settings__limits__keepalive-ns": 0}, "limits.keepalive-ns"),
        ({"settings__limits__cancelling": "maybe"}, "limits.cancelling"),
        ({"settings__classes": [CLASS | {"deadline-ns": 0}]}, "classes.0.deadline-ns"),
        ({"settings__classes": [CLASS | {"window-ns": -5}]}, "classes.0.window-ns"),
        ({"settings__classes": [CLASS | {"worth": float("nan")}]}, "classes.0.worth"),
        ({"settings__classes": [CLASS | {"effect": "unsure"}]}, "classes.0.effect"),
        ({"settings__customers": [{"name": "x", "share": -0.5}]}, "customers.0.share"),
    ],
)
def test_a_faulty_configuration_is_one_line_that_names_the_key(
    tmp_path: Path, changes: dict[str, Any], key: str, capsys: pytest.CaptureFixture[str]
) -> None:
    from mothstall.cli import main

    for command in ("serve", "check-config"):
        assert main([command, "--config", write_config(tmp_path, **changes)], {}) == 2
        out, err = capsys.readouterr()
        assert not out and err.count("\n") == 1 and key in err, err


def test_commands_print_their_result_and_exit_codes_tell_errors_apart(tmp_path: Path) -> None:
    done = run_main("version")
    assert done.returncode == 0 and done.stdout.startswith("mothstall ")
    done = run_main("check-config", "--config", write_config(tmp_path))
    assert done.returncode == 0 and "3 classes" in done.stdout
    done = run_main("--help")
    assert done.returncode == 0 and "check-config" in done.stdout
    done = run_main(LB_CONFIG="")
    assert done.returncode == 2 and "LB_CONFIG" in done.stderr
    done = run_main(LB_CONFIG=str(tmp_path / "none.json"))
    assert done.returncode == 2 and done.stderr.count("\n") == 1
    done = run_main("serve", "--config", write_config(tmp_path, listen="192.0.2.1:80"))
    assert done.returncode == 1 and "listen" in done.stderr


def test_the_configuration_in_the_readme_is_valid(tmp_path: Path) -> None:
    text = (ROOT / "README.md").read_text()
    start = text.index('    {"listen"')
    tree = json.loads(text[start : text.index("\n\n", start)])
    read = config.from_tree(tree)
    assert (read.listen.port, read.names.classes) == (8000, ("search",))


def test_the_environment_overrides_the_file(tmp_path: Path) -> None:
    read = config.load(write_config(tmp_path), {"LB_NAME": "n9", "LB_LISTEN": "127.0.0.5:81"})
    assert (read.name, read.listen, read.discovery.port) == (
        "n9",
        config.Address("127.0.0.5", 81),
        1,
    )


def test_nested_json_and_wire_text_give_the_same_settings() -> None:
    tree = nested()
    tree["customers"] = [{"name": "a, b", "share": 1.0, "allowance-per-s": 124.0}]
    tree["later"] = {"unknown": [1, {"x": None}]}
    values: dict[str, str] = {}
    for key, value in tree.items():
        settings._flatten(key, value, values)
    text = "".join(f"{path}={value}\n" for path, value in values.items())
    assert settings.from_json(tree) == settings.parse(text)
    assert settings.from_json(tree).load_names == ("util", "queue")


def test_invariants_are_asserted_in_debug_and_counted_in_release_builds() -> None:
    code = (
        "from mothstall.net.invariants import check_invariant\n"
        "from mothstall.net.counters import Counters\n"
        "c = Counters()\n"
        "check_invariant(True, 'fine', c)\n"
        "check_invariant(False, 'broken', c)\n"
        "print(c.values['checks_broken'])"
    )
    release = subprocess.run(
        [sys.executable, "-O", "-c", code], cwd=ROOT, capture_output=True, text=True
    )
    assert release.stdout == "1\n" and "broken" in release.stderr
    debug = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True)
    assert debug.returncode == 1 and "AssertionError: broken" in debug.stderr


def test_log_lines_are_key_value_pairs() -> None:
    import io
    import logging

    stream = io.StringIO()
    record = logging.LogRecord("a.b", logging.INFO, "", 0, "two words", (), None)
    record.kv = {"n": 3, "why": 'say "x"', "empty": "", "line": "a\nb"}
    stream.write(logs.KeyValueFormatter().format(record))
    assert stream.getvalue().partition("Z ")[2] == (
        r'level=info from=a.b event="two words" n=3 why="say \"x\"" empty="" line="a\nb"'
    )


def test_closed_connections_leave_no_memory_behind() -> None:
    import gc
    import weakref

    from mothstall.net.client_side.connection import Connection
    from mothstall.net.process import collect_garbage
    from tests.peers import rig

    async def run() -> None:
        async with rig(respond_ok) as r:
            client = await r.client()
            assert (await client.request()).status == 200
            (connection,) = r.proxy._frontend._accepted
            assert isinstance(connection, Connection)
            transport: Callable[[], object] = weakref.ref(connection.transport)
            client.close()
            await r.until(lambda: not r.proxy._frontend._accepted)
            del connection
            await asyncio.sleep(0.05)
            # The proxy's own objects are freed without a garbage collection.
            assert not [o for o in gc.get_objects() if isinstance(o, Connection)]
            collect_garbage(r.proxy.loop)
            assert transport() is None
            assert not any(r.proxy._frontend.table.by_state) and not r.proxy._frontend._open_ids
            assert not r.proxy._decider._pending and not r.proxy._decider._balancer.requests.open

    gc.disable()
    try:
        asyncio.run(run())
    finally:
        gc.enable()


def test_garbage_collections_skip_a_long_list_once_it_is_received() -> None:
    """Guards against traversing all endpoints received after the start in each collection."""
    import gc
    import weakref

    from mothstall.net import process

    class Node:
        """A reference cycle that only a garbage collection frees."""

        def __init__(self) -> None:
            self.itself = self

    class Loop:
        def __init__(self) -> None:
            self.next: tuple[Any, ...] = ()

        def call_later(self, _: float, call: Any, *arguments: Any) -> None:
            self.next = (call, *arguments)

    rows, loop = [0], Loop()
    process.collect_garbage(loop, lambda: rows[0], 0)  # type: ignore[arg-type]

    def again() -> None:
        call, *arguments = loop.next
        call(*arguments)

    try:
        before = gc.get_freeze_count()
        rows[0] = process.MIN_ROWS_TO_FREEZE - 1
        again()
        assert gc.get_freeze_count() <= before
        node = Node()
        gone = weakref.ref(node)
        rows[0] += 1
        again()
        assert gc.get_freeze_count() > before
        held = gc.get_freeze_count()
        del node
        again()
        assert gone() is not None and gc.get_freeze_count() <= held
        rows[0] += process.MIN_ROWS_TO_FREEZE
        again()
        assert gone() is None
    finally:
        gc.unfreeze()


def test_the_cached_list_is_frozen_with_the_objects_of_the_start(tmp_path: Path) -> None:
    from mothstall.lab.scale.path import proxy_tree

    code = (
        "import gc, os, signal, sys\n"
        "from mothstall import cli\n"
        "from mothstall.policy import backend\n"
        "freeze, calls = gc.freeze, []\n"
        "def told():\n"
        "    calls.append(sum(isinstance(o, backend.Backend) for o in gc.get_objects()))\n"
        "    freeze()\n"
        "    if len(calls) == 2:  # the first call is before the proxy listens\n"
        "        print(calls[1], flush=True)\n"
        "        os.kill(os.getpid(), signal.SIGTERM)\n"
        "gc.freeze = told\n"
        "sys.exit(cli.main(['serve', '--config', sys.argv[1]]))\n"
    )
    path = tmp_path / "config.json"
    path.write_text(json.dumps(proxy_tree(5, 0, 1, (free_port(),), free_port(), 1)))
    ran = subprocess.run(
        [sys.executable, "-B", "-c", code, str(path)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert ran.returncode == 0, ran.stderr
    assert ran.stdout.split()[0] == "5"


def test_memory_does_not_grow_with_backends_ever_seen() -> None:
    from tests.peers import rig

    async def run() -> None:
        async with rig(respond_ok) as r:
            await r.until(lambda: len(r.discovery.calls) >= 2)
            stay = r.backends[0].row()
            for i in range(50):
                row = {**stay, "id": f"s-new-{i}"}
                updates_before = r.count("list_updates")
                r.discovery.publish(row, {"id": f"s-new-{i - 1}", "phase": "DELETED"})
                await r.until(lambda w=updates_before: r.count("list_updates") > w)  # type: ignore[misc]
                assert (await r.request()).status == 200
                await until_reusable()
            decider = r.proxy._decider
            assert (
                len(decider._backends)
                == len(decider._endpoints)
                == len(decider._balancer.endpoints.by_id)
                == 2
            )
            assert r.proxy._pool.open_count <= 2

    asyncio.run(run())


def test_a_backend_at_a_reused_address_gets_no_connection_of_its_predecessor() -> None:
    from tests.peers import rig

    async def run() -> None:
        gate = asyncio.Event()

        async def waits(request: Any, writer: asyncio.StreamWriter) -> None:
            if len(r.backends[0].requests) == 1:
                await gate.wait()
            writer.write(response_bytes())

        async with rig(waits) as r:
            await r.until(lambda: len(r.discovery.calls) >= 2)
            out = asyncio.create_task(r.request("order"))
            await r.until(lambda: len(r.backends[0].requests) == 1)
            updates_before = r.count("list_updates")
            new = {**r.backends[0].row(), "id": "s-successor"}
            r.discovery.publish({"id": "s-0", "phase": "DELETED"}, new)
            await r.until(lambda: r.count("list_updates") > updates_before)
            gate.set()
            assert (await out).status == 200
            assert (await r.request("order")).status == 200
            assert [s.connection for s in r.backends[0].requests] == [1, 2]

    asyncio.run(run())
