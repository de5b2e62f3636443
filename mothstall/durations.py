"""Parses operators' durations (`250us`, `40ms`, `1.5s`, `2m`) to whole nanoseconds."""

from __future__ import annotations

import re

_DURATION = re.compile(r"(\d{1,9}(?:\.\d{1,6})?)(us|ms|s|m)")
_UNITS = {"us": 1_000, "ms": 1_000_000, "s": 1_000_000_000, "m": 60_000_000_000}


class Duration(int):
    """A duration in whole nanoseconds."""


def parse_duration(text: object) -> Duration:
    """Return the duration in a text such as `250ms`.

    Raises:
        ValueError: The text is not a duration; the caller puts the key before the error's text.
    """
    match = _DURATION.fullmatch(text) if isinstance(text, str) else None
    if not match:
        raise ValueError(f"must be a duration such as '250ms', not {text!r}")
    return Duration(round(float(match[1]) * _UNITS[match[2]]))
