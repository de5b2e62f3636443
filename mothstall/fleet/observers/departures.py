"""Detection of proxies that an observer may declare gone. Pure."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from mothstall.fleet.observers.attachment import Attachment
from mothstall.fleet.observers.attachment_timings import AttachmentTimings


class _Disconnection(NamedTuple):
    expires_at_ns: int
    attachment: Attachment


class DepartureDetector:
    """Finds proxies that have sent no heartbeat for too long, or have not reconnected in time.

    An observer that was stalled allows for its own delay (Lifeguard; Dadgar and others, 2018): it
    declares no proxy gone until a complete timeout after the stall.
    """

    def __init__(self, timings: AttachmentTimings) -> None:
        """Start without disconnections."""
        self._timings = timings
        self._disconnections: deque[_Disconnection] = deque()
        self._last_tick_ns = 0
        self._suspended_until_ns = 0

    def record_disconnection(self, attachment: Attachment, now_ns: int) -> None:
        """Start the grace period of a proxy whose connection was lost."""
        expires_at_ns = now_ns + self._timings.disconnect_grace_ns
        self._disconnections.append(_Disconnection(expires_at_ns, attachment))

    def tick(self, now_ns: int) -> bool:
        """Return whether proxies may be declared gone; called periodically."""
        if now_ns - self._last_tick_ns > self._timings.proxy_timeout_ns // 2:
            self._suspended_until_ns = now_ns + self._timings.proxy_timeout_ns
        self._last_tick_ns = now_ns
        return now_ns >= self._suspended_until_ns

    def timed_out(
        self, by_last_heartbeat: Iterable[Attachment], now_ns: int
    ) -> Iterator[Attachment]:
        """Return the proxies that timed out, from an iterable ordered by `last_heartbeat_ns`."""
        for attachment in by_last_heartbeat:
            if now_ns - attachment.last_heartbeat_ns < self._timings.proxy_timeout_ns:
                return
            yield attachment

    def pop_expired_disconnections(self, now_ns: int) -> Iterator[Attachment]:
        """Remove and return attachments whose grace period has ended; they may be outdated."""
        while self._disconnections and self._disconnections[0].expires_at_ns <= now_ns:
            yield self._disconnections.popleft().attachment
