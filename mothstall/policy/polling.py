"""Schedules the calls that open a watch at discovery, staggered by the proxies' positions."""

from __future__ import annotations

from mothstall import interface as io
from mothstall.interface import NS
from mothstall.policy.context import Context

PROXY_INTERVAL_NS = NS // 10  # mean interval between calls of different proxies
MAX_INTERVAL_NS = 11 * NS // 4  # upper bound of the interval between calls of one proxy
MAX_RETRY_DELAY_NS = 13 * NS // 4  # from a failed call's start; 2.25 s are left for the retry
MAX_FIRST_DELAY_NS = 21 * NS // 4  # upper bound from the start to the first call
MAX_COUNTED_FAILURES = 3  # consecutive failures, each of which doubles the minimum interval
_INTERVAL_STEPS = 8  # a call that would be late is brought forward in eighths of the interval


class DiscoveryPolling:
    """Opens watches at discovery, without long gaps and without simultaneous calls by proxies."""

    def __init__(self, context: Context) -> None:
        settings = context.settings
        self._context = context
        self._is_watching = False
        self._failures = 0
        self._due_ns = 0
        self._turn_ns = 0  # time of this proxy's first turn; the later turns follow at the interval
        self._max_interval_ns = min(
            MAX_INTERVAL_NS, max(PROXY_INTERVAL_NS, settings.poll_within_ns // 2)
        )

    def begin(self) -> None:
        """Schedule the first call, unless discovery pushes lists."""
        settings = self._context.settings
        if settings.discovery_push:
            return
        spread_ns = min(
            settings.poll_within_ns * 4 // 5,
            MAX_FIRST_DELAY_NS,
            PROXY_INTERVAL_NS * settings.proxies,
        )
        self._turn_ns = self._context.now_ns + int(spread_ns * self._context.ring_offset)
        self._context.timers.schedule(self._turn_ns, self._watch_if_due)

    def failed(self, call_ns: int) -> None:
        """Schedule a retry after a call that failed `call_ns` after it began."""
        self._is_watching = False
        self._failures = min(MAX_COUNTED_FAILURES, self._failures + 1)
        self._schedule_in_turn(self._context.now_ns - call_ns + MAX_RETRY_DELAY_NS)

    def succeeded(self) -> None:
        """Record an update, which shows that a watch is open."""
        self._is_watching = True
        self._failures = 0

    def started_without_list(self) -> None:
        """Schedule an early call, because there is no cached list."""
        if not self._context.settings.discovery_push:
            self._schedule_in_turn(self._context.now_ns + int(NS * self._context.ring_offset))

    def _watch_if_due(self) -> None:
        """Open a watch if none is open and a call is due; check later whether it got a response."""
        now_ns = self._context.now_ns
        if now_ns >= self._due_ns and not self._is_watching:
            self._context.actions.append(io.WatchEndpoints(True))
            self._due_ns = now_ns + self._context.settings.poll_within_ns // 2
            self._context.timers.schedule(self._due_ns, self._watch_if_due)

    def _schedule_in_turn(self, latest_ns: int) -> None:
        """Schedule a call at this proxy's next turn, but not after `latest_ns` unless that is past.

        Guards against simultaneous calls when discovery recovers: turns are staggered by position.
        """
        now_ns = self._context.now_ns
        interval_ns = min(
            self._max_interval_ns,
            max(
                PROXY_INTERVAL_NS * self._context.settings.proxies,
                MAX_INTERVAL_NS >> (MAX_COUNTED_FAILURES - self._failures),
            ),
        )
        in_turn_ns = now_ns + interval_ns - (now_ns - self._turn_ns) % interval_ns
        early_ns = latest_ns - (latest_ns - self._turn_ns) % (interval_ns // _INTERVAL_STEPS)
        self._due_ns = min(in_turn_ns, max(now_ns, early_ns))
        self._context.timers.schedule(self._due_ns, self._watch_if_due)
