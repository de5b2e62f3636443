"""Slots: the divisions of the paper's observation time T.

The burstiness of the members determines the number of slots in T by the paper's equation (4), and
the number determines their length by equation (3).
"""

from __future__ import annotations

from collections import deque

from mothstall.interface import NS

OBSERVATION_NS = 10 * NS  # the paper's observation time T
MIN_SLOT_NS = NS // 4  # minimum length: shorter slots would contain too few requests
MAX_SLOT_NS = 5 * NS // 2  # maximum length: with longer slots the groups would react too slowly
FIRST_SLOT_NS = OBSERVATION_NS // 10  # length of the first slot


class SlotClock:
    """Computes the length of the slots.

    Attributes:
        slots_per_period: The paper's e_k: the number of slots in T.
        lowest_burstiness: The lowest burstiness of all members in the previous slot.
        started_ns: When the current slot began.
        ended: End times of the slots within the last T.
    """

    def __init__(self) -> None:
        self.slots_per_period = OBSERVATION_NS / FIRST_SLOT_NS
        self.lowest_burstiness = 0.0
        self.started_ns = 0
        self.ended: deque[int] = deque()

    @property
    def is_first(self) -> bool:
        """Whether exactly one slot has ended within the last T."""
        return len(self.ended) == 1

    def end_slot(self, now_ns: int) -> None:
        """Record the end of a slot."""
        self.ended.append(now_ns)
        while self.ended[0] <= now_ns - OBSERVATION_NS:
            self.ended.popleft()

    def begin_slot(self, now_ns: int, highest: float, lowest: float) -> int:
        """Begin the next slot, given the range of burstiness; return its end by equation (3)."""
        self.slots_per_period = self.next_slots_per_period(highest, lowest)
        self.lowest_burstiness = lowest
        self.started_ns = now_ns
        return now_ns + int(OBSERVATION_NS / self.slots_per_period)

    def next_slots_per_period(self, highest: float, lowest: float) -> float:
        """Return the next number of slots in T by equation (4), within the bounds of length."""
        if not highest:
            factor = 1.0 / max(1, len(self.ended))
        elif highest > self.lowest_burstiness:
            factor = 1.0 + lowest
        else:
            factor = 1.0 + highest
        return min(
            max(self.slots_per_period * factor, OBSERVATION_NS / MAX_SLOT_NS),
            OBSERVATION_NS / MIN_SLOT_NS,
        )
