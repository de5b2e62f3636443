"""A proxy that restarts while the store is unreachable, with a drain that was given to it."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins2 import (  # noqa: E402
    HOST,
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

GRACE_S = 0.5 + 0.05  # of a drain, with the slack on sockets


async def play(record: Record, processes: Processes) -> list[str]:
    """Drain a backend at the proxy, lose the store, restart the proxy; count what b0 gets."""
    fleet = Fleet(processes)
    await fleet.start()
    discovery = Discovery(record)
    await discovery.start()
    backends = [Backend(f"b{number}", record) for number in range(3)]
    for backend in backends:
        await backend.start()
        discovery.put(backend.name, backend.port)
    port, agent_port = free_port(), free_port()
    config = proxy_config(port, discovery.port, known=discovery.listing())
    path = processes.write_json("config.json", config)
    agent = f'data = "{processes.folder}/agent"\nlisten = "{HOST}:{agent_port}"'
    words = f"serve --operator {fleet.operator_file('n1', agent=agent)}"
    proxy = await processes.start("n1", words, {"LB_CONFIG": str(path)})
    await wait_ready(port)
    await load(port, "first", 60)
    drain = f"drain backend b0 --why maintenance --at {HOST}:{agent_port}"
    if (await fleet.command(drain))[0] != 0:
        raise CaseError("the drain was not accepted")
    drained_s = record.now_s
    await asyncio.sleep(1.0)
    await load(port, "drained", 60)
    if has_trouble():
        record.add("the keepers are lost")
        await fleet.stop(signal.SIGKILL)
        await asyncio.sleep(1.0)
        await load(port, "lost", 60)
    record.add("planned restart of the proxy: SIGTERM")
    proxy.terminate()
    await proxy.wait()
    record.add(f"the proxy has ended with {proxy.returncode}")
    await processes.start("n1", words, {"LB_CONFIG": str(path)})
    await wait_ready(port)
    ready_s = record.now_s
    until = time.monotonic() + 6.0
    number = 0
    while time.monotonic() < until:
        await load(port, f"restarted{number}-", 12)
        number += 1
        await asyncio.sleep(0.25)
    after_s = [row.at_s for row in backends[0].arrivals if row.at_s > drained_s + GRACE_S]
    record.add(f"b0 got {len(after_s)} requests later than the grace after its drain")
    # In favour of the proxy the grace counts once more, from when the new process said yes.
    late_s = [at_s for at_s in after_s if not 0 < ready_s + GRACE_S - at_s <= 2 * GRACE_S]
    if not late_s:
        return []
    text = f"{len(late_s)} new requests, the last {late_s[-1] - drained_s:.1f} s after its drain"
    return [f"b0 is drained and got {text}"]


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
