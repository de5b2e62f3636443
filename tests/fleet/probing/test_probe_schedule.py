"""Limit on the probe rate of a backend."""

from __future__ import annotations

from mothstall.fleet.probing.probe_schedule import ProbeSchedule
from mothstall.fleet.units import NS_PER_MS, NS_PER_S


def test_backend_with_changing_probers_is_probed_at_most_twice_as_often() -> None:
    schedules = [ProbeSchedule(NS_PER_S), ProbeSchedule(NS_PER_S), ProbeSchedule(NS_PER_S)]
    probes = []
    for step in range(200):  # the lease moves every 100 ms; each proxy sees its holder
        now, holder = step * 100 * NS_PER_MS, schedules[step % 3]
        for schedule in schedules:
            if schedule is not holder:
                schedule.last_held_elsewhere_ns["b1"] = now
        if holder.is_due("b1", now):
            holder.last_probe_ns["b1"] = now
            probes.append(now)
    assert all(sum(at <= p < at + NS_PER_S for p in probes) <= 2 for at in probes)
    alone = ProbeSchedule(NS_PER_S)
    assert alone.is_due("b1", 5 * NS_PER_S)
    alone.last_probe_ns["b1"] = 5 * NS_PER_S
    assert not alone.is_due("b1", 5 * NS_PER_S + 900 * NS_PER_MS) and alone.is_due(
        "b1", 6 * NS_PER_S
    )
    alone.retain([])
    assert not alone.last_probe_ns
