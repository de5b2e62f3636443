"""Tests of proxies' reports through observers, over loopback."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from mothstall.fleet.failover.transition import RoutingWeights
from tests.observer.cluster import observer_cluster, wait_until

pytestmark = pytest.mark.processes


class _ProxyTraffic:
    def warm_weights(self) -> dict[str, float]:
        return {"z1": 4.0, "z2": 4.0}

    def request_totals(self) -> tuple[int, int]:
        return 0, 0

    def apply_weights(self, weights: RoutingWeights, lifetime_ms: int) -> None:
        pass


def test_failover_lease_holder_gets_reports_by_zone_and_not_by_proxy(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with observer_cluster(tmp_path, o1="z1", o2="z2") as cluster:
            regions = [{"name": "north", "zones": ["z1", "z2"]}]
            failover = {"on": True, "regions": regions, "every": "200ms", "stale": "5s"}
            cluster.operator_file["failover"] = failover
            for name in ("o1", "o2"):
                await cluster.observers[name].stop()
                await cluster.start_observer(name)
            agents = [
                await cluster.start_agent(f"p{i}", f"z{1 + i % 2}", proxy_traffic=_ProxyTraffic())
                for i in range(6)
            ]
            await wait_until(
                lambda: "failover" in cluster.state.leases, "an owner of the failover lease"
            )
            owner = next(a for a in agents if a.owner == cluster.state.leases["failover"].owner)
            controller = owner.failover
            assert controller is not None
            await wait_until(
                lambda: controller.evidence.proxy_counts == {"z1": 3, "z2": 3},
                "reports of all proxies",
            )
            reporters = {
                report.proxy
                for report in controller.report_window.current_reports(
                    time.monotonic_ns() // 1_000_000
                )
            }
            assert reporters == {"observer/o1@z1", "observer/o2@z2"}
            await wait_until(lambda: "zones/plan" in cluster.state.values, "a plan")
            await wait_until(
                lambda: all("zones/plan" in a.snapshot.values for a in agents),
                "the plan at all proxies",
            )
            aggregates = sum(observer.counts["sums"] for observer in cluster.observers.values())
            assert cluster.keeper and cluster.keeper.counts["reports"] <= aggregates

    asyncio.run(scenario())
