"""Subsetting: selects so few backends that this proxy has enough traffic to measure each.

Without subsets, hundreds of proxies with little traffic each would hold connections to all
backends, and each proxy would have to detect every fault by itself. Each proxy uses a contiguous
section of the hash ring; the sections of all proxies cover the ring evenly.
"""

from __future__ import annotations

import math

from mothstall.interface import NS
from mothstall.policy.backend import Backend
from mothstall.policy.context import Context
from mothstall.policy.endpoints import EndpointList
from mothstall.policy.priority_groups import PriorityGroups
from mothstall.policy.slots import OBSERVATION_NS
from mothstall.policy.slow_start import SlowStart
from mothstall.policy.zone_weights import ZoneWeights

MIN_MEMBERS = 3  # minimum size of a subset
PROXIES_PER_BACKEND = 6.0  # minimum mean number of proxies that have a backend in their subsets
RATE_PER_MEMBER = 6.0  # attempts per second of this proxy for each member
SHRINK_BELOW = 0.7  # fraction of `size` below which a newly computed size replaces it
MAX_WIDENING = 2  # members at most, in multiples of `size`, if some are ejected or warming up
UNSMOOTHED_RISE_ATTEMPTS = 10  # attempts in a slot from which a rise is not smoothed
_RATE_GAIN_PER_PERIOD = 3  # time constants of the smoothed rate in one observation time


class Subset:
    """Selects the members of this proxy's subset.

    Attributes:
        size: Wanted number of healthy and warm members.
        request_rate: Smoothed attempts per second of this proxy.
        sent_in_slot: Attempts sent in this slot.
    """

    def __init__(
        self,
        context: Context,
        endpoints: EndpointList,
        groups: PriorityGroups,
        slow_start: SlowStart,
        zone_weights: ZoneWeights,
    ) -> None:
        self._context = context
        self._endpoints = endpoints
        self._groups = groups
        self._slow_start = slow_start
        self._zone_weights = zone_weights
        self.size = 0
        self.request_rate = 0.0
        self.sent_in_slot = 0

    def refresh(self) -> None:
        """Select the members again, by the list, the request rate and the health of backends."""
        self._resize()
        self._groups.set_members(self._select())

    def refresh_if_partial(self) -> None:
        """Select the members again if not all listed backends are members."""
        if len(self._groups.members) < len(self._endpoints):
            self.refresh()

    def _resize(self) -> None:
        size = max(
            MIN_MEMBERS,
            PROXIES_PER_BACKEND * len(self._endpoints.ring) / self._context.settings.proxies,
            self.request_rate / RATE_PER_MEMBER,
        )
        if not self.size or size > self.size or size < SHRINK_BELOW * self.size:
            self.size = math.ceil(size)

    def _select(self) -> list[Backend]:
        """Return a section of the ring, from this proxy's offset, with enough serving backends."""
        ring = self._endpoints.ring
        if excluded := self._zone_weights.excluded_zones():
            ring = [backend for backend in ring if backend.zone not in excluded] or ring
        start = int(self._context.ring_offset * len(ring))
        end = start + min(MAX_WIDENING * self.size, len(ring))
        chosen: list[Backend] = []
        serving = 0
        for backend in ring[start:end] + ring[: max(0, end - len(ring))]:
            if serving >= self.size:
                break
            chosen.append(backend)
            if not backend.outlier.ejected_until_ns and self._slow_start.warmth(backend) >= 1:
                serving += 1
        return chosen

    def count_attempt(self) -> None:
        """Count an attempt; enlarge the subset within the slot if there are unusually many.

        Guards against a sudden rise of traffic that overloads the few members until the slot ends.
        """
        self.sent_in_slot += 1
        if self.sent_in_slot <= 2 * len(self._groups.members) + UNSMOOTHED_RISE_ATTEMPTS:
            return
        if len(self._groups.members) < len(self._endpoints):
            span_ns = max(NS, self._context.now_ns - self._groups.slots.started_ns)
            self.request_rate = max(self.request_rate, self.sent_in_slot * NS / span_ns)
            self.refresh()

    def end_slot(self, span_ns: int) -> None:
        """Update the request rate at the end of a slot of `span_ns`."""
        slot_rate = self.sent_in_slot * NS / span_ns
        if self.request_rate:
            gain = 1 - math.exp(-_RATE_GAIN_PER_PERIOD * span_ns / OBSERVATION_NS)
            self.request_rate += gain * (slot_rate - self.request_rate)
        else:
            self.request_rate += slot_rate
        if self.sent_in_slot >= UNSMOOTHED_RISE_ATTEMPTS:
            self.request_rate = max(self.request_rate, slot_rate)
        self.sent_in_slot = 0
