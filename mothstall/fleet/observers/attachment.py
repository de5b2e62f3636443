"""One proxy that is attached to an observer. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from mothstall.store.state.changes import MemberJoin


@dataclass(slots=True)
class Attachment:
    """One proxy that is attached to this observer.

    Attributes:
        name: The proxy.
        owner: Name of the proxy's process, which differs after a restart.
        epoch: Number of this attachment of the process; each attachment is to one observer.
        zone: The proxy's zone.
        last_heartbeat_ns: When the proxy last sent a heartbeat.
        is_connected: Whether its connection is open.
        lease_token: Token of the observer's lease under which the proxy is a member; 0: it is not.
        rejected_joins: Consecutive joins that were rejected, up to a bound.
    """

    name: str
    owner: str
    epoch: int
    zone: str
    last_heartbeat_ns: int
    is_connected: bool = True
    lease_token: int = 0
    rejected_joins: int = 0

    @property
    def member_join(self) -> MemberJoin:
        """The change of the state that makes this proxy a member."""
        return MemberJoin(self.name, self.owner, self.epoch, self.zone)
