"""Positions of backends and proxies on the hash ring; all proxies compute the same values."""

from __future__ import annotations

GOLDEN_RATIO = 0.6180339887498949  # its multiples spread consecutive positions evenly over the ring
_MASK_64 = 0xFFFFFFFFFFFFFFFF


def stable_hash(value: int) -> int:
    """Return a 64-bit hash (SplitMix64) that is the same in every process."""
    value = (value * 0x9E3779B97F4A7C15 + 0x632BE59BD9B4E019) & _MASK_64
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & _MASK_64
    return value ^ (value >> 31)


def ring_offset(position: int) -> float:
    """Return where on the ring, from 0 to 1, the subset of the proxy at this position begins."""
    return position * GOLDEN_RATIO % 1.0
