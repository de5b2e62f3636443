"""The rows of the replicated state, and the difference between two versions of it.

All structs are arrays on the wire, in the log and in snapshots: the order of their fields is part
of the format, the field names are not.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec


class DrainKind(StrEnum):
    """The kind of a drain's target; the values are stored and sent, and never change."""

    BACKEND = "box"
    ZONE = "zone"


class StateSection(StrEnum):
    """The tables that readers see; the values name fields of `StateTables` and `StateDelta`."""

    LEASES = "leases"
    DRAINS = "drains"
    VALUES = "values"
    MEMBERS = "members"


class _Row(msgspec.Struct, frozen=True, array_like=True):
    """Base of all rows."""


class Lease(_Row, frozen=True):
    """A name that one owner holds until the lease expires, is released or is revoked.

    Attributes:
        name: Name of the lease.
        owner: The process that holds it.
        duration_ms: Milliseconds for which it stays valid after each renewal.
        token: The fencing token; tokens increase across all leases, so that a later holder always
            has a greater token.
        info: Data that the owner publishes about itself, such as its zone.
    """

    name: str
    owner: str
    duration_ms: int
    token: int
    info: dict[str, str] = {}


class Drain(_Row, frozen=True):
    """An operator's instruction that a backend or a zone gets no new requests.

    Attributes:
        kind: A `DrainKind`; checked when the drain is put, not when it is decoded.
        name: The backend or zone.
        requested_by: The operator.
        requested_at: The caller's wall-clock time as text; shown to operators, never compared.
        reason: The operator's reason, as free text.
    """

    kind: str
    name: str
    requested_by: str
    requested_at: str
    reason: str


class StoredValue(_Row, frozen=True):
    """A value that the holder of a lease wrote.

    Attributes:
        key: The name of the value.
        value: The bytes of the value; the store does not decode them.
        lease: The lease under which it was written.
        token: The fencing token that the lease had then.
    """

    key: str
    value: bytes
    lease: str
    token: int


class Member(_Row, frozen=True):
    """A proxy that is attached to an observer.

    Attributes:
        name: The proxy.
        owner: The process that uses the name.
        epoch: Number of the proxy's attachment; each attachment has one observer.
        zone: The proxy's zone.
        lease: The lease of the observer that it is attached to.
        token: The fencing token under which the observer wrote the row.
    """

    name: str
    owner: str
    epoch: int
    zone: str
    lease: str
    token: int


class StateDelta(msgspec.Struct, frozen=True, array_like=True):
    """The rows that differ between two versions of the state; None marks a removed row.

    Attributes:
        since_version: The version that the delta starts from; 0 if it is the complete state.
        version: The version that the delta leads to.
        leases: Leases by name.
        drains: Drains by `drain_key`.
        values: Values by key.
        members: Attached proxies by name.
    """

    since_version: int
    version: int
    leases: dict[str, Lease | None] = {}
    drains: dict[str, Drain | None] = {}
    values: dict[str, StoredValue | None] = {}
    members: dict[str, Member | None] = {}


def drain_key(kind: str, name: str) -> str:
    """Returns the key of a drain in tables and deltas."""
    return f"{kind}:{name}"
