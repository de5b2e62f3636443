"""The paper's mechanism: two groups of backends, and at most one move at the end of each slot.

"A Predictive-Adaptive Algorithm for a Web Switch": the priority group P serves the profile with
priority, the best-effort group B all others, each in round robin. At the end of a slot the
throughput of every backend is predicted from its measurements by the paper's equations (2) and (5)
to (8). If the latency of one side exceeds its objective, the backend of the other side with the
largest distance moves to it, equations (9) and (10). Equations (3) and (4) are in `slots`.

`docs/design.md` describes the choices that the paper leaves open.
"""

from __future__ import annotations

import math
from enum import IntEnum

from mothstall import interface as io
from mothstall.interface import NS
from mothstall.policy.backend import Backend, SlotRecord
from mothstall.policy.context import Context
from mothstall.policy.request import Request
from mothstall.policy.slots import FIRST_SLOT_NS, OBSERVATION_NS, SlotClock
from mothstall.policy.traffic_profile import TrafficProfiles

MIN_LATENCY_SAMPLES = 10  # requests that a side needs in a slot for its latency to cause a move
RETURN_BELOW = 0.5  # P's ratio of latency to objective below which a backend may move back to B


class Side(IntEnum):
    """The paper's two groups, B (best effort) and P (priority)."""

    BEST_EFFORT = 0
    PRIORITY = 1


class SlotLatency:
    """One side's mean ratio of latency to objective in this slot; open requests count by age."""

    def __init__(self) -> None:
        self.total_ratio = 0.0
        self.count = 0
        self.open_count = 0
        self._inverse_objectives = 0.0  # sum of 1 / objective over open requests
        self._arrivals_over_objectives = 0.0  # sum of arrival / objective over open requests

    def open(self, request: Request) -> None:
        """Add a request that arrived."""
        self.open_count += 1
        self._inverse_objectives += 1.0 / request.objective_ns
        self._arrivals_over_objectives += request.arrived_ns / request.objective_ns

    def restart(self, request: Request, now_ns: int) -> None:
        """Measure an open request's age from now on."""
        self._arrivals_over_objectives += (now_ns - request.arrived_ns) / request.objective_ns

    def close(self, request: Request, spent_ns: int) -> None:
        """Replace an open request by its final latency."""
        self.open_count -= 1
        self._inverse_objectives -= 1.0 / request.objective_ns
        self._arrivals_over_objectives -= request.arrived_ns / request.objective_ns
        self.total_ratio += spent_ns / request.objective_ns
        self.count += 1

    def end_slot(self, now_ns: int) -> float:
        """Return the slot's mean ratio and start the next slot.

        Guards against a move caused by a single late response: if there are too few requests, the
        result is 0 and they count in the next slot.
        """
        request_count = self.count + self.open_count
        if request_count < MIN_LATENCY_SAMPLES:
            return 0.0
        open_ratio = now_ns * self._inverse_objectives - self._arrivals_over_objectives
        ratio = (self.total_ratio + open_ratio) / request_count
        self.total_ratio = 0.0
        self.count = 0
        return ratio


class PriorityGroups:
    """The members of this proxy's subset in their two groups, and the rotation through each.

    Attributes:
        members: The subset, unordered.
        by_side: The two groups, by `Side`.
        next_turn: By side, the index of the group member whose turn is next.
        latency: By side, latencies of its requests in this slot.
        latency_ratio: By side, mean ratio of latency to objective in the previous slot.
        slots: The clock of the slots.
    """

    def __init__(self, context: Context, profiles: TrafficProfiles) -> None:
        self._context = context
        self._profiles = profiles
        self.members: list[Backend] = []
        self.by_side: tuple[list[Backend], list[Backend]] = ([], [])
        self.next_turn = [0, 0]
        self.latency = (SlotLatency(), SlotLatency())
        self.latency_ratio = [0.0, 0.0]
        self.slots = SlotClock()

    # Membership

    def set_members(self, chosen: list[Backend]) -> None:
        """Make `chosen` the members; if at least half are new, split them into groups again."""
        joining = [backend for backend in chosen if not backend.is_member]
        keep = set(chosen)
        for backend in [member for member in self.members if member not in keep]:
            self.remove(backend)
            self._context.actions.append(io.CloseIdleConnections(backend.id))
        if 2 * len(joining) >= len(chosen):
            self.members = chosen
            self.split()
        else:
            self._join_worse_side(joining)

    def remove(self, backend: Backend) -> None:
        """Take a backend out of its group, if it is a member."""
        if not backend.is_member:
            return
        side = int(backend.in_priority_group)
        backend.is_member = False
        backend.throughput.forget_estimates()
        self.members.remove(backend)
        self.by_side[side].remove(backend)
        self._randomize_turn(side)

    def _join_worse_side(self, joining: list[Backend]) -> None:
        """Add new members, with the side's mean estimates, to the side with the higher ratio."""
        is_priority_worse = self.latency_ratio[Side.PRIORITY] > self.latency_ratio[Side.BEST_EFFORT]
        side = int(is_priority_worse or self._profiles.is_single)
        peers = [peer.throughput for peer in self.by_side[side] if peer.throughput.filtered >= 0]
        for backend in joining:
            if peers:
                backend.throughput.filtered = sum(peer.filtered for peer in peers) / len(peers)
                backend.throughput.corrected = sum(peer.corrected for peer in peers) / len(peers)
            self.members.append(backend)
            self._join(backend, side)

    def split(self) -> None:
        """Split the members by ring position; P gets a fraction in proportion to its traffic."""
        order = sorted(self.members, key=lambda backend: backend.ring_position)
        part = self._profiles.priority_fraction()
        left_to_others = 0 if self._profiles.is_single else 1
        count = min(max(1, round(part * len(order))), len(order) - left_to_others)
        for index, backend in enumerate(order):
            backend.in_priority_group = index < count
            backend.is_member = True
        self.by_side = (order[count:], order[:count])
        self.next_turn = [self._random_turn(group) for group in self.by_side]

    def _join(self, backend: Backend, side: int) -> None:
        backend.in_priority_group = bool(side)
        backend.is_member = True
        self.by_side[side].append(backend)
        self._randomize_turn(side)

    def _randomize_turn(self, side: int) -> None:
        """Continue the rotation of a side at a random turn.

        Guards against many proxies that send to the same backend at the same time.
        """
        self.next_turn[side] = self._random_turn(self.by_side[side])

    def _random_turn(self, group: list[Backend]) -> int:
        return self._context.rng.randrange(max(1, len(group)))

    # The end of a slot

    def measure_members(self) -> int:
        """End the slot and measure every member; return the slot's length in nanoseconds."""
        now_ns = self._context.now_ns
        span_ns = max(1, now_ns - self.slots.started_ns)
        self.slots.end_slot(now_ns)
        for backend in self.members:
            self.measure(backend, span_ns)
        return span_ns

    def burstiness_range(self) -> tuple[float, float]:
        """Return the highest and the lowest burstiness of the members."""
        values = [backend.throughput.burstiness for backend in self.members] or [0.0]
        return max(values), min(values)

    def rebalance(self) -> None:
        """Move at most one backend by the latency ratios; after the first slot, split anew."""
        now_ns = self._context.now_ns
        if self.slots.is_first and now_ns - self.slots.started_ns == FIRST_SLOT_NS:
            self.split()
        self.latency_ratio = [latency.end_slot(now_ns) for latency in self.latency]
        best_effort, priority = self.latency_ratio
        if priority > 1.0:
            self.move_to(Side.PRIORITY)
        elif priority < RETURN_BELOW and best_effort > 1.0:
            self.move_to(Side.BEST_EFFORT)

    def move_to(self, side: int) -> None:
        """Move the other side's backend of the largest distance here: equations (9) and (10)."""
        source = self.by_side[1 - side]
        if len(source) < 2:
            return
        backend = max(source, key=self._distance)
        source.remove(backend)
        self._randomize_turn(1 - side)
        self._join(backend, side)

    @staticmethod
    def _distance(backend: Backend) -> tuple[float, int]:
        """Return the distance of the estimates from 0, equation (10); a lower id wins a tie."""
        estimates = backend.throughput
        distance = math.hypot(max(0.0, estimates.filtered), max(0.0, estimates.corrected))
        return distance, -backend.id

    def measure(self, backend: Backend, span_ns: int) -> None:
        """Update one backend by equations (2) and (5) to (8) at the end of a slot of `span_ns`."""
        state = backend.throughput
        burstiness = self._measure_burstiness(backend, span_ns)
        measured = state.completions * NS / span_ns  # the paper's X
        if backend.in_flight:
            busy_since_ns = max(backend.busy_since_ns, self.slots.started_ns)
            state.busy_ns += self._context.now_ns - busy_since_ns
        if state.filtered < 0:
            state.filtered = measured
            state.corrected = measured
        else:
            slots = self.slots.slots_per_period
            weight = (2 * slots - 1) / (2 * slots + 1)  # equation (6)
            mean = (measured + state.measured) / 2
            state.filtered = weight * state.filtered + (1 - weight) * mean  # equation (5)
            burst_gain = 0.0  # equation (7)
            if burstiness > state.burstiness:
                burst_gain = (burstiness - state.burstiness) * (measured - state.measured)
            if state.burstiness > 0:
                change = burst_gain * state.utilization / state.burstiness
                state.corrected = max(0.0, state.corrected - change)  # equation (8)
        state.measured = measured
        state.burstiness = burstiness
        state.utilization = state.reported_utilization
        if state.reported_utilization < 0:
            state.utilization = min(1.0, state.busy_ns / span_ns)
        state.arrivals = 0
        state.completions = 0
        state.busy_ns = 0

    def _measure_burstiness(self, backend: Backend, span_ns: int) -> float:
        """Return equation (2): the fraction of slots in T whose arrival rate was above the mean."""
        now_ns = self._context.now_ns
        arrivals = backend.throughput.arrivals
        records = backend.throughput.slot_records
        records.append(SlotRecord(now_ns, span_ns, arrivals, is_burst=False))
        while records[0].end_ns <= now_ns - OBSERVATION_NS:
            records.pop(0)
        mean_rate = sum(record.arrivals for record in records) / sum(
            record.span_ns for record in records
        )
        is_burst = arrivals / span_ns > mean_rate
        records[-1] = SlotRecord(now_ns, span_ns, arrivals, is_burst)
        return sum(record.is_burst for record in records) / len(records)
