"""Whether a history of one register is linear: an order explains what each operation was told. Pure.

The search of Wing and Gong (1993), with what was seen kept (Lowe, 2017). An operation whose end nobody saw
may have taken effect at any time after its begin, or never.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

NEVER_ENDED = 1 << 62


@dataclass(slots=True, frozen=True)
class Operation:
    began: int
    ended: int  # NEVER: nobody saw it end
    is_write: bool
    value: int  # written, or read; 0: nothing was there


MAX_STATES = (
    100_000  # places looked at; a history that is not linear, with many open ends, has far more
)


def is_linearizable(ops: Sequence[Operation], max_states: int = MAX_STATES) -> bool | None:
    """Whether the operations can be put in an order that their times allow and their values explain.

    None: not decided within `most` places.
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
