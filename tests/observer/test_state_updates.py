"""Tests of state updates while keepers or a proxy are slow or gone, over loopback."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

import pytest

from mothstall.store.state.changes import (
    AcquireLease,
    PutDrain,
)
from mothstall.store.state.rows import Drain, DrainKind
from tests.observer.cluster import observer_cluster, wait_until

pytestmark = pytest.mark.processes


def test_without_keepers_the_last_state_is_served_with_its_age_and_proposals_rejected(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with observer_cluster(tmp_path, o1="z1") as cluster:
            agent = await cluster.start_agent("p1")
            await wait_until(lambda: cluster.observer_of("p1") == "o1", "member")
            assert agent.client and cluster.keeper
            await agent.client.propose(
                PutDrain(Drain(DrainKind.BACKEND, "b1", "ann", "", "fan")), 5.0
            )
            await wait_until(lambda: "box:b1" in agent.snapshot.drains, "drain")
            await cluster.keeper.stop()
            o1 = cluster.observers["o1"]
            await wait_until(
                lambda: o1.contact.age_ms() > 2500 and not o1.model.table.lease_token,
                "no contact with keepers, and the lease has expired",
            )
            assert "no quorum" in o1.contact.unavailable_reason()
            asks_before = o1.counts["asks"]
            proposal = asyncio.create_task(
                agent.client.propose(AcquireLease("probe/b1", "me", 1000), 1.5)
            )
            with pytest.raises(Exception, match="no observer of o1 answers for the keepers"):
                await proposal
            assert o1.counts["asks"] - asks_before < 30, "retries are limited by the backoff"
            late_agent = await cluster.start_agent(
                "p2"
            )  # a proxy that starts now receives the last state and its age
            await wait_until(lambda: "box:b1" in late_agent.snapshot.drains, "the last state at p2")
            assert late_agent.snapshot_age_ms() > 2000 and not (
                late_agent.observer_client and late_agent.observer_client.is_attached
            )
            await cluster.start_keeper()
            await wait_until(
                lambda: cluster.observer_of("p1") == "o1" and cluster.observer_of("p2") == "o1",
                "both are members again",
            )
            await wait_until(lambda: agent.snapshot_age_ms() < 2000, "a fresh state")

    asyncio.run(scenario())


def test_slow_subscriber_delays_no_other_and_catches_up_once_it_reads(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with observer_cluster(tmp_path, o1="z1") as cluster:
            slow, quick = await cluster.start_agent("slow"), await cluster.start_agent("quick")
            await wait_until(
                lambda: (
                    cluster.observer_of("slow") == "o1" and cluster.observer_of("quick") == "o1"
                ),
                "members",
            )
            assert (
                slow.observer_client
                and slow.observer_client.link
                and slow.observer_client.link._transport
                and quick.client
            )
            # The slow proxy neither reads nor disconnects: updates fill the buffers of its
            # connection.
            slow.observer_client.selector.observer_timeout_ns = 1 << 62
            slow.observer_client.link._transport.pause_reading()
            link = cluster.observers["o1"].proxies.connection("slow")
            assert link._transport
            sock = link._transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            for i in range(150):
                row = Drain(DrainKind.BACKEND, f"b{i % 60}", "ann", "", f"{i} " + "x" * 990)
                await quick.client.propose(PutDrain(row), 5.0)
            await wait_until(
                lambda: quick.snapshot.version == cluster.state.version,
                "the quick proxy is up to date",
            )
            assert link.unsent_bytes <= 256 * 1024 and slow.snapshot.version < cluster.state.version
            slow.observer_client.link._transport.resume_reading()
            await wait_until(
                lambda: slow.snapshot.version == cluster.state.version,
                "the slow proxy is up to date",
            )
            assert dict(slow.snapshot.drains) == cluster.state.drains

    asyncio.run(scenario())
