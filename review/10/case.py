"""A backup that `keepers backup` takes from a keeper that is cut off."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins2 import (  # noqa: E402
    Backend,
    CaseError,
    Discovery,
    Fleet,
    Processes,
    Record,
    free_port,
    has_trouble,
    load,
    proxy_config,
    run_case,
    wait_ready,
)


async def play(record: Record, processes: Processes) -> list[str]:
    """Drain a backend, back up, start over from the backup; return what was lost."""
    fleet = Fleet(processes)
    await fleet.start()
    if has_trouble():
        record.add("k1 is cut off from k2 and k3")
        fleet.cut_off("k1")
        await asyncio.sleep(3.0)
    drained = await fleet.command("drain backend b0 --why maintenance")
    if drained[0] != 0:
        raise CaseError("the drain was not accepted")
    listed = await fleet.command("drains --json")
    await asyncio.sleep(2.0)
    backup = processes.folder / "backup"
    backed_up = await fleet.command(f"keepers backup {backup}")
    if backed_up[0] != 0:
        record.add("the command said that it made no backup")
        return []
    await fleet.stop()
    for keeper in fleet.names:
        fleet.folder(keeper).rename(processes.folder / f"old-{keeper}")
        restored = await fleet.command(f"keepers restore {backup} --name {keeper}")
        if restored[0] != 0:
            raise CaseError("the backup cannot be restored")
    for link in fleet.links.values():
        link.mend()
    await fleet.start()
    listed_after = await fleet.command("drains --json")
    broken = []
    if json.loads(listed_after[1]) != json.loads(listed[1]):
        broken.append(f"drains before the backup: {listed[1]}; from the backup: {listed_after[1]}")
    late = await send_to_drained(record, processes, fleet)
    if late:
        broken.append(f"{late} requests went to b0, which is drained")
    return broken


async def send_to_drained(record: Record, processes: Processes, fleet: Fleet) -> int:
    """Start a proxy; return how many requests reach b0 more than the grace after its start."""
    discovery = Discovery(record)
    await discovery.start()
    backends = [Backend(f"b{number}", record) for number in range(3)]
    for backend in backends:
        await backend.start()
        discovery.put(backend.name, backend.port)
    port = free_port()
    config = proxy_config(port, discovery.port, known=discovery.listing())
    path = processes.write_json("config.json", config)
    operator = fleet.operator_file("n1", agent=f'data = "{processes.folder}/agent"')
    await processes.start("n1", f"serve --operator {operator}", {"LB_CONFIG": str(path)})
    await wait_ready(port)
    await asyncio.sleep(2.0)
    await load(port, "r", 60)
    return len(backends[0].arrivals)


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
