"""Health hints: stored results of a prober about a backend, for the other proxies. Pure."""

from __future__ import annotations

import msgspec

HEALTH_HINT_PREFIX = "hint/"  # of the stored value's name; followed by the backend's name
MAX_HINT_BYTES = 1024  # guards against a stored value that is not a hint


class HealthHint(msgspec.Struct, frozen=True, array_like=True):
    """The state of a backend by its probes. Stored as an array: the order of fields never changes.

    Attributes:
        is_unhealthy: Whether probes fail.
        evidence: Result of the last probe, for operators.
        state_age_ms: Milliseconds for which the state had lasted when the hint was written.
        probe_count: Probes that the prober had made by then.
    """

    is_unhealthy: bool
    evidence: str
    state_age_ms: int
    probe_count: int


def decode_health_hint(data: bytes) -> HealthHint | None:
    """Return the hint in a stored value; None if the bytes are not a hint."""
    if len(data) > MAX_HINT_BYTES:
        return None
    try:
        return msgspec.msgpack.decode(data, type=HealthHint)
    except (msgspec.DecodeError, ValueError):
        return None
