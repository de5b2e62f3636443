"""The modules that a start imports, and the readiness of many proxies that start at once."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import json
import os
import re
import sys
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest

from mothstall.cli import main
from tests.peers import Client, StandInBackend, StandInDiscovery, make_config_tree, respond_ok

ROOT = Path(__file__).parents[2]
PROXY_COUNT = 20
TEST_TIMEOUT_S = 60.0  # timeout of a test on a busy machine
SLOW_S = 1.5  # response time of a slow discovery; a call may take 2 s
PORT = re.compile(rb"event=listening .*port=(\d+)")
# A CA certificate that OpenSSL is configured to trust; its key was discarded.
CA_CERTIFICATE = """-----BEGIN CERTIFICATE-----
MIIBeTCCAR+gAwIBAgIUXV9Ij0EWe55sG1o4kZB1CkbGSeEwCgYIKoZIzj0EAwIw
ETEPMA0GA1UEAwwGbm9ib2R5MCAXDTI2MTIwMjA0MjMyMVoYDzIxMjYxMTA4MDQy
MzIxWjARMQ8wDQYDVQQDDAZub2JvZHkwWTATBgcqhkjOPQIBBggqhkjOPQMBBwNC
AAQqvMmQbzKXjDEkUbBSK61UaWoPjcFwKOf2P/Iy6sAWVl50+Zi/9xyeiKq4yUuB
4Fgq6adDtZaIcK9gIT9gX+Q2o1MwUTAdBgNVHQ4EFgQUc4wajQ1UDR51Wm5Gy82g
aqaXo7AwHwYDVR0jBBgwFoAUc4wajQ1UDR51Wm5Gy82gaqaXo7AwDwYDVR0TAQH/
BAUwAwEB/zAKBggqhkjOPQQDAgNIADBFAiEA3x9ddfBFEUlSvLwPYcXH3fGV9qBX
rR/r4sNnNw8rvzECIHCBKsE98Vivib0OoTVjZu7hOPLFIftS34vZYfO4WRVk
-----END CERTIFICATE-----
"""
# Runs the proxy in a process that prints which modules it had loaded when it was ready (a line on
# standard input marks that), and which it imported later.
REPORTING_MAIN = """
import json, os, runpy, sys, threading
loaded, late = [], []
def hook(event, args):
    if event == "import" and loaded:
        late.append(args[0])
def watch():
    sys.stdin.readline()
    loaded.extend(sys.modules)
threading.Thread(target=watch, daemon=True).start()
sys.addaudithook(hook)
sys.path[0] = ""
try:
    runpy.run_module("mothstall", run_name="__main__", alter_sys=True)
finally:
    import gc
    import aiohttp.connector
    print(json.dumps({
        "loaded": loaded, "late": late, "collects": gc.isenabled(), "frozen": gc.get_freeze_count(),
        "trusted": aiohttp.connector._SSL_CONTEXT_VERIFIED.cert_store_stats()["x509_ca"],
        "file": os.environ.get("SSL_CERT_FILE"), "dir": os.environ.get("SSL_CERT_DIR"),
    }))
"""
# Modules that a proxy must not import by default: unused ones, and those of optional features.
UNNEEDED_MODULES = {
    "argparse",
    "aiohttp.web",
    "aiohttp.web_app",
    "aiohttp.web_fileresponse",
    "aiohttp.web_runner",
    "aiohttp.web_urldispatcher",
    "aiohttp.web_ws",
    "aiohttp.pytest_plugin",
    "aiohttp.test_utils",
    "msgspec",
    "numpy",
    "rich",
    "matplotlib",
    "hdrh",
    "sqlite3",
    "cryptography",
    "xxhash",
    "unittest",
    "mothstall.commands",
    "mothstall.lab",
    "mothstall.fleet",
    "mothstall.keeper",
    "mothstall.observer",
    "mothstall.serving",
    "mothstall.store",
    "mothstall.simhost",
    "mothstall.simwire",
    "mothstall.net.fleet_integration",
    "mothstall.net.handover.handover",
    "mothstall.net.admin.server",
    "mothstall.net.handover.stream_takeover",
}


class Process:
    """A proxy process; `is_reporting`: it reports its loaded modules, see REPORTING_MAIN."""

    def __init__(self, config: Path, is_reporting: bool = False, **env: str) -> None:
        self._arguments = ("-c", REPORTING_MAIN) if is_reporting else ("-m", "mothstall")
        clean = {
            key: value for key, value in os.environ.items() if not key.startswith(("LB_", "SSL_"))
        }
        self._env = {**clean, "LB_CONFIG": str(config), **env}
        self.port = 0

    async def start(self) -> None:
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-O",
            "-B",
            *self._arguments,
            env=self._env,
            cwd=ROOT,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        self._log = asyncio.create_task(self._follow())

    async def _follow(self) -> None:
        assert self.process.stderr
        async for line in self.process.stderr:
            if found := PORT.search(line):
                self.port = int(found[1])

    async def client(self) -> Client:
        return Client(*await asyncio.open_connection("127.0.0.1", self.port))

    async def ready(self) -> bool:
        """Whether the proxy reports itself ready; False while it does not listen."""
        if not self.port:
            return False
        client = await self.client()
        client.writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
        status = (await client.read()).status
        client.close()
        return status == 200

    async def until_ready(self) -> None:
        while not await self.ready():
            assert self.process.returncode is None
            await asyncio.sleep(0.05)

    async def stop(self) -> None:
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        await self._log


class FullListDiscovery(StandInDiscovery):
    """Sends the full list to callers without a list; `delay_s`: response time."""

    delay_s = 0.0

    async def _reply(self, target: str) -> bytes:
        if self.respond_when is not None:
            await self.respond_when.wait()
        await asyncio.sleep(self.delay_s)
        return await super()._reply("/" if "since=0&" in target else target)


@contextlib.asynccontextmanager
async def start_many(
    folder: Path, discovery: StandInDiscovery, has_cached_list: bool, mode: str
) -> AsyncIterator[list[Process]]:
    """Start PROXY_COUNT proxies of one fleet at once."""
    processes = []
    for position in range(PROXY_COUNT):
        tree = make_config_tree(
            discovery,
            discovery.members,
            discovery=mode,
            position=position,
            replicas_of_me=PROXY_COUNT,
        )
        if not has_cached_list:
            del tree["known"]
        path = folder / f"{position}.json"
        path.write_text(json.dumps(tree))
        processes.append(Process(path))
    try:
        await asyncio.gather(*(process.start() for process in processes))
        yield processes
    finally:
        await asyncio.gather(*(process.stop() for process in processes))


async def wait_until_listening(processes: list[Process]) -> None:
    while not all(process.port for process in processes):
        assert all(process.process.returncode is None for process in processes)
        await asyncio.sleep(0.05)


@pytest.mark.parametrize("mode", ["ask", "push"])
@pytest.mark.parametrize("state", ["silent", "refusing", "slow"])
def test_many_proxies_with_a_cached_list_are_ready_without_discovery(
    tmp_path: Path, state: str, mode: str
) -> None:
    async def run() -> None:
        stand_in = StandInBackend(respond_ok)
        await stand_in.start()
        discovery = FullListDiscovery([stand_in.row()])
        discovery.delay_s = SLOW_S if state == "slow" else 0.0
        discovery.respond_when = asyncio.Event() if state == "silent" else None
        await discovery.start()
        if state == "refusing":
            await discovery.stop()
        async with (
            asyncio.timeout(TEST_TIMEOUT_S),
            start_many(tmp_path, discovery, True, mode) as proxies,
        ):
            await asyncio.gather(*(process.until_ready() for process in proxies))
            for process in proxies:
                assert (await (await process.client()).request()).status == 200
        await discovery.stop()
        await stand_in.stop()

    asyncio.run(run())


@pytest.mark.parametrize("mode", ["ask", "push"])
@pytest.mark.parametrize("state", ["silent", "refusing"])
def test_many_proxies_without_a_list_are_ready_once_discovery_is_back(
    tmp_path: Path, state: str, mode: str
) -> None:
    async def run() -> None:
        stand_in = StandInBackend(respond_ok)
        await stand_in.start()
        discovery = FullListDiscovery([stand_in.row()])
        discovery.respond_when = asyncio.Event()
        await discovery.start()
        if state == "refusing":
            await discovery.stop()
        async with (
            asyncio.timeout(TEST_TIMEOUT_S),
            start_many(tmp_path, discovery, False, mode) as proxies,
        ):
            await wait_until_listening(proxies)
            await asyncio.sleep(1.0)  # calls fail meanwhile
            assert not any([await process.ready() for process in proxies])
            discovery.respond_when.set()
            if state == "refusing":
                await discovery.start()
            await asyncio.gather(*(process.until_ready() for process in proxies))
            for process in proxies:
                assert (await (await process.client()).request()).status == 200
        await discovery.stop()
        await stand_in.stop()

    asyncio.run(run())


@pytest.mark.parametrize("mode", ["ask", "push"])
def test_many_proxies_without_a_list_are_ready_with_a_slow_discovery(
    tmp_path: Path, mode: str
) -> None:
    async def run() -> None:
        stand_in = StandInBackend(respond_ok)
        await stand_in.start()
        discovery = FullListDiscovery([stand_in.row()])
        discovery.delay_s = SLOW_S
        await discovery.start()
        async with (
            asyncio.timeout(TEST_TIMEOUT_S),
            start_many(tmp_path, discovery, False, mode) as proxies,
        ):
            await asyncio.gather(*(process.until_ready() for process in proxies))
            for process in proxies:
                assert (await (await process.client()).request()).status == 200
        await discovery.stop()
        await stand_in.stop()

    asyncio.run(run())


def test_a_start_imports_only_what_a_proxy_needs_and_its_first_request_nothing(
    tmp_path: Path,
) -> None:
    async def run() -> dict[str, Any]:
        stand_in = StandInBackend(respond_ok)
        await stand_in.start()
        discovery = FullListDiscovery([stand_in.row()])
        await discovery.start()
        tree = make_config_tree(discovery, discovery.members, discovery="push")
        del tree["known"]
        path, trusted = tmp_path / "config.json", tmp_path / "trusted.pem"
        path.write_text(json.dumps(tree))
        trusted.write_text(CA_CERTIFICATE)
        process = Process(path, is_reporting=True, SSL_CERT_FILE=str(trusted))
        await process.start()
        try:
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await process.until_ready()
                assert process.process.stdin and process.process.stdout
                process.process.stdin.write(b"ready\n")
                await asyncio.sleep(0.3)  # the reporting thread records the loaded modules
                client = await process.client()
                assert (await client.request()).status == 200
                assert (await client.request("order", body=b"a body")).status == 200
                process.process.terminate()
                report: dict[str, Any] = json.loads(await process.process.stdout.read())
        finally:
            await process.stop()
            await discovery.stop()
            await stand_in.stop()
        assert report["file"] == str(trusted) and report["dir"] is None
        return report

    report = asyncio.run(run())
    assert "mothstall.net.client_side.frontend" in report["loaded"]
    assert sorted(UNNEEDED_MODULES & set(report["loaded"])) == []
    assert report["late"] == []  # the first request imports nothing
    assert report["trusted"] == 0  # the system's certificates were not read
    assert report["collects"] and report["frozen"] > 10_000


def test_other_commands_collect_garbage(capsys: pytest.CaptureFixture[str]) -> None:
    gc.disable()
    try:
        assert main(["version"]) == 0
        assert gc.isenabled()
    finally:
        gc.enable()
