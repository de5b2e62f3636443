"""A linearizability checker for histories of one register. Pure.

The search of Wing and Gong (1993) with a cache of visited states (Lowe, 2017). An operation without an
observed response may have taken effect at any time after its start, or never.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

NEVER_ENDED = 1 << 62


@dataclass(slots=True, frozen=True)
class Operation:
    began: int
    ended: int  # NEVER_ENDED: no response was observed
    is_write: bool
    value: int  # written or read; 0: the register was empty


# States visited; a history that is not linearizable and has many pending operations has far more.
MAX_STATES = 100_000


def is_linearizable(ops: Sequence[Operation], max_states: int = MAX_STATES) -> bool | None:
    """Whether an order of the operations is consistent with both their times and their values.

    None: not decided within `max_states` states.
    """
    rows = sorted(
        (op for op in ops if op.is_write or op.ended < NEVER_ENDED), key=lambda op: op.began
    )
    all_mask = (1 << len(rows)) - 1
    ended_mask = sum(1 << i for i, op in enumerate(rows) if op.ended < NEVER_ENDED)
    stack = [(0, 0)]
    visited: set[tuple[int, int]] = set()
    while stack:
        done_mask, value = stack.pop()
        if done_mask & ended_mask == ended_mask:
            return True
        if (done_mask, value) in visited:
            continue
        if len(visited) >= max_states:
            return None
        visited.add((done_mask, value))
        earliest_end = min(op.ended for i, op in enumerate(rows) if not done_mask >> i & 1)
        for i, op in enumerate(rows):
            if op.began > earliest_end:
                break
            if done_mask >> i & 1:
                continue
            if op.is_write:
                stack.append((done_mask | 1 << i, op.value))
            elif op.value == value:
                stack.append((done_mask | 1 << i, value))
    return not all_mask
