"""Limit on the probe rate of a backend whose prober changes. Pure."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass(slots=True)
class ProbeSchedule:
    """When one proxy may probe each backend; monotonic times in ns, by lease name.

    Guards against excessive probes while leases change holders often: a prober keeps the time of
    its last probe across the loss of its lease, and waits for half of the interval after it last
    saw another proxy hold the lease. So however often a backend's prober changes, the backend is
    probed at most twice as often as configured.

    Attributes:
        interval_ns: Time between two probes of one backend.
        last_probe_ns: When this proxy last probed.
        last_held_elsewhere_ns: When this proxy last saw another proxy hold the lease.
    """

    interval_ns: int
    last_probe_ns: dict[str, int] = field(default_factory=dict)
    last_held_elsewhere_ns: dict[str, int] = field(default_factory=dict)

    def retain(self, names: Iterable[str]) -> None:
        """Forget all backends but these."""
        listed = set(names)
        for times in (self.last_probe_ns, self.last_held_elsewhere_ns):
            for name in [name for name in times if name not in listed]:
                del times[name]

    def is_due(self, name: str, now_ns: int) -> bool:
        """Return whether this proxy may probe now, given that it holds the lease."""
        long_ago_ns = now_ns - self.interval_ns
        since_probe_ns = now_ns - self.last_probe_ns.get(name, long_ago_ns)
        since_elsewhere_ns = now_ns - self.last_held_elsewhere_ns.get(name, long_ago_ns)
        return since_probe_ns >= self.interval_ns and since_elsewhere_ns >= self.interval_ns // 2
