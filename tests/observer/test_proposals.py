"""Tests of proposals that proxies send through an observer, over loopback."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from mothstall.observer.limits import ObserverLimits
from mothstall.store.protocol import keeper_messages
from mothstall.store.state.changes import (
    AcquireLease,
    OpenSession,
    Proposal,
    PutDrain,
    PutValue,
    ReleaseLease,
    RenewLeases,
    RevokeLease,
    UpdateMembers,
)
from mothstall.store.state.rows import Drain, DrainKind
from tests.observer.cluster import observer_cluster, wait_until

pytestmark = pytest.mark.processes


def test_drains_and_lease_changes_of_proxies_are_forwarded_with_their_tokens(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with observer_cluster(tmp_path, o1="z1") as cluster:
            agents = [await cluster.start_agent(f"p{i}") for i in range(3)]
            await wait_until(
                lambda: all(a.observer_client and a.observer_client.is_attached for a in agents),
                "all are attached",
            )
            store = agents[0].client
            assert store is not None
            granted = await store.propose(AcquireLease("probe/b1", agents[0].owner, 1000), 5.0)
            assert granted.token and not granted.rejected_reason
            contested = await agents[1].client.propose(AcquireLease("probe/b1", "other", 1000), 5.0)  # type: ignore[union-attr]
            assert "is p0#" in contested.rejected_reason
            for _ in range(8):  # renewed beyond its term, combined with other renewals
                renew = RenewLeases(agents[0].owner, (("probe/b1", granted.token), ("x", 9)))
                renewed = await store.propose(renew, 5.0)
                assert renewed.lost_leases == ("x",) and not renewed.rejected_reason
                await asyncio.sleep(0.25)
            assert cluster.observers["o1"].counts["renewals"] >= 8
            stale = await store.propose(
                PutValue("probe/b1", granted.token - 1, "hint/b1", b""), 5.0
            )
            assert "is over" in stale.rejected_reason
            await store.propose(PutDrain(Drain(DrainKind.BACKEND, "b1", "ann", "", "fan")), 5.0)
            await wait_until(lambda: all("box:b1" in a.snapshot.drains for a in agents), "drain")
            # Renewed while waiting: on a busy machine the wait may exceed the term.
            async with asyncio.timeout(20):
                while not all("probe/b1" in agent.snapshot.leases for agent in agents):
                    await store.propose(renew, 5.0)
                    await asyncio.sleep(0.05)

    asyncio.run(scenario())


def test_proxy_cannot_change_leases_or_members_of_observers(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with observer_cluster(tmp_path, o1="z1") as cluster:
            agent = await cluster.start_agent("p1")
            await wait_until(lambda: cluster.observer_of("p1") == "o1", "member")
            token = cluster.observers["o1"].model.table.lease_token
            assert agent.client
            for change in (
                UpdateMembers("observer/o1", token),
                ReleaseLease("observer/o1", token),
                AcquireLease("observer/o2", "me", 1000),
                RevokeLease("observer/o1", "me", "why"),
                RenewLeases("me", (("probe/b1", 1), ("observer/o1", token))),
            ):
                result = await agent.client.propose(change, 5.0)
                assert result.rejected_reason == "a proxy answers for no observer", change
            assert cluster.observer_of("p1") == "o1" and "observer/o2" not in cluster.state.leases

    asyncio.run(scenario())


def test_cancelled_proposals_are_dropped_and_those_beyond_the_limit_rejected(
    tmp_path: Path,
) -> None:
    limits = ObserverLimits(max_forwarded_proposals=0, max_queued_proposals=5)

    async def scenario() -> None:
        async with observer_cluster(tmp_path, limits=limits, o1="z1") as cluster:
            agent = await cluster.start_agent("p1")
            await wait_until(lambda: cluster.observer_of("p1") == "o1", "member")
            o1 = cluster.observers["o1"]
            forwarder = o1.proxies.forwarder
            proxy = o1.proxies.get("p1")
            assert proxy is not None
            for i in range(9):
                request = keeper_messages.ProposeRequest(i, Proposal(0, 1, OpenSession("x")))
                forwarder.submit(proxy, request)
            assert len(forwarder.queued) == 5 and o1.counts["asks_refused"] == 4
            assert agent.observer_client and agent.observer_client.link
            agent.observer_client.link.close("gone")
            await wait_until(lambda: o1.proxies.get("p1") is not proxy, "the proxy is removed")
            forwarder.limits = ObserverLimits()
            before = cluster.state.applied_index
            forwarder.forward_queued()
            assert not forwarder.queued and o1.counts["asks_dropped"] == 5
            assert forwarder.in_flight == 0
            assert cluster.state.applied_index - before <= 1

    asyncio.run(scenario())
