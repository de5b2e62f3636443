"""The tables of the replicated state, and the check of fencing tokens against them."""

from __future__ import annotations

from dataclasses import dataclass, field

from mothstall.store.state.rows import (
    Drain,
    Lease,
    Member,
    StateDelta,
    StoredValue,
)


@dataclass(slots=True)
class StateTables:
    """All rows that readers see.

    Attributes:
        leases: Leases by name.
        drains: Drains by `drain_key`.
        values: Values by key.
        members: Attached proxies by name.
    """

    leases: dict[str, Lease] = field(default_factory=dict)
    drains: dict[str, Drain] = field(default_factory=dict)
    values: dict[str, StoredValue] = field(default_factory=dict)
    members: dict[str, Member] = field(default_factory=dict)

    def is_lease_current(self, name: str, token: int) -> bool:
        """Whether the lease is held and its current fencing token is `token`."""
        lease = self.leases.get(name)
        return lease is not None and lease.token == token

    def stale_token_reason(self, name: str, token: int) -> str:
        """Returns why a fencing token is not current; an empty string if it is current."""
        lease = self.leases.get(name)
        if lease is None:
            return f"{name}: token {token} is over, nobody holds it"
        if lease.token != token:
            return f"{name}: token {token} is over, {lease.owner} holds {lease.token}"
        return ""

    def as_delta(self, version: int) -> StateDelta:
        """Returns the complete state as a delta from version 0; its tables are copies."""
        return StateDelta(
            since_version=0,
            version=version,
            leases=dict(self.leases),
            drains=dict(self.drains),
            values=dict(self.values),
            members=dict(self.members),
        )
