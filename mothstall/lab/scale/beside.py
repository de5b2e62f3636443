"""Real proxies beside hollows: attached to observers, before the lab's boxes, asked by the lab's clients.

They are `mothstall serve --operator` as operators start them, on the sockets driver (`lab/sockets.py`): its
world, its clients, its ledger, and the lab's judge over it. What clients saw is told by spans of the run, so
that a fault can be held against the time before it.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from mothstall.interface import NS
from mothstall.lab import scenario
from mothstall.lab.fleetplay import as_toml
from mothstall.lab.judge import RULES, Verdict, check_run
from mothstall.lab.ledger import Ledger, Unfinished
from mothstall.lab.scale.hollow import operator_tree, zone_of
from mothstall.lab.scenario import Scenario
from mothstall.lab.sockets import Sockets

RATE = 70.0  # requests a second at each proxy: the target's mean
BOXES = 4  # a proxy, two cores each: near a half of what they can do
MAX_S = 300.0  # that clients ask at most
BEGIN_S = 30.0  # until proxies are ready
FLOWS = 0.9  # of what was asked in any one second; less is traffic that does not flow
FEW = 5  # requests of a second that tell nothing
DRAIN_S = 1.0  # a drain that the store took is at all proxies in contact within this


def scene(zones: Sequence[str]) -> Scenario:
    """One proxy a zone, an ordinary day."""
    return scenario.from_tree(
        {
            "tries": "Real proxies beside hollows.",
            "seconds": MAX_S,
            "zones": list(zones),
            "proxies": {"count": len(zones)},
            "boxes": [{"count": BOXES * len(zones)}],
            "clients": {"rate": RATE * len(zones)},
        },
        "beside",
    )


# What clients saw


@dataclass(slots=True, frozen=True)
class Seen:
    """Of the requests that clients meant to send in a span; times in ms from that moment. NaN: no answers."""

    asked: int
    served: float  # part of them that got a good answer, at whichever try
    p50: float
    p99: float


def seen(ledger: Ledger, since: int, until: int) -> Seen:
    """`since`, `until`: ns since the run's begin."""
    rows = [row for row in ledger.intents if since <= row.start < until]
    took = sorted((row.served_at - row.start) / 1e6 for row in rows if row.served_at >= 0)

    def quantile(part: float) -> float:
        return took[max(0, math.ceil(part * len(took)) - 1)] if took else math.nan

    return Seen(len(rows), len(took) / max(1, len(rows)), quantile(0.5), quantile(0.99))


def stalls(ledger: Ledger) -> Iterator[str]:
    """Seconds in which traffic did not flow, but for those in which this machine itself ran late."""
    seconds: dict[int, list[bool]] = {}
    for row in ledger.intents:
        seconds.setdefault(row.start // NS, []).append(row.served_at >= 0)
    for second, rows in sorted(seconds.items()):
        late = any(a < (second + 1) * NS and b > (second - 1) * NS for a, b in ledger.late_spans)
        if len(rows) >= FEW and sum(rows) < FLOWS * len(rows) and not late:
            yield f"{sum(rows)} of {len(rows)} requests were served in second {second}"


def wrong(verdict: Verdict, ledger: Ledger) -> list[str]:
    """What harmed clients: rules that were broken, and seconds without service; a line for each kind."""
    found = []
    for kind, count in sorted(verdict.rules.items()):
        first = next(row for row in verdict.violations if row.kind == kind)
        found.append(
            f"clients: {RULES[kind]}: {kind} {count} times, first at {first.at_ns / NS:.3f} s, "
            f"proxy {first.proxy}: {first.detail}"
        )
    if still := list(stalls(ledger)):
        more = f", and {len(still) - 1} such seconds more" if len(still) > 1 else ""
        found.append(f"clients: {still[0]}{more}")
    return found


async def counters(port: int) -> dict[str, int]:
    """What a proxy tells of itself; nothing where it does not answer."""
    with contextlib.suppress(OSError, TimeoutError, ValueError):
        async with asyncio.timeout(2.0):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                writer.write(b"GET /counters HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n")
                body = (await reader.read()).partition(b"\r\n\r\n")[2].decode()
            finally:
                writer.close()
        return {name: int(value) for name, value in (row.split() for row in body.splitlines())}
    return {}


class Beside:
    """One real proxy in each of some zones, asked from entering on. `tree`: the hollows' operator file.

    Entering and `finish` raise Unfinished.
    """

    def __init__(
        self, tree: dict[str, Any], stand: Sequence[int], zones: int, folder: Path, seed: int
    ) -> None:
        """`stand`: numbers of zones, out of `zones`."""
        self.scene = scene([zone_of(number, zones) for number in stand])
        self.names = [f"lab-{i}" for i in range(len(stand))]
        for name, number in zip(self.names, stand, strict=True):
            text = as_toml(operator_tree(tree, number, zones, True))
            (folder / f"{name}.toml").write_text(text, encoding="utf-8")
        self.run = Sockets(
            self.scene,
            seed,
            folder,
            lambda i: ("--operator", str(folder / f"{self.names[i]}.toml")),
        )
        self._drained: list[tuple[int, int]] = []  # when all proxies know of it, and the box
        self._playing: asyncio.Task[Ledger] | None = None

    @property
    def now(self) -> int:
        """ns since clients began to ask."""
        return self.run.time.now

    @property
    def pids(self) -> list[int]:
        found = (proxy.process._process for proxy in self.run.proxies)
        return [process.pid for process in found if process]

    async def __aenter__(self) -> Beside:
        self._playing = asyncio.get_running_loop().create_task(self.run.play())
        begun = asyncio.ensure_future(self.run.clients_started.wait())
        await asyncio.wait(
            {self._playing, begun}, timeout=BEGIN_S, return_when=asyncio.FIRST_COMPLETED
        )
        begun.cancel()
        if not self.run.clients_started.is_set():
            await self.__aexit__()
            raise Unfinished("real proxies did not start")
        return self

    async def __aexit__(self, *_: object) -> None:
        if self._playing:
            self._playing.cancel()
            await asyncio.gather(self._playing, return_exceptions=True)

    async def counters(self) -> list[dict[str, int]]:
        return list(
            await asyncio.gather(*(counters(proxy.process.port) for proxy in self.run.proxies))
        )

    def drained(self, box: int) -> None:
        """The store has taken a drain just now, which holds from here to the end."""
        self._drained.append((self.now + int(DRAIN_S * NS), box))

    async def finish(self) -> Ledger:
        """Nobody asks any more; what was seen, once all that was asked has had its time."""
        self.run.stop_clients()
        assert self._playing
        ledger = await self._playing
        for proxy in range(len(self.names)):
            for told, box in self._drained:
                ledger.notified_unavailable.setdefault((proxy, box), []).append((told, -1))
        return ledger

    def judged(self, ledger: Ledger) -> Verdict:
        return check_run(self.scene, ledger)


def box_name(box: int) -> str:
    """As the list names it."""
    return f"box-{box}"


__all__ = ["Beside", "Seen", "box_name", "counters", "scene", "seen", "stalls", "wrong"]
