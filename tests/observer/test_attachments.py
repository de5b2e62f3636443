"""Tests of proxies that attach to observers, move between them and leave, over loopback."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from tests.observer.cluster import kill, observer_cluster, wait_until

pytestmark = pytest.mark.processes


def test_members_are_written_once_and_heartbeats_add_nothing_to_the_log(tmp_path: Path) -> None:
    async def scenario() -> None:
        # Long enough for a busy machine: after a lost lease, an observer has all proxies join
        # again.
        async with observer_cluster(tmp_path, term="9s", o1="z1") as cluster:
            for i in range(20):
                await cluster.start_agent(f"p{i}")
            await wait_until(
                lambda: all(cluster.observer_of(f"p{i}") == "o1" for i in range(20)), "members"
            )
            await wait_until(
                lambda: all(len(a.snapshot.attached) == 20 for a in cluster.agents.values()),
                "complete snapshots",
            )
            assert cluster.keeper and not any(
                link.role == "agent" for link in cluster.keeper.server.clients
            ), "agents connect to no keeper"
            assert not any(name.startswith("member/") for name in cluster.state.leases)
            loop, version, applied = (
                asyncio.get_running_loop(),
                cluster.state.version,
                cluster.state.applied_index,
            )
            started_s = loop.time()
            await asyncio.sleep(3.0)
            assert cluster.state.version == version, "without joins or leaves the version stays"
            # The observer renews its own lease three times a term; its 20 proxies renew none.
            assert cluster.state.applied_index - applied <= 3 * (loop.time() - started_s) / 9 + 2
            assert len({a.snapshot.version for a in cluster.agents.values()}) == 1

    asyncio.run(scenario())


def test_each_backend_is_probed_by_one_proxy_behind_observers(tmp_path: Path) -> None:
    """Guards against an agent without leases that waits for a renewal and acquires none."""

    async def scenario() -> None:
        async with observer_cluster(tmp_path, o1="z1", o2="z2") as cluster:
            agents = [
                await cluster.start_agent(f"p{i}", f"z{1 + i % 2}", backends=6) for i in range(4)
            ]
            await wait_until(
                lambda: all(f"probe/b{i}" in cluster.state.leases for i in range(6)), "probers"
            )
            owners = {
                row.owner for name, row in cluster.state.leases.items() if name.startswith("probe/")
            }
            assert owners <= {a.owner for a in agents}
            lease = cluster.state.leases["probe/b0"]
            holder = next(a for a in agents if a.owner == lease.owner)
            await cluster.agents.pop(holder.name).stop()
            await wait_until(
                lambda: (row := cluster.state.leases.get("probe/b0")) and row.owner != holder.owner,
                "another prober",
            )
            assert cluster.state.leases["probe/b0"].token > lease.token

    asyncio.run(scenario())


def test_proxies_of_a_lost_observer_move_and_stay_members_throughout(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with observer_cluster(tmp_path, o1="z1", o2="z1", o3="z2") as cluster:
            for i in range(12):
                await cluster.start_agent(f"p{i}")
            await wait_until(
                lambda: all(cluster.observer_of(f"p{i}") in ("o1", "o2") for i in range(12)),
                "members",
            )
            removed = set()

            def all_at_o2() -> bool:
                removed.update({f"p{i}" for i in range(12)} - set(cluster.state.members))
                return all(cluster.observer_of(f"p{i}") == "o2" for i in range(12))

            await kill(cluster.observers.pop("o1"))
            await wait_until(all_at_o2, "all at o2")
            assert not removed, "no proxy lost its membership"
            await kill(cluster.observers.pop("o2"))
            await wait_until(
                lambda: all(cluster.observer_of(f"p{i}") == "o3" for i in range(12)),
                "all at o3, in the region's other zone",
            )
            await cluster.start_observer("o1")
            await wait_until(lambda: "observer/o1" in cluster.state.leases, "o1 is back")
            for agent in cluster.agents.values():
                assert agent.observer_client
                agent.observer_client.selector.home_return_not_before_ns = 0
                # A return that meets o2, which is still gone, ends at o3 and is tried again.
                agent.observer_client.selector.home_return_delay_ns = 0
            await wait_until(
                lambda: all(cluster.observer_of(f"p{i}") == "o1" for i in range(12)),
                "all at o1 again",
            )

    asyncio.run(scenario())


def test_stopped_proxy_leaves_at_once_and_silent_one_after_a_term(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with observer_cluster(tmp_path, o1="z1") as cluster:
            for name in ("p1", "p2", "p3"):
                await cluster.start_agent(name)
            await wait_until(lambda: len(cluster.state.members) == 3, "members")
            await cluster.agents.pop("p1").stop()
            await wait_until(lambda: set(cluster.state.members) == {"p2", "p3"}, "p1 is removed")
            client = cluster.agents["p2"].observer_client
            assert client is not None
            client._tick_task.cancel()  # no more heartbeats, on an open connection
            await wait_until(lambda: set(cluster.state.members) == {"p3"}, "p2 is removed")

    asyncio.run(scenario())
