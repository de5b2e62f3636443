"""Load reports of backends: `name=value` pairs, separated by commas."""

from __future__ import annotations

import math

from mothstall.net.errors import UnreadableMessageError

_MAX_QUOTED = 60  # characters of an unreadable report in the error's text


def parse_load_report(text: str, names: tuple[str, ...]) -> tuple[float, ...]:
    """Return a load report's values in the order of the settings.

    Args:
        text: The report.
        names: The required fields, in the order of the settings.

    Raises:
        UnreadableMessageError: A value is not a finite number, or a field is missing.
    """
    quoted = text[:_MAX_QUOTED]
    values: dict[str, float] = {}
    for part in text.split(","):
        name, separator, value = part.strip().partition("=")
        try:
            number = float(value)
        except ValueError:
            raise UnreadableMessageError(f"load report {quoted!r}") from None
        if not separator or not math.isfinite(number):
            raise UnreadableMessageError(f"load report {quoted!r}")
        values[name] = number
    if not all(name in values for name in names):
        raise UnreadableMessageError(f"load report {quoted!r} lacks a field")
    return tuple(values[name] for name in names)
