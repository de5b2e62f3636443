"""Checks of a change against the tables to which it would be applied.

The same checks run twice: before a change is proposed, and when it is applied; only the second
result counts. Each check returns the reason for a rejection, or an empty string. A session stores
its last result, so the reasons are part of snapshots: their wording must not change between
versions.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from mothstall.store.state import membership
from mothstall.store.state.changes import (
    AcquireLease,
    Change,
    PutDrain,
    PutValue,
    ReleaseLease,
    RemoveDrain,
    RenewLeases,
    RevokeLease,
    UpdateMembers,
)
from mothstall.store.state.limits import (
    MAX_INFO_LENGTH,
    MAX_LEASE_MS,
    MAX_LEASES_PER_RENEWAL,
    MAX_NAME_LENGTH,
    MAX_REASON_LENGTH,
    MAX_ROWS,
    MAX_VALUE_BYTES,
)
from mothstall.store.state.rows import DrainKind, drain_key
from mothstall.store.state.tables import StateTables

DRAIN_KINDS = frozenset(kind.value for kind in DrainKind)


def rejection_reason(change: Change, tables: StateTables, *, check_token: bool = True) -> str:
    """Returns why a change is rejected; an empty string if it is accepted.

    Args:
        change: The change.
        tables: The rows as they are now.
        check_token: False skips the check of fencing tokens; only tests use it.
    """
    check = _CHECKS.get(type(change))
    reason = check(change, tables) if check is not None else ""
    if reason:
        return reason
    if check_token and isinstance(change, PutValue | UpdateMembers):
        return tables.stale_token_reason(change.lease, change.token)
    return ""


def _is_valid_name(text: str) -> bool:
    return 0 < len(text) <= MAX_NAME_LENGTH


def _check_acquire_lease(change: AcquireLease, tables: StateTables) -> str:
    if not _is_valid_name(change.owner) or not _is_valid_name(change.name):
        return f"names of leases and owners have 1 to {MAX_NAME_LENGTH} letters"
    if not 0 < change.duration_ms <= MAX_LEASE_MS:
        return f"a term lasts 1 to {MAX_LEASE_MS} ms"
    if sum(len(key) + len(value) for key, value in change.info.items()) > MAX_INFO_LENGTH:
        return f"what a lease says of its owner is longer than {MAX_INFO_LENGTH} letters"
    current = tables.leases.get(change.name)
    if current is None:
        return f"there are {MAX_ROWS} leases already" if len(tables.leases) >= MAX_ROWS else ""
    if current.owner != change.owner:
        return f"{change.name} is {current.owner}'s, token {current.token}"
    return ""


def _check_renew_leases(change: RenewLeases, _tables: StateTables) -> str:
    if len(change.leases) > MAX_LEASES_PER_RENEWAL:
        return f"more than {MAX_LEASES_PER_RENEWAL} leases at once"
    return ""


def _check_release_lease(change: ReleaseLease, tables: StateTables) -> str:
    return tables.stale_token_reason(change.name, change.token)


def _check_revoke_lease(change: RevokeLease, tables: StateTables) -> str:
    if change.name not in tables.leases:
        return f"nobody holds {change.name}"
    if not change.requested_by or not change.reason:
        return "who takes a lease away, and why, has to be said"
    return ""


def _check_put_value(change: PutValue, tables: StateTables) -> str:
    if not _is_valid_name(change.key):
        return f"a key has 1 to {MAX_NAME_LENGTH} letters"
    if change.value is None:
        return ""
    if len(change.value) > MAX_VALUE_BYTES:
        return f"a value holds {MAX_VALUE_BYTES} bytes at most"
    if change.key not in tables.values and len(tables.values) >= MAX_ROWS:
        return f"there are {MAX_ROWS} entries already"
    return ""


def _check_put_drain(change: PutDrain, tables: StateTables) -> str:
    drain = change.drain
    if drain.kind not in DRAIN_KINDS or not _is_valid_name(drain.name):
        return f"a drain is of a box or a zone, with a name of 1 to {MAX_NAME_LENGTH} letters"
    if (
        not _is_valid_name(drain.requested_by)
        or len(drain.requested_at) > MAX_NAME_LENGTH
        or len(drain.reason) > MAX_REASON_LENGTH
    ):
        return (
            f"who drains has to be said, in {MAX_NAME_LENGTH} letters, "
            f"and why in {MAX_REASON_LENGTH}"
        )
    is_new = drain_key(drain.kind, drain.name) not in tables.drains
    if is_new and len(tables.drains) >= MAX_ROWS:
        return f"there are {MAX_ROWS} drains already"
    return ""


def _check_remove_drain(change: RemoveDrain, tables: StateTables) -> str:
    if drain_key(change.kind, change.name) not in tables.drains:
        return f"{change.kind} {change.name} is not drained"
    return ""


def _check_update_members(change: UpdateMembers, _tables: StateTables) -> str:
    return membership.batch_rejection(change)


# Changes that are not listed are always accepted.
_CHECKS: Mapping[type, Callable[[Any, StateTables], str]] = {
    AcquireLease: _check_acquire_lease,
    RenewLeases: _check_renew_leases,
    ReleaseLease: _check_release_lease,
    RevokeLease: _check_revoke_lease,
    PutValue: _check_put_value,
    PutDrain: _check_put_drain,
    RemoveDrain: _check_remove_drain,
    UpdateMembers: _check_update_members,
}
