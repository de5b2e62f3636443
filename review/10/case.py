"""Two operators, each of whom evacuates a zone at the same time."""

from __future__ import annotations

import asyncio
import copy
import json
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins2 import (  # noqa: E402
    SETTINGS,
    Backend,
    CaseError,
    Discovery,
    Fleet,
    Processes,
    Record,
    call,
    free_port,
    has_trouble,
    proxy_config,
    request_bytes,
    run_case,
    wait_ready,
)

ZONES = ("east", "west", "cape")
FAILOVER = """
[failover]
on = true
bears = 1000.0
[[failover.regions]]
name = "north"
zones = ["east", "west", "cape"]
"""
APART_S = 0.5  # between the two commands


async def start_proxies(
    discovery: Discovery, backends: list[Backend], processes: Processes, fleet: Fleet
) -> list[int]:
    """Start a proxy in each zone; return their ports."""
    ports = []
    for number, zone in enumerate(ZONES):
        settings = copy.deepcopy(SETTINGS)
        settings |= {"zones": list(ZONES), "zone": number, "position": number}
        settings["replicas-of-me"] = len(ZONES)
        port = free_port()
        config = proxy_config(port, discovery.port, known=discovery.listing())
        config |= {"name": f"n-{zone}", "settings": settings}
        path = processes.write_json(f"{zone}.json", config)
        operator = fleet.operator_file(f"proxy-{zone}", zone=zone)
        await processes.start(f"n-{zone}", f"serve --operator {operator}", {"LB_CONFIG": str(path)})
        ports.append(port)
    for port in ports:
        await wait_ready(port)
    return ports


async def play(record: Record, processes: Processes) -> list[str]:
    """Evacuate two zones; return which of them goes on getting requests."""
    fleet = Fleet(processes, FAILOVER)
    await fleet.start()
    discovery = Discovery(record)
    await discovery.start()
    backends = [Backend(f"{zone}-{number}", record) for zone in ZONES for number in (1, 2)]
    for backend in backends:
        await backend.start()
        discovery.put(backend.name, backend.port, zone=backend.name.partition("-")[0])
    ports = await start_proxies(discovery, backends, processes, fleet)
    sent = 0

    async def client(port: int) -> None:
        nonlocal sent
        while True:
            sent += 1
            await call(port, request_bytes(f"r{sent}", "search", 600))
            await asyncio.sleep(0.02)

    async def count(seconds: float) -> dict[str, int]:
        before = {backend.name: len(backend.arrivals) for backend in backends}
        await asyncio.sleep(seconds)
        counts = dict.fromkeys(ZONES, 0)
        for backend in backends:
            zone = backend.name.partition("-")[0]
            counts[zone] += len(backend.arrivals) - before[backend.name]
        record.add(f"requests in {seconds:.0f} s by zone: {counts}")
        return counts

    async def evacuate(zone: str, who: str, after_s: float) -> tuple[int, str]:
        await asyncio.sleep(after_s)
        return await fleet.command(f"zones evacuate {zone} --who {who} --why maintenance")

    clients = [asyncio.create_task(client(port)) for port in ports for _ in (1, 2)]
    await asyncio.sleep(6.0)
    await count(3.0)
    if has_trouble():
        results = await asyncio.gather(
            evacuate("east", "ann", 0.0), evacuate("west", "bob", APART_S)
        )
    else:
        results = [await evacuate("east", "ann", 0.0), await evacuate("west", "bob", APART_S)]
    accepted = [zone for zone, (code, _) in zip(("east", "west"), results, strict=True) if not code]
    await asyncio.sleep(8.0)
    counts = await count(5.0)
    shown = await fleet.command("zones --json")
    for task in clients:
        task.cancel()
    if not accepted:
        raise CaseError("no evacuation was accepted")
    orders = json.loads(shown[1])["orders"] if shown[0] == 0 else ""
    total = sum(counts.values())
    return [
        f"{zone}: its evacuation was accepted and no order of it is left ({orders!r}); "
        f"{counts[zone]} of {total} requests still go there"
        for zone in accepted
        if zone not in orders and counts[zone] > total / 10
    ]


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
