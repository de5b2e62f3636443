"""Changes of the replicated state as they are stored in the log, and the result of each.

The explicit tags are the type names in the log and on the wire and never change. All structs are
encoded as arrays: the order of their fields is part of the format, the field names are not.
"""

from __future__ import annotations

import msgspec

from mothstall.store.state.rows import Drain

KEEPER_SESSION = 0  # stands for no session: the change comes from the leading keeper itself

# Parts of rejection reasons that callers match. Reasons are stored in sessions and sent, so their
# wording must not change.
UNKNOWN_SESSION_MARK = "unknown session"
UNKNOWN_SESSION = f"{UNKNOWN_SESSION_MARK}: open another"
STALE_TOKEN_MARK = " is over"  # in each reason that names a fencing token that is not current


class _Change(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all changes."""


class OpenSession(_Change, frozen=True, tag="Open"):
    """Begins a session; the result's `token` is its number.

    Attributes:
        client: Name of the caller, for operators.
    """

    client: str


class AcquireLease(_Change, frozen=True, tag="Take"):
    """Acquires a free lease, or the owner's own lease again under a new token.

    Attributes:
        name: Name of the lease.
        owner: The process that acquires it.
        duration_ms: Milliseconds for which it stays valid after each renewal.
        info: Data that the owner publishes about itself.
    """

    name: str
    owner: str
    duration_ms: int
    info: dict[str, str] = {}


class RenewLeases(_Change, frozen=True, tag="Renew"):
    """Renews leases; the result names those that the owner has lost.

    Attributes:
        owner: The process that holds them.
        leases: Name and fencing token of each lease.
    """

    owner: str
    leases: tuple[tuple[str, int], ...]


class ReleaseLease(_Change, frozen=True, tag="Drop"):
    """Releases a lease before it expires.

    Attributes:
        name: Name of the lease.
        token: The caller's fencing token; rejected unless it is the lease's current one.
    """

    name: str
    token: int


class RevokeLease(_Change, frozen=True, tag="Seize"):
    """Revokes a lease of its holder, on behalf of an operator.

    Attributes:
        name: Name of the lease.
        requested_by: The operator.
        reason: The operator's reason, as free text.
    """

    name: str
    requested_by: str
    reason: str


class ExpireLeases(_Change, frozen=True, tag="Expire"):
    """Ends leases that nobody renewed in time, by the leading keeper's clock.

    Attributes:
        leases: Name and fencing token of each lease; a lease that has another token is kept.
    """

    leases: tuple[tuple[str, int], ...]


class PutValue(_Change, frozen=True, tag="Write"):
    """Writes or removes a value under a lease.

    Attributes:
        lease: The lease that the writer holds.
        token: Its fencing token; rejected unless it is the lease's current one.
        key: The name of the value.
        value: The bytes to store; None removes the key.
    """

    lease: str
    token: int
    key: str
    value: bytes | None


class PutDrain(_Change, frozen=True, tag="PutDrain"):
    """Puts a drain in force, or replaces the one of the same kind and name.

    Attributes:
        drain: The drain to store.
    """

    drain: Drain


class RemoveDrain(_Change, frozen=True, tag="Undrain"):
    """Ends a drain.

    Attributes:
        kind: A `DrainKind`.
        name: The backend or zone.
        requested_by: The operator.
    """

    kind: str
    name: str
    requested_by: str


class MemberJoin(msgspec.Struct, frozen=True, array_like=True):
    """A proxy that has attached to the observer that proposes the batch.

    Attributes:
        name: The proxy.
        owner: The process that uses the name.
        epoch: Number of the proxy's attachment; each attachment has one observer.
        zone: The proxy's zone.
    """

    name: str
    owner: str
    epoch: int
    zone: str = ""


class MemberLeave(msgspec.Struct, frozen=True, array_like=True):
    """Removes a proxy's row if it has this owner, epoch and token; a newer row stays.

    Attributes:
        name: The proxy.
        owner: The process that uses the name.
        epoch: The attachment that ends.
        token: The fencing token under which the row was written.
    """

    name: str
    owner: str
    epoch: int
    token: int


class UpdateMembers(msgspec.Struct, frozen=True, array_like=True, tag="Attach"):
    """A batch of attachments and departures, under an observer's lease.

    Attributes:
        lease: The observer's lease.
        token: Its fencing token; rejected unless it is the lease's current one.
        joins: Proxies that have attached.
        leaves: Rows to remove; applied before the joins.
    """

    lease: str
    token: int
    joins: tuple[MemberJoin, ...] = ()
    leaves: tuple[MemberLeave, ...] = ()


Change = (
    OpenSession
    | AcquireLease
    | RenewLeases
    | ReleaseLease
    | RevokeLease
    | ExpireLeases
    | PutValue
    | PutDrain
    | RemoveDrain
    | UpdateMembers
)


class Proposal(msgspec.Struct, frozen=True, array_like=True):
    """A change that a session proposes; it is applied once even if it is sent repeatedly.

    Attributes:
        session: The caller's session, or `KEEPER_SESSION`.
        sequence_number: Counts the session's changes from 1.
        change: The change.
    """

    session: int
    sequence_number: int
    change: Change


class ChangeResult(msgspec.Struct, frozen=True, array_like=True):
    """The result of applying a change.

    Attributes:
        rejected_reason: Why the change was rejected; empty if it was made.
        token: The fencing token of the lease that the change is about, or the number of a new
            session.
        owner: The holder of that lease.
        lost_leases: Leases that could not be renewed, or proxies whose join was rejected.
        version: Version of the state after the change.
    """

    rejected_reason: str = ""
    token: int = 0
    owner: str = ""
    lost_leases: tuple[str, ...] = ()
    version: int = 0

    @property
    def is_session_unknown(self) -> bool:
        """Whether the session is unknown to the store, so that the caller has to open another."""
        return self.rejected_reason.startswith(UNKNOWN_SESSION_MARK)

    @property
    def is_token_stale(self) -> bool:
        """Whether the change was rejected because its fencing token is no longer current."""
        return STALE_TOKEN_MARK in self.rejected_reason
