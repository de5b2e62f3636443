"""Conversion factors between units of time."""

from __future__ import annotations

NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000
