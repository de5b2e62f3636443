"""Plays of the proxy's own path at several sizes: what a request, a start and a list's change cost.

Each play is `play(seed, repeat, say) -> points`; `PLAYS` names them. One call plays every size once, so that
repeats of a command lie apart in time; sizes come in an order that the seed and the repeat draw. A play at
several rates, or of several changes, gives a series of points for each: `request/backends/70` is at 70
requests a second, `list/backends/170` the change of 170 rows.

| group | real | left out |
| --- | --- | --- |
| `request/...` | a proxy process, its sockets, stand-ins, a client in turn through it and straight | 1 |
| `start/...` | a proxy process from its command to its first ready answer | 2 |
| `list/...` | the library `Proxy` on an event loop in this process, the list's JSON as it is sent | 3 |
| `turn/...` | the decision module on a clock of its own, one of a fleet of the target's proportions | 4 |

1: many rows name four stand-ins, which answer at once; no bodies, no TLS, no agent of the fleet; the list
never changes. 2: the list is its file's `known` and no call. 3: the call's socket, and requests beside it.
4: all else.
"""

from __future__ import annotations

import asyncio
import functools
import gc
import json
import math
import multiprocessing
import os
import random
import tempfile
import time
from collections.abc import Callable, Sequence
from multiprocessing.connection import Connection
from pathlib import Path
from statistics import median
from typing import Any, Protocol

from mothstall import config as configuration
from mothstall import interface as io
from mothstall import settings as settings_of
from mothstall.interface import NS, AttemptResult, Health, UpdateScope
from mothstall.lab import bench, scenario, wire
from mothstall.lab.ledger import Unfinished
from mothstall.lab.process import ServeProcess, revision
from mothstall.lab.scale.points import Point
from mothstall.net import protocol
from mothstall.net.discovery.discovery import EndpointsUpdated
from mothstall.net.proxy import Proxy
from mothstall.policy import Balancer

Say = Callable[[str], object]


class Play(Protocol):
    """`sizes`: in place of the play's own."""

    def __call__(
        self, seed: int, repeat: int, say: Say, *, sizes: Sequence[int] = ()
    ) -> list[Point]: ...


# The operators' target (docs/CAPACITY.md): what one proxy of it lists, and of how many it is one.
ROWS_A_PROXY = 93_000 / 6_700
ZONES = 11
RATES = (70, 210)  # requests a second a proxy: the target's mean, and three times it
SECONDS = {70: 6.0, 210: 3.0}  # of load that counts, at each rate: some 420 and 630 answers
WARM_S = 0.7
LAST_S = 1.6  # for answers that are still to come at a load's end; a request waits 1.4 s at most
BASE_ROWS = 800  # backends known where something else is varied
PARALLEL = 48  # connections that a client opens at most, to each of the two ways
MAX_WAIT_S = 60.0  # for a process that does not answer
RACK, ZONE = 170, 8_450  # rows of the target's rack and zone

SIZES: dict[str, tuple[int, ...]] = {
    "request/backends": (200, 800, 3_200, 12_800),
    "request/tenants": (10, 100, 1_000, 10_000),
    "request/classes": (2, 8, 32, 128),
    "start/backends": (3_000, 12_000, 46_500, 93_000),
    "start/tenants": (1_000, 4_000, 16_000, 64_000),
    "start/classes": (8, 32, 128, 512),
    "list/backends": (11_625, 23_250, 46_500, 93_000),
    "turn/backends": (800, 6_400, 23_250, 93_000),
    "turn/tenants": (1_000, 8_000, 64_000, 510_000),
    "turn/classes": (2, 8, 32, 128),
}
BESIDE = "other work on the same cores, no other timing"
LEFT_OUT = {
    "request": "many rows name four stand-ins; bodies; TLS; fleet's agent; changes of the list",
    "start": "the list's call (its rows are the file's `known`); fleet's agent",
    "list": "the call's socket; requests beside it; fleet's agent",
    "turn": "all but the decision module",
}


# What a proxy is told at a size


def settings_tree(rows: int, tenants: int, classes: int) -> dict[str, Any]:
    """Nested settings of one proxy of a fleet that has as many backends a proxy as the target."""
    tree = scenario.settings_tree(bench.TREE, 0)
    first = tree["classes"][0]
    proxies = max(1, round(rows / ROWS_A_PROXY))
    asked = 1.5 * max(RATES) * proxies
    tree["classes"] = [{**first, "name": f"c{i}"} for i in range(classes)]
    tree["customers"] = [
        {"name": f"t{i}", "share": 1 / tenants, "allowance-per-s": asked / tenants}
        for i in range(tenants)
    ]
    tree["zones"] = [f"z{i}" for i in range(ZONES)]
    tree["replicas-of-me"] = proxies
    return tree


def row(
    number: int, ports: Sequence[int], phase: str = "SERVING", up_since_ms: int = 0
) -> dict[str, Any]:
    """One row of the list as discovery's JSON."""
    return {
        "id": f"backend-{number:06d}",
        "host_port": f"127.0.0.1:{ports[number % len(ports)]}",
        "locality": f"z{number % ZONES}",
        "flavor": "box",
        "cell": 0,
        "phase": phase,
        "size": 1.0,
        "up_since_ms": up_since_ms,
    }


def proxy_tree(
    rows: int, tenants: int, classes: int, ports: Sequence[int], discovery: int, seed: int
) -> dict[str, Any]:
    """A proxy's whole configuration, its list in `known`."""
    return {
        "name": "scale",
        "listen": "127.0.0.1:0",
        "discovery": f"127.0.0.1:{discovery}",
        "seed": f"{seed:x}",
        "known": {"revision": 1, "complete": True, "members": [row(i, ports) for i in range(rows)]},
        "settings": settings_tree(rows, tenants, classes),
    }


def shape(axis: str, size: int) -> tuple[int, int, int]:
    """Backends, tenants, classes where one of them is varied."""
    varied = {"backends": BASE_ROWS, "tenants": 0, "classes": 1, axis: size}
    return varied["backends"], varied["tenants"], varied["classes"]


def order(sizes: Sequence[int], seed: int, repeat: int) -> list[int]:
    """The sizes in an order of their own for each repeat: no size always comes first."""
    drawn = list(sizes)
    random.Random(seed * 1000 + repeat).shuffle(drawn)
    return drawn


@functools.cache
def _revision() -> str:
    return revision()


def _point(
    series: str, axes: dict[str, float], repeat: int, seed: int, values: dict[str, Any]
) -> Point:
    return Point(
        series=series,
        axes=axes,
        repeat=repeat,
        seed=seed,
        revision=_revision(),
        cores=os.cpu_count() or 1,
        values={name: (round(number, 6), unit) for name, (number, unit) in values.items()},
        beside=BESIDE,
        leaves_out=LEFT_OUT[series.partition("/")[0]],
        command=f"mothstall lab scale run {'/'.join(series.split('/')[:2])}",
    )


# A real proxy that is watched


class Watched(ServeProcess):
    """A proxy whose processor time and memory are read from the system."""

    def cpu_ns(self) -> int:
        """Of its main thread since it began, which is all but all that it uses."""
        assert self._process
        return int(Path(f"/proc/{self._process.pid}/schedstat").read_text().split()[0])

    def memory(self) -> dict[str, float]:
        """What it holds now and what it held at most, in MB."""
        assert self._process
        rows = Path(f"/proc/{self._process.pid}/status").read_text().splitlines()
        found = dict(line.split(":", 1) for line in rows)
        return {key: int(found[key].split()[0]) / 1024 for key in ("VmRSS", "VmHWM")}


class Silence(asyncio.Protocol):
    """Discovery that has nothing new: the list that a proxy began with stands."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport, self.reader = transport, wire.Reader()

    def data_received(self, data: bytes) -> None:
        body = json.dumps({"revision": 1, "complete": False, "members": []}).encode()
        for message in self.reader.feed(data):
            wait = 0.0 if b"timeout_ms=1 " in message.line else 5.0
            asyncio.get_running_loop().call_later(wait, self._tell, wire.answer(200, body))

    def _tell(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(data)


class _Started:
    """A proxy that was started, with what its start took."""

    def __init__(self, proxy: Watched, wall_s: float) -> None:
        self.proxy, self.wall_s, self.cpu_s = proxy, wall_s, proxy.cpu_ns() / 1e9


async def _start(folder: str, tree: dict[str, Any]) -> _Started:
    """Raises Unfinished."""
    proxy = Watched("proxy", Path(folder))
    began = time.monotonic()
    try:
        await proxy.start(tree)
    except BaseException:
        await proxy.stop()
        raise
    return _Started(proxy, time.monotonic() - began)


# Time added to a request


def _ask_in_turn(
    pipe: Connection,
    seed: int,
    ports: tuple[int, int],
    rate: float,
    seconds: float,
    tenants: int,
    classes: int,
) -> None:
    """One client: requests arrive at random, `rate` a second to each port, and go to both in turn.

    Sends back, for each port, the microseconds of the good answers and how many were asked. Time counts from
    when a request was written; arrivals never wait for answers.
    """

    async def main() -> tuple[list[list[float]], list[int]]:
        loop, rng = asyncio.get_running_loop(), random.Random(seed)
        spent: list[list[float]] = [[], []]
        asked = [0, 0]
        idle: list[list[bench.Client]] = [[], []]
        begin = loop.time() + WARM_S
        end = begin + seconds

        def done(way: int, asker: bench.Client, good: bool) -> None:
            now, begun, asker.due_s = loop.time(), asker.due_s, 0.0
            if begun >= begin and good:
                spent[way].append((now - begun) * 1e6)
            if not asker.transport.is_closing():
                idle[way].append(asker)

        async def connect(way: int) -> bench.Client:
            to = functools.partial(done, way)
            _, new = await loop.create_connection(lambda: bench.Client(to), "127.0.0.1", ports[way])
            return new

        for way in (0, 1):
            idle[way] += [await connect(way) for _ in range(8)]
        gc.collect()
        gc.freeze()
        due, number = loop.time(), 0
        while due < end:
            due += rng.expovariate(2 * rate)
            if (wait := due - loop.time()) > 0:
                await asyncio.sleep(wait)
            number += 1
            way = number % 2
            asker = idle[way].pop() if idle[way] else await connect(way)
            lane = b"c%d" % rng.randrange(classes)
            org = b"X-Org: t%d\r\n" % rng.randrange(tenants) if tenants else b""
            asker.due_s = loop.time()
            asked[way] += asker.due_s >= begin
            asker.transport.write(
                b"GET /%b HTTP/1.1\r\nHost: service.internal\r\nX-Txn: %016x\r\nX-Lane: %b\r\n%b"
                b"X-Remaining: 1400m\r\n\r\n" % (lane, number, lane, org)
            )
        until = loop.time() + LAST_S
        while loop.time() < until and sum(asked) > sum(map(len, spent)):
            await asyncio.sleep(0.02)
        return spent, asked

    pipe.send(asyncio.run(main()))


def percentile(values: Sequence[float], part: float) -> float:
    """The least of the values that so great a part of them does not exceed. ValueError: there are none."""
    if not values:
        raise ValueError("no values")
    return sorted(values)[max(0, math.ceil(part * len(values)) - 1)]


async def ask_in_turn(
    ports: tuple[int, int], rate: int, seconds: float, seed: int, tenants: int, classes: int
) -> tuple[list[list[float]], list[int]]:
    """By port, the microseconds of the good answers, and how many were asked. Raises Unfinished."""
    loop = asyncio.get_running_loop()
    mine, theirs = multiprocessing.get_context("spawn").Pipe()
    args = (theirs, seed, ports, rate, seconds, tenants, classes)
    client = multiprocessing.get_context("spawn").Process(
        target=_ask_in_turn, args=args, daemon=True
    )
    client.start()
    theirs.close()
    try:
        spent, asked = await asyncio.wait_for(
            loop.run_in_executor(None, mine.recv), seconds + MAX_WAIT_S
        )
    except (EOFError, TimeoutError) as why:
        raise Unfinished("a client ended without a word") from why
    finally:
        client.terminate()
        client.join(2.0)
        mine.close()
    return spent, asked


async def _load(
    started: _Started, port: int, rate: int, seconds: float, seed: int, tenants: int, classes: int
) -> dict[str, Any]:
    """One rate: times through the proxy and straight, and what the proxy used. Raises Unfinished."""
    cpu = started.proxy.cpu_ns()
    ports = (started.proxy.port, port)
    (through, straight), asked = await ask_in_turn(ports, rate, seconds, seed, tenants, classes)
    used = started.proxy.cpu_ns() - cpu
    if not through or len(straight) < asked[1]:
        came = f"{len(through)} of {asked[0]} answers came through, {len(straight)} of {asked[1]} straight"
        raise Unfinished(came)
    count = asked[0] * (seconds + WARM_S) / seconds
    figures: dict[str, Any] = {}
    for name, part in (("p50", 0.5), ("p99", 0.99)):
        by_way = percentile(through, part), percentile(straight, part)
        figures |= {f"through_{name}": (by_way[0], "us"), f"straight_{name}": (by_way[1], "us")}
        figures[f"added_{name}"] = (by_way[0] - by_way[1], "us")
    figures["longest"] = (max(through), "us")
    figures["cpu_request"] = (used / count / 1e3, "us")
    figures["answers"] = (len(through), "1")
    figures["bad"] = (asked[0] - len(through), "1")  # refused, failed, or not answered in time
    return figures


def with_stand_ins(play: Callable[[Sequence[int]], Any]) -> Any:
    """Runs `play` beside instant stand-ins in a process of their own; it is given their ports."""
    context = multiprocessing.get_context("spawn")
    mine, theirs = context.Pipe()
    stand_ins = context.Process(target=bench.serve_backends, args=(theirs,), daemon=True)
    stand_ins.start()
    try:
        if not mine.poll(MAX_WAIT_S):
            raise Unfinished("the stand-ins did not start")
        return play(mine.recv())
    finally:
        mine.close()
        stand_ins.terminate()
        stand_ins.join(2.0)


def request(
    axis: str,
    seed: int,
    repeat: int,
    say: Say,
    sizes: Sequence[int] = (),
    seconds: dict[int, float] | None = None,
) -> list[Point]:
    """Time added, processor time a request, and memory, at both rates. Raises Unfinished."""
    series = f"request/{axis}"

    async def one(size: int, ports: Sequence[int]) -> list[Point]:
        backends, tenants, classes = shape(axis, size)
        loop, found = asyncio.get_running_loop(), []
        discovery = await loop.create_server(Silence, "127.0.0.1", 0)
        with tempfile.TemporaryDirectory(prefix="mothstall-scale-") as folder:
            number = discovery.sockets[0].getsockname()[1]
            started = await _start(
                folder, proxy_tree(backends, tenants, classes, ports, number, seed)
            )
            try:
                for rate, span in (seconds or SECONDS).items():
                    say(f"{series}: {size:,} at {rate} a second, repeat {repeat}")
                    ways = (ports[0], rate, span, seed * 1000 + repeat, tenants, classes)
                    values = await _load(started, *ways)
                    values["memory"] = (started.proxy.memory()["VmRSS"], "MB")
                    axes = {axis: float(size), "rate": float(rate)}
                    found.append(_point(f"{series}/{rate}", axes, repeat, seed, values))
            finally:
                await started.proxy.stop()
                discovery.close()
        return found

    def play(ports: Sequence[int]) -> list[Point]:
        drawn = order(sizes or SIZES[series], seed, repeat)
        return [point for size in drawn for point in asyncio.run(one(size, ports))]

    found: list[Point] = with_stand_ins(play)
    return found


# Time to ready, and memory


def start(axis: str, seed: int, repeat: int, say: Say, sizes: Sequence[int] = ()) -> list[Point]:
    """Wall and processor time from the command to ready, and memory after it. Raises Unfinished."""
    series, found = f"start/{axis}", []

    async def one(size: int) -> Point:
        loop = asyncio.get_running_loop()
        discovery = await loop.create_server(Silence, "127.0.0.1", 0)
        with tempfile.TemporaryDirectory(prefix="mothstall-scale-") as folder:
            number = discovery.sockets[0].getsockname()[1]
            started = await _start(folder, proxy_tree(*shape(axis, size), (1,), number, seed))
            try:
                await asyncio.sleep(0.5)  # what was read to start with is let go
                memory = started.proxy.memory()
            finally:
                await started.proxy.stop()
                discovery.close()
        values = {
            "ready": (started.wall_s, "s"),
            "cpu": (started.cpu_s, "s"),
            "memory": (memory["VmRSS"], "MB"),
            "memory_most": (memory["VmHWM"], "MB"),
        }
        return _point(series, {axis: float(size)}, repeat, seed, values)

    for size in order(sizes or SIZES[series], seed, repeat):
        say(f"{series}: {size:,}, repeat {repeat}")
        found.append(asyncio.run(one(size)))
    return found


# A change of the list


async def _settle(proxy: Proxy) -> float:
    """Lets the event loop do all that is due; the longest time in seconds without a look at its sockets."""
    longest = 0.0
    for _ in range(8):
        began = time.perf_counter()
        await asyncio.sleep(0)
        longest = max(longest, time.perf_counter() - began)
    return longest


async def _take_in(proxy: Proxy, body: bytes) -> tuple[float, float]:
    """Seconds of processor time to take an answer in, and of the longest stretch that the loop was held."""
    gc.collect()
    cpu, began = time.process_time(), time.perf_counter()
    update = protocol.parse_endpoint_list(json.loads(body), proxy.config.names)
    read = time.perf_counter() - began
    proxy._decider.tell(
        EndpointsUpdated(UpdateScope.FULL if update.is_complete else UpdateScope.DELTA, update)
    )
    stall = max(read, await _settle(proxy))
    return time.process_time() - cpu, stall


def _answer(version: int, members: list[dict[str, Any]], whole: bool = False) -> bytes:
    """Discovery's answer."""
    return json.dumps({"revision": version, "complete": whole, "members": members}).encode()


async def _changes(axis: str, size: int, repeat: int, seed: int) -> list[Point]:
    proxy = Proxy(configuration.from_tree(proxy_tree(size, 0, 1, (1,), 1, seed)))
    await _settle(proxy)
    found, version = [], 1
    drawn = random.Random(seed * 1000 + repeat)
    anew: set[int] = set()  # those that have come back
    try:
        for count in (1, RACK, ZONE):
            if count > size:
                continue
            gone = drawn.sample(range(size), count)
            anew |= set(gone)
            takes: dict[str, tuple[float, float]] = {}
            for name, phase, up in (("gone", "DELETED", 0), ("back", "SERVING", 1)):
                version += 1
                changed = [row(i, (1,), phase, up * 1_000) for i in gone]
                takes[name] = await _take_in(proxy, _answer(version, changed))
            if proxy._decider.listed_count() != size:
                raise Unfinished("the list is not what it was")
            values = {}
            for name, (cpu, stall) in takes.items():
                values[f"{name}_cpu"], values[f"{name}_stall"] = (
                    (cpu * 1e3, "ms"),
                    (stall * 1e3, "ms"),
                )
            at = {axis: float(size), "changed": float(count)}
            found.append(_point(f"list/{axis}/{count}", at, repeat, seed, values))
        # The whole list once more, nothing changed: what an answer to a first call, or after a gap, costs.
        rows = [row(i, (1,), up_since_ms=1_000 * (i in anew)) for i in range(size)]
        body = _answer(version + 1, rows, whole=True)
        cpu, stall = await _take_in(proxy, body)
        whole = {
            "cpu": (cpu * 1e3, "ms"),
            "stall": (stall * 1e3, "ms"),
            "size": (len(body) / 1e6, "MB"),
        }
        found.append(_point(f"list/{axis}/whole", {axis: float(size)}, repeat, seed, whole))
    finally:
        await proxy.stop(0.0)
    return found


def list_change(
    axis: str, seed: int, repeat: int, say: Say, sizes: Sequence[int] = ()
) -> list[Point]:
    """One row, a rack's and a zone's leave the list and come back; then the whole list. Raises Unfinished."""
    series, found = f"list/{axis}", []
    for size in order(sizes or SIZES[series], seed, repeat):
        say(f"{series}: {size:,}, repeat {repeat}")
        found += asyncio.run(_changes(axis, size, repeat, seed))
        gc.collect()
    return found


# The decisions by themselves


def turn(
    axis: str, seed: int, repeat: int, say: Say, sizes: Sequence[int] = (), span_s: int = 6
) -> list[Point]:
    """Processor time of a request's decisions, and of a slot's end, at 70 requests a second."""
    series, found = f"turn/{axis}", []
    for size in order(sizes or SIZES[series], seed, repeat):
        say(f"{series}: {size:,}, repeat {repeat}")
        backends, tenants, classes = shape(axis, size)
        told = settings_of.from_json(settings_tree(backends, tenants, classes))
        entries = [
            io.Endpoint(1 + i, i % ZONES, 0, 0, Health.READY, 1.0, 0) for i in range(backends)
        ]
        asked, slots, begun = _turns(Balancer(told, seed), entries, seed * 1000 + repeat, span_s)
        values = {
            "request": (median(asked) * 1e6, "us"),
            "slot": (median(slots) * 1e3, "ms"),
            "first_list": (begun * 1e3, "ms"),
        }
        found.append(_point(series, {axis: float(size)}, repeat, seed, values))
    return found


def _turns(
    balancer: Balancer, entries: list[io.Endpoint], seed: int, span_s: int
) -> tuple[list[float], list[float], float]:
    """Seconds that each request and each slot's end took, and the first list."""
    rng, now = random.Random(seed), 1000 * NS
    gc.collect()
    began = time.process_time()
    balancer.handle(now, [io.EndpointUpdate(UpdateScope.FULL, 1, entries)])
    first = time.process_time() - began
    asked: list[float] = []
    slots: list[float] = []
    flows, classes = len(balancer.context.settings.tenants), len(balancer.context.settings.classes)
    end = now + span_s * NS
    for number in range(span_s * RATES[0]):
        now += int(rng.expovariate(RATES[0]) * NS)
        slot_at = balancer.groups.slots.started_ns
        began = time.perf_counter()
        balancer.handle(now, [])
        if balancer.groups.slots.started_ns != slot_at:
            slots.append(time.perf_counter() - began)
        tenant = rng.randrange(flows) if flows else 0
        came = io.RequestArrived(number, rng.randrange(classes), tenant, 0, NS, 0, False)
        began = time.perf_counter()
        acts = balancer.handle(now, [came])
        ends = [
            io.AttemptEnded(number, 0, act.backend, AttemptResult.OK, 200_000, True, (0.3, 0.0))
            for act in acts
            if isinstance(act, io.SendAttempt)
        ]
        balancer.handle(now + 200_000, list(ends))
        asked.append(time.perf_counter() - began)
        if now > end:
            break
    return asked, slots, first


def _named(play: Callable[..., list[Point]], axis: str) -> Play:
    return functools.partial(play, axis)


PLAYS: dict[str, Play] = {
    f"{group}/{axis}": _named(play, axis)
    for group, play, axes in (
        ("request", request, ("backends", "tenants", "classes")),
        ("start", start, ("backends", "tenants", "classes")),
        ("list", list_change, ("backends",)),
        ("turn", turn, ("backends", "tenants", "classes")),
    )
    for axis in axes
}
