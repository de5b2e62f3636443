"""`mothstall zones` against a keeper process and proxies that report."""

from __future__ import annotations

import asyncio
import contextlib
import threading
from collections.abc import Iterator
from typing import Any

import msgspec
import pytest

from mothstall.fleet.agent.keeper_client import KeeperClient
from mothstall.fleet.failover.reports import OutcomeCounts, TrafficReport
from mothstall.fleet.operator_file import read_operator_file
from mothstall.store.protocol.frames import PeerRole
from tests.commands.running_keeper import CommandRunner, RunningKeeper

pytestmark = pytest.mark.processes
ZONES = ("a", "b", "c")
REPORT_INTERVAL_S = 0.2


@contextlib.contextmanager
def reporting_proxies(operator_file: str) -> Iterator[None]:
    """Two proxies in each of three zones, which can serve 60 requests a second each."""
    stopped = threading.Event()

    async def report_until_stopped() -> None:
        loop = asyncio.get_running_loop()
        client = KeeperClient(read_operator_file(operator_file), "fakes", PeerRole.AGENT, loop=loop)
        sequence_number = 0
        while not stopped.is_set():
            sequence_number += 1
            for index, zone in enumerate(ZONES * 2):
                outcomes = {zone: {"x": OutcomeCounts(good=20)}}
                warm = dict.fromkeys(ZONES, 6.0)
                utilization = dict.fromkeys(ZONES, 40 / 60)
                report = TrafficReport(
                    f"p{index}", zone, sequence_number, 1000, 0, 20, 0, outcomes, warm, utilization
                )
                client.publish_report(msgspec.msgpack.encode(report))
            await asyncio.sleep(REPORT_INTERVAL_S)
        await client.close()

    thread = threading.Thread(target=asyncio.run, args=(report_until_stopped(),))
    thread.start()
    try:
        yield
    finally:
        stopped.set()
        thread.join()


def test_zones_shows_reports_and_the_effect_of_each_override(
    keeper: RunningKeeper, commands: CommandRunner
) -> None:
    def zones(*argv: str) -> Any:
        return commands.json("zones", *argv, "--who", "ann")

    def rejected(*argv: str) -> str:
        return commands.text("zones", *argv, "--json", "--who", "ann", code=2)

    with reporting_proxies(keeper.operator_file):
        shown = zones()
        assert shown["decided_by"] == "nobody"
        assert shown["reports"] == 6
        assert shown["plan"] == 0
        rows = [(r["zone"], r["proxies"], r["goes_to"], r["bears"]) for r in shown["zones"]]
        assert rows == [("a", 2, "free", 60.0), ("b", 2, "free", 60.0), ("c", 2, "free", 60.0)]
        preview = zones("evacuate", "a", "--dry-run")
        assert preview["said"] == "nothing"
        assert [row["load_then"] for row in preview["zones"]] == [6.0, 57.0, 57.0]
        assert zones("resume")["said"] == "nothing is asked for any more", (
            "the dry run wrote no override"
        )
        assert zones("shift", "--from", "b", "--part", "30%")["said"] == "30% away from b"
        assert zones("hold", "--for", "5m")["said"] == "30% away from b; hold for 300 s"
        assert "30% away from b" in zones()["orders"]
        assert zones("resume", "b")["said"] == "hold for 300 s"
        assert "no proxy reports on zone q" in rejected("evacuate", "q")
        assert "--part 0% to 100%" in rejected("shift", "--from", "b", "--part", "a lot")
        assert "decided_by: nobody" in commands.text("zones")
