"""Tests of an observer's status and faults, and of a fleet without observers."""

from __future__ import annotations

import asyncio
from pathlib import Path

import msgspec
import pytest

from mothstall.fleet.agent import single_requests
from mothstall.fleet.agent.keeper_client import KeeperClient
from mothstall.observer.state_updates import StateUpdates
from mothstall.store.protocol.keeper_messages import AdminVerb
from tests.observer.cluster import TIMEOUT_S, observer_cluster, wait_until

pytestmark = pytest.mark.processes


def test_status_gives_attachments_age_and_what_was_left_out(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with observer_cluster(tmp_path, o1="z1") as cluster:
            await cluster.start_agent("p1")
            await wait_until(lambda: cluster.observer_of("p1") == "o1", "member")
            observer_config = cluster.operator().observers[0]
            response = await single_requests.send_observer_command(
                cluster.operator(), observer_config, AdminVerb.STATUS, 5.0
            )
            status = msgspec.json.decode(response.body)
            assert (status["name"], status["attached"], status["seated"], status["keeper"]) == (
                "o1",
                1,
                1,
                "k1",
            )
            assert 0 <= status["age_ms"] < 5000 and status["left_out"] == 0 and status["token"] > 0
            assert (
                await single_requests.send_observer_command(
                    cluster.operator(), observer_config, AdminVerb.TRANSFER, 5.0
                )
            ).rejected_reason == "no such order"

    asyncio.run(scenario())


def test_observer_with_a_failed_essential_task_stops(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        async with observer_cluster(tmp_path, o1="z1") as cluster:
            await cluster.start_agent("p1")
            await wait_until(lambda: cluster.observer_of("p1") == "o1", "member")

            def faulty(self: StateUpdates, now_ns: int) -> None:
                raise RuntimeError("a fault")

            monkeypatch.setattr(StateUpdates, "send_due", faulty)
            async with asyncio.timeout(TIMEOUT_S):
                await cluster.observers["o1"].stop_requested.wait()
            assert "a fault" in cluster.observers["o1"].fault

    asyncio.run(scenario())


def test_without_observers_agents_are_clients_of_keepers(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with observer_cluster(tmp_path) as cluster:
            agent = await cluster.start_agent("p1")
            await wait_until(lambda: "member/p1" in cluster.state.leases, "member by lease")
            assert (
                agent.observer_client is None
                and type(agent.client) is KeeperClient
                and not cluster.state.members
            )
            assert "fleet_attached" not in agent.metrics()

    asyncio.run(scenario())
