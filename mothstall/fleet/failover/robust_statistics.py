"""Medians and sums that a single false report cannot move far. Pure.

All functions take pairs of a proxy count and a value.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

# Upper limit of one proxy's value, in multiples of the median proxy of its zone. Guards against a
# proxy that reports the traffic of a hundred: one false proxy among n moves its zone's result by
# 2/(n+1) at most.
MAX_RATIO_TO_MEDIAN = 2.0
# Tolerance in the comparison of sums of weights, which may be fractions.
WEIGHT_TOLERANCE = 1e-9


def weighted_median(rows: Sequence[tuple[float, float]]) -> float:
    """Return the median over proxies; 0.0 without rows.

    Args:
        rows: Pairs of a proxy count and the value of each of these proxies.
    """
    ordered = sorted(rows, key=lambda row: row[1])
    half_weight = sum(weight for weight, _ in ordered) / 2
    cumulative_weight = 0.0
    lower_middle: float | None = None
    for weight, value in ordered:
        cumulative_weight += weight
        if lower_middle is not None:
            return (lower_middle + value) / 2
        if cumulative_weight > half_weight + WEIGHT_TOLERANCE:
            return value
        if cumulative_weight > half_weight - WEIGHT_TOLERANCE:
            lower_middle = value  # the median lies between this value and the next
    return lower_middle or 0.0


def cap_per_proxy(rows: Sequence[tuple[float, float]], is_capped: bool) -> float:
    """Return the upper limit of one proxy's value; infinity without rows.

    Args:
        rows: Pairs of a proxy count and the total of these proxies.
        is_capped: False disables the limit, for tests of it.
    """
    if not rows or not is_capped:
        return math.inf
    return MAX_RATIO_TO_MEDIAN * weighted_median([(count, total / count) for count, total in rows])


def capped_sum(rows: Sequence[tuple[float, float]], is_capped: bool) -> float:
    """Add up totals, each proxy's limited by the `cap_per_proxy` of the totals above zero.

    Args:
        rows: Pairs of a proxy count and the total of these proxies.
        is_capped: See `cap_per_proxy`.
    """
    positive = [(count, total) for count, total in rows if total > 0]
    cap = cap_per_proxy(positive, is_capped)
    return sum(min(total, cap * count) for count, total in positive)
