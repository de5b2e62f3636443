"""A proxy's choice of an observer, and the decision when to leave it. Pure."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from mothstall.fleet.units import NS_PER_MS, NS_PER_S

MIN_BACKOFF_NS = 50 * NS_PER_MS  # after the first failure; doubles with each further one
MAX_BACKOFF_DOUBLINGS = 8
MAX_STALENESS_DOUBLINGS = 6


class LeaveReason(StrEnum):
    """Why a proxy leaves its observer; the values appear in logs."""

    SILENT = "the observer is silent"
    STALE = "the observer has lost the keepers"
    HOME_AVAILABLE = "an observer of the home zone is available"


@dataclass(slots=True)
class ObserverEndpoint:
    """An observer, and one proxy's backoff for it.

    Attributes:
        name: The observer.
        is_home: Whether it serves the proxy's own zone.
        retry_not_before_ns: End of its backoff.
        failures: Consecutive failures; reset by an update that is not stale.
    """

    name: str
    is_home: bool
    retry_not_before_ns: int = 0
    failures: int = 0


@dataclass(slots=True)
class ObserverSelector:
    """A proxy's choice among observers; times in ns of its monotonic clock.

    Guards against many proxies that move at the same instant: each proxy randomizes its delays, and
    the backoff after failures grows exponentially.

    Attributes:
        rng: The proxy's own random numbers.
        observer_timeout_ns: Time without an update after which the proxy leaves its observer.
        max_staleness_ns: Age of the state up to which an observer counts as fresh.
        home_return_delay_ns: Time after which a proxy at an observer of another zone returns; a
            random delay of up to half as much is added.
        max_backoff_ns: Bound of the backoff of one observer.
        reconnect_jitter_ns: Upper bound of the random delay before a reconnection.
        endpoints: All observers: those of the own zone, then those of the region.
        epoch: Counts this proxy's attachments.
        current: The observer that was chosen; empty: none.
        attached_since_ns: When the current observer was chosen, or connected.
        last_received_ns: When the current observer last sent an update, or was chosen or connected.
        is_connected: Whether the connection is established.
        connect_not_before_ns: Earliest time of the next connection.
        stale_departures: Consecutive observers that were left because their state was stale.
        home_return_not_before_ns: Earliest time of a return to the own zone.
        is_fresh: Whether the last update was not stale.
        is_half_open: Whether the proxy left a fresh observer to return to its own zone, and has not
            received a fresh update there yet.
    """

    rng: random.Random
    observer_timeout_ns: int = 2_500 * NS_PER_MS
    max_staleness_ns: int = 1_500 * NS_PER_MS
    home_return_delay_ns: int = 30 * NS_PER_S
    max_backoff_ns: int = 5 * NS_PER_S
    reconnect_jitter_ns: int = 400 * NS_PER_MS
    endpoints: list[ObserverEndpoint] = field(default_factory=list)
    epoch: int = 0
    current: str = ""
    attached_since_ns: int = 0
    last_received_ns: int = 0
    is_connected: bool = False
    connect_not_before_ns: int = 0
    stale_departures: int = 0
    home_return_not_before_ns: int = 0
    is_fresh: bool = False
    is_half_open: bool = False

    def add_endpoints(self, home: Sequence[str], region: Sequence[str]) -> None:
        """Add the observers of the own zone, then those of the region, each in random order."""
        for names, is_home in ((home, True), (region, False)):
            shuffled = [ObserverEndpoint(name, is_home) for name in names]
            self.rng.shuffle(shuffled)
            self.endpoints += shuffled

    def choose_next(self, now_ns: int) -> tuple[str, int]:
        """Return the observer to connect to, and the delay before connecting, in ns.

        The first one without a backoff is chosen; if there is none, the one whose backoff ends
        first.
        """
        best = min(self.endpoints, key=lambda endpoint: max(endpoint.retry_not_before_ns, now_ns))
        self.current = best.name
        self.attached_since_ns = now_ns
        self.last_received_ns = now_ns
        earliest_ns = max(best.retry_not_before_ns, self.connect_not_before_ns)
        return best.name, max(0, earliest_ns - now_ns)

    def connected(self, now_ns: int) -> int:
        """Record an established connection; return the epoch of this attachment."""
        self.epoch += 1
        self.is_connected = True
        self.attached_since_ns = now_ns
        self.last_received_ns = now_ns
        delay_ns = int(self.home_return_delay_ns * (1.0 + 0.5 * self.rng.random()))
        self.home_return_not_before_ns = now_ns + delay_ns
        return self.epoch

    def record_update(self, staleness_ns: int, now_ns: int) -> None:
        """Record an update whose state has the given age."""
        self.last_received_ns = now_ns
        self.is_fresh = staleness_ns < self.max_staleness_ns
        if not self.is_fresh:
            return
        self.stale_departures = 0
        self.is_half_open = False
        for endpoint in self.endpoints:
            if endpoint.name == self.current:
                endpoint.failures = 0

    def reason_to_leave(self, staleness_ns: int, now_ns: int) -> LeaveReason | None:
        """Return why the proxy should choose another observer; None: it stays."""
        if now_ns - self.last_received_ns > self.observer_timeout_ns:
            return LeaveReason.SILENT
        if self._is_too_stale(staleness_ns, now_ns):
            return LeaveReason.STALE
        if self._may_return_home(now_ns):
            return LeaveReason.HOME_AVAILABLE
        return None

    def _is_too_stale(self, staleness_ns: int, now_ns: int) -> bool:
        if self.is_half_open and staleness_ns > self.max_staleness_ns:
            # Guards against a proxy that stays here until its previous observer declares it gone.
            return True
        limit_ns = self.max_staleness_ns << min(self.stale_departures, MAX_STALENESS_DOUBLINGS)
        attached_for_ns = now_ns - self.attached_since_ns
        return staleness_ns > limit_ns and attached_for_ns > limit_ns and len(self.endpoints) > 1

    def _may_return_home(self, now_ns: int) -> bool:
        if now_ns <= self.home_return_not_before_ns:
            return False
        is_in_other_zone = any(
            endpoint.name == self.current and not endpoint.is_home for endpoint in self.endpoints
        )
        return is_in_other_zone and any(
            endpoint.is_home and endpoint.retry_not_before_ns <= now_ns
            for endpoint in self.endpoints
        )

    def disconnected(self, reason: str, now_ns: int) -> None:
        """Record that the observer was left, lost or not reached.

        Args:
            reason: A `LeaveReason`, or any other text for a fault of the connection.
            now_ns: The monotonic clock.
        """
        is_return_home = reason == LeaveReason.HOME_AVAILABLE
        self.is_half_open = is_return_home and self.is_fresh
        if reason == LeaveReason.STALE:
            self.stale_departures += 1
        if not is_return_home:
            self._back_off(now_ns)
        if self.is_connected:
            jitter_ns = int(self.reconnect_jitter_ns * self.rng.random())
            self.connect_not_before_ns = now_ns + jitter_ns
        self.current = ""
        self.is_connected = False

    def _back_off(self, now_ns: int) -> None:
        for endpoint in self.endpoints:
            if endpoint.name != self.current:
                continue
            endpoint.failures += 1
            doublings = min(endpoint.failures - 1, MAX_BACKOFF_DOUBLINGS)
            wait_ns = min(self.max_backoff_ns, MIN_BACKOFF_NS << doublings)
            delay_ns = int(wait_ns * (0.5 + self.rng.random()))
            endpoint.retry_not_before_ns = now_ns + delay_ns
