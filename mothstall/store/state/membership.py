"""The attachment of proxies to observers, decided when the log is applied. Pure.

Each proxy has a row instead of a lease of its own; the row depends on the fenced lease of the
observer that the proxy is attached to. Rows are added and removed in batches, so that the log
carries changes and not heartbeats (compare ephemeral nodes under one session in ZooKeeper: Hunt et
al., 2010). A proxy is attached while its observer's lease has the token under which the row was
written. After that it is orphaned, until it attaches to another observer, or an observer that has
waited long enough removes the row.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from mothstall.store.state.changes import MemberJoin, MemberLeave, UpdateMembers
from mothstall.store.state.limits import (
    MAX_EPOCH,
    MAX_MEMBERS,
    MAX_MEMBERSHIP_BATCH,
    MAX_NAME_LENGTH,
)
from mothstall.store.state.rows import Member

IsLeaseCurrent = Callable[[str, int], bool]
"""Returns whether the lease of this name is held and has this fencing token."""


@dataclass(frozen=True, slots=True)
class BatchOutcome:
    """The result of a batch.

    Attributes:
        changed_members: Names of the rows that the batch added, replaced or removed, each once.
        rejected_joins: Names of proxies whose join was rejected.
    """

    changed_members: tuple[str, ...]
    rejected_joins: tuple[str, ...]


def batch_rejection(change: UpdateMembers) -> str:
    """Returns why a batch is malformed; an empty string if it is valid."""
    if len(change.joins) + len(change.leaves) > MAX_MEMBERSHIP_BATCH:
        return f"more than {MAX_MEMBERSHIP_BATCH} joins and departures at once"
    rows: tuple[MemberJoin | MemberLeave, ...] = (*change.joins, *change.leaves)
    for row in rows:
        if not 0 < len(row.name) <= MAX_NAME_LENGTH or not 0 < len(row.owner) <= MAX_NAME_LENGTH:
            return f"names of proxies and their processes have 1 to {MAX_NAME_LENGTH} letters"
        if not 0 < row.epoch <= MAX_EPOCH:
            return "turns count from 1"
    if any(len(row.zone) > MAX_NAME_LENGTH for row in change.joins):
        return f"a zone has {MAX_NAME_LENGTH} letters at most"
    return ""


def join_rejection(
    current: Member | None,
    join: MemberJoin,
    observer_lease: str,
    is_lease_current: IsLeaseCurrent,
    member_count: int,
) -> str:
    """Returns why a join is rejected; empty if it replaces the current row.

    Guards against two observers for one proxy: by the late join of an attachment that the proxy has
    given up, or by a second process of the same name while the first one is attached.

    Args:
        current: The proxy's row; None if it has no row.
        join: The attachment.
        observer_lease: The lease of the observer that proposes the attachment.
        is_lease_current: Whether a lease is held under a token now.
        member_count: Number of rows of all proxies.
    """
    if current is None:
        return f"there are {MAX_MEMBERS} proxies already" if member_count >= MAX_MEMBERS else ""
    if current.owner == join.owner:
        is_other_observer = current.lease != observer_lease
        if join.epoch < current.epoch or (join.epoch == current.epoch and is_other_observer):
            return (
                f"{join.name}: turn {join.epoch} is over, {current.lease} has turn {current.epoch}"
            )
        return ""
    if is_lease_current(current.lease, current.token):
        return f"{join.name} is {current.owner}'s, by {current.lease}"
    return ""


def apply_batch(
    members: dict[str, Member],
    change: UpdateMembers,
    is_lease_current: IsLeaseCurrent,
    *,
    check_joins: bool = True,
) -> BatchOutcome:
    """Applies a batch whose observer's lease is current: first the departures, then the joins.

    Args:
        members: The rows by name; changed in place.
        change: The batch.
        is_lease_current: Whether a lease is held under a token now.
        check_joins: False accepts every join; only tests use it.
    """
    changed: dict[str, None] = {}  # an ordered set of names
    rejected: list[str] = []
    for leave in change.leaves:
        if _may_remove(members.get(leave.name), leave, change, is_lease_current):
            del members[leave.name]
            changed[leave.name] = None
    for join in change.joins:
        current = members.get(join.name)
        if check_joins and join_rejection(
            current, join, change.lease, is_lease_current, len(members)
        ):
            rejected.append(join.name)
            continue
        row = Member(join.name, join.owner, join.epoch, join.zone, change.lease, change.token)
        if row != current:
            members[join.name] = row
            changed[join.name] = None
    return BatchOutcome(tuple(changed), tuple(rejected))


def _may_remove(
    current: Member | None,
    leave: MemberLeave,
    change: UpdateMembers,
    is_lease_current: IsLeaseCurrent,
) -> bool:
    """Whether a departure matches the current row, and the batch's observer may remove that row.

    Any observer may remove the row of an orphaned proxy; only the proxy's own observer may remove
    the row of an attached one.
    """
    if current is None:
        return False
    if (current.owner, current.epoch, current.token) != (leave.owner, leave.epoch, leave.token):
        return False
    if (current.lease, current.token) == (change.lease, change.token):
        return True
    return not is_lease_current(current.lease, current.token)


def attachment_by_member(
    members: Mapping[str, Member], is_lease_current: IsLeaseCurrent
) -> dict[str, bool]:
    """Returns by proxy whether it is attached to an observer (True) or orphaned (False)."""
    return {name: is_lease_current(row.lease, row.token) for name, row in members.items()}
