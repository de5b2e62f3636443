"""The log: one line of key=value pairs per entry."""

from __future__ import annotations

import json
import logging
import sys
import time
from typing import TextIO


def _format_value(value: object) -> str:
    text = str(value)
    plain = text and all(c.isprintable() and c not in ' "=' for c in text)
    return text if plain else json.dumps(text)


class KeyValueFormatter(logging.Formatter):
    """Formats `time=... level=... event=...` and the pairs of `extra={"kv": {...}}`."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the entry's line; values with spaces, quotes or `=` become JSON strings."""
        stamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        pairs: dict[str, object] = {
            "time": f"{stamp}.{int(record.msecs):03d}Z",
            "level": record.levelname.lower(),
            "from": record.name,
            "event": record.getMessage(),
        }
        pairs.update(getattr(record, "kv", {}))
        if record.exc_info:
            pairs["trace"] = self.formatException(record.exc_info)
        return " ".join(f"{key}={_format_value(value)}" for key, value in pairs.items())


def configure_logging(level: str, stream: TextIO | None = None) -> None:
    """Write all entries of `level` and above to `stream`, by default standard error."""
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
