"""Timeouts between a proxy and its observer. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from mothstall.fleet.units import NS_PER_MS

MAX_RECONNECT_JITTER_NS = 400 * NS_PER_MS  # a longer one leaves proxies without an observer


@dataclass(slots=True, frozen=True)
class AttachmentTimings:
    """Intervals and timeouts, all in ns, derived from the duration of leases.

    Guards against the removal of a live proxy's membership: a proxy that receives nothing attaches
    to another observer before its observer may declare it gone, as `observer_timeout_ns` plus
    `reconnect_jitter_ns` is less than `proxy_timeout_ns`.

    Attributes:
        proxy_heartbeat_ns: Interval of a proxy's heartbeats.
        observer_heartbeat_ns: Interval of an observer's heartbeats.
        observer_timeout_ns: Time without an update from the observer after which a proxy leaves it.
        reconnect_jitter_ns: Upper bound of the random delay before a proxy reconnects.
        proxy_timeout_ns: Time without a heartbeat of a connected proxy after which its observer
            declares it gone.
        disconnect_grace_ns: Time after a lost connection until the proxy is declared gone.
    """

    proxy_heartbeat_ns: int
    observer_heartbeat_ns: int
    observer_timeout_ns: int
    reconnect_jitter_ns: int
    proxy_timeout_ns: int
    disconnect_grace_ns: int

    @classmethod
    def from_lease_term(cls, term_ns: int) -> AttachmentTimings:
        """Derive all values from the duration of a lease."""
        return cls(
            proxy_heartbeat_ns=term_ns // 3,
            observer_heartbeat_ns=term_ns // 3,
            observer_timeout_ns=term_ns,
            reconnect_jitter_ns=min(MAX_RECONNECT_JITTER_NS, term_ns // 5),
            proxy_timeout_ns=term_ns * 3 // 2,
            disconnect_grace_ns=term_ns,
        )
