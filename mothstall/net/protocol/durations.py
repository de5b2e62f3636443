"""Durations in headers: a number with the unit `m` (milliseconds) or `u` (microseconds)."""

from __future__ import annotations

import re

from mothstall.net.errors import UnreadableMessageError

_DURATION = re.compile(r"(\d{1,12}(?:\.\d{1,9})?)([mu])")
_UNIT_NS = {"m": 1_000_000, "u": 1_000}
_MAX_QUOTED = 40  # characters of an unreadable duration in the error's text


def parse_duration_ns(text: str) -> int:
    """Return a duration in nanoseconds.

    Raises:
        UnreadableMessageError: `text` is not a duration.
    """
    match = _DURATION.fullmatch(text)
    if not match:
        raise UnreadableMessageError(f"{text[:_MAX_QUOTED]!r} is not a duration")
    return int(float(match[1]) * _UNIT_NS[match[2]])


def format_duration(duration_ns: int) -> str:
    """Return the text of a duration in whole microseconds, at least 0, for `parse_duration_ns`."""
    return f"{max(0, duration_ns) // 1_000}u"
